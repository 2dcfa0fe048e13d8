//! The platform's services: the append-only log and the list of hosts.

pub mod http;
pub mod keyed;
pub mod memory;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use thiserror::Error;

use crate::id::DomainId;
use crate::id::HostId;
use crate::id::Offset;
use crate::id::ServiceId;

/// Why an append gave no offset.
#[derive(Debug, Error)]
pub enum AppendError {
    /// The log was not reached, so the record is not in it.
    #[error("the log refused the record: {0}")]
    Refused(String),
    /// The answer was lost; the record may be in the log now or appear later.
    #[error("the log's answer was lost: {0}")]
    Unknown(String),
}

/// Why a read gave nothing.
#[derive(Debug, Error)]
#[error("the platform cannot be read: {0}")]
pub struct ReadError(pub String);

/// One record of a stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the stream.
    pub offset: Offset,
    /// Content.
    pub data: Value,
}

/// A run of records.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Offset of the oldest record still kept.
    pub first: Offset,
    /// Offset that the next appended record will get.
    pub end: Offset,
    /// Records in order of offset.
    pub records: Vec<Entry>,
}

/// The append-only log.
pub trait Log: Send + Sync + 'static {
    /// Appends one record to `stream` and returns its offset.
    fn append(&self, stream: &str, data: &Value) -> Result<Offset, AppendError>;

    /// Reads `stream` from offset `from`, waiting up to `wait` for a first record.
    fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError>;
}

/// What a listed host does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An entry host of this system.
    Entry,
    /// A model engine or a plain service.
    Upstream,
}

/// Whether a listed host stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In use.
    Live,
    /// About to be taken away.
    Leaving,
}

/// A row of the platform's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// Name.
    pub name: HostId,
    /// Where it serves.
    pub address: SocketAddr,
    /// Where its peers reach it; entry hosts only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<SocketAddr>,
    /// Failure domain.
    pub domain: DomainId,
    /// What it does.
    pub kind: Kind,
    /// Service that an upstream belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// Whether it stays.
    pub state: State,
}

impl<L> Log for Arc<L>
where
    L: Log,
{
    fn append(&self, stream: &str, data: &Value) -> Result<Offset, AppendError> {
        (**self).append(stream, data)
    }

    fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        (**self).read(stream, from, wait)
    }
}

impl<L> List for Arc<L>
where
    L: List,
{
    fn hosts(&self) -> Result<Vec<Host>, ReadError> {
        (**self).hosts()
    }
}

/// The lagging list of hosts.
pub trait List: Send + Sync + 'static {
    /// Returns the list as the platform shows it now.
    fn hosts(&self) -> Result<Vec<Host>, ReadError>;
}
