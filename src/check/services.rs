//! Services without routes, ranges that are empty, and limits for callers that admit nothing.

use std::collections::HashSet;

use super::Findings;
use crate::catalog::Draft;
use crate::catalog::Level;
use crate::catalog::Place;

pub(super) fn check(draft: &Draft, findings: &mut Findings) {
    let routed: HashSet<&str> = draft
        .routes
        .iter()
        .flat_map(|route| &route.shares)
        .map(|share| share.service.as_str())
        .collect();
    let mut names = HashSet::new();
    for (index, service) in draft.services.iter().enumerate() {
        let place = Place::Service(index);
        if !names.insert(service.name.as_str()) {
            findings.add(
                Level::Error,
                place,
                format_args!(
                    "service `{}` is listed twice; one entry is expected",
                    service.name
                ),
            );
        }
        if !routed.contains(service.name.as_str()) {
            findings.add(
                Level::Warning,
                place,
                format_args!(
                    "service `{}` gets no requests: no route leads to it",
                    service.name
                ),
            );
        }
        if service.max_connections == 0 {
            findings.add(
                Level::Error,
                place,
                format_args!(
                    "service `{}` allows no connections, with which no request can be served",
                    service.name
                ),
            );
        }
    }
    check_limits(draft, findings);
}

fn check_limits(draft: &Draft, findings: &mut Findings) {
    let limits = draft.limits;
    let sizes = [
        ("head", limits.max_header_bytes),
        ("body", limits.max_body_bytes),
    ];
    for (part, _) in sizes.iter().filter(|(_, max_bytes)| *max_bytes == 0) {
        findings.add(
            Level::Error,
            Place::Document,
            format_args!(
                "the maximum size of a request's {part} is 0, with which no request can be served"
            ),
        );
    }
    if limits.idle_timeout.is_zero() {
        findings.add(
            Level::Warning,
            Place::Document,
            "the idle timeout is 0: no caller can keep a connection",
        );
    }
}
