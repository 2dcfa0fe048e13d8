//! What a claim and a ticket add to a call, and how many one-time calls the log carries.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use serde::Serialize;
use uuid::Uuid;

use crate::duty::StopFlag;
use crate::fold::claims::Claim;
use crate::log::AppendError;
use crate::log::Batch;
use crate::log::Log;
use crate::log::ReadError;
use crate::log::memory::InMemory;
use crate::once::claim::Queue;
use crate::once::claim::Writer;
use crate::standin::caller::Caller;
use crate::standin::deployment::Deployment;
use crate::status::table;

/// Service file of the Trust.
const CUE_DESK: &str = include_str!("../../examples/trentside/cue-desk.hall.ini");
/// Calls of each kind.
const CALLS: usize = 400;
/// Appends that the log takes in one second.
const APPENDS_PER_S: u32 = 300;
/// Callers that claim at once.
const CLAIMERS: usize = 200;
/// Time for which claims are counted.
const COUNTED: Duration = Duration::from_secs(4);

/// Result of one kind of call.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// Name of the experiment.
    pub name: &'static str,
    /// Kind of call, or of writer.
    pub kind: &'static str,
    /// Median time of a call, in milliseconds.
    pub p50_ms: f64,
    /// Time that 99 in 100 keep, in milliseconds.
    pub p99_ms: f64,
    /// Calls in each second.
    pub calls_per_s: f64,
}

/// Measures calls with and without claims and tickets, then the ceiling of claims.
pub fn run() -> Result<Vec<Row>> {
    let append_time = Duration::from_secs(1) / APPENDS_PER_S;
    let mut deployment = Deployment::start(append_time)?;
    deployment.publish(&[CUE_DESK])?;
    deployment.add_plain("c1", "derby", "cue-desk")?;
    let settings = deployment.settings("h1", "derby");
    deployment.add_host(settings)?;
    deployment.settle(0, 1)?;
    let caller = deployment.caller("h1", "desk-key");
    let mut rows = vec![
        time_calls("neither", &caller, |_| None),
        time_calls("ticket", &caller, |caller| {
            let got = caller.post("/tickets/cue-desk?count=1", "", &[]);
            let ticket = got.body["tickets"][0].as_str()?.to_owned();
            Some(("ticket", ticket))
        }),
        time_calls("claim", &caller, |_| {
            Some(("idempotency-key", Uuid::now_v7().to_string()))
        }),
    ];
    rows.push(count_claims("claims, grouped", usize::MAX));
    rows.push(count_claims("claims, one an append", 1));
    Ok(rows)
}

fn time_calls<F>(kind: &'static str, caller: &Caller, right: F) -> Row
where
    F: Fn(&Caller) -> Option<(&'static str, String)>,
{
    let mut times = Vec::new();
    for number in 0..CALLS {
        let headers: Vec<_> = right(caller).into_iter().collect();
        let path = format!("/services/cue-desk/advance/{kind}-{number}");
        let began = Instant::now();
        let got = caller.post(&path, "{}", &headers);
        if got.whole {
            times.push(began.elapsed().as_secs_f64() * 1e3);
        }
    }
    let total: f64 = times.iter().sum();
    times.sort_by(f64::total_cmp);
    let at = |share: f64| times.get((times.len() as f64 * share) as usize).copied();
    Row {
        name: "once",
        kind,
        p50_ms: at(0.5).unwrap_or(0.0),
        p99_ms: at(0.99).unwrap_or(0.0),
        calls_per_s: times.len() as f64 / (total / 1e3),
    }
}

/// A log that takes one append at a time, each for as long as the platform needs.
struct Paced {
    memory: InMemory,
    gate: std::sync::Mutex<()>,
}

impl Log for Paced {
    fn append(&self, stream: &str, data: &serde_json::Value) -> Result<u64, AppendError> {
        let _one = self.gate.lock().expect("gate lock");
        thread::sleep(Duration::from_secs(1) / APPENDS_PER_S);
        self.memory.append(stream, data)
    }

    fn read(&self, stream: &str, from: u64, wait: Duration) -> Result<Batch, ReadError> {
        self.memory.read(stream, from, wait)
    }
}

/// Counts the claims that many callers get through one shard.
fn count_claims(kind: &'static str, max_in_append: usize) -> Row {
    let log = Arc::new(Paced {
        memory: InMemory::default(),
        gate: std::sync::Mutex::default(),
    });
    let desk = Arc::new(Queue::new(0));
    let stop = StopFlag::default();
    let claimed = Arc::new(AtomicUsize::new(0));
    let writer = Writer {
        max_in_append,
        ..Writer::grouping(Uuid::now_v7(), crate::standin::deployment::ANY)
    };
    let mut threads = Vec::new();
    let (own_desk, own_log, own_stop) = (Arc::clone(&desk), Arc::clone(&log), stop.clone());
    threads.push(thread::spawn(move || {
        while !own_stop.asked() {
            own_desk.write_once(&*own_log, writer, Duration::from_millis(50));
        }
    }));
    let (own_desk, own_log, own_stop) = (Arc::clone(&desk), Arc::clone(&log), stop.clone());
    threads.push(thread::spawn(move || {
        while !own_stop.asked() {
            let _ = own_desk
                .replica()
                .poll(&*own_log, Duration::from_millis(50));
        }
    }));
    for _ in 0..CLAIMERS {
        let (desk, stop, claimed) = (Arc::clone(&desk), stop.clone(), Arc::clone(&claimed));
        threads.push(thread::spawn(move || {
            while !stop.asked() {
                let claim = Claim {
                    account: "a".into(),
                    key: Uuid::now_v7(),
                    digest: 0,
                };
                if desk.claim(claim, Duration::from_secs(2)).is_ok() {
                    claimed.fetch_add(1, Ordering::SeqCst);
                }
            }
        }));
    }
    thread::sleep(COUNTED);
    let count = claimed.load(Ordering::SeqCst);
    stop.ask();
    for thread in threads {
        thread.join().expect("a claimer does not panic");
    }
    let calls_per_s = count as f64 / COUNTED.as_secs_f64();
    let mean_ms = CLAIMERS as f64 / calls_per_s.max(1e-9) * 1e3;
    Row {
        name: "once",
        kind,
        p50_ms: mean_ms,
        p99_ms: mean_ms,
        calls_per_s,
    }
}

/// Returns the rows as a table.
pub fn render(rows: &[Row]) -> String {
    let cells: Vec<_> = rows
        .iter()
        .map(|row| {
            vec![
                row.kind.to_owned(),
                format!("{:.2}", row.p50_ms),
                format!("{:.2}", row.p99_ms),
                format!("{:.0}", row.calls_per_s),
            ]
        })
        .collect();
    table::render(&["KIND", "p50 ms", "p99 ms", "CALLS/s"], &cells)
}
