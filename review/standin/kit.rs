//! Stand-ins for the platform's store, replicas and clients, on loopback sockets, and a runner for
//! the gateway process. Only the standard library is used.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Host name of all routes.
pub const HOST: &str = "shop.example";
/// Interval at which replicas write their entries.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Returns the wall time in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

/// Log of what was sent, answered and run.
pub struct Record {
    started_at: Instant,
    out: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Arc<Self>> {
        Ok(Arc::new(Record {
            started_at: Instant::now(),
            out: Mutex::new(File::create(path)?),
        }))
    }

    pub fn line<T: AsRef<str>>(&self, text: T) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut out = self.out.lock().unwrap();
        let _ = writeln!(out, "{at:9.4} {}", text.as_ref());
    }
}

/// A request as a server reads it.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// Returns the identifier that the client gave the request.
    pub fn id(&self) -> &str {
        self.field("pistachiohall-request-id")
    }
}

fn read_head<R: BufRead>(reader: &mut R) -> io::Result<Option<(String, HashMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut fields = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => {
                fields.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
            None => return Ok(Some((first.trim_end().to_owned(), fields))),
        }
    }
}

fn read_body<R: BufRead>(
    reader: &mut R,
    fields: &HashMap<String, String>,
    to_end: bool,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if fields
        .get("transfer-encoding")
        .is_some_and(|value| value == "chunked")
    {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let length =
                usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            if length == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }
    if let Some(length) = fields.get("content-length") {
        let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    } else if to_end {
        reader.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// Reads a request; `None` if the connection ends before one.
pub fn read_request<R: BufRead>(reader: &mut R) -> io::Result<Option<Request>> {
    let Some((first, fields)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let (Some(method), Some(target)) = (words.next(), words.next()) else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let body = read_body(reader, &fields, false)?;
    Ok(Some(Request {
        method: method.into(),
        path: path.into(),
        query: pairs
            .map(|(name, value)| (name.into(), value.into()))
            .collect(),
        fields,
        body,
    }))
}

/// Writes an answer with its length.
pub fn answer(
    out: &mut TcpStream,
    status: u16,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!(
        "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    out.write_all(&bytes)
}

/// Returns an address on the loopback with a port that is free. No other process of a case has its
/// IP address and no connection goes out from it, so that the port stays free.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let process = std::process::id();
    let number = NEXT.fetch_add(1, Ordering::Relaxed) as u8;
    let ip = Ipv4Addr::new(127, 64 + (process >> 8 & 63) as u8, process as u8, number);
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap()
}

/// Has the system end a process together with the case, also if that is killed.
pub fn end_with_parent(command: &mut Command) {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: usize = 9;
    unsafe extern "C" {
        fn prctl(option: i32, argument: usize) -> i32;
    }
    // SAFETY: `prctl` may be called between `fork` and `exec`.
    unsafe {
        command.pre_exec(|| match prctl(PR_SET_PDEATHSIG, SIGKILL) {
            0 => Ok(()),
            _ => Err(io::Error::last_os_error()),
        });
    }
}

/// Serves connections, a thread each, until the process ends. `handle` returns `false` to close.
pub fn serve<F>(listener: TcpListener, handle: F)
where
    F: Fn(Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handle = Arc::clone(&handle);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || {
                let Ok(copy) = stream.try_clone() else { return };
                let mut reader = BufReader::new(copy);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    if !matches!(handle(request, &mut stream), Ok(true)) {
                        return;
                    }
                }
            });
        }
    });
}

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

impl Topic {
    fn append(&mut self, content: Vec<u8>) -> u64 {
        let offset = self.records.len() as u64;
        let length = usize::from(content[0]);
        let key = String::from_utf8_lossy(&content[1..1 + length]).into_owned();
        match content[1 + length..].is_empty() {
            true => self.newest.remove(&key),
            false => self
                .newest
                .insert(key, (offset, content[1 + length..].to_vec())),
        };
        self.records.push(content);
        offset
    }
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<HashMap<String, Topic>>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let shared = Arc::new((Mutex::new(HashMap::new()), Condvar::new()));
        let store = Store { address, shared };
        let own = store.clone();
        serve(listener, move |request, stream| {
            own.handle(&request, stream)
        });
        store
    }

    /// Writes the newest record of a key, as the operator and the replicas do; an empty value
    /// removes it.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut content = vec![key.len() as u8];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value.as_bytes());
        let mut topics = self.shared.0.lock().unwrap();
        topics.entry(topic.into()).or_default().append(content);
        self.shared.1.notify_all();
    }

    fn handle(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let name = request.query.get("topic").cloned().unwrap_or_default();
        let number = |name: &str| {
            request
                .query
                .get(name)
                .and_then(|value| value.parse::<u64>().ok())
        };
        let era = ("Store-Era", "1");
        let json = [era, ("Content-Type", "application/json")];
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/log-append") => {
                if matches!(name.as_str(), "keyed.op" | "keyed.servers") {
                    answer(stream, 403, &json, b"{}")?;
                    return Ok(true);
                }
                thread::sleep(Duration::from_millis(2));
                let mut topics = self.shared.0.lock().unwrap();
                let topic = topics.entry(name).or_default();
                let end = topic.records.len() as u64;
                let (status, body) = match number("at") {
                    Some(at) if at != end => (412, format!("{{\"end_offset\":{end}}}")),
                    _ => {
                        let offset = topic.append(request.body[4..].to_vec());
                        (
                            200,
                            format!("{{\"offset\":{offset},\"end_offset\":{}}}", offset + 1),
                        )
                    }
                };
                drop(topics);
                self.shared.1.notify_all();
                answer(stream, status, &json, body.as_bytes())?;
            }
            ("GET", "/v1/log-read") => {
                let from = number("from").unwrap_or(0) as usize;
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                let topics = self.shared.0.lock().unwrap();
                let end = |topics: &HashMap<String, Topic>| {
                    topics.get(&name).map_or(0, |topic| topic.records.len())
                };
                let (topics, _) = self
                    .shared
                    .1
                    .wait_timeout_while(topics, wait, |topics| end(topics) == from)
                    .unwrap();
                if from > end(&topics) {
                    drop(topics);
                    answer(stream, 410, &json, b"{\"first_offset\":0}")?;
                    return Ok(true);
                }
                let mut body = (end(&topics) as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in topics
                    .get(&name)
                    .into_iter()
                    .flat_map(|topic| &topic.records[from..])
                {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                drop(topics);
                answer(stream, 200, &[era], &body)?;
            }
            ("GET", "/v1/log-newest") => {
                let topics = self.shared.0.lock().unwrap();
                let empty = Topic::default();
                let topic = topics.get(&name).unwrap_or(&empty);
                let items = topic.newest.iter().map(|(key, (offset, value))| {
                    format!(
                        "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                        base64(value)
                    )
                });
                let items = items.collect::<Vec<_>>().join(",");
                let end = topic.records.len();
                drop(topics);
                let body = format!("{{\"items\":[{items}],\"more\":false,\"end_offset\":{end}}}");
                answer(stream, 200, &json, body.as_bytes())?;
            }
            _ => answer(stream, 404, &json, b"{}")?,
        }
        Ok(true)
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = chunk
            .iter()
            .fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(DIGITS[(number >> (18 - 6 * index)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// A replica of a plain service. It counts its runs, answers health checks and, where it isn't the
/// one that is expected, 421.
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
}

impl Replica {
    /// Starts a replica and keeps its entry in the store. `run` serves each request that is meant
    /// for this replica.
    pub fn start<F>(store: &Store, id: &str, service: &str, slots: usize, run: F) -> Self
    where
        F: Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
    {
        Replica::start_at_stage(store, id, service, slots, None, run)
    }

    /// Starts a replica that is an engine if it has a stage.
    pub fn start_at_stage<F>(
        store: &Store,
        id: &str,
        service: &str,
        slots: usize,
        stage: Option<&'static str>,
        run: F,
    ) -> Self
    where
        F: Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (own, born) = (id.to_owned(), wall_ms());
        serve(listener, move |request, stream| {
            if request.path == "/v1/report" {
                let body = format!(
                    "{{\"stage\":\"{}\",\"models\":[],\"busy\":false,\"sequence\":0,\"queued\":0,\"active\":0,\
                     \"kv_used\":0,\"kv_total\":685000,\"kv_handles\":0,\"born\":{born}}}",
                    stage.unwrap_or_default()
                );
                answer(
                    stream,
                    200,
                    &[("Content-Type", "application/json")],
                    body.as_bytes(),
                )?;
                return Ok(true);
            }
            if request.path == "/healthz" {
                answer(stream, 200, &[("Pistachiohall-Replica-Id", &own)], b"{}")?;
                return Ok(true);
            }
            let expected = request.field("pistachiohall-expect-instance");
            if !expected.is_empty() && expected != own {
                answer(
                    stream,
                    421,
                    &[("Pistachiohall-Request-Id", request.id())],
                    b"",
                )?;
                return Ok(true);
            }
            run(&request, stream)
        });
        let (store, own, service) = (store.clone(), id.to_owned(), service.to_owned());
        let stage = stage.map_or_else(String::new, |stage| format!(",\"stage\":\"{stage}\""));
        let write = move |sequence: u64| {
            let entry = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"derby\",\"version\":\"v1\",\
                 \"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\"born\":{born}{stage}}}"
            );
            store.put("keyed.servers", &own, &entry);
        };
        write(1);
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(HEARTBEAT);
                write(sequence);
            }
        });
        Replica {
            id: id.into(),
            address,
        }
    }
}

/// Returns the signed fields of a replica's own answer to a request.
pub fn signed(request: &Request) -> [(&str, &str); 2] {
    [
        ("Pistachiohall-Request-Id", request.id()),
        ("Pistachiohall-Server-Stamp", "3e1b.07.5a2.600.0.c9f2a4d1"),
    ]
}

/// A gateway process, killed when dropped.
pub struct Gateway {
    child: Child,
    settings: PathBuf,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

impl Gateway {
    /// Starts the program of the deploy file with the settings of a small deployment.
    pub fn start(folder: &Path, name: &str, store: &Store) -> Self {
        let addresses: Vec<SocketAddr> = (0..4).map(|_| free_address()).collect();
        let address = |index: usize| addresses[index];
        let text = format!(
            "[gateway]\nname = {name}\ndomain = derby\nlisten = {}\nready_listen = {}\npeer_listen = {}\n\
             metrics_listen = {}\nstore = {}\n[repeats]\nratio = 0.2\nslack = 52\nwindow = 10s\n\
             [shutdown]\nlimit = 8s\n[orders]\nlease = 3000ms\n",
            address(0),
            address(1),
            address(2),
            address(3),
            store.address
        );
        let settings = folder.join(format!("{name}.ini"));
        std::fs::write(&settings, text).unwrap();
        let child = Gateway::spawn(&settings);
        Gateway {
            child,
            settings,
            front: address(0),
            ready: address(1),
        }
    }

    fn spawn(settings: &Path) -> Child {
        let log = File::options()
            .create(true)
            .append(true)
            .open(settings.with_extension("log"))
            .unwrap();
        let mut command = Command::new("target/release/pistachiohall");
        command.arg("serve").env("PISTACHIOHALL_SETTINGS", settings);
        command
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log);
        end_with_parent(&mut command);
        command.spawn().unwrap()
    }

    /// Starts the process again, with the same settings.
    pub fn restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.child = Gateway::spawn(&self.settings);
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the gateway reports itself ready; `false` if that takes too long.
    pub fn wait_ready(&self) -> bool {
        let started_at = Instant::now();
        while started_at.elapsed() < Duration::from_secs(15) {
            let mut client = Client::new(self.ready, Duration::from_secs(1));
            if client
                .call("GET", "/v1/readyz", "ready", &[], b"")
                .is_ok_and(|answer| answer.status == 200)
            {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An answer as a client reads it.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// A client with a kept connection.
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    stream: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Client {
            address,
            timeout,
            stream: None,
        }
    }

    /// Returns `true` if the next request goes over a connection that has served one before.
    pub fn is_kept(&self) -> bool {
        self.stream.is_some()
    }

    /// Closes the connection.
    pub fn close(&mut self) {
        self.stream = None;
    }

    /// Sends a request and reads the whole answer.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Answer> {
        if self.stream.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            self.stream = Some(BufReader::new(stream));
        }
        let mut reader = self.stream.take().unwrap();
        reader.get_ref().set_read_timeout(Some(self.timeout))?;
        let mut head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nPistachiohall-Request-Id: {id}\r\n"
        );
        for (name, value) in fields {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() || method == "POST" {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        reader.get_mut().write_all(head.as_bytes())?;
        reader.get_mut().write_all(body)?;
        let (first, fields) = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = first
            .split(' ')
            .nth(1)
            .and_then(|word| word.parse().ok())
            .ok_or(io::ErrorKind::InvalidData)?;
        let body = match status {
            204 => Vec::new(),
            _ => read_body(&mut reader, &fields, true)?,
        };
        if !fields
            .get("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
        {
            self.stream = Some(reader);
        }
        Ok(Answer {
            status,
            fields,
            body,
        })
    }
}

/// Returns a new identifier of a client attempt.
pub fn new_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT
        .fetch_add(1, Ordering::Relaxed)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{number:016x}")
}
