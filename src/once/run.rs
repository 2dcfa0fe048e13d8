//! The decisions on a one-time call, apart from how hosts, log and upstreams are reached.

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

/// Time after which a caller may do better when the log does not take claims.
const CLAIM_RETRY: Duration = Duration::from_secs(2);
/// Time after which a caller may do better when the same call still runs.
const BUSY_RETRY: Duration = Duration::from_secs(5);

/// What names a one-time call, as the caller sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OneTimeKey {
    /// An idempotency key to be claimed.
    Key(Uuid),
    /// A ticket.
    Ticket(Ticket),
}

/// A one-time call, as far as the decisions need it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OneTimeCall {
    /// Account with its service.
    pub scope: AccountId,
    /// Digest of the content.
    pub digest: Fingerprint,
}

/// How the decisions reach the rest of the process and the world.
pub trait Environment {
    /// Returns the life of the own process.
    fn incarnation(&self) -> Incarnation;

    /// Returns the time.
    fn now(&self) -> Instant;

    /// Returns what the own process has run.
    fn ledger(&self) -> &Ledger;

    /// Returns what processes that left have run.
    fn inherited(&self) -> &Inherited;

    /// Returns how long to wait for another request that runs the same call.
    fn patience(&self) -> Duration;

    /// Checks that a key's record cannot be gone while the key is accepted.
    fn check_key(&self, key: Uuid) -> Result<(), claim::KeyError>;

    /// Checks a ticket of the own process.
    fn check_ticket(&self, ticket: &Ticket, scope: &str) -> Result<(), ticket::Fault>;

    /// Claims a key and returns who holds it.
    fn claim(&mut self, claim: Claim) -> Result<Held, claim::Failure>;

    /// Has another process run the call or repeat its answer.
    fn relay(&mut self, to: Incarnation, hint: Option<SocketAddr>, right: OneTimeKey) -> Reply;

    /// Sends the call to an upstream, once.
    fn execute(&mut self) -> Reply;
}

/// Runs a call in the name of its right, wherever it may be run.
///
/// `not-run` is said only where no run of the same name can have come before.
pub fn run<R>(reach: &mut R, matter: &OneTimeCall, right: OneTimeKey) -> Reply
where
    R: Environment,
{
    match right {
        OneTimeKey::Key(key) => run_key(reach, matter, key),
        OneTimeKey::Ticket(ticket) => run_ticket(reach, matter, ticket),
    }
}

fn run_key<R>(reach: &mut R, matter: &OneTimeCall, key: Uuid) -> Reply
where
    R: Environment,
{
    if let Err(fault) = reach.check_key(key) {
        return key_refused(fault).into();
    }
    let claim = Claim {
        account: matter.scope.clone(),
        key,
        digest: matter.digest,
    };
    let held = match reach.claim(claim) {
        Ok(held) => held,
        Err(failure) => return no_claim(failure).into(),
    };
    if held.digest != matter.digest {
        return other_content().into();
    }
    if held.incarnation == reach.incarnation() {
        return run_own(reach, matter, CallName::Key(key));
    }
    let name = CallName::Key(key);
    let said = reach
        .inherited()
        .of_key(held.incarnation, &matter.scope, name, matter.digest);
    reply_of(said)
        .unwrap_or_else(|| reach.relay(held.incarnation, Some(held.peer), OneTimeKey::Key(key)))
}

fn run_ticket<R>(reach: &mut R, matter: &OneTimeCall, ticket: Ticket) -> Reply
where
    R: Environment,
{
    if ticket.incarnation == reach.incarnation() {
        return match reach.check_ticket(&ticket, &matter.scope) {
            Ok(()) => run_own(reach, matter, CallName::Ticket(ticket.number)),
            Err(fault) => ticket_refused(fault).into(),
        };
    }
    let said = reach
        .inherited()
        .of_ticket(&ticket, &matter.scope, matter.digest);
    reply_of(said)
        .unwrap_or_else(|| reach.relay(ticket.incarnation, None, OneTimeKey::Ticket(ticket)))
}

/// Runs a call that only the own process may run, or returns what became of it.
pub fn run_own<R>(reach: &mut R, matter: &OneTimeCall, name: CallName) -> Reply
where
    R: Environment,
{
    let (patience, now) = (reach.patience(), reach.now());
    let start = reach
        .ledger()
        .start(&matter.scope, name, matter.digest, patience, now);
    match start {
        Start::Run => execute(reach, matter, name),
        Start::Answered(reply) => reply,
        Start::AnswerDropped => answer_dropped().into(),
        Start::OtherContent => other_content().into(),
        Start::StillRuns => {
            let problem = Problem::unknown("the same call still runs");
            let problem = Problem {
                status: 409,
                ..problem
            };
            problem.retry_after(BUSY_RETRY).into()
        }
        Start::Full => {
            let detail = "this host starts no further one-time calls";
            let problem = Problem::not_run(503, "no room", detail);
            problem.retry_after(BUSY_RETRY).into()
        }
    }
}

fn execute<R>(reach: &mut R, matter: &OneTimeCall, name: CallName) -> Reply
where
    R: Environment,
{
    let mut guard = Guard {
        reach,
        matter,
        name,
        reply: None,
    };
    let reply = guard.reach.execute();
    guard.reply = Some(reply.clone());
    reply
}

/// Writes down what became of a call, also if its thread panics.
struct Guard<'a, R>
where
    R: Environment,
{
    reach: &'a mut R,
    matter: &'a OneTimeCall,
    name: CallName,
    reply: Option<Reply>,
}

impl<R> Drop for Guard<'_, R>
where
    R: Environment,
{
    fn drop(&mut self) {
        let ledger = self.reach.ledger();
        match self.reply.take() {
            Some(reply) if reply.outcome == Outcome::NotRun => {
                ledger.abandon(&self.matter.scope, self.name);
            }
            Some(reply) => ledger.finish(&self.matter.scope, self.name, reply),
            None => {
                let reply = Problem::unknown("the host failed while it ran the call").into();
                ledger.finish(&self.matter.scope, self.name, reply);
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

/// An earlier try with the same key may have run on another host, so this is not `not-run`.
fn no_claim(failure: claim::Failure) -> Problem {
    let problem = Problem::not_run(503, "no claim", failure.to_string());
    let outcome = Outcome::Unknown;
    Problem { outcome, ..problem }.retry_after(CLAIM_RETRY)
}

fn ticket_refused(fault: ticket::Fault) -> Problem {
    let problem = Problem::not_run(403, "ticket refused", fault.to_string());
    let outcome = match fault {
        ticket::Fault::Expired => Outcome::Unknown,
        ticket::Fault::Form | ticket::Fault::Code => Outcome::NotRun,
    };
    Problem { outcome, ..problem }
}

fn reply_of(said: CallOutcome) -> Option<Reply> {
    match said {
        CallOutcome::Nothing => None,
        CallOutcome::Answered(reply) => Some(reply),
        CallOutcome::AnswerDropped => Some(answer_dropped().into()),
        CallOutcome::OtherContent => Some(other_content().into()),
        CallOutcome::NotRun => {
            let detail = "the host that could have run it has left without running it";
            Some(Problem::not_run(410, "right void", detail).into())
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
