//! Request path of a gateway on one event loop: accept, identify, place, send, deliver, record.
//!
//! Everything here runs on the thread of the request loop; other threads pass their state to it as
//! immutable views. Decisions that can be tested in isolation are in `placement`, `retry`, `fleet`
//! and `health`.

pub mod account;
pub mod allowance;
pub mod balance;
pub mod belief;
pub mod bootstrap;
pub mod call;
pub mod demand;
pub mod doubt;
pub mod events;
pub mod exchange;
pub mod fairness;
pub mod generate;
pub mod health;
pub mod heaviest;
pub mod held;
pub mod inflow;
pub mod keys;
pub mod limits;
pub mod listen;
pub mod metrics;
pub mod newer;
pub mod open;
pub mod origin;
pub mod paces;
pub mod peers;
pub mod place;
pub mod plain;
pub mod pool;
pub mod process;
pub mod proof;
pub mod record;
pub mod reply;
pub mod serve;
pub mod shutdown;
pub mod spill;
pub mod stream;
pub mod suspect;
pub mod switch;
pub mod target;
pub mod usage;

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
use crate::capacity::demand::Meter;
use crate::catalog::Catalog;
use crate::catalog::Version;
use crate::fleet::Entry;
use crate::follow::View;
use crate::gossip;
use crate::id::IncarnationDigest;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::placement;
use crate::retry::window;
use crate::settings::gateway::Settings;
use crate::suspicion::Tracker;

use self::belief::AgeObserver;
use self::doubt::UnreachabilityReports;
use self::keys::Keys;
use self::limits::SharingHosts;
use self::newer::Announcement;
use self::origin::Streams;
use self::record::Metrics;
use self::switch::Switches;
use self::target::Target;

/// Time without a request after which a host counts as idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// State of the request loop.
#[derive(Debug)]
pub struct Gateway {
    /// Settings.
    pub settings: Settings,
    /// Counters, gauges and histograms.
    pub metrics: Arc<Metrics>,
    /// Counts requests by account.
    pub usage: usage::Meter,
    /// Observes the age of the views that requests are served on.
    pub age_observer: AgeObserver,
    /// Availability that upstreams have announced in their responses.
    pub incarnations: Arc<Incarnations>,
    /// Requests that may crash upstreams.
    pub suspicion: RefCell<Tracker>,
    /// Limits the log lines about suspects.
    pub suspect_log_limiter: suspect::LogLimiter,
    /// Incarnations of upstreams that are being probed for whether they are still running.
    pub probed_incarnations: RefCell<HashSet<IncarnationDigest>>,
    /// Whether the suspects in the store have been merged.
    pub stored_suspects: Cell<suspect::Loading>,
    /// What client accounts ask for and get.
    pub fairness: RefCell<fairness::Ledgers>,
    /// Loads and cached prompt blocks of engines.
    pub board: RefCell<placement::Board>,
    /// Balance of plain services over all hosts.
    pub balancer: balance::Balancer,
    /// Requests to other failure domains.
    pub spiller: spill::Spiller,
    /// Work that arrives at this host.
    pub demand: RefCell<Meter>,
    /// Bytes of responses that are held until their callers have read them.
    pub held_responses: held::Budget,
    /// Bytes of requests that are held until they are answered.
    pub held_requests: held::Budget,
    /// Bytes of streams that are held until their callers have read them.
    pub held_streams: held::Budget,
    /// Updates that have not been sent to peers yet.
    pub pending_updates: RefCell<peers::PendingUpdates>,
    /// Wakes the exchange with peers to send a suspect at once.
    pub urgent_suspects: Notify,
    started_at: Instant,
    host_count: Cell<usize>,
    switches: RefCell<Switches>,
    unreachability: RefCell<UnreachabilityReports>,
    retry_bounds: Cell<window::Bounds>,
    /// Times of the shutdown; `None` before it begins.
    shutdown: Cell<Option<shutdown::Schedule>>,
    /// Wakes the requests that still run at the end of a shutdown.
    pub shutdown_end: Notify,
    last_request: Cell<Option<Instant>>,
    last_peer: Cell<Option<SocketAddr>>,
    /// Newest configuration that a peer has announced.
    pub announcement: RefCell<Announcement>,
    /// Builds that began streams.
    pub streams: Streams,
    /// Proof of the configuration by which keys are served.
    pub keys: Keys,
    view: RefCell<Arc<View>>,
    targets: RefCell<BTreeMap<UpstreamId, Rc<Target>>>,
    upstreams_by_incarnation: RefCell<HashMap<IncarnationDigest, UpstreamId>>,
    sharing_hosts: RefCell<SharingHosts>,
    retry_budgets: RefCell<HashMap<ServiceId, window::Window>>,
}

impl Gateway {
    /// Returns a gateway without a view of the configuration and the upstreams.
    pub fn new(settings: Settings, metrics: Arc<Metrics>, incarnations: Arc<Incarnations>) -> Self {
        let suspicion = RefCell::new(Tracker::new(gossip::digest(&settings.name)));
        let bounds = held::Bounds::of(settings.memory);
        Gateway {
            started_at: Instant::now(),
            usage: usage::Meter::new(&settings),
            host_count: Cell::new(settings.hosts_expected),
            retry_bounds: Cell::new(settings.retries),
            settings,
            age_observer: AgeObserver::new(Arc::clone(&metrics)),
            metrics,
            incarnations,
            suspicion,
            probed_incarnations: RefCell::default(),
            suspect_log_limiter: suspect::LogLimiter::default(),
            stored_suspects: Cell::default(),
            fairness: RefCell::default(),
            board: RefCell::default(),
            balancer: balance::Balancer::default(),
            spiller: spill::Spiller::default(),
            demand: RefCell::default(),
            held_responses: held::Budget::new(bounds.max_response_bytes),
            held_requests: held::Budget::new(bounds.max_request_bytes),
            held_streams: held::Budget::new(bounds.max_stream_bytes),
            pending_updates: RefCell::default(),
            urgent_suspects: Notify::new(),
            switches: RefCell::default(),
            unreachability: RefCell::default(),
            shutdown: Cell::default(),
            shutdown_end: Notify::new(),
            last_request: Cell::default(),
            last_peer: Cell::default(),
            announcement: RefCell::default(),
            streams: Streams::default(),
            keys: Keys::default(),
            view: RefCell::default(),
            targets: RefCell::default(),
            upstreams_by_incarnation: RefCell::default(),
            sharing_hosts: RefCell::default(),
            retry_budgets: RefCell::default(),
        }
    }

    /// Returns `true` if this host should get new connections.
    pub fn is_ready(&self) -> bool {
        let is_waiting = self.stored_suspects.get() == suspect::Loading::Pending;
        !self.is_leaving() && self.has_config_and_upstreams() && !is_waiting
    }

    /// Returns `true` if the configuration and the upstreams are known.
    pub fn has_config_and_upstreams(&self) -> bool {
        let view = self.view.borrow();
        view.catalog.is_some() && view.has_registry
    }

    /// Returns the current view of the configuration and the upstreams.
    pub fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Returns the address of the peer that last sent a datagram.
    pub fn last_peer(&self) -> Option<SocketAddr> {
        self.last_peer.get()
    }

    /// Records the address of a peer that sent a datagram.
    pub fn record_peer(&self, peer: SocketAddr) {
        self.last_peer.set(Some(peer));
    }

    /// Records that the process was asked to shut down.
    pub fn leave(&self, schedule: shutdown::Schedule) {
        self.shutdown.set(Some(schedule));
    }

    /// Returns `true` if the process was asked to shut down.
    pub fn is_leaving(&self) -> bool {
        self.shutdown.get().is_some()
    }

    /// Returns `true` if the process shuts down and an answer by `deadline` would come too late.
    pub fn shuts_down_before(&self, deadline: Instant, now: Instant) -> bool {
        let schedule = self.shutdown.get();
        schedule.is_some_and(|schedule| !schedule.takes(deadline, now))
    }

    /// Returns the active configuration.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.view.borrow().catalog.clone()
    }

    /// Returns the version of the active configuration; 0 if there is none.
    pub fn config_version(&self) -> Version {
        let view = self.view.borrow();
        view.catalog.as_ref().map_or(0, |catalog| catalog.version())
    }

    /// Sets the number of hosts that share budgets, including this one.
    pub fn set_host_count(&self, hosts: usize) {
        if self.host_count.replace(hosts) != hosts {
            let view = self.view.borrow().clone();
            self.update_targets(&view);
        }
    }

    /// Replaces the view.
    pub fn adopt(&self, view: Arc<View>) {
        self.age_observer
            .record_adopted(&view, self.config_version(), Instant::now());
        self.update_targets(&view);
        self.update_board(&view);
        self.update_balancer(&view);
        self.update_builds(&view, Instant::now());
        let accounts = view.catalog.as_ref().and_then(|catalog| catalog.accounts());
        self.usage.set_enabled(accounts.is_some());
        *self.view.borrow_mut() = view;
    }

    fn update_targets(&self, view: &View) {
        let mut targets = self.targets.borrow_mut();
        let mut previous = std::mem::take(&mut *targets);
        for entry in view.entries.iter() {
            let old = previous.remove(&entry.id);
            let max_connections = self.max_connections(view, &entry.service);
            let target = match old {
                Some(old) if old.entry == *entry && old.max_connections == max_connections => old,
                old => {
                    let target = Rc::new(Target::new(
                        entry.clone(),
                        max_connections,
                        old.as_deref(),
                        &self.incarnations,
                    ));
                    if let Some(old) = old.filter(|old| !old.is_same_incarnation(&target)) {
                        old.leave();
                    }
                    target
                }
            };
            targets.insert(entry.id.clone(), target);
        }
        for target in previous.into_values() {
            target.leave();
        }
        let upstreams = targets
            .iter()
            .map(|(id, target)| (target.incarnation_digest(), id.clone()));
        *self.upstreams_by_incarnation.borrow_mut() = upstreams.collect();
    }

    fn max_connections(&self, view: &View, service: &ServiceId) -> usize {
        let catalog = view.catalog.as_ref();
        let max_connections = catalog
            .and_then(|catalog| catalog.service(service))
            .map_or(0, |service| service.max_connections);
        pool::connection_share(max_connections, self.host_count.get())
    }

    fn update_board(&self, view: &View) {
        let Some(catalog) = &view.catalog else {
            return;
        };
        let mut board = self.board.borrow_mut();
        let previous = self.view.borrow();
        for entry in view.entries.iter() {
            let service = catalog.service(&entry.service);
            let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
                continue;
            };
            let old = previous.entries.iter().find(|old| old.id == entry.id);
            let is_new_incarnation = old.is_none_or(|old| old.started_at != entry.started_at);
            if is_new_incarnation || !board.contains(&entry.id) {
                board.add(&entry.id, &entry.service, engine.kv_capacity_tokens);
            }
        }
        board.retain(|id| view.entries.iter().any(|entry| entry.id == *id));
    }

    fn update_balancer(&self, view: &View) {
        let Some(catalog) = &view.catalog else {
            return;
        };
        let is_plain = |entry: &&Entry| {
            let service = catalog.service(&entry.service);
            service.is_some_and(|service| service.engine.is_none())
        };
        let upstreams = view.entries.iter().filter(is_plain).map(|entry| {
            let digest = gossip::incarnation_digest(&entry.id, entry.started_at);
            (digest, u32::try_from(entry.slots).unwrap_or(u32::MAX))
        });
        let mut board = self.balancer.board.borrow_mut();
        board.set_upstreams(upstreams, Instant::now());
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

    /// Returns the shortest time left until an upstream that asked for a pause, or whose limit is used
    /// up, takes work again, among those that `is_candidate` selects; `None` if there is none.
    pub fn pause_left<F>(
        &self,
        service: &ServiceId,
        is_candidate: F,
        now: Instant,
    ) -> Option<Duration>
    where
        F: Fn(&Target) -> bool,
    {
        let targets = self.targets.borrow();
        let candidates = targets
            .values()
            .filter(|target| target.entry.service == *service && is_candidate(target));
        candidates
            .filter_map(|target| match target.unavailability(now) {
                Some(Unavailability::Paused(left) | Unavailability::Limited(left)) => Some(left),
                Some(Unavailability::Leaving) | None => None,
            })
            .min()
    }

    /// Returns the registered upstreams, with those whose responses announce that they are leaving
    /// marked as draining.
    pub fn entries(&self) -> Vec<Entry> {
        availability::mark_leaving(&self.view.borrow().entries, &self.incarnations)
    }

    /// Returns `true` if no request has arrived recently.
    pub fn is_idle(&self, now: Instant) -> bool {
        self.last_request
            .get()
            .is_none_or(|last| now.saturating_duration_since(last) > IDLE_TIMEOUT)
    }

    /// Returns an upstream by name.
    pub fn target(&self, id: &UpstreamId) -> Option<Rc<Target>> {
        self.targets.borrow().get(id).cloned()
    }

    /// Returns the upstream whose incarnation has this digest.
    pub fn target_by_incarnation(&self, incarnation: IncarnationDigest) -> Option<Rc<Target>> {
        let upstreams = self.upstreams_by_incarnation.borrow();
        self.target(upstreams.get(&incarnation)?)
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self, now: Instant) {
        for target in self.targets.borrow().values() {
            target.sweep(now);
        }
        self.incarnations.forget(&self.view.borrow().entries, now);
    }

    /// Changes the bounds on retries; requests and retries counted so far still count.
    pub fn set_retry_bounds(&self, bounds: window::Bounds) {
        self.retry_bounds.set(bounds);
        for budget in self.retry_budgets.borrow_mut().values_mut() {
            budget.set_bounds(bounds);
        }
    }

    /// Counts a caller's request to a service.
    pub fn record_request(&self, service: &ServiceId, now: Instant) {
        self.last_request.set(Some(now));
        self.with_budget(service, |budget| budget.record_request(now));
    }

    /// Counts a retry that the budget was not asked for in advance.
    pub fn record_retry(&self, service: &ServiceId, now: Instant) {
        self.with_budget(service, |budget| budget.record_retry(now));
    }

    /// Counts retries of a service's requests and returns `true` if the budget allows them.
    pub fn try_spend_retries(&self, service: &ServiceId, count: u32, now: Instant) -> bool {
        let hosts = self.host_count.get();
        let is_allowed = self.with_budget(service, |budget| budget.try_spend(count, hosts, now));
        if !is_allowed {
            self.metrics.add("repeats_denied");
        }
        is_allowed
    }

    /// Returns the retries that this host has left for the service with the fewest.
    pub fn retries_left(&self, now: Instant) -> Option<f64> {
        let mut budgets = self.retry_budgets.borrow_mut();
        let left = budgets
            .values_mut()
            .map(|budget| budget.retries_left(self.host_count.get(), now));
        left.min_by(f64::total_cmp)
    }

    fn with_budget<F, T>(&self, service: &ServiceId, act: F) -> T
    where
        F: FnOnce(&mut window::Window) -> T,
    {
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| window::Window::new(self.retry_bounds.get(), self.started_at));
        act(budget)
    }
}
