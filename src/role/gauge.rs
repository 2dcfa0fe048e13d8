//! Turns engines' counters into reports for the policy.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::id::UpstreamId;
use crate::upstream::Load;
use crate::upstream::Role;

use super::Seen;

/// Prompt tokens that an engine reads in one second, before any was measured.
const FIRST_PROMPT_RATE: f64 = 10_000.0;
/// Tokens that an engine generates in one second, before any was measured.
const FIRST_ANSWER_RATE: f64 = 2_000.0;
/// Weight of a measured rate that is below the highest known.
const RATE_DECAY: f64 = 0.001;
/// Prompt tokens that wait from which an engine reads as fast as it can.
const BUSY_BACKLOG: u64 = 1_000;

#[derive(Debug, Clone, Copy, Default)]
struct Counters {
    prompt: u64,
    backlog: u64,
    answer: u64,
}

/// Measures the work that arrives at the engines of one service.
#[derive(Debug)]
pub struct Gauge {
    start: Option<Instant>,
    last: Option<Instant>,
    counters: HashMap<UpstreamId, (uuid::Uuid, Counters)>,
    prompt_rate: f64,
    answer_rate: f64,
}

impl Default for Gauge {
    fn default() -> Self {
        Gauge {
            start: None,
            last: None,
            counters: HashMap::new(),
            prompt_rate: FIRST_PROMPT_RATE,
            answer_rate: FIRST_ANSWER_RATE,
        }
    }
}

impl Gauge {
    /// Takes in the engines' latest reports; `changing` are those with an open order.
    ///
    /// ```
    /// use std::time::Instant;
    /// use pistachiohall::role::Gauge;
    /// assert!(Gauge::default().measure(&[], Instant::now()).is_none());
    /// ```
    pub fn measure(&mut self, engines: &[(UpstreamId, Load, bool)], now: Instant) -> Option<Seen> {
        let start = *self.start.get_or_insert(now);
        let last = self.last.replace(now);
        let span = now.saturating_duration_since(last?);
        let mut prompt = 0.0;
        let mut answer = 0.0;
        for (name, load, _) in engines {
            let (read, generated) = self.grown(name, load, span);
            prompt += read;
            answer += generated;
        }
        let seconds = span.as_secs_f64().max(0.001);
        let count = |role| {
            let stands = |one: &&(UpstreamId, Load, bool)| !one.2 && one.1.role == role;
            engines.iter().filter(stands).count()
        };
        Some(Seen {
            at: now.saturating_duration_since(start),
            span,
            prefill: count(Role::Prefill),
            decode: count(Role::Decode),
            changing: engines.iter().filter(|one| one.2).count(),
            prompt_work: prompt / self.prompt_rate / seconds,
            answer_work: answer / self.answer_rate / seconds,
            requests: (prompt + answer) / 500.0,
        })
    }

    fn grown(&mut self, name: &UpstreamId, load: &Load, span: Duration) -> (f64, f64) {
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
        self.learn(old, read, generated, span);
        let waiting = new.backlog as f64 - old.backlog as f64;
        ((read + waiting).max(0.0), generated)
    }

    /// Learns how fast engines are from the fastest seen while they were busy.
    fn learn(&mut self, old: Counters, read: f64, generated: f64, span: Duration) {
        let seconds = span.as_secs_f64();
        if seconds < 0.2 {
            return;
        }
        let follow = |rate: &mut f64, seen: f64| match seen > *rate {
            true => *rate = seen,
            false => *rate += RATE_DECAY * (seen - *rate),
        };
        if old.backlog > BUSY_BACKLOG {
            follow(&mut self.prompt_rate, read / seconds);
        }
        if generated > 0.0 {
            follow(&mut self.answer_rate, generated / seconds);
        }
    }
}
