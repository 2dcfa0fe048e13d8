//! What this incarnation has run of the calls that only it may run.

use std::collections::HashMap;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::id::AccountId;
use crate::id::Fingerprint;
use crate::problem::Problem;
use crate::wire::Reply;

use super::CallName;

/// Most calls remembered; further ones are refused, since forgetting could run one twice.
const MOST_CALLS: usize = 200_000;
/// Most bytes of stored answers; beyond it answers are dropped, but not the fact that they ran.
const MOST_ANSWER_BYTES: usize = 64 << 20;

#[derive(Debug, Clone)]
enum State {
    /// May be run.
    Idle,
    /// Is being run, or the right to run it is being sought.
    Busy,
    /// Has been run; the answer is kept if there was room.
    Done(Option<Reply>),
}

#[derive(Debug)]
struct Call {
    digest: Fingerprint,
    state: State,
    since: Instant,
}

/// What a request may do with the call it names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Start {
    /// Run it, and [`Ledger::finish`] or [`Ledger::abandon`] it.
    Run,
    /// Nothing: this is its answer.
    Answered(Reply),
    /// Nothing: it ran, but the answer is no longer kept.
    AnswerDropped,
    /// Nothing: the name belongs to a call with other content.
    OtherContent,
    /// Nothing: it still runs.
    StillRuns,
    /// Nothing: there is no room to remember it.
    Full,
}

#[derive(Debug, Default)]
struct Inner {
    calls: HashMap<(AccountId, CallName), Call>,
    answer_bytes: usize,
    closed: bool,
}

/// A stored call as another process takes it over.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// Account of the caller.
    pub account: AccountId,
    /// Name of the call.
    pub name: CallName,
    /// Digest of its content.
    pub digest: Fingerprint,
    /// Whether it ran, and the answer if it is kept.
    pub ran: Option<Option<Reply>>,
}

/// What this incarnation has run.
#[derive(Debug, Default)]
pub struct Ledger {
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl Ledger {
    /// Asks to run a call; waits up to `wait` while another request runs the same one.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::once::{ledger::Start, Ledger, CallName};
    /// use pistachiohall::wire::Reply;
    /// let ledger = Ledger::default();
    /// let (name, now) = (CallName::Ticket(1), Instant::now());
    /// assert_eq!(ledger.start("a", name, 7, Duration::ZERO, now), Start::Run);
    /// assert_eq!(ledger.start("a", name, 7, Duration::ZERO, now), Start::StillRuns);
    /// let reply = Reply::ran(200, "text/plain", b"ok".to_vec());
    /// ledger.finish("a", name, reply.clone());
    /// assert_eq!(ledger.start("a", name, 7, Duration::ZERO, now), Start::Answered(reply));
    /// assert_eq!(ledger.start("a", name, 8, Duration::ZERO, now), Start::OtherContent);
    /// ```
    pub fn start(
        &self,
        account: &str,
        name: CallName,
        digest: Fingerprint,
        wait: Duration,
        now: Instant,
    ) -> Start {
        let place = (AccountId::from(account), name);
        let guard = self.inner.lock().expect("ledger lock");
        let is_busy = |inner: &mut Inner| {
            matches!(
                inner.calls.get(&place),
                Some(Call { state: State::Busy, digest: other, .. }) if *other == digest
            )
        };
        let (mut inner, _) = self
            .changed
            .wait_timeout_while(guard, wait, is_busy)
            .expect("ledger lock");
        let count = inner.calls.len();
        let closed = inner.closed;
        match inner.calls.get_mut(&place) {
            Some(call) if call.digest != digest => Start::OtherContent,
            Some(call) => match &call.state {
                State::Busy => Start::StillRuns,
                State::Done(Some(reply)) => Start::Answered(reply.clone()),
                State::Done(None) => Start::AnswerDropped,
                State::Idle if closed => Start::Full,
                State::Idle => {
                    call.state = State::Busy;
                    Start::Run
                }
            },
            None if closed || count >= MOST_CALLS => Start::Full,
            None => {
                let state = State::Busy;
                let since = now;
                inner.calls.insert(
                    place,
                    Call {
                        digest,
                        state,
                        since,
                    },
                );
                Start::Run
            }
        }
    }

    /// Stores the answer of a call that ran or may have run.
    pub fn finish(&self, account: &str, name: CallName, reply: Reply) {
        let mut inner = self.inner.lock().expect("ledger lock");
        let size = reply.body.len();
        let fits = inner.answer_bytes + size <= MOST_ANSWER_BYTES;
        if let Some(call) = inner.calls.get_mut(&(account.into(), name)) {
            call.state = State::Done(fits.then_some(reply));
            inner.answer_bytes += if fits { size } else { 0 };
        }
        self.changed.notify_all();
    }

    /// Notes that a call was not run, so that a repeat may run it.
    pub fn abandon(&self, account: &str, name: CallName) {
        let mut inner = self.inner.lock().expect("ledger lock");
        if let Some(call) = inner.calls.get_mut(&(account.into(), name)) {
            call.state = State::Idle;
        }
        self.changed.notify_all();
    }

    /// Returns whether a call of this name was ever started here.
    pub fn knows(&self, account: &str, name: CallName) -> bool {
        let inner = self.inner.lock().expect("ledger lock");
        inner.calls.contains_key(&(account.into(), name))
    }

    /// Returns whether a call of this name is being run here now.
    pub fn is_busy(&self, account: &str, name: CallName) -> bool {
        let inner = self.inner.lock().expect("ledger lock");
        let call = inner.calls.get(&(account.into(), name));
        call.is_some_and(|call| matches!(call.state, State::Busy))
    }

    /// Forgets calls that started before `oldest`, whose names are no longer valid anywhere.
    pub fn forget_before(&self, oldest: Instant) {
        let mut inner = self.inner.lock().expect("ledger lock");
        let is_kept = |call: &Call| call.since >= oldest || matches!(call.state, State::Busy);
        inner.calls.retain(|_, call| is_kept(call));
        inner.answer_bytes = inner
            .calls
            .values()
            .map(|call| match &call.state {
                State::Done(Some(reply)) => reply.body.len(),
                _ => 0,
            })
            .sum();
    }

    /// Lets no further call start, for good, and returns all calls.
    ///
    /// What did not start by now never will, so peers may say so; of one that still runs they
    /// can only say that its outcome is unknown.
    pub fn close(&self) -> Vec<Stored> {
        let mut inner = self.inner.lock().expect("ledger lock");
        inner.closed = true;
        inner
            .calls
            .iter()
            .map(|((account, name), call)| Stored {
                account: account.clone(),
                name: *name,
                digest: call.digest,
                ran: match &call.state {
                    State::Busy => Some(Some(Problem::unknown("it ran as its host left").into())),
                    State::Idle => None,
                    State::Done(reply) => Some(reply.clone()),
                },
            })
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_closed_ledger_runs_nothing_more() {
        let ledger = Ledger::default();
        let now = Instant::now();
        let start = |name| ledger.start("a", name, 1, Duration::ZERO, now);
        assert_eq!(start(CallName::Ticket(1)), Start::Run);
        ledger.abandon("a", CallName::Ticket(1));
        let stored = ledger.close();
        assert_eq!(stored.len(), 1);
        assert_eq!(stored[0].ran, None);
        assert_eq!(start(CallName::Ticket(1)), Start::Full);
        assert_eq!(start(CallName::Ticket(2)), Start::Full);
    }
}
