//! What is told of each request: a log line, counters and histograms.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;
use hdrhistogram::Histogram;
use log::info;
use serde::Serialize;

use super::call::Call;
use crate::id::RouteId;
use crate::logging::sample::Sampler;
use crate::logging::sample::Verdict;

/// Longest latency told apart, in milliseconds.
const MOST_MS: u64 = 600_000;
/// Routes told apart in histograms; the rest share one row.
const MOST_ROUTES: usize = 256;
/// Requests that went well and are logged in a second; the others are counted. Failures and
/// refusals are always logged. 200 lines of 400 bytes are 80 KB/s.
const DELIVERED_LINES: u32 = 200;
/// Row of the routes beyond the limit.
const OTHER_ROUTES: &str = "(others)";
/// Quantiles served.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// Counters and histograms, read by the metrics server.
#[derive(Debug)]
pub struct Metrics {
    sampler: Mutex<Sampler>,
    counts: Mutex<BTreeMap<CompactString, u64>>,
    decisions: Mutex<BTreeMap<&'static str, u64>>,
    gauges: Mutex<BTreeMap<&'static str, i64>>,
    latencies: Mutex<BTreeMap<(RouteId, &'static str), Histogram<u32>>>,
    spans: Mutex<BTreeMap<&'static str, Histogram<u32>>>,
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics {
            sampler: Mutex::new(Sampler::new(DELIVERED_LINES)),
            counts: Mutex::default(),
            decisions: Mutex::default(),
            gauges: Mutex::default(),
            latencies: Mutex::default(),
            spans: Mutex::default(),
        }
    }
}

impl Metrics {
    /// Decides whether the line of a request that went well is logged.
    fn judge_line(&self, now: Instant) -> Verdict {
        self.sampler.lock().expect("sampler lock").judge(now)
    }

    /// Adds one to a counter.
    pub fn add(&self, name: &str) {
        let mut counts = self.counts.lock().expect("counter lock");
        *counts.entry(name.into()).or_default() += 1;
    }

    /// Counts a decision not to send a request on, by its reason.
    pub fn add_decision(&self, reason: &'static str) {
        let mut decisions = self.decisions.lock().expect("decision lock");
        *decisions.entry(reason).or_default() += 1;
    }

    /// Sets a gauge.
    pub fn set(&self, name: &'static str, value: i64) {
        self.gauges.lock().expect("gauge lock").insert(name, value);
    }

    /// Adds a latency to a route's histogram.
    pub fn observe(&self, route: &RouteId, kind: &'static str, latency: Duration) {
        let mut rows = self.latencies.lock().expect("histogram lock");
        let is_known = rows.contains_key(&(route.clone(), kind));
        let name = match is_known || rows.len() < MOST_ROUTES {
            true => route.clone(),
            false => OTHER_ROUTES.into(),
        };
        let row = rows.entry((name, kind)).or_insert_with(histogram);
        row.saturating_record(latency.as_millis() as u64);
    }

    /// Adds a span of the host itself, such as the age of a belief, to the histogram of its name.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pistachiohall::gateway::record::Metrics;
    /// let metrics = Metrics::default();
    /// metrics.observe_span("loop_gap", Duration::from_millis(40));
    /// assert!(metrics.text().contains("pistachiohall_loop_gap_ms_max 40\n"));
    /// ```
    pub fn observe_span(&self, name: &'static str, span: Duration) {
        let mut rows = self.spans.lock().expect("span lock");
        let row = rows.entry(name).or_insert_with(histogram);
        row.saturating_record(span.as_millis() as u64);
    }

    /// Returns everything as text that scrapers read.
    ///
    /// ```
    /// use pistachiohall::gateway::record::Metrics;
    /// let metrics = Metrics::default();
    /// metrics.add("requests");
    /// assert!(metrics.text().contains("pistachiohall_requests_total 1\n"));
    /// ```
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (name, count) in self.counts.lock().expect("counter lock").iter() {
            let _infallible = writeln!(text, "pistachiohall_{name}_total {count}");
        }
        for (reason, count) in self.decisions.lock().expect("decision lock").iter() {
            let _infallible = writeln!(
                text,
                "pistachiohall_decisions_total{{reason={reason:?}}} {count}"
            );
        }
        for (name, value) in self.gauges.lock().expect("gauge lock").iter() {
            let _infallible = writeln!(text, "pistachiohall_{name} {value}");
        }
        for ((route, kind), row) in self.latencies.lock().expect("histogram lock").iter() {
            for quantile in QUANTILES {
                let value = row.value_at_quantile(quantile);
                let _infallible = writeln!(
                    text,
                    "pistachiohall_{kind}_ms{{route={route:?},quantile=\"{quantile}\"}} {value}"
                );
            }
            let _infallible = writeln!(
                text,
                "pistachiohall_{kind}_ms_count{{route={route:?}}} {}",
                row.len()
            );
        }
        for (name, row) in self.spans.lock().expect("span lock").iter() {
            for quantile in QUANTILES {
                let value = row.value_at_quantile(quantile);
                let _infallible = writeln!(
                    text,
                    "pistachiohall_{name}_ms{{quantile=\"{quantile}\"}} {value}"
                );
            }
            let _infallible = writeln!(text, "pistachiohall_{name}_ms_max {}", row.max());
            let _infallible = writeln!(text, "pistachiohall_{name}_ms_count {}", row.len());
        }
        text
    }
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MOST_MS, 2).expect("bounds are valid")
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream's whole answer was passed on.
    Delivered,
    /// Refused; it has not run and will not.
    Refused,
    /// Failed; it may have run.
    Failed,
    /// A stream was broken off.
    Cut,
    /// The caller left first.
    Left,
}

impl Outcome {
    fn name(self) -> &'static str {
        match self {
            Outcome::Delivered => "delivered",
            Outcome::Refused => "refused",
            Outcome::Failed => "failed",
            Outcome::Cut => "cut",
            Outcome::Left => "left",
        }
    }
}

/// One step of a request, such as an upstream and what it answered.
#[derive(Debug, Serialize)]
struct Step {
    /// Milliseconds from the request's arrival.
    ms: u64,
    step: CompactString,
}

/// What happened to a request so far; logged when it ends, also when the caller leaves.
#[derive(Debug)]
pub struct Trace {
    call: Call,
    metrics: Arc<Metrics>,
    trail: Vec<Step>,
    outcome: Option<Outcome>,
    first: Option<Duration>,
}

impl Trace {
    /// Starts the record of a request.
    pub fn new(call: &Call, metrics: &Arc<Metrics>) -> Self {
        let metrics = Arc::clone(metrics);
        let call = Call {
            body: bytes::Bytes::new(),
            ..call.clone()
        };
        Trace {
            call,
            metrics,
            trail: Vec::new(),
            outcome: None,
            first: None,
        }
    }

    /// Adds a step, such as an upstream and what it answered.
    pub fn step(&mut self, text: std::fmt::Arguments<'_>) {
        self.trail.push(Step {
            ms: self.call.arrived.elapsed().as_millis() as u64,
            step: compact_str::format_compact!("{text}"),
        });
    }

    /// Adds a decision not to send the request on, and counts its reason.
    pub fn decide(&mut self, reason: &'static str) {
        self.metrics.add_decision(reason);
        self.step(format_args!("refuse={reason:?}"));
    }

    /// Notes that the first event or the whole answer is there.
    pub fn record_first(&mut self) {
        self.first.get_or_insert(self.call.arrived.elapsed());
    }

    /// Returns how long ago the request arrived when its first event was there, if it was.
    pub fn first(&self) -> Option<Duration> {
        self.first
    }

    /// Notes how the request ended.
    pub fn end(&mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        let outcome = self.outcome.unwrap_or(Outcome::Left);
        let call = &self.call;
        let now = Instant::now();
        let total = now.saturating_duration_since(call.arrived);
        self.metrics
            .add(&compact_str::format_compact!("requests_{}", outcome.name()));
        self.metrics.observe(&call.route.name, "total", total);
        if let Some(first) = self.first {
            self.metrics.observe(&call.route.name, "first", first);
        }
        if outcome == Outcome::Delivered {
            match self.metrics.judge_line(now) {
                Verdict::LeaveOut => return,
                Verdict::Keep(0) => (),
                Verdict::Keep(left_out) => {
                    info!(left_out = left_out; "lines of delivered requests left out");
                }
            }
        }
        info!(
            request:% = call.request.id,
            route:% = call.route.name,
            config = call.version,
            service:% = call.service,
            outcome:% = outcome.name(),
            first_ms = self.first.map_or(-1, |first| first.as_millis() as i64),
            total_ms = total.as_millis() as u64,
            left_ms = call.left(now).as_millis() as u64,
            trail:serde = self.trail;
            "request ended"
        );
    }
}
