//! A clock for tests that moves only on request.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use super::Clock;

/// A clock that moves only by [`Mock::advance`], [`Mock::suspend`] and sleeping. Clones share the
/// time.
#[derive(Debug, Clone)]
pub struct Mock {
    start: Instant,
    start_wall: SystemTime,
    elapsed: Arc<Mutex<Duration>>,
    suspended: Arc<Mutex<Duration>>,
}

impl Mock {
    /// Returns a clock whose wall time starts at `wall`.
    ///
    /// ```
    /// use std::time::{Duration, SystemTime};
    /// use pistachiohall::clock::{Clock, Mock};
    /// let clock = Mock::new(SystemTime::UNIX_EPOCH);
    /// let before = clock.now();
    /// clock.advance(Duration::from_secs(2));
    /// assert_eq!(clock.now() - before, Duration::from_secs(2));
    /// ```
    pub fn new(wall: SystemTime) -> Self {
        Mock {
            start: Instant::now(),
            start_wall: wall,
            elapsed: Arc::default(),
            suspended: Arc::default(),
        }
    }

    /// Moves the time forward by `period`.
    pub fn advance(&self, period: Duration) {
        *self.elapsed.lock().expect("clock lock") += period;
    }

    /// Simulates a suspension of the machine for `period`: the monotonic time does not advance.
    pub fn suspend(&self, period: Duration) {
        *self.suspended.lock().expect("clock lock") += period;
    }

    fn suspended(&self) -> Duration {
        *self.suspended.lock().expect("clock lock")
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().expect("clock lock")
    }
}

impl Clock for Mock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn boot(&self) -> Duration {
        self.elapsed() + self.suspended()
    }

    fn wall(&self) -> SystemTime {
        self.start_wall + self.elapsed() + self.suspended()
    }

    fn sleep(&self, period: Duration) {
        self.advance(period);
    }
}
