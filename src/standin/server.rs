//! The HTTP side that all stand-ins share.

use std::io;
use std::net::SocketAddr;

use serde_json::Value;
use tiny_http::Request;
use uuid::Uuid;

use crate::duty::Pool;
use crate::duty::StopFlag;
use crate::listen;
use crate::pipeline::deliver;
use crate::pipeline::identify;
use crate::upstream::call;
use crate::wire::Reply;

/// Most requests that a stand-in serves at once.
const MOST_REQUESTS: usize = 4096;

/// Serves HTTP at `address` until asked to stop, and returns where.
pub fn serve<F>(
    name: &'static str,
    address: SocketAddr,
    stop: &StopFlag,
    handle: F,
) -> io::Result<SocketAddr>
where
    F: Fn(Request) + Send + Sync + 'static,
{
    let listener = listen::open(address)?;
    let bound = listener.local_addr()?;
    let pool = Pool::new(name, MOST_REQUESTS, handle);
    let _listening = listen::serve(listener, stop.clone(), move |request| {
        let _ = pool.submit(request);
    })?;
    Ok(bound)
}

/// Reads a whole body.
pub fn body(request: &mut Request) -> Vec<u8> {
    let mut body = Vec::new();
    let _ = request.as_reader().read_to_end(&mut body);
    body
}

/// Answers with JSON.
pub fn json(request: Request, status: u16, value: &Value) {
    reply(request, &Reply::json(status, value));
}

/// Answers a request under its own identifier.
pub fn reply(request: Request, reply: &Reply) {
    let id = identify::header(&request, call::REQUEST_ID);
    let id = id
        .and_then(|id| Uuid::parse_str(id).ok())
        .unwrap_or_default();
    let mut out = request.into_writer();
    let _ = deliver::whole(&mut out, id, reply, false);
}

/// Splits a URL into path and query values.
pub fn split(url: &str) -> (&str, Vec<(&str, &str)>) {
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    let pairs = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .collect();
    (path, pairs)
}

/// Returns a whole number from a query.
pub fn number(query: &[(&str, &str)], name: &str) -> u64 {
    query
        .iter()
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0)
}
