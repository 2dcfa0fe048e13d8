//! Topics that keep the newest record of each key, and conditional appends.

use std::time::Duration;

use compact_str::CompactString;
use thiserror::Error;

use super::AppendError;
use super::ReadError;
use crate::id::Offset;

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

/// Consecutive records and the offset at which to continue.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// Records in order of offset.
    pub records: Vec<Record>,
    /// Offset at which to continue reading.
    pub next: Offset,
}

/// Reason why changes could not be read.
#[derive(Debug, Error)]
pub enum ChangesError {
    /// The requested records were deleted; the newest record of each key has to be read again.
    #[error("records were deleted, the first one left is {0}")]
    Gap(Offset),
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

    /// Reads records from offset `from` on, waiting up to `wait` for the first one.
    fn changes(&self, topic: &str, from: Offset, wait: Duration) -> Result<Changes, ChangesError>;

    /// Writes a record, which becomes the newest of its key.
    fn put(&self, topic: &str, record: Pair<'_>) -> Result<Offset, AppendError>;

    /// Writes a record, which becomes the newest of its key, if the topic ends at offset `at`.
    fn put_at(&self, topic: &str, record: Pair<'_>, at: Offset) -> Result<Offset, ConditionError>;
}
