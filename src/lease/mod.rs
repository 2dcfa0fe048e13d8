//! Lease by which a process has the authority over the engines of its own failure domain.

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

pub use self::term::LeaseState;

/// Decision about the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Leave the lease as it is.
    Wait,
    /// Append a lease record whose predecessor is the record at the given offset.
    Take(Option<Offset>),
}

/// Lease as one process sees it.
#[derive(Debug)]
pub struct Authority {
    replica: Arc<Replica<Orders>>,
    state: Mutex<LeaseState>,
}

impl Authority {
    /// Returns the authority over `domain`, with no records replayed yet.
    ///
    /// ```
    /// use pistachiohall::lease::Authority;
    /// let authority = Authority::new("derby");
    /// assert_eq!(authority.replica().stream(), "orders.derby");
    /// ```
    pub fn new(domain: &str) -> Self {
        Authority::on(&orders::stream(domain))
    }

    /// Returns an authority with the lease records of `stream`.
    pub fn on(stream: &str) -> Self {
        Authority {
            replica: Arc::new(Replica::new(stream)),
            state: Mutex::default(),
        }
    }

    /// Returns the replica of the domain's lease and orders.
    pub fn replica(&self) -> &Arc<Replica<Orders>> {
        &self.replica
    }

    /// Returns the fencing token if the process `incarnation` may send orders now.
    pub fn token(&self, incarnation: Incarnation, now: Instant) -> Option<Offset> {
        let lease = self.replica.with(|orders| orders.lease.clone())?;
        let state = self.state.lock().expect("lease lock");
        (lease.holder == incarnation && state.may_order(lease.token, now)).then_some(lease.token)
    }

    /// Decides whether the process `incarnation` takes or renews the lease, or waits; a
    /// higher `rank` waits longer, so that candidates don't append at the same time.
    pub fn decide(&self, incarnation: Incarnation, rank: usize, now: Instant) -> Decision {
        if !self.replica.is_ready() {
            return Decision::Wait;
        }
        let lease = self.replica.with(|orders| orders.lease.clone());
        let mut state = self.state.lock().expect("lease lock");
        state.observe(lease.as_ref().map(|lease| lease.token), now);
        state.decide(lease.as_ref(), incarnation, rank, now)
    }

    /// Records that a lease record is about to be appended.
    pub fn record_append(&self, now: Instant) {
        self.state.lock().expect("lease lock").record_append(now);
    }

    /// Records the offset of the appended record.
    pub fn record_offset(&self, offset: Offset) {
        self.state.lock().expect("lease lock").record_offset(offset);
    }
}

/// Takes or renews a lease if that is due, unless this process is about to end.
pub fn keep<C, P>(authority: &Authority, core: &Core<C, P>, rank: usize)
where
    C: Clock + Clone,
    P: Log + List,
{
    let now = core.clock.now();
    let Decision::Take(predecessor) = authority.decide(core.incarnation, rank, now) else {
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
    authority.record_append(now);
    match core.platform.append(authority.replica().stream(), &data) {
        Ok(offset) => authority.record_offset(offset),
        Err(cause) => warn!(cause:% = cause; "lease not written"),
    }
}
