//! Tests of a gateway's startup, reload, metrics and graceful shutdown.

use std::time::Duration;

use rstest::rstest;

use pistachiohall::standin::fleet::replica::Behavior;

use super::site::NO_ORDERS;
use super::site::Site;
use super::site::wait_for;

const QUICK_SHUTDOWN: &str =
    "[orders]\nread_share = 0\n[shutdown]\nbalancer_lag = 300ms\nlimit = 8s\n";

/// Guards against aborting requests at a graceful shutdown: those that run when the signal arrives,
/// and those that the balancer still sends.
#[test]
fn shuts_down_without_aborting_a_request() {
    let mut site = Site::start(&["c1"], &[("d1", "decode")], QUICK_SHUTDOWN);
    site.replicas["c1"].set_pause(Duration::from_millis(800));
    site.replicas["d1"].set_pause(Duration::from_millis(200));
    let mut plain = site.gateway.client();
    let mut stream = site.gateway.client();
    let sizes = [("Pistachiohall-Token-Count", "20,6")];
    plain.send("POST", "/act/a", "r1", &[], b"").unwrap();
    stream.send("POST", "/draft/a", "r2", &sizes, b"").unwrap();
    wait_for("both run", || site.runs() == 2);
    site.replicas["c1"].set_pause(Duration::ZERO);
    site.gateway.signal("-TERM");
    site.gateway.wait_line(&["outcome=leaving"]);
    assert_eq!(site.gateway.readiness(), 503);
    let answer = site.gateway.call("GET", "/read/a", "r3", &[]);
    assert_eq!(answer.status, 200, "the balancer may still send requests");
    assert_eq!(answer.fields["connection"], "close");
    let answer = plain.receive().unwrap();
    assert_eq!((answer.status, answer.is_complete), (200, true));
    let answer = stream.receive().unwrap();
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert!(plain.is_ended().unwrap());
    assert_eq!(site.gateway.wait(), Some(0));
    site.gateway.wait_line(&["finished=true", "outcome=left"]);
}

#[test]
fn abandons_a_hanging_request_at_the_shutdown_limit() {
    let more = "[orders]\nread_share = 0\n[shutdown]\nbalancer_lag = 100ms\nlimit = 1s\n";
    let mut site = Site::start(&["c1"], &[], more);
    site.replicas["c1"].set_behavior(Behavior::Hang);
    let mut client = site.gateway.client();
    client.send("POST", "/act/a", "r1", &[], b"").unwrap();
    wait_for("it runs", || site.runs() == 1);
    site.gateway.signal("-TERM");
    assert_eq!(site.gateway.wait(), Some(1));
}

#[test]
fn reloads_its_settings_and_keeps_the_old_ones_if_the_new_are_invalid() {
    let site = Site::desks(&["c1"]);
    let store = site.store.address();
    site.gateway.rewrite(
        "h1",
        store,
        "[repeats]\nslack = 7\n[orders]\nread_share = 0\n",
    );
    site.gateway.signal("-HUP");
    site.gateway.wait_line(&["slack: 7.0", "outcome=reloaded"]);
    site.gateway
        .rewrite("h1", store, "[repeats]\nslack = many\n");
    site.gateway.signal("-HUP");
    site.gateway
        .wait_line(&["`slack` is `many`", "outcome=kept-old-settings"]);
    assert_eq!(site.gateway.call("GET", "/read/a", "r1", &[]).status, 200);
}

#[test]
fn counts_and_logs_each_request() {
    let site = Site::desks(&["c1"]);
    assert_eq!(site.gateway.call("GET", "/read/a", "r1", &[]).status, 200);
    site.replicas["c1"].set_behavior(Behavior::Shed);
    assert_eq!(site.gateway.call("POST", "/act/a", "r2", &[]).status, 503);
    site.gateway.wait_line(&[
        "request=r1",
        "config=3",
        "outcome=delivered",
        r#","step":"c1=200"}]"#,
    ]);
    site.gateway
        .wait_line(&["request=r2", "outcome=refused", "c1=NotRun(503)"]);
    let metrics = site.gateway.metrics();
    assert!(
        metrics.contains("pistachiohall_requests_delivered_total 1\n"),
        "{metrics}"
    );
    assert!(
        metrics.contains("pistachiohall_requests_refused_total 1\n"),
        "{metrics}"
    );
    assert!(
        metrics.contains("pistachiohall_total_ms_count{route=\"read\"} 1\n"),
        "{metrics}"
    );
}

/// A killed process recovers its state from the store.
#[rstest]
#[case(0)]
#[case(1)]
fn recovers_after_a_kill(#[case] more_configs: u64) {
    let mut site = Site::desks(&["c1"]);
    for number in 0..more_configs {
        let config = pistachiohall::standin::fleet::config(10 + number);
        site.store.put_config(&config);
    }
    site.gateway.signal("-KILL");
    assert_eq!(site.gateway.wait(), None);
    site.gateway = super::site::Gateway::start("h1", site.store.address(), NO_ORDERS);
    site.gateway.wait_ready();
    site.gateway.wait_line(&["upstream=c1", "outcome=added"]);
    assert_eq!(site.gateway.call("GET", "/read/a", "r1", &[]).status, 200);
}

#[test]
fn exports_the_age_of_its_view_and_decisions_by_reason() {
    let site = Site::start(
        &["c1"],
        &[],
        "[orders]\nread_share = 0\n[repeats]\nslack = 50\n",
    );
    assert_eq!(site.gateway.call("GET", "/read/a", "r1", &[]).status, 200);
    let refused = site.gateway.call("POST", "/ask/a", "r2", &[]);
    assert_eq!(refused.status, 503);
    let gauge = |name: &str| -> Option<i64> {
        let metrics = site.gateway.metrics();
        let prefix = format!("pistachiohall_{name} ");
        let line = metrics.lines().find_map(|line| line.strip_prefix(&prefix));
        line.map(|value| value.parse().unwrap())
    };
    wait_for("gauges", || gauge("repeats_left").is_some());
    assert_eq!(gauge("config_version"), Some(3));
    // Gauges are set one after the other, so that this one may still be that of the sweep before.
    wait_for("calls to the store", || gauge("store_calls").unwrap() >= 3);
    // Both are read at least once per second.
    wait_for("a recently read configuration", || {
        gauge("config_age_ms").unwrap() < 1500
    });
    wait_for("recently read upstreams", || {
        gauge("upstreams_age_ms").unwrap() < 1500
    });
    let metrics = site.gateway.metrics();
    let reason = "pistachiohall_decisions_total{reason=\"no upstream takes work\"} 1";
    assert!(metrics.contains(reason), "{metrics}");
}

/// Checks the harness: a gateway restarts at its address although another process took its port
/// number on 127.0.0.1 meanwhile.
#[test]
fn a_gateway_restarts_at_its_address_while_its_port_number_is_taken() {
    let mut site = Site::desks(&["c1"]);
    let peers = site.gateway.peers();
    site.gateway.signal("-KILL");
    assert_eq!(site.gateway.wait(), None);
    // A connection of a parallel test may have taken it already.
    let taken = std::net::TcpListener::bind(("127.0.0.1", peers.port()));
    let is_taken = |cause: &std::io::Error| cause.kind() == std::io::ErrorKind::AddrInUse;
    assert!(taken.as_ref().err().is_none_or(is_taken), "{taken:?}");
    site.gateway.restart();
    site.gateway.wait_ready();
    assert_eq!(site.gateway.peers(), peers);
}
