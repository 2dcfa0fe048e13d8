//! A stand-in for an upstream: a plain service or a model engine, sound or not.

mod answer;

pub use self::answer::head;

use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use super::mortal::CrashBehavior;
use super::store::Store;
use super::wire;
use super::wire::Fields;
use super::wire::Server;

/// Signature of all answers.
pub const STAMP: &str = "3e1b.07.5a2.600.0.c9f2a4d1";

/// How an upstream treats requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Behavior {
    /// It answers well.
    #[default]
    Sound,
    /// It refuses and does not run them.
    Shed,
    /// It runs them and answers with an earlier refusal, which names no request.
    RepeatRefusal,
    /// It runs them and fails, with its signature.
    Fail,
    /// It runs them and fails with this status and its signature.
    FailWith(u16),
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
    /// It breaks a stream off within its third event, and answers a resumed one with an error.
    BreakThen(ResumeError),
    /// Its stream has neither a length nor chunks; after the second event it writes the head and the
    /// body of an error.
    HeadWithin,
    /// Its answer has neither a length nor chunks and ends with the connection.
    Unframed,
    /// The same, but it breaks off: a plain answer by a reset, a stream within the event of this
    /// number.
    UnframedBreak(u64),
    /// It ends its answer within the head.
    CutHead(HeadCut),
    /// It ends its answer after a whole head that names neither a length nor chunks.
    HeadOnly,
    /// Its plain answers, and each event of its streams, have this many bytes of content.
    Large(usize),
    /// It sends fields without end in place of an answer's head.
    EndlessHead,
    /// It sends interim responses without end in place of an answer.
    EndlessInterim,
    /// It sends a signed answer whose body has no end.
    EndlessBody,
    /// It refuses in a body that has no end and comes slowly.
    EndlessRefusal,
    /// It sends an event that has no end.
    EndlessEvent,
    /// It sends a byte of an event now and then, and never its end.
    Drip,
}

/// Where and how an answer ends within its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadCut {
    /// Bytes of the head that are sent.
    pub bytes: usize,
    /// Whether a whole interim response comes first.
    pub has_interim: bool,
    /// Whether the connection is reset, not closed.
    pub resets: bool,
}

/// How an upstream answers a request that resumes a stream, other than with the rest of the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumeError {
    /// With status 500.
    Status,
    /// With status 200 and an event that has no identifier.
    Event,
    /// With status 200 and lines of text.
    Text,
    /// The same, without a length, ending with the connection.
    UnframedText,
    /// With status 200 and nothing, without a length, ending with the connection.
    UnframedNothing,
    /// With the stream from its first event on.
    Restart,
}

/// A request that an upstream got.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
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
    pub sent_bytes: usize,
    /// Whether it was refused with a time for which the upstream wants no more.
    pub asked_pause: bool,
    /// Whether its answers said that it leaves when the request came.
    pub said_leaving: bool,
}

impl ReceivedRequest {
    /// Returns a field of the head, or nothing.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

#[derive(Debug)]
struct State {
    id: String,
    stage: Option<&'static str>,
    manner: Behavior,
    seen: Vec<ReceivedRequest>,
    handles: HashSet<String>,
    callers: HashSet<SocketAddr>,
    orders: u64,
    fence: u64,
    pause: Duration,
    beat: u64,
    /// Whether its answers say that it leaves.
    is_leaving: bool,
    /// Whether its reports alone say so.
    is_leaving_in_report: bool,
    /// Value of the `Retry-After` field of its refusals.
    retry_after: Option<String>,
    /// Value of the `Server-Limit` field of its answers.
    limit: Option<String>,
    /// How it ends under a marked request; none if it does not.
    nature: Option<CrashBehavior>,
    is_ended: bool,
    born: u64,
    build: String,
}

/// The stand-in.
#[derive(Debug)]
pub struct Replica {
    service: String,
    domain: String,
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
        Replica::start_at(wire::unique_address(), id, service, domain, stage)
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
            manner: Behavior::default(),
            seen: Vec::new(),
            handles: HashSet::new(),
            callers: HashSet::new(),
            orders: 0,
            fence: 0,
            pause: Duration::ZERO,
            beat: 0,
            is_leaving: false,
            is_leaving_in_report: false,
            retry_after: None,
            limit: None,
            nature: None,
            is_ended: false,
            born: 1,
            build: "v1".into(),
        }));
        let own = Arc::clone(&state);
        let server = Server::start(address, move |request, stream| {
            answer::handle(&own, request, stream)
        })?;
        Ok(Replica {
            service: service.into(),
            domain: domain.into(),
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
    pub fn set_behavior(&self, manner: Behavior) {
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

    /// Has its reports alone say that it leaves.
    pub fn set_leaving_in_report(&self) {
        self.state().is_leaving_in_report = true;
    }

    /// Changes the value of the `Retry-After` field of its refusals.
    pub fn set_retry_after(&self, value: Option<&str>) {
        self.state().retry_after = value.map(str::to_owned);
    }

    /// Changes the value of the `Server-Limit` field of its answers.
    pub fn set_limit(&self, value: Option<&str>) {
        self.state().limit = value.map(str::to_owned);
    }

    /// Has marked requests end it.
    pub fn set_death(&self, nature: CrashBehavior) {
        self.state().nature = Some(nature);
    }

    /// Changes the start that its entry names.
    pub fn set_started_at(&self, born: u64) {
        self.state().born = born;
    }

    /// Changes the software version that its entry names.
    pub fn set_build(&self, build: &str) {
        self.state().build = build.into();
    }

    /// Returns whether a request has ended it.
    pub fn is_ended(&self) -> bool {
        self.state().is_ended
    }

    /// Ends it without a request.
    pub fn end(&self) {
        self.state().is_ended = true;
    }

    /// Returns all requests that it got.
    pub fn received(&self) -> Vec<ReceivedRequest> {
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
            "version": state.build, "slots": 8, "state": condition, "cold_remaining_ms": 0,
            "sequence": state.beat, "born": state.born,
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
