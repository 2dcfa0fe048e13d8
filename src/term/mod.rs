//! Terms: leases in the store that allow one host at a time to do what only one may do.
//!
//! Each subject has a topic of its own, so that its fencing tokens, the positions of its records,
//! rise with each term of it, and terms of other subjects don't delay it.

use std::time::Duration;

use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Clock;
use crate::id::Era;
use crate::id::FencingToken;
use crate::id::HostId;
use crate::log::AppendError;
use crate::log::ReadError;
use crate::log::keyed::ConditionError;
use crate::log::keyed::Keyed;
use crate::log::keyed::Pair;
use crate::log::keyed::Position;
use crate::platform::store;

/// Number of lease durations for which another host's record must be unchanged before it is
/// replaced: one for the lease itself, and one that separates the orders of the two hosts.
const TAKEOVER_LEASES: u32 = 2;
/// Share of the lease in which its holder sends orders; the rest covers an order in transit.
const USABLE_SHARE: f64 = 0.7;
/// Number of bits of a fencing token below the era.
const OFFSET_BITS: u32 = 32;

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    holder: HostId,
    /// Start time of the holder's process in Unix milliseconds, so that a restarted host is another
    /// holder.
    #[serde(rename = "born")]
    started_at: u64,
    /// Number of renewals by the holder, so that each record differs from the one before.
    renewal: u64,
}

#[derive(Debug)]
struct LastRead {
    record: Option<Record>,
    end: Position,
    /// When the topic's end was first read at its current position, as time since boot.
    unchanged_since: Duration,
}

/// What is done under a term, by one host at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Subject {
    /// Topic whose newest record under `key` names the holder.
    pub topic: &'static str,
    /// Key of the record.
    pub key: &'static str,
}

/// Orders to engines.
pub const ENGINE_ORDERS: Subject = Subject {
    topic: store::LEASE_TOPIC,
    key: store::LEASE_KEY,
};
/// Reports of what client accounts have used.
pub const USAGE: Subject = Subject {
    topic: store::USAGE_LEASE_TOPIC,
    key: "usage",
};
/// Orders for more or fewer upstreams.
pub const CAPACITY: Subject = Subject {
    topic: store::CAPACITY_LEASE_TOPIC,
    key: "capacity",
};

/// Lease that this host holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Fencing token: the position of the lease's record.
    pub fencing_token: FencingToken,
    /// Time since boot at which orders under the lease have to stop. It counts the time for which
    /// the machine is suspended, after which a host must not go on as if no time had passed.
    pub expires_at: Duration,
}

/// State of the lease as this host knows it.
#[derive(Debug)]
pub struct LeaseState {
    subject: Subject,
    host: HostId,
    started_at: u64,
    lease: Duration,
    renewal: u64,
    /// Era of the store in which this process last tried to write the record.
    written_in: Option<Era>,
    /// Newest era of the store, and when this process learned of it, as time since boot.
    era: (Era, Duration),
    last_read: Option<LastRead>,
    grant: Option<Grant>,
    has_store_failed: bool,
}

impl LeaseState {
    /// Returns the state of a host, started at `started_at` in Unix milliseconds, that does not hold
    /// the lease of `subject`, which lasts for `lease`.
    pub fn new(subject: Subject, host: HostId, started_at: u64, lease: Duration) -> Self {
        LeaseState {
            subject,
            host,
            started_at,
            lease,
            renewal: 0,
            written_in: None,
            era: (0, Duration::ZERO),
            last_read: None,
            grant: None,
            has_store_failed: false,
        }
    }

    /// Returns the lease, acquired or renewed if necessary, or `None` if this host cannot hold it
    /// now.
    pub fn acquire<C, K>(&mut self, clock: &C, store: &K) -> Option<Grant>
    where
        C: Clock,
        K: Keyed,
    {
        let now = clock.boot();
        self.record_era(store.newest_era(), now);
        if let Some(grant) = self.grant
            && now < grant.expires_at
        {
            return Some(grant);
        }
        self.grant = None;
        self.has_store_failed = false;
        let read = self.read_record(now, store);
        self.record_era(store.newest_era(), now);
        if let Err(error) = read {
            self.has_store_failed = true;
            warn!(
                dependency = "store",
                topic:% = self.subject.topic,
                cause:% = error;
                "lease not read"
            );
            return None;
        }
        let at = self.acquirable_at(now)?;
        self.renewal += 1;
        self.written_in = Some(at.era());
        let record = Record {
            holder: self.host.clone(),
            started_at: self.started_at,
            renewal: self.renewal,
        };
        let value = serde_json::to_vec(&record).expect("a lease record serializes to JSON");
        let pair = Pair {
            key: self.subject.key,
            value: &value,
        };
        match store.put_at(self.subject.topic, pair, at) {
            Ok(position) => {
                let fencing_token = fencing_token(position);
                let expires_at = now + self.lease.mul_f64(USABLE_SHARE);
                info!(
                    lease = fencing_token,
                    subject = self.subject.key,
                    holder:% = self.host,
                    outcome = "taken";
                    "lease taken"
                );
                self.grant = Some(Grant {
                    fencing_token,
                    expires_at,
                });
            }
            Err(ConditionError::Moved(end)) => info!(
                lease = "none",
                subject = self.subject.key,
                end = end,
                outcome = "lost-race";
                "lease lost to another host"
            ),
            Err(ConditionError::Append(AppendError::Refused(cause))) => {
                self.has_store_failed = true;
                info!(lease = "none", outcome = "refused", cause:% = cause; "lease refused");
            }
            // If the record was written, the next read finds it as this host's own.
            Err(ConditionError::Append(AppendError::Unknown(cause))) => {
                self.has_store_failed = true;
                info!(
                    lease = "none",
                    outcome = "unknown",
                    cause:% = cause;
                    "lease outcome unknown"
                );
            }
        }
        self.last_read = None;
        self.grant
    }

    /// Records the era that the store has named at `now`, as time since boot. A host that knows early
    /// of a restore has to wait less when it needs the lease.
    pub fn record_era(&mut self, era: Era, now: Duration) {
        if era > self.era.0 {
            self.era = (era, now);
        }
    }

    /// Returns `true` if the last attempt to acquire the lease failed for want of the store, rather than
    /// because another host holds it.
    pub fn has_store_failed(&self) -> bool {
        self.has_store_failed
    }

    /// Releases the lease, for example after an engine refused its fencing token.
    pub fn release(&mut self) {
        self.grant = None;
        self.last_read = None;
    }

    /// Reads the lease record from the store into `last_read`.
    fn read_record<K>(&mut self, now: Duration, store: &K) -> Result<(), ReadError>
    where
        K: Keyed,
    {
        let newest = store.newest(self.subject.topic)?;
        let value = newest
            .records
            .into_iter()
            .find(|record| record.key == self.subject.key)
            .and_then(|record| record.value);
        let record = value.and_then(|value| match serde_json::from_slice(&value) {
            Ok(record) => Some(record),
            Err(cause) => {
                warn!(
                    lease = "unreadable",
                    outcome = "ignored",
                    cause:% = cause;
                    "lease record not parsed"
                );
                None
            }
        });
        let unchanged_since = match &self.last_read {
            Some(last_read) if last_read.end == newest.next => last_read.unchanged_since,
            _ => now,
        };
        self.last_read = Some(LastRead {
            record,
            end: newest.next,
            unchanged_since,
        });
        Ok(())
    }

    fn is_own(&self, record: &Record) -> bool {
        record.holder == self.host && record.started_at == self.started_at
    }

    /// Returns the position at which the topic must end for the lease to be acquired, or `None` if
    /// this host may not acquire it now.
    ///
    /// A store that was restored may lack the record of a lease that still holds, so that no record or
    /// one that this process wrote before proves nothing for as long as such a lease lasts.
    fn acquirable_at(&self, now: Duration) -> Option<Position> {
        let last_read = self.last_read.as_ref()?;
        let era = last_read.end.era();
        let takeover_delay = self.lease * TAKEOVER_LEASES;
        let has_lost_lease_ended = || now.saturating_sub(self.era.1) >= takeover_delay;
        let is_free = match &last_read.record {
            None => era <= store::FIRST_ERA || has_lost_lease_ended(),
            Some(record) if self.is_own(record) => {
                self.written_in == Some(era) || has_lost_lease_ended()
            }
            Some(_) => now.saturating_sub(last_read.unchanged_since) >= takeover_delay,
        };
        let is_late = era < self.era.0;
        (is_free && !is_late).then_some(last_read.end)
    }
}

/// Returns the fencing token of the record at `position`: unlike its offset, which is given out again
/// after a restore, it is higher than those of all records written before.
fn fencing_token(position: Position) -> FencingToken {
    let (era, offset) = position.into_parts();
    (era.saturating_sub(store::FIRST_ERA) << OFFSET_BITS) + offset
}
