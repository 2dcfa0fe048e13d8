//! Proof that an engine is still the incarnation that its entry describes, before a stream counts as of its build.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use log::info;

use super::Gateway;
use super::exchange;
use super::open::Progress;
use super::target::Target;
use crate::platform::egress;
use crate::upstream::Role;

/// Reason for not sending a stream to an engine that may be of another build.
pub const UNPROVED: &str = "the engine has not shown that it is the one of its entry";
/// Maximum wait for an engine's report before the rest of a stream is sent there.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// The same before a new stream, which goes there without an answer: a few round trips.
const NEW_STREAM_TIMEOUT: Duration = Duration::from_millis(50);

/// Returns `true` if a stream may count as of the build in a target's entry. The engine is asked for its start if it
/// may have started again without this host's knowledge.
pub async fn prove(gateway: &Gateway, progress: &Progress, target: &Rc<Target>) -> bool {
    if !is_proof_needed(gateway, progress, target) {
        return true;
    }
    let sent_at = Instant::now();
    let is_new = progress.build.is_none();
    let timeout = match is_new {
        true => NEW_STREAM_TIMEOUT,
        false => REPORT_TIMEOUT,
    };
    let until = progress.call.deadline.min(sent_at + timeout);
    let path = egress::REPORT_PATH;
    let report = exchange::call_own(gateway, target, Method::GET, path, until).await;
    let started_at = report
        .ok()
        .and_then(|report| egress::started_at(&report.body));
    gateway.metrics.add("incarnation_probes");
    if started_at == Some(target.entry.started_at) {
        target.trust(sent_at, Instant::now());
        return true;
    }
    target.replace(started_at.is_some());
    // No answer is no sign of a restart, but the rest of a stream is not sent on a guess.
    if started_at.is_none() && is_new {
        return true;
    }
    info!(
        request:% = progress.call.request.id,
        upstream:% = target.entry.id,
        born = target.entry.started_at,
        born_now:? = started_at,
        outcome = "withheld";
        "engine is not shown to be the one of its entry"
    );
    false
}

fn is_proof_needed(gateway: &Gateway, progress: &Progress, target: &Target) -> bool {
    if !progress.call.route.is_resumable || target.entry.role == Role::Mixed {
        return false;
    }
    if target.is_doubted() {
        return true;
    }
    let read_at = gateway.age_observer.upstreams_known_at(&gateway.view());
    !target.has_proved_connection(read_at, Instant::now())
}
