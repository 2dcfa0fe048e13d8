//! Authority over the engines of the own failure domain.

mod term;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use crate::fold::orders;
use crate::fold::orders::Lease;
use crate::fold::orders::Orders;
use crate::fold::orders::Record;
use crate::id::Incarnation;
use crate::id::Offset;
use crate::replay::Replica;

pub use self::term::Term;

/// What to do about the lease now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Move {
    /// Nothing.
    Wait,
    /// Append a lease record that follows the given one.
    Take(Option<Offset>),
}

/// The lease as one process sees it.
#[derive(Debug)]
pub struct Authority {
    replica: Arc<Replica<Orders>>,
    term: Mutex<Term>,
}

impl Authority {
    /// Returns the authority over `domain`, with nothing replayed yet.
    ///
    /// ```
    /// use pistachiohall::lease::Authority;
    /// let authority = Authority::new("derby");
    /// assert_eq!(authority.replica().stream(), "orders.derby");
    /// ```
    pub fn new(domain: &str) -> Self {
        Authority {
            replica: Arc::new(Replica::new(&orders::stream(domain))),
            term: Mutex::default(),
        }
    }

    /// Returns the replica of the domain's orders.
    pub fn replica(&self) -> &Arc<Replica<Orders>> {
        &self.replica
    }

    /// Returns the token if `own` may give orders now.
    pub fn token(&self, own: Incarnation, now: Instant) -> Option<Offset> {
        let lease = self.replica.with(|orders| orders.lease.clone())?;
        let term = self.term.lock().expect("term lock");
        (lease.holder == own && term.may_order(lease.token, now)).then_some(lease.token)
    }

    /// Decides whether to take, renew or wait; `rank` spreads candidates out.
    pub fn decide(&self, own: Incarnation, rank: usize, now: Instant) -> Move {
        if !self.replica.is_ready() {
            return Move::Wait;
        }
        let lease = self.replica.with(|orders| orders.lease.clone());
        let mut term = self.term.lock().expect("term lock");
        term.see(lease.as_ref().map(|lease| lease.token), now);
        term.decide(lease.as_ref(), own, rank, now)
    }

    /// Notes that a lease record is about to be appended.
    pub fn note_append(&self, predecessor: Option<Offset>, now: Instant) {
        self.term
            .lock()
            .expect("term lock")
            .note_append(predecessor, now);
    }

    /// Notes the offset that the appended record got.
    pub fn note_offset(&self, offset: Offset) {
        self.term.lock().expect("term lock").note_offset(offset);
    }
}

/// Returns the record by which a process takes or renews the lease.
pub fn record(lease: &Lease, predecessor: Option<Offset>) -> Record {
    Record::Lease {
        holder: lease.holder,
        host: lease.host.clone(),
        peer: lease.peer,
        predecessor,
    }
}
