//! Admission control, which decides the order in which requests are served under load.
//!
//! The most urgent class goes first; within a class, accounts are served in proportion to their
//! shares. A request whose deadline cannot be met is refused at once.

pub mod fair;
pub mod gate;
pub mod lane;
pub mod limit;

pub use self::gate::Gate;
pub use self::gate::Permit;
pub use self::lane::ServiceQueue;

use std::time::Duration;
use std::time::Instant;

use crate::id::AccountId;

/// Properties of a request that decide on its admission.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Account of the caller.
    pub account: AccountId,
    /// Share of the account relative to other accounts.
    pub share: f64,
    /// Rank of the class; 0 is the most urgent.
    pub rank: u8,
    /// Estimated work, in tokens.
    pub cost: f64,
    /// Latest time at which it is worth starting the request.
    pub start_by: Instant,
}

/// Reason for refusing a request, with the time after which a retry may succeed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The deadline cannot be met.
    TooLate(Duration),
    /// The queue is full.
    Full(Duration),
}
