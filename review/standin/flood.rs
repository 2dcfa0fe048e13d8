//! CONFIG: an engine in trouble sends interim responses without end where the head of an answer is due.

use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Case;
use crate::Verdict;
use crate::kit;
use crate::kit::Client;
use crate::kit::Gateway;
use crate::kit::Replica;
use crate::kit::Request;
use crate::kit::Store;

/// Engines: six prefill and three decode, as the gateway wants them, so that it gives no orders.
const PREFILL_ENGINES: usize = 6;
const DECODE_ENGINES: usize = 3;
const DESKS: usize = 3;
const DURATION: Duration = Duration::from_secs(24);
/// Requests that reach the engine in this time get no answer, only interim responses.
const FLOOD_FROM: Duration = Duration::from_secs(6);
const FLOOD_FOR: Duration = Duration::from_millis(6500);
/// Bytes per second that the engine sends in all: four fifths of what a machine's link of 1,000 Mbit/s carries.
const FLOOD_BYTES_PER_S: u64 = 100_000_000;
/// Header lines of each interim response.
const HEADER_LINES: usize = 90;
/// Redrafts per second of one zone.
const REDRAFTS_PER_S: f64 = 5.3;
/// Cue requests per second of one zone.
const CUES_PER_S: f64 = 21.7;
/// `timeout_ms` of the routes.
const CUE_TIMEOUT: Duration = Duration::from_secs(1);
const REDRAFT_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after the timeout by which the final answer has to be there.
const SLACK: Duration = Duration::from_millis(500);

const CONFIG: &str = r#"{"version": 3, "routes": [
{"name": "cue-advance", "host": "shop.example", "path_prefix": "/advance/", "type": "unsafe", "timeout_ms": 1000,
 "target_latency_ms": 150, "priority": 2, "service": "cue-desk", "max_attempts": 2},
{"name": "cue-read", "host": "shop.example", "path_prefix": "/read/", "type": "safe", "timeout_ms": 1000,
 "target_latency_ms": 150, "priority": 2, "service": "cue-desk", "max_attempts": 2},
{"name": "line-redraft", "host": "shop.example", "path_prefix": "/redraft/", "type": "stream", "timeout_ms": 15000,
 "target_latency_ms": 250, "target_gap_ms": 200, "priority": 1, "service": "libretto-lm", "max_attempts": 1, "sticky": true}],
"services": [{"name": "cue-desk", "health_path": "/healthz", "max_connections": 110},
{"name": "libretto-lm", "health_path": "/healthz", "max_connections": 370,
 "engine": {"slots": 64, "kv_capacity_tokens": 685000, "handle_ttl_s": 5.0, "switch_s": 3.0}}],
"limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000}}"#;

/// Serves a redraft: 89 tokens, 10 ms each.
fn generate(request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
    let mut head = String::from(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n",
    );
    for (name, value) in kit::signed(request) {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    stream.write_all(format!("{head}\r\n").as_bytes())?;
    for event in 1..=89 {
        thread::sleep(Duration::from_millis(10));
        let text = format!("id: {event}\ndata: word\n\n");
        stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

/// Sends interim responses until the caller closes, at a limited rate.
fn flood(piece: &[u8], sent: &AtomicU64, since: Instant, stream: &mut TcpStream) -> u64 {
    let mut own = 0;
    let _ = stream.set_write_timeout(Some(Duration::from_secs(20)));
    while since.elapsed() < Duration::from_secs(60) {
        let allowed = (since.elapsed().as_secs_f64() * FLOOD_BYTES_PER_S as f64) as u64;
        if sent.load(Ordering::Relaxed) > allowed {
            thread::sleep(Duration::from_millis(1));
            continue;
        }
        if stream.write_all(piece).is_err() {
            break;
        }
        sent.fetch_add(piece.len() as u64, Ordering::Relaxed);
        own += piece.len() as u64;
    }
    own
}

/// A request as its client saw it.
struct Outcome {
    is_cue: bool,
    sent: Duration,
    took: Duration,
    status: u16,
}

impl Outcome {
    fn timeout(&self) -> Duration {
        if self.is_cue {
            CUE_TIMEOUT
        } else {
            REDRAFT_TIMEOUT
        }
    }
}

pub fn run(case: &Case) -> Verdict {
    let store = Store::start();
    store.put("keyed.op", "config", CONFIG);
    let started_at = Instant::now();
    let mut replicas = Vec::new();
    for index in 0..PREFILL_ENGINES {
        let id = format!("p-{index}");
        replicas.push(Replica::start_at_stage(
            &store,
            &id,
            "libretto-lm",
            64,
            Some("prefill"),
            |request, stream| {
                kit::answer(
                    stream,
                    421,
                    &[("Pistachiohall-Request-Id", request.id())],
                    b"",
                )?;
                Ok(true)
            },
        ));
    }
    let sent = Arc::new(AtomicU64::new(0));
    for index in 0..DECODE_ENGINES {
        let (record, sent, is_disturbed) = (
            Arc::clone(&case.record),
            Arc::clone(&sent),
            case.is_disturbed,
        );
        let piece = format!(
            "HTTP/1.1 102 Processing\r\n{}\r\n",
            "a:\r\n".repeat(HEADER_LINES)
        )
        .repeat(160);
        let id = format!("d-{index}");
        replicas.push(Replica::start_at_stage(
            &store,
            &id,
            "libretto-lm",
            64,
            Some("decode"),
            move |request, stream| {
                let now = started_at.elapsed();
                if is_disturbed && index == 0 && now >= FLOOD_FROM && now < FLOOD_FROM + FLOOD_FOR {
                    let bytes = flood(piece.as_bytes(), &sent, started_at + FLOOD_FROM, stream);
                    record.line(format!(
                        "engine d-{index} sent {} MB of interim responses to {}",
                        bytes >> 20,
                        request.id()
                    ));
                    return Ok(false);
                }
                generate(request, stream)
            },
        ));
    }
    for index in 0..DESKS {
        replicas.push(Replica::start(
            &store,
            &format!("c-{index}"),
            "cue-desk",
            6,
            |request, stream| {
                thread::sleep(Duration::from_millis(30));
                kit::answer(stream, 200, &kit::signed(request), &[b'x'; 800])?;
                Ok(true)
            },
        ));
    }
    let gateway = Gateway::start(&case.temporary, "front-1", &store);
    if !gateway.wait_ready() {
        return Verdict::NotRun("the gateway did not get ready".into());
    }
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let mut running = Vec::new();
    let mut number = 0;
    let mut next = [Duration::ZERO; 2];
    while started_at.elapsed() < DURATION {
        thread::sleep(Duration::from_millis(2));
        for (kind, rate) in [(0, REDRAFTS_PER_S), (1, CUES_PER_S)] {
            if started_at.elapsed() < next[kind] {
                continue;
            }
            next[kind] += Duration::from_secs_f64(1.0 / rate);
            number += 1;
            let (front, record, outcomes) = (
                gateway.front,
                Arc::clone(&case.record),
                Arc::clone(&outcomes),
            );
            running.push(thread::spawn(move || {
                let id = kit::new_id();
                let mut client = Client::new(front, Duration::from_secs(20));
                let sent = started_at.elapsed();
                let answered = match (kind, number % 7) {
                    (0, _) => client.call(
                        "POST",
                        "/redraft/a",
                        &id,
                        &[
                            ("Pistachiohall-Deadline-Ms", "15000"),
                            ("Pistachiohall-Model", "m"),
                            ("Pistachiohall-Token-Count", "220,89"),
                            ("Pistachiohall-Prompt-Prefix", "a1:79,b2:141"),
                        ],
                        b"redraft",
                    ),
                    (_, 0 | 1) => client.call(
                        "GET",
                        &format!("/read/{number}"),
                        &id,
                        &[("Pistachiohall-Deadline-Ms", "1000")],
                        b"",
                    ),
                    _ => client.call(
                        "POST",
                        "/advance/a",
                        &id,
                        &[("Pistachiohall-Deadline-Ms", "1000")],
                        id.as_bytes(),
                    ),
                };
                let took = started_at.elapsed() - sent;
                let status = answered.map_or(0, |answer| answer.status);
                record.line(format!(
                    "client: {} {id} sent at {sent:?}: {status} after {took:?}",
                    if kind == 0 { "redraft" } else { "cue" }
                ));
                outcomes.lock().unwrap().push(Outcome {
                    is_cue: kind == 1,
                    sent,
                    took,
                    status,
                });
            }));
        }
    }
    for running in running {
        let _ = running.join();
    }
    let outcomes = outcomes.lock().unwrap();
    for second in 0..DURATION.as_secs() {
        let of = outcomes
            .iter()
            .filter(|outcome| outcome.is_cue && outcome.sent.as_secs() == second);
        let mut of: Vec<&Outcome> = of.collect();
        of.sort_by_key(|outcome| outcome.took);
        let served = of.iter().filter(|outcome| outcome.status == 200).count();
        let (median, longest) = (of.get(of.len() / 2), of.last());
        case.record.line(format!(
            "second {second}: {} cue requests, {served} served, median {:?}, longest {:?}",
            of.len(),
            median.map(|outcome| outcome.took),
            longest.map(|outcome| outcome.took)
        ));
    }
    let unanswered = outcomes
        .iter()
        .filter(|outcome| outcome.took >= outcome.timeout())
        .count();
    let late = outcomes
        .iter()
        .filter(|outcome| outcome.took >= outcome.timeout() + SLACK)
        .count();
    let text = format!(
        "of {} requests {unanswered} were unanswered at their route's timeout, {late} of these half a second later",
        outcomes.len()
    );
    println!("{text}");
    case.record.line(text);
    if outcomes.iter().all(|outcome| outcome.status != 200) {
        return Verdict::NotRun("no request was served".into());
    }
    match 2 * late > unanswered {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
