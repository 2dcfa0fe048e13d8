//! Tests of notices in responses: the upstream is leaving, or wants no requests for a while.

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use serde_json::json;

use pistachiohall::platform::store;
use pistachiohall::standin::fleet::replica::Behavior;
use pistachiohall::standin::fleet::store::Fault;

use super::site::Gateway;
use super::site::LONG_PROMPT;
use super::site::NO_ORDERS;
use super::site::SHORT_PROMPT;
use super::site::Site;
use super::site::wait_for;

/// Returns the number of requests that have reached an upstream.
fn arrivals(site: &Site, id: &str) -> usize {
    site.replicas[id].received().len()
}

/// Sends requests until one reaches the upstream `id`; returns the number that have reached it.
fn send_until_reached(site: &Site, gateway: &Gateway, id: &str) -> usize {
    let before = arrivals(site, id);
    let mut number = 0;
    wait_for("a request at the upstream", || {
        number += 1;
        gateway.call("GET", "/read/a", &format!("reach{number}"), &[]);
        arrivals(site, id) > before
    });
    arrivals(site, id)
}

/// Sends `count` requests and checks that the upstream `id` receives none of them.
fn assert_unused(site: &Site, gateway: &Gateway, id: &str, count: usize) {
    let before = arrivals(site, id);
    for number in 0..count {
        gateway.call("GET", "/read/a", &format!("more{number}"), &[]);
    }
    assert_eq!(arrivals(site, id), before, "{id} received new requests");
}

/// Guards against sending requests to an upstream that announced that it is leaving while the
/// registry lists it as ready. The kind of response that held the notice does not matter.
#[rstest]
#[case::success(Behavior::Sound)]
#[case::refusal(Behavior::Shed)]
#[case::failure(Behavior::Fail)]
#[case::cut_short(Behavior::Short)]
#[case::of_another_request(Behavior::Foreign)]
#[case::unsigned(Behavior::Unsigned)]
fn an_upstream_that_announces_leaving_receives_no_more_requests(#[case] behavior: Behavior) {
    let site = Site::desks(&["c1", "c2"]);
    site.replicas["c1"].set_behavior(behavior);
    site.replicas["c1"].set_leaving(true);
    send_until_reached(&site, &site.gateway, "c1");
    // By its health alone, it would be used again after its backoff.
    std::thread::sleep(Duration::from_millis(600));
    assert_unused(&site, &site.gateway, "c1", 30);
    site.gateway
        .wait_line(&["upstream=c1", "outcome=leaving", "told_by="]);
}

/// Idle connections to a leaving upstream are closed so that it can stop.
#[test]
fn idle_connections_to_a_leaving_upstream_are_closed() {
    let site = Site::desks(&["c1", "c2"]);
    send_until_reached(&site, &site.gateway, "c1");
    assert!(site.replicas["c1"].open_connections() > 0);
    site.replicas["c1"].set_leaving(true);
    send_until_reached(&site, &site.gateway, "c1");
    wait_for("the end of idle connections", || {
        site.replicas["c1"].open_connections() == 0
    });
}

/// Guards against sending requests to a leaving upstream during a store outage and after it, when
/// the registry still holds the entry of the same incarnation.
#[test]
fn the_registry_does_not_override_a_notice() {
    let site = Site::desks(&["c1", "c2"]);
    site.store.set_fault(Fault::Down);
    site.gateway
        .wait_line(&["dependency=store", "outcome=lost"]);
    site.replicas["c1"].set_leaving(true);
    send_until_reached(&site, &site.gateway, "c1");
    assert_unused(&site, &site.gateway, "c1", 20);
    site.store.set_fault(Fault::None);
    site.gateway
        .wait_line(&["dependency=store", "outcome=back"]);
    site.replicas["c1"].register(&site.store, "ready");
    assert_unused(&site, &site.gateway, "c1", 20);
}

/// An entry that expires and is rewritten belongs to the same incarnation; only a new incarnation
/// takes requests again.
#[test]
fn only_a_new_incarnation_of_a_leaving_upstream_is_used() {
    let site = Site::desks(&["c1", "c2"]);
    site.replicas["c1"].set_leaving(true);
    send_until_reached(&site, &site.gateway, "c1");
    site.store.remove(store::UPSTREAM_TOPIC, "c1");
    site.gateway.wait_line(&["upstream=c1", "outcome=removed"]);
    site.replicas["c1"].register(&site.store, "ready");
    let added = || {
        let log = site.gateway.log();
        let lines = log.lines();
        lines
            .filter(|line| line.contains("upstream added") && line.contains("\"c1\""))
            .count()
    };
    wait_for("the entry's return", || added() == 2);
    assert_unused(&site, &site.gateway, "c1", 20);
    site.replicas["c1"].set_leaving(false);
    let mut entry = site.replicas["c1"].entry("ready");
    entry["born"] = json!(2);
    let entry = entry.to_string();
    site.store
        .put(store::UPSTREAM_TOPIC, "c1", entry.as_bytes());
    send_until_reached(&site, &site.gateway, "c1");
}

/// A notice binds the host that received it; another host learns it from its own first response.
#[test]
fn each_host_acts_on_notices_in_its_own_responses() {
    let site = Site::desks(&["c1", "c2"]);
    let second = Gateway::start("h2", site.store.address(), NO_ORDERS);
    second.wait_ready();
    second.wait_line(&["upstream=c1", "outcome=added"]);
    site.replicas["c1"].set_leaving(true);
    send_until_reached(&site, &site.gateway, "c1");
    send_until_reached(&site, &second, "c1");
    assert_unused(&site, &site.gateway, "c1", 20);
    assert_unused(&site, &second, "c1", 20);
}

/// A host that starts during a store outage takes over the notices that its peer received, not the
/// older state in the registry.
#[test]
fn a_host_that_restarts_without_the_store_learns_from_a_peer_which_upstreams_leave() {
    let mut site = Site::desks(&["c1", "c2"]);
    let second = Gateway::start("h2", site.store.address(), NO_ORDERS);
    second.wait_ready();
    second.wait_line(&["upstream=c1", "outcome=added"]);
    second.wait_line(&["peers=1"]);
    site.replicas["c1"].set_leaving(true);
    send_until_reached(&site, &second, "c1");
    site.store.set_fault(Fault::Down);
    site.gateway.restart();
    site.gateway.wait_ready();
    assert_unused(&site, &site.gateway, "c1", 20);
}

#[test]
fn a_leaving_prefill_engine_receives_no_more_prefills() {
    let engines = [("p1", "prefill"), ("p2", "prefill"), ("d1", "decode")];
    let site = Site::start(&[], &engines, NO_ORDERS);
    site.replicas["p1"].set_leaving(true);
    site.replicas["p2"].set_leaving(true);
    for number in 0..8 {
        let id = format!("r{number}");
        let response = site.gateway.call("POST", "/ask/a", &id, &LONG_PROMPT);
        assert_eq!(response.status, 200);
    }
    assert!(arrivals(&site, "p1") <= 1);
    assert!(arrivals(&site, "p2") <= 1);
    let decode = &site.replicas["d1"].received()[0];
    let is_transferred = !decode.field("pistachiohall-kv-source").is_empty();
    assert!(is_transferred, "the prefilled prompt is used");
}

#[test]
fn a_stream_of_a_leaving_engine_continues_to_its_end() {
    let site = Site::start(&[], &[("d1", "decode"), ("d2", "decode")], NO_ORDERS);
    site.replicas.values().for_each(|replica| {
        replica.set_leaving(true);
        replica.set_pause(Duration::from_millis(20));
    });
    for id in ["r1", "r2"] {
        let response = site.gateway.call("POST", "/draft/a", id, &SHORT_PROMPT);
        assert!(response.is_complete && response.status == 200);
    }
    let response = site.gateway.call("POST", "/draft/a", "r3", &SHORT_PROMPT);
    assert_eq!(response.status, 503);
    assert_eq!(site.runs(), 2);
}

/// Orders are withheld like requests: a leaving engine is not given another role.
#[test]
fn an_engine_whose_report_announces_leaving_receives_no_order() {
    let engines = [("d1", "decode"), ("d2", "decode")];
    let site = Site::start(&[], &engines, "[orders]\nread_share = 0\n");
    site.replicas
        .values()
        .for_each(|replica| replica.set_leaving(true));
    let second = Gateway::start("h0", site.store.address(), "[orders]\nread_share = 0.5\n");
    second.wait_line(&["outcome=leaving", "told_by=/v1/report"]);
    std::thread::sleep(Duration::from_secs(2));
    for replica in site.replicas.values() {
        assert_eq!(replica.role(), (Some("decode"), 0));
    }
}

/// Guards against keeping idle connections to an engine that announces leaving only in its report:
/// it receives no more requests, so no response would close them.
#[test]
fn a_report_that_announces_leaving_closes_idle_connections() {
    let engines = [("d1", "decode"), ("d2", "decode")];
    let site = Site::start(&[], &engines, "[orders]\nread_share = 0.5\n");
    site.replicas
        .values()
        .for_each(|replica| replica.set_leaving_in_report());
    let mut number = 0;
    wait_for("a report", || {
        number += 1;
        let id = format!("r{number}");
        // No report is asked for before a stream that may not be resumed.
        site.gateway.call("POST", "/draft/a", &id, &SHORT_PROMPT);
        let notice = ["outcome=leaving", "told_by=/v1/report"];
        site.gateway.line(&notice).is_some()
    });
    let line = site
        .gateway
        .line(&["outcome=leaving", "told_by=/v1/report"])
        .unwrap();
    let id = if line.contains("\"d1\"") { "d1" } else { "d2" };
    let begun = Instant::now();
    assert!(site.replicas[id].runs() > 0, "a connection was open");
    wait_for("the end of idle connections", || {
        site.replicas[id].open_connections() == 0
    });
    assert!(
        begun.elapsed() < Duration::from_secs(2),
        "{:?}",
        begun.elapsed()
    );
}

/// Guards against sending requests to an upstream during the pause that it asked for.
#[test]
fn an_upstream_receives_no_requests_during_its_pause() {
    let site = Site::desks(&["c1", "c2"]);
    site.replicas["c1"].set_behavior(Behavior::Shed);
    site.replicas["c1"].set_retry_after(Some("1.5"));
    let reached = send_until_reached(&site, &site.gateway, "c1");
    let asked = Instant::now();
    site.replicas["c1"].set_behavior(Behavior::Sound);
    site.gateway
        .wait_line(&["upstream=c1", "outcome=paused", "pause_ms=1500"]);
    while asked.elapsed() < Duration::from_millis(1300) {
        assert_eq!(site.gateway.call("GET", "/read/a", "r", &[]).status, 200);
        assert_eq!(arrivals(&site, "c1"), reached);
    }
    // A pause does not count as a failure, so the upstream is used as soon as it is over.
    send_until_reached(&site, &site.gateway, "c1");
    assert!(asked.elapsed() < Duration::from_secs(5));
}

/// Concurrent requests are refused as well, and no later request reaches the upstream.
#[test]
fn concurrent_requests_respect_a_pause() {
    let site = Site::desks(&["c1"]);
    site.replicas["c1"].set_behavior(Behavior::Shed);
    site.replicas["c1"].set_retry_after(Some("5"));
    let begun = Instant::now();
    std::thread::scope(|scope| {
        for caller in 0..6 {
            let gateway = &site.gateway;
            scope.spawn(move || {
                for number in 0..20 {
                    let id = format!("r{caller}-{number}");
                    assert_eq!(gateway.call("GET", "/read/a", &id, &[]).status, 503);
                }
            });
        }
    });
    let late = site.replicas["c1"]
        .received()
        .iter()
        .filter(|seen| seen.at.duration_since(begun) > Duration::from_millis(500))
        .count();
    assert_eq!(late, 0);
    assert!(
        arrivals(&site, "c1") <= 12,
        "one send and one retry per caller"
    );
}

/// When all upstreams of a service ask for a pause, the refusal holds the time until the first one
/// takes requests again.
#[rstest]
#[case::plain(&["c1", "c2"], &[], "/read/a")]
#[case::unsafe_plain(&["c1", "c2"], &[], "/act/a")]
#[case::stream(&[], &[("d1", "decode"), ("d2", "decode")], "/draft/a")]
fn callers_are_refused_at_once_until_the_first_pause_ends(
    #[case] plain_upstreams: &[&str],
    #[case] engines: &[(&str, &'static str)],
    #[case] path: &str,
) {
    let site = Site::start(plain_upstreams, engines, NO_ORDERS);
    for (replica, seconds) in site.replicas.values().zip(["1.7", "1.4"]) {
        replica.set_behavior(Behavior::Shed);
        replica.set_retry_after(Some(seconds));
    }
    // Both upstreams are used once, and none after that.
    wait_for("both pauses", || {
        site.gateway.call("POST", path, "r", &SHORT_PROMPT);
        site.replicas
            .values()
            .all(|replica| !replica.received().is_empty())
    });
    let before = site.arrivals();
    let begun = Instant::now();
    let response = site.gateway.call("POST", path, "r2", &SHORT_PROMPT);
    assert_eq!(response.status, 503);
    assert!(begun.elapsed() < Duration::from_millis(500));
    assert_eq!(site.arrivals(), before, "no upstream is used");
    let seconds: f64 = response.fields["retry-after"].parse().unwrap();
    assert!((0.5..=1.4).contains(&seconds), "{seconds}");
}

/// A pause of the prefill engines alone is respected; the prompt is prefilled elsewhere or refused.
#[test]
fn a_prefill_engine_receives_no_prefills_during_its_pause() {
    let engines = [("p1", "prefill"), ("p2", "prefill"), ("d1", "decode")];
    let site = Site::start(&[], &engines, NO_ORDERS);
    for id in ["p1", "p2"] {
        site.replicas[id].set_behavior(Behavior::Shed);
        site.replicas[id].set_retry_after(Some("10"));
    }
    for number in 0..10 {
        let id = format!("r{number}");
        site.gateway.call("POST", "/ask/a", &id, &LONG_PROMPT);
    }
    assert!(arrivals(&site, "p1") <= 1);
    assert!(arrivals(&site, "p2") <= 1);
}

/// An unparsable value is not a pause and crashes no process.
#[rstest]
#[case::text("soon")]
#[case::negative("-3")]
#[case::not_a_number("NaN")]
#[case::date("Fri, 04 Dec 2026 10:00:00 GMT")]
fn an_unparsable_pause_is_logged_and_ignored(#[case] value: &str) {
    let site = Site::desks(&["c1"]);
    site.replicas["c1"].set_behavior(Behavior::Shed);
    site.replicas["c1"].set_retry_after(Some(value));
    send_until_reached(&site, &site.gateway, "c1");
    site.gateway
        .wait_line(&["upstream=c1", "outcome=ignored", "cannot be read"]);
    send_until_reached(&site, &site.gateway, "c1");
}

/// A huge value is reduced to the maximum pause.
#[rstest]
#[case::many_digits("99999999999999999999")]
#[case::infinite("1e999")]
fn a_huge_pause_is_reduced_to_the_maximum(#[case] value: &str) {
    let site = Site::desks(&["c1", "c2"]);
    site.replicas["c1"].set_behavior(Behavior::Shed);
    site.replicas["c1"].set_retry_after(Some(value));
    send_until_reached(&site, &site.gateway, "c1");
    site.gateway
        .wait_line(&["upstream=c1", "outcome=paused", "pause_ms=3600000"]);
    assert_unused(&site, &site.gateway, "c1", 20);
}

/// The metrics count the upstreams that are not used because of their own notices.
#[test]
fn metrics_count_leaving_and_paused_upstreams() {
    let site = Site::desks(&["c1", "c2"]);
    site.replicas["c1"].set_leaving(true);
    site.replicas["c2"].set_behavior(Behavior::Shed);
    site.replicas["c2"].set_retry_after(Some("30"));
    send_until_reached(&site, &site.gateway, "c1");
    send_until_reached(&site, &site.gateway, "c2");
    wait_for("the gauges", || {
        let gauge = |name| site.gateway.gauge(name);
        gauge("upstreams_leaving_by_answer") == 1 && gauge("upstreams_paused") == 1
    });
}
