//! Decides where a one-time call runs.
//!
//! Hosts, log and upstreams are reached through [`Environment`].

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use uuid::Uuid;

use crate::fold::claims::Claim;
use crate::fold::claims::Held;
use crate::id::AccountId;
use crate::id::Fingerprint;
use crate::id::Incarnation;
use crate::inherit::CallOutcome;
use crate::inherit::Inherited;
use crate::problem::Outcome;
use crate::problem::Problem;
use crate::wire::Reply;

use super::CallName;
use super::Ledger;
use super::Ticket;
use super::claim;
use super::ledger::Start;
use super::ticket;

/// Time after which a caller may retry when the log does not take claims.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Time after which a caller may retry when the same call still runs or the ledger is full.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Key or ticket of a one-time call, as the caller sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OneTimeKey {
    /// An idempotency key, which has to be claimed.
    Key(Uuid),
    /// A ticket.
    Ticket(Ticket),
}

/// Properties of a one-time call that decide where it runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OneTimeCall {
    /// Account and service, within which keys and tickets are valid.
    pub scope: AccountId,
    /// Digest of the content.
    pub digest: Fingerprint,
}

/// Access to the rest of the process, to the log, to other hosts and to upstreams.
pub trait Environment {
    /// Returns the incarnation of this process.
    fn incarnation(&self) -> Incarnation;

    /// Returns the current time.
    fn now(&self) -> Instant;

    /// Returns the ledger of this process.
    fn ledger(&self) -> &Ledger;

    /// Returns the calls of processes that have left.
    fn inherited(&self) -> &Inherited;

    /// Returns the maximum wait for another request that runs the same call.
    fn same_call_timeout(&self) -> Duration;

    /// Checks that the log keeps a key's claim for as long as the key is accepted.
    fn check_key(&self, key: Uuid) -> Result<(), claim::KeyError>;

    /// Checks a ticket of this process.
    fn check_ticket(&self, ticket: &Ticket, scope: &str) -> Result<(), ticket::Fault>;

    /// Claims a key and returns its holder.
    fn claim(&mut self, claim: Claim) -> Result<Held, claim::Failure>;

    /// Has another process run the call, or return its response if it ran before.
    fn relay(&mut self, to: Incarnation, hint: Option<SocketAddr>, key: OneTimeKey) -> Reply;

    /// Sends the call to an upstream, once only.
    fn execute(&mut self) -> Reply;
}

/// Runs a call in the process that may run it, or returns the response of its earlier run.
///
/// Returns the outcome `not-run` only if no earlier run under the same key or ticket is possible.
pub fn run<R>(environment: &mut R, call: &OneTimeCall, key: OneTimeKey) -> Reply
where
    R: Environment,
{
    match key {
        OneTimeKey::Key(key) => run_key(environment, call, key),
        OneTimeKey::Ticket(ticket) => run_ticket(environment, call, ticket),
    }
}

fn run_key<R>(environment: &mut R, call: &OneTimeCall, key: Uuid) -> Reply
where
    R: Environment,
{
    if let Err(fault) = environment.check_key(key) {
        return key_refused(fault).into();
    }
    let claim = Claim {
        account: call.scope.clone(),
        key,
        digest: call.digest,
    };
    let held = match environment.claim(claim) {
        Ok(held) => held,
        Err(failure) => return claim_failed(failure).into(),
    };
    if held.digest != call.digest {
        return content_mismatch().into();
    }
    if held.incarnation == environment.incarnation() {
        return run_own(environment, call, CallName::Key(key));
    }
    let name = CallName::Key(key);
    let outcome =
        environment
            .inherited()
            .outcome_of_call(held.incarnation, &call.scope, name, call.digest);
    inherited_reply(outcome).unwrap_or_else(|| {
        environment.relay(held.incarnation, Some(held.peer), OneTimeKey::Key(key))
    })
}

fn run_ticket<R>(environment: &mut R, call: &OneTimeCall, ticket: Ticket) -> Reply
where
    R: Environment,
{
    if ticket.incarnation == environment.incarnation() {
        return match environment.check_ticket(&ticket, &call.scope) {
            Ok(()) => run_own(environment, call, CallName::Ticket(ticket.number)),
            Err(fault) => ticket_refused(fault).into(),
        };
    }
    let outcome = environment
        .inherited()
        .outcome_of_ticket(&ticket, &call.scope, call.digest);
    inherited_reply(outcome)
        .unwrap_or_else(|| environment.relay(ticket.incarnation, None, OneTimeKey::Ticket(ticket)))
}

/// Runs a call that only this process may run, or returns its outcome if it was run before.
pub fn run_own<R>(environment: &mut R, call: &OneTimeCall, name: CallName) -> Reply
where
    R: Environment,
{
    let (wait, now) = (environment.same_call_timeout(), environment.now());
    let start = environment
        .ledger()
        .start(&call.scope, name, call.digest, wait, now);
    match start {
        Start::Run => execute(environment, call, name),
        Start::Response(reply) => reply,
        Start::ResponseDropped => response_dropped().into(),
        Start::ContentMismatch => content_mismatch().into(),
        Start::StillRunning => {
            let problem = Problem::unknown("the same call still runs");
            let problem = Problem {
                status: 409,
                ..problem
            };
            problem.retry_after(BUSY_RETRY_AFTER).into()
        }
        Start::Full => {
            let detail = "this host starts no further one-time calls";
            let problem = Problem::not_run(503, "no room", detail);
            problem.retry_after(BUSY_RETRY_AFTER).into()
        }
    }
}

fn execute<R>(environment: &mut R, call: &OneTimeCall, name: CallName) -> Reply
where
    R: Environment,
{
    let mut guard = Guard {
        environment,
        call,
        name,
        reply: None,
    };
    let reply = guard.environment.execute();
    guard.reply = Some(reply.clone());
    reply
}

/// Records the outcome of a call in the ledger when dropped, so also if its thread panics.
struct Guard<'a, R>
where
    R: Environment,
{
    environment: &'a mut R,
    call: &'a OneTimeCall,
    name: CallName,
    reply: Option<Reply>,
}

impl<R> Drop for Guard<'_, R>
where
    R: Environment,
{
    fn drop(&mut self) {
        let ledger = self.environment.ledger();
        match self.reply.take() {
            Some(reply) if reply.outcome == Outcome::NotRun => {
                ledger.abandon(&self.call.scope, self.name);
            }
            Some(reply) => ledger.finish(&self.call.scope, self.name, reply),
            None => {
                let reply = Problem::unknown("the host failed while it ran the call").into();
                ledger.finish(&self.call.scope, self.name, reply);
            }
        }
    }
}

fn key_refused(fault: claim::KeyError) -> Problem {
    let problem = Problem::not_run(400, "key refused", fault.to_string());
    let outcome = match fault {
        claim::KeyError::Old => Outcome::Unknown,
        claim::KeyError::Form | claim::KeyError::New => Outcome::NotRun,
    };
    Problem { outcome, ..problem }
}

/// Returns the problem of a failed claim.
///
/// An earlier attempt with the same key may have run on another host, so the outcome is unknown
/// instead of `not-run`.
fn claim_failed(failure: claim::Failure) -> Problem {
    let problem = Problem::not_run(503, "no claim", failure.to_string());
    let outcome = Outcome::Unknown;
    Problem { outcome, ..problem }.retry_after(CLAIM_RETRY_AFTER)
}

fn ticket_refused(fault: ticket::Fault) -> Problem {
    let problem = Problem::not_run(403, "ticket refused", fault.to_string());
    let outcome = match fault {
        ticket::Fault::Expired => Outcome::Unknown,
        ticket::Fault::Form | ticket::Fault::Code => Outcome::NotRun,
    };
    Problem { outcome, ..problem }
}

fn inherited_reply(outcome: CallOutcome) -> Option<Reply> {
    match outcome {
        CallOutcome::Unknown => None,
        CallOutcome::Response(reply) => Some(reply),
        CallOutcome::ResponseDropped => Some(response_dropped().into()),
        CallOutcome::ContentMismatch => Some(content_mismatch().into()),
        CallOutcome::NotRun => {
            let detail = "the host that could have run it has left without running it";
            Some(Problem::not_run(410, "right void", detail).into())
        }
    }
}

fn response_dropped() -> Problem {
    Problem {
        status: 409,
        ..Problem::ran("the call ran; its answer is no longer kept")
    }
}

fn content_mismatch() -> Problem {
    let detail = "the key or ticket was used for a call with other content";
    Problem::not_run(422, "other content", detail)
}
