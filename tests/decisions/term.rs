//! The lease: one holder at a time, whatever the store loses.

use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;

use pistachiohall::clock::Clock;
use pistachiohall::clock::Mock;
use pistachiohall::id::Offset;
use pistachiohall::log::AppendError;
use pistachiohall::log::ReadError;
use pistachiohall::log::keyed::Changes;
use pistachiohall::log::keyed::ChangesError;
use pistachiohall::log::keyed::ConditionError;
use pistachiohall::log::keyed::Keyed;
use pistachiohall::log::keyed::Pair;
use pistachiohall::log::keyed::Record;
use pistachiohall::reassign::term::LeaseState;

const LEASE: Duration = Duration::from_secs(3);

/// One key of one topic, in memory.
#[derive(Default)]
struct Memory {
    state: Mutex<(Option<Record>, Offset)>,
    loses_answers: Mutex<bool>,
}

impl Keyed for Memory {
    fn newest(&self, _topic: &str) -> Result<Changes, ReadError> {
        let state = self.state.lock().unwrap();
        Ok(Changes {
            records: state.0.iter().cloned().collect(),
            next: state.1,
        })
    }

    fn changes(
        &self,
        _topic: &str,
        _from: Offset,
        _wait: Duration,
    ) -> Result<Changes, ChangesError> {
        Err(ChangesError::Gap(0))
    }

    fn put(&self, topic: &str, record: Pair<'_>) -> Result<Offset, AppendError> {
        let end = self.state.lock().unwrap().1;
        self.put_at(topic, record, end)
            .map_err(|error| AppendError::Unknown(error.to_string()))
    }

    fn put_at(&self, _topic: &str, record: Pair<'_>, at: Offset) -> Result<Offset, ConditionError> {
        let mut state = self.state.lock().unwrap();
        if state.1 != at {
            return Err(ConditionError::Moved(state.1));
        }
        let record = Record {
            key: record.key.into(),
            value: Some(record.value.to_vec()),
        };
        *state = (Some(record), at + 1);
        match *self.loses_answers.lock().unwrap() {
            true => Err(AppendError::Unknown("lost".into()).into()),
            false => Ok(at),
        }
    }
}

fn term(host: &str) -> LeaseState {
    LeaseState::new(host.into(), 1, LEASE)
}

#[test]
fn one_of_two_gets_it_and_renews_with_a_higher_token() {
    let (clock, store) = (Mock::new(SystemTime::UNIX_EPOCH), Memory::default());
    let (mut one, mut other) = (term("h1"), term("h2"));
    let first = one.acquire(&clock, &store).unwrap();
    assert!(other.acquire(&clock, &store).is_none());
    clock.advance(LEASE);
    let second = one.acquire(&clock, &store).unwrap();
    assert!(second.fencing_token > first.fencing_token);
    assert!(
        other.acquire(&clock, &store).is_none(),
        "a renewed record stands anew"
    );
}

/// The holder is gone: another takes over, and orders of the two are a lease apart.
#[test]
fn a_lost_holder_is_followed_a_lease_later() {
    let (clock, store) = (Mock::new(SystemTime::UNIX_EPOCH), Memory::default());
    let (mut one, mut other) = (term("h1"), term("h2"));
    let held = one.acquire(&clock, &store).unwrap();
    let mut taken = None;
    for _ in 0..100 {
        clock.advance(Duration::from_millis(100));
        taken = other.acquire(&clock, &store);
        if taken.is_some() {
            break;
        }
    }
    let taken = taken.unwrap();
    assert!(clock.boot() >= held.expires_at + LEASE);
    assert!(taken.fencing_token > held.fencing_token);
}

/// The answer to a renewal was lost: nothing is ordered under it, and the next try settles it.
#[test]
fn a_lost_answer_gives_no_lease_until_it_is_settled() {
    let (clock, store) = (Mock::new(SystemTime::UNIX_EPOCH), Memory::default());
    let mut one = term("h1");
    *store.loses_answers.lock().unwrap() = true;
    assert!(one.acquire(&clock, &store).is_none());
    *store.loses_answers.lock().unwrap() = false;
    let held = one.acquire(&clock, &store).unwrap();
    assert_eq!(held.fencing_token, 1);
}

/// Guards against orders of two hosts at once: the monotonic time of a suspended machine stands
/// still, and its lease must not.
#[test]
fn a_host_that_was_suspended_holds_its_lease_no_longer() {
    let store = Memory::default();
    let (clock, others) = (
        Mock::new(SystemTime::UNIX_EPOCH),
        Mock::new(SystemTime::UNIX_EPOCH),
    );
    let (mut one, mut other) = (term("h1"), term("h2"));
    one.acquire(&clock, &store).unwrap();
    assert!(other.acquire(&others, &store).is_none());
    clock.suspend(10 * LEASE);
    others.advance(10 * LEASE);
    assert!(other.acquire(&others, &store).is_some());
    assert!(one.acquire(&clock, &store).is_none());
}

/// A process that was restarted is another holder.
#[test]
fn a_restarted_host_waits_like_any_other() {
    let (clock, store) = (Mock::new(SystemTime::UNIX_EPOCH), Memory::default());
    term("h1").acquire(&clock, &store).unwrap();
    let mut restarted = LeaseState::new("h1".into(), 2, LEASE);
    assert!(restarted.acquire(&clock, &store).is_none());
}
