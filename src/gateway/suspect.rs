//! Requests that may end the upstreams that run them: what the request loop notes of them.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use log::info;

use super::Gateway;
use super::call::Call;
use super::exchange::Failure;
use super::exchange::Work;
use super::target::Target;
use crate::gossip;
use crate::id::CallId;
use crate::id::Fingerprint;
use crate::logging::sample::Sampler;
use crate::logging::sample::Verdict;

/// Exchanges without an answer that are logged in a second; the others are counted.
const LOST_LINES: u32 = 20;

/// Bounds the lines that tell of exchanges without an answer.
#[derive(Debug)]
pub struct Lines(RefCell<Sampler>);

impl Default for Lines {
    fn default() -> Self {
        Lines(RefCell::new(Sampler::new(LOST_LINES)))
    }
}

/// Watches over one exchange until its answer is whole. One that is dropped before is lost: the
/// caller has left, and whether the upstream has ended is not known.
#[derive(Debug)]
pub struct Watch {
    gateway: Rc<Gateway>,
    request: CallId,
    fingerprint: Fingerprint,
    body: usize,
    target: Rc<Target>,
    work: &'static str,
    is_over: bool,
}

impl Watch {
    /// Starts to watch a request that is about to be sent to `target`.
    pub fn new(gateway: &Rc<Gateway>, call: &Call, target: &Rc<Target>, work: Work<'_>) -> Self {
        Watch {
            gateway: Rc::clone(gateway),
            request: call.ask.id.clone(),
            fingerprint: call.fingerprint(),
            body: call.body.len(),
            target: Rc::clone(target),
            work: work.name(),
            is_over: false,
        }
    }

    /// Notes that the exchange failed.
    pub fn fail(&mut self, failure: &Failure, now: Instant) {
        self.is_over = true;
        match failure {
            Failure::Broken(_) | Failure::Silent => self.lose(failure, now),
            _ => (),
        }
    }

    /// Notes how the exchange ended.
    pub fn note<T>(&mut self, ended: &Result<T, Failure>) {
        match ended {
            Ok(_) => self.succeed(),
            Err(failure) => self.fail(failure, Instant::now()),
        }
    }

    /// Notes that the upstream's answer was whole.
    pub fn succeed(&mut self) {
        self.is_over = true;
    }

    fn lose<E>(&self, cause: &E, now: Instant)
    where
        E: std::fmt::Display,
    {
        self.gateway.counters.add("exchanges_lost");
        let verdict = self.gateway.suspect_lines.0.borrow_mut().judge(now);
        if let Verdict::Keep(left_out) = verdict {
            info!(
                request:% = self.request,
                fingerprint:% = format_args!("{:016x}", self.fingerprint),
                upstream:% = self.target.row.id,
                born = self.target.row.born,
                work = self.work,
                body = self.body,
                cause:% = cause,
                left_out = left_out,
                outcome = "lost";
                "exchange ended without an answer"
            );
        }
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if !self.is_over {
            self.lose(&"the caller left", Instant::now());
        }
    }
}

/// Notes that a request may have crashed the upstream that ran it.
pub fn note_crash(gateway: &Gateway, call: &Call, failure: &Failure, now: Instant) {
    if matches!(failure, Failure::Broken(_)) && !call.body.is_empty() {
        let suspect = gateway.quarantine.note_crash(call.fingerprint(), now);
        gateway.news.borrow_mut().suspects.push(gossip::Suspect {
            fingerprint: suspect.fingerprint,
            crashes: u32::from(suspect.crashes),
        });
    }
}
