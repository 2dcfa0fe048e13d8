//! Requests to upstreams and the interpretation of their responses.

use std::net::SocketAddr;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::response::Parts;
use serde::Deserialize;
use serde_json::json;

use super::header;
use crate::availability;
use crate::availability::Notice;
use crate::gateway::call::Request;
use crate::gateway::exchange::Handle;
use crate::gateway::exchange::Provenance;
use crate::gateway::exchange::Stage;
use crate::id::FencingToken;
use crate::id::StartTime;
use crate::id::UpstreamId;
use crate::reassign::duty::Report;
use crate::throttle::Limit;
use crate::upstream::Role;

/// Path at which engines take orders.
pub const ORDER_PATH: &str = "/v1/order";
/// Path under which engines free the KV cache behind a handle.
const HANDLE_PATH: &str = "/v1/kv-handle/";

/// Parameters of one request to an upstream, in addition to the caller's own header fields.
#[derive(Debug, Clone, Copy)]
pub struct RequestOptions<'a> {
    /// Upstream that should process the request.
    pub upstream: &'a UpstreamId,
    /// Time left for the response.
    pub left: Duration,
    /// Requested stage of the work.
    pub stage: Stage<'a>,
    /// Urgency at an engine, from 0 to 9; `None` for a plain service.
    pub urgency: Option<u8>,
    /// Event after which a stream is resumed.
    pub after_event: Option<u64>,
}

/// Returns the header fields of a request to an upstream.
///
/// # Panics
///
/// Never for names from a header or the registry: those are visible ASCII.
pub fn fields(request: &Request, send: &RequestOptions<'_>) -> HeaderMap {
    let mut fields = request.forward.clone();
    let mut set = |name: http::HeaderName, value: &str| match HeaderValue::from_str(value) {
        Ok(value) => {
            fields.insert(name, value);
        }
        Err(cause) => log::error!(header:% = name, cause:% = cause; "invalid header value omitted"),
    };
    set(header::EXPECT_UPSTREAM, send.upstream);
    set(header::DEADLINE, &send.left.as_millis().to_string());
    if let Some(urgency) = send.urgency {
        set(header::PRIORITY, &urgency.to_string());
    }
    if let Some(event) = send.after_event {
        set(header::LAST_EVENT, &event.to_string());
    }
    match send.stage {
        Stage::Full => (),
        Stage::Prefill => set(header::STAGE, "prefill"),
        Stage::Decode(handle) => {
            set(
                header::KV_SOURCE,
                &format!("{}/{}", handle.source, handle.name),
            );
        }
    }
    fields
}

/// Returns the provenance of a response to the request `id`, as stated by its head. A response that
/// names no request proves nothing: it may be one to an earlier request, written once more.
///
/// ```
/// use pistachiohall::gateway::exchange::Provenance;
/// use pistachiohall::platform::egress;
/// let answer = http::Response::builder()
///     .status(503)
///     .header("pistachiohall-request-id", "r1")
///     .header("pistachiohall-not-executed", "1")
///     .body(())
///     .unwrap()
///     .into_parts()
///     .0;
/// assert_eq!(egress::provenance(&answer, "r1"), Provenance::NotRun);
/// assert_eq!(egress::provenance(&answer, "r2"), Provenance::Foreign);
/// ```
pub fn provenance(head: &Parts, id: &str) -> Provenance {
    let echoed = head.headers.get(header::REQUEST_ID);
    if echoed.is_none_or(|echoed| echoed.as_bytes() != id.as_bytes()) {
        return Provenance::Foreign;
    }
    let is_not_executed = head.headers.contains_key(header::NOT_EXECUTED);
    if is_not_executed || head.status == StatusCode::MISDIRECTED_REQUEST {
        return Provenance::NotRun;
    }
    let is_encoded = head.headers.contains_key(http::header::CONTENT_ENCODING);
    match head.headers.contains_key(header::SERVER_STAMP) && !is_encoded {
        true => Provenance::Signed,
        false => Provenance::Unsigned,
    }
}

/// Statuses that tell a caller that its request has not run and will not.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Returns `true` if a status tells a caller that its request has not run, so that the caller may
/// send it again.
///
/// ```
/// use pistachiohall::platform::egress;
/// assert!(egress::states_not_run(http::StatusCode::SERVICE_UNAVAILABLE));
/// assert!(!egress::states_not_run(http::StatusCode::BAD_GATEWAY));
/// ```
pub fn states_not_run(status: StatusCode) -> bool {
    NOT_RUN_STATUSES.contains(&status)
}

/// Statuses whose `Retry-After` requests a pause: the upstream has rejected the request.
const PAUSE_STATUSES: [StatusCode; 2] = [
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::TOO_MANY_REQUESTS,
];

/// Returns the notice about the upstream itself in a response's head, regardless of the response's
/// provenance.
///
/// ```
/// use std::time::Duration;
/// use pistachiohall::platform::egress;
/// let mut headers = http::HeaderMap::new();
/// headers.insert("server-leaving", "1".parse().unwrap());
/// headers.insert("retry-after", "1.5".parse().unwrap());
/// let notice = egress::notice(http::StatusCode::SERVICE_UNAVAILABLE, &headers);
/// assert!(notice.is_leaving);
/// assert_eq!(notice.pause, Some(Duration::from_millis(1500)));
/// assert_eq!(egress::notice(http::StatusCode::OK, &headers).pause, None);
/// headers.insert("server-limit", "16.2".parse().unwrap());
/// let limit = egress::notice(http::StatusCode::OK, &headers).limit.unwrap();
/// assert_eq!(limit.requests_per_s(), 16.2);
/// ```
pub fn notice(status: StatusCode, headers: &HeaderMap) -> Notice {
    let is_leaving = headers
        .get_all(header::LEAVING)
        .iter()
        .any(|value| value.as_bytes().trim_ascii() == b"1");
    let values: Vec<&HeaderValue> = match PAUSE_STATUSES.contains(&status) {
        true => headers.get_all(http::header::RETRY_AFTER).iter().collect(),
        false => Vec::new(),
    };
    // The longest of several values applies: it satisfies them all.
    let pause = values.iter().copied().filter_map(parse_pause).max();
    let limits = headers.get_all(header::LIMIT).iter();
    Notice {
        is_leaving,
        // The lowest of several values applies, for the same reason.
        limit: limits.filter_map(parse_limit).min(),
        pause,
        is_pause_unreadable: pause.is_none() && !values.is_empty(),
    }
}

/// Decodes a number of seconds, integral or fractional; longer pauses are reduced to the maximum.
fn parse_pause(value: &HeaderValue) -> Option<Duration> {
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    if seconds.is_nan() || seconds < 0.0 {
        return None;
    }
    let bounded = seconds.min(availability::MAX_PAUSE.as_secs_f64());
    Some(Duration::from_secs_f64(bounded))
}

/// Decodes a number of requests per second; a value that is none is ignored.
fn parse_limit(value: &HeaderValue) -> Option<Limit> {
    Limit::per_second(value.to_str().ok()?.trim().parse().ok()?)
}

/// Returns the header fields of a response that are passed on to the caller.
pub fn response_fields(headers: &HeaderMap) -> HeaderMap {
    let mut fields = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !header::HOP_BY_HOP.contains(name) && *name != http::header::CONTENT_LENGTH {
            fields.append(name.clone(), value.clone());
        }
    }
    fields
}

#[derive(Deserialize)]
struct HandleText {
    /// Handle of the KV cache at the prefill engine.
    kv_handle: String,
    /// Tokens of the prompt.
    tokens: u64,
}

/// Decodes the response of an engine that has prefilled a prompt.
///
/// # Errors
///
/// Fails if the response contains no handle.
pub fn handle(body: &[u8], source: SocketAddr) -> Result<Handle, serde_json::Error> {
    let text: HandleText = serde_json::from_slice(body)?;
    Ok(Handle {
        name: text.kv_handle.into(),
        source,
        tokens: text.tokens,
    })
}

/// Returns the path at which a handle is freed.
pub fn handle_path(handle: &Handle) -> String {
    format!("{HANDLE_PATH}{}", handle.name)
}

/// Returns the header fields of a host's own request to an upstream.
pub fn internal_request_fields(upstream: &UpstreamId) -> HeaderMap {
    let mut fields = HeaderMap::new();
    match HeaderValue::from_str(upstream) {
        Ok(value) => {
            fields.insert(header::EXPECT_UPSTREAM, value);
        }
        Err(cause) => {
            log::error!(upstream:% = upstream, cause:% = cause; "name is no valid header value")
        }
    }
    fields
}

#[derive(Deserialize)]
struct StartTimeText {
    /// Start time of the upstream, in milliseconds since the Unix epoch.
    born: StartTime,
}

/// Returns the start time in the body of an upstream's health check or report, if it contains one.
///
/// ```
/// use pistachiohall::platform::egress;
/// assert_eq!(egress::started_at(br#"{"busy": false, "born": 7}"#), Some(7));
/// assert_eq!(egress::started_at(b"sound"), None);
/// ```
pub fn started_at(body: &[u8]) -> Option<StartTime> {
    let text: Result<StartTimeText, serde_json::Error> = serde_json::from_slice(body);
    text.map(|text| text.born).ok()
}

/// Path at which engines report their state.
pub const REPORT_PATH: &str = "/v1/report";

#[derive(Deserialize)]
struct ReportText {
    stage: StageText,
    /// `true` while an order is being carried out.
    busy: bool,
    /// Number of orders accepted since the engine's start.
    sequence: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum StageText {
    Prefill,
    Decode,
}

/// Decodes an engine's report of its state, which is some hundred milliseconds old.
///
/// # Errors
///
/// Fails if the report is incomplete.
pub fn report(body: &[u8]) -> Result<Report, serde_json::Error> {
    let text: ReportText = serde_json::from_slice(body)?;
    Ok(Report {
        role: match text.stage {
            StageText::Prefill => Role::Prefill,
            StageText::Decode => Role::Decode,
        },
        is_busy: text.busy,
        orders: text.sequence,
    })
}

/// Returns the body of an order to take a role, valid while the engine has accepted
/// `expected_orders` orders.
///
/// ```
/// use pistachiohall::platform::egress;
/// use pistachiohall::upstream::Role;
/// let body = egress::role_order("h1", 7, Role::Prefill, 2);
/// assert!(body.contains("\"fence\":7"));
/// ```
pub fn role_order(
    holder: &str,
    fencing_token: FencingToken,
    role: Role,
    expected_orders: u64,
) -> String {
    let stage = match role {
        Role::Prefill => "prefill",
        Role::Decode | Role::Mixed => "decode",
    };
    json!({
        "op": "stage", "stage": stage, "holder": holder, "fence": fencing_token,
        "expect": expected_orders
    })
    .to_string()
}
