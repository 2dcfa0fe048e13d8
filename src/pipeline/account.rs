//! Notes how a request ended.

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

/// Course of one request.
#[derive(Debug, Clone, Default)]
pub struct Trace {
    /// Upstreams that it was sent to, in order.
    pub tried: Vec<UpstreamId>,
    /// When its first token or answer came.
    pub first: Option<Instant>,
    /// When its latest token came.
    pub last: Option<Instant>,
    /// Tokens that came.
    pub tokens: u64,
    /// Latencies of the upstream alone, counted from the start of the call.
    pub sent: Option<Instant>,
}

impl Trace {
    /// Counts a token.
    pub fn note_token(&mut self, now: Instant) {
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.tokens += 1;
    }

    /// Returns the mean time between tokens.
    pub fn between_tokens(&self) -> Option<Duration> {
        let span = self.last?.saturating_duration_since(self.first?);
        match self.tokens {
            0 | 1 => None,
            tokens => Some(span.div_f64((tokens - 1) as f64)),
        }
    }

    /// Returns the latencies against the targets of the class.
    pub fn observation(&self, call: &Call) -> Option<Observation> {
        let first = self.first?.saturating_duration_since(self.sent?);
        let ratio = |seen: Duration, target: Duration| {
            seen.as_secs_f64() / target.as_secs_f64().max(f64::MIN_POSITIVE)
        };
        let between = self.between_tokens().unwrap_or_default();
        Some(Observation {
            rank: call.class.rank,
            first_token: ratio(first, call.class.first_token),
            between_tokens: ratio(between, call.class.between_tokens),
        })
    }
}

/// Notes how a request ended in log, metrics and histograms.
pub fn account<C, P>(core: &Core<C, P>, call: &Call, course: &Trace, failed: Option<Outcome>)
where
    C: Clock + Clone,
    P: Log + List,
{
    let total = core.clock.now().saturating_duration_since(call.arrived);
    let first = course
        .first
        .map(|at| at.saturating_duration_since(call.arrived));
    let word = failed.map_or("whole", Outcome::word);
    core.histograms.add(&Sample {
        service: call.service.name.clone(),
        class: call.class.name.clone(),
        account: call.account.name.clone(),
        first_token: first,
        between_tokens: course.between_tokens(),
        total,
        failed,
    });
    let _ = core
        .metrics
        .count_with_tags("requests", 1)
        .with_tag("service", &call.service.name)
        .with_tag("class", &call.class.name)
        .with_tag("outcome", word)
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
        upstream:% = course.tried.last().map_or("-", |name| name.as_str()),
        tokens = course.tokens,
        first_ms = first.map_or(-1, |period| period.as_millis() as i64),
        total_ms = total.as_millis() as u64,
        outcome = word;
        "request ended"
    );
}
