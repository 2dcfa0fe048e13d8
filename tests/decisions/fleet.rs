//! Registry entries that are removed, expired, stale, or written by a restarted upstream.

use std::time::Duration;
use std::time::Instant;

use pistachiohall::fleet::Change;
use pistachiohall::fleet::Doubt;
use pistachiohall::fleet::Entry;
use pistachiohall::fleet::Fleet;
use pistachiohall::fleet::MIN_EXPIRY_OUTAGE;
use pistachiohall::fleet::REWRITE_WINDOW;
use pistachiohall::fleet::State;
use pistachiohall::upstream::Role;
use proptest::prelude::*;
use rstest::rstest;

fn entry(id: &str, started_at: u64) -> Entry {
    Entry {
        id: id.into(),
        started_at,
        service: "lm".into(),
        build: "v1".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: "derby".into(),
        role: Role::Decode,
        state: State::Ready,
        slots: 8,
        may_be_withdrawn: false,
        leaves_in: None,
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

/// Guards against new work at an upstream that has left: the registry was restored from a copy in
/// which its entry still says that it is ready, or carries out a write of the entry late.
#[rstest]
#[case::written_before_the_last_entry(1, 4, false)]
#[case::the_last_entry(1, 5, false)]
#[case::of_an_incarnation_before(0, 9, false)]
#[case::written_since(1, 6, true)]
#[case::of_the_next_incarnation(2, 0, true)]
fn entries_from_before_a_departure_are_ignored(
    #[case] started_at: u64,
    #[case] write_count: u64,
    #[case] is_used: bool,
    #[values(true, false)] is_restored: bool,
) {
    let now = Instant::now();
    let mut fleet = fleet(&["a", "b"], now);
    fleet.apply(vec![Change::Removed("a".into())], now);
    let before = (entry("a", started_at), write_count);
    match is_restored {
        true => {
            fleet.record_restore(now);
            fleet.replace(vec![before, (entry("b", 1), 5)], now);
        }
        false => {
            let late = now + Duration::from_secs(6);
            fleet.apply(vec![Change::Written(before.0, before.1)], late);
        }
    }
    assert_eq!(ids(&fleet).contains(&"a".to_owned()), is_used);
    let expected = [("a".into(), Doubt::Departed)];
    assert_eq!(fleet.take_doubted(), expected[usize::from(is_used)..]);
}

/// Guards against new work at an upstream that was draining when its entry was removed and that
/// writes it once more.
#[test]
fn an_upstream_that_drained_before_its_departure_is_not_ready_after_a_restore() {
    let now = Instant::now();
    let mut fleet = fleet(&["a"], now);
    fleet.apply(vec![Change::Written(draining("a", 1), 6)], now);
    fleet.apply(vec![Change::Removed("a".into())], now);
    fleet.record_restore(now);
    fleet.replace(vec![(entry("a", 1), 7)], now);
    assert_eq!(fleet.entries()[0].state, State::Draining);
}

/// Guards against the loss of a live upstream whose entry is missing in the copy, and against
/// endless belief in one that is gone.
#[rstest]
#[case::written_again(true)]
#[case::not_written_again(false)]
fn an_entry_that_is_missing_in_the_copy_is_used_until_it_would_be_rewritten(
    #[case] is_rewritten: bool,
) {
    let now = Instant::now();
    let mut fleet = fleet(&["a", "b"], now);
    fleet.record_restore(now);
    assert_eq!(fleet.replace(vec![(entry("b", 1), 3)], now), ["a"]);
    assert_eq!(ids(&fleet), ["a", "b"]);
    if is_rewritten {
        fleet.apply(vec![Change::Written(entry("a", 1), 6)], now);
    }
    fleet.sweep(now + REWRITE_WINDOW);
    assert_eq!(ids(&fleet).contains(&"a".to_owned()), is_rewritten);
}

/// Guards against upstreams without write counts that are never used again.
#[test]
fn an_entry_without_a_write_count_is_used_after_its_removal() {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    fleet.apply(vec![Change::Written(entry("a", 0), 0)], now);
    fleet.apply(vec![Change::Removed("a".into())], now);
    fleet.replace(vec![(entry("a", 0), 0)], now);
    assert_eq!(ids(&fleet), ["a"]);
}

/// Guards against a full read whose time grows with the square of the upstreams.
#[test]
fn twelve_thousand_entries_are_replaced_within_a_second() {
    let now = Instant::now();
    let entries: Vec<(Entry, u64)> = (0..12_000)
        .map(|number| (entry(&format!("i-{number}"), 1), 5))
        .collect();
    let mut fleet = Fleet::default();
    fleet.replace(entries.clone(), now);
    let started_at = Instant::now();
    fleet.replace(entries, now);
    let took = started_at.elapsed();
    assert!(took < Duration::from_secs(1), "{took:?}");
}

#[test]
fn a_removed_upstream_is_not_used_any_longer() {
    let now = Instant::now();
    let mut fleet = fleet(&["a", "b"], now);
    fleet.apply(vec![Change::Removed("a".into())], now);
    assert_eq!(ids(&fleet), ["b"]);
}

/// Guards against new work at upstreams whose removals arrive in one read: the number of records
/// read at once says nothing about why they were written.
#[test]
fn upstreams_removed_in_one_read_are_not_used_any_longer() {
    let now = Instant::now();
    let mut fleet = fleet(&["a", "b", "c"], now);
    let removed = ["a", "b"].map(|id| Change::Removed(id.into()));
    fleet.apply(removed.to_vec(), now);
    assert_eq!(ids(&fleet), ["c"]);
}

/// Entries removed in an outage have expired, however many they are; live upstreams rewrite theirs.
#[rstest]
#[case::one(&["b"])]
#[case::several(&["a", "b"])]
fn entries_expired_in_an_outage_stay_in_use_for_a_while(#[case] removed: &[&str]) {
    let now = Instant::now();
    let mut fleet = fleet(&["a", "b", "c"], now);
    fleet.record_return(MIN_EXPIRY_OUTAGE, &[], now);
    let changes = removed.iter().map(|id| Change::Removed((*id).into()));
    assert_eq!(fleet.apply(changes.collect(), now), removed);
    assert_eq!(ids(&fleet), ["a", "b", "c"]);
    fleet.apply(
        vec![Change::Written(entry("a", 1), 6)],
        now + REWRITE_WINDOW / 2,
    );
    let expired = fleet.sweep(now + REWRITE_WINDOW);
    assert_eq!(expired, ["b"]);
    assert_eq!(ids(&fleet), ["a", "c"]);
}

/// Guards against new work at an upstream that left while a busy host briefly failed to read: no
/// entry expires in so short a time.
#[test]
fn an_upstream_removed_after_a_short_failure_is_not_used_any_longer() {
    let now = Instant::now();
    let mut fleet = fleet(&["a", "b"], now);
    fleet.record_return(MIN_EXPIRY_OUTAGE - Duration::from_millis(1), &[], now);
    fleet.apply(vec![Change::Removed("a".into())], now);
    assert_eq!(ids(&fleet), ["b"]);
}

/// Guards against new work at an upstream that left while this host alone could not read the store,
/// for example behind a saturated link: other upstreams kept writing their entries, so there was no
/// outage.
#[test]
fn an_upstream_removed_while_only_this_host_was_partitioned_is_not_used_any_longer() {
    let now = Instant::now();
    let mut fleet = fleet(&["a", "b"], now);
    let changes = vec![
        Change::Written(entry("b", 1), 6),
        Change::Removed("a".into()),
        Change::Written(entry("b", 1), 7),
    ];
    fleet.record_return(2 * MIN_EXPIRY_OUTAGE, &changes, now);
    fleet.apply(changes, now);
    assert_eq!(ids(&fleet), ["b"]);
}

/// After an outage each live upstream first writes its entry once.
#[test]
fn entries_rewritten_after_an_outage_do_not_hide_it() {
    let now = Instant::now();
    let mut fleet = fleet(&["a", "b"], now);
    let changes = vec![
        Change::Removed("a".into()),
        Change::Written(entry("b", 1), 6),
    ];
    fleet.record_return(MIN_EXPIRY_OUTAGE, &changes, now);
    fleet.apply(changes, now);
    assert_eq!(ids(&fleet), ["a", "b"]);
}

/// An entry removed long after an outage did not expire in it.
#[test]
fn an_upstream_removed_after_the_rewrite_window_is_not_used_any_longer() {
    let now = Instant::now();
    let mut fleet = fleet(&["a", "b"], now);
    fleet.record_return(MIN_EXPIRY_OUTAGE, &[], now);
    fleet.apply(vec![Change::Removed("a".into())], now + REWRITE_WINDOW);
    assert_eq!(ids(&fleet), ["b"]);
}

/// After an outage, the entry of a live upstream may be missing for two seconds.
#[test]
fn entries_missing_after_an_outage_may_be_rewritten() {
    let now = Instant::now();
    let mut fleet = fleet(&["a", "b"], now);
    fleet.record_return(MIN_EXPIRY_OUTAGE, &[], now);
    fleet.replace(vec![(entry("b", 1), 9)], now);
    assert_eq!(ids(&fleet), ["a", "b"]);
    assert!(
        fleet
            .sweep(now + REWRITE_WINDOW - Duration::from_millis(1))
            .is_empty()
    );
    assert_eq!(fleet.sweep(now + REWRITE_WINDOW), ["a"]);
}

/// A draining upstream whose entry is missing has left, however many entries are missing.
#[test]
fn a_draining_upstream_never_counts_as_expired() {
    let now = Instant::now();
    let mut fleet = fleet(&["a", "b"], now);
    fleet.apply(vec![Change::Written(draining("a", 1), 6)], now);
    fleet.record_return(MIN_EXPIRY_OUTAGE, &[], now);
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

/// Guards against new work at an upstream that left before this host started, which knows nothing of it. An
/// upstream that has just started, or one whose entry may have expired with the registry, is used at once.
#[rstest]
#[case::written_late(7, None, Duration::ZERO, false)]
#[case::written_again(7, Some(8), Duration::ZERO, true)]
#[case::read_twice(7, Some(7), Duration::ZERO, false)]
#[case::just_started(0, None, Duration::ZERO, true)]
#[case::after_an_outage(7, None, MIN_EXPIRY_OUTAGE, true)]
fn an_entry_of_an_unknown_upstream_needs_another_write(
    #[case] write_count: u64,
    #[case] next: Option<u64>,
    #[case] outage: Duration,
    #[case] is_used: bool,
) {
    let now = Instant::now();
    let mut fleet = Fleet::default();
    fleet.replace(vec![(entry("b", 1), 5)], now);
    fleet.record_return(outage, &[], now);
    let writes = [Some(write_count), next].into_iter().flatten();
    for count in writes {
        fleet.apply(vec![Change::Written(entry("a", 1), count)], now);
    }
    assert_eq!(ids(&fleet).contains(&"a".to_owned()), is_used);
    // A full list that still has the entry shows no more than the entry did.
    let last = next.unwrap_or(write_count);
    fleet.replace(vec![(entry("a", 1), last), (entry("b", 1), 6)], now);
    assert_eq!(ids(&fleet).contains(&"a".to_owned()), is_used);
}

/// What happens to an upstream and its entry.
#[derive(Debug, Clone)]
enum Event {
    /// It writes its entry.
    Write,
    /// The registry carries out one of its earlier writes, counted from the last, once more or late.
    WriteLate(usize),
    /// Its entry expires while it lives.
    Expire,
    /// It leaves, and its entry is removed.
    Leave,
    /// It starts again under its name.
    Restart,
    /// The host reads a full list.
    Read,
    /// The registry is restored from a copy with an earlier entry, counted from the last.
    Restore(usize),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => Just(Event::Write),
        3 => (0..6_usize).prop_map(Event::WriteLate),
        1 => Just(Event::Expire),
        1 => Just(Event::Leave),
        1 => Just(Event::Restart),
        1 => Just(Event::Read),
        1 => (0..6_usize).prop_map(Event::Restore),
    ]
}

proptest! {
    /// An upstream that has left is never in use again before it starts again, whatever is written late, and
    /// one that lives is in use once it writes.
    #[test]
    fn late_writes_bring_no_upstream_back(events in prop::collection::vec(event(), 1..60)) {
        let mut now = Instant::now();
        let mut fleet = Fleet::default();
        fleet.replace(Vec::new(), now);
        // A count of 0 stands for none.
        let (mut started_at, mut write_count, mut is_alive) = (1, 1, true);
        let mut written: Vec<(Entry, u64)> = Vec::new();
        let mut stored: Option<(Entry, u64)> = None;
        for event in events {
            now += Duration::from_secs(3);
            fleet.sweep(now);
            let earlier = |back: usize| written.iter().rev().nth(back).cloned();
            match event {
                Event::Write if is_alive => {
                    let write = (entry("a", started_at), write_count);
                    fleet.apply(vec![Change::Written(write.0.clone(), write.1)], now);
                    written.push(write.clone());
                    stored = Some(write);
                    write_count += 1;
                    prop_assert_eq!(ids(&fleet), ["a"]);
                }
                Event::WriteLate(back) => if let Some(write) = earlier(back) {
                    fleet.apply(vec![Change::Written(write.0.clone(), write.1)], now);
                    stored = Some(write);
                },
                Event::Expire | Event::Leave => {
                    is_alive &= matches!(event, Event::Expire);
                    fleet.apply(vec![Change::Removed("a".into())], now);
                    stored = None;
                }
                Event::Restart => {
                    (started_at, write_count, is_alive) = (started_at + 1, 1, true);
                }
                Event::Restore(back) => {
                    stored = earlier(back);
                    fleet.record_restore(now);
                    fleet.replace(stored.iter().cloned().collect(), now);
                }
                Event::Write => (),
                Event::Read => {
                    fleet.replace(stored.iter().cloned().collect(), now);
                }
            }
            if !is_alive {
                prop_assert!(fleet.entries().is_empty());
            }
        }
    }
}
