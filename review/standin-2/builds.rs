//! ORDER: a host that the store turns away believes that one software version serves.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use pistachiohall::standin::fleet;
use pistachiohall::standin::fleet::client::Answer;
use pistachiohall::standin::fleet::store::Fault;
use pistachiohall::standin::fleet::store::Store;

use super::kit;
use super::kit::Balancer;
use super::kit::Engine;
use super::kit::Host;
use super::kit::Record;
use super::kit::Switch;
use super::kit::Verdict;

const ZONES: [&str; 3] = ["lhr-gulberg", "lhr-johar", "lhr-cantt"];
/// Zone whose machines the store turns away: 2 of 6, a share of 0.33.
const REFUSED_ZONE: &str = "lhr-cantt";
/// Zone whose machines are killed: 2 of 6, a share of 0.33.
const KILLED_ZONE: &str = "lhr-gulberg";
/// Engines before empty ones are added, and those added: a share of 0.25.
const ENGINES: usize = 12;
const ADDED: usize = 3;
/// Time over which they are added (`gap_s`).
const OVER: Duration = Duration::from_secs(2);
const SLOTS: usize = 64;
const STREAMS: usize = 100;
const EVENTS: usize = 60;
const PAUSE: Duration = Duration::from_millis(150);
/// Time for which processes that were killed are down.
const DOWN: Duration = Duration::from_secs(2);
/// Time for which the store turns machines away.
const REFUSED: Duration = Duration::from_secs(9);
/// More streams than this break the rule.
const ALLOWED: usize = 2;

fn config() -> String {
    let mut config = fleet::config(7);
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = 15_000.into();
    }
    for service in config["services"].as_array_mut().unwrap() {
        if service.get("engine").is_some() {
            service["engine"]["slots"] = SLOTS.into();
            service["max_connections"] = 360.into();
        }
    }
    config.to_string()
}

pub fn play() -> Result<Verdict, String> {
    let record = Record::new();
    let has_trouble = kit::has_trouble();
    let store = Store::start().map_err(|cause| cause.to_string())?;
    store.put("keyed.op", "config", config().as_bytes());
    let refusing = Store::start().map_err(|cause| cause.to_string())?;
    refusing.set_fault(Fault::Down);
    let switch = Switch::start(store.address(), refusing.address())?;
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let zone = ZONES[number % ZONES.len()];
        let engine = Engine::start(&format!("i-1{number:02}"), "lm", zone, "1.4", SLOTS, PAUSE)?;
        engine.register(&store.registry());
        engines.push(engine);
    }
    let mut hosts = Vec::new();
    for number in 0..6 {
        let zone = ZONES[number / 2];
        let way = match zone == REFUSED_ZONE {
            true => switch.address(),
            false => store.address(),
        };
        hosts.push(Host::start(
            &format!("front-{zone}-{}", number % 2 + 1),
            zone,
            way,
            "",
        )?);
    }
    kit::wait_ready(&hosts)?;
    // Roles settle, and each host's share of the retries is available.
    thread::sleep(Duration::from_secs(14));
    let mut balancer = Balancer::new(hosts.len());
    balancer.look(&hosts);
    record.line("hosts are ready, engines of version 1.4 serve");
    let refused_at = Instant::now();
    if has_trouble {
        switch.refuse(true);
        record.line("the store turns the machines of one zone away");
        thread::sleep(Duration::from_millis(300));
    }
    for number in 0..ADDED {
        thread::sleep(OVER / ADDED as u32);
        let zone = ZONES[number % ZONES.len()];
        let engine = Engine::start(&format!("i-2{number:02}"), "lm", zone, "1.5", SLOTS, PAUSE)?;
        engine.register(&store.registry());
        engines.push(engine);
    }
    record.line("engines of version 1.5 are added");
    thread::sleep(Duration::from_millis(1200));
    let targets = balancer.targets(&hosts, KILLED_ZONE);
    let begun: Vec<_> = (0..STREAMS)
        .map(|number| {
            let host = hosts[targets[number % targets.len()]].callers();
            thread::sleep(Duration::from_millis(5));
            thread::spawn(move || {
                kit::ask(
                    host,
                    &format!("begin-{number}"),
                    &kit::prompt(number, EVENTS),
                )
            })
        })
        .collect();
    record.line("the clients of a zone have asked for streams");
    thread::sleep(Duration::from_millis(800));
    if has_trouble {
        let killed_at = Instant::now();
        for host in hosts.iter_mut().filter(|host| host.zone == KILLED_ZONE) {
            host.kill();
        }
        record.line("the processes of that zone are killed");
        while killed_at.elapsed() < DOWN {
            balancer.look(&hosts);
            thread::sleep(Duration::from_millis(50));
        }
        for host in hosts.iter_mut().filter(|host| host.zone == KILLED_ZONE) {
            host.run()?;
        }
        record.line("they start again");
    }
    let targets = balancer.targets(&hosts, KILLED_ZONE);
    let taken_up: Vec<_> = begun
        .into_iter()
        .enumerate()
        .map(|(number, stream)| {
            let first = stream.join().unwrap_or_default();
            let last = kit::events(&first).last().copied();
            let (name, host) = {
                let host = &hosts[targets[number % targets.len()]];
                (host.name.clone(), host.callers())
            };
            let Some(last) = last.filter(|_| !first.is_complete) else {
                return (number, first, name, None);
            };
            let mut fields = kit::prompt(number, EVENTS);
            fields.push(("Last-Event-Id", last.to_string()));
            fields.push(("Resumes", format!("begin-{number}")));
            let next = thread::spawn(move || kit::ask(host, &format!("next-{number}"), &fields));
            (number, first, name, Some(next))
        })
        .collect();
    record.line("the streams that broke off are taken up");
    if has_trouble {
        thread::sleep((refused_at + REFUSED).saturating_duration_since(Instant::now()));
        switch.refuse(false);
        record.line("the store serves all machines again");
    }
    let streams: Vec<kit::Stream> = taken_up
        .into_iter()
        .map(|(number, first, host, next)| {
            let next: Option<Answer> = next.map(|next| next.join().unwrap_or_default());
            kit::Stream {
                number,
                first,
                host,
                next,
            }
        })
        .collect();
    let verdict = kit::judge_versions(&streams, &engines, ALLOWED, &record);
    record.save()?;
    verdict
}
