//! Records the end of a request in the log, the metrics and the histograms.

use std::time::Duration;
use std::time::Instant;

use cadence::Counted;
use cadence::Timed;
use log::info;

use crate::admit::limit::Observation;
use crate::clock::Clock;
use crate::core::Core;
use crate::histogram::Sample;
use crate::id::UpstreamId;
use crate::log::List;
use crate::log::Log;
use crate::problem::Outcome;

use super::Call;

/// Progress of one request.
#[derive(Debug, Clone, Default)]
pub struct Trace {
    /// Upstreams that it was sent to, in order.
    pub attempted: Vec<UpstreamId>,
    /// Time of arrival of its first token or response.
    pub first_token_at: Option<Instant>,
    /// Time of arrival of its latest token.
    pub last_token_at: Option<Instant>,
    /// Number of tokens received.
    pub tokens: u64,
    /// Time at which it was first sent; the latency of the upstream alone counts from here.
    pub sent_at: Option<Instant>,
}

impl Trace {
    /// Records the arrival of a token.
    pub fn record_token(&mut self, now: Instant) {
        self.first_token_at.get_or_insert(now);
        self.last_token_at = Some(now);
        self.tokens += 1;
    }

    /// Returns the mean time between tokens, or `None` for fewer than two tokens.
    pub fn between_tokens(&self) -> Option<Duration> {
        let span = self
            .last_token_at?
            .saturating_duration_since(self.first_token_at?);
        match self.tokens {
            0 | 1 => None,
            tokens => Some(span.div_f64((tokens - 1) as f64)),
        }
    }

    /// Returns the latencies as ratios of the targets of the class.
    pub fn observation(&self, call: &Call) -> Option<Observation> {
        let first = self
            .first_token_at?
            .saturating_duration_since(self.sent_at?);
        let ratio = |measured: Duration, target: Duration| {
            measured.as_secs_f64() / target.as_secs_f64().max(f64::MIN_POSITIVE)
        };
        let between = self.between_tokens().unwrap_or_default();
        Some(Observation {
            rank: call.class.rank,
            first_token: ratio(first, call.class.first_token),
            between_tokens: ratio(between, call.class.between_tokens),
        })
    }
}

/// Records the end of a request in the log, the metrics and the histograms.
pub fn account<C, P>(core: &Core<C, P>, call: &Call, trace: &Trace, failed: Option<Outcome>)
where
    C: Clock + Clone,
    P: Log + List,
{
    let total = core.clock.now().saturating_duration_since(call.arrived);
    let first = trace
        .first_token_at
        .map(|at| at.saturating_duration_since(call.arrived));
    let outcome = failed.map_or("whole", Outcome::word);
    core.histograms.add(&Sample {
        service: call.service.name.clone(),
        class: call.class.name.clone(),
        account: call.account.name.clone(),
        first_token: first,
        between_tokens: trace.between_tokens(),
        total,
        failed,
    });
    let _ = core
        .metrics
        .count_with_tags("requests", 1)
        .with_tag("service", &call.service.name)
        .with_tag("class", &call.class.name)
        .with_tag("outcome", outcome)
        .try_send();
    let _ = core
        .metrics
        .time_with_tags("total", total)
        .with_tag("service", &call.service.name)
        .with_tag("class", &call.class.name)
        .try_send();
    info!(
        request:% = call.request,
        caller:% = call.account.name,
        service:% = call.service.name,
        class:% = call.class.name,
        upstream:% = trace.attempted.last().map_or("-", |name| name.as_str()),
        tokens = trace.tokens,
        first_ms = first.map_or(-1, |period| period.as_millis() as i64),
        total_ms = total.as_millis() as u64,
        outcome = outcome;
        "request ended"
    );
}
