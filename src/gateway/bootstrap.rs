//! Startup while the store cannot be read: peers send their views of the configuration and the
//! upstreams.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::Uri;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use log::info;
use serde::Deserialize;
use serde::Serialize;
use tokio::time;

use super::Gateway;
use super::pool::Pool;
use super::reply;
use super::reply::Reply;
use crate::fleet::Entry;
use crate::follow::ViewPublisher;

/// Path at which peers get this host's view.
const PATH: &str = "/belief";
/// Time to wait for the store before peers are asked.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a response; enough for a configuration of many thousand routes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// View of a host, as it sends it to its peers.
#[derive(Debug, Serialize, Deserialize)]
struct PeerView {
    /// Configuration as the operator wrote it.
    config: String,
    /// Entries of the upstreams.
    #[serde(rename = "rows")]
    entries: Vec<Entry>,
}

/// Answers a peer's query for this host's view.
pub fn serve_view(gateway: &Gateway, request: &Request<Incoming>) -> Reply {
    let view = gateway.view();
    if request.uri().path() != PATH {
        return reply::own(StatusCode::NOT_FOUND, "only beliefs are told here");
    }
    if !view.has_registry || view.catalog.is_none() {
        return reply::own(StatusCode::SERVICE_UNAVAILABLE, "nothing is known here");
    }
    let view = PeerView {
        config: String::from_utf8_lossy(&view.config).into_owned(),
        entries: gateway.entries(),
    };
    match serde_json::to_string(&view) {
        Ok(text) => reply::own(StatusCode::OK, &text),
        Err(cause) => reply::own(StatusCode::INTERNAL_SERVER_ERROR, &cause.to_string()),
    }
}

/// Queries peers until this host knows its configuration and its upstreams.
pub async fn query_peers(gateway: Rc<Gateway>, views: Arc<ViewPublisher>) {
    time::sleep(STORE_TIMEOUT).await;
    while !gateway.has_config_and_upstreams() {
        if let Some(peer) = gateway.last_peer() {
            match time::timeout(QUERY_TIMEOUT, query(peer)).await {
                Ok(Ok(view)) => {
                    views.adopt(view.config.into_bytes(), "peer");
                    views.adopt_entries(view.entries);
                }
                Ok(Err(cause)) => info!(
                    peer:% = peer,
                    outcome = "no-belief",
                    cause:% = cause;
                    "peer sent no view"
                ),
                Err(_) => info!(
                    peer:% = peer,
                    outcome = "no-belief",
                    cause = "no answer in time";
                    "peer sent no view"
                ),
            }
        }
        time::sleep(QUERY_INTERVAL).await;
    }
}

async fn query(peer: SocketAddr) -> Result<PeerView> {
    let until = Instant::now() + QUERY_TIMEOUT;
    let mut connection = Pool::new(peer).get(false, 1, until).await?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(PATH);
    let host = peer
        .to_string()
        .parse()
        .context("the peer's address is not a valid Host header")?;
    request.headers_mut().insert(http::header::HOST, host);
    let response = connection.send(request).await?;
    if response.status() != StatusCode::OK {
        bail!("the peer answered {}, expected 200 OK", response.status());
    }
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(|cause| anyhow::anyhow!("cannot read the peer's response: {cause}"))?;
    Ok(serde_json::from_slice(&body.to_bytes())?)
}
