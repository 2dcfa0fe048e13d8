//! Which client account a request belongs to; pure.

use std::sync::Arc;

use thiserror::Error;

use crate::catalog::Account;
use crate::catalog::Catalog;
use crate::catalog::KeyDigest;
use crate::catalog::Route;

/// Reason for which a request that needs a key is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The request has no key, several, or one in another scheme.
    #[error("the request has no readable key; expected one field `authorization: Token KEY`")]
    NoKey,
    /// No account holds the key.
    #[error("the key belongs to no account")]
    UnknownKey,
}

/// Returns the account whose key a request carries; `None` if the configuration has no accounts, or if
/// the route is public and the key belongs to nobody.
///
/// # Errors
///
/// Fails if the route is not public and no account holds the key.
pub fn identify(
    catalog: &Catalog,
    route: &Route,
    key: Option<&KeyDigest>,
) -> Result<Option<Arc<Account>>, Refusal> {
    let Some(accounts) = catalog.accounts() else {
        return Ok(None);
    };
    let holder = key.and_then(|key| accounts.holder(key)).cloned();
    match (holder, key) {
        (Some(account), _) => Ok(Some(account)),
        (None, _) if route.is_public => Ok(None),
        (None, None) => Err(Refusal::NoKey),
        (None, Some(_)) => Err(Refusal::UnknownKey),
    }
}
