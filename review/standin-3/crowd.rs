//! Callers that send slowly, and others whose answers come slowly, on machines with little memory; three times.

use std::collections::BTreeMap;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::beat;
use crate::gateway;
use crate::gateway::Gateway;
use crate::replica::Kind;
use crate::replica::Log;
use crate::replica::Replica;
use crate::store::Store;

/// Memory of the machine, and its descriptors without those that are kept for files.
const MEMORY_MB: u64 = 120;
const SOCKETS: usize = 2875;
/// Number of crowds, and of machines: the rule counts three ends at two machines at least.
const CROWDS: usize = 3;
const MACHINES: usize = 2;
/// Time from the end of a process to its next start.
const RESTART: Duration = Duration::from_millis(500);
/// Callers that send slowly, and as many that get slow answers; without the burst, a tenth of each.
const CALLERS: usize = 380;
const FEW_CALLERS: usize = 38;
/// Size of a request's body, and of an answer.
const BODY_BYTES: usize = 64_000;
/// Time between the last byte of a slow body and those before.
const SLOWNESS: Duration = Duration::from_secs(3);

/// The platform's watch over one process, which kills it once it exceeds its machine's memory; returns the most memory
/// that it saw, in kilobytes.
fn watch(gateway: &Gateway, is_over: &AtomicBool) -> u64 {
    let mut most = 0;
    while !is_over.load(Ordering::SeqCst) {
        let memory = gateway.memory_kb("VmRSS");
        most = most.max(memory);
        if memory > MEMORY_MB * 1024 {
            gateway.signal("-KILL");
            return most;
        }
        thread::sleep(Duration::from_millis(10));
    }
    most
}

/// Opens a connection and sends all of a request but the last `left` bytes; returns these with it.
fn begin(to: SocketAddr, request: &[u8], left: usize) -> Option<(TcpStream, Vec<u8>)> {
    let mut stream = TcpStream::connect(to).ok()?;
    let _ = stream.set_nodelay(true);
    let (first, rest) = request.split_at(request.len() - left);
    stream.write_all(first).ok()?;
    Some((stream, rest.to_vec()))
}

/// Sends the requests of `count` callers whose bodies come slowly, and of as many whose answers do; returns the answers
/// by status.
fn send(to: SocketAddr, count: usize, number: &AtomicU64) -> BTreeMap<String, usize> {
    let body = vec![b'x'; BODY_BYTES];
    let mut open = Vec::new();
    for (method, path, body, left) in [
        ("POST", "/advance/a", &body[..], 1),
        ("POST", "/advance/a", &[][..], 0),
    ] {
        for _ in 0..count {
            let id = format!("c{:06x}", number.fetch_add(1, Ordering::SeqCst));
            let fields = [
                ("Pistachiohall-Request-Id", id.as_str()),
                ("Pistachiohall-Deadline-Ms", "15000"),
            ];
            let request = gateway::request(method, path, &fields, body);
            open.extend(begin(to, &request, left));
        }
    }
    thread::sleep(SLOWNESS);
    for (stream, rest) in &mut open {
        let _ = stream.write_all(rest);
    }
    let mut answers: BTreeMap<String, usize> = BTreeMap::new();
    for (stream, _) in &mut open {
        let _ = stream.set_read_timeout(Some(Duration::from_secs(16)));
        let mut start = [0; 12];
        let text = match stream.read_exact(&mut start) {
            Ok(()) => String::from_utf8_lossy(&start[9..]).into_owned(),
            Err(_) => "none".into(),
        };
        *answers.entry(text).or_default() += 1;
    }
    answers
}

pub fn run(folder: &Path, has_trouble: bool) -> Verdict {
    let started = Instant::now();
    let store = Store::new();
    store.put("keyed.op", "config", beat::config(15_000).as_bytes());
    let log = Log::default();
    let _replicas: Vec<Replica> = (1..=3)
        .map(|number| {
            let kind = Kind {
                id: format!("i-c{number}"),
                service: "desk".into(),
                zone: "nottingham".into(),
                version: "v1".into(),
                stage: None,
                slots: 600,
                work: SLOWNESS,
                answer_bytes: BODY_BYTES,
            };
            Replica::start(kind, None, &store, &log)
        })
        .collect();
    let sections = format!("[host]\nmemory = {MEMORY_MB}MiB\n");
    let mut gateways: Vec<Gateway> = (1..=MACHINES)
        .map(|number| {
            let port = store.open();
            let name = format!("front-nottingham-{number}");
            Gateway::start(&name, "nottingham", port.address, &sections, folder)
        })
        .collect();
    gateways.iter().for_each(Gateway::wait_ready);
    thread::sleep(Duration::from_secs(2));
    let mut record = Vec::new();
    let count = if has_trouble { CALLERS } else { FEW_CALLERS };
    assert!(4 * count < SOCKETS);
    let number = AtomicU64::new(0);
    let mut ends = vec![0; MACHINES];
    for _ in 0..CROWDS {
        for (machine, gateway) in gateways.iter_mut().enumerate() {
            let at_rest = gateway.memory_kb("VmRSS");
            let is_over = AtomicBool::new(false);
            let (answers, most) = thread::scope(|scope| {
                let watch = scope.spawn(|| watch(gateway, &is_over));
                let answers = send(gateway.callers, count, &number);
                is_over.store(true, Ordering::SeqCst);
                (answers, watch.join().unwrap())
            });
            let is_killed = most > MEMORY_MB * 1024;
            record.push(format!(
                "{:8.3} {}: {count} callers that send slowly and {count} whose answers come slowly; answers by status {answers:?}; memory {at_rest} kB at rest, {most} kB at most, \
                 {} kB allowed; killed {is_killed}",
                started.elapsed().as_secs_f64(),
                gateway.name,
                MEMORY_MB * 1024
            ));
            if is_killed {
                ends[machine] += 1;
                thread::sleep(RESTART);
                gateway.restart();
                gateway.wait_ready();
            }
        }
    }
    let ran = log.lock().unwrap().iter().filter(|seen| seen.ran).count();
    record.push(format!(
        "{ran} of {} requests ran",
        number.load(Ordering::SeqCst)
    ));
    let ended_often = ends.iter().filter(|ends| **ends >= 3).count();
    record.push(format!(
        "machines whose process ended three times for want of memory: {ended_often} of {MACHINES}; the rule allows 1"
    ));
    Verdict {
        record,
        is_broken: Some(ended_often >= 2),
    }
}
