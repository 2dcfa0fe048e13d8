//! Decides which requests a host that shuts down still takes.

use std::time::Duration;
use std::time::Instant;

/// Reason for which a request is refused during a shutdown.
pub const REFUSAL_REASON: &str = "the host shuts down";

/// Times of one graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// Time until which the balancer may send new requests, which are taken as before.
    pub closes_at: Instant,
    /// Time at which the host answers the requests that still run.
    pub ends_at: Instant,
}

impl Schedule {
    /// Returns the schedule of a shutdown that begins at `now` and takes at most `limit`; the balancer
    /// needs `balancer_lag` to notice it.
    pub fn new(now: Instant, balancer_lag: Duration, limit: Duration) -> Self {
        let ends_at = now + limit;
        Schedule {
            closes_at: (now + balancer_lag).min(ends_at),
            ends_at,
        }
    }

    /// Returns `true` if a request that must be answered by `deadline` is taken at `now`: the balancer may
    /// have sent it, or its answer is due before the shutdown ends.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::gateway::shutdown::Schedule;
    /// let now = Instant::now();
    /// let seconds = Duration::from_secs;
    /// let schedule = Schedule::new(now, seconds(2), seconds(7));
    /// assert!(schedule.takes(now + seconds(9), now + seconds(1)));
    /// assert!(schedule.takes(now + seconds(7), now + seconds(3)));
    /// assert!(!schedule.takes(now + seconds(8), now + seconds(3)));
    /// ```
    pub fn takes(&self, deadline: Instant, now: Instant) -> bool {
        now < self.closes_at || deadline <= self.ends_at
    }
}
