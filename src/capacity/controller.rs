//! Orders for one service over time: what was ordered, what came of it, and when to reduce.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::Counts;
use super::Domains;
use super::Need;
use super::Plan;
use super::demand::ByDomain;
use super::demand::Rate;
use super::history::History;
use crate::catalog::Scale;
use crate::catalog::Service;
use crate::fleet::Entry;
use crate::fleet::State;
use crate::id::DomainId;
use crate::platform::duties::CapacityOrder;
use crate::platform::duties::Outcome;

/// Time for which demand is recorded before the first order.
const MIN_HISTORY: Duration = Duration::from_secs(4);
/// Time for which demand is recorded before the first reduction.
const MIN_REDUCTION_HISTORY: Duration = Duration::from_secs(8);
/// Minimum time between two reductions: shared blocks of the upstreams that leave are prefilled
/// elsewhere meanwhile.
const REDUCTION_INTERVAL: Duration = Duration::from_secs(2);
/// Time beyond the start of an upstream within which an order shows in the registry.
const EFFECT_MARGIN: Duration = Duration::from_secs(2);
/// Time after which upstreams that could not be had are ordered again.
const DENIAL: Duration = Duration::from_secs(3);
/// Time within which an order isn't repeated for one missing upstream, which may just restart.
const REPEAT_INTERVAL: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, Copy)]
struct Sent {
    desired: usize,
    at: Instant,
    has_effect: bool,
}

/// Orders to be sent, and why.
#[derive(Debug, Clone, PartialEq)]
pub struct Decision {
    /// Orders; those for more upstreams come first.
    pub orders: Vec<CapacityOrder>,
    /// Numbers that the service should have.
    pub plan: Plan,
    /// Work that arrives now.
    pub rate: Rate,
    /// Work to be ready for, in busy upstreams.
    pub expected: f64,
}

/// State of the orders of one service.
#[derive(Debug, Default)]
pub struct Controller {
    history: History,
    sent: HashMap<(DomainId, bool), Sent>,
    denied: HashMap<DomainId, Instant>,
    increased_at: Option<Instant>,
    reduced_at: Option<Instant>,
}

impl Controller {
    /// Decides what to order at `now`; `None` before demand is known or if the service has no valid
    /// range.
    ///
    /// Nothing counts as ordered until [`Controller::record`] is told so.
    pub fn decide(
        &mut self,
        service: &Service,
        entries: &[Entry],
        demand: &ByDomain,
        second_worth: f64,
        now: Instant,
    ) -> Option<Decision> {
        let scale = service.scale.as_ref()?;
        let rate = demand.values().copied().fold(Rate::default(), Rate::plus);
        if rate.requests <= 0.0 && self.history.present() <= 0.0 {
            return None;
        }
        self.history.record(rate.work(), now);
        let domains = self.domains(service, entries, demand, now);
        if self.history.age(now) < MIN_HISTORY {
            return None;
        }
        let work = rate.work().max(1e-3);
        let need = Need {
            present: rate.work(),
            usual: self.history.usual(),
            expected: self.history.expected(),
            saved_share: rate.saved / work,
            served_per_s: rate.requests / work,
            second_worth,
        };
        let plan = super::plan(scale, &need, &domains)?;
        let next = super::next(&plan, &domains, self.may_reduce(scale, now));
        let mut orders = Vec::new();
        for (id, counts) in &next {
            let ordered = domains
                .get(id)
                .map_or(Counts::default(), |domain| domain.ordered);
            let kinds = [
                (false, counts.stable, ordered.stable),
                (true, counts.withdrawable, ordered.withdrawable),
            ];
            for (is_spot, desired, ordered) in kinds {
                let is_repeated = self.is_repeated(&(id.clone(), is_spot), desired, ordered, now);
                if desired != ordered && !is_repeated {
                    let order = CapacityOrder {
                        service: service.name.clone(),
                        domain: id.clone(),
                        desired,
                        is_spot,
                    };
                    orders.push((desired < ordered, order));
                }
            }
        }
        orders.sort_by_key(|(is_reduction, order)| (*is_reduction, !order.is_spot));
        Some(Decision {
            orders: orders.into_iter().map(|(_, order)| order).collect(),
            plan,
            rate,
            expected: need.expected,
        })
    }

    /// Records the outcome of an order that was sent at `now` for a kind of which `before` took work.
    pub fn record(
        &mut self,
        order: &CapacityOrder,
        before: usize,
        outcome: &Outcome,
        now: Instant,
    ) {
        match outcome {
            Outcome::Accepted | Outcome::Unknown(_) => {
                let key = (order.domain.clone(), order.is_spot);
                let sent = Sent {
                    desired: order.desired,
                    at: now,
                    has_effect: false,
                };
                self.sent.insert(key, sent);
                match order.desired < before {
                    true => self.reduced_at = Some(now),
                    false => self.increased_at = Some(now),
                }
            }
            Outcome::Conflict if order.is_spot => {
                self.denied.insert(order.domain.clone(), now);
            }
            Outcome::Conflict | Outcome::Refused(_) | Outcome::NotSent(_) => (),
        }
    }

    fn may_reduce(&self, scale: &Scale, now: Instant) -> bool {
        let is_past = |at: Option<Instant>, time: Duration| {
            at.is_none_or(|at| now.saturating_duration_since(at) >= time)
        };
        self.history.age(now) >= MIN_REDUCTION_HISTORY
            && is_past(self.reduced_at, REDUCTION_INTERVAL)
            && is_past(self.increased_at, scale.boot_duration + EFFECT_MARGIN)
    }

    /// Returns `true` if the same number was ordered lately and only one upstream is missing.
    fn is_repeated(
        &self,
        key: &(DomainId, bool),
        desired: usize,
        ordered: usize,
        now: Instant,
    ) -> bool {
        let sent = self.sent.get(key).filter(|sent| sent.desired == desired);
        desired == ordered + 1
            && sent.is_some_and(|sent| now.saturating_duration_since(sent.at) < REPEAT_INTERVAL)
    }

    /// Returns the state by failure domain: each one that has an upstream, a price or demand.
    fn domains(
        &mut self,
        service: &Service,
        entries: &[Entry],
        demand: &ByDomain,
        now: Instant,
    ) -> Domains {
        let mut domains = Domains::new();
        let listed = entries.iter().filter(|entry| entry.service == service.name);
        for entry in listed {
            let domain = domains.entry(entry.domain.clone()).or_default();
            match (entry.state, entry.may_be_withdrawn) {
                (State::Ready, false) => domain.serving.stable += 1,
                (State::Ready, true) => domain.serving.withdrawable += 1,
                (State::Draining, _) => (),
            }
        }
        let scale = service.scale.as_ref();
        let priced = scale
            .into_iter()
            .flat_map(|scale| scale.domain_prices.keys());
        for id in priced {
            domains.entry(id.clone()).or_default();
        }
        let boot = scale.map_or(Duration::ZERO, |scale| scale.boot_duration);
        for (id, domain) in &mut domains {
            domain.ordered = Counts {
                stable: self.ordered(id, false, domain.serving.stable, boot, now),
                withdrawable: self.ordered(id, true, domain.serving.withdrawable, boot, now),
            };
            let denied = self.denied.get(id);
            domain.has_withdrawable =
                denied.is_none_or(|at| now.saturating_duration_since(*at) >= DENIAL);
            domain.is_heard = demand.contains_key(id);
        }
        domains
    }

    /// Returns the number ordered if the order may still take effect, and else the number serving.
    fn ordered(
        &mut self,
        id: &DomainId,
        is_spot: bool,
        serving: usize,
        boot: Duration,
        now: Instant,
    ) -> usize {
        let Some(sent) = self.sent.get_mut(&(id.clone(), is_spot)) else {
            return serving;
        };
        sent.has_effect |= serving == sent.desired;
        let is_pending =
            !sent.has_effect && now.saturating_duration_since(sent.at) < boot + EFFECT_MARGIN;
        match is_pending {
            true => sent.desired,
            false => serving,
        }
    }
}
