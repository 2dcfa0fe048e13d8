//! Shared reads: one host of a failure domain reads the store and sends the result to the others.
//!
//! No host is elected. Each waits for a delay that grows with its rank among the hosts from which
//! it receives datagrams. The host whose delay ends first reads the store and sends the result,
//! which restarts the delays of the others. If that host crashes, is partitioned or hangs, the next
//! host's delay ends a little later.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crossbeam::channel;
use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use crossbeam::channel::Sender;
use log::debug;
use tokio::sync::mpsc;

use super::patch::Patch;
use crate::clock::Moment;
use crate::gossip;
use crate::gossip::DatagramId;
use crate::id::Era;
use crate::id::HostId;
use crate::id::Offset;
use crate::log::keyed::Position;
use crate::log::keyed::Record;

/// Additional delay of the second host in rank: time for a response of the store and a datagram on
/// a busy host.
const FIRST_RANK_DELAY: Duration = Duration::from_millis(150);
/// Additional delay of each further host in rank.
const RANK_DELAY: Duration = Duration::from_millis(50);
/// Maximum number of steps of [`RANK_DELAY`]. The longest delay is then 450 ms above that of the
/// first host, so that a change is still seen within two seconds.
const MAX_RANK_STEPS: usize = 6;
/// Maximum number of consecutive failures after which a host retries without a longer delay.
const MAX_QUICK_RETRIES: u32 = 3;
/// Maximum delay after a failed read, and so until a store that is back gets noticed.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum size of the records sent with a segment; hosts patch larger ones or read them from the store.
pub const MAX_RECORD_BYTES: usize = 32_000;
/// Maximum number of queued segments per direction; each covers at least half a second.
const MAX_QUEUED_SEGMENTS: usize = 16;

/// Minimum number of records in a page of the newest records.
const PAGE_RECORDS: usize = 500;
/// Time between the full reads of two hosts of a failure domain, for each page.
const FULL_READ_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the delay of a full read of some `records` after a restore of the store; `rank` is the
/// number of hosts of the failure domain before this one. Without it, all hosts would read at the
/// same time, and the store limits the calls and the bytes of all hosts together.
///
/// ```
/// use std::time::Duration;
/// use pistachiohall::follow::share;
/// assert_eq!(share::full_read_delay(0, 12_000), Duration::ZERO);
/// assert_eq!(share::full_read_delay(2, 12_000), Duration::from_millis(4800));
/// ```
pub fn full_read_delay(rank: usize, records: usize) -> Duration {
    let pages = records.div_ceil(PAGE_RECORDS).max(1);
    FULL_READ_INTERVAL * (rank * pages) as u32
}

/// Time over which the hosts read and write their own topics again after a restore of the store.
const REFRESH_SPREAD: Duration = Duration::from_secs(2);

/// Returns the delay after which a host reads and writes its own topics again after a restore of the
/// store; the delays of all hosts are spread evenly.
///
/// ```
/// use std::time::Duration;
/// use pistachiohall::follow::share;
/// assert!(share::refresh_delay(&"front-derby-1".into()) <= Duration::from_secs(2));
/// ```
pub fn refresh_delay(host: &HostId) -> Duration {
    let share = f64::from(gossip::digest(host)) / f64::from(u32::MAX);
    REFRESH_SPREAD.mul_f64(share)
}

/// Consecutive records of a topic that one host read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// Topic.
    pub topic: &'static str,
    /// Era of the store to which the offsets belong.
    pub era: Era,
    /// Offset of the first record.
    pub from: Offset,
    /// Offset after the last record.
    pub next: Offset,
    /// The records; `None` if they are too large to be sent.
    pub records: Option<Vec<Record>>,
    /// Difference from the value before to that of the last record, if the records are too large.
    pub patch: Option<Patch>,
}

impl Segment {
    /// Adds the difference from `base`, the value before, if the records are too large to be sent.
    pub fn with_patch(self, base: &[u8]) -> Self {
        let records = self.records.as_ref();
        let last = records.filter(|records| size(records) > MAX_RECORD_BYTES);
        let patch = last.and_then(|records| Patch::between(base, records.last()?));
        Segment { patch, ..self }
    }

    /// Returns the segment with the record that results from its patch, where its records are missing and
    /// `base` is the value from which the patch was made.
    pub fn patched(self, base: &[u8]) -> Self {
        let patch = self.patch.as_ref().filter(|_| self.records.is_none());
        let record = patch.and_then(|patch| patch.apply(base));
        Segment {
            records: self.records.or(record.map(|record| vec![record])),
            patch: None,
            ..self
        }
    }
}

/// Returns the number of bytes of records.
fn size(records: &[Record]) -> usize {
    let size = |record: &Record| record.key.len() + record.value.as_ref().map_or(0, Vec::len);
    records.iter().map(size).sum()
}

/// Returns the records if they are small enough to be sent to peers.
pub fn sendable(records: Vec<Record>) -> Option<Vec<Record>> {
    (size(&records) <= MAX_RECORD_BYTES).then_some(records)
}

/// Evidence from which each peer bounds the age of a segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Freshness {
    /// Newest datagram received from each peer when the store was queried.
    pub received: Arc<Vec<DatagramId>>,
    /// Time after the query for which the response proves that nothing changed.
    pub waited: Duration,
}

/// A segment to be sent to peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Segment that was read.
    pub segment: Segment,
    /// Evidence of its age.
    pub freshness: Freshness,
}

/// A segment received from a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Incoming {
    /// Segment that the peer read.
    pub segment: Segment,
    /// Time up to which it definitely contains all records; `None` if the peer could not prove one.
    pub asked: Option<Moment>,
}

/// Schedule of a host's reads of one topic.
#[derive(Debug)]
pub struct Schedule {
    interval: Duration,
    failure_backoff: Duration,
    max_age: Duration,
    due: Instant,
    /// Whether this host was the last to read, of those that share their reads.
    is_reader: bool,
}

impl Schedule {
    /// Returns a schedule whose first read is due at once. A host reads every `interval`, and again
    /// `failure_backoff` after a first failed read. Segments from peers postpone the read until the
    /// data of this host is `max_age` old.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::follow::share::Schedule;
    /// let now = Instant::now();
    /// let second = Duration::from_secs(1);
    /// let mut schedule = Schedule::new(second, second / 4, 2 * second, now);
    /// schedule.record_peer_read(Some(now), now, 1);
    /// assert!(schedule.due() > now + second);
    /// schedule.record_read(now);
    /// assert_eq!(schedule.due(), now + second);
    /// ```
    pub fn new(
        interval: Duration,
        failure_backoff: Duration,
        max_age: Duration,
        now: Instant,
    ) -> Self {
        Schedule {
            interval,
            failure_backoff,
            max_age,
            due: now,
            is_reader: false,
        }
    }

    /// Returns the time for which the next read waits for changes. A host that takes over from a peer
    /// which has fallen silent reads without waiting: otherwise each further host would take over too
    /// before this one has anything to send.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::follow::share::Schedule;
    /// let now = Instant::now();
    /// let second = Duration::from_secs(1);
    /// let mut schedule = Schedule::new(second, second / 4, 2 * second, now);
    /// schedule.record_peer_read(Some(now), now, 1);
    /// assert_eq!(schedule.wait(second), Duration::ZERO);
    /// schedule.record_own_read();
    /// assert_eq!(schedule.wait(second), second);
    /// ```
    pub fn wait(&self, max: Duration) -> Duration {
        match self.is_reader {
            true => max,
            false => Duration::ZERO,
        }
    }

    /// Records that this host has read the store and sends what it read to its peers.
    pub fn record_own_read(&mut self) {
        self.is_reader = true;
    }

    /// Records that this host has read the store.
    pub fn record_read(&mut self, now: Instant) {
        self.due = now + self.interval;
    }

    /// Records that a peer sent the contents of the store at `queried_at`; `rank` is the number of
    /// hosts before this one. The first host keeps its own interval, so that there is always one
    /// that reads.
    ///
    /// Data of unknown age postpones nothing: datagrams that are delayed on a busy host or a full
    /// link would keep this host from reading while they arrive.
    pub fn record_peer_read(&mut self, queried_at: Option<Instant>, now: Instant, rank: usize) {
        let (Some(queried_at), Some(steps)) = (queried_at, rank.checked_sub(1)) else {
            return;
        };
        self.is_reader = false;
        let by_rank =
            now + self.interval + FIRST_RANK_DELAY + RANK_DELAY * steps.min(MAX_RANK_STEPS) as u32;
        self.due = self.due.max(by_rank.min(queried_at + self.max_age));
    }

    /// Records the `failures`th consecutive failure. After the first ones, whose cause may be this
    /// host alone, hosts of higher rank retry less often; their peers report when the store is
    /// back.
    pub fn record_failure(&mut self, now: Instant, rank: usize, failures: u32) {
        let backoff = match failures > MAX_QUICK_RETRIES {
            true => self.failure_backoff * (rank as u32 + 1),
            false => self.failure_backoff,
        };
        self.due = now + backoff.min(MAX_FAILURE_BACKOFF);
    }

    /// Schedules a read at `now`, regardless of the data from peers.
    pub fn set_due(&mut self, now: Instant) {
        self.due = now;
    }

    /// Returns the time of the next read.
    pub fn due(&self) -> Instant {
        self.due
    }
}

/// Endpoint of the exchange with peers for a thread that reads one topic.
#[derive(Debug)]
pub struct Endpoint {
    topic: &'static str,
    inbox: Receiver<Incoming>,
    outbox: mpsc::Sender<Outgoing>,
    rank: Arc<AtomicUsize>,
    received: Arc<Mutex<Arc<Vec<DatagramId>>>>,
}

impl Endpoint {
    /// Waits until `due` for a segment from a peer; returns `None` if there is none.
    pub fn wait(&self, due: Instant) -> Option<Incoming> {
        match self.inbox.recv_deadline(due) {
            Ok(incoming) => Some(incoming),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => {
                // The loop that serves requests has ended; the process is shutting down.
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                None
            }
        }
    }

    /// Returns the evidence for a read that begins now.
    pub fn freshness(&self) -> Freshness {
        Freshness {
            received: Arc::clone(&self.received.lock().expect("received lock")),
            waited: Duration::ZERO,
        }
    }

    /// Sends records that were read between two positions of one era to peers.
    pub fn send(&self, from: Position, next: Position, records: Vec<Record>, freshness: Freshness) {
        self.send_changes(from, next, records, &[], freshness);
    }

    /// Does the same; records that are too large are sent as the difference of the last one from `base`, the
    /// value before.
    pub fn send_changes(
        &self,
        from: Position,
        next: Position,
        records: Vec<Record>,
        base: &[u8],
        freshness: Freshness,
    ) {
        let (era, next) = next.into_parts();
        let Some(from) = from.offset_in(era) else {
            return;
        };
        let segment = Segment {
            topic: self.topic,
            era,
            from,
            next,
            records: Some(records),
            patch: None,
        };
        let outgoing = Outgoing {
            segment: segment.with_patch(base),
            freshness,
        };
        if let Err(cause) = self.outbox.try_send(outgoing) {
            debug!(topic = self.topic, cause:% = cause; "segment not sent to peers");
        }
    }

    /// Returns the number of hosts of the failure domain before this one in rank.
    pub fn rank(&self) -> usize {
        self.rank.load(Ordering::Relaxed)
    }
}

/// The side of the exchange that sends and receives datagrams.
#[derive(Debug)]
pub struct Exchange {
    sender: mpsc::Sender<Outgoing>,
    /// Segments to be sent to peers.
    pub outbox: mpsc::Receiver<Outgoing>,
    inboxes: Vec<(&'static str, Sender<Incoming>)>,
    rank: Arc<AtomicUsize>,
    received: Arc<Mutex<Arc<Vec<DatagramId>>>>,
}

impl Exchange {
    /// Returns an exchange without topics.
    pub fn new() -> Self {
        let (sender, outbox) = mpsc::channel(MAX_QUEUED_SEGMENTS);
        Exchange {
            sender,
            outbox,
            inboxes: Vec::new(),
            rank: Arc::default(),
            received: Arc::default(),
        }
    }

    /// Adds a topic; returns the endpoint for the thread that reads it.
    pub fn open(&mut self, topic: &'static str) -> Endpoint {
        let (sender, inbox) = channel::bounded(MAX_QUEUED_SEGMENTS);
        self.inboxes.push((topic, sender));
        Endpoint {
            topic,
            inbox,
            outbox: self.sender.clone(),
            rank: Arc::clone(&self.rank),
            received: Arc::clone(&self.received),
        }
    }

    /// Returns the static name of a topic; `None` if the exchange doesn't have it.
    pub fn topic(&self, name: &str) -> Option<&'static str> {
        let mut topics = self.inboxes.iter().map(|(topic, _)| *topic);
        topics.find(|topic| *topic == name)
    }

    /// Passes a peer's segment to the thread that reads its topic.
    pub fn deliver(&self, incoming: Incoming) {
        for (topic, inbox) in &self.inboxes {
            // A thread that lags behind loses segments, detects the gap and reads the store itself.
            if *topic == incoming.segment.topic && inbox.try_send(incoming.clone()).is_err() {
                debug!(topic = topic; "segment from a peer dropped");
            }
        }
    }

    /// Sets the newest datagram received from each peer.
    pub fn set_received(&self, newest: Vec<DatagramId>) {
        *self.received.lock().expect("received lock") = Arc::new(newest);
    }

    /// Sets the number of hosts of the failure domain before this one in rank.
    pub fn set_rank(&self, rank: usize) {
        self.rank.store(rank, Ordering::Relaxed);
    }
}

impl Default for Exchange {
    fn default() -> Self {
        Exchange::new()
    }
}
