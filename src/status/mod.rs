//! State of an entry host, as shown to operators.

pub mod table;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Clock;
use crate::core::Core;
use crate::fold::orders::Lease;
use crate::fold::orders::Open;
use crate::histogram::Line;
use crate::id::DomainId;
use crate::id::HostId;
use crate::id::Offset;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::log::List;
use crate::log::Log;
use crate::quarantine::Suspect;
use crate::upstream::Role;

/// An entry host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// Name.
    pub name: HostId,
    /// Failure domain.
    pub domain: DomainId,
    /// Revision of the configuration active on it.
    pub revision: Option<Offset>,
    /// Whether it is ready to serve callers.
    pub ready: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Seconds since its last heartbeat; `None` if there was none.
    pub heard_s: Option<f64>,
}

/// An upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Name.
    pub name: UpstreamId,
    /// Service.
    pub service: ServiceId,
    /// Failure domain.
    pub domain: DomainId,
    /// Role that it last reported.
    pub role: Role,
    /// Estimated number of requests in flight.
    pub in_flight: usize,
    /// Prompt tokens that wait for prefill on it.
    pub prompt_backlog: u64,
    /// `live`, `leaving`, `drained` or `unreachable`.
    pub state: String,
}

/// Requests of a service on this host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Lane {
    /// Service.
    pub service: ServiceId,
    /// Requests that are running.
    pub running: usize,
    /// Requests that wait in the queue.
    pub queued: usize,
}

/// An order that is not closed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Engine.
    pub upstream: UpstreamId,
    /// The order.
    pub open: Open,
}

/// State of an entry host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Entry hosts, this one first.
    pub hosts: Vec<Host>,
    /// Upstreams.
    pub upstreams: Vec<Upstream>,
    /// Services on this host.
    pub lanes: Vec<Lane>,
    /// Lease of the failure domain.
    pub lease: Option<Lease>,
    /// Open orders of the failure domain.
    pub orders: Vec<Order>,
    /// Orders of the failure domain that were carried out.
    pub orders_done: u64,
    /// Requests suspected of crashing upstreams.
    pub quarantine: Vec<Suspect>,
    /// Reasons for changing or not changing roles, newest last.
    pub explanations: Vec<String>,
}

/// Latencies by class and by caller.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Histograms {
    /// By class.
    pub classes: Vec<Line>,
    /// By caller.
    pub callers: Vec<Line>,
}

/// Returns the state of an entry host.
pub fn of<C, P>(core: &Core<C, P>) -> Status
where
    C: Clock + Clone,
    P: Log + List,
{
    let orders = core.authority.replica().with(Clone::clone);
    Status {
        hosts: hosts(core),
        upstreams: upstreams(core),
        lanes: lanes(core),
        lease: orders.lease,
        orders: orders
            .open
            .into_iter()
            .map(|(upstream, open)| Order { upstream, open })
            .collect(),
        orders_done: orders.done,
        quarantine: core.quarantine.all(core.clock.now()),
        explanations: core
            .explanations
            .lock()
            .expect("explanation lock")
            .iter()
            .cloned()
            .collect(),
    }
}

/// Returns the histograms of an entry host.
pub fn histograms<C, P>(core: &Core<C, P>) -> Histograms
where
    C: Clock + Clone,
    P: Log + List,
{
    Histograms {
        classes: core.histograms.classes(),
        callers: core.histograms.callers(),
    }
}

fn hosts<C, P>(core: &Core<C, P>) -> Vec<Host>
where
    C: Clock + Clone,
    P: Log + List,
{
    let now = core.clock.now();
    let own = Host {
        name: core.settings.name.clone(),
        domain: core.settings.domain.clone(),
        revision: core.directory().revision,
        ready: core.is_ready(),
        leaving: core.is_leaving(),
        heard_s: Some(0.0),
    };
    let others = core.members.all().into_iter().map(|(name, member)| {
        let heartbeat = member.heartbeat.as_ref();
        Host {
            name,
            domain: member.domain.clone(),
            revision: heartbeat.and_then(|(heartbeat, _)| heartbeat.revision),
            ready: heartbeat.is_some_and(|(heartbeat, _)| heartbeat.ready),
            leaving: member.leaving || heartbeat.is_some_and(|(heartbeat, _)| heartbeat.leaving),
            heard_s: heartbeat.map(|(_, at)| now.saturating_duration_since(*at).as_secs_f64()),
        }
    });
    std::iter::once(own).chain(others).collect()
}

fn upstreams<C, P>(core: &Core<C, P>) -> Vec<Upstream>
where
    C: Clock + Clone,
    P: Log + List,
{
    use std::sync::atomic::Ordering;

    let to_status = |one: &crate::upstream::Upstream| {
        let state = if one.leaving.load(Ordering::SeqCst) {
            "leaving"
        } else if one.draining.load(Ordering::SeqCst) {
            "drained"
        } else if one.is_reachable() {
            "live"
        } else {
            "unreachable"
        };
        Upstream {
            name: one.id.clone(),
            service: one.service.clone(),
            domain: one.domain.clone(),
            role: one.role(),
            in_flight: one.in_flight(),
            prompt_backlog: one.report().map_or(0, |(load, _)| load.prompt_backlog),
            state: state.to_owned(),
        }
    };
    let mut upstreams: Vec<Upstream> = core.table.all().iter().map(|one| to_status(one)).collect();
    upstreams.sort_by(|a, b| (&a.service, &a.name).cmp(&(&b.service, &b.name)));
    upstreams
}

fn lanes<C, P>(core: &Core<C, P>) -> Vec<Lane>
where
    C: Clock + Clone,
    P: Log + List,
{
    core.directory()
        .services()
        .map(|service| {
            let (running, queued) = core.gate.load(&service.name);
            Lane {
                service: service.name.clone(),
                running,
                queued,
            }
        })
        .collect()
}
