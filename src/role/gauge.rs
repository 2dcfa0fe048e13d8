//! Measurement of the arriving work from the counters of the engines.

use std::collections::HashMap;
use std::time::Instant;

use crate::id::UpstreamId;
use crate::upstream::Load;
use crate::upstream::Role;

use super::Sample;

/// Prefill speed assumed for an engine that does not report it.
const DEFAULT_PREFILL_TOKENS_PER_S: f64 = 10_000.0;
/// Estimated tokens of a request, prompt and generated ones together.
const TOKENS_PER_REQUEST: f64 = 500.0;
/// Decode speed assumed for an engine that does not report it.
const DEFAULT_DECODE_TOKENS_PER_S: f64 = 2_000.0;

#[derive(Debug, Clone, Copy, Default)]
struct Counters {
    prompt_tokens: u64,
    prompt_backlog: u64,
    generated_tokens: u64,
}

/// Measures the work that arrives at the engines of one service.
#[derive(Debug, Default)]
pub struct DemandMeter {
    start: Option<Instant>,
    last: Option<Instant>,
    counters: HashMap<UpstreamId, (uuid::Uuid, Counters)>,
}

impl DemandMeter {
    /// Returns the work since the last call from the latest reports of the engines, or `None` at
    /// the first call.
    ///
    /// The flag of each engine is `true` while it has an open order.
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
        let mut prefill_work = 0.0;
        let mut decode_work = 0.0;
        let mut tokens = 0.0;
        for (name, load, _) in engines {
            let (prompt_tokens, generated_tokens) = self.arrived_tokens(name, load);
            prefill_work += prompt_tokens / rate(load.prompt_rate, DEFAULT_PREFILL_TOKENS_PER_S);
            decode_work += generated_tokens / rate(load.answer_rate, DEFAULT_DECODE_TOKENS_PER_S);
            tokens += prompt_tokens + generated_tokens;
        }
        let seconds = span.as_secs_f64().max(0.001);
        let count = |role| {
            let has_role = |engine: &&(UpstreamId, Load, bool)| !engine.2 && engine.1.role == role;
            engines.iter().filter(has_role).count()
        };
        Some(Sample {
            at: now.saturating_duration_since(start),
            span,
            prefill: count(Role::Prefill),
            decode: count(Role::Decode),
            changing: engines.iter().filter(|engine| engine.2).count(),
            prefill_work: prefill_work / seconds,
            decode_work: decode_work / seconds,
            requests: tokens / TOKENS_PER_REQUEST,
        })
    }

    /// Returns the prompt tokens and the generated tokens that arrived since the last report; zero
    /// for an engine that is new or has restarted.
    fn arrived_tokens(&mut self, name: &UpstreamId, load: &Load) -> (f64, f64) {
        let new = Counters {
            prompt_tokens: load.prompt_tokens,
            prompt_backlog: load.prompt_backlog,
            generated_tokens: load.generated_tokens,
        };
        let old = self.counters.insert(name.clone(), (load.boot_id, new));
        let Some((_, old)) = old.filter(|(boot_id, _)| *boot_id == load.boot_id) else {
            return (0.0, 0.0);
        };
        let prefilled = new.prompt_tokens.saturating_sub(old.prompt_tokens) as f64;
        let generated = new.generated_tokens.saturating_sub(old.generated_tokens) as f64;
        let backlog_growth = new.prompt_backlog as f64 - old.prompt_backlog as f64;
        ((prefilled + backlog_growth).max(0.0), generated)
    }
}

fn rate(reported: f64, fallback: f64) -> f64 {
    match reported > 0.0 {
        true => reported,
        false => fallback,
    }
}
