//! Follows a smoothed demand whenever the change pays.

use std::time::Duration;

use super::Change;
use super::Policy;
use super::Sample;
use super::Weights;
use super::towards;
use super::value;
use super::value::Demand;

/// Time constant of the smoothing.
const TIME_CONSTANT: Duration = Duration::from_secs(10);

/// Exponentially weighted moving averages of the demand.
#[derive(Debug, Clone, Default)]
pub struct Ewma {
    weights: Weights,
    demand: Option<Demand>,
}

impl Ewma {
    /// Returns a policy for a service of given weights.
    pub fn new(weights: Weights) -> Self {
        Ewma {
            weights,
            demand: None,
        }
    }

    /// Takes in a report and returns the smoothed demand.
    pub fn smooth(&mut self, seen: &Sample) -> Demand {
        let gain = 1.0 - (-seen.span.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp();
        let mix = |old: f64, new: f64| old + gain * (new - old);
        let new = Demand {
            prompt: seen.prompt_work,
            answer: seen.answer_work,
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
    fn decide(&mut self, seen: &Sample) -> Option<Change> {
        let demand = self.smooth(seen);
        if seen.changing > 0 || seen.standing() < 2 {
            return None;
        }
        let engines = seen.standing();
        let (target, net) = value::target(demand, seen.prefill, engines, self.weights);
        let change = towards(seen, target, format!("smoothed demand, worth {net:.1}"))?;
        (net > 0.0).then_some(change)
    }
}
