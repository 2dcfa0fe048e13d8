//! One-time calls taken over from processes that departed in an orderly way.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Mutex;

use crate::id::AccountId;
use crate::id::Fingerprint;
use crate::id::Incarnation;
use crate::once::CallName;
use crate::once::Ticket;
use crate::once::ledger::Stored;
use crate::once::ticket::Secret;
use crate::wire::Reply;

/// Maximum number of processes whose calls are kept.
const MAX_PROCESSES: usize = 64;

/// Outcome of a call of a process that has departed, according to its ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// It ran, and this is its response.
    Response(Reply),
    /// It ran, but its response was not kept.
    ResponseDropped,
    /// It did not run and never will.
    NotRun,
    /// The name belongs to a call with other content.
    ContentMismatch,
    /// The process handed over no ledger, or the ticket is not genuine.
    Unknown,
}

#[derive(Debug)]
struct Departed {
    secret: Secret,
    calls: HashMap<(AccountId, CallName), Stored>,
}

#[derive(Debug, Default)]
struct Inner {
    departed: HashMap<Incarnation, Departed>,
    order: VecDeque<Incarnation>,
}

/// One-time calls taken over from processes that departed in an orderly way.
#[derive(Debug, Default)]
pub struct Inherited {
    inner: Mutex<Inner>,
}

impl Inherited {
    /// Takes over the calls of a process whose ledger is closed.
    ///
    /// ```
    /// use pistachiohall::inherit::{Inherited, CallOutcome};
    /// use pistachiohall::once::CallName;
    /// let (inherited, departed) = (Inherited::default(), uuid::Uuid::now_v7());
    /// let outcome = || inherited.outcome_of_call(departed, "a", CallName::Ticket(1), 7);
    /// assert_eq!(outcome(), CallOutcome::Unknown);
    /// inherited.insert(departed, [0; 32], Vec::new());
    /// assert_eq!(outcome(), CallOutcome::NotRun);
    /// ```
    pub fn insert(&self, incarnation: Incarnation, secret: Secret, calls: Vec<Stored>) {
        let mut inner = self.inner.lock().expect("inherit lock");
        let calls = calls
            .into_iter()
            .map(|stored| ((stored.account.clone(), stored.name), stored))
            .collect();
        if inner
            .departed
            .insert(incarnation, Departed { secret, calls })
            .is_none()
        {
            inner.order.push_back(incarnation);
        }
        if inner.order.len() > MAX_PROCESSES
            && let Some(oldest) = inner.order.pop_front()
        {
            inner.departed.remove(&oldest);
        }
    }

    /// Returns the outcome of a ticket's call, according to the process that issued the ticket.
    pub fn outcome_of_ticket(
        &self,
        ticket: &Ticket,
        account: &str,
        digest: Fingerprint,
    ) -> CallOutcome {
        let is_genuine = {
            let inner = self.inner.lock().expect("inherit lock");
            let departed = inner.departed.get(&ticket.incarnation);
            departed.is_some_and(|departed| ticket.is_genuine(&departed.secret, account))
        };
        match is_genuine {
            true => self.outcome_of_call(
                ticket.incarnation,
                account,
                CallName::Ticket(ticket.number),
                digest,
            ),
            false => CallOutcome::Unknown,
        }
    }

    /// Returns the outcome of a call, according to the process that may run it.
    pub fn outcome_of_call(
        &self,
        incarnation: Incarnation,
        account: &str,
        name: CallName,
        digest: Fingerprint,
    ) -> CallOutcome {
        let inner = self.inner.lock().expect("inherit lock");
        let Some(departed) = inner.departed.get(&incarnation) else {
            return CallOutcome::Unknown;
        };
        match departed.calls.get(&(account.into(), name)) {
            None => CallOutcome::NotRun,
            Some(stored) if stored.digest != digest => CallOutcome::ContentMismatch,
            Some(stored) => match &stored.ran {
                None => CallOutcome::NotRun,
                Some(None) => CallOutcome::ResponseDropped,
                Some(Some(reply)) => CallOutcome::Response(reply.clone()),
            },
        }
    }
}
