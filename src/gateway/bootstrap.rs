//! Starting while the store cannot be read: peers tell what they believe.

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

/// Path at which peers are told what this host believes.
const PATH: &str = "/belief";
/// Time that a start waits for the store before it asks peers.
const STORE_TIME: Duration = Duration::from_secs(2);
/// Pause between two questions.
const PAUSE: Duration = Duration::from_millis(500);
/// Longest time for one question and its answer.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// Largest answer that is taken; a configuration of many thousand routes.
const ANSWER_BYTES: usize = 16 << 20;

/// What a host believes, as it tells its peers.
#[derive(Debug, Serialize, Deserialize)]
struct Belief {
    /// Configuration as the operator wrote it.
    config: String,
    /// Upstreams.
    #[serde(rename = "rows")]
    entries: Vec<Entry>,
}

/// Answers a peer's question.
pub fn answer(gateway: &Gateway, request: &Request<Incoming>) -> Reply {
    let view = gateway.view();
    if request.uri().path() != PATH {
        return reply::own(StatusCode::NOT_FOUND, "only beliefs are told here");
    }
    if !view.has_registry || view.catalog.is_none() {
        return reply::own(StatusCode::SERVICE_UNAVAILABLE, "nothing is known here");
    }
    let belief = Belief {
        config: String::from_utf8_lossy(&view.config).into_owned(),
        entries: gateway.entries(),
    };
    match serde_json::to_string(&belief) {
        Ok(text) => reply::own(StatusCode::OK, &text),
        Err(cause) => reply::own(StatusCode::INTERNAL_SERVER_ERROR, &cause.to_string()),
    }
}

/// Asks peers until this host knows its configuration and its upstreams.
pub async fn ask_peers(gateway: Rc<Gateway>, views: Arc<ViewPublisher>) {
    time::sleep(STORE_TIME).await;
    while !gateway.knows_all() {
        if let Some(peer) = gateway.last_heard() {
            match time::timeout(ANSWER_TIME, ask(peer)).await {
                Ok(Ok(belief)) => {
                    views.adopt(belief.config.into_bytes(), "peer");
                    views.adopt_entries(belief.entries);
                }
                Ok(Err(cause)) => info!(
                    peer:% = peer,
                    outcome = "no-belief",
                    cause:% = cause;
                    "peer has no belief to take over"
                ),
                Err(_) => info!(
                    peer:% = peer,
                    outcome = "no-belief",
                    cause = "no answer in time";
                    "peer has no belief to take over"
                ),
            }
        }
        time::sleep(PAUSE).await;
    }
}

async fn ask(peer: SocketAddr) -> Result<Belief> {
    let until = Instant::now() + ANSWER_TIME;
    let mut connection = Pool::new(peer).get(false, 1, until).await?;
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() = Uri::from_static(PATH);
    let host = peer.to_string().parse().context("the peer's address")?;
    request.headers_mut().insert(http::header::HOST, host);
    let response = connection.send(request).await?;
    if response.status() != StatusCode::OK {
        bail!("the peer answered {}", response.status());
    }
    let body = Limited::new(response.into_body(), ANSWER_BYTES)
        .collect()
        .await
        .map_err(|cause| anyhow::anyhow!("the peer's answer: {cause}"))?;
    Ok(serde_json::from_slice(&body.to_bytes())?)
}
