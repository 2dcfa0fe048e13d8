//! Polls upstreams for their load and for changes of their KV caches.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::Method;
use attohttpc::RequestBuilder;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::Load;
use super::Table;
use crate::clock::Clock;
use crate::duty::StopFlag;
use crate::id::Fingerprint;
use crate::id::UpstreamId;
use crate::route::Index;

/// Interval between two rounds of polls.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time to get one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(700);

/// Fetches the load report of an upstream, or returns `None` if it gives none in time.
pub fn report(address: SocketAddr) -> Option<Load> {
    get(address, "/load")
}

fn get<T>(address: SocketAddr, path: &str) -> Option<T>
where
    T: DeserializeOwned,
{
    let response = RequestBuilder::new(Method::GET, format!("http://{address}{path}"))
        .connect_timeout(REPORT_TIMEOUT)
        .read_timeout(REPORT_TIMEOUT)
        .timeout(REPORT_TIMEOUT)
        .send()
        .ok()?;
    serde_json::from_slice(&response.bytes().ok()?).ok()
}

/// A change of an engine's KV cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Event {
    /// Sequence number; the engine numbers its events without gaps.
    pub number: u64,
    /// Digest of the prompt prefix.
    pub prefix: Fingerprint,
    /// Whether the cache now holds the prefix.
    pub held: bool,
}

#[derive(Deserialize)]
struct Events {
    events: Vec<Event>,
}

/// Fetches the changes of an engine's KV cache from the sequence number `from` on.
pub fn events(address: SocketAddr, from: u64) -> Option<Vec<Event>> {
    get::<Events>(address, &format!("/cache-events?from={from}")).map(|response| response.events)
}

/// Polls all upstreams in rounds until asked to stop.
pub fn run<C>(table: &Table, index: &Index, clock: &C, stop: &StopFlag)
where
    C: Clock,
{
    let mut cursors: HashMap<UpstreamId, u64> = HashMap::new();
    while !stop.asked() {
        for upstream in table.all() {
            match report(upstream.address) {
                Some(load) => {
                    let is_engine = load.prompt_rate > 0.0;
                    if upstream.take_report(load, clock.now()) {
                        index.forget(&upstream.id);
                        cursors.remove(&upstream.id);
                    }
                    if is_engine {
                        let cursor = cursors.entry(upstream.id.clone()).or_insert(0);
                        let new_events = events(upstream.address, *cursor).unwrap_or_default();
                        *cursor = index.apply_events(&upstream.id, *cursor, &new_events);
                    }
                }
                None => upstream.record_failure(clock.now()),
            }
        }
        clock.sleep(POLL_INTERVAL);
    }
}
