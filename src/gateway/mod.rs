//! The path of a request on one event loop: accept, identify, place, send, deliver, record.
//!
//! Everything here runs on the thread of the request loop; what other threads believe reaches it
//! as immutable views. Decisions that can be tested alone are in `placement`, `retry`, `fleet` and
//! `health`.

pub mod allowance;
pub mod belief;
pub mod bootstrap;
pub mod call;
pub mod doubt;
pub mod events;
pub mod exchange;
pub mod generate;
pub mod health;
pub mod listen;
pub mod metrics;
pub mod open;
pub mod peers;
pub mod place;
pub mod plain;
pub mod pool;
pub mod process;
pub mod record;
pub mod reply;
pub mod serve;
pub mod stream;
pub mod suspect;
pub mod target;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;

use crate::availability;
use crate::availability::Incarnations;
use crate::availability::Unavailability;
use crate::catalog::Catalog;
use crate::fleet::Entry;
use crate::follow::View;
use crate::gossip;
use crate::id::HostId;
use crate::id::IncarnationDigest;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::placement;
use crate::retry::window;
use crate::settings::gateway::Settings;
use crate::suspicion::Tracker;

use self::belief::AgeObserver;
use self::doubt::UnreachabilityReports;
use self::record::Metrics;
use self::target::Target;

/// Time for which an engine gets no work after it was last told to be away for a change of role;
/// above the pause between two datagrams, one of them lost.
const AWAY_TIME: Duration = Duration::from_millis(1200);
/// Time without a request from which a host counts as idle.
const IDLE_TIME: Duration = Duration::from_secs(3);
/// Fewest connections to an upstream that a host may open, however many hosts there are.
const LEAST_CONNECTIONS: usize = 8;
/// Share of an upstream's connections that hosts use; the rest are for hosts not known yet.
const CONNECTION_SHARE: f64 = 0.8;

/// State of the request loop.
#[derive(Debug)]
pub struct Gateway {
    /// Settings.
    pub settings: Settings,
    /// Answers by outcome.
    pub metrics: Arc<Metrics>,
    /// Age of the beliefs that requests are served on.
    pub age_observer: AgeObserver,
    /// What upstreams have said of themselves.
    pub incarnations: Arc<Incarnations>,
    /// Requests that may end upstreams.
    pub suspicion: RefCell<Tracker>,
    /// Bounds the lines that tell of these.
    pub suspect_log_limiter: suspect::LogLimiter,
    /// Lives of upstreams that are being asked whether they go on.
    pub probed_incarnations: RefCell<HashSet<IncarnationDigest>>,
    /// Whether it is known what hosts have kept of suspects, or cannot be waited for.
    pub knows_suspects: Cell<bool>,
    /// Loads and caches of engines.
    pub board: RefCell<placement::Board>,
    /// Bytes of answers that are held until they are whole.
    pub held_bytes: Cell<usize>,
    /// What peers have not been told of.
    pub pending_updates: RefCell<peers::PendingUpdates>,
    /// Wakes the exchange with peers for a suspect that no host may send on.
    pub urgent: Notify,
    begun: Instant,
    hosts: Cell<usize>,
    pending_changes: RefCell<HashMap<u32, Instant>>,
    unreachability_reports: RefCell<UnreachabilityReports>,
    retries: Cell<window::Bounds>,
    is_leaving: Cell<bool>,
    last_request: Cell<Option<Instant>>,
    last_heard: Cell<Option<SocketAddr>>,
    view: RefCell<Arc<View>>,
    targets: RefCell<BTreeMap<UpstreamId, Rc<Target>>>,
    budgets: RefCell<HashMap<ServiceId, window::Window>>,
}

impl Gateway {
    /// Returns a gateway that knows nothing yet.
    pub fn new(settings: Settings, metrics: Arc<Metrics>, incarnations: Arc<Incarnations>) -> Self {
        let suspicion = RefCell::new(Tracker::new(gossip::digest(&settings.name)));
        Gateway {
            begun: Instant::now(),
            hosts: Cell::new(settings.hosts_expected),
            retries: Cell::new(settings.retries),
            settings,
            age_observer: AgeObserver::new(Arc::clone(&metrics)),
            metrics,
            incarnations,
            suspicion,
            probed_incarnations: RefCell::default(),
            suspect_log_limiter: suspect::LogLimiter::default(),
            knows_suspects: Cell::default(),
            board: RefCell::default(),
            held_bytes: Cell::default(),
            pending_updates: RefCell::default(),
            urgent: Notify::new(),
            pending_changes: RefCell::default(),
            unreachability_reports: RefCell::default(),
            is_leaving: Cell::default(),
            last_request: Cell::default(),
            last_heard: Cell::default(),
            view: RefCell::default(),
            targets: RefCell::default(),
            budgets: RefCell::default(),
        }
    }

    /// Returns whether new connections should come here.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving.get() && self.knows_all() && self.knows_suspects.get()
    }

    /// Returns whether the configuration and the upstreams are known.
    pub fn knows_all(&self) -> bool {
        let view = self.view.borrow();
        view.catalog.is_some() && view.has_registry
    }

    /// Returns what this host believes.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Returns where the peer is that was heard last.
    pub fn last_heard(&self) -> Option<SocketAddr> {
        self.last_heard.get()
    }

    /// Notes where a peer was heard from.
    pub fn note_heard(&self, peer: SocketAddr) {
        self.last_heard.set(Some(peer));
    }

    /// Notes that the process was asked to end.
    pub fn leave(&self) {
        self.is_leaving.set(true);
    }

    /// Returns whether the process was asked to end.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }

    /// Returns the configuration in force.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.view.borrow().catalog.clone()
    }

    /// Notes how many hosts share budgets, this one included.
    pub fn note_hosts(&self, hosts: usize) {
        if self.hosts.replace(hosts) != hosts {
            let view = self.view.borrow().clone();
            self.update_targets(&view);
        }
    }

    /// Takes over a new view.
    pub fn adopt(&self, view: Arc<View>) {
        self.age_observer.note_adopted(&view, Instant::now());
        self.update_targets(&view);
        self.update_board(&view);
        *self.view.borrow_mut() = view;
    }

    fn update_targets(&self, view: &View) {
        let mut targets = self.targets.borrow_mut();
        let mut before = std::mem::take(&mut *targets);
        for entry in view.entries.iter() {
            let held = before.remove(&entry.id);
            let most = self.max_connections(view, &entry.service);
            let target = match held {
                Some(held) if held.entry == *entry && held.max_connections == most => held,
                held => {
                    let target = Rc::new(Target::new(
                        entry.clone(),
                        most,
                        held.as_deref(),
                        &self.incarnations,
                    ));
                    if let Some(held) = held.filter(|held| !held.is_same_incarnation(&target)) {
                        held.leave();
                    }
                    target
                }
            };
            targets.insert(entry.id.clone(), target);
        }
        for target in before.into_values() {
            target.leave();
        }
    }

    fn max_connections(&self, view: &View, service: &ServiceId) -> usize {
        let catalog = view.catalog.as_ref();
        let most = catalog
            .and_then(|catalog| catalog.service(service))
            .map_or(0, |service| service.max_connections);
        let share = most as f64 * CONNECTION_SHARE / self.hosts.get().max(1) as f64;
        (share as usize).max(LEAST_CONNECTIONS)
    }

    fn update_board(&self, view: &View) {
        let Some(catalog) = &view.catalog else {
            return;
        };
        let mut board = self.board.borrow_mut();
        let before = self.view.borrow();
        for entry in view.entries.iter() {
            let service = catalog.service(&entry.service);
            let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
                continue;
            };
            let held = before.entries.iter().find(|held| held.id == entry.id);
            let is_new_life = held.is_none_or(|held| held.started_at != entry.started_at);
            if is_new_life || !board.knows(&entry.id) {
                board.add(&entry.id, &entry.service, engine.kv_capacity_tokens);
            }
        }
        board.retain(|id| view.entries.iter().any(|entry| entry.id == *id));
    }

    /// Returns the upstreams of a service that take new work at `now`.
    pub fn targets(&self, service: &ServiceId, now: Instant) -> Vec<Rc<Target>> {
        self.targets
            .borrow()
            .values()
            .filter(|target| target.entry.service == *service && target.takes_work(now))
            .cloned()
            .collect()
    }

    /// Returns the time after which the first of the upstreams that asked for a pause, among those
    /// that `is_meant` tells, takes work again; none if none of these asked.
    pub fn pause_left<F>(&self, service: &ServiceId, is_meant: F, now: Instant) -> Option<Duration>
    where
        F: Fn(&Target) -> bool,
    {
        let targets = self.targets.borrow();
        let meant = targets
            .values()
            .filter(|target| target.entry.service == *service && is_meant(target));
        meant
            .filter_map(|target| match target.unavailability(now) {
                Some(Unavailability::Paused(left)) => Some(left),
                Some(Unavailability::Leaving) | None => None,
            })
            .min()
    }

    /// Returns the upstreams as they are registered, with those that say in their answers that they
    /// leave as draining.
    pub fn entries(&self) -> Vec<Entry> {
        availability::mark_leaving(&self.view.borrow().entries, &self.incarnations)
    }

    /// Notes engines that were ordered to change their role, by the digests of their names.
    pub fn record_pending_changes(&self, engines: &[u32], now: Instant) {
        let mut pending_changes = self.pending_changes.borrow_mut();
        for engine in engines {
            pending_changes.insert(*engine, now + AWAY_TIME);
        }
    }

    /// Returns the digests of the engines that are away.
    pub fn pending_changes(&self, now: Instant) -> Vec<u32> {
        let pending_changes = self.pending_changes.borrow();
        let mut engines: Vec<u32> = pending_changes
            .iter()
            .filter(|(_, until)| now < **until)
            .map(|(engine, _)| *engine)
            .collect();
        engines.sort_unstable();
        engines
    }

    /// Returns whether no request has come for a while.
    pub fn is_idle(&self, now: Instant) -> bool {
        self.last_request
            .get()
            .is_none_or(|last| now.saturating_duration_since(last) > IDLE_TIME)
    }

    /// Returns whether an engine is away for a change of its role.
    pub fn is_away(&self, id: &UpstreamId, now: Instant) -> bool {
        let pending_changes = self.pending_changes.borrow();
        pending_changes
            .get(&gossip::digest(id))
            .is_some_and(|until| now < *until)
    }

    /// Notes all upstreams that a peer of the same failure domain cannot reach.
    pub fn record_unreachability_reports(&self, peer: &HostId, upstreams: Vec<u32>, now: Instant) {
        self.unreachability_reports
            .borrow_mut()
            .record(peer, upstreams, now);
    }

    /// Returns whether peers of the same failure domain cannot reach an upstream.
    pub fn is_reported_unreachable(&self, id: &UpstreamId, now: Instant) -> bool {
        self.unreachability_reports
            .borrow()
            .holds(gossip::digest(id), now)
    }

    /// Returns the digests of the upstreams that this host cannot reach.
    pub fn unreachable(&self, now: Instant) -> Vec<u32> {
        let targets = self.targets.borrow();
        let unreachable = targets
            .iter()
            .filter(|(_, target)| target.health().is_unreachable(now));
        unreachable.map(|(id, _)| gossip::digest(id)).collect()
    }

    /// Returns an upstream by name.
    pub fn target(&self, id: &UpstreamId) -> Option<Rc<Target>> {
        self.targets.borrow().get(id).cloned()
    }

    /// Returns the upstream that is in the life of this digest.
    pub fn target_of(&self, incarnation: IncarnationDigest) -> Option<Rc<Target>> {
        let targets = self.targets.borrow();
        targets
            .values()
            .find(|target| target.incarnation_digest() == incarnation)
            .cloned()
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self, now: Instant) {
        for target in self.targets.borrow().values() {
            target.sweep(now);
        }
        self.incarnations.forget(&self.view.borrow().entries, now);
    }

    /// Changes the bounds on repeats; requests and repeats counted so far still count.
    pub fn set_retries(&self, retries: window::Bounds) {
        self.retries.set(retries);
        for budget in self.budgets.borrow_mut().values_mut() {
            budget.set_bounds(retries);
        }
    }

    /// Counts a caller's request to a service.
    pub fn record_request(&self, service: &ServiceId, now: Instant) {
        self.last_request.set(Some(now));
        self.with_budget(service, |budget| budget.record_request(now));
    }

    /// Counts a repeat that was not foreseen.
    pub fn record_retry(&self, service: &ServiceId, now: Instant) {
        self.with_budget(service, |budget| budget.record_retry(now));
    }

    /// Counts repeats to a service if the budget allows them.
    pub fn may_retry(&self, service: &ServiceId, count: u32, now: Instant) -> bool {
        let hosts = self.hosts.get();
        let is_allowed = self.with_budget(service, |budget| budget.try_spend(count, hosts, now));
        if !is_allowed {
            self.metrics.add("repeats_denied");
        }
        is_allowed
    }

    /// Returns the repeats that are left to this host for the service that has the fewest.
    pub fn retries_left(&self, now: Instant) -> Option<f64> {
        let mut budgets = self.budgets.borrow_mut();
        let left = budgets
            .values_mut()
            .map(|budget| budget.retries_left(self.hosts.get(), now));
        left.min_by(f64::total_cmp)
    }

    fn with_budget<F, T>(&self, service: &ServiceId, act: F) -> T
    where
        F: FnOnce(&mut window::Window) -> T,
    {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| window::Window::new(self.retries.get(), self.begun));
        act(budget)
    }
}
