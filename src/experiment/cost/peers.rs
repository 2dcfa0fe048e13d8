//! Costs of the peer duty, with real connections on loopback.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use cadence::NopMetricSink;
use cadence::StatsdClient;

use crate::clock::Real;
use crate::core::Core;
use crate::log::Host;
use crate::log::Kind;
use crate::log::State;
use crate::log::memory::InMemory;
use crate::peer;
use crate::settings::Limits;
use crate::settings::Settings;
use crate::standin::deployment::ANY;

use super::super::overhead::usage;
use super::Row;

/// Hosts in one failure domain.
const DOMAIN_HOSTS: usize = 13;
/// Numbers of hosts that are measured.
const SIZES: [usize; 3] = [25, 100, 400];
/// Time for which connections are opened.
const WARM: Duration = Duration::from_secs(6);
/// Time that is measured.
const MEASURED: Duration = Duration::from_secs(12);

type Node = Arc<Core<Real, Arc<InMemory>>>;

/// Measures bytes and processor time of a host among growing numbers of hosts.
pub fn run() -> Result<Vec<Row>> {
    let mut bytes = Vec::new();
    let mut processor = Vec::new();
    let mut memory = Vec::new();
    for size in SIZES {
        let (sent, share, resident) = measure(size)?;
        bytes.push((size as f64, sent));
        processor.push((size as f64, share));
        memory.push((size as f64, resident));
    }
    Ok(vec![
        Row::fit("peer duty, sent", "hosts", "bytes/s a host", bytes),
        Row::fit(
            "peer duty, processor",
            "hosts",
            "% of a core a host",
            processor,
        ),
        Row::fit("peer duty, memory", "hosts", "MiB a host", memory),
    ])
}

fn measure(size: usize) -> Result<(f64, f64, f64)> {
    let resident_before = usage().1;
    let memory = Arc::new(InMemory::default());
    let nodes = (0..size)
        .map(|number| start(number, &memory))
        .collect::<Result<Vec<Node>>>()?;
    let hosts: Vec<Host> = nodes.iter().map(listed).collect();
    for node in &nodes {
        node.take_hosts(hosts.clone());
    }
    thread::sleep(WARM);
    let before = (loopback_bytes()?, usage().0);
    thread::sleep(MEASURED);
    let after = (loopback_bytes()?, usage().0);
    let resident = usage().1 - resident_before;
    for node in &nodes {
        node.stop.ask();
    }
    thread::sleep(Duration::from_secs(3));
    let (seconds, count) = (MEASURED.as_secs_f64(), size as f64);
    let sent = (after.0 - before.0) / seconds / count;
    let share = (after.1 - before.1) / seconds / count * 100.0;
    Ok((sent, share, resident / count))
}

fn start(number: usize, memory: &Arc<InMemory>) -> Result<Node> {
    let settings = Settings {
        name: format!("h{number:03}").into(),
        domain: format!("d{:02}", number / DOMAIN_HOSTS).into(),
        listen: ANY,
        peer_listen: std::net::TcpListener::bind(ANY)?.local_addr()?,
        seeds: Vec::new(),
        operator_listen: None,
        platform: ANY,
        metrics: None,
        retention: Duration::from_secs(86_400),
        balancer_lag: Duration::ZERO,
        shutdown_limit: Duration::ZERO,
        claim_shards: 1,
        limits: Limits::default(),
    };
    let metrics = StatsdClient::from_sink("pistachiohall", NopMetricSink);
    let core = Arc::new(Core::new(settings, Real, Arc::clone(memory), metrics));
    peer::start(&core)?;
    Ok(core)
}

fn listed(node: &Node) -> Host {
    Host {
        name: node.settings.name.clone(),
        address: node.settings.listen,
        peer: Some(node.settings.peer_listen),
        domain: node.settings.domain.clone(),
        kind: Kind::Entry,
        service: None,
        state: State::Live,
    }
}

/// Returns the bytes that crossed the loopback interface so far.
fn loopback_bytes() -> Result<f64> {
    let text = std::fs::read_to_string("/proc/net/dev")?;
    let line = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"))
        .context("there is no loopback interface")?;
    let first = line.split_whitespace().next().context("no counter")?;
    Ok(first.parse()?)
}
