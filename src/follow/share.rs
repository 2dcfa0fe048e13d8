//! Turns at the store: of the hosts of a failure domain one reads and tells the others.
//!
//! No host is chosen. Each waits for a while that grows with its rank among the hosts that it
//! hears; whoever's wait ends first reads and tells, which starts the waits anew. If that host
//! dies, is cut off or hangs, the next one's wait ends a little later.

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

use crate::gossip::DatagramId;
use crate::id::Offset;
use crate::log::keyed::Record;

/// Time by which the second host in rank waits longer than the first: an answer of the store, a
/// datagram, and what a busy host takes for them.
const STEP_FIRST: Duration = Duration::from_millis(150);
/// Time by which each further host waits longer than the one before it.
const STEP: Duration = Duration::from_millis(50);
/// Ranks told apart. The longest wait is then 450 ms over the first one's, so that a change is
/// still met within two seconds.
const MOST_STEPS: usize = 6;
/// Failures in a row up to which every host tries again at once.
const QUICK_FAILURES: u32 = 3;
/// Longest pause after a failed reading; a returned store is met within it.
const MOST_FAILURE_PAUSE: Duration = Duration::from_secs(1);
/// Segments that wait to be told or taken in; each stands for at least half a second.
const SEGMENTS: usize = 16;

/// A run of a topic's records that one host read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// Topic.
    pub topic: &'static str,
    /// Offset of the first record.
    pub from: Offset,
    /// Offset after the last record.
    pub next: Offset,
    /// The records; none if they are too large to be told.
    pub records: Option<Vec<Record>>,
}

/// What proves to each peer how old a segment is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Freshness {
    /// The peers' newest datagrams that were heard when the store was asked.
    pub received: Arc<Vec<DatagramId>>,
    /// Time from the question for which the answer says that nothing came.
    pub waited: Duration,
}

/// A segment to be told to peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// What was read.
    pub segment: Segment,
    /// How old that is.
    pub proof: Freshness,
}

/// A segment that a peer tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Incoming {
    /// What the peer read.
    pub segment: Segment,
    /// Time up to which it surely holds all records, if the peer could prove one.
    pub asked: Option<Instant>,
}

/// When a host reads a topic next.
#[derive(Debug)]
pub struct Schedule {
    pause: Duration,
    failure_pause: Duration,
    most_age: Duration,
    due: Instant,
}

impl Schedule {
    /// Returns a turn that is due at once; `pause` lies between two readings of one host and
    /// `failure_pause` after the first failed one. What peers tell puts a reading off until what
    /// this host knows is `most_age` old.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::follow::share::Schedule;
    /// let now = Instant::now();
    /// let second = Duration::from_secs(1);
    /// let mut turn = Schedule::new(second, second / 4, 2 * second, now);
    /// turn.note_told(Some(now), now, 1);
    /// assert!(turn.due() > now + second);
    /// turn.record_read(now);
    /// assert_eq!(turn.due(), now + second);
    /// ```
    pub fn new(pause: Duration, failure_pause: Duration, most_age: Duration, now: Instant) -> Self {
        Schedule {
            pause,
            failure_pause,
            most_age,
            due: now,
        }
    }

    /// Notes that this host has read.
    pub fn record_read(&mut self, now: Instant) {
        self.due = now + self.pause;
    }

    /// Notes that a peer told what the store held at `asked`; `rank` counts the hosts before this
    /// one. The first host keeps its own pace, so that somebody reads however the others stand.
    ///
    /// What may be of any age puts nothing off: datagrams that wait on a busy host or a full link
    /// would keep this host from reading for as long as they come.
    pub fn note_told(&mut self, asked: Option<Instant>, now: Instant, rank: usize) {
        let (Some(asked), Some(steps)) = (asked, rank.checked_sub(1)) else {
            return;
        };
        let in_turn = now + self.pause + STEP_FIRST + STEP * steps.min(MOST_STEPS) as u32;
        self.due = self.due.max(in_turn.min(asked + self.most_age));
    }

    /// Notes the `failures`th failure in a row. After the first ones, which may be this host's own,
    /// hosts that come later try more rarely, as they are told of the store's return.
    pub fn record_failure(&mut self, now: Instant, rank: usize, failures: u32) {
        let pause = match failures > QUICK_FAILURES {
            true => self.failure_pause * (rank as u32 + 1),
            false => self.failure_pause,
        };
        self.due = now + pause.min(MOST_FAILURE_PAUSE);
    }

    /// Notes that this host is to read at `now`, whatever it was told.
    pub fn set_due(&mut self, now: Instant) {
        self.due = now;
    }

    /// Returns when to read.
    pub fn due(&self) -> Instant {
        self.due
    }
}

/// A reading thread's end of the exchange with peers.
#[derive(Debug)]
pub struct Endpoint {
    topic: &'static str,
    inbox: Receiver<Incoming>,
    outbox: mpsc::Sender<Outgoing>,
    rank: Arc<AtomicUsize>,
    received: Arc<Mutex<Arc<Vec<DatagramId>>>>,
}

impl Endpoint {
    /// Waits until `due` for what a peer tells; returns nothing if it tells nothing.
    pub fn wait(&self, due: Instant) -> Option<Incoming> {
        match self.inbox.recv_deadline(due) {
            Ok(incoming) => Some(incoming),
            Err(RecvTimeoutError::Timeout) => None,
            Err(RecvTimeoutError::Disconnected) => {
                // The loop that serves requests has ended, and the process with it.
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                None
            }
        }
    }

    /// Returns the proof of a reading that begins now.
    pub fn prove(&self) -> Freshness {
        Freshness {
            received: Arc::clone(&self.received.lock().expect("heard lock")),
            waited: Duration::ZERO,
        }
    }

    /// Tells peers of records that were read.
    pub fn tell(&self, from: Offset, next: Offset, records: Vec<Record>, proof: Freshness) {
        let outgoing = Outgoing {
            segment: Segment {
                topic: self.topic,
                from,
                next,
                records: Some(records),
            },
            proof,
        };
        if let Err(cause) = self.outbox.try_send(outgoing) {
            debug!(topic = self.topic, cause:% = cause; "peers not told of a reading");
        }
    }

    /// Returns how many hosts of the failure domain come before this one.
    pub fn rank(&self) -> usize {
        self.rank.load(Ordering::Relaxed)
    }
}

/// The end of the exchange that sends and receives datagrams.
#[derive(Debug)]
pub struct Exchange {
    sender: mpsc::Sender<Outgoing>,
    /// Segments to be told.
    pub outbox: mpsc::Receiver<Outgoing>,
    inboxes: Vec<(&'static str, Sender<Incoming>)>,
    rank: Arc<AtomicUsize>,
    received: Arc<Mutex<Arc<Vec<DatagramId>>>>,
}

impl Exchange {
    /// Returns an exchange without topics.
    pub fn new() -> Self {
        let (sender, outbox) = mpsc::channel(SEGMENTS);
        Exchange {
            sender,
            outbox,
            inboxes: Vec::new(),
            rank: Arc::default(),
            received: Arc::default(),
        }
    }

    /// Adds a topic; returns the end for the thread that reads it.
    pub fn open(&mut self, topic: &'static str) -> Endpoint {
        let (sender, inbox) = channel::bounded(SEGMENTS);
        self.inboxes.push((topic, sender));
        Endpoint {
            topic,
            inbox,
            outbox: self.sender.clone(),
            rank: Arc::clone(&self.rank),
            received: Arc::clone(&self.received),
        }
    }

    /// Returns the exchange's own name of a topic, if it has that topic.
    pub fn topic(&self, name: &str) -> Option<&'static str> {
        let mut topics = self.inboxes.iter().map(|(topic, _)| *topic);
        topics.find(|topic| *topic == name)
    }

    /// Hands a peer's segment to the thread that reads its topic.
    pub fn deliver(&self, incoming: Incoming) {
        for (topic, inbox) in &self.inboxes {
            // A thread that is far behind loses segments, sees the gap and reads by itself.
            if *topic == incoming.segment.topic && inbox.try_send(incoming.clone()).is_err() {
                debug!(topic = topic; "a peer's reading was dropped");
            }
        }
    }

    /// Notes the peers' newest datagrams that were heard.
    pub fn set_received(&self, received: Vec<DatagramId>) {
        *self.received.lock().expect("heard lock") = Arc::new(received);
    }

    /// Notes how many hosts of the failure domain come before this one.
    pub fn set_rank(&self, rank: usize) {
        self.rank.store(rank, Ordering::Relaxed);
    }
}

impl Default for Exchange {
    fn default() -> Self {
        Exchange::new()
    }
}
