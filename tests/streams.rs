//! Streams are delivered completely in spite of faults of engines and connections.

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

/// Tokens of a stream that is long enough for a fault to occur during it.
const LONG_STREAM_TOKENS: u64 = 250;

fn stream(deployment: &Deployment, prompt: &str, tokens: u64) -> thread::JoinHandle<Received> {
    let caller = deployment.caller("derby-h1", DESK_KEY);
    let prompt = prompt.to_owned();
    thread::spawn(move || caller.stream(MODEL, &prompt, tokens))
}

fn generated_tokens(deployment: &Deployment) -> usize {
    let engines = deployment.engines.values();
    engines
        .map(|engine| engine.load().generated_tokens as usize)
        .sum()
}

fn assert_complete(got: &Received, prompt: &str, tokens: u64) {
    assert!(got.whole, "{got:?}");
    assert_eq!(got.text, engine::expected(prompt, tokens));
}

#[test]
fn streams_survive_an_engine_crash() {
    let deployment = common::two_domains();
    let prompts: Vec<String> = (0..6).map(|number| format!("prompt {number}")).collect();
    let streams: Vec<_> = prompts
        .iter()
        .map(|prompt| stream(&deployment, prompt, LONG_STREAM_TOKENS))
        .collect();
    assert!(wait_until(|| generated_tokens(&deployment) > 60));
    deployment.engines["derby-e1"].crash();
    for (prompt, stream) in prompts.iter().zip(streams) {
        assert_complete(&stream.join().unwrap(), prompt, LONG_STREAM_TOKENS);
    }
}

#[test]
fn a_silent_connection_is_resumed_from_the_next_token() {
    let deployment = common::two_domains();
    let running = stream(&deployment, "quiet", LONG_STREAM_TOKENS);
    assert!(wait_until(|| generated_tokens(&deployment) > 20));
    for engine in deployment.engines.values() {
        engine.silence_open_streams();
    }
    assert_complete(&running.join().unwrap(), "quiet", LONG_STREAM_TOKENS);
}

#[test]
fn a_stream_that_skips_or_crosses_is_not_passed_on() {
    let deployment = common::two_domains();
    let caller = deployment.caller("derby-h1", DESK_KEY);
    for engine in deployment.engines.values() {
        engine.faults().skips_token.store(true, Ordering::SeqCst);
    }
    assert_complete(&caller.stream(MODEL, "skipped", 20), "skipped", 20);
    for engine in deployment.engines.values() {
        engine.faults().crosses.store(true, Ordering::SeqCst);
    }
    assert_complete(&caller.stream(MODEL, "crossed", 20), "crossed", 20);
}

#[rstest]
#[case::mixed(common::two_domains())]
#[case::split(common::split_domains())]
fn one_request_crashes_at_most_two_engines_and_other_streams_complete(
    #[case] deployment: Deployment,
) {
    let neighbours: Vec<String> = (0..4).map(|number| format!("neighbour {number}")).collect();
    let streams: Vec<_> = neighbours
        .iter()
        .map(|prompt| stream(&deployment, prompt, LONG_STREAM_TOKENS))
        .collect();
    assert!(wait_until(|| generated_tokens(&deployment) > 40));
    let crashing_prompt = format!("{} now", "<poison>");
    for host in ["derby-h1", "leicester-h1", "derby-h1"] {
        let got = deployment
            .caller(host, DESK_KEY)
            .stream(MODEL, &crashing_prompt, 5);
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
        assert_complete(&stream.join().unwrap(), prompt, LONG_STREAM_TOKENS);
    }
}

#[test]
fn a_graceful_shutdown_aborts_no_stream() {
    let mut deployment = common::two_domains();
    let running = stream(&deployment, "to the end", LONG_STREAM_TOKENS);
    assert!(wait_until(|| generated_tokens(&deployment) > 20));
    let leaving_host = deployment.hosts.remove("derby-h1").unwrap();
    let address = leaving_host.address();
    assert!(leaving_host.shut_down());
    assert_complete(&running.join().unwrap(), "to the end", LONG_STREAM_TOKENS);
    let late = pistachiohall::standin::caller::Caller::new(address, DESK_KEY);
    thread::sleep(Duration::from_millis(1));
    assert!(!late.stream(MODEL, "too late", 1).whole);
}
