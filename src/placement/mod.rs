//! Choice of the engines that prefill and decode a request, and its refusal under overload.
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

/// Maximum number of prefill engines considered, by preference of the affinity key; with more of
/// them, copies of the same blocks would take up the KV caches of too many engines.
const MAX_PREFILL_CANDIDATES: usize = 4;
/// Weight of an engine's prefill time relative to the caller's wait: time spent on prefilling the
/// same blocks again is taken from other callers.
const PREFILL_WEIGHT: f64 = 1.0;
/// Weight of the time to prefill the shared blocks at one more engine, for each rank by which that
/// engine comes after the one that all hosts prefer.
const NON_PREFERRED_WEIGHT: f64 = 0.5;
/// Share of the time left to the target within which the first event has to be expected for a
/// request to count as on time; the rest covers the network, the first token and errors of the
/// estimate.
const TARGET_SHARE: f64 = 0.75;
/// Share of that time for a request of an account above its share; in the rest, the queues grow only by
/// requests of other accounts.
const ABOVE_SHARE_ROOM: f64 = 0.5;
/// Maximum share of the time left that a late request may wait for its prefill to start. Its own
/// prefill is not counted: a later attempt would take as long.
const MAX_LATE_QUEUE_SHARE: f64 = 0.35;
/// Share of the time left within which one attempt must yield its first event; the rest is for
/// another attempt.
const ATTEMPT_TIMEOUT_SHARE: f64 = 0.4;
/// Share of the time left within which an attempt of a late request must yield its first event. It
/// queues behind requests that are on time until a peak of load ends; at another engine it would
/// wait as long.
const LATE_ATTEMPT_TIMEOUT_SHARE: f64 = 0.75;
/// Share of the target for pauses within which the expected pause has to be; the rest covers steps
/// that stall or that wait for the prefill of others.
const TARGET_GAP_SHARE: f64 = 1.0 / 3.0;
/// Estimated time to move a prompt's KV cache to another engine.
const KV_TRANSFER_DURATION: Duration = Duration::from_millis(4);
/// Maximum prompt tokens of a short prompt, which is prefilled at the engine that decodes.
const MAX_SHORT_PROMPT_TOKENS: u64 = 1024;
/// Share of an engine's slots from which it counts as full.
const FULL_SLOT_SHARE: f64 = 0.9;
/// Urgency of requests that are expected within their target.
const URGENCY_ON_TIME: u8 = 3;
/// Urgency of short prompts, which take the least work.
const URGENCY_SHORT: u8 = 1;
/// Urgency of requests that will be late at any engine.
pub const URGENCY_LATE: u8 = 7;

/// State of an engine that a decision depends on.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Name.
    pub id: UpstreamId,
    /// Active role.
    pub role: Role,
    /// Failure domain.
    pub domain: DomainId,
    /// Whether it has answered recently.
    pub is_healthy: bool,
    /// Maximum number of concurrent requests.
    pub slots: usize,
    /// Known number of requests in flight, those of other hosts included.
    pub running: usize,
    /// Known prefill time of queued requests that are expected on time.
    pub backlog: Duration,
    /// Known prefill time of queued requests that will be late; the others go before them.
    pub late_backlog: Duration,
    /// Estimated number of tokens at the start of the prompt that it has cached.
    pub cached_tokens: u64,
    /// Factor by which it takes longer than the cost model says.
    pub slowdown: f64,
    /// Expected pause between events of a stream that it decodes; `None` if unknown.
    pub gap: Option<Duration>,
}

/// A request to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Prompt with its sizes.
    pub prompt: &'a Prompt,
    /// Time left until the first event is due by the target.
    pub target_left: Duration,
    /// Time until the caller or the route gives up.
    pub left: Duration,
    /// Whether its client account has had more than its share of the service, so that it yields to
    /// other requests while room is short.
    pub is_above_share: bool,
    /// Whether it resumes a stream, which takes the place that the stream had: while its host or engine has
    /// just failed, that place still counts as taken.
    pub is_resumed: bool,
    /// Cost of moving the prompt's KV cache to another failure domain.
    pub kv_crossing: Duration,
    /// Target for the maximum pause between events.
    pub target_gap: Option<Duration>,
}

/// Placement of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Plan {
    /// One engine prefills and decodes.
    Single {
        /// Engine.
        engine: UpstreamId,
        /// Urgency there.
        urgency: u8,
    },
    /// One engine prefills, another decodes.
    Split {
        /// Engine that prefills.
        prefill_engine: UpstreamId,
        /// Engine that decodes.
        decode_engine: UpstreamId,
        /// Engine that decodes if the other one refuses.
        fallback: Option<UpstreamId>,
        /// Urgency at both.
        urgency: u8,
    },
    /// No engine can take the request in time.
    Refuse {
        /// Time until an engine is expected to have capacity.
        retry_after: Duration,
        /// Resource that is exhausted.
        reason: &'static str,
    },
}

/// Number of ranks that are told apart within a class of urgency; further ones share the last.
const RANKS: u8 = 3;

impl Plan {
    /// Returns the plan with an urgency that also tells the ranks of requests apart, within the same
    /// class: short prompts, requests that are on time, late ones. `rank` 0 is the most urgent.
    ///
    /// ```
    /// use pistachiohall::placement::Plan;
    /// let plan = Plan::Single { engine: "e1".into(), urgency: 3 };
    /// let urgency = |rank| match plan.clone().ranked(rank) {
    ///     Plan::Single { urgency, .. } => urgency,
    ///     _ => unreachable!(),
    /// };
    /// assert!(urgency(0) < urgency(1));
    /// assert!(urgency(9) < pistachiohall::placement::URGENCY_LATE);
    /// ```
    pub fn ranked(self, rank: u8) -> Self {
        let rank = rank.min(RANKS - 1);
        let refine = |urgency: u8| match urgency {
            ..URGENCY_ON_TIME => rank,
            URGENCY_ON_TIME..URGENCY_LATE => URGENCY_ON_TIME + rank,
            URGENCY_LATE.. => URGENCY_LATE + rank,
        };
        match self {
            Plan::Single { engine, urgency } => Plan::Single {
                engine,
                urgency: refine(urgency),
            },
            Plan::Split {
                prefill_engine,
                decode_engine,
                fallback,
                urgency,
            } => Plan::Split {
                prefill_engine,
                decode_engine,
                fallback,
                urgency: refine(urgency),
            },
            Plan::Refuse { .. } => self,
        }
    }
}

/// Engines that could serve a request, with the cost of choosing them.
#[derive(Debug, Clone, Copy)]
struct Candidate<'a> {
    prefill_engine: &'a Engine,
    decode_engine: &'a Engine,
    fallback: Option<&'a Engine>,
    /// Time until the prefill starts.
    queue_delay: Duration,
    /// Time to the first event.
    first_event_delay: Duration,
    /// Weighted sum of delay, prefill time and penalties, in seconds.
    cost: f64,
}

/// Queue class: late requests are prefilled after those that are on time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum QueueClass {
    OnTime,
    Late,
}

/// Retry delay sent to a caller when all slots are taken.
const RETRY_AFTER_FULL: Duration = Duration::from_millis(300);
/// Minimum retry delay sent to a refused caller; within less time the backlog hardly changes.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Chooses the engines for a request, or refuses it.
///
/// Requests with the same affinity key prefer the same few engines on all hosts, so that shared
/// blocks are prefilled once. Among these the one with the least cost is chosen. A request that
/// cannot be on time is queued behind those that can, if it is still expected to be answered before
/// its caller gives up.
pub fn plan(request: &Request<'_>, engines: &[Engine]) -> Plan {
    let room = match request.is_above_share {
        true => ABOVE_SHARE_ROOM,
        false => 1.0,
    };
    let on_time = request.target_left.mul_f64(TARGET_SHARE * room);
    let urgency = match is_short(request.prompt) {
        true => URGENCY_SHORT,
        false => URGENCY_ON_TIME,
    };
    let Some(best) = best_candidate(request, engines, QueueClass::OnTime) else {
        let reason = "no engine has a free slot";
        return Plan::Refuse {
            retry_after: RETRY_AFTER_FULL,
            reason,
        };
    };
    if best.first_event_delay <= on_time {
        return best.plan(urgency);
    }
    match best_candidate(request, engines, QueueClass::Late) {
        Some(late) if late.is_in_time(request.left) => late.plan(URGENCY_LATE),
        _ => Plan::Refuse {
            retry_after: best
                .first_event_delay
                .saturating_sub(on_time)
                .max(MIN_RETRY_AFTER),
            reason: "reading is backed up",
        },
    }
}

impl Candidate<'_> {
    /// Returns `true` if a late request is answered before its caller gives up.
    fn is_in_time(&self, left: Duration) -> bool {
        self.queue_delay <= left.mul_f64(MAX_LATE_QUEUE_SHARE)
            && self.first_event_delay <= left.mul_f64(LATE_ATTEMPT_TIMEOUT_SHARE)
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

/// Returns the timeout for the first event of an attempt that starts with `left` of the caller's
/// time.
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
        true => LATE_ATTEMPT_TIMEOUT_SHARE,
        false => ATTEMPT_TIMEOUT_SHARE,
    })
}

fn is_short(prompt: &Prompt) -> bool {
    prompt.tokens <= MAX_SHORT_PROMPT_TOKENS
}

fn best_candidate<'a>(
    request: &Request<'_>,
    engines: &'a [Engine],
    class: QueueClass,
) -> Option<Candidate<'a>> {
    let has_free_slot =
        |engine: &&Engine| (engine.running as f64) < engine.slots as f64 * FULL_SLOT_SHARE;
    let can_generate = |engine: &Engine| engine.role != Role::Prefill;
    let mut free: Vec<&Engine> = engines.iter().filter(has_free_slot).collect();
    if request.is_resumed && !free.iter().any(|engine| can_generate(engine)) {
        free = engines.iter().collect();
    }
    let healthy: Vec<&Engine> = free
        .iter()
        .copied()
        .filter(|engine| engine.is_healthy)
        .collect();
    let usable = match healthy.iter().any(|engine| can_generate(engine)) {
        true => healthy,
        false => free,
    };
    let decode_engines: Vec<&Engine> = usable
        .iter()
        .copied()
        .filter(|engine| can_generate(engine))
        .collect();
    if is_short(request.prompt) {
        return decode_engines
            .iter()
            .map(|engine| single(request, engine, class))
            .min_by(compare_cost);
    }
    let has_prefill_engines = usable.iter().any(|engine| engine.role == Role::Prefill);
    let mut ranked = usable;
    if has_prefill_engines {
        ranked.retain(|engine| engine.role == Role::Prefill);
    }
    let affinity_key = request.prompt.affinity_key().unwrap_or_default();
    ranked.sort_by_key(|engine| std::cmp::Reverse(preference(affinity_key, &engine.id)));
    ranked
        .iter()
        .take(MAX_PREFILL_CANDIDATES)
        .enumerate()
        .filter_map(|(rank, engine)| {
            let mut candidate = match engine.role {
                Role::Prefill => split(request, engine, &decode_engines, class)?,
                Role::Decode | Role::Mixed => single(request, engine, class),
            };
            candidate.cost +=
                NON_PREFERRED_WEIGHT * rank as f64 * shared_prefill_s(request.prompt, engine);
            Some(candidate)
        })
        .min_by(compare_cost)
}

/// Returns the time to prefill the shared blocks that the engine has not cached, in seconds.
fn shared_prefill_s(prompt: &Prompt, engine: &Engine) -> f64 {
    let prefill_time =
        |cached| cost::prefill_time(prompt, cached, engine.role).mul_f64(engine.slowdown);
    let with_shared = engine.cached_tokens.max(prompt.shared_tokens());
    prefill_time(engine.cached_tokens)
        .saturating_sub(prefill_time(with_shared))
        .as_secs_f64()
}

fn compare_cost(one: &Candidate<'_>, other: &Candidate<'_>) -> std::cmp::Ordering {
    one.cost.total_cmp(&other.cost)
}

/// Returns the cost of streaming from an engine whose pauses come near the target, in seconds: the
/// time by which all of them together are expected to exceed their share of it.
fn pause_cost(request: &Request<'_>, engine: &Engine) -> f64 {
    let (Some(target), Some(gap)) = (request.target_gap, engine.gap) else {
        return 0.0;
    };
    let excess = gap.saturating_sub(target.mul_f64(TARGET_GAP_SHARE));
    let pauses = request.prompt.max_generated.saturating_sub(1);
    excess.as_secs_f64() * pauses as f64
}

/// Returns the time until an engine starts the prefill of a new request of a class.
fn queue_delay(engine: &Engine, class: QueueClass) -> Duration {
    match class {
        QueueClass::OnTime => engine.backlog,
        QueueClass::Late => engine.backlog + engine.late_backlog,
    }
}

fn single<'a>(request: &Request<'_>, engine: &'a Engine, class: QueueClass) -> Candidate<'a> {
    let prefill_time = cost::prefill_time(request.prompt, engine.cached_tokens, engine.role)
        .mul_f64(engine.slowdown);
    let queue_delay = queue_delay(engine, class);
    let first_event_delay = queue_delay + prefill_time;
    let contention = cost::contention(engine.running) * engine.slowdown;
    Candidate {
        prefill_engine: engine,
        decode_engine: engine,
        fallback: None,
        queue_delay,
        first_event_delay,
        cost: first_event_delay.as_secs_f64()
            + PREFILL_WEIGHT * prefill_time.as_secs_f64()
            + contention
            + pause_cost(request, engine),
    }
}

fn split<'a>(
    request: &Request<'_>,
    prefill_engine: &'a Engine,
    decode_engines: &[&'a Engine],
    class: QueueClass,
) -> Option<Candidate<'a>> {
    let prefill_time = cost::prefill_time(
        request.prompt,
        prefill_engine.cached_tokens,
        prefill_engine.role,
    )
    .mul_f64(prefill_engine.slowdown);
    let load = |engine: &Engine| {
        let penalty = match engine.domain != prefill_engine.domain {
            true => request.kv_crossing.as_secs_f64(),
            false => 0.0,
        };
        engine.backlog.as_secs_f64() / 2.0
            + cost::contention(engine.running) * engine.slowdown
            + pause_cost(request, engine)
            + penalty
    };
    let compare_load = |one: &&Engine, other: &&Engine| load(one).total_cmp(&load(other));
    let decode_engine = decode_engines.iter().copied().min_by(compare_load)?;
    let others = decode_engines.iter().copied();
    let fallback = others
        .filter(|engine| engine.id != decode_engine.id)
        .min_by(compare_load);
    let queue_delay = queue_delay(prefill_engine, class);
    let first_event_delay = queue_delay + prefill_time + KV_TRANSFER_DURATION;
    Some(Candidate {
        prefill_engine,
        decode_engine,
        fallback,
        queue_delay,
        first_event_delay,
        cost: first_event_delay.as_secs_f64() + PREFILL_WEIGHT * prefill_time.as_secs_f64(),
    })
}

/// Returns the rendezvous hash of an affinity key and an engine: the key prefers the engine with
/// the highest value, the same one on all hosts.
pub fn preference(affinity_key: BlockId, engine: &str) -> u64 {
    use std::hash::Hash;
    use std::hash::Hasher;

    let mut hasher = std::hash::DefaultHasher::new();
    affinity_key.hash(&mut hasher);
    engine.hash(&mut hasher);
    hasher.finish()
}
