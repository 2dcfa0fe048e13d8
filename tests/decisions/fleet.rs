//! The registry: departures, lapses, stale and restarted entries.

use std::time::Duration;
use std::time::Instant;

use pistachiohall::fleet::Change;
use pistachiohall::fleet::Entry;
use pistachiohall::fleet::Fleet;
use pistachiohall::fleet::MIN_EXPIRY_OUTAGE;
use pistachiohall::fleet::REWRITE_WINDOW;
use pistachiohall::fleet::State;
use pistachiohall::upstream::Role;
use rstest::rstest;

fn entry(id: &str, started_at: u64) -> Entry {
    Entry {
        id: id.into(),
        started_at,
        service: "lm".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: "derby".into(),
        role: Role::Decode,
        state: State::Ready,
        slots: 8,
    }
}

fn draining(id: &str, started_at: u64) -> Entry {
    Entry {
        state: State::Draining,
        ..entry(id, started_at)
    }
}

fn fleet(ids: &[&str], now: Instant) -> Fleet {
    let mut fleet = Fleet::default();
    let written = ids.iter().map(|id| Change::Written(entry(id, 1), 5));
    fleet.apply(written.collect(), now);
    fleet
}

fn ids(fleet: &Fleet) -> Vec<String> {
    fleet
        .entries()
        .iter()
        .map(|entry| entry.id.to_string())
        .collect()
}

#[test]
fn a_departure_ends_use_at_once() {
    let now = Instant::now();
    let mut fleet = fleet(&["a", "b"], now);
    fleet.apply(vec![Change::Removed("a".into())], now);
    assert_eq!(ids(&fleet), ["b"]);
}

/// Guards against new work at upstreams whose removals came in one reading: how many records a host
/// reads at once says nothing of why they were written.
#[test]
fn departures_that_are_read_together_end_use_at_once() {
    let now = Instant::now();
    let mut fleet = fleet(&["a", "b", "c"], now);
    let gone = ["a", "b"].map(|id| Change::Removed(id.into()));
    fleet.apply(gone.to_vec(), now);
    assert_eq!(ids(&fleet), ["c"]);
}

/// Entries taken away in an outage are a lapse, however many; live upstreams write theirs again.
#[rstest]
#[case::one(&["b"])]
#[case::several(&["a", "b"])]
fn a_lapse_in_an_outage_is_borne_for_a_while(#[case] removed: &[&str]) {
    let now = Instant::now();
    let mut fleet = fleet(&["a", "b", "c"], now);
    fleet.note_return(MIN_EXPIRY_OUTAGE, &[], now);
    let changes = removed.iter().map(|id| Change::Removed((*id).into()));
    assert_eq!(fleet.apply(changes.collect(), now), removed);
    assert_eq!(ids(&fleet), ["a", "b", "c"]);
    fleet.apply(
        vec![Change::Written(entry("a", 1), 6)],
        now + REWRITE_WINDOW / 2,
    );
    let gone = fleet.sweep(now + REWRITE_WINDOW);
    assert_eq!(gone, ["b"]);
    assert_eq!(ids(&fleet), ["a", "c"]);
}

/// Guards against new work at an upstream that left while a busy host failed to read for a moment:
/// no entry lapses in so short a time.
#[test]
fn a_departure_after_a_short_failure_ends_use_at_once() {
    let now = Instant::now();
    let mut fleet = fleet(&["a", "b"], now);
    fleet.note_return(MIN_EXPIRY_OUTAGE - Duration::from_millis(1), &[], now);
    fleet.apply(vec![Change::Removed("a".into())], now);
    assert_eq!(ids(&fleet), ["b"]);
}

/// Guards against new work at an upstream that left while this host alone could not read the store,
/// as one behind a full link: the others kept writing their entries, so there was no outage.
#[test]
fn a_departure_while_only_this_host_was_cut_off_ends_use_at_once() {
    let now = Instant::now();
    let mut fleet = fleet(&["a", "b"], now);
    let read = vec![
        Change::Written(entry("b", 1), 6),
        Change::Removed("a".into()),
        Change::Written(entry("b", 1), 7),
    ];
    fleet.note_return(2 * MIN_EXPIRY_OUTAGE, &read, now);
    fleet.apply(read, now);
    assert_eq!(ids(&fleet), ["b"]);
}

/// The first entries after an outage are written once each.
#[test]
fn entries_written_again_after_an_outage_do_not_hide_it() {
    let now = Instant::now();
    let mut fleet = fleet(&["a", "b"], now);
    let read = vec![
        Change::Removed("a".into()),
        Change::Written(entry("b", 1), 6),
    ];
    fleet.note_return(MIN_EXPIRY_OUTAGE, &read, now);
    fleet.apply(read, now);
    assert_eq!(ids(&fleet), ["a", "b"]);
}

/// A departure long after an outage is none of its lapses.
#[test]
fn a_departure_after_the_time_for_renewal_ends_use_at_once() {
    let now = Instant::now();
    let mut fleet = fleet(&["a", "b"], now);
    fleet.note_return(MIN_EXPIRY_OUTAGE, &[], now);
    fleet.apply(vec![Change::Removed("a".into())], now + REWRITE_WINDOW);
    assert_eq!(ids(&fleet), ["b"]);
}

/// After an outage an entry may be missing for two seconds although its upstream lives.
#[test]
fn entries_missing_after_an_outage_have_time_to_come_back() {
    let now = Instant::now();
    let mut fleet = fleet(&["a", "b"], now);
    fleet.note_return(MIN_EXPIRY_OUTAGE, &[], now);
    fleet.replace(vec![(entry("b", 1), 9)], now);
    assert_eq!(ids(&fleet), ["a", "b"]);
    assert!(
        fleet
            .sweep(now + REWRITE_WINDOW - Duration::from_millis(1))
            .is_empty()
    );
    assert_eq!(fleet.sweep(now + REWRITE_WINDOW), ["a"]);
}

/// A draining upstream that vanishes has left, however many vanish with it.
#[test]
fn a_draining_upstream_is_never_a_lapse() {
    let now = Instant::now();
    let mut fleet = fleet(&["a", "b"], now);
    fleet.apply(vec![Change::Written(draining("a", 1), 6)], now);
    fleet.note_return(MIN_EXPIRY_OUTAGE, &[], now);
    fleet.apply(
        vec![Change::Removed("a".into()), Change::Removed("b".into())],
        now,
    );
    assert_eq!(ids(&fleet), ["b"]);
}

#[test]
fn an_old_entry_does_not_undo_draining() {
    let now = Instant::now();
    let mut fleet = fleet(&["a"], now);
    fleet.apply(vec![Change::Written(draining("a", 1), 7)], now);
    fleet.apply(
        vec![
            Change::Written(entry("a", 1), 6),
            Change::Written(entry("a", 1), 8),
        ],
        now,
    );
    assert_eq!(fleet.entries()[0].state, State::Draining);
}

#[test]
fn a_restarted_upstream_is_another_one() {
    let now = Instant::now();
    let mut fleet = fleet(&["a"], now);
    fleet.apply(vec![Change::Written(draining("a", 1), 7)], now);
    fleet.apply(vec![Change::Written(entry("a", 2), 1)], now);
    assert_eq!(
        (fleet.entries()[0].started_at, fleet.entries()[0].state),
        (2, State::Ready)
    );
    fleet.apply(vec![Change::Written(entry("a", 1), 99)], now);
    assert_eq!(fleet.entries()[0].started_at, 2);
}
