//! Runs calls of plain services that may run at most once.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use uuid::Uuid;

use crate::clock::Clock;
use crate::core::Core;
use crate::fold::claims::Claim;
use crate::fold::claims::Held;
use crate::id::Incarnation;
use crate::inherit::Inherited;
use crate::log::List;
use crate::log::Log;
use crate::once::CallName;
use crate::once::Ledger;
use crate::once::Ticket;
use crate::once::claim;
use crate::once::run;
use crate::once::run::Environment;
use crate::once::run::OneTimeCall;
use crate::once::run::OneTimeKey;
use crate::once::ticket;
use crate::problem::Problem;
use crate::wire::Reply;

use super::Call;
use super::account::Trace;
use super::forward;

/// Maximum wait for a claim to be read back from the log.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum wait for another request that runs the same call.
const SAME_CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs a call under its key or ticket, on the host that may run it.
pub fn run<C, P>(
    core: &Core<C, P>,
    call: &Call,
    one_time_key: OneTimeKey,
    trace: &mut Trace,
) -> Reply
where
    C: Clock + Clone,
    P: Log + List,
{
    let one_time_call = one_time_call(call);
    run::run(
        &mut CallEnvironment { core, call, trace },
        &one_time_call,
        one_time_key,
    )
}

/// Runs a call that only this process may run, or returns its outcome if it has run.
pub fn run_own<C, P>(core: &Core<C, P>, call: &Call, name: CallName, trace: &mut Trace) -> Reply
where
    C: Clock + Clone,
    P: Log + List,
{
    let one_time_call = one_time_call(call);
    run::run_own(
        &mut CallEnvironment { core, call, trace },
        &one_time_call,
        name,
    )
}

fn one_time_call(call: &Call) -> OneTimeCall {
    OneTimeCall {
        scope: call.scope(),
        digest: call.digest(),
    }
}

/// Environment of a one-time call in an entry process.
struct CallEnvironment<'a, C, P>
where
    C: Clock,
{
    core: &'a Core<C, P>,
    call: &'a Call,
    trace: &'a mut Trace,
}

impl<C, P> Environment for CallEnvironment<'_, C, P>
where
    C: Clock + Clone,
    P: Log + List,
{
    fn incarnation(&self) -> Incarnation {
        self.core.incarnation
    }

    fn now(&self) -> Instant {
        self.core.clock.now()
    }

    fn ledger(&self) -> &Ledger {
        &self.core.ledger
    }

    fn inherited(&self) -> &Inherited {
        &self.core.inherited
    }

    fn same_call_timeout(&self) -> Duration {
        SAME_CALL_TIMEOUT
    }

    fn check_key(&self, key: Uuid) -> Result<(), claim::KeyError> {
        claim::check_key(key, self.core.settings.retention, &self.core.clock)
    }

    fn check_ticket(&self, ticket: &Ticket, scope: &str) -> Result<(), ticket::Fault> {
        self.core.issuer.check(ticket, scope, self.now())
    }

    fn claim(&mut self, claim: Claim) -> Result<Held, claim::Failure> {
        self.core.claim_queue(claim.key).claim(claim, CLAIM_TIMEOUT)
    }

    fn relay(
        &mut self,
        to: Incarnation,
        hint: Option<SocketAddr>,
        one_time_key: OneTimeKey,
    ) -> Reply {
        let address = self.core.members.peer_of(to).or(hint);
        let (Some(peers), Some(peer)) = (self.core.peers.get(), address) else {
            return Problem::unknown("the host that may run the call is not reached").into();
        };
        peers.relay(peer, self.call, to, one_time_key, self.call.class.deadline)
    }

    fn execute(&mut self) -> Reply {
        let (core, call) = (self.core, self.call);
        match core.gate.enter(&call.service.name, call.demand()) {
            Ok(_permit) => forward::plain(core, call, self.trace),
            Err(refusal) => super::refused(refusal).into(),
        }
    }
}
