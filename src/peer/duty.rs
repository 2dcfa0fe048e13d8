//! The duty that exchanges heartbeats, on a thread of its own.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use anyhow::Context;
use anyhow::Result;
use log::warn;
use prost::Message;
use tokio::runtime;
use tonic::transport::Server as Transport;
use tonic::transport::server::TcpIncoming;

use crate::clock::Clock;
use crate::core::Core;
use crate::duty;
use crate::fold::Fold;
use crate::id::DomainId;
use crate::id::HostId;
use crate::id::Offset;
use crate::id::UpstreamId;
use crate::log::List;
use crate::log::Log;
use crate::member::Acknowledgement;
use crate::member::Heartbeat;
use crate::member::Member;
use crate::replay::Replica;
use crate::upstream::Upstream;

use super::Client;
use super::client::MESSAGE_BYTES;
use super::convert;
use super::generated;
use super::generated::peer_server::PeerServer;
use super::server::Server;

/// Name under which peers hand on the platform's list.
pub const HOSTS: &str = "hosts";
/// Shortest pause between rounds.
const LEAST_ROUND: Duration = Duration::from_millis(500);
/// Longest pause between rounds.
const MOST_ROUND: Duration = Duration::from_secs(2);
/// Bytes that heartbeats and their answers may take, in one second.
const BUDGET_BYTES_PER_S: f64 = 2048.0;
/// Bytes that an exchange takes beside the heartbeat and its answer.
const EXCHANGE_BYTES: usize = 400;
/// Most counts told in one heartbeat.
const MOST_COUNTS: usize = 32;
/// Failure domains told in every round beside the own one.
const NEIGHBOURS: usize = 2;

/// Starts the duty and returns the address it listens on.
pub fn start<C, P>(core: &Arc<Core<C, P>>) -> Result<SocketAddr>
where
    C: Clock + Clone,
    P: Log + List,
{
    let listener = std::net::TcpListener::bind(core.settings.peer_listen)
        .with_context(|| format!("cannot listen on {}", core.settings.peer_listen))?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let client = Client::new(runtime.handle().clone());
    core.peers.set(client).expect("the duty starts once");
    let core = Arc::clone(core);
    duty::spawn("peers", move || {
        runtime.block_on(async {
            let listener = tokio::net::TcpListener::from_std(listener).expect("a bound listener");
            let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
            let service = PeerServer::new(Server::new(Arc::clone(&core)))
                .max_decoding_message_size(MESSAGE_BYTES)
                .max_encoding_message_size(MESSAGE_BYTES);
            let serve = Transport::builder()
                .add_service(service)
                .serve_with_incoming(incoming);
            tokio::select! {
                _ = serve => {}
                () = rounds(&core) => {}
            }
        });
    });
    Ok(address)
}

/// Returns the own heartbeat; a digest without counts for other failure domains.
pub fn heartbeat<C, P>(core: &Core<C, P>, is_near: bool) -> generated::Heartbeat
where
    C: Clock + Clone,
    P: Log + List,
{
    let suspects = core.quarantine.all(core.clock.now());
    convert::to_heartbeat(&beat(core, is_near), &suspects)
}

/// Returns what the host says of itself.
pub fn beat<C, P>(core: &Core<C, P>, is_near: bool) -> Heartbeat
where
    C: Clock + Clone,
    P: Log + List,
{
    let orders = core.authority.replica();
    let out_of_use = orders.with(|orders| orders.out_of_use());
    let upstreams = core.table.all();
    let acknowledgements = out_of_use
        .iter()
        .filter_map(|(name, order)| {
            acknowledge(upstreams.iter().find(|one| one.id == *name), name, *order)
        })
        .collect();
    let mut counts: Vec<_> = upstreams
        .iter()
        .map(|one| (one.id.clone(), one.own_in_flight.load(Ordering::SeqCst)))
        .filter(|(_, count)| *count > 0)
        .collect();
    counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    counts.truncate(if is_near { MOST_COUNTS } else { 0 });
    Heartbeat {
        host: core.settings.name.clone(),
        domain: core.settings.domain.clone(),
        incarnation: core.incarnation,
        peer: core.settings.peer_listen,
        config_next: core.config.next(),
        orders_next: orders.next(),
        revision: core.directory().revision,
        ready: core.is_ready(),
        leaving: core.is_leaving(),
        counts,
        acknowledgements: if is_near {
            acknowledgements
        } else {
            Vec::new()
        },
        out_of_use: out_of_use.into_keys().collect(),
    }
}

/// Says that an upstream gets nothing new, if the filters have been told so.
///
/// The count is read after the flag: a request that is counted later looks at the flag again.
fn acknowledge(
    upstream: Option<&Arc<Upstream>>,
    name: &UpstreamId,
    order: Offset,
) -> Option<Acknowledgement> {
    let is_told = upstream.is_none_or(|one| one.draining.load(Ordering::SeqCst));
    is_told.then(|| Acknowledgement {
        upstream: name.clone(),
        order,
        in_flight: upstream.map_or(0, |one| one.own_in_flight.load(Ordering::SeqCst)),
    })
}

/// Takes in a peer's heartbeat.
pub fn take_heartbeat<C, P>(core: &Core<C, P>, heartbeat: &generated::Heartbeat)
where
    C: Clock + Clone,
    P: Log + List,
{
    let now = core.clock.now();
    for suspect in &heartbeat.suspects {
        core.quarantine.merge(convert::from_suspect(suspect), now);
    }
    let Some(beat) = convert::from_heartbeat(heartbeat) else {
        return;
    };
    let is_near = beat.domain == core.settings.domain;
    if !is_near {
        take_out_of_use(core, &beat);
    }
    core.members.apply_heartbeat(beat, now);
    if is_near {
        let sums = core.members.in_flight(now);
        for upstream in core.table.all() {
            let count = sums.get(&upstream.id).copied().unwrap_or(0);
            upstream.peers_in_flight.store(count, Ordering::SeqCst);
        }
    }
}

fn take_out_of_use<C, P>(core: &Core<C, P>, beat: &Heartbeat)
where
    C: Clock + Clone,
    P: Log + List,
{
    for upstream in core.table.all() {
        if upstream.domain == beat.domain {
            let out = beat.out_of_use.contains(&upstream.id);
            upstream.draining.store(out, Ordering::SeqCst);
        }
    }
}

async fn rounds<C, P>(core: &Arc<Core<C, P>>)
where
    C: Clock + Clone,
    P: Log + List,
{
    let mut round = 0;
    while !core.stop.asked() {
        let near_beat = heartbeat(core, true);
        let far_beat = heartbeat(core, false);
        let partners = partners(core, round);
        let bytes: usize = partners
            .iter()
            .map(|(_, member)| match member.domain == core.settings.domain {
                true => near_beat.encoded_len(),
                false => far_beat.encoded_len(),
            })
            .map(|length| 2 * length + EXCHANGE_BYTES)
            .sum();
        let is_far = |member: &&Member| member.domain != core.settings.domain;
        let members = partners.iter().map(|(_, member)| member);
        let far: Vec<SocketAddr> = members.filter(is_far).map(|member| member.peer).collect();
        let calls: Vec<_> = partners
            .into_iter()
            .map(|(_, member)| {
                let is_near = member.domain == core.settings.domain;
                let beat = if is_near { &near_beat } else { &far_beat };
                tokio::spawn(exchange(Arc::clone(core), member.peer, beat.clone()))
            })
            .collect();
        for call in calls {
            if let Err(cause) = call.await {
                warn!(cause:% = cause, outcome = "failed"; "exchange with a peer ended early");
            }
        }
        if let Some(client) = core.peers.get() {
            far.into_iter().for_each(|peer| client.forget(peer));
        }
        round += 1;
        tokio::time::sleep(pause(bytes)).await;
    }
}

/// Returns the pause after a round that sent `bytes`, so that the budget is kept.
fn pause(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / BUDGET_BYTES_PER_S).clamp(LEAST_ROUND, MOST_ROUND)
}

/// Returns the members to exchange with in a round: those of the own failure domain that come
/// later by name, since the others begin, and those not heard; one of each neighbour domain; and
/// one of a domain further away.
fn partners<C, P>(core: &Core<C, P>, round: usize) -> Vec<(HostId, Member)>
where
    C: Clock + Clone,
    P: Log + List,
{
    let own = &core.settings.domain;
    let mut by_domain: BTreeMap<DomainId, Vec<(HostId, Member)>> = BTreeMap::new();
    for (name, member) in core.members.all() {
        by_domain
            .entry(member.domain.clone())
            .or_default()
            .push((name, member));
    }
    if by_domain.is_empty() {
        return seeds(core);
    }
    let now = core.clock.now();
    let begins =
        |name: &HostId, member: &Member| *name > core.settings.name || !member.is_alive(now);
    let mut partners = by_domain.remove(own).unwrap_or_default();
    partners.retain(|(name, member)| begins(name, member));
    let (after, before): (Vec<_>, Vec<_>) = by_domain.into_iter().partition(|(name, _)| name > own);
    let ring: Vec<_> = after.into_iter().chain(before).collect();
    let further = ring.len().saturating_sub(NEIGHBOURS).max(1);
    for (place, (_, members)) in ring.iter().enumerate() {
        if place < NEIGHBOURS || place - NEIGHBOURS == round % further {
            partners.push(members[round % members.len()].clone());
        }
    }
    partners
}

/// Returns the peers of the settings, for a host that knows no other yet.
fn seeds<C, P>(core: &Core<C, P>) -> Vec<(HostId, Member)>
where
    C: Clock + Clone,
    P: Log + List,
{
    let seeds = core.settings.seeds.iter();
    seeds
        .map(|seed| {
            (
                HostId::default(),
                Member::new(*seed, core.settings.domain.clone()),
            )
        })
        .collect()
}

async fn exchange<C, P>(core: Arc<Core<C, P>>, peer: SocketAddr, beat: generated::Heartbeat)
where
    C: Clock + Clone,
    P: Log + List,
{
    let Some(client) = core.peers.get() else {
        return;
    };
    let began = core.clock.now();
    let Ok(answer) = client.exchange(peer, beat).await else {
        return;
    };
    take_heartbeat(&core, &answer);
    let domain = DomainId::from(answer.domain.as_str());
    core.members.record_exchange(&domain, began);
    if answer.config_next > core.config.next() && catch_up(client, peer, &core.config).await {
        core.refresh_directory();
    }
    let orders = core.authority.replica();
    let is_near = domain == core.settings.domain;
    if is_near && answer.orders_next > orders.next() && catch_up(client, peer, orders).await {
        core.apply_orders();
    }
    let knows_none = core.hosts.read().expect("host lock").is_empty();
    if knows_none && let Some(hosts) = client.suffix(peer, HOSTS, 0).await {
        core.take_hosts(hosts);
    }
}

async fn catch_up<S>(client: &Client, peer: SocketAddr, replica: &Replica<S>) -> bool
where
    S: Fold,
{
    let suffix = client.suffix(peer, replica.stream(), replica.next()).await;
    suffix.is_some_and(|suffix| replica.apply_suffix(suffix))
}
