//! Test harness with a gateway process, a store and upstreams on loopback.

use std::collections::HashMap;
use std::io::BufRead;
use std::io::BufReader;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use pistachiohall::standin::fleet;
use pistachiohall::standin::fleet::client;
use pistachiohall::standin::fleet::client::Answer;
use pistachiohall::standin::fleet::client::Client;
use pistachiohall::standin::fleet::replica::Replica;
use pistachiohall::standin::fleet::store::Store;
use pistachiohall::standin::fleet::wire;
use serde_json::Value;

/// Timeout of waiting for an expected event, far above the time that it takes on a busy machine.
pub const LONG: Duration = Duration::from_secs(30);
/// Header fields of a request that is split into prefill at one engine and decode at another.
pub const LONG_PROMPT: [(&str, &str); 2] = [
    ("Pistachiohall-Token-Count", "9000,4"),
    ("Pistachiohall-Prompt-Prefix", "a1:2500,b2:3500,c3:3000"),
];
/// Header fields of a request whose prefill and decode run at one engine.
pub const SHORT_PROMPT: [(&str, &str); 2] = [
    ("Pistachiohall-Token-Count", "200,4"),
    ("Pistachiohall-Prompt-Prefix", "a1:50,b2:30,c3:120"),
];
/// Failure domain of gateways that name none.
const DOMAIN: &str = "derby";
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until `holds` returns `true`.
///
/// # Panics
///
/// Panics with `what` if that takes longer than [`LONG`].
pub fn wait_for<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let started_at = Instant::now();
    while !holds() {
        assert!(
            started_at.elapsed() < LONG,
            "did not happen in time: {what}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

/// Gateway in a separate process, which is killed when this is dropped.
pub struct Gateway {
    child: Child,
    domain: String,
    addresses: HashMap<String, SocketAddr>,
    settings: PathBuf,
    /// Address at which it listens, also after a restart. No other process uses it: on a shared
    /// address, a connection could take the port while the gateway is down.
    ip: IpAddr,
    lines: Arc<Mutex<Vec<String>>>,
}

/// Returns `true` if a log line has a field; see [`Gateway::line`].
fn has_field(line: &str, field: &str) -> bool {
    let Ok(Value::Object(fields)) = serde_json::from_str(line) else {
        return false;
    };
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        value => value.to_string(),
    };
    let is_field = field.split_once('=').is_some_and(|(name, wanted)| {
        fields
            .get(name)
            .is_some_and(|value| wanted.is_empty() || text(value) == wanted)
    });
    is_field || fields.values().any(|value| text(value).contains(field))
}

impl Gateway {
    /// Starts a gateway; `more` is added to its settings.
    pub fn start(name: &str, store: SocketAddr, more: &str) -> Self {
        Gateway::start_in(DOMAIN, name, store, more)
    }

    /// Starts a gateway in a failure domain; `more` is added to its settings.
    pub fn start_in(domain: &str, name: &str, store: SocketAddr, more: &str) -> Self {
        let unique = uuid::Uuid::now_v7();
        let settings = std::env::temp_dir().join(format!("{name}-{unique}.ini"));
        let ip = wire::unique_address().ip();
        let mut gateway = Gateway {
            child: spawn(&settings, &settings_text(domain, name, store, ip, more)),
            domain: domain.into(),
            addresses: HashMap::new(),
            settings,
            ip,
            lines: Arc::default(),
        };
        gateway.read_lines();
        gateway
    }

    fn read_lines(&mut self) {
        let out = self.child.stdout.take().unwrap();
        let lines = Arc::clone(&self.lines);
        thread::spawn(move || {
            for line in BufReader::new(out).lines() {
                let Ok(line) = line else { return };
                lines.lock().unwrap().push(line);
            }
        });
        wait_for("start", || self.line(&["outcome=started"]).is_some());
        let started = self.line(&["outcome=started"]).unwrap();
        let fields: serde_json::Map<String, Value> = serde_json::from_str(&started).unwrap();
        self.addresses = fields
            .into_iter()
            .filter_map(|(name, value)| Some((name, value.as_str()?.parse().ok()?)))
            .collect();
    }

    /// Returns the first log line that matches all `fields`: `name=value` matches a field with
    /// exactly this value, `name=` a field with any value, and other text a value that contains it.
    pub fn line(&self, fields: &[&str]) -> Option<String> {
        let lines = self.lines.lock().unwrap();
        let holds = |line: &&String| fields.iter().all(|field| has_field(line, field));
        lines.iter().find(holds).cloned()
    }

    /// Returns all log lines.
    pub fn log(&self) -> String {
        let lines = self.lines.lock().unwrap();
        lines.iter().map(|line| format!("{line}\n")).collect()
    }

    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.addresses["callers"]
    }

    /// Returns the address for the datagrams of peers.
    pub fn peers(&self) -> SocketAddr {
        self.addresses["peers"]
    }

    /// Returns the HTTP status of the readiness check; 0 if there is no response.
    pub fn readiness(&self) -> u16 {
        client::call(self.addresses["balancer"], "GET", "/v1/readyz", "r", &[])
            .map_or(0, |answer| answer.status)
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> String {
        let line = self.line(&["metrics=", "outcome=served"]).unwrap();
        let line: Value = serde_json::from_str(&line).unwrap();
        let address = line["metrics"].as_str().unwrap().parse().unwrap();
        client::call(address, "GET", "/metrics", "m", &[])
            .unwrap()
            .body
    }

    /// Returns the value of a gauge; 0 if it has none yet.
    pub fn gauge(&self, name: &str) -> u64 {
        let prefix = format!("pistachiohall_{name} ");
        let metrics = self.metrics();
        let value = metrics.lines().find_map(|line| line.strip_prefix(&prefix));
        value.map_or(0, |value| value.parse().unwrap())
    }

    /// Returns the peak of the process's resident memory, in bytes.
    pub fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap();
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .and_then(|value| value.trim().strip_suffix(" kB"));
        peak.unwrap().trim().parse::<u64>().unwrap() << 10
    }

    /// Waits until the gateway is ready.
    pub fn wait_ready(&self) {
        wait_for("readiness", || self.readiness() == 200);
    }

    /// Waits until the gateway has logged a line that matches all `fields`; see [`Gateway::line`].
    pub fn wait_line(&self, fields: &[&str]) {
        wait_for(&fields.join(" "), || self.line(fields).is_some());
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        Command::new("kill").args([name, &id]).status().unwrap();
    }

    /// Replaces the settings file.
    pub fn rewrite(&self, name: &str, store: SocketAddr, more: &str) {
        let text = settings_text(&self.domain, name, store, self.ip, more);
        std::fs::write(&self.settings, text).unwrap();
    }

    /// Kills the process and starts it again with the same peer address.
    pub fn restart(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        let text = std::fs::read_to_string(&self.settings).unwrap();
        let peers = format!("peer_listen = {}", self.addresses["peers"]);
        let text = text.replace(&format!("peer_listen = {}:0", self.ip), &peers);
        self.lines = Arc::default();
        self.child = spawn(&self.settings, &text);
        self.read_lines();
    }

    /// Waits until the process exits and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        let mut status = None;
        wait_for("the exit of a gateway", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap().code()
    }

    /// Sends a request on a new connection and returns the response.
    pub fn call(&self, method: &str, path: &str, id: &str, fields: &[(&str, &str)]) -> Answer {
        client::call(self.callers(), method, path, id, fields).unwrap()
    }

    /// Opens a connection as a caller.
    pub fn client(&self) -> Client {
        Client::connect(self.callers()).unwrap()
    }
}

fn settings_text(domain: &str, name: &str, store: SocketAddr, ip: IpAddr, more: &str) -> String {
    format!(
        "[gateway]\nname = {name}\ndomain = {domain}\nlisten = {ip}:0\n\
         ready_listen = {ip}:0\npeer_listen = {ip}:0\nmetrics_listen = {ip}:0\n\
         store = {store}\n{more}"
    )
}

fn spawn(settings: &PathBuf, text: &str) -> Child {
    std::fs::write(settings, text).unwrap();
    Command::new(env!("CARGO_BIN_EXE_pistachiohall"))
        .arg("serve")
        .arg(settings)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap()
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // The process may have exited already.
        let _killed = self.child.kill();
        let _status = self.child.wait();
        let _removed = std::fs::remove_file(&self.settings);
    }
}

/// Store, upstreams and one gateway that knows them.
pub struct Site {
    /// Store.
    pub store: Store,
    /// Upstreams by name.
    pub replicas: HashMap<String, Replica>,
    /// Gateway.
    pub gateway: Gateway,
}

/// Settings without orders and with a retry budget that never runs out.
pub const NO_ORDERS: &str = "[orders]\nread_share = 0\n[repeats]\nratio = 1000\n";

impl Site {
    /// Starts upstreams of a plain service named `desks`, and engines named `engines` with their
    /// stages.
    pub fn start(desks: &[&str], engines: &[(&str, &'static str)], more: &str) -> Self {
        let store = Store::start().unwrap();
        store.put_config(&fleet::config(3));
        let mut replicas = HashMap::new();
        for id in desks {
            let replica = Replica::start(id, "desk", "derby", None).unwrap();
            replicas.insert((*id).to_owned(), replica);
        }
        for (id, stage) in engines {
            let replica = Replica::start(id, "lm", "derby", Some(stage)).unwrap();
            replicas.insert((*id).to_owned(), replica);
        }
        for replica in replicas.values() {
            replica.register(&store, "ready");
        }
        let gateway = Gateway::start("h1", store.address(), more);
        gateway.wait_ready();
        for id in replicas.keys() {
            gateway.wait_line(&[&format!("upstream={id}"), "outcome=added"]);
        }
        Site {
            store,
            replicas,
            gateway,
        }
    }

    /// Starts upstreams of a plain service only.
    pub fn desks(ids: &[&str]) -> Self {
        Site::start(ids, &[], NO_ORDERS)
    }

    /// Returns the number of requests that ran, over all upstreams.
    pub fn runs(&self) -> usize {
        self.replicas.values().map(Replica::runs).sum()
    }

    /// Returns the number of requests that arrived, over all upstreams.
    pub fn arrivals(&self) -> usize {
        self.replicas
            .values()
            .map(|replica| replica.received().len())
            .sum()
    }
}
