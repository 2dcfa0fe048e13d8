//! Learned slowdown of engines relative to the cost model.
//!
//! Engines of a service are mostly alike, so a few prefills at any of them set the forecast for
//! all. The deviation of a single engine is learned more slowly, from its own prefills.

/// Minimum weight of a prefill in the slowdown of a service; about the last fifty count.
const SERVICE_WEIGHT: f64 = 0.02;
/// Weight of a prefill in the deviation of an engine from its service.
const ENGINE_WEIGHT: f64 = 0.05;
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
            samples: f64::INFINITY,
            min_weight: ENGINE_WEIGHT,
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
