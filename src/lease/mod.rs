//! Authority over the engines of the own failure domain.

mod term;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use log::warn;

use crate::clock::Clock;
use crate::core::Core;
use crate::fold::orders;
use crate::fold::orders::Orders;
use crate::fold::orders::Record;
use crate::id::Incarnation;
use crate::id::Offset;
use crate::log::List;
use crate::log::Log;
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
        Authority::on(&orders::stream(domain))
    }

    /// Returns an authority whose leases are records of `stream`.
    pub fn on(stream: &str) -> Self {
        Authority {
            replica: Arc::new(Replica::new(stream)),
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
    pub fn note_append(&self, now: Instant) {
        self.term.lock().expect("term lock").note_append(now);
    }

    /// Notes the offset that the appended record got.
    pub fn note_offset(&self, offset: Offset) {
        self.term.lock().expect("term lock").note_offset(offset);
    }
}

/// Takes or renews a lease if it is time to; a process that is about to end does not.
pub fn keep<C, P>(authority: &Authority, core: &Core<C, P>, rank: usize)
where
    C: Clock + Clone,
    P: Log + List,
{
    let now = core.clock.now();
    let Move::Take(predecessor) = authority.decide(core.incarnation, rank, now) else {
        return;
    };
    if core.is_leaving() {
        return;
    }
    let record = Record::Lease {
        holder: core.incarnation,
        host: core.settings.name.clone(),
        peer: core.settings.peer_listen,
        predecessor,
    };
    let data = serde_json::to_value(&record).expect("a record is JSON");
    authority.note_append(now);
    match core.platform.append(authority.replica().stream(), &data) {
        Ok(offset) => authority.note_offset(offset),
        Err(cause) => warn!(cause:% = cause; "lease not written"),
    }
}
