//! How a request may be run, and what that rests on.

use std::time::Duration;

/// How a request may be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// As any other.
    Clear,
    /// Not before it is settled what became of the upstreams that it was lost at.
    Unresolved(Evidence),
    /// Not at all.
    Refused(Evidence),
}

/// What a verdict rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// Lives that ended under the request or may have.
    pub incarnations: usize,
    /// Those that surely ended.
    pub ended: usize,
    /// Hosts that lost it.
    pub hosts: usize,
    /// Time since the first of the losses.
    pub oldest: Duration,
    /// Time after which the caller may come back.
    pub retry_after: Duration,
}
