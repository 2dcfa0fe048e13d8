//! Reads one topic, from the store or from segments sent by peers.

use std::time::Duration;

use anyhow::Result;
use log::info;
use log::warn;

use super::share::Segment;
use crate::id::Offset;
use crate::log::ReadError;
use crate::log::keyed::ChangesError;
use crate::log::keyed::Keyed;
use crate::log::keyed::Record;

/// Consecutive failures from which the store counts as lost.
const MIN_LOST_FAILURES: u32 = 2;

/// Reads one topic, in full after each gap, and logs when the store is lost and when it is back.
#[derive(Debug)]
pub struct Reader {
    topic: &'static str,
    next: Option<Offset>,
    failures: u32,
}

/// Result of applying a peer's segment.
#[derive(Debug, PartialEq, Eq)]
pub enum SegmentOutcome {
    /// The next records; empty if nothing has changed.
    Next(Vec<Record>),
    /// Records are missing that only the store can provide.
    Missing,
    /// The sender has read less than this reader.
    Behind,
}

/// Result of one read.
#[derive(Debug, PartialEq, Eq)]
pub enum Update {
    /// The newest record of each key.
    Full(Vec<Record>),
    /// Records since the previous read.
    Changes(Vec<Record>),
}

impl Reader {
    /// Returns a reader that has read nothing.
    pub fn new(topic: &'static str) -> Self {
        Reader {
            topic,
            next: None,
            failures: 0,
        }
    }

    /// Reads new records, or all if nothing was read yet or records were deleted meanwhile.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no usable response.
    pub fn read<K>(&mut self, store: &K, wait: Duration) -> Result<Update, ReadError>
    where
        K: Keyed,
    {
        if let Some(next) = self.next {
            match store.changes(self.topic, next, wait) {
                Ok(changes) => {
                    self.next = Some(changes.next);
                    return Ok(Update::Changes(changes.records));
                }
                Err(ChangesError::Gap(first)) => {
                    warn!(
                        topic:% = self.topic,
                        next = next,
                        first = first,
                        outcome = "read-anew";
                        "topic read again in full after a gap"
                    );
                }
                Err(ChangesError::Read(error)) => return Err(error),
            }
        }
        let newest = store.newest(self.topic)?;
        self.next = Some(newest.next);
        Ok(Update::Full(newest.records))
    }

    /// Applies a segment that a peer read.
    pub fn apply(&mut self, segment: Segment) -> SegmentOutcome {
        let Some(next) = self.next else {
            return SegmentOutcome::Missing;
        };
        if segment.next < next {
            return SegmentOutcome::Behind;
        }
        if segment.next == next {
            return SegmentOutcome::Next(Vec::new());
        }
        match segment.records {
            Some(records) if segment.from == next => {
                self.next = Some(segment.next);
                SegmentOutcome::Next(records)
            }
            _ => SegmentOutcome::Missing,
        }
    }

    /// Returns the offset at which the next read starts; `None` before the first read.
    pub fn next(&self) -> Option<Offset> {
        self.next
    }

    /// Returns the number of consecutive failed reads.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a failure; logs it when the store counts as lost.
    pub fn record_failure(&mut self, error: &ReadError) {
        self.failures += 1;
        if self.failures == MIN_LOST_FAILURES {
            warn!(
                dependency = "store",
                topic:% = self.topic,
                outcome = "lost",
                cause:% = error;
                "dependency lost"
            );
        }
    }

    /// Records a success; returns `true` if the store had counted as lost.
    pub fn record_success(&mut self) -> bool {
        let was_lost = self.failures >= MIN_LOST_FAILURES;
        if was_lost {
            info!(
                dependency = "store",
                topic:% = self.topic,
                failures = self.failures,
                outcome = "back";
                "dependency back"
            );
        }
        self.failures = 0;
        was_lost
    }
}
