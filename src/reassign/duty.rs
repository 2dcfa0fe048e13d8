//! Compares the roles that engines have with those that are wanted, and gives orders.

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
use super::term::Grant;
use super::term::LeaseState;
use crate::availability;
use crate::availability::Incarnation;
use crate::availability::Incarnations;
use crate::clock;
use crate::clock::Clock;
use crate::fleet::Entry;
use crate::follow::View;
use crate::gossip;
use crate::id::HostId;
use crate::id::UpstreamId;
use crate::log::keyed::Keyed;
use crate::platform::egress;
use crate::platform::store::Store;
use crate::upstream::Role;

/// Pause between two comparisons.
const PAUSE: Duration = Duration::from_millis(500);
/// Time for which engines have to be known before the first order, so that a partial list at the
/// start is not taken for the fleet.
const SETTLE_TIME: Duration = Duration::from_millis(2500);
/// Time by which each further host in the order of names waits longer before it takes the lease.
const RANK_DELAY: Duration = Duration::from_secs(4);
/// Time after which an order that brought no change is given up; engines may carry it out twelve
/// seconds late.
const ORDER_TIME: Duration = Duration::from_secs(14);
/// Longest wait for an engine's answer to an order.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

/// Largest report that is read; one names each request that an engine works on.
const REPORT_BYTES: u64 = 1 << 20;

/// What the duty is started with.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of this host.
    pub host: HostId,
    /// Lease time.
    pub lease: Duration,
    /// Share of the engines that should read prompts.
    pub read_share: f64,
    /// What engines have said of themselves.
    pub incarnations: Arc<Incarnations>,
}

/// Engines that were ordered to change and when.
pub type PendingChanges = HashMap<UpstreamId, Instant>;

#[derive(Debug, Clone, Copy)]
struct Given {
    role: Role,
    at: Instant,
}

#[derive(Debug)]
struct State {
    officer: Config,
    term: LeaseState,
    given: HashMap<UpstreamId, Given>,
    wanting_since: Option<Instant>,
}

/// Starts the duty's thread; the sender is told which engines are away.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub fn start<C>(
    officer: Config,
    view: watch::Receiver<Arc<View>>,
    constraints: watch::Receiver<Constraints>,
    pending_changes: watch::Sender<PendingChanges>,
    clock: &C,
    store: &Store,
) -> Result<()>
where
    C: Clock + Clone,
{
    let (clock, store) = (clock.clone(), store.clone());
    let born = clock::wall_ms(&clock);
    let mut state = State {
        term: LeaseState::new(officer.host.clone(), born, officer.lease),
        officer,
        given: HashMap::new(),
        wanting_since: None,
    };
    thread::Builder::new()
        .name("orders".into())
        .spawn(move || {
            loop {
                clock.sleep(PAUSE);
                let current = Arc::clone(&view.borrow());
                let known = constraints.borrow().clone();
                state.step(&current, &known, &clock, &store);
                pending_changes.send_replace(state.pending_changes());
            }
        })?;
    Ok(())
}

impl State {
    fn pending_changes(&self) -> PendingChanges {
        self.given
            .iter()
            .map(|(id, given)| (id.clone(), given.at))
            .collect()
    }

    fn step<C, K>(&mut self, view: &View, constraints: &Constraints, clock: &C, store: &K)
    where
        C: Clock,
        K: Keyed,
    {
        let now = clock.now();
        self.forget_done(&view.entries, now);
        let wanted = self.wanted(view, constraints);
        if wanted.is_empty() {
            self.wanting_since = None;
            return;
        }
        let since = *self.wanting_since.get_or_insert(now);
        let patience = SETTLE_TIME + RANK_DELAY * constraints.rank as u32;
        if now.saturating_duration_since(since) < patience {
            return;
        }
        let Some(held) = self.term.acquire(clock, store) else {
            return;
        };
        for change in wanted {
            if clock.boot() >= held.expires_at {
                return;
            }
            if let Some(entry) = view.entries.iter().find(|entry| entry.id == change.engine) {
                self.order(entry, &change, held, clock);
            }
        }
    }

    fn wanted(&self, view: &View, constraints: &Constraints) -> Vec<Change> {
        let Some(catalog) = &view.catalog else {
            return Vec::new();
        };
        let known = availability::mark_leaving(&view.entries, &self.officer.incarnations);
        let services = catalog
            .services()
            .filter(|service| service.engine.is_some());
        services
            .flat_map(|service| {
                let entries = known.iter().filter(|entry| entry.service == service.name);
                let engines: Vec<Entry> = entries.cloned().collect();
                let is_changing = |id: &UpstreamId| {
                    self.given.contains_key(id)
                        || constraints.pending_changes.contains(&gossip::digest(id))
                };
                super::changes(
                    &engines,
                    self.officer.read_share,
                    constraints.is_idle,
                    is_changing,
                )
            })
            .collect()
    }

    /// Forgets orders that were carried out, and those that never will be.
    fn forget_done(&mut self, entries: &[Entry], now: Instant) {
        self.given.retain(|id, given| {
            let entry = entries.iter().find(|entry| entry.id == *id);
            let since = now.saturating_duration_since(given.at);
            let is_done = entry.is_none_or(|entry| entry.role == given.role);
            !is_done && since < ORDER_TIME
        });
    }

    fn order<C>(&mut self, entry: &Entry, change: &Change, held: Grant, clock: &C)
    where
        C: Clock,
    {
        let incarnation = self.officer.incarnations.get(entry);
        if let Some(closure) = incarnation.unavailability(clock.now()) {
            info!(
                upstream:% = entry.id,
                role:? = change.role,
                closure:? = closure,
                outcome = "withheld";
                "role not ordered"
            );
            return;
        }
        let report = match ask(entry, &incarnation, clock) {
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
                if clock.boot() >= held.expires_at
                    || incarnation.unavailability(clock.now()).is_some() =>
            {
                return;
            }
            false => {
                let body = egress::role_order(
                    &self.officer.host,
                    held.fencing_token,
                    change.role,
                    report.orders,
                );
                send(entry, &incarnation, &body, clock)
            }
        };
        info!(
            upstream:% = entry.id,
            role:? = change.role,
            was:? = entry.role,
            report:? = report,
            lease = held.fencing_token,
            outcome:? = outcome;
            "role ordered"
        );
        match outcome {
            Outcome::Refused(STATUS_FENCED) => {
                warn!(
                    upstream:% = entry.id,
                    lease = held.fencing_token,
                    outcome = "fenced";
                    "order refused: lease is not the newest"
                );
                self.term.release();
            }
            Outcome::Needless | Outcome::Refused(_) | Outcome::Taken | Outcome::Unknown => {
                let given = Given {
                    role: change.role,
                    at: clock.now(),
                };
                self.given.insert(entry.id.clone(), given);
            }
            Outcome::NotSent => (),
        }
    }
}

/// Answer to an order under a token lower than one that the engine has seen.
const STATUS_FENCED: u16 = 412;

/// What an engine says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Role in force.
    pub role: Role,
    /// Whether an order is being carried out.
    pub is_busy: bool,
    /// Orders accepted since its start.
    pub orders: u64,
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// The engine carries it out, or it holds already.
    Taken,
    /// The engine refused it with this status.
    Refused(u16),
    /// No answer came; the engine may carry it out.
    Unknown,
    /// The engine was not reached.
    NotSent,
    /// The engine has the role, or changes it already.
    Needless,
}

fn send<C>(entry: &Entry, incarnation: &Incarnation, body: &str, clock: &C) -> Outcome
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
    hear(
        entry,
        incarnation,
        &response,
        egress::ORDER_PATH,
        clock.now(),
    );
    Ok(response.status().as_u16())
}

fn ask<C>(entry: &Entry, incarnation: &Incarnation, clock: &C) -> Result<Report>
where
    C: Clock,
{
    let request = request(Method::GET, entry.address, egress::REPORT_PATH, &entry.id);
    let response = request.send()?;
    hear(
        entry,
        incarnation,
        &response,
        egress::REPORT_PATH,
        clock.now(),
    );
    let (_, _, reader) = response.error_for_status()?.split();
    let mut body = Vec::new();
    reader.take(REPORT_BYTES + 1).read_to_end(&mut body)?;
    ensure!(
        body.len() as u64 <= REPORT_BYTES,
        "the report is larger than {REPORT_BYTES} bytes"
    );
    Ok(egress::report(&body)?)
}

fn hear(entry: &Entry, incarnation: &Incarnation, response: &Response, path: &str, now: Instant) {
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
        .connect_timeout(ANSWER_TIMEOUT)
        .timeout(ANSWER_TIMEOUT)
        .read_timeout(ANSWER_TIMEOUT);
    for (name, value) in &egress::own_fields(upstream) {
        request = request.header(name, value);
    }
    request
}
