//! A stand-in for an upstream that ends under a marked request, and comes back as a new life.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use super::replica::ReceivedRequest;
use super::replica::Replica;
use super::store::Registry;
use super::wire;

/// End of the path of requests that end their upstreams.
pub const DEADLY: &str = "/deadly";
/// Prompt block that ends the upstreams that generate on it, unless it is the last of its prompt.
pub const DEADLY_BLOCK: &str = "dead";
/// Pause between two writings of an entry.
const BEAT: Duration = Duration::from_millis(300);
/// Writings that an entry is kept without.
const LAPSE_BEATS: u32 = 3;
/// Pause between two looks at whether the upstream has ended.
const LOOK_PAUSE: Duration = Duration::from_millis(5);

/// How an upstream ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashMode {
    /// Its connections are reset and new ones refused.
    Reset,
    /// It falls silent and its connections stay open.
    Dark,
}

/// How an upstream ends and comes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashBehavior {
    /// How it ends.
    pub death: CrashMode,
    /// Time from its end to its next life.
    pub back_after: Duration,
    /// Whether its next life has the same name.
    pub keeps_name: bool,
    /// Whether it ends only once it generates, not while it reads for another.
    pub spares_prefill_engines: bool,
}

/// What an upstream is from life to life.
#[derive(Debug, Clone, Copy)]
pub struct Role {
    /// Name of its first life.
    pub name: &'static str,
    /// Service.
    pub service: &'static str,
    /// Stage of an engine.
    pub stage: Option<&'static str>,
}

#[derive(Debug)]
struct Shared {
    role: Role,
    nature: CrashBehavior,
    address: SocketAddr,
    registry: Registry,
    is_stopped: AtomicBool,
    life: Mutex<Option<Replica>>,
    before: Mutex<Vec<ReceivedRequest>>,
    ends: Mutex<Vec<Instant>>,
}

/// The stand-in.
#[derive(Debug)]
pub struct CrashingUpstream {
    shared: Arc<Shared>,
    living: Option<JoinHandle<()>>,
}

impl CrashingUpstream {
    /// Starts the first life and writes its entry.
    ///
    /// # Errors
    ///
    /// Fails if no port can be listened on.
    pub fn start(registry: Registry, role: Role, nature: CrashBehavior) -> io::Result<Self> {
        let any = wire::unique_address();
        let first = Replica::start_at(any, role.name, role.service, "derby", role.stage)?;
        first.set_death(nature);
        let shared = Arc::new(Shared {
            role,
            nature,
            address: first.address(),
            registry,
            is_stopped: AtomicBool::default(),
            life: Mutex::new(Some(first)),
            before: Mutex::default(),
            ends: Mutex::default(),
        });
        shared.beat(role.name);
        let own = Arc::clone(&shared);
        let living = thread::spawn(move || own.live());
        Ok(CrashingUpstream {
            shared,
            living: Some(living),
        })
    }

    /// Returns whether it reads prompts for others.
    pub fn is_prefill_engine(&self) -> bool {
        self.shared.role.stage == Some("prefill")
    }

    /// Returns when each of its lives ended.
    pub fn ends(&self) -> Vec<Instant> {
        self.shared.ends.lock().expect("ends lock").clone()
    }

    /// Returns all requests that all its lives got.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        let mut seen = self.shared.before.lock().expect("seen lock").clone();
        if let Some(life) = &*self.shared.life.lock().expect("life lock") {
            seen.extend(life.received());
        }
        seen
    }

    /// Does something with the present life, if there is one.
    pub fn with<F>(&self, act: F)
    where
        F: FnOnce(&Replica),
    {
        if let Some(life) = &*self.shared.life.lock().expect("life lock") {
            act(life);
        }
    }
}

impl Drop for CrashingUpstream {
    fn drop(&mut self) {
        self.shared.is_stopped.store(true, Ordering::SeqCst);
        if let Some(living) = self.living.take() {
            // A thread that panicked has shown why.
            let _joined = living.join();
        }
    }
}

impl Shared {
    fn beat(&self, name: &str) {
        if let Some(life) = &*self.life.lock().expect("life lock") {
            let entry = life.entry("ready").to_string();
            self.registry.put("keyed.servers", name, entry.as_bytes());
        }
    }

    fn is_ended(&self) -> bool {
        let life = self.life.lock().expect("life lock");
        life.as_ref().is_some_and(Replica::is_ended)
    }

    /// Takes the present life out of use; returns it.
    fn end(&self) -> Option<Replica> {
        let life = self.life.lock().expect("life lock").take();
        let mut before = self.before.lock().expect("seen lock");
        before.extend(life.iter().flat_map(Replica::received));
        self.ends.lock().expect("ends lock").push(Instant::now());
        life
    }

    fn live(&self) {
        let mut name = self.role.name.to_owned();
        let mut born = 1;
        let mut beaten = Instant::now();
        while !self.is_stopped.load(Ordering::SeqCst) {
            thread::sleep(LOOK_PAUSE);
            if beaten.elapsed() >= BEAT && !self.is_ended() {
                self.beat(&name);
                beaten = Instant::now();
            }
            if !self.is_ended() {
                continue;
            }
            let ended = self.end();
            // A dark upstream keeps its connections until its next life begins.
            let kept = ended.filter(|_| self.nature.death == CrashMode::Dark);
            let dead = Instant::now();
            let mut has_entry = true;
            while dead.elapsed() < self.nature.back_after {
                if self.is_stopped.load(Ordering::SeqCst) {
                    return;
                }
                if has_entry && dead.elapsed() >= BEAT * LAPSE_BEATS {
                    self.registry.remove("keyed.servers", &name);
                    has_entry = false;
                }
                thread::sleep(LOOK_PAUSE);
            }
            drop(kept);
            born += 1;
            if !self.nature.keeps_name {
                self.registry.remove("keyed.servers", &name);
                name = format!("{}-{born}", self.role.name);
            }
            self.start_life(&name, born);
            beaten = Instant::now();
        }
    }

    fn start_life(&self, name: &str, born: u64) {
        let role = self.role;
        let begun = Instant::now();
        let life = loop {
            match Replica::start_at(self.address, name, role.service, "derby", role.stage) {
                Ok(life) => break life,
                Err(cause) => {
                    let is_late = begun.elapsed() > Duration::from_secs(10);
                    assert!(!is_late, "no next life at {}: {cause}", self.address);
                    thread::sleep(LOOK_PAUSE);
                }
            }
        };
        life.set_death(self.nature);
        life.set_started_at(born);
        *self.life.lock().expect("life lock") = Some(life);
        self.beat(name);
    }
}
