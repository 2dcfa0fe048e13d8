//! Routes that need a key which nobody has.

use super::Findings;
use crate::catalog::Draft;
use crate::catalog::Level;
use crate::catalog::Place;

pub(super) fn check(draft: &Draft, findings: &mut Findings) {
    let Some(accounts) = &draft.accounts else {
        return;
    };
    let has_key = accounts.iter().any(|entry| !entry.keys.is_empty());
    let has_keyed_route = draft.routes.iter().any(|route| !route.is_public);
    if has_keyed_route && !has_key {
        findings.add(
            Level::Error,
            Place::Document,
            "no account has a key, but there are routes that are not public: all their requests are rejected",
        );
    }
}
