//! Balances requests to plain services over the upstreams, by the loads that all hosts report.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use log::warn;
use rand::RngExt;

use super::Gateway;
use super::call::Call;
use super::exchange::Failure;
use super::exchange::FullResponse;
use super::plain;
use super::spill;
use super::target::Target;
use crate::balance;
use crate::balance::Board;
use crate::balance::Decision;
use crate::balance::Place;
use crate::balance::Queue;
use crate::balance::Request;
use crate::balance::Turn;
use crate::gossip::Datagram;
use crate::gossip::PlainLoad;
use crate::id::DomainId;
use crate::id::HostId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::logging::sample::Sampler;
use crate::logging::sample::Verdict;

/// Reason for which a request is refused.
pub const REFUSAL_REASON: &str = "no upstream can answer in time";
/// Cost of an upstream that is unhealthy or reported unreachable, in seconds.
const UNHEALTHY_COST_S: f64 = 60.0;
/// Cost of a new connection, in seconds: a round trip.
const CONNECT_COST_S: f64 = 0.002;
/// Factor by which forecast and measured response times of a good forecast differ at most.
const MAX_ERROR_FACTOR: f64 = 1.5;
/// Maximum log lines per second about ignored loads.
const MAX_LINES_PER_S: u32 = 1;

/// State of the balance at this host.
#[derive(Debug)]
pub struct Balancer {
    /// Loads of the plain upstreams.
    pub board: RefCell<Board>,
    queues: RefCell<HashMap<ServiceId, Queue>>,
    last_ticket: Cell<u64>,
    sampler: RefCell<Sampler>,
}

impl Default for Balancer {
    fn default() -> Self {
        Balancer {
            board: RefCell::default(),
            queues: RefCell::default(),
            last_ticket: Cell::default(),
            sampler: RefCell::new(Sampler::new(MAX_LINES_PER_S)),
        }
    }
}

/// What was forecast of a request when it was sent.
#[derive(Debug, Clone, Copy)]
pub struct Forecast {
    load: f64,
    response: Duration,
    /// Share of the response time that is not spent waiting.
    service_share: f64,
}

/// An upstream chosen for a request.
#[derive(Debug)]
pub struct Chosen {
    /// The upstream.
    pub target: Rc<Target>,
    /// What was forecast; `None` if it was not chosen by its load.
    pub forecast: Option<Forecast>,
}

impl From<Rc<Target>> for Chosen {
    fn from(target: Rc<Target>) -> Self {
        Chosen {
            target,
            forecast: None,
        }
    }
}

/// Decision on a request.
#[derive(Debug)]
pub enum Choice {
    /// It is sent.
    Send(Chosen),
    /// It is decided on again after this time.
    Wait(Duration),
    /// It is refused; the caller should retry after this time.
    Refuse(Duration),
    /// The balance is off, or no upstream takes work.
    Unbalanced,
}

/// A request's turn among those that wait at this host, given up when it is dropped.
#[derive(Debug, Default)]
pub struct Waiting {
    joined: Option<(Rc<Gateway>, ServiceId, Turn)>,
}

impl Waiting {
    fn leave(&mut self) {
        if let Some((gateway, service, turn)) = self.joined.take() {
            let mut queues = gateway.balancer.queues.borrow_mut();
            if let Some(queue) = queues.get_mut(&service) {
                queue.leave(&turn);
                if queue.is_empty() {
                    queues.remove(&service);
                }
            }
        }
    }

    fn join(&mut self, gateway: &Rc<Gateway>, service: &ServiceId, turn: Turn) {
        let mut queues = gateway.balancer.queues.borrow_mut();
        queues.entry(service.clone()).or_default().join(turn);
        self.joined = Some((Rc::clone(gateway), service.clone(), turn));
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.leave();
    }
}

/// Decides where a request goes, unless it waits or is refused.
pub fn choose(
    gateway: &Rc<Gateway>,
    call: &Call,
    tried: &[UpstreamId],
    waiting: &mut Waiting,
    now: Instant,
) -> Choice {
    waiting.leave();
    let Some(mut candidates) = candidates(gateway, call, tried, now) else {
        return Choice::Unbalanced;
    };
    let mut request = request(call, now);
    if gateway.is_above_share(call, now) {
        // It leaves the room for waiting to other accounts, as a request that will be late does.
        request.target_left = Duration::ZERO;
    }
    let mut decision = candidates.decide(&request);
    if let Some(Decision::Send { index, .. }) = decision
        && let Some(own) = spill::confine(gateway, call, &candidates, index, now)
    {
        decision = own.decide(&request);
        candidates = own;
    }
    let response = match decision {
        Some(Decision::Send { response, .. }) => response,
        Some(Decision::Wait(_)) => request.target_left,
        Some(Decision::Refuse(after)) => {
            gateway.metrics.add("balance_refused");
            return Choice::Refuse(after);
        }
        None => return Choice::Unbalanced,
    };
    let turn = turn(gateway, call, response > request.target_left);
    let pause = match decision {
        Some(Decision::Send {
            index,
            load,
            service_share,
            ..
        }) => {
            let queues = gateway.balancer.queues.borrow();
            let queue = queues.get(&call.service);
            if queue.is_none_or(|queue| queue.is_first(&turn)) {
                let target = Rc::clone(&candidates.targets[index]);
                let forecast = Some(Forecast {
                    load,
                    response,
                    service_share,
                });
                return Choice::Send(Chosen { target, forecast });
            }
            balance::MIN_WAIT
        }
        Some(Decision::Wait(pause)) => pause,
        _ => return Choice::Unbalanced,
    };
    waiting.join(gateway, &call.service, turn);
    gateway.metrics.add("balance_waited");
    Choice::Wait(pause)
}

/// Returns `true` if the balance is on and all upstreams that take work have been tried.
pub fn is_exhausted(gateway: &Gateway, call: &Call, tried: &[UpstreamId], now: Instant) -> bool {
    let targets = gateway.targets(&call.service, now);
    let is_tried = |target: &Rc<Target>| tried.contains(&target.entry.id);
    gateway.settings.balance.is_some() && targets.iter().all(is_tried)
}

/// Returns the time for which a request that all upstreams have rejected waits for room: about as
/// long as each slot takes for one request, and at most a third of the time left.
pub fn pause_for_room(gateway: &Gateway, call: &Call, now: Instant) -> Duration {
    let max = call.remaining(now) / 3;
    let Some(candidates) = candidates(gateway, call, &[], now) else {
        return balance::MIN_WAIT.min(max);
    };
    let services = candidates.places.iter().map(|place| place.service_s);
    let service_s = services.min_by(f64::total_cmp).unwrap_or_default();
    let draw: f64 = rand::rng().random();
    Duration::from_secs_f64(service_s * (0.5 + draw)).min(max)
}

/// Returns when a refused caller should retry; `None` if the balance is off.
pub fn retry_after(gateway: &Gateway, call: &Call, now: Instant) -> Option<Duration> {
    let candidates = candidates(gateway, call, &[], now)?;
    let share = candidates.unseen / candidates.places.len() as f64;
    let queued = candidates
        .places
        .iter()
        .map(|place| place.response_s(share) - place.service_s);
    let least = queued.min_by(f64::total_cmp)?;
    let draw = rand::rng().random();
    Some(balance::retry_after(least, &request(call, now), draw))
}

fn request(call: &Call, now: Instant) -> Request {
    let target_at = call.arrived + call.route.target_latency;
    Request {
        rank: call.rank(),
        target_left: target_at.saturating_duration_since(now),
        left: call.remaining(now),
    }
}

fn turn(gateway: &Gateway, call: &Call, is_late: bool) -> Turn {
    let ticket = gateway.balancer.last_ticket.get() + 1;
    gateway.balancer.last_ticket.set(ticket);
    Turn {
        is_late,
        rank: call.rank(),
        due: match is_late {
            true => call.deadline,
            false => call.arrived + call.route.target_latency,
        },
        ticket,
    }
}

/// Upstreams that a request may go to.
#[derive(Debug)]
pub struct Candidates {
    /// The upstreams.
    pub targets: Vec<Rc<Target>>,
    /// How the request finds them, in the same order.
    pub places: Vec<Place>,
    /// Number of requests from peers that are in flight there and that no report names yet.
    pub unseen: f64,
}

impl Candidates {
    fn decide(&self, request: &Request) -> Option<Decision> {
        let mut random = rand::rng();
        let (draw, pause_draw) = (random.random(), random.random());
        balance::decide(&self.places, self.unseen, request, draw, pause_draw)
    }

    /// Returns those of a failure domain, with their part of the requests that no report names.
    pub fn in_domain(&self, domain: &DomainId) -> Self {
        let pairs = self.targets.iter().zip(&self.places);
        let (targets, places): (Vec<_>, Vec<_>) = pairs
            .filter(|(target, _)| target.entry.domain == *domain)
            .map(|(target, place)| (Rc::clone(target), *place))
            .unzip();
        let unseen = self.unseen * places.len() as f64 / self.places.len().max(1) as f64;
        Candidates {
            targets,
            places,
            unseen,
        }
    }

    /// Returns the forecast response time of one of them.
    pub fn response(&self, index: usize) -> Duration {
        let share = self.unseen / self.places.len() as f64;
        Duration::from_secs_f64(self.places[index].response_s(share))
    }

    /// Returns the least cost of sending the request to one of them; `None` if there is none.
    pub fn best_cost(&self) -> Option<Duration> {
        let share = self.unseen / self.places.len().max(1) as f64;
        let costs = self.places.iter().map(|place| place.cost(share));
        let least = costs.min_by(f64::total_cmp)?;
        Some(Duration::from_secs_f64(least))
    }

    /// Returns the number of requests that they have room for.
    pub fn spare(&self) -> f64 {
        let free = self.places.iter().map(|place| place.slots - place.load);
        free.map(|free| free.max(0.0)).sum()
    }
}

/// Returns the upstreams that a request may go to; `None` if the balance is off or there is none.
fn candidates(
    gateway: &Gateway,
    call: &Call,
    tried: &[UpstreamId],
    now: Instant,
) -> Option<Candidates> {
    gateway.settings.balance.as_ref()?;
    let mut targets = gateway.targets(&call.service, now);
    targets.retain(|target| !tried.contains(&target.entry.id));
    if targets.is_empty() {
        return None;
    }
    let board = gateway.balancer.board.borrow();
    let digests: Vec<u32> = targets
        .iter()
        .map(|target| target.incarnation_digest())
        .collect();
    let default_s = board.default_service_s(&digests, now);
    let places: Vec<Place> = targets
        .iter()
        .map(|target| {
            let slots = u32::try_from(target.entry.slots).unwrap_or(u32::MAX);
            let mut place = board.place(target.incarnation_digest(), slots, default_s, now);
            place.extra_s = extra_s(gateway, call, target, now);
            if !call.route.is_idempotent() && !board.is_known(target.incarnation_digest(), now) {
                place.extra_s += default_s;
            }
            place
        })
        .collect();
    let responses = places.iter().map(|place| place.response_s(0.0));
    let mean_s = responses.sum::<f64>() / places.len() as f64;
    let unseen = board.unseen(&digests, mean_s, now);
    drop(board);
    Some(Candidates {
        targets,
        places,
        unseen,
    })
}

/// Returns the cost of an upstream beside its response time, in seconds: what a failure there
/// would take of the caller's time, and the way there.
fn extra_s(gateway: &Gateway, call: &Call, target: &Target, now: Instant) -> f64 {
    let health = *target.health();
    let lost = match call.route.is_idempotent() {
        true => call
            .route
            .target_latency
            .mul_f64(plain::ATTEMPT_TIMEOUT_FACTOR),
        false => call.remaining(now),
    };
    let mut extra_s = health.failure_rate() * lost.as_secs_f64();
    if !health.is_healthy(now) || gateway.is_reported_unreachable(&target.entry.id, now) {
        extra_s += UNHEALTHY_COST_S;
    }
    if let Some(settings) = &gateway.settings.balance
        && target.entry.domain != gateway.settings.domain
    {
        let min = settings.cross_domain_cost;
        extra_s += spill::crossing_s(gateway, call, &target.entry.domain, min, now);
    }
    if call.route.is_idempotent() && !target.has_idle_connection(now) {
        extra_s += CONNECT_COST_S;
    }
    extra_s
}

/// A request in flight, counted in the load of its upstream until it is dropped.
#[derive(Debug)]
pub struct Sent {
    gateway: Rc<Gateway>,
    upstream: u32,
    ticket: Option<u64>,
    forecast: Option<Forecast>,
    domain: DomainId,
    at: Instant,
}

impl Sent {
    /// Counts a request that is sent to an upstream.
    pub fn new(
        gateway: &Rc<Gateway>,
        target: &Target,
        forecast: Option<Forecast>,
        at: Instant,
    ) -> Self {
        let upstream = target.incarnation_digest();
        let mut board = gateway.balancer.board.borrow_mut();
        let is_on = gateway.settings.balance.is_some();
        let ticket = is_on.then(|| board.begin(upstream, at));
        Sent {
            gateway: Rc::clone(gateway),
            upstream,
            ticket,
            forecast,
            domain: target.entry.domain.clone(),
            at,
        }
    }

    /// Records how the request ended, and how good the forecast was.
    pub fn record(self, ended: &Result<FullResponse, Failure>) {
        let Some(forecast) = self.forecast else {
            return;
        };
        let now = Instant::now();
        let took_s = now.saturating_duration_since(self.at).as_secs_f64();
        let excess_s = took_s - forecast.response.as_secs_f64();
        spill::record(&self.gateway, &self.domain, ended, excess_s, now);
        let mut board = self.gateway.balancer.board.borrow_mut();
        match ended {
            Ok(response) if response.head.status.is_success() => {
                let took = now.saturating_duration_since(self.at);
                board.record_response(self.upstream, took, forecast.service_share, now);
                board.record_admission(self.upstream, forecast.load);
                let ratio = took.as_secs_f64() / forecast.response.as_secs_f64();
                self.gateway.metrics.add(forecast_quality(ratio));
            }
            Err(Failure::NotRun(_)) => {
                board.record_rejection(self.upstream, forecast.load, now);
                self.gateway.metrics.add("balance_rejected");
            }
            _ => (),
        }
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            let mut board = self.gateway.balancer.board.borrow_mut();
            board.end(self.upstream, ticket);
        }
    }
}

/// Returns the counter of forecasts that a measured response time belongs to, given its ratio to
/// the forecast one.
fn forecast_quality(ratio: f64) -> &'static str {
    match ratio {
        _ if ratio > MAX_ERROR_FACTOR => "balance_forecast_low",
        _ if ratio < 1.0 / MAX_ERROR_FACTOR => "balance_forecast_high",
        _ => "balance_forecast_good",
    }
}

/// Returns the loads that this host puts on plain upstreams; empty if the balance is off.
pub fn loads(gateway: &Gateway, now: Instant) -> Vec<PlainLoad> {
    if gateway.settings.balance.is_none() {
        return Vec::new();
    }
    let reports = gateway.balancer.board.borrow().reports(now);
    reports.iter().map(Into::into).collect()
}

/// Returns `true` if both lists tell the same of this host's requests.
pub fn is_same_state(one: &[PlainLoad], other: &[PlainLoad]) -> bool {
    let pairs = || one.iter().zip(other);
    one.len() == other.len() && pairs().all(|(one, other)| one.is_same_state(other))
}

/// Takes in the loads that a peer puts on plain upstreams.
pub fn record_peer(gateway: &Gateway, peer: &HostId, datagram: &Datagram, now: Instant) {
    if gateway.settings.balance.is_none() {
        return;
    }
    let reports: Vec<balance::Report> = datagram.plain_loads.iter().map(Into::into).collect();
    let mut board = gateway.balancer.board.borrow_mut();
    let rejections = board.record_peer(peer, datagram.started_at, &reports, now);
    for rejection in rejections {
        gateway.metrics.add("balance_loads_ignored");
        if let Verdict::Keep(left_out) = gateway.balancer.sampler.borrow_mut().judge(now) {
            warn!(
                part = "balance",
                peer:% = peer,
                reason:? = rejection,
                left_out = left_out,
                outcome = "ignored";
                "impossible load of an upstream"
            );
        }
    }
}
