//! Leases on the engines of a failure domain, and the orders given under them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use super::Fold;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Offset;
use crate::id::UpstreamId;
use crate::upstream::Role;

/// Returns the name of the stream of a failure domain.
///
/// ```
/// assert_eq!(pistachiohall::fold::orders::stream("derby"), "orders.derby");
/// ```
pub fn stream(domain: &str) -> String {
    format!("orders.{domain}")
}

/// Returns the name of the stream in which failure domains take the change slot for a service's
/// roles in turn.
pub fn change_slot_stream(service: &str) -> String {
    format!("turns.{service}")
}

/// Change that an engine is ordered to make.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Take a role.
    Role(Role),
    /// Load a version of the model.
    Version(CompactString),
    /// Load an adapter.
    Adapter(CompactString),
}

/// Result of an intent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Close {
    /// The engine reported the result.
    Done,
    /// It was given up; the engine's own report shows its state.
    Abandoned,
}

/// A record of the stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// Takes or renews the lease; void unless `predecessor` is the current lease.
    Lease {
        /// Process that takes it.
        holder: Incarnation,
        /// Host of the process.
        host: HostId,
        /// Address at which its peers reach it.
        peer: SocketAddr,
        /// Offset of the lease that this one follows.
        predecessor: Option<Offset>,
    },
    /// Announces an order; void if the lease was superseded or the engine has an open one.
    Intent {
        /// Lease that it is given under.
        lease: Offset,
        /// Process that will send it.
        holder: Incarnation,
        /// Engine that gets the order.
        upstream: UpstreamId,
        /// Ordered change.
        action: Action,
        /// `true` if the engine refuses old fencing tokens.
        checks_tokens: bool,
    },
    /// Closes an intent; void if the lease was superseded.
    Closed {
        /// Lease that it is closed under.
        lease: Offset,
        /// Offset of the intent.
        intent: Offset,
        /// Result of the intent.
        close: Close,
    },
    /// States that a process will send no further orders, and gives up its lease.
    Released {
        /// The process, which wrote the record itself or is known to have ended.
        holder: Incarnation,
    },
    /// Asks the holder of the lease to change an engine, on an operator's request.
    Asked {
        /// Engine to change.
        upstream: UpstreamId,
        /// Requested change.
        action: Action,
    },
    /// Takes an upstream out of use or back into use, on an operator's request.
    Drain {
        /// Upstream to change.
        upstream: UpstreamId,
        /// `true` if it is to be out of use.
        drained: bool,
    },
    /// The state that all records up to `as_of` have built.
    Snapshot {
        /// Last offset included.
        as_of: Offset,
        /// The state.
        state: Orders,
    },
}

/// The current lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Offset of its latest record, which is the fencing token.
    pub token: Offset,
    /// Offset of the record by which the holder first took it.
    pub since: Offset,
    /// Process that holds it.
    pub holder: Incarnation,
    /// Host of the process.
    pub host: HostId,
    /// Address at which its peers reach it.
    pub peer: SocketAddr,
}

/// An order that was announced and is not closed yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// Offset of the intent.
    pub intent: Offset,
    /// Process that announced it.
    pub holder: Incarnation,
    /// Ordered change.
    pub action: Action,
}

/// Lease and orders of one failure domain.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// The current lease.
    pub lease: Option<Lease>,
    /// Open orders by engine.
    pub open: BTreeMap<UpstreamId, Open>,
    /// Processes whose orders may still reach an engine that ignores fencing tokens, by engine.
    pub bound: BTreeMap<UpstreamId, Incarnation>,
    /// Changes that operators asked for and that are not made yet, by engine.
    #[serde(default)]
    pub asked: BTreeMap<UpstreamId, Action>,
    /// Upstreams that operators took out of use, with the offset of the record that did.
    pub drained: BTreeMap<UpstreamId, Offset>,
    /// Number of orders closed as done.
    pub done: u64,
}

impl Orders {
    /// Returns the fencing token if `holder` holds the lease.
    pub fn fencing_token(&self, holder: Incarnation) -> Option<Offset> {
        let lease = self.lease.as_ref()?;
        (lease.holder == holder).then_some(lease.token)
    }

    /// Returns the upstreams that get no new work, each with the offset of the record behind it.
    pub fn out_of_use(&self) -> BTreeMap<UpstreamId, Offset> {
        let mut all = self.drained.clone();
        for (upstream, open) in &self.open {
            all.insert(upstream.clone(), open.intent);
        }
        all
    }

    fn is_current(&self, lease: Offset) -> bool {
        let current = self.lease.as_ref();
        current.is_some_and(|current| (current.since..=current.token).contains(&lease))
    }

    fn apply_lease(&mut self, offset: Offset, record: &Record) {
        let Record::Lease {
            holder,
            host,
            peer,
            predecessor,
        } = record
        else {
            return;
        };
        if self.lease.as_ref().map(|lease| lease.token) != *predecessor {
            return;
        }
        let renewed = self.lease.as_ref().filter(|lease| lease.holder == *holder);
        self.lease = Some(Lease {
            token: offset,
            since: renewed.map_or(offset, |lease| lease.since),
            holder: *holder,
            host: host.clone(),
            peer: *peer,
        });
    }

    fn apply_intent(&mut self, offset: Offset, record: &Record) {
        let Record::Intent {
            lease,
            holder,
            upstream,
            action,
            checks_tokens,
        } = record
        else {
            return;
        };
        let is_holder = self.fencing_token(*holder).is_some() && self.is_current(*lease);
        let bound_elsewhere = self
            .bound
            .get(upstream)
            .is_some_and(|other| other != holder);
        if !is_holder || bound_elsewhere || self.open.contains_key(upstream) {
            return;
        }
        if !checks_tokens {
            self.bound.insert(upstream.clone(), *holder);
        }
        let open = Open {
            intent: offset,
            holder: *holder,
            action: action.clone(),
        };
        self.open.insert(upstream.clone(), open);
    }

    fn apply_close(&mut self, lease: Offset, intent: Offset, close: Close) {
        if !self.is_current(lease) {
            return;
        }
        let before = self.open.len();
        let (bound, asked) = (&self.bound, &mut self.asked);
        let holder = self.lease.as_ref().map(|lease| lease.holder);
        self.open.retain(|upstream, open| {
            let other = bound.get(upstream);
            let frozen = other.is_some_and(|other| Some(*other) != holder);
            let is_closed = open.intent == intent && !frozen;
            let is_done = is_closed && close == Close::Done;
            if is_done && asked.get(upstream) == Some(&open.action) {
                asked.remove(upstream);
            }
            !is_closed
        });
        self.done += u64::from(close == Close::Done && self.open.len() < before);
    }
}

impl Fold for Orders {
    type Record = Record;

    const NEEDS_SNAPSHOT: bool = true;

    fn fold(&mut self, offset: Offset, record: &Record) {
        match record {
            Record::Lease { .. } => self.apply_lease(offset, record),
            Record::Intent { .. } => self.apply_intent(offset, record),
            Record::Closed {
                lease,
                intent,
                close,
            } => self.apply_close(*lease, *intent, *close),
            Record::Released { holder } => {
                self.bound.retain(|_, other| other != holder);
                self.lease.take_if(|lease| lease.holder == *holder);
            }
            Record::Asked { upstream, action } => {
                self.asked.insert(upstream.clone(), action.clone());
            }
            Record::Drain { upstream, drained } => {
                match drained {
                    true => self.drained.insert(upstream.clone(), offset),
                    false => self.drained.remove(upstream),
                };
            }
            Record::Snapshot { .. } => {}
        }
    }

    fn snapshot(record: &Record) -> Option<(Offset, Orders)> {
        match record {
            Record::Snapshot { as_of, state } => Some((*as_of, state.clone())),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests {
    use uuid::Uuid;

    use super::*;

    fn lease(holder: u128, predecessor: Option<Offset>) -> Record {
        Record::Lease {
            holder: Uuid::from_u128(holder),
            host: "n".into(),
            peer: "127.0.0.1:1".parse().unwrap(),
            predecessor,
        }
    }

    fn intent(holder: u128, lease: Offset, checks_tokens: bool) -> Record {
        Record::Intent {
            lease,
            holder: Uuid::from_u128(holder),
            upstream: "e1".into(),
            action: Action::Role(Role::Prefill),
            checks_tokens,
        }
    }

    fn closed(lease: Offset, intent: Offset) -> Record {
        Record::Closed {
            lease,
            intent,
            close: Close::Done,
        }
    }

    fn folded(records: &[Record]) -> Orders {
        let mut orders = Orders::default();
        for (offset, record) in records.iter().enumerate() {
            orders.fold(offset as Offset, record);
        }
        orders
    }

    #[test]
    fn the_first_of_two_leases_with_the_same_predecessor_is_valid() {
        let orders = folded(&[lease(1, None), lease(2, Some(0)), lease(3, Some(0))]);
        assert_eq!(orders.lease.unwrap().holder, Uuid::from_u128(2));
    }

    #[test]
    fn an_intent_under_a_superseded_lease_is_void() {
        let orders = folded(&[lease(1, None), lease(2, Some(0)), intent(1, 0, true)]);
        assert!(orders.open.is_empty());
    }

    #[test]
    fn an_intent_under_an_earlier_record_of_the_same_holder_is_valid() {
        let orders = folded(&[lease(1, None), lease(1, Some(0)), intent(1, 0, true)]);
        assert_eq!(orders.open.len(), 1);
    }

    #[test]
    fn a_requested_change_is_dropped_once_it_is_made() {
        let action = Action::Role(Role::Prefill);
        let asked = Record::Asked {
            upstream: "e1".into(),
            action,
        };
        let orders = folded(&[lease(1, None), asked, intent(1, 0, true), closed(0, 2)]);
        assert!(orders.asked.is_empty());
        assert_eq!(orders.done, 1);
    }

    #[test]
    fn an_engine_has_at_most_one_open_order() {
        let orders = folded(&[lease(1, None), intent(1, 0, true), intent(1, 0, true)]);
        assert_eq!(orders.open["e1"].intent, 1);
    }

    #[test]
    fn an_engine_that_ignores_tokens_gets_no_new_order_until_its_holder_is_released() {
        let mut records = vec![
            lease(1, None),
            intent(1, 0, false),
            lease(2, Some(0)),
            closed(2, 1),
            intent(2, 2, false),
        ];
        assert_eq!(folded(&records).open["e1"].intent, 1);
        let holder = Uuid::from_u128(1);
        records.extend([
            Record::Released { holder },
            closed(2, 1),
            intent(2, 2, false),
        ]);
        assert_eq!(folded(&records).open["e1"].intent, 7);
    }
}
