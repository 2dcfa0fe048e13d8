//! Forwards calls of plain services to an upstream.

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

/// Time after which a caller may retry when no upstream can take its request.
const NO_UPSTREAM_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Guard that counts a request as in flight on an upstream until it is dropped.
#[derive(Debug)]
pub struct InFlight(Arc<Upstream>);

impl InFlight {
    /// Counts a request as in flight on `upstream`.
    pub fn new(upstream: &Arc<Upstream>) -> Self {
        upstream.own_in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight(Arc::clone(upstream))
    }

    /// Counts a new request as in flight, or returns `None` if the upstream no longer takes work.
    pub fn begin(upstream: &Arc<Upstream>) -> Option<Self> {
        let in_flight = InFlight::new(upstream);
        upstream.takes_work().then_some(in_flight)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.own_in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Runs a call of a plain service. A call that may have run is sent again only if it is
/// idempotent, before its deadline and within the retry budget.
pub fn plain<C, P>(core: &Core<C, P>, call: &Call, trace: &mut Trace) -> Reply
where
    C: Clock + Clone,
    P: Log + List,
{
    core.budget.record_request();
    loop {
        let Some((upstream, in_flight)) = choose(core, call, trace) else {
            return no_upstream(trace).into();
        };
        trace.attempted.push(upstream.id.clone());
        let result = send(core, call, &upstream);
        drop(in_flight);
        match result {
            Ok(reply) => {
                trace.record_token(core.clock.now());
                return reply;
            }
            Err(Failure::BeforeFirstByte(_)) => upstream.record_failure(core.clock.now()),
            Err(Failure::Refused) => upstream.leaving.store(true, Ordering::SeqCst),
            Err(failure @ (Failure::Lost(_) | Failure::Silent(_))) => {
                trace.sent_at.get_or_insert(call.arrived);
                let in_time = core.clock.now() < call.deadline();
                let may_retry = call.is_idempotent() && in_time && core.budget.try_spend();
                if !may_retry {
                    return Problem::unknown(failure.to_string()).into();
                }
            }
        }
    }
}

fn choose<C, P>(core: &Core<C, P>, call: &Call, trace: &Trace) -> Option<(Arc<Upstream>, InFlight)>
where
    C: Clock + Clone,
    P: Log + List,
{
    let permitted = core.members.usable_domains(core.clock.now());
    let criteria = Criteria {
        stage: Stage::Any,
        domain: &core.settings.domain,
        permitted: &permitted,
        tried: &trace.attempted,
        prefix: None,
        is_isolated: false,
    };
    let upstreams = core.table.of(&call.service.name);
    loop {
        let upstream = route::choose(&upstreams, &criteria, &core.index, &mut rand::rng())?;
        if let Some(in_flight) = InFlight::begin(&upstream) {
            return Some((upstream, in_flight));
        }
    }
}

fn send<C, P>(core: &Core<C, P>, call: &Call, upstream: &Upstream) -> Result<Reply, Failure>
where
    C: Clock + Clone,
    P: Log + List,
{
    let remaining = call.deadline().saturating_duration_since(core.clock.now());
    let limit = remaining.max(core.settings.limits.silence);
    let response = call::send(&call::Call {
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
    let status = response.status;
    let content_type = response
        .headers
        .get("content-type")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("application/octet-stream")
        .to_owned();
    let echoed = response.headers.get(call::REQUEST_ID);
    let is_same_request =
        echoed.is_none_or(|id| id.to_str().is_ok_and(|id| id == call.request.to_string()));
    if !is_same_request {
        return Err(Failure::Lost("the answer is another request's".to_owned()));
    }
    Ok(Reply::ran(status, &content_type, response.bytes()?))
}

/// Returns the problem of a request that no upstream can take.
pub fn no_upstream(trace: &Trace) -> Problem {
    let problem = Problem::not_run(503, "no upstream", "no upstream can take the request now");
    let outcome = match trace.sent_at {
        None => Outcome::NotRun,
        Some(_) => Outcome::Unknown,
    };
    Problem { outcome, ..problem }.retry_after(NO_UPSTREAM_RETRY_DELAY)
}
