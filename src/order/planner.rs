//! Planner of role changes in the own failure domain. Failure domains take the change slot of a
//! service one after the other.

use std::collections::HashMap;
use std::time::Duration;

use log::info;
use log::warn;

use crate::clock::Clock;
use crate::core::Core;
use crate::fold::orders::Action;
use crate::fold::orders::Orders;
use crate::fold::orders::Record;
use crate::fold::orders::change_slot_stream;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::lease;
use crate::lease::Authority;
use crate::log::List;
use crate::log::Log;
use crate::role::Change;
use crate::role::Cusum;
use crate::role::DemandMeter;
use crate::role::Policy;
use crate::role::Weights;
use crate::service::Kind;
use crate::service::Service;
use crate::upstream::Load;
use crate::upstream::Role;

use super::officer;

/// Time between two demand samples for the policy.
const REPORT_INTERVAL: Duration = Duration::from_millis(1000);

/// Policy, change slot and planned change of a service.
#[derive(Debug)]
struct ServicePlan {
    demand_meter: DemandMeter,
    policy: Cusum,
    slot: Authority,
    planned: Option<Change>,
    reported_at: Option<std::time::Instant>,
}

/// Plans role changes in the own failure domain.
#[derive(Debug, Default)]
pub struct Planner {
    plans: HashMap<ServiceId, ServicePlan>,
}

impl Planner {
    /// Runs the policy of each model service and announces at most one change for each.
    pub fn step<C, P>(&mut self, core: &Core<C, P>, orders: &Orders)
    where
        C: Clock + Clone,
        P: Log + List,
    {
        for service in core.directory().services() {
            if matches!(service.kind, Kind::Model(_)) {
                self.step_service(core, orders, service);
            }
        }
    }

    fn step_service<C, P>(&mut self, core: &Core<C, P>, orders: &Orders, service: &Service)
    where
        C: Clock + Clone,
        P: Log + List,
    {
        let plan = self
            .plans
            .entry(service.name.clone())
            .or_insert_with(|| ServicePlan {
                demand_meter: DemandMeter::default(),
                policy: Cusum::new(Weights {
                    goodput: service.goodput_weight,
                    role_change: service.role_change_weight,
                }),
                slot: Authority::on(&change_slot_stream(&service.name)),
                planned: None,
                reported_at: None,
            });
        let engines = engines(core, orders, service);
        plan.report(core, service, &engines);
        let is_changing = engines.iter().any(|one| one.2);
        if plan.planned.is_some() || is_changing {
            plan.acquire_slot(core);
        }
        match is_changing {
            true => plan.planned = None,
            false => plan.announce(core, service, &engines),
        }
    }
}

/// Returns the engines of a service in the own failure domain that do prefill or decode only, with
/// their load and whether they have an open order. The policy doesn't apply to mixed engines.
fn engines<C, P>(
    core: &Core<C, P>,
    orders: &Orders,
    service: &Service,
) -> Vec<(UpstreamId, Load, bool)>
where
    C: Clock + Clone,
    P: Log + List,
{
    let upstreams = core.table.of(&service.name);
    upstreams
        .iter()
        .filter(|one| one.domain == core.settings.domain && one.is_reachable())
        .filter_map(|one| {
            let (load, _) = one.report()?;
            let is_split = load.role != Role::Mixed;
            let is_out_of_use = orders.drained.contains_key(&one.id) || load.leaving;
            let is_changing = orders.open.contains_key(&one.id);
            (is_split && !is_out_of_use).then(|| (one.id.clone(), load, is_changing))
        })
        .collect()
}

impl ServicePlan {
    fn report<C, P>(
        &mut self,
        core: &Core<C, P>,
        service: &Service,
        engines: &[(UpstreamId, Load, bool)],
    ) where
        C: Clock + Clone,
        P: Log + List,
    {
        let now = core.clock.now();
        let is_due = |at| now.saturating_duration_since(at) >= REPORT_INTERVAL;
        if !self.reported_at.is_none_or(is_due) {
            return;
        }
        self.reported_at = Some(now);
        let Some(sample) = self.demand_meter.measure(engines, now) else {
            return;
        };
        let change = self.policy.decide(&sample);
        let reason = match &change {
            Some(change) => format!(
                "{}: {:?} wanted: {}",
                service.name, change.role, change.reason
            ),
            None => format!("{}: {}", service.name, self.policy.explain()),
        };
        core.explain(reason);
        self.planned = change.or(self.planned.take());
    }

    /// Reads, then takes or renews the lease that is the change slot of the service.
    fn acquire_slot<C, P>(&self, core: &Core<C, P>)
    where
        C: Clock + Clone,
        P: Log + List,
    {
        if self
            .slot
            .replica()
            .poll(&core.platform, Duration::ZERO)
            .is_ok()
        {
            lease::keep(&self.slot, core, 0);
        }
    }

    /// Announces the planned change if this failure domain holds the change slot; releases the
    /// slot if no change is planned.
    fn announce<C, P>(
        &mut self,
        core: &Core<C, P>,
        service: &Service,
        engines: &[(UpstreamId, Load, bool)],
    ) where
        C: Clock + Clone,
        P: Log + List,
    {
        let has_slot = self
            .slot
            .token(core.incarnation, core.clock.now())
            .is_some();
        let Some(change) = self.planned.take() else {
            if has_slot {
                self.release_slot(core);
            }
            return;
        };
        if !has_slot {
            self.planned = Some(change);
            return;
        }
        for name in choose(&change, engines) {
            info!(
                upstream:% = name,
                role:? = change.role,
                reason:? = change.reason;
                "role change planned"
            );
            officer::append(core, |token| Record::Intent {
                lease: token,
                holder: core.incarnation,
                upstream: name.clone(),
                action: Action::Role(change.role),
                checks_tokens: service.checks_tokens,
            });
        }
    }

    fn release_slot<C, P>(&self, core: &Core<C, P>)
    where
        C: Clock + Clone,
        P: Log + List,
    {
        let holder = core.incarnation;
        let data = serde_json::to_value(Record::Released { holder }).expect("a record is JSON");
        if let Err(cause) = core.platform.append(self.slot.replica().stream(), &data) {
            warn!(cause:% = cause; "change slot not released");
        }
        if let Err(cause) = self.slot.replica().poll(&core.platform, Duration::ZERO) {
            warn!(cause:% = cause; "change slot not read after its release");
        }
    }
}

/// Returns the engines to change: the least loaded ones of the other role, of which at least one
/// keeps its role.
fn choose(change: &Change, engines: &[(UpstreamId, Load, bool)]) -> Vec<UpstreamId> {
    let mut others: Vec<_> = engines
        .iter()
        .filter(|(_, load, _)| load.role != change.role)
        .collect();
    others.sort_by_key(|(_, load, _)| load.in_flight);
    let max_changes = others.len().saturating_sub(1);
    others
        .into_iter()
        .take(change.engines.min(max_changes))
        .map(|(name, _, _)| name.clone())
        .collect()
}
