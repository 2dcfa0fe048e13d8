//! Calls of an upstream over HTTP.

use std::io;
use std::io::BufReader;
use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::Method;
use attohttpc::RequestBuilder;
use attohttpc::ResponseReader;
use attohttpc::header::HeaderMap;
use thiserror::Error;

use super::is_before_first_byte;
use super::sse;
use crate::id::RequestId;

/// Header that identifies the request on every hop.
pub const REQUEST_ID: &str = "x-request-id";
/// Header with the rank of the class; 0 is the most urgent.
pub const PRIORITY: &str = "x-priority";
/// Header with the outcome of a request, by which an upstream states that it did not run one.
pub const OUTCOME: &str = "x-outcome";

/// Maximum time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of a response read as a whole, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Reason for which a call got no response.
#[derive(Debug, Error)]
pub enum Failure {
    /// No byte of the request left this host.
    #[error("no connection: {0}")]
    BeforeFirstByte(String),
    /// The upstream stated that it did not run the request.
    #[error("refused by the upstream")]
    Refused,
    /// The connection broke after the request may have left.
    #[error("connection lost: {0}")]
    Lost(String),
    /// No data arrived for too long after the request may have left.
    #[error("connection silent: {0}")]
    Silent(String),
}

impl From<io::Error> for Failure {
    fn from(cause: io::Error) -> Self {
        match cause.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => {
                Failure::Silent(cause.to_string())
            }
            _ => Failure::Lost(cause.to_string()),
        }
    }
}

/// A call of an upstream.
#[derive(Debug, Clone)]
pub struct Call<'a> {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Body.
    pub body: &'a [u8],
    /// Content type of the body.
    pub content_type: &'a str,
    /// Request that it belongs to.
    pub request: RequestId,
    /// Rank of the class.
    pub rank: u8,
    /// Time without data after which the connection counts as lost.
    pub silence: Duration,
    /// Maximum time for the complete call.
    pub limit: Option<Duration>,
}

/// The head of a response whose body is still to be read.
#[derive(Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    reader: ResponseReader,
}

impl Response {
    /// Reads the complete body.
    ///
    /// # Errors
    ///
    /// Fails if the connection is lost, or if the body ends early or is too large.
    pub fn bytes(self) -> Result<Vec<u8>, Failure> {
        use std::io::Read;

        let mut body = Vec::new();
        self.reader
            .take(MAX_RESPONSE_BYTES + 1)
            .read_to_end(&mut body)?;
        let announced_bytes = self
            .headers
            .get("content-length")
            .and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        if announced_bytes.is_some_and(|length| length != body.len() as u64) {
            return Err(Failure::Lost("the body ended early".to_owned()));
        }
        match body.len() as u64 > MAX_RESPONSE_BYTES {
            true => Err(Failure::Lost("the body is too large".to_owned())),
            false => Ok(body),
        }
    }

    /// Returns the body as a stream of events.
    pub fn events(self) -> sse::Reader<BufReader<ResponseReader>> {
        sse::Reader::new(BufReader::new(self.reader))
    }
}

fn failure(cause: attohttpc::Error) -> Failure {
    let text = cause.to_string();
    match cause.into_kind() {
        attohttpc::ErrorKind::Io(cause) => cause.into(),
        _ => Failure::Lost(text),
    }
}

/// Sends a call and waits for the head of its response.
pub fn send(call: &Call<'_>) -> Result<Response, Failure> {
    let method = Method::from_bytes(call.method.as_bytes())
        .map_err(|cause| Failure::BeforeFirstByte(cause.to_string()))?;
    let url = format!("http://{}{}", call.address, call.path);
    let mut builder = RequestBuilder::new(method, url)
        .follow_redirects(false)
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(call.silence)
        .header(REQUEST_ID, call.request.to_string())
        .header(PRIORITY, u16::from(call.rank));
    if let Some(limit) = call.limit {
        builder = builder.timeout(limit);
    }
    if !call.content_type.is_empty() {
        builder = builder.header("content-type", call.content_type);
    }
    let response =
        builder
            .bytes(call.body)
            .send()
            .map_err(|cause| match is_before_first_byte(&cause) {
                true => Failure::BeforeFirstByte(cause.to_string()),
                false => failure(cause),
            })?;
    let (status, headers, reader) = response.split();
    let is_not_run = headers
        .get(OUTCOME)
        .is_some_and(|outcome| outcome == "not-run");
    if status.as_u16() == 503 && is_not_run {
        return Err(Failure::Refused);
    }
    Ok(Response {
        status: status.as_u16(),
        headers,
        reader,
    })
}
