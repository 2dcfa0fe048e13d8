//! Claims on idempotency keys, which decide the process that may run a one-time call.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

use super::Fold;
use crate::id::AccountId;
use crate::id::Fingerprint;
use crate::id::Incarnation;
use crate::id::Offset;

/// Returns the name of the stream of `shard`.
///
/// ```
/// assert_eq!(pistachiohall::fold::claims::stream(3), "claims.3");
/// ```
pub fn stream(shard: u16) -> String {
    format!("claims.{shard}")
}

/// Returns the shard that a key belongs to, out of `shards`.
pub fn shard(key: Uuid, shards: u16) -> u16 {
    (key.as_u128() % u128::from(shards.max(1))) as u16
}

/// A claim on one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Account that the key belongs to.
    pub account: AccountId,
    /// Idempotency key of the caller.
    pub key: Uuid,
    /// Digest of the call's content.
    pub digest: Fingerprint,
}

/// A record of the stream, with the claims of one append.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Process that claims the keys.
    pub incarnation: Incarnation,
    /// Address at which its peers reach it.
    pub peer: SocketAddr,
    /// The claims.
    pub claims: Vec<Claim>,
}

/// The valid claim on a key, which is the first one in the stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// Offset of its record.
    pub offset: Offset,
    /// Process that may run the call.
    pub incarnation: Incarnation,
    /// Address at which its peers reach it.
    pub peer: SocketAddr,
    /// Digest of the call's content.
    pub digest: Fingerprint,
}

/// Valid claims of one shard.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Claims {
    held: HashMap<Uuid, Vec<(AccountId, Held)>>,
}

impl Claims {
    /// Returns the valid claim on an account's key.
    pub fn get(&self, account: &str, key: Uuid) -> Option<&Held> {
        self.held
            .get(&key)?
            .iter()
            .find(|(other, _)| other == account)
            .map(|(_, held)| held)
    }

    /// Returns the number of keys held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns `true` if no key is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

impl Fold for Claims {
    type Record = Record;

    const NEEDS_SNAPSHOT: bool = false;

    fn fold(&mut self, offset: Offset, record: &Record) {
        for claim in &record.claims {
            if self.get(&claim.account, claim.key).is_some() {
                continue;
            }
            let held = Held {
                offset,
                incarnation: record.incarnation,
                peer: record.peer,
                digest: claim.digest,
            };
            let holders = self.held.entry(claim.key).or_default();
            holders.push((claim.account.clone(), held));
        }
    }

    fn snapshot(_record: &Record) -> Option<(Offset, Claims)> {
        None
    }

    fn forget(&mut self, first: Offset) {
        self.held.retain(|_, holders| {
            holders.retain(|(_, held)| held.offset >= first);
            !holders.is_empty()
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn record(incarnation: u128, account: &str, key: u128) -> Record {
        Record {
            incarnation: Uuid::from_u128(incarnation),
            peer: "127.0.0.1:1".parse().unwrap(),
            claims: vec![Claim {
                account: account.into(),
                key: Uuid::from_u128(key),
                digest: 0,
            }],
        }
    }

    #[test]
    fn the_first_claim_wins_and_accounts_do_not_share_keys() {
        let mut claims = Claims::default();
        claims.fold(0, &record(1, "a", 7));
        claims.fold(1, &record(2, "a", 7));
        claims.fold(2, &record(3, "b", 7));
        let holder = |account| claims.get(account, Uuid::from_u128(7)).unwrap().incarnation;
        assert_eq!(holder("a"), Uuid::from_u128(1));
        assert_eq!(holder("b"), Uuid::from_u128(3));
    }
}
