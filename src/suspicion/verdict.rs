//! Verdict on whether a request may be sent, and its evidence.

use std::time::Duration;

/// Verdict on whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may be sent like any other.
    Clear,
    /// It may not be sent until the fate of the upstreams that lost it is known.
    Unresolved(Evidence),
    /// It may not be sent.
    Refused(Evidence),
}

/// Evidence for a verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// Number of incarnations that ended under the request or may have.
    pub incarnations: usize,
    /// Number of these that definitely ended.
    pub ended: usize,
    /// Number of hosts that lost it.
    pub hosts: usize,
    /// Time since the first loss.
    pub first_loss_age: Duration,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}
