//! Engines that replace the last ones which generate for a build.

use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use pistachiohall::standin::fleet;
use pistachiohall::standin::fleet::client::Answer;
use pistachiohall::standin::fleet::replica::Replica;
use pistachiohall::standin::fleet::store::Store;
use serde_json::json;

use super::site::Gateway;
use super::site::wait_for;

/// Engines by name, build and role, which the wanted share leaves as they are.
const ENGINES: [(&str, &str, &str); 7] = [
    ("e1", "v1", "decode"),
    ("e2", "v1", "decode"),
    ("e3", "v1", "prefill"),
    ("e4", "v1", "prefill"),
    ("e5", "v2", "decode"),
    ("e6", "v2", "decode"),
    ("e7", "v2", "prefill"),
];
/// Settings whose share of prefill engines these have, and a retry budget that never runs out.
const SETTINGS: &str = "[orders]\nread_share = 0.43\n[repeats]\nratio = 1000\n";
const STREAMS: usize = 16;
/// Events of a stream, and the pause before each.
const EVENTS: u64 = 16;
const PAUSE: Duration = Duration::from_millis(100);
/// Time for which an engine that changes its role is away.
const SWITCH_DURATION: Duration = Duration::from_secs(1);
/// Time for which a caller waits for its whole stream.
const DEADLINE: Duration = Duration::from_secs(15);
/// Number of streams that have to break off, so that the share that goes on says something.
const MIN_BROKEN: usize = 4;

fn start(name: &str, build: &str, role: &'static str, store: &Store) -> Replica {
    let engine = Replica::start(name, "lm", "derby", Some(role)).unwrap();
    engine.set_build(build);
    engine.set_pause(PAUSE);
    engine.register(store, "ready");
    engine
}

/// Sends one attempt of a caller.
fn ask(host: &Gateway, id: &str, more: &[(&str, &str)], left: Duration) -> Answer {
    let left = left.as_millis().to_string();
    let prefix = format!("{0}:80,{0}ff:120", block(id));
    let sizes = format!("200,{EVENTS}");
    let fields = [
        ("Pistachiohall-Token-Count", sizes.as_str()),
        ("Pistachiohall-Prompt-Prefix", prefix.as_str()),
        ("Pistachiohall-Deadline-Ms", left.as_str()),
    ];
    let mut client = host.client();
    let fields = [&fields[..], more].concat();
    client.send("POST", "/ask/a", id, &fields, b"").unwrap();
    client.receive().unwrap()
}

/// Returns the identifier of a prompt block that no other attempt has.
fn block(text: &str) -> String {
    text.bytes().map(|byte| format!("{byte:02x}")).collect()
}

fn last_event(answer: &Answer) -> u64 {
    let ids = answer
        .body
        .lines()
        .filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().unwrap()).max().unwrap_or(0)
}

/// What became of a stream.
#[derive(Debug)]
enum Outcome {
    /// It did not break off.
    Whole,
    /// It broke off, and went on when its caller took it up once more after the time that it was told.
    WentOn,
    /// It did not go on.
    Lost,
}

/// Plays a caller that begins a stream at one host, takes it up at another if it breaks off, and comes back
/// once if it is refused.
fn play(hosts: &[Gateway], number: usize) -> Outcome {
    let sent_at = Instant::now();
    let host = |attempt: usize| &hosts[(number + attempt) % hosts.len()];
    let left = || DEADLINE.saturating_sub(sent_at.elapsed());
    let id = format!("s{number}");
    let began = ask(host(0), &id, &[], left());
    assert_eq!(began.status, 200);
    if began.is_complete {
        return Outcome::Whole;
    }
    let event = last_event(&began).to_string();
    let fields = [("Resumes", id.as_str()), ("Last-Event-Id", event.as_str())];
    for attempt in 1..=2 {
        let taken_up = ask(host(attempt), &format!("{id}-{attempt}"), &fields, left());
        if taken_up.status == 200 && taken_up.is_complete && last_event(&taken_up) == EVENTS {
            return Outcome::WentOn;
        }
        let seconds = taken_up.fields.get("retry-after").map(|text| text.parse());
        let told = seconds.map_or(Duration::ZERO, |seconds| {
            Duration::from_secs_f64(seconds.unwrap())
        });
        thread::sleep(told.min(left() / 3));
    }
    Outcome::Lost
}

/// Guards against streams that are refused until their callers give up although engines of their build serve:
/// both engines of v1 that generate are lost at once, two others of v1 prefill, and v2 serves on.
#[test]
fn streams_go_on_at_an_engine_that_replaces_the_last_generators() {
    let store = Store::start().unwrap();
    let mut config = fleet::config(3);
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = json!(DEADLINE.as_millis() as u64);
    }
    for service in config["services"].as_array_mut().unwrap() {
        if service.get("engine").is_some() {
            service["engine"]["switch_s"] = json!(SWITCH_DURATION.as_secs_f64());
        }
    }
    store.put_config(&config);
    let engines = ENGINES.map(|(name, build, role)| start(name, build, role, &store));
    let [e1, e2, e3, e4, _e5, _e6, _e7] = engines;
    let prefilling = [e3, e4];
    let hosts = ["h1", "h2"].map(|name| Gateway::start(name, store.address(), SETTINGS));
    for host in &hosts {
        host.wait_line(&["peers=1"]);
        for (name, ..) in ENGINES {
            host.wait_line(&[&format!("upstream={name}"), "outcome=added"]);
        }
    }
    // The engines are known for long enough to be taken for the fleet.
    thread::sleep(Duration::from_secs(3));
    let outcomes = Mutex::new(Vec::new());
    thread::scope(|scope| {
        let (hosts, outcomes) = (&hosts, &outcomes);
        for number in 0..STREAMS {
            scope.spawn(move || {
                let outcome = play(hosts, number);
                outcomes.lock().unwrap().push(outcome);
            });
        }
        thread::sleep(PAUSE * 5);
        drop((e1, e2));
        for engine in &prefilling {
            let store = &store;
            scope.spawn(move || {
                wait_for("an order, or the end of all callers", || {
                    engine.role().1 > 0 || outcomes.lock().unwrap().len() == STREAMS
                });
                thread::sleep(SWITCH_DURATION);
                engine.register(store, "ready");
            });
        }
    });
    let outcomes = outcomes.into_inner().unwrap();
    let went_on = |outcome: &&Outcome| matches!(outcome, Outcome::WentOn);
    let is_lost = |outcome: &&Outcome| matches!(outcome, Outcome::Lost);
    assert_eq!(outcomes.iter().filter(is_lost).count(), 0, "{outcomes:?}");
    assert!(
        outcomes.iter().filter(went_on).count() >= MIN_BROKEN,
        "{outcomes:?}"
    );
}
