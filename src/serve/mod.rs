//! An entry process: its start, its background tasks and its graceful shutdown.

mod duties;
mod operator;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use cadence::NopMetricSink;
use cadence::StatsdClient;
use cadence::UdpMetricSink;
use log::info;

use crate::clock::Clock;
use crate::core::Core;
use crate::duty::Pool;
use crate::duty::StopFlag;
use crate::listen;
use crate::listen::Listener;
use crate::log::List;
use crate::log::Log;
use crate::peer;
use crate::pipeline;
use crate::problem::Problem;
use crate::settings::Settings;

/// Prefix of all metrics.
const METRIC_PREFIX: &str = "pistachiohall";
/// Interval at which shutdown checks for open requests.
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a caller may retry when all threads are busy.
const BUSY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// A running entry process.
#[derive(Debug)]
pub struct Process<C, P>
where
    C: Clock,
{
    core: Arc<Core<C, P>>,
    address: SocketAddr,
    operator: Option<SocketAddr>,
    listener: Listener,
}

impl<C, P> Process<C, P>
where
    C: Clock + Clone,
    P: Log + List + Clone,
{
    /// Starts the process and its background tasks.
    ///
    /// # Errors
    ///
    /// Fails if it cannot listen on an address.
    pub fn start(mut settings: Settings, clock: C, platform: P) -> Result<Self> {
        let metrics = metrics(&settings)?;
        let listener = listen::open(settings.listen)
            .with_context(|| format!("cannot listen on {}", settings.listen))?;
        let address = listener.local_addr()?;
        settings.peer_listen = reserve(settings.peer_listen)?;
        let core = Arc::new(Core::new(settings, clock, platform, metrics));
        peer::start(&core)?;
        duties::start(&core);
        let operator = operator::start(&core)?;
        let listener = serve_callers(&core, listener)?;
        info!(
            domain:% = core.settings.domain,
            incarnation:% = core.incarnation,
            listen:% = address,
            peers:% = core.settings.peer_listen;
            "started"
        );
        Ok(Process {
            core,
            address,
            operator,
            listener,
        })
    }

    /// Returns the address on which callers are served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address on which operators are served, if any.
    pub fn operator(&self) -> Option<SocketAddr> {
        self.operator
    }

    /// Returns the state shared by the threads of the process.
    pub fn core(&self) -> &Arc<Core<C, P>> {
        &self.core
    }

    /// Shuts down gracefully: reports itself as not ready, then takes no new requests, then hands
    /// the outcomes of one-time calls over to peers.
    ///
    /// Requests that the balancer still sends during its lag are served. Returns `true` if all
    /// requests finished within the limit.
    pub fn shut_down(self) -> bool {
        let core = &self.core;
        let clock = &core.clock;
        info!("leaving");
        core.leaving.store(true, Ordering::SeqCst);
        clock.sleep(core.settings.balancer_lag);
        let give_up_at = clock.now() + core.settings.shutdown_limit;
        finish(core, give_up_at);
        self.listener.close();
        let finished = finish(core, give_up_at);
        hand_over(core);
        core.stop.ask();
        info!(finished = finished; "left");
        finished
    }

    /// Stops at once and hands nothing over, as a killed process would; its threads end by
    /// themselves.
    pub fn abandon(self) {
        self.listener.close();
        self.core.stop.ask();
    }
}

fn metrics(settings: &Settings) -> Result<StatsdClient> {
    let Some(address) = settings.metrics else {
        return Ok(StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink));
    };
    let socket = std::net::UdpSocket::bind("0.0.0.0:0")?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(address, socket)?;
    Ok(StatsdClient::from_sink(METRIC_PREFIX, sink))
}

/// Returns `address`, with a free port in place of port 0.
fn reserve(address: SocketAddr) -> Result<SocketAddr> {
    match address.port() {
        0 => Ok(std::net::TcpListener::bind(address)?.local_addr()?),
        _ => Ok(address),
    }
}

fn serve_callers<C, P>(core: &Arc<Core<C, P>>, listener: std::net::TcpListener) -> Result<Listener>
where
    C: Clock + Clone,
    P: Log + List,
{
    let shared = Arc::clone(core);
    let counted = Arc::clone(core);
    let max_threads = core.settings.limits.open_requests;
    let pool = Pool::new("request", max_threads, move |request| {
        pipeline::serve(&shared, request)
    });
    let stop = StopFlag::default();
    let listener = listen::serve(listener, stop, move |request| {
        counted.open_requests.fetch_add(1, Ordering::SeqCst);
        if let Err(request) = pool.submit(request) {
            counted.open_requests.fetch_sub(1, Ordering::SeqCst);
            let problem = Problem::not_run(503, "too busy", "too many requests are open");
            pipeline::refuse(request, problem.retry_after(BUSY_RETRY_DELAY));
        }
    })?;
    Ok(listener)
}

/// Waits until no request is open; returns `false` if some are still open at `give_up_at`.
fn finish<C, P>(core: &Core<C, P>, give_up_at: Instant) -> bool
where
    C: Clock + Clone,
    P: Log + List,
{
    while core.open_requests.load(Ordering::SeqCst) > 0 {
        if core.clock.now() >= give_up_at {
            return false;
        }
        core.clock.sleep(FINISH_POLL_INTERVAL);
    }
    true
}

fn hand_over<C, P>(core: &Core<C, P>)
where
    C: Clock + Clone,
    P: Log + List,
{
    let calls = core.ledger.close();
    let Some(peers) = core.peers.get() else {
        return;
    };
    let own = &core.settings.domain;
    let mut served_domains = Vec::new();
    for (name, member) in core.members.all() {
        let is_same_domain = member.domain == *own;
        if !member.is_alive(core.clock.now())
            || (!is_same_domain && served_domains.contains(&member.domain))
        {
            continue;
        }
        let taken = peers.hand_over(member.peer, core.incarnation, &core.issuer.secret(), &calls);
        info!(peer:% = name, calls = calls.len(), taken = taken; "outcomes of calls handed over");
        if taken && !is_same_domain {
            served_domains.push(member.domain);
        }
    }
}
