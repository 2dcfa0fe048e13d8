//! Joins the log lines of several hosts into an account of one request.

mod account;
pub mod line;

pub use self::account::Account;
pub use self::account::Belief;
pub use self::account::Ending;
