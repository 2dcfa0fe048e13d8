//! Stand-in for a caller: sends requests and notes what it got.

use std::io::BufReader;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use attohttpc::Method;
use attohttpc::RequestBuilder;
use attohttpc::header::HeaderMap;
use serde_json::Value;
use serde_json::json;
use uuid::Uuid;

use crate::pipeline::deliver::text_of;
use crate::upstream::call::OUTCOME;
use crate::upstream::call::REQUEST_ID;
use crate::upstream::sse;

/// Longest wait for a byte.
const SILENCE: Duration = Duration::from_secs(30);
/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// What a caller got for a completion.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Received {
    /// HTTP status; 0 if there was no answer.
    pub status: u16,
    /// Text received.
    pub text: String,
    /// Whether the answer was marked as whole.
    pub whole: bool,
    /// Outcome that the system gave.
    pub outcome: String,
    /// Seconds after which to come back.
    pub retry_after_s: Option<u64>,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
    /// Answer to a plain call.
    pub body: Value,
    /// Identifier that the entry host gave the request.
    pub request: String,
}

/// A caller with its key.
#[derive(Debug, Clone)]
pub struct Caller {
    /// Entry host.
    pub address: SocketAddr,
    /// Bearer key.
    pub key: String,
}

impl Caller {
    /// Returns a caller at an entry host.
    ///
    /// ```
    /// let caller = pistachiohall::standin::caller::Caller::new("127.0.0.1:9".parse().unwrap(), "k");
    /// assert_eq!(caller.stream("m", "prompt", 1).status, 0);
    /// ```
    pub fn new(address: SocketAddr, key: &str) -> Self {
        Caller {
            address,
            key: key.to_owned(),
        }
    }

    fn request(&self, method: Method, path: &str) -> RequestBuilder {
        RequestBuilder::new(method, format!("http://{}{path}", self.address))
            .connect_timeout(CONNECT_TIMEOUT)
            .read_timeout(SILENCE)
            .header(REQUEST_ID, Uuid::now_v7().to_string())
            .header("authorization", format!("Bearer {}", self.key))
    }

    /// Asks for a streamed completion.
    pub fn stream(&self, model: &str, prompt: &str, tokens: u64) -> Received {
        let body =
            json!({ "model": model, "prompt": prompt, "max_tokens": tokens, "stream": true });
        let began = Instant::now();
        let sent = self
            .request(Method::POST, "/v1/completions")
            .header("content-type", "application/json")
            .text(body.to_string())
            .send();
        let Ok(response) = sent else {
            return Received::default();
        };
        let is_stream = response
            .headers()
            .get("content-type")
            .is_some_and(|kind| kind == "text/event-stream");
        if !is_stream {
            return whole(response);
        }
        let (status, headers, reader) = response.split();
        let mut got = Received {
            request: text_of_header(&headers, REQUEST_ID),
            status: status.as_u16(),
            ..Received::default()
        };
        read_events(&mut got, reader, began);
        got
    }

    /// Asks for a completion in one piece.
    pub fn complete(&self, model: &str, prompt: &str, tokens: u64) -> Received {
        let body = json!({ "model": model, "prompt": prompt, "max_tokens": tokens });
        let mut got = self.post("/v1/completions", &body.to_string(), &[]);
        got.text = text_of(&got.body).to_owned();
        got.whole = got.status == 200;
        got
    }

    /// Posts a body with further headers.
    pub fn post(&self, path: &str, body: &str, headers: &[(&'static str, String)]) -> Received {
        let mut request = self.request(Method::POST, path);
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        request.text(body).send().map(whole).unwrap_or_default()
    }

    /// Gets a path.
    pub fn get(&self, path: &str) -> Received {
        let sent = self.request(Method::GET, path).send();
        sent.map(whole).unwrap_or_default()
    }
}

fn whole(response: attohttpc::Response) -> Received {
    let header = |name: &str| text_of_header(response.headers(), name);
    let outcome = header(OUTCOME);
    let request = header(REQUEST_ID);
    let retry_after_s = header("retry-after").parse().ok();
    let status = response.status().as_u16();
    let body = response.bytes().unwrap_or_default();
    Received {
        status,
        outcome,
        request,
        retry_after_s,
        whole: (200..300).contains(&status),
        body: serde_json::from_slice(&body).unwrap_or_default(),
        ..Received::default()
    }
}

fn text_of_header(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn read_events(got: &mut Received, reader: attohttpc::ResponseReader, began: Instant) {
    let mut events = sse::Reader::new(BufReader::new(reader));
    let mut last = began;
    while let Ok(Some(data)) = events.next_data() {
        if data == "[DONE]" {
            got.whole = true;
            got.outcome = "ran".to_owned();
            return;
        }
        let event: Value = serde_json::from_str(&data).unwrap_or_default();
        if let Some(outcome) = event["error"]["outcome"].as_str() {
            got.outcome = outcome.to_owned();
            return;
        }
        got.text.push_str(text_of(&event));
        let now = Instant::now();
        match got.first_token {
            None => got.first_token = Some(now - began),
            Some(_) => got.gaps.push(now - last),
        }
        last = now;
    }
}
