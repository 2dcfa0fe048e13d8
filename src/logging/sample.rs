//! Bounds how many lines of one kind are logged, and counts the others.

use std::time::Duration;
use std::time::Instant;

/// Span over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Lets the first lines of each second through.
#[derive(Debug)]
pub struct Sampler {
    most: u32,
    since: Option<Instant>,
    kept: u32,
    left_out: u64,
}

/// What becomes of a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is logged. So many lines before it were left out and not told of yet.
    Keep(u64),
    /// It is left out and counted.
    LeaveOut,
}

impl Sampler {
    /// Returns a sampler that keeps `most` lines in a second.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::logging::sample::{Sampler, Verdict};
    /// let now = Instant::now();
    /// let mut sampler = Sampler::new(1);
    /// assert_eq!(sampler.judge(now), Verdict::Keep(0));
    /// assert_eq!(sampler.judge(now), Verdict::LeaveOut);
    /// assert_eq!(sampler.judge(now + Duration::from_secs(1)), Verdict::Keep(1));
    /// ```
    pub fn new(most: u32) -> Self {
        Sampler {
            most,
            since: None,
            kept: 0,
            left_out: 0,
        }
    }

    /// Decides on a line at `now`.
    pub fn judge(&mut self, now: Instant) -> Verdict {
        let is_within = self
            .since
            .is_some_and(|since| now.saturating_duration_since(since) < WINDOW);
        if !is_within {
            self.since = Some(now);
            self.kept = 0;
        }
        if self.kept == self.most {
            self.left_out += 1;
            return Verdict::LeaveOut;
        }
        self.kept += 1;
        Verdict::Keep(std::mem::take(&mut self.left_out))
    }
}
