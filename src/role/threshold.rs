//! Policy that changes a role when one role is overloaded while the other is underused.

use std::time::Duration;

use super::Change;
use super::Policy;
use super::Sample;
use super::change_towards;

/// Load per engine above which a role is overloaded.
const OVERLOAD_THRESHOLD: f64 = 0.85;
/// Load per engine below which a role is underused.
const UNDERUSE_THRESHOLD: f64 = 0.6;
/// Duration for which both must last before a change.
const MIN_DURATION: Duration = Duration::from_secs(5);

/// Load thresholds with hysteresis.
#[derive(Debug, Clone, Default)]
pub struct Threshold {
    duration: Duration,
    /// Whether prefill rather than decode needs more engines.
    needs_prefill: Option<bool>,
}

impl Policy for Threshold {
    fn decide(&mut self, sample: &Sample) -> Option<Change> {
        let prefill_load = sample.prefill_work / sample.prefill.max(1) as f64;
        let decode_load = sample.decode_work / sample.decode.max(1) as f64;
        let needs_prefill = if prefill_load > OVERLOAD_THRESHOLD && decode_load < UNDERUSE_THRESHOLD
        {
            Some(true)
        } else if decode_load > OVERLOAD_THRESHOLD && prefill_load < UNDERUSE_THRESHOLD {
            Some(false)
        } else {
            None
        };
        self.duration = match needs_prefill == self.needs_prefill {
            true => self.duration + sample.span,
            false => Duration::ZERO,
        };
        self.needs_prefill = needs_prefill;
        if self.duration < MIN_DURATION || sample.changing > 0 {
            return None;
        }
        let needs_prefill = needs_prefill?;
        self.duration = Duration::ZERO;
        let target = match needs_prefill {
            true => sample.prefill + super::max_concurrent_changes(sample.assigned()),
            false => sample
                .prefill
                .saturating_sub(super::max_concurrent_changes(sample.assigned())),
        };
        change_towards(
            sample,
            target,
            "one half is tight, the other slack".to_owned(),
        )
    }
}
