//! Callers that keep their connections open until the process behind them is gone.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use pistachiohall::standin::fleet::HOST;
use pistachiohall::standin::fleet::client::Answer;
use pistachiohall::standin::fleet::client::Client;
use pistachiohall::standin::fleet::mortal;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::account;
use super::account::Account;
use super::fault;

/// Time that a caller gives each request.
pub const PATIENCE: Duration = Duration::from_millis(1500);
/// Pause between two sends of a request that ends its upstreams.
const DEADLY_PAUSE: Duration = Duration::from_millis(100);
/// Longest time between the two parts of a head.
const MAX_PART_DELAY: Duration = Duration::from_millis(3900);
/// Pause of a caller that reaches no gateway.
const PAUSE: Duration = Duration::from_millis(20);
/// Tokens of a generated answer.
pub const TOKENS: u64 = 6;

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A plain request that may be repeated.
    Read,
    /// A plain request that must not run twice.
    Act,
    /// A stream that may be resumed.
    Ask,
    /// A stream that must not run twice.
    Draft,
}

impl Kind {
    fn parts(self) -> (&'static str, &'static str, &'static str) {
        match self {
            Kind::Read => ("GET", "/read/a", ""),
            Kind::Act => ("POST", "/act/a", ""),
            Kind::Ask => ("POST", "/ask/a", "9000"),
            Kind::Draft => ("POST", "/draft/a", "200"),
        }
    }

    /// Returns whether a request of this kind must not run twice.
    pub fn runs_once(self) -> bool {
        matches!(self, Kind::Act | Kind::Draft)
    }
}

/// A request and what came of it.
#[derive(Debug, Clone)]
pub struct Call {
    /// Identifier.
    pub id: String,
    /// What was asked for.
    pub kind: Kind,
    /// Account whose key it carries, in runs that have some.
    pub account: Option<&'static Account>,
    /// Gateway that was asked.
    pub gateway: usize,
    /// When its first byte was sent.
    pub begun: Instant,
    /// When it was sent.
    pub sent: Instant,
    /// When its answer or the connection ended.
    pub ended: Instant,
    /// The answer; none if the connection ended or stayed silent.
    pub answer: Option<Answer>,
}

/// Asks callers to stop when it is dropped, also by a panic: the scope that they run in would wait
/// for them without end.
pub struct Ends<'a>(pub &'a AtomicBool);

impl Drop for Ends<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Sends requests until `stop`, and returns them all.
pub fn run(
    name: &str,
    seed: u64,
    has_accounts: bool,
    gateways: &[Mutex<Option<SocketAddr>>],
    stop: &AtomicBool,
) -> Vec<Call> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    let mut open: Option<(usize, Client)> = None;
    while !stop.load(Ordering::SeqCst) {
        let (gateway, mut client) = match open.take() {
            Some(open) => open,
            None => match connect(&mut random, gateways) {
                Some(open) => open,
                None => {
                    thread::sleep(PAUSE);
                    continue;
                }
            },
        };
        let kind = match random.random_range(0..4) {
            0 => Kind::Read,
            1 => Kind::Act,
            2 => Kind::Ask,
            _ => Kind::Draft,
        };
        let id = format!("{name}-{}", calls.len());
        let sent = Instant::now();
        let account = has_accounts.then(|| account::of(calls.len()));
        let answer = ask(&mut client, kind, &id, account);
        let is_kept = answer.as_ref().is_some_and(|answer| {
            answer.is_complete
                && answer
                    .fields
                    .get("connection")
                    .is_none_or(|text| text != "close")
        });
        if is_kept {
            open = Some((gateway, client));
        }
        calls.push(Call {
            id,
            kind,
            account,
            gateway,
            begun: sent,
            sent,
            ended: Instant::now(),
            answer,
        });
    }
    calls
}

/// Connects to a gateway that is drawn; returns `None` if it is not reached.
fn connect(random: &mut StdRng, gateways: &[Mutex<Option<SocketAddr>>]) -> Option<(usize, Client)> {
    let gateway = random.random_range(0..gateways.len());
    let address = *gateways[gateway].lock().unwrap();
    let client = address.and_then(|address| Client::connect(address).ok());
    Some((gateway, client?))
}

/// Sends the first half of a request's head on a connection of its own, and the rest a while later, until
/// `stop`; returns all requests of which the first half was sent.
pub fn run_in_parts(
    name: &str,
    seed: u64,
    has_accounts: bool,
    gateways: &[Mutex<Option<SocketAddr>>],
    stop: &AtomicBool,
) -> Vec<Call> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let Some((gateway, mut client)) = connect(&mut random, gateways) else {
            thread::sleep(PAUSE);
            continue;
        };
        let kind = match random.random_range(0..2) {
            0 => Kind::Read,
            _ => Kind::Act,
        };
        let id = format!("{name}-{}", calls.len());
        let (method, path, _) = kind.parts();
        let patience = PATIENCE.as_millis();
        let account = has_accounts.then(|| account::of(calls.len()));
        let fields: String = account
            .into_iter()
            .flat_map(Account::fields)
            .map(|(name, value)| format!("{name}: {value}\r\n"))
            .collect();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nPistachiohall-Request-Id: {id}\r\n\
             Pistachiohall-Deadline-Ms: {patience}\r\n{fields}Content-Length: 0\r\n\r\n"
        );
        let (first, rest) = head.split_at(random.random_range(1..head.len()));
        let begun = Instant::now();
        if client.send_raw(first.as_bytes()).is_err() {
            continue;
        }
        thread::sleep(MAX_PART_DELAY.mul_f64(random.random()));
        let sent = Instant::now();
        let answer = client
            .send_raw(rest.as_bytes())
            .and_then(|()| client.receive());
        calls.push(Call {
            id,
            kind,
            account,
            gateway,
            begun,
            sent,
            ended: Instant::now(),
            answer: answer.ok().filter(|answer| answer.status != 0),
        });
    }
    calls
}

/// Sends a request that ends its upstreams to one gateway after the other until `stop`.
pub fn run_deadly(seed: u64, gateways: &[Mutex<Option<SocketAddr>>], stop: &AtomicBool) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(DEADLY_PAUSE);
        let gateway = random.random_range(0..gateways.len());
        let address = *gateways[gateway].lock().unwrap();
        let Some(mut client) = address.and_then(|address| Client::connect(address).ok()) else {
            continue;
        };
        number += 1;
        let id = format!("deadly{seed}-{number}");
        let fields = [("Pistachiohall-Deadline-Ms", "400"), account::kept_key()];
        let sent = client.send("POST", "/risky/deadly", &id, &fields, b"deadly");
        // What comes back is no matter: only what the upstreams see counts.
        let _answer = sent.and_then(|()| client.receive());
        if fault::has_deadly_block(seed) {
            for block in [mortal::DEADLY_BLOCK, "b1"] {
                let _answer = chat(address, &format!("{block}{id}"), number, block);
            }
        }
    }
}

/// Sends a request that differs from all others, with `block` in its prompt.
fn chat(address: Option<SocketAddr>, id: &str, number: u64, block: &str) -> Option<Answer> {
    let mut client = Client::connect(address?).ok()?;
    let blocks = format!("a1:50,{block}:50,{number:x}:50");
    let fields = [
        ("Pistachiohall-Deadline-Ms", "400"),
        ("Pistachiohall-Token-Count", "150,6"),
        ("Pistachiohall-Prompt-Prefix", blocks.as_str()),
        account::kept_key(),
    ];
    let path = format!("/chat/{id}");
    client
        .send("POST", &path, id, &fields, id.as_bytes())
        .ok()?;
    client.receive().ok()
}

fn ask(client: &mut Client, kind: Kind, id: &str, account: Option<&Account>) -> Option<Answer> {
    let (method, path, prompt) = kind.parts();
    let patience = PATIENCE.as_millis().to_string();
    let sizes = format!("{prompt},{TOKENS}");
    let parts = format!("a1:50,{:x}:50", id.len());
    let mut fields = vec![("Pistachiohall-Deadline-Ms", patience.as_str())];
    for (name, value) in account.into_iter().flat_map(Account::fields) {
        fields.push((name, value));
    }
    if !prompt.is_empty() {
        fields.push(("Pistachiohall-Token-Count", &sizes));
        fields.push(("Pistachiohall-Prompt-Prefix", &parts));
    }
    client.send(method, path, id, &fields, b"").ok()?;
    // A connection that ends before a status gives no answer.
    client.receive().ok().filter(|answer| answer.status != 0)
}

/// Guards the soak: a run that panics while callers go on has to end, and to show why.
#[test]
fn callers_end_when_the_run_panics() {
    let gateways = [Mutex::new(None)];
    let stop = AtomicBool::new(false);
    let run = || {
        thread::scope(|scope| {
            let _ends = Ends(&stop);
            scope.spawn(|| run("c", 1, false, &gateways, &stop));
            panic!("a gateway did not start");
        })
    };
    assert!(std::panic::catch_unwind(std::panic::AssertUnwindSafe(run)).is_err());
}
