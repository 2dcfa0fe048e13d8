//! Requests to models: placed on one engine, or read on one and generated on another.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::task;
use tokio::time;

use super::Gateway;
use super::call::Call;
use super::events::Splitter;
use super::exchange;
use super::exchange::Answer;
use super::exchange::Failure;
use super::exchange::Handle;
use super::exchange::Mark;
use super::exchange::Terms;
use super::exchange::Work;
use super::plain;
use super::plain::Allowance;
use super::pool::Connection;
use super::record::Course;
use super::record::Outcome;
use super::reply;
use super::reply::Reply;
use super::stream;
use super::target::Occupied;
use super::target::Target;
use crate::catalog::Kind;
use crate::gossip;
use crate::id::UpstreamId;
use crate::placement;
use crate::placement::Job;
use crate::placement::Plan;
use crate::placement::board::Load;
use crate::placement::cost;
use crate::platform::egress;

/// Time in which freed memory is given up; it lapses by itself later.
const FREE_TIME: Duration = Duration::from_millis(500);
/// Share of the time left that one try of an idempotent request may take without a first event.
const PATIENCE_SHARE: f64 = 0.4;
/// Longest time after which a refused caller is asked back, as a share of the time it has left;
/// callers wait for no more than a third.
const RETRY_SHARE: f64 = 0.3;
/// Pieces of a stream that wait for a slow caller.
const PIECES: usize = 32;
/// Time after which a caller may do better when engines broke off.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// A stream whose first events are there.
#[derive(Debug)]
pub struct Opened {
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
    pub place: Place,
}

/// A request's place at an engine, counted until it is dropped.
#[derive(Debug)]
pub struct Place {
    gateway: Rc<Gateway>,
    engine: UpstreamId,
    backlog: Duration,
    late: Duration,
    _occupied: Occupied,
}

impl Place {
    fn new(gateway: &Rc<Gateway>, target: &Rc<Target>, reading: Duration, urgency: u8) -> Self {
        let engine = target.row.id.clone();
        let (backlog, late) = match urgency < placement::URGENCY_LATE {
            true => (reading, Duration::ZERO),
            false => (Duration::ZERO, reading),
        };
        gateway.board.borrow_mut().change(&engine, |load| {
            load.running += 1;
            load.backlog += backlog;
            load.late += late;
        });
        let gateway = Rc::clone(gateway);
        Place {
            gateway,
            engine,
            backlog,
            late,
            _occupied: target.occupy(),
        }
    }

    /// Notes that the prompt has been read.
    fn end_reading(&mut self) {
        let backlog = std::mem::take(&mut self.backlog);
        let late = std::mem::take(&mut self.late);
        self.gateway
            .board
            .borrow_mut()
            .change(&self.engine, |load| {
                load.backlog = load.backlog.saturating_sub(backlog);
                load.late = load.late.saturating_sub(late);
            });
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.end_reading();
        self.gateway
            .board
            .borrow_mut()
            .change(&self.engine, |load| {
                load.running = load.running.saturating_sub(1);
            });
    }
}

/// Memory that was read ahead; freed at its engine unless it was taken.
#[derive(Debug)]
struct Held {
    handle: Handle,
    reader: Rc<Target>,
    is_taken: bool,
}

impl Drop for Held {
    fn drop(&mut self) {
        if self.is_taken {
            return;
        }
        let (reader, path) = (Rc::clone(&self.reader), egress::handle_path(&self.handle));
        task::spawn_local(async move {
            let until = Instant::now() + FREE_TIME;
            let freed = exchange::call_own(&reader, Method::DELETE, &path, until).await;
            log::debug!("upstream={} path={path} freed={freed:?}", reader.row.id);
        });
    }
}

/// Serves a request.
pub async fn serve(gateway: &Rc<Gateway>, call: Call, mut course: Course) -> Reply {
    let mut allowance = Allowance::new(call.route.attempts);
    let mut tried = Vec::new();
    loop {
        let now = Instant::now();
        if now >= call.deadline {
            return plain::fail(allowance.may_have_run(), RETRY_AFTER, &mut course);
        }
        let plan = match plan(gateway, &call, &tried, now) {
            Plan::Refuse {
                retry_after,
                reason,
            } => {
                course.step(format_args!("refuse={reason:?}"));
                let most = call.left(now).mul_f64(RETRY_SHARE);
                return plain::fail(allowance.may_have_run(), retry_after.min(most), &mut course);
            }
            plan => plan,
        };
        if allowance.is_repeat() && !gateway.may_repeat(&call.service, now) {
            course.step(format_args!("no-budget"));
            return plain::fail(allowance.may_have_run(), RETRY_AFTER, &mut course);
        }
        allowance.note_send();
        match open(gateway, &call, &plan, call.ask.after_event, &mut course).await {
            Ok(Started::Stream(opened)) => {
                return deliver(gateway, call, opened, allowance, course);
            }
            Ok(Started::Whole(answer)) => {
                course.note_first();
                course.end(Outcome::Delivered);
                return reply::deliver(answer);
            }
            Err(failure) => {
                allowance.note_failure(&failure);
                plain::note_crash(gateway, &call, &failure, now);
                avoid(&plan, &mut tried);
                if !allowance.allows_more(call.route.is_idempotent()) {
                    return plain::fail(allowance.may_have_run(), RETRY_AFTER, &mut course);
                }
            }
        }
    }
}

/// Adds the engines of a plan that failed to those not to be tried again.
pub fn avoid(plan: &Plan, tried: &mut Vec<UpstreamId>) {
    match plan {
        Plan::Whole { engine, .. } => tried.push(engine.clone()),
        Plan::Split { reader, .. } => tried.push(reader.clone()),
        Plan::Refuse { .. } => (),
    }
}

/// Chooses engines for a request.
pub fn plan(gateway: &Rc<Gateway>, call: &Call, tried: &[UpstreamId], now: Instant) -> Plan {
    let Some(prompt) = &call.ask.prompt else {
        return plan_without_prompt(gateway, call, tried, now);
    };
    let board = gateway.board.borrow();
    let targets = gateway.targets(&call.service);
    let engines: Vec<placement::Engine> = targets
        .iter()
        .filter(|target| !tried.contains(&target.row.id) && !gateway.is_away(&target.row.id, now))
        .map(|target| {
            let id = &target.row.id;
            let Load {
                running,
                backlog,
                late,
            } = board.load(id, now);
            placement::Engine {
                id: id.clone(),
                role: target.row.role,
                is_near: target.row.domain == gateway.settings.domain,
                is_trusted: target.health().is_trusted(now),
                slots: target.row.slots,
                running,
                backlog,
                late,
                cached: board.cached(id, &prompt.parts),
                pace: board.pace(id),
            }
        })
        .collect();
    let job = Job {
        prompt,
        target_left: (call.arrived + call.route.target).saturating_duration_since(now),
        left: call.left(now),
    };
    placement::plan(&job, &engines)
}

/// Urgency of a stream without a prompt, the middle of the scale.
const URGENCY_PLAIN: u8 = 5;

fn plan_without_prompt(gateway: &Gateway, call: &Call, tried: &[UpstreamId], now: Instant) -> Plan {
    match plain::pick(gateway, call, tried, now) {
        Some(target) => Plan::Whole {
            engine: target.row.id.clone(),
            urgency: URGENCY_PLAIN,
        },
        None => Plan::Refuse {
            retry_after: RETRY_AFTER,
            reason: "no upstream takes work",
        },
    }
}

/// What an engine's answer started with.
#[derive(Debug)]
pub enum Started {
    /// A stream.
    Stream(Opened),
    /// A failure of the engine's own, whole.
    Whole(exchange::WholeAnswer),
}

/// Carries out a plan up to the first event.
///
/// # Errors
///
/// Fails as [`Failure`] says; a prompt that was read in vain leaves the request not run.
pub async fn open(
    gateway: &Rc<Gateway>,
    call: &Call,
    plan: &Plan,
    after_event: Option<u64>,
    course: &mut Course,
) -> Result<Started, Failure> {
    let gone = || Failure::NotSent("the engine is gone".into());
    match plan {
        Plan::Refuse { reason, .. } => Err(Failure::NotSent((*reason).into())),
        Plan::Whole { engine, urgency } => {
            let target = gateway.target(engine).ok_or_else(gone)?;
            let backlog = reading(gateway, call, &target);
            let place = Place::new(gateway, &target, backlog, *urgency);
            note_reading(gateway, call, engine);
            let terms = terms(call, Work::Whole, *urgency, after_event);
            let started = start(target, call, &terms, place).await;
            course.step(format_args!("{engine}/{urgency}={}", summary(&started)));
            started
        }
        Plan::Split {
            reader,
            generator,
            urgency,
        } => {
            let reading_target = gateway.target(reader).ok_or_else(gone)?;
            let held = read(gateway, call, reading_target, *urgency).await;
            let step = held.as_ref().map(|held| held.handle.tokens);
            course.step(format_args!("{reader}/{urgency}=read:{step:?}"));
            let mut held = held?;
            let target = gateway.target(generator).ok_or_else(gone)?;
            let place = Place::new(gateway, &target, Duration::ZERO, *urgency);
            let handle = held.handle.clone();
            let terms = terms(call, Work::Generate(&handle), *urgency, after_event);
            let started = start(target, call, &terms, place).await;
            held.is_taken = started.is_ok();
            course.step(format_args!("{generator}={}", summary(&started)));
            started
        }
    }
}

fn summary(started: &Result<Started, Failure>) -> compact_str::CompactString {
    match started {
        Ok(Started::Stream(_)) => "stream".into(),
        Ok(Started::Whole(answer)) => {
            compact_str::format_compact!("{}", answer.head.status.as_u16())
        }
        Err(failure) => compact_str::format_compact!("{failure:?}"),
    }
}

fn terms<'a>(call: &Call, work: Work<'a>, urgency: u8, after_event: Option<u64>) -> Terms<'a> {
    let now = Instant::now();
    let until = match call.route.is_idempotent() || matches!(work, Work::Read) {
        true => now + call.left(now).mul_f64(PATIENCE_SHARE),
        false => call.deadline,
    };
    Terms {
        work,
        urgency: Some(urgency),
        after_event,
        until,
        deadline: call.deadline,
    }
}

/// Returns how long an engine is expected to read a prompt.
fn reading(gateway: &Gateway, call: &Call, target: &Target) -> Duration {
    let Some(prompt) = &call.ask.prompt else {
        return Duration::ZERO;
    };
    let board = gateway.board.borrow();
    let cached = board.cached(&target.row.id, &prompt.parts);
    cost::reading(prompt, cached, target.row.role).mul_f64(board.pace(&target.row.id))
}

fn note_reading(gateway: &Gateway, call: &Call, engine: &UpstreamId) {
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

/// Has an engine read the prompt and keep it for another.
async fn read(
    gateway: &Rc<Gateway>,
    call: &Call,
    target: Rc<Target>,
    urgency: u8,
) -> Result<Held, Failure> {
    let backlog = reading(gateway, call, &target);
    let engine = target.row.id.clone();
    let before = gateway.board.borrow().load(&engine, Instant::now()).backlog;
    let _place = Place::new(gateway, &target, backlog, urgency);
    note_reading(gateway, call, &engine);
    let terms = terms(call, Work::Read, urgency, None);
    let begun = Instant::now();
    let exchange = async {
        let answer = exchange::send(&target, call, &terms).await?;
        let status = answer.head.status;
        let answer = exchange::finish(&target, answer).await?;
        if !status.is_success() {
            return Err(Failure::NotRun(status));
        }
        egress::handle(&answer.body, target.row.address)
            .map_err(|cause| Failure::Broken(compact_str::format_compact!("handle: {cause}")))
    };
    let ended = match time::timeout_at(terms.until.into(), exchange).await {
        Ok(ended) => ended,
        Err(_) => Err(Failure::Silent),
    };
    plain::note_health(&target, &ended);
    match ended {
        Ok(handle) => {
            if before < backlog {
                let expected = (before + backlog).as_secs_f64().max(0.001);
                let ratio = begun.elapsed().as_secs_f64() / expected;
                gateway.board.borrow_mut().note_pace(&engine, ratio);
            }
            Ok(Held {
                handle,
                reader: target,
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
    target: Rc<Target>,
    call: &Call,
    terms: &Terms<'_>,
    mut place: Place,
) -> Result<Started, Failure> {
    let exchange = async {
        let answer = exchange::send(&target, call, terms).await?;
        if answer.mark == Mark::Unsigned {
            return Err(Failure::Broken("the answer is not signed".into()));
        }
        if !answer.head.status.is_success() || call.route.kind != Kind::Stream {
            return exchange::finish(&target, answer).await.map(Started::Whole);
        }
        let Answer {
            head,
            mut body,
            connection,
            ..
        } = answer;
        let mut splitter = Splitter::default();
        let (first, is_ended) = first_events(&mut body, &mut splitter).await?;
        place.end_reading();
        let target = Rc::clone(&target);
        Ok(Started::Stream(Opened {
            head,
            body,
            connection,
            target,
            splitter,
            first,
            is_ended,
            place,
        }))
    };
    let ended = match time::timeout_at(terms.until.into(), exchange).await {
        Ok(ended) => ended,
        Err(_) => Err(Failure::Silent),
    };
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
                let Some(events) = frame.data_ref().and_then(|data| splitter.push(data)) else {
                    continue;
                };
                return Ok((events, false));
            }
            Some(Err(cause)) => {
                return Err(Failure::Broken(compact_str::format_compact!("{cause}")));
            }
            None if splitter.is_whole() => return Ok((Bytes::new(), true)),
            None => return Err(Failure::Broken("the stream ended within an event".into())),
        }
    }
}

fn deliver(
    gateway: &Rc<Gateway>,
    call: Call,
    mut opened: Opened,
    allowance: Allowance,
    mut course: Course,
) -> Reply {
    course.note_first();
    let head = opened.head.clone();
    let first = std::mem::take(&mut opened.first);
    let (sender, receiver) = mpsc::channel(PIECES);
    let flow = stream::Flow {
        gateway: Rc::clone(gateway),
        call,
        allowance,
        course,
        sender,
    };
    task::spawn_local(flow.run(opened));
    reply::deliver_stream(&head, reply::Stream::new(first, receiver))
}
