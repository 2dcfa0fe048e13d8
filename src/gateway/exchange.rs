//! One request to one upstream and its answer.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use bytes::BytesMut;
use compact_str::CompactString;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use thiserror::Error;
use tokio::time;

use super::Gateway;
use super::call::Call;
use super::pool::Connection;
use super::target::Target;
use crate::platform::egress;

/// Largest answer that is held until it is whole; larger ones would strain a small host's memory.
pub const MAX_HELD_BYTES: usize = 4 << 20;
/// Answers that are held at the same time, in bytes; a fifth of the smallest host's memory.
const ALL_HELD_BYTES: usize = 32 << 20;
/// Largest refusal that is read to its end, in bytes.
const REFUSAL_BYTES: usize = 16 << 10;
/// Time in which the rest of a refusal has to come, some round trips; its head has said all that the
/// caller needs.
const REFUSAL_TIME: Duration = Duration::from_millis(100);
/// Largest answer to a call of the gateway's own, in bytes.
const OWN_BYTES: usize = 64 << 10;

/// Memory of a prompt that one engine has read for another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Handle {
    /// Name at the engine that holds it.
    pub name: CompactString,
    /// Engine that holds it.
    pub source: SocketAddr,
    /// Tokens of the prompt.
    pub tokens: u64,
}

/// Part of the work on a request that an upstream is asked for.
#[derive(Debug, Clone, Copy)]
pub enum Stage<'a> {
    /// All of it.
    Full,
    /// Reading the prompt.
    Prefill,
    /// Generating, with the prompt read elsewhere.
    Decode(&'a Handle),
}

impl Stage<'_> {
    /// Returns the name by which log lines tell it.
    pub fn name(self) -> &'static str {
        match self {
            Stage::Full => "whole",
            Stage::Prefill => "read",
            Stage::Decode(_) => "generate",
        }
    }
}

/// What the head of an answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Provenance {
    /// The upstream has not run the request.
    NotRun,
    /// The answer belongs to another request, or to none.
    Foreign,
    /// The answer is not an upstream's own.
    Unsigned,
    /// The answer is the upstream's own.
    Signed,
}

/// Why an exchange brought no answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Failure {
    /// No byte of the request left this host.
    #[error("not sent: {0}")]
    NotSent(CompactString),
    /// The upstream takes no requests now, as it has said itself; none was sent.
    #[error("withheld: {0}")]
    Withheld(&'static str),
    /// There was no connection to send it on.
    #[error("unreachable: {0}")]
    Unreachable(CompactString),
    /// The upstream says that it has not run the request.
    #[error("not run: {0}")]
    NotRun(StatusCode),
    /// The connection broke or the answer was no answer; the request may have run.
    #[error("broken: {0}")]
    Broken(CompactString),
    /// No answer came in time; the request may have run.
    #[error("no answer in time")]
    Silent,
}

impl Failure {
    /// Returns whether the request has not run and will not.
    pub fn is_not_run(&self) -> bool {
        matches!(
            self,
            Failure::NotSent(_)
                | Failure::Withheld(_)
                | Failure::Unreachable(_)
                | Failure::NotRun(_)
        )
    }

    fn broken<E>(cause: E) -> Self
    where
        E: std::fmt::Display,
    {
        Failure::Broken(compact_str::format_compact!("{cause}"))
    }
}

/// An answer whose body is still to come.
#[derive(Debug)]
pub struct Response {
    /// Status and fields.
    pub head: Parts,
    /// Body as it arrives.
    pub body: Incoming,
    /// Whether the answer is the upstream's own.
    pub provenance: Provenance,
    /// Connection that the body arrives on.
    pub connection: Connection,
}

/// An answer with its whole body.
#[derive(Debug, Clone)]
pub struct FullResponse {
    /// Status and fields.
    pub head: Parts,
    /// Body.
    pub body: Bytes,
    /// Whether the answer is the upstream's own.
    pub provenance: Provenance,
}

/// What is sent, besides the request itself.
#[derive(Debug, Clone, Copy)]
pub struct Options<'a> {
    /// Part of the work.
    pub stage: Stage<'a>,
    /// Urgency at an engine.
    pub urgency: Option<u8>,
    /// Event after which a stream goes on.
    pub after_event: Option<u64>,
    /// Whether a kept connection may be used: one on which a late byte arrives costs a try.
    pub may_reuse: bool,
    /// When to stop waiting for the head of the answer.
    pub until: Instant,
    /// When the request has to be answered in full; the upstream is told what is left of it.
    pub deadline: Instant,
}

/// Sends a request and waits for the head of its answer.
///
/// # Errors
///
/// Fails as [`Failure`] says; an answer that says that the request has not run is one.
pub async fn send(
    gateway: &Gateway,
    target: &Rc<Target>,
    call: &Call,
    options: &Options<'_>,
) -> Result<Response, Failure> {
    let mut connection = target.connect(options.may_reuse, options.until).await?;
    let now = Instant::now();
    gateway.age_observer.record_send(call, target, now);
    let left = options.deadline.saturating_duration_since(now);
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.request.method.clone();
    *request.uri_mut() = origin_form(&call.request.uri);
    *request.headers_mut() = egress::fields(
        &call.request,
        &egress::Send {
            upstream: &target.entry.id,
            left,
            stage: options.stage,
            urgency: options.urgency,
            after_event: options.after_event,
        },
    );
    let sent = time::timeout_at(options.until.into(), connection.send(request)).await;
    let response = match sent {
        Err(_) => return Err(Failure::Silent),
        Ok(Err(failure)) => return Err(failure),
        Ok(Ok(response)) => response,
    };
    let (head, body) = response.into_parts();
    target.hear(&head, &call.request.id);
    let answer = match egress::provenance(&head, &call.request.id) {
        Provenance::Foreign => {
            return Err(Failure::broken("the answer belongs to another request"));
        }
        provenance => Response {
            head,
            body,
            provenance,
            connection,
        },
    };
    // Who answers 421 may be another upstream at the same address.
    if answer.head.status != StatusCode::MISDIRECTED_REQUEST {
        let mut suspicion = gateway.suspicion.borrow_mut();
        suspicion.record_response(target.incarnation_digest(), now);
    }
    if answer.provenance != Provenance::NotRun {
        return Ok(answer);
    }
    let status = answer.head.status;
    let ending = finish(gateway, target, answer, REFUSAL_BYTES);
    let ended = time::timeout(REFUSAL_TIME, ending).await;
    match ended {
        Ok(Ok(_)) => (),
        Ok(Err(failure)) => {
            log::debug!(upstream:% = target.entry.id, cause:% = failure; "refusal not whole");
        }
        Err(_) => {
            log::debug!(upstream:% = target.entry.id; "refusal not whole in time");
        }
    }
    Err(Failure::NotRun(status))
}

/// Reads an answer to its end and gives its connection back.
///
/// # Errors
///
/// Fails if the body ends early, is larger than `most` bytes, or would strain the host's memory
/// together with all others that are held.
pub async fn finish(
    gateway: &Gateway,
    target: &Rc<Target>,
    answer: Response,
    most: usize,
) -> Result<FullResponse, Failure> {
    let body = collect(answer.body, most, &gateway.held_bytes).await?;
    target.give_back(answer.connection, &answer.head);
    Ok(FullResponse {
        head: answer.head,
        body,
        provenance: answer.provenance,
    })
}

/// Bytes that are counted as held until the guard is dropped.
struct Holding<'a> {
    all: &'a Cell<usize>,
    own: usize,
}

impl Holding<'_> {
    fn add(&mut self, bytes: usize, most: usize) -> Result<(), Failure> {
        self.own += bytes;
        self.all.set(self.all.get() + bytes);
        if self.own > most {
            return Err(Failure::broken(format_args!(
                "the answer is larger than {most} bytes"
            )));
        }
        if self.all.get() > ALL_HELD_BYTES {
            return Err(Failure::broken(format_args!(
                "answers of more than {ALL_HELD_BYTES} bytes are held"
            )));
        }
        Ok(())
    }
}

impl Drop for Holding<'_> {
    fn drop(&mut self) {
        self.all.set(self.all.get().saturating_sub(self.own));
    }
}

async fn collect(mut body: Incoming, most: usize, held: &Cell<usize>) -> Result<Bytes, Failure> {
    let mut holding = Holding { all: held, own: 0 };
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(Failure::broken)?;
        if let Some(data) = frame.data_ref() {
            holding.add(data.len(), most)?;
            whole.extend_from_slice(data);
        }
    }
    Ok(whole.freeze())
}

/// Makes a call of the gateway's own, such as freeing memory.
///
/// # Errors
///
/// Fails as [`send`] does.
pub async fn call_own(
    gateway: &Gateway,
    target: &Rc<Target>,
    method: Method,
    path: &str,
    until: Instant,
) -> Result<FullResponse, Failure> {
    let mut connection = target.connect(true, until).await?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = method;
    *request.uri_mut() = Uri::try_from(path).map_err(Failure::broken)?;
    *request.headers_mut() = egress::own_fields(&target.entry.id);
    request
        .headers_mut()
        .insert(http::header::HOST, target.authority());
    let exchange = async {
        let (head, body) = connection.send(request).await?.into_parts();
        target.hear(&head, path);
        let answer = Response {
            head,
            body,
            provenance: Provenance::Unsigned,
            connection,
        };
        finish(gateway, target, answer, OWN_BYTES).await
    };
    match time::timeout_at(until.into(), exchange).await {
        Ok(ended) => ended,
        Err(_) => Err(Failure::Silent),
    }
}

/// Returns the path and query alone, as upstreams expect them.
fn origin_form(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => uri.clone(),
    }
}
