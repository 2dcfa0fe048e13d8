//! Policies that assign roles to engines as the mix of prefill and decode work shifts.
//!
//! Work is measured as engine-seconds that arrive per second, separately for prefill and decode.
//! See `docs/POLICY.md` for a comparison of the policies.

pub mod cusum;
pub mod ewma;
pub mod fixed;
pub mod gauge;
pub mod threshold;
pub mod value;

use std::time::Duration;

use crate::upstream::Role;

pub use self::cusum::Cusum;
pub use self::ewma::Ewma;
pub use self::fixed::Fixed;
pub use self::gauge::DemandMeter;
pub use self::threshold::Threshold;
pub use self::value::Weights;

/// Share of a role's capacity that can be used within the latency targets.
pub const USABLE_SHARE: f64 = 0.85;

/// Measurements of one report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample {
    /// Time since the policy's start.
    pub at: Duration,
    /// Time that the report covers; longer if reports were lost.
    pub span: Duration,
    /// Number of prefill engines, without those that are changing.
    pub prefill: usize,
    /// Number of decode engines, without those that are changing.
    pub decode: usize,
    /// Number of engines that are changing their role.
    pub changing: usize,
    /// Prefill work that arrived, in engine-seconds per second.
    pub prefill_work: f64,
    /// Decode work that arrived, in engine-seconds per second.
    pub decode_work: f64,
    /// Estimated number of requests that arrived.
    pub requests: f64,
}

impl Sample {
    /// Returns the share of prefill in the work that arrived, or `None` if there was none.
    pub fn prefill_share(&self) -> Option<f64> {
        let all = self.prefill_work + self.decode_work;
        (all > 0.0).then(|| self.prefill_work / all)
    }

    /// Returns the number of engines that are not changing.
    pub fn assigned(&self) -> usize {
        self.prefill + self.decode
    }
}

/// Change of a number of engines to a role.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The new role.
    pub role: Role,
    /// Number of engines.
    pub engines: usize,
    /// Reason, for operators.
    pub reason: String,
}

/// Decides on role changes after each report.
pub trait Policy {
    /// Processes a report and returns the change to make, if any.
    fn decide(&mut self, sample: &Sample) -> Option<Change>;

    /// Returns the reason why nothing is changed, for operators; empty if there is none to give.
    fn explain(&self) -> String {
        String::new()
    }
}

/// Returns the maximum number of engines that may change at once.
///
/// ```
/// assert_eq!(pistachiohall::role::max_concurrent_changes(9), 1);
/// assert_eq!(pistachiohall::role::max_concurrent_changes(400), 16);
/// ```
pub fn max_concurrent_changes(engines: usize) -> usize {
    (engines / 24).max(1)
}

/// Returns a change towards `target` prefill engines, or `None` if no engine can change.
///
/// At least one engine of each role stays.
pub fn change_towards(sample: &Sample, target: usize, reason: String) -> Option<Change> {
    let max_engines = max_concurrent_changes(sample.assigned());
    let target = target.clamp(1, sample.assigned().saturating_sub(1).max(1));
    let (role, missing, available) = match target > sample.prefill {
        true => (Role::Prefill, target - sample.prefill, sample.decode),
        false => (Role::Decode, sample.prefill - target, sample.prefill),
    };
    let engines = missing.min(max_engines).min(available.saturating_sub(1));
    (engines > 0).then_some(Change {
        role,
        engines,
        reason,
    })
}
