//! Topics that keep the newest record of each key, and appends under a condition.

use std::time::Duration;

use compact_str::CompactString;
use thiserror::Error;

use super::AppendError;
use super::ReadError;
use crate::id::Offset;

/// A record of a keyed topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Key.
    pub key: CompactString,
    /// Content; none if the key was removed.
    pub value: Option<Vec<u8>>,
}

/// A key and the value to be written under it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pair<'a> {
    /// Key, 255 bytes at most.
    pub key: &'a str,
    /// Value; must not be empty.
    pub value: &'a [u8],
}

/// A run of records and where to read on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// Records in order of offset.
    pub records: Vec<Record>,
    /// Offset to read on from.
    pub next: Offset,
}

/// Why changes could not be read.
#[derive(Debug, Error)]
pub enum ChangesError {
    /// The records asked for were deleted; the newest of each key have to be read anew.
    #[error("records were deleted, the first one left is {0}")]
    Gap(Offset),
    /// The log gave no answer that can be used.
    #[error(transparent)]
    Read(#[from] ReadError),
}

/// Why a conditional append gave no offset.
#[derive(Debug, Error)]
pub enum ConditionError {
    /// The topic ends elsewhere, so the record is not in it.
    #[error("the topic ends at {0}")]
    Moved(Offset),
    /// The append failed as any other may.
    #[error(transparent)]
    Append(#[from] AppendError),
}

/// The log's keyed topics and conditional appends.
pub trait Keyed: Send + Sync + 'static {
    /// Reads the newest record of each key.
    ///
    /// The records are no snapshot: changes made meanwhile are met again when reading on.
    fn newest(&self, topic: &str) -> Result<Changes, ReadError>;

    /// Reads records from offset `from` on, waiting up to `wait` for a first one.
    fn changes(&self, topic: &str, from: Offset, wait: Duration) -> Result<Changes, ChangesError>;

    /// Writes the newest record of a key.
    fn put(&self, topic: &str, record: Pair<'_>) -> Result<Offset, AppendError>;

    /// Writes the newest record of a key if the topic ends at `at`.
    fn put_at(&self, topic: &str, record: Pair<'_>, at: Offset) -> Result<Offset, ConditionError>;
}
