//! One-time calls, which run at most once.
//!
//! A call is identified by a key that is claimed in the platform's log, or by a ticket that one
//! process issued. Either way exactly one incarnation of one host may run it, and its [`Ledger`]
//! records whether it has.

pub mod claim;
pub mod ledger;
pub mod run;
pub mod ticket;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

pub use self::ledger::Ledger;
pub use self::run::OneTimeKey;
pub use self::ticket::Ticket;

/// Identifies a one-time call within an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallName {
    /// A caller's key, claimed in the log.
    Key(Uuid),
    /// The number of a ticket of this incarnation.
    Ticket(u64),
}
