//! State of the link to another failure domain, learned from the requests that crossed it.

use std::time::Duration;
use std::time::Instant;

/// Weight of the newest outcome in the share of losses and in the delay.
const SMOOTHING: f64 = 0.2;
/// Share of recent requests without an answer from which the link is closed: two in a row.
const MAX_LOSS_SHARE: f64 = 0.3;
/// Time for which the link is closed after a loss, doubled by each further one.
const FIRST_CLOSURE: Duration = Duration::from_millis(500);
/// Maximum time for which the link is closed; then one request tries it.
const MAX_CLOSURE: Duration = Duration::from_secs(4);

/// Link to another failure domain.
#[derive(Debug, Clone, Copy, Default)]
pub struct Link {
    loss_share: f64,
    losses: u32,
    closed_until: Option<Instant>,
    delay_s: f64,
}

impl Link {
    /// Records an answer that came `excess` later than was forecast for the upstream alone; this
    /// is negative if it came sooner.
    pub fn record_answer(&mut self, excess_s: f64) {
        self.loss_share *= 1.0 - SMOOTHING;
        self.losses = 0;
        self.closed_until = None;
        self.delay_s += SMOOTHING * (excess_s - self.delay_s);
    }

    /// Records that a request got no answer or that no connection was established.
    ///
    /// ```
    /// use std::time::Instant;
    /// use pistachiohall::spill::Link;
    /// let now = Instant::now();
    /// let mut link = Link::default();
    /// link.record_loss(now);
    /// assert!(link.is_open(now));
    /// link.record_loss(now);
    /// assert!(!link.is_open(now));
    /// ```
    pub fn record_loss(&mut self, now: Instant) {
        self.loss_share += SMOOTHING * (1.0 - self.loss_share);
        if self.loss_share > MAX_LOSS_SHARE {
            let closure = FIRST_CLOSURE * 2_u32.pow(self.losses.min(4));
            self.losses += 1;
            self.closed_until = Some(now + closure.min(MAX_CLOSURE));
        }
    }

    /// Returns `true` if work may be sent over the link.
    pub fn is_open(&self, now: Instant) -> bool {
        self.closed_until.is_none_or(|until| until <= now)
    }

    /// Returns the time that the way takes, at least `min`.
    pub fn delay(&self, min: Duration) -> Duration {
        min.max(Duration::from_secs_f64(self.delay_s.max(0.0)))
    }
}
