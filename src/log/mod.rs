//! The platform's append-only log and its list of hosts.

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

/// Reason why an append returned no offset.
#[derive(Debug, Error)]
pub enum AppendError {
    /// The log was not reached, so the record is not in it.
    #[error("the log refused the record: {0}")]
    Refused(String),
    /// The response was lost; the record may be in the log already or appear later.
    #[error("the log's answer was lost: {0}")]
    Unknown(String),
}

/// Reason why a read failed.
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

/// Consecutive records of a stream.
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

    /// Reads `stream` from offset `from` on, waiting up to `wait` for the first record.
    fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError>;
}

/// Purpose of a listed host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A host of this system, which takes requests from callers.
    Entry,
    /// A model engine or a plain service.
    Upstream,
}

/// State of a listed host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In use.
    Live,
    /// About to be removed.
    Leaving,
}

/// An entry of the platform's list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub name: HostId,
    /// Address at which it serves requests.
    pub address: SocketAddr,
    /// Address at which its peers reach it; entry hosts only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<SocketAddr>,
    /// Failure domain.
    pub domain: DomainId,
    /// Purpose of the host.
    pub kind: Kind,
    /// Service that an upstream belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<ServiceId>,
    /// State of the host.
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

/// The platform's list of hosts, which lags behind the hosts.
pub trait List: Send + Sync + 'static {
    /// Returns the list as the platform shows it now.
    ///
    /// # Errors
    ///
    /// Returns a [`ReadError`] if the platform cannot be read.
    fn hosts(&self) -> Result<Vec<Host>, ReadError>;
}
