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
use pistachiohall::reassign::term::LeaseState;

const LEASE: Duration = Duration::from_secs(3);
/// Era of the store.
const ERA: Era = 1;

/// In-memory store of one key of one topic.
#[derive(Default)]
struct InMemory {
    state: Mutex<(Option<Record>, Offset)>,
    loses_responses: Mutex<bool>,
}

impl Keyed for InMemory {
    fn newest(&self, _topic: &str) -> Result<Changes, ReadError> {
        let state = self.state.lock().unwrap();
        Ok(Changes {
            records: state.0.iter().cloned().collect(),
            next: Position::new(ERA, state.1),
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
        self.put_at(topic, record, Position::new(ERA, end))
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
        ERA
    }
}

fn lease_state(host: &str) -> LeaseState {
    LeaseState::new(host.into(), 1, LEASE)
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
    let mut restarted = LeaseState::new("h1".into(), 2, LEASE);
    assert!(restarted.acquire(&clock, &store).is_none());
}
