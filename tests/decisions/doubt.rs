//! Tests of peers' reports of unreachable upstreams.

use std::time::Duration;
use std::time::Instant;

use pistachiohall::gateway::doubt::UnreachabilityReports;
use pistachiohall::id::HostId;

fn host(number: usize) -> HostId {
    format!("h{number}").into()
}

/// Eleven engines crash at once while twenty-five hosts of a domain send to them. Guards against
/// each host losing one request's time per engine to find out by itself.
#[test]
fn reports_of_two_peers_mark_an_upstream_unreachable() {
    let now = Instant::now();
    let crashed: Vec<u32> = (0..11).collect();
    let mut reports = UnreachabilityReports::default();
    reports.record(&host(1), crashed.clone(), now);
    assert!(
        crashed
            .iter()
            .all(|engine| !reports.is_unreachable(*engine, now))
    );
    reports.record(&host(2), crashed.clone(), now);
    assert!(
        crashed
            .iter()
            .all(|engine| reports.is_unreachable(*engine, now))
    );
    assert!(!reports.is_unreachable(11, now));
}

#[test]
fn reports_of_one_peer_do_not_count() {
    let now = Instant::now();
    let mut reports = UnreachabilityReports::default();
    for number in 0..100 {
        reports.record(
            &host(1),
            (0..45).collect(),
            now + Duration::from_millis(20) * number,
        );
    }
    assert!((0..45).all(|engine| !reports.is_unreachable(engine, now)));
}

#[test]
fn reports_expire_when_they_are_not_repeated() {
    let now = Instant::now();
    let mut reports = UnreachabilityReports::default();
    reports.record(&host(1), vec![7], now);
    reports.record(&host(2), vec![7], now);
    // One of two datagrams is lost.
    assert!(reports.is_unreachable(7, now + Duration::from_millis(450)));
    assert!(!reports.is_unreachable(7, now + Duration::from_millis(700)));
    reports.record(&host(1), Vec::new(), now);
    assert!(!reports.is_unreachable(7, now));
}
