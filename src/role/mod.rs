//! In which role each engine stands, as the mix of prompts and answers shifts.
//!
//! Work is counted in engine-seconds, arriving in each second, apart for reading prompts and
//! for generating. See `docs/POLICY.md` for the ways weighed.

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

/// Share of a role's capacity that may be used while latency targets hold.
pub const USABLE: f64 = 0.85;

/// What one report says.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample {
    /// Time since the policy's start.
    pub at: Duration,
    /// Time that the report covers; longer when reports were lost.
    pub span: Duration,
    /// Engines that read prompts, none that are being changed.
    pub prefill: usize,
    /// Engines that generate, none that are being changed.
    pub decode: usize,
    /// Engines that are being changed.
    pub changing: usize,
    /// Work of reading prompts that arrived, in engine-seconds for each second.
    pub prompt_work: f64,
    /// Work of generating that arrived, in engine-seconds for each second.
    pub answer_work: f64,
    /// Requests that arrived.
    pub requests: f64,
}

impl Sample {
    /// Returns the share of reading in the work that arrived.
    pub fn share(&self) -> Option<f64> {
        let all = self.prompt_work + self.answer_work;
        (all > 0.0).then(|| self.prompt_work / all)
    }

    /// Returns the engines that stand in a role.
    pub fn standing(&self) -> usize {
        self.prefill + self.decode
    }
}

/// Engines to be changed to a role.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The new role.
    pub role: Role,
    /// How many engines.
    pub engines: usize,
    /// Why, for operators.
    pub reason: String,
}

/// Decides on role changes, report by report.
pub trait Policy {
    /// Takes in a report and decides.
    fn decide(&mut self, seen: &Sample) -> Option<Change>;

    /// Says why nothing was changed, if that is worth knowing.
    fn explain(&self) -> String {
        String::new()
    }
}

/// Returns how many engines may be changed at once.
///
/// ```
/// assert_eq!(pistachiohall::role::batch(9), 1);
/// assert_eq!(pistachiohall::role::batch(400), 16);
/// ```
pub fn batch(engines: usize) -> usize {
    (engines / 24).max(1)
}

/// Returns a change towards `target` prefill engines, if it differs from what stands.
///
/// One engine of each role always stays.
pub fn towards(seen: &Sample, target: usize, reason: String) -> Option<Change> {
    let most = batch(seen.standing());
    let target = target.clamp(1, seen.standing().saturating_sub(1).max(1));
    let (role, missing, spare) = match target > seen.prefill {
        true => (Role::Prefill, target - seen.prefill, seen.decode),
        false => (Role::Decode, seen.prefill - target, seen.prefill),
    };
    let engines = missing.min(most).min(spare.saturating_sub(1));
    (engines > 0).then_some(Change {
        role,
        engines,
        reason,
    })
}
