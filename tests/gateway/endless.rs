//! Tests of endless heads, bodies and events, at each place that reads from upstreams.

use std::thread;
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
/// Time after the timeout by which a response must have arrived.
const SLACK: Duration = Duration::from_millis(500);
/// Maximum bytes that the buffers of a local connection hold unread.
const MAX_UNREAD_BYTES: usize = 16 << 20;

/// Header fields of a request that shares nothing with others, so that no suspicion of it concerns them.
const NO_SHARED_BLOCKS: [(&str, &str); 1] = [("Pistachiohall-Token-Count", "20,6")];
/// Requests that reach a faulty engine at the same time.
const FLOODED_REQUESTS: usize = 12;

/// Waits until the gateway has closed the connection of the first request at `id`.
fn wait_closed(site: &Site, id: &str) -> ReceivedRequest {
    let first = || site.replicas[id].received().into_iter().next();
    wait_for("the end of the connection", || {
        first().is_some_and(|request| request.left_after.is_some())
    });
    first().unwrap()
}

/// Checks that the gateway closed the first connection because of its bytes, long before the
/// request's timeout.
fn assert_closed_early(site: &Site, id: &str) {
    let request = wait_closed(site, id);
    assert!(request.left_after.unwrap() < Duration::from_secs(1));
    let sent_bytes = request.sent_bytes;
    assert!(
        sent_bytes < MAX_UNREAD_BYTES,
        "{sent_bytes} bytes were accepted"
    );
}

/// Guards against a caller that waits, and a host that reads, until a faulty upstream stops
/// sending.
#[rstest]
#[case::head(Behavior::EndlessHead)]
#[case::interim_responses(Behavior::EndlessInterim)]
#[case::body(Behavior::EndlessBody)]
fn a_safe_request_is_served_by_another_upstream(#[case] behavior: Behavior) {
    let site = Site::desks(&["c1", "c2"]);
    site.replicas["c1"].set_behavior(behavior);
    wait_for("a request at the upstream", || {
        let begun = Instant::now();
        let response = site.gateway.call("GET", "/read/a", "r", &[]);
        assert_eq!(
            (response.status, response.body.as_str()),
            (200, "the whole answer")
        );
        assert!(begun.elapsed() < TIMEOUT);
        !site.replicas["c1"].received().is_empty()
    });
    let request = wait_closed(&site, "c1");
    assert!(request.left_after.unwrap() < TIMEOUT + SLACK);
    assert!(
        request.sent_bytes < MAX_UNREAD_BYTES,
        "{} bytes were accepted",
        request.sent_bytes
    );
}

#[rstest]
#[case::head(Behavior::EndlessHead)]
#[case::interim_responses(Behavior::EndlessInterim)]
#[case::body(Behavior::EndlessBody)]
fn an_unsafe_request_fails_and_runs_once(#[case] behavior: Behavior) {
    let site = Site::desks(&["c1", "c2"]);
    site.replicas
        .values()
        .for_each(|replica| replica.set_behavior(behavior));
    let response = site.gateway.call("POST", "/act/a", "r1", &[]);
    assert_eq!(response.status, 502, "it may have run");
    assert_eq!(site.runs(), 1);
}

/// Guards against waiting for the end of a refusal's body although its head holds all that is
/// needed.
#[test]
fn an_endless_refusal_is_a_refusal() {
    let site = Site::desks(&["c1"]);
    site.replicas["c1"].set_behavior(Behavior::EndlessRefusal);
    let begun = Instant::now();
    let response = site.gateway.call("POST", "/act/a", "r1", &[]);
    assert_eq!(response.status, 503);
    assert!(
        begun.elapsed() < Duration::from_secs(1),
        "{:?}",
        begun.elapsed()
    );
    wait_closed(&site, "c1");
}

/// An endless event is aborted for its size, long before the request's timeout.
#[test]
fn an_endless_event_aborts_the_stream() {
    let site = Site::start(&[], &[("d1", "decode")], NO_ORDERS);
    site.replicas["d1"].set_behavior(Behavior::EndlessEvent);
    let response = site.gateway.call("POST", "/draft/a", "r1", &SHORT_PROMPT);
    assert_ne!(response.status, 200);
    assert_closed_early(&site, "d1");
}

/// A stream that sends single bytes and never a complete event ends at the request's timeout.
#[test]
fn a_stream_without_complete_events_times_out() {
    let site = Site::start(&[], &[("d1", "decode")], NO_ORDERS);
    site.replicas["d1"].set_behavior(Behavior::Drip);
    let begun = Instant::now();
    let response = site.gateway.call("POST", "/draft/a", "r1", &SHORT_PROMPT);
    assert_ne!(response.status, 200);
    assert!(begun.elapsed() < TIMEOUT + SLACK);
    assert!(wait_closed(&site, "d1").left_after.unwrap() < TIMEOUT + SLACK);
}

/// A slow stream whose events arrive within the route's timeout is passed on to its end.
#[test]
fn a_slow_stream_is_not_aborted() {
    let site = Site::start(&[], &[("d1", "decode")], NO_ORDERS);
    site.replicas["d1"].set_pause(Duration::from_millis(380));
    let response = site.gateway.call("POST", "/draft/a", "r1", &SHORT_PROMPT);
    assert_eq!(response.status, 200);
    assert!(response.is_complete);
    assert!(response.body.contains("token 4"));
}

/// A prefill engine whose response does not end has not prefilled the prompt; another engine serves
/// the request.
#[rstest]
#[case::head(Behavior::EndlessHead)]
#[case::interim_responses(Behavior::EndlessInterim)]
#[case::body(Behavior::EndlessBody)]
fn an_endless_prefill_response_is_abandoned(#[case] behavior: Behavior) {
    let engines = [("p1", "prefill"), ("d1", "decode")];
    let site = Site::start(&[], &engines, NO_ORDERS);
    site.replicas["p1"].set_behavior(behavior);
    let response = site.gateway.call("POST", "/ask/a", "r1", &LONG_PROMPT);
    assert_eq!(response.status, 200, "the other engine prefills as well");
    assert_closed_early(&site, "p1");
}

/// Guards against a log that does not tell why a connection was closed.
#[test]
fn the_log_tells_that_a_head_was_too_large() {
    let site = Site::desks(&["c1"]);
    site.replicas["c1"].set_behavior(Behavior::EndlessInterim);
    let response = site.gateway.call("POST", "/act/a", "r1", &[]);
    assert_eq!(response.status, 502);
    site.gateway.wait_line(&[
        "request=r1",
        "no complete head of a response in 65536 bytes",
    ]);
}

/// Guards against a host that stands still for all its callers while it reads the interim responses of a
/// faulty engine.
#[test]
fn interim_responses_without_end_delay_no_other_request() {
    let engines = [("d1", "decode"), ("d2", "decode")];
    let site = Site::start(&["c1"], &engines, NO_ORDERS);
    for id in ["d1", "d2"] {
        site.replicas[id].set_behavior(Behavior::EndlessInterim);
    }
    let slowest = thread::scope(|scope| {
        for number in 0..FLOODED_REQUESTS {
            let gateway = &site.gateway;
            scope.spawn(move || {
                let id = format!("flooded-{number}");
                let path = format!("/draft/{number}");
                let response = gateway.call("POST", &path, &id, &NO_SHARED_BLOCKS);
                assert_eq!(response.status, 502, "it may have run");
            });
        }
        wait_for("a flooded request", || site.arrivals() > 0);
        let latency = |number| {
            let begun = Instant::now();
            let id = format!("r{number}");
            assert_eq!(site.gateway.call("GET", "/read/a", &id, &[]).status, 200);
            begun.elapsed()
        };
        (0..20).map(latency).max().unwrap()
    });
    assert!(slowest < TIMEOUT, "{slowest:?}");
    for id in ["d1", "d2"] {
        for request in site.replicas[id].received() {
            let sent_bytes = request.sent_bytes;
            assert!(sent_bytes < MAX_UNREAD_BYTES, "{sent_bytes} bytes");
        }
    }
}

/// An endless report is abandoned, and the background task continues with the other engines.
#[test]
fn an_endless_report_is_abandoned() {
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
    let request = wait_closed(&site, "d1");
    assert!(
        request.sent_bytes < MAX_UNREAD_BYTES,
        "{} bytes were accepted",
        request.sent_bytes
    );
}
