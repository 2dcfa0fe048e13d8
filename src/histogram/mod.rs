//! Latencies and outcomes by class and by caller.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

use crate::id::AccountId;
use crate::id::ClassId;
use crate::id::ServiceId;
use crate::problem::Outcome;

/// Maximum latency recorded, in milliseconds; longer ones count as this.
const MAX_LATENCY_MS: u64 = 600_000;
/// Maximum number of callers with their own row; the others share one.
const MAX_CALLERS: usize = 10_000;
/// Name of the row that callers beyond the limit share.
const OTHERS: &str = "(others)";

/// Measurements of one request.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample {
    /// Service.
    pub service: ServiceId,
    /// Class.
    pub class: ClassId,
    /// Caller's account.
    pub account: AccountId,
    /// Time to the first token, or to the full response of a plain service.
    pub first_token: Option<Duration>,
    /// Mean time between tokens.
    pub between_tokens: Option<Duration>,
    /// Time from arrival to end.
    pub total: Duration,
    /// Outcome of a failed request; `None` if the full response was delivered.
    pub failed: Option<Outcome>,
}

#[derive(Debug)]
struct Row {
    first_token: Histogram<u32>,
    between_tokens: Histogram<u32>,
    total: Histogram<u32>,
    failed: [u64; 3],
}

impl Row {
    fn new(digits: u8) -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, MAX_LATENCY_MS, digits).expect("valid bounds");
        Row {
            first_token: histogram(),
            between_tokens: histogram(),
            total: histogram(),
            failed: [0; 3],
        }
    }
}

/// Latencies and outcomes of a class or caller, as shown to operators; times in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Service.
    pub service: ServiceId,
    /// Class, or the caller's account.
    pub name: String,
    /// Requests that ended.
    pub requests: u64,
    /// Requests that ended as not run.
    pub not_run: u64,
    /// Requests that ran without a full response.
    pub ran: u64,
    /// Requests that may or may not have run.
    pub unknown: u64,
    /// 50th, 95th and 99th percentiles of the time to the first token.
    pub first_token_ms: [u64; 3],
    /// 50th, 95th and 99th percentiles of the mean time between tokens.
    pub between_tokens_ms: [u64; 3],
    /// 50th, 95th and 99th percentiles of the total time.
    pub total_ms: [u64; 3],
}

#[derive(Debug, Default)]
struct Rows {
    classes: BTreeMap<(ServiceId, ClassId), Row>,
    callers: HashMap<(ServiceId, AccountId), Row>,
}

/// Histograms by class and by caller, bounded in memory.
#[derive(Debug, Default)]
pub struct Histograms {
    rows: Mutex<Rows>,
}

impl Histograms {
    /// Records a request.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pistachiohall::histogram::{Histograms, Sample};
    /// let histograms = Histograms::default();
    /// let millis = Duration::from_millis;
    /// histograms.add(&Sample {
    ///     service: "lm".into(), class: "urgent".into(), account: "desk".into(),
    ///     first_token: Some(millis(80)), between_tokens: None, total: millis(90), failed: None,
    /// });
    /// assert_eq!(histograms.classes()[0].requests, 1);
    /// ```
    pub fn add(&self, sample: &Sample) {
        let mut rows = self.rows.lock().expect("histogram lock");
        let class = (sample.service.clone(), sample.class.clone());
        add(
            rows.classes.entry(class).or_insert_with(|| Row::new(2)),
            sample,
        );
        let mut caller = (sample.service.clone(), sample.account.clone());
        if rows.callers.len() >= MAX_CALLERS && !rows.callers.contains_key(&caller) {
            caller.1 = OTHERS.into();
        }
        add(
            rows.callers.entry(caller).or_insert_with(|| Row::new(1)),
            sample,
        );
    }

    /// Returns a line for each class.
    pub fn classes(&self) -> Vec<Line> {
        let rows = self.rows.lock().expect("histogram lock");
        rows.classes
            .iter()
            .map(|((service, name), row)| line(service, name, row))
            .collect()
    }

    /// Returns a line for each caller, in order of name.
    pub fn callers(&self) -> Vec<Line> {
        let rows = self.rows.lock().expect("histogram lock");
        let mut lines: Vec<Line> = rows
            .callers
            .iter()
            .map(|((service, name), row)| line(service, name, row))
            .collect();
        lines.sort_by(|a, b| (&a.service, &a.name).cmp(&(&b.service, &b.name)));
        lines
    }
}

fn add(row: &mut Row, sample: &Sample) {
    let millis = |period: Duration| (period.as_millis() as u64).max(1);
    if let Some(period) = sample.first_token {
        row.first_token.saturating_record(millis(period));
    }
    if let Some(period) = sample.between_tokens {
        row.between_tokens.saturating_record(millis(period));
    }
    row.total.saturating_record(millis(sample.total));
    if let Some(outcome) = sample.failed {
        row.failed[outcome as usize] += 1;
    }
}

fn line(service: &ServiceId, name: &str, row: &Row) -> Line {
    let quantiles = |histogram: &Histogram<u32>| {
        [0.5, 0.95, 0.99].map(|quantile| match histogram.is_empty() {
            true => 0,
            false => histogram.value_at_quantile(quantile),
        })
    };
    Line {
        service: service.clone(),
        name: name.to_owned(),
        requests: row.total.len(),
        not_run: row.failed[Outcome::NotRun as usize],
        ran: row.failed[Outcome::Ran as usize],
        unknown: row.failed[Outcome::Unknown as usize],
        first_token_ms: quantiles(&row.first_token),
        between_tokens_ms: quantiles(&row.between_tokens),
        total_ms: quantiles(&row.total),
    }
}
