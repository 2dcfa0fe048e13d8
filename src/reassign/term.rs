//! The right to give orders: a record in the store that one host holds for a while.

use std::time::Duration;

use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Clock;
use crate::id::HostId;
use crate::id::Offset;
use crate::log::AppendError;
use crate::log::ReadError;
use crate::log::keyed::ConditionError;
use crate::log::keyed::Keyed;
use crate::log::keyed::Pair;
use crate::platform::store;

/// Multiple of the lease for which a record of another host has to stand unchanged before it is
/// replaced: the lease itself, and as long again so that orders of two hosts are that far apart.
const STANDING_LEASES: u32 = 2;
/// Share of the lease in which its holder gives orders; the rest covers an order on its way.
const USABLE_SHARE: f64 = 0.7;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    holder: HostId,
    /// Start of the holder's process, so that a restarted host is another holder.
    born: u64,
    /// Counts the holder's renewals, so that each record differs from the one before.
    renewal: u64,
}

#[derive(Debug)]
struct Seen {
    record: Option<Record>,
    end: Offset,
    /// When the record was first seen so, by the time since the machine's start.
    since: Duration,
}

/// A lease that is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Fencing token: offset of the lease's record.
    pub fencing_token: Offset,
    /// When orders under it have to stop, by the time since the machine's start: a suspended host
    /// must not go on as if no time had passed.
    pub expires_at: Duration,
}

/// The lease as one host sees it.
#[derive(Debug)]
pub struct LeaseState {
    host: HostId,
    born: u64,
    lease: Duration,
    renewal: u64,
    seen: Option<Seen>,
    held: Option<Grant>,
}

impl LeaseState {
    /// Returns a term of `host`, started at `born`, that holds nothing.
    pub fn new(host: HostId, born: u64, lease: Duration) -> Self {
        LeaseState {
            host,
            born,
            lease,
            renewal: 0,
            seen: None,
            held: None,
        }
    }

    /// Returns the lease, taken or renewed if that is possible now.
    pub fn acquire<C, K>(&mut self, clock: &C, store: &K) -> Option<Grant>
    where
        C: Clock,
        K: Keyed,
    {
        let now = clock.boot();
        if let Some(held) = self.held
            && now < held.expires_at
        {
            return Some(held);
        }
        self.held = None;
        if let Err(error) = self.look(now, store) {
            warn!(
                dependency = "store",
                topic:% = store::LEASE_TOPIC,
                cause:% = error;
                "lease not read"
            );
            return None;
        }
        let at = self.takeable(now)?;
        self.renewal += 1;
        let record = Record {
            holder: self.host.clone(),
            born: self.born,
            renewal: self.renewal,
        };
        let value = serde_json::to_vec(&record).expect("a lease is JSON");
        let pair = Pair {
            key: store::LEASE_KEY,
            value: &value,
        };
        match store.put_at(store::LEASE_TOPIC, pair, at) {
            Ok(fencing_token) => {
                let expires_at = now + self.lease.mul_f64(USABLE_SHARE);
                info!(lease = fencing_token, holder:% = self.host, outcome = "taken"; "lease taken");
                self.held = Some(Grant {
                    fencing_token,
                    expires_at,
                });
            }
            Err(ConditionError::Moved(end)) => info!(
                lease = "none",
                end = end,
                outcome = "lost-race";
                "lease lost to another host"
            ),
            Err(ConditionError::Append(AppendError::Refused(cause))) => {
                info!(lease = "none", outcome = "refused", cause:% = cause; "lease refused");
            }
            // If the record is there, the next look finds it as this host's own.
            Err(ConditionError::Append(AppendError::Unknown(cause))) => {
                info!(lease = "none", outcome = "unknown", cause:% = cause; "lease unknown");
            }
        }
        self.seen = None;
        self.held
    }

    /// Gives up the lease, such as after an engine refused its token.
    pub fn release(&mut self) {
        self.held = None;
        self.seen = None;
    }

    fn look<K>(&mut self, now: Duration, store: &K) -> Result<(), ReadError>
    where
        K: Keyed,
    {
        let newest = store.newest(store::LEASE_TOPIC)?;
        let value = newest
            .records
            .into_iter()
            .find(|record| record.key == store::LEASE_KEY)
            .and_then(|record| record.value);
        let record = value.and_then(|value| match serde_json::from_slice(&value) {
            Ok(record) => Some(record),
            Err(cause) => {
                warn!(
                    lease = "unreadable",
                    outcome = "ignored",
                    cause:% = cause;
                    "lease unreadable"
                );
                None
            }
        });
        let since = match &self.seen {
            Some(seen) if seen.end == newest.next => seen.since,
            _ => now,
        };
        self.seen = Some(Seen {
            record,
            end: newest.next,
            since,
        });
        Ok(())
    }

    /// Returns where the topic has to end for the lease to be taken, if it may be taken now.
    fn takeable(&self, now: Duration) -> Option<Offset> {
        let seen = self.seen.as_ref()?;
        let is_own = seen
            .record
            .as_ref()
            .is_none_or(|record| record.holder == self.host && record.born == self.born);
        let stood = now.saturating_sub(seen.since);
        (is_own || stood >= self.lease * STANDING_LEASES).then_some(seen.end)
    }
}
