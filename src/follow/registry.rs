//! Follows the entries that upstreams write about themselves.

use std::time::Duration;
use std::time::Instant;

use log::info;
use log::warn;

use super::reader::Reader;
use super::reader::SegmentOutcome;
use super::reader::Update;
use super::share;
use super::share::Endpoint;
use super::share::Incoming;
use super::share::Schedule;
use super::view::Origin;
use super::view::ViewPublisher;
use crate::clock::Clock;
use crate::fleet::Change;
use crate::fleet::Fleet;
use crate::id::Era;
use crate::id::UpstreamId;
use crate::log::ReadError;
use crate::log::keyed::Keyed;
use crate::log::keyed::Record;
use crate::platform::registry;
use crate::platform::store;

/// Interval between reads by the host that reads for its failure domain. A leaving upstream must
/// get no new work after two seconds, into which a read, a datagram and their delays on a busy host
/// must fit.
const READ_INTERVAL: Duration = Duration::from_millis(300);
/// Delay after a failed read.
const FAILURE_BACKOFF: Duration = Duration::from_millis(250);
/// Age of the data from peers at which this host reads the store itself; leaves time for a failed
/// read and another one within the two seconds after which a leaving upstream must get no new work.
const MAX_AGE: Duration = Duration::from_secs(1);
/// Minimum lateness of this thread that is logged; indicates a host without spare processor time.
const MIN_LOGGED_LATENESS: Duration = Duration::from_millis(250);

/// Keeps the registry up to date, sharing the reads with peers; never returns.
pub fn follow<C, K>(publisher: &ViewPublisher, clock: &C, store: &K, endpoint: &Endpoint)
where
    C: Clock,
    K: Keyed,
{
    let mut follower = Follower::new(publisher, clock.now());
    loop {
        let incoming = endpoint.wait(follower.wake());
        let now = clock.now();
        log_lateness(now.saturating_duration_since(follower.schedule.due()));
        match incoming {
            Some(incoming) => follower.apply(incoming, endpoint.rank(), now),
            None if follower.full_read_at.is_some_and(|at| at <= now) => {
                follower.read_in_full(clock, store, endpoint);
            }
            None if follower.schedule.due() <= now => follower.read(clock, store, endpoint),
            None => (),
        }
        follower.sweep(clock.now());
    }
}

/// Last known state of the registry and the schedule of its reads.
#[derive(Debug)]
struct Follower<'a> {
    publisher: &'a ViewPublisher,
    reader: Reader,
    fleet: Fleet,
    schedule: Schedule,
    /// Time of the full read that a restore of the store requires.
    full_read_at: Option<Instant>,
    /// Era of the last restore that the fleet knows of.
    restored_era: Era,
    /// Origin of the newest data.
    origin: Origin,
    /// Latest time at which the store is known to have answered this host or a peer.
    store_seen_at: Instant,
}

impl<'a> Follower<'a> {
    fn new(publisher: &'a ViewPublisher, now: Instant) -> Self {
        Follower {
            publisher,
            reader: Reader::new(store::UPSTREAM_TOPIC),
            fleet: Fleet::default(),
            schedule: Schedule::new(READ_INTERVAL, FAILURE_BACKOFF, MAX_AGE, now),
            full_read_at: None,
            restored_era: 0,
            origin: Origin {
                source: "store",
                queried_at: None,
            },
            store_seen_at: now,
        }
    }

    /// Returns the time of the next action if no segment arrives before.
    fn wake(&self) -> Instant {
        let due = self.schedule.due();
        let others = [self.fleet.next_expiry(), self.full_read_at];
        others.into_iter().flatten().fold(due, Instant::min)
    }

    /// Applies a segment from a peer.
    fn apply(&mut self, incoming: Incoming, rank: usize, now: Instant) {
        let records = match self.reader.apply(incoming.segment) {
            SegmentOutcome::Next(records) => records,
            SegmentOutcome::Restored(records) => {
                self.plan_full_read(rank, now);
                records
            }
            SegmentOutcome::Missing => return self.schedule.set_due(now),
            SegmentOutcome::Behind => return,
        };
        let queried_at = incoming.asked.map(|asked| asked.now);
        self.schedule.record_peer_read(queried_at, now, rank);
        self.origin = Origin {
            source: "peer-reading",
            queried_at,
        };
        self.update(Update::Changes(records), now);
    }

    /// Plans the full read that a restore of the store requires. The hosts of a failure domain read
    /// one after another, and until then the records that others read are enough.
    fn plan_full_read(&mut self, rank: usize, now: Instant) {
        if self.reader.era() > self.restored_era {
            self.restored_era = self.reader.era();
            self.fleet.record_restore(now);
        }
        let delay = share::full_read_delay(rank, self.fleet.count());
        self.full_read_at.get_or_insert(now + delay);
    }

    /// Reads the store and sends the result to peers.
    fn read<C, K>(&mut self, clock: &C, store: &K, endpoint: &Endpoint)
    where
        C: Clock,
        K: Keyed,
    {
        let read = |reader: &mut Reader| reader.read(store, Duration::ZERO);
        self.read_with(read, clock, endpoint);
    }

    /// Reads the newest record of each key and sends the result to peers.
    fn read_in_full<C, K>(&mut self, clock: &C, store: &K, endpoint: &Endpoint)
    where
        C: Clock,
        K: Keyed,
    {
        self.full_read_at = None;
        self.read_with(|reader| reader.read_in_full(store), clock, endpoint);
        if self.reader.is_restored() {
            self.full_read_at = Some(self.schedule.due());
        }
    }

    fn read_with<C, F>(&mut self, read: F, clock: &C, endpoint: &Endpoint)
    where
        C: Clock,
        F: FnOnce(&mut Reader) -> Result<Update, ReadError>,
    {
        let from = self.reader.next();
        let (freshness, queried_at) = (endpoint.freshness(), clock.now());
        let update = read(&mut self.reader);
        let now = clock.now();
        match update {
            Ok(Update::Outdated) => {
                self.schedule.record_read(now);
                self.plan_full_read(endpoint.rank(), now);
            }
            Ok(update) => {
                self.schedule.record_read(now);
                if let (Some(from), Update::Changes(records), Some(next)) =
                    (from, &update, self.reader.next())
                {
                    endpoint.send(from, next, records.clone(), freshness);
                }
                self.origin = Origin {
                    source: "store",
                    queried_at: Some(queried_at),
                };
                self.update(update, now);
            }
            Err(error) => {
                self.reader.record_failure(&error);
                let failures = self.reader.failures();
                self.schedule.record_failure(now, endpoint.rank(), failures);
            }
        }
    }

    fn update(&mut self, update: Update, now: Instant) {
        let mut outage = None;
        // Data of unknown age doesn't show that the store is reachable again.
        if let Some(queried_at) = self.origin.queried_at {
            if self.reader.record_success() {
                outage = Some(queried_at.saturating_duration_since(self.store_seen_at));
            }
            self.store_seen_at = self.store_seen_at.max(queried_at);
        }
        for id in update_fleet(&mut self.fleet, update, outage, now) {
            info!(
                upstream:% = id,
                source = self.origin.source,
                outcome = "still-used",
                reason = "may-be-renewed";
                "upstream entry removed"
            );
        }
        for (id, doubt) in self.fleet.take_doubted() {
            info!(
                upstream:% = id,
                source = self.origin.source,
                outcome = "ignored",
                reason:? = doubt;
                "upstream entry ignored"
            );
        }
        self.publisher
            .set_entries(self.fleet.entries(), self.origin);
        // Whoever finds this time finds at least the entries that were read then.
        if let Some(queried_at) = self.origin.queried_at {
            self.publisher.record_upstreams_read(queried_at);
        }
    }

    /// Stops using upstreams whose entries were removed and not renewed in time.
    fn sweep(&mut self, now: Instant) {
        let expired = self.fleet.sweep(now);
        for id in &expired {
            info!(upstream:% = id, outcome = "gone", reason = "lapsed"; "upstream gone");
        }
        if !expired.is_empty() {
            self.publisher
                .set_entries(self.fleet.entries(), self.origin);
        }
    }
}

/// Logs that the thread was scheduled late by the operating system.
fn log_lateness(lateness: Duration) {
    if lateness >= MIN_LOGGED_LATENESS {
        info!(
            topic = store::UPSTREAM_TOPIC,
            late_ms = lateness.as_millis() as u64,
            outcome = "late";
            "reading begun late"
        );
    }
}

/// Applies an update to the fleet; returns the upstreams that stay in use although their entries
/// were removed. `outage` is given for the first read after an outage of that length.
fn update_fleet(
    fleet: &mut Fleet,
    update: Update,
    outage: Option<Duration>,
    now: Instant,
) -> Vec<UpstreamId> {
    match update {
        Update::Full(records) | Update::Restored(records) => {
            let entries =
                records
                    .into_iter()
                    .filter_map(change)
                    .filter_map(|change| match change {
                        Change::Written(entry, write_count) => Some((entry, write_count)),
                        Change::Removed(_) => None,
                    });
            if let Some(outage) = outage {
                fleet.record_return(outage, &[], now);
            }
            fleet.replace(entries.collect(), now)
        }
        Update::Changes(records) => {
            let changes: Vec<Change> = records.into_iter().filter_map(change).collect();
            if let Some(outage) = outage {
                fleet.record_return(outage, &changes, now);
            }
            fleet.apply(changes, now)
        }
        Update::Outdated => Vec::new(),
    }
}

fn change(record: Record) -> Option<Change> {
    let Some(value) = record.value else {
        return Some(Change::Removed(record.key));
    };
    match registry::decode(record.key.clone(), &value) {
        Ok((entry, write_count)) => Some(Change::Written(entry, write_count)),
        Err(cause) => {
            warn!(
                upstream:% = record.key,
                entry = "unreadable",
                outcome = "ignored",
                cause:% = cause;
                "upstream entry unreadable"
            );
            None
        }
    }
}
