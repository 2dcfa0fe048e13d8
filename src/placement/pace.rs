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
/// Maximum number of samples that the figures of all other hosts together count for.
const MAX_TOLD_SAMPLES: f64 = 50.0;
/// Minimum number of samples from which a figure is told to other hosts.
const MIN_TOLD_SAMPLES: f64 = 4.0;
/// Relative change from which a figure is told again.
const MIN_TOLD_CHANGE: f64 = 0.1;

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

    /// Returns what other hosts are told of an engine: the assumption that it is like the others is
    /// left out.
    fn measured(&self) -> Factor {
        let measured = (self.samples - ENGINE_PRIOR_SAMPLES).max(0.0);
        Factor {
            factor: self.factor(),
            samples: measured.min(self.min_weight.recip()),
        }
    }
}

/// Factor of an engine to its service, and the number of samples that it rests on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Factor {
    /// Ratio of its durations to those of the service.
    pub factor: f64,
    /// Number of samples; 0 if nothing is known.
    pub samples: f64,
}

impl Default for Factor {
    fn default() -> Self {
        Factor {
            factor: 1.0,
            samples: 0.0,
        }
    }
}

impl Factor {
    /// Returns `true` if the figure is one that a host can have measured.
    ///
    /// ```
    /// use pistachiohall::placement::pace::Factor;
    /// assert!(Factor { factor: 1.8, samples: 5.0 }.is_possible());
    /// assert!(!Factor { factor: f64::NAN, samples: 5.0 }.is_possible());
    /// ```
    pub fn is_possible(&self) -> bool {
        let has_samples = self.samples.is_finite() && self.samples >= 0.0;
        has_samples && self.factor > 0.0 && self.factor <= MAX_SLOWDOWN
    }

    /// Returns `true` if it rests on enough samples to be told to other hosts.
    pub fn is_known(&self) -> bool {
        self.samples >= MIN_TOLD_SAMPLES
    }

    /// Returns `true` if it differs from a figure that was told before by more than noise.
    fn is_newer_than(&self, told: &Factor) -> bool {
        let change = (self.factor / told.factor).ln().abs();
        let is_first = !told.is_known();
        self.is_known()
            && (is_first || change > MIN_TOLD_CHANGE || self.samples >= 2.0 * told.samples)
    }

    /// Returns the mean of both, weighted by samples.
    fn merged(&self, other: &Factor) -> Factor {
        let samples = self.samples + other.samples;
        if samples <= 0.0 {
            return Factor::default();
        }
        let log_sum = self.factor.ln() * self.samples + other.factor.ln() * other.samples;
        Factor {
            factor: (log_sum / samples).exp(),
            samples,
        }
    }
}

/// Factor of one engine: what this host has measured, and what others tell.
#[derive(Debug, Clone, Copy)]
pub struct Learned {
    own: Slowdown,
    told: Factor,
}

impl Learned {
    /// Returns a factor of which nothing is known but `own`.
    pub fn new(own: Slowdown) -> Self {
        let told = Factor::default();
        Learned { own, told }
    }

    /// Returns the factor, by all that is known.
    ///
    /// ```
    /// use pistachiohall::placement::pace::{Factor, Learned, Slowdown};
    /// let mut learned = Learned::new(Slowdown::for_engine());
    /// assert_eq!(learned.factor(), 1.0);
    /// learned.record_told(&Factor { factor: 2.0, samples: 20.0 });
    /// assert!(learned.factor() > 1.8);
    /// ```
    pub fn factor(&self) -> f64 {
        let own = Factor {
            factor: self.own.factor(),
            samples: self.own.samples.min(self.own.min_weight.recip()),
        };
        own.merged(&self.told).factor
    }

    /// Returns what this host has measured itself.
    pub fn measured(&self) -> Factor {
        self.own.measured()
    }

    /// Returns the number of durations that this host has measured.
    pub fn count(&self) -> f64 {
        self.own.samples
    }

    /// Returns the factor and the samples of all hosts that it rests on.
    pub fn known(&self) -> Factor {
        Factor {
            factor: self.factor(),
            samples: self.own.measured().samples + self.told.samples,
        }
    }

    /// Records a duration that was `ratio` times the forecast with [`Learned::factor`].
    pub fn record(&mut self, ratio: f64) {
        let factor = self.factor();
        self.own.record(ratio * factor / self.own.factor());
    }

    /// Records what another host has measured. Newer figures gradually replace older ones.
    pub fn record_told(&mut self, told: &Factor) {
        let told = Factor {
            samples: told.samples.min(MAX_TOLD_SAMPLES),
            ..*told
        };
        let weighted = self.told.merged(&told);
        self.told = Factor {
            samples: weighted.samples.min(MAX_TOLD_SAMPLES),
            ..weighted
        };
    }
}

/// Figures of one engine that one host tells others.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Told {
    /// Of its prefills.
    pub prefill: Factor,
    /// Of its streams.
    pub decode: Factor,
}

impl Told {
    /// Returns `true` if both figures are possible.
    pub fn is_possible(&self) -> bool {
        self.prefill.is_possible() && self.decode.is_possible()
    }

    /// Returns `true` if either figure differs from one told before by more than noise.
    pub fn is_newer_than(&self, told: &Told) -> bool {
        self.prefill.is_newer_than(&told.prefill) || self.decode.is_newer_than(&told.decode)
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
