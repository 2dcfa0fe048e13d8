//! BUDGET: a request that crashes each replica that runs it comes again and again. The replicas
//! answer streams without a length or chunks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Case;
use crate::Verdict;
use crate::kit;
use crate::kit::Client;
use crate::kit::Gateway;
use crate::kit::Record;
use crate::kit::Store;
use crate::process::Process;

const REPLICAS: usize = 6;
const EVENTS: usize = 60;
const DURATION: Duration = Duration::from_secs(30);
/// Sound streams per second, and the time from one sending of the request that crashes to the next.
const STREAMS_PER_S: f64 = 8.0;
const AGAIN: Duration = Duration::from_millis(1500);
/// Time from a replica's crash to its next start.
const DOWN: Duration = Duration::from_secs(3);
/// Crashes that the rule allows, the time after the last of them from which retries count, and the
/// number that may come then.
const CRASHES: usize = 3;
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
const RETRIES: usize = 3;

pub fn run(case: &Case) -> Verdict {
    let store = Store::start();
    store.put("keyed.op", "config", crate::order::CONFIG);
    let start = |id: &str| Process::start(&store, &case.record, "appraiser", id);
    let mut replicas: Vec<Process> = (0..REPLICAS)
        .map(|index| start(&format!("i-{index}")))
        .collect();
    let gateway = Gateway::start(&case.temporary, "front-1", &store);
    if !gateway.wait_ready() {
        return Verdict::NotRun("the gateway did not get ready".into());
    }
    let started_at = Instant::now();
    let path = if case.is_disturbed {
        "/quote/crash"
    } else {
        "/quote/again"
    };
    let tally: Arc<Mutex<[usize; 2]>> = Arc::default();
    let mut running = Vec::new();
    let (mut next, mut again) = (Duration::ZERO, Duration::from_secs(4));
    // Times of the crashes.
    let mut crashes: Vec<Duration> = Vec::new();
    let mut back: Vec<(usize, Duration)> = Vec::new();
    while started_at.elapsed() < DURATION {
        thread::sleep(Duration::from_millis(2));
        let now = started_at.elapsed();
        if now >= next {
            next += Duration::from_secs_f64(1.0 / STREAMS_PER_S);
            let (front, record, tally) =
                (gateway.front, Arc::clone(&case.record), Arc::clone(&tally));
            running.push(thread::spawn(move || {
                let is_whole = ask(front, &record, "/quote/a", b"quote") == Some(EVENTS);
                tally.lock().unwrap()[usize::from(is_whole)] += 1;
            }));
        }
        if now >= again {
            again += AGAIN;
            let (front, record) = (gateway.front, Arc::clone(&case.record));
            running.push(thread::spawn(move || {
                ask(front, &record, path, b"the same words");
            }));
        }
        for (index, replica) in replicas.iter_mut().enumerate() {
            if replica.has_ended(&store) {
                case.record
                    .line(format!("replica {} has crashed", replica.id));
                crashes.push(now);
                back.push((index, now + DOWN));
            }
        }
        back.retain(|(index, at)| {
            if now >= *at {
                replicas[*index] = start(&format!("i-{index}-{}", crashes.len()));
            }
            now < *at
        });
    }
    for running in running {
        let _ = running.join();
    }
    let counted_from = crashes.get(CRASHES - 1).map(|third| *third + STABLE_WINDOW);
    // Each of these crashes is a sending of the request to a replica.
    let late = counted_from.map_or(0, |from| crashes.iter().filter(|at| **at > from).count());
    let [broken, whole] = *tally.lock().unwrap();
    let text = format!(
        "{} replicas crashed, {late} of them later than {STABLE_WINDOW:?} after the third; {whole} sound streams whole, {broken} not",
        crashes.len()
    );
    println!("{text}");
    case.record.line(text);
    match (whole, late > RETRIES) {
        (0, _) => Verdict::NotRun("no stream was served".into()),
        (_, true) => Verdict::Broken,
        (_, false) => Verdict::Held,
    }
}

/// Sends a request; returns the number of events if the stream ended as complete.
fn ask(front: SocketAddr, record: &Record, path: &str, body: &[u8]) -> Option<usize> {
    let id = kit::new_id();
    record.line(format!("client sends {id} {path}"));
    let mut client = Client::new(front, Duration::from_secs(16));
    let fields = [("Pistachiohall-Deadline-Ms", "15000")];
    match client.call("POST", path, &id, &fields, body) {
        Ok(answer) => {
            let events = String::from_utf8_lossy(&answer.body)
                .matches("id: ")
                .count();
            record.line(format!(
                "client gets {} to {id} with {events} events",
                answer.status
            ));
            (answer.status == 200).then_some(events)
        }
        Err(cause) => {
            record.line(format!("client gets no complete answer to {id}: {cause}"));
            None
        }
    }
}
