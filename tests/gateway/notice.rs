//! What upstreams say of themselves in their answers: that they leave, or want nothing for a while.

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

/// Returns how many requests have reached an upstream.
fn arrivals(site: &Site, id: &str) -> usize {
    site.replicas[id].received().len()
}

/// Calls until a request reaches the upstream `id`; returns how many have then.
fn reach(site: &Site, gateway: &Gateway, id: &str) -> usize {
    let before = arrivals(site, id);
    let mut number = 0;
    wait_for("a request at the upstream", || {
        number += 1;
        gateway.call("GET", "/read/a", &format!("reach{number}"), &[]);
        arrivals(site, id) > before
    });
    arrivals(site, id)
}

/// Calls `count` times and checks that the upstream `id` gets none of the requests.
fn assert_unused(site: &Site, gateway: &Gateway, id: &str, count: usize) {
    let before = arrivals(site, id);
    for number in 0..count {
        gateway.call("GET", "/read/a", &format!("more{number}"), &[]);
    }
    assert_eq!(arrivals(site, id), before, "{id} got new requests");
}

/// Guards against new work at an upstream whose answer says that it leaves, whatever the answer is
/// worth, while the registry calls it ready.
#[rstest]
#[case::success(Behavior::Sound)]
#[case::refusal(Behavior::Shed)]
#[case::failure(Behavior::Fail)]
#[case::cut_short(Behavior::Short)]
#[case::of_another_request(Behavior::Foreign)]
#[case::unsigned(Behavior::Unsigned)]
fn an_upstream_that_says_it_leaves_gets_no_more_requests(#[case] manner: Behavior) {
    let site = Site::desks(&["c1", "c2"]);
    site.replicas["c1"].set_behavior(manner);
    site.replicas["c1"].set_leaving(true);
    reach(&site, &site.gateway, "c1");
    // Health alone would try it again after its pause.
    std::thread::sleep(Duration::from_millis(600));
    assert_unused(&site, &site.gateway, "c1", 30);
    site.gateway
        .wait_line(&["upstream=c1", "outcome=leaving", "told_by="]);
}

/// Connections that were kept to an upstream that leaves are closed, so that it can end.
#[test]
fn kept_connections_to_an_upstream_that_leaves_are_closed() {
    let site = Site::desks(&["c1", "c2"]);
    reach(&site, &site.gateway, "c1");
    assert!(site.replicas["c1"].open_connections() > 0);
    site.replicas["c1"].set_leaving(true);
    reach(&site, &site.gateway, "c1");
    wait_for("the end of kept connections", || {
        site.replicas["c1"].open_connections() == 0
    });
}

/// Guards against new work at a leaving upstream while the store is away and after its return, when
/// the registry still holds the entry of the same life.
#[test]
fn the_store_does_not_undo_what_an_upstream_said() {
    let site = Site::desks(&["c1", "c2"]);
    site.store.set_fault(Fault::Down);
    site.gateway
        .wait_line(&["dependency=store", "outcome=lost"]);
    site.replicas["c1"].set_leaving(true);
    reach(&site, &site.gateway, "c1");
    assert_unused(&site, &site.gateway, "c1", 20);
    site.store.set_fault(Fault::None);
    site.gateway
        .wait_line(&["dependency=store", "outcome=back"]);
    site.replicas["c1"].register(&site.store, "ready");
    assert_unused(&site, &site.gateway, "c1", 20);
}

/// An entry that lapses and is written again is of the same life; a new life is another upstream.
#[test]
fn only_a_new_life_of_an_upstream_that_left_is_used() {
    let site = Site::desks(&["c1", "c2"]);
    site.replicas["c1"].set_leaving(true);
    reach(&site, &site.gateway, "c1");
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
    reach(&site, &site.gateway, "c1");
}

/// What one host was told binds that host; another one learns it from its own first answer.
#[test]
fn each_host_acts_on_its_own_answers() {
    let site = Site::desks(&["c1", "c2"]);
    let second = Gateway::start("h2", site.store.address(), NO_ORDERS);
    second.wait_ready();
    second.wait_line(&["upstream=c1", "outcome=added"]);
    site.replicas["c1"].set_leaving(true);
    reach(&site, &site.gateway, "c1");
    reach(&site, &second, "c1");
    assert_unused(&site, &site.gateway, "c1", 20);
    assert_unused(&site, &second, "c1", 20);
}

/// A host that starts while the store is away takes over what its peer was told, and not the
/// registry's older word.
#[test]
fn a_host_that_restarts_without_the_store_learns_from_a_peer_who_leaves() {
    let mut site = Site::desks(&["c1", "c2"]);
    let second = Gateway::start("h2", site.store.address(), NO_ORDERS);
    second.wait_ready();
    second.wait_line(&["upstream=c1", "outcome=added"]);
    second.wait_line(&["peers=1"]);
    site.replicas["c1"].set_leaving(true);
    reach(&site, &second, "c1");
    site.store.set_fault(Fault::Down);
    site.gateway.restart();
    site.gateway.wait_ready();
    assert_unused(&site, &site.gateway, "c1", 20);
}

#[test]
fn a_reader_that_leaves_reads_no_more_prompts() {
    let engines = [("p1", "prefill"), ("p2", "prefill"), ("d1", "decode")];
    let site = Site::start(&[], &engines, NO_ORDERS);
    site.replicas["p1"].set_leaving(true);
    site.replicas["p2"].set_leaving(true);
    for number in 0..8 {
        let id = format!("r{number}");
        let answer = site.gateway.call("POST", "/ask/a", &id, &LONG_PROMPT);
        assert_eq!(answer.status, 200);
    }
    assert!(arrivals(&site, "p1") <= 1);
    assert!(arrivals(&site, "p2") <= 1);
    let generated = &site.replicas["d1"].received()[0];
    let is_moved = !generated.field("pistachiohall-kv-source").is_empty();
    assert!(is_moved, "the prompt that was read is used");
}

#[test]
fn a_stream_of_an_engine_that_leaves_goes_on_to_its_end() {
    let site = Site::start(&[], &[("d1", "decode"), ("d2", "decode")], NO_ORDERS);
    site.replicas.values().for_each(|replica| {
        replica.set_leaving(true);
        replica.set_pause(Duration::from_millis(20));
    });
    for id in ["r1", "r2"] {
        let answer = site.gateway.call("POST", "/draft/a", id, &SHORT_PROMPT);
        assert!(answer.is_complete && answer.status == 200);
    }
    let answer = site.gateway.call("POST", "/draft/a", "r3", &SHORT_PROMPT);
    assert_eq!(answer.status, 503);
    assert_eq!(site.runs(), 2);
}

/// Orders go to the same gate as requests: an engine that leaves is given no other role.
#[test]
fn an_engine_whose_report_says_that_it_leaves_gets_no_order() {
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

/// Guards against connections that are kept to an engine which only its report says is leaving: it
/// gets no more requests whose answers would close them.
#[test]
fn a_report_that_tells_of_leaving_closes_kept_connections() {
    let engines = [("d1", "decode"), ("d2", "decode")];
    let site = Site::start(&[], &engines, "[orders]\nread_share = 0.5\n");
    site.replicas
        .values()
        .for_each(|replica| replica.set_leaving_in_report());
    let mut number = 0;
    wait_for("a report", || {
        number += 1;
        let id = format!("r{number}");
        site.gateway.call("POST", "/ask/a", &id, &SHORT_PROMPT);
        let told = ["outcome=leaving", "told_by=/v1/report"];
        site.gateway.line(&told).is_some()
    });
    let told = site
        .gateway
        .line(&["outcome=leaving", "told_by=/v1/report"])
        .unwrap();
    let id = if told.contains("\"d1\"") { "d1" } else { "d2" };
    let begun = Instant::now();
    assert!(site.replicas[id].runs() > 0, "a connection was kept");
    wait_for("the end of kept connections", || {
        site.replicas[id].open_connections() == 0
    });
    assert!(
        begun.elapsed() < Duration::from_secs(2),
        "{:?}",
        begun.elapsed()
    );
}

/// Guards against requests at an upstream within the time for which it wants none.
#[test]
fn an_upstream_that_asks_for_a_pause_gets_it() {
    let site = Site::desks(&["c1", "c2"]);
    site.replicas["c1"].set_behavior(Behavior::Shed);
    site.replicas["c1"].set_retry_after(Some("1.5"));
    let reached = reach(&site, &site.gateway, "c1");
    let asked = Instant::now();
    site.replicas["c1"].set_behavior(Behavior::Sound);
    site.gateway
        .wait_line(&["upstream=c1", "outcome=paused", "pause_ms=1500"]);
    while asked.elapsed() < Duration::from_millis(1300) {
        assert_eq!(site.gateway.call("GET", "/read/a", "r", &[]).status, 200);
        assert_eq!(arrivals(&site, "c1"), reached);
    }
    // The pause is over in time: it is a limit, not a doubt.
    reach(&site, &site.gateway, "c1");
    assert!(asked.elapsed() < Duration::from_secs(5));
}

/// Concurrent requests are refused as well, and none that is sent later reaches the upstream.
#[test]
fn requests_at_the_same_time_respect_a_pause() {
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
        "one send a caller and a repeat"
    );
}

/// When all upstreams of a kind ask for a pause, callers are told when the first takes work again.
#[rstest]
#[case::plain(&["c1", "c2"], &[], "/read/a")]
#[case::unsafe_plain(&["c1", "c2"], &[], "/act/a")]
#[case::stream(&[], &[("d1", "decode"), ("d2", "decode")], "/draft/a")]
fn callers_are_refused_at_once_until_the_first_pause_ends(
    #[case] desks: &[&str],
    #[case] engines: &[(&str, &'static str)],
    #[case] path: &str,
) {
    let site = Site::start(desks, engines, NO_ORDERS);
    for (replica, seconds) in site.replicas.values().zip(["1.7", "1.4"]) {
        replica.set_behavior(Behavior::Shed);
        replica.set_retry_after(Some(seconds));
    }
    // Both are asked, and then none.
    wait_for("both pauses", || {
        site.gateway.call("POST", path, "r", &SHORT_PROMPT);
        site.replicas
            .values()
            .all(|replica| !replica.received().is_empty())
    });
    let before = site.arrivals();
    let begun = Instant::now();
    let answer = site.gateway.call("POST", path, "r2", &SHORT_PROMPT);
    assert_eq!(answer.status, 503);
    assert!(begun.elapsed() < Duration::from_millis(500));
    assert_eq!(site.arrivals(), before, "nobody is asked");
    let seconds: f64 = answer.fields["retry-after"].parse().unwrap();
    assert!((0.5..=1.4).contains(&seconds), "{seconds}");
}

/// A pause at the readers alone is respected as well; the prompt is read elsewhere or refused.
#[test]
fn a_reader_that_asks_for_a_pause_reads_no_prompts_meanwhile() {
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

/// A value that cannot be read is no pause, and ends no process.
#[rstest]
#[case::text("soon")]
#[case::negative("-3")]
#[case::not_a_number("NaN")]
#[case::date("Fri, 04 Dec 2026 10:00:00 GMT")]
fn a_pause_that_cannot_be_read_is_logged_and_ignored(#[case] value: &str) {
    let site = Site::desks(&["c1"]);
    site.replicas["c1"].set_behavior(Behavior::Shed);
    site.replicas["c1"].set_retry_after(Some(value));
    reach(&site, &site.gateway, "c1");
    site.gateway
        .wait_line(&["upstream=c1", "outcome=ignored", "cannot be read"]);
    reach(&site, &site.gateway, "c1");
}

/// An absurd value is the longest pause that is granted.
#[rstest]
#[case::many_digits("99999999999999999999")]
#[case::infinite("1e999")]
fn an_absurd_pause_is_bounded(#[case] value: &str) {
    let site = Site::desks(&["c1", "c2"]);
    site.replicas["c1"].set_behavior(Behavior::Shed);
    site.replicas["c1"].set_retry_after(Some(value));
    reach(&site, &site.gateway, "c1");
    site.gateway
        .wait_line(&["upstream=c1", "outcome=paused", "pause_ms=3600000"]);
    assert_unused(&site, &site.gateway, "c1", 20);
}

/// The log and the metrics tell which upstreams are not used since they said so.
#[test]
fn tells_which_upstreams_take_no_work() {
    let site = Site::desks(&["c1", "c2"]);
    site.replicas["c1"].set_leaving(true);
    site.replicas["c2"].set_behavior(Behavior::Shed);
    site.replicas["c2"].set_retry_after(Some("30"));
    reach(&site, &site.gateway, "c1");
    reach(&site, &site.gateway, "c2");
    wait_for("the gauges", || {
        let gauge = |name| site.gateway.gauge(name);
        gauge("upstreams_leaving_by_answer") == 1 && gauge("upstreams_paused") == 1
    });
}
