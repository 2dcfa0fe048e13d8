//! Asking upstreams for their load.

use std::net::SocketAddr;
use std::time::Duration;

use attohttpc::Method;
use attohttpc::RequestBuilder;

use super::Load;
use super::Table;
use crate::clock::Clock;
use crate::duty::Stop;

/// Pause between rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(250);
/// Longest wait for one report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(700);

/// Asks one upstream for its report.
pub fn report(address: SocketAddr) -> Option<Load> {
    let response = RequestBuilder::new(Method::GET, format!("http://{address}/load"))
        .connect_timeout(REPORT_TIMEOUT)
        .read_timeout(REPORT_TIMEOUT)
        .timeout(REPORT_TIMEOUT)
        .send()
        .ok()?;
    serde_json::from_slice(&response.bytes().ok()?).ok()
}

/// Asks all upstreams, round after round, until asked to stop; `restarted` hears of new processes.
pub fn run<C, F>(table: &Table, clock: &C, stop: &Stop, mut restarted: F)
where
    C: Clock,
    F: FnMut(&super::Upstream),
{
    while !stop.asked() {
        for upstream in table.all() {
            match report(upstream.address) {
                Some(load) => {
                    if upstream.take_report(load, clock.now()) {
                        restarted(&upstream);
                    }
                }
                None => upstream.note_failure(clock.now()),
            }
        }
        clock.sleep(ROUND_PAUSE);
    }
}
