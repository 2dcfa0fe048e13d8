//! Changes a role when one half is tight while the other is slack.

use std::time::Duration;

use super::Change;
use super::Policy;
use super::Sample;
use super::towards;

/// Use of a half from which it is tight.
const TIGHT: f64 = 0.85;
/// Use of the other half up to which it is slack.
const SLACK: f64 = 0.6;
/// Time for which both must last.
const HOLD: Duration = Duration::from_secs(5);

/// Thresholds with hysteresis.
#[derive(Debug, Clone, Default)]
pub struct Threshold {
    lasted: Duration,
    side: Option<bool>,
}

impl Policy for Threshold {
    fn decide(&mut self, seen: &Sample) -> Option<Change> {
        let prompt_use = seen.prompt_work / seen.prefill.max(1) as f64;
        let answer_use = seen.answer_work / seen.decode.max(1) as f64;
        let side = if prompt_use > TIGHT && answer_use < SLACK {
            Some(true)
        } else if answer_use > TIGHT && prompt_use < SLACK {
            Some(false)
        } else {
            None
        };
        self.lasted = match side == self.side {
            true => self.lasted + seen.span,
            false => Duration::ZERO,
        };
        self.side = side;
        if self.lasted < HOLD || seen.changing > 0 {
            return None;
        }
        let more_prefill = side?;
        self.lasted = Duration::ZERO;
        let target = match more_prefill {
            true => seen.prefill + super::batch(seen.standing()),
            false => seen.prefill.saturating_sub(super::batch(seen.standing())),
        };
        towards(
            seen,
            target,
            "one half is tight, the other slack".to_owned(),
        )
    }
}
