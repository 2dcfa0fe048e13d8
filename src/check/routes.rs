//! Routes that can never match, lead nowhere or have limits that contradict each other.

use std::collections::HashMap;
use std::collections::HashSet;

use compact_str::CompactString;

use super::Context;
use super::Findings;
use crate::catalog::Draft;
use crate::catalog::Kind;
use crate::catalog::Level;
use crate::catalog::Place;
use crate::catalog::Route;

pub(super) fn check(draft: &Draft, context: Context, findings: &mut Findings) {
    let services: HashSet<&str> = draft
        .services
        .iter()
        .map(|service| service.name.as_str())
        .collect();
    let mut first_by_match: HashMap<(CompactString, &str), &Route> = HashMap::new();
    for (index, route) in draft.routes.iter().enumerate() {
        let place = Place::Route(index);
        let key = (route.host.to_lowercase(), route.prefix.as_str());
        if let Some(first) = first_by_match.get(&key) {
            findings.add(
                Level::Error,
                place,
                format_args!(
                    "route `{}` has the host `{}` and the prefix `{}` of route `{}`; one route for each pair is expected",
                    route.name, route.host, route.prefix, first.name
                ),
            );
        }
        first_by_match.entry(key).or_insert(route);
        check_match(route, place, findings);
        check_shares(route, &services, place, findings);
        check_limits(route, context, place, findings);
    }
}

fn check_match(route: &Route, place: Place, findings: &mut Findings) {
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        findings.add(
            Level::Error,
            place,
            format_args!(
                "route `{}` can never match: its prefix is `{}`, where one that begins and ends with a slash is expected",
                route.name, route.prefix
            ),
        );
    }
    if route.prefix.contains(['?', '#']) {
        findings.add(
            Level::Warning,
            place,
            format_args!(
                "route `{}` can never match: its prefix `{}` holds a query or a fragment, which paths do not",
                route.name, route.prefix
            ),
        );
    }
    if route.host.is_empty() || route.host.contains(':') {
        findings.add(
            Level::Warning,
            place,
            format_args!(
                "route `{}` can never match: its host is `{}`, where a host name without a port is expected",
                route.name, route.host
            ),
        );
    }
}

fn check_shares(route: &Route, services: &HashSet<&str>, place: Place, findings: &mut Findings) {
    if route.shares.iter().all(|share| share.weight == 0) {
        findings.add(
            Level::Error,
            place,
            format_args!(
                "route `{}` leads to no service; a service or shares with a weight above 0 are expected",
                route.name
            ),
        );
    }
    for share in &route.shares {
        if !services.contains(share.service.as_str()) {
            findings.add(
                Level::Error,
                place,
                format_args!(
                    "route `{}` leads to a service that is not listed: service `{}` does not exist",
                    route.name, share.service
                ),
            );
        }
        if share.weight == 0 && route.shares.len() > 1 {
            findings.add(
                Level::Warning,
                place,
                format_args!(
                    "route `{}` never sends requests to service `{}`: its weight is 0",
                    route.name, share.service
                ),
            );
        }
    }
}

fn check_limits(route: &Route, context: Context, place: Place, findings: &mut Findings) {
    if route.timeout.is_zero() {
        findings.add(
            Level::Error,
            place,
            format_args!(
                "route `{}` has a timeout of 0, with which no request can be served",
                route.name
            ),
        );
    }
    if route.target_latency > route.timeout {
        findings.add(
            Level::Warning,
            place,
            format_args!(
                "route `{}` can never miss its target: the target is {:?}, above the timeout of {:?}",
                route.name, route.target_latency, route.timeout
            ),
        );
    }
    if let Some(gap) = route.target_gap.filter(|gap| *gap > route.timeout) {
        findings.add(
            Level::Warning,
            place,
            format_args!(
                "route `{}` allows pauses of {gap:?} between events, above the timeout of {:?}",
                route.name, route.timeout
            ),
        );
    }
    if route.is_resumable && route.kind != Kind::Stream {
        findings.add(
            Level::Warning,
            place,
            format_args!(
                "route `{}` is resumable, which only streams can be",
                route.name
            ),
        );
    }
    let Some(retries) = context.retries else {
        return;
    };
    let wanted = f64::from(route.max_attempts.saturating_sub(1));
    if wanted > 0.0 && retries.ratio == 0.0 && retries.slack < wanted {
        findings.add(
            Level::Warning,
            place,
            format_args!(
                "route `{}` allows {} attempts, but the retry budget of the settings (ratio {}, slack {}) pays for no retry",
                route.name, route.max_attempts, retries.ratio, retries.slack
            ),
        );
    }
}
