//! Policy that follows the smoothed demand whenever a change has a positive net value.

use std::time::Duration;

use super::Change;
use super::Policy;
use super::Sample;
use super::Weights;
use super::change_towards;
use super::value;
use super::value::Demand;

/// Time constant of the smoothing.
const TIME_CONSTANT: Duration = Duration::from_secs(10);

/// Exponentially weighted moving average of the demand.
#[derive(Debug, Clone, Default)]
pub struct Ewma {
    weights: Weights,
    demand: Option<Demand>,
}

impl Ewma {
    /// Returns a policy for a service with the given weights.
    pub fn new(weights: Weights) -> Self {
        Ewma {
            weights,
            demand: None,
        }
    }

    /// Updates the average with a report and returns the smoothed demand.
    pub fn update(&mut self, sample: &Sample) -> Demand {
        let gain = 1.0 - (-sample.span.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        let mix = |old: f64, new: f64| old + gain * (new - old);
        let new = Demand {
            prompt: sample.prefill_work,
            answer: sample.decode_work,
        };
        let smoothed = self.demand.map_or(new, |old| Demand {
            prompt: mix(old.prompt, new.prompt),
            answer: mix(old.answer, new.answer),
        });
        self.demand = Some(smoothed);
        smoothed
    }
}

impl Policy for Ewma {
    fn decide(&mut self, sample: &Sample) -> Option<Change> {
        let demand = self.update(sample);
        if sample.changing > 0 || sample.assigned() < 2 {
            return None;
        }
        let engines = sample.assigned();
        let (target, net) = value::target(demand, sample.prefill, engines, self.weights);
        let change = change_towards(sample, target, format!("smoothed demand, worth {net:.1}"))?;
        (net > 0.0).then_some(change)
    }
}
