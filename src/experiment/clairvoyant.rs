//! A policy that knows the trace ahead.

use std::time::Duration;

use crate::role::Change;
use crate::role::Policy;
use crate::role::Sample;
use crate::role::change_towards;
use crate::role::value::Demand;
use crate::role::value::lost;

use super::trace::LENGTH_S;
use super::trace::Scenario;

/// Time between two points of the plan, in seconds.
const POINT_S: f64 = 4.0;
/// Time by which a change is begun ahead of its effect, in seconds.
const LEAD_S: f64 = 8.0;
/// Work lost by one change, in engine-seconds.
const CHANGE_COST: f64 = 8.0;

/// The best split over time, by dynamic programming over the known trace.
#[derive(Debug, Clone)]
pub struct Clairvoyant {
    plan: Vec<usize>,
}

impl Clairvoyant {
    /// Plans for a trace.
    ///
    /// ```
    /// use pistachiohall::experiment::clairvoyant::Clairvoyant;
    /// use pistachiohall::experiment::trace::{Scenario, Trace};
    /// let of = |trace| Clairvoyant::new(Scenario { trace, engines: 9, load: 0.75 });
    /// assert_eq!(of(Trace::Steady).changes(), 0);
    /// assert!(of(Trace::Shift).changes() > 4);
    /// ```
    pub fn new(scenario: Scenario) -> Self {
        let Scenario {
            trace,
            engines,
            load,
        } = scenario;
        let points = (LENGTH_S / POINT_S) as usize;
        let most = crate::role::max_concurrent_changes(engines) * 2;
        let loss = |point: usize, prefill: usize| {
            let at = point as f64 * POINT_S;
            let all = load * trace.demand(at) * engines as f64;
            let demand = Demand {
                prompt: all * trace.share(at),
                answer: all * (1.0 - trace.share(at)),
            };
            let standing = engines - trace.away(at, engines);
            let split = prefill.min(standing - 1);
            lost(demand, split, standing - split) * POINT_S
        };
        let mut costs: Vec<Vec<f64>> =
            vec![(1..engines).map(|split| loss(points, split)).collect()];
        for point in (0..points).rev() {
            let next = costs.last().expect("a row was put in");
            let row = (1..engines)
                .map(|split| loss(point, split) + cheapest(next, split, most).1)
                .collect();
            costs.push(row);
        }
        costs.reverse();
        Clairvoyant {
            plan: follow(&costs, most),
        }
    }

    /// Returns the split at the start.
    pub fn first(&self) -> usize {
        self.plan[0]
    }

    /// Returns how many engines change their role over the trace.
    pub fn changes(&self) -> usize {
        self.plan
            .windows(2)
            .map(|pair| pair[0].abs_diff(pair[1]))
            .sum()
    }

    fn at(&self, seconds: f64) -> usize {
        let point = (seconds / POINT_S) as usize;
        self.plan[point.min(self.plan.len() - 1)]
    }
}

/// Returns the best next split and its cost, no further than `most` engines away.
fn cheapest(next: &[f64], split: usize, most: usize) -> (usize, f64) {
    let low = split.saturating_sub(most).max(1);
    let high = (split + most).min(next.len());
    (low..=high)
        .map(|other| {
            (
                other,
                next[other - 1] + CHANGE_COST * split.abs_diff(other) as f64,
            )
        })
        .min_by(|a, b| a.1.total_cmp(&b.1))
        .expect("the own split is among them")
}

fn follow(costs: &[Vec<f64>], most: usize) -> Vec<usize> {
    let first = (0..costs[0].len())
        .min_by(|a, b| costs[0][*a].total_cmp(&costs[0][*b]))
        .map_or(1, |index| index + 1);
    let mut plan = vec![first];
    for row in &costs[1..] {
        let split = *plan.last().expect("a split was put in");
        plan.push(cheapest(row, split, most).0);
    }
    plan
}

impl Policy for Clairvoyant {
    fn decide(&mut self, seen: &Sample) -> Option<Change> {
        let ahead = seen.at + Duration::from_secs_f64(LEAD_S);
        let target = self.at(ahead.as_secs_f64());
        let coming = seen.prefill + seen.changing;
        if target > seen.prefill && coming >= target && seen.changing > 0 {
            return None;
        }
        if target < seen.prefill || coming < target {
            return change_towards(seen, target, "known ahead".to_owned());
        }
        None
    }
}
