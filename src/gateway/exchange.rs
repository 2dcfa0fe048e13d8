//! One request to one upstream and its response.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compact_str::CompactString;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use thiserror::Error;
use tokio::time;

use super::Gateway;
use super::call::Call;
use super::held;
use super::pool::Connection;
use super::target::Admission;
use super::target::Reservation;
use super::target::Target;
use crate::platform::egress;

/// Maximum response that is held until it is complete; larger ones would strain a small host's
/// memory.
pub const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Maximum refusal that is read to its end.
const MAX_REFUSAL_BYTES: usize = 16 << 10;
/// Maximum wait for the body of a refusal, some round trips; its head holds all that the caller
/// needs.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum response to one of the gateway's own calls.
const MAX_OWN_RESPONSE_BYTES: usize = 64 << 10;

/// KV handle of a prompt that one engine has prefilled for another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Handle {
    /// Name at the engine that holds the KV cache.
    pub name: CompactString,
    /// Address of the engine that holds the KV cache.
    pub source: SocketAddr,
    /// Number of tokens of the prompt.
    pub tokens: u64,
}

/// Stage of a request that an upstream runs.
#[derive(Debug, Clone, Copy)]
pub enum Stage<'a> {
    /// The complete request.
    Full,
    /// Prefill only.
    Prefill,
    /// Decode, with the prompt prefilled by another engine.
    Decode(&'a Handle),
}

impl Stage<'_> {
    /// Returns the name used in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Stage::Full => "whole",
            Stage::Prefill => "read",
            Stage::Decode(_) => "generate",
        }
    }
}

/// Provenance of a response, by its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Provenance {
    /// The upstream has not run the request.
    NotRun,
    /// The response belongs to another request or to none.
    Foreign,
    /// The response is not an upstream's own.
    Unsigned,
    /// The response is the upstream's own.
    Signed,
}

impl Provenance {
    /// Returns `true` if a response of this provenance may be passed on with its status to the caller
    /// of a request that is idempotent or not.
    ///
    /// An upstream's own status may tell the caller that its request has not run although the upstream
    /// has run it. The caller then sends it again, which only an idempotent request allows.
    ///
    /// ```
    /// use http::StatusCode;
    /// use pistachiohall::gateway::exchange::Provenance;
    /// let busy = StatusCode::SERVICE_UNAVAILABLE;
    /// assert!(Provenance::Signed.permits_delivery(busy, true));
    /// assert!(!Provenance::Signed.permits_delivery(busy, false));
    /// ```
    pub fn permits_delivery(self, status: StatusCode, is_idempotent: bool) -> bool {
        match self {
            Provenance::Signed => is_idempotent || !egress::states_not_run(status),
            Provenance::NotRun | Provenance::Foreign | Provenance::Unsigned => false,
        }
    }
}

/// Reason for which an exchange brought no response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Failure {
    /// No byte of the request left this host.
    #[error("not sent: {0}")]
    NotSent(CompactString),
    /// The upstream takes no requests now, by its own notice, or the request is a suspect; nothing
    /// was sent.
    #[error("withheld: {0}")]
    Withheld(&'static str),
    /// No connection could be established.
    #[error("unreachable: {0}")]
    Unreachable(CompactString),
    /// The upstream reports that it has not run the request.
    #[error("not run: {0}")]
    NotRun(StatusCode),
    /// The connection broke or the response was invalid; the request may have run.
    #[error("broken: {0}")]
    Broken(CompactString),
    /// No response came in time; the request may have run.
    #[error("no answer in time")]
    Silent,
}

impl Failure {
    /// Returns `true` if the request has not run and will not.
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

/// A response whose body is still to be read.
#[derive(Debug)]
pub struct Response {
    /// Status and fields.
    pub head: Parts,
    /// Body as it arrives.
    pub body: Incoming,
    /// Provenance of the response.
    pub provenance: Provenance,
    /// Connection that the body arrives on.
    pub connection: Connection,
}

/// A response with its complete body.
#[derive(Debug, Clone)]
pub struct FullResponse {
    /// Status and fields.
    pub head: Parts,
    /// Body, whose bytes count as held until it is dropped.
    pub body: Bytes,
    /// Provenance of the response.
    pub provenance: Provenance,
}

/// Stream that was partly delivered, and whose rest another upstream is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Continuation {
    /// Content type in its head.
    pub content_type: Option<HeaderValue>,
}

impl Continuation {
    /// Returns the continuation of the stream with this head.
    pub fn of(head: &Parts) -> Self {
        Continuation {
            content_type: head.headers.get(http::header::CONTENT_TYPE).cloned(),
        }
    }
}

/// Options of a send.
#[derive(Debug, Clone, Copy)]
pub struct Options<'a> {
    /// Stage that the upstream runs.
    pub stage: Stage<'a>,
    /// Urgency at an engine.
    pub urgency: Option<u8>,
    /// Event after which a resumed stream continues.
    pub after_event: Option<u64>,
    /// Stream whose rest the response has to be.
    pub continuation: Option<&'a Continuation>,
    /// `true` if a pooled connection may be used; one on which a late byte arrives costs an
    /// attempt.
    pub may_reuse: bool,
    /// Turn within the upstream's limit that was reserved earlier.
    pub reservation: Option<&'a Reservation>,
    /// Time at which to stop waiting for the head of the response.
    pub until: Instant,
    /// Time by which the response must be complete; the upstream is sent the remaining time.
    pub deadline: Instant,
}

/// Sends a request and waits for the head of its response.
///
/// # Errors
///
/// Fails with a [`Failure`]; a response that reports that the request has not run is one.
pub async fn send(
    gateway: &Gateway,
    target: &Rc<Target>,
    call: &Call,
    options: &Options<'_>,
) -> Result<Response, Failure> {
    let admission = options
        .reservation
        .map_or(Admission::Request, Admission::Reserved);
    let mut connection = target
        .connect(options.may_reuse, options.until, admission)
        .await?;
    // The key may have been taken away while the request waited.
    gateway
        .check_key(call)
        .map_err(|refusal| Failure::Withheld(refusal.reason()))?;
    let now = Instant::now();
    gateway.age_observer.record_send(call, target, now);
    let left = options.deadline.saturating_duration_since(now);
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.request.method.clone();
    *request.uri_mut() = origin_form(&call.request.uri);
    *request.headers_mut() = egress::fields(
        &call.request,
        &egress::RequestOptions {
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
    check_status(head.status)?;
    gateway.apply_notice(target, &head, &call.request.id);
    let response = match egress::provenance(&head, &call.request.id) {
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
    // A 421 may come from another upstream at the same address.
    if response.head.status != StatusCode::MISDIRECTED_REQUEST {
        let mut suspicion = gateway.suspicion.borrow_mut();
        suspicion.record_response(target.incarnation_digest(), now);
    }
    if response.provenance != Provenance::NotRun {
        if response.head.status.is_success() {
            gateway.lift_limit(target, &response.head, now);
        }
        return Ok(response);
    }
    let status = response.head.status;
    let ending = finish(gateway, target, response, MAX_REFUSAL_BYTES);
    let ended = time::timeout(REFUSAL_BODY_TIMEOUT, ending).await;
    match ended {
        Ok(Ok(_)) => (),
        Ok(Err(failure)) => {
            log::debug!(upstream:% = target.entry.id, cause:% = failure; "body of a refusal not read");
        }
        Err(_) => {
            log::debug!(upstream:% = target.entry.id; "body of a refusal not read in time");
        }
    }
    Err(Failure::NotRun(status))
}

/// Fails unless a status is that of a final response; the HTTP library takes any number of three digits from
/// 100 on.
fn check_status(status: StatusCode) -> Result<(), Failure> {
    match status.as_u16() {
        200..600 => Ok(()),
        _ => Err(Failure::broken(format_args!(
            "status {status} is no answer, expected 200 to 599"
        ))),
    }
}

/// Returns `true` if the end of a response's body is marked, or it has no body.
///
/// Otherwise it ends with its connection, which an upstream that fails closes too; without any content,
/// the end of the body cannot be told from a failure.
pub fn is_framed(head: &Parts, body: &Incoming) -> bool {
    let fields = [
        http::header::CONTENT_LENGTH,
        http::header::TRANSFER_ENCODING,
    ];
    body.is_end_stream() || fields.iter().any(|name| head.headers.contains_key(name))
}

/// Reads a response to its end and returns its connection to the pool.
///
/// # Errors
///
/// Fails if the body ends early, if it has neither content nor a marked end, if it is larger than
/// `max_bytes`, or if it exceeds the limit of all held responses together.
pub async fn finish(
    gateway: &Gateway,
    target: &Rc<Target>,
    response: Response,
    max_bytes: usize,
) -> Result<FullResponse, Failure> {
    let is_framed = is_framed(&response.head, &response.body);
    let body = collect(response.body, max_bytes, &gateway.held_responses).await?;
    if body.is_empty() && !is_framed {
        return Err(Failure::broken("the answer ended without content"));
    }
    target.release(response.connection, &response.head);
    Ok(FullResponse {
        head: response.head,
        body,
        provenance: response.provenance,
    })
}

async fn collect(
    mut body: Incoming,
    max_bytes: usize,
    budget: &held::Budget,
) -> Result<Bytes, Failure> {
    let mut full = held::Body::new(budget);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(Failure::broken)?;
        if let Some(data) = frame.data_ref() {
            full.push(data, max_bytes)
                .map_err(|excess| Failure::broken(format_args!("the answer is {excess}")))?;
        }
    }
    Ok(full.into_bytes())
}

/// Makes one of the gateway's own calls, such as freeing a KV handle.
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
    let connected = target.connect(true, until, Admission::Own).await;
    match connected {
        Ok(_) => target.health().record_reached(),
        Err(Failure::Unreachable(_)) => target.health().record_unreachable(Instant::now()),
        Err(_) => (),
    }
    let mut connection = connected?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.method_mut() = method;
    *request.uri_mut() = Uri::try_from(path).map_err(Failure::broken)?;
    *request.headers_mut() = egress::internal_request_fields(&target.entry.id);
    request
        .headers_mut()
        .insert(http::header::HOST, target.authority());
    let exchange = async {
        let (head, body) = connection.send(request).await?.into_parts();
        check_status(head.status)?;
        gateway.apply_notice(target, &head, path);
        let response = Response {
            head,
            body,
            provenance: Provenance::Unsigned,
            connection,
        };
        finish(gateway, target, response, MAX_OWN_RESPONSE_BYTES).await
    };
    match time::timeout_at(until.into(), exchange).await {
        Ok(ended) => ended,
        Err(_) => Err(Failure::Silent),
    }
}

/// Returns only the path and query, as upstreams expect them.
fn origin_form(uri: &Uri) -> Uri {
    match uri.path_and_query() {
        Some(path) => Uri::from(path.clone()),
        None => uri.clone(),
    }
}
