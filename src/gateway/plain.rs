//! Requests to plain services, answered with one full response.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use rand::RngExt;

use super::Gateway;
use super::allowance::AttemptBudget;
use super::balance;
use super::balance::Choice;
use super::balance::Chosen;
use super::balance::Waiting;
use super::call::Call;
use super::exchange;
use super::exchange::Failure;
use super::exchange::FullResponse;
use super::exchange::Options;
use super::exchange::Provenance;
use super::exchange::Stage;
use super::record::Outcome;
use super::record::Trace;
use super::reply;
use super::reply::Reply;
use super::shutdown;
use super::suspect;
use super::suspect::Guard;
use super::target::Target;
use crate::catalog::Kind;
use crate::id::UpstreamId;

/// Timeout of an attempt of an idempotent request, as a multiple of the route's target.
pub const ATTEMPT_TIMEOUT_FACTOR: f64 = 1.6;
/// Maximum share of the time left that one attempt may take while another is possible.
const MAX_ATTEMPT_SHARE: f64 = 0.45;
/// Time after which a refused caller should retry.
const RETRY_AFTER: Duration = Duration::from_millis(250);
/// Cost of an upstream that is unhealthy or reported unreachable, in requests in flight.
const UNHEALTHY_COST: f64 = 1000.0;
/// Cost of an upstream that fails every request, in requests in flight; scaled by its failure rate.
const FAILURE_RATE_COST: f64 = 20.0;
/// Cost of an upstream in another failure domain, in requests in flight.
const CROSS_DOMAIN_COST: f64 = 0.5;

/// Serves a request.
pub async fn serve(gateway: &Rc<Gateway>, call: &Call, trace: &mut Trace) -> Reply {
    let mut attempt_budget = AttemptBudget::new(call.route.max_attempts);
    let mut tried = Vec::new();
    let mut buffered = None;
    let mut last = None;
    let mut waiting = Waiting::default();
    let mut paused_after = 0;
    loop {
        if let Some(retry_after) = suspect::refusal(gateway, call).await {
            trace.decide(suspect::REFUSAL_REASON);
            return give_up(call, &attempt_budget, buffered, retry_after, trace);
        }
        if let Err(refusal) = gateway.check_key(call) {
            trace.decide(refusal.reason());
            let retry_after = gateway.key_retry_after(call.remaining(Instant::now()));
            return give_up(call, &attempt_budget, buffered, retry_after, trace);
        }
        let now = Instant::now();
        if !attempt_budget.may_have_run() && gateway.shuts_down_before(call.deadline, now) {
            trace.decide(shutdown::REFUSAL_REASON);
            return give_up(call, &attempt_budget, buffered, Duration::ZERO, trace);
        }
        if now >= call.deadline {
            return give_up(call, &attempt_budget, buffered, RETRY_AFTER, trace);
        }
        let is_rejected = matches!(last, Some(Failure::NotRun(_)));
        let is_exhausted = is_rejected && balance::is_exhausted(gateway, call, &tried, now);
        if is_exhausted && paused_after != tried.len() {
            paused_after = tried.len();
            tokio::time::sleep(balance::pause_for_room(gateway, call, now)).await;
            continue;
        }
        // An upstream that had no room may have some when the request has waited.
        let avoided = if is_exhausted { &[] } else { &tried[..] };
        let other = match balance::choose(gateway, call, avoided, &mut waiting, now) {
            Choice::Send(chosen) => Some(chosen),
            Choice::Wait(pause) => {
                tokio::time::sleep(pause).await;
                continue;
            }
            Choice::Refuse(after) => {
                trace.decide(balance::REFUSAL_REASON);
                return give_up(call, &attempt_budget, buffered, after, trace);
            }
            Choice::Unbalanced => pick(gateway, call, untried(&tried), now).map(Chosen::from),
        };
        let is_second = tried.len() == 1;
        let same = || pick_again(gateway, call, &last, now).filter(|_| is_second);
        let same = || same().map(Chosen::from);
        let Some(Chosen { target, forecast }) = other.or_else(same) else {
            trace.decide("no-upstream");
            let after = retry_after(gateway, call, now);
            return give_up(call, &attempt_budget, buffered, after, trace);
        };
        if attempt_budget.retries(false) > 0 && !gateway.try_spend_retries(&call.service, 1, now) {
            trace.decide("no-budget");
            return give_up(call, &attempt_budget, buffered, RETRY_AFTER, trace);
        }
        attempt_budget.record_send();
        tried.push(target.entry.id.clone());
        let has_other = pick(gateway, call, untried(&tried), now).is_some();
        let until = attempt_deadline(call, &attempt_budget, has_other, now);
        let may_reuse = call.route.is_idempotent() && tried.len() == 1;
        trace.run.offer();
        let sent = balance::Sent::new(gateway, &target, forecast, now);
        let ended = attempt(gateway, &target, call, may_reuse, until).await;
        sent.record(&ended);
        match ended {
            Ok(response) => {
                trace.run.answer(response.head.status);
                trace.step(format_args!(
                    "{}={}",
                    target.entry.id,
                    response.head.status.as_u16()
                ));
                let is_failure = response.head.status.is_server_error();
                if is_failure {
                    attempt_budget.record_failure(&Failure::Broken("failed".into()));
                }
                let may_improve = call.route.kind == Kind::Safe && attempt_budget.allows_more(true);
                if !is_failure || !may_improve || buffered.is_some() {
                    trace.record_first();
                    gateway.record_served(call, Instant::now());
                    return deliver(response, call, trace);
                }
                buffered = Some(response);
            }
            Err(failure) => {
                trace.run.fail(failure.is_not_run());
                trace.step(format_args!("{}={failure:?}", target.entry.id));
                attempt_budget.record_failure(&failure);
                last = Some(failure);
                if !attempt_budget.allows_more(call.route.is_idempotent()) {
                    let after = retry_after(gateway, call, Instant::now());
                    return give_up(call, &attempt_budget, buffered, after, trace);
                }
            }
        }
    }
}

/// Returns any upstream, including the one tried first, for a second attempt after a broken
/// response or a failed connection: the connection may be at fault rather than the upstream.
fn pick_again(
    gateway: &Gateway,
    call: &Call,
    last: &Option<Failure>,
    now: Instant,
) -> Option<Rc<Target>> {
    match last {
        Some(Failure::Broken(_) | Failure::NotSent(_) | Failure::Unreachable(_)) => {
            pick(gateway, call, |_| true, now)
        }
        _ => None,
    }
}

async fn attempt(
    gateway: &Rc<Gateway>,
    target: &Rc<Target>,
    call: &Call,
    may_reuse: bool,
    until: Instant,
) -> Result<FullResponse, Failure> {
    let _in_flight = target.begin_request();
    let options = Options {
        stage: Stage::Full,
        urgency: None,
        after_event: None,
        continuation: None,
        may_reuse,
        reservation: None,
        until,
        deadline: call.deadline,
    };
    let mut guard = Guard::new(gateway, call, target, options.stage);
    let exchange = async {
        let response = exchange::send(gateway, target, call, &options).await?;
        let response =
            exchange::finish(gateway, target, response, exchange::MAX_RESPONSE_BYTES).await?;
        match response.provenance {
            Provenance::Signed => {
                if response.head.status.is_success() {
                    guard.record_output(Instant::now());
                }
                Ok(response)
            }
            _ => Err(Failure::Broken("the answer is not signed".into())),
        }
    };
    let ended = match tokio::time::timeout_at(options.until.into(), exchange).await {
        Ok(ended) => ended,
        Err(_) => Err(Failure::Silent),
    };
    guard.record(&ended);
    update_health(target, &ended);
    ended
}

/// Updates an upstream's health with the outcome of an exchange.
pub fn update_health<T>(target: &Target, ended: &Result<T, Failure>) {
    let mut health = target.health();
    match ended {
        Ok(_) => health.record_success(),
        Err(Failure::Unreachable(_)) => health.record_unreachable(Instant::now()),
        Err(Failure::NotRun(StatusCode::MISDIRECTED_REQUEST) | Failure::NotSent(_)) => {
            health.record_failure(Instant::now());
        }
        // A pause or shutdown that the upstream announced is no failure.
        Err(Failure::Withheld(_)) => (),
        Err(Failure::NotRun(_)) => health.record_refusal(Instant::now()),
        Err(Failure::Broken(_) | Failure::Silent) => health.record_failure(Instant::now()),
    }
}

/// Returns the deadline of one attempt.
///
/// It is earlier than the caller's deadline only if the request is idempotent, may be attempted
/// again and can go to another upstream.
fn attempt_deadline(
    call: &Call,
    attempt_budget: &AttemptBudget,
    has_other: bool,
    now: Instant,
) -> Instant {
    if !has_other || !call.route.is_idempotent() || !attempt_budget.allows_more(true) {
        return call.deadline;
    }
    let max_timeout = call.remaining(now).mul_f64(MAX_ATTEMPT_SHARE);
    now + call
        .route
        .target_latency
        .mul_f64(ATTEMPT_TIMEOUT_FACTOR)
        .min(max_timeout)
}

/// Returns a filter of the upstreams that have not been tried.
fn untried(tried: &[UpstreamId]) -> impl Fn(&Target) -> bool {
    |target| !tried.contains(&target.entry.id)
}

/// Chooses the upstream with the fewest requests in flight from this host, preferring healthy ones
/// and those of the same failure domain.
pub fn pick<F>(gateway: &Gateway, call: &Call, is_candidate: F, now: Instant) -> Option<Rc<Target>>
where
    F: Fn(&Target) -> bool,
{
    let mut random = rand::rng();
    let targets = gateway.targets(&call.service, now);
    let candidates = targets.into_iter().filter(|target| is_candidate(target));
    let weighed = candidates.map(|target| {
        let health = *target.health();
        let mut cost = target.in_flight() as f64 + FAILURE_RATE_COST * health.failure_rate();
        if !health.is_healthy(now) || gateway.is_reported_unreachable(&target.entry.id, now) {
            cost += UNHEALTHY_COST;
        }
        if target.entry.domain != gateway.settings.domain {
            cost += CROSS_DOMAIN_COST;
        }
        (cost + random.random::<f64>() / 16.0, target)
    });
    weighed
        .min_by(|(one, _), (other, _)| one.total_cmp(other))
        .map(|(_, target)| target)
}

/// Returns the time after which a refused caller should retry: when the first upstream takes work
/// again, if all of them asked for a pause.
pub fn retry_after(gateway: &Gateway, call: &Call, now: Instant) -> Duration {
    if !gateway.targets(&call.service, now).is_empty() {
        return balance::retry_after(gateway, call, now).unwrap_or(RETRY_AFTER);
    }
    let left = gateway.pause_left(&call.service, |_| true, now);
    left.map_or(RETRY_AFTER, |left| left.min(call.remaining(now)))
}

/// Returns the reply to a request that no attempt has served: a buffered response, if there is one,
/// or an error.
fn give_up(
    call: &Call,
    attempt_budget: &AttemptBudget,
    buffered: Option<FullResponse>,
    retry_after: Duration,
    trace: &mut Trace,
) -> Reply {
    if let Some(response) = buffered {
        return deliver(response, call, trace);
    }
    fail(attempt_budget.may_have_run(), retry_after, trace)
}

/// Passes on an upstream's full response, unless its status would tell the caller of a request that
/// must not run twice that it has not run.
pub fn deliver(response: FullResponse, call: &Call, trace: &mut Trace) -> Reply {
    let status = response.head.status;
    let is_idempotent = call.route.is_idempotent();
    if !response.provenance.permits_delivery(status, is_idempotent) {
        trace.step(format_args!("withheld={}", status.as_u16()));
        trace.end(Outcome::Failed);
        return reply::own(
            StatusCode::BAD_GATEWAY,
            &format!("the upstream failed with status {status}; the request may have run"),
        );
    }
    trace.end(Outcome::Delivered);
    reply::deliver(response)
}

/// Returns a refusal, or a failure if the request may have run.
pub fn fail(may_have_run: bool, retry_after: Duration, trace: &mut Trace) -> Reply {
    if may_have_run {
        trace.end(Outcome::Failed);
        return reply::own(
            StatusCode::BAD_GATEWAY,
            "the upstream gave no whole answer; the request may have run",
        );
    }
    trace.end(Outcome::Refused);
    reply::refuse("not run: no upstream could take the request", retry_after)
}
