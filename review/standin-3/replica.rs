//! Stand-in for a replica: a plain service or a model engine that registers itself, runs requests and can end and
//! start again.

use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Message;
use crate::store::Store;

pub const STAMP: &str = "3e1b.07.5a2.600.0.c9f2a4d1";

/// Time between two writes of a replica's entry.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Time that an engine takes to change its stage.
const SWITCH: Duration = Duration::from_secs(3);

/// What a replica is.
#[derive(Debug, Clone)]
pub struct Kind {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    /// Stage of an engine; `None` for a plain service.
    pub stage: Option<&'static str>,
    pub slots: usize,
    /// Time that a plain request takes, and time between two events.
    pub work: Duration,
}

/// A request that a replica got.
#[derive(Debug, Clone)]
pub struct Seen {
    pub at: Instant,
    pub replica: String,
    pub version: String,
    pub id: String,
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub ran: bool,
}

/// All requests that replicas got, in order.
pub type Log = Arc<Mutex<Vec<Seen>>>;

struct Life {
    kind: Kind,
    stage: Mutex<Option<&'static str>>,
    /// Number of orders accepted, and whether one is being carried out.
    orders: AtomicU64,
    is_busy: AtomicBool,
    born: u64,
    is_over: AtomicBool,
    is_leaving: AtomicBool,
    sequence: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    log: Log,
}

/// One incarnation of a replica.
pub struct Replica {
    pub address: SocketAddr,
    life: Arc<Life>,
    store: Store,
}

pub fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

impl Replica {
    /// Starts a replica, which registers itself at once and then once a heartbeat.
    pub fn start(kind: Kind, address: Option<SocketAddr>, store: &Store, log: &Log) -> Self {
        let address = address.unwrap_or_else(|| ([127, 0, 0, 1], 0).into());
        let started = Instant::now();
        let listener = loop {
            match TcpListener::bind(address) {
                Ok(listener) => break listener,
                Err(cause) => assert!(started.elapsed() < Duration::from_secs(5), "{cause}"),
            }
            thread::sleep(Duration::from_millis(5));
        };
        let address = listener.local_addr().unwrap();
        let life = Arc::new(Life {
            stage: Mutex::new(kind.stage),
            kind,
            orders: AtomicU64::new(0),
            is_busy: AtomicBool::new(false),
            born: now_ms(),
            is_over: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            sequence: AtomicU64::new(0),
            connections: Mutex::default(),
            log: Arc::clone(log),
        });
        let replica = Replica {
            address,
            life: Arc::clone(&life),
            store: store.clone(),
        };
        replica.write();
        let (own, own_store, store) = (Arc::clone(&life), store.clone(), store.clone());
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if own.is_over.load(Ordering::SeqCst) {
                    return;
                }
                write(&own, address, &store);
            }
        });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if life.is_over.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                life.connections
                    .lock()
                    .unwrap()
                    .push(stream.try_clone().unwrap());
                let (life, store) = (Arc::clone(&life), own_store.clone());
                thread::spawn(move || serve(&life, stream, address, &store));
            }
        });
        replica
    }

    fn write(&self) {
        write(&self.life, self.address, &self.store);
    }

    /// Returns the stage of an engine.
    pub fn stage(&self) -> Option<&'static str> {
        *self.life.stage.lock().unwrap()
    }

    /// Returns the text of the entry as the replica would write it now.
    pub fn entry(&self) -> String {
        text(&self.life, self.address)
    }

    /// Leaves without a word in its entry: it writes no more, the store removes the entry, and the replica goes on
    /// serving until it is ended. All its answers say that it leaves.
    pub fn leave(&self) {
        self.life.is_leaving.store(true, Ordering::SeqCst);
        self.store.put("keyed.servers", &self.life.kind.id, b"");
    }

    /// Ends the process: the port is closed and all connections break off. The entry stays for three heartbeats, or
    /// until the replica starts again.
    pub fn end(self) -> (Kind, SocketAddr) {
        self.life.is_over.store(true, Ordering::SeqCst);
        for stream in self.life.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the accept call, so that the port is closed on return.
        let _ = TcpStream::connect(self.address);
        let (store, life) = (self.store.clone(), Arc::clone(&self.life));
        thread::spawn(move || {
            thread::sleep(3 * HEARTBEAT);
            store.remove_entry(&life.kind.id, life.born);
        });
        thread::sleep(Duration::from_millis(20));
        (self.life.kind.clone(), self.address)
    }
}

fn write(life: &Life, address: SocketAddr, store: &Store) {
    if life.is_leaving.load(Ordering::SeqCst) {
        return;
    }
    let entry = text(life, address);
    store.put_entry(&life.kind.id, entry.as_bytes());
}

fn text(life: &Life, address: SocketAddr) -> String {
    let sequence = life.sequence.fetch_add(1, Ordering::SeqCst);
    let kind = &life.kind;
    let stage = life.stage.lock().unwrap().map_or(String::new(), |stage| {
        format!(
            "\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],"
        )
    });
    format!(
        "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"{}\",\"version\":\"{}\",\"slots\":{},\
         \"state\":\"ready\",{stage}\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
        kind.service, kind.zone, kind.version, kind.slots, life.born
    )
}

fn serve(
    life: &Arc<Life>,
    mut stream: TcpStream,
    address: SocketAddr,
    store: &Store,
) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    while let Ok(Some(request)) = http::read(&mut reader, false) {
        if life.is_over.load(Ordering::SeqCst) {
            return None;
        }
        if request.path() == "/v1/order" {
            let status = take_order(life, &request, address, store);
            http::answer(
                &mut stream,
                status,
                &[("Content-Type", "application/json")],
                b"{}",
            )
            .ok()?;
            continue;
        }
        answer(life, &request, &mut stream).ok()?;
    }
    None
}

/// Takes an order to change the stage, which is carried out a while later.
fn take_order(life: &Arc<Life>, request: &Message, address: SocketAddr, store: &Store) -> u16 {
    let body = String::from_utf8_lossy(&request.body).into_owned();
    let field = |name: &str| {
        let rest = body.split_once(&format!("\"{name}\":"))?.1;
        let end = rest.find([',', '}'])?;
        Some(rest[..end].trim_matches('"').to_string())
    };
    if request.field("pistachiohall-expect-instance") != life.kind.id {
        return 421;
    }
    let stage = match field("stage").as_deref() {
        Some("prefill") => "prefill",
        Some("decode") => "decode",
        _ => return 400,
    };
    if *life.stage.lock().unwrap() == Some(stage) {
        return 200;
    }
    let orders = life.orders.load(Ordering::SeqCst);
    let is_expected = field("expect").is_none_or(|expected| expected == orders.to_string());
    if !is_expected || life.is_busy.swap(true, Ordering::SeqCst) {
        return 409;
    }
    life.orders.fetch_add(1, Ordering::SeqCst);
    let (life, store) = (Arc::clone(life), store.clone());
    thread::spawn(move || {
        thread::sleep(SWITCH);
        *life.stage.lock().unwrap() = Some(stage);
        life.is_busy.store(false, Ordering::SeqCst);
        write(&life, address, &store);
    });
    202
}

fn answer(life: &Life, request: &Message, stream: &mut TcpStream) -> std::io::Result<()> {
    let (kind, stage) = (&life.kind, *life.stage.lock().unwrap());
    let id = request.field("pistachiohall-request-id").to_string();
    let expected = request.field("pistachiohall-expect-instance");
    let is_other = !expected.is_empty() && expected != kind.id;
    let is_own = ["/v1/", "/healthz"]
        .iter()
        .any(|path| request.path().starts_with(path));
    let reads = request.field("pistachiohall-stage") == "prefill";
    let is_wrong_stage = stage.is_some() && !is_own && reads != (stage == Some("prefill"));
    let is_busy = !is_own && life.is_busy.load(Ordering::SeqCst);
    let ran = !is_other && !is_own && !is_wrong_stage && !is_busy && !reads;
    life.log.lock().unwrap().push(Seen {
        at: Instant::now(),
        replica: kind.id.clone(),
        version: kind.version.clone(),
        id: id.clone(),
        start: request.start.clone(),
        fields: request.fields.clone(),
        ran,
    });
    if is_other || is_wrong_stage {
        let fields = [
            ("Pistachiohall-Request-Id", id.as_str()),
            ("Pistachiohall-Not-Executed", "1"),
        ];
        return http::answer(stream, 421, &fields, b"");
    }
    if is_busy {
        let fields = [
            ("Pistachiohall-Request-Id", id.as_str()),
            ("Pistachiohall-Not-Executed", "1"),
        ];
        return http::answer(stream, 503, &fields, b"");
    }
    match request.path() {
        "/v1/report" => {
            let body = format!(
                "{{\"stage\":\"{}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":{},\
                 \"sequence\":{},\"queued\":0,\"active\":0,\"kv_used\":0,\"kv_total\":90000,\"kv_handles\":0,\"born\":{}}}",
                stage.unwrap_or("decode"),
                life.is_busy.load(Ordering::SeqCst),
                life.orders.load(Ordering::SeqCst),
                life.born
            );
            return http::answer(
                stream,
                200,
                &[("Content-Type", "application/json")],
                body.as_bytes(),
            );
        }
        "/healthz" => {
            let body = format!("{{\"born\":{}}}", life.born);
            return http::answer(
                stream,
                200,
                &[("Pistachiohall-Replica-Id", &kind.id)],
                body.as_bytes(),
            );
        }
        path if path.starts_with("/v1/") => return http::answer(stream, 200, &[], b"{}"),
        _ => (),
    }
    let mut fields = vec![
        ("Pistachiohall-Request-Id", id.as_str()),
        ("Pistachiohall-Server-Stamp", STAMP),
    ];
    if life.is_leaving.load(Ordering::SeqCst) {
        fields.push(("Server-Leaving", "1"));
    }
    let Some(_) = kind.stage else {
        thread::sleep(kind.work);
        let body = format!("{} {} {id}", kind.id, kind.version);
        return http::answer(stream, 200, &fields, body.as_bytes());
    };
    if reads {
        let body = format!("{{\"kv_handle\":\"{id}\",\"tokens\":100,\"version\":1}}");
        return http::answer(stream, 200, &fields, body.as_bytes());
    }
    let sizes = request.field("pistachiohall-token-count");
    let last: u64 = sizes
        .split(',')
        .nth(1)
        .and_then(|text| text.trim().parse().ok())
        .unwrap_or(4);
    let after: u64 = request.field("last-event-id").parse().unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nPistachiohall-Request-Id: {id}\r\n\
         Pistachiohall-Server-Stamp: {STAMP}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for number in after + 1..=last {
        if life.is_over.load(Ordering::SeqCst) {
            return Err(std::io::ErrorKind::BrokenPipe.into());
        }
        let event = format!("id: {number}\ndata: {} {}\n\n", kind.version, kind.id);
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        thread::sleep(kind.work);
    }
    stream.write_all(b"0\r\n\r\n")
}
