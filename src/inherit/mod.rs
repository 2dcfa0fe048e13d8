//! One-time calls of processes that left in good order.

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

/// Most processes whose calls are kept.
const MOST_PROCESSES: usize = 64;

/// What a process that has left says of one of its calls.
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
    /// Unknown is known of the process, or the ticket is not genuine.
    Unknown,
}

#[derive(Debug)]
struct Left {
    secret: Secret,
    calls: HashMap<(AccountId, CallName), Stored>,
}

#[derive(Debug, Default)]
struct Inner {
    left: HashMap<Incarnation, Left>,
    order: VecDeque<Incarnation>,
}

/// One-time calls of processes that left in good order.
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
    /// let (inherited, left) = (Inherited::default(), uuid::Uuid::now_v7());
    /// assert_eq!(inherited.outcome_of_call(left, "a", CallName::Ticket(1), 7), CallOutcome::Unknown);
    /// inherited.take(left, [0; 32], Vec::new());
    /// assert_eq!(inherited.outcome_of_call(left, "a", CallName::Ticket(1), 7), CallOutcome::NotRun);
    /// ```
    pub fn take(&self, incarnation: Incarnation, secret: Secret, calls: Vec<Stored>) {
        let mut inner = self.inner.lock().expect("inherit lock");
        let calls = calls
            .into_iter()
            .map(|stored| ((stored.account.clone(), stored.name), stored))
            .collect();
        if inner
            .left
            .insert(incarnation, Left { secret, calls })
            .is_none()
        {
            inner.order.push_back(incarnation);
        }
        if inner.order.len() > MOST_PROCESSES
            && let Some(oldest) = inner.order.pop_front()
        {
            inner.left.remove(&oldest);
        }
    }

    /// Returns what the process that issued a ticket says of its call.
    pub fn outcome_of_ticket(
        &self,
        ticket: &Ticket,
        account: &str,
        digest: Fingerprint,
    ) -> CallOutcome {
        let is_genuine = {
            let inner = self.inner.lock().expect("inherit lock");
            let left = inner.left.get(&ticket.incarnation);
            left.is_some_and(|left| ticket.is_genuine(&left.secret, account))
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

    /// Returns what the process that holds a claim says of its call.
    pub fn outcome_of_call(
        &self,
        incarnation: Incarnation,
        account: &str,
        name: CallName,
        digest: Fingerprint,
    ) -> CallOutcome {
        let inner = self.inner.lock().expect("inherit lock");
        let Some(left) = inner.left.get(&incarnation) else {
            return CallOutcome::Unknown;
        };
        match left.calls.get(&(account.into(), name)) {
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
