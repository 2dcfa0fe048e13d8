//! Hosts, engines, the balancer and the record of a case.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::fs;
use std::io;
use std::net::IpAddr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use pistachiohall::standin::fleet::client;
use pistachiohall::standin::fleet::client::Answer;
use pistachiohall::standin::fleet::client::Client;
use pistachiohall::standin::fleet::replica::ReceivedRequest;
use pistachiohall::standin::fleet::replica::Replica;
use pistachiohall::standin::fleet::store::Registry;
use pistachiohall::standin::fleet::wire;

/// Command of the deploy file; the settings file is named by an environment variable.
const PROGRAM: &str = "target/release/pistachiohall";
const SETTINGS: &str = "PISTACHIOHALL_SETTINGS";
/// Ports of a host, each host at an address of its own.
const CALLERS: u16 = 8144;
const READY: u16 = 8140;
const PEERS: u16 = 7660;
const METRICS: u16 = 9464;
/// Interval at which upstreams write their entries (`heartbeat_ms`).
const HEARTBEAT: Duration = Duration::from_millis(1200);
/// Longest wait for the hosts to be ready.
const START_TIME: Duration = Duration::from_secs(20);

/// Whether a rule held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

/// Whether the case plays its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What happened, with times, for `record.txt`.
pub struct Record {
    started_at: Instant,
    text: Mutex<String>,
}

impl Record {
    pub fn new() -> Self {
        Record {
            started_at: Instant::now(),
            text: Mutex::default(),
        }
    }

    pub fn line(&self, line: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut text = self.text.lock().unwrap();
        writeln!(text, "{at:8.3} {line}").unwrap();
    }

    /// Writes the record to the file that the case names, and its last lines to standard output.
    pub fn save(&self) -> Result<(), String> {
        let file = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let text = self.text.lock().unwrap();
        fs::write(&file, text.as_str()).map_err(|cause| format!("{file}: {cause}"))
    }
}

/// A host in a process of its own.
pub struct Host {
    pub name: String,
    pub zone: String,
    ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Host {
    /// Starts a host with settings as the template of the deploy file gives them; `more` is added.
    pub fn start(name: &str, zone: &str, store: SocketAddr, more: &str) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|cause| cause.to_string())?;
        let ip = wire::unique_address().ip();
        let mut host = Host {
            name: name.into(),
            zone: zone.into(),
            ip,
            settings: folder.join(format!("{name}.ini")),
            log: folder.join(format!("{name}.log")),
            child: None,
        };
        let text = format!(
            "[gateway]\nname = {name}\ndomain = {zone}\nlisten = {ip}:{CALLERS}\n\
             ready_listen = {ip}:{READY}\npeer_listen = {ip}:{PEERS}\nmetrics_listen = {ip}:{METRICS}\n\
             store = {store}\n[repeats]\nratio = 0.2\nslack = 52\nwindow = 10s\n\
             [shutdown]\nlimit = 8s\n[orders]\nlease = 3000ms\ntell_paces = yes\n\
             [host]\nmemory = 260MiB\n{more}"
        );
        fs::write(&host.settings, text).map_err(|cause| cause.to_string())?;
        host.run()?;
        Ok(host)
    }

    /// Starts the process.
    pub fn run(&mut self) -> Result<(), String> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log);
        let log = log.map_err(|cause| cause.to_string())?;
        let child = Command::new(PROGRAM)
            .arg("serve")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env(SETTINGS, &self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::null())
            .spawn();
        self.child = Some(child.map_err(|cause| format!("{PROGRAM}: {cause}"))?);
        Ok(())
    }

    pub fn callers(&self) -> SocketAddr {
        (self.ip, CALLERS).into()
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::from((self.ip, READY));
        let answer = client::call(address, "GET", "/v1/readyz", "ready", &[]);
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _killed = child.kill();
            let _ended = child.wait();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
        if std::env::var("KEEP").is_err() {
            let _removed = fs::remove_file(&self.log);
            let _removed = fs::remove_file(&self.settings);
            let _removed = self.settings.parent().map(fs::remove_dir);
        }
    }
}

/// Waits until all hosts are ready.
pub fn wait_ready(hosts: &[Host]) -> Result<(), String> {
    let started_at = Instant::now();
    while !hosts.iter().all(Host::is_ready) {
        if started_at.elapsed() > START_TIME {
            return Err("the hosts aren't ready in time".into());
        }
        thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}

/// An engine with its software version.
pub struct Engine {
    pub name: String,
    pub version: String,
    replica: Option<Arc<Replica>>,
    /// Requests that an incarnation before got.
    past: Vec<ReceivedRequest>,
    service: String,
    pub zone: String,
    slots: usize,
    pause: Duration,
    is_stopped: Arc<AtomicBool>,
    is_draining: Arc<AtomicBool>,
}

impl Engine {
    /// Starts an engine of `slots` slots.
    pub fn start(
        name: &str,
        service: &str,
        zone: &str,
        version: &str,
        slots: usize,
        pause: Duration,
    ) -> Result<Self, String> {
        let replica = Replica::start(name, service, zone, Some("decode"));
        let replica = replica.map_err(|cause| cause.to_string())?;
        Ok(Engine::new(
            replica, name, service, zone, version, slots, pause,
        ))
    }

    fn new(
        replica: Replica,
        name: &str,
        service: &str,
        zone: &str,
        version: &str,
        slots: usize,
        pause: Duration,
    ) -> Self {
        let started_at = SystemTime::now().duration_since(UNIX_EPOCH);
        replica.set_started_at(started_at.map_or(1, |time| time.as_millis() as u64));
        replica.set_build(version);
        replica.set_pause(pause);
        Engine {
            name: name.into(),
            version: version.into(),
            replica: Some(Arc::new(replica)),
            past: Vec::new(),
            service: service.into(),
            zone: zone.into(),
            slots,
            pause,
            is_stopped: Arc::default(),
            is_draining: Arc::default(),
        }
    }

    /// Returns all requests that it got.
    fn received(&self) -> Vec<ReceivedRequest> {
        let live = self.replica.iter().flat_map(|replica| replica.received());
        self.past.iter().cloned().chain(live).collect()
    }

    /// Returns the stage that it runs.
    pub fn stage(&self) -> Option<&'static str> {
        self.replica.as_ref().and_then(|replica| replica.role().0)
    }

    /// Reports that it drains, from now on; it serves on.
    pub fn drain(&self, registry: &Registry) {
        self.is_draining.store(true, Ordering::Relaxed);
        if let Some(replica) = &self.replica {
            replica.set_leaving(true);
            write_entry(replica, registry, &self.name, self.slots, true);
        }
    }

    /// Removes its entry and writes it no more; it serves on.
    pub fn leave(&self, registry: &Registry) {
        self.is_stopped.store(true, Ordering::Relaxed);
        // A heartbeat that has just begun comes before.
        thread::sleep(Duration::from_millis(5));
        registry.remove("keyed.servers", &self.name);
    }

    /// Ends it with all its connections.
    pub fn exit(&self) {
        if let Some(replica) = &self.replica {
            replica.end();
            replica.cut_connections();
        }
    }

    /// Ends it, and starts it again after `down` under its id and at its address with another version; returns
    /// what is left of the first incarnation, and the second.
    pub fn start_again(
        mut self,
        version: &str,
        down: Duration,
    ) -> Result<(Engine, Engine), String> {
        let ended_at = Instant::now();
        self.is_stopped.store(true, Ordering::Relaxed);
        self.exit();
        let Some(mut replica) = self.replica.take() else {
            return Err("the engine has ended before".into());
        };
        let address = replica.address();
        self.past = replica.received();
        // The address is free once the thread that writes the entry has ended.
        loop {
            match Arc::try_unwrap(replica) {
                Ok(last) => {
                    drop(last);
                    break;
                }
                Err(shared) => replica = shared,
            }
            thread::sleep(Duration::from_millis(10));
        }
        thread::sleep((ended_at + down).saturating_duration_since(Instant::now()));
        let (id, service, zone) = (&self.name, &self.service, &self.zone);
        let next = Replica::start_at(address, id, service, zone, Some("decode"));
        let next = next.map_err(|cause| cause.to_string())?;
        let engine = Engine::new(next, id, service, zone, version, self.slots, self.pause);
        Ok((self, engine))
    }

    /// Begins to write its entry, and again at each heartbeat.
    pub fn register(&self, registry: &Registry) {
        let Some(replica) = self.replica.clone() else {
            return;
        };
        let (registry, name, slots) = (registry.clone(), self.name.clone(), self.slots);
        let (is_stopped, is_draining) =
            (Arc::clone(&self.is_stopped), Arc::clone(&self.is_draining));
        thread::spawn(move || {
            while !is_stopped.load(Ordering::Relaxed) {
                write_entry(
                    &replica,
                    &registry,
                    &name,
                    slots,
                    is_draining.load(Ordering::Relaxed),
                );
                thread::sleep(HEARTBEAT);
            }
        });
    }
}

/// Writes the entry of an engine.
fn write_entry(
    replica: &Replica,
    registry: &Registry,
    name: &str,
    slots: usize,
    is_draining: bool,
) {
    let state = if is_draining { "draining" } else { "ready" };
    let entry = replica.entry(state).to_string();
    let entry = entry.replace("\"slots\":8", &format!("\"slots\":{slots}"));
    registry.put("keyed.servers", name, entry.as_bytes());
}

/// Returns the software versions of the engines that ran each request, by its id.
pub fn runs(engines: &[Engine]) -> BTreeMap<String, Vec<(String, String)>> {
    let mut runs: BTreeMap<String, Vec<(String, String)>> = BTreeMap::new();
    for engine in engines {
        for seen in engine.received() {
            let id = seen.field("pistachiohall-request-id").to_owned();
            if seen.ran {
                let run = (engine.name.clone(), engine.version.clone());
                runs.entry(id).or_default().push(run);
            }
        }
    }
    runs
}

/// Returns how many requests have run at both engines.
pub fn shared_runs(one: &Engine, other: &Engine) -> usize {
    let ids = |engine: &Engine| -> BTreeSet<String> {
        let ran = engine.received().into_iter().filter(|seen| seen.ran);
        ran.map(|seen| seen.field("pistachiohall-request-id").to_owned())
            .collect()
    };
    ids(one).intersection(&ids(other)).count()
}

/// Returns the fields of a request for a stream with a short prompt of its own and `events` events.
pub fn prompt(number: usize, events: usize) -> Vec<(&'static str, String)> {
    vec![
        ("Pistachiohall-Model", "m".into()),
        ("Pistachiohall-Token-Count", format!("220,{events}")),
        (
            "Pistachiohall-Prompt-Prefix",
            format!("{:x}:79,{:x}:141", 0x1000 + number, 0x90_0000 + number),
        ),
        ("Pistachiohall-Deadline-Ms", "15000".into()),
    ]
}

/// Sends a request for a stream and reads its answer as far as it comes; a connection that isn't
/// established gives none. The body is the same for all attempts of one request, and no two requests are alike.
pub fn ask(host: SocketAddr, id: &str, fields: &[(&str, String)]) -> Answer {
    let exchange = || {
        let mut client = Client::connect(host)?;
        let fields: Vec<(&str, &str)> = fields
            .iter()
            .map(|(name, value)| (*name, value.as_str()))
            .collect();
        let number = id.split('-').nth(1).unwrap_or_default();
        let body = format!("draft {} {number}", id.starts_with("new"));
        client.send("POST", "/ask/a", id, &fields, body.as_bytes())?;
        client.receive()
    };
    exchange().unwrap_or_default()
}

/// Returns the identifiers of the events of an answer.
pub fn events(answer: &Answer) -> Vec<u64> {
    let lines = answer.body.lines();
    let ids = lines.filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).collect()
}

/// The way of some hosts to the platform's store: either to the store, or to one that answers each call 503.
pub struct Switch {
    address: SocketAddr,
    is_refusing: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Switch {
    pub fn start(store: SocketAddr, refusing: SocketAddr) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|cause| cause.to_string())?;
        let address = listener.local_addr().map_err(|cause| cause.to_string())?;
        let is_refusing = Arc::new(AtomicBool::new(false));
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (flag, streams) = (Arc::clone(&is_refusing), Arc::clone(&open));
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let server = match flag.load(Ordering::SeqCst) {
                    true => refusing,
                    false => store,
                };
                let Ok(server) = TcpStream::connect(server) else {
                    continue;
                };
                pass(&client, &server);
                pass(&server, &client);
                streams.lock().unwrap().push(client);
            }
        });
        Ok(Self {
            address,
            is_refusing,
            open,
        })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Kept connections end, so that the next calls arrive at the other side.
    pub fn refuse(&self, is_refusing: bool) {
        self.is_refusing.store(is_refusing, Ordering::SeqCst);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ended = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Passes bytes on until either side ends.
fn pass(from: &TcpStream, to: &TcpStream) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    thread::spawn(move || {
        let _passed = io::copy(&mut from, &mut to);
        let _ended = to.shutdown(Shutdown::Both);
        let _ended = from.shutdown(Shutdown::Both);
    });
}

/// The platform's balancer: asks hosts once a second whether they are ready, and takes a host out of
/// rotation after two misses.
pub struct Balancer {
    misses: Vec<usize>,
    asked_at: Option<Instant>,
}

impl Balancer {
    pub fn new(hosts: usize) -> Self {
        Balancer {
            misses: vec![0; hosts],
            asked_at: None,
        }
    }

    /// Asks the hosts if a second has passed.
    pub fn look(&mut self, hosts: &[Host]) {
        if self
            .asked_at
            .is_some_and(|at| at.elapsed() < Duration::from_secs(1))
        {
            return;
        }
        self.asked_at = Some(Instant::now());
        for (misses, host) in self.misses.iter_mut().zip(hosts) {
            *misses = if host.is_ready() { 0 } else { *misses + 1 };
        }
    }

    /// Returns the hosts to which connections of a zone's clients go: those of the zone in rotation, all of
    /// them if fewer than half are, and those of the other zones if none is.
    pub fn targets(&self, hosts: &[Host], zone: &str) -> Vec<usize> {
        let is_in = |index: &usize| self.misses[*index] < 2;
        let near: Vec<usize> = (0..hosts.len())
            .filter(|index| hosts[*index].zone == zone)
            .collect();
        let in_rotation: Vec<usize> = near.iter().copied().filter(is_in).collect();
        if in_rotation.is_empty() {
            let far = (0..hosts.len()).filter(|index| hosts[*index].zone != zone);
            return far.filter(is_in).collect();
        }
        if 2 * in_rotation.len() < near.len() {
            return near;
        }
        in_rotation
    }
}

/// A stream of a client: its first part, the host at which it was taken up if it broke off, and the answer.
pub struct Stream {
    pub number: usize,
    pub first: Answer,
    pub host: String,
    pub next: Option<Answer>,
}

/// Counts the streams whose clients hold events from engines of two versions; the rule allows `allowed`.
pub fn judge_versions(
    streams: &[Stream],
    engines: &[Engine],
    allowed: usize,
    record: &Record,
) -> Result<Verdict, String> {
    let runs = runs(engines);
    let none = Vec::new();
    let (mut begun, mut mixed, mut taken_up, mut gone_on) = (0, 0, 0, 0);
    for Stream {
        number,
        first,
        host,
        next,
    } in streams
    {
        let began = runs.get(&format!("begin-{number}")).unwrap_or(&none);
        let went_on = runs.get(&format!("next-{number}")).unwrap_or(&none);
        let first_events = events(first);
        let next_events = next.as_ref().map(events).unwrap_or_default();
        begun += usize::from(!first_events.is_empty());
        taken_up += usize::from(next.is_some());
        gone_on += usize::from(!next_events.is_empty());
        let mut versions: Vec<&str> = Vec::new();
        if !first_events.is_empty() {
            versions.extend(began.iter().map(|(_, version)| version.as_str()));
        }
        if !next_events.is_empty() {
            versions.extend(went_on.iter().map(|(_, version)| version.as_str()));
        }
        versions.sort_unstable();
        versions.dedup();
        let is_mixed = versions.len() > 1;
        mixed += usize::from(is_mixed);
        record.line(&format!(
            "stream {number}: status {} events {}..{} ran at {began:?}; at {host} status {:?} events {}..{} ran at {went_on:?}{}",
            first.status,
            first_events.first().unwrap_or(&0),
            first_events.last().unwrap_or(&0),
            next.as_ref().map(|next| next.status),
            next_events.first().unwrap_or(&0),
            next_events.last().unwrap_or(&0),
            if is_mixed { " TWO VERSIONS" } else { "" },
        ));
    }
    let summary = format!(
        "streams that began {begun}, taken up {taken_up}, gone on {gone_on}, with events of two versions {mixed} (allowed {allowed})"
    );
    record.line(&summary);
    println!("{summary}");
    if begun < streams.len() / 2 {
        return Err(format!("only {begun} streams began"));
    }
    Ok(match mixed > allowed {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Fewer streams that are taken up than this are not judged.
const MIN_TAKEN_UP: usize = 12;

/// A stream that was taken up: first part, host, answers to the attempts to take it up.
pub struct TakenUp {
    number: usize,
    first: Answer,
    host: String,
    next: Vec<Answer>,
}

/// Takes up a stream that broke off; a client that is refused comes back once, when it is told to, at the
/// latest after a third of the time that it has left.
pub fn take_up(
    number: usize,
    events_wanted: usize,
    first: Answer,
    host: String,
    address: SocketAddr,
) -> TakenUp {
    let mut next = Vec::new();
    let last = events(&first).last().copied();
    if let Some(last) = last.filter(|_| !first.is_complete) {
        for attempt in 0..2 {
            let mut fields = prompt(number, events_wanted);
            fields.retain(|(name, _)| *name != "Pistachiohall-Deadline-Ms");
            fields.push(("Pistachiohall-Deadline-Ms", "11000".into()));
            fields.push(("Last-Event-Id", last.to_string()));
            fields.push(("Resumes", format!("begin-{number}")));
            let answer = ask(address, &format!("next-{number}-{attempt}"), &fields);
            let status = answer.status;
            let pause = answer
                .fields
                .get("retry-after")
                .and_then(|value| value.parse::<f64>().ok());
            next.push(answer);
            if status != 503 {
                break;
            }
            thread::sleep(Duration::from_secs_f64(pause.unwrap_or(0.1).min(3.6)));
        }
    }
    TakenUp {
        number,
        first,
        host,
        next,
    }
}

/// Compares the share of streams that go on with the share of new streams that begin.
pub fn judge_shares(
    streams: &[TakenUp],
    new: &[Answer],
    engines: &[Engine],
    record: &Record,
) -> Result<Verdict, String> {
    let runs = runs(engines);
    let none = Vec::new();
    let (mut taken_up, mut gone_on, mut begun) = (0, 0, 0);
    for stream in streams {
        let began = runs
            .get(&format!("begin-{}", stream.number))
            .unwrap_or(&none);
        let first_events = events(&stream.first);
        begun += usize::from(!first_events.is_empty());
        let is_taken_up = !stream.next.is_empty();
        let has_gone_on = stream.next.iter().any(|next| !events(next).is_empty());
        taken_up += usize::from(is_taken_up);
        gone_on += usize::from(has_gone_on);
        let statuses: Vec<u16> = stream.next.iter().map(|next| next.status).collect();
        record.line(&format!(
            "stream {}: status {} events to {:?}, complete {}, ran at {began:?}; at {} statuses {statuses:?}, gone on {has_gone_on}",
            stream.number, stream.first.status, first_events.last(), stream.first.is_complete, stream.host,
        ));
    }
    let new_begun = new
        .iter()
        .filter(|answer| !events(answer).is_empty())
        .count();
    let summary = format!(
        "streams that began {begun}; taken up {taken_up}, gone on {gone_on}; new streams {}, begun {new_begun}",
        new.len()
    );
    record.line(&summary);
    println!("{summary}");
    if begun < streams.len() / 2 {
        return Err(format!("only {begun} streams began"));
    }
    if taken_up < MIN_TAKEN_UP {
        return Ok(Verdict::Held);
    }
    let share = gone_on as f64 / taken_up as f64;
    let new_share = new_begun as f64 / new.len() as f64;
    Ok(match share < new_share / 2.0 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}
