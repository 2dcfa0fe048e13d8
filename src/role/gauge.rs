//! Turns engines' counters into reports for the policy.

use std::collections::HashMap;
use std::time::Instant;

use crate::id::UpstreamId;
use crate::upstream::Load;
use crate::upstream::Role;

use super::Sample;

/// Prompt tokens that an engine reads in one second, if it does not say.
const USUAL_PROMPT_RATE: f64 = 10_000.0;
/// Tokens that make up a request, as an estimate.
const TOKENS_OF_REQUEST: f64 = 500.0;
/// Tokens that an engine generates in one second, if it does not say.
const USUAL_ANSWER_RATE: f64 = 2_000.0;

#[derive(Debug, Clone, Copy, Default)]
struct Counters {
    prompt: u64,
    backlog: u64,
    answer: u64,
}

/// Measures the work that arrives at the engines of one service.
#[derive(Debug, Default)]
pub struct DemandMeter {
    start: Option<Instant>,
    last: Option<Instant>,
    counters: HashMap<UpstreamId, (uuid::Uuid, Counters)>,
}

impl DemandMeter {
    /// Takes in the engines' latest reports; `changing` are those with an open order.
    ///
    /// ```
    /// use std::time::Instant;
    /// use pistachiohall::role::DemandMeter;
    /// assert!(DemandMeter::default().measure(&[], Instant::now()).is_none());
    /// ```
    pub fn measure(
        &mut self,
        engines: &[(UpstreamId, Load, bool)],
        now: Instant,
    ) -> Option<Sample> {
        let start = *self.start.get_or_insert(now);
        let last = self.last.replace(now);
        let span = now.saturating_duration_since(last?);
        let mut prompt = 0.0;
        let mut answer = 0.0;
        let mut tokens = 0.0;
        for (name, load, _) in engines {
            let (read, generated) = self.grown(name, load);
            prompt += read / rate(load.prompt_rate, USUAL_PROMPT_RATE);
            answer += generated / rate(load.answer_rate, USUAL_ANSWER_RATE);
            tokens += read + generated;
        }
        let seconds = span.as_secs_f64().max(0.001);
        let count = |role| {
            let stands = |one: &&(UpstreamId, Load, bool)| !one.2 && one.1.role == role;
            engines.iter().filter(stands).count()
        };
        Some(Sample {
            at: now.saturating_duration_since(start),
            span,
            prefill: count(Role::Prefill),
            decode: count(Role::Decode),
            changing: engines.iter().filter(|one| one.2).count(),
            prompt_work: prompt / seconds,
            answer_work: answer / seconds,
            requests: tokens / TOKENS_OF_REQUEST,
        })
    }

    fn grown(&mut self, name: &UpstreamId, load: &Load) -> (f64, f64) {
        let new = Counters {
            prompt: load.prompt_tokens,
            backlog: load.prompt_backlog,
            answer: load.generated_tokens,
        };
        let old = self.counters.insert(name.clone(), (load.boot_id, new));
        let Some((_, old)) = old.filter(|(boot_id, _)| *boot_id == load.boot_id) else {
            return (0.0, 0.0);
        };
        let read = new.prompt.saturating_sub(old.prompt) as f64;
        let generated = new.answer.saturating_sub(old.answer) as f64;
        let waiting = new.backlog as f64 - old.backlog as f64;
        ((read + waiting).max(0.0), generated)
    }
}

fn rate(said: f64, usual: f64) -> f64 {
    match said > 0.0 {
        true => said,
        false => usual,
    }
}
