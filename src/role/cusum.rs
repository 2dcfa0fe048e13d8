//! Changes roles once a shift of the mix is certain, not on noise.
//!
//! Cumulative sums of the standardised deviation of the prefill share, up and down, from the
//! running mean since the last shift, with a control limit derived from the probability of a
//! false signal. Reports that come late and
//! lumped together are taken as one group, weighted by the requests in them. The idea of
//! setting the limit by the false-signal probability, and of group-sequential charts for lumped
//! data, is that of "Statistical Process Monitoring to Improve Quality Assurance of Inpatient
//! Care".

use std::time::Duration;

use super::Change;
use super::Policy;
use super::Sample;
use super::Weights;
use super::towards;
use super::value;
use super::value::Demand;

/// Half of the shift to be found, in standard deviations of one report.
const ALLOWANCE: f64 = 0.5;
/// Reports in which a false signal is to be improbable.
const RUN_REPORTS: f64 = 900.0;
/// Probability of a false signal in as many reports.
const FALSE_SIGNAL: f64 = 0.01;
/// Time constant of the demand's level.
const LEVEL_TIME: Duration = Duration::from_secs(8);
/// Reports from which the first reference is made.
const WARM_UP: u32 = 20;
/// Weight of a new sample in the spread of the share.
const SPREAD_GAIN: f64 = 0.03;
/// Spread of the share of one request before any was seen.
const FIRST_SPREAD: f64 = 0.35;

/// Cumulative sums of the prefill share.
#[derive(Debug, Clone)]
pub struct Cusum {
    weights: Weights,
    limit: f64,
    reference: f64,
    reference_requests: f64,
    reports: u32,
    last_share: Option<f64>,
    variance: f64,
    up: f64,
    down: f64,
    shifted: bool,
    level: Option<Demand>,
    why: String,
}

impl Cusum {
    /// Returns a policy for a service of given weights.
    ///
    /// ```
    /// use pistachiohall::role::{Cusum, Weights};
    /// assert!(Cusum::new(Weights::default()).limit() > 5.0);
    /// ```
    pub fn new(weights: Weights) -> Self {
        Cusum {
            weights,
            limit: control_limit(ALLOWANCE, RUN_REPORTS / FALSE_SIGNAL),
            reference: 0.0,
            reference_requests: 0.0,
            reports: 0,
            last_share: None,
            variance: FIRST_SPREAD * FIRST_SPREAD,
            up: 0.0,
            down: 0.0,
            shifted: false,
            level: None,
            why: String::new(),
        }
    }

    /// Returns the control limit, in standard deviations.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Takes in a report's share; returns whether a shift is certain.
    fn watch(&mut self, share: f64, requests: f64) -> bool {
        let requests = requests.max(1.0);
        if let Some(last) = self.last_share {
            let sample = (share - last) * (share - last) * requests / 2.0;
            self.variance += SPREAD_GAIN * (sample - self.variance);
        }
        self.last_share = Some(share);
        self.reports += 1;
        let known = self.reference_requests;
        if self.reports > WARM_UP {
            let variance = self.variance * (1.0 / requests + 1.0 / known.max(1.0));
            let deviation = (share - self.reference) / variance.sqrt().max(1e-6);
            self.up = (self.up + deviation - ALLOWANCE).max(0.0);
            self.down = (self.down - deviation - ALLOWANCE).max(0.0);
        }
        self.reference_requests += requests;
        self.reference += (share - self.reference) * requests / self.reference_requests;
        self.up > self.limit || self.down > self.limit
    }

    /// Takes the present mix as the new reference, known from about as many requests as the
    /// level remembers.
    fn restart(&mut self, share: f64, requests_per_s: f64) {
        self.reference = share;
        self.reference_requests = requests_per_s * LEVEL_TIME.as_secs_f64();
        self.up = 0.0;
        self.down = 0.0;
    }

    fn follow(&mut self, seen: &Sample) -> Demand {
        let gain = 1.0 - (-seen.span.as_secs_f64() / LEVEL_TIME.as_secs_f64()).exp();
        let mix = |old: f64, new: f64| old + gain * (new - old);
        let old = self.level.unwrap_or(Demand {
            prompt: seen.prompt_work,
            answer: seen.answer_work,
        });
        let level = Demand {
            prompt: mix(old.prompt, seen.prompt_work),
            answer: mix(old.answer, seen.answer_work),
        };
        self.level = Some(level);
        level
    }
}

impl Policy for Cusum {
    fn decide(&mut self, seen: &Sample) -> Option<Change> {
        let share = seen.share()?;
        let level = self.follow(seen);
        let level_share = level.prompt / (level.prompt + level.answer).max(f64::MIN_POSITIVE);
        if self.watch(share, seen.requests) {
            self.shifted = true;
            let span = seen.span.as_secs_f64().max(f64::MIN_POSITIVE);
            self.restart(level_share, seen.requests / span);
        }
        let engines = seen.standing();
        if engines < 2 || seen.changing > 0 {
            self.why = "a change is under way".to_owned();
            return None;
        }
        let (target, net) = value::target(level, seen.prefill, engines, self.weights);
        if target == seen.prefill || net <= 0.0 {
            self.why = format!(
                "share {level_share:.2}: {} prefill of {engines} stands, {target} would be worth {net:.1}",
                seen.prefill
            );
            self.shifted &= target != seen.prefill;
            return None;
        }
        if !self.shifted {
            self.why = format!(
                "share {level_share:.2}: a change would be worth {net:.1}, but no shift is certain: sums {:.1} and {:.1} of {:.1}",
                self.up, self.down, self.limit
            );
            return None;
        }
        let reason = format!(
            "share shifted to {level_share:.2}, {target} prefill of {engines} is worth {net:.1}"
        );
        towards(seen, target, reason)
    }

    fn explain(&self) -> String {
        self.why.clone()
    }
}

/// Returns the control limit at which false signals of a one-sided sum come `run` reports apart
/// on average, by Siegmund's approximation.
///
/// ```
/// use pistachiohall::role::cusum::control_limit;
/// let limit = control_limit(0.5, 465.0);
/// assert!((limit - 5.0).abs() < 0.5);
/// ```
pub fn control_limit(allowance: f64, run: f64) -> f64 {
    let length = |limit: f64| {
        let b = 2.0 * allowance * (limit + 1.166);
        (b.exp() - b - 1.0) / (2.0 * allowance * allowance)
    };
    let (mut low, mut high) = (0.0, 50.0);
    for _ in 0..60 {
        let middle = (low + high) / 2.0;
        match length(middle) < 2.0 * run {
            true => low = middle,
            false => high = middle,
        }
    }
    (low + high) / 2.0
}
