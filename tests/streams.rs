//! Streams stay whole through faults of engines and connections.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use pistachiohall::standin::caller::Received;
use pistachiohall::standin::deployment::Deployment;
use pistachiohall::standin::deployment::wait_until;
use pistachiohall::standin::engine;
use rstest::rstest;

use crate::common;
use crate::common::DESK_KEY;
use crate::common::MODEL;

/// Tokens of a stream that is long enough to be met by a fault.
const LONG: u64 = 250;

fn stream(deployment: &Deployment, prompt: &str, tokens: u64) -> thread::JoinHandle<Received> {
    let caller = deployment.caller("derby-h1", DESK_KEY);
    let prompt = prompt.to_owned();
    thread::spawn(move || caller.stream(MODEL, &prompt, tokens))
}

fn begun(deployment: &Deployment) -> usize {
    let engines = deployment.engines.values();
    engines
        .map(|engine| engine.load().generated_tokens as usize)
        .sum()
}

fn assert_whole(got: &Received, prompt: &str, tokens: u64) {
    assert!(got.whole, "{got:?}");
    assert_eq!(got.text, engine::expected(prompt, tokens));
}

#[test]
fn streams_outlive_an_engine_crash() {
    let deployment = common::two_domains();
    let prompts: Vec<String> = (0..6).map(|number| format!("prompt {number}")).collect();
    let streams: Vec<_> = prompts
        .iter()
        .map(|prompt| stream(&deployment, prompt, LONG))
        .collect();
    assert!(wait_until(|| begun(&deployment) > 60));
    deployment.engines["derby-e1"].crash();
    for (prompt, stream) in prompts.iter().zip(streams) {
        assert_whole(&stream.join().unwrap(), prompt, LONG);
    }
}

#[test]
fn a_silent_connection_is_resumed_from_the_next_token() {
    let deployment = common::two_domains();
    let running = stream(&deployment, "quiet", LONG);
    assert!(wait_until(|| begun(&deployment) > 20));
    for engine in deployment.engines.values() {
        engine.silence_open_streams();
    }
    assert_whole(&running.join().unwrap(), "quiet", LONG);
}

#[test]
fn a_stream_that_skips_or_crosses_is_not_passed_on() {
    let deployment = common::two_domains();
    let caller = deployment.caller("derby-h1", DESK_KEY);
    for engine in deployment.engines.values() {
        engine.faults().skips_token.store(true, Ordering::SeqCst);
    }
    assert_whole(&caller.stream(MODEL, "skipped", 20), "skipped", 20);
    for engine in deployment.engines.values() {
        engine.faults().crosses.store(true, Ordering::SeqCst);
    }
    assert_whole(&caller.stream(MODEL, "crossed", 20), "crossed", 20);
}

#[rstest]
#[case::mixed(common::two_domains())]
#[case::split(common::split_domains())]
fn one_request_costs_at_most_two_engines_and_its_neighbours_are_answered(
    #[case] deployment: Deployment,
) {
    let neighbours: Vec<String> = (0..4).map(|number| format!("neighbour {number}")).collect();
    let streams: Vec<_> = neighbours
        .iter()
        .map(|prompt| stream(&deployment, prompt, LONG))
        .collect();
    assert!(wait_until(|| begun(&deployment) > 40));
    let poison = format!("{} now", "<poison>");
    for host in ["derby-h1", "leicester-h1", "derby-h1"] {
        let got = deployment.caller(host, DESK_KEY).stream(MODEL, &poison, 5);
        assert!(!got.whole);
        assert_eq!(got.status, 422, "{got:?}");
    }
    let crashes: usize = deployment
        .engines
        .values()
        .map(|engine| engine.book().crashes)
        .sum();
    assert!(crashes <= 2, "{crashes} engines were lost");
    for (prompt, stream) in neighbours.iter().zip(streams) {
        assert_whole(&stream.join().unwrap(), prompt, LONG);
    }
}

#[test]
fn a_graceful_shutdown_cuts_no_stream() {
    let mut deployment = common::two_domains();
    let running = stream(&deployment, "to the end", LONG);
    assert!(wait_until(|| begun(&deployment) > 20));
    let leaver = deployment.hosts.remove("derby-h1").unwrap();
    let address = leaver.address();
    assert!(leaver.shut_down());
    assert_whole(&running.join().unwrap(), "to the end", LONG);
    let late = pistachiohall::standin::caller::Caller::new(address, DESK_KEY);
    thread::sleep(Duration::from_millis(1));
    assert!(!late.stream(MODEL, "too late", 1).whole);
}
