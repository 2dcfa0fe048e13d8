//! Background task that compares the roles of engines with the wanted ones and sends orders.

use std::collections::HashMap;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use anyhow::ensure;
use attohttpc::Method;
use attohttpc::RequestBuilder;
use attohttpc::Response;
use log::info;
use log::warn;
use tokio::sync::watch;

use super::Change;
use super::Constraints;
use super::Criteria;
use crate::availability;
use crate::availability::Incarnation;
use crate::availability::Incarnations;
use crate::clock;
use crate::clock::Clock;
use crate::fleet::Entry;
use crate::follow::View;
use crate::id::HostId;
use crate::id::UpstreamId;
use crate::log::keyed::Keyed;
use crate::platform::egress;
use crate::platform::store::Store;
use crate::term;
use crate::term::Grant;
use crate::term::LeaseState;
use crate::upstream::Role;

/// Interval between two comparisons.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which changes have to be wanted before the first order, so that a partial list of
/// engines at the start is not taken for the fleet. Urgent changes are delayed only at the start.
const FIRST_ORDER_DELAY: Duration = Duration::from_millis(2500);
/// Additional delay per rank of a host before it acquires the lease.
const RANK_DELAY: Duration = Duration::from_secs(4);
/// Time after which an order without effect is given up; engines may carry it out twelve seconds
/// late.
const ORDER_TIMEOUT: Duration = Duration::from_secs(14);
/// Timeout of each request to an engine: connecting, reading, and the whole exchange.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum size of a report, which names each request that an engine works on.
const MAX_REPORT_BYTES: u64 = 1 << 20;

/// Settings and shared state of the background task.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of this host.
    pub host: HostId,
    /// Duration of the lease.
    pub lease: Duration,
    /// Target share of prefill engines.
    pub read_share: f64,
    /// Availability notices of the engines.
    pub incarnations: Arc<Incarnations>,
}

/// Engines with a pending order to change their role, and when it was sent.
pub type PendingChanges = HashMap<UpstreamId, Instant>;

#[derive(Debug, Clone, Copy)]
struct PendingOrder {
    role: Role,
    sent_at: Instant,
}

#[derive(Debug)]
struct State {
    config: Config,
    lease: LeaseState,
    pending: HashMap<UpstreamId, PendingOrder>,
    engines_known_since: Option<Instant>,
    changes_wanted_since: Option<Instant>,
    urgent_since: Option<Instant>,
}

/// Starts the background thread, which sends the engines with pending orders to `pending`.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub fn start<C>(
    config: Config,
    view: watch::Receiver<Arc<View>>,
    constraints: watch::Receiver<Constraints>,
    pending: watch::Sender<PendingChanges>,
    clock: &C,
    store: &Store,
) -> Result<()>
where
    C: Clock + Clone,
{
    let (clock, store) = (clock.clone(), store.clone());
    let started_at = clock::wall_ms(&clock);
    let mut state = State {
        lease: LeaseState::new(
            term::ENGINE_ORDERS,
            config.host.clone(),
            started_at,
            config.lease,
        ),
        config,
        pending: HashMap::new(),
        engines_known_since: None,
        changes_wanted_since: None,
        urgent_since: None,
    };
    thread::Builder::new()
        .name("orders".into())
        .spawn(move || {
            loop {
                clock.sleep(CHECK_INTERVAL);
                let current_view = Arc::clone(&view.borrow());
                let current_constraints = constraints.borrow().clone();
                state.step(&current_view, &current_constraints, &clock, &store);
                pending.send_replace(state.pending_changes());
            }
        })?;
    Ok(())
}

impl State {
    fn pending_changes(&self) -> PendingChanges {
        self.pending
            .iter()
            .map(|(id, order)| (id.clone(), order.sent_at))
            .collect()
    }

    fn step<C, K>(&mut self, view: &View, constraints: &Constraints, clock: &C, store: &K)
    where
        C: Clock,
        K: Keyed,
    {
        let now = clock.now();
        self.lease.record_era(store.newest_era(), clock.boot());
        self.remove_finished(&view.entries, now);
        let wanted = self.wanted_changes(view, constraints);
        let changes = self.due_changes(view, wanted, constraints.rank, now);
        if changes.is_empty() {
            return;
        }
        let Some(grant) = self.lease.acquire(clock, store) else {
            return;
        };
        for change in changes {
            if clock.boot() >= grant.expires_at {
                return;
            }
            if let Some(entry) = view.entries.iter().find(|entry| entry.id == change.engine) {
                self.order(entry, &change, grant, clock);
            }
        }
    }

    /// Returns the changes that have been wanted for long enough.
    fn due_changes(
        &mut self,
        view: &View,
        mut wanted: Vec<Change>,
        rank: usize,
        now: Instant,
    ) -> Vec<Change> {
        let rank_delay = RANK_DELAY * rank as u32;
        let is_over = |since: Option<Instant>, delay| {
            since.is_some_and(|since| now.saturating_duration_since(since) >= delay)
        };
        let is_any_urgent = wanted.iter().any(|change| change.is_urgent);
        set_since(&mut self.engines_known_since, !view.entries.is_empty(), now);
        set_since(&mut self.changes_wanted_since, !wanted.is_empty(), now);
        set_since(&mut self.urgent_since, is_any_urgent, now);
        let is_started = is_over(self.engines_known_since, FIRST_ORDER_DELAY);
        let is_due = is_over(self.changes_wanted_since, FIRST_ORDER_DELAY + rank_delay);
        let is_urgent_due = is_started && is_over(self.urgent_since, rank_delay);
        wanted.retain(|change| is_due || (is_urgent_due && change.is_urgent));
        wanted
    }

    fn wanted_changes(&self, view: &View, constraints: &Constraints) -> Vec<Change> {
        let Some(catalog) = &view.catalog else {
            return Vec::new();
        };
        let current = availability::mark_leaving(&view.entries, &self.config.incarnations);
        let services = catalog
            .services()
            .filter(|service| service.engine.is_some());
        services
            .flat_map(|service| {
                let entries = current.iter().filter(|entry| entry.service == service.name);
                let engines: Vec<Entry> = entries.cloned().collect();
                let is_changing = |entry: &Entry| {
                    self.pending.contains_key(&entry.id) || constraints.is_changing(entry)
                };
                let criteria = Criteria {
                    read_share: self.config.read_share,
                    has_resumable_streams: catalog.has_resumable_streams(&service.name),
                    constraints,
                };
                super::changes(&engines, &criteria, is_changing)
            })
            .collect()
    }

    /// Removes the orders that were carried out and those that have timed out.
    fn remove_finished(&mut self, entries: &[Entry], now: Instant) {
        self.pending.retain(|id, order| {
            let entry = entries.iter().find(|entry| entry.id == *id);
            let since = now.saturating_duration_since(order.sent_at);
            let is_done = entry.is_none_or(|entry| entry.role == order.role);
            !is_done && since < ORDER_TIMEOUT
        });
    }

    fn order<C>(&mut self, entry: &Entry, change: &Change, grant: Grant, clock: &C)
    where
        C: Clock,
    {
        let incarnation = self.config.incarnations.get(entry);
        if let Some(unavailability) = incarnation.unavailability(clock.now()) {
            info!(
                upstream:% = entry.id,
                role:? = change.role,
                closure:? = unavailability,
                outcome = "withheld";
                "role not ordered"
            );
            return;
        }
        let report = match read_report(entry, &incarnation, clock) {
            Ok(report) => report,
            Err(cause) => {
                warn!(
                    upstream:% = entry.id,
                    report = "none",
                    cause:% = cause;
                    "engine report not read"
                );
                return;
            }
        };
        let outcome = match report.role == change.role || report.is_busy {
            true => Outcome::Needless,
            false
                if clock.boot() >= grant.expires_at
                    || incarnation.unavailability(clock.now()).is_some() =>
            {
                return;
            }
            false => {
                let body = egress::role_order(
                    &self.config.host,
                    grant.fencing_token,
                    change.role,
                    report.orders,
                );
                send_order(entry, &incarnation, &body, clock)
            }
        };
        info!(
            upstream:% = entry.id,
            role:? = change.role,
            was:? = entry.role,
            build:% = entry.build,
            urgent = change.is_urgent,
            report:? = report,
            lease = grant.fencing_token,
            outcome:? = outcome;
            "role ordered"
        );
        match outcome {
            Outcome::Refused(STATUS_FENCED) => {
                warn!(
                    upstream:% = entry.id,
                    lease = grant.fencing_token,
                    outcome = "fenced";
                    "order refused: lease is not the newest"
                );
                self.lease.release();
            }
            Outcome::Needless | Outcome::Refused(_) | Outcome::Taken | Outcome::Unknown => {
                let order = PendingOrder {
                    role: change.role,
                    sent_at: clock.now(),
                };
                self.pending.insert(entry.id.clone(), order);
            }
            Outcome::NotSent => (),
        }
    }
}

/// Sets the time since which something holds, if it does at `now`.
fn set_since(since: &mut Option<Instant>, holds: bool, now: Instant) {
    *since = holds.then(|| since.unwrap_or(now));
}

/// Status of the response to an order whose fencing token is lower than one the engine has seen.
const STATUS_FENCED: u16 = 412;

/// State that an engine reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Active role.
    pub role: Role,
    /// Whether it is carrying out an order.
    pub is_busy: bool,
    /// Number of orders accepted since its start.
    pub orders: u64,
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// The engine carries out the order, or already has the role.
    Taken,
    /// The engine refused the order with this status.
    Refused(u16),
    /// No response was received; the engine may carry the order out.
    Unknown,
    /// The engine was not reached, so the order was not sent.
    NotSent,
    /// No order was sent: the engine has the role or is carrying out another order.
    Needless,
}

fn send_order<C>(entry: &Entry, incarnation: &Incarnation, body: &str, clock: &C) -> Outcome
where
    C: Clock,
{
    match post(entry, incarnation, body, clock) {
        Ok(status) if (200..300).contains(&status) => Outcome::Taken,
        Ok(status) => Outcome::Refused(status),
        Err(cause) if crate::upstream::is_before_first_byte(&cause) => Outcome::NotSent,
        Err(cause) => {
            warn!(upstream:% = entry.id, order = "unanswered", cause:% = cause; "order not answered");
            Outcome::Unknown
        }
    }
}

fn post<C>(
    entry: &Entry,
    incarnation: &Incarnation,
    body: &str,
    clock: &C,
) -> attohttpc::Result<u16>
where
    C: Clock,
{
    let request = request(Method::POST, entry.address, egress::ORDER_PATH, &entry.id);
    let request = request.header("content-type", "application/json");
    let response = request.text(body).send()?;
    apply_notice(
        entry,
        incarnation,
        &response,
        egress::ORDER_PATH,
        clock.now(),
    );
    Ok(response.status().as_u16())
}

fn read_report<C>(entry: &Entry, incarnation: &Incarnation, clock: &C) -> Result<Report>
where
    C: Clock,
{
    let request = request(Method::GET, entry.address, egress::REPORT_PATH, &entry.id);
    let response = request.send()?;
    apply_notice(
        entry,
        incarnation,
        &response,
        egress::REPORT_PATH,
        clock.now(),
    );
    let (_, _, reader) = response.error_for_status()?.split();
    let mut body = Vec::new();
    reader.take(MAX_REPORT_BYTES + 1).read_to_end(&mut body)?;
    ensure!(
        body.len() as u64 <= MAX_REPORT_BYTES,
        "the engine report is larger than {MAX_REPORT_BYTES} bytes"
    );
    Ok(egress::report(&body)?)
}

/// Applies the availability notice in the header fields of a response.
fn apply_notice(
    entry: &Entry,
    incarnation: &Incarnation,
    response: &Response,
    path: &str,
    now: Instant,
) {
    let notice = egress::notice(response.status(), response.headers());
    availability::apply_notice(entry, incarnation, &notice, path, now);
}

fn request(
    method: Method,
    address: SocketAddr,
    path: &str,
    upstream: &UpstreamId,
) -> RequestBuilder {
    let mut request = RequestBuilder::new(method, format!("http://{address}{path}"))
        .connect_timeout(RESPONSE_TIMEOUT)
        .timeout(RESPONSE_TIMEOUT)
        .read_timeout(RESPONSE_TIMEOUT);
    for (name, value) in &egress::internal_request_fields(upstream) {
        request = request.header(name, value);
    }
    request
}
