//! The duty that holds the lease and carries out orders under it.

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
use crate::snapshot::Watch;
use crate::upstream::Role;
use crate::upstream::Upstream;
use crate::upstream::poll;

use super::Order;
use super::OrderState;
use super::Step;
use super::drive;
use super::planner::Planner;

/// What this process remembers of an open order.
#[derive(Debug)]
struct Course {
    opened: Instant,
    acknowledged: Option<Instant>,
    boot_id: Option<Uuid>,
    sent: Option<Instant>,
    fenced: bool,
}

/// Holds the lease of the failure domain and carries out its orders.
#[derive(Debug, Default)]
pub struct Controller {
    courses: HashMap<Offset, Course>,
    planner: Planner,
    released: bool,
    config_watch: Watch,
    orders_watch: Watch,
}

impl Controller {
    /// Takes one look at lease and orders, and does what is next.
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
        if orders.token_of(core.incarnation).is_none() {
            self.courses.clear();
        }
        let token = core.authority.token(core.incarnation, core.clock.now());
        if token.is_none() {
            return;
        }
        self.courses
            .retain(|intent, _| orders.open.values().any(|open| open.intent == *intent));
        release_the_gone(core, &orders);
        for (upstream, open) in &orders.open {
            self.advance(core, upstream, open);
        }
        self.keep_snapshots(core);
        if !announce_asked(core, &orders) {
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
        snapshot::keep(&mut self.config_watch, &core.config, log, retention, now);
        let orders = core.authority.replica();
        snapshot::keep(&mut self.orders_watch, orders, log, retention, now);
    }

    /// Says once that this process sends no further order.
    fn release<C, P>(&mut self, core: &Core<C, P>)
    where
        C: Clock + Clone,
        P: Log + List,
    {
        if self.released {
            return;
        }
        let holder = core.incarnation;
        let data = serde_json::to_value(Record::Released { holder }).expect("a record is JSON");
        match core
            .platform
            .append(core.authority.replica().stream(), &data)
        {
            Ok(_) => self.released = true,
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
            append(core, |lease| closed(lease, open.intent, Close::Abandoned));
            return;
        };
        let course = self.courses.entry(open.intent).or_insert_with(|| Course {
            opened: now,
            acknowledged: None,
            boot_id: upstream.report().map(|(load, _)| load.boot_id),
            sent: None,
            fenced: false,
        });
        match is_acknowledged(core, &upstream, open.intent) {
            true => course.acknowledged.get_or_insert(now),
            false => return course.acknowledged = None,
        };
        let engine = poll::report(upstream.address);
        let view = OrderState {
            open,
            own: core.incarnation,
            now,
            opened: course.opened,
            acknowledged: course.acknowledged,
            engine: engine.as_ref(),
            boot_id: course.boot_id,
            sent: course.sent,
            fenced: course.fenced,
        };
        match drive(&view) {
            Step::Wait => {}
            Step::Send => {
                let action = Some(open.action.clone());
                give(core, &upstream, Some(open.intent), action);
                course.sent = Some(now);
            }
            Step::Fence => course.fenced = give(core, &upstream, None, None),
            Step::Close(close) => {
                info!(upstream:% = name, intent:% = open.intent, closed:? = close; "order closed");
                append(core, |lease| closed(lease, open.intent, close));
            }
        }
    }
}

fn closed(lease: Offset, intent: Offset, close: Close) -> Record {
    Record::Closed {
        lease,
        intent,
        close,
    }
}

/// Sends an order if the lease still allows it; returns whether the engine took it.
fn give<C, P>(
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
    let taken = super::send(upstream.address, &order);
    info!(
        upstream:% = upstream.id,
        token = token,
        intent:? = intent,
        taken = taken;
        "order given"
    );
    taken
}

/// Appends a record under the own lease.
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

/// Returns whether every host of the failure domain sends an engine nothing new and has nothing
/// in flight on it. A silent host counts as sending until it is proved gone.
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
        member.is_heard(now)
            && member.beat.as_ref().is_some_and(|(beat, _)| {
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

/// Announces the changes that operators asked for, one at a time for each engine.
///
/// Loads from the rate-limited weight store go one at a time in the failure domain, role changes
/// one at a time in each service. A role is not given to the last engine of a service that can do
/// the other half. Returns whether anything was announced.
fn announce_asked<C, P>(core: &Core<C, P>, orders: &Orders) -> bool
where
    C: Clock + Clone,
    P: Log + List,
{
    let loads = |action: &Action| !matches!(action, Action::Role(_));
    let mut is_loading = orders.open.values().any(|open| loads(&open.action));
    let directory = core.directory();
    let upstreams = core.table.all();
    let service_of = |name: &UpstreamId| {
        let known = upstreams.iter().find(|one| one.id == *name);
        known.map(|one| one.service.clone())
    };
    let mut changing: Vec<ServiceId> = orders
        .open
        .iter()
        .filter(|(_, open)| !loads(&open.action))
        .filter_map(|(name, _)| service_of(name))
        .collect();
    let mut announced = false;
    for (name, action) in &orders.asked {
        let known = upstreams.iter().find(|one| one.id == *name);
        let Some(upstream) = known.filter(|_| !orders.open.contains_key(name)) else {
            continue;
        };
        let Some(service) = directory.service(&upstream.service) else {
            continue;
        };
        let has_to_wait = match loads(action) {
            true => is_loading,
            false => changing.contains(&service.name),
        };
        if has_to_wait || leaves_a_half(core, upstream, action) {
            continue;
        }
        match loads(action) {
            true => is_loading = true,
            false => changing.push(service.name.clone()),
        }
        append(core, |lease| Record::Intent {
            lease,
            holder: core.incarnation,
            upstream: name.clone(),
            action: action.clone(),
            checks_tokens: service.checks_tokens,
        });
        announced = true;
    }
    announced
}

/// Returns whether a role change would leave the failure domain without an engine of the service
/// that can read prompts, or without one that can generate.
fn leaves_a_half<C, P>(core: &Core<C, P>, upstream: &Upstream, action: &Action) -> bool
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
    let covers = |stage: Stage| stage.fits(*role) || others.iter().any(|role| stage.fits(*role));
    let leaves = !covers(Stage::Prefill) || !covers(Stage::Decode);
    if leaves {
        core.explain(format!(
            "{}: {role:?} would leave half of the work to nobody",
            upstream.id
        ));
    }
    leaves
}

/// Returns the rank of this host among the candidates for the lease, 0 first.
fn rank<C, P>(core: &Core<C, P>) -> usize
where
    C: Clock + Clone,
    P: Log + List,
{
    let own = &core.settings;
    let before = |name: &str, domain: &str| domain == own.domain && name < own.name.as_str();
    core.members
        .all()
        .iter()
        .filter(|(name, member)| before(name, &member.domain))
        .count()
}

/// Frees engines that ignore tokens from processes that are proved gone.
fn release_the_gone<C, P>(core: &Core<C, P>, orders: &Orders)
where
    C: Clock + Clone,
    P: Log + List,
{
    let mut bound: Vec<Uuid> = orders.bound.values().copied().collect();
    bound.sort_unstable();
    bound.dedup();
    for holder in bound {
        if holder != core.incarnation && core.members.is_proved_gone(holder) {
            append(core, |_| Record::Released { holder });
        }
    }
}
