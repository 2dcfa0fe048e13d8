//! What hosts tell one another of suspects, and keep in the store.

use std::time::Duration;

use crate::id::Fingerprint;
use crate::id::IncarnationDigest;

/// What became of a life after a loss.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It is not known.
    Unknown,
    /// It has ended.
    Ended,
    /// It went on.
    Alive,
}

/// A loss as hosts tell one another of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LossReport {
    /// Life of the upstream.
    pub incarnation: IncarnationDigest,
    /// Time since the loss.
    pub age: Duration,
    /// What became of the life, as the teller knows.
    pub fate: Fate,
}

/// A suspect as hosts tell one another of it: each tells its own losses alone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// The teller's own losses.
    pub losses: Vec<LossReport>,
    /// Time since the request last ran to its end at the teller, if it did.
    pub completed: Option<Duration>,
}
