//! Runs completions on engines, and resumes a stream on another engine if one is lost.

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
use crate::upstream::call::Failure;
use crate::upstream::call::Response;
use crate::upstream::poll;

use super::Call;
use super::account::Trace;
use super::call::Completion;
use super::deliver;
use super::forward;
use super::forward::InFlight;

/// Maximum number of failed attempts per request; a migration does not count.
const MAX_ATTEMPTS: usize = 8;
/// Maximum wait of a suspect for an upstream that runs no other suspect.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which a stream stays on a draining engine before it migrates.
const MIGRATION_DELAY: Duration = Duration::from_secs(3);
/// Interval at which a suspect looks for such an upstream.
const ISOLATION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Destination of the events of a completion.
pub trait Sink {
    /// Takes one event; an error means that the caller has disconnected.
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

/// End of a completion.
#[derive(Debug)]
pub enum End {
    /// All of it was delivered to the sink.
    Completed,
    /// It was not delivered completely, for this reason.
    Failed(Problem),
    /// The caller disconnected.
    CallerDisconnected,
}

enum Step {
    End(End),
    Migrate,
    Retry,
    Failed(Failure),
}

/// Upstream selected for a request, with its guards; the last one is set for a suspect.
type Selected = (Arc<Upstream>, InFlight, Option<SuspectGuard>);

/// Part of a completion that has been delivered.
#[derive(Debug, Default)]
struct Progress {
    next_token: u64,
    text: String,
    is_finished: bool,
}

struct Run<'a, C, P, S>
where
    C: Clock,
{
    core: &'a Core<C, P>,
    call: &'a Call,
    completion: &'a Completion,
    trace: &'a mut Trace,
    sink: &'a mut S,
    progress: Progress,
    avoided: Vec<UpstreamId>,
    resumes_on: Option<Arc<Upstream>>,
    migrate_to: Option<(Arc<Upstream>, InFlight)>,
    migrated_from: Option<SocketAddr>,
}

/// Runs a completion, resuming it elsewhere if an engine or a connection is lost.
pub fn run<C, P, S>(
    core: &Core<C, P>,
    call: &Call,
    completion: &Completion,
    trace: &mut Trace,
    sink: &mut S,
) -> End
where
    C: Clock + Clone,
    P: Log + List,
    S: Sink,
{
    core.budget.record_request();
    let mut run = Run {
        core,
        call,
        completion,
        trace,
        sink,
        progress: Progress::default(),
        avoided: Vec::new(),
        resumes_on: None,
        migrate_to: None,
        migrated_from: None,
    };
    let mut failures = 0;
    while failures < MAX_ATTEMPTS {
        if let Some(end) = run.attempt() {
            return end;
        }
        failures += usize::from(run.migrated_from.is_none());
    }
    End::Failed(Problem::unknown("too many attempts failed"))
}

impl<C, P, S> Run<'_, C, P, S>
where
    C: Clock + Clone,
    P: Log + List,
    S: Sink,
{
    /// Sends the request once; returns `None` if it should be sent again.
    fn attempt(&mut self) -> Option<End> {
        let fingerprint = self.call.digest();
        let verdict = self.core.quarantine.verdict(fingerprint);
        if verdict == Verdict::Refused {
            return Some(End::Failed(quarantined(self.trace)));
        }
        let is_isolated = verdict == Verdict::Isolated;
        let Some((upstream, _in_flight, suspect_guard)) = self.choose(Stage::Decode, is_isolated)
        else {
            return Some(End::Failed(forward::no_upstream(self.trace)));
        };
        self.trace.attempted.push(upstream.id.clone());
        let boot_id = upstream.report().map(|(load, _)| load.boot_id);
        let failure = match self.send(&upstream, is_isolated) {
            Step::End(end) => {
                if is_isolated && matches!(end, End::Completed) {
                    self.core.quarantine.clear(fingerprint);
                }
                return Some(end);
            }
            Step::Migrate => {
                self.migrated_from = Some(upstream.address);
                return None;
            }
            Step::Retry => return None,
            Step::Failed(failure) => failure,
        };
        let next = self.recover(&upstream, boot_id, failure);
        drop(suspect_guard);
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

    fn record_loss(&mut self, upstream: &Arc<Upstream>, is_restarted: bool, failure: &Failure) {
        let now = self.core.clock.now();
        self.avoided.push(upstream.id.clone());
        if !is_restarted {
            upstream.record_failure(now);
        }
        let is_crash = is_restarted || matches!(failure, Failure::Lost(_));
        if is_crash {
            let suspect = self.core.quarantine.record_crash(self.call.digest(), now);
            if let Some(peers) = self.core.peers.get() {
                peers.tell_suspects(&self.core.members.all(), &[suspect]);
            }
        }
    }

    fn may_retry(&self, failure: &Failure) -> Option<End> {
        let is_late =
            self.trace.first_token_at.is_none() && self.core.clock.now() >= self.call.deadline();
        match !is_late && self.core.budget.try_spend() {
            true => None,
            false => Some(End::Failed(Problem::unknown(failure.to_string()))),
        }
    }

    fn choose(&mut self, stage: Stage, is_isolated: bool) -> Option<Selected> {
        if stage == Stage::Decode {
            if let Some((upstream, in_flight)) = self.migrate_to.take() {
                return Some((upstream, in_flight, None));
            }
            if let Some(upstream) = self.resumes_on.take() {
                let in_flight = InFlight::new(&upstream);
                return Some((upstream, in_flight, None));
            }
        }
        if !is_isolated {
            let (upstream, in_flight) = self.choose_now(stage, false)?;
            return Some((upstream, in_flight, None));
        }
        let give_up_at = self.core.clock.now() + ISOLATION_TIMEOUT;
        while self.core.clock.now() < give_up_at {
            let chosen = self.choose_now(stage, true);
            if let Some((upstream, in_flight)) = chosen
                && let Some(suspect_guard) = SuspectGuard::set(&upstream)
            {
                return Some((upstream, in_flight, Some(suspect_guard)));
            }
            self.core.clock.sleep(ISOLATION_POLL_INTERVAL);
        }
        None
    }

    fn choose_now(&self, stage: Stage, is_isolated: bool) -> Option<(Arc<Upstream>, InFlight)> {
        let permitted = self.core.members.usable_domains(self.core.clock.now());
        let criteria = Criteria {
            stage,
            domain: &self.core.settings.domain,
            permitted: &permitted,
            tried: &self.avoided,
            prefix: self.call.prefix(),
            is_isolated,
        };
        let upstreams = self.core.table.of(&self.call.service.name);
        loop {
            let upstream =
                route::choose(&upstreams, &criteria, &self.core.index, &mut rand::rng())?;
            if let Some(in_flight) = InFlight::begin(&upstream) {
                return Some((upstream, in_flight));
            }
        }
    }

    fn send(&mut self, upstream: &Arc<Upstream>, is_isolated: bool) -> Step {
        let mut body = self.completion.body.clone();
        body["stream"] = Value::Bool(true);
        if upstream.role() == Role::Decode && self.progress.next_token == 0 {
            match self.prefill(&body, is_isolated) {
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
        if let Some(address) = self.migrated_from.take() {
            let handle = self.call.request.to_string();
            body["kv"] = json!({ "handle": handle, "address": address.to_string() });
        }
        let silence = self.core.settings.limits.silence;
        let response = match self.post(upstream, &self.call.path, &body, silence) {
            Ok(response) => response,
            Err(failure) => return Step::Failed(failure),
        };
        if let Some(prefix) = self.call.prefix() {
            self.core.index.add(prefix, &upstream.id);
        }
        match response.status {
            200 => self.relay_events(upstream, response),
            status => pass_refusal(status, response),
        }
    }

    /// Has a prefill engine process the prompt, and returns the handle of its KV cache.
    ///
    /// A failure counts against the prefill engine, not against the decode engine.
    fn prefill(&mut self, body: &Value, is_isolated: bool) -> Result<Value, Step> {
        let Some((upstream, _in_flight, suspect_guard)) = self.choose(Stage::Prefill, is_isolated)
        else {
            return Err(Step::End(End::Failed(forward::no_upstream(self.trace))));
        };
        self.trace.attempted.push(upstream.id.clone());
        let boot_id = upstream.report().map(|(load, _)| load.boot_id);
        self.request_prefill(&upstream, body).map_err(|failure| {
            let end = self.recover(&upstream, boot_id, failure);
            self.resumes_on = None;
            drop(suspect_guard);
            end.map_or(Step::Retry, Step::End)
        })
    }

    fn request_prefill(&mut self, upstream: &Upstream, body: &Value) -> Result<Value, Failure> {
        let remaining = self
            .call
            .deadline()
            .saturating_duration_since(self.core.clock.now());
        let silence = remaining.max(self.core.settings.limits.silence);
        let response = self.post(upstream, "/v1/prefill", body, silence)?;
        if response.status != 200 {
            return Err(Failure::Lost(format!(
                "prefill answered {}",
                response.status
            )));
        }
        let reply: Value = serde_json::from_slice(&response.bytes()?)
            .map_err(|cause| Failure::Lost(cause.to_string()))?;
        Ok(reply["kv"].clone())
    }

    fn post(
        &mut self,
        upstream: &Upstream,
        path: &str,
        body: &Value,
        silence: Duration,
    ) -> Result<Response, Failure> {
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
            self.trace.sent_at.get_or_insert(sent);
        }
        result
    }

    fn relay_events(&mut self, upstream: &Upstream, response: Response) -> Step {
        let mut events = response.events();
        let mut migrate_at = None;
        loop {
            let data = match events.next_data() {
                Ok(Some(data)) => data,
                Ok(None) => return lost("the stream ended early"),
                Err(cause) => return Step::Failed(cause.into()),
            };
            if data == "[DONE]" {
                return match self.progress.is_finished {
                    true => Step::End(End::Completed),
                    false => lost("the stream ended without its last token"),
                };
            }
            if let Some(step) = self.deliver_event(&data) {
                return step;
            }
            if upstream.draining.load(Ordering::SeqCst) {
                let now = self.core.clock.now();
                let migrate_at = *migrate_at.get_or_insert(now + MIGRATION_DELAY);
                if now >= migrate_at && self.find_migration_target() {
                    return Step::Migrate;
                }
            }
        }
    }

    /// Selects an engine for a stream that has to migrate; returns `false` if it stays where it is.
    fn find_migration_target(&mut self) -> bool {
        self.migrate_to = match self.progress.is_finished {
            true => None,
            false => self.choose_now(Stage::Decode, false),
        };
        self.migrate_to.is_some()
    }

    fn deliver_event(&mut self, data: &str) -> Option<Step> {
        let Ok(event) = serde_json::from_str::<Value>(data) else {
            return Some(lost("an event is no JSON"));
        };
        let is_same_request = event["request_id"] == self.call.request.to_string();
        let token = event["token_index"].as_u64();
        match token {
            Some(token) if is_same_request && token == self.progress.next_token => {}
            Some(token) if is_same_request && token < self.progress.next_token => return None,
            _ => return Some(lost("the stream skipped a token or is another request's")),
        }
        if self.sink.event(data, &event).is_err() {
            return Some(Step::End(End::CallerDisconnected));
        }
        self.progress.next_token += 1;
        self.progress.text.push_str(deliver::text_of(&event));
        self.progress.is_finished = !event["choices"][0]["finish_reason"].is_null();
        let now: Instant = self.core.clock.now();
        self.trace.record_token(now);
        None
    }
}

fn lost(detail: &str) -> Step {
    Step::Failed(Failure::Lost(detail.to_owned()))
}

fn pass_refusal(status: u16, response: Response) -> Step {
    match response.bytes() {
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

fn quarantined(trace: &Trace) -> Problem {
    let detail = "upstreams were lost each time that this request ran";
    match trace.sent_at {
        None => Problem::not_run(422, "quarantined", detail),
        Some(_) => Problem {
            status: 422,
            title: "quarantined".into(),
            ..Problem::ran(detail)
        },
    }
}

/// Guard that marks an upstream as running a suspect until it is dropped.
struct SuspectGuard(Arc<Upstream>);

impl SuspectGuard {
    fn set(upstream: &Arc<Upstream>) -> Option<Self> {
        let was_set = upstream.holds_suspect.swap(true, Ordering::SeqCst);
        (!was_set).then(|| SuspectGuard(Arc::clone(upstream)))
    }
}

impl Drop for SuspectGuard {
    fn drop(&mut self) {
        self.0.holds_suspect.store(false, Ordering::SeqCst);
    }
}
