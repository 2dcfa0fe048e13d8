//! Limits the number of logged lines of one kind, and counts the others.

use std::time::Duration;
use std::time::Instant;

/// Time window for which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Keeps the first lines of each second.
#[derive(Debug)]
pub struct Sampler {
    max_lines: u32,
    window_start: Option<Instant>,
    kept: u32,
    left_out: u64,
}

/// Decision on a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is logged. The number is that of previous lines left out and not reported yet.
    Keep(u64),
    /// It is left out and counted.
    LeaveOut,
}

impl Sampler {
    /// Returns a sampler that keeps up to `max_lines` lines per second.
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
    pub fn new(max_lines: u32) -> Self {
        Sampler {
            max_lines,
            window_start: None,
            kept: 0,
            left_out: 0,
        }
    }

    /// Decides on a line at `now`.
    pub fn judge(&mut self, now: Instant) -> Verdict {
        let is_within = self
            .window_start
            .is_some_and(|window_start| now.saturating_duration_since(window_start) < WINDOW);
        if !is_within {
            self.window_start = Some(now);
            self.kept = 0;
        }
        if self.kept == self.max_lines {
            self.left_out += 1;
            return Verdict::LeaveOut;
        }
        self.kept += 1;
        Verdict::Keep(std::mem::take(&mut self.left_out))
    }
}
