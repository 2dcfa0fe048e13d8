//! Decides whether a request to a plain service leaves the host's failure domain.

use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;

use super::Gateway;
use super::balance::Candidates;
use super::call::Call;
use super::call::Prompt;
use super::exchange::Failure;
use super::exchange::FullResponse;
use crate::id::DomainId;
use crate::id::ServiceId;
use crate::placement::cost;
use crate::spill;
use crate::spill::Link;
use crate::spill::Offer;
use crate::spill::Reason;
use crate::spill::Verdict;

/// Cost of a failure domain whose link is closed, in seconds; it is used if nothing else is left.
const CLOSED_LINK_COST_S: f64 = 30.0;

/// State of the decisions at this host.
#[derive(Debug, Default)]
pub struct Spiller {
    links: RefCell<HashMap<DomainId, Link>>,
    /// Services whose last request left.
    leaving: RefCell<HashSet<ServiceId>>,
}

impl Spiller {
    fn link(&self, domain: &DomainId) -> Link {
        let links = self.links.borrow();
        links.get(domain).copied().unwrap_or_default()
    }
}

/// Returns the cost of the way to another failure domain for a request, in seconds.
pub fn crossing_s(
    gateway: &Gateway,
    call: &Call,
    domain: &DomainId,
    min: Duration,
    now: Instant,
) -> f64 {
    let Some(terms) = &gateway.settings.spill else {
        return min.as_secs_f64();
    };
    let link = gateway.spiller.link(domain);
    let price = terms.price(call.body.len() as u64);
    let closed_s = match link.is_open(now) {
        true => 0.0,
        false => CLOSED_LINK_COST_S,
    };
    (link.delay(min) + price).as_secs_f64() + closed_s
}

/// Returns the cost of moving a prompt's KV cache to another failure domain.
pub fn kv_crossing(gateway: &Gateway, call: &Call, prompt: &Prompt) -> Duration {
    let catalog = gateway.catalog();
    let service = catalog
        .as_ref()
        .and_then(|catalog| catalog.service(&call.service));
    let engine = service.and_then(|service| service.engine.as_ref());
    let token_bytes = engine.and_then(|engine| engine.kv_token_bytes);
    match (&gateway.settings.spill, token_bytes) {
        (Some(terms), Some(bytes)) => terms.price(prompt.tokens.saturating_mul(bytes)),
        _ => cost::CROSS_DOMAIN_PENALTY,
    }
}

/// Returns the candidates that a request may go to once its choice fell on `index`: those of the
/// host's own failure domain if leaving does not pay, and otherwise `None`.
pub fn confine(
    gateway: &Gateway,
    call: &Call,
    candidates: &Candidates,
    index: usize,
    now: Instant,
) -> Option<Candidates> {
    let terms = gateway.settings.spill.as_ref()?;
    let own = candidates.in_domain(&gateway.settings.domain);
    let mut leaving = gateway.spiller.leaving.borrow_mut();
    let domain = &candidates.targets[index].entry.domain;
    if *domain == gateway.settings.domain {
        leaving.remove(&call.service);
        return None;
    }
    let link = gateway.spiller.link(domain);
    let there = candidates.in_domain(domain);
    let offer = Offer {
        wait: candidates.response(index),
        delay: Duration::from_secs_f64(candidates.places[index].extra_s),
        bytes: call.body.len() as u64,
        spare: there.spare(),
        expected: candidates.unseen + 1.0,
        loads_age: gateway.balancer.board.borrow().age(now),
        is_link_open: link.is_open(now),
    };
    let stay = own.best_cost();
    let is_leaving = leaving.contains(&call.service);
    let draw = rand::rng().random();
    match spill::decide(stay, &offer, terms, is_leaving, draw) {
        Verdict::Leave(gain) => {
            leaving.insert(call.service.clone());
            gateway.metrics.add("spill_requests");
            gateway
                .metrics
                .observe_duration("spill_gain_forecast", gain);
            None
        }
        Verdict::Stay(reason) => {
            leaving.remove(&call.service);
            gateway.metrics.add(match reason {
                Reason::NoGain => "spill_stayed_no_gain",
                Reason::Full => "spill_stayed_full",
                Reason::Stale => "spill_stayed_stale",
                Reason::LinkClosed => "spill_stayed_link_closed",
            });
            (!own.targets.is_empty()).then_some(own)
        }
    }
}

/// Records how a request to another failure domain ended; `excess_s` is the time by which its
/// answer came later than was forecast.
pub fn record(
    gateway: &Gateway,
    domain: &DomainId,
    ended: &Result<FullResponse, Failure>,
    excess_s: f64,
    now: Instant,
) {
    if gateway.settings.spill.is_none() || *domain == gateway.settings.domain {
        return;
    }
    let mut links = gateway.spiller.links.borrow_mut();
    let link = links.entry(domain.clone()).or_default();
    match ended {
        Ok(response) => {
            link.record_answer(excess_s);
            let bytes = response.body.len() as u64;
            gateway.metrics.add_many("spill_bytes", bytes);
        }
        Err(Failure::Unreachable(_) | Failure::Silent) => link.record_loss(now),
        Err(_) => (),
    }
}
