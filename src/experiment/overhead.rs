//! What an entry host adds to a stream, against the same engine called directly.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use serde::Serialize;

use crate::standin::caller::Caller;
use crate::standin::caller::Received;
use crate::standin::deployment::Build;
use crate::standin::deployment::Deployment;
use crate::standin::engine::Speed;
use crate::status::table;
use crate::upstream::Role;

/// Service file of the Trust.
const LIBRETTO: &str = include_str!("../../examples/trentside/libretto-lm.hall.ini");
/// Tokens of each stream.
const TOKENS: u64 = 40;
/// Streams open at once, in each round.
const STREAMS: [usize; 3] = [50, 200, 1000];

/// What a number of streams saw.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// Name of the experiment.
    pub name: &'static str,
    /// `direct`, or `entry` with an entry host between.
    pub path: &'static str,
    /// Streams open at once.
    pub streams: usize,
    /// Streams that came whole.
    pub whole: usize,
    /// Time to the first token: median, in milliseconds.
    pub first_token_p50_ms: f64,
    /// The same for 99 in 100.
    pub first_token_p99_ms: f64,
    /// Tokens in each second.
    pub tokens_per_s: f64,
    /// Processor seconds that the whole process used.
    pub processor_s: f64,
    /// Memory of the whole process at its peak, in MiB.
    pub memory_mib: f64,
}

/// Measures both paths at each number of streams.
pub fn run() -> Result<Vec<Row>> {
    let mut rows = Vec::new();
    for streams in STREAMS {
        for path in ["direct", "entry"] {
            rows.push(measure(path, streams)?);
        }
    }
    Ok(rows)
}

fn measure(path: &'static str, streams: usize) -> Result<Row> {
    let mut deployment = Deployment::start(Duration::ZERO)?;
    let text = LIBRETTO.replace("deadline = 4s", "deadline = 60s");
    deployment.publish(&[&text])?;
    let speed = Speed {
        prompt_tokens_per_s: 1e9,
        step: Duration::from_millis(50),
        step_growth: 0.0,
        batch: 4096,
        ..Speed::default()
    };
    let build = Build {
        role: Role::Mixed,
        speed,
        checks_tokens: true,
    };
    deployment.add("e1", "derby", "libretto-lm", build)?;
    let mut settings = deployment.settings("h1", "derby");
    settings.limits.open_requests = 4096;
    settings.limits.queued_requests = 4096;
    deployment.add_host(settings)?;
    deployment.settle(0, 1)?;
    open_gate(&deployment);
    let address = match path {
        "direct" => deployment.engines["e1"].address(),
        _ => deployment.hosts["h1"].address(),
    };
    ask(address, 1);
    let before = usage();
    let began = Instant::now();
    let got = ask(address, streams);
    let seconds = began.elapsed().as_secs_f64();
    let after = usage();
    Ok(row(path, &got, seconds, after, after.0 - before.0))
}

/// Lets as many streams in as there are, since admission is not what is measured here.
fn open_gate(deployment: &Deployment) {
    let core = deployment.hosts["h1"].core();
    core.gate.set_start_limit("libretto-lm", 4096.0);
}

fn ask(address: SocketAddr, streams: usize) -> Vec<Received> {
    let threads: Vec<_> = (0..streams)
        .map(|number| {
            thread::Builder::new()
                .stack_size(128 * 1024)
                .spawn(move || {
                    thread::sleep(Duration::from_micros(500 * number as u64));
                    let caller = Caller::new(address, "desk-key");
                    caller.stream("libretto-7b", &format!("stream {number}"), TOKENS)
                })
                .expect("a thread starts")
        })
        .collect();
    threads
        .into_iter()
        .map(|thread| thread.join().expect("a caller does not panic"))
        .collect()
}

fn row(
    path: &'static str,
    got: &[Received],
    seconds: f64,
    after: (f64, f64),
    processor_s: f64,
) -> Row {
    let mut first: Vec<f64> = got
        .iter()
        .filter_map(|one| one.first_token.map(|time| time.as_secs_f64() * 1e3))
        .collect();
    first.sort_by(f64::total_cmp);
    let quantile = |share: f64| {
        let place = (first.len() as f64 * share) as usize;
        first
            .get(place.min(first.len().saturating_sub(1)))
            .copied()
            .unwrap_or(0.0)
    };
    let whole = got.iter().filter(|one| one.whole).count();
    Row {
        name: "overhead",
        path,
        streams: got.len(),
        whole,
        first_token_p50_ms: quantile(0.5),
        first_token_p99_ms: quantile(0.99),
        tokens_per_s: (whole as u64 * TOKENS) as f64 / seconds,
        processor_s,
        memory_mib: after.1,
    }
}

/// Returns the processor seconds and the peak memory in MiB of this process so far.
pub fn usage() -> (f64, f64) {
    let read = |path| std::fs::read_to_string(path).unwrap_or_default();
    let stat = read("/proc/self/stat");
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
    let seconds = (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / 100.0;
    let status = read("/proc/self/status");
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok());
    (seconds, resident.unwrap_or(0.0) / 1024.0)
}

/// Returns the rows as a table.
pub fn render(rows: &[Row]) -> String {
    let cells: Vec<_> = rows
        .iter()
        .map(|row| {
            vec![
                row.path.to_owned(),
                row.streams.to_string(),
                row.whole.to_string(),
                format!("{:.2}", row.first_token_p50_ms),
                format!("{:.2}", row.first_token_p99_ms),
                format!("{:.0}", row.tokens_per_s),
                format!("{:.2}", row.processor_s),
                format!("{:.0}", row.memory_mib),
            ]
        })
        .collect();
    let head = [
        "PATH",
        "STREAMS",
        "WHOLE",
        "FIRST ms p50",
        "p99",
        "TOKENS/s",
        "CPU s",
        "RSS MiB",
    ];
    table::render(&head, &cells)
}
