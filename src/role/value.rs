//! What a split is worth, and what a change to it costs.

use std::time::Duration;

use super::USABLE;

/// Time over which a shift is expected to last.
const HORIZON: Duration = Duration::from_secs(60);
/// Time for which a change takes an engine away, with what it does to become idle.
const AWAY: Duration = Duration::from_secs(12);

/// Weights of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Weights {
    /// Weight of goodput.
    pub goodput: f64,
    /// Weight of a role change.
    pub role_change: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Weights {
            goodput: 1.0,
            role_change: 0.2,
        }
    }
}

/// Work that arrives in each second, in engine-seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// Work of reading prompts.
    pub prompt: f64,
    /// Work of generating.
    pub answer: f64,
}

/// Spread of the load of a single engine, as a share of its capacity.
const SPREAD: f64 = 0.15;

/// Returns the share of arriving work that `engines` cannot serve within the latency targets.
///
/// Work comes unevenly, the more so for few engines, so that some is lost before the mean load
/// reaches the usable capacity.
fn lost_share(work: f64, engines: usize) -> f64 {
    if work <= 0.0 {
        return 0.0;
    }
    let engines = engines.max(1) as f64;
    let load = work / engines;
    let spread = SPREAD / engines.sqrt();
    let over = (load - USABLE) / spread;
    let smooth = spread * (1.0 + over.min(50.0).exp()).ln();
    smooth.max(load - USABLE) / load
}

/// Returns the work that a split cannot serve within the latency targets.
///
/// A request needs both halves, so the work of one that is turned away is lost in both.
///
/// ```
/// use pistachiohall::role::value::{Demand, lost};
/// let demand = Demand { prompt: 4.25, answer: 1.0 };
/// assert!(lost(demand, 6, 3) < 0.2);
/// assert!(lost(demand, 4, 5) > 1.0);
/// ```
pub fn lost(demand: Demand, prefill: usize, decode: usize) -> f64 {
    let both = lost_share(demand.prompt, prefill).max(lost_share(demand.answer, decode));
    (demand.prompt + demand.answer) * both.min(1.0)
}

/// Returns the split that is worth most after the cost of the changes, and that worth.
///
/// ```
/// use pistachiohall::role::value::{Demand, Weights, target};
/// let demand = Demand { prompt: 5.0, answer: 2.5 };
/// let eager = Weights { goodput: 1.0, role_change: 0.2 };
/// let slow = Weights { goodput: 0.01, role_change: 5.0 };
/// assert!(target(demand, 3, 9, eager).0 >= 5);
/// assert_eq!(target(demand, 3, 9, slow).0, 3);
/// ```
pub fn target(demand: Demand, now: usize, engines: usize, weights: Weights) -> (usize, f64) {
    (1..engines)
        .map(|split| (split, net(demand, now, split, engines, weights)))
        .max_by(|a, b| {
            a.1.total_cmp(&b.1)
                .then(b.0.abs_diff(now).cmp(&a.0.abs_diff(now)))
        })
        .unwrap_or((now, 0.0))
}

/// Returns what a change towards `target` prefill engines is worth, less what it costs.
pub fn net(demand: Demand, now: usize, target: usize, engines: usize, weights: Weights) -> f64 {
    let changes = now.abs_diff(target) as f64;
    let gain = lost(demand, now, engines - now) - lost(demand, target, engines - target);
    let away = changes * AWAY.as_secs_f64();
    let cost = weights.role_change * away;
    weights.goodput * gain * HORIZON.as_secs_f64() - cost
}
