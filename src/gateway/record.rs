//! Records of each request: a log line, counters and histograms.

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
use super::heaviest::Count;
use super::heaviest::Heaviest;
use super::usage::Run;
use crate::id::AccountId;
use crate::id::RouteId;
use crate::logging::sample::Sampler;
use crate::logging::sample::Verdict;

/// Maximum latency in histograms, in milliseconds; longer ones are recorded as this.
const MAX_LATENCY_MS: u64 = 600_000;
/// Maximum histograms of routes; further routes share one.
const MAX_HISTOGRAMS: usize = 256;
/// Maximum delivered requests logged per second; the others are counted. Failures and refusals are
/// always logged. 200 lines of 400 bytes are 80 KB/s.
const MAX_DELIVERED_LINES_PER_S: u32 = 200;
/// Maximum client accounts whose requests are counted by account.
const MAX_COUNTED_ACCOUNTS: usize = 64;
/// Name shared by the routes or accounts beyond the limit.
const OTHERS: &str = "(others)";
/// Quantiles in the metrics.
const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// Counters, gauges and histograms, read by the metrics server.
#[derive(Debug)]
pub struct Metrics {
    sampler: Mutex<Sampler>,
    counts: Mutex<BTreeMap<CompactString, u64>>,
    decisions: Mutex<BTreeMap<&'static str, u64>>,
    gauges: Mutex<BTreeMap<&'static str, i64>>,
    latencies: Mutex<BTreeMap<(RouteId, &'static str), Histogram<u32>>>,
    spans: Mutex<BTreeMap<&'static str, Histogram<u32>>>,
    accounts: Mutex<Heaviest>,
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics {
            sampler: Mutex::new(Sampler::new(MAX_DELIVERED_LINES_PER_S)),
            counts: Mutex::default(),
            decisions: Mutex::default(),
            gauges: Mutex::default(),
            latencies: Mutex::default(),
            spans: Mutex::default(),
            accounts: Mutex::new(Heaviest::new(MAX_COUNTED_ACCOUNTS)),
        }
    }
}

impl Metrics {
    /// Decides whether the line of a delivered request is logged.
    fn sample_line(&self, now: Instant) -> Verdict {
        self.sampler.lock().expect("sampler lock").judge(now)
    }

    /// Adds one to a counter.
    pub fn add(&self, name: &str) {
        self.add_many(name, 1);
    }

    /// Adds a number to a counter.
    pub fn add_many(&self, name: &str, number: u64) {
        let mut counts = self.counts.lock().expect("counter lock");
        *counts.entry(name.into()).or_default() += number;
    }

    /// Counts a decision not to forward a request, by its reason.
    pub fn add_decision(&self, reason: &'static str) {
        let mut decisions = self.decisions.lock().expect("decision lock");
        *decisions.entry(reason).or_default() += 1;
    }

    /// Counts a request of a client account.
    ///
    /// ```
    /// use pistachiohall::gateway::record::Metrics;
    /// let metrics = Metrics::default();
    /// metrics.add_account(&"desk".into(), false);
    /// assert!(metrics.text().contains("pistachiohall_account_unserved_total{account=\"desk\"} 1\n"));
    /// ```
    pub fn add_account(&self, account: &AccountId, is_served: bool) {
        let mut accounts = self.accounts.lock().expect("account lock");
        accounts.record(account, is_served);
    }

    /// Sets a gauge.
    pub fn set(&self, name: &'static str, value: i64) {
        self.gauges.lock().expect("gauge lock").insert(name, value);
    }

    /// Adds a latency to a route's histogram.
    pub fn observe(&self, route: &RouteId, kind: &'static str, latency: Duration) {
        let mut histograms = self.latencies.lock().expect("histogram lock");
        let is_known = histograms.contains_key(&(route.clone(), kind));
        let name = match is_known || histograms.len() < MAX_HISTOGRAMS {
            true => route.clone(),
            false => OTHERS.into(),
        };
        let values = histograms.entry((name, kind)).or_insert_with(histogram);
        values.saturating_record(latency.as_millis() as u64);
    }

    /// Adds a duration that isn't a request's, such as the age of a view, to the histogram `name`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pistachiohall::gateway::record::Metrics;
    /// let metrics = Metrics::default();
    /// metrics.observe_duration("loop_gap", Duration::from_millis(40));
    /// assert!(metrics.text().contains("pistachiohall_loop_gap_ms_max 40\n"));
    /// ```
    pub fn observe_duration(&self, name: &'static str, span: Duration) {
        let mut histograms = self.spans.lock().expect("span lock");
        let values = histograms.entry(name).or_insert_with(histogram);
        values.saturating_record(span.as_millis() as u64);
    }

    /// Returns all metrics in the text format of Prometheus.
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
        self.write_accounts(&mut text);
        for (name, value) in self.gauges.lock().expect("gauge lock").iter() {
            let _infallible = writeln!(text, "pistachiohall_{name} {value}");
        }
        for ((route, kind), values) in self.latencies.lock().expect("histogram lock").iter() {
            for quantile in QUANTILES {
                let value = values.value_at_quantile(quantile);
                let _infallible = writeln!(
                    text,
                    "pistachiohall_{kind}_ms{{route={route:?},quantile=\"{quantile}\"}} {value}"
                );
            }
            let _infallible = writeln!(
                text,
                "pistachiohall_{kind}_ms_count{{route={route:?}}} {}",
                values.len()
            );
        }
        for (name, values) in self.spans.lock().expect("span lock").iter() {
            for quantile in QUANTILES {
                let value = values.value_at_quantile(quantile);
                let _infallible = writeln!(
                    text,
                    "pistachiohall_{name}_ms{{quantile=\"{quantile}\"}} {value}"
                );
            }
            let _infallible = writeln!(text, "pistachiohall_{name}_ms_max {}", values.max());
            let _infallible = writeln!(text, "pistachiohall_{name}_ms_count {}", values.len());
        }
        text
    }

    fn write_accounts(&self, text: &mut String) {
        let accounts = self.accounts.lock().expect("account lock");
        let others = (accounts.others() != Count::default()).then_some((OTHERS, accounts.others()));
        let named = accounts.iter().map(|(name, count)| (name.as_str(), count));
        for (name, count) in named.chain(others) {
            let Count { requests, unserved } = count;
            let _infallible = writeln!(
                text,
                "pistachiohall_account_requests_total{{account={name:?}}} {requests}\n\
                 pistachiohall_account_unserved_total{{account={name:?}}} {unserved}"
            );
        }
    }
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MS, 2).expect("bounds are valid")
}

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream's full response was passed on.
    Delivered,
    /// Refused; it has not run and will not.
    Refused,
    /// Failed; it may have run.
    Failed,
    /// A stream was aborted.
    Cut,
    /// The caller left before the end.
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

/// One step of a request, such as an upstream and its response.
#[derive(Debug, Serialize)]
struct Step {
    /// Milliseconds since the request's arrival.
    ms: u64,
    step: CompactString,
}

/// Trace of a request so far; logged when it ends, also when the caller leaves.
#[derive(Debug)]
pub struct Trace {
    call: Call,
    metrics: Arc<Metrics>,
    trail: Vec<Step>,
    outcome: Option<Outcome>,
    first: Option<Duration>,
    /// Counts the request for its account.
    pub run: Run,
}

impl Trace {
    /// Returns an empty trace of a request.
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
            run: Run::default(),
        }
    }

    /// Adds a step, such as an upstream and its response.
    pub fn step(&mut self, text: std::fmt::Arguments<'_>) {
        self.trail.push(Step {
            ms: self.call.arrived.elapsed().as_millis() as u64,
            step: compact_str::format_compact!("{text}"),
        });
    }

    /// Adds a decision not to forward the request, and counts its reason.
    pub fn decide(&mut self, reason: &'static str) {
        self.metrics.add_decision(reason);
        self.step(format_args!("refuse={reason:?}"));
    }

    /// Records that the first event or the full response has arrived.
    pub fn record_first(&mut self) {
        self.first.get_or_insert(self.call.arrived.elapsed());
    }

    /// Returns the time from the request's arrival to its first event, if that has arrived.
    pub fn first(&self) -> Option<Duration> {
        self.first
    }

    /// Records the outcome of the request.
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
        if let Some(account) = &call.account {
            let is_served = outcome == Outcome::Delivered;
            self.metrics.add_account(&account.name, is_served);
        }
        if outcome == Outcome::Delivered {
            match self.metrics.sample_line(now) {
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
            account:% = call.account.as_ref().map_or("", |account| &account.name),
            outcome:% = outcome.name(),
            first_ms = self.first.map_or(-1, |first| first.as_millis() as i64),
            total_ms = total.as_millis() as u64,
            left_ms = call.remaining(now).as_millis() as u64,
            trail:serde = self.trail;
            "request ended"
        );
    }
}
