//! Requests to models: run on one engine, or split into prefill on one and decode on another.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;
use tokio::task;

use super::Gateway;
use super::allowance::AttemptBudget;
use super::call::Call;
use super::demand;
use super::exchange::Continuation;
use super::held;
use super::open;
use super::open::OpenStream;
use super::open::Progress;
use super::open::Start;
use super::origin;
use super::plain;
use super::record::Trace;
use super::reply;
use super::reply::Reply;
use super::shutdown;
use super::spill;
use super::stream;
use super::suspect;
use super::target::Target;
use crate::placement;
use crate::placement::Plan;
use crate::placement::Request;
use crate::placement::board::Load;
use crate::upstream::Role;

/// Maximum time after which a refused caller should retry, as a share of the time it has left;
/// callers wait for no more than a third of it.
const MAX_RETRY_AFTER_SHARE: f64 = 0.3;
/// Maximum number of chunks of a stream that are buffered for a slow caller, beside the bound on the
/// bytes of all streams.
const MAX_BUFFERED_CHUNKS: usize = 1024;
/// Time after which a caller should retry when engines aborted the request.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Reason for refusing a request if all engines that could decode asked for a pause or have used up
/// their limits.
const PAUSED: &str = "upstreams asked for a pause or fewer requests";

/// Serves a request.
pub async fn serve(gateway: &Rc<Gateway>, call: Call, trace: Trace) -> Reply {
    let mut progress = Progress {
        attempt_budget: AttemptBudget::new(call.route.max_attempts),
        tried: Vec::new(),
        continuation: None,
        build: None,
        call,
        trace,
    };
    if let Some(event) = progress.call.request.after_event {
        let attempt = progress.call.request.resumes.as_deref().unwrap_or("");
        progress
            .trace
            .step(format_args!("resumes={attempt:?} after {event}"));
        let known = gateway.find_build(&progress.call).await;
        let upstreams_age = gateway.age_observer.upstreams_age(Instant::now());
        progress.trace.step(format_args!(
            "build-known={:?} upstreams-age={upstreams_age:?}",
            known.map(|known| known.source)
        ));
        progress.build = known.map(|known| known.build);
        if progress.build.is_none() {
            progress.trace.decide(origin::UNKNOWN_BUILD);
            let left = progress.call.remaining(Instant::now());
            return fail(progress, left.mul_f64(MAX_RETRY_AFTER_SHARE));
        }
    }
    let mut is_recorded = false;
    loop {
        if let Some(retry_after) = suspect::refusal(gateway, &progress.call).await {
            progress.trace.decide(suspect::REFUSAL_REASON);
            return fail(progress, retry_after);
        }
        let now = Instant::now();
        if let Err(refusal) = gateway.check_key(&progress.call) {
            progress.trace.decide(refusal.reason());
            let retry_after = gateway.key_retry_after(progress.call.remaining(Instant::now()));
            return fail(progress, retry_after);
        }
        let may_have_run = progress.attempt_budget.may_have_run();
        if !may_have_run && gateway.shuts_down_before(progress.call.deadline, now) {
            progress.trace.decide(shutdown::REFUSAL_REASON);
            return fail(progress, Duration::ZERO);
        }
        if now >= progress.call.deadline {
            return fail(progress, RETRY_AFTER);
        }
        let plan = plan(gateway, &progress, now);
        if !std::mem::replace(&mut is_recorded, true) {
            demand::record(gateway, &progress.call, &plan, now);
        }
        if let Plan::Refuse {
            retry_after,
            reason,
        } = plan
        {
            progress.trace.decide(reason);
            let left = progress.call.remaining(now);
            let max_retry_after = match reason {
                PAUSED => left,
                _ => left.mul_f64(MAX_RETRY_AFTER_SHARE),
            };
            return fail(progress, retry_after.min(max_retry_after));
        }
        if !progress.may_start(gateway, &plan) {
            progress.trace.decide("no-budget");
            return fail(progress, RETRY_AFTER);
        }
        let after_event = progress.call.request.after_event;
        match open::open(gateway, &mut progress, &plan, after_event).await {
            Ok(Start::Stream(stream)) => return deliver(gateway, *stream, progress),
            Ok(Start::Full(response)) => {
                progress.trace.record_first();
                return plain::deliver(response, &progress.call, &mut progress.trace);
            }
            Err(_) => {
                let is_idempotent = progress.call.route.is_idempotent();
                if !progress.attempt_budget.allows_more(is_idempotent) {
                    let after = plain::retry_after(gateway, &progress.call, Instant::now());
                    return fail(progress, after);
                }
            }
        }
    }
}

fn fail(mut progress: Progress, retry_after: Duration) -> Reply {
    let may_have_run = progress.attempt_budget.may_have_run();
    plain::fail(may_have_run, retry_after, &mut progress.trace)
}

/// Chooses engines for a request.
pub fn plan(gateway: &Rc<Gateway>, progress: &Progress, now: Instant) -> Plan {
    let call = &progress.call;
    let mut targets = gateway.targets(&call.service, now);
    if call.route.is_resumable {
        targets.retain(|target| !target.is_replaced());
    }
    if progress.build.is_some() {
        targets.retain(|target| is_permitted(progress, target));
        let can_generate = |target: &Rc<Target>| target.entry.role != Role::Prefill;
        if !targets.iter().any(can_generate)
            && let Some(refusal) = refuse_without_generator(gateway, progress, now)
        {
            return refusal;
        }
    }
    let Some(prompt) = &call.request.prompt else {
        return plan_without_prompt(gateway, progress, now);
    };
    let board = gateway.board.borrow();
    let engines: Vec<placement::Engine> = targets
        .iter()
        .filter(|target| {
            !progress.tried.contains(&target.entry.id) && !gateway.is_changing_role(target, now)
        })
        .map(|target| {
            let id = &target.entry.id;
            let Load {
                running,
                backlog,
                late_backlog,
            } = board.load(id, now);
            placement::Engine {
                id: id.clone(),
                role: target.entry.role,
                domain: target.entry.domain.clone(),
                is_healthy: target.health().is_healthy(now)
                    && !gateway.is_reported_unreachable(id, now),
                slots: target.entry.slots,
                running,
                backlog,
                late_backlog,
                cached_tokens: board.cached_tokens(id, &prompt.blocks),
                slowdown: board.slowdown(id),
                gap: board.gap(id, occupancy(running + 1, target.entry.slots)),
            }
        })
        .collect();
    if engines.iter().all(|engine| engine.role == Role::Prefill)
        && let Some(refusal) = refuse_without_generator(gateway, progress, now)
    {
        return refusal;
    }
    let request = Request {
        prompt,
        target_left: (call.arrived + call.route.target_latency).saturating_duration_since(now),
        left: call.remaining(now),
        is_above_share: gateway.is_above_share(call, now),
        is_resumed: progress.build.is_some(),
        kv_crossing: spill::kv_crossing(gateway, call, prompt),
        target_gap: call.route.target_gap,
    };
    rank(gateway, call, placement::plan(&request, &engines))
}

/// Refuses a request for which no engine can generate now: until one that paused takes work again, or, if the
/// stream began already, until another engine of its build generates. Returns `None` if one could generate.
fn refuse_without_generator(gateway: &Gateway, progress: &Progress, now: Instant) -> Option<Plan> {
    let call = &progress.call;
    let can_generate =
        |target: &Target| target.entry.role != Role::Prefill && progress.permits(target);
    if let Some(retry_after) = gateway.pause_left(&call.service, can_generate, now) {
        return Some(Plan::Refuse {
            retry_after,
            reason: PAUSED,
        });
    }
    progress.build?;
    let targets = gateway.targets(&call.service, now);
    let is_generator = |target: &Rc<Target>| {
        can_generate(target)
            && !gateway.is_out_of_reach(target, now)
            && !gateway.is_changing_role(target, now)
    };
    if targets.iter().any(is_generator) {
        return None;
    }
    let due = gateway.generator_due(progress, now);
    Some(Plan::Refuse {
        retry_after: due.unwrap_or_else(|| call.remaining(now)),
        reason: origin::NO_ENGINE,
    })
}

/// Returns `true` if an upstream may work on a stream: any engine may prefill its prompt, and only one of its
/// build may generate its events.
fn is_permitted(progress: &Progress, target: &Target) -> bool {
    target.entry.role == Role::Prefill || progress.permits(target)
}

/// Refines the urgency of a plan by the rank of the request, if the configuration has client accounts.
fn rank(gateway: &Gateway, call: &Call, plan: Plan) -> Plan {
    let catalog = gateway.catalog();
    match catalog.is_some_and(|catalog| catalog.accounts().is_some()) {
        true => plan.ranked(call.rank()),
        false => plan,
    }
}

/// Returns the share of an engine's slots that `running` requests take up.
pub fn occupancy(running: usize, slots: usize) -> f64 {
    (running as f64 / slots.max(1) as f64).min(1.0)
}

/// Urgency of a stream without a prompt; the middle of the scale.
const DEFAULT_URGENCY: u8 = 5;

fn plan_without_prompt(gateway: &Gateway, progress: &Progress, now: Instant) -> Plan {
    let call = &progress.call;
    let is_candidate =
        |target: &Target| !progress.tried.contains(&target.entry.id) && progress.permits(target);
    match plain::pick(gateway, call, is_candidate, now) {
        Some(target) => {
            let plan = Plan::Single {
                engine: target.entry.id.clone(),
                urgency: DEFAULT_URGENCY,
            };
            rank(gateway, call, plan)
        }
        None => Plan::Refuse {
            retry_after: plain::retry_after(gateway, call, now),
            reason: "no upstream takes work",
        },
    }
}

fn deliver(gateway: &Rc<Gateway>, mut stream: OpenStream, mut progress: Progress) -> Reply {
    progress.trace.record_first();
    let now = Instant::now();
    let build = stream.target.build();
    progress.build = Some(build);
    gateway.confirm_stream(&progress.call, &stream.target);
    let run = gateway.run_stream(&progress.call, build, now);
    gateway.record_served(&progress.call, now);
    let head = stream.head.clone();
    progress.continuation = Some(Continuation::of(&head));
    let unread = held::Unread::new(&gateway.held_streams);
    let first = unread.hold(std::mem::take(&mut stream.first));
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let flow = stream::Flow {
        gateway: Rc::clone(gateway),
        progress,
        sender,
        unread,
        has_waited: false,
        run,
    };
    task::spawn_local(flow.run(stream));
    reply::deliver_stream(&head, reply::Stream::new(first, receiver))
}
