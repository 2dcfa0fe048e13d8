//! Which engine reads a prompt, which one generates, and when to refuse.
//!
//! Pure decisions: no network and no clock; times are passed in.

pub mod board;
pub mod cache;
pub mod cost;
pub mod pace;

use std::time::Duration;

use crate::gateway::call::Prompt;
use crate::id::BlockId;
use crate::id::DomainId;
use crate::id::UpstreamId;
use crate::upstream::Role;

pub use self::board::Board;

/// Engines in the order of a subject's preference that are considered; more of them would spread
/// a subject's cached parts over too many memories.
const CONSIDERED_READERS: usize = 4;
/// Weight of an engine's own time against the caller's wait: time spent on reading again is taken
/// from other callers.
const WORK_WEIGHT: f64 = 1.0;
/// Weight of the time to read a subject's shared parts at one more engine, for each place by which
/// that engine comes after the one that all hosts prefer.
const STRAY_WEIGHT: f64 = 0.5;
/// Share of the target within which the first event has to be expected for an immediate start;
/// the rest covers the network, the first token and errors of the estimate.
const TARGET_SHARE: f64 = 0.75;
/// Share of the time left that a request which will be late may wait before it is read. Its own
/// reading is not counted: a later try would take as long.
const LATE_SHARE: f64 = 0.35;
/// Share of the time left for which one try without a first event is waited for; the rest is for
/// another try.
const PATIENCE_SHARE: f64 = 0.4;
/// The same for a reading behind those that are on time: it ends when a peak does, and another
/// engine would have it wait as long.
const LATE_PATIENCE_SHARE: f64 = 0.75;
/// Time that moving a prompt's memory to another engine takes, for the estimate.
const MOVE_TIME: Duration = Duration::from_millis(4);
/// Prompt tokens up to which a prompt is read where its tokens are generated.
const SHORT_PROMPT: u64 = 1024;
/// Share of an engine's slots that running requests may fill before it counts as full.
const FULL_SHARE: f64 = 0.9;
/// Urgency of requests that are expected within their target, at an engine that reads.
const URGENCY_ON_TIME: u8 = 3;
/// Urgency of generation and of short prompts, which hold a caller for the least work.
const URGENCY_SHORT: u8 = 1;
/// Urgency of requests that will be late whatever is done.
pub const URGENCY_LATE: u8 = 7;

/// An engine as a decision sees it.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Name.
    pub id: UpstreamId,
    /// Role in force.
    pub role: Role,
    /// Failure domain.
    pub domain: DomainId,
    /// Whether it answered of late.
    pub is_healthy: bool,
    /// Requests that it runs at once.
    pub slots: usize,
    /// Requests that it is known to work on, those of other hosts included.
    pub running: usize,
    /// Reading that it is known to have before it, for requests expected on time.
    pub backlog: Duration,
    /// The same for requests that will be late; it yields to the others.
    pub late_backlog: Duration,
    /// Tokens at the start of the prompt that it is believed to keep.
    pub cached_tokens: u64,
    /// How long it takes relative to the cost model.
    pub slowdown: f64,
}

/// What is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Prompt and sizes.
    pub prompt: &'a Prompt,
    /// Time to the first event that the caller aims for, what is left of it.
    pub target_left: Duration,
    /// Time until the caller or the route gives up.
    pub left: Duration,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Plan {
    /// One engine does everything.
    Single {
        /// Engine.
        engine: UpstreamId,
        /// Urgency there.
        urgency: u8,
    },
    /// One engine reads the prompt, another generates.
    Split {
        /// Engine that reads.
        prefill_engine: UpstreamId,
        /// Engine that generates.
        decode_engine: UpstreamId,
        /// Engine that generates if the other refuses to.
        fallback: Option<UpstreamId>,
        /// Urgency at both.
        urgency: u8,
    },
    /// No engine can take it in time.
    Refuse {
        /// When there should be room.
        retry_after: Duration,
        /// What binds.
        reason: &'static str,
    },
}

/// A way to serve a request, weighed.
#[derive(Debug, Clone, Copy)]
struct Way<'a> {
    prefill_engine: &'a Engine,
    decode_engine: &'a Engine,
    fallback: Option<&'a Engine>,
    /// Time until the prompt is read.
    queue: Duration,
    /// Time to the first event.
    wait: Duration,
    /// Wait and engine time together.
    cost: f64,
}

/// Whether a request is read before those that will be late, or with them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lane {
    OnTime,
    Late,
}

/// Time after which a caller may do better when all slots are taken.
const RETRY_FULL: Duration = Duration::from_millis(300);
/// Shortest time after which a refused caller is asked back; below it the backlog is the same.
const RETRY_LEAST: Duration = Duration::from_millis(100);

/// Chooses where a request goes.
///
/// Requests to models of one subject prefer the same few engines on all hosts, so that shared
/// parts are read once. Among these the one with the least wait and work is taken. A request that
/// cannot be on time is read behind those that can, as long as that is soon enough to be of use.
pub fn plan(job: &Request<'_>, engines: &[Engine]) -> Plan {
    let on_time = job.target_left.mul_f64(TARGET_SHARE);
    let urgency = match is_light(job.prompt) {
        true => URGENCY_SHORT,
        false => URGENCY_ON_TIME,
    };
    let Some(best) = best_way(job, engines, Lane::OnTime) else {
        let reason = "no engine has a free slot";
        return Plan::Refuse {
            retry_after: RETRY_FULL,
            reason,
        };
    };
    if best.wait <= on_time {
        return best.plan(urgency);
    }
    match best_way(job, engines, Lane::Late) {
        Some(late) if late.is_of_use(job.left) => late.plan(URGENCY_LATE),
        _ => Plan::Refuse {
            retry_after: best.wait.saturating_sub(on_time).max(RETRY_LEAST),
            reason: "reading is backed up",
        },
    }
}

impl Way<'_> {
    /// Returns whether a late answer is there while its caller still waits for it.
    fn is_of_use(&self, left: Duration) -> bool {
        self.queue <= left.mul_f64(LATE_SHARE) && self.wait <= left.mul_f64(LATE_PATIENCE_SHARE)
    }

    fn plan(&self, urgency: u8) -> Plan {
        let prefill_engine = self.prefill_engine.id.clone();
        let decode_engine = self.decode_engine.id.clone();
        match prefill_engine == decode_engine {
            true => Plan::Single {
                engine: decode_engine,
                urgency,
            },
            false => Plan::Split {
                prefill_engine,
                decode_engine,
                fallback: self.fallback.map(|engine| engine.id.clone()),
                urgency,
            },
        }
    }
}

/// Returns how long one try is waited for that starts with `left` of the caller's time.
///
/// ```
/// use std::time::Duration;
/// use pistachiohall::placement;
/// let left = Duration::from_secs(2);
/// let on_time = placement::attempt_timeout(3, left);
/// assert!(on_time < placement::attempt_timeout(placement::URGENCY_LATE, left));
/// ```
pub fn attempt_timeout(urgency: u8, left: Duration) -> Duration {
    left.mul_f64(match urgency >= URGENCY_LATE {
        true => LATE_PATIENCE_SHARE,
        false => PATIENCE_SHARE,
    })
}

fn is_light(prompt: &Prompt) -> bool {
    prompt.tokens <= SHORT_PROMPT
}

fn best_way<'a>(job: &Request<'_>, engines: &'a [Engine], lane: Lane) -> Option<Way<'a>> {
    let has_room = |engine: &&Engine| (engine.running as f64) < engine.slots as f64 * FULL_SHARE;
    let free: Vec<&Engine> = engines.iter().filter(has_room).collect();
    let trusted: Vec<&Engine> = free
        .iter()
        .copied()
        .filter(|engine| engine.is_healthy)
        .collect();
    let usable = match trusted.iter().any(|engine| engine.role != Role::Prefill) {
        true => trusted,
        false => free,
    };
    let generators: Vec<&Engine> = usable
        .iter()
        .copied()
        .filter(|engine| engine.role != Role::Prefill)
        .collect();
    if is_light(job.prompt) {
        return generators
            .iter()
            .map(|engine| whole(job, engine, lane))
            .min_by(by_cost);
    }
    let has_readers = usable.iter().any(|engine| engine.role == Role::Prefill);
    let mut ranked = usable;
    if has_readers {
        ranked.retain(|engine| engine.role == Role::Prefill);
    }
    let subject = job.prompt.affinity_key().unwrap_or_default();
    ranked.sort_by_key(|engine| std::cmp::Reverse(preference(subject, &engine.id)));
    ranked
        .iter()
        .take(CONSIDERED_READERS)
        .enumerate()
        .filter_map(|(place, prefill_engine)| {
            let mut way = match prefill_engine.role {
                Role::Prefill => split(job, prefill_engine, &generators, lane)?,
                Role::Decode | Role::Mixed => whole(job, prefill_engine, lane),
            };
            way.cost += STRAY_WEIGHT * place as f64 * shared_reading(job.prompt, prefill_engine);
            Some(way)
        })
        .min_by(by_cost)
}

/// Returns the seconds that an engine reads shared parts which it is not believed to keep.
fn shared_reading(prompt: &Prompt, engine: &Engine) -> f64 {
    let reading = |cached| cost::prefill_time(prompt, cached, engine.role).mul_f64(engine.slowdown);
    let kept = engine.cached_tokens.max(prompt.shared_tokens());
    reading(engine.cached_tokens)
        .saturating_sub(reading(kept))
        .as_secs_f64()
}

fn by_cost(one: &Way<'_>, other: &Way<'_>) -> std::cmp::Ordering {
    one.cost.total_cmp(&other.cost)
}

/// Returns the reading that an engine does before a request of a lane.
fn queue(engine: &Engine, lane: Lane) -> Duration {
    match lane {
        Lane::OnTime => engine.backlog,
        Lane::Late => engine.backlog + engine.late_backlog,
    }
}

fn whole<'a>(job: &Request<'_>, engine: &'a Engine, lane: Lane) -> Way<'a> {
    let reading =
        cost::prefill_time(job.prompt, engine.cached_tokens, engine.role).mul_f64(engine.slowdown);
    let queue = queue(engine, lane);
    let wait = queue + reading;
    let crowding = cost::contention(engine.running) * engine.slowdown;
    Way {
        prefill_engine: engine,
        decode_engine: engine,
        fallback: None,
        queue,
        wait,
        cost: wait.as_secs_f64() + WORK_WEIGHT * reading.as_secs_f64() + crowding,
    }
}

fn split<'a>(
    job: &Request<'_>,
    prefill_engine: &'a Engine,
    generators: &[&'a Engine],
    lane: Lane,
) -> Option<Way<'a>> {
    let reading = cost::prefill_time(
        job.prompt,
        prefill_engine.cached_tokens,
        prefill_engine.role,
    )
    .mul_f64(prefill_engine.slowdown);
    let load = |engine: &Engine| {
        let distance = cost::cross_domain_penalty(engine.domain != prefill_engine.domain);
        engine.backlog.as_secs_f64() / 2.0
            + cost::contention(engine.running) * engine.slowdown
            + distance
    };
    let by_load = |one: &&Engine, other: &&Engine| load(one).total_cmp(&load(other));
    let decode_engine = generators.iter().copied().min_by(by_load)?;
    let others = generators.iter().copied();
    let fallback = others
        .filter(|engine| engine.id != decode_engine.id)
        .min_by(by_load);
    let queue = queue(prefill_engine, lane);
    let wait = queue + reading + MOVE_TIME;
    Some(Way {
        prefill_engine,
        decode_engine,
        fallback,
        queue,
        wait,
        cost: wait.as_secs_f64() + WORK_WEIGHT * reading.as_secs_f64(),
    })
}

/// Returns how much a subject prefers an engine; the same on all hosts.
pub fn preference(subject: BlockId, engine: &str) -> u64 {
    use std::hash::Hash;
    use std::hash::Hasher;

    let mut hasher = std::hash::DefaultHasher::new();
    subject.hash(&mut hasher);
    engine.hash(&mut hasher);
    hasher.finish()
}
