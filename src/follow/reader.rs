//! Reads one topic, from the store or from segments sent by peers.

use std::time::Duration;

use anyhow::Result;
use log::info;
use log::warn;

use super::share::Segment;
use crate::id::Era;
use crate::log::ReadError;
use crate::log::keyed::ChangesError;
use crate::log::keyed::Keyed;
use crate::log::keyed::Position;
use crate::log::keyed::Record;

/// Consecutive failures from which the store counts as lost.
const MIN_LOST_FAILURES: u32 = 2;

/// Reads one topic, in full after each gap and each restore of the store, and logs when the store is
/// lost and when it is back.
#[derive(Debug)]
pub struct Reader {
    topic: &'static str,
    next: Option<Position>,
    /// Newest era of the store that a read or a peer's segment has named.
    era: Era,
    /// Whether records before `next` were not read, since the store was restored.
    is_restored: bool,
    /// Whether the newest record of each key is less to read than all records are.
    is_newest_smaller: bool,
    /// Whether several records that were not read are known to exist.
    is_behind: bool,
    failures: u32,
}

/// Result of applying a peer's segment.
#[derive(Debug, PartialEq, Eq)]
pub enum SegmentOutcome {
    /// The next records; empty if nothing has changed.
    Next(Vec<Record>),
    /// Records of a store that was restored; the topic has to be read in full.
    Restored(Vec<Record>),
    /// Records are missing that only the store can provide.
    Missing,
    /// The sender has read less than this reader, or an older era.
    Behind,
}

/// Result of one read.
#[derive(Debug, PartialEq, Eq)]
pub enum Update {
    /// The newest record of each key.
    Full(Vec<Record>),
    /// The newest record of each key in a store that was restored: what was read before may be
    /// missing, and what was removed may be back.
    Restored(Vec<Record>),
    /// Records since the previous read.
    Changes(Vec<Record>),
    /// The store was restored; the topic has to be read in full.
    Outdated,
}

impl Update {
    /// Returns the records.
    pub fn into_records(self) -> Vec<Record> {
        match self {
            Update::Full(records) | Update::Restored(records) | Update::Changes(records) => records,
            Update::Outdated => Vec::new(),
        }
    }
}

impl Reader {
    /// Returns a reader that has read nothing.
    pub fn new(topic: &'static str) -> Self {
        Reader {
            topic,
            next: None,
            era: 0,
            is_restored: false,
            is_newest_smaller: false,
            is_behind: false,
            failures: 0,
        }
    }

    /// Returns a reader of a topic with few keys and large records, which has read nothing. Where several
    /// records are missing, it reads the newest of each key, and not those that these have replaced.
    pub fn skipping(topic: &'static str) -> Self {
        Reader {
            is_newest_smaller: true,
            ..Reader::new(topic)
        }
    }

    /// Reads new records, or all if nothing was read yet or records were deleted meanwhile. After a
    /// restore of the store it reads nothing, unless a segment has named a position in the new era:
    /// [`Reader::read_in_full`] is more expensive, so that the caller determines its time.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no usable response.
    pub fn read<K>(&mut self, store: &K, wait: Duration) -> Result<Update, ReadError>
    where
        K: Keyed,
    {
        if let Some(next) = self.next {
            if next.era() < self.era {
                return Ok(Update::Outdated);
            }
            if self.is_newest_smaller && self.is_behind {
                return self.read_in_full(store);
            }
            match store.changes(self.topic, next, wait) {
                Ok(changes) => {
                    self.next = Some(changes.next);
                    self.is_behind = changes.pending > 0;
                    return Ok(Update::Changes(changes.records));
                }
                Err(ChangesError::Gap(first)) => {
                    warn!(
                        topic:% = self.topic,
                        next:% = next,
                        first = first,
                        outcome = "read-anew";
                        "topic read again in full after a gap"
                    );
                }
                Err(ChangesError::Restored(era)) => {
                    self.record_era(era, "store");
                    return Ok(Update::Outdated);
                }
                Err(ChangesError::Read(error)) => return Err(error),
            }
        }
        self.read_in_full(store)
    }

    /// Reads the newest record of each key.
    ///
    /// # Errors
    ///
    /// Fails if the store gives no usable response, or one of an older era than was named before. If the
    /// next one is of that era too, it is adopted: the store knows better than the peer that named
    /// the newer one.
    pub fn read_in_full<K>(&mut self, store: &K) -> Result<Update, ReadError>
    where
        K: Keyed,
    {
        let newest = store.newest(self.topic)?;
        let era = newest.next.era();
        if era < self.era {
            let expected = std::mem::replace(&mut self.era, era);
            return Err(ReadError(format!(
                "the store answered as of era {era}, expected {expected}"
            )));
        }
        self.record_era(era, "store");
        self.next = Some(newest.next);
        self.is_behind = false;
        match std::mem::take(&mut self.is_restored) {
            true => Ok(Update::Restored(newest.records)),
            false => Ok(Update::Full(newest.records)),
        }
    }

    /// Records the era that `source` names.
    fn record_era(&mut self, era: Era, source: &str) {
        if let Some(next) = self.next
            && era > self.era
        {
            self.is_restored = true;
            warn!(
                topic:% = self.topic,
                next:% = next,
                era = era,
                source:% = source,
                outcome = "restored";
                "store was restored from a copy"
            );
        }
        self.era = self.era.max(era);
    }

    /// Applies a segment that a peer read.
    pub fn apply(&mut self, segment: Segment) -> SegmentOutcome {
        let Some(next) = self.next else {
            return SegmentOutcome::Missing;
        };
        let end = Position::new(segment.era, segment.next);
        if segment.era < self.era {
            return SegmentOutcome::Behind;
        }
        let Some(offset) = next.offset_in(segment.era) else {
            self.record_era(segment.era, "peer");
            self.next = Some(end);
            return SegmentOutcome::Restored(segment.records.unwrap_or_default());
        };
        if segment.next < offset {
            return SegmentOutcome::Behind;
        }
        if segment.next == offset {
            return SegmentOutcome::Next(Vec::new());
        }
        match segment.records {
            Some(records) if segment.from == offset => {
                self.next = Some(end);
                self.is_behind = false;
                SegmentOutcome::Next(records)
            }
            _ => {
                self.is_behind = segment.next > offset + 1;
                SegmentOutcome::Missing
            }
        }
    }

    /// Returns the position at which the next read starts; `None` before the first read.
    pub fn next(&self) -> Option<Position> {
        self.next
    }

    /// Returns `true` if the store was restored and the topic has not been read in full since.
    pub fn is_restored(&self) -> bool {
        self.is_restored
    }

    /// Returns the newest era that was named; 0 before the first read.
    pub fn era(&self) -> Era {
        self.era
    }

    /// Returns `true` if the last read was of an era before `era`.
    pub fn is_older_than(&self, era: Era) -> bool {
        self.next.is_some_and(|next| next.era() < era)
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
