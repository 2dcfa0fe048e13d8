//! Tests of limits that upstreams name, shared among hosts that exchange no message for a request.

use std::time::Duration;
use std::time::Instant;

use pistachiohall::id::HostId;
use pistachiohall::throttle::Limit;
use pistachiohall::throttle::Share;
use pistachiohall::throttle::Throttle;
use rstest::rstest;

const UPSTREAM: &str = "c1";
/// Interval at which each host tries to send.
const TICK: Duration = Duration::from_millis(10);
/// Span in which requests are counted, in ticks.
const WINDOW_TICKS: usize = 400;
/// Ticks of a run.
const RUN_TICKS: usize = 3000;

fn names(count: usize) -> Vec<HostId> {
    (0..count)
        .map(|host| format!("h{host:03}").into())
        .collect()
}

/// Hosts with a limit that was named to all of them.
struct Fleet {
    throttles: Vec<Throttle>,
    now: Instant,
    sent: Vec<usize>,
}

impl Fleet {
    fn new(hosts: usize, limit: Limit) -> Self {
        let mut fleet = Fleet {
            throttles: vec![Throttle::default(); hosts],
            now: Instant::now(),
            sent: Vec::new(),
        };
        let all = names(hosts);
        for (host, throttle) in fleet.throttles.iter_mut().enumerate() {
            throttle.record_named(limit, fleet.now);
            throttle.set_share(Share::of(&all[host], &all, UPSTREAM), 1, fleet.now);
        }
        fleet
    }

    /// Has each host that `is_sending` selects send whenever it may, for some ticks.
    ///
    /// Hosts that send are told the limit again; what they know reaches the others.
    fn run<F>(&mut self, ticks: usize, limit: Limit, is_sending: F)
    where
        F: Fn(usize, usize) -> bool,
    {
        for tick in 0..ticks {
            self.now += TICK;
            let mut sent = 0;
            for (host, throttle) in self.throttles.iter_mut().enumerate() {
                if is_sending(host, tick) && throttle.try_take(self.now) {
                    sent += 1;
                    throttle.record_named(limit, self.now);
                }
            }
            self.sent.push(sent);
            let now = self.now;
            let reports = self.throttles.iter_mut();
            let reports: Vec<Limit> = reports
                .filter_map(|throttle| throttle.due_report(now))
                .collect();
            for throttle in &mut self.throttles {
                for reported in &reports {
                    throttle.record_reported(*reported, now);
                }
            }
        }
    }

    fn busiest_window(&self) -> usize {
        let windows = self.sent.windows(WINDOW_TICKS);
        windows
            .map(|window| window.iter().sum())
            .max()
            .unwrap_or_default()
    }

    fn assert_kept(&self, limit: Limit) {
        let allowed = 6.0 * limit.requests_per_s() + 5.0;
        let busiest = self.busiest_window();
        assert!(
            busiest as f64 <= allowed,
            "{busiest} requests in a window; allowed {allowed}"
        );
    }
}

/// Guards against a limit that each host takes for itself, and against shares that are lost because
/// they are smaller than a request.
#[rstest]
fn all_hosts_together_keep_to_a_limit_and_use_it(
    #[values(1, 2, 8, 88, 300)] hosts: usize,
    #[values(300, 2_000, 16_200, 100_000)] limit: u32,
) {
    let limit = Limit(limit);
    let mut fleet = Fleet::new(hosts, limit);
    fleet.run(RUN_TICKS, limit, |_, _| true);
    fleet.assert_kept(limit);
    let sent: usize = fleet.sent.iter().sum();
    let used = sent as f64 / (limit.requests_per_s() * RUN_TICKS as f64 / 100.0);
    assert!(used > 0.8, "only {used} of the limit is used");
}

/// Requests come to few of the hosts, or in bursts.
#[rstest]
#[case::few_hosts(|host, _| host < 2)]
#[case::bursts(|_, tick| tick % 300 < 20)]
#[case::one_host_at_a_time(|host, tick| host == tick / 100 % 8)]
fn uneven_traffic_keeps_to_a_limit<F>(
    #[case] is_sending: F,
    #[values(300, 2_000, 16_200)] limit: u32,
) where
    F: Fn(usize, usize) -> bool,
{
    let limit = Limit(limit);
    let mut fleet = Fleet::new(8, limit);
    fleet.run(RUN_TICKS, limit, is_sending);
    fleet.assert_kept(limit);
}

/// Hosts come and go, and the others learn of it at different times.
#[rstest]
fn hosts_that_disagree_on_their_number_keep_to_a_limit(#[values(6, 40, 300)] hosts: usize) {
    let limit = Limit(16_200);
    let mut fleet = Fleet::new(hosts, limit);
    let all = names(hosts);
    for round in 0..10 {
        for host in 0..hosts {
            // One host in ten is missing in the view of every second host.
            let is_missing = |other: usize| host % 2 == 0 && other % 10 == round && other != host;
            let seen = (0..hosts).filter(|other| !is_missing(*other));
            let seen: Vec<HostId> = seen.map(|other| all[other].clone()).collect();
            let share = Share::of(&all[host], &seen, UPSTREAM);
            fleet.throttles[host].set_share(share, round as u64, fleet.now);
        }
        fleet.run(RUN_TICKS / 10, limit, |_, _| true);
    }
    fleet.assert_kept(limit);
}

/// The value changes with each response, and hosts hear of it at different times.
#[test]
fn a_limit_that_changes_with_each_response_is_kept() {
    let mut fleet = Fleet::new(6, Limit(16_200));
    for round in 0..60 {
        let limit = Limit(if round % 2 == 0 { 16_200 } else { 17_800 });
        fleet.run(RUN_TICKS / 60, limit, |_, _| true);
    }
    fleet.assert_kept(Limit(17_000));
}

/// Guards against hosts without a share that never learn that a limit was lifted, and that all take
/// it for lifted while it is still reported.
#[test]
fn hosts_without_a_share_follow_the_reports_of_others() {
    let limit = Limit(1_000);
    let mut fleet = Fleet::new(300, limit);
    fleet.run(RUN_TICKS, limit, |_, _| true);
    fleet.assert_kept(limit);
    let now = fleet.now;
    let limited = |fleet: &Fleet, at| {
        let throttles = fleet.throttles.iter();
        throttles.filter(|throttle| throttle.is_limited(at)).count()
    };
    assert_eq!(limited(&fleet, now), 300);
    for throttle in &mut fleet.throttles {
        if throttle.due_report(now + Duration::from_secs(1)).is_some() {
            throttle.record_unnamed(now + Duration::from_secs(1), now + Duration::from_secs(1));
        }
    }
    assert_eq!(limited(&fleet, now + Duration::from_secs(6)), 0);
}

/// Guards against lifting a limit because of a response that was under way when it was named, and
/// against taking it up again from a report that is older than the lifting.
#[test]
fn only_a_later_response_lifts_a_limit() {
    let now = Instant::now();
    let mut throttle = Throttle::default();
    throttle.record_named(Limit(1_000), now);
    let at = |ms| now + Duration::from_millis(ms);
    assert!(!throttle.record_unnamed(at(100), at(900)));
    assert!(throttle.record_unnamed(at(600), at(900)));
    throttle.record_reported(Limit(1_000), at(1_000));
    assert!(!throttle.is_limited(at(1_000)));
    throttle.record_reported(Limit(1_000), at(6_000));
    assert!(throttle.is_limited(at(6_000)));
    throttle.record_named(Limit(2_000), at(6_100));
    assert!(throttle.is_limited(at(6_100)));
}

/// Calls that cannot wait count against requests that can.
#[test]
fn own_calls_are_counted() {
    let now = Instant::now();
    let mut throttle = Throttle::default();
    throttle.record_named(Limit(2_000), now);
    throttle.set_share(Share { hosts: 1, rank: 0 }, 1, now);
    throttle.take(now);
    throttle.take(now);
    assert_eq!(throttle.wait(now), Some(Duration::from_millis(1500)));
    assert!(throttle.try_take(now + Duration::from_millis(1500)));
    throttle.give_back(now + Duration::from_millis(1500));
    assert!(throttle.try_take(now + Duration::from_millis(1500)));
}

/// Load of the decision: ranks of 300 hosts at 333 upstreams, which are determined when hosts come
/// or go, and a check for each upstream and request.
#[test]
fn shares_and_checks_cost_little_at_size() {
    let hosts = names(300);
    let started_at = Instant::now();
    for upstream in 0..333 {
        Share::of(&hosts[7], &hosts, &format!("i-{upstream}"));
    }
    let share_time = started_at.elapsed();
    assert!(share_time < Duration::from_millis(500), "{share_time:?}");
    let fleet = Fleet::new(300, Limit(16_200));
    let started_at = Instant::now();
    for _ in 0..100 {
        for throttle in &fleet.throttles {
            throttle.wait(fleet.now);
        }
    }
    let check_time = started_at.elapsed();
    assert!(check_time < Duration::from_millis(300), "{check_time:?}");
}
