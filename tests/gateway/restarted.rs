//! Tests with engines that start again under their names as other builds, which their entries do not say yet.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use pistachiohall::standin::fleet::client::Client;
use pistachiohall::standin::fleet::replica::Replica;
use pistachiohall::standin::fleet::store::Fault;
use rstest::rstest;

use super::builds::Fleet;
use super::builds::STREAMS;
use super::builds::ask;
use super::builds::assert_go_on;
use super::builds::send_to;
use super::site::Gateway;

/// Ends an engine while the store is away, and starts it again as another build.
fn start_again(fleet: &mut Fleet, name: &str, build: &str) {
    fleet.store.set_fault(Fault::Silent);
    start_in_place(fleet, name, build);
}

/// Ends an engine, and starts it again under its name and at its address as another build that has not written its
/// entry.
fn start_in_place(fleet: &mut Fleet, name: &str, build: &str) {
    let before = fleet.engines.remove(name).unwrap();
    let address = before.address();
    before.end();
    before.cut_connections();
    drop(before);
    let engine = Replica::start_at(address, name, "lm", "derby", Some("decode")).unwrap();
    engine.set_started_at(2);
    engine.set_build(build);
    fleet.engines.insert(name.into(), engine);
}

/// Guards against the rest of a stream from an engine that has started again as another build, which its entry does
/// not say yet.
#[rstest]
#[case::host_that_began_them(0)]
#[case::other_host(1)]
fn a_stream_does_not_go_on_at_an_engine_that_started_again(#[case] host: usize) {
    let mut fleet = Fleet::start(2, &[("e1", "v1")]);
    let began = fleet.begin("e1");
    fleet.add("a2", "v2");
    start_again(&mut fleet, "e1", "v2");
    for id in &began {
        let answer = fleet.take_up(host, &format!("next-{id}"), id);
        assert_eq!(answer.status, 503);
    }
    assert_eq!(fleet.resumed("e1") + fleet.resumed("a2"), 0);
}

/// Guards against a stream that counts as of the build in an old entry: it would be joined from two builds later.
#[test]
fn a_stream_does_not_begin_at_an_engine_whose_build_is_not_known() {
    let mut fleet = Fleet::start(2, &[("e1", "v1")]);
    let began = fleet.begin("e1");
    fleet.add("m3", "v1");
    fleet.add("a2", "v2");
    start_again(&mut fleet, "e1", "v2");
    // The hosts' readings are old from then on.
    thread::sleep(Duration::from_secs(3));
    for number in 0..STREAMS {
        let answer = ask(&fleet.hosts[1], &format!("new-{number}"), &[]);
        assert_eq!((answer.status, answer.is_complete), (200, true));
    }
    assert_eq!(fleet.engines["e1"].runs(), 0);
    // Those of the first incarnation go on at its build.
    assert_go_on(&fleet, 1, &began[..1], "m3");
}

/// Sends requests side by side, so that all engines get some, and waits for their answers.
fn ask_together(host: &Gateway, path: &str, name: &str) {
    let mut clients: Vec<Client> = (0..STREAMS).map(|_| host.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        send_to(client, path, &format!("{name}-{number}"), &[]);
    }
    for client in &mut clients {
        let answer = client.receive().unwrap();
        assert_eq!((answer.status, answer.is_complete), (200, true));
    }
}

/// Guards against a connection that is taken for a proof, though it was opened after the engine started again: by
/// streams that may not be resumed, for which nothing is asked.
#[test]
fn a_connection_from_after_a_restart_proves_no_build() {
    let mut fleet = Fleet::start(1, &[("e1", "v1"), ("m3", "v1")]);
    fleet.add("a2", "v2");
    start_again(&mut fleet, "e1", "v2");
    for engine in fleet.engines.values() {
        engine.set_pause(Duration::from_millis(100));
    }
    let (host, engine) = (&fleet.hosts[0], &fleet.engines["e1"]);
    let started_at = Instant::now();
    // Until the host's reading is old.
    for number in 0.. {
        ask_together(host, "/draft/a", &format!("short-{number}"));
        if started_at.elapsed() > Duration::from_secs(3) {
            break;
        }
    }
    assert!(engine.runs() > 0, "no connection was opened to the engine");
    ask_together(host, "/ask/a", "new");
    let received = engine.received();
    let resumable = received.iter().filter(|seen| seen.path == "/ask/a");
    assert_eq!(resumable.count(), 0);
}

/// Guards against streams that begin at an engine which has just started again as another build, before a host reads
/// its new entry: the host's reading is fresh, and it had nothing there when the engine ended.
#[test]
fn a_fresh_reading_from_before_a_restart_proves_no_build() {
    let mut fleet = Fleet::start(1, &[("e1", "v1"), ("m3", "v1")]);
    start_in_place(&mut fleet, "e1", "v2");
    for engine in fleet.engines.values() {
        engine.set_pause(Duration::from_millis(50));
    }
    ask_together(&fleet.hosts[0], "/ask/a", "new");
    assert_eq!(fleet.engines["e1"].runs(), 0);
    fleet.engines["e1"].register(&fleet.store, "ready");
    fleet.hosts[0].wait_line(&["upstream=e1", "born=2"]);
    ask_together(&fleet.hosts[0], "/ask/a", "next");
    assert!(fleet.engines["e1"].runs() > 0);
}
