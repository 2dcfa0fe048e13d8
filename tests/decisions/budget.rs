//! Repeats under a retry storm.

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use pistachiohall::retry::window::Bounds;
use pistachiohall::retry::window::Window;

const BOUNDS: Bounds = Bounds {
    ratio: 0.2,
    slack: 56.0,
    window: Duration::from_secs(10),
};

/// Every request fails on every host: all repeats of any ten seconds stay within the bounds.
#[rstest]
#[case(1, 200)]
#[case(8, 20)]
#[case(11, 5)]
fn a_storm_on_all_hosts_stays_within_the_shared_budget(#[case] hosts: usize, #[case] rate: u64) {
    let start = Instant::now();
    let step = Duration::from_millis(100);
    let mut windows: Vec<Window> = (0..hosts).map(|_| Window::new(BOUNDS, start)).collect();
    let mut retries = Vec::new();
    for tick in 0..600_u32 {
        let now = start + step * tick;
        let mut spent = 0;
        for window in &mut windows {
            for _ in 0..rate {
                window.record_request(now);
                spent += u64::from(window.try_spend(1, hosts, now));
            }
        }
        retries.push(spent);
    }
    let requests_in_window = hosts as u64 * rate * 100;
    let allowed = 0.2 * requests_in_window as f64 + 56.0;
    for span in retries.windows(100) {
        let sum: u64 = span.iter().sum();
        assert!(sum as f64 <= allowed, "{sum} repeats, {allowed} allowed");
    }
}

/// A service that nobody asks for earns nothing: only the host's share of the slack is there.
#[test]
fn without_requests_only_the_slack_is_spent() {
    let begun = Instant::now();
    let mut window = Window::new(BOUNDS, begun);
    let now = begun + BOUNDS.window;
    let spent = (0..1000).filter(|_| window.try_spend(1, 8, now)).count();
    assert!((1..=7).contains(&spent), "{spent}");
}

#[test]
fn repeats_that_were_not_foreseen_count_as_well() {
    let begun = Instant::now();
    let mut window = Window::new(BOUNDS, begun);
    let now = begun + BOUNDS.window;
    (0..100).for_each(|_| window.record_retry(now));
    assert!(!window.try_spend(1, 1, now));
}

/// Guards against a share of the slack that is spent once by each of a host's processes: all hosts
/// start again in turn, again and again, while every request fails.
#[test]
fn restarts_grant_no_slack_anew() {
    const HOSTS: usize = 8;
    let start = Instant::now();
    let step = Duration::from_millis(100);
    let before = start - 2 * BOUNDS.window;
    let mut windows: Vec<Window> = (0..HOSTS).map(|_| Window::new(BOUNDS, before)).collect();
    let mut retries = Vec::new();
    for tick in 0..600_u32 {
        let now = start + step * tick;
        if tick % 5 == 4 {
            windows[tick as usize / 5 % HOSTS] = Window::new(BOUNDS, now);
        }
        let spent = |window: &mut Window| {
            window.record_request(now);
            (0..20).filter(|_| window.try_spend(1, HOSTS, now)).count()
        };
        retries.push(windows.iter_mut().map(spent).sum::<usize>());
    }
    let allowed = 0.2 * (HOSTS * 100) as f64 + 56.0;
    for span in retries.windows(100) {
        let sum: usize = span.iter().sum();
        assert!(sum as f64 <= allowed, "{sum} repeats, {allowed} allowed");
    }
}
