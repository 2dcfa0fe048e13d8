//! Streams go on only at the build that began them: what this host knows of it, and what its peers do.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crossbeam::channel::Sender;
use log::info;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::time;

use super::Gateway;
use super::call::Call;
use super::target::Target;
use crate::catalog::Catalog;
use crate::catalog::Route;
use crate::follow::View;
use crate::follow::builds::Change;
use crate::follow::builds::Message;
use crate::gossip;
use crate::gossip::Datagram;
use crate::gossip::OriginQuery;
use crate::gossip::RunningStreams;
use crate::gossip::StreamOrigin;
use crate::id::BuildDigest;
use crate::id::BuildId;
use crate::id::ServiceId;
use crate::id::StreamDigest;
use crate::origin;
use crate::origin::Backup;
use crate::origin::History;
use crate::origin::Inference;
use crate::origin::Origins;
use crate::origin::Poll;
use crate::origin::Reading;
use crate::origin::Running;
use crate::origin::Stored;

/// Reason for refusing to resume a stream whose build is not known.
pub const UNKNOWN_BUILD: &str = "the build that began the stream is not known";
/// Reason for refusing to resume a stream whose build has no engine.
pub const NO_ENGINE: &str = "no engine of the stream's build takes work";
/// Maximum wait for the answers of peers to a query, several round trips within a site.
const QUERY_TIMEOUT: Duration = Duration::from_millis(80);
/// Maximum time from a caller's request for which a reading of the upstreams after it is waited for; longer
/// than the interval of the readings.
const MAX_READING_WAIT: Duration = Duration::from_secs(1);
/// Maximum age of the last reading at which another one is waited for; a host that reads later is cut off from
/// the store.
const MAX_UPSTREAMS_AGE: Duration = Duration::from_secs(2);
/// Interval at which it is looked for a new reading.
const READING_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of times that peers are queried: datagrams are lost now and then.
const QUERIES: usize = 2;
/// Number of the longest timeouts of its routes for which a stream may be taken up after it began.
const MEMORY_TIMEOUTS: u32 = 2;
/// Digest that stands for an unknown build.
const UNKNOWN: BuildDigest = 0;

/// What is to be sent to peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Notice {
    /// A stream of this host, for the peers that remember it.
    Began(StreamOrigin),
    /// Query for the build of a stream, to the same peers.
    Query(OriginQuery),
    /// Answer to a peer's query.
    Answer(SocketAddr, StreamOrigin),
}

/// How a host knows the build that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The stream is remembered, by this host or by a peer.
    Remembered,
    /// It is inferred from the builds that serve.
    Inferred,
}

/// Build that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Known {
    /// Build.
    pub build: BuildDigest,
    /// How it is known.
    pub source: Source,
}

/// Guard of a stream that runs at this host.
#[derive(Debug)]
pub struct Run {
    gateway: Rc<Gateway>,
    streams: Vec<StreamDigest>,
}

impl Drop for Run {
    fn drop(&mut self) {
        let mut running = self.gateway.streams.running.borrow_mut();
        for stream in &self.streams {
            running.end(*stream);
        }
    }
}

/// Builds of streams and services, as this host knows them.
#[derive(Debug, Default)]
pub struct Streams {
    origins: RefCell<Origins>,
    history: RefCell<History>,
    /// Builds in the store, once they were read.
    stored: RefCell<Option<BTreeMap<ServiceId, Stored>>>,
    polls: RefCell<HashMap<StreamDigest, Poll>>,
    running: RefCell<Running>,
    outbox: RefCell<Vec<Notice>>,
    /// Whether streams may be of several builds, so that peers have to remember them too.
    is_shared: Cell<bool>,
    /// Wakes the requests that wait for an answer.
    learned: Notify,
    /// Wakes the exchange with peers.
    pub urgent: Notify,
    /// Number of hosts before this one, of those that are alive.
    pub rank: Cell<usize>,
    /// Number of hosts of the failure domain before this one, of those that are alive.
    pub rank_in_domain: Cell<usize>,
    /// Whether the streams in the store were read, or cannot be.
    are_read: Cell<bool>,
    /// Streams of the failure domain that this host has to store.
    unstored: RefCell<Vec<StreamOrigin>>,
    /// Wakes the task that passes them on.
    has_unstored: Notify,
}

/// Returns the digest of the build of an upstream.
fn build_digest(build: &BuildId) -> BuildDigest {
    // 0 stands for an unknown build.
    gossip::digest(build).max(1)
}

impl Target {
    /// Returns the digest of its build.
    pub fn build(&self) -> BuildDigest {
        build_digest(&self.entry.build)
    }
}

impl Streams {
    /// Takes what is to be sent to peers.
    pub fn take_notices(&self) -> Vec<Notice> {
        self.outbox.take()
    }

    /// Records to which peers a query was sent; see [`Poll::record_asked`].
    pub fn record_asked(&self, stream: StreamDigest, peers: &[SocketAddr], has_silent_peers: bool) {
        if let Some(poll) = self.polls.borrow_mut().get_mut(&stream) {
            poll.record_asked(peers.iter().copied(), has_silent_peers);
        }
        self.learned.notify_waiters();
    }

    /// Returns up to `max` running streams that the peers `backups` have to be told of now.
    pub fn due_running(&self, backups: &[Backup], max: usize, now: Instant) -> Vec<RunningStreams> {
        let due = self.running.borrow_mut().due(backups, max, now);
        due.into_iter()
            .map(|(build, streams)| RunningStreams { build, streams })
            .collect()
    }

    /// Returns the time for which a stream may be taken up.
    pub fn memory(&self, now: Instant) -> Duration {
        self.history.borrow().retention.longest(now)
    }

    fn notify(&self, notice: Notice) {
        self.outbox.borrow_mut().push(notice);
    }

    /// Announces a stream of this host.
    fn announce(&self, origin: StreamOrigin) {
        self.notify(Notice::Began(origin));
        self.urgent.notify_one();
        self.keep(origin);
    }

    /// Queues a stream for the store if this host stores those of its failure domain.
    fn keep(&self, origin: StreamOrigin) {
        if self.rank_in_domain.get() == 0 {
            self.unstored.borrow_mut().push(origin);
            self.has_unstored.notify_one();
        }
    }

    /// Takes the streams that this host has to store.
    pub fn take_unstored(&self) -> Vec<StreamOrigin> {
        self.unstored.take()
    }
}

impl Gateway {
    /// Takes over the builds of a view.
    pub fn update_builds(&self, view: &View, now: Instant) {
        let Some(catalog) = view.catalog.as_ref().filter(|_| view.has_registry) else {
            return;
        };
        let (services, memory) = resumable(catalog);
        let mut current: BTreeMap<ServiceId, BTreeSet<BuildId>> = services
            .into_iter()
            .map(|service| (service, BTreeSet::new()))
            .collect();
        for entry in view.entries.iter() {
            if let Some(builds) = current.get_mut(&entry.service) {
                builds.insert(entry.build.clone());
            }
        }
        self.streams
            .history
            .borrow_mut()
            .update(current, memory, now);
        self.compare_builds(now);
    }

    /// Compares the builds with those in the store, once both are known.
    fn compare_builds(&self, now: Instant) {
        let stored = self.streams.stored.borrow();
        let Some(stored) = stored.as_ref() else {
            return;
        };
        self.streams.history.borrow_mut().compare(stored, now);
        self.share_streams(now);
        self.streams.learned.notify_waiters();
    }

    /// Tells peers the streams of this host as soon as they may be of several builds.
    fn share_streams(&self, now: Instant) {
        let history = self.streams.history.borrow();
        let has_several = |service: &ServiceId| history.only(service, now).is_none();
        let is_shared = history.services.keys().any(has_several);
        let was_shared = self.streams.is_shared.replace(is_shared);
        if is_shared != was_shared {
            info!(shared = is_shared, outcome = "changed"; "sharing of the builds of streams changed");
        }
        if is_shared && !was_shared {
            for (stream, build) in self.streams.origins.borrow().own() {
                self.streams.announce(own_origin(stream, build));
            }
        }
    }

    /// Records that an attempt of a caller is sent to an upstream, which may begin or resume a stream. This is
    /// told before the first event, so that those that remember it know when the caller does.
    pub fn record_attempt(&self, call: &Call, target: &Target, now: Instant) {
        if !call.route.is_resumable {
            return;
        }
        let build = target.build();
        for stream in streams(call) {
            let mut origins = self.streams.origins.borrow_mut();
            let is_new = origins.record(stream, build, true, now);
            // Peers remember a stream from the last attempt on that they were told.
            let is_due = is_new || call.request.resumes.is_some();
            if is_due && self.streams.is_shared.get() {
                self.streams.announce(own_origin(stream, build));
            }
        }
    }

    /// Records that an upstream has begun or resumed a stream.
    pub fn confirm_stream(&self, call: &Call, target: &Target) {
        let mut origins = self.streams.origins.borrow_mut();
        for stream in streams(call) {
            origins.confirm(stream, target.build());
        }
    }

    /// Records that a stream runs until the guard is dropped, so that peers keep it for this host.
    pub fn run_stream(self: &Rc<Self>, call: &Call, build: BuildDigest, now: Instant) -> Run {
        let streams = match call.route.is_resumable {
            true => streams(call).collect(),
            false => Vec::new(),
        };
        let is_told = self.streams.is_shared.get();
        let mut running = self.streams.running.borrow_mut();
        for stream in &streams {
            running.begin(*stream, build, is_told, now);
        }
        Run {
            gateway: Rc::clone(self),
            streams,
        }
    }

    /// Keeps the streams of a peer in case it ends.
    fn keep_running(&self, datagram: &Datagram, now: Instant) {
        for RunningStreams { build, streams } in &datagram.running {
            for stream in streams {
                let mut origins = self.streams.origins.borrow_mut();
                let is_new = origins.record(*stream, *build, true, now);
                if is_new && self.streams.is_shared.get() {
                    self.streams.announce(own_origin(*stream, *build));
                }
            }
        }
    }

    /// Returns the build that began the stream which a call resumes; `None` if nobody knows it.
    pub async fn find_build(&self, call: &Call) -> Option<Known> {
        let attempt = call.request.resumes.as_ref();
        let stream = attempt.map(|attempt| origin::stream_digest(attempt));
        let known = self.search_build(call, stream).await;
        if let Some(stream) = stream {
            self.streams.polls.borrow_mut().remove(&stream);
        }
        known
    }

    async fn search_build(&self, call: &Call, stream: Option<StreamDigest>) -> Option<Known> {
        let mut queries_left = if stream.is_some() { QUERIES } else { 0 };
        let mut query_at = Instant::now();
        loop {
            let learned = self.streams.learned.notified();
            tokio::pin!(learned);
            learned.as_mut().enable();
            let now = Instant::now();
            let is_over = queries_left == 0 && now >= query_at;
            match self.infer(call, stream, is_over, now) {
                Inference::Build(known) => return Some(known),
                Inference::Unknown => return None,
                Inference::Pending if now >= call.deadline => return None,
                Inference::Pending => (),
            }
            if let Some(stream) = stream.filter(|_| queries_left > 0 && now >= query_at) {
                queries_left -= 1;
                query_at = now + QUERY_TIMEOUT;
                self.query(stream, &call.service);
            }
            let wake = call.deadline.min(now + READING_POLL_INTERVAL);
            let _elapsed = time::timeout_at(wake.into(), learned).await;
        }
    }

    fn query(&self, stream: StreamDigest, service: &ServiceId) {
        self.streams.polls.borrow_mut().entry(stream).or_default();
        self.streams.notify(Notice::Query(OriginQuery {
            stream,
            service: gossip::digest(service),
        }));
        self.streams.urgent.notify_one();
    }

    /// Returns the build of a stream as far as it is known now; `is_over` is `true` if no more answers of peers
    /// are waited for.
    fn infer(
        &self,
        call: &Call,
        stream: Option<StreamDigest>,
        is_over: bool,
        now: Instant,
    ) -> Inference<Known> {
        let remembered = stream.and_then(|stream| self.streams.origins.borrow().build(stream));
        if let Some(build) = remembered {
            let source = Source::Remembered;
            return Inference::Build(Known { build, source });
        }
        let belief = self
            .streams
            .history
            .borrow()
            .belief(&call.service, build_digest, now);
        let polls = self.streams.polls.borrow();
        let none = Poll::default();
        let poll = stream
            .and_then(|stream| polls.get(&stream))
            .unwrap_or(&none);
        // Until the stored streams were read, this host may still learn the build from them.
        let is_pending = !is_over && !self.streams.are_read.get();
        match origin::infer(belief, self.reading(call, now), poll, is_over) {
            Inference::Build(build) => {
                let source = Source::Inferred;
                Inference::Build(Known { build, source })
            }
            Inference::Unknown if !is_pending => Inference::Unknown,
            Inference::Unknown | Inference::Pending => Inference::Pending,
        }
    }

    /// Returns how recently the registry was read, seen from a call.
    fn reading(&self, call: &Call, now: Instant) -> Reading {
        let known_at = self.age_observer.upstreams_known_at(&self.view());
        let age = self.age_observer.upstreams_age(now);
        if known_at.is_some_and(|at| at >= call.arrived) {
            return Reading::Current;
        }
        let is_in_time = now < call.arrived + MAX_READING_WAIT;
        match age.is_some_and(|age| is_in_time && age < MAX_UPSTREAMS_AGE) {
            true => Reading::Due,
            false => Reading::Old,
        }
    }

    /// Takes in what a peer tells and asks about streams.
    pub fn receive_origins(&self, datagram: &Datagram, from: SocketAddr, now: Instant) {
        self.keep_running(datagram, now);
        for told in &datagram.origins {
            match told.build {
                build if build == UNKNOWN || told.is_inferred => {
                    if let Some(poll) = self.streams.polls.borrow_mut().get_mut(&told.stream) {
                        poll.record_answer(from, (build != UNKNOWN).then_some(build));
                    }
                }
                build => {
                    let mut origins = self.streams.origins.borrow_mut();
                    let is_new = origins.record(told.stream, build, false, now);
                    if is_new && datagram.domain == self.settings.domain {
                        self.streams.keep(*told);
                    }
                }
            }
        }
        if !datagram.origins.is_empty() {
            self.streams.learned.notify_waiters();
        }
        for query in &datagram.origin_queries {
            let remembered = self.streams.origins.borrow().build(query.stream);
            let history = self.streams.history.borrow();
            let only = history
                .services
                .keys()
                .find(|service| gossip::digest(service) == query.service);
            let only = only.and_then(|service| history.only(service, now));
            let only = only.map(build_digest);
            let origin = StreamOrigin {
                stream: query.stream,
                build: remembered.or(only).unwrap_or(UNKNOWN),
                is_inferred: remembered.is_none() && only.is_some(),
            };
            self.streams.notify(Notice::Answer(from, origin));
            self.streams.urgent.notify_one();
        }
    }

    /// Forgets old streams, and returns the builds that this host has to write to the store: one host
    /// does it for all.
    pub fn sweep_streams(&self, now: Instant) -> Vec<(ServiceId, Stored)> {
        let memory = self.streams.memory(now);
        self.streams.origins.borrow_mut().forget(memory, now);
        self.share_streams(now);
        let has_heard_peers =
            now.saturating_duration_since(self.started_at) >= gossip::PEER_TIMEOUT;
        if self.streams.rank.get() > 0 || !has_heard_peers {
            return Vec::new();
        }
        let history = self.streams.history.borrow();
        let unstored = history.services.iter().filter_map(|(service, builds)| {
            let stored = builds.unstored(memory, now)?;
            Some((service.clone(), stored))
        });
        unstored.collect()
    }

    fn apply_builds(&self, message: Message, now: Instant) {
        match message {
            Message::Read(stored) => {
                let mut history = self.streams.history.borrow_mut();
                for (service, builds) in &mut history.services {
                    if builds.is_compared() {
                        builds.compare(stored.get(service), now);
                    }
                }
                drop(history);
                *self.streams.stored.borrow_mut() = Some(stored);
                self.compare_builds(now);
            }
            Message::Streams(stored) => {
                let mut origins = self.streams.origins.borrow_mut();
                for StreamOrigin { stream, build, .. } in stored {
                    origins.record(stream, build, false, now);
                }
                drop(origins);
                self.streams.are_read.set(true);
                self.streams.learned.notify_waiters();
            }
            Message::Written(service, builds) => {
                let mut history = self.streams.history.borrow_mut();
                if let Some(known) = history.services.get_mut(&service) {
                    known.record_stored(&builds);
                }
            }
        }
    }
}

/// Returns the origin of a stream that this host remembers.
fn own_origin(stream: StreamDigest, build: BuildDigest) -> StreamOrigin {
    StreamOrigin {
        stream,
        build,
        is_inferred: false,
    }
}

/// Returns the attempts by which a caller may name the stream of a call.
fn streams(call: &Call) -> impl Iterator<Item = StreamDigest> {
    let attempts = [Some(&call.request.id), call.request.resumes.as_ref()];
    let attempts = attempts.into_iter().flatten();
    attempts.map(|attempt| origin::stream_digest(attempt))
}

/// Returns the services whose streams may be resumed, and the time for which they may be taken up.
fn resumable(catalog: &Catalog) -> (BTreeSet<ServiceId>, Duration) {
    let routes: Vec<_> = catalog
        .routes()
        .filter(|route| route.is_resumable)
        .collect();
    let timeout = |route: &&std::sync::Arc<Route>| route.timeout;
    let longest = routes.iter().map(timeout).max().unwrap_or_default();
    let services = routes.iter().flat_map(|route| &route.shares);
    let services = services.map(|share| share.service.clone());
    (services.collect(), longest * MEMORY_TIMEOUTS)
}

/// Applies what the thread that keeps builds in the store tells.
pub async fn follow(gateway: Rc<Gateway>, mut messages: mpsc::Receiver<Message>) {
    while let Some(message) = messages.recv().await {
        gateway.apply_builds(message, Instant::now());
    }
}

/// Passes builds to the thread that writes them to the store; those that find the queue full are passed
/// at the next sweep.
pub fn store(changes: &Sender<Change>, unstored: Vec<(ServiceId, Stored)>) {
    for (service, builds) in unstored {
        if let Err(cause) = changes.try_send(Change::Builds(service, builds)) {
            log::debug!(cause:% = cause; "builds not queued for the store");
        }
    }
}

/// Keeps passing the streams that this host has to store to the thread that writes them; never returns.
pub async fn store_streams(gateway: Rc<Gateway>, changes: Sender<Change>) {
    loop {
        gateway.streams.has_unstored.notified().await;
        let unstored = gateway.streams.take_unstored();
        if !unstored.is_empty()
            && let Err(cause) = changes.try_send(Change::Streams(unstored))
        {
            info!(outcome = "streams-not-stored", cause:% = cause; "streams not queued for the store");
        }
    }
}
