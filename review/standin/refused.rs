//! REFUSED: a replica that is grey runs requests and answers 503 to them.

use std::collections::HashMap;
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
use crate::kit::Store;

/// Replicas of the service; one of them is grey, a share of 0.14.
const REPLICAS: usize = 7;
/// The grey replica fails four of ten requests.
const FAILED_OF_TEN: u64 = 4;
const CLIENTS: usize = 8;
const DURATION: Duration = Duration::from_secs(20);
/// From when on the replica is grey, and for how long (`srv_grey` lasts 6.5 s on the site's days).
const GREY_FROM: Duration = Duration::from_secs(5);
const GREY_FOR: Duration = Duration::from_millis(6500);
/// Time that a replica works on a request.
const WORK: Duration = Duration::from_millis(60);
/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

const CONFIG: &str = r#"{"version": 3, "routes": [{"name": "pay", "host": "shop.example", "path_prefix": "/pay/",
"type": "unsafe", "timeout_ms": 4000, "target_latency_ms": 300, "priority": 2, "service": "listings-app", "max_attempts": 2}],
"services": [{"name": "listings-app", "health_path": "/healthz", "max_connections": 96}],
"limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000}}"#;

pub fn run(case: &Case) -> Verdict {
    let store = Store::start();
    store.put("keyed.op", "config", CONFIG);
    let started_at = Instant::now();
    let grey_until = GREY_FROM + GREY_FOR;
    // Identifiers of the requests that ran, with the number of runs.
    let runs: Arc<Mutex<HashMap<String, usize>>> = Arc::default();
    let _replicas: Vec<Replica> = (0..REPLICAS)
        .map(|index| {
            let (runs, record, is_disturbed) = (
                Arc::clone(&runs),
                Arc::clone(&case.record),
                case.is_disturbed,
            );
            let served = AtomicU64::new(0);
            Replica::start(
                &store,
                &format!("i-{index:02}"),
                "listings-app",
                6,
                move |request, stream| {
                    let payment = String::from_utf8_lossy(&request.body).into_owned();
                    *runs
                        .lock()
                        .unwrap()
                        .entry(request.id().to_owned())
                        .or_default() += 1;
                    record.line(format!(
                        "replica i-{index:02} runs {} ({payment})",
                        request.id()
                    ));
                    thread::sleep(WORK);
                    let is_grey = is_disturbed
                        && index == 0
                        && (GREY_FROM..grey_until).contains(&started_at.elapsed());
                    let is_failed =
                        is_grey && served.fetch_add(1, Ordering::Relaxed) % 10 < FAILED_OF_TEN;
                    // The replica's own failure, signed, and without `Pistachiohall-Not-Executed`: it has run.
                    let (status, body) = if is_failed {
                        (503, "ledger not reached\n")
                    } else {
                        (200, "posted\n")
                    };
                    record.line(format!(
                        "replica i-{index:02} answers {} with {status}",
                        request.id()
                    ));
                    kit::answer(stream, status, &kit::signed(request), body.as_bytes())?;
                    Ok(true)
                },
            )
        })
        .collect();
    let gateway = Gateway::start(&case.temporary, "front-1", &store);
    if !gateway.wait_ready() {
        return Verdict::NotRun("the gateway did not get ready".into());
    }
    let broken = Arc::new(AtomicU64::new(0));
    let served = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (runs, record, front) =
                (Arc::clone(&runs), Arc::clone(&case.record), gateway.front);
            let (broken, served) = (Arc::clone(&broken), Arc::clone(&served));
            thread::spawn(move || {
                let mut connection = Client::new(front, Duration::from_secs(5));
                for number in 0.. {
                    if started_at.elapsed() > DURATION {
                        return;
                    }
                    pay(
                        &mut connection,
                        &format!("payment {client}-{number}"),
                        &runs,
                        &record,
                        &broken,
                        &served,
                    );
                    thread::sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();
    for client in clients {
        if client.join().is_err() {
            return Verdict::NotRun("a client failed".into());
        }
    }
    let (broken, served) = (
        broken.load(Ordering::Relaxed),
        served.load(Ordering::Relaxed),
    );
    case.record.line(format!(
        "{served} payments answered 200, {broken} requests refused though they had run"
    ));
    match (broken, served) {
        (_, 0) => Verdict::NotRun("no payment was served".into()),
        (0, _) => Verdict::Held,
        _ => Verdict::Broken,
    }
}

/// Posts a payment as clients do: a request that was refused is sent once more, as a new one.
fn pay(
    connection: &mut Client,
    payment: &str,
    runs: &Mutex<HashMap<String, usize>>,
    record: &kit::Record,
    broken: &AtomicU64,
    served: &AtomicU64,
) {
    for attempt in 0..2 {
        let id = kit::new_id();
        record.line(format!("client sends {id} ({payment}, attempt {attempt})"));
        let fields = [("Pistachiohall-Deadline-Ms", "4000")];
        let answered = connection.call("POST", "/pay/fee", &id, &fields, payment.as_bytes());
        let Ok(answer) = answered else {
            record.line(format!("client gets no answer to {id}"));
            return connection.close();
        };
        let has_run = runs.lock().unwrap().contains_key(&id);
        record.line(format!(
            "client gets {} to {id}, which {}",
            answer.status,
            if has_run { "has run" } else { "has not run" }
        ));
        if answer.status == 200 {
            served.fetch_add(1, Ordering::Relaxed);
        }
        if !PROMISES.contains(&answer.status) {
            return;
        }
        if has_run {
            record.line(format!(
                "REFUSED broken: {id} is answered {} and has run; the client sends {payment} again",
                answer.status
            ));
            broken.fetch_add(1, Ordering::Relaxed);
        }
        connection.close();
    }
}
