//! One gateway process: its threads, its start, its reload and its graceful end.

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
use super::listen;
use super::listen::Connections;
use super::listen::Phase;
use super::peers;
use super::record::Metrics;
use super::reply;
use super::reply::Reply;
use super::serve;
use super::suspect;
use crate::availability::Incarnations;
use crate::clock::Clock;
use crate::follow;
use crate::follow::View;
use crate::follow::ViewPublisher;
use crate::follow::suspects::Message;
use crate::platform::ingress;
use crate::platform::store::Store;
use crate::reassign;
use crate::reassign::Constraints;
use crate::reassign::duty::Config;
use crate::reassign::duty::PendingChanges;
use crate::settings::gateway::Settings;
use crate::suspicion::Report;

/// Pause between two looks for idle connections and at what still runs.
const SWEEP_PAUSE: Duration = Duration::from_millis(500);
/// Pause between two looks at what still runs while the process ends.
const FINISH_PAUSE: Duration = Duration::from_millis(20);
/// Time before the end of the shutdown limit at which what still runs is given up.
const FINISH_MARGIN: Duration = Duration::from_millis(500);
/// States of suspects that wait to be kept; one that finds no room is followed by the next.
const LASTING: usize = 2;
/// Readings of suspects that wait to be taken in.
const REMARKS: usize = 64;
/// Signals that wait to be handled.
const SIGNALS: usize = 8;

/// What the process is told from outside.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Notice {
    Reload,
    End,
}

/// Runs a gateway until a signal asks it to end; returns whether all requests finished.
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
    let notices = signals()?;
    let (socket, questions) = peers::open(settings.peer_listen)?;
    let own = follow::hosts::LocalHost {
        name: settings.name.clone(),
        domain: settings.domain.clone(),
        peer: socket.local_addr()?,
    };
    let (keep, lasting) = channel::bounded(LASTING);
    let (remark, remarks) = mpsc::channel(REMARKS);
    let is_partial = Arc::<AtomicBool>::default();
    let suspects = follow::suspects::Channels {
        lasting,
        remarks: remark,
        is_partial: Arc::clone(&is_partial),
    };
    let (hosts, exchange) = follow::start(&views, own, suspects, clock, &store)?;
    let (constraints, known) = watch::channel(Constraints::default());
    let (pending_changes, ordered) = watch::channel(PendingChanges::default());
    let incarnations = Arc::new(Incarnations::default());
    let officer = Config {
        host: settings.name.clone(),
        lease: settings.lease,
        read_share: settings.read_share,
        incarnations: Arc::clone(&incarnations),
    };
    reassign::duty::start(officer, view.clone(), known, pending_changes, clock, &store)?;
    if let Some(address) = settings.metrics_listen {
        super::metrics::start(address, &metrics);
    }
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the request loop")?;
    let gateway = Rc::new(Gateway::new(settings, metrics, incarnations));
    let peers = peers::Inputs {
        hosts,
        pending_changes: ordered,
        constraints,
        exchange,
        is_partial,
    };
    let sources = Sources {
        views,
        view,
        peers,
        socket,
        questions,
        notices,
        file,
        store,
        keep,
        remarks,
    };
    runtime.block_on(LocalSet::new().run_until(serve_until_asked(gateway, sources)))
}

fn signals() -> Result<mpsc::Receiver<Notice>> {
    let (sender, receiver) = mpsc::channel(SIGNALS);
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            for signal in signals.forever() {
                let notice = if signal == SIGHUP {
                    Notice::Reload
                } else {
                    Notice::End
                };
                if let Err(cause) = sender.try_send(notice) {
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

/// What the loop hears from other threads, and where its settings are.
#[derive(Debug)]
struct Sources {
    views: Arc<ViewPublisher>,
    view: watch::Receiver<Arc<View>>,
    peers: peers::Inputs,
    socket: std::net::UdpSocket,
    questions: std::net::TcpListener,
    notices: mpsc::Receiver<Notice>,
    file: PathBuf,
    store: Store,
    /// Takes what must outlast the process.
    keep: channel::Sender<Vec<Report>>,
    remarks: mpsc::Receiver<Message>,
}

async fn serve_until_asked(gateway: Rc<Gateway>, sources: Sources) -> Result<bool> {
    let Sources {
        views,
        view,
        peers: peer_sources,
        socket,
        questions,
        mut notices,
        file,
        store,
        keep,
        remarks,
    } = sources;
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
    task::spawn_local(follow_views(Rc::clone(&gateway), view));
    let socket = UdpSocket::from_std(socket)?;
    task::spawn_local(peers::run(Rc::clone(&gateway), socket, peer_sources));
    task::spawn_local(suspect::follow(Rc::clone(&gateway), remarks));
    task::spawn_local(sweep(Rc::clone(&gateway), Arc::clone(&views), store, keep));
    task::spawn_local(bootstrap::ask_peers(Rc::clone(&gateway), views));
    let (phase, connections) = start_listening(&gateway, callers, balancer);
    answer_peers(&gateway, TcpListener::from_std(questions)?);
    while let Some(Notice::Reload) = notices.recv().await {
        reload(&gateway, &file);
    }
    Ok(end(&gateway, &phase, &connections).await)
}

fn start_listening(
    gateway: &Rc<Gateway>,
    callers: TcpListener,
    balancer: TcpListener,
) -> (watch::Sender<Phase>, Connections) {
    let (phase, follower) = watch::channel(Phase::Open);
    let connections = Connections::default();
    let own = Rc::clone(gateway);
    let answer = move |request: Request<Incoming>| serve::serve(Rc::clone(&own), request);
    task::spawn_local(listen::accept(
        callers,
        answer,
        follower.clone(),
        connections.clone(),
    ));
    let own = Rc::clone(gateway);
    let answer = move |request: Request<Incoming>| std::future::ready(readiness(&own, &request));
    task::spawn_local(listen::accept(
        balancer,
        answer,
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

/// Answers peers that start without the store.
fn answer_peers(gateway: &Rc<Gateway>, listener: TcpListener) {
    let own = Rc::clone(gateway);
    let answer =
        move |request: Request<Incoming>| std::future::ready(bootstrap::answer(&own, &request));
    // The sender is kept by the task, so that the listener stays to the end of the process.
    let (phase, follower) = watch::channel(Phase::Open);
    task::spawn_local(async move {
        listen::accept(listener, answer, follower, Connections::default()).await;
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
    keep: channel::Sender<Vec<Report>>,
) {
    loop {
        let now = Instant::now();
        gateway.sweep(now);
        let lasting = suspect::settle(&gateway, views.read().upstreams, now);
        if keep.try_send(lasting).is_err() {
            log::debug!("the thread that keeps suspects is busy; it is told again");
        }
        set_gauges(&gateway, &views, &store, now);
        time::sleep(SWEEP_PAUSE).await;
    }
}

/// Shows what the host believes and how old that is; a gauge without a value is not shown.
fn set_gauges(gateway: &Gateway, views: &ViewPublisher, store: &Store, now: Instant) {
    let metrics = &gateway.metrics;
    let age = |at: Instant| now.saturating_duration_since(at).as_millis() as i64;
    let read = views.read();
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
    metrics.set("store_calls", store.calls() as i64);
}

/// Reads the settings again; what can change while requests run is taken over.
fn reload(gateway: &Gateway, file: &PathBuf) {
    let name = file.display().to_string();
    let settings = match fs::read_to_string(file) {
        Ok(text) => Settings::parse(&name, &text).map_err(|faults| faults.to_string()),
        Err(cause) => Err(cause.to_string()),
    };
    match settings {
        Ok(settings) => {
            let is_same = settings == gateway.settings;
            gateway.set_retries(settings.retries);
            info!(
                file:% = name,
                same = is_same,
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

/// Ends: no longer ready, then no new connections, then no open requests.
async fn end(gateway: &Gateway, phase: &watch::Sender<Phase>, connections: &Connections) -> bool {
    let begun = Instant::now();
    gateway.leave();
    phase.send_replace(Phase::Closing);
    info!(
        connections = connections.open(),
        outcome = "leaving";
        "leaving"
    );
    time::sleep(gateway.settings.balancer_lag).await;
    phase.send_replace(Phase::Closed);
    let limit = gateway
        .settings
        .shutdown_limit
        .saturating_sub(FINISH_MARGIN);
    while connections.open() > 0 && begun.elapsed() < limit {
        time::sleep(FINISH_PAUSE).await;
    }
    let is_finished = connections.open() == 0;
    info!(
        after_ms = begun.elapsed().as_millis() as u64,
        finished = is_finished,
        outcome = "left";
        "left"
    );
    is_finished
}
