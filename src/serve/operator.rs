//! Requests of operators, on a separate address.

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context;
use anyhow::Result;
use tiny_http::Request;

use crate::clock::Clock;
use crate::core::Core;
use crate::duty::Pool;
use crate::listen;
use crate::log::List;
use crate::log::Log;
use crate::pipeline;
use crate::problem::Problem;
use crate::status;
use crate::wire::Reply;

/// Maximum number of operator requests served at once.
const MAX_OPERATOR_REQUESTS: usize = 8;

/// Starts serving operators if the settings give an address, and returns the bound address.
pub fn start<C, P>(core: &Arc<Core<C, P>>) -> Result<Option<SocketAddr>>
where
    C: Clock + Clone,
    P: Log + List,
{
    let Some(address) = core.settings.operator_listen else {
        return Ok(None);
    };
    let listener = listen::open(address).with_context(|| format!("cannot listen on {address}"))?;
    let bound = listener.local_addr()?;
    let shared = Arc::clone(core);
    let pool = Pool::new(
        "operator",
        MAX_OPERATOR_REQUESTS,
        move |request: Request| {
            let reply = answer(&shared, request.url());
            pipeline::write_reply(request, &reply);
        },
    );
    let _listener = listen::serve(listener, core.stop.clone(), move |request| {
        if let Err(request) = pool.submit(request) {
            pipeline::refuse(request, Problem::not_run(503, "too busy", "try again"));
        }
    })?;
    Ok(Some(bound))
}

fn answer<C, P>(core: &Core<C, P>, path: &str) -> Reply
where
    C: Clock + Clone,
    P: Log + List,
{
    let json = match path {
        "/healthz" => return pipeline::own::health(core),
        "/status" => serde_json::to_value(status::of(core)),
        "/histograms" => serde_json::to_value(status::histograms(core)),
        _ => return Problem::not_run(404, "unknown path", path).into(),
    };
    json.map_or_else(
        |cause| Problem::not_run(500, "no answer", cause.to_string()).into(),
        |value| Reply::json(200, &value),
    )
}
