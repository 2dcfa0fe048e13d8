//! Value of a split between prefill and decode engines, and the cost of changing it.

use std::time::Duration;

use super::USABLE_SHARE;

/// Expected duration of a shift.
const SHIFT_DURATION: Duration = Duration::from_secs(60);
/// Time for which a change takes an engine out of use, including the time to become idle.
const CHANGE_DURATION: Duration = Duration::from_secs(12);

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

/// Work that arrives, in engine-seconds per second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// Prefill work.
    pub prompt: f64,
    /// Decode work.
    pub answer: f64,
}

/// Standard deviation of the load of a single engine, as a share of its capacity.
const LOAD_DEVIATION: f64 = 0.15;

/// Returns the share of arriving work that `engines` cannot serve within the latency targets.
///
/// Work arrives unevenly, the more so with few engines, so some of it is lost before the mean load
/// reaches the usable capacity.
fn lost_share(work: f64, engines: usize) -> f64 {
    if work <= 0.0 {
        return 0.0;
    }
    let engines = engines.max(1) as f64;
    let load = work / engines;
    let spread = LOAD_DEVIATION / engines.sqrt();
    let excess = (load - USABLE_SHARE) / spread;
    let smooth = spread * (1.0 + excess.min(50.0).exp()).ln();
    smooth.max(load - USABLE_SHARE) / load
}

/// Returns the work that a split cannot serve within the latency targets.
///
/// A request needs both prefill and decode, so if it is turned away the work of both is lost.
///
/// ```
/// use pistachiohall::role::value::Demand;
/// use pistachiohall::role::value::lost;
/// let demand = Demand { prompt: 4.25, answer: 1.0 };
/// assert!(lost(demand, 6, 3) < 0.2);
/// assert!(lost(demand, 4, 5) > 1.0);
/// ```
pub fn lost(demand: Demand, prefill: usize, decode: usize) -> f64 {
    let share = lost_share(demand.prompt, prefill).max(lost_share(demand.answer, decode));
    (demand.prompt + demand.answer) * share.min(1.0)
}

/// Returns the number of prefill engines with the highest net value, and that value.
///
/// ```
/// use pistachiohall::role::value::Demand;
/// use pistachiohall::role::value::Weights;
/// use pistachiohall::role::value::target;
/// let demand = Demand { prompt: 5.0, answer: 2.5 };
/// let eager = Weights { goodput: 1.0, role_change: 0.2 };
/// let slow = Weights { goodput: 0.01, role_change: 5.0 };
/// assert!(target(demand, 3, 9, eager).0 >= 5);
/// assert_eq!(target(demand, 3, 9, slow).0, 3);
/// ```
pub fn target(demand: Demand, current: usize, engines: usize, weights: Weights) -> (usize, f64) {
    (1..engines)
        .map(|split| (split, net_value(demand, current, split, engines, weights)))
        .max_by(|a, b| {
            a.1.total_cmp(&b.1)
                .then(b.0.abs_diff(current).cmp(&a.0.abs_diff(current)))
        })
        .unwrap_or((current, 0.0))
}

/// Returns the value of a change to `target` prefill engines minus its cost.
pub fn net_value(
    demand: Demand,
    current: usize,
    target: usize,
    engines: usize,
    weights: Weights,
) -> f64 {
    let changes = current.abs_diff(target) as f64;
    let gain = lost(demand, current, engines - current) - lost(demand, target, engines - target);
    let duration_s = changes * CHANGE_DURATION.as_secs_f64();
    let cost = weights.role_change * duration_s;
    weights.goodput * gain * SHIFT_DURATION.as_secs_f64() - cost
}
