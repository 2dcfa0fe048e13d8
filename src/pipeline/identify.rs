//! Identifies the caller, the service and the work of a request.

use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;
use serde_json::Value;
use tiny_http::Request;
use uuid::Uuid;

use crate::clock::Clock;
use crate::directory::Directory;
use crate::once::OneTimeKey;
use crate::once::Ticket;
use crate::problem::Problem;
use crate::service::Kind;
use crate::service::Service;
use crate::settings::Limits;

use super::Call;
use super::call::Completion;
use super::call::Work;

/// Path prefix of plain services.
const SERVICES_PREFIX: &str = "/services/";

/// Returns the value of the header `name`, compared without regard to case.
pub fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request
        .headers()
        .iter()
        .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name))
        .map(|header| header.value.as_str())
}

/// Reads the body within the limits of size and time.
pub fn read_body<C>(request: &mut Request, limits: &Limits, clock: &C) -> Result<Vec<u8>, Problem>
where
    C: Clock,
{
    let too_large = || Problem::not_run(413, "body too large", "the body exceeds the limit");
    if request
        .body_length()
        .is_some_and(|length| length > limits.max_body_bytes)
    {
        return Err(too_large());
    }
    let announced_bytes = request.body_length();
    let read_by = clock.now() + limits.body_time;
    let reader = request.as_reader();
    let mut body = Vec::new();
    let mut buffer = [0; 16 * 1024];
    loop {
        match reader.read(&mut buffer) {
            Ok(0) if announced_bytes.is_some_and(|length| length > body.len()) => {
                return Err(unfinished());
            }
            Ok(0) => return Ok(body),
            Ok(count) => body.extend_from_slice(&buffer[..count]),
            Err(cause) if cause.kind() == std::io::ErrorKind::Interrupted => {}
            Err(_) => return Err(unfinished()),
        }
        if body.len() > limits.max_body_bytes {
            return Err(too_large());
        }
        if clock.now() > read_by {
            return Err(unfinished());
        }
    }
}

fn unfinished() -> Problem {
    Problem::not_run(
        408,
        "body unfinished",
        "the body did not arrive whole in time",
    )
}

/// Parts of a request from which it is identified.
#[derive(Debug, Clone, Default)]
pub struct Parts<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// `Authorization` header.
    pub authorization: Option<&'a str>,
    /// `Idempotency-Key` header.
    pub key: Option<&'a str>,
    /// `Ticket` header.
    pub ticket: Option<&'a str>,
    /// `Content-Type` header.
    pub content_type: Option<&'a str>,
}

impl<'a> Parts<'a> {
    /// Extracts the parts of a request.
    pub fn of(request: &'a Request, method: &'a str) -> Self {
        Parts {
            method,
            path: request.url(),
            authorization: header(request, "authorization"),
            key: header(request, "idempotency-key"),
            ticket: header(request, "ticket"),
            content_type: header(request, "content-type"),
        }
    }
}

/// Identifies a request, or returns the reason for which it cannot be served.
pub fn identify(
    parts: &Parts<'_>,
    body: Vec<u8>,
    directory: &Directory,
    now: Instant,
) -> Result<Call, Problem> {
    if directory.revision.is_none() {
        let problem = Problem::not_run(503, "no configuration", "this host has none yet");
        return Err(problem.retry_after(Duration::from_secs(1)));
    }
    match parts.path.strip_prefix(SERVICES_PREFIX) {
        Some(rest) => plain(parts, rest, body, directory, now),
        None => completion(parts, body, directory, now),
    }
}

fn plain(
    parts: &Parts<'_>,
    rest: &str,
    body: Vec<u8>,
    directory: &Directory,
    now: Instant,
) -> Result<Call, Problem> {
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    let service = directory
        .service(name)
        .filter(|service| service.kind == Kind::Plain);
    let service = service.ok_or_else(|| no_service(name))?;
    let path = match path.starts_with('/') {
        true => path.to_owned(),
        false => format!("/{path}"),
    };
    build(parts, service, path, body, Work::Plain, now)
}

fn completion(
    parts: &Parts<'_>,
    body: Vec<u8>,
    directory: &Directory,
    now: Instant,
) -> Result<Call, Problem> {
    let chat = match parts.path {
        "/v1/completions" => false,
        "/v1/chat/completions" => true,
        other => return Err(no_path(other)),
    };
    if parts.method != "POST" {
        return Err(Problem::not_run(405, "method not allowed", "expected POST"));
    }
    let bad_request = |detail: String| Problem::not_run(400, "bad request", detail);
    let json: Value =
        serde_json::from_slice(&body).map_err(|cause| bad_request(cause.to_string()))?;
    let model = json.get("model").and_then(Value::as_str);
    let model = model.ok_or_else(|| bad_request("`model` is missing".to_owned()))?;
    let field = if chat { "messages" } else { "prompt" };
    if json.get(field).is_none() {
        return Err(bad_request(format!("`{field}` is missing")));
    }
    let service = directory.of_model(model).ok_or_else(|| no_service(model))?;
    let completion = Completion {
        stream: json.get("stream").and_then(Value::as_bool).unwrap_or(false),
        body: json,
        chat,
    };
    let work = Work::Completion(completion);
    build(parts, service, parts.path.to_owned(), body, work, now)
}

fn no_service(name: &str) -> Problem {
    Problem::not_run(
        404,
        "unknown service",
        format!("no service or model `{name}`"),
    )
}

fn no_path(path: &str) -> Problem {
    Problem::not_run(
        404,
        "unknown path",
        format!("nothing is served at `{path}`"),
    )
}

fn build(
    parts: &Parts<'_>,
    service: &Arc<Service>,
    path: String,
    body: Vec<u8>,
    work: Work,
    now: Instant,
) -> Result<Call, Problem> {
    let account = authorize(parts, service)?;
    let class = service.classes.get(&account.class).cloned();
    let class = class.ok_or_else(|| Problem::not_run(500, "no class", account.class.as_str()))?;
    let call = Call {
        request: Uuid::now_v7(),
        service: Arc::clone(service),
        account,
        class,
        method: parts.method.into(),
        path,
        content_type: parts
            .content_type
            .map(CompactString::from)
            .unwrap_or_default(),
        body,
        work,
        right: None,
        arrived: now,
    };
    if call.is_idempotent() {
        return Ok(call);
    }
    let one_time_key = one_time_key(parts)?;
    Ok(Call {
        right: one_time_key,
        ..call
    })
}

/// Returns the account to which the bearer key of a request belongs.
pub fn authorize(parts: &Parts<'_>, service: &Service) -> Result<crate::service::Account, Problem> {
    let key = parts.authorization.and_then(|value| {
        let (scheme, key) = value.split_once(' ')?;
        scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
    });
    let key = key.ok_or_else(|| Problem::not_run(401, "no key", "expected a bearer key"))?;
    let account = service.account(key).cloned();
    account.ok_or_else(|| Problem::not_run(403, "unknown key", "the key is of no account here"))
}

fn one_time_key(parts: &Parts<'_>) -> Result<Option<OneTimeKey>, Problem> {
    let bad_request = |detail: String| Problem::not_run(400, "bad request", detail);
    match (parts.key, parts.ticket) {
        (Some(_), Some(_)) => Err(bad_request(
            "expected a key or a ticket, not both".to_owned(),
        )),
        (None, None) => Ok(None),
        (Some(key), None) => Uuid::parse_str(key.trim_matches('"'))
            .map(|key| Some(OneTimeKey::Key(key)))
            .map_err(|_| bad_request("`Idempotency-Key` is no UUIDv7".to_owned())),
        (None, Some(ticket)) => Ticket::from_str(ticket)
            .map(|ticket| Some(OneTimeKey::Ticket(ticket)))
            .map_err(|cause| bad_request(cause.to_string())),
    }
}
