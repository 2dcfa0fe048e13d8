//! Who is served when there is not room for all.
//!
//! The most urgent class goes first; inside a class callers share by weight. A request whose
//! deadline cannot be met is refused at once.

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

/// What the decision needs to know of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// Account of the caller.
    pub account: AccountId,
    /// Share of the account.
    pub share: f64,
    /// Rank of the class, 0 first.
    pub rank: u8,
    /// Estimated work, in tokens.
    pub cost: f64,
    /// Time after which a start is worth nothing.
    pub start_by: Instant,
}

/// A refusal at the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The deadline cannot be met; a new try may do better after the given time.
    TooLate(Duration),
    /// The queue is full.
    Full(Duration),
}
