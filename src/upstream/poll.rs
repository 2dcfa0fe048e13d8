//! Asking upstreams for their load and for changes of their caches.

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

/// Pause between rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(250);
/// Longest wait for one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(700);

/// Asks one upstream for its report.
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

/// A change of an engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Event {
    /// Number, without gaps on the engine's side.
    pub number: u64,
    /// Digest of the prefix.
    pub prefix: Fingerprint,
    /// Whether it is held now.
    pub held: bool,
}

#[derive(Deserialize)]
struct Events {
    events: Vec<Event>,
}

/// Asks an engine for the changes of its cache from a number on.
pub fn events(address: SocketAddr, from: u64) -> Option<Vec<Event>> {
    get::<Events>(address, &format!("/cache-events?from={from}")).map(|answer| answer.events)
}

/// Asks all upstreams, round after round, until asked to stop.
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
                        let news = events(upstream.address, *cursor).unwrap_or_default();
                        *cursor = index.take_events(&upstream.id, *cursor, &news);
                    }
                }
                None => upstream.record_failure(clock.now()),
            }
        }
        clock.sleep(ROUND_PAUSE);
    }
}
