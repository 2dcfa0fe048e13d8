//! Differences from the version in force.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::fmt;

use compact_str::CompactString;

use super::Findings;
use crate::catalog::AccountDraft;
use crate::catalog::Draft;
use crate::catalog::KeyDigest;
use crate::catalog::Level;
use crate::catalog::Place;
use crate::catalog::Route;
use crate::id::AccountId;

pub(super) fn check(in_force: &Draft, draft: &Draft, findings: &mut Findings) {
    routes(in_force, draft, findings);
    services(in_force, draft, findings);
    accounts(in_force, draft, findings);
    if in_force.limits != draft.limits {
        findings.add(
            Level::Change,
            Place::Document,
            format_args!(
                "the limits for callers change from {:?} to {:?}",
                in_force.limits, draft.limits
            ),
        );
    }
}

fn key(route: &Route) -> (CompactString, CompactString) {
    (route.host.to_lowercase(), route.prefix.clone())
}

/// Shares of a route, as printed.
struct Shares<'a>(&'a Route);

impl fmt::Display for Shares<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, share) in self.0.shares.iter().enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(formatter, "{separator}{} ({})", share.service, share.weight)?;
        }
        Ok(())
    }
}

fn routes(in_force: &Draft, draft: &Draft, findings: &mut Findings) {
    let mut old: BTreeMap<_, &Route> = in_force
        .routes
        .iter()
        .map(|route| (key(route), route))
        .collect();
    for (index, route) in draft.routes.iter().enumerate() {
        let place = Place::Route(index);
        match old.remove(&key(route)) {
            Some(before) => route_changes(before, route, place, findings),
            None => findings.add(
                Level::Change,
                place,
                format_args!(
                    "route `{}` is added: {}{} to {}",
                    route.name,
                    route.host,
                    route.prefix,
                    Shares(route)
                ),
            ),
        }
    }
    for route in old.into_values() {
        findings.add(
            Level::Change,
            Place::Document,
            format_args!(
                "route `{}` is dropped: requests to {}{} match a shorter prefix or none",
                route.name, route.host, route.prefix
            ),
        );
    }
}

fn route_changes(before: &Route, route: &Route, place: Place, findings: &mut Findings) {
    let mut change = |text: fmt::Arguments<'_>| {
        findings.add(
            Level::Change,
            place,
            format_args!("route `{}` {text}", route.name),
        );
    };
    if before.shares != route.shares {
        change(format_args!(
            "moves from {} to {}",
            Shares(before),
            Shares(route)
        ));
    }
    if before.timeout > route.timeout {
        change(format_args!(
            "has its timeout shortened from {:?} to {:?}: requests that take longer fail",
            before.timeout, route.timeout
        ));
    } else if before.timeout < route.timeout {
        change(format_args!(
            "has its timeout extended from {:?} to {:?}",
            before.timeout, route.timeout
        ));
    }
    if before.target_latency != route.target_latency {
        change(format_args!(
            "has its target changed from {:?} to {:?}",
            before.target_latency, route.target_latency
        ));
    }
    if before.kind != route.kind {
        change(format_args!(
            "changes its kind from {:?} to {:?}, and with it which requests may be repeated",
            before.kind, route.kind
        ));
    }
    if before.is_public != route.is_public {
        change(format_args!(
            "{}",
            match route.is_public {
                true => "becomes public: its requests need no key any more",
                false => "is no longer public: requests without a key are rejected",
            }
        ));
    }
    if before.max_attempts != route.max_attempts {
        change(format_args!(
            "allows {} attempts, {} before",
            route.max_attempts, before.max_attempts
        ));
    }
    if before.priority != route.priority {
        change(format_args!(
            "has priority {}, {} before",
            route.priority, before.priority
        ));
    }
}

fn services(in_force: &Draft, draft: &Draft, findings: &mut Findings) {
    let old: HashMap<&str, _> = in_force
        .services
        .iter()
        .map(|service| (service.name.as_str(), service))
        .collect();
    for (index, service) in draft.services.iter().enumerate() {
        let text = match old.get(service.name.as_str()) {
            None => "is added",
            Some(before) if **before != *service => "has other properties",
            Some(_) => continue,
        };
        findings.add(
            Level::Change,
            Place::Service(index),
            format_args!("service `{}` {text}", service.name),
        );
    }
    let names: HashSet<&str> = draft
        .services
        .iter()
        .map(|service| service.name.as_str())
        .collect();
    for service in &in_force.services {
        if !names.contains(service.name.as_str()) {
            findings.add(
                Level::Change,
                Place::Document,
                format_args!("service `{}` is dropped", service.name),
            );
        }
    }
}

fn accounts(in_force: &Draft, draft: &Draft, findings: &mut Findings) {
    let (before, after) = match (&in_force.accounts, &draft.accounts) {
        (None, None) => return,
        (None, Some(_)) => {
            findings.add(
                Level::Change,
                Place::Document,
                "accounts are introduced: routes that are not public need a key",
            );
            return;
        }
        (Some(_), None) => {
            findings.add(
                Level::Change,
                Place::Document,
                "accounts are given up: no request needs a key any more",
            );
            return;
        }
        (Some(before), Some(after)) => (by_name(before), by_name(after)),
    };
    let places: HashMap<&AccountId, Place> = draft
        .accounts
        .iter()
        .flatten()
        .enumerate()
        .map(|(index, entry)| (&entry.account.name, Place::Account(index)))
        .collect();
    for (name, keys) in &before {
        let place = places.get(name).copied().unwrap_or(Place::Document);
        let Some(kept) = after.get(name) else {
            findings.add(
                Level::Change,
                place,
                format_args!("account `{name}` is dropped with {} keys", keys.len()),
            );
            continue;
        };
        let taken = keys.difference(kept).count();
        if taken > 0 {
            findings.add(
                Level::Change,
                place,
                format_args!(
                    "account `{name}` has {taken} of its {} keys taken away",
                    keys.len()
                ),
            );
        }
    }
    for (name, keys) in &after {
        let place = places.get(name).copied().unwrap_or(Place::Document);
        let added = match before.get(name) {
            None => keys.len(),
            Some(old) => keys.difference(old).count(),
        };
        if added > 0 {
            findings.add(
                Level::Change,
                place,
                format_args!("account `{name}` gets {added} keys"),
            );
        }
    }
}

fn by_name(entries: &[AccountDraft]) -> BTreeMap<&AccountId, HashSet<&KeyDigest>> {
    // Of two entries of an account, hosts join the keys.
    let mut accounts: BTreeMap<&AccountId, HashSet<&KeyDigest>> = BTreeMap::new();
    for entry in entries {
        accounts
            .entry(&entry.account.name)
            .or_default()
            .extend(&entry.keys);
    }
    accounts
}
