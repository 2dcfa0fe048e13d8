//! Claims on callers' keys, many to one append.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel;
use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use log::debug;
use log::warn;
use thiserror::Error;
use uuid::Uuid;

use crate::clock;
use crate::clock::Clock;
use crate::fold::claims;
use crate::fold::claims::Claim;
use crate::fold::claims::Claims;
use crate::fold::claims::Held;
use crate::id::AccountId;
use crate::id::Incarnation;
use crate::log::AppendError;
use crate::log::Log;
use crate::replay::Replica;

/// Claims that wait for the writer of a shard.
const RING: usize = 1024;
/// Most claims in one append.
const MOST_IN_APPEND: usize = 256;
/// Allowance for clocks that differ.
pub const SKEW: Duration = Duration::from_secs(300);

/// Why a key cannot be claimed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The key carries no time.
    #[error("the idempotency key is no UUIDv7")]
    Form,
    /// The key's own record could be gone from the log, with a run that it stands for.
    #[error("the idempotency key is older than what the log keeps")]
    Old,
    /// The key would be accepted after its own record is gone from the log.
    #[error("the time in the idempotency key lies in the future")]
    New,
}

/// Why there is no verdict on a claim. The call has not run for it.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Failure {
    /// The log did not take the claim.
    #[error("the platform's log does not take the claim")]
    Refused,
    /// The claim was not read back in time.
    #[error("the claim was not read back from the platform's log in time")]
    TimedOut,
    /// Too many claims wait.
    #[error("too many claims wait for the platform's log")]
    Full,
}

/// Checks that a key's own record cannot be gone from the log while the key is accepted.
///
/// ```
/// use std::time::Duration;
/// use pistachiohall::clock::Real;
/// use pistachiohall::once::claim;
/// let day = Duration::from_secs(86_400);
/// assert!(claim::check_key(uuid::Uuid::now_v7(), day, &Real).is_ok());
/// assert_eq!(claim::check_key(uuid::Uuid::new_v4(), day, &Real), Err(claim::KeyError::Form));
/// ```
pub fn check_key<C>(key: Uuid, retention: Duration, clock: &C) -> Result<(), KeyError>
where
    C: Clock,
{
    if key.get_version_num() != 7 {
        return Err(KeyError::Form);
    }
    let (seconds, nanos) = key.get_timestamp().ok_or(KeyError::Form)?.to_unix();
    let made_ms = u128::from(seconds) * 1000 + u128::from(nanos / 1_000_000);
    let now_ms = u128::from(clock::wall_ms(clock));
    let window = retention.saturating_sub(SKEW * 2);
    if made_ms + window.as_millis() < now_ms {
        return Err(KeyError::Old);
    }
    match made_ms > now_ms + SKEW.as_millis() {
        true => Err(KeyError::New),
        false => Ok(()),
    }
}

#[derive(Debug)]
struct Submitted {
    claim: Claim,
    refused: Sender<()>,
}

/// A claim that waits for its verdict.
#[derive(Debug)]
pub struct Pending {
    account: AccountId,
    key: Uuid,
    is_refused: Receiver<()>,
}

impl Pending {
    /// Returns who holds the key, or the failure, once either is known.
    pub fn verdict(&self, state: &Claims) -> Option<Result<Held, Failure>> {
        if let Some(held) = state.get(&self.account, self.key) {
            return Some(Ok(held.clone()));
        }
        let is_refused = self.is_refused.try_recv().is_ok();
        is_refused.then_some(Err(Failure::Refused))
    }
}

/// Claims keys in one shard.
#[derive(Debug)]
pub struct Queue {
    replica: Arc<Replica<Claims>>,
    submit: Sender<Submitted>,
    submitted: Receiver<Submitted>,
}

impl Queue {
    /// Returns the desk of `shard`.
    ///
    /// ```
    /// let desk = pistachiohall::once::claim::Queue::new(0);
    /// assert_eq!(desk.replica().stream(), "claims.0");
    /// ```
    pub fn new(shard: u16) -> Self {
        let (submit, submitted) = channel::bounded(RING);
        Queue {
            replica: Arc::new(Replica::new(&claims::stream(shard))),
            submit,
            submitted,
        }
    }

    /// Returns the replica that the claims are read back from.
    pub fn replica(&self) -> &Arc<Replica<Claims>> {
        &self.replica
    }

    /// Claims a key and returns who holds it, which may be another process.
    pub fn claim(&self, claim: Claim, limit: Duration) -> Result<Held, Failure> {
        let pending = self.submit(claim)?;
        self.replica
            .wait_for(limit, |state| pending.verdict(state))
            .unwrap_or(Err(Failure::TimedOut))
    }

    /// Puts a claim before the writer, unless the key is held already.
    pub fn submit(&self, claim: Claim) -> Result<Pending, Failure> {
        let (refused, is_refused) = channel::bounded(1);
        let pending = Pending {
            account: claim.account.clone(),
            key: claim.key,
            is_refused,
        };
        if self.replica.with(|state| pending.verdict(state)).is_none() {
            self.submit
                .try_send(Submitted { claim, refused })
                .map_err(|_| Failure::Full)?;
        }
        Ok(pending)
    }

    /// Writes one append for all claims that wait; returns how many there were.
    ///
    /// Waits up to `wait` for a first one.
    pub fn write_once<L>(&self, log: &L, from: Writer, wait: Duration) -> usize
    where
        L: Log,
    {
        let Ok(first) = self.submitted.recv_timeout(wait) else {
            return 0;
        };
        let most = from.max_in_append.clamp(1, MOST_IN_APPEND);
        let rest = self.submitted.try_iter().take(most - 1);
        let group: Vec<Submitted> = std::iter::once(first).chain(rest).collect();
        let record = claims::Record {
            incarnation: from.incarnation,
            peer: from.peer,
            claims: group.iter().map(|one| one.claim.clone()).collect(),
        };
        let data = serde_json::to_value(&record).expect("claims are JSON");
        match log.append(self.replica.stream(), &data) {
            Ok(_) | Err(AppendError::Unknown(_)) => {}
            Err(AppendError::Refused(cause)) => {
                warn!(stream:% = self.replica.stream(), cause:% = cause; "append refused");
                for one in &group {
                    if one.refused.send(()).is_err() {
                        debug!(claim:? = one.claim; "the call of a refused claim has ended");
                    }
                }
                self.replica.nudge();
            }
        }
        group.len()
    }
}

/// Who writes claims, and how many go into one append.
#[derive(Debug, Clone, Copy)]
pub struct Writer {
    /// Process that claims.
    pub incarnation: Incarnation,
    /// Where its peers reach it.
    pub peer: SocketAddr,
    /// Most claims in one append; 1 turns grouping off.
    pub max_in_append: usize,
}

impl Writer {
    /// Returns a writer that groups as many claims as one append takes.
    pub fn grouping(incarnation: Incarnation, peer: SocketAddr) -> Self {
        Writer {
            incarnation,
            peer,
            max_in_append: MOST_IN_APPEND,
        }
    }
}
