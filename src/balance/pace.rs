//! Pace of an upstream, and rate of the requests to it, with recent ones counting the most.

use std::time::Duration;
use std::time::Instant;

/// Time constant of the recent pace, so that a slow-down of half a second is noticed within it.
const RECENT: Duration = Duration::from_millis(250);
/// Time constant of the pace that is assumed while no recent response is known.
const LASTING: Duration = Duration::from_secs(10);
/// Weight of the lasting pace beside recent responses.
const LASTING_WEIGHT: f64 = 2.0;
/// Factor by which the recent pace has to differ from the lasting one to count. Smaller differences
/// come from waiting that was not forecast; hosts that followed them would all move at once.
const MIN_CHANGE_FACTOR: f64 = 1.5;
/// Time constant of a rate.
const RATE_SPAN: Duration = Duration::from_secs(1);

/// Mean of values whose weight decays with their age.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    weight: f64,
    sum: f64,
    at: Option<Instant>,
}

impl Mean {
    fn at(&self, span: Duration, now: Instant) -> Self {
        let age = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let kept = (-age.as_secs_f64() / span.as_secs_f64()).exp();
        Mean {
            weight: self.weight * kept,
            sum: self.sum * kept,
            at: Some(now),
        }
    }

    fn add(&mut self, weight: f64, sum: f64, span: Duration, now: Instant) {
        *self = self.at(span, now);
        self.weight += weight;
        self.sum += sum;
    }
}

/// Time that an upstream takes for a request which doesn't wait there.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    recent: Mean,
    lasting: Mean,
}

impl Pace {
    /// Records responses and the time that they took together without waiting.
    pub fn record(&mut self, responses: u32, total: Duration, now: Instant) {
        let (weight, sum) = (f64::from(responses), total.as_secs_f64());
        self.recent.add(weight, sum, RECENT, now);
        self.lasting.add(weight, sum, LASTING, now);
    }

    /// Returns the time for one request in seconds; `None` before the first response.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::balance::Pace;
    /// let now = Instant::now();
    /// let mut pace = Pace::default();
    /// assert_eq!(pace.service_s(now), None);
    /// pace.record(2, Duration::from_millis(60), now);
    /// assert!((pace.service_s(now).unwrap() - 0.03).abs() < 1e-6);
    /// ```
    pub fn service_s(&self, now: Instant) -> Option<f64> {
        if self.lasting.weight <= 0.0 {
            return None;
        }
        let lasting_s = self.lasting.sum / self.lasting.weight;
        let recent = self.recent.at(RECENT, now);
        let sum = recent.sum + LASTING_WEIGHT * lasting_s;
        let recent_s = sum / (recent.weight + LASTING_WEIGHT);
        let is_changed =
            recent_s > lasting_s * MIN_CHANGE_FACTOR || recent_s * MIN_CHANGE_FACTOR < lasting_s;
        Some(if is_changed { recent_s } else { lasting_s })
    }
}

/// Requests per second.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rate {
    counted: Mean,
}

impl Rate {
    /// Records requests.
    pub fn record(&mut self, requests: u32, now: Instant) {
        self.counted.add(f64::from(requests), 0.0, RATE_SPAN, now);
    }

    /// Returns the requests per second.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::balance::Rate;
    /// let now = Instant::now();
    /// let mut rate = Rate::default();
    /// rate.record(10, now);
    /// assert!(rate.per_s(now) > rate.per_s(now + Duration::from_secs(1)));
    /// ```
    pub fn per_s(&self, now: Instant) -> f64 {
        self.counted.at(RATE_SPAN, now).weight / RATE_SPAN.as_secs_f64()
    }
}
