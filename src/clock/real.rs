//! The clock of the operating system.

use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use super::Clock;

/// The clock of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct Real;

impl Clock for Real {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn boot(&self) -> Duration {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }

    fn sleep(&self, period: Duration) {
        thread::sleep(period);
    }
}
