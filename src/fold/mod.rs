//! State that is a pure function of the records of one stream of the platform's log.
//!
//! Nothing here reads a clock or does I/O, so two hosts that have folded the same records hold the
//! same state.

pub mod claims;
pub mod config;
pub mod orders;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::id::Offset;

/// State that the records of one stream build up.
pub trait Fold: Clone + Default + Serialize + DeserializeOwned + Send + 'static {
    /// Content of a record.
    type Record: Clone + Serialize + DeserializeOwned + Send + 'static;

    /// `true` if a reader that misses old records needs a snapshot of the state that they built.
    const NEEDS_SNAPSHOT: bool;

    /// Applies the record at `offset`.
    fn fold(&mut self, offset: Offset, record: &Self::Record);

    /// Returns the state in `record` and the last offset that it includes, if it is a snapshot.
    fn snapshot(record: &Self::Record) -> Option<(Offset, Self)>;

    /// Drops the state that came from records before `first`, which the log no longer keeps.
    fn forget(&mut self, _first: Offset) {}
}
