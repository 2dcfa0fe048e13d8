//! Reads one topic, from the store or as a peer tells it.

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

/// Failures in a row from which the store counts as lost.
const LOST_AFTER: u32 = 2;

/// Reads one topic, anew after each gap, and tells when the store was lost and is back.
#[derive(Debug)]
pub struct Reader {
    topic: &'static str,
    next: Option<Offset>,
    failures: u32,
}

/// What a peer's segment means to a reader.
#[derive(Debug, PartialEq, Eq)]
pub enum SegmentOutcome {
    /// The records that come next; none if nothing has changed.
    Next(Vec<Record>),
    /// There are records that only the store can give.
    Missing,
    /// The sender knows less.
    Behind,
}

/// What one reading brought.
#[derive(Debug, PartialEq, Eq)]
pub enum Update {
    /// The newest record of each key.
    Full(Vec<Record>),
    /// Records since the last reading.
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

    /// Reads on, or all if nothing was read yet or records were deleted meanwhile.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no answer that can be used.
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
                        "topic read anew after a gap"
                    );
                }
                Err(ChangesError::Read(error)) => return Err(error),
            }
        }
        let newest = store.newest(self.topic)?;
        self.next = Some(newest.next);
        Ok(Update::Full(newest.records))
    }

    /// Takes in what a peer read.
    pub fn take(&mut self, segment: Segment) -> SegmentOutcome {
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

    /// Returns where the next reading starts, once something was read.
    pub fn next(&self) -> Option<Offset> {
        self.next
    }

    /// Returns how many readings have failed in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Notes a failure; logs it when the store counts as lost.
    pub fn record_failure(&mut self, error: &ReadError) {
        self.failures += 1;
        if self.failures == LOST_AFTER {
            warn!(
                dependency = "store",
                topic:% = self.topic,
                outcome = "lost",
                cause:% = error;
                "dependency lost"
            );
        }
    }

    /// Notes a success; returns whether the store had counted as lost.
    pub fn record_success(&mut self) -> bool {
        let was_lost = self.failures >= LOST_AFTER;
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
