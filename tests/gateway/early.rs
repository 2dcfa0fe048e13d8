//! Tests of responses that come before their requests were read, and of responses whose status is none.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use pistachiohall::standin::fleet;
use pistachiohall::standin::fleet::client::Answer;
use pistachiohall::standin::fleet::replica::STAMP;
use pistachiohall::standin::fleet::store::Store;
use rstest::rstest;
use serde_json::json;
use socket2::SockRef;

use super::site::Gateway;
use super::site::LONG_PROMPT;
use super::site::NO_ORDERS;

/// Time for which an upstream waits from its partial response to the reset.
const RESET_DELAYS_MS: [u64; 5] = [0, 1, 5, 20, 60];
/// Most that callers may send.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Fields of a request whose prompt is not prefilled apart.
const TOKENS: [(&str, &str); 1] = [("Pistachiohall-Token-Count", "20,4")];

/// Content type of streams.
const EVENTS: &str = "text/event-stream";

/// How an upstream answers a request on a route.
#[derive(Debug, Clone, Default)]
struct Script {
    /// Bytes of the request that it reads, its head included.
    read: usize,
    /// What it writes; `{id}` stands for the identifier of the request.
    response: String,
    /// Whether it resets the connection after this time, or closes it.
    resets_after: Option<Duration>,
}

/// An upstream that follows a script on requests with a body or on a route, and knows no other paths.
struct Upstream {
    address: SocketAddr,
    script: Arc<Mutex<Script>>,
    /// Number of responses that it began.
    responses: Arc<AtomicUsize>,
}

impl Upstream {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let script: Arc<Mutex<Script>> = Arc::default();
        let responses: Arc<AtomicUsize> = Arc::default();
        let shared = (Arc::clone(&script), Arc::clone(&responses));
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (script, responses) = shared.clone();
                // A connection that the gateway ends is no fault.
                thread::spawn(move || stream.map(|stream| serve(stream, &script, &responses)));
            }
        });
        Upstream {
            address,
            script,
            responses,
        }
    }
}

fn serve(mut stream: TcpStream, script: &Mutex<Script>, responses: &AtomicUsize) -> io::Result<()> {
    let mut received = Vec::new();
    let mut buffer = vec![0; 64 << 10];
    while !received.windows(4).any(|end| end == b"\r\n\r\n") {
        let read = stream.read(&mut buffer[..512])?;
        if read == 0 {
            return Ok(());
        }
        received.extend_from_slice(&buffer[..read]);
    }
    let head = String::from_utf8_lossy(&received).to_lowercase();
    if head.starts_with("get /v1/") || head.starts_with("get /healthz") {
        return stream.write_all(
            b"HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
        );
    }
    let script = script.lock().unwrap().clone();
    let mut total = received.len();
    while total < script.read {
        let read = stream.read(&mut buffer)?;
        if read == 0 {
            break;
        }
        total += read;
    }
    let id = head.split("pistachiohall-request-id: ").nth(1);
    let id = id.and_then(|rest| rest.split("\r\n").next()).unwrap_or("");
    responses.fetch_add(1, Ordering::SeqCst);
    stream.write_all(script.response.replace("{id}", id).as_bytes())?;
    if let Some(delay) = script.resets_after {
        thread::sleep(delay);
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    }
    Ok(())
}

/// Returns the head of a signed response with neither a length nor chunks.
fn head(status: &str, content_type: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nPistachiohall-Request-Id: {{id}}\r\nPistachiohall-Server-Stamp: {STAMP}\r\n\
         Content-Type: {content_type}\r\n"
    )
}

/// A host before one scripted upstream of each kind.
struct Site {
    host: Gateway,
    upstream: Upstream,
    _store: Store,
}

impl Site {
    fn start() -> Self {
        let store = Store::start().unwrap();
        let mut config = fleet::config(3);
        config["limits"]["max_body_bytes"] = json!(MAX_BODY_BYTES);
        store.put_config(&config);
        let upstream = Upstream::start();
        for (name, service, stage) in [
            ("c1", "desk", None),
            ("d1", "lm", Some("decode")),
            ("p1", "lm", Some("prefill")),
        ] {
            let mut entry = json!({
                "service": service, "address": upstream.address.to_string(), "zone": "derby", "version": "v1",
                "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 1,
            });
            if let Some(stage) = stage {
                entry["stage"] = json!(stage);
            }
            store.put("keyed.servers", name, entry.to_string().as_bytes());
        }
        let host = Gateway::start("h1", store.address(), NO_ORDERS);
        for name in ["c1", "d1", "p1"] {
            host.wait_line(&[&format!("upstream={name}"), "outcome=added"]);
        }
        host.wait_ready();
        Site {
            host,
            upstream,
            _store: store,
        }
    }

    fn call(
        &self,
        path: &str,
        id: &str,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<Answer> {
        let mut client = self.host.client();
        client.send("POST", path, id, fields, body)?;
        client.receive()
    }
}

/// Guards against a part of a response that reaches the caller as a whole one: the upstream answered while the request
/// was still being written, and reset the connection. Whether the reader or the writer meets the reset first.
#[rstest]
#[case::unsafe_request("/act/a", &[], "text/plain", "the first part of an")]
#[case::safe_request("/read/a", &[], "text/plain", "the first part of an")]
#[case::stream("/draft/a", &TOKENS, EVENTS, "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n")]
#[case::stream_within_an_event("/draft/a", &TOKENS, EVENTS, "id: 1\ndata: token 1\n\nid: 2\nda")]
#[case::stream_that_may_be_resumed("/ask/a", &TOKENS, EVENTS, "id: 1\ndata: token 1\n\n")]
#[case::prefill("/draft/a", &LONG_PROMPT, "application/json", "{\"kv_handle\":\"3f\",\"tokens\":9000,\"version\":1}")]
fn a_reset_while_the_request_is_written_leaves_no_whole_response(
    #[case] path: &str,
    #[case] fields: &[(&str, &str)],
    #[case] content_type: &str,
    #[case] part: &str,
    #[values(400_000, 3_000_000)] body_bytes: usize,
    #[values(false, true)] has_interim: bool,
) {
    let site = Site::start();
    let body = vec![b'x'; body_bytes];
    let mut reached = 0;
    let interim = if has_interim {
        "HTTP/1.1 103 Early Hints\r\n\r\n"
    } else {
        ""
    };
    for read in [0, 4_096, body_bytes / 2, body_bytes - 10_000] {
        for delay in RESET_DELAYS_MS {
            *site.upstream.script.lock().unwrap() = Script {
                read,
                response: format!("{interim}{}\r\n{part}", head("200 OK", content_type)),
                resets_after: Some(Duration::from_millis(delay)),
            };
            let id = format!("r{read}-{delay}");
            let before = site.upstream.responses.load(Ordering::SeqCst);
            let answer = site.call(path, &id, fields, &body).unwrap();
            let after = site.upstream.responses.load(Ordering::SeqCst);
            reached += usize::from(after > before);
            let is_whole = answer.status == 200 && answer.is_complete;
            assert!(
                !is_whole,
                "{read} bytes read, reset after {delay} ms: {answer:?}"
            );
        }
    }
    assert_eq!(
        reached,
        4 * RESET_DELAYS_MS.len(),
        "requests reached the upstream"
    );
}

/// Guards against a status that is none of the protocol's and reaches the caller as an answer.
#[rstest]
fn a_status_that_is_none_is_no_answer(
    #[values("/act/a", "/read/a", "/draft/a", "/ask/a")] path: &str,
    #[values("000", "099", "101", "600", "999", "1000", "2x0", "")] status: &str,
    #[values("Content-Length: 4\r\n", "")] framing: &str,
) {
    let site = Site::start();
    *site.upstream.script.lock().unwrap() = Script {
        response: format!("{}{framing}\r\nbody", head(status, "text/plain")),
        ..Script::default()
    };
    let answer = site.call(path, "r1", &TOKENS, b"draft").unwrap();
    assert_eq!(answer.status, 502, "{answer:?}");
    assert!(!answer.fields.contains_key("pistachiohall-server-stamp"));
}
