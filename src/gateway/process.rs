//! Gateway process: its threads, startup, reload and graceful shutdown.

use std::fs;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use crossbeam::channel;
use http::Request;
use http::StatusCode;
use hyper::body::Incoming;
use log::info;
use log::warn;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::runtime;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task;
use tokio::task::LocalSet;
use tokio::time;

use super::Gateway;
use super::bootstrap;
use super::demand;
use super::listen;
use super::listen::Connections;
use super::listen::Phase;
use super::origin;
use super::peers;
use super::record::Metrics;
use super::reply;
use super::reply::Reply;
use super::serve;
use super::shutdown::Schedule;
use super::suspect;
use crate::availability::Incarnations;
use crate::capacity;
use crate::capacity::duty::Outlook;
use crate::clock::Clock;
use crate::follow;
use crate::follow::View;
use crate::follow::ViewPublisher;
use crate::follow::builds::Change;
use crate::follow::suspects::Message;
use crate::log::keyed::Keyed;
use crate::platform::duties;
use crate::platform::duties::Client;
use crate::platform::ingress;
use crate::platform::store::Store;
use crate::reassign;
use crate::reassign::Constraints;
use crate::reassign::duty::Config;
use crate::reassign::duty::PendingChanges;
use crate::settings::gateway::Settings;
use crate::suspicion::Report;
use crate::usage;

/// Interval at which idle connections are closed, suspects reconciled and gauges updated.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which open connections are counted during shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time before the shutdown limit at which the requests that still run are abandoned.
const DRAIN_MARGIN: Duration = Duration::from_millis(500);
/// Maximum time for the answers to abandoned requests to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of suspect states queued for the store; one that finds the queue full is dropped,
/// since the next sweep sends a newer one.
const MAX_QUEUED_REPORTS: usize = 2;
/// Maximum number of queued messages about suspects in the store.
const MAX_QUEUED_MESSAGES: usize = 64;
/// Maximum number of changes of builds and of batches of streams that are queued for the store.
const MAX_QUEUED_BUILDS: usize = 64;
/// Maximum number of signals that wait to be handled.
const MAX_QUEUED_SIGNALS: usize = 8;

/// Command that a signal gives to the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Command {
    Reload,
    ShutDown,
}

/// Runs a gateway until a signal asks it to shut down; returns `true` if all requests finished.
///
/// # Errors
///
/// Fails if an address cannot be listened on or a thread cannot be started.
pub fn run<C>(settings: Settings, file: PathBuf, clock: &C) -> Result<bool>
where
    C: Clock + Clone,
{
    let metrics = Arc::new(Metrics::default());
    let (views, view) = ViewPublisher::new();
    let store = Store::new(settings.store);
    let commands = signals()?;
    let (socket, queries) = peers::open(settings.peer_listen)?;
    let local_host = follow::hosts::LocalHost {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        peer: socket.local_addr()?,
    };
    let (persist, persistent) = channel::bounded(MAX_QUEUED_REPORTS);
    let (message_sender, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let is_partial = Arc::<AtomicBool>::default();
    let suspects = follow::suspects::Channels {
        reports: persistent,
        messages: message_sender,
        is_partial: Arc::clone(&is_partial),
    };
    let (build_changes, changes) = channel::bounded(MAX_QUEUED_BUILDS);
    let (build_sender, build_messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let builds = follow::builds::Channels {
        changes,
        messages: build_sender,
    };
    let (hosts, exchange) = follow::start(&views, local_host, suspects, builds, clock, &store)?;
    let (constraints, constraint_updates) = watch::channel(Constraints::default());
    let (pending_changes, pending_change_updates) = watch::channel(PendingChanges::default());
    let incarnations = Arc::new(Incarnations::default());
    let config = Config {
        host: settings.name.clone(),
        lease: settings.lease,
        read_share: settings.read_share,
        incarnations: Arc::clone(&incarnations),
    };
    reassign::duty::start(
        config,
        view.clone(),
        constraint_updates,
        pending_changes,
        clock,
        &store,
    )?;
    let (outlook, outlooks) = watch::channel(Outlook::default());
    if let Some(duties) = settings
        .duties
        .as_ref()
        .filter(|_| demand::is_ordered(&settings))
    {
        let config = capacity::duty::Config {
            host: settings.name.clone(),
            lease: settings.lease,
            second_worth: settings.second_worth,
            max_calls_per_s: duties.max_calls_per_s,
            incarnations: Arc::clone(&incarnations),
        };
        let client = Client::new(duties.address);
        let inputs = capacity::duty::Inputs {
            view: view.clone(),
            outlook: outlooks,
        };
        capacity::duty::start(config, client, &metrics, inputs, clock, &store)?;
    }
    if let Some(address) = settings.metrics_listen {
        super::metrics::start(address, &metrics);
    }
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the request loop")?;
    let gateway = Rc::new(Gateway::new(settings, metrics, incarnations));
    start_duties(&gateway, clock, &store)?;
    let peers = peers::Inputs {
        hosts,
        pending_changes: pending_change_updates,
        constraints,
        exchange,
        is_partial,
        outlook,
    };
    let inputs = Inputs {
        views,
        view,
        peers,
        socket,
        queries,
        commands,
        file,
        store,
        persist,
        messages,
        build_changes,
        build_messages,
    };
    runtime.block_on(LocalSet::new().run_until(serve_until_shutdown(gateway, inputs)))
}

/// Starts the threads of the duties that one host at a time has.
fn start_duties<C>(gateway: &Gateway, clock: &C, store: &Store) -> Result<()>
where
    C: Clock + Clone,
{
    let settings = &gateway.settings;
    if let (Some(duties), Some(book)) = (&settings.duties, gateway.usage.book()) {
        let config = usage::duty::Config {
            host: settings.name.clone(),
            lease: settings.lease,
            max_calls_per_s: duties.max_calls_per_s,
        };
        let platform = duties::Client::new(duties.address);
        usage::duty::start(
            config,
            Arc::clone(book),
            platform,
            &gateway.metrics,
            clock,
            store,
        )?;
    }
    Ok(())
}

fn signals() -> Result<mpsc::Receiver<Command>> {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_SIGNALS);
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            for signal in signals.forever() {
                let command = if signal == SIGHUP {
                    Command::Reload
                } else {
                    Command::ShutDown
                };
                if let Err(cause) = sender.try_send(command) {
                    warn!(
                        signal:% = signal,
                        outcome = "ignored",
                        cause:% = cause;
                        "signal not handled"
                    );
                }
            }
        })?;
    Ok(receiver)
}

/// Inputs of the request loop from other threads, and the path of its settings file.
#[derive(Debug)]
struct Inputs {
    views: Arc<ViewPublisher>,
    view: watch::Receiver<Arc<View>>,
    peers: peers::Inputs,
    socket: std::net::UdpSocket,
    queries: std::net::TcpListener,
    commands: mpsc::Receiver<Command>,
    file: PathBuf,
    store: Store,
    /// Takes suspects that must outlast the process.
    persist: channel::Sender<Vec<Report>>,
    messages: mpsc::Receiver<Message>,
    /// Takes builds that must outlast the process.
    build_changes: channel::Sender<Change>,
    build_messages: mpsc::Receiver<follow::builds::Message>,
}

async fn serve_until_shutdown(gateway: Rc<Gateway>, inputs: Inputs) -> Result<bool> {
    let Inputs {
        views,
        view,
        peers: peer_inputs,
        socket,
        queries,
        mut commands,
        file,
        store,
        persist,
        messages,
        build_changes,
        build_messages,
    } = inputs;
    let callers = listen::open(gateway.settings.listen)?;
    let balancer = listen::open(gateway.settings.ready_listen)?;
    info!(
        domain:% = gateway.settings.domain,
        callers:% = callers.local_addr()?,
        balancer:% = balancer.local_addr()?,
        peers:% = socket.local_addr()?,
        store:% = gateway.settings.store,
        version:% = env!("CARGO_PKG_VERSION"),
        outcome = "started";
        "started"
    );
    gateway.age_observer.follow(Arc::clone(&views));
    gateway.keys.follow(Arc::clone(&views));
    task::spawn_local(follow_views(Rc::clone(&gateway), view));
    let socket = UdpSocket::from_std(socket)?;
    task::spawn_local(peers::run(Rc::clone(&gateway), socket, peer_inputs));
    task::spawn_local(suspect::follow(Rc::clone(&gateway), messages));
    task::spawn_local(origin::follow(Rc::clone(&gateway), build_messages));
    task::spawn_local(origin::store_streams(
        Rc::clone(&gateway),
        build_changes.clone(),
    ));
    task::spawn_local(sweep(
        Rc::clone(&gateway),
        Arc::clone(&views),
        store,
        persist,
        build_changes,
    ));
    task::spawn_local(bootstrap::query_peers(
        Rc::clone(&gateway),
        Arc::clone(&views),
    ));
    task::spawn_local(bootstrap::follow_peers(Rc::clone(&gateway), views));
    let (phase, connections) = start_listening(&gateway, callers, balancer);
    serve_views(&gateway, TcpListener::from_std(queries)?);
    while let Some(Command::Reload) = commands.recv().await {
        reload(&gateway, &file);
    }
    Ok(shut_down(&gateway, &phase, &connections).await)
}

fn start_listening(
    gateway: &Rc<Gateway>,
    callers: TcpListener,
    balancer: TcpListener,
) -> (watch::Sender<Phase>, Connections) {
    let (phase, follower) = watch::channel(Phase::Open);
    let connections = Connections::default();
    let own = Rc::clone(gateway);
    let serve = move |request: Request<Incoming>| serve::serve(Rc::clone(&own), request);
    task::spawn_local(listen::accept(
        callers,
        serve,
        follower.clone(),
        connections.clone(),
    ));
    let own = Rc::clone(gateway);
    let serve = move |request: Request<Incoming>| std::future::ready(readiness(&own, &request));
    task::spawn_local(listen::accept(
        balancer,
        serve,
        follower,
        Connections::default(),
    ));
    (phase, connections)
}

fn readiness(gateway: &Gateway, request: &Request<Incoming>) -> Reply {
    match (request.uri().path(), gateway.is_ready()) {
        (ingress::READINESS_PATH, true) => reply::own(StatusCode::OK, "ready"),
        (ingress::READINESS_PATH, false) => {
            reply::own(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
        _ => reply::own(StatusCode::NOT_FOUND, "only readiness is served here"),
    }
}

/// Serves this host's view to peers that start without the store.
fn serve_views(gateway: &Rc<Gateway>, listener: TcpListener) {
    let own = Rc::clone(gateway);
    let serve =
        move |request: Request<Incoming>| std::future::ready(bootstrap::serve_view(&own, &request));
    // The task holds the sender, so that the listener stays open until the process exits.
    let (phase, follower) = watch::channel(Phase::Open);
    task::spawn_local(async move {
        listen::accept(listener, serve, follower, Connections::default()).await;
        drop(phase);
    });
}

async fn follow_views(gateway: Rc<Gateway>, mut view: watch::Receiver<Arc<View>>) {
    loop {
        let newest = Arc::clone(&view.borrow_and_update());
        let was_ready = gateway.is_ready();
        gateway.adopt(newest);
        if gateway.is_ready() != was_ready {
            info!(ready = gateway.is_ready(); "readiness changed");
        }
        if view.changed().await.is_err() {
            return;
        }
    }
}

async fn sweep(
    gateway: Rc<Gateway>,
    views: Arc<ViewPublisher>,
    store: Store,
    persist: channel::Sender<Vec<Report>>,
    build_changes: channel::Sender<Change>,
) {
    loop {
        let now = Instant::now();
        gateway.sweep(now);
        origin::store(&build_changes, gateway.sweep_streams(now));
        let persistent = suspect::reconcile(&gateway, views.last_read().upstreams, now);
        if let Some(persistent) = persistent
            && persist.try_send(persistent).is_err()
        {
            log::debug!(
                "suspects not queued for the store: the queue is full; retrying at the next sweep"
            );
        }
        set_gauges(&gateway, &views, &store, now);
        gateway.observe_keys();
        time::sleep(SWEEP_INTERVAL).await;
    }
}

/// Sets the gauges of the view and its age; a gauge without a value isn't exported.
fn set_gauges(gateway: &Gateway, views: &ViewPublisher, store: &Store, now: Instant) {
    let metrics = &gateway.metrics;
    let age = |at: Instant| now.saturating_duration_since(at).as_millis() as i64;
    let read = views.last_read();
    if let Some(at) = read.config {
        metrics.set("config_age_ms", age(at));
    }
    if let Some(at) = read.upstreams {
        metrics.set("upstreams_age_ms", age(at));
    }
    if let Some(catalog) = gateway.catalog() {
        metrics.set("config_version", catalog.version() as i64);
    }
    if let Some(left) = gateway.retries_left(now) {
        metrics.set("repeats_left", left as i64);
    }
    let (leaving, paused) = gateway.incarnations.count_unavailable(now);
    metrics.set("upstreams_leaving_by_answer", leaving as i64);
    metrics.set("upstreams_paused", paused as i64);
    let limited = gateway.incarnations.count_limited(now);
    metrics.set("upstreams_limited", limited as i64);
    metrics.set(
        "held_request_bytes",
        gateway.held_requests.held_bytes() as i64,
    );
    metrics.set(
        "held_response_bytes",
        gateway.held_responses.held_bytes() as i64,
    );
    metrics.set(
        "held_stream_bytes",
        gateway.held_streams.held_bytes() as i64,
    );
    metrics.set("store_calls", store.calls() as i64);
    metrics.set("store_era", store.newest_era() as i64);
}

/// Reads the settings file again and applies the settings that can change at run time.
fn reload(gateway: &Gateway, file: &PathBuf) {
    let name = file.display().to_string();
    let settings = match fs::read_to_string(file) {
        Ok(text) => Settings::parse(&name, &text).map_err(|faults| faults.to_string()),
        Err(cause) => Err(cause.to_string()),
    };
    match settings {
        Ok(settings) => {
            let is_unchanged = settings == gateway.settings;
            gateway.set_retry_bounds(settings.retries);
            info!(
                file:% = name,
                same = is_unchanged,
                repeats:? = settings.retries,
                outcome = "reloaded";
                "settings reloaded"
            );
        }
        Err(fault) => warn!(
            file:% = name,
            outcome = "kept-old-settings",
            cause:% = fault;
            "settings not reloaded"
        ),
    }
}

/// Shuts down: reports not ready, stops accepting connections, waits for open requests, and answers those
/// that still run at the end.
async fn shut_down(
    gateway: &Gateway,
    phase: &watch::Sender<Phase>,
    connections: &Connections,
) -> bool {
    let started_at = Instant::now();
    let settings = &gateway.settings;
    let limit = settings.shutdown_limit.saturating_sub(DRAIN_MARGIN);
    let schedule = Schedule::new(started_at, settings.balancer_lag, limit);
    gateway.leave(schedule);
    gateway.usage.leave();
    phase.send_replace(Phase::Closing);
    info!(
        connections = connections.open(),
        outcome = "leaving";
        "leaving"
    );
    time::sleep_until(schedule.closes_at.into()).await;
    phase.send_replace(Phase::Closed);
    wait_until_closed(connections, schedule.ends_at).await;
    let is_finished = connections.open() == 0;
    if !is_finished {
        gateway.shutdown_end.notify_waiters();
        wait_until_closed(connections, schedule.ends_at + FLUSH_TIMEOUT).await;
    }
    info!(
        after_ms = started_at.elapsed().as_millis() as u64,
        finished = is_finished,
        outcome = "left";
        "left"
    );
    is_finished
}

/// Waits until all connections are closed, or until `until`.
async fn wait_until_closed(connections: &Connections, until: Instant) {
    while connections.open() > 0 && Instant::now() < until {
        time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}
