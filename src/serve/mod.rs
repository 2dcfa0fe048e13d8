//! One entry process: its duties, its start and its graceful end.

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
/// Pause between two looks at what still runs.
const FINISH_PAUSE: Duration = Duration::from_millis(20);
/// Time after which a caller may do better when all threads are busy.
const BUSY_RETRY: Duration = Duration::from_secs(1);

/// A running entry process.
#[derive(Debug)]
pub struct Process<C, P>
where
    C: Clock,
{
    core: Arc<Core<C, P>>,
    address: SocketAddr,
    operator: Option<SocketAddr>,
    listening: Listener,
}

impl<C, P> Process<C, P>
where
    C: Clock + Clone,
    P: Log + List + Clone,
{
    /// Starts all duties.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be listened on.
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
        let listening = serve_callers(&core, listener)?;
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
            listening,
        })
    }

    /// Returns where callers are served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns where operators are served.
    pub fn operator(&self) -> Option<SocketAddr> {
        self.operator
    }

    /// Returns the shared state.
    pub fn core(&self) -> &Arc<Core<C, P>> {
        &self.core
    }

    /// Ends gracefully: no longer ready, then no new work, then the answers go to peers.
    ///
    /// Requests that the balancer still sends during its lag are served. Returns whether all
    /// requests finished within the limit.
    pub fn shut_down(self) -> bool {
        let core = &self.core;
        let clock = &core.clock;
        info!("leaving");
        core.leaving.store(true, Ordering::SeqCst);
        clock.sleep(core.settings.balancer_lag);
        let give_up = clock.now() + core.settings.shutdown_limit;
        finish(core, give_up);
        self.listening.close();
        let finished = finish(core, give_up);
        hand_over(core);
        core.stop.ask();
        info!(finished = finished; "left");
        finished
    }

    /// Ends at once, as a killed process would, except that threads run out by themselves.
    pub fn abandon(self) {
        self.listening.close();
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

/// Returns `address` with a free port if it names none.
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
    let most = core.settings.limits.open_requests;
    let pool = Pool::new("request", most, move |request| {
        pipeline::serve(&shared, request)
    });
    let stop = StopFlag::default();
    let listening = listen::serve(listener, stop, move |request| {
        counted.open_requests.fetch_add(1, Ordering::SeqCst);
        if let Err(request) = pool.submit(request) {
            counted.open_requests.fetch_sub(1, Ordering::SeqCst);
            let problem = Problem::not_run(503, "too busy", "too many requests are open");
            pipeline::refuse(request, problem.retry_after(BUSY_RETRY));
        }
    })?;
    Ok(listening)
}

/// Waits until no request is open; returns whether that came about in time.
fn finish<C, P>(core: &Core<C, P>, give_up: Instant) -> bool
where
    C: Clock + Clone,
    P: Log + List,
{
    while core.open_requests.load(Ordering::SeqCst) > 0 {
        if core.clock.now() >= give_up {
            return false;
        }
        core.clock.sleep(FINISH_PAUSE);
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
    let mut told_domains = Vec::new();
    for (name, member) in core.members.all() {
        let is_near = member.domain == *own;
        if !member.is_heard(core.clock.now()) || (!is_near && told_domains.contains(&member.domain))
        {
            continue;
        }
        let taken = peers.hand_over(member.peer, core.incarnation, &core.issuer.secret(), &calls);
        info!(peer:% = name, calls = calls.len(), taken = taken; "answers handed over");
        if taken && !is_near {
            told_domains.push(member.domain);
        }
    }
}
