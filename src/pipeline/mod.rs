//! The path of a request: identify, admit, route, forward, deliver, account.
//!
//! Each filter is one file. A request passes through them on one thread of a bounded pool.
//! Background tasks make the decisions that concern many requests at once; the request exchanges
//! messages with them over ring buffers.

pub mod account;
pub mod call;
pub mod deliver;
pub mod forward;
pub mod identify;
pub mod model;
pub mod once;
pub mod own;

use std::io::Write;
use std::sync::atomic::Ordering;

use tiny_http::Request;

use crate::admit::Refusal;
use crate::clock::Clock;
use crate::core::Core;
use crate::log::List;
use crate::log::Log;
use crate::problem::Outcome;
use crate::problem::Problem;
use crate::wire::Reply;

pub use self::call::Call;

use self::account::Trace;
use self::call::Completion;
use self::call::Work;
use self::identify::Parts;

/// Serves one request completely. The caller has counted it as open; it is uncounted at the end.
pub fn serve<C, P>(core: &Core<C, P>, mut request: Request)
where
    C: Clock + Clone,
    P: Log + List,
{
    let _open_request = OpenRequest(core);
    let arrived = core.clock.now();
    let method = request.method().as_str().to_owned();
    let body = identify::read_body(&mut request, &core.settings.limits, &core.clock);
    let parts = Parts::of(&request, &method);
    if let Some(reply) = own::answer(core, &parts) {
        return write(core, request, uuid::Uuid::now_v7(), &reply);
    }
    let call = body.and_then(|body| identify::identify(&parts, body, &core.directory(), arrived));
    match call {
        Ok(call) => run(core, request, call),
        Err(problem) => {
            log::info!(
                outcome = "not-run",
                status = problem.status,
                title:% = problem.title;
                "request refused"
            );
            write(core, request, uuid::Uuid::now_v7(), &problem.into());
        }
    }
}

struct OpenRequest<'a, C, P>(&'a Core<C, P>)
where
    C: Clock;

impl<C, P> Drop for OpenRequest<'_, C, P>
where
    C: Clock,
{
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::SeqCst);
    }
}

fn run<C, P>(core: &Core<C, P>, request: Request, call: Call)
where
    C: Clock + Clone,
    P: Log + List,
{
    match &call.work {
        Work::Completion(completion) => complete(core, request, &call, completion),
        Work::Plain => {
            let mut trace = Trace::default();
            let reply = answer_plain(core, &call, &mut trace);
            let failed =
                (reply.outcome != Outcome::Ran || reply.status == 502).then_some(reply.outcome);
            account::account(core, &call, &trace, failed);
            write(core, request, call.request, &reply);
        }
    }
}

/// Answers a call of a plain service.
pub fn answer_plain<C, P>(core: &Core<C, P>, call: &Call, trace: &mut Trace) -> Reply
where
    C: Clock + Clone,
    P: Log + List,
{
    if let Some(one_time_key) = call.right {
        return once::run(core, call, one_time_key, trace);
    }
    match core.gate.enter(&call.service.name, call.demand()) {
        Ok(_permit) => forward::plain(core, call, trace),
        Err(refusal) => refused(refusal).into(),
    }
}

fn complete<C, P>(core: &Core<C, P>, request: Request, call: &Call, completion: &Completion)
where
    C: Clock + Clone,
    P: Log + List,
{
    let mut permit = match core.gate.enter(&call.service.name, call.demand()) {
        Ok(permit) => permit,
        Err(refusal) => {
            let problem = refused(refusal);
            account::account(core, call, &Trace::default(), Some(Outcome::NotRun));
            return write(core, request, call.request, &problem.into());
        }
    };
    let mut trace = Trace::default();
    let out = request.into_writer();
    let end = match completion.stream {
        true => stream(core, call, completion, &mut trace, out),
        false => collect(core, call, completion, &mut trace, out),
    };
    if let Some(observation) = trace.observation(call) {
        permit.observe(observation);
    }
    drop(permit);
    let failed = match &end {
        model::End::Completed => None,
        model::End::Failed(problem) => Some(problem.outcome),
        model::End::CallerDisconnected => Some(Outcome::Ran),
    };
    account::account(core, call, &trace, failed);
}

fn stream<C, P, W>(
    core: &Core<C, P>,
    call: &Call,
    completion: &Completion,
    trace: &mut Trace,
    out: W,
) -> model::End
where
    C: Clock + Clone,
    P: Log + List,
    W: Write,
{
    let mut stream = deliver::Stream::new(out, call.request, core.is_leaving());
    let end = model::run(core, call, completion, trace, &mut stream);
    let written = match &end {
        model::End::Completed => stream.finish(),
        model::End::Failed(problem) => stream.fail(problem),
        model::End::CallerDisconnected => return end,
    };
    match written {
        Ok(()) => end,
        Err(_) => model::End::CallerDisconnected,
    }
}

fn collect<C, P, W>(
    core: &Core<C, P>,
    call: &Call,
    completion: &Completion,
    trace: &mut Trace,
    mut out: W,
) -> model::End
where
    C: Clock + Clone,
    P: Log + List,
    W: Write,
{
    let mut collected = deliver::Collected::default();
    let end = model::run(core, call, completion, trace, &mut collected);
    let reply = match &end {
        model::End::Completed => collected.reply(completion.chat),
        model::End::Failed(problem) => problem.clone().into(),
        model::End::CallerDisconnected => return end,
    };
    match deliver::whole(&mut out, call.request, &reply, core.is_leaving()) {
        Ok(()) => end,
        Err(_) => model::End::CallerDisconnected,
    }
}

/// Returns the problem of a request that the admission refused.
pub fn refused(refusal: Refusal) -> Problem {
    let (title, detail, wait) = match refusal {
        Refusal::TooLate(wait) => ("too late", "the deadline of its class cannot be met", wait),
        Refusal::Full(wait) => ("queue full", "too many requests wait", wait),
    };
    Problem::not_run(503, title, detail).retry_after(wait)
}

fn write<C, P>(core: &Core<C, P>, request: Request, id: uuid::Uuid, reply: &Reply)
where
    C: Clock + Clone,
    P: Log + List,
{
    let mut out = request.into_writer();
    if let Err(cause) = deliver::whole(&mut out, id, reply, core.is_leaving()) {
        log::debug!(request:% = id, cause:% = cause; "caller disconnected");
    }
}

/// Writes a full response to a request that belongs to no call.
pub fn write_reply(request: Request, reply: &Reply) {
    let mut out = request.into_writer();
    let _ = deliver::whole(&mut out, uuid::Uuid::now_v7(), reply, false);
}

/// Refuses a request on the calling thread.
pub fn refuse(request: Request, problem: Problem) {
    write_reply(request, &problem.into());
}
