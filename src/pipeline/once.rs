//! Runs calls of plain services that may run at most once.

use std::time::Duration;

use crate::clock::Clock;
use crate::core::Core;
use crate::fold::claims::Claim;
use crate::fold::claims::Held;
use crate::inherit::Said;
use crate::once::Name;
use crate::once::Ticket;
use crate::once::claim;
use crate::once::ledger::Start;
use crate::platform::List;
use crate::platform::Log;
use crate::problem::Outcome;
use crate::problem::Problem;
use crate::wire::Reply;

use super::Call;
use super::account::Course;
use super::call::Right;
use super::forward;

/// Longest wait for a claim to be read back from the log.
const CLAIM_WAIT: Duration = Duration::from_secs(3);
/// Time after which a caller may do better when the log does not take claims.
const CLAIM_RETRY: Duration = Duration::from_secs(2);
/// Longest wait for another request that runs the same call.
const SAME_CALL_WAIT: Duration = Duration::from_secs(5);

/// Runs a call in the name of its right, wherever it may be run.
pub fn run<C, P>(core: &Core<C, P>, call: &Call, right: Right, course: &mut Course) -> Reply
where
    C: Clock + Clone,
    P: Log + List,
{
    match right {
        Right::Key(key) => run_key(core, call, key, course),
        Right::Ticket(ticket) => run_ticket(core, call, &ticket, course),
    }
}

fn run_key<C, P>(core: &Core<C, P>, call: &Call, key: uuid::Uuid, course: &mut Course) -> Reply
where
    C: Clock + Clone,
    P: Log + List,
{
    if let Err(fault) = claim::check_key(key, core.settings.retention, &core.clock) {
        return Problem::not_run(400, "key refused", fault.to_string()).into();
    }
    let claim = Claim {
        account: call.scope(),
        key,
        digest: call.digest(),
    };
    let held = match core.desk(key).claim(claim, CLAIM_WAIT) {
        Ok(held) => held,
        Err(failure) => {
            let problem = Problem::not_run(503, "no claim", failure.to_string());
            return problem.retry_after(CLAIM_RETRY).into();
        }
    };
    if held.digest != call.digest() {
        return other_content().into();
    }
    match held.incarnation == core.incarnation {
        true => run_own(core, call, Name::Key(key), course),
        false => ask_holder(core, call, &held, key),
    }
}

fn ask_holder<C, P>(core: &Core<C, P>, call: &Call, held: &Held, key: uuid::Uuid) -> Reply
where
    C: Clock + Clone,
    P: Log + List,
{
    let name = Name::Key(key);
    let scope = call.scope();
    let said = core
        .inherited
        .of_key(held.incarnation, &scope, name, call.digest());
    if let Some(reply) = reply_of(said) {
        return reply;
    }
    let peer = core.members.peer_of(held.incarnation).unwrap_or(held.peer);
    relay(core, call, held.incarnation, name, peer)
}

fn run_ticket<C, P>(core: &Core<C, P>, call: &Call, ticket: &Ticket, course: &mut Course) -> Reply
where
    C: Clock + Clone,
    P: Log + List,
{
    let scope = call.scope();
    if ticket.incarnation == core.incarnation {
        if let Err(fault) = core.issuer.check(ticket, &scope, core.clock.now()) {
            return Problem::not_run(403, "ticket refused", fault.to_string()).into();
        }
        return run_own(core, call, Name::Ticket(ticket.number), course);
    }
    let said = core.inherited.of_ticket(ticket, &scope, call.digest());
    if let Some(reply) = reply_of(said) {
        return reply;
    }
    match core.members.peer_of(ticket.incarnation) {
        Some(peer) => relay_ticket(core, call, ticket, peer),
        None => Problem::unknown("the host that issued the ticket is not reached").into(),
    }
}

fn relay_ticket<C, P>(
    core: &Core<C, P>,
    call: &Call,
    ticket: &Ticket,
    peer: std::net::SocketAddr,
) -> Reply
where
    C: Clock + Clone,
    P: Log + List,
{
    match core.peers.get() {
        Some(peers) => peers.relay_ticket(peer, call, ticket, call.class.deadline),
        None => Problem::unknown("peers are not reached yet").into(),
    }
}

fn relay<C, P>(
    core: &Core<C, P>,
    call: &Call,
    incarnation: crate::id::Incarnation,
    name: Name,
    peer: std::net::SocketAddr,
) -> Reply
where
    C: Clock + Clone,
    P: Log + List,
{
    match core.peers.get() {
        Some(peers) => peers.relay(peer, call, incarnation, name, call.class.deadline),
        None => Problem::unknown("peers are not reached yet").into(),
    }
}

fn reply_of(said: Said) -> Option<Reply> {
    match said {
        Said::Nothing => None,
        Said::Answered(reply) => Some(reply),
        Said::AnswerDropped => Some(answer_dropped().into()),
        Said::OtherContent => Some(other_content().into()),
        Said::NotRun => {
            let detail = "the host that could have run it has left without running it";
            Some(Problem::not_run(410, "right void", detail).into())
        }
    }
}

/// Runs a call that only this process may run, or returns what became of it.
pub fn run_own<C, P>(core: &Core<C, P>, call: &Call, name: Name, course: &mut Course) -> Reply
where
    C: Clock + Clone,
    P: Log + List,
{
    let scope = call.scope();
    let now = core.clock.now();
    match core
        .ledger
        .start(&scope, name, call.digest(), SAME_CALL_WAIT, now)
    {
        Start::Run => {
            let guard = Guard {
                core,
                scope: &scope,
                name,
                reply: None,
            };
            run_guarded(guard, call, course)
        }
        Start::Answered(reply) => reply,
        Start::AnswerDropped => answer_dropped().into(),
        Start::OtherContent => other_content().into(),
        Start::StillRuns => {
            let problem = Problem::unknown("the same call still runs");
            Problem {
                status: 409,
                ..problem
            }
            .retry_after(SAME_CALL_WAIT)
            .into()
        }
        Start::Full => {
            let detail = "this host starts no further one-time calls";
            let problem = Problem::not_run(503, "no room", detail);
            problem.retry_after(SAME_CALL_WAIT).into()
        }
    }
}

fn run_guarded<C, P>(mut guard: Guard<'_, C, P>, call: &Call, course: &mut Course) -> Reply
where
    C: Clock + Clone,
    P: Log + List,
{
    let core = guard.core;
    let reply = match core.gate.enter(&call.service.name, call.demand()) {
        Ok(_permit) => forward::plain(core, call, course),
        Err(refusal) => super::refused(refusal).into(),
    };
    guard.reply = Some(reply.clone());
    reply
}

/// Writes down what became of a call, also if its thread panics.
struct Guard<'a, C, P>
where
    C: Clock + Clone,
    P: Log + List,
{
    core: &'a Core<C, P>,
    scope: &'a str,
    name: Name,
    reply: Option<Reply>,
}

impl<C, P> Drop for Guard<'_, C, P>
where
    C: Clock + Clone,
    P: Log + List,
{
    fn drop(&mut self) {
        match self.reply.take() {
            Some(reply) if reply.outcome == Outcome::NotRun => {
                self.core.ledger.abandon(self.scope, self.name);
            }
            Some(reply) => self.core.ledger.finish(self.scope, self.name, reply),
            None => {
                let reply = Problem::unknown("the host failed while it ran the call").into();
                self.core.ledger.finish(self.scope, self.name, reply);
            }
        }
    }
}

fn answer_dropped() -> Problem {
    Problem {
        status: 409,
        ..Problem::ran("the call ran; its answer is no longer kept")
    }
}

fn other_content() -> Problem {
    let detail = "the key or ticket was used for a call with other content";
    Problem::not_run(422, "other content", detail)
}
