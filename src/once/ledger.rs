//! Record of the one-time calls that this incarnation may run, and of those that it has run.

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

/// Maximum number of recorded calls; further ones are refused, since a forgotten call could run
/// twice.
const MAX_CALLS: usize = 200_000;
/// Maximum size of the stored responses; beyond it responses are dropped, but it stays recorded
/// that the calls ran.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

#[derive(Debug, Clone)]
enum State {
    /// May be run.
    Idle,
    /// Is being run.
    Busy,
    /// Has been run; the response is kept if it fits.
    Done(Option<Reply>),
}

#[derive(Debug)]
struct Call {
    digest: Fingerprint,
    state: State,
    started_at: Instant,
}

/// Action that a request may take on the call that it names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Start {
    /// Run the call, then report it to [`Ledger::finish`] or [`Ledger::abandon`].
    Run,
    /// Don't run it: it ran, and this is its response.
    Response(Reply),
    /// Don't run it: it ran, but its response is no longer kept.
    ResponseDropped,
    /// Don't run it: the name belongs to a call with other content.
    ContentMismatch,
    /// Don't run it: it is still running.
    StillRunning,
    /// Don't run it: the ledger is full or closed.
    Full,
}

#[derive(Debug, Default)]
struct Inner {
    calls: HashMap<(AccountId, CallName), Call>,
    response_bytes: usize,
    is_closed: bool,
}

/// A recorded call, as it is handed over to another process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// Account of the caller.
    pub account: AccountId,
    /// Name of the call.
    pub name: CallName,
    /// Digest of its content.
    pub digest: Fingerprint,
    /// `Some` if it ran or may have run, with the response if it is kept.
    pub ran: Option<Option<Reply>>,
}

/// Record of the one-time calls of this incarnation.
#[derive(Debug, Default)]
pub struct Ledger {
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl Ledger {
    /// Begins a call unless it was run before; waits up to `wait` while another request runs it.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::once::{ledger::Start, Ledger, CallName};
    /// use pistachiohall::wire::Reply;
    /// let ledger = Ledger::default();
    /// let (name, now) = (CallName::Ticket(1), Instant::now());
    /// assert_eq!(ledger.start("a", name, 7, Duration::ZERO, now), Start::Run);
    /// assert_eq!(ledger.start("a", name, 7, Duration::ZERO, now), Start::StillRunning);
    /// let reply = Reply::ran(200, "text/plain", b"ok".to_vec());
    /// ledger.finish("a", name, reply.clone());
    /// assert_eq!(ledger.start("a", name, 7, Duration::ZERO, now), Start::Response(reply));
    /// assert_eq!(ledger.start("a", name, 8, Duration::ZERO, now), Start::ContentMismatch);
    /// ```
    pub fn start(
        &self,
        account: &str,
        name: CallName,
        digest: Fingerprint,
        wait: Duration,
        now: Instant,
    ) -> Start {
        let key = (AccountId::from(account), name);
        let guard = self.inner.lock().expect("ledger lock");
        let is_busy = |inner: &mut Inner| {
            matches!(
                inner.calls.get(&key),
                Some(Call { state: State::Busy, digest: other, .. }) if *other == digest
            )
        };
        let (mut inner, _) = self
            .changed
            .wait_timeout_while(guard, wait, is_busy)
            .expect("ledger lock");
        let count = inner.calls.len();
        let is_closed = inner.is_closed;
        match inner.calls.get_mut(&key) {
            Some(call) if call.digest != digest => Start::ContentMismatch,
            Some(call) => match &call.state {
                State::Busy => Start::StillRunning,
                State::Done(Some(reply)) => Start::Response(reply.clone()),
                State::Done(None) => Start::ResponseDropped,
                State::Idle if is_closed => Start::Full,
                State::Idle => {
                    call.state = State::Busy;
                    Start::Run
                }
            },
            None if is_closed || count >= MAX_CALLS => Start::Full,
            None => {
                let state = State::Busy;
                let started_at = now;
                inner.calls.insert(
                    key,
                    Call {
                        digest,
                        state,
                        started_at,
                    },
                );
                Start::Run
            }
        }
    }

    /// Stores the response of a call that ran or may have run.
    pub fn finish(&self, account: &str, name: CallName, reply: Reply) {
        let mut inner = self.inner.lock().expect("ledger lock");
        let size = reply.body.len();
        let fits = inner.response_bytes + size <= MAX_RESPONSE_BYTES;
        if let Some(call) = inner.calls.get_mut(&(account.into(), name)) {
            call.state = State::Done(fits.then_some(reply));
            inner.response_bytes += if fits { size } else { 0 };
        }
        self.changed.notify_all();
    }

    /// Records that a call was not run, so that a retry may run it.
    pub fn abandon(&self, account: &str, name: CallName) {
        let mut inner = self.inner.lock().expect("ledger lock");
        if let Some(call) = inner.calls.get_mut(&(account.into(), name)) {
            call.state = State::Idle;
        }
        self.changed.notify_all();
    }

    /// Returns `true` if a call of this name is recorded here.
    pub fn knows(&self, account: &str, name: CallName) -> bool {
        let inner = self.inner.lock().expect("ledger lock");
        inner.calls.contains_key(&(account.into(), name))
    }

    /// Returns `true` if a call of this name is being run here now.
    pub fn is_busy(&self, account: &str, name: CallName) -> bool {
        let inner = self.inner.lock().expect("ledger lock");
        let call = inner.calls.get(&(account.into(), name));
        call.is_some_and(|call| matches!(call.state, State::Busy))
    }

    /// Forgets finished calls that started before `oldest`, whose names are no longer valid.
    pub fn forget_before(&self, oldest: Instant) {
        let mut inner = self.inner.lock().expect("ledger lock");
        let is_kept = |call: &Call| call.started_at >= oldest || matches!(call.state, State::Busy);
        inner.calls.retain(|_, call| is_kept(call));
        inner.response_bytes = inner
            .calls
            .values()
            .map(|call| match &call.state {
                State::Done(Some(reply)) => reply.body.len(),
                _ => 0,
            })
            .sum();
    }

    /// Closes the ledger permanently, so that no further call starts, and returns all calls.
    ///
    /// A call that hasn't started by now never will, so peers may report it as not run. The outcome
    /// of a call that still runs is handed over as unknown.
    pub fn close(&self) -> Vec<Stored> {
        let mut inner = self.inner.lock().expect("ledger lock");
        inner.is_closed = true;
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
    fn a_closed_ledger_starts_no_call() {
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
