//! A sum whose parts lose weight with their age.

use std::time::Duration;
use std::time::Instant;

/// Sum that halves within its half-life.
#[derive(Debug, Clone, Copy)]
pub struct Decay {
    half_life: Duration,
    value: f64,
    at: Instant,
}

impl Decay {
    /// Returns an empty sum.
    pub fn new(half_life: Duration, now: Instant) -> Self {
        Decay {
            half_life,
            value: 0.0,
            at: now,
        }
    }

    /// Adds an amount at `now`.
    pub fn add(&mut self, amount: f64, now: Instant) {
        self.value = self.value(now) + amount;
        self.at = self.at.max(now);
    }

    /// Returns the sum at `now`.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::fair::Decay;
    /// let (half_life, now) = (Duration::from_secs(2), Instant::now());
    /// let mut sum = Decay::new(half_life, now);
    /// sum.add(8.0, now);
    /// assert_eq!(sum.value(now + 2 * half_life), 2.0);
    /// ```
    pub fn value(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.value * 0.5_f64.powf(age.as_secs_f64() / self.half_life.as_secs_f64())
    }
}
