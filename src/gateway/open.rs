//! Carries out a plan up to the first events of the response.

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
use super::exchange::Continuation;
use super::exchange::Failure;
use super::exchange::Options;
use super::exchange::Provenance;
use super::exchange::Response;
use super::exchange::Stage;
use super::origin;
use super::place::Prefilled;
use super::place::Slot;
use super::plain;
use super::pool::Connection;
use super::proof;
use super::record::Trace;
use super::suspect;
use super::suspect::Guard;
use super::target::Target;
use crate::catalog::Kind;
use crate::gossip;
use crate::id::BuildDigest;
use crate::id::UpstreamId;
use crate::placement;
use crate::placement::Plan;
use crate::placement::cost;
use crate::platform::egress;

/// Urgency of a request that names none; the lowest urgency.
const LOWEST_URGENCY: u8 = 9;

/// Maximum size of the response to a prefill; a KV handle takes about a hundred bytes.
const MAX_HANDLE_BYTES: usize = 64 << 10;

/// A stream whose first events have arrived.
#[derive(Debug)]
pub struct OpenStream {
    /// Status and header fields of the response.
    pub head: Parts,
    /// Body as it arrives.
    pub body: Incoming,
    /// Connection that the body arrives on.
    pub connection: Connection,
    /// Engine.
    pub target: Rc<Target>,
    /// Splits the body into events; holds the start of an incomplete event.
    pub splitter: Splitter,
    /// First events.
    pub first: Bytes,
    /// Whether the stream ended after the first events.
    pub is_ended: bool,
    /// Share of the engine's load.
    pub slot: Slot,
    /// Reports to the suspicion tracker how the stream ends.
    pub guard: Guard,
}

/// Start of an engine's response.
#[derive(Debug)]
pub enum Start {
    /// A stream.
    Stream(Box<OpenStream>),
    /// A full response, such as a failure that the engine reports.
    Full(exchange::FullResponse),
}

/// A request in progress, with its remaining attempts and its trace so far.
#[derive(Debug)]
pub struct Progress {
    /// Request.
    pub call: Call,
    /// Attempts that it may still make.
    pub attempt_budget: AttemptBudget,
    /// Engines that failed to serve the request.
    pub tried: Vec<UpstreamId>,
    /// Stream that was partly delivered.
    pub continuation: Option<Continuation>,
    /// Build that began the stream, at which alone it goes on; `None` before its first event.
    pub build: Option<BuildDigest>,
    /// Steps taken so far.
    pub trace: Trace,
}

impl Progress {
    /// Returns `true` if an upstream may generate events of the stream.
    pub fn permits(&self, target: &Target) -> bool {
        self.build.is_none_or(|build| build == target.build())
    }

    fn record_failure(&mut self, engine: &UpstreamId, failure: &Failure) {
        self.attempt_budget.record_failure(failure);
        self.tried.push(engine.clone());
    }

    /// Returns `true` if the retry budget allows carrying out a plan now.
    pub fn may_start(&self, gateway: &Gateway, plan: &Plan) -> bool {
        let retries = self
            .attempt_budget
            .retries(matches!(plan, Plan::Split { .. }));
        retries == 0 || gateway.try_spend_retries(&self.call.service, retries, Instant::now())
    }
}

/// Carries out a plan up to the first event.
///
/// # Errors
///
/// Fails with a [`Failure`]. A prefill alone is no run: if only that was done, the request has not
/// run.
pub async fn open(
    gateway: &Rc<Gateway>,
    progress: &mut Progress,
    plan: &Plan,
    after_event: Option<u64>,
) -> Result<Start, Failure> {
    let continuation = progress.continuation.clone();
    match plan {
        Plan::Refuse { reason, .. } => Err(Failure::NotSent((*reason).into())),
        Plan::Single { engine, urgency } => {
            let options = Options {
                continuation: continuation.as_ref(),
                ..options(&progress.call, Stage::Full, *urgency, after_event)
            };
            start_at(gateway, progress, engine, &options).await
        }
        Plan::Split {
            prefill_engine,
            decode_engine,
            fallback,
            urgency,
        } => {
            // A prompt is not prefilled before it is known where it can be decoded.
            let reservation = match gateway.target(decode_engine).map(|target| target.reserve()) {
                Some(Ok(reservation)) => reservation,
                Some(Err(failure)) => return withhold(progress, decode_engine, failure),
                None => {
                    let failure = Failure::NotSent("the engine is gone".into());
                    return withhold(progress, decode_engine, failure);
                }
            };
            let mut prefilled = prefill_at(gateway, progress, prefill_engine, *urgency).await?;
            // Hosts may have learned of a suspect during the prefill.
            if !suspect::is_clear(gateway, &progress.call) {
                return Err(Failure::Withheld(suspect::REFUSAL_REASON));
            }
            let handle = prefilled.handle.clone();
            let stage = Stage::Decode(&handle);
            let options = Options {
                continuation: continuation.as_ref(),
                ..options(&progress.call, stage, *urgency, after_event)
            };
            let reserved = Options {
                reservation: Some(&reservation),
                ..options
            };
            let mut started = start_at(gateway, progress, decode_engine, &reserved).await;
            if let (Err(failure), Some(fallback)) = (&started, fallback)
                && failure.is_not_run()
                && progress.attempt_budget.allows_more(false)
                && suspect::is_clear(gateway, &progress.call)
                && gateway.try_spend_retries(&progress.call.service, 1, Instant::now())
            {
                started = start_at(gateway, progress, fallback, &options).await;
            }
            prefilled.is_taken = started.is_ok();
            started
        }
    }
}

/// Records that nothing is sent for a plan, since an engine takes no requests.
fn withhold(
    progress: &mut Progress,
    engine: &UpstreamId,
    failure: Failure,
) -> Result<Start, Failure> {
    progress
        .trace
        .step(format_args!("{engine}=withheld:{failure:?}"));
    progress.tried.push(engine.clone());
    Err(failure)
}

/// Sends a request to an engine and waits for the first events.
async fn start_at(
    gateway: &Rc<Gateway>,
    progress: &mut Progress,
    engine: &UpstreamId,
    options: &Options<'_>,
) -> Result<Start, Failure> {
    progress.attempt_budget.record_send();
    let urgency = options.urgency.unwrap_or(LOWEST_URGENCY);
    let target = gateway.target(engine);
    let is_proved = match &target {
        Some(target) => proof::prove(gateway, progress, target).await,
        None => true,
    };
    let started = match target {
        None => Err(Failure::NotSent("the engine is gone".into())),
        Some(_) if !is_proved => Err(Failure::Withheld(proof::UNPROVED)),
        // An engine that has started again under its name may be of another build.
        Some(target) if !progress.permits(&target) => Err(Failure::Withheld(origin::NO_ENGINE)),
        Some(target) => {
            let prefill_time = match options.stage {
                Stage::Decode(_) => Duration::ZERO,
                Stage::Full | Stage::Prefill => prefill_time(gateway, &progress.call, &target),
            };
            let slot = Slot::new(gateway, &target, prefill_time, urgency);
            gateway.record_attempt(&progress.call, &target, Instant::now());
            if matches!(options.stage, Stage::Full) {
                record_prefill(gateway, &progress.call, engine);
            }
            start(gateway, target, &progress.call, options, slot).await
        }
    };
    match &started {
        // The first event shows that the request has begun to run.
        Ok(Start::Stream(stream)) if !stream.first.is_empty() => progress.trace.run.begin(),
        Ok(Start::Full(response)) => progress.trace.run.answer(response.head.status),
        Ok(Start::Stream(_)) | Err(_) => (),
    }
    let outcome = summary(&started);
    progress
        .trace
        .step(format_args!("{engine}/{urgency}={outcome}"));
    if let Err(failure) = &started {
        progress.record_failure(engine, failure);
    }
    started
}

/// Runs the prefill at an engine; a first prefill that is refused also counts as a retry.
async fn prefill_at(
    gateway: &Rc<Gateway>,
    progress: &mut Progress,
    engine: &UpstreamId,
    urgency: u8,
) -> Result<Prefilled, Failure> {
    let is_first = progress.attempt_budget.retries(true) == progress.attempt_budget.retries(false);
    progress.attempt_budget.record_prefill();
    let prefilled = match gateway.target(engine) {
        None => Err(Failure::NotSent("the engine is gone".into())),
        Some(target) => prefill(gateway, &progress.call, target, urgency).await,
    };
    let step = prefilled.as_ref().map(|prefilled| prefilled.handle.tokens);
    progress
        .trace
        .step(format_args!("{engine}/{urgency}=read:{step:?}"));
    if let Err(failure) = &prefilled {
        progress.attempt_budget.record_prefill_failure(failure);
        if is_first && matches!(failure, Failure::NotRun(_)) {
            gateway.record_retry(&progress.call.service, Instant::now());
        }
        progress.tried.push(engine.clone());
    }
    prefilled
}

fn summary(started: &Result<Start, Failure>) -> compact_str::CompactString {
    match started {
        Ok(Start::Stream(_)) => "stream".into(),
        Ok(Start::Full(response)) => {
            compact_str::format_compact!("{}", response.head.status.as_u16())
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
        true => now + placement::attempt_timeout(urgency, call.remaining(now)),
        false => call.deadline,
    };
    Options {
        stage,
        urgency: Some(urgency),
        after_event,
        continuation: None,
        may_reuse: call.route.is_idempotent() || matches!(stage, Stage::Prefill),
        reservation: None,
        until,
        deadline: call.deadline,
    }
}

/// Returns the expected duration of a prefill at an engine.
fn prefill_time(gateway: &Gateway, call: &Call, target: &Target) -> Duration {
    let Some(prompt) = &call.request.prompt else {
        return Duration::ZERO;
    };
    let board = gateway.board.borrow();
    let cached = board.cached_tokens(&target.entry.id, &prompt.blocks);
    cost::prefill_time(prompt, cached, target.entry.role).mul_f64(board.slowdown(&target.entry.id))
}

/// Returns `true` if an engine is assumed to cache all blocks of a prompt that other requests
/// share.
fn has_shared_blocks(gateway: &Gateway, call: &Call, engine: &UpstreamId) -> bool {
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

/// Runs the prefill at an engine and has it keep the KV cache for another engine.
async fn prefill(
    gateway: &Rc<Gateway>,
    call: &Call,
    target: Rc<Target>,
    urgency: u8,
) -> Result<Prefilled, Failure> {
    let backlog = prefill_time(gateway, call, &target);
    let engine = target.entry.id.clone();
    let before = gateway.board.borrow().load(&engine, Instant::now()).backlog;
    let has_shared_blocks = has_shared_blocks(gateway, call, &engine);
    let _slot = Slot::new(gateway, &target, backlog, urgency);
    record_prefill(gateway, call, &engine);
    let options = options(call, Stage::Prefill, urgency, None);
    let started_at = Instant::now();
    let mut guard = Guard::new(gateway, call, &target, Stage::Prefill);
    let exchange = async {
        let response = exchange::send(gateway, &target, call, &options).await?;
        let status = response.head.status;
        let response = exchange::finish(gateway, &target, response, MAX_HANDLE_BYTES).await?;
        if !status.is_success() {
            return Err(Failure::NotRun(status));
        }
        egress::handle(&response.body, target.entry.address)
            .map_err(|cause| Failure::Broken(compact_str::format_compact!("handle: {cause}")))
    };
    let ended = match time::timeout_at(options.until.into(), exchange).await {
        Ok(ended) => ended,
        Err(_) => Err(Failure::Silent),
    };
    guard.record(&ended);
    plain::update_health(&target, &ended);
    match ended {
        Ok(handle) => {
            // The slowdown can be learned only if the engine's cached blocks are known.
            if before < backlog && has_shared_blocks {
                let expected = (before + backlog).as_secs_f64().max(0.001);
                let ratio = started_at.elapsed().as_secs_f64() / expected;
                gateway.board.borrow_mut().record_slowdown(&engine, ratio);
            }
            Ok(Prefilled {
                gateway: Rc::clone(gateway),
                handle,
                prefill_engine: target,
                is_taken: false,
            })
        }
        // A prefill is no run, however it ended.
        Err(Failure::Broken(cause)) => Err(Failure::NotSent(cause)),
        Err(Failure::Silent) => Err(Failure::NotSent("reading took too long".into())),
        Err(failure) => Err(failure),
    }
}

/// Sends a request and waits for the first events of the response.
async fn start(
    gateway: &Rc<Gateway>,
    target: Rc<Target>,
    call: &Call,
    options: &Options<'_>,
    mut slot: Slot,
) -> Result<Start, Failure> {
    let mut guard = Some(Guard::new(gateway, call, &target, options.stage));
    let exchange = async {
        let response = exchange::send(gateway, &target, call, options).await?;
        if response.provenance == Provenance::Unsigned {
            return Err(Failure::Broken("the answer is not signed".into()));
        }
        if !response.head.status.is_success() || call.route.kind != Kind::Stream {
            return exchange::finish(gateway, &target, response, exchange::MAX_RESPONSE_BYTES)
                .await
                .map(Start::Full);
        }
        let Response {
            head,
            mut body,
            connection,
            ..
        } = response;
        let mut splitter = match options.continuation {
            Some(continuation) if *continuation != Continuation::of(&head) => {
                return Err(Failure::Broken(
                    "the answer is no rest of the stream".into(),
                ));
            }
            Some(_) => Splitter::continuing(options.after_event),
            None => Splitter::after(options.after_event),
        };
        let is_framed = exchange::is_framed(&head, &body);
        let (first, is_ended) = first_events(&mut body, &mut splitter).await?;
        if is_ended && !is_framed {
            return Err(Failure::Broken("the answer ended without an event".into()));
        }
        slot.end_prefill();
        let target = Rc::clone(&target);
        let mut guard = guard.take().expect("an exchange starts one stream");
        if !first.is_empty() {
            guard.record_output(Instant::now());
        }
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
    plain::update_health(&target, &ended);
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
