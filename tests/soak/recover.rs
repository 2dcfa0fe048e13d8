//! The end of a run: all faults are over, everything has to be served again, and the promises are checked.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use pistachiohall::standin::fleet::mortal::CrashingUpstream;
use pistachiohall::standin::fleet::replica::ReceivedRequest;
use pistachiohall::standin::fleet::store::Fault as StoreFault;

use super::account;
use super::caller::Call;
use super::check;
use super::fault;
use super::report::Report;
use super::site::Gateway;
use super::site::LONG;
use super::site::wait_for;
use super::world::GATEWAYS;
use super::world::SHUTDOWN_TIME;
use super::world::UPSTREAMS;
use super::world::World;

impl World {
    /// Ends all faults and waits until every gateway serves every kind of request.
    pub fn recover(&mut self, addresses: &[Mutex<Option<SocketAddr>>]) {
        self.store.set_fault(StoreFault::None);
        for index in 0..GATEWAYS {
            if self.gone[index].is_some() {
                self.restart(index, addresses);
            }
        }
        for (index, gateway) in self.gateways.iter().enumerate() {
            gateway.wait_ready();
            for (path, kind) in [("/read/a", "GET"), ("/act/a", "POST")] {
                let is_served = serves(gateway, index, kind, path, &[]);
                if !is_served {
                    self.broken
                        .push(format!("gateway {index} does not serve {path} again"));
                }
            }
            if !self.frail.is_empty() && !serves(gateway, index, "POST", "/risky/sound", &[]) {
                self.broken.push(format!(
                    "gateway {index} does not serve frail upstreams again"
                ));
            }
            let mut streams = vec![("/ask/a", "9000,6"), ("/draft/a", "200,6")];
            if !self.frail_engines.is_empty() {
                streams.push(("/chat/a", "100,6"));
            }
            for (path, sizes) in streams {
                let fields = [
                    ("Pistachiohall-Token-Count", sizes),
                    ("Pistachiohall-Prompt-Prefix", "a1:50,b2:50"),
                ];
                let is_served = serves(gateway, index, "POST", path, &fields);
                if !is_served {
                    self.broken
                        .push(format!("gateway {index} does not serve {path} again"));
                }
            }
            let newest = format!("config={}", self.version);
            wait_for("the newest configuration", || {
                gateway.line(&[&newest, "outcome=in-force"]).is_some()
            });
        }
    }

    /// Checks the promises and ends the gateways.
    pub fn finish(mut self, calls: &[Call], entries: &[fault::Entry]) -> Report {
        let seen: Vec<ReceivedRequest> = self
            .upstreams
            .iter()
            .flat_map(|upstream| upstream.replica.received())
            .collect();
        self.broken
            .extend(check::calls(calls, &seen, &self.disturbances));
        for (gateway, since) in &self.unfinished {
            self.broken
                .extend(check::unfinished(*gateway, *since + SHUTDOWN_TIME, calls));
        }
        if let Some(keys) = self.keys {
            let frail = self.frail.iter().chain(&self.frail_engines);
            let seen: Vec<ReceivedRequest> = frail
                .flat_map(CrashingUpstream::received)
                .chain(seen)
                .collect();
            self.broken.extend(account::broken(keys, calls, &seen));
        }
        if let Some((left, _)) = self.left {
            let (name, ..) = UPSTREAMS[left];
            let seen = self.upstreams[left].replica.received();
            self.broken.extend(check::departure(name, &seen, self.calm));
        }
        for (index, (upstream, (name, ..))) in self.upstreams.iter().zip(UPSTREAMS).enumerate() {
            let seen = upstream.replica.received();
            let limit = self.limit.filter(|(limited, _)| *limited == index);
            let said = check::Said {
                upstream: name,
                calls,
                seen: &seen,
                disturbances: &self.disturbances,
                limit_per_s: limit.map(|(_, limit)| limit.parse().unwrap()),
            };
            self.broken.extend(said.broken());
        }
        self.broken.extend(check::deadly(&self.frail));
        self.broken.extend(check::deadly_block(&self.frail_engines));
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            gateway.signal("-TERM");
            let code = gateway.wait();
            if code != Some(0) {
                self.broken
                    .push(format!("gateway {index} ended idle with {code:?}"));
            }
            self.broken.extend(check::log(index, &gateway.log()));
        }
        let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
        for call in calls {
            let status = call.answer.as_ref().map_or(0, |answer| answer.status);
            *statuses.entry(status).or_default() += 1;
        }
        Report {
            broken: self.broken,
            script: entries.iter().map(|entry| format!("{entry:?}")).collect(),
            answers: calls.iter().filter(|call| call.answer.is_some()).count(),
            statuses,
        }
    }
}

/// Returns whether a gateway serves a request well within a while.
fn serves(
    gateway: &Gateway,
    index: usize,
    method: &str,
    path: &str,
    fields: &[(&str, &str)],
) -> bool {
    let begun = Instant::now();
    let mut number = 0;
    let fields = [fields, &[account::kept_key()]].concat();
    while begun.elapsed() < LONG {
        number += 1;
        let id = format!("after-{index}-{number}{}", path.replace('/', "-"));
        if gateway.call(method, path, &id, &fields).status == 200 {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}
