//! Requests that an entry host answers itself.

use serde_json::json;

use crate::clock::Clock;
use crate::core::Core;
use crate::log::List;
use crate::log::Log;
use crate::problem::Problem;
use crate::service::Kind;
use crate::wire::Reply;

use super::identify;
use super::identify::Parts;

/// Path prefix of the issue of tickets.
const TICKETS_PREFIX: &str = "/tickets/";
/// Maximum number of tickets issued by one request.
const MAX_TICKETS: u64 = 1000;

/// Answers a request that is meant for the entry host itself, or returns `None`.
pub fn answer<C, P>(core: &Core<C, P>, parts: &Parts<'_>) -> Option<Reply>
where
    C: Clock + Clone,
    P: Log + List,
{
    match parts.path {
        "/healthz" => Some(health(core)),
        "/v1/models" => Some(models(core)),
        path => path
            .strip_prefix(TICKETS_PREFIX)
            .map(|rest| tickets(core, parts, rest).unwrap_or_else(Reply::from)),
    }
}

/// Returns the readiness of this host, by which the balancer decides whether to send requests.
pub fn health<C, P>(core: &Core<C, P>) -> Reply
where
    C: Clock + Clone,
    P: Log + List,
{
    let ready = core.is_ready();
    let status = if ready { 200 } else { 503 };
    Reply::json(
        status,
        &json!({ "ready": ready, "leaving": core.is_leaving() }),
    )
}

fn models<C, P>(core: &Core<C, P>) -> Reply
where
    C: Clock + Clone,
    P: Log + List,
{
    let directory = core.directory();
    let data: Vec<_> = directory
        .services()
        .filter_map(|service| match &service.kind {
            Kind::Model(model) => {
                Some(json!({ "id": model, "object": "model", "owned_by": service.name }))
            }
            Kind::Plain => None,
        })
        .collect();
    Reply::json(200, &json!({ "object": "list", "data": data }))
}

fn tickets<C, P>(core: &Core<C, P>, parts: &Parts<'_>, rest: &str) -> Result<Reply, Problem>
where
    C: Clock + Clone,
    P: Log + List,
{
    if parts.method != "POST" {
        return Err(Problem::not_run(405, "method not allowed", "expected POST"));
    }
    if core.is_leaving() {
        return Err(Problem::not_run(
            503,
            "leaving",
            "this host issues no more tickets",
        ));
    }
    let (name, query) = rest.split_once('?').unwrap_or((rest, "count=1"));
    let directory = core.directory();
    let service = directory.service(name);
    let service = service.ok_or_else(|| Problem::not_run(404, "unknown service", name))?;
    let account = identify::authorize(parts, service)?;
    let count = query
        .strip_prefix("count=")
        .and_then(|count| count.parse().ok())
        .filter(|count| (1..=MAX_TICKETS).contains(count))
        .ok_or_else(|| Problem::not_run(400, "bad request", "expected count=1 to 1000"))?;
    let scope = format!("{name}/{}", account.name);
    let issue = |_| core.issuer.issue(&scope, core.clock.now()).to_string();
    let tickets: Vec<String> = (0..count).map(issue).collect();
    Ok(Reply::json(200, &json!({ "tickets": tickets })))
}
