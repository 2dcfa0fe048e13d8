//! Time as an interface, so that decisions can be tested without waiting.

mod mock;
mod real;

use std::ops::Add;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

pub use self::mock::Mock;
pub use self::real::Real;

/// A source of monotonic and wall time.
pub trait Clock: Send + Sync + 'static {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the time since the machine's start. Unlike [`Clock::now`] it advances while the
    /// machine is suspended, so that deadlines on which other machines rely end in time.
    fn boot(&self) -> Duration;

    /// Returns the current moment.
    fn moment(&self) -> Moment {
        Moment {
            boot: self.boot(),
            now: self.now(),
        }
    }

    /// Returns the wall time, which may step.
    fn wall(&self) -> SystemTime;

    /// Blocks the calling thread for `period`.
    fn sleep(&self, period: Duration);
}

/// A moment on the monotonic clock and on the one that also advances during a suspension.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// Time since the machine's start, as [`Clock::boot`] returns it.
    pub boot: Duration,
    /// Monotonic time.
    pub now: Instant,
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, period: Duration) -> Moment {
        Moment {
            boot: self.boot + period,
            now: self.now + period,
        }
    }
}

/// Returns the wall time of `clock` in milliseconds since the Unix epoch.
///
/// ```
/// use pistachiohall::clock::{self, Real};
/// assert!(clock::wall_ms(&Real) > 1_700_000_000_000);
/// ```
pub fn wall_ms<C>(clock: &C) -> u64
where
    C: Clock,
{
    clock
        .wall()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}
