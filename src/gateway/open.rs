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
use super::allowance::Allowance;
use super::call::Call;
use super::events::Splitter;
use super::exchange;
use super::exchange::Answer;
use super::exchange::Failure;
use super::exchange::Mark;
use super::exchange::Terms;
use super::exchange::Work;
use super::place::Held;
use super::place::Place;
use super::plain;
use super::pool::Connection;
use super::record::Course;
use super::suspect;
use super::suspect::Watch;
use super::target::Target;
use crate::catalog::Kind;
use crate::gossip;
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
pub struct Opened {
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
    pub slot: Place,
    /// Reports to the suspicion tracker how the stream ends.
    pub guard: Watch,
}

/// Start of an engine's response.
#[derive(Debug)]
pub enum Started {
    /// A stream.
    Stream(Box<Opened>),
    /// A full response, such as a failure that the engine reports.
    Whole(exchange::WholeAnswer),
}

/// A request in progress, with its remaining attempts and its trace so far.
#[derive(Debug)]
pub struct Progress {
    /// Request.
    pub call: Call,
    /// Attempts that it may still make.
    pub attempt_budget: Allowance,
    /// Engines that failed to serve the request.
    pub tried: Vec<UpstreamId>,
    /// Steps taken so far.
    pub trace: Course,
}

impl Progress {
    fn record_failure(&mut self, engine: &UpstreamId, failure: &Failure) {
        self.attempt_budget.note_failure(failure);
        self.tried.push(engine.clone());
    }

    /// Returns `true` if the retry budget allows carrying out a plan now.
    pub fn may_start(&self, gateway: &Gateway, plan: &Plan) -> bool {
        let retries = self
            .attempt_budget
            .repeats(matches!(plan, Plan::Split { .. }));
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
) -> Result<Started, Failure> {
    match plan {
        Plan::Refuse { reason, .. } => Err(Failure::NotSent((*reason).into())),
        Plan::Whole { engine, urgency } => {
            let options = options(&progress.call, Work::Whole, *urgency, after_event);
            start_at(gateway, progress, engine, &options).await
        }
        Plan::Split {
            reader,
            generator,
            spare,
            urgency,
        } => {
            let mut prefilled = prefill_at(gateway, progress, reader, *urgency).await?;
            // Hosts may have learned of a suspect during the prefill.
            if !suspect::is_clear(gateway, &progress.call) {
                return Err(Failure::Withheld(suspect::REASON));
            }
            let handle = prefilled.handle.clone();
            let work = Work::Generate(&handle);
            let options = options(&progress.call, work, *urgency, after_event);
            let mut started = start_at(gateway, progress, generator, &options).await;
            if let (Err(failure), Some(spare)) = (&started, spare)
                && failure.is_not_run()
                && progress.attempt_budget.allows_more(false)
                && suspect::is_clear(gateway, &progress.call)
                && gateway.try_spend_retries(&progress.call.service, 1, Instant::now())
            {
                started = start_at(gateway, progress, spare, &options).await;
            }
            prefilled.is_taken = started.is_ok();
            started
        }
    }
}

/// Sends a request to an engine and waits for the first events.
async fn start_at(
    gateway: &Rc<Gateway>,
    progress: &mut Progress,
    engine: &UpstreamId,
    options: &Terms<'_>,
) -> Result<Started, Failure> {
    progress.attempt_budget.note_send();
    let urgency = options.urgency.unwrap_or(LOWEST_URGENCY);
    let started = match gateway.target(engine) {
        None => Err(Failure::NotSent("the engine is gone".into())),
        Some(target) => {
            let prefill_time = match options.work {
                Work::Generate(_) => Duration::ZERO,
                Work::Whole | Work::Read => prefill_time(gateway, &progress.call, &target),
            };
            let slot = Place::new(gateway, &target, prefill_time, urgency);
            if matches!(options.work, Work::Whole) {
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

/// Runs the prefill at an engine; a first prefill that is refused also counts as a retry.
async fn prefill_at(
    gateway: &Rc<Gateway>,
    progress: &mut Progress,
    engine: &UpstreamId,
    urgency: u8,
) -> Result<Held, Failure> {
    let is_first = progress.attempt_budget.repeats(true) == progress.attempt_budget.repeats(false);
    progress.attempt_budget.note_read();
    let prefilled = match gateway.target(engine) {
        None => Err(Failure::NotSent("the engine is gone".into())),
        Some(target) => prefill(gateway, &progress.call, target, urgency).await,
    };
    let step = prefilled.as_ref().map(|prefilled| prefilled.handle.tokens);
    progress
        .trace
        .step(format_args!("{engine}/{urgency}=read:{step:?}"));
    if let Err(failure) = &prefilled {
        progress.attempt_budget.note_read_failure(failure);
        if is_first && matches!(failure, Failure::NotRun(_)) {
            gateway.note_repeat(&progress.call.service, Instant::now());
        }
        progress.tried.push(engine.clone());
    }
    prefilled
}

fn summary(started: &Result<Started, Failure>) -> compact_str::CompactString {
    match started {
        Ok(Started::Stream(_)) => "stream".into(),
        Ok(Started::Whole(response)) => {
            compact_str::format_compact!("{}", response.head.status.as_u16())
        }
        Err(failure) => compact_str::format_compact!("{failure:?}"),
    }
}

fn options<'a>(call: &Call, work: Work<'a>, urgency: u8, after_event: Option<u64>) -> Terms<'a> {
    let now = Instant::now();
    let until = match call.route.is_idempotent() || matches!(work, Work::Read) {
        true => now + placement::patience(urgency, call.left(now)),
        false => call.deadline,
    };
    Terms {
        work,
        urgency: Some(urgency),
        after_event,
        may_reuse: call.route.is_idempotent() || matches!(work, Work::Read),
        until,
        deadline: call.deadline,
    }
}

/// Returns the expected duration of a prefill at an engine.
fn prefill_time(gateway: &Gateway, call: &Call, target: &Target) -> Duration {
    let Some(prompt) = &call.ask.prompt else {
        return Duration::ZERO;
    };
    let board = gateway.board.borrow();
    let cached = board.cached(&target.row.id, &prompt.parts);
    cost::reading(prompt, cached, target.row.role).mul_f64(board.pace(&target.row.id))
}

/// Returns `true` if an engine is assumed to cache all blocks of a prompt that other requests
/// share.
fn has_shared_blocks(gateway: &Gateway, call: &Call, engine: &UpstreamId) -> bool {
    call.ask.prompt.as_ref().is_some_and(|prompt| {
        let cached = gateway.board.borrow().cached(engine, &prompt.parts);
        cached >= prompt.shared_tokens()
    })
}

fn record_prefill(gateway: &Gateway, call: &Call, engine: &UpstreamId) {
    if let Some(prompt) = &call.ask.prompt {
        let parts = &prompt.parts;
        gateway.board.borrow_mut().note_reading(engine, parts);
        gateway.news.borrow_mut().readings.push(gossip::Reading {
            engine: gossip::digest(engine),
            parts: parts.iter().map(|part| part.id).collect(),
            tokens: parts.iter().map(|part| part.tokens as u32).collect(),
        });
    }
}

/// Runs the prefill at an engine and has it keep the KV cache for another engine.
async fn prefill(
    gateway: &Rc<Gateway>,
    call: &Call,
    target: Rc<Target>,
    urgency: u8,
) -> Result<Held, Failure> {
    let backlog = prefill_time(gateway, call, &target);
    let engine = target.row.id.clone();
    let before = gateway.board.borrow().load(&engine, Instant::now()).backlog;
    let has_shared_blocks = has_shared_blocks(gateway, call, &engine);
    let _slot = Place::new(gateway, &target, backlog, urgency);
    record_prefill(gateway, call, &engine);
    let options = options(call, Work::Read, urgency, None);
    let started_at = Instant::now();
    let mut guard = Watch::new(gateway, call, &target, Work::Read);
    let exchange = async {
        let response = exchange::send(gateway, &target, call, &options).await?;
        let status = response.head.status;
        let response = exchange::finish(gateway, &target, response, MAX_HANDLE_BYTES).await?;
        if !status.is_success() {
            return Err(Failure::NotRun(status));
        }
        egress::handle(&response.body, target.row.address)
            .map_err(|cause| Failure::Broken(compact_str::format_compact!("handle: {cause}")))
    };
    let ended = match time::timeout_at(options.until.into(), exchange).await {
        Ok(ended) => ended,
        Err(_) => Err(Failure::Silent),
    };
    guard.note(&ended);
    plain::update_health(&target, &ended);
    match ended {
        Ok(handle) => {
            // The slowdown can be learned only if the engine's cached blocks are known.
            if before < backlog && has_shared_blocks {
                let expected = (before + backlog).as_secs_f64().max(0.001);
                let ratio = started_at.elapsed().as_secs_f64() / expected;
                gateway.board.borrow_mut().note_pace(&engine, ratio);
            }
            Ok(Held {
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
    options: &Terms<'_>,
    mut slot: Place,
) -> Result<Started, Failure> {
    let mut guard = Some(Watch::new(gateway, call, &target, options.work));
    let exchange = async {
        let response = exchange::send(gateway, &target, call, options).await?;
        if response.mark == Mark::Unsigned {
            return Err(Failure::Broken("the answer is not signed".into()));
        }
        if !response.head.status.is_success() || call.route.kind != Kind::Stream {
            return exchange::finish(gateway, &target, response, exchange::HELD_BYTES)
                .await
                .map(Started::Whole);
        }
        let Answer {
            head,
            mut body,
            connection,
            ..
        } = response;
        let mut splitter = Splitter::default();
        let (first, is_ended) = first_events(&mut body, &mut splitter).await?;
        slot.end_prefill();
        let target = Rc::clone(&target);
        let guard = guard.take().expect("an exchange starts one stream");
        Ok(Started::Stream(Box::new(Opened {
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
        guard.note(&ended);
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
            None if splitter.is_whole() => return Ok((Bytes::new(), true)),
            None => return Err(Failure::Broken("the stream ended within an event".into())),
        }
    }
}
