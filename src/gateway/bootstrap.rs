//! Views of peers: a host that starts while the store cannot be read takes over the configuration and
//! the upstreams, and one that cannot read a newer configuration takes that over.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use anyhow::bail;
use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http_body_util::BodyExt;
use http_body_util::Full;
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
const VIEW_PATH: &str = "/belief";
/// Path at which peers get this host's configuration.
const CONFIG_PATH: &str = "/configuration";
/// Time to wait for the store before peers are asked.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between two queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for the first and each further part of a peer's response.
const QUERY_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time for a peer's whole response, however large it is.
const MAX_QUERY_TIME: Duration = Duration::from_secs(5);
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
    let path = request.uri().path();
    if ![VIEW_PATH, CONFIG_PATH].contains(&path) {
        return reply::own(StatusCode::NOT_FOUND, "only views are served here");
    }
    if !view.has_registry || view.catalog.is_none() {
        return reply::own(StatusCode::SERVICE_UNAVAILABLE, "nothing is known here");
    }
    if path == CONFIG_PATH {
        return reply::own(StatusCode::OK, &String::from_utf8_lossy(&view.config));
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
            match query_view(peer).await {
                Ok(view) => {
                    views.adopt(view.config.into_bytes(), "peer");
                    views.adopt_entries(view.entries);
                }
                Err(cause) => info!(
                    peer:% = peer,
                    outcome = "no-belief",
                    cause:% = cause;
                    "peer sent no view"
                ),
            }
        }
        time::sleep(QUERY_INTERVAL).await;
    }
}

/// Queries a peer that announces a newer configuration which this host doesn't read from the store;
/// never returns.
pub async fn follow_peers(gateway: Rc<Gateway>, views: Arc<ViewPublisher>) {
    loop {
        time::sleep(QUERY_INTERVAL).await;
        let own = gateway.config_version();
        let source = gateway.announcement.borrow().source(own, Instant::now());
        let Some(peer) = source else {
            continue;
        };
        match query(peer, CONFIG_PATH).await {
            Ok(config) => {
                views.adopt(config.to_vec(), "peer");
                if views.config_version() <= own {
                    gateway.announcement.borrow_mut().withdraw();
                }
            }
            Err(cause) => info!(
                peer:% = peer,
                config = own,
                outcome = "no-configuration",
                cause:% = cause;
                "peer sent no configuration"
            ),
        }
    }
}

async fn query_view(peer: SocketAddr) -> Result<PeerView> {
    let body = query(peer, VIEW_PATH).await?;
    Ok(serde_json::from_slice(&body)?)
}

/// Returns the response of a peer to a query.
async fn query(peer: SocketAddr, path: &'static str) -> Result<Bytes> {
    time::timeout(MAX_QUERY_TIME, send_query(peer, path))
        .await
        .context("the answer took too long")?
}

async fn send_query(peer: SocketAddr, path: &'static str) -> Result<Bytes> {
    let until = Instant::now() + QUERY_TIMEOUT;
    let mut connection = Pool::new(peer).get(false, 1, until).await?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(path);
    let host = peer
        .to_string()
        .parse()
        .context("the peer's address is not a valid Host header")?;
    request.headers_mut().insert(http::header::HOST, host);
    let response = time::timeout_at(until.into(), connection.send(request))
        .await
        .context("no answer in time")??;
    if response.status() != StatusCode::OK {
        bail!("the peer answered {}, expected 200 OK", response.status());
    }
    read_body(response).await
}

/// Reads the body of a peer's response, whose parts have to come in time.
async fn read_body(mut response: Response<Incoming>) -> Result<Bytes> {
    let mut body = BytesMut::new();
    loop {
        let frame = time::timeout(QUERY_TIMEOUT, response.body_mut().frame())
            .await
            .context("no further part of the answer in time")?;
        let Some(frame) = frame else {
            return Ok(body.freeze());
        };
        let frame = frame.context("cannot read the peer's response")?;
        if let Some(part) = frame.data_ref() {
            body.extend_from_slice(part);
        }
        if body.len() > MAX_RESPONSE_BYTES {
            bail!("the peer's response is larger than {MAX_RESPONSE_BYTES} bytes");
        }
    }
}
