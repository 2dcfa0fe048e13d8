//! Lease with one holder at a time, also when the store loses responses.

use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;

use pistachiohall::clock::Clock;
use pistachiohall::clock::Mock;
use pistachiohall::id::Era;
use pistachiohall::id::Offset;
use pistachiohall::log::AppendError;
use pistachiohall::log::ReadError;
use pistachiohall::log::keyed::Changes;
use pistachiohall::log::keyed::ChangesError;
use pistachiohall::log::keyed::ConditionError;
use pistachiohall::log::keyed::Keyed;
use pistachiohall::log::keyed::Pair;
use pistachiohall::log::keyed::Position;
use pistachiohall::log::keyed::Record;
use pistachiohall::term;
use pistachiohall::term::Grant;
use pistachiohall::term::LeaseState;
use rstest::rstest;

const LEASE: Duration = Duration::from_secs(3);
/// State of the store: the newest record of the only key and the end of the topic.
type State = (Option<Record>, Offset);

/// In-memory store of one key of one topic.
struct InMemory {
    state: Mutex<State>,
    era: Mutex<Era>,
    loses_responses: Mutex<bool>,
}

impl Default for InMemory {
    fn default() -> Self {
        InMemory {
            state: Mutex::default(),
            era: Mutex::new(1),
            loses_responses: Mutex::default(),
        }
    }
}

impl InMemory {
    fn copy(&self) -> State {
        self.state.lock().unwrap().clone()
    }

    fn restore(&self, copy: &State) {
        *self.state.lock().unwrap() = copy.clone();
        *self.era.lock().unwrap() += 1;
    }

    fn position(&self, offset: Offset) -> Position {
        Position::new(*self.era.lock().unwrap(), offset)
    }
}

impl Keyed for InMemory {
    fn newest(&self, _topic: &str) -> Result<Changes, ReadError> {
        let state = self.state.lock().unwrap();
        Ok(Changes {
            records: state.0.iter().cloned().collect(),
            next: self.position(state.1),
            pending: 0,
        })
    }

    fn changes(
        &self,
        _topic: &str,
        _from: Position,
        _wait: Duration,
    ) -> Result<Changes, ChangesError> {
        Err(ChangesError::Gap(0))
    }

    fn put(&self, topic: &str, record: Pair<'_>) -> Result<Position, AppendError> {
        let end = self.state.lock().unwrap().1;
        self.put_at(topic, record, self.position(end))
            .map_err(|error| AppendError::Unknown(error.to_string()))
    }

    fn put_at(
        &self,
        _topic: &str,
        record: Pair<'_>,
        at: Position,
    ) -> Result<Position, ConditionError> {
        let mut state = self.state.lock().unwrap();
        let (_, offset) = at.into_parts();
        if state.1 != offset {
            return Err(ConditionError::Moved(state.1));
        }
        let record = Record {
            key: record.key.into(),
            value: Some(record.value.to_vec()),
        };
        *state = (Some(record), offset + 1);
        match *self.loses_responses.lock().unwrap() {
            true => Err(AppendError::Unknown("lost".into()).into()),
            false => Ok(at),
        }
    }

    fn newest_era(&self) -> Era {
        *self.era.lock().unwrap()
    }
}

fn lease_state(host: &str) -> LeaseState {
    LeaseState::new(term::ENGINE_ORDERS, host.into(), 1, LEASE)
}

#[test]
fn one_of_two_hosts_gets_the_lease_and_renews_it_with_a_higher_token() {
    let (clock, store) = (Mock::new(SystemTime::UNIX_EPOCH), InMemory::default());
    let (mut one, mut other) = (lease_state("h1"), lease_state("h2"));
    let first = one.acquire(&clock, &store).unwrap();
    assert!(other.acquire(&clock, &store).is_none());
    clock.advance(LEASE);
    let second = one.acquire(&clock, &store).unwrap();
    assert!(second.fencing_token > first.fencing_token);
    assert!(
        other.acquire(&clock, &store).is_none(),
        "a renewed record counts as changed"
    );
}

/// When the holder is lost another host takes over, a lease duration after the last possible order
/// of the first.
#[test]
fn another_host_takes_over_a_lease_duration_after_the_grant_ends() {
    let (clock, store) = (Mock::new(SystemTime::UNIX_EPOCH), InMemory::default());
    let (mut one, mut other) = (lease_state("h1"), lease_state("h2"));
    let grant = one.acquire(&clock, &store).unwrap();
    let mut taken = None;
    for _ in 0..100 {
        clock.advance(Duration::from_millis(100));
        taken = other.acquire(&clock, &store);
        if taken.is_some() {
            break;
        }
    }
    let taken = taken.unwrap();
    assert!(clock.boot() >= grant.expires_at + LEASE);
    assert!(taken.fencing_token > grant.fencing_token);
}

/// Guards against orders under a lease that may not have been written: after a lost response the
/// lease counts as held only once the next attempt has resolved the outcome.
#[test]
fn a_lost_response_gives_no_lease_until_it_is_resolved() {
    let (clock, store) = (Mock::new(SystemTime::UNIX_EPOCH), InMemory::default());
    let mut one = lease_state("h1");
    *store.loses_responses.lock().unwrap() = true;
    assert!(one.acquire(&clock, &store).is_none());
    *store.loses_responses.lock().unwrap() = false;
    let grant = one.acquire(&clock, &store).unwrap();
    assert_eq!(grant.fencing_token, 1);
}

/// Guards against orders of two hosts at once: the monotonic clock of a suspended machine stops,
/// but its lease must still expire.
#[test]
fn the_lease_of_a_suspended_host_expires() {
    let store = InMemory::default();
    let (clock, other_clock) = (
        Mock::new(SystemTime::UNIX_EPOCH),
        Mock::new(SystemTime::UNIX_EPOCH),
    );
    let (mut one, mut other) = (lease_state("h1"), lease_state("h2"));
    one.acquire(&clock, &store).unwrap();
    assert!(other.acquire(&other_clock, &store).is_none());
    clock.suspend(10 * LEASE);
    other_clock.advance(10 * LEASE);
    assert!(other.acquire(&other_clock, &store).is_some());
    assert!(one.acquire(&clock, &store).is_none());
}

/// A restarted process counts as another holder.
#[test]
fn a_restarted_host_has_to_wait_for_the_lease() {
    let (clock, store) = (Mock::new(SystemTime::UNIX_EPOCH), InMemory::default());
    lease_state("h1").acquire(&clock, &store).unwrap();
    let mut restarted = LeaseState::new(term::ENGINE_ORDERS, "h1".into(), 2, LEASE);
    assert!(restarted.acquire(&clock, &store).is_none());
}

/// Guards against a fencing token that is given out twice: the offsets of lost records are given out
/// again.
#[test]
fn tokens_rise_across_a_restore() {
    let (clock, store) = (Mock::new(SystemTime::UNIX_EPOCH), InMemory::default());
    let mut one = lease_state("h1");
    let mut tokens = Vec::new();
    for _ in 0..3 {
        tokens.push(one.acquire(&clock, &store).unwrap().fencing_token);
        clock.advance(LEASE);
    }
    for _ in 0..2 {
        store.restore(&State::default());
        clock.advance(LEASE);
        let grant = acquire_in_time(&mut one, &clock, &store);
        tokens.push(grant.fencing_token);
    }
    assert!(
        tokens.is_sorted_by(|before, after| before < after),
        "{tokens:?}"
    );
}

fn acquire_in_time(state: &mut LeaseState, clock: &Mock, store: &InMemory) -> Grant {
    for _ in 0..100 {
        clock.advance(Duration::from_millis(100));
        if let Some(grant) = state.acquire(clock, store) {
            return grant;
        }
    }
    panic!("the lease was not acquired within ten seconds");
}

/// Guards against orders of two hosts at once: the record of a grant that still runs is missing in
/// the copy, or an older record there says that another host holds the lease.
#[rstest]
#[case::the_copy_has_no_record(0)]
#[case::the_copy_has_a_record_of_the_other_host(1)]
#[case::the_copy_has_the_last_record(2)]
fn a_grant_that_a_restored_store_lacks_ends_before_another_begins(#[case] records: usize) {
    let (clock, store) = (Mock::new(SystemTime::UNIX_EPOCH), InMemory::default());
    let (mut one, mut other) = (lease_state("h1"), lease_state("h2"));
    let mut copies = vec![store.copy()];
    one.acquire(&clock, &store).unwrap();
    copies.push(store.copy());
    let mut grant = acquire_in_time(&mut other, &clock, &store);
    copies.push(store.copy());
    let mut holder = "h2";
    store.restore(&copies[records]);
    for _ in 0..200 {
        for (name, state) in [("h1", &mut one), ("h2", &mut other)] {
            let Some(next) = state.acquire(&clock, &store) else {
                continue;
            };
            if next.fencing_token == grant.fencing_token {
                continue;
            }
            assert!(next.fencing_token > grant.fencing_token);
            let is_apart = clock.boot() >= grant.expires_at + LEASE;
            assert!(name == holder || is_apart, "{name} after {holder}");
            (grant, holder) = (next, name);
        }
        clock.advance(Duration::from_millis(100));
    }
    assert!(clock.boot() < grant.expires_at + LEASE, "nobody holds it");
}

/// Guards against a lease that nobody holds for long: the first host needs no delay in a store that was never
/// restored.
#[test]
fn a_store_without_a_record_that_was_never_restored_gives_the_lease_at_once() {
    let (clock, store) = (Mock::new(SystemTime::UNIX_EPOCH), InMemory::default());
    assert!(lease_state("h1").acquire(&clock, &store).is_some());
}

/// Guards against engines that keep the wrong role for long: a host that learned of the restore waits from
/// then on, not from the moment at which it needs the lease.
#[rstest]
#[case::the_copy_has_no_record(false)]
#[case::the_copy_has_its_own_record(true)]
fn a_host_that_has_known_of_a_restore_acquires_the_lease_at_once(#[case] has_record: bool) {
    let (clock, store) = (Mock::new(SystemTime::UNIX_EPOCH), InMemory::default());
    let mut one = lease_state("h1");
    one.acquire(&clock, &store).unwrap();
    let copy = if has_record {
        store.copy()
    } else {
        State::default()
    };
    store.restore(&copy);
    one.record_era(store.newest_era(), clock.boot());
    clock.advance(2 * LEASE);
    assert!(one.acquire(&clock, &store).is_some());
}
