//! Reports of suspects that hosts exchange and keep in the store.

use std::time::Duration;

use crate::id::Fingerprint;
use crate::id::IncarnationDigest;
use crate::id::RequestDigest;

/// What a suspect is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Subject {
    /// A request, by its content and caller.
    #[default]
    Request,
    /// A block of prompts, whatever else these prompts hold.
    Block,
}

/// Fate of an incarnation after a loss.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fate {
    /// Not known yet.
    #[default]
    Unknown,
    /// The incarnation ended.
    Ended,
    /// The incarnation is still running.
    Alive,
}

/// A loss as reported between hosts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LossReport {
    /// Incarnation of the upstream.
    pub incarnation: IncarnationDigest,
    /// Time since the loss.
    pub age: Duration,
    /// Fate of the incarnation as known to the reporting host.
    pub fate: Fate,
    /// Time before the loss within which the incarnation may have ended.
    pub uncertainty: Duration,
    /// Digest of the last request with a block that was lost there; 0 for a request.
    pub request: RequestDigest,
    /// Number of requests with a block that were lost there; 0 for a request.
    pub requests: u32,
}

/// A suspect as reported between hosts; each host reports only its own losses.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// What is reported.
    pub subject: Subject,
    /// Digest of the request or of the block.
    pub fingerprint: Fingerprint,
    /// Losses of the reporting host.
    pub losses: Vec<LossReport>,
    /// Time since it last completed at the reporting host, if it did.
    pub completed: Option<Duration>,
}
