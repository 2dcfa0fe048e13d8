//! A stand-in for an upstream: a plain service or a model engine, sound or not.

use std::collections::HashSet;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use super::endless;
use super::store::Store;
use super::wire;
use super::wire::Fields;
use super::wire::Next;
use super::wire::Request;
use super::wire::Server;

/// Signature of all answers.
pub const STAMP: &str = "3e1b.07.5a2.600.0.c9f2a4d1";
/// Longest time that a request hangs.
const HANG_TIME: Duration = Duration::from_secs(20);

/// How an upstream treats requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Manner {
    /// It answers well.
    #[default]
    Sound,
    /// It refuses and does not run them.
    Shed,
    /// It runs them and fails, with its signature.
    Fail,
    /// It runs them and does not answer.
    Hang,
    /// It runs them and resets the connection.
    Reset,
    /// It answers for another request.
    Foreign,
    /// Its answer has no signature.
    Unsigned,
    /// Its answer ends early.
    Short,
    /// Its answer is encoded.
    Encoded,
    /// It sends a second answer after the first.
    Extra,
    /// It sends a second answer too, as late as the next request on the connection.
    Late,
    /// It breaks a stream off within the event of this number.
    Break(u64),
    /// It sends fields without end in place of an answer's head.
    EndlessHead,
    /// It sends a signed answer whose body has no end.
    EndlessBody,
    /// It refuses in a body that has no end and comes slowly.
    EndlessRefusal,
    /// It sends an event that has no end.
    EndlessEvent,
    /// It sends a byte of an event now and then, and never its end.
    Drip,
}

/// A request that an upstream got.
#[derive(Debug, Clone)]
pub struct Seen {
    /// When it arrived.
    pub at: Instant,
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Fields of the head.
    pub fields: Fields,
    /// Body.
    pub body: Vec<u8>,
    /// Whether it ran.
    pub ran: bool,
    /// How long after its arrival the caller closed the connection, for a request whose answer does
    /// not end.
    pub left_after: Option<Duration>,
    /// Bytes of an answer without end that were written.
    pub poured: usize,
    /// Whether it was refused with a time for which the upstream wants no more.
    pub asked_pause: bool,
    /// Whether its answers said that it leaves when the request came.
    pub said_leaving: bool,
}

impl Seen {
    /// Returns a field of the head, or nothing.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

#[derive(Debug)]
struct State {
    id: String,
    stage: Option<&'static str>,
    manner: Manner,
    seen: Vec<Seen>,
    handles: HashSet<String>,
    callers: HashSet<SocketAddr>,
    orders: u64,
    fence: u64,
    pause: Duration,
    beat: u64,
    /// Whether its answers say that it leaves.
    is_leaving: bool,
    /// Value of the `Retry-After` field of its refusals.
    retry_after: Option<String>,
}

/// The stand-in.
#[derive(Debug)]
pub struct Replica {
    service: String,
    domain: String,
    born: u64,
    state: Arc<Mutex<State>>,
    server: Server,
}

impl Replica {
    /// Starts an upstream; `stage` is `prefill` or `decode` for an engine.
    ///
    /// # Errors
    ///
    /// Fails if no port can be listened on.
    pub fn start(
        id: &str,
        service: &str,
        domain: &str,
        stage: Option<&'static str>,
    ) -> io::Result<Self> {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        Replica::start_at(address, id, service, domain, stage)
    }

    /// Starts an upstream at an address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub fn start_at(
        address: SocketAddr,
        id: &str,
        service: &str,
        domain: &str,
        stage: Option<&'static str>,
    ) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State {
            id: id.into(),
            stage,
            manner: Manner::default(),
            seen: Vec::new(),
            handles: HashSet::new(),
            callers: HashSet::new(),
            orders: 0,
            fence: 0,
            pause: Duration::ZERO,
            beat: 0,
            is_leaving: false,
            retry_after: None,
        }));
        let own = Arc::clone(&state);
        let server = Server::start(address, move |request, stream| {
            handle(&own, request, stream)
        })?;
        Ok(Replica {
            service: service.into(),
            domain: domain.into(),
            born: 1,
            state,
            server,
        })
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("replica lock")
    }

    /// Returns where it serves.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes how it treats requests.
    pub fn set_manner(&self, manner: Manner) {
        self.state().manner = manner;
    }

    /// Changes the pause before an answer, and between the events of a stream.
    pub fn set_pause(&self, pause: Duration) {
        self.state().pause = pause;
    }

    /// Has all its answers say, or no longer say, that it leaves.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.state().is_leaving = is_leaving;
    }

    /// Changes the value of the `Retry-After` field of its refusals.
    pub fn set_retry_after(&self, value: Option<&str>) {
        self.state().retry_after = value.map(str::to_owned);
    }

    /// Returns all requests that it got.
    pub fn seen(&self) -> Vec<Seen> {
        self.state().seen.clone()
    }

    /// Returns how many requests ran.
    pub fn runs(&self) -> usize {
        self.state().seen.iter().filter(|seen| seen.ran).count()
    }

    /// Returns its stage and how many orders it has accepted.
    pub fn role(&self) -> (Option<&'static str>, u64) {
        let state = self.state();
        (state.stage, state.orders)
    }

    /// Returns how many connections are open.
    pub fn open_connections(&self) -> usize {
        self.server.open_connections()
    }

    /// Ends all open connections.
    pub fn cut_connections(&self) {
        self.server.cut_connections();
    }

    /// Returns its entry in the registry.
    pub fn entry(&self, condition: &str) -> Value {
        let mut state = self.state();
        state.beat += 1;
        let mut entry = json!({
            "service": self.service, "address": self.address().to_string(), "zone": self.domain,
            "version": "v1", "slots": 8, "state": condition, "cold_remaining_ms": 0,
            "sequence": state.beat, "born": self.born,
        });
        if let Some(stage) = state.stage {
            entry["stage"] = json!(stage);
        }
        entry
    }

    /// Writes its entry, in the condition `ready` or `draining`.
    pub fn register(&self, store: &Store, condition: &str) {
        let id = self.state().id.clone();
        let entry = self.entry(condition).to_string();
        store.put("keyed.servers", &id, entry.as_bytes());
    }
}

fn handle(shared: &Mutex<State>, request: Request, stream: &mut TcpStream) -> io::Result<Next> {
    let (id, manner, stage, pause) = {
        let state = shared.lock().expect("replica lock");
        (state.id.clone(), state.manner, state.stage, state.pause)
    };
    match request.path.as_str() {
        "/v1/report" if let Some(answer) = endless::Answer::of(manner, "") => {
            let index = note(shared, &request, false);
            return pour(shared, index, &answer, stream);
        }
        "/v1/report" => return report(shared, stream),
        "/v1/order" => return order(shared, &request, stream),
        path if path.starts_with("/v1/kv-handle/") => {
            let name = path.trim_start_matches("/v1/kv-handle/");
            shared.lock().expect("replica lock").handles.remove(name);
            say(shared, stream, 200, &[], b"")?;
            return Ok(Next::Keep);
        }
        _ => (),
    }
    let own_id = request
        .fields
        .get("pistachiohall-request-id")
        .cloned()
        .unwrap_or_default();
    let expected = request.fields.get("pistachiohall-expect-instance");
    let is_other = expected.is_some_and(|expected| *expected != id);
    let reads = request
        .fields
        .get("pistachiohall-stage")
        .is_some_and(|stage| stage == "prefill");
    let is_wrong_stage = stage.is_some() && reads != (stage == Some("prefill"));
    if is_other || is_wrong_stage {
        note(shared, &request, false);
        say(
            shared,
            stream,
            421,
            &[("Pistachiohall-Request-Id", &own_id)],
            b"",
        )?;
        return Ok(Next::Keep);
    }
    if manner == Manner::Shed {
        let index = note(shared, &request, false);
        {
            let mut state = shared.lock().expect("replica lock");
            state.seen[index].asked_pause = state.retry_after.is_some();
        }
        let fields = [
            ("Pistachiohall-Request-Id", own_id.as_str()),
            ("Pistachiohall-Not-Executed", "1"),
        ];
        say(shared, stream, 503, &fields, b"")?;
        return Ok(Next::Keep);
    }
    if let Some(answer) = endless::Answer::of(manner, &own_id) {
        let index = note(shared, &request, manner != Manner::EndlessRefusal);
        return pour(shared, index, &answer, stream);
    }
    if reads {
        return read_ahead(shared, &request, &own_id, stream);
    }
    if let Some(source) = request.fields.get("pistachiohall-kv-source")
        && !source.contains('/')
    {
        note(shared, &request, false);
        say(
            shared,
            stream,
            503,
            &[("Pistachiohall-Not-Executed", "1")],
            b"",
        )?;
        return Ok(Next::Keep);
    }
    let index = note(shared, &request, true);
    thread::sleep(pause);
    match stage {
        None => plain(shared, index, manner, &own_id, stream),
        Some(_) => generate(shared, index, &request, &own_id, stream),
    }
}

/// Writes an answer, with the fields by which the upstream speaks of itself.
fn say<W>(
    shared: &Mutex<State>,
    out: &mut W,
    status: u16,
    fields: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()>
where
    W: Write,
{
    let own = own_fields(shared, status);
    let own = own.iter().map(|(name, value)| (*name, value.as_str()));
    let fields: Vec<(&str, &str)> = fields.iter().copied().chain(own).collect();
    wire::answer(out, status, &fields, body)
}

fn own_fields(shared: &Mutex<State>, status: u16) -> Vec<(&'static str, String)> {
    let state = shared.lock().expect("replica lock");
    let mut fields = Vec::new();
    if state.is_leaving {
        fields.push(("Server-Leaving", "1".to_owned()));
    }
    if let (503, Some(value)) = (status, &state.retry_after) {
        fields.push(("Retry-After", value.clone()));
    }
    fields
}

fn note(shared: &Mutex<State>, request: &Request, ran: bool) -> usize {
    let mut state = shared.lock().expect("replica lock");
    let said_leaving = state.is_leaving;
    state.seen.push(Seen {
        at: Instant::now(),
        method: request.method.clone(),
        path: request.path.clone(),
        fields: request.fields.clone(),
        body: request.body.clone(),
        ran,
        left_after: None,
        poured: 0,
        asked_pause: false,
        said_leaving,
    });
    state.seen.len() - 1
}

fn report(shared: &Mutex<State>, stream: &mut TcpStream) -> io::Result<Next> {
    let body = {
        let state = shared.lock().expect("replica lock");
        json!({"stage": state.stage, "models": [], "busy": false, "sequence": state.orders,
               "queued": 0, "active": 0, "kv_used": 0, "kv_total": 0, "kv_handles": 0})
    };
    say(shared, stream, 200, &[], body.to_string().as_bytes())?;
    Ok(Next::Keep)
}

fn order(shared: &Mutex<State>, request: &Request, stream: &mut TcpStream) -> io::Result<Next> {
    let order: Value = serde_json::from_slice(&request.body)?;
    let status = {
        let mut state = shared.lock().expect("replica lock");
        let fence = order["fence"].as_u64().unwrap_or_default();
        let stage = match order["stage"].as_str() {
            Some("prefill") => "prefill",
            _ => "decode",
        };
        if fence < state.fence {
            412
        } else if order["expect"]
            .as_u64()
            .is_some_and(|expected| expected != state.orders)
        {
            409
        } else if state.stage == Some(stage) {
            200
        } else {
            state.fence = fence;
            state.orders += 1;
            state.stage = Some(stage);
            202
        }
    };
    say(shared, stream, status, &[], b"")?;
    Ok(Next::Keep)
}

fn read_ahead(
    shared: &Mutex<State>,
    request: &Request,
    id: &str,
    stream: &mut TcpStream,
) -> io::Result<Next> {
    note(shared, request, false);
    let handle = format!("h{id}");
    shared
        .lock()
        .expect("replica lock")
        .handles
        .insert(handle.clone());
    let body = json!({"kv_handle": handle, "tokens": 100, "version": 1}).to_string();
    say(
        shared,
        stream,
        200,
        &[("Pistachiohall-Request-Id", id)],
        body.as_bytes(),
    )?;
    Ok(Next::Keep)
}

fn plain(
    shared: &Mutex<State>,
    index: usize,
    manner: Manner,
    id: &str,
    stream: &mut TcpStream,
) -> io::Result<Next> {
    let signed = [
        ("Pistachiohall-Request-Id", id),
        ("Pistachiohall-Server-Stamp", STAMP),
    ];
    let body = b"the whole answer";
    match manner {
        Manner::Hang => return hang(shared, index, stream),
        Manner::Reset => return Ok(Next::Reset),
        Manner::Fail => say(shared, stream, 500, &signed, b"failed")?,
        Manner::Foreign => {
            let fields = [("Pistachiohall-Request-Id", "another"), signed[1]];
            say(shared, stream, 200, &fields, body)?;
        }
        Manner::Unsigned => say(shared, stream, 200, &signed[..1], body)?,
        Manner::Encoded => {
            let fields = [signed[0], signed[1], ("Content-Encoding", "gzip")];
            say(shared, stream, 200, &fields, body)?;
        }
        Manner::Short => {
            let mut whole = Vec::new();
            say(shared, &mut whole, 200, &signed, body)?;
            stream.write_all(&whole[..whole.len() - 4])?;
            return Ok(Next::Close);
        }
        Manner::Extra => {
            say(shared, stream, 200, &signed, body)?;
            say(shared, stream, 200, &signed, b"not asked for")?;
        }
        Manner::Late => {
            let caller = stream.peer_addr()?;
            let is_known = !shared.lock().expect("replica lock").callers.insert(caller);
            if is_known {
                let fields = [("Pistachiohall-Request-Id", "before"), signed[1]];
                say(shared, stream, 200, &fields, b"of before")?;
            }
            say(shared, stream, 200, &signed, body)?;
        }
        _ => say(shared, stream, 200, &signed, body)?,
    }
    Ok(Next::Keep)
}

/// Writes an answer without end, and notes how it went.
fn pour(
    shared: &Mutex<State>,
    index: usize,
    answer: &endless::Answer,
    stream: &mut TcpStream,
) -> io::Result<Next> {
    let poured = answer.pour(stream)?;
    let mut state = shared.lock().expect("replica lock");
    state.seen[index].poured = poured.bytes;
    state.seen[index].left_after = poured.left_after;
    Ok(Next::Close)
}

/// Waits until the caller leaves, and notes when.
fn hang(shared: &Mutex<State>, index: usize, stream: &mut TcpStream) -> io::Result<Next> {
    let begun = Instant::now();
    stream.set_read_timeout(Some(HANG_TIME))?;
    let mut byte = [0];
    let has_left =
        matches!(stream.read(&mut byte), Ok(0)) || matches!(stream.take_error(), Ok(Some(_)));
    if has_left {
        let mut state = shared.lock().expect("replica lock");
        state.seen[index].left_after = Some(begun.elapsed());
    }
    Ok(Next::Close)
}

fn generate(
    shared: &Mutex<State>,
    index: usize,
    request: &Request,
    id: &str,
    stream: &mut TcpStream,
) -> io::Result<Next> {
    let (manner, pause) = {
        let state = shared.lock().expect("replica lock");
        (state.manner, state.pause)
    };
    match manner {
        Manner::Hang => return hang(shared, index, stream),
        Manner::Reset => return Ok(Next::Reset),
        _ => (),
    }
    let number = |text: Option<&str>| text.and_then(|text| text.parse::<u64>().ok());
    let sizes = request.fields.get("pistachiohall-token-count");
    let count = number(sizes.and_then(|sizes| sizes.split(',').nth(1))).unwrap_or(3);
    let after = number(request.fields.get("last-event-id").map(String::as_str)).unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         Pistachiohall-Request-Id: {id}\r\nPistachiohall-Server-Stamp: {STAMP}\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for (name, value) in own_fields(shared, 200) {
        write!(stream, "{name}: {value}\r\n")?;
    }
    stream.write_all(b"\r\n")?;
    for number in after + 1..=count {
        let event = format!("id: {number}\ndata: token {number}\n\n");
        if manner == Manner::Break(number) {
            let part = &event[..event.len() / 2];
            write!(stream, "{:x}\r\n{part}\r\n", part.len())?;
            return Ok(Next::Close);
        }
        write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
        thread::sleep(pause);
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(Next::Keep)
}
