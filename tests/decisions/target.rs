//! Tests of upstreams that change while requests hold them.

use std::time::Instant;

use pistachiohall::availability::Incarnations;
use pistachiohall::availability::Unavailability;
use pistachiohall::fleet::State;
use pistachiohall::gateway::target::Target;
use rstest::rstest;

use super::entry;

/// Guards against sending a request to a draining upstream that it chose just before and for whose
/// connection it still waits.
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

/// A new incarnation under the same name takes requests, whatever the state of the previous one.
#[rstest]
#[case::drained(State::Draining)]
#[case::ready(State::Ready)]
fn a_new_incarnation_takes_requests(#[case] before: State) {
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

/// The connection limit changes with the number of known hosts; a leaving upstream must stay closed
/// to new requests.
#[test]
fn a_leaving_upstream_stays_leaving_when_its_connection_limit_changes() {
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

/// The notice of one response applies to every request that has chosen the upstream and to later
/// entries of the same incarnation, also if the entry was removed in between.
#[test]
fn a_notice_applies_to_all_targets_of_an_incarnation() {
    let incarnations = Incarnations::default();
    let now = Instant::now();
    let chosen = Target::new(entry(1, State::Ready), 8, None, &incarnations);
    let changed = Target::new(entry(1, State::Ready), 16, Some(&chosen), &incarnations);
    let response = http::Response::builder()
        .header("server-leaving", "1")
        .body(())
        .unwrap();
    changed.apply_notice(&response.into_parts().0, "r1");
    assert_eq!(chosen.unavailability(now), Some(Unavailability::Leaving));
    let found_again = Target::new(entry(1, State::Ready), 8, None, &incarnations);
    assert!(!found_again.takes_work(now));
    assert!(Target::new(entry(2, State::Ready), 8, None, &incarnations).takes_work(now));
}

/// Many hosts before one plain upstream: their connections together stay below those that it accepts,
/// since it resets the others even while it has free slots.
#[rstest::rstest]
#[case(370, 8)]
#[case(500, 73)]
#[case(550, 81)]
#[case(500, 300)]
#[case(500, 410)]
fn the_connections_of_all_hosts_stay_below_the_maximum(#[case] max: usize, #[case] hosts: usize) {
    let share = pistachiohall::gateway::pool::connection_share(max, hosts);
    assert!(share >= 1 && share * hosts <= max, "{share}");
}
