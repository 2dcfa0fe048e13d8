//! Tests of which requests a host that shuts down still takes.

use std::time::Duration;
use std::time::Instant;

use pistachiohall::gateway::shutdown::Schedule;

const MS: Duration = Duration::from_millis(1);
/// Time for the balancer to notice the shutdown, and time until the requests that still run are
/// abandoned, in milliseconds.
const LAG_MS: u32 = 2800;
const LIMIT_MS: u32 = 7500;

/// Requests arrive every few milliseconds with several timeouts. Guards against a request that is taken
/// although its answer cannot be promised, and against one that is refused although it can.
#[test]
fn late_requests_are_taken_if_their_answer_is_due_in_time() {
    let start = Instant::now();
    let schedule = Schedule::new(start, MS * LAG_MS, MS * LIMIT_MS);
    for timeout_ms in [1, 200, 1000, 2000, 4000, 15_000] {
        for arrival_ms in (0..8000).step_by(5) {
            let arrived = start + MS * arrival_ms;
            let is_taken = schedule.takes(arrived + MS * timeout_ms, arrived);
            let is_due_in_time = arrival_ms + timeout_ms <= LIMIT_MS;
            let expected = arrival_ms < LAG_MS || is_due_in_time;
            assert_eq!(is_taken, expected, "{arrival_ms} ms, {timeout_ms} ms");
        }
    }
}

#[test]
fn a_balancer_slower_than_the_limit_extends_nothing() {
    let start = Instant::now();
    let schedule = Schedule::new(start, MS * 9000, MS * LIMIT_MS);
    assert_eq!(schedule.closes_at, schedule.ends_at);
    let arrived = schedule.ends_at;
    assert!(!schedule.takes(arrived + MS, arrived));
}
