//! Calls that run at most once.
//!
//! A call is named by a claim in the platform's log or by a ticket that one process issued.
//! Either way exactly one incarnation of one entry process may run it, and its [`Ledger`] says
//! whether it has.

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

/// What names a one-time call within an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallName {
    /// A key of the caller's, claimed in the log.
    Key(Uuid),
    /// A ticket of this incarnation, by its number.
    Ticket(u64),
}
