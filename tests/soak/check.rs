//! The promises, checked from what callers and upstreams saw.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use pistachiohall::standin::fleet::mortal;
use pistachiohall::standin::fleet::mortal::CrashingUpstream;
use pistachiohall::standin::fleet::replica::ReceivedRequest;
use serde_json::Value;

use super::account;
use super::account::Account;
use super::caller;
use super::caller::Call;
use super::caller::Kind;

/// Time beyond a caller's patience in which an answer has to come on a machine that is busy with
/// other tests; the promise is half a second.
const ANSWER_SLACK: Duration = Duration::from_secs(3);
/// Time after which a leaving upstream gets no new work, while nothing else is wrong.
const LEAVE_TIME: Duration = Duration::from_secs(2);
/// Time beyond it on a machine that is busy with other tests.
const LEAVE_SLACK: Duration = Duration::from_secs(3);
/// Value of the field by which an upstream asks for a pause.
pub const PAUSE_TEXT: &str = "2";
/// The pause.
const PAUSE: Duration = Duration::from_secs(2);
/// Time after the question for a pause from which requests count, and how many may come then.
const PAUSE_START: Duration = Duration::from_millis(500);
const PAUSE_REQUESTS: usize = 2;
/// Time after the last permitted end from which sends of what ends its upstreams count, and how many
/// may come then.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
const DEADLY_SENDS: usize = 3;
/// Ends that a request may cause, and those that a prompt block may.
const REQUEST_ENDS: usize = 3;
const BLOCK_ENDS: usize = 5;
/// Field by which an upstream names a limit.
const LIMIT_FIELD: &str = "server-limit";
/// Time after an answer with a limit from which requests count, and the span that they are counted in.
const LIMIT_START: Duration = Duration::from_millis(500);
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Body of a plain answer.
const PLAIN: &str = "the whole answer";
/// Statuses that say that a request has not run and will not.
const REFUSALS: [u16; 4] = [408, 421, 429, 503];
/// Statuses that leave open whether it ran.
const FAILURES: [u16; 2] = [502, 504];

/// A span in which a gateway's process was stopped, ending or gone.
#[derive(Debug, Clone, Copy)]
pub struct Disturbance {
    /// Gateway.
    pub gateway: usize,
    /// Begin.
    pub from: Instant,
    /// End.
    pub until: Instant,
    /// Whether the process was asked to end, and nothing else was done to it.
    pub is_planned: bool,
}

/// Checks all calls against what upstreams saw; returns the promises that were broken.
pub fn calls(
    calls: &[Call],
    seen: &[ReceivedRequest],
    disturbances: &[Disturbance],
) -> Vec<String> {
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for seen in seen.iter().filter(|seen| seen.ran) {
        *runs
            .entry(seen.field("pistachiohall-request-id"))
            .or_default() += 1;
    }
    let arrived: HashSet<&str> = seen
        .iter()
        .map(|seen| seen.field("pistachiohall-request-id"))
        .collect();
    let mut broken = Vec::new();
    for call in calls {
        let runs = runs.get(call.id.as_str()).copied().unwrap_or_default();
        let mut fault = |text: String| {
            broken.push(format!(
                "{} {:?} at gateway {}: {text}",
                call.id, call.kind, call.gateway
            ));
        };
        if call.kind.runs_once() && runs > 1 {
            fault(format!("ran {runs} times"));
        }
        let is_disturbed = disturbances.iter().any(|disturbance| {
            disturbance.gateway == call.gateway
                && disturbance.from <= call.ended
                && call.begun <= disturbance.until
        });
        if !is_disturbed {
            let took = call.ended.saturating_duration_since(call.sent);
            if took > caller::PATIENCE + ANSWER_SLACK {
                fault(format!("took {took:?}"));
            }
            if call.answer.is_none() {
                fault("got no answer".into());
            }
        }
        let is_passed_on = arrived.contains(call.id.as_str());
        if call.answer.is_none() && is_passed_on && is_stopped(call, disturbances) {
            fault("was passed on in a planned stop and got no answer".into());
        }
        if let Some(text) = call
            .answer
            .as_ref()
            .and_then(|_| answer(call, runs, is_disturbed))
        {
            fault(text);
        }
    }
    broken
}

/// Returns whether a call was open during a planned stop of its gateway, and nothing else happened to that
/// meanwhile.
fn is_stopped(call: &Call, disturbances: &[Disturbance]) -> bool {
    let mut during = disturbances
        .iter()
        .filter(|disturbance| {
            disturbance.gateway == call.gateway
                && disturbance.from <= call.ended
                && call.begun <= disturbance.until
        })
        .peekable();
    during.peek().is_some() && during.all(|disturbance| disturbance.is_planned)
}

/// Checks a gateway that was asked to end and gave up at `end`: only a connection on which a part of a head
/// had come is left open. Returns the promise that was broken.
pub fn unfinished(gateway: usize, end: Instant, calls: &[Call]) -> Option<String> {
    let is_begun = |call: &Call| call.begun < end && call.sent >= end;
    let mut own = calls.iter().filter(|call| call.gateway == gateway);
    let text = format!("gateway {gateway} gave up a request");
    (!own.any(is_begun)).then_some(text)
}

/// Checks what an upstream saw that had left when all was calm at `calm`, or before; returns the
/// promises that were broken.
pub fn departure(name: &str, seen: &[ReceivedRequest], calm: Instant) -> Vec<String> {
    let late = seen
        .iter()
        .map(|seen| (seen, seen.at.saturating_duration_since(calm)))
        .filter(|(_, after)| *after > LEAVE_TIME + LEAVE_SLACK);
    late.map(|(seen, after)| {
        let id = seen.field("pistachiohall-request-id");
        format!("{id} reached {name} {after:?} after it had left")
    })
    .collect()
}

/// Checks what became of upstreams that a request ends: some seconds after the third has ended, the
/// request reaches them in three retries at the most. Returns the promises that were broken.
pub fn deadly(frail: &[CrashingUpstream]) -> Option<String> {
    let is_deadly = |seen: &ReceivedRequest| seen.path.ends_with(mortal::DEADLY);
    let (late, ends) = late_sends(frail, REQUEST_ENDS, is_deadly);
    let text = format!("{late} retries of a request that has ended {ends}");
    (late > DEADLY_SENDS).then_some(text)
}

/// Checks the same of upstreams that a prompt block ends, some seconds after the fifth has ended.
pub fn deadly_block(frail: &[CrashingUpstream]) -> Option<String> {
    let is_deadly = |seen: &ReceivedRequest| {
        let blocks = seen.field("pistachiohall-prompt-prefix");
        blocks.contains(mortal::DEADLY_BLOCK)
    };
    let (late, ends) = late_sends(frail, BLOCK_ENDS, is_deadly);
    let text = format!("{late} sends of a block that has ended {ends}");
    (late > DEADLY_SENDS).then_some(text)
}

/// Returns how many deadly requests upstreams got some seconds after `max_ends` of them had ended,
/// and how many ended in all.
fn late_sends<F>(frail: &[CrashingUpstream], max_ends: usize, is_deadly: F) -> (usize, usize)
where
    F: Fn(&ReceivedRequest) -> bool,
{
    let mut ends: Vec<Instant> = frail.iter().flat_map(CrashingUpstream::ends).collect();
    ends.sort_unstable();
    let Some(last) = ends.get(max_ends - 1) else {
        return (0, ends.len());
    };
    let seen = frail.iter().flat_map(CrashingUpstream::received);
    let late = seen.filter(|seen| is_deadly(seen) && seen.at > *last + STABLE_WINDOW);
    (late.count(), ends.len())
}

/// What an upstream said of itself in its answers, and which requests it got.
pub struct Said<'a> {
    /// Name of the upstream.
    pub upstream: &'a str,
    /// All calls.
    pub calls: &'a [Call],
    /// What it saw.
    pub seen: &'a [ReceivedRequest],
    /// What happened to the gateways.
    pub disturbances: &'a [Disturbance],
    /// Requests a second that its answers allow all gateways together.
    pub limit_per_s: Option<f64>,
}

impl Said<'_> {
    /// Returns the promises that were broken.
    pub fn broken(&self) -> Vec<String> {
        let calls: HashMap<&str, &Call> = self
            .calls
            .iter()
            .map(|call| (call.id.as_str(), call))
            .collect();
        let sent: Vec<(&ReceivedRequest, &Call)> = self
            .seen
            .iter()
            .filter_map(|seen| Some((seen, *calls.get(seen.field("pistachiohall-request-id"))?)))
            .collect();
        let gateways = self.calls.iter().map(|call| call.gateway).max();
        let gateways = 0..=gateways.unwrap_or_default();
        let beyond_limit = self.beyond_limit(&sent);
        gateways
            .flat_map(|gateway| {
                let own: Vec<_> = sent
                    .iter()
                    .copied()
                    .filter(|(_, call)| call.gateway == gateway)
                    .collect();
                let mut broken = self.after_leaving(gateway, &own);
                broken.extend(self.within_pause(gateway, &own));
                broken
            })
            .chain(beyond_limit)
            .collect()
    }

    /// Counts the requests of the gateways that had passed on an answer with the limit.
    fn beyond_limit(&self, sent: &[(&ReceivedRequest, &Call)]) -> Option<String> {
        let limit = self.limit_per_s?;
        let told_at = |gateway| {
            let told = sent.iter().filter(|(seen, call)| {
                let answer = call.answer.as_ref();
                let is_told = answer.is_some_and(|answer| answer.fields.contains_key(LIMIT_FIELD));
                is_told && seen.ran && call.gateway == gateway
            });
            told.map(|(_, call)| call.ended).min()
        };
        let gateways: BTreeSet<usize> = sent.iter().map(|(_, call)| call.gateway).collect();
        let told: HashMap<usize, Instant> = gateways
            .into_iter()
            .filter_map(|gateway| Some((gateway, told_at(gateway)?)))
            .collect();
        let first = *told.values().min()?;
        let counts = |(seen, call): &&(&ReceivedRequest, &Call)| {
            let is_told = told
                .get(&call.gateway)
                .is_some_and(|told| seen.at > *told + LIMIT_START);
            let is_excused = self.is_disturbed(call.gateway, seen.at - STABLE_WINDOW, seen.at);
            is_told && !is_excused && seen.at > first + STABLE_WINDOW
        };
        let mut arrivals: Vec<Instant> = sent
            .iter()
            .filter(counts)
            .map(|(seen, _)| seen.at)
            .collect();
        arrivals.sort_unstable();
        let in_window = |from: usize| {
            let rest = arrivals[from..].iter();
            let until = arrivals[from] + LIMIT_WINDOW;
            rest.take_while(|at| **at < until).count()
        };
        let busiest = (0..arrivals.len()).map(in_window).max()?;
        let allowed = 1.5 * limit * LIMIT_WINDOW.as_secs_f64() + 5.0;
        (busiest as f64 > allowed).then(|| {
            let upstream = self.upstream;
            format!("{busiest} requests in 4 s reached {upstream}; its limit allows {allowed}")
        })
    }

    /// A restart or a freeze of the gateway excuses what it forgot.
    fn is_disturbed(&self, gateway: usize, from: Instant, until: Instant) -> bool {
        self.disturbances
            .iter()
            .any(|one| one.gateway == gateway && one.until >= from && one.from <= until)
    }

    fn after_leaving(&self, gateway: usize, sent: &[(&ReceivedRequest, &Call)]) -> Vec<String> {
        // The head that the caller got is of the upstream that ran the request.
        let told = sent.iter().filter(|(seen, call)| {
            let answer = call.answer.as_ref();
            let is_told = answer.is_some_and(|answer| answer.fields.contains_key("server-leaving"));
            is_told && seen.ran && seen.said_leaving
        });
        let Some(told) = told.map(|(_, call)| call.ended).min() else {
            return Vec::new();
        };
        let late = sent.iter().filter(|(seen, call)| {
            call.sent > told + LEAVE_TIME && !self.is_disturbed(gateway, told, seen.at)
        });
        late.map(|(_, call)| {
            format!(
                "{} reached {} by gateway {gateway}, which had passed on that it leaves",
                call.id, self.upstream
            )
        })
        .collect()
    }

    fn within_pause(&self, gateway: usize, sent: &[(&ReceivedRequest, &Call)]) -> Vec<String> {
        let asked = sent.iter().filter(|(seen, _)| seen.asked_pause);
        asked
            .filter_map(|(asked, _)| {
                let within = sent
                    .iter()
                    .filter(|(seen, _)| {
                        seen.at > asked.at + PAUSE_START && seen.at < asked.at + PAUSE
                    })
                    .count();
                let is_disturbed = self.is_disturbed(gateway, asked.at, asked.at + PAUSE);
                (within > PAUSE_REQUESTS && !is_disturbed).then(|| {
                    format!(
                        "{within} requests of gateway {gateway} reached {} in its pause",
                        self.upstream
                    )
                })
            })
            .collect()
    }
}

/// Returns what is wrong with an answer.
fn answer(call: &Call, runs: usize, is_disturbed: bool) -> Option<String> {
    let answer = call.answer.as_ref()?;
    let is_refusal = REFUSALS.contains(&answer.status);
    // A request that may run twice gets the upstream's own failure, whatever its status.
    let is_own = answer.fields.contains_key("pistachiohall-server-stamp");
    if is_own && answer.body == "failed" && !call.kind.runs_once() {
        return None;
    }
    if is_refusal && runs > 0 {
        return Some(format!("was called not run and ran {runs} times"));
    }
    match (answer.status, call.kind) {
        (200, _) if answer.fields.get("pistachiohall-request-id") != Some(&call.id) => {
            Some(format!(
                "got the answer to {:?}",
                answer.fields.get("pistachiohall-request-id")
            ))
        }
        (200, Kind::Read | Kind::Act) if !answer.is_complete && !is_disturbed => {
            Some("got a plain answer cut short".into())
        }
        (200, Kind::Read | Kind::Act) if answer.is_complete && answer.body != PLAIN => {
            Some(format!("got another body: {:?}", answer.body))
        }
        (200, Kind::Ask | Kind::Draft) if !is_right_stream(&answer.body, answer.is_complete) => {
            Some(format!(
                "got wrong events (whole: {}): {:?}",
                answer.is_complete, answer.body
            ))
        }
        (200, _) => None,
        (500, _) if answer.body == "failed" => None,
        // Only the key of the account that loses it may be called wrong; when, is checked apart.
        (401, _) if runs == 0 && call.account.is_some_and(Account::is_revoked) => None,
        (status, _) if is_refusal || FAILURES.contains(&status) => None,
        (status, _) => Some(format!("got status {status}: {:?}", answer.body)),
    }
}

/// Returns whether a body holds the events in order, all of them if it is whole.
fn is_right_stream(body: &str, is_complete: bool) -> bool {
    let right: String = (1..=caller::TOKENS)
        .map(|number| format!("id: {number}\ndata: token {number}\n\n"))
        .collect();
    let ends_at_event = body.is_empty() || body.ends_with("\n\n");
    match is_complete {
        true => body == right,
        false => right.starts_with(body) && ends_at_event,
    }
}

/// Checks the log of one life of a gateway; returns the promises that were broken.
pub fn log(gateway: usize, text: &str) -> Vec<String> {
    let mut broken = Vec::new();
    let mut config = 0;
    if account::has_key(text) {
        broken.push(format!("gateway {gateway}: a key in the log"));
    }
    for line in text.lines() {
        let line: Value = match serde_json::from_str(line) {
            Ok(line) => line,
            // A killed process may leave half a line, as its last one.
            Err(_) => continue,
        };
        if line["event"] == "configuration in force" {
            let version = line["config"].as_u64().unwrap_or_default();
            if version <= config {
                broken.push(format!(
                    "gateway {gateway}: configuration {version} after {config}"
                ));
            }
            config = version;
        }
        if line["level"] == "ERROR" {
            broken.push(format!("gateway {gateway}: {line}"));
        }
    }
    broken
}
