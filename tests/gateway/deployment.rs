//! Test harness with upstreams that can crash, a store and several hosts.

use std::time::Duration;

use pistachiohall::standin::fleet;
use pistachiohall::standin::fleet::client::Answer;
use pistachiohall::standin::fleet::client::Client;
use pistachiohall::standin::fleet::mortal::CrashBehavior;
use pistachiohall::standin::fleet::mortal::CrashMode;
use pistachiohall::standin::fleet::mortal::CrashingUpstream;
use pistachiohall::standin::fleet::mortal::Role;
use pistachiohall::standin::fleet::store::Store;

use super::site::Gateway;
use super::site::LONG_PROMPT;
use super::site::NO_ORDERS;
use super::site::SHORT_PROMPT;

/// Maximum number of upstreams that one request may crash, over all hosts.
const MAX_CRASHED: usize = 3;
/// Time from an upstream's crash to its next incarnation; its entry doesn't expire in between.
const EARLY_RESTART_DELAY: Duration = Duration::from_millis(700);
/// Time from an upstream's crash to its next incarnation; its entry expires in between.
pub const BACK_LATE: Duration = Duration::from_millis(1500);
/// Header field with the deadline of callers, in milliseconds.
pub const DEADLINE: (&str, &str) = ("Pistachiohall-Deadline-Ms", "700");

/// A request that is sent repeatedly.
#[derive(Clone, Copy)]
pub struct Kind {
    pub method: &'static str,
    pub path: &'static str,
    pub body: &'static [u8],
    pub prompt: &'static [(&'static str, &'static str)],
}

pub const ACT: Kind = Kind {
    method: "POST",
    path: "/act/deadly",
    body: b"order 7",
    prompt: &[],
};
pub const ACT_EMPTY: Kind = Kind { body: b"", ..ACT };
pub const READ: Kind = Kind {
    method: "GET",
    path: "/read/deadly",
    body: b"",
    prompt: &[],
};
pub const DRAFT: Kind = Kind {
    method: "POST",
    path: "/draft/deadly",
    body: b"words",
    prompt: &SHORT_PROMPT,
};
pub const LONG_ASK: Kind = Kind {
    method: "POST",
    path: "/ask/deadly",
    body: b"a dossier",
    prompt: &LONG_PROMPT,
};

/// Upstreams that can crash, a store and hosts.
pub struct Deployment {
    pub gateways: Vec<Gateway>,
    pub mortals: Vec<CrashingUpstream>,
    pub store: Store,
    pub sent: usize,
    settings: &'static str,
}

impl Deployment {
    pub fn new(hosts: usize, behavior: CrashBehavior) -> Self {
        Deployment::with_settings(hosts, behavior, NO_ORDERS)
    }

    /// Starts a deployment; `settings` is added to those of each host.
    pub fn with_settings(hosts: usize, behavior: CrashBehavior, settings: &'static str) -> Self {
        let store = Store::start().unwrap();
        store.put_config(&fleet::config(3));
        let role = |name, service, stage| Role {
            name,
            service,
            stage,
        };
        let roles = [
            role("c1", "desk", None),
            role("c2", "desk", None),
            role("c3", "desk", None),
            role("c4", "desk", None),
            role("p1", "lm", Some("prefill")),
            role("p2", "lm", Some("prefill")),
            role("p3", "lm", Some("prefill")),
            role("p4", "lm", Some("prefill")),
            role("d1", "lm", Some("decode")),
            role("d2", "lm", Some("decode")),
            role("d3", "lm", Some("decode")),
            role("d4", "lm", Some("decode")),
        ];
        let start = |role| CrashingUpstream::start(store.registry(), role, behavior).unwrap();
        let mortals: Vec<CrashingUpstream> = roles.into_iter().map(start).collect();
        let mut deployment = Deployment {
            gateways: Vec::new(),
            mortals,
            store,
            sent: 0,
            settings,
        };
        for _ in 0..hosts {
            deployment.add_host();
        }
        deployment
    }

    pub fn add_host(&mut self) {
        let name = format!("h{}", self.gateways.len() + 1);
        let gateway = Gateway::start(&name, self.store.address(), self.settings);
        self.gateways.push(gateway);
        self.wait_ready(self.gateways.len() - 1);
    }

    pub fn wait_ready(&self, host: usize) {
        let gateway = &self.gateways[host];
        gateway.wait_ready();
        let peers = self.gateways.len() - 1;
        if peers > 0 {
            gateway.wait_line(&[&format!("peers={peers}")]);
        }
    }

    pub fn restart(&mut self, host: usize) {
        self.gateways[host].restart();
        self.wait_ready(host);
    }

    /// Sends a request with a new identifier to a host; returns `None` if the connection is closed
    /// without a response.
    pub fn send(&mut self, host: usize, kind: Kind) -> Option<Answer> {
        self.sent += 1;
        let id = format!("r{}", self.sent);
        send(&self.gateways[host], &id, kind)
    }

    pub fn ended(&self) -> usize {
        self.mortals.iter().map(|mortal| mortal.ends().len()).sum()
    }

    /// Waits until all upstreams have restarted and all hosts know it.
    pub fn wait_whole(&self) {
        std::thread::sleep(BACK_LATE + Duration::from_millis(500));
    }

    pub fn assert_few_ended(&self) {
        let ended = self.ended();
        assert!(ended > 0, "the request ran at no upstream");
        assert!(ended <= MAX_CRASHED, "too many upstreams crashed: {ended}");
    }

    /// Checks that each host serves a harmless request to the same upstreams.
    pub fn assert_others_are_served(&mut self, kind: Kind) {
        let path: &'static str = match kind.path {
            "/act/deadly" => "/act/sound",
            "/read/deadly" => "/read/sound",
            "/draft/deadly" => "/draft/sound",
            _ => "/ask/sound",
        };
        for host in 0..self.gateways.len() {
            let answer = self.send(host, Kind { path, ..kind });
            assert_eq!(answer.map_or(0, |answer| answer.status), 200);
        }
    }
}

/// Sends a request on a new connection; returns `None` if the connection is closed without a
/// response.
pub fn send(gateway: &Gateway, id: &str, kind: Kind) -> Option<Answer> {
    let mut fields = kind.prompt.to_vec();
    fields.push(DEADLINE);
    let mut client = Client::connect(gateway.callers()).ok()?;
    client
        .send(kind.method, kind.path, id, &fields, kind.body)
        .ok()?;
    client.receive().ok()
}

pub const RESET: CrashBehavior = CrashBehavior {
    death: CrashMode::Reset,
    back_after: EARLY_RESTART_DELAY,
    keeps_name: true,
    spares_prefill_engines: false,
};
pub const RESET_LATE: CrashBehavior = CrashBehavior {
    back_after: BACK_LATE,
    keeps_name: false,
    ..RESET
};
pub const DARK: CrashBehavior = CrashBehavior {
    death: CrashMode::Dark,
    ..RESET
};
pub const DARK_LATE: CrashBehavior = CrashBehavior {
    death: CrashMode::Dark,
    ..RESET_LATE
};
