//! Demand of this host and its peers, for the orders of upstreams.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;

use super::Gateway;
use super::call::Call;
use crate::capacity::demand::Rate;
use crate::capacity::demand::Reports;
use crate::capacity::duty;
use crate::capacity::duty::Outlook;
use crate::gossip;
use crate::gossip::Datagram;
use crate::id::DomainId;
use crate::id::HostId;
use crate::id::ServiceId;
use crate::placement::Plan;
use crate::placement::cost;
use crate::platform::duties::Duty;
use crate::settings::gateway::Settings;
use crate::upstream::Role;

/// Interval at which the demand of all hosts is summed.
const INTERVAL: Duration = Duration::from_millis(400);

/// Maximum factor between the learned and the modelled pace of an engine, either way, that counts as
/// work. The learned one contains time for which prompts waited there, of which more engines need none.
const MAX_SLOWDOWN: f64 = 1.5;

/// Returns `true` if upstreams are ordered in this deployment.
pub fn is_ordered(settings: &Settings) -> bool {
    let duties = settings.duties.as_ref();
    duties.is_some_and(|duties| duties.perform.contains(&Duty::Capacity))
}

/// Records the work of a request by the first plan for it.
pub fn record(gateway: &Gateway, call: &Call, plan: &Plan, now: Instant) {
    let Some(prompt) = call.request.prompt.as_ref() else {
        return;
    };
    if !is_ordered(&gateway.settings) {
        return;
    }
    let engine = match plan {
        Plan::Single { engine, .. } => Some(engine),
        Plan::Split { prefill_engine, .. } => Some(prefill_engine),
        Plan::Refuse { .. } => None,
    };
    let board = gateway.board.borrow();
    let cached = engine.map_or(0, |id| board.cached_tokens(id, &prompt.blocks));
    let slowdown = engine.map_or(1.0, |id| board.slowdown(id));
    let slowdown = slowdown.clamp(MAX_SLOWDOWN.recip(), MAX_SLOWDOWN);
    let role = match plan {
        Plan::Single { .. } => Role::Mixed,
        Plan::Split { .. } | Plan::Refuse { .. } => Role::Prefill,
    };
    let prefill = cost::prefill_time(prompt, cached, role).as_secs_f64() * slowdown;
    let cold = cost::prefill_time(prompt, 0, role).as_secs_f64() * slowdown;
    let request = Rate {
        requests: 1.0,
        prefill,
        saved: (cold - prefill).max(0.0),
        decode: 0.0,
    };
    let mut meter = gateway.demand.borrow_mut();
    meter.record(&call.service, request, now);
}

/// Records that events of a response have arrived: a step of its engine. What a request says that it
/// may generate at most tells little.
pub fn record_step(gateway: &Gateway, service: &ServiceId, now: Instant) {
    if is_ordered(&gateway.settings) {
        let step = Rate {
            decode: cost::step_time().as_secs_f64(),
            ..Rate::default()
        };
        gateway.demand.borrow_mut().record(service, step, now);
    }
}

/// Gathers the demand of all hosts if this host may have to order upstreams.
#[derive(Debug)]
pub struct Gatherer {
    reports: Reports,
    outlook: watch::Sender<Outlook>,
    rank: usize,
    summed_at: Option<Instant>,
}

impl Gatherer {
    /// Returns a gatherer that publishes sums to `outlook`.
    pub fn new(outlook: watch::Sender<Outlook>) -> Self {
        Gatherer {
            reports: Reports::default(),
            outlook,
            rank: usize::MAX,
            summed_at: None,
        }
    }

    /// Records the newest datagram of a peer.
    pub fn receive(&mut self, datagram: &Datagram, now: Instant) {
        if self.rank < duty::MAX_RANKS {
            let host = HostId::from(datagram.host.as_str());
            let domain = DomainId::from(datagram.domain.as_str());
            self.reports
                .record(&host, &domain, datagram.demands.clone(), now);
        }
    }

    /// Publishes the sums if they are due; `known` counts all hosts but this one.
    pub fn publish(&mut self, gateway: &Gateway, rank: usize, known: usize, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < INTERVAL;
        if !is_ordered(&gateway.settings) || self.summed_at.is_some_and(is_recent) {
            return;
        }
        self.summed_at = Some(now);
        self.rank = rank;
        if rank >= duty::MAX_RANKS {
            self.reports = Reports::default();
            return;
        }
        let (host, domain) = (&gateway.settings.name, &gateway.settings.domain);
        let own = gateway.demand.borrow().report(now);
        self.reports.record(host, domain, own, now);
        self.reports.forget(gossip::PEER_TIMEOUT, now);
        let catalog = gateway.catalog();
        let services = catalog.iter().flat_map(|catalog| catalog.services());
        let scaled = services.filter(|service| service.scale.is_some());
        let demand: HashMap<_, _> = scaled
            .map(|service| (service.name.clone(), self.reports.sum(&service.name)))
            .collect();
        self.outlook.send_replace(Outlook {
            gathered_at: Some(now),
            rank,
            heard: self.reports.count(),
            known: known + 1,
            demand,
        });
    }
}
