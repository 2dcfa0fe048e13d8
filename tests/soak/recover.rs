//! The end of a run: all faults are over, and everything has to be served again.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use pistachiohall::standin::fleet::store::Fault as StoreFault;

use super::site::Gateway;
use super::site::LONG;
use super::site::wait_for;
use super::world::GATEWAYS;
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
    while begun.elapsed() < LONG {
        number += 1;
        let id = format!("after-{index}-{number}{}", path.replace('/', "-"));
        if gateway.call(method, path, &id, fields).status == 200 {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}
