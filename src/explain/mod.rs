//! Combines the log lines of several hosts into the history of one request.

mod account;
pub mod line;

pub use self::account::Account;
pub use self::account::Ending;
pub use self::account::StateChange;
