//! Which client account a request belongs to, and whether its key may be served; pure.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use thiserror::Error;

use crate::catalog::Account;
use crate::catalog::Catalog;
use crate::catalog::KeyDigest;
use crate::catalog::Route;

/// Maximum age of the proof of a configuration with which an unknown key is rejected rather than
/// refused: the time within which a changed configuration has to be active.
pub const MAX_RECENT_AGE: Duration = Duration::from_secs(2);
/// Maximum time for which a request is under way from the check of its key until an upstream runs it.
const MAX_TRANSIT: Duration = Duration::from_millis(500);
/// Maximum share of the bound on revoked keys that is reserved for requests under way.
const MAX_TRANSIT_SHARE: u32 = 4;

/// How recently a configuration was proved to be the newest, and how recently that has to be.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    /// Time since the configuration was the newest, by a proof; `None` if there is none.
    pub age: Option<Duration>,
    /// Maximum time after a key was taken away for which requests with it may still run; `None` if
    /// there is no bound.
    pub max_revocation: Option<Duration>,
}

impl Freshness {
    /// Returns `true` if requests with keys may be sent to upstreams.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pistachiohall::gateway::account::Freshness;
    /// let max_revocation = Some(Duration::from_secs(5));
    /// let aged = |ms| Freshness { age: Some(Duration::from_millis(ms)), max_revocation };
    /// assert!(aged(4400).permits_keys());
    /// assert!(!aged(4600).permits_keys());
    /// assert!(!Freshness { age: None, max_revocation }.permits_keys());
    /// ```
    pub fn permits_keys(&self) -> bool {
        let Some(max) = self.max_revocation else {
            return true;
        };
        let max_age = max - MAX_TRANSIT.min(max / MAX_TRANSIT_SHARE);
        self.age.is_some_and(|age| age < max_age)
    }

    /// Returns `true` if the configuration is recent enough to reject a request by it.
    pub fn is_recent(&self) -> bool {
        self.age.is_some_and(|age| age <= MAX_RECENT_AGE)
    }
}

/// Reason for which a request that needs a key is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The request has no key, several, or one in another scheme.
    #[error("the request has no readable key; expected one field `authorization: Token KEY`")]
    NoKey,
    /// No account holds the key.
    #[error("the key belongs to no account")]
    UnknownKey,
    /// The configuration may be outdated, so that the key can be neither served nor rejected.
    #[error("not run: this host cannot verify keys now")]
    Unproved,
    /// The key was taken away from the account while the request was being served.
    #[error("not run: the key was taken away")]
    Withdrawn,
}

impl Refusal {
    /// Returns the status of the response to a request that has not run.
    pub fn status(self) -> StatusCode {
        match self {
            Refusal::NoKey | Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
            Refusal::Unproved | Refusal::Withdrawn => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the reason in log lines and metrics.
    pub fn reason(self) -> &'static str {
        match self {
            Refusal::NoKey => "no key",
            Refusal::UnknownKey => "unknown key",
            Refusal::Unproved => "configuration may be outdated",
            Refusal::Withdrawn => "key taken away",
        }
    }
}

/// Returns the account whose key a request carries; `None` if the configuration has no accounts, or if
/// the route is public and the key belongs to nobody.
///
/// # Errors
///
/// Fails if the route is not public, and no account holds the key or the configuration is not proved
/// to be recent enough.
pub fn identify(
    catalog: &Catalog,
    route: &Route,
    key: Option<&KeyDigest>,
    freshness: Freshness,
) -> Result<Option<Arc<Account>>, Refusal> {
    let Some(accounts) = catalog.accounts() else {
        return Ok(None);
    };
    let holder = key.and_then(|key| accounts.holder(key)).cloned();
    match (holder, key) {
        (holder, _) if route.is_public => Ok(holder),
        (Some(account), _) if freshness.permits_keys() => Ok(Some(account)),
        (Some(_), _) => Err(Refusal::Unproved),
        (None, _) if !freshness.is_recent() => Err(Refusal::Unproved),
        (None, None) => Err(Refusal::NoKey),
        (None, Some(_)) => Err(Refusal::UnknownKey),
    }
}

/// Checks whether a request that was identified earlier may be sent now, by the newest configuration.
///
/// # Errors
///
/// Fails if the configuration is not proved to be recent enough, or no longer gives the key to the
/// account.
pub fn recheck(
    newest: &Catalog,
    route: &Route,
    account: Option<&Account>,
    key: Option<&KeyDigest>,
    freshness: Freshness,
) -> Result<(), Refusal> {
    let Some(account) = account.filter(|_| !route.is_public) else {
        return Ok(());
    };
    if !freshness.permits_keys() {
        return Err(Refusal::Unproved);
    }
    // A configuration without accounts has taken all keys away.
    let accounts = newest.accounts();
    let holder = accounts.and_then(|accounts| accounts.holder(key?));
    match holder.is_some_and(|holder| holder.name == account.name) {
        true => Ok(()),
        false => Err(Refusal::Withdrawn),
    }
}
