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
use super::Standing;
use super::term::Held;
use super::term::Term;
use crate::availability;
use crate::availability::Life;
use crate::availability::Lives;
use crate::clock;
use crate::clock::Clock;
use crate::fleet::Row;
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
pub struct Officer {
    /// Name of this host.
    pub host: HostId,
    /// Lease time.
    pub lease: Duration,
    /// Share of the engines that should read prompts.
    pub read_share: f64,
    /// What engines have said of themselves.
    pub lives: Arc<Lives>,
}

/// Engines that were ordered to change and when.
pub type Away = HashMap<UpstreamId, Instant>;

#[derive(Debug, Clone, Copy)]
struct Given {
    role: Role,
    at: Instant,
}

#[derive(Debug)]
struct State {
    officer: Officer,
    term: Term,
    given: HashMap<UpstreamId, Given>,
    wanting_since: Option<Instant>,
}

/// Starts the duty's thread; the sender is told which engines are away.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub fn start<C>(
    officer: Officer,
    view: watch::Receiver<Arc<View>>,
    standing: watch::Receiver<Standing>,
    away: watch::Sender<Away>,
    clock: &C,
    store: &Store,
) -> Result<()>
where
    C: Clock + Clone,
{
    let (clock, store) = (clock.clone(), store.clone());
    let born = clock::wall_ms(&clock);
    let mut state = State {
        term: Term::new(officer.host.clone(), born, officer.lease),
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
                let known = standing.borrow().clone();
                state.step(&current, &known, &clock, &store);
                away.send_replace(state.away());
            }
        })?;
    Ok(())
}

impl State {
    fn away(&self) -> Away {
        self.given
            .iter()
            .map(|(id, given)| (id.clone(), given.at))
            .collect()
    }

    fn step<C, K>(&mut self, view: &View, standing: &Standing, clock: &C, store: &K)
    where
        C: Clock,
        K: Keyed,
    {
        let now = clock.now();
        self.forget_done(&view.rows, now);
        let wanted = self.wanted(view, standing);
        if wanted.is_empty() {
            self.wanting_since = None;
            return;
        }
        let since = *self.wanting_since.get_or_insert(now);
        let patience = SETTLE_TIME + RANK_DELAY * standing.rank as u32;
        if now.saturating_duration_since(since) < patience {
            return;
        }
        let Some(held) = self.term.acquire(clock, store) else {
            return;
        };
        for change in wanted {
            if clock.boot() >= held.until {
                return;
            }
            if let Some(row) = view.rows.iter().find(|row| row.id == change.engine) {
                self.order(row, &change, held, clock);
            }
        }
    }

    fn wanted(&self, view: &View, standing: &Standing) -> Vec<Change> {
        let Some(catalog) = &view.catalog else {
            return Vec::new();
        };
        let known = availability::mark_leaving(&view.rows, &self.officer.lives);
        let services = catalog
            .services()
            .filter(|service| service.engine.is_some());
        services
            .flat_map(|service| {
                let rows = known.iter().filter(|row| row.service == service.name);
                let engines: Vec<Row> = rows.cloned().collect();
                let is_changing = |id: &UpstreamId| {
                    self.given.contains_key(id) || standing.away.contains(&gossip::digest(id))
                };
                super::changes(
                    &engines,
                    self.officer.read_share,
                    standing.is_idle,
                    is_changing,
                )
            })
            .collect()
    }

    /// Forgets orders that were carried out, and those that never will be.
    fn forget_done(&mut self, rows: &[Row], now: Instant) {
        self.given.retain(|id, given| {
            let row = rows.iter().find(|row| row.id == *id);
            let since = now.saturating_duration_since(given.at);
            let is_done = row.is_none_or(|row| row.role == given.role);
            !is_done && since < ORDER_TIME
        });
    }

    fn order<C>(&mut self, row: &Row, change: &Change, held: Held, clock: &C)
    where
        C: Clock,
    {
        let life = self.officer.lives.of(row);
        if let Some(closure) = life.closure(clock.now()) {
            info!(
                upstream:% = row.id,
                role:? = change.role,
                closure:? = closure,
                outcome = "withheld";
                "role not ordered"
            );
            return;
        }
        let report = match ask(row, &life, clock) {
            Ok(report) => report,
            Err(cause) => {
                warn!(
                    upstream:% = row.id,
                    report = "none",
                    cause:% = cause;
                    "engine report not read"
                );
                return;
            }
        };
        let outcome = match report.role == change.role || report.is_busy {
            true => Outcome::Needless,
            false if clock.boot() >= held.until || life.closure(clock.now()).is_some() => return,
            false => {
                let body =
                    egress::role_order(&self.officer.host, held.fence, change.role, report.orders);
                send(row, &life, &body, clock)
            }
        };
        info!(
            upstream:% = row.id,
            role:? = change.role,
            was:? = row.role,
            report:? = report,
            lease = held.fence,
            outcome:? = outcome;
            "role ordered"
        );
        match outcome {
            Outcome::Refused(STATUS_FENCED) => {
                warn!(
                    upstream:% = row.id,
                    lease = held.fence,
                    outcome = "fenced";
                    "order refused: lease is not the newest"
                );
                self.term.drop_lease();
            }
            Outcome::Needless | Outcome::Refused(_) | Outcome::Taken | Outcome::Unknown => {
                let given = Given {
                    role: change.role,
                    at: clock.now(),
                };
                self.given.insert(row.id.clone(), given);
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

fn send<C>(row: &Row, life: &Life, body: &str, clock: &C) -> Outcome
where
    C: Clock,
{
    match post(row, life, body, clock) {
        Ok(status) if (200..300).contains(&status) => Outcome::Taken,
        Ok(status) => Outcome::Refused(status),
        Err(cause) if crate::upstream::is_before_first_byte(&cause) => Outcome::NotSent,
        Err(cause) => {
            warn!(upstream:% = row.id, order = "unanswered", cause:% = cause; "order not answered");
            Outcome::Unknown
        }
    }
}

fn post<C>(row: &Row, life: &Life, body: &str, clock: &C) -> attohttpc::Result<u16>
where
    C: Clock,
{
    let request = request(Method::POST, row.address, egress::ORDER_PATH, &row.id);
    let request = request.header("content-type", "application/json");
    let response = request.text(body).send()?;
    hear(row, life, &response, egress::ORDER_PATH, clock.now());
    Ok(response.status().as_u16())
}

fn ask<C>(row: &Row, life: &Life, clock: &C) -> Result<Report>
where
    C: Clock,
{
    let request = request(Method::GET, row.address, egress::REPORT_PATH, &row.id);
    let response = request.send()?;
    hear(row, life, &response, egress::REPORT_PATH, clock.now());
    let (_, _, reader) = response.error_for_status()?.split();
    let mut body = Vec::new();
    reader.take(REPORT_BYTES + 1).read_to_end(&mut body)?;
    ensure!(
        body.len() as u64 <= REPORT_BYTES,
        "the report is larger than {REPORT_BYTES} bytes"
    );
    Ok(egress::report(&body)?)
}

fn hear(row: &Row, life: &Life, response: &Response, path: &str, now: Instant) {
    let notice = egress::notice(response.status(), response.headers());
    availability::hear(row, life, &notice, path, now);
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
