//! Reports of suspects that hosts exchange and keep in the store.

use std::time::Duration;

use crate::id::Fingerprint;
use crate::id::IncarnationDigest;

/// Fate of an incarnation after a loss.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// Not known yet.
    Unknown,
    /// The incarnation ended.
    Ended,
    /// The incarnation is still running.
    Alive,
}

/// A loss as reported between hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LossReport {
    /// Incarnation of the upstream.
    pub incarnation: IncarnationDigest,
    /// Time since the loss.
    pub age: Duration,
    /// Fate of the incarnation as known to the reporting host.
    pub fate: Fate,
}

/// A suspect as reported between hosts; each host reports only its own losses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// Losses of the reporting host.
    pub losses: Vec<LossReport>,
    /// Time since the request last completed at the reporting host, if it did.
    pub completed: Option<Duration>,
}
