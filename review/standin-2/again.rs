//! ORDER: an engine starts again under its id with another software version while the store is away.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use pistachiohall::standin::fleet;
use pistachiohall::standin::fleet::client::Answer;
use pistachiohall::standin::fleet::store::Fault;
use pistachiohall::standin::fleet::store::Store;

use super::kit;
use super::kit::Engine;
use super::kit::Host;
use super::kit::Record;
use super::kit::Verdict;

const ZONES: [&str; 3] = ["lhr-gulberg", "lhr-johar", "lhr-cantt"];
/// Engines of the newer version, beside one of the older.
const ENGINES: usize = 5;
const SLOTS: usize = 64;
const STREAMS: usize = 90;
const EVENTS: usize = 30;
const PAUSE: Duration = Duration::from_millis(400);
const DEADLINE: Duration = Duration::from_secs(15);
/// Time for which the engine is down.
const DOWN: Duration = Duration::from_millis(1500);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_secs(8);
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
    let old = Engine::start("i-100", "lm", ZONES[0], "1.4", SLOTS, PAUSE)?;
    old.register(&store.registry());
    let mut hosts = Vec::new();
    for number in 0..6 {
        let zone = ZONES[number / 2];
        let name = format!("front-{zone}-{}", number % 2 + 1);
        hosts.push(Host::start(&name, zone, store.address(), "")?);
    }
    kit::wait_ready(&hosts)?;
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let zone = ZONES[1 + number % 2];
        let engine = Engine::start(&format!("i-2{number:02}"), "lm", zone, "1.5", SLOTS, PAUSE)?;
        engine.register(&store.registry());
        engines.push(engine);
    }
    // Roles settle, and each host's share of the retries is available.
    thread::sleep(Duration::from_secs(14));
    record.line("hosts are ready; one engine of version 1.4 and five of 1.5 serve");
    let begun_at = Instant::now();
    let begun: Vec<_> = (0..STREAMS)
        .map(|number| {
            let host = hosts[number % hosts.len()].callers();
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
    record.line("clients have asked for streams");
    thread::sleep(Duration::from_millis(1000));
    if has_trouble {
        store.set_fault(Fault::Silent);
        record.line("the store answers nothing");
    }
    let away_since = Instant::now();
    thread::sleep(Duration::from_millis(300));
    let (old, again) = old.start_again("1.5", DOWN)?;
    again.register(&store.registry());
    record.line("the engine of version 1.4 has started again under its id with version 1.5");
    thread::sleep(Duration::from_millis(if has_trouble { 300 } else { 1500 }));
    let taken_up: Vec<_> = begun
        .into_iter()
        .enumerate()
        .map(|(number, stream)| {
            // The client's next connection goes to the other host of its zone.
            let host = &hosts[number % hosts.len() ^ 1];
            let (name, host) = (host.name.clone(), host.callers());
            thread::spawn(move || {
                let first = stream.join().unwrap_or_default();
                let last = kit::events(&first)
                    .last()
                    .copied()
                    .filter(|_| !first.is_complete);
                let next = last.map(|last| {
                    let left = (begun_at + DEADLINE).saturating_duration_since(Instant::now());
                    let mut fields = kit::prompt(number, EVENTS);
                    fields.retain(|(name, _)| *name != "Pistachiohall-Deadline-Ms");
                    fields.push(("Pistachiohall-Deadline-Ms", left.as_millis().to_string()));
                    fields.push(("Last-Event-Id", last.to_string()));
                    fields.push(("Resumes", format!("begin-{number}")));
                    kit::ask(host, &format!("next-{number}"), &fields)
                });
                (number, first, name, next)
            })
        })
        .collect();
    record.line("the streams that broke off are taken up");
    if has_trouble {
        thread::sleep((away_since + AWAY).saturating_duration_since(Instant::now()));
        store.set_fault(Fault::None);
        record.line("the store is back");
    }
    let streams: Vec<kit::Stream> = taken_up
        .into_iter()
        .filter_map(|one| one.join().ok())
        .map(
            |(number, first, host, next): (usize, Answer, String, Option<Answer>)| kit::Stream {
                number,
                first,
                host,
                next,
            },
        )
        .collect();
    engines.push(old);
    engines.push(again);
    let verdict = kit::judge_versions(&streams, &engines, ALLOWED, &record);
    record.save()?;
    verdict
}
