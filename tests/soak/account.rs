//! Client accounts: their keys, and what upstreams may see of them.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use pistachiohall::standin::fleet;
use pistachiohall::standin::fleet::replica::ReceivedRequest;
use serde_json::Value;
use serde_json::json;

use super::caller::Call;

/// Seeds from which on requests carry keys, one of which is taken away.
const FIRST_ACCOUNTS: u64 = 8000;
/// Maximum time after a key was taken away for which requests with it may still run.
pub const MAX_REVOCATION: Duration = Duration::from_secs(4);
/// Text that all keys contain, and nothing else.
const KEY_MARK: &str = "k3y-of-";

/// A client account with a key.
#[derive(Debug, PartialEq, Eq)]
pub struct Account {
    name: &'static str,
    key: &'static str,
}

/// Accounts; the first one loses its key.
static ACCOUNTS: [Account; 2] = [
    Account {
        name: "stall",
        key: "Token k3y-of-stall",
    },
    Account {
        name: "market",
        key: "Token k3y-of-market",
    },
];

impl Account {
    /// Returns the fields that its callers send: its key, and the name of the other account.
    pub fn fields(&self) -> [(&'static str, &'static str); 2] {
        let other = match self.is_revoked() {
            true => ACCOUNTS[1].name,
            false => ACCOUNTS[0].name,
        };
        [("Authorization", self.key), ("Pistachiohall-Tenant", other)]
    }

    /// Returns whether its key is taken away in the run.
    pub fn is_revoked(&self) -> bool {
        *self == ACCOUNTS[0]
    }
}

/// Keys that are in force.
#[derive(Debug, Clone, Copy, Default)]
pub enum Keys {
    /// All.
    #[default]
    All,
    /// One was taken away.
    Taken {
        /// When that began.
        from: Instant,
        /// When the store had acknowledged it.
        until: Option<Instant>,
    },
}

/// Returns whether a run has accounts.
pub fn has_accounts(seed: u64) -> bool {
    seed >= FIRST_ACCOUNTS
}

/// Returns the account of a caller's request.
pub fn of(number: usize) -> &'static Account {
    &ACCOUNTS[number % ACCOUNTS.len()]
}

/// Returns the field with the key that stays.
pub fn kept_key() -> (&'static str, &'static str) {
    ("Authorization", ACCOUNTS[1].key)
}

/// Returns whether a text contains a key.
pub fn has_key(text: &str) -> bool {
    text.contains(KEY_MARK)
}

/// Returns the configuration, with accounts in runs that have some.
pub fn config(version: u64, keys: Option<Keys>) -> Value {
    let mut config = fleet::config(version);
    if let Some(keys) = keys {
        let held = |account: &Account| match keys {
            Keys::Taken { .. } if account.is_revoked() => Vec::new(),
            _ => vec![account.key.trim_start_matches("Token ")],
        };
        let accounts = ACCOUNTS
            .iter()
            .map(|account| json!({"name": account.name, "api_keys": held(account)}));
        config["tenants"] = accounts.collect();
    }
    config
}

/// Returns settings, with the bound on keys that were taken away in runs that have accounts.
pub fn settings(text: &str, keys: Option<Keys>) -> String {
    match keys {
        Some(_) => format!(
            "{text}[accounts]\nmax_revocation = {}s\n",
            MAX_REVOCATION.as_secs()
        ),
        None => text.into(),
    }
}

/// Checks what upstreams saw; returns the promises that were broken.
pub fn broken(keys: Keys, calls: &[Call], seen: &[ReceivedRequest]) -> Vec<String> {
    let accounts: HashMap<&str, &Account> = calls
        .iter()
        .filter_map(|call| Some((call.id.as_str(), call.account?)))
        .collect();
    let mut broken = Vec::new();
    for seen in seen {
        let id = seen.field("pistachiohall-request-id");
        if has_key(&format!("{:?}", seen.fields)) {
            broken.push(format!("{id} reached an upstream with a key"));
        }
        let Some(account) = accounts.get(id) else {
            continue;
        };
        let told = seen.field("pistachiohall-tenant");
        if told != account.name {
            broken.push(format!("{id} of {} was sent for {told:?}", account.name));
        }
        if let Keys::Taken {
            until: Some(at), ..
        } = keys
            && account.is_revoked()
            && seen.ran
            && seen.at > at + MAX_REVOCATION
        {
            let late = seen.at - at;
            broken.push(format!("{id} ran {late:?} after its key was taken away"));
        }
    }
    let early = calls.iter().filter(|call| {
        let is_rejected = call
            .answer
            .as_ref()
            .is_some_and(|answer| answer.status == 401);
        let was_held = match keys {
            Keys::Taken { from, .. } => call.ended < from,
            _ => true,
        };
        is_rejected && was_held
    });
    broken.extend(early.map(|call| format!("{} was rejected before its key was taken", call.id)));
    broken
}
