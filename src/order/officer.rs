//! Controller that holds the lease and carries out orders under it.

use std::collections::HashMap;
use std::time::Instant;

use log::info;
use log::warn;
use uuid::Uuid;

use crate::clock::Clock;
use crate::core::Core;
use crate::fold::orders::Action;
use crate::fold::orders::Close;
use crate::fold::orders::Open;
use crate::fold::orders::Orders;
use crate::fold::orders::Record;
use crate::id::Offset;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::lease;
use crate::log::List;
use crate::log::Log;
use crate::route::Stage;
use crate::snapshot;
use crate::snapshot::Schedule;
use crate::upstream::Role;
use crate::upstream::Upstream;
use crate::upstream::poll;

use super::Order;
use super::OrderState;
use super::Step;
use super::next_step;
use super::planner::Planner;

/// Progress of an open order, as this process knows it.
#[derive(Debug)]
struct Progress {
    opened_at: Instant,
    acknowledged_since: Option<Instant>,
    boot_id: Option<Uuid>,
    sent_at: Option<Instant>,
    is_fenced: bool,
}

/// Holds the lease of the failure domain and carries out its orders.
#[derive(Debug, Default)]
pub struct Controller {
    progress: HashMap<Offset, Progress>,
    planner: Planner,
    has_released: bool,
    config_watch: Schedule,
    orders_watch: Schedule,
}

impl Controller {
    /// Renews or takes the lease, then advances each open order by a step.
    pub fn step<C, P>(&mut self, core: &Core<C, P>)
    where
        C: Clock + Clone,
        P: Log + List,
    {
        if core.is_leaving() {
            return self.release(core);
        }
        lease::keep(&core.authority, core, rank(core));
        let orders = core.authority.replica().with(Orders::clone);
        if orders.fencing_token(core.incarnation).is_none() {
            self.progress.clear();
        }
        let token = core.authority.token(core.incarnation, core.clock.now());
        if token.is_none() {
            return;
        }
        self.progress
            .retain(|intent, _| orders.open.values().any(|open| open.intent == *intent));
        release_departed(core, &orders);
        for (upstream, open) in &orders.open {
            self.advance(core, upstream, open);
        }
        self.keep_snapshots(core);
        if !announce_requested(core, &orders) {
            self.planner.step(core, &orders);
        }
    }

    fn keep_snapshots<C, P>(&mut self, core: &Core<C, P>)
    where
        C: Clock + Clone,
        P: Log + List,
    {
        let retention = core.settings.retention;
        let now = core.clock.now();
        let log = &core.platform;
        snapshot::write_if_due(&mut self.config_watch, &core.config, log, retention, now);
        let orders = core.authority.replica();
        snapshot::write_if_due(&mut self.orders_watch, orders, log, retention, now);
    }

    /// Appends, once, a record that this process sends no further order.
    fn release<C, P>(&mut self, core: &Core<C, P>)
    where
        C: Clock + Clone,
        P: Log + List,
    {
        if self.has_released {
            return;
        }
        let holder = core.incarnation;
        let data = serde_json::to_value(Record::Released { holder }).expect("a record is JSON");
        match core
            .platform
            .append(core.authority.replica().stream(), &data)
        {
            Ok(_) => self.has_released = true,
            Err(cause) => warn!(cause:% = cause; "release not written"),
        }
    }

    fn advance<C, P>(&mut self, core: &Core<C, P>, name: &UpstreamId, open: &Open)
    where
        C: Clock + Clone,
        P: Log + List,
    {
        let now = core.clock.now();
        let Some(upstream) = core.table.all().into_iter().find(|one| one.id == *name) else {
            append(core, |lease| {
                closed_record(lease, open.intent, Close::Abandoned)
            });
            return;
        };
        let progress = self
            .progress
            .entry(open.intent)
            .or_insert_with(|| Progress {
                opened_at: now,
                acknowledged_since: None,
                boot_id: upstream.report().map(|(load, _)| load.boot_id),
                sent_at: None,
                is_fenced: false,
            });
        match is_acknowledged(core, &upstream, open.intent) {
            true => progress.acknowledged_since.get_or_insert(now),
            false => return progress.acknowledged_since = None,
        };
        let engine = poll::report(upstream.address);
        let state = OrderState {
            open,
            incarnation: core.incarnation,
            now,
            opened_at: progress.opened_at,
            acknowledged_since: progress.acknowledged_since,
            engine: engine.as_ref(),
            boot_id: progress.boot_id,
            sent_at: progress.sent_at,
            is_fenced: progress.is_fenced,
        };
        match next_step(&state) {
            Step::Wait => {}
            Step::Send => {
                let action = Some(open.action.clone());
                send_order(core, &upstream, Some(open.intent), action);
                progress.sent_at = Some(now);
            }
            Step::Fence => progress.is_fenced = send_order(core, &upstream, None, None),
            Step::Close(close) => {
                info!(upstream:% = name, intent:% = open.intent, closed:? = close; "order closed");
                append(core, |lease| closed_record(lease, open.intent, close));
            }
        }
    }
}

fn closed_record(lease: Offset, intent: Offset, close: Close) -> Record {
    Record::Closed {
        lease,
        intent,
        close,
    }
}

/// Sends an order if the lease still allows it; returns `true` if the engine accepted it.
fn send_order<C, P>(
    core: &Core<C, P>,
    upstream: &Upstream,
    intent: Option<Offset>,
    action: Option<Action>,
) -> bool
where
    C: Clock + Clone,
    P: Log + List,
{
    let Some(token) = core.authority.token(core.incarnation, core.clock.now()) else {
        return false;
    };
    let order = Order {
        token,
        intent,
        action,
    };
    let is_accepted = super::send(upstream.address, &order);
    info!(
        upstream:% = upstream.id,
        token = token,
        intent:? = intent,
        taken = is_accepted;
        "order sent"
    );
    is_accepted
}

/// Appends a record under this process's lease, if it still holds.
pub fn append<C, P, F>(core: &Core<C, P>, record: F)
where
    C: Clock + Clone,
    P: Log + List,
    F: FnOnce(Offset) -> Record,
{
    let Some(token) = core.authority.token(core.incarnation, core.clock.now()) else {
        return;
    };
    let data = serde_json::to_value(record(token)).expect("a record is JSON");
    if let Err(cause) = core
        .platform
        .append(core.authority.replica().stream(), &data)
    {
        warn!(cause:% = cause; "record not written");
    }
}

/// Returns `true` if every host of the failure domain sends no new requests to an engine and has
/// none in flight on it. A host without recent heartbeats counts as sending until it is certain to
/// have ended.
fn is_acknowledged<C, P>(core: &Core<C, P>, upstream: &Upstream, order: Offset) -> bool
where
    C: Clock + Clone,
    P: Log + List,
{
    use std::sync::atomic::Ordering;

    let own = upstream.draining.load(Ordering::SeqCst)
        && upstream.own_in_flight.load(Ordering::SeqCst) == 0;
    let now = core.clock.now();
    let acknowledged = |member: &crate::member::Member| {
        member.is_alive(now)
            && member.heartbeat.as_ref().is_some_and(|(beat, _)| {
                beat.acknowledgements.iter().any(|one| {
                    one.upstream == upstream.id && one.order == order && one.in_flight == 0
                })
            })
    };
    own && core
        .members
        .all()
        .iter()
        .filter(|(_, member)| member.domain == core.settings.domain)
        .all(|(_, member)| acknowledged(member))
}

/// Announces the changes that operators requested, one at a time for each engine.
///
/// The weight store is rate-limited, so one engine at a time loads from it in the failure domain.
/// Roles change one at a time in each service. The last engine of a service that can do prefill
/// keeps a role with prefill, and the last one that can do decode a role with decode. Returns `true` if a change was announced.
fn announce_requested<C, P>(core: &Core<C, P>, orders: &Orders) -> bool
where
    C: Clock + Clone,
    P: Log + List,
{
    let is_load = |action: &Action| !matches!(action, Action::Role(_));
    let mut is_loading = orders.open.values().any(|open| is_load(&open.action));
    let directory = core.directory();
    let upstreams = core.table.all();
    let service_of = |name: &UpstreamId| {
        let known = upstreams.iter().find(|one| one.id == *name);
        known.map(|one| one.service.clone())
    };
    let mut changing_services: Vec<ServiceId> = orders
        .open
        .iter()
        .filter(|(_, open)| !is_load(&open.action))
        .filter_map(|(name, _)| service_of(name))
        .collect();
    let mut has_announced = false;
    for (name, action) in &orders.asked {
        let known = upstreams.iter().find(|one| one.id == *name);
        let Some(upstream) = known.filter(|_| !orders.open.contains_key(name)) else {
            continue;
        };
        let Some(service) = directory.service(&upstream.service) else {
            continue;
        };
        let must_wait = match is_load(action) {
            true => is_loading,
            false => changing_services.contains(&service.name),
        };
        if must_wait || leaves_stage_uncovered(core, upstream, action) {
            continue;
        }
        match is_load(action) {
            true => is_loading = true,
            false => changing_services.push(service.name.clone()),
        }
        append(core, |lease| Record::Intent {
            lease,
            holder: core.incarnation,
            upstream: name.clone(),
            action: action.clone(),
            checks_tokens: service.checks_tokens,
        });
        has_announced = true;
    }
    has_announced
}

/// Returns `true` if a role change would leave the failure domain without an engine of the service
/// for prefill, or without one for decode.
fn leaves_stage_uncovered<C, P>(core: &Core<C, P>, upstream: &Upstream, action: &Action) -> bool
where
    C: Clock + Clone,
    P: Log + List,
{
    let Action::Role(role) = action else {
        return false;
    };
    let all = core.table.of(&upstream.service);
    let others: Vec<Role> = all
        .iter()
        .filter(|one| one.domain == upstream.domain && one.id != upstream.id && one.takes_work())
        .map(|one| one.role())
        .collect();
    let is_covered =
        |stage: Stage| stage.fits(*role) || others.iter().any(|role| stage.fits(*role));
    let is_uncovered = !is_covered(Stage::Prefill) || !is_covered(Stage::Decode);
    if is_uncovered {
        core.explain(format!(
            "{}: {role:?} would leave prefill or decode without an engine",
            upstream.id
        ));
    }
    is_uncovered
}

/// Returns the rank of this host among the candidates for the lease, by name and starting at 0.
fn rank<C, P>(core: &Core<C, P>) -> usize
where
    C: Clock + Clone,
    P: Log + List,
{
    let own = &core.settings;
    let precedes = |name: &str, domain: &str| domain == own.domain && name < own.name.as_str();
    core.members
        .all()
        .iter()
        .filter(|(name, member)| precedes(name, &member.domain))
        .count()
}

/// Releases, for processes that have certainly ended, the engines that are bound to them because
/// they don't check fencing tokens.
fn release_departed<C, P>(core: &Core<C, P>, orders: &Orders)
where
    C: Clock + Clone,
    P: Log + List,
{
    let mut bound: Vec<Uuid> = orders.bound.values().copied().collect();
    bound.sort_unstable();
    bound.dedup();
    for holder in bound {
        if holder != core.incarnation && core.members.has_ended(holder) {
            append(core, |_| Record::Released { holder });
        }
    }
}
