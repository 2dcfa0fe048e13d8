//! LOST: a host is killed, a release begins, and no other host knows the streams of the killed one.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use pistachiohall::standin::fleet;
use pistachiohall::standin::fleet::client::Answer;
use pistachiohall::standin::fleet::store::Store;

use super::kit;
use super::kit::Balancer;
use super::kit::Engine;
use super::kit::Host;
use super::kit::Record;
use super::kit::Verdict;

const ZONES: [&str; 3] = ["lhr-gulberg", "lhr-johar", "lhr-cantt"];
/// Engines before the release, and how many of them it replaces here, one after the other.
const ENGINES: usize = 12;
const REPLACED: usize = 2;
const GAP: Duration = Duration::from_secs(1);
const SLOTS: usize = 64;
const STREAMS: usize = 60;
/// Host at which the streams begin, and which is killed: one of six, a share of 0.16.
const KILLED: usize = 1;
/// New streams that are asked for at the same time as streams are taken up.
const NEW: usize = 30;
const EVENTS: usize = 50;
const PAUSE: Duration = Duration::from_millis(200);
/// Time for which a process that was killed is down.
const DOWN: Duration = Duration::from_millis(3500);

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
        let name = format!("front-{zone}-{}", number % 2 + 1);
        hosts.push(Host::start(&name, zone, store.address(), "")?);
    }
    kit::wait_ready(&hosts)?;
    // Roles settle, and each host's share of the retries is available.
    thread::sleep(Duration::from_secs(14));
    let mut balancer = Balancer::new(hosts.len());
    balancer.look(&hosts);
    record.line("hosts are ready, engines of version 1.4 serve");
    let host = hosts[KILLED].callers();
    let begun: Vec<_> = (0..STREAMS)
        .map(|number| {
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
    record.line("clients have asked one host for streams");
    thread::sleep(Duration::from_millis(1500));
    let mut killed_at = None;
    if has_trouble {
        hosts[KILLED].kill();
        killed_at = Some(Instant::now());
        record.line("the process of that host is killed");
    }
    thread::sleep(Duration::from_millis(800));
    let other: Vec<usize> = (0..ENGINES)
        .filter(|index| engines[*index].stage() != Some("decode"))
        .collect();
    for (number, index) in other.into_iter().take(REPLACED).enumerate() {
        if number > 0 {
            thread::sleep(GAP);
        }
        let zone = engines[index].zone.clone();
        let engine = Engine::start(&format!("i-2{number:02}"), "lm", &zone, "1.5", SLOTS, PAUSE)?;
        engine.register(&store.registry());
        engines[index].drain(&store.registry());
        engines.push(engine);
        record.line("release: an engine of version 1.5 starts, one of 1.4 drains");
    }
    if has_trouble {
        while balancer.targets(&hosts, ZONES[0]).contains(&KILLED) {
            balancer.look(&hosts);
            thread::sleep(Duration::from_millis(50));
        }
    }
    let targets = balancer.targets(&hosts, ZONES[0]);
    let place = |number: usize| {
        let host = &hosts[targets[number % targets.len()]];
        (host.name.clone(), host.callers())
    };
    record.line(&format!(
        "connections of the zone go to {:?}",
        targets
            .iter()
            .map(|index| &hosts[*index].name)
            .collect::<Vec<_>>()
    ));
    let taken_up: Vec<_> = begun
        .into_iter()
        .enumerate()
        .map(|(number, stream)| {
            let (name, host) = place(number);
            thread::spawn(move || {
                kit::take_up(
                    number,
                    EVENTS,
                    stream.join().unwrap_or_default(),
                    name,
                    host,
                )
            })
        })
        .collect();
    let new: Vec<_> = (0..NEW)
        .map(|number| {
            let (_, host) = place(number);
            let fields = kit::prompt(STREAMS + number, 5);
            thread::spawn(move || kit::ask(host, &format!("new-{number}"), &fields))
        })
        .collect();
    if let Some(killed_at) = killed_at {
        thread::sleep((killed_at + DOWN).saturating_duration_since(Instant::now()));
        hosts[KILLED].run()?;
        record.line("the host starts again");
    }
    let taken_up: Vec<kit::TakenUp> = taken_up
        .into_iter()
        .filter_map(|one| one.join().ok())
        .collect();
    let new: Vec<Answer> = new
        .into_iter()
        .map(|one| one.join().unwrap_or_default())
        .collect();
    let verdict = kit::judge_shares(&taken_up, &new, &engines, &record);
    record.save()?;
    verdict
}
