//! What client accounts have used, reported to the platform once for each window of the wall clock.
//!
//! Each host counts the requests that upstreams begin to run for it and sends its counts to a few
//! hosts that collect them. One of these settles the counts of a window in the store once it is
//! final, and only then reports them, so that every report of a window has the same counts.

pub mod book;
pub mod clock;
pub mod duty;
pub mod members;
pub mod platform;
pub mod settle;

pub use self::book::Book;

use std::time::Duration;

use crate::platform::duties::WindowId;

/// Share of the time until a report is due for which counts of a window are still taken in. The rest
/// is for a successor, which has to wait two lease lengths.
const FINAL_SHARE: f64 = 0.15;
/// The same while a host that was heard before is silent: it may be cut off, and send its counts late.
const AWAITING_SHARE: f64 = 0.5;
/// Number of windows, back from the newest final one, that are still reported.
pub const MAX_PENDING: u64 = 6;

/// Windows of the wall clock; times are since the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Windows {
    length: Duration,
    due: Duration,
}

impl Windows {
    /// Returns windows of `length`, whose reports are due `due` after their ends.
    pub fn new(length: Duration, due: Duration) -> Self {
        let length = length.max(Duration::from_millis(1));
        Windows { length, due }
    }

    /// Returns the window in which `time` lies.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pistachiohall::usage::Windows;
    /// let windows = Windows::new(Duration::from_secs(5), Duration::from_secs(10));
    /// assert_eq!(windows.at(Duration::from_secs(14)), 2);
    /// assert_eq!(windows.end(2), Duration::from_secs(15));
    /// assert_eq!(windows.last_final(Duration::from_secs(16)), Some(1));
    /// assert_eq!(windows.last_final(Duration::from_secs(17)), Some(2));
    /// ```
    pub fn at(&self, time: Duration) -> WindowId {
        (time.as_nanos() / self.length.as_nanos()) as WindowId
    }

    /// Returns the end of a window.
    pub fn end(&self, window: WindowId) -> Duration {
        let nanos = self.length.as_nanos() * (u128::from(window) + 1);
        Duration::from_millis((nanos / 1_000_000) as u64)
    }

    /// Returns the time after the end of a window at which its counts are final.
    pub fn margin(&self) -> Duration {
        self.due.mul_f64(FINAL_SHARE)
    }

    /// Returns the time at which the counts of a window are final.
    pub fn final_at(&self, window: WindowId) -> Duration {
        self.end(window) + self.margin()
    }

    /// Returns the newest window whose counts are final at `time`.
    pub fn last_final(&self, time: Duration) -> Option<WindowId> {
        self.at(time.saturating_sub(self.margin())).checked_sub(1)
    }

    /// Returns the newest window whose counts are settled at `time` although some may be missing.
    pub fn last_overdue(&self, time: Duration) -> Option<WindowId> {
        let margin = self.due.mul_f64(AWAITING_SHARE);
        self.at(time.saturating_sub(margin)).checked_sub(1)
    }

    /// Returns the time until which a window has to be reported.
    pub fn due_at(&self, window: WindowId) -> Duration {
        self.end(window) + self.due
    }

    /// Returns the length of a window.
    pub fn length(&self) -> Duration {
        self.length
    }
}
