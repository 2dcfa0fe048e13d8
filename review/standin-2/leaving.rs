//! LOST: streams that have lost two engines to a release are refused as if they had crashed these.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use pistachiohall::standin::fleet;
use pistachiohall::standin::fleet::client::Answer;
use pistachiohall::standin::fleet::store::Store;

use super::kit;
use super::kit::Engine;
use super::kit::Host;
use super::kit::Record;
use super::kit::Verdict;

const ZONES: [&str; 3] = ["lhr-gulberg", "lhr-johar", "lhr-cantt"];
/// Engines before the release, and how many of them it replaces, one after the other: a share of 0.42.
const ENGINES: usize = 12;
const REPLACED: usize = 5;
const GAP: Duration = Duration::from_secs(1);
/// Time for which an engine serves on after it has reported that it drains; `drain_ms` is two seconds.
const SERVED_ON: Duration = Duration::from_secs(3);
const SLOTS: usize = 64;
const STREAMS: usize = 96;
/// Callers at each host that ask for short streams all the while, one after the other.
const BUSY_CALLERS: usize = 4;
/// New streams that are asked for at the same time as streams are taken up.
const NEW: usize = 30;
const EVENTS: usize = 65;
const PAUSE: Duration = Duration::from_millis(200);

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
    // Roles settle while there is no load.
    thread::sleep(Duration::from_secs(7));
    let is_over = Arc::new(AtomicBool::new(false));
    let busy: Vec<_> = (0..hosts.len() * BUSY_CALLERS)
        .map(|caller| {
            let host = hosts[caller % hosts.len()].callers();
            let is_over = Arc::clone(&is_over);
            thread::spawn(move || be_busy(caller, host, &is_over))
        })
        .collect();
    // Each host's share of the retries is available.
    thread::sleep(Duration::from_secs(11));
    record.line("hosts are ready, engines of version 1.4 serve");
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
    // The client's next connection goes to the other host of its zone.
    let next_host = |number: usize| {
        let host = &hosts[number % hosts.len() ^ 1];
        (host.name.clone(), host.callers())
    };
    let taken_up: Vec<_> = begun
        .into_iter()
        .enumerate()
        .map(|(number, stream)| {
            let (name, host) = next_host(number);
            thread::spawn(move || {
                let first = stream.join().unwrap_or_default();
                kit::take_up(number, EVENTS, first, name, host)
            })
        })
        .collect();
    if has_trouble {
        release(&mut engines, &store, &record)?;
    }
    let new: Vec<_> = (0..NEW)
        .map(|number| {
            let (_, host) = next_host(number);
            let fields = kit::prompt(STREAMS + number, 5);
            thread::spawn(move || kit::ask(host, &format!("new-{number}"), &fields))
        })
        .collect();
    let taken_up: Vec<kit::TakenUp> = taken_up
        .into_iter()
        .filter_map(|one| one.join().ok())
        .collect();
    let new: Vec<Answer> = new
        .into_iter()
        .map(|one| one.join().unwrap_or_default())
        .collect();
    is_over.store(true, Ordering::Relaxed);
    for caller in busy {
        let _ended = caller.join();
    }
    let verdict = kit::judge_shares(&taken_up, &new, &engines, &record);
    record.save()?;
    verdict
}

/// Asks for short streams until the case is over: the usual traffic, from which hosts have their retries.
fn be_busy(caller: usize, host: SocketAddr, is_over: &AtomicBool) {
    let mut number = (caller + 1) * 10_000;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let _answer = kit::ask(host, &format!("busy-{number}"), &kit::prompt(number, 2));
        thread::sleep(Duration::from_millis(100));
    }
}

/// Replaces some engines, one after the other: the new one starts first, the old one drains and exits. The first
/// one and the last one are engines that generate; the last one has taken up most streams of the first one.
fn release(engines: &mut Vec<Engine>, store: &Store, record: &Record) -> Result<(), String> {
    let is_decoding = |index: &usize| engines[*index].stage() == Some("decode");
    let (decoding, other): (Vec<usize>, Vec<usize>) = (0..ENGINES).partition(is_decoding);
    record.line(&format!("engines that generate: {}", decoding.len()));
    let Some((first, rest)) = decoding.split_first().filter(|(_, rest)| rest.len() > 1) else {
        return Err("fewer than three engines generate".into());
    };
    let begun_at = Instant::now();
    let mut exits: Vec<(Duration, usize)> = Vec::new();
    for number in 0..REPLACED {
        let at = GAP * (number as u32 + 1);
        exit_due(&mut exits, at, begun_at, engines, store, record);
        thread::sleep((begun_at + at).saturating_duration_since(Instant::now()));
        let index = match number {
            0 => *first,
            _ if number + 1 == REPLACED => {
                let shared = |index: &&usize| kit::shared_runs(&engines[*first], &engines[**index]);
                *rest.iter().max_by_key(shared).unwrap()
            }
            _ => other[number],
        };
        let zone = engines[index].zone.clone();
        let name = format!("i-2{number:02}");
        let engine = Engine::start(&name, "lm", &zone, "1.5", SLOTS, PAUSE)?;
        engine.register(&store.registry());
        engines[index].drain(&store.registry());
        let old = &engines[index].name;
        record.line(&format!("release: {name} starts, {old} drains"));
        engines.push(engine);
        exits.push((at + SERVED_ON, index));
    }
    exit_due(&mut exits, Duration::MAX, begun_at, engines, store, record);
    Ok(())
}

/// Ends the engines that are due until `until`, each at its time.
fn exit_due(
    exits: &mut Vec<(Duration, usize)>,
    until: Duration,
    begun_at: Instant,
    engines: &[Engine],
    store: &Store,
    record: &Record,
) {
    while let Some((at, index)) = exits.first().copied().filter(|(at, _)| *at <= until) {
        exits.remove(0);
        thread::sleep((begun_at + at).saturating_duration_since(Instant::now()));
        engines[index].leave(&store.registry());
        engines[index].exit();
        record.line(&format!("release: {} exits", engines[index].name));
    }
}
