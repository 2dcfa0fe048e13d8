//! Stand-in for the platform's log and list.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tiny_http::Method;
use tiny_http::Request;

use crate::duty::StopFlag;
use crate::log::AppendError;
use crate::log::Host;
use crate::log::List;
use crate::log::Log;
use crate::log::memory::InMemory;

use super::server;

/// Longest wait that a reader may ask for.
const MOST_WAIT: Duration = Duration::from_secs(10);

/// The platform's log and list over HTTP, held in memory.
#[derive(Debug)]
pub struct Platform {
    memory: Arc<InMemory>,
    address: SocketAddr,
    stop: StopFlag,
}

impl Platform {
    /// Starts the stand-in; each append takes `append_time`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pistachiohall::log::{http::Http, Log};
    /// use pistachiohall::standin::Platform;
    /// let address = "127.0.0.1:0".parse().unwrap();
    /// let platform = Platform::start(address, Default::default(), Duration::ZERO).unwrap();
    /// let log = Http::new(platform.address());
    /// assert_eq!(log.append("s", &1.into()).unwrap(), 0);
    /// ```
    pub fn start(
        address: SocketAddr,
        memory: Arc<InMemory>,
        append_time: Duration,
    ) -> io::Result<Self> {
        let stop = StopFlag::default();
        let shared = Arc::clone(&memory);
        let bound = server::serve("platform", address, &stop, move |request| {
            answer(&shared, append_time, request);
        })?;
        Ok(Platform {
            memory,
            address: bound,
            stop,
        })
    }

    /// Returns where it serves.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what it holds, to put faults in force or change the list.
    pub fn memory(&self) -> &Arc<InMemory> {
        &self.memory
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.stop.ask();
    }
}

fn answer(memory: &InMemory, append_time: Duration, mut request: Request) {
    let body = server::body(&mut request);
    let url = request.url().to_owned();
    let (path, query) = server::split(&url);
    let stream = path
        .strip_prefix("/streams/")
        .and_then(|rest| rest.strip_suffix("/records"));
    match (request.method(), path, stream) {
        (Method::Get, "/hosts", _) => match memory.hosts() {
            Ok(hosts) => server::json(request, 200, &json!({ "hosts": hosts })),
            Err(_) => server::json(request, 503, &Value::Null),
        },
        (Method::Put, "/hosts", _) => put_host(memory, request, &body),
        (Method::Post, _, Some(stream)) => append(memory, append_time, request, stream, &body),
        (Method::Get, _, Some(stream)) => {
            let from = server::number(&query, "from");
            let wait = Duration::from_millis(server::number(&query, "wait_ms")).min(MOST_WAIT);
            match memory.read(stream, from, wait) {
                Ok(batch) => server::json(request, 200, &json!(batch)),
                Err(_) => server::json(request, 503, &Value::Null),
            }
        }
        _ => server::json(request, 404, &Value::Null),
    }
}

fn put_host(memory: &InMemory, request: Request, body: &[u8]) {
    match serde_json::from_slice::<Host>(body) {
        Ok(host) => {
            memory.edit_hosts(|hosts| {
                hosts.retain(|other| other.name != host.name);
                hosts.push(host);
            });
            server::json(request, 200, &Value::Null);
        }
        Err(cause) => server::json(request, 400, &json!(cause.to_string())),
    }
}

fn append(memory: &InMemory, append_time: Duration, request: Request, stream: &str, body: &[u8]) {
    let Ok(data) = serde_json::from_slice::<Value>(body) else {
        return server::json(request, 400, &Value::Null);
    };
    thread::sleep(append_time);
    match memory.append(stream, &data) {
        Ok(offset) => server::json(request, 201, &json!({ "offset": offset })),
        Err(AppendError::Refused(_) | AppendError::Unknown(_)) => {
            server::json(request, 503, &Value::Null);
        }
    }
}
