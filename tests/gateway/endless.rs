//! Bytes that are no answer and do not end, in a head, a body or an event, at each reader.

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use pistachiohall::standin::fleet::replica::Behavior;
use pistachiohall::standin::fleet::replica::ReceivedRequest;

use super::site::Gateway;
use super::site::LONG_PROMPT;
use super::site::NO_ORDERS;
use super::site::SHORT_PROMPT;
use super::site::Site;
use super::site::wait_for;

/// Timeout of all routes.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time beyond it in which an answer has to be there.
const SLACK: Duration = Duration::from_millis(500);
/// Bytes that a connection between two processes of one machine takes up unread, at most.
const SOCKET_BYTES: usize = 16 << 20;

/// Waits until the gateway has closed the connection of the first request at `id`.
fn closed(site: &Site, id: &str) -> ReceivedRequest {
    let first = || site.replicas[id].received().into_iter().next();
    wait_for("the end of the connection", || {
        first().is_some_and(|seen| seen.left_after.is_some())
    });
    first().unwrap()
}

/// Checks that the gateway closed the first connection by what had come, long before the time of the
/// request was over.
fn assert_closed_early(site: &Site, id: &str) {
    let seen = closed(site, id);
    assert!(seen.left_after.unwrap() < Duration::from_secs(1));
    let poured = seen.sent_bytes;
    assert!(poured < SOCKET_BYTES, "{poured} bytes were taken");
}

/// Guards against a caller that waits, and a host that reads, until an upstream in trouble stops.
#[rstest]
#[case::head(Behavior::EndlessHead)]
#[case::body(Behavior::EndlessBody)]
fn a_safe_request_is_answered_elsewhere(#[case] manner: Behavior) {
    let site = Site::desks(&["c1", "c2"]);
    site.replicas["c1"].set_behavior(manner);
    wait_for("a request at the upstream", || {
        let begun = Instant::now();
        let answer = site.gateway.call("GET", "/read/a", "r", &[]);
        assert_eq!(
            (answer.status, answer.body.as_str()),
            (200, "the whole answer")
        );
        assert!(begun.elapsed() < TIMEOUT);
        !site.replicas["c1"].received().is_empty()
    });
    let seen = closed(&site, "c1");
    assert!(seen.left_after.unwrap() < TIMEOUT + SLACK);
    assert!(
        seen.sent_bytes < SOCKET_BYTES,
        "{} bytes were taken",
        seen.sent_bytes
    );
}

#[rstest]
#[case::head(Behavior::EndlessHead)]
#[case::body(Behavior::EndlessBody)]
fn an_unsafe_request_fails_and_runs_once(#[case] manner: Behavior) {
    let site = Site::desks(&["c1", "c2"]);
    site.replicas
        .values()
        .for_each(|replica| replica.set_behavior(manner));
    let answer = site.gateway.call("POST", "/act/a", "r1", &[]);
    assert_eq!(answer.status, 502, "it may have run");
    assert_eq!(site.runs(), 1);
}

/// Guards against a caller who waits for the end of a refusal whose head has said all.
#[test]
fn a_refusal_without_end_is_a_refusal() {
    let site = Site::desks(&["c1"]);
    site.replicas["c1"].set_behavior(Behavior::EndlessRefusal);
    let begun = Instant::now();
    let answer = site.gateway.call("POST", "/act/a", "r1", &[]);
    assert_eq!(answer.status, 503);
    assert!(
        begun.elapsed() < Duration::from_secs(1),
        "{:?}",
        begun.elapsed()
    );
    closed(&site, "c1");
}

/// An event without end is broken off by its size, long before the request's time is over.
#[test]
fn an_event_without_end_breaks_the_stream() {
    let site = Site::start(&[], &[("d1", "decode")], NO_ORDERS);
    site.replicas["d1"].set_behavior(Behavior::EndlessEvent);
    let answer = site.gateway.call("POST", "/draft/a", "r1", &SHORT_PROMPT);
    assert_ne!(answer.status, 200);
    assert_closed_early(&site, "d1");
}

/// A stream that sends a byte now and then and never an event ends with the request's time.
#[test]
fn a_stream_that_drips_ends_in_time() {
    let site = Site::start(&[], &[("d1", "decode")], NO_ORDERS);
    site.replicas["d1"].set_behavior(Behavior::Drip);
    let begun = Instant::now();
    let answer = site.gateway.call("POST", "/draft/a", "r1", &SHORT_PROMPT);
    assert_ne!(answer.status, 200);
    assert!(begun.elapsed() < TIMEOUT + SLACK);
    assert!(closed(&site, "d1").left_after.unwrap() < TIMEOUT + SLACK);
}

/// A slow stream whose events come within the route's time is passed on to its end.
#[test]
fn a_slow_and_sound_stream_is_not_cut() {
    let site = Site::start(&[], &[("d1", "decode")], NO_ORDERS);
    site.replicas["d1"].set_pause(Duration::from_millis(380));
    let answer = site.gateway.call("POST", "/draft/a", "r1", &SHORT_PROMPT);
    assert_eq!(answer.status, 200);
    assert!(answer.is_complete);
    assert!(answer.body.contains("token 4"));
}

/// A reader whose answer does not end has not read the prompt; another engine serves the request.
#[rstest]
#[case::head(Behavior::EndlessHead)]
#[case::body(Behavior::EndlessBody)]
fn a_reading_without_end_is_given_up(#[case] manner: Behavior) {
    let engines = [("p1", "prefill"), ("d1", "decode")];
    let site = Site::start(&[], &engines, NO_ORDERS);
    site.replicas["p1"].set_behavior(manner);
    let answer = site.gateway.call("POST", "/ask/a", "r1", &LONG_PROMPT);
    assert_eq!(answer.status, 200, "the other engine reads as well");
    assert_closed_early(&site, "p1");
}

/// A report without end is given up, and the duty goes on with the other engines.
#[test]
fn a_report_without_end_is_given_up() {
    let engines = [("d1", "decode"), ("d2", "decode"), ("d3", "decode")];
    let site = Site::start(&[], &engines, NO_ORDERS);
    // Engines that started last are asked first; with equal starts, in the order of names.
    site.replicas["d1"].set_behavior(Behavior::EndlessBody);
    let orders = "[orders]\nread_share = 0.67\n";
    let second = Gateway::start("h0", site.store.address(), orders);
    second.wait_line(&["upstream=d1", "report=none", "larger than"]);
    wait_for("an order to another engine", || {
        let stages = ["d2", "d3"].map(|id| site.replicas[id].role().0);
        stages.contains(&Some("prefill"))
    });
    let seen = closed(&site, "d1");
    assert!(
        seen.sent_bytes < SOCKET_BYTES,
        "{} bytes were taken",
        seen.sent_bytes
    );
}
