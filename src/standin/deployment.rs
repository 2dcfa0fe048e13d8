//! A whole deployment in one process: stand-ins around real entry hosts.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use anyhow::bail;

use crate::clock::Real;
use crate::id::DomainId;
use crate::log::Host;
use crate::log::Kind;
use crate::log::State;
use crate::log::http::Http;
use crate::log::memory::InMemory;
use crate::publish;
use crate::serve::Process;
use crate::settings::Limits;
use crate::settings::Settings;
use crate::upstream::Role;

use super::Engine;
use super::Plain;
use super::Platform;
use super::caller::Caller;
use super::engine::Speed;

/// Any free port on loopback.
pub const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// Longest wait for something to come about.
const SETTLE: Duration = Duration::from_secs(20);
/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(10);

/// An entry host of a deployment.
pub type Entry = Process<Real, Http>;

/// How an engine is built.
#[derive(Debug, Clone)]
pub struct Build {
    /// Role at its start.
    pub role: Role,
    /// How fast it is.
    pub speed: Speed,
    /// Whether it refuses old fencing tokens.
    pub checks_tokens: bool,
}

impl Default for Build {
    fn default() -> Self {
        Build {
            role: Role::Mixed,
            speed: Speed::default(),
            checks_tokens: true,
        }
    }
}

/// A whole deployment in one process.
#[derive(Debug)]
pub struct Deployment {
    /// The platform.
    pub platform: Platform,
    /// Entry hosts by name.
    pub hosts: BTreeMap<String, Entry>,
    /// Engines by name.
    pub engines: BTreeMap<String, Engine>,
    /// Plain services by name.
    pub plains: BTreeMap<String, Plain>,
}

impl Deployment {
    /// Starts a platform and nothing else; each append takes `append_time`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pistachiohall::standin::deployment::Deployment;
    /// assert!(Deployment::start(Duration::ZERO).unwrap().hosts.is_empty());
    /// ```
    pub fn start(append_time: Duration) -> Result<Self> {
        let memory = Arc::new(InMemory::default());
        Ok(Deployment {
            platform: Platform::start(ANY, memory, append_time)?,
            hosts: BTreeMap::new(),
            engines: BTreeMap::new(),
            plains: BTreeMap::new(),
        })
    }

    /// Publishes service files given as text.
    pub fn publish(&self, texts: &[&str]) -> Result<()> {
        let mut collected = publish::Collected::default();
        for (index, text) in texts.iter().enumerate() {
            collected.add(format!("{index}.hall.ini").into(), (*text).to_owned());
        }
        if !collected.faults.0.is_empty() {
            bail!("{}", collected.faults);
        }
        let log = Http::new(self.platform.address());
        let replica = publish::read(&log)?;
        let plan = replica.with(|config| publish::plan(config, &collected.files, false));
        match publish::publish(&log, &Real, &replica, &plan) {
            publish::Outcome::Accepted { .. } | publish::Outcome::Unchanged { .. } => Ok(()),
            other => bail!("not published: {other:?}"),
        }
    }

    /// Starts an engine and lists it.
    pub fn add_engine(
        &mut self,
        name: &str,
        domain: &str,
        service: &str,
        role: Role,
    ) -> Result<()> {
        self.add(
            name,
            domain,
            service,
            Build {
                role,
                ..Build::default()
            },
        )
    }

    /// Starts an engine of a given build and lists it.
    pub fn add(&mut self, name: &str, domain: &str, service: &str, build: Build) -> Result<()> {
        let engine = Engine::start(ANY, build.speed, build.role, build.checks_tokens)?;
        self.enlist(name, domain, Some(service), engine.address(), None);
        self.engines.insert(name.to_owned(), engine);
        Ok(())
    }

    /// Starts a plain service and lists it.
    pub fn add_plain(&mut self, name: &str, domain: &str, service: &str) -> Result<()> {
        let plain = Plain::start(ANY)?;
        self.enlist(name, domain, Some(service), plain.address(), None);
        self.plains.insert(name.to_owned(), plain);
        Ok(())
    }

    /// Returns settings of an entry host, to be changed before it is added.
    pub fn settings(&self, name: &str, domain: &str) -> Settings {
        Settings {
            name: name.into(),
            domain: domain.into(),
            listen: ANY,
            peer_listen: ANY,
            seeds: Vec::new(),
            operator_listen: Some(ANY),
            platform: self.platform.address(),
            metrics: None,
            retention: Duration::from_secs(24 * 3600),
            balancer_lag: Duration::from_millis(300),
            shutdown_limit: Duration::from_secs(30),
            claim_shards: 2,
            limits: Limits::default(),
        }
    }

    /// Starts an entry host, lists it and waits until it serves.
    pub fn add_host(&mut self, settings: Settings) -> Result<()> {
        let (name, domain) = (settings.name.to_string(), settings.domain.to_string());
        let platform = Http::new(settings.platform);
        let entry = Process::start(settings, Real, platform)?;
        let peer = entry.core().settings.peer_listen;
        self.enlist(&name, &domain, None, entry.address(), Some(peer));
        self.hosts.insert(name.clone(), entry);
        Ok(())
    }

    fn enlist(
        &self,
        name: &str,
        domain: &str,
        service: Option<&str>,
        address: SocketAddr,
        peer: Option<SocketAddr>,
    ) {
        let host = Host {
            name: name.into(),
            address,
            peer,
            domain: domain.into(),
            kind: if service.is_some() {
                Kind::Upstream
            } else {
                Kind::Entry
            },
            service: service.map(Into::into),
            state: State::Live,
        };
        self.platform.memory().edit_hosts(|hosts| hosts.push(host));
    }

    /// Takes a host off the platform's list.
    pub fn delist(&self, name: &str) {
        self.platform
            .memory()
            .edit_hosts(|hosts| hosts.retain(|host| host.name != name));
    }

    /// Waits until every entry host serves, has exchanged heartbeats with `peers` others, and can
    /// reach `upstreams` upstreams.
    pub fn settle(&self, peers: usize, upstreams: usize) -> Result<()> {
        let is_settled = |entry: &Entry| {
            let core = entry.core();
            let now = Instant::now();
            let members = core.members.all();
            let permitted = core.members.usable_domains(now);
            let is_near = |domain: &DomainId| *domain == core.settings.domain;
            let heard = members
                .iter()
                .filter(|(_, member)| member.is_alive(now))
                .filter(|(_, member)| is_near(&member.domain) || permitted.contains(&member.domain))
                .count();
            let all = core.table.all();
            let live = all
                .iter()
                .filter(|one| one.takes_work() && one.report().is_some());
            core.is_ready() && heard >= peers && live.count() >= upstreams
        };
        match wait_until(|| self.hosts.values().all(is_settled)) {
            true => Ok(()),
            false => bail!("the deployment does not settle"),
        }
    }

    /// Returns a caller at an entry host.
    pub fn caller(&self, host: &str, key: &str) -> Caller {
        Caller::new(self.hosts[host].address(), key)
    }
}

/// Waits until `holds` returns true; returns false if that takes too long.
pub fn wait_until<F>(mut holds: F) -> bool
where
    F: FnMut() -> bool,
{
    let give_up = Instant::now() + SETTLE;
    while Instant::now() < give_up {
        if holds() {
            return true;
        }
        std::thread::sleep(PAUSE);
    }
    false
}
