//! Requests and prompt blocks that may crash the upstreams that run them: the request loop records their losses,
//! probes upstreams, exchanges reports with peers and the store, and refuses suspects.

use std::cell::RefCell;
use std::collections::HashSet;
use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
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
use crate::availability::Unavailability;
use crate::follow::suspects::Message;
use crate::gossip;
use crate::id::BlockId;
use crate::id::CallId;
use crate::id::Fingerprint;
use crate::id::IncarnationDigest;
use crate::logging::sample;
use crate::logging::sample::Sampler;
use crate::platform::egress;
use crate::suspicion;
use crate::suspicion::Evidence;
use crate::suspicion::LostExchange;
use crate::suspicion::Report;
use crate::suspicion::Verdict;
use crate::upstream::Role;

/// Maximum lines of one kind logged per second; the others are counted.
const MAX_LINES_PER_S: u32 = 20;
/// Maximum prompt blocks in one log line; the others are left out.
const MAX_LOGGED_BLOCKS: usize = 8;
/// Maximum wait for the response to a liveness probe; a few round trips.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time from a loss to the probe. Most upstreams respond to many other requests in it, which shows
/// that they are alive without a probe.
const PROBE_DELAY: Duration = Duration::from_millis(100);
/// Number of incarnations from which a loss of any kind is probed and reported to peers at once.
const MIN_PROBED_INCARNATIONS: usize = 2;
/// Maximum time from an upstream's end until all hosts have seen its connections break.
const MAX_RESET_DELAY: Duration = Duration::from_millis(50);
/// Maximum share of a request's remaining time that it waits for probes.
const MAX_PROBE_SHARE: f64 = 0.25;
/// Maximum upstreams probed at once for one request.
const MAX_PROBES: usize = 4;
/// Maximum time after its start for which a host waits for persisted suspects before it is ready.
const LOAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Reason for which a suspect is refused.
pub const REFUSAL_REASON: &str = "suspected of ending upstreams";

/// Progress of merging the suspects that hosts have stored.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Loading {
    /// Nothing has been merged yet, and the host waits for it.
    #[default]
    Pending,
    /// Nothing has been merged yet, and the host no longer waits for it.
    TimedOut,
    /// All stored suspects have been merged.
    Complete,
}

/// Rate limits of log lines about suspects.
#[derive(Debug)]
pub struct LogLimiter {
    lost: RefCell<Sampler>,
    resolved: RefCell<Sampler>,
    refused: RefCell<Sampler>,
}

impl Default for LogLimiter {
    fn default() -> Self {
        let sampler = || RefCell::new(Sampler::new(MAX_LINES_PER_S));
        LogLimiter {
            lost: sampler(),
            resolved: sampler(),
            refused: sampler(),
        }
    }
}

/// Returns the number of lines left out since the last one, or `None` if this line is left out.
fn sample_line(sampler: &RefCell<Sampler>, now: Instant) -> Option<u64> {
    match sampler.borrow_mut().judge(now) {
        sample::Verdict::Keep(left_out) => Some(left_out),
        sample::Verdict::LeaveOut => None,
    }
}

/// Guard of one exchange until its response is complete. Dropping it earlier records a loss: the
/// caller has left, and it is unknown whether the upstream ended.
#[derive(Debug)]
pub struct Guard {
    gateway: Rc<Gateway>,
    request: CallId,
    fingerprint: Fingerprint,
    /// Prompt blocks that other requests may share, as the caller named them.
    block_ids: Vec<BlockId>,
    /// Digests of these blocks.
    blocks: Arc<[Fingerprint]>,
    target: Rc<Target>,
    stage: &'static str,
    started_at: Instant,
    /// Time of the first event of the response.
    responding_since: Option<Instant>,
    /// Time of its last event.
    last_output_at: Option<Instant>,
    /// `true` if the stage completes the request, which a prefill does not.
    completes_request: bool,
    is_finished: bool,
}

impl Guard {
    /// Returns a guard for a request that is about to be sent to `target`.
    pub fn new(gateway: &Rc<Gateway>, call: &Call, target: &Rc<Target>, stage: Stage<'_>) -> Self {
        let started_at = Instant::now();
        let mut suspicion = gateway.suspicion.borrow_mut();
        suspicion.begin_exchange(call.fingerprint);
        suspicion.begin_trials(&call.blocks, call.fingerprint, started_at);
        drop(suspicion);
        Guard {
            gateway: Rc::clone(gateway),
            request: call.request.id.clone(),
            fingerprint: call.fingerprint,
            block_ids: shared_blocks(call),
            blocks: Arc::clone(&call.blocks),
            target: Rc::clone(target),
            stage: stage.name(),
            started_at,
            responding_since: None,
            last_output_at: None,
            completes_request: !matches!(stage, Stage::Prefill),
            is_finished: false,
        }
    }

    /// Records that the upstream has sent output.
    pub fn record_output(&mut self, now: Instant) {
        self.responding_since.get_or_insert(now);
        self.last_output_at = Some(now);
    }

    /// Returns the time from the first output of the upstream to the last.
    fn responded_for(&self) -> Duration {
        let span = self.responding_since.zip(self.last_output_at);
        span.map_or(Duration::ZERO, |(first, last)| {
            last.saturating_duration_since(first)
        })
    }

    /// Records the outcome of the exchange.
    pub fn record<T>(&mut self, result: &Result<T, Failure>) {
        match result {
            Ok(_) => self.succeed(),
            Err(failure) => self.fail(failure),
        }
    }

    /// Records that the exchange failed.
    pub fn fail(&mut self, failure: &Failure) {
        self.is_finished = true;
        if !failure.is_not_run() {
            self.target.doubt(Instant::now());
        }
        let earliest_end = match failure {
            Failure::Broken(_) => Instant::now()
                .checked_sub(MAX_RESET_DELAY)
                .unwrap_or(self.started_at),
            Failure::Silent => self.started_at,
            _ => return,
        };
        let incarnations = self.record_loss(failure, earliest_end.max(self.started_at));
        if matches!(failure, Failure::Broken(_)) || incarnations >= MIN_PROBED_INCARNATIONS {
            let incarnation = self.target.incarnation_digest();
            task::spawn_local(probe_later(Rc::clone(&self.gateway), incarnation));
        }
    }

    /// Records that the upstream's response was complete.
    pub fn succeed(&mut self) {
        self.is_finished = true;
        if self.completes_request {
            let mut suspicion = self.gateway.suspicion.borrow_mut();
            let now = Instant::now();
            suspicion.record_completion(self.fingerprint, now);
            // A response without an event does not show that the upstream generated.
            if self.responding_since.is_some() {
                suspicion.record_block_completions(&self.blocks, now);
            }
        }
    }

    /// Records a loss; returns the maximum number of incarnations that ended, or may have, under the
    /// request or a block of its prompt.
    ///
    /// The upstream may have ended at any time from `earliest_end` on.
    fn record_loss<E>(&self, cause: &E, earliest_end: Instant) -> usize
    where
        E: std::fmt::Display,
    {
        let now = Instant::now();
        let gateway = &self.gateway;
        gateway.metrics.add("exchanges_lost");
        let incarnation = self.target.incarnation_digest();
        let is_leaving = self.target.unavailability(now) == Some(Unavailability::Leaving);
        let is_planned = suspicion::is_planned_end(is_leaving, self.responded_for());
        let incarnations = match is_planned {
            true => 0,
            false => self.suspect_loss(incarnation, earliest_end, now),
        };
        if incarnations >= MIN_PROBED_INCARNATIONS {
            gateway.urgent_suspects.notify_one();
        }
        if let Some(left_out) = sample_line(&gateway.suspect_log_limiter.lost, now) {
            info!(
                request:% = self.request,
                fingerprint:% = format_args!("{:016x}", self.fingerprint),
                upstream:% = self.target.entry.id,
                born = self.target.entry.started_at,
                life:% = format_args!("{incarnation:08x}"),
                work = self.stage,
                leaving = is_leaving,
                planned = is_planned,
                blocks:% = BlockList(&self.block_ids),
                age_ms = now.saturating_duration_since(self.started_at).as_millis() as u64,
                upstreams = incarnations,
                cause:% = cause,
                left_out = left_out,
                outcome = "lost";
                "exchange ended without an answer"
            );
        }
        incarnations
    }

    /// Records a loss against the request and the blocks of its prompt; returns as `record_loss` does.
    fn suspect_loss(
        &self,
        incarnation: IncarnationDigest,
        earliest_end: Instant,
        now: Instant,
    ) -> usize {
        let mut suspicion = self.gateway.suspicion.borrow_mut();
        let incarnations = suspicion.record_loss(self.fingerprint, incarnation, now);
        // A prefill engine does not generate, so what it loses says nothing about blocks.
        if !self.completes_request {
            return incarnations;
        }
        let lost = LostExchange {
            request: self.fingerprint,
            incarnation,
            earliest_end,
            responding_since: self.responding_since,
        };
        let of_blocks = suspicion.record_block_losses(&self.blocks, &lost, now);
        incarnations.max(of_blocks)
    }
}

/// Returns the prompt blocks of a request that other requests may share.
fn shared_blocks(call: &Call) -> Vec<BlockId> {
    let prompt = call.request.prompt.as_ref();
    prompt.map_or_else(Vec::new, |prompt| {
        let blocks = prompt.shared_blocks().iter();
        blocks.map(|block| block.id).collect()
    })
}

/// Displays the first blocks of a prompt, separated by commas.
struct BlockList<'a>(&'a [BlockId]);

impl fmt::Display for BlockList<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, block) in self.0.iter().take(MAX_LOGGED_BLOCKS).enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(formatter, "{separator}{block:x}")?;
        }
        Ok(())
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.is_finished {
            self.record_loss(&"the caller left", self.started_at);
        }
        self.gateway
            .suspicion
            .borrow_mut()
            .end_exchange(self.fingerprint);
    }
}

/// Returns the time after which a request that must not be sent now may be retried, or `None` if it
/// may be sent.
///
/// Probes the upstreams whose fate is unknown first, so that no request is refused for losses at
/// upstreams that are alive.
pub async fn refusal(gateway: &Rc<Gateway>, call: &Call) -> Option<Duration> {
    let verdict = |now| verdict(gateway, call, now);
    if let (Verdict::Unresolved(_), suspect) = verdict(Instant::now()) {
        let left = call.remaining(Instant::now());
        let wait = PROBE_TIMEOUT.min(left.mul_f64(MAX_PROBE_SHARE));
        let incarnations = gateway.suspicion.borrow().unknown_incarnations(suspect);
        let probes = incarnations
            .into_iter()
            .take(MAX_PROBES)
            .map(|incarnation| {
                let gateway = Rc::clone(gateway);
                task::spawn_local(async move { probe(&gateway, incarnation, wait).await })
            });
        for probe in probes.collect::<Vec<_>>() {
            if let Err(cause) = probe.await {
                log::error!(cause:% = cause; "upstream probe task failed");
            }
        }
    }
    let now = Instant::now();
    let (verdict, suspect) = verdict(now);
    let (evidence, is_resolved) = match verdict {
        Verdict::Clear => return None,
        Verdict::Unresolved(evidence) => (evidence, false),
        Verdict::Refused(evidence) => (evidence, true),
    };
    log_refusal(gateway, call, suspect, &evidence, is_resolved, now);
    Some(evidence.retry_after)
}

/// Returns `true` if a request may be sent by what is known, without probing upstreams.
pub fn is_clear(gateway: &Gateway, call: &Call) -> bool {
    let (verdict, _) = verdict(gateway, call, Instant::now());
    verdict == Verdict::Clear
}

/// Returns the first verdict on a request and the blocks of its prompt that is not clear, and the
/// suspect that it is about.
fn verdict(gateway: &Gateway, call: &Call, now: Instant) -> (Verdict, Fingerprint) {
    let suspicion = gateway.suspicion.borrow();
    let blocks = call.blocks.iter();
    let of_blocks = blocks.map(|block| {
        (
            suspicion.block_verdict(*block, call.fingerprint, now),
            *block,
        )
    });
    let of_request = || (suspicion.verdict(call.fingerprint, now), call.fingerprint);
    of_blocks
        .chain(std::iter::once_with(of_request))
        .find(|(verdict, _)| *verdict != Verdict::Clear)
        .unwrap_or((Verdict::Clear, call.fingerprint))
}

fn log_refusal(
    gateway: &Gateway,
    call: &Call,
    suspect: Fingerprint,
    evidence: &Evidence,
    is_resolved: bool,
    now: Instant,
) {
    gateway.metrics.add("suspects_refused");
    if let Some(left_out) = sample_line(&gateway.suspect_log_limiter.refused, now) {
        info!(
            request:% = call.request.id,
            fingerprint:% = format_args!("{suspect:016x}"),
            subject = if suspect == call.fingerprint { "request" } else { "block" },
            upstreams = evidence.incarnations,
            ended = evidence.ended,
            hosts = evidence.hosts,
            oldest_ms = evidence.first_loss_age.as_millis() as u64,
            settled = is_resolved,
            left_out = left_out,
            outcome = "refused";
            "suspect refused"
        );
    }
}

async fn probe_later(gateway: Rc<Gateway>, incarnation: IncarnationDigest) {
    // An upstream that ends loses many requests; one probe is enough for all of them.
    if !gateway.probed_incarnations.borrow_mut().insert(incarnation) {
        return;
    }
    time::sleep(PROBE_DELAY).await;
    if gateway.suspicion.borrow().is_unknown(incarnation) {
        probe(&gateway, incarnation, PROBE_TIMEOUT).await;
    }
    gateway
        .probed_incarnations
        .borrow_mut()
        .remove(&incarnation);
}

/// Probes an upstream for whether the incarnation of a loss is still running, and waits up to
/// `wait`. A missing response changes nothing.
async fn probe(gateway: &Gateway, incarnation: IncarnationDigest, wait: Duration) {
    let Some(target) = gateway.target_by_incarnation(incarnation) else {
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
    let sent_at = Instant::now();
    let until = sent_at + wait;
    let response = exchange::call_own(gateway, &target, Method::GET, &path, until).await;
    let mut suspicion = gateway.suspicion.borrow_mut();
    let outcome = match &response {
        Err(_) => "no-answer",
        Ok(response) if response.head.status == StatusCode::MISDIRECTED_REQUEST => {
            suspicion.record_ended(incarnation);
            "ended"
        }
        Ok(response) => match egress::started_at(&response.body) {
            Some(started_at) if started_at == target.entry.started_at => {
                suspicion.record_alive(incarnation, sent_at);
                "alive"
            }
            Some(_) => {
                suspicion.record_ended(incarnation);
                "ended"
            }
            None => {
                suspicion.record_response(incarnation, sent_at);
                "answered"
            }
        },
    };
    gateway.metrics.add("suspect_probes");
    log::debug!(
        upstream:% = target.entry.id,
        life:% = format_args!("{incarnation:08x}"),
        outcome = outcome;
        "upstream probed"
    );
}

/// Resolves losses against the registry as read at `read_at`; returns the reports to persist, or `None`
/// before those that this host has persisted earlier are merged: they would be overwritten.
pub fn reconcile(gateway: &Gateway, read_at: Option<Instant>, now: Instant) -> Option<Vec<Report>> {
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
    for resolution in suspicion.reconcile(&incarnations, read_at, now) {
        if let Some(left_out) = sample_line(&gateway.suspect_log_limiter.resolved, now) {
            info!(
                fingerprint:% = format_args!("{:016x}", resolution.fingerprint),
                life:% = format_args!("{:08x}", resolution.incarnation),
                fate:? = resolution.fate,
                age_ms = resolution.age.as_millis() as u64,
                left_out = left_out,
                outcome = "settled";
                "fate of an upstream settled"
            );
        }
    }
    let (suspects, refused) = suspicion.count(now);
    gateway.metrics.set("suspects", suspects as i64);
    gateway.metrics.set("suspects_held", refused as i64);
    let is_complete = gateway.stored_suspects.get() == Loading::Complete;
    is_complete.then(|| suspicion.persistent_reports(now))
}

/// Merges the suspects that hosts have persisted in the store, and records when these have first
/// been read.
pub async fn follow(gateway: Rc<Gateway>, mut messages: mpsc::Receiver<Message>) {
    let timeout = time::sleep(LOAD_TIMEOUT);
    tokio::pin!(timeout);
    loop {
        tokio::select! {
            () = &mut timeout, if gateway.stored_suspects.get() == Loading::Pending => {
                gateway.stored_suspects.set(Loading::TimedOut);
            }
            message = messages.recv() => match message {
                None => return,
                Some(Message::Stored { host, suspects }) => {
                    let origin = gossip::digest(&host);
                    let now = Instant::now();
                    gateway.suspicion.borrow_mut().merge(origin, &suspects, now);
                }
                Some(Message::ReadComplete) => gateway.stored_suspects.set(Loading::Complete),
            },
        }
    }
}
