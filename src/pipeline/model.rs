//! Runs completions on engines and keeps their streams whole.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::clock::Clock;
use crate::core::Core;
use crate::id::UpstreamId;
use crate::log::List;
use crate::log::Log;
use crate::problem::Problem;
use crate::quarantine::Verdict;
use crate::route;
use crate::route::Criteria;
use crate::route::Stage;
use crate::upstream::Role;
use crate::upstream::Upstream;
use crate::upstream::call;
use crate::upstream::call::Answer;
use crate::upstream::call::Failure;
use crate::upstream::poll;

use super::Call;
use super::account::Trace;
use super::call::Completion;
use super::deliver;
use super::forward;
use super::forward::InFlight;

/// Most times that one request is sent.
const MOST_ATTEMPTS: usize = 8;
/// Longest wait of a suspect for an upstream without another suspect.
const APART_WAIT: Duration = Duration::from_secs(30);
/// Time for which a stream stays on an engine that is taken out of use.
const MOVE_AFTER: Duration = Duration::from_secs(3);
/// Pause between two looks for one.
const APART_PAUSE: Duration = Duration::from_millis(20);

/// Where the events of a completion go.
pub trait Sink {
    /// Takes one event; an error means that the caller is gone.
    fn event(&mut self, data: &str, event: &Value) -> io::Result<()>;
}

impl<W> Sink for deliver::Stream<W>
where
    W: Write,
{
    fn event(&mut self, data: &str, _event: &Value) -> io::Result<()> {
        deliver::Stream::event(self, data)
    }
}

impl Sink for deliver::Collected {
    fn event(&mut self, _data: &str, event: &Value) -> io::Result<()> {
        self.add(event);
        Ok(())
    }
}

/// How a completion ended.
#[derive(Debug)]
pub enum End {
    /// All of it was delivered to the sink.
    Whole,
    /// It was not, for this reason.
    Failed(Problem),
    /// The caller went away.
    CallerGone,
}

enum Step {
    End(End),
    Moves,
    Again,
    Failed(Failure),
}

/// Where a request runs, counted in, and marked if it is a suspect.
type Place = (Arc<Upstream>, InFlight, Option<Mark>);

/// What has been delivered of a completion.
#[derive(Debug, Default)]
struct Progress {
    next_token: u64,
    text: String,
    finished: bool,
}

struct Run<'a, C, P, S>
where
    C: Clock,
{
    core: &'a Core<C, P>,
    call: &'a Call,
    completion: &'a Completion,
    course: &'a mut Trace,
    sink: &'a mut S,
    progress: Progress,
    avoided: Vec<UpstreamId>,
    resumes_on: Option<Arc<Upstream>>,
    moves_to: Option<(Arc<Upstream>, InFlight)>,
    moved_from: Option<SocketAddr>,
}

/// Runs a completion, resuming it elsewhere if an engine or a connection is lost.
pub fn run<C, P, S>(
    core: &Core<C, P>,
    call: &Call,
    completion: &Completion,
    course: &mut Trace,
    sink: &mut S,
) -> End
where
    C: Clock + Clone,
    P: Log + List,
    S: Sink,
{
    core.budget.earn();
    let mut run = Run {
        core,
        call,
        completion,
        course,
        sink,
        progress: Progress::default(),
        avoided: Vec::new(),
        resumes_on: None,
        moves_to: None,
        moved_from: None,
    };
    let mut failures = 0;
    while failures < MOST_ATTEMPTS {
        if let Some(end) = run.attempt() {
            return end;
        }
        failures += usize::from(run.moved_from.is_none());
    }
    End::Failed(Problem::unknown("too many attempts failed"))
}

impl<C, P, S> Run<'_, C, P, S>
where
    C: Clock + Clone,
    P: Log + List,
    S: Sink,
{
    /// Sends the request once; returns none if it should be sent again.
    fn attempt(&mut self) -> Option<End> {
        let fingerprint = self.call.digest();
        let verdict = self.core.quarantine.verdict(fingerprint);
        if verdict == Verdict::Refused {
            return Some(End::Failed(quarantined(self.course)));
        }
        let apart = verdict == Verdict::Apart;
        let Some((upstream, _visit, mark)) = self.choose(Stage::Decode, apart) else {
            return Some(End::Failed(forward::no_upstream(self.course)));
        };
        self.course.tried.push(upstream.id.clone());
        let boot_id = upstream.report().map(|(load, _)| load.boot_id);
        let failure = match self.send(&upstream, apart) {
            Step::End(end) => {
                if apart && matches!(end, End::Whole) {
                    self.core.quarantine.clear(fingerprint);
                }
                return Some(end);
            }
            Step::Moves => {
                self.moved_from = Some(upstream.address);
                return None;
            }
            Step::Again => return None,
            Step::Failed(failure) => failure,
        };
        let next = self.recover(&upstream, boot_id, failure);
        drop(mark);
        next
    }

    fn recover(
        &mut self,
        upstream: &Arc<Upstream>,
        boot_id: Option<uuid::Uuid>,
        failure: Failure,
    ) -> Option<End> {
        let now = self.core.clock.now();
        match failure {
            Failure::BeforeFirstByte(_) => {
                upstream.record_failure(now);
                self.avoided.push(upstream.id.clone());
                return None;
            }
            Failure::Refused => {
                upstream.leaving.store(true, Ordering::SeqCst);
                self.avoided.push(upstream.id.clone());
                return None;
            }
            Failure::Lost(_) | Failure::Silent(_) => {}
        }
        self.resumes_on = None;
        match poll::report(upstream.address) {
            Some(load) if Some(load.boot_id) == boot_id => {
                upstream.take_report(load, now);
                self.resumes_on = Some(Arc::clone(upstream));
            }
            report => self.record_loss(upstream, report.is_some(), &failure),
        }
        self.may_retry(&failure)
    }

    fn record_loss(&mut self, upstream: &Arc<Upstream>, restarted: bool, failure: &Failure) {
        let now = self.core.clock.now();
        self.avoided.push(upstream.id.clone());
        if !restarted {
            upstream.record_failure(now);
        }
        let is_crash = restarted || matches!(failure, Failure::Lost(_));
        if is_crash {
            let suspect = self.core.quarantine.record_crash(self.call.digest(), now);
            if let Some(peers) = self.core.peers.get() {
                peers.tell_suspects(&self.core.members.all(), &[suspect]);
            }
        }
    }

    fn may_retry(&self, failure: &Failure) -> Option<End> {
        let is_late = self.course.first.is_none() && self.core.clock.now() >= self.call.deadline();
        match !is_late && self.core.budget.try_spend() {
            true => None,
            false => Some(End::Failed(Problem::unknown(failure.to_string()))),
        }
    }

    fn choose(&mut self, stage: Stage, apart: bool) -> Option<Place> {
        if stage == Stage::Decode {
            if let Some((upstream, visit)) = self.moves_to.take() {
                return Some((upstream, visit, None));
            }
            if let Some(upstream) = self.resumes_on.take() {
                let visit = InFlight::new(&upstream);
                return Some((upstream, visit, None));
            }
        }
        if !apart {
            let (upstream, visit) = self.choose_now(stage, false)?;
            return Some((upstream, visit, None));
        }
        let give_up = self.core.clock.now() + APART_WAIT;
        while self.core.clock.now() < give_up {
            let chosen = self.choose_now(stage, true);
            if let Some((upstream, visit)) = chosen
                && let Some(mark) = Mark::set(&upstream)
            {
                return Some((upstream, visit, Some(mark)));
            }
            self.core.clock.sleep(APART_PAUSE);
        }
        None
    }

    fn choose_now(&self, stage: Stage, apart: bool) -> Option<(Arc<Upstream>, InFlight)> {
        let permitted = self.core.members.permitted(self.core.clock.now());
        let want = Criteria {
            stage,
            domain: &self.core.settings.domain,
            permitted: &permitted,
            tried: &self.avoided,
            prefix: self.call.prefix(),
            apart,
        };
        let all = self.core.table.of(&self.call.service.name);
        loop {
            let upstream = route::choose(&all, &want, &self.core.index, &mut rand::rng())?;
            if let Some(visit) = InFlight::begin(&upstream) {
                return Some((upstream, visit));
            }
        }
    }

    fn send(&mut self, upstream: &Arc<Upstream>, apart: bool) -> Step {
        let mut body = self.completion.body.clone();
        body["stream"] = Value::Bool(true);
        if upstream.role() == Role::Decode && self.progress.next_token == 0 {
            match self.prefill(&body, apart) {
                Ok(kv) => body["kv"] = kv,
                Err(step) => return step,
            }
        }
        if self.progress.next_token > 0 {
            body["resume"] = json!({
                "from_token": self.progress.next_token,
                "text": self.progress.text,
            });
        }
        if let Some(address) = self.moved_from.take() {
            let handle = self.call.request.to_string();
            body["kv"] = json!({ "handle": handle, "address": address.to_string() });
        }
        let silence = self.core.settings.limits.silence;
        let answer = match self.post(upstream, &self.call.path, &body, silence) {
            Ok(answer) => answer,
            Err(failure) => return Step::Failed(failure),
        };
        if let Some(prefix) = self.call.prefix() {
            self.core.index.add(prefix, &upstream.id);
        }
        match answer.status {
            200 => self.pump(upstream, answer),
            status => pass_refusal(status, answer),
        }
    }

    /// Has the prompt read by a prefill engine; the KV cache goes from engine to engine.
    ///
    /// A failure is that of the prefill engine, not of the one that was to generate.
    fn prefill(&mut self, body: &Value, apart: bool) -> Result<Value, Step> {
        let Some((upstream, _visit, mark)) = self.choose(Stage::Prefill, apart) else {
            return Err(Step::End(End::Failed(forward::no_upstream(self.course))));
        };
        self.course.tried.push(upstream.id.clone());
        let boot_id = upstream.report().map(|(load, _)| load.boot_id);
        self.read(&upstream, body).map_err(|failure| {
            let end = self.recover(&upstream, boot_id, failure);
            self.resumes_on = None;
            drop(mark);
            end.map_or(Step::Again, Step::End)
        })
    }

    fn read(&mut self, upstream: &Upstream, body: &Value) -> Result<Value, Failure> {
        let left = self
            .call
            .deadline()
            .saturating_duration_since(self.core.clock.now());
        let silence = left.max(self.core.settings.limits.silence);
        let answer = self.post(upstream, "/v1/prefill", body, silence)?;
        if answer.status != 200 {
            return Err(Failure::Lost(format!("prefill answered {}", answer.status)));
        }
        let reply: Value = serde_json::from_slice(&answer.bytes()?)
            .map_err(|cause| Failure::Lost(cause.to_string()))?;
        Ok(reply["kv"].clone())
    }

    fn post(
        &mut self,
        upstream: &Upstream,
        path: &str,
        body: &Value,
        silence: Duration,
    ) -> Result<Answer, Failure> {
        let sent = self.core.clock.now();
        let result = call::send(&call::Call {
            address: upstream.address,
            method: "POST",
            path,
            body: body.to_string().as_bytes(),
            content_type: "application/json",
            request: self.call.request,
            rank: self.call.class.rank,
            silence,
            limit: None,
        });
        if !matches!(result, Err(Failure::BeforeFirstByte(_) | Failure::Refused)) {
            self.course.sent.get_or_insert(sent);
        }
        result
    }

    fn pump(&mut self, upstream: &Upstream, answer: Answer) -> Step {
        let mut events = answer.events();
        let mut leaves_at = None;
        loop {
            let data = match events.next_data() {
                Ok(Some(data)) => data,
                Ok(None) => return lost("the stream ended early"),
                Err(cause) => return Step::Failed(cause.into()),
            };
            if data == "[DONE]" {
                return match self.progress.finished {
                    true => Step::End(End::Whole),
                    false => lost("the stream ended without its last token"),
                };
            }
            if let Some(step) = self.take_event(&data) {
                return step;
            }
            if upstream.draining.load(Ordering::SeqCst) {
                let now = self.core.clock.now();
                let leaves_at = *leaves_at.get_or_insert(now + MOVE_AFTER);
                if now >= leaves_at && self.finds_new_place() {
                    return Step::Moves;
                }
            }
        }
    }

    /// Finds an engine for a stream that has to move, or leaves it where it is.
    fn finds_new_place(&mut self) -> bool {
        self.moves_to = match self.progress.finished {
            true => None,
            false => self.choose_now(Stage::Decode, false),
        };
        self.moves_to.is_some()
    }

    fn take_event(&mut self, data: &str) -> Option<Step> {
        let Ok(event) = serde_json::from_str::<Value>(data) else {
            return Some(lost("an event is no JSON"));
        };
        let is_own = event["request_id"] == self.call.request.to_string();
        let token = event["token_index"].as_u64();
        match token {
            Some(token) if is_own && token == self.progress.next_token => {}
            Some(token) if is_own && token < self.progress.next_token => return None,
            _ => return Some(lost("the stream skipped a token or is another request's")),
        }
        if self.sink.event(data, &event).is_err() {
            return Some(Step::End(End::CallerGone));
        }
        self.progress.next_token += 1;
        self.progress.text.push_str(deliver::text_of(&event));
        self.progress.finished = !event["choices"][0]["finish_reason"].is_null();
        let now: Instant = self.core.clock.now();
        self.course.note_token(now);
        None
    }
}

fn lost(what: &str) -> Step {
    Step::Failed(Failure::Lost(what.to_owned()))
}

fn pass_refusal(status: u16, answer: Answer) -> Step {
    match answer.bytes() {
        Ok(body) => {
            let detail = String::from_utf8_lossy(&body).into_owned();
            let problem = Problem {
                status,
                ..Problem::ran(detail)
            };
            Step::End(End::Failed(problem))
        }
        Err(failure) => Step::Failed(failure),
    }
}

fn quarantined(course: &Trace) -> Problem {
    let detail = "upstreams were lost each time that this request ran";
    match course.sent {
        None => Problem::not_run(422, "quarantined", detail),
        Some(_) => Problem {
            status: 422,
            title: "quarantined".into(),
            ..Problem::ran(detail)
        },
    }
}

/// Marks an upstream as one that runs a suspect.
struct Mark(Arc<Upstream>);

impl Mark {
    fn set(upstream: &Arc<Upstream>) -> Option<Self> {
        let was_set = upstream.holds_suspect.swap(true, Ordering::SeqCst);
        (!was_set).then(|| Mark(Arc::clone(upstream)))
    }
}

impl Drop for Mark {
    fn drop(&mut self) {
        self.0.holds_suspect.store(false, Ordering::SeqCst);
    }
}
