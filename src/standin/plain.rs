//! Stand-in for a plain service that keeps a book of what it ran.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tiny_http::Method;
use tiny_http::Request;
use uuid::Uuid;

use crate::duty::StopFlag;
use crate::pipeline::identify;
use crate::upstream::Load;
use crate::upstream::call;
use crate::wire::Reply;

use super::server;

/// What the service does beside answering.
#[derive(Debug, Default)]
pub struct Faults {
    /// Runs the call, then breaks the connection instead of answering.
    pub loses_answers: AtomicBool,
    /// Milliseconds before each answer.
    pub delay_ms: AtomicUsize,
    /// Refuses all work as a leaving upstream does.
    pub leaving: AtomicBool,
}

#[derive(Debug, Default)]
struct Shared {
    boot_id: Uuid,
    runs: Mutex<HashMap<String, usize>>,
    in_flight: AtomicUsize,
    faults: Faults,
}

/// A plain service: `POST /advance/<name>` counts one run of `<name>`; `GET` reads the count.
#[derive(Debug)]
pub struct Plain {
    shared: Arc<Shared>,
    address: SocketAddr,
    stop: StopFlag,
}

impl Plain {
    /// Starts the stand-in.
    ///
    /// ```
    /// use pistachiohall::standin::Plain;
    /// let plain = Plain::start("127.0.0.1:0".parse().unwrap()).unwrap();
    /// assert_eq!(plain.runs("cue-1"), 0);
    /// ```
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let stop = StopFlag::default();
        let shared = Arc::new(Shared {
            boot_id: Uuid::now_v7(),
            ..Shared::default()
        });
        let own = Arc::clone(&shared);
        let bound = server::serve("plain", address, &stop, move |request| {
            answer(&own, request)
        })?;
        Ok(Plain {
            shared,
            address: bound,
            stop,
        })
    }

    /// Returns where it serves.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how often the action `name` ran.
    pub fn runs(&self, name: &str) -> usize {
        let runs = self.shared.runs.lock().expect("run lock");
        runs.get(name).copied().unwrap_or(0)
    }

    /// Returns all actions that ran, with how often.
    pub fn all_runs(&self) -> HashMap<String, usize> {
        self.shared.runs.lock().expect("run lock").clone()
    }

    /// Returns the faults, to be put in force.
    pub fn faults(&self) -> &Faults {
        &self.shared.faults
    }
}

impl Drop for Plain {
    fn drop(&mut self) {
        self.stop.ask();
    }
}

fn answer(shared: &Shared, mut request: Request) {
    let body = server::body(&mut request);
    let url = request.url().to_owned();
    if url == "/load" {
        let load = Load {
            boot_id: shared.boot_id,
            in_flight: shared.in_flight.load(Ordering::SeqCst),
            leaving: shared.faults.leaving.load(Ordering::SeqCst),
            ..Load::default()
        };
        return server::json(request, 200, &json!(load));
    }
    if shared.faults.leaving.load(Ordering::SeqCst) {
        return refuse(request);
    }
    shared.in_flight.fetch_add(1, Ordering::SeqCst);
    act(shared, request, &url, &body);
    shared.in_flight.fetch_sub(1, Ordering::SeqCst);
}

fn act(shared: &Shared, request: Request, url: &str, body: &[u8]) {
    let name = url.rsplit('/').next().unwrap_or_default().to_owned();
    let id = identify::header(&request, call::REQUEST_ID).map(str::to_owned);
    let delay = shared.faults.delay_ms.load(Ordering::SeqCst);
    let runs = match request.method() {
        Method::Get => shared
            .runs
            .lock()
            .expect("run lock")
            .get(&name)
            .copied()
            .unwrap_or(0),
        _ => {
            let mut runs = shared.runs.lock().expect("run lock");
            let count = runs.entry(name.clone()).or_insert(0);
            *count += 1;
            *count
        }
    };
    thread::sleep(Duration::from_millis(delay as u64));
    if shared.faults.loses_answers.load(Ordering::SeqCst) {
        return drop(request.into_writer());
    }
    let answer = json!({ "name": name, "runs": runs, "request": id, "bytes": body.len() });
    server::json(request, 200, &answer);
}

/// Refuses as an upstream that leaves: nothing was run.
pub fn refuse(request: Request) {
    let mut reply = Reply::json(503, &Value::Null);
    reply.outcome = crate::problem::Outcome::NotRun;
    server::reply(request, &reply);
}
