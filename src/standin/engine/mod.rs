//! Stand-in for a model engine: batches, queues by priority, caches prefixes, obeys orders.

mod book;
mod cache;
mod orders;
mod serve;
mod turnstile;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use uuid::Uuid;

use crate::duty::StopFlag;
use crate::upstream::Load;
use crate::upstream::Role;

pub use self::book::RequestLog;
use self::cache::Cache;
use self::orders::OrderQueue;
use self::turnstile::PrioritySemaphore;

use super::server;

/// How fast the engine is.
#[derive(Debug, Clone)]
pub struct Speed {
    /// Prompt tokens read in one second.
    pub prompt_tokens_per_s: f64,
    /// Time between tokens of a request that runs alone.
    pub step: Duration,
    /// Share of the step added by each further request.
    pub step_growth: f64,
    /// Requests that generate at once.
    pub batch: usize,
    /// Time that a role change takes.
    pub change: Duration,
    /// Time that a restart takes.
    pub restart: Duration,
}

impl Speed {
    /// Returns the tokens generated in one second by a full batch.
    pub fn answer_rate(&self) -> f64 {
        let others = (self.batch.max(1) - 1) as f64;
        let step = self.step.as_secs_f64() * (1.0 + others * self.step_growth);
        self.batch as f64 / step
    }
}

impl Default for Speed {
    fn default() -> Self {
        Speed {
            prompt_tokens_per_s: 20_000.0,
            step: Duration::from_millis(4),
            step_growth: 0.02,
            batch: 64,
            change: Duration::from_millis(1500),
            restart: Duration::from_millis(1500),
        }
    }
}

/// What goes wrong with the engine.
#[derive(Debug, Default)]
pub struct Faults {
    /// Refuses all new work as a leaving engine does.
    pub leaving: AtomicBool,
    /// Open streams get no further byte; new ones work.
    pub silent_before: AtomicU64,
    /// Leaves a token out of the next stream.
    pub skips_token: AtomicBool,
    /// Sends another request's token on the next stream.
    pub crosses: AtomicBool,
    /// Carries out an order, but breaks the connection instead of answering.
    pub loses_order_answers: AtomicBool,
}

#[derive(Debug)]
struct Shared {
    speed: Speed,
    checks_tokens: bool,
    boot_id: Mutex<Uuid>,
    down_until: Mutex<Option<Instant>>,
    role: Mutex<Role>,
    in_flight: AtomicUsize,
    generation: AtomicU64,
    stream_number: AtomicU64,
    streams: Mutex<HashMap<String, u64>>,
    prompt_tokens: AtomicU64,
    generated_tokens: AtomicU64,
    prompt_backlog: AtomicU64,
    readers: PrioritySemaphore,
    writers: PrioritySemaphore,
    cache: Mutex<Cache>,
    desk: Mutex<OrderQueue>,
    book: Mutex<RequestLog>,
    faults: Faults,
}

impl Shared {
    fn is_down(&self) -> bool {
        let until = *self.down_until.lock().expect("engine lock");
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Loses all state, as a crash does.
    fn crash(&self) {
        *self.down_until.lock().expect("engine lock") = Some(Instant::now() + self.speed.restart);
        *self.boot_id.lock().expect("engine lock") = Uuid::now_v7();
        self.generation.fetch_add(1, Ordering::SeqCst);
        self.cache.lock().expect("cache lock").clear();
        self.desk.lock().expect("desk lock").crash();
        self.book.lock().expect("book lock").crashes += 1;
    }

    fn role(&self) -> Role {
        *self.role.lock().expect("engine lock")
    }

    fn load(&self) -> Load {
        let desk = self.desk.lock().expect("desk lock");
        Load {
            boot_id: *self.boot_id.lock().expect("engine lock"),
            role: self.role(),
            in_flight: self.in_flight.load(Ordering::SeqCst),
            prompt_backlog: self.prompt_backlog.load(Ordering::SeqCst),
            prompt_tokens: self.prompt_tokens.load(Ordering::SeqCst),
            generated_tokens: self.generated_tokens.load(Ordering::SeqCst),
            prompt_rate: self.speed.prompt_tokens_per_s,
            answer_rate: self.speed.answer_rate(),
            leaving: self.faults.leaving.load(Ordering::SeqCst),
            version: desk.version().into(),
            busy_with: desk.busy_with(),
            last_order: desk.last_order(),
        }
    }
}

/// A model engine.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    address: SocketAddr,
    stop: StopFlag,
}

impl Engine {
    /// Starts an engine in `role`; `checks_tokens` says whether it refuses old fencing tokens.
    ///
    /// ```
    /// use pistachiohall::standin::Engine;
    /// use pistachiohall::upstream::Role;
    /// let address = "127.0.0.1:0".parse().unwrap();
    /// let engine = Engine::start(address, Default::default(), Role::Mixed, true).unwrap();
    /// assert_eq!(engine.load().in_flight, 0);
    /// ```
    pub fn start(
        address: SocketAddr,
        speed: Speed,
        role: Role,
        checks_tokens: bool,
    ) -> io::Result<Self> {
        let stop = StopFlag::default();
        let shared = Arc::new(Shared {
            readers: PrioritySemaphore::new(1),
            writers: PrioritySemaphore::new(speed.batch),
            speed,
            checks_tokens,
            boot_id: Mutex::new(Uuid::now_v7()),
            down_until: Mutex::default(),
            role: Mutex::new(role),
            in_flight: AtomicUsize::new(0),
            generation: AtomicU64::new(0),
            stream_number: AtomicU64::new(0),
            streams: Mutex::default(),
            prompt_tokens: AtomicU64::new(0),
            generated_tokens: AtomicU64::new(0),
            prompt_backlog: AtomicU64::new(0),
            cache: Mutex::default(),
            desk: Mutex::default(),
            book: Mutex::default(),
            faults: Faults::default(),
        });
        let own = Arc::clone(&shared);
        let bound = server::serve("engine", address, &stop, move |request| {
            serve::answer(&own, request);
        })?;
        Ok(Engine {
            shared,
            address: bound,
            stop,
        })
    }

    /// Returns where it serves.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what it reports of itself.
    pub fn load(&self) -> Load {
        self.shared.load()
    }

    /// Returns a copy of its book.
    pub fn book(&self) -> RequestLog {
        self.shared.book.lock().expect("book lock").clone()
    }

    /// Loses all state and is away for the restart time.
    pub fn crash(&self) {
        self.shared.crash();
    }

    /// Lets all open connections go silent for good.
    pub fn silence_open_streams(&self) {
        let next = self.shared.stream_number.load(Ordering::SeqCst);
        self.shared
            .faults
            .silent_before
            .store(next, Ordering::SeqCst);
    }

    /// Returns the faults, to be put in force.
    pub fn faults(&self) -> &Faults {
        &self.shared.faults
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.stop.ask();
        self.shared.generation.fetch_add(1, Ordering::SeqCst);
    }
}

/// Returns the text that every engine generates for a prompt, token by token.
///
/// ```
/// use pistachiohall::standin::engine;
/// assert_eq!(engine::expected("a", 3), engine::expected("a", 3));
/// assert_ne!(engine::expected("a", 3), engine::expected("b", 3));
/// ```
pub fn expected(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|index| token(prompt, index)).collect()
}

/// Returns one token of the text that every engine generates for a prompt.
pub fn token(prompt: &str, index: u64) -> String {
    use std::hash::Hasher;

    let mut hash = std::hash::DefaultHasher::new();
    hash.write(prompt.as_bytes());
    hash.write_u64(index);
    format!("{:04x} ", hash.finish() & 0xffff)
}
