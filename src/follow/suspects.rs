//! Stores this host's losses attributed to suspects, and reads those of all hosts.
//!
//! Hosts also send suspects to one another directly. The store serves hosts that start when no
//! other host is left that knows the suspects, and hosts that don't receive datagrams from all
//! others.

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
use super::share;
use crate::clock;
use crate::clock::Clock;
use crate::id::Fingerprint;
use crate::id::HostId;
use crate::id::IncarnationDigest;
use crate::id::RequestDigest;
use crate::log::keyed::Keyed;
use crate::log::keyed::Pair;
use crate::log::keyed::Record;
use crate::platform::store;
use crate::suspicion::Fate;
use crate::suspicion::LossReport;
use crate::suspicion::Report;
use crate::suspicion::Subject;

/// Interval between reads while datagrams arrive from all known hosts.
const READ_INTERVAL: Duration = Duration::from_secs(300);
/// Interval between reads while datagrams of many known hosts are missing; their losses must be
/// known within a few seconds.
const PARTIAL_READ_INTERVAL: Duration = Duration::from_secs(3);
/// Delay after a failed read or write.
const FAILURE_BACKOFF: Duration = Duration::from_millis(700);
/// Minimum interval between writes.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of suspects that one host writes to the store; some ten kilobytes.
pub const MAX_STORED_SUSPECTS: usize = 128;

/// Message to the request loop about the suspects in the store.
#[derive(Debug, PartialEq, Eq)]
pub enum Message {
    /// Losses that a host has stored.
    Stored {
        /// Host.
        host: HostId,
        /// Its suspects.
        suspects: Vec<Report>,
    },
    /// Everything in the store was read.
    ReadComplete,
}

/// A loss, as stored.
#[derive(Debug, Serialize, Deserialize)]
struct StoredLoss {
    fingerprint: Fingerprint,
    #[serde(rename = "life")]
    incarnation: IncarnationDigest,
    /// Wall time of the loss, in milliseconds since the Unix epoch.
    at_ms: u64,
    /// `true` if the incarnation has definitely ended.
    is_ended: bool,
    /// Loss of a block; `None` for a request.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    block: Option<StoredBlockLoss>,
}

/// Requests with a block that were lost, as stored.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct StoredBlockLoss {
    request: RequestDigest,
    requests: u32,
    uncertainty_ms: u64,
}

/// The thread's ends of its channels.
#[derive(Debug)]
pub struct Channels {
    /// Losses to store, the complete list each time.
    pub reports: Receiver<Vec<Report>>,
    /// Messages about what was read.
    pub messages: Sender<Message>,
    /// `true` if datagrams from many known hosts are missing.
    pub is_partial: Arc<AtomicBool>,
}

/// Keeps writing and reading losses; returns when the request loop has ended.
pub fn follow<C, K>(host: &HostId, clock: &C, store: &K, ends: &Channels)
where
    C: Clock,
    K: Keyed,
{
    let mut worker = Worker {
        host,
        reader: Reader::new(store::SUSPECT_TOPIC),
        read_at: clock.now(),
        write_at: clock.now(),
        refresh_at: None,
        pending: None,
        written: Vec::new(),
    };
    loop {
        let due = worker.due(ends.is_partial.load(Ordering::Relaxed));
        match ends.reports.recv_deadline(due) {
            Ok(reports) => worker.set_pending(reports, clock),
            Err(RecvTimeoutError::Timeout) => (),
            // The request loop has ended; the process is shutting down.
            Err(RecvTimeoutError::Disconnected) => return,
        }
        if worker.write_due().is_some_and(|due| due <= clock.now()) {
            worker.write(clock, store);
        }
        worker.check_era(clock, store);
        if worker.read_due(ends.is_partial.load(Ordering::Relaxed)) <= clock.now() {
            worker.read(clock, store, &ends.messages);
        }
    }
}

struct Worker<'a> {
    host: &'a HostId,
    reader: Reader,
    /// End of the last read, or earliest time of the first read or a retry.
    read_at: Instant,
    /// Time of the read that a restore of the store requires.
    refresh_at: Option<Instant>,
    /// Earliest time of the next write.
    write_at: Instant,
    pending: Option<Vec<StoredLoss>>,
    /// The losses that were written last.
    written: Vec<(Fingerprint, IncarnationDigest, bool)>,
}

fn summary(entries: &[StoredLoss]) -> Vec<(Fingerprint, IncarnationDigest, bool)> {
    let losses = entries.iter();
    losses
        .map(|loss| (loss.fingerprint, loss.incarnation, loss.is_ended))
        .collect()
}

impl Worker<'_> {
    /// Plans a read if the store was restored: it may lack what this host has written.
    fn check_era<C, K>(&mut self, clock: &C, store: &K)
    where
        C: Clock,
        K: Keyed,
    {
        if self.refresh_at.is_none() && self.reader.is_older_than(store.newest_era()) {
            self.refresh_at = Some(clock.now() + share::refresh_delay(self.host));
        }
    }

    fn read_due(&self, is_partial: bool) -> Instant {
        let regular = self.regular_read_due(is_partial);
        self.refresh_at.map_or(regular, |at| at.min(regular))
    }

    fn regular_read_due(&self, is_partial: bool) -> Instant {
        if self.reader.next().is_none() || self.reader.failures() > 0 {
            return self.read_at;
        }
        self.read_at
            + match is_partial {
                true => PARTIAL_READ_INTERVAL,
                false => READ_INTERVAL,
            }
    }

    fn write_due(&self) -> Option<Instant> {
        self.pending.as_ref().map(|_| self.write_at)
    }

    /// Returns the time of the next action; early enough to check the state of the peers meanwhile.
    fn due(&self, is_partial: bool) -> Instant {
        let next_check = Instant::now() + PARTIAL_READ_INTERVAL;
        let due = self.read_due(is_partial).min(next_check);
        self.write_due().map_or(due, |write| write.min(due))
    }

    fn set_pending<C>(&mut self, reports: Vec<Report>, clock: &C)
    where
        C: Clock,
    {
        let now_ms = clock::wall_ms(clock);
        let entries: Vec<StoredLoss> = reports
            .into_iter()
            .take(MAX_STORED_SUSPECTS)
            .flat_map(|report| {
                let fingerprint = report.fingerprint;
                let is_block = report.subject == Subject::Block;
                let losses = report.losses.into_iter();
                losses.map(move |loss| StoredLoss {
                    fingerprint,
                    incarnation: loss.incarnation,
                    at_ms: now_ms.saturating_sub(loss.age.as_millis() as u64),
                    is_ended: loss.fate == Fate::Ended,
                    block: is_block.then_some(StoredBlockLoss {
                        request: loss.request,
                        requests: loss.requests,
                        uncertainty_ms: loss.uncertainty.as_millis() as u64,
                    }),
                })
            })
            .collect();
        self.pending = (summary(&entries) != self.written).then_some(entries);
    }

    fn write<C, K>(&mut self, clock: &C, store: &K)
    where
        C: Clock,
        K: Keyed,
    {
        let Some(entries) = &self.pending else {
            return;
        };
        let value = serde_json::to_vec(entries).expect("entries are JSON");
        let pair = Pair {
            key: self.host,
            value: &value,
        };
        match store.put(store::SUSPECT_TOPIC, pair) {
            Ok(_) => {
                info!(losses = entries.len(), outcome = "kept"; "suspects written to the store");
                self.written = summary(entries);
                self.pending = None;
                self.write_at = clock.now() + MIN_WRITE_INTERVAL;
            }
            Err(cause) => {
                warn!(outcome = "not-kept", cause:% = cause; "suspects not kept in the store");
                self.write_at = clock.now() + FAILURE_BACKOFF;
            }
        }
    }

    fn read<C, K>(&mut self, clock: &C, store: &K, messages: &Sender<Message>)
    where
        C: Clock,
        K: Keyed,
    {
        let update = match self.reader.is_restored() {
            true => self.reader.read_in_full(store),
            false => self.reader.read(store, Duration::ZERO),
        };
        match update {
            Ok(Update::Outdated) => (),
            Ok(update) => {
                if let Update::Restored(records) = &update {
                    self.refresh_at = None;
                    self.written = self.stored_by_this_host(records);
                }
                self.reader.record_success();
                self.read_at = clock.now();
                let now_ms = clock::wall_ms(clock);
                for record in update.into_records() {
                    self.forward(record, now_ms, messages);
                }
                send(messages, Message::ReadComplete);
            }
            Err(error) => {
                self.reader.record_failure(&error);
                self.read_at = clock.now() + FAILURE_BACKOFF;
                self.refresh_at = self.refresh_at.map(|_| self.read_at);
            }
        }
    }

    /// Returns the losses that this host has stored, as they were read.
    fn stored_by_this_host(
        &self,
        records: &[Record],
    ) -> Vec<(Fingerprint, IncarnationDigest, bool)> {
        let own = records.iter().find(|record| record.key == *self.host);
        let value = own.and_then(|record| record.value.as_deref());
        let entries: Option<Vec<StoredLoss>> =
            value.and_then(|value| serde_json::from_slice(value).ok());
        entries.map_or_else(Vec::new, |entries| summary(&entries))
    }

    fn forward(&mut self, record: Record, now_ms: u64, messages: &Sender<Message>) {
        let Some(value) = record.value else {
            return;
        };
        let entries: Vec<StoredLoss> = match serde_json::from_slice(&value) {
            Ok(entries) => entries,
            Err(cause) => {
                warn!(
                    peer:% = record.key,
                    entry = "unreadable",
                    outcome = "ignored",
                    cause:% = cause;
                    "stored suspects unreadable"
                );
                return;
            }
        };
        if record.key == *self.host && self.written.is_empty() {
            self.written = summary(&entries);
        }
        let suspects = entries.into_iter().map(|entry| Report {
            subject: match entry.block {
                Some(_) => Subject::Block,
                None => Subject::Request,
            },
            fingerprint: entry.fingerprint,
            losses: vec![LossReport {
                incarnation: entry.incarnation,
                age: Duration::from_millis(now_ms.saturating_sub(entry.at_ms)),
                fate: match entry.is_ended {
                    true => Fate::Ended,
                    false => Fate::Unknown,
                },
                uncertainty: entry.block.map_or(Duration::ZERO, |block| {
                    Duration::from_millis(block.uncertainty_ms)
                }),
                request: entry.block.map_or(0, |block| block.request),
                requests: entry.block.map_or(0, |block| block.requests),
            }],
            completed: None,
        });
        let message = Message::Stored {
            host: record.key,
            suspects: suspects.collect(),
        };
        send(messages, message);
    }
}

fn send(messages: &Sender<Message>, message: Message) {
    // Blocks while the request loop is busy: it must not lose the suspects it starts with.
    if let Err(cause) = messages.blocking_send(message) {
        warn!(outcome = "lost", cause:% = cause; "stored suspects not passed to the request loop");
    }
}
