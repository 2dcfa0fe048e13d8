//! Tests of upstreams that name a limit: the requests a second that they take from all hosts
//! together.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use pistachiohall::platform::store;
use pistachiohall::standin::fleet::client::Answer;
use pistachiohall::standin::fleet::client::Client;
use pistachiohall::standin::fleet::mortal::CrashingUpstream;

use super::deployment::DEADLINE;
use super::deployment::Deployment;
use super::deployment::Kind;
use super::deployment::LONG_ASK;
use super::deployment::READ;
use super::deployment::RESET;
use super::site::Gateway;
use super::site::NO_ORDERS;
use super::site::Site;
use super::site::wait_for;

/// Time after the first answer with a limit from which it must be kept.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Span in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Duration of the traffic, so that several windows can be counted.
const TRAFFIC_TIME: Duration = Duration::from_secs(9);
/// Pause of a caller after each response.
const CALLER_PAUSE: Duration = Duration::from_millis(30);

const POPULAR_READ: Kind = Kind {
    path: "/read/a",
    ..READ
};
const POPULAR_ASK: Kind = Kind {
    path: "/ask/a",
    ..LONG_ASK
};

/// Settings whose share of prefill engines the deployment has: without one, all of them are ordered to decode.
const ROLES_KEPT: &str = "[orders]\nread_share = 0.5\n[repeats]\nratio = 1000\n";

/// Returns the maximum requests in one window.
fn max_in_window(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64()) as usize + 5
}

/// Returns the maximum number of requests that an upstream got in any window from `from` on.
fn busiest_window(upstream: &CrashingUpstream, from: Instant) -> usize {
    let received = upstream.received();
    let mut arrivals: Vec<Instant> = received.iter().map(|request| request.at).collect();
    arrivals.retain(|at| *at >= from);
    arrivals.sort_unstable();
    let in_window = |index: usize| {
        let first = arrivals[index];
        let rest = arrivals[index..].iter();
        rest.take_while(|at| **at < first + WINDOW).count()
    };
    (0..arrivals.len()).map(in_window).max().unwrap_or(0)
}

/// Sends requests one after the other on one connection until `stop`; returns the answers.
fn call_until(gateway: &Gateway, name: &str, kind: Kind, stop: &AtomicBool) -> Vec<Answer> {
    let mut answers = Vec::new();
    let mut client = gateway.client();
    let mut fields = kind.prompt.to_vec();
    fields.push(DEADLINE);
    while !stop.load(Ordering::SeqCst) {
        let id = format!("{name}-{}", answers.len());
        let sent = client.send(kind.method, kind.path, &id, &fields, kind.body);
        let answer = sent.and_then(|()| client.receive()).unwrap_or_default();
        if answer.status == 0 {
            client = Client::connect(gateway.callers()).unwrap();
        }
        answers.push(answer);
        std::thread::sleep(CALLER_PAUSE);
    }
    answers
}

/// Sends requests for `duration` with as many callers at each host as `callers` has for it.
fn send_traffic(
    gateways: &[Gateway],
    callers: &[usize],
    kind: Kind,
    duration: Duration,
) -> Vec<Answer> {
    let stop = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let mut running = Vec::new();
        for (host, count) in callers.iter().enumerate() {
            for caller in 0..*count {
                let (gateway, stop) = (&gateways[host], &stop);
                let name = format!("h{host}c{caller}");
                running.push(scope.spawn(move || call_until(gateway, &name, kind, stop)));
            }
        }
        std::thread::sleep(duration);
        stop.store(true, Ordering::SeqCst);
        let answers = running.into_iter().map(|caller| caller.join().unwrap());
        answers.flatten().collect()
    })
}

/// Guards against hosts that ignore a limit, or of which each takes all of it.
#[rstest]
#[case::two_hosts(6.0, &[4, 4], POPULAR_READ)]
#[case::two_hosts_lopsided(6.0, &[7, 1], POPULAR_READ)]
#[case::six_hosts(6.0, &[2, 2, 2, 2, 2, 2], POPULAR_READ)]
#[case::six_hosts_low(1.5, &[2, 2, 2, 2, 2, 2], POPULAR_READ)]
#[case::six_hosts_lopsided(6.0, &[6, 2, 1, 1, 1, 1], POPULAR_READ)]
#[case::split(6.0, &[3, 3, 3], POPULAR_ASK)]
fn an_upstream_gets_no_more_than_the_limit_that_it_names(
    #[case] limit: f64,
    #[case] callers: &[usize],
    #[case] kind: Kind,
) {
    let deployment = Deployment::with_settings(callers.len(), RESET, ROLES_KEPT);
    // Two of four upstreams of each kind: c1 and c2, p1 and p2, d1 and d2.
    let limited: Vec<&CrashingUpstream> = [0, 1, 4, 5, 8, 9]
        .map(|index| &deployment.mortals[index])
        .to_vec();
    for upstream in &limited {
        upstream.with(|replica| replica.set_limit(Some(&limit.to_string())));
    }
    let started_at = Instant::now();
    let answers = send_traffic(&deployment.gateways, callers, kind, TRAFFIC_TIME);
    let counts = limited
        .iter()
        .map(|upstream| busiest_window(upstream, started_at + SETTLING_TIME));
    let counts: Vec<usize> = counts.collect();
    let busiest = counts.iter().copied().max().unwrap_or(0);
    assert!(
        busiest <= max_in_window(limit),
        "requests in a window: {counts:?}; allowed {}",
        max_in_window(limit)
    );
    assert!(busiest > 0, "no limited upstream is used any more");
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert!(
        served * 20 >= answers.len() * 19,
        "{served} of {} requests were served",
        answers.len()
    );
}

/// Guards against keeping to a limit that is no longer named.
#[test]
fn an_upstream_that_names_no_limit_any_more_is_used_as_before() {
    let deployment = Deployment::new(2, RESET);
    let upstream = &deployment.mortals[0];
    upstream.with(|replica| replica.set_limit(Some("1")));
    send_traffic(
        &deployment.gateways,
        &[3, 3],
        POPULAR_READ,
        Duration::from_secs(6),
    );
    let limited = busiest_window(upstream, Instant::now() - WINDOW);
    assert!(limited <= max_in_window(1.0), "{limited} while limited");
    upstream.with(|replica| replica.set_limit(None));
    let settling = Duration::from_secs(4);
    send_traffic(&deployment.gateways, &[3, 3], POPULAR_READ, settling);
    let lifted_at = Instant::now();
    send_traffic(&deployment.gateways, &[3, 3], POPULAR_READ, WINDOW);
    let lifted = busiest_window(upstream, lifted_at);
    assert!(lifted > 2 * max_in_window(1.0), "{lifted} once lifted");
}

/// Guards against a share that stays as it was because the upstream had no entry when another host
/// joined.
#[test]
fn a_share_follows_the_hosts_while_an_entry_is_away() {
    let site = Site::desks(&["c1", "c2"]);
    site.replicas["c1"].set_limit(Some("2"));
    let first = &site.gateway;
    for number in 0..20 {
        first.call("GET", "/read/a", &format!("r{number}"), &[DEADLINE]);
    }
    let shared = |hosts: &str| {
        let hosts = format!("hosts={hosts}");
        first
            .line(&["share of a limit set", "upstream=c1", &hosts])
            .is_some()
    };
    wait_for("a share as the only host", || shared("1"));
    site.store.remove(store::UPSTREAM_TOPIC, "c1");
    first.wait_line(&["upstream=c1", "outcome=removed"]);
    let second = Gateway::start("h2", site.store.address(), NO_ORDERS);
    second.wait_ready();
    first.wait_line(&["peers heard changed", "peers=1"]);
    std::thread::sleep(Duration::from_millis(500));
    site.replicas["c1"].register(&site.store, "ready");
    wait_for("a share as one of two hosts", || shared("2"));
}

/// Guards against holding requests back until their deadline passes while all upstreams are limited.
#[test]
fn requests_beyond_all_limits_are_refused_at_once() {
    let site = Site::desks(&["c1"]);
    site.replicas["c1"].set_limit(Some("2"));
    let mut refused = 0;
    let started_at = Instant::now();
    let mut number = 0;
    while started_at.elapsed() < SETTLING_TIME + WINDOW {
        number += 1;
        let sent_at = Instant::now();
        let id = format!("r{number}");
        let answer = site.gateway.call("GET", "/read/a", &id, &[DEADLINE]);
        if answer.status == 503 {
            refused += 1;
            let elapsed = sent_at.elapsed();
            assert!(elapsed < Duration::from_millis(300), "after {elapsed:?}");
            let retry_after: f64 = answer.fields["retry-after"].parse().unwrap();
            assert!((0.0..=0.7).contains(&retry_after), "{retry_after}");
        }
        std::thread::sleep(CALLER_PAUSE);
    }
    let received = site.replicas["c1"].received();
    let late = received
        .iter()
        .filter(|request| request.at > started_at + SETTLING_TIME);
    let late = late.count();
    assert!((1..=max_in_window(2.0)).contains(&late), "{late} requests");
    assert!(refused > 0);
}

/// A value that is no number of requests is ignored.
#[rstest]
#[case("many")]
#[case("-1")]
#[case("NaN")]
fn a_limit_that_is_no_number_is_ignored(#[case] value: &str) {
    let site = Site::desks(&["c1"]);
    site.replicas["c1"].set_limit(Some(value));
    for number in 0..20 {
        let answer = site
            .gateway
            .call("GET", "/read/a", &format!("r{number}"), &[]);
        assert_eq!(answer.status, 200);
    }
}
