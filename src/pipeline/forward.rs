//! Sends calls of plain services on to an upstream.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::clock::Clock;
use crate::core::Core;
use crate::log::List;
use crate::log::Log;
use crate::problem::Outcome;
use crate::problem::Problem;
use crate::route;
use crate::route::Criteria;
use crate::route::Stage;
use crate::upstream::Upstream;
use crate::upstream::call;
use crate::upstream::call::Failure;
use crate::wire::Reply;

use super::Call;
use super::account::Trace;

/// Time after which a caller may do better when no upstream can take a request.
const NO_UPSTREAM_RETRY: Duration = Duration::from_secs(1);

/// Counts a request in on an upstream, and out when dropped.
#[derive(Debug)]
pub struct InFlight(Arc<Upstream>);

impl InFlight {
    /// Counts a request in on `upstream`.
    pub fn new(upstream: &Arc<Upstream>) -> Self {
        upstream.own_in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight(Arc::clone(upstream))
    }

    /// Counts a new request in, unless the upstream has just been taken out of use.
    pub fn begin(upstream: &Arc<Upstream>) -> Option<Self> {
        let visit = InFlight::new(upstream);
        upstream.takes_work().then_some(visit)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.own_in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Runs a call of a plain service, once or, if it is idempotent, until it is answered.
pub fn plain<C, P>(core: &Core<C, P>, call: &Call, course: &mut Trace) -> Reply
where
    C: Clock + Clone,
    P: Log + List,
{
    core.budget.earn();
    loop {
        let Some((upstream, visit)) = choose(core, call, course) else {
            return no_upstream(course).into();
        };
        course.tried.push(upstream.id.clone());
        let result = send(core, call, &upstream);
        drop(visit);
        match result {
            Ok(reply) => {
                course.note_token(core.clock.now());
                return reply;
            }
            Err(Failure::BeforeFirstByte(_)) => upstream.record_failure(core.clock.now()),
            Err(Failure::Refused) => upstream.leaving.store(true, Ordering::SeqCst),
            Err(failure @ (Failure::Lost(_) | Failure::Silent(_))) => {
                course.sent.get_or_insert(call.arrived);
                let in_time = core.clock.now() < call.deadline();
                let again = call.is_idempotent() && in_time && core.budget.try_spend();
                if !again {
                    return Problem::unknown(failure.to_string()).into();
                }
            }
        }
    }
}

fn choose<C, P>(core: &Core<C, P>, call: &Call, course: &Trace) -> Option<(Arc<Upstream>, InFlight)>
where
    C: Clock + Clone,
    P: Log + List,
{
    let permitted = core.members.permitted(core.clock.now());
    let want = Criteria {
        stage: Stage::Any,
        domain: &core.settings.domain,
        permitted: &permitted,
        tried: &course.tried,
        prefix: None,
        apart: false,
    };
    let all = core.table.of(&call.service.name);
    loop {
        let upstream = route::choose(&all, &want, &core.index, &mut rand::rng())?;
        if let Some(visit) = InFlight::begin(&upstream) {
            return Some((upstream, visit));
        }
    }
}

fn send<C, P>(core: &Core<C, P>, call: &Call, upstream: &Upstream) -> Result<Reply, Failure>
where
    C: Clock + Clone,
    P: Log + List,
{
    let left = call.deadline().saturating_duration_since(core.clock.now());
    let limit = left.max(core.settings.limits.silence);
    let answer = call::send(&call::Call {
        address: upstream.address,
        method: &call.method,
        path: &call.path,
        body: &call.body,
        content_type: &call.content_type,
        request: call.request,
        rank: call.class.rank,
        silence: limit,
        limit: Some(limit),
    })?;
    let status = answer.status;
    let content_type = answer
        .headers
        .get("content-type")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_owned();
    let echoed = answer.headers.get(call::REQUEST_ID);
    let is_own = echoed.is_none_or(|id| id.to_str().is_ok_and(|id| id == call.request.to_string()));
    if !is_own {
        return Err(Failure::Lost("the answer is another request's".to_owned()));
    }
    Ok(Reply::ran(status, &content_type, answer.bytes()?))
}

/// Returns the refusal of a request that no upstream can take.
pub fn no_upstream(course: &Trace) -> Problem {
    let problem = Problem::not_run(503, "no upstream", "no upstream can take the request now");
    let outcome = match course.sent {
        None => Outcome::NotRun,
        Some(_) => Outcome::Unknown,
    };
    Problem { outcome, ..problem }.retry_after(NO_UPSTREAM_RETRY)
}
