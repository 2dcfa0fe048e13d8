//! Upstreams that peers cannot reach.

use std::time::Duration;
use std::time::Instant;

use pistachiohall::gateway::doubt::UnreachabilityReports;
use pistachiohall::id::HostId;

fn host(number: usize) -> HostId {
    format!("h{number}").into()
}

/// Pattern: eleven engines crash at once while twenty-five hosts of a domain send to them. Each
/// host that has to find out by itself loses a request's time for each engine.
#[test]
fn two_hosts_find_out_for_a_domain() {
    let now = Instant::now();
    let crashed: Vec<u32> = (0..11).collect();
    let mut unreachability_reports = UnreachabilityReports::default();
    unreachability_reports.record(&host(1), crashed.clone(), now);
    assert!(
        crashed
            .iter()
            .all(|engine| !unreachability_reports.holds(*engine, now))
    );
    unreachability_reports.record(&host(2), crashed.clone(), now);
    assert!(
        crashed
            .iter()
            .all(|engine| unreachability_reports.holds(*engine, now))
    );
    assert!(!unreachability_reports.holds(11, now));
}

#[test]
fn one_host_with_a_fault_of_its_own_convinces_nobody() {
    let now = Instant::now();
    let mut unreachability_reports = UnreachabilityReports::default();
    for number in 0..100 {
        unreachability_reports.record(
            &host(1),
            (0..45).collect(),
            now + Duration::from_millis(20) * number,
        );
    }
    assert!((0..45).all(|engine| !unreachability_reports.holds(engine, now)));
}

#[test]
fn doubts_end_when_they_are_no_longer_told() {
    let now = Instant::now();
    let mut unreachability_reports = UnreachabilityReports::default();
    unreachability_reports.record(&host(1), vec![7], now);
    unreachability_reports.record(&host(2), vec![7], now);
    // Told twice, one datagram lost.
    assert!(unreachability_reports.holds(7, now + Duration::from_millis(450)));
    assert!(!unreachability_reports.holds(7, now + Duration::from_millis(700)));
    unreachability_reports.record(&host(1), Vec::new(), now);
    assert!(!unreachability_reports.holds(7, now));
}
