//! Time as an interface, so that decisions can be tested without waiting.

mod mock;
mod real;

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

    /// Returns the wall time, which may step.
    fn wall(&self) -> SystemTime;

    /// Blocks the calling thread for `period`.
    fn sleep(&self, period: Duration);
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
