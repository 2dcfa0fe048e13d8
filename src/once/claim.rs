//! Claims callers' idempotency keys in the platform's log, many claims per append.

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

/// Maximum number of claims that wait for the writer of a shard.
const MAX_WAITING_CLAIMS: usize = 1024;
/// Maximum number of claims in one append.
const MAX_CLAIMS_IN_APPEND: usize = 256;
/// Maximum difference between the clocks of hosts and callers that is allowed for.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(300);

/// Reason for refusing an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum KeyError {
    /// The key is not a UUIDv7, so it carries no time.
    #[error("the idempotency key is no UUIDv7")]
    Form,
    /// The key is so old that the log may no longer keep its claim, though the call ran.
    #[error("the idempotency key is older than what the log keeps")]
    Old,
    /// The key's time lies in the future: it would be accepted after its claim left the log.
    #[error("the time in the idempotency key lies in the future")]
    New,
}

/// Reason why a claim has no verdict. The call has not run under this claim.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Failure {
    /// The log did not take the claim.
    #[error("the platform's log does not take the claim")]
    Refused,
    /// The claim was not read back in time.
    #[error("the claim was not read back from the platform's log in time")]
    TimedOut,
    /// The queue of waiting claims is full.
    #[error("too many claims wait for the platform's log")]
    Full,
}

/// Checks that the log keeps a key's claim for as long as the key is accepted.
///
/// # Errors
///
/// Returns a [`KeyError`] if the key is not a UUIDv7, is too old or lies in the future.
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
    let created_ms = u128::from(seconds) * 1000 + u128::from(nanos / 1_000_000);
    let now_ms = u128::from(clock::wall_ms(clock));
    let window = retention.saturating_sub(MAX_CLOCK_SKEW * 2);
    if created_ms + window.as_millis() < now_ms {
        return Err(KeyError::Old);
    }
    match created_ms > now_ms + MAX_CLOCK_SKEW.as_millis() {
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
    refusal: Receiver<()>,
}

impl Pending {
    /// Returns the holder of the key, or the failure, once either is known.
    pub fn verdict(&self, state: &Claims) -> Option<Result<Held, Failure>> {
        if let Some(held) = state.get(&self.account, self.key) {
            return Some(Ok(held.clone()));
        }
        let is_refused = self.refusal.try_recv().is_ok();
        is_refused.then_some(Err(Failure::Refused))
    }
}

/// Queue of the claims on keys of one shard.
#[derive(Debug)]
pub struct Queue {
    replica: Arc<Replica<Claims>>,
    sender: Sender<Submitted>,
    receiver: Receiver<Submitted>,
}

impl Queue {
    /// Returns the queue of `shard`.
    ///
    /// ```
    /// let queue = pistachiohall::once::claim::Queue::new(0);
    /// assert_eq!(queue.replica().stream(), "claims.0");
    /// ```
    pub fn new(shard: u16) -> Self {
        let (sender, receiver) = channel::bounded(MAX_WAITING_CLAIMS);
        Queue {
            replica: Arc::new(Replica::new(&claims::stream(shard))),
            sender,
            receiver,
        }
    }

    /// Returns the replica from which claims are read back.
    pub fn replica(&self) -> &Arc<Replica<Claims>> {
        &self.replica
    }

    /// Claims a key and returns its holder, which may be another process.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if no holder is known after `limit`.
    pub fn claim(&self, claim: Claim, limit: Duration) -> Result<Held, Failure> {
        let pending = self.submit(claim)?;
        self.replica
            .wait_for(limit, |state| pending.verdict(state))
            .unwrap_or(Err(Failure::TimedOut))
    }

    /// Queues a claim for the writer, unless the key is held already.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Full`] if too many claims wait.
    pub fn submit(&self, claim: Claim) -> Result<Pending, Failure> {
        let (refused, refusal) = channel::bounded(1);
        let pending = Pending {
            account: claim.account.clone(),
            key: claim.key,
            refusal,
        };
        if self.replica.with(|state| pending.verdict(state)).is_none() {
            self.sender
                .try_send(Submitted { claim, refused })
                .map_err(|_| Failure::Full)?;
        }
        Ok(pending)
    }

    /// Writes the waiting claims in one append and returns their number.
    ///
    /// Waits up to `wait` for the first claim.
    pub fn write_once<L>(&self, log: &L, writer: Writer, wait: Duration) -> usize
    where
        L: Log,
    {
        let Ok(first) = self.receiver.recv_timeout(wait) else {
            return 0;
        };
        let max = writer.max_in_append.clamp(1, MAX_CLAIMS_IN_APPEND);
        let rest = self.receiver.try_iter().take(max - 1);
        let group: Vec<Submitted> = std::iter::once(first).chain(rest).collect();
        let record = claims::Record {
            incarnation: writer.incarnation,
            peer: writer.peer,
            claims: group
                .iter()
                .map(|submitted| submitted.claim.clone())
                .collect(),
        };
        let data = serde_json::to_value(&record).expect("claims are JSON");
        match log.append(self.replica.stream(), &data) {
            Ok(_) | Err(AppendError::Unknown(_)) => {}
            Err(AppendError::Refused(cause)) => {
                warn!(stream:% = self.replica.stream(), cause:% = cause; "append refused");
                for submitted in &group {
                    if submitted.refused.send(()).is_err() {
                        debug!(claim:? = submitted.claim; "the call of a refused claim has ended");
                    }
                }
                self.replica.notify_waiters();
            }
        }
        group.len()
    }
}

/// The process that writes claims, and the size of its appends.
#[derive(Debug, Clone, Copy)]
pub struct Writer {
    /// Process that claims.
    pub incarnation: Incarnation,
    /// Address at which its peers reach it.
    pub peer: SocketAddr,
    /// Maximum number of claims in one append; 1 turns grouping off.
    pub max_in_append: usize,
}

impl Writer {
    /// Returns a writer that puts as many claims as allowed into one append.
    pub fn grouping(incarnation: Incarnation, peer: SocketAddr) -> Self {
        Writer {
            incarnation,
            peer,
            max_in_append: MAX_CLAIMS_IN_APPEND,
        }
    }
}
