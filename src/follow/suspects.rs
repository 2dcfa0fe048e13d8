//! Keeps this host's losses of suspects in the store, and reads those of all hosts.
//!
//! Hosts tell one another of suspects; the store is for those that start, when nobody may be left
//! who knows, and for those that do not hear all others.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc::Sender;

use super::reader::Reader;
use super::reader::Update;
use crate::clock;
use crate::clock::Clock;
use crate::id::Fingerprint;
use crate::id::HostId;
use crate::id::IncarnationDigest;
use crate::log::keyed::Keyed;
use crate::log::keyed::Pair;
use crate::log::keyed::Record;
use crate::platform::store;
use crate::suspicion::Fate;
use crate::suspicion::LossReport;
use crate::suspicion::Report;

/// Pause between two readings while all known hosts are heard.
const PAUSE: Duration = Duration::from_secs(300);
/// The same while many are not heard; what they see has to be known within a few seconds.
const PARTIAL_PAUSE: Duration = Duration::from_secs(3);
/// Pause after a failure.
const FAILURE_PAUSE: Duration = Duration::from_millis(700);
/// Shortest pause between two writings.
const WRITE_PAUSE: Duration = Duration::from_secs(1);
/// Most suspects that one host keeps in the store; some ten kilobytes.
pub const MOST_KEPT: usize = 128;

/// What the request loop learns from the store.
#[derive(Debug, PartialEq, Eq)]
pub enum Message {
    /// Losses that a host has kept.
    Kept {
        /// Host.
        host: HostId,
        /// Its suspects.
        suspects: Vec<Report>,
    },
    /// All that hosts have kept was read.
    Read,
}

/// A loss as it lies in the store.
#[derive(Debug, Serialize, Deserialize)]
struct Entry {
    fingerprint: Fingerprint,
    life: IncarnationDigest,
    /// Wall time of the loss, in milliseconds since the Unix epoch.
    at_ms: u64,
    /// Whether the life has surely ended.
    is_ended: bool,
}

/// The thread's ends of its rings.
#[derive(Debug)]
pub struct Channels {
    /// What to keep, whole each time.
    pub lasting: Receiver<Vec<Report>>,
    /// What was read.
    pub remarks: Sender<Message>,
    /// Whether many known hosts are not heard.
    pub is_partial: Arc<AtomicBool>,
}

/// Writes and reads for ever.
pub fn follow<C, K>(host: &HostId, clock: &C, store: &K, ends: &Channels)
where
    C: Clock,
    K: Keyed,
{
    let mut keeper = Keeper {
        host,
        reader: Reader::new(store::SUSPECT_TOPIC),
        read_at: clock.now(),
        write_at: clock.now(),
        wanted: None,
        written: Vec::new(),
    };
    loop {
        let due = keeper.due(ends.is_partial.load(Ordering::Relaxed));
        match ends.lasting.recv_deadline(due) {
            Ok(lasting) => keeper.want(lasting, clock),
            Err(RecvTimeoutError::Timeout) => (),
            // The request loop has ended, and the process with it.
            Err(RecvTimeoutError::Disconnected) => return,
        }
        if keeper.write_due().is_some_and(|due| due <= clock.now()) {
            keeper.write(clock, store);
        }
        if keeper.read_due(ends.is_partial.load(Ordering::Relaxed)) <= clock.now() {
            keeper.read(clock, store, &ends.remarks);
        }
    }
}

struct Keeper<'a> {
    host: &'a HostId,
    reader: Reader,
    /// When the last reading ended, or when a first one may begin.
    read_at: Instant,
    /// When the next writing may begin.
    write_at: Instant,
    wanted: Option<Vec<Entry>>,
    /// The losses that were written last.
    written: Vec<(Fingerprint, IncarnationDigest, bool)>,
}

fn outline(entries: &[Entry]) -> Vec<(Fingerprint, IncarnationDigest, bool)> {
    let rows = entries.iter();
    rows.map(|entry| (entry.fingerprint, entry.life, entry.is_ended))
        .collect()
}

impl Keeper<'_> {
    fn read_due(&self, is_partial: bool) -> Instant {
        if self.reader.next().is_none() || self.reader.failures() > 0 {
            return self.read_at;
        }
        self.read_at
            + match is_partial {
                true => PARTIAL_PAUSE,
                false => PAUSE,
            }
    }

    fn write_due(&self) -> Option<Instant> {
        self.wanted.as_ref().map(|_| self.write_at)
    }

    /// Returns when there is something to do; the state of the peers is looked at meanwhile.
    fn due(&self, is_partial: bool) -> Instant {
        let look = Instant::now() + PARTIAL_PAUSE;
        let due = self.read_due(is_partial).min(look);
        self.write_due().map_or(due, |write| write.min(due))
    }

    fn want<C>(&mut self, lasting: Vec<Report>, clock: &C)
    where
        C: Clock,
    {
        let now_ms = clock::wall_ms(clock);
        let entries: Vec<Entry> = lasting
            .into_iter()
            .take(MOST_KEPT)
            .flat_map(|told| {
                let fingerprint = told.fingerprint;
                let losses = told.losses.into_iter();
                losses.map(move |loss| Entry {
                    fingerprint,
                    life: loss.incarnation,
                    at_ms: now_ms.saturating_sub(loss.age.as_millis() as u64),
                    is_ended: loss.fate == Fate::Ended,
                })
            })
            .collect();
        self.wanted = (outline(&entries) != self.written).then_some(entries);
    }

    fn write<C, K>(&mut self, clock: &C, store: &K)
    where
        C: Clock,
        K: Keyed,
    {
        let Some(entries) = &self.wanted else {
            return;
        };
        let value = serde_json::to_vec(entries).expect("entries are JSON");
        let pair = Pair {
            key: self.host,
            value: &value,
        };
        match store.put(store::SUSPECT_TOPIC, pair) {
            Ok(_) => {
                info!(losses = entries.len(), outcome = "kept"; "suspects kept in the store");
                self.written = outline(entries);
                self.wanted = None;
                self.write_at = clock.now() + WRITE_PAUSE;
            }
            Err(cause) => {
                warn!(outcome = "not-kept", cause:% = cause; "suspects not kept in the store");
                self.write_at = clock.now() + FAILURE_PAUSE;
            }
        }
    }

    fn read<C, K>(&mut self, clock: &C, store: &K, remarks: &Sender<Message>)
    where
        C: Clock,
        K: Keyed,
    {
        let reading = self.reader.read(store, Duration::ZERO);
        match reading {
            Ok(Update::Full(records) | Update::Changes(records)) => {
                self.reader.record_success();
                self.read_at = clock.now();
                let now_ms = clock::wall_ms(clock);
                for record in records {
                    self.hand_on(record, now_ms, remarks);
                }
                tell(remarks, Message::Read);
            }
            Err(error) => {
                self.reader.record_failure(&error);
                self.read_at = clock.now() + FAILURE_PAUSE;
            }
        }
    }

    fn hand_on(&mut self, record: Record, now_ms: u64, remarks: &Sender<Message>) {
        let Some(value) = record.value else {
            return;
        };
        let entries: Vec<Entry> = match serde_json::from_slice(&value) {
            Ok(entries) => entries,
            Err(cause) => {
                warn!(
                    peer:% = record.key,
                    entry = "unreadable",
                    outcome = "ignored",
                    cause:% = cause;
                    "kept suspects unreadable"
                );
                return;
            }
        };
        if record.key == *self.host && self.written.is_empty() {
            self.written = outline(&entries);
        }
        let suspects = entries.into_iter().map(|entry| Report {
            fingerprint: entry.fingerprint,
            losses: vec![LossReport {
                incarnation: entry.life,
                age: Duration::from_millis(now_ms.saturating_sub(entry.at_ms)),
                fate: match entry.is_ended {
                    true => Fate::Ended,
                    false => Fate::Unknown,
                },
            }],
            completed: None,
        });
        let kept = Message::Kept {
            host: record.key,
            suspects: suspects.collect(),
        };
        tell(remarks, kept);
    }
}

fn tell(remarks: &Sender<Message>, remark: Message) {
    // The request loop may be busy; it must not lose what it starts from.
    if let Err(cause) = remarks.blocking_send(remark) {
        warn!(outcome = "lost", cause:% = cause; "kept suspects not handed on");
    }
}
