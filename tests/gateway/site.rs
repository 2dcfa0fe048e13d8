//! A gateway process, a store and upstreams on loopback.

use std::collections::HashMap;
use std::io::BufRead;
use std::io::BufReader;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use pistachiohall::standin::fleet;
use pistachiohall::standin::fleet::client;
use pistachiohall::standin::fleet::client::Answer;
use pistachiohall::standin::fleet::client::Client;
use pistachiohall::standin::fleet::replica::Replica;
use pistachiohall::standin::fleet::store::Store;
use serde_json::Value;

/// Longest wait for something that must come about, far above what it takes on a busy machine.
pub const LONG: Duration = Duration::from_secs(30);
/// Fields of a request whose prompt is read at one engine for another.
pub const LONG_PROMPT: [(&str, &str); 2] = [
    ("Pistachiohall-Token-Count", "9000,4"),
    ("Pistachiohall-Prompt-Prefix", "a1:2500,b2:3500,c3:3000"),
];
/// Fields of a request whose prompt is read where its tokens are generated.
pub const SHORT_PROMPT: [(&str, &str); 2] = [
    ("Pistachiohall-Token-Count", "200,4"),
    ("Pistachiohall-Prompt-Prefix", "a1:50,b2:30,c3:120"),
];
/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(10);

/// Waits until `holds`; panics with `what` if it does not come about.
pub fn wait_for<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < LONG, "did not come about: {what}");
        thread::sleep(LOOK_PAUSE);
    }
}

/// A gateway in a process of its own; killed when dropped.
pub struct Gateway {
    child: Child,
    addresses: HashMap<String, SocketAddr>,
    settings: PathBuf,
    /// Address that its peers reach it at, also after a restart. No other process uses it: on a
    /// shared one a connection may take the number of its port while it is down.
    peer_ip: Ipv4Addr,
    lines: Arc<Mutex<Vec<String>>>,
}

/// Returns whether a log line has a field; see `Gateway::line`.
fn has(line: &str, field: &str) -> bool {
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
        let unique = uuid::Uuid::now_v7();
        let settings = std::env::temp_dir().join(format!("{name}-{unique}.ini"));
        let peer_ip = own_ip();
        let mut gateway = Gateway {
            child: spawn(&settings, &text(name, store, peer_ip, more)),
            addresses: HashMap::new(),
            settings,
            peer_ip,
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

    /// Returns the first log line that has all `fields`: `name=value` asks for a field of just
    /// this value, `name=` for any, another text for a line that contains it.
    pub fn line(&self, fields: &[&str]) -> Option<String> {
        let lines = self.lines.lock().unwrap();
        let holds = |line: &&String| fields.iter().all(|field| has(line, field));
        lines.iter().find(holds).cloned()
    }

    /// Returns all log lines.
    pub fn log(&self) -> String {
        let lines = self.lines.lock().unwrap();
        lines.iter().map(|line| format!("{line}\n")).collect()
    }

    /// Returns where callers are served.
    pub fn callers(&self) -> SocketAddr {
        self.addresses["callers"]
    }

    /// Returns where peers send their datagrams.
    pub fn peers(&self) -> SocketAddr {
        self.addresses["peers"]
    }

    /// Returns the status of the readiness question.
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

    /// Waits until the gateway is ready.
    pub fn wait_ready(&self) {
        wait_for("readiness", || self.readiness() == 200);
    }

    /// Waits until the gateway has logged a line that contains all `words`.
    pub fn wait_line(&self, words: &[&str]) {
        wait_for(&words.join(" "), || self.line(words).is_some());
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        Command::new("kill").args([name, &id]).status().unwrap();
    }

    /// Writes other settings over the file.
    pub fn rewrite(&self, name: &str, store: SocketAddr, more: &str) {
        let text = text(name, store, self.peer_ip, more);
        std::fs::write(&self.settings, text).unwrap();
    }

    /// Kills the process and starts it again with the same peer address.
    pub fn restart(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        let text = std::fs::read_to_string(&self.settings).unwrap();
        let peers = format!("peer_listen = {}", self.addresses["peers"]);
        let text = text.replace(&format!("peer_listen = {}:0", self.peer_ip), &peers);
        self.lines = Arc::default();
        self.child = spawn(&self.settings, &text);
        self.read_lines();
    }

    /// Waits for the end and returns the exit code.
    pub fn wait(&mut self) -> Option<i32> {
        let mut status = None;
        wait_for("the end of a gateway", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap().code()
    }

    /// Calls on a connection of its own.
    pub fn call(&self, method: &str, path: &str, id: &str, fields: &[(&str, &str)]) -> Answer {
        client::call(self.callers(), method, path, id, fields).unwrap()
    }

    /// Opens a connection.
    pub fn client(&self) -> Client {
        Client::connect(self.callers()).unwrap()
    }
}

/// Returns a loopback address that no other gateway of any test has.
fn own_ip() -> Ipv4Addr {
    static GATEWAYS: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let number = GATEWAYS.fetch_add(1, Ordering::Relaxed);
    Ipv4Addr::new(127, 64 + high % 128, low, number)
}

fn text(name: &str, store: SocketAddr, peer_ip: Ipv4Addr, more: &str) -> String {
    format!(
        "[gateway]\nname = {name}\ndomain = derby\nlisten = 127.0.0.1:0\n\
         ready_listen = 127.0.0.1:0\npeer_listen = {peer_ip}:0\nmetrics_listen = 127.0.0.1:0\n\
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
        // A process that has ended by itself cannot be killed again.
        let _killed = self.child.kill();
        let _status = self.child.wait();
        let _removed = std::fs::remove_file(&self.settings);
    }
}

/// A store, upstreams and one gateway that knows them.
pub struct Site {
    /// Store.
    pub store: Store,
    /// Upstreams by name.
    pub replicas: HashMap<String, Replica>,
    /// Gateway.
    pub gateway: Gateway,
}

/// Settings for tests of the rules on requests: no orders, and a budget that does not bind.
pub const NO_ORDERS: &str = "[orders]\nread_share = 0\n[repeats]\nratio = 1000\n";

impl Site {
    /// Starts plain services named `desks` and engines named `engines` with their stages.
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

    /// Starts plain services alone.
    pub fn desks(ids: &[&str]) -> Self {
        Site::start(ids, &[], NO_ORDERS)
    }

    /// Returns how many requests ran on all upstreams.
    pub fn runs(&self) -> usize {
        self.replicas.values().map(Replica::runs).sum()
    }

    /// Returns how many requests reached any upstream.
    pub fn arrivals(&self) -> usize {
        self.replicas
            .values()
            .map(|replica| replica.received().len())
            .sum()
    }
}
