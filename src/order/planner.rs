//! Decides on role changes of the own failure domain and announces them in turn.

use std::collections::HashMap;
use std::time::Duration;

use log::info;
use log::warn;

use crate::clock::Clock;
use crate::core::Core;
use crate::fold::orders::Action;
use crate::fold::orders::Orders;
use crate::fold::orders::Record;
use crate::fold::orders::turn_stream;
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

/// Time between two reports to the policy.
const REPORT_PAUSE: Duration = Duration::from_millis(1000);

/// Policy and turn of one service.
#[derive(Debug)]
struct Course {
    gauge: DemandMeter,
    policy: Cusum,
    turn: Authority,
    wanted: Option<Change>,
    reported: Option<std::time::Instant>,
}

/// Decides on role changes of the own failure domain.
#[derive(Debug, Default)]
pub struct Planner {
    courses: HashMap<ServiceId, Course>,
}

impl Planner {
    /// Looks at each model service, and announces at most one change of each.
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
        let course = self
            .courses
            .entry(service.name.clone())
            .or_insert_with(|| Course {
                gauge: DemandMeter::default(),
                policy: Cusum::new(Weights {
                    goodput: service.goodput_weight,
                    role_change: service.role_change_weight,
                }),
                turn: Authority::on(&turn_stream(&service.name)),
                wanted: None,
                reported: None,
            });
        let engines = engines(core, orders, service);
        course.report(core, service, &engines);
        let is_changing = engines.iter().any(|one| one.2);
        if course.wanted.is_some() || is_changing {
            course.seek_turn(core);
        }
        match is_changing {
            true => course.wanted = None,
            false => course.announce(core, service, &engines),
        }
    }
}

/// Returns the split engines of a service in the own failure domain; those of mixed role stand
/// outside of the policy.
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
            let is_out = orders.drained.contains_key(&one.id) || load.leaving;
            let is_changing = orders.open.contains_key(&one.id);
            (is_split && !is_out).then(|| (one.id.clone(), load, is_changing))
        })
        .collect()
}

impl Course {
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
        let is_due = |at| now.saturating_duration_since(at) >= REPORT_PAUSE;
        if !self.reported.is_none_or(is_due) {
            return;
        }
        self.reported = Some(now);
        let Some(seen) = self.gauge.measure(engines, now) else {
            return;
        };
        let change = self.policy.decide(&seen);
        let reason = match &change {
            Some(change) => format!(
                "{}: {:?} wanted: {}",
                service.name, change.role, change.reason
            ),
            None => format!("{}: {}", service.name, self.policy.explain()),
        };
        core.explain(reason);
        self.wanted = change.or(self.wanted.take());
    }

    /// Takes, keeps or reads the lease by which failure domains take turns.
    fn seek_turn<C, P>(&self, core: &Core<C, P>)
    where
        C: Clock + Clone,
        P: Log + List,
    {
        if self
            .turn
            .replica()
            .poll(&core.platform, Duration::ZERO)
            .is_ok()
        {
            lease::keep(&self.turn, core, 0);
        }
    }

    /// Announces the wanted change if it is this failure domain's turn, else gives the turn up.
    fn announce<C, P>(
        &mut self,
        core: &Core<C, P>,
        service: &Service,
        engines: &[(UpstreamId, Load, bool)],
    ) where
        C: Clock + Clone,
        P: Log + List,
    {
        let has_turn = self
            .turn
            .token(core.incarnation, core.clock.now())
            .is_some();
        let Some(change) = self.wanted.take() else {
            if has_turn {
                self.give_up_turn(core);
            }
            return;
        };
        if !has_turn {
            self.wanted = Some(change);
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

    fn give_up_turn<C, P>(&self, core: &Core<C, P>)
    where
        C: Clock + Clone,
        P: Log + List,
    {
        let holder = core.incarnation;
        let data = serde_json::to_value(Record::Released { holder }).expect("a record is JSON");
        if let Err(cause) = core.platform.append(self.turn.replica().stream(), &data) {
            warn!(cause:% = cause; "turn not given up");
        }
        if let Err(cause) = self.turn.replica().poll(&core.platform, Duration::ZERO) {
            warn!(cause:% = cause; "turn not read after it was given up");
        }
    }
}

/// Returns the engines to be changed: the least loaded of the other role, one of which stays.
fn choose(change: &Change, engines: &[(UpstreamId, Load, bool)]) -> Vec<UpstreamId> {
    let mut others: Vec<_> = engines
        .iter()
        .filter(|(_, load, _)| load.role != change.role)
        .collect();
    others.sort_by_key(|(_, load, _)| load.in_flight);
    let spare = others.len().saturating_sub(1);
    others
        .into_iter()
        .take(change.engines.min(spare))
        .map(|(name, _, _)| name.clone())
        .collect()
}
