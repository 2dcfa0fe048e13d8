//! Topics that keep the newest record of each key, and conditional appends.

use std::fmt;
use std::time::Duration;

use compact_str::CompactString;
use thiserror::Error;

use super::AppendError;
use super::ReadError;
use crate::id::Era;
use crate::id::Offset;

/// Position in a topic.
///
/// An offset identifies a record only within one era of the store: after a restore from a copy, the
/// offsets of lost records are given out again. Positions of two eras are therefore not ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    era: Era,
    offset: Offset,
}

impl Position {
    /// Returns the position of `offset` in `era`.
    ///
    /// ```
    /// use pistachiohall::log::keyed::Position;
    /// let position = Position::new(2, 7);
    /// assert_eq!(position.offset_in(2), Some(7));
    /// assert_eq!(position.offset_in(3), None);
    /// ```
    pub fn new(era: Era, offset: Offset) -> Self {
        Position { era, offset }
    }

    /// Returns the era.
    pub fn era(self) -> Era {
        self.era
    }

    /// Returns era and offset, to be encoded.
    pub fn into_parts(self) -> (Era, Offset) {
        (self.era, self.offset)
    }

    /// Returns the offset if the position belongs to `era`.
    pub fn offset_in(self, era: Era) -> Option<Offset> {
        (self.era == era).then_some(self.offset)
    }
}

impl fmt::Display for Position {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}@{}", self.offset, self.era)
    }
}

/// A record of a keyed topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Key that the record is about.
    pub key: CompactString,
    /// Content; `None` if the key was removed.
    pub value: Option<Vec<u8>>,
}

/// A key and the value to write under it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pair<'a> {
    /// Key of at most 255 bytes.
    pub key: &'a str,
    /// Value; must not be empty.
    pub value: &'a [u8],
}

/// Consecutive records and the position at which to continue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// Records in order of offset.
    pub records: Vec<Record>,
    /// Position at which to continue reading.
    pub next: Position,
    /// Number of records that the topic already held after these.
    pub pending: u64,
}

/// Reason why changes could not be read.
#[derive(Debug, Error)]
pub enum ChangesError {
    /// The requested records were deleted; the newest record of each key has to be read again.
    #[error("records were deleted, the first one left is {0}")]
    Gap(Offset),
    /// The log was restored from a copy, so that the position doesn't exist any more.
    #[error("the log was restored and is in era {0}")]
    Restored(Era),
    /// The log gave no usable response.
    #[error(transparent)]
    Read(#[from] ReadError),
}

/// Reason why a conditional append returned no offset.
#[derive(Debug, Error)]
pub enum ConditionError {
    /// The topic ends at another offset, so the record was not appended.
    #[error("the topic ends at {0}")]
    Moved(Offset),
    /// The append failed for a reason other than the condition.
    #[error(transparent)]
    Append(#[from] AppendError),
}

/// The log's keyed topics and conditional appends.
pub trait Keyed: Send + Sync + 'static {
    /// Reads the newest record of each key.
    ///
    /// The records are not a consistent snapshot: reading on from `next` returns changes made
    /// during the read once more.
    fn newest(&self, topic: &str) -> Result<Changes, ReadError>;

    /// Reads records from `from` on, waiting up to `wait` for the first one.
    fn changes(&self, topic: &str, from: Position, wait: Duration)
    -> Result<Changes, ChangesError>;

    /// Writes a record, which becomes the newest of its key, and returns its position.
    fn put(&self, topic: &str, record: Pair<'_>) -> Result<Position, AppendError>;

    /// Writes a record, which becomes the newest of its key, if the topic ends at `at`; returns its
    /// position.
    ///
    /// If the log was restored meanwhile, the record may have been written, but to another history.
    fn put_at(
        &self,
        topic: &str,
        record: Pair<'_>,
        at: Position,
    ) -> Result<Position, ConditionError>;

    /// Returns the newest era that the log has named to this process.
    fn newest_era(&self) -> Era;
}
