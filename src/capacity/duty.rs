//! Background task that orders upstreams at the platform while this host holds the lease.

use std::collections::HashMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use log::info;
use log::warn;
use tokio::sync::watch;

use super::controller::Controller;
use super::controller::Decision;
use super::demand::ByDomain;
use crate::availability;
use crate::availability::Incarnations;
use crate::clock;
use crate::clock::Clock;
use crate::fleet::Entry;
use crate::fleet::State;
use crate::follow::View;
use crate::gateway::record::Metrics;
use crate::id::HostId;
use crate::id::ServiceId;
use crate::log::keyed::Keyed;
use crate::platform::duties::Authority;
use crate::platform::duties::CapacityOrder;
use crate::platform::duties::Client;
use crate::platform::duties::Outcome;
use crate::platform::store::Store;
use crate::term;
use crate::term::LeaseState;

/// Interval at which the numbers are compared.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which orders have to be due, for each rank of a host, before it takes the lease; longer
/// than an order of the holder takes to show in the registry.
const RANK_DELAY: Duration = Duration::from_secs(15);
/// Minimum time between two attempts to take the lease.
const LEASE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum age of the demand on which a decision rests.
const MAX_OUTLOOK_AGE: Duration = Duration::from_secs(2);
/// Minimum share of the known hosts that have to be heard.
const MIN_HEARD_SHARE: f64 = 0.6;
/// Share of the platform's calls that orders may take.
const CALL_SHARE: f64 = 0.25;
/// Number of ranks that gather the demand of all hosts.
pub const MAX_RANKS: usize = 3;

/// Settings and shared state of the background task.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of this host.
    pub host: HostId,
    /// Duration of the lease.
    pub lease: Duration,
    /// What a second of an upstream of price 1 is worth in served requests.
    pub second_worth: f64,
    /// Calls to the platform per second, of all hosts and duties together.
    pub max_calls_per_s: f64,
    /// Availability notices of the upstreams.
    pub incarnations: Arc<Incarnations>,
}

/// What this host knows of all hosts' demand.
#[derive(Debug, Clone, Default)]
pub struct Outlook {
    /// Time at which it was gathered.
    pub gathered_at: Option<Instant>,
    /// Rank of this host, by name, among the hosts that are heard.
    pub rank: usize,
    /// Hosts that are heard, this one included.
    pub heard: usize,
    /// Hosts that are known, this one included.
    pub known: usize,
    /// Work by service and failure domain.
    pub demand: HashMap<ServiceId, ByDomain>,
}

impl Outlook {
    /// Returns `true` if this host may decide on it at `now`.
    ///
    /// ```
    /// use std::time::Instant;
    /// use pistachiohall::capacity::duty::Outlook;
    /// let now = Instant::now();
    /// let outlook = Outlook { gathered_at: Some(now), heard: 2, known: 9, ..Outlook::default() };
    /// assert!(!outlook.is_usable(now));
    /// assert!(Outlook { heard: 8, ..outlook }.is_usable(now));
    /// ```
    pub fn is_usable(&self, now: Instant) -> bool {
        let is_recent = self
            .gathered_at
            .is_some_and(|at| now.saturating_duration_since(at) < MAX_OUTLOOK_AGE);
        let is_complete = self.heard as f64 >= MIN_HEARD_SHARE * self.known as f64;
        is_recent && is_complete && self.rank < MAX_RANKS
    }
}

/// Channels from other threads.
#[derive(Debug)]
pub struct Inputs {
    /// Configuration and upstreams.
    pub view: watch::Receiver<Arc<View>>,
    /// Demand of all hosts.
    pub outlook: watch::Receiver<Outlook>,
}

/// Platform that takes orders.
pub trait Platform {
    /// Orders upstreams.
    fn order(&self, by: &Authority, order: &CapacityOrder) -> Outcome;
}

impl Platform for Client {
    fn order(&self, by: &Authority, order: &CapacityOrder) -> Outcome {
        self.order_capacity(by, order)
    }
}

/// State of the task.
#[derive(Debug)]
pub struct Duty<P> {
    config: Config,
    platform: P,
    metrics: Arc<Metrics>,
    lease: LeaseState,
    controllers: HashMap<ServiceId, Controller>,
    due_since: Option<Instant>,
    lease_tried_at: Option<Instant>,
}

/// Starts the background thread.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub fn start<C>(
    config: Config,
    client: Client,
    metrics: &Arc<Metrics>,
    inputs: Inputs,
    clock: &C,
    store: &Store,
) -> Result<()>
where
    C: Clock + Clone,
{
    let (clock, store) = (clock.clone(), store.clone());
    let mut duty = Duty::new(config, client, Arc::clone(metrics), clock::wall_ms(&clock));
    thread::Builder::new()
        .name("capacity".into())
        .spawn(move || {
            loop {
                clock.sleep(CHECK_INTERVAL);
                let current_view = Arc::clone(&inputs.view.borrow());
                let current_outlook = inputs.outlook.borrow().clone();
                duty.step(&current_view, &current_outlook, &clock, &store);
            }
        })?;
    Ok(())
}

impl<P> Duty<P>
where
    P: Platform,
{
    /// Returns the task of a host that was started at `started_at`, in Unix milliseconds.
    pub fn new(config: Config, platform: P, metrics: Arc<Metrics>, started_at: u64) -> Self {
        let lease = LeaseState::new(
            term::CAPACITY,
            config.host.clone(),
            started_at,
            config.lease,
        );
        Duty {
            config,
            platform,
            metrics,
            lease,
            controllers: HashMap::new(),
            due_since: None,
            lease_tried_at: None,
        }
    }

    /// Decides once, and sends the orders that are due if this host holds the lease or can take it.
    pub fn step<C, K>(&mut self, view: &View, outlook: &Outlook, clock: &C, store: &K)
    where
        C: Clock,
        K: Keyed,
    {
        let now = clock.now();
        self.lease.record_era(store.newest_era(), clock.boot());
        if !outlook.is_usable(now) || !view.has_registry {
            self.due_since = None;
            return;
        }
        let entries = availability::mark_leaving(&view.entries, &self.config.incarnations);
        let decisions = self.decide(view, &entries, outlook, now);
        if decisions.iter().all(|decision| decision.orders.is_empty()) {
            self.due_since = None;
            return;
        }
        let since = *self.due_since.get_or_insert(now);
        if now.saturating_duration_since(since) < RANK_DELAY * outlook.rank as u32 {
            return;
        }
        let is_tried = |at: Instant| now.saturating_duration_since(at) < LEASE_INTERVAL;
        if self.lease_tried_at.is_some_and(is_tried) {
            return;
        }
        let Some(grant) = self.lease.acquire(clock, store) else {
            self.lease_tried_at = Some(now);
            return;
        };
        let authority = Authority {
            holder: self.config.host.clone(),
            fencing_token: grant.fencing_token,
        };
        let per_step = self.config.max_calls_per_s * CALL_SHARE * CHECK_INTERVAL.as_secs_f64();
        let mut calls_left = (per_step as usize).max(1);
        for decision in &decisions {
            for order in &decision.orders {
                // Answers may take longer than the rest of the lease, and the machine may have been
                // suspended.
                if calls_left == 0 || clock.boot() >= grant.expires_at {
                    return;
                }
                calls_left -= 1;
                self.send(decision, order, &entries, &authority, clock);
            }
        }
    }

    fn decide(
        &mut self,
        view: &View,
        entries: &[Entry],
        outlook: &Outlook,
        now: Instant,
    ) -> Vec<Decision> {
        let Some(catalog) = &view.catalog else {
            return Vec::new();
        };
        let none = ByDomain::new();
        let mut decisions = Vec::new();
        for service in catalog
            .services()
            .filter(|service| service.engine.is_some())
        {
            if service.scale.is_none() {
                continue;
            }
            let demand = outlook.demand.get(&service.name).unwrap_or(&none);
            let controller = self.controllers.entry(service.name.clone()).or_default();
            let worth = self.config.second_worth;
            decisions.extend(controller.decide(service, entries, demand, worth, now));
        }
        let sum = |count: fn(&super::Counts) -> usize| {
            let plans = decisions
                .iter()
                .flat_map(|decision| decision.plan.counts.values());
            plans.map(count).sum::<usize>() as i64
        };
        self.metrics
            .set("capacity_wanted_stable", sum(|counts| counts.stable));
        self.metrics.set(
            "capacity_wanted_withdrawable",
            sum(|counts| counts.withdrawable),
        );
        decisions
    }

    fn send<C>(
        &mut self,
        decision: &Decision,
        order: &CapacityOrder,
        entries: &[Entry],
        authority: &Authority,
        clock: &C,
    ) where
        C: Clock,
    {
        let serving = entries.iter().filter(|entry| {
            entry.service == order.service
                && entry.domain == order.domain
                && entry.may_be_withdrawn == order.is_spot
                && entry.state == State::Ready
        });
        let before = serving.count();
        let outcome = self.platform.order(authority, order);
        self.metrics.add("capacity_orders");
        if let Some(controller) = self.controllers.get_mut(&order.service) {
            controller.record(order, before, &outcome, clock.now());
        }
        info!(
            part = "capacity",
            service:% = order.service,
            domain:% = order.domain,
            withdrawable = order.is_spot,
            desired = order.desired,
            serving = before,
            needed = decision.plan.needed,
            requests = decision.rate.requests,
            prefill = decision.rate.prefill,
            decode = decision.rate.decode,
            saved = decision.rate.saved,
            expected = decision.expected,
            reason = decision.plan.reason,
            lease = authority.fencing_token,
            outcome:? = outcome;
            "upstreams ordered"
        );
        if outcome == Outcome::Conflict {
            self.metrics.add("capacity_denied");
            if !order.is_spot {
                warn!(
                    part = "capacity",
                    lease = authority.fencing_token,
                    outcome = "fenced";
                    "order refused: the lease is not the newest, or there are no such upstreams"
                );
                self.lease.release();
            }
        }
    }
}
