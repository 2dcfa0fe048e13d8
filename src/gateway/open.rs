//! Carries out a plan up to the first events of the answer.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time;

use super::Gateway;
use super::allowance::AttemptBudget;
use super::call::Call;
use super::events::Splitter;
use super::exchange;
use super::exchange::Failure;
use super::exchange::Options;
use super::exchange::Provenance;
use super::exchange::Response;
use super::exchange::Stage;
use super::place::Prefilled;
use super::place::Slot;
use super::plain;
use super::pool::Connection;
use super::record::Trace;
use super::suspect;
use super::suspect::Guard;
use super::target::Target;
use crate::catalog::Kind;
use crate::gossip;
use crate::id::UpstreamId;
use crate::placement;
use crate::placement::Plan;
use crate::placement::cost;
use crate::platform::egress;

/// Urgency of a request that names none, the last of the scale.
const LEAST_URGENT: u8 = 9;

/// Largest answer to the request to read a prompt, in bytes; it names a handle in some hundred.
const HANDLE_BYTES: usize = 64 << 10;

/// A stream whose first events are there.
#[derive(Debug)]
pub struct OpenStream {
    /// Status and fields of the answer.
    pub head: Parts,
    /// Body as it arrives.
    pub body: Incoming,
    /// Connection that the body arrives on.
    pub connection: Connection,
    /// Engine.
    pub target: Rc<Target>,
    /// Start of an event that is not whole yet.
    pub splitter: Splitter,
    /// First events.
    pub first: Bytes,
    /// Whether the stream has ended with them.
    pub is_ended: bool,
    /// Place at the engine.
    pub slot: Slot,
    /// Watches over the stream to its end.
    pub guard: Guard,
}

/// What an engine's answer started with.
#[derive(Debug)]
pub enum Start {
    /// A stream.
    Stream(Box<OpenStream>),
    /// A failure of the engine's own, whole.
    Whole(exchange::FullResponse),
}

/// A request on its way: what it may still cost and what happened so far.
#[derive(Debug)]
pub struct Progress {
    /// Request.
    pub call: Call,
    /// What it may still cost.
    pub attempt_budget: AttemptBudget,
    /// Engines that failed it.
    pub tried: Vec<UpstreamId>,
    /// What happened.
    pub trace: Trace,
}

impl Progress {
    fn record_failure(&mut self, engine: &UpstreamId, failure: &Failure) {
        self.attempt_budget.record_failure(failure);
        self.tried.push(engine.clone());
    }

    /// Returns whether the budget allows to carry out a plan now.
    pub fn may_start(&self, gateway: &Gateway, plan: &Plan) -> bool {
        let retries = self
            .attempt_budget
            .retries(matches!(plan, Plan::Split { .. }));
        retries == 0 || gateway.may_retry(&self.call.service, retries, Instant::now())
    }
}

/// Carries out a plan up to the first event.
///
/// # Errors
///
/// Fails as [`Failure`] says; a prompt that was read in vain leaves the request not run.
pub async fn open(
    gateway: &Rc<Gateway>,
    progress: &mut Progress,
    plan: &Plan,
    after_event: Option<u64>,
) -> Result<Start, Failure> {
    match plan {
        Plan::Refuse { reason, .. } => Err(Failure::NotSent((*reason).into())),
        Plan::Single { engine, urgency } => {
            let options = options(&progress.call, Stage::Full, *urgency, after_event);
            start_at(gateway, progress, engine, &options).await
        }
        Plan::Split {
            prefill_engine,
            decode_engine,
            fallback,
            urgency,
        } => {
            let mut held = read_at(gateway, progress, prefill_engine, *urgency).await?;
            // Reading takes a while, in which hosts may have learned of a suspect.
            if !suspect::is_clear(gateway, &progress.call) {
                return Err(Failure::Withheld(suspect::REASON));
            }
            let handle = held.handle.clone();
            let stage = Stage::Decode(&handle);
            let options = options(&progress.call, stage, *urgency, after_event);
            let mut started = start_at(gateway, progress, decode_engine, &options).await;
            if let (Err(failure), Some(fallback)) = (&started, fallback)
                && failure.is_not_run()
                && progress.attempt_budget.allows_more(false)
                && suspect::is_clear(gateway, &progress.call)
                && gateway.may_retry(&progress.call.service, 1, Instant::now())
            {
                started = start_at(gateway, progress, fallback, &options).await;
            }
            held.is_taken = started.is_ok();
            started
        }
    }
}

/// Sends a request to an engine and waits for the first events.
async fn start_at(
    gateway: &Rc<Gateway>,
    progress: &mut Progress,
    engine: &UpstreamId,
    options: &Options<'_>,
) -> Result<Start, Failure> {
    progress.attempt_budget.record_send();
    let urgency = options.urgency.unwrap_or(LEAST_URGENT);
    let started = match gateway.target(engine) {
        None => Err(Failure::NotSent("the engine is gone".into())),
        Some(target) => {
            let reading = match options.stage {
                Stage::Decode(_) => Duration::ZERO,
                Stage::Full | Stage::Prefill => reading(gateway, &progress.call, &target),
            };
            let slot = Slot::new(gateway, &target, reading, urgency);
            if matches!(options.stage, Stage::Full) {
                record_prefill(gateway, &progress.call, engine);
            }
            start(gateway, target, &progress.call, options, slot).await
        }
    };
    let outcome = summary(&started);
    progress
        .trace
        .step(format_args!("{engine}/{urgency}={outcome}"));
    if let Err(failure) = &started {
        progress.record_failure(engine, failure);
    }
    started
}

/// Has an engine read the prompt; a first reading that is refused is a repeat as well.
async fn read_at(
    gateway: &Rc<Gateway>,
    progress: &mut Progress,
    engine: &UpstreamId,
    urgency: u8,
) -> Result<Prefilled, Failure> {
    let is_first = progress.attempt_budget.retries(true) == progress.attempt_budget.retries(false);
    progress.attempt_budget.record_read();
    let held = match gateway.target(engine) {
        None => Err(Failure::NotSent("the engine is gone".into())),
        Some(target) => read(gateway, &progress.call, target, urgency).await,
    };
    let step = held.as_ref().map(|held| held.handle.tokens);
    progress
        .trace
        .step(format_args!("{engine}/{urgency}=read:{step:?}"));
    if let Err(failure) = &held {
        progress.attempt_budget.record_read_failure(failure);
        if is_first && matches!(failure, Failure::NotRun(_)) {
            gateway.record_retry(&progress.call.service, Instant::now());
        }
        progress.tried.push(engine.clone());
    }
    held
}

fn summary(started: &Result<Start, Failure>) -> compact_str::CompactString {
    match started {
        Ok(Start::Stream(_)) => "stream".into(),
        Ok(Start::Whole(answer)) => {
            compact_str::format_compact!("{}", answer.head.status.as_u16())
        }
        Err(failure) => compact_str::format_compact!("{failure:?}"),
    }
}

fn options<'a>(
    call: &Call,
    stage: Stage<'a>,
    urgency: u8,
    after_event: Option<u64>,
) -> Options<'a> {
    let now = Instant::now();
    let until = match call.route.is_idempotent() || matches!(stage, Stage::Prefill) {
        true => now + placement::attempt_timeout(urgency, call.left(now)),
        false => call.deadline,
    };
    Options {
        stage,
        urgency: Some(urgency),
        after_event,
        may_reuse: call.route.is_idempotent() || matches!(stage, Stage::Prefill),
        until,
        deadline: call.deadline,
    }
}

/// Returns how long an engine is expected to read a prompt.
fn reading(gateway: &Gateway, call: &Call, target: &Target) -> Duration {
    let Some(prompt) = &call.request.prompt else {
        return Duration::ZERO;
    };
    let board = gateway.board.borrow();
    let cached = board.cached_tokens(&target.entry.id, &prompt.blocks);
    cost::prefill_time(prompt, cached, target.entry.role).mul_f64(board.slowdown(&target.entry.id))
}

/// Returns whether an engine is believed to keep all parts of a prompt that other requests share.
fn keeps_shared_parts(gateway: &Gateway, call: &Call, engine: &UpstreamId) -> bool {
    call.request.prompt.as_ref().is_some_and(|prompt| {
        let cached = gateway.board.borrow().cached_tokens(engine, &prompt.blocks);
        cached >= prompt.shared_tokens()
    })
}

fn record_prefill(gateway: &Gateway, call: &Call, engine: &UpstreamId) {
    if let Some(prompt) = &call.request.prompt {
        let blocks = &prompt.blocks;
        gateway.board.borrow_mut().record_prefill(engine, blocks);
        gateway
            .pending_updates
            .borrow_mut()
            .prefills
            .push(gossip::Prefill {
                engine: gossip::digest(engine),
                blocks: blocks.iter().map(|block| block.id).collect(),
                tokens: blocks.iter().map(|block| block.tokens as u32).collect(),
            });
    }
}

/// Has an engine read the prompt and keep it for another.
async fn read(
    gateway: &Rc<Gateway>,
    call: &Call,
    target: Rc<Target>,
    urgency: u8,
) -> Result<Prefilled, Failure> {
    let backlog = reading(gateway, call, &target);
    let engine = target.entry.id.clone();
    let before = gateway.board.borrow().load(&engine, Instant::now()).backlog;
    let is_kept = keeps_shared_parts(gateway, call, &engine);
    let _place = Slot::new(gateway, &target, backlog, urgency);
    record_prefill(gateway, call, &engine);
    let options = options(call, Stage::Prefill, urgency, None);
    let begun = Instant::now();
    let mut guard = Guard::new(gateway, call, &target, Stage::Prefill);
    let exchange = async {
        let answer = exchange::send(gateway, &target, call, &options).await?;
        let status = answer.head.status;
        let answer = exchange::finish(gateway, &target, answer, HANDLE_BYTES).await?;
        if !status.is_success() {
            return Err(Failure::NotRun(status));
        }
        egress::handle(&answer.body, target.entry.address)
            .map_err(|cause| Failure::Broken(compact_str::format_compact!("handle: {cause}")))
    };
    let ended = match time::timeout_at(options.until.into(), exchange).await {
        Ok(ended) => ended,
        Err(_) => Err(Failure::Silent),
    };
    guard.record(&ended);
    plain::note_health(&target, &ended);
    match ended {
        Ok(handle) => {
            // Where it is not known what the engine keeps, the time tells nothing of its pace.
            if before < backlog && is_kept {
                let expected = (before + backlog).as_secs_f64().max(0.001);
                let ratio = begun.elapsed().as_secs_f64() / expected;
                gateway.board.borrow_mut().record_slowdown(&engine, ratio);
            }
            Ok(Prefilled {
                gateway: Rc::clone(gateway),
                handle,
                prefill_engine: target,
                is_taken: false,
            })
        }
        // Reading is no run, whatever became of it.
        Err(Failure::Broken(cause)) => Err(Failure::NotSent(cause)),
        Err(Failure::Silent) => Err(Failure::NotSent("reading took too long".into())),
        Err(failure) => Err(failure),
    }
}

/// Sends a request and waits for the first events of its answer.
async fn start(
    gateway: &Rc<Gateway>,
    target: Rc<Target>,
    call: &Call,
    options: &Options<'_>,
    mut slot: Slot,
) -> Result<Start, Failure> {
    let mut guard = Some(Guard::new(gateway, call, &target, options.stage));
    let exchange = async {
        let answer = exchange::send(gateway, &target, call, options).await?;
        if answer.provenance == Provenance::Unsigned {
            return Err(Failure::Broken("the answer is not signed".into()));
        }
        if !answer.head.status.is_success() || call.route.kind != Kind::Stream {
            return exchange::finish(gateway, &target, answer, exchange::MAX_HELD_BYTES)
                .await
                .map(Start::Whole);
        }
        let Response {
            head,
            mut body,
            connection,
            ..
        } = answer;
        let mut splitter = Splitter::default();
        let (first, is_ended) = first_events(&mut body, &mut splitter).await?;
        slot.end_reading();
        let target = Rc::clone(&target);
        let guard = guard.take().expect("an exchange starts one stream");
        Ok(Start::Stream(Box::new(OpenStream {
            head,
            body,
            connection,
            target,
            splitter,
            first,
            is_ended,
            slot,
            guard,
        })))
    };
    let ended = match time::timeout_at(options.until.into(), exchange).await {
        Ok(ended) => ended,
        Err(_) => Err(Failure::Silent),
    };
    if let Some(mut guard) = guard {
        guard.record(&ended);
    }
    plain::note_health(&target, &ended);
    ended
}

async fn first_events(
    body: &mut Incoming,
    splitter: &mut Splitter,
) -> Result<(Bytes, bool), Failure> {
    loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                let data = frame.data_ref().map_or(&[][..], |data| data);
                let events = splitter
                    .push(data)
                    .map_err(|cause| Failure::Broken(compact_str::format_compact!("{cause}")))?;
                if let Some(events) = events {
                    return Ok((events, false));
                }
            }
            Some(Err(cause)) => {
                return Err(Failure::Broken(compact_str::format_compact!("{cause}")));
            }
            None if splitter.is_complete() => return Ok((Bytes::new(), true)),
            None => return Err(Failure::Broken("the stream ended within an event".into())),
        }
    }
}
