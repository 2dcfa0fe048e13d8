//! Learned pace of engines: prefill relative to the cost model, and pauses between tokens.
//!
//! A few prefills at any engine of a service set the forecast for all of them. Engines of one
//! service may still differ by a factor of two, so each has a slowdown relative to its service,
//! which a few of its own prefills tell, and another one for the pauses in its streams. The two
//! are apart because they are relative to different engines: those that prefill, and those that
//! decode.

use std::time::Duration;

/// Minimum weight of a prefill in the slowdown of a service; about the last fifty count.
const SERVICE_WEIGHT: f64 = 0.02;
/// Minimum weight of a prefill in the deviation of an engine from its service.
const ENGINE_WEIGHT: f64 = 0.05;
/// Minimum weight of a pause in the deviation of an engine from its service. All pauses within a
/// stall are long, so that many of them say no more than a few.
const ENGINE_GAP_WEIGHT: f64 = 0.02;
/// Number of samples that the assumption counts for that an engine is like the others.
const ENGINE_PRIOR_SAMPLES: f64 = 2.0;
/// Minimum weight of a pause in the pauses of a service.
const GAP_WEIGHT: f64 = 0.01;
/// Maximum factor by which one prefill counts as slower or faster than its forecast; a single
/// prefill may stall for unrelated reasons.
const MAX_RATIO: f64 = 4.0;
/// Maximum factor between the learned and the modelled duration, either way.
const MAX_SLOWDOWN: f64 = 50.0;

/// Factor learned from ratios of measured durations to those forecast with it.
#[derive(Debug, Clone, Copy)]
pub struct Slowdown {
    log_factor: f64,
    samples: f64,
    min_weight: f64,
}

impl Slowdown {
    /// Returns the slowdown of an unknown service: the first prefill counts in full, each further
    /// one less.
    pub fn for_service() -> Self {
        Slowdown {
            log_factor: 0.0,
            samples: 0.0,
            min_weight: SERVICE_WEIGHT,
        }
    }

    /// Returns the slowdown of an engine relative to its service, which starts at 1.
    pub fn for_engine() -> Self {
        Slowdown {
            log_factor: 0.0,
            samples: ENGINE_PRIOR_SAMPLES,
            min_weight: ENGINE_WEIGHT,
        }
    }

    /// Returns the slowdown of an engine's streams relative to its service, which starts at 1.
    pub fn for_streams() -> Self {
        Slowdown {
            min_weight: ENGINE_GAP_WEIGHT,
            ..Slowdown::for_engine()
        }
    }

    /// Records a prefill that took `ratio` times as long as forecast with this slowdown.
    ///
    /// ```
    /// use pistachiohall::placement::pace::Slowdown;
    /// let mut slowdown = Slowdown::for_service();
    /// slowdown.record(3.0);
    /// assert!((slowdown.factor() - 3.0).abs() < 1e-9);
    /// slowdown.record(1.0);
    /// assert!((slowdown.factor() - 3.0).abs() < 1e-9);
    /// ```
    pub fn record(&mut self, ratio: f64) {
        self.samples += 1.0;
        let weight = self.samples.recip().max(self.min_weight);
        let ratio = ratio.clamp(MAX_RATIO.recip(), MAX_RATIO);
        let bound = MAX_SLOWDOWN.ln();
        self.log_factor = (self.log_factor + weight * ratio.ln()).clamp(-bound, bound);
    }

    /// Returns the ratio of the actual prefill time to that of the cost model.
    pub fn factor(&self) -> f64 {
        self.log_factor.exp()
    }
}

/// Learned pause between two events of a stream at an idle engine of a service.
#[derive(Debug, Clone, Copy)]
pub struct Gap {
    base_s: f64,
    samples: f64,
}

impl Gap {
    /// Returns the gap learned from a first pause at an engine with this occupancy, the share of
    /// its slots in use.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pistachiohall::placement::pace::Gap;
    /// let gap = Gap::new(Duration::from_millis(60), 0.5);
    /// assert_eq!(gap.forecast(0.0), Duration::from_millis(40));
    /// assert!(gap.forecast(1.0) > gap.forecast(0.5));
    /// ```
    pub fn new(pause: Duration, occupancy: f64) -> Self {
        Gap {
            base_s: pause.as_secs_f64() / batch_factor(occupancy),
            samples: 1.0,
        }
    }

    /// Returns the expected pause at an engine with this occupancy.
    pub fn forecast(&self, occupancy: f64) -> Duration {
        Duration::from_secs_f64(self.base_s * batch_factor(occupancy))
    }

    /// Records a pause at an engine with this occupancy.
    pub fn record(&mut self, pause: Duration, occupancy: f64) {
        self.samples += 1.0;
        let weight = self.samples.recip().max(GAP_WEIGHT);
        let ratio = pause.as_secs_f64() / self.forecast(occupancy).as_secs_f64();
        self.base_s *= ratio.clamp(MAX_RATIO.recip(), MAX_RATIO).powf(weight);
    }
}

/// Returns the factor by which a step of an engine with this occupancy takes longer than one of an
/// idle engine; a full batch takes about twice as long.
fn batch_factor(occupancy: f64) -> f64 {
    1.0 + occupancy
}
