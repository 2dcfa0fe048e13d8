//! Requests that may end the upstreams that run them: what the request loop notes of them, asks
//! upstreams and peers, and refuses.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use http::StatusCode;
use log::info;
use tokio::sync::mpsc;
use tokio::task;
use tokio::time;

use super::Gateway;
use super::call::Call;
use super::exchange;
use super::exchange::Failure;
use super::exchange::Stage;
use super::target::Target;
use crate::follow::suspects::Message;
use crate::gossip;
use crate::id::CallId;
use crate::id::Fingerprint;
use crate::id::IncarnationDigest;
use crate::logging::sample;
use crate::logging::sample::Sampler;
use crate::platform::egress;
use crate::suspicion::Evidence;
use crate::suspicion::Report;
use crate::suspicion::Verdict;
use crate::upstream::Role;

/// Lines of one kind that are logged in a second; the others are counted.
const MOST_LINES: u32 = 20;
/// Longest wait for an upstream's answer to the question whether it lives; a few round trips.
const PROBE_TIME: Duration = Duration::from_millis(200);
/// Time after a loss in which an upstream's other answers may tell that it lives, before it is
/// asked; most upstreams answer others many times in it.
const PROBE_DELAY: Duration = Duration::from_millis(100);
/// Lives from which an upstream is asked whatever kind the loss was of, and peers are told at once.
const PROBED_LIVES: usize = 2;
/// Share of the time left that a request waits for such answers.
const PROBE_SHARE: f64 = 0.25;
/// Upstreams that are asked for one request at a time.
const MOST_PROBES: usize = 4;
/// Time after its start within which a host waits for what was kept of suspects before it is ready.
const START_TIME: Duration = Duration::from_secs(2);

/// Why a suspect is refused.
pub const REASON: &str = "suspected of ending upstreams";

/// Lines about suspects, bounded.
#[derive(Debug)]
pub struct LogLimiter {
    lost: RefCell<Sampler>,
    settled: RefCell<Sampler>,
    refused: RefCell<Sampler>,
}

impl Default for LogLimiter {
    fn default() -> Self {
        let sampler = || RefCell::new(Sampler::new(MOST_LINES));
        LogLimiter {
            lost: sampler(),
            settled: sampler(),
            refused: sampler(),
        }
    }
}

fn kept(sampler: &RefCell<Sampler>, now: Instant) -> Option<u64> {
    match sampler.borrow_mut().judge(now) {
        sample::Verdict::Keep(left_out) => Some(left_out),
        sample::Verdict::LeaveOut => None,
    }
}

/// Watches over one exchange until its answer is whole. One that is dropped before is a loss: the
/// caller has left, and whether the upstream has ended is not known.
#[derive(Debug)]
pub struct Guard {
    gateway: Rc<Gateway>,
    request: CallId,
    fingerprint: Fingerprint,
    target: Rc<Target>,
    stage: &'static str,
    is_run: bool,
    is_over: bool,
}

impl Guard {
    /// Starts to watch a request that is about to be sent to `target`.
    pub fn new(gateway: &Rc<Gateway>, call: &Call, target: &Rc<Target>, stage: Stage<'_>) -> Self {
        gateway
            .suspicion
            .borrow_mut()
            .begin_exchange(call.fingerprint);
        Guard {
            gateway: Rc::clone(gateway),
            request: call.request.id.clone(),
            fingerprint: call.fingerprint,
            target: Rc::clone(target),
            stage: stage.name(),
            is_run: !matches!(stage, Stage::Prefill),
            is_over: false,
        }
    }

    /// Notes how the exchange ended.
    pub fn record<T>(&mut self, ended: &Result<T, Failure>) {
        match ended {
            Ok(_) => self.succeed(),
            Err(failure) => self.fail(failure),
        }
    }

    /// Notes that the exchange failed.
    pub fn fail(&mut self, failure: &Failure) {
        self.is_over = true;
        let (Failure::Broken(_) | Failure::Silent) = failure else {
            return;
        };
        let incarnations = self.lose(failure);
        if matches!(failure, Failure::Broken(_)) || incarnations >= PROBED_LIVES {
            let incarnation = self.target.incarnation_digest();
            task::spawn_local(ask_later(Rc::clone(&self.gateway), incarnation));
        }
    }

    /// Notes that the upstream's answer was whole.
    pub fn succeed(&mut self) {
        self.is_over = true;
        if self.is_run {
            let mut suspicion = self.gateway.suspicion.borrow_mut();
            suspicion.record_completion(self.fingerprint, Instant::now());
        }
    }

    /// Notes a loss; returns how many lives may have ended under the request.
    fn lose<E>(&self, cause: &E) -> usize
    where
        E: std::fmt::Display,
    {
        let now = Instant::now();
        let gateway = &self.gateway;
        gateway.metrics.add("exchanges_lost");
        let incarnation = self.target.incarnation_digest();
        let incarnations =
            gateway
                .suspicion
                .borrow_mut()
                .record_loss(self.fingerprint, incarnation, now);
        if incarnations >= PROBED_LIVES {
            gateway.urgent.notify_one();
        }
        if let Some(left_out) = kept(&gateway.suspect_log_limiter.lost, now) {
            info!(
                request:% = self.request,
                fingerprint:% = format_args!("{:016x}", self.fingerprint),
                upstream:% = self.target.entry.id,
                born = self.target.entry.started_at,
                life:% = format_args!("{incarnation:08x}"),
                work = self.stage,
                upstreams = incarnations,
                cause:% = cause,
                left_out = left_out,
                outcome = "lost";
                "exchange ended without an answer"
            );
        }
        incarnations
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.is_over {
            self.lose(&"the caller left");
        }
        self.gateway
            .suspicion
            .borrow_mut()
            .end_exchange(self.fingerprint);
    }
}

/// Returns when a request that must not be sent now may come back; nothing if it may be sent.
///
/// Upstreams whose fate decides are asked first, so that no request is held for a suspect by
/// upstreams that live.
pub async fn refusal(gateway: &Rc<Gateway>, call: &Call) -> Option<Duration> {
    let verdict = |now| {
        let suspicion = gateway.suspicion.borrow();
        suspicion.verdict(call.fingerprint, now)
    };
    if let Verdict::Unresolved(_) = verdict(Instant::now()) {
        let left = call.left(Instant::now());
        let wait = PROBE_TIME.min(left.mul_f64(PROBE_SHARE));
        let incarnations = gateway
            .suspicion
            .borrow()
            .unknown_incarnations(call.fingerprint);
        let asked = incarnations
            .into_iter()
            .take(MOST_PROBES)
            .map(|incarnation| {
                let gateway = Rc::clone(gateway);
                task::spawn_local(async move { ask(&gateway, incarnation, wait).await })
            });
        for asked in asked.collect::<Vec<_>>() {
            if let Err(cause) = asked.await {
                log::error!(cause:% = cause; "question to an upstream ended early");
            }
        }
    }
    let now = Instant::now();
    let (case, is_settled) = match verdict(now) {
        Verdict::Clear => return None,
        Verdict::Unresolved(case) => (case, false),
        Verdict::Refused(case) => (case, true),
    };
    log_refusal(gateway, call, &case, is_settled, now);
    Some(case.retry_after)
}

/// Returns whether a request may be sent on as it stands, without asking anybody.
pub fn is_clear(gateway: &Gateway, call: &Call) -> bool {
    let suspicion = gateway.suspicion.borrow();
    suspicion.verdict(call.fingerprint, Instant::now()) == Verdict::Clear
}

fn log_refusal(gateway: &Gateway, call: &Call, case: &Evidence, is_settled: bool, now: Instant) {
    gateway.metrics.add("suspects_refused");
    if let Some(left_out) = kept(&gateway.suspect_log_limiter.refused, now) {
        info!(
            request:% = call.request.id,
            fingerprint:% = format_args!("{:016x}", call.fingerprint),
            upstreams = case.incarnations,
            ended = case.ended,
            hosts = case.hosts,
            oldest_ms = case.oldest.as_millis() as u64,
            settled = is_settled,
            left_out = left_out,
            outcome = "refused";
            "suspect refused"
        );
    }
}

async fn ask_later(gateway: Rc<Gateway>, incarnation: IncarnationDigest) {
    // An upstream that ends takes many requests with it; one question answers for all.
    if !gateway.probed_incarnations.borrow_mut().insert(incarnation) {
        return;
    }
    time::sleep(PROBE_DELAY).await;
    if gateway.suspicion.borrow().is_unknown(incarnation) {
        ask(&gateway, incarnation, PROBE_TIME).await;
    }
    gateway
        .probed_incarnations
        .borrow_mut()
        .remove(&incarnation);
}

/// Asks an upstream whether the life of a loss goes on, and waits for up to `wait`; silence tells
/// nothing.
async fn ask(gateway: &Gateway, incarnation: IncarnationDigest, wait: Duration) {
    let Some(target) = gateway.target_of(incarnation) else {
        return;
    };
    let path = match target.entry.role {
        Role::Mixed => {
            let catalog = gateway.catalog();
            let service = catalog
                .as_ref()
                .and_then(|catalog| catalog.service(&target.entry.service));
            service.and_then(|service| service.health_path.clone())
        }
        Role::Prefill | Role::Decode => Some(egress::REPORT_PATH.into()),
    };
    let Some(path) = path else {
        return;
    };
    let sent = Instant::now();
    let until = sent + wait;
    let answer = exchange::call_own(gateway, &target, Method::GET, &path, until).await;
    let mut suspicion = gateway.suspicion.borrow_mut();
    let outcome = match &answer {
        Err(_) => "no-answer",
        Ok(answer) if answer.head.status == StatusCode::MISDIRECTED_REQUEST => {
            suspicion.record_ended(incarnation);
            "ended"
        }
        Ok(answer) => match egress::started_at(&answer.body) {
            Some(started_at) if started_at == target.entry.started_at => {
                suspicion.record_alive(incarnation, sent);
                "alive"
            }
            Some(_) => {
                suspicion.record_ended(incarnation);
                "ended"
            }
            None => {
                suspicion.record_response(incarnation, sent);
                "answered"
            }
        },
    };
    gateway.metrics.add("suspect_probes");
    log::debug!(
        upstream:% = target.entry.id,
        life:% = format_args!("{incarnation:08x}"),
        outcome = outcome;
        "upstream asked whether it lives"
    );
}

/// Settles losses by what the registry said at `read`; returns what must outlast this process.
pub fn settle(gateway: &Gateway, read: Option<Instant>, now: Instant) -> Vec<Report> {
    let incarnations: HashSet<IncarnationDigest> = match gateway.suspicion.borrow().is_empty() {
        true => HashSet::new(),
        false => {
            let view = gateway.view();
            let entries = view.entries.iter();
            entries
                .map(|entry| gossip::incarnation_digest(&entry.id, entry.started_at))
                .collect()
        }
    };
    let mut suspicion = gateway.suspicion.borrow_mut();
    for settled in suspicion.reconcile(&incarnations, read, now) {
        if let Some(left_out) = kept(&gateway.suspect_log_limiter.settled, now) {
            info!(
                fingerprint:% = format_args!("{:016x}", settled.fingerprint),
                life:% = format_args!("{:08x}", settled.incarnation),
                fate:? = settled.fate,
                age_ms = settled.age.as_millis() as u64,
                left_out = left_out,
                outcome = "settled";
                "fate of an upstream settled"
            );
        }
    }
    let (suspects, refused) = suspicion.count(now);
    gateway.metrics.set("suspects", suspects as i64);
    gateway.metrics.set("suspects_held", refused as i64);
    suspicion.persistent_reports(now)
}

/// Takes in what hosts have kept in the store, and says when that is known for the first time.
pub async fn follow(gateway: Rc<Gateway>, mut remarks: mpsc::Receiver<Message>) {
    let begun = time::sleep(START_TIME);
    tokio::pin!(begun);
    loop {
        tokio::select! {
            () = &mut begun, if !gateway.knows_suspects.get() => {
                gateway.knows_suspects.set(true);
            }
            remark = remarks.recv() => match remark {
                None => return,
                Some(Message::Kept { host, suspects }) => {
                    let origin = gossip::digest(&host);
                    let now = Instant::now();
                    gateway.suspicion.borrow_mut().merge(origin, &suspects, now);
                }
                Some(Message::Read) => gateway.knows_suspects.set(true),
            },
        }
    }
}
