//! What demand has been lately: its present level, its trend and its peak.

use std::time::Duration;
use std::time::Instant;

/// Number of spans of which the peaks are remembered, and their length: a peak that comes back within
/// them changes nothing.
const PEAKS: usize = 6;
const PEAK_SPAN: Duration = Duration::from_secs(5);
/// Time over which the level is averaged to which a rise is compared.
const SLOW_AVERAGING_S: f64 = 4.0;
/// Time over which the mean is averaged; several turns of the mix.
const MEAN_AVERAGING_S: f64 = 15.0;
/// Peak of a demand relative to its mean that is expected before one was seen.
const EXPECTED_PEAK: f64 = 1.6;

/// Ratio to the remembered peaks from which demand counts as rising above them.
const NEW_PEAK: f64 = 1.1;

/// Maximum rise that is expected of a rising demand, relative to it.
const MAX_RISE: f64 = 1.25;

/// Demand of one service over time.
#[derive(Debug, Clone, Copy, Default)]
pub struct History {
    first: Option<Instant>,
    last: Option<Instant>,
    present: f64,
    slow: f64,
    mean: f64,
    /// Peaks of the last spans, the present one first, and when that began.
    peaks: [f64; PEAKS],
    span_began: Option<Instant>,
}

impl History {
    /// Records the demand at `now`.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::capacity::history::History;
    /// let mut history = History::default();
    /// let start = Instant::now();
    /// history.record(8.0, start);
    /// history.record(4.0, start + Duration::from_secs(1));
    /// assert!(history.expected() > 7.0);
    /// assert_eq!(history.present(), 4.0);
    /// ```
    pub fn record(&mut self, demand: f64, now: Instant) {
        let Some(last) = self.last else {
            *self = History {
                first: Some(now),
                last: Some(now),
                present: demand,
                slow: demand,
                mean: demand,
                peaks: [demand; PEAKS],
                span_began: Some(now),
            };
            return;
        };
        let since = now.saturating_duration_since(last).as_secs_f64();
        let follow =
            |value: f64, over: f64| value + (demand - value) * (1.0 - (-since / over).exp());
        self.last = Some(now);
        self.present = demand;
        self.slow = follow(self.slow, SLOW_AVERAGING_S);
        self.mean = follow(self.mean, MEAN_AVERAGING_S);
        let span = self.span_began.get_or_insert(now);
        if now.saturating_duration_since(*span) >= PEAK_SPAN {
            *span = now;
            self.peaks.rotate_right(1);
            self.peaks[0] = demand;
        }
        self.peaks[0] = self.peaks[0].max(demand);
    }

    /// Returns the time for which demand has been recorded.
    pub fn age(&self, now: Instant) -> Duration {
        self.first
            .map_or(Duration::ZERO, |first| now.saturating_duration_since(first))
    }

    /// Returns the demand as last recorded.
    pub fn present(&self) -> f64 {
        self.present
    }

    /// Returns the mean demand over several turns of the mix.
    pub fn usual(&self) -> f64 {
        self.mean
    }

    /// Returns the demand to be ready for: the remembered peak; before peaks were seen also the usual
    /// one over the mean; and the present demand as it rises on, if it is above the peaks before.
    pub fn expected(&self) -> f64 {
        let before = self.peaks[1..].iter().copied().fold(0.0, f64::max);
        let ahead = match self.present > before * NEW_PEAK {
            true => (2.0 * self.present - self.slow).min(self.present * MAX_RISE),
            false => 0.0,
        };
        let has_peaks = self
            .last
            .is_some_and(|last| self.age(last) >= PEAK_SPAN * PEAKS as u32);
        let usual_peak = match has_peaks {
            true => self.mean,
            false => self.mean * EXPECTED_PEAK,
        };
        before.max(self.peaks[0]).max(usual_peak).max(ahead)
    }
}
