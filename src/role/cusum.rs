//! Policy that changes roles only after a significant shift of the mix, not on noise.
//!
//! A two-sided CUSUM chart: cumulative sums, up and down, of the standardised deviation of the
//! prefill share from its running mean since the last shift. The control limit is derived from the
//! probability of a false signal. Reports that arrive late and together are treated as one group,
//! weighted by the requests in them. Limits set by the false-signal probability and
//! group-sequential charts are taken from "Statistical Process Monitoring to Improve Quality
//! Assurance of Inpatient Care".

use std::time::Duration;

use super::Change;
use super::Policy;
use super::Sample;
use super::Weights;
use super::change_towards;
use super::value;
use super::value::Demand;

/// Half of the shift to be detected, in standard deviations of one report.
const ALLOWANCE: f64 = 0.5;
/// Number of reports to which `FALSE_SIGNAL_PROBABILITY` applies.
const FALSE_SIGNAL_REPORTS: f64 = 900.0;
/// Probability of a false signal within `FALSE_SIGNAL_REPORTS`.
const FALSE_SIGNAL_PROBABILITY: f64 = 0.01;
/// Time constant of the smoothed demand.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(8);
/// Number of reports that make up the first reference, before the sums start.
const WARM_UP_REPORTS: u32 = 20;
/// Weight of a new sample in the variance of the share.
const VARIANCE_GAIN: f64 = 0.03;
/// Initial standard deviation of the share of one request.
const INITIAL_DEVIATION: f64 = 0.35;

/// CUSUM chart of the prefill share.
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
    has_shifted: bool,
    demand: Option<Demand>,
    explanation: String,
}

impl Cusum {
    /// Returns a policy for a service with the given weights.
    ///
    /// ```
    /// use pistachiohall::role::Cusum;
    /// use pistachiohall::role::Weights;
    /// assert!(Cusum::new(Weights::default()).limit() > 5.0);
    /// ```
    pub fn new(weights: Weights) -> Self {
        Cusum {
            weights,
            limit: control_limit(ALLOWANCE, FALSE_SIGNAL_REPORTS / FALSE_SIGNAL_PROBABILITY),
            reference: 0.0,
            reference_requests: 0.0,
            reports: 0,
            last_share: None,
            variance: INITIAL_DEVIATION * INITIAL_DEVIATION,
            up: 0.0,
            down: 0.0,
            has_shifted: false,
            demand: None,
            explanation: String::new(),
        }
    }

    /// Returns the control limit, in standard deviations.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Adds the share of a report to the sums; returns `true` if a shift is significant.
    fn detect_shift(&mut self, share: f64, requests: f64) -> bool {
        let requests = requests.max(1.0);
        if let Some(last) = self.last_share {
            let sample = (share - last) * (share - last) * requests / 2.0;
            self.variance += VARIANCE_GAIN * (sample - self.variance);
        }
        self.last_share = Some(share);
        self.reports += 1;
        let reference_requests = self.reference_requests;
        if self.reports > WARM_UP_REPORTS {
            let variance = self.variance * (1.0 / requests + 1.0 / reference_requests.max(1.0));
            let deviation = (share - self.reference) / variance.sqrt().max(1e-6);
            self.up = (self.up + deviation - ALLOWANCE).max(0.0);
            self.down = (self.down - deviation - ALLOWANCE).max(0.0);
        }
        self.reference_requests += requests;
        self.reference += (share - self.reference) * requests / self.reference_requests;
        self.up > self.limit || self.down > self.limit
    }

    /// Resets the sums and makes the current mix the reference, with the weight of the requests
    /// that the smoothed demand covers.
    fn reset(&mut self, share: f64, requests_per_s: f64) {
        self.reference = share;
        self.reference_requests = requests_per_s * DEMAND_TIME_CONSTANT.as_secs_f64();
        self.up = 0.0;
        self.down = 0.0;
    }

    /// Updates the smoothed demand with a report and returns it.
    fn update_demand(&mut self, sample: &Sample) -> Demand {
        let gain = 1.0 - (-sample.span.as_secs_f64() / DEMAND_TIME_CONSTANT.as_secs_f64()).exp();
        let mix = |old: f64, new: f64| old + gain * (new - old);
        let old = self.demand.unwrap_or(Demand {
            prompt: sample.prefill_work,
            answer: sample.decode_work,
        });
        let demand = Demand {
            prompt: mix(old.prompt, sample.prefill_work),
            answer: mix(old.answer, sample.decode_work),
        };
        self.demand = Some(demand);
        demand
    }
}

impl Policy for Cusum {
    fn decide(&mut self, sample: &Sample) -> Option<Change> {
        let share = sample.prefill_share()?;
        let demand = self.update_demand(sample);
        let level_share = demand.prompt / (demand.prompt + demand.answer).max(f64::MIN_POSITIVE);
        if self.detect_shift(share, sample.requests) {
            self.has_shifted = true;
            let span = sample.span.as_secs_f64().max(f64::MIN_POSITIVE);
            self.reset(level_share, sample.requests / span);
        }
        let engines = sample.assigned();
        if engines < 2 || sample.changing > 0 {
            self.explanation = "a change is under way".to_owned();
            return None;
        }
        let (target, net) = value::target(demand, sample.prefill, engines, self.weights);
        if target == sample.prefill || net <= 0.0 {
            self.explanation = format!(
                "share {level_share:.2}: {} prefill of {engines} stands, {target} would be worth {net:.1}",
                sample.prefill
            );
            self.has_shifted &= target != sample.prefill;
            return None;
        }
        if !self.has_shifted {
            self.explanation = format!(
                "share {level_share:.2}: a change would be worth {net:.1}, but no shift is certain: sums {:.1} and {:.1} of {:.1}",
                self.up, self.down, self.limit
            );
            return None;
        }
        let reason = format!(
            "share shifted to {level_share:.2}, {target} prefill of {engines} is worth {net:.1}"
        );
        change_towards(sample, target, reason)
    }

    fn explain(&self) -> String {
        self.explanation.clone()
    }
}

/// Returns the control limit at which false signals of a one-sided sum are `run_length` reports
/// apart on average, by Siegmund's approximation.
///
/// ```
/// use pistachiohall::role::cusum::control_limit;
/// let limit = control_limit(0.5, 465.0);
/// assert!((limit - 5.0).abs() < 0.5);
/// ```
pub fn control_limit(allowance: f64, run_length: f64) -> f64 {
    let modelled_length = |limit: f64| {
        let b = 2.0 * allowance * (limit + 1.166);
        (b.exp() - b - 1.0) / (2.0 * allowance * allowance)
    };
    let (mut low, mut high) = (0.0, 50.0);
    for _ in 0..60 {
        let middle = (low + high) / 2.0;
        match modelled_length(middle) < 2.0 * run_length {
            true => low = middle,
            false => high = middle,
        }
    }
    (low + high) / 2.0
}
