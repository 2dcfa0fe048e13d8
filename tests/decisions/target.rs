//! Upstreams as requests hold them while they change.

use std::time::Instant;

use pistachiohall::availability::Incarnations;
use pistachiohall::availability::Unavailability;
use pistachiohall::fleet::State;
use pistachiohall::gateway::target::Target;
use rstest::rstest;

use super::entry;

/// Guards against new work at a draining upstream by a request that chose it just before and still
/// waits for a connection.
#[test]
fn a_request_that_holds_an_upstream_sees_that_it_drains() {
    let chosen = Target::new(entry(1, State::Ready), 8, None, &Incarnations::default());
    assert!(chosen.takes_work(Instant::now()));
    let changed = Target::new(
        entry(1, State::Draining),
        8,
        Some(&chosen),
        &Incarnations::default(),
    );
    assert!(!changed.takes_work(Instant::now()));
    assert!(!chosen.takes_work(Instant::now()));
}

/// A new life under the same name takes work, whatever became of the one before.
#[rstest]
#[case::drained(State::Draining)]
#[case::ready(State::Ready)]
fn a_new_life_takes_work(#[case] before: State) {
    let before = Target::new(entry(1, before), 8, None, &Incarnations::default());
    before.leave();
    let after = Target::new(
        entry(2, State::Ready),
        8,
        Some(&before),
        &Incarnations::default(),
    );
    assert!(after.takes_work(Instant::now()));
    assert!(!before.takes_work(Instant::now()));
}

/// The number of connections changes with the hosts that are heard; an upstream that left stays so.
#[test]
fn an_upstream_that_left_stays_so_under_another_bound_on_connections() {
    let held = Target::new(entry(1, State::Ready), 8, None, &Incarnations::default());
    held.leave();
    let resized = Target::new(
        entry(1, State::Ready),
        16,
        Some(&held),
        &Incarnations::default(),
    );
    assert!(!resized.takes_work(Instant::now()));
}

/// What one answer says binds every request that has chosen the upstream, and the next entry of the
/// same life, also one that is found again after it was gone.
#[test]
fn what_an_upstream_says_binds_all_who_hold_it() {
    let incarnations = Incarnations::default();
    let now = Instant::now();
    let chosen = Target::new(entry(1, State::Ready), 8, None, &incarnations);
    let changed = Target::new(entry(1, State::Ready), 16, Some(&chosen), &incarnations);
    let answer = http::Response::builder()
        .header("server-leaving", "1")
        .body(())
        .unwrap();
    changed.hear(&answer.into_parts().0, "r1");
    assert_eq!(chosen.unavailability(now), Some(Unavailability::Leaving));
    let found_again = Target::new(entry(1, State::Ready), 8, None, &incarnations);
    assert!(!found_again.takes_work(now));
    assert!(Target::new(entry(2, State::Ready), 8, None, &incarnations).takes_work(now));
}
