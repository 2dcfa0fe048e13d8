//! Exchanges datagrams with peers: this host's state is sent, and theirs is taken in.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use log::info;
use log::warn;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time;

use super::Gateway;
use super::account;
use super::balance;
use super::call::Block;
use super::demand::Gatherer;
use super::keys;
use super::origin::Notice;
use super::paces;
use crate::capacity::duty::Outlook;
use crate::clock::Clock;
use crate::clock::Real;
use crate::follow::hosts::Hosts;
use crate::follow::share;
use crate::follow::share::Exchange;
use crate::gossip;
use crate::gossip::Datagram;
use crate::gossip::Peers;
use crate::gossip::StreamOrigin;
use crate::id::HostId;
use crate::log::keyed::Record;
use crate::origin::Backup;
use crate::placement::board::Load;
use crate::reassign::Constraints;
use crate::reassign::duty::PendingChanges;
use crate::suspicion;

/// Maximum size of a datagram.
const MAX_DATAGRAM_BYTES: usize = 60_000;

/// Maximum number of suspects in one datagram, about 50 bytes each.
const MAX_SUSPECTS: usize = 8;
/// Maximum number of limits in one datagram, about 12 bytes each.
const MAX_LIMITS: usize = 8;
/// Maximum number of paces of engines in one datagram, about 20 bytes each.
const MAX_PACES: usize = 4;
/// Maximum number of peers whose datagrams are named in one datagram, about 12 bytes each, so that they
/// can tell how old the sender's configuration is.
const MAX_PROVED_PEERS: usize = 8;
/// Number of hosts that remember the build of a stream, so that one is left when others fail.
const STREAM_KEEPERS: usize = 3;
/// Maximum number of streams in one datagram, about 15 bytes each.
const MAX_STREAMS: usize = 256;
/// Maximum number of running streams in one datagram, 8 bytes each.
const MAX_RUNNING_STREAMS: usize = 1024;
/// Interval at which the hosts that share limits are determined.
const SHARING_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum interval between two datagrams that are sent outside the regular interval.
const MIN_URGENT_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum share of known peers that are silent at which the suspects that they have reported are
/// read from the store.
const MIN_SILENT_SHARE: f64 = 0.2;

/// Updates that have not been sent to peers yet.
#[derive(Debug, Default)]
pub struct PendingUpdates {
    /// Prompts whose prefill was started.
    pub prefills: Vec<gossip::Prefill>,
}

/// Channels between the exchange and other threads.
#[derive(Debug)]
pub struct Inputs {
    /// Hosts found in the store.
    pub hosts: watch::Receiver<Hosts>,
    /// Engines that this host has ordered to change their role.
    pub pending_changes: watch::Receiver<PendingChanges>,
    /// Constraints on this host's orders.
    pub constraints: watch::Sender<Constraints>,
    /// Segments of the store that this host and its peers have read.
    pub exchange: Exchange,
    /// Whether many of the known peers are silent.
    pub is_partial: Arc<AtomicBool>,
    /// Demand of all hosts.
    pub outlook: watch::Sender<Outlook>,
}

/// Opens the socket that peers send datagrams to, and a listener at the same address for their
/// queries.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub fn open(address: SocketAddr) -> Result<(std::net::UdpSocket, std::net::TcpListener)> {
    let open = || {
        // With port 0, the port that the system picks has to be free for both protocols.
        let listener = std::net::TcpListener::bind(address)?;
        let socket = std::net::UdpSocket::bind(listener.local_addr()?)?;
        socket.set_nonblocking(true)?;
        listener.set_nonblocking(true)?;
        Ok::<_, std::io::Error>((socket, listener))
    };
    open().with_context(|| format!("cannot listen for peers on {address}"))
}

/// Exchanges datagrams with peers until the process exits.
pub async fn run(gateway: Rc<Gateway>, socket: UdpSocket, inputs: Inputs) {
    let Inputs {
        mut hosts,
        mut pending_changes,
        constraints,
        mut exchange,
        is_partial,
        outlook,
    } = inputs;
    let mut gatherer = Gatherer::new(outlook);
    let mut peers = Peers::default();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut tick = time::interval(gossip::MIN_INTERVAL);
    tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut sender = Sender::new();
    let started_at = Instant::now();
    let mut sharing_set_at = started_at;
    let mut observed = paces::Observed::default();
    let mut has_host_list = false;
    loop {
        tokio::select! {
            due = tick.tick() => {
                let late = Instant::now().saturating_duration_since(due.into_std());
                gateway.age_observer.record_delay(late);
                sender.send_due(&gateway, &socket, &mut peers).await;
                let now = Instant::now();
                if now.saturating_duration_since(sharing_set_at) >= SHARING_INTERVAL {
                    sharing_set_at = now;
                    sender.send_usage(&gateway, &socket);
                    let counts_unheard = started_at.elapsed() < gossip::SHARING_TIMEOUT;
                    let hosts = peers.sharing(&gateway.settings.name, counts_unheard, now);
                    // Until the store or a peer has named the others, a usual number is assumed.
                    let min_hosts = match has_host_list || hosts.len() > 1 {
                        true => 1,
                        false => gateway.settings.hosts_expected,
                    };
                    gateway.set_sharing_hosts(hosts, min_hosts, now);
                }
                gateway.keys.set_proved_peer(peers.has_proved(account::MAX_RECENT_AGE, now));
                is_partial.store(has_many_silent(&peers, now), Ordering::Relaxed);
                let (own, domain) = (&gateway.settings.name, &gateway.settings.domain);
                let rank_in_domain = peers.rank_in_domain(own, domain, now);
                gateway.streams.rank_in_domain.set(rank_in_domain);
                exchange.set_rank(rank_in_domain);
                exchange.set_received(peers.last_datagrams_in_domain(domain, now));
                let newest = Constraints {
                    rank: peers.rank(&gateway.settings.name, now),
                    is_idle: gateway.is_idle(now),
                    pending_changes: gateway.pending_changes(now),
                    unreachable: gateway.out_of_reach(now),
                    paces: observed.refreshed(&gateway, now),
                };
                gateway.streams.rank.set(newest.rank);
                gatherer.publish(&gateway, newest.rank, peers.count_known(), now);
                constraints.send_if_modified(|current| {
                    let is_changed = *current != newest;
                    *current = newest;
                    is_changed
                });
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    if let Some(datagram) = receive(&gateway, &mut peers, &buffer[..length], from) {
                        sender.apply_proof(&gateway, &datagram);
                        gatherer.receive(&datagram, Instant::now());
                        sender.deliver_segments(&gateway, &exchange, datagram);
                    }
                }
                Err(cause) => log::debug!(cause:% = cause; "datagram not received"),
            },
            Some(outgoing) = exchange.outbox.recv() => {
                sender.send_segment(&gateway, &socket, &peers, outgoing);
            }
            () = gateway.urgent_suspects.notified() => sender.send_urgent(&gateway, &socket, &peers),
            () = gateway.streams.urgent.notified() => sender.send_streams(&gateway, &socket, &peers),
            Ok(()) = pending_changes.changed() => {
                let ordered: Vec<u32> = pending_changes.borrow_and_update().keys().map(|id| gossip::digest(id)).collect();
                gateway.record_pending_changes(&ordered, Instant::now());
                sender.pending_changes = ordered;
            }
            Ok(()) = hosts.changed() => {
                has_host_list = true;
                for (host, address) in hosts.borrow_and_update().iter() {
                    if *host != gateway.settings.name {
                        peers.add(host, *address);
                    }
                }
                gateway.set_host_count(peers.count_known() + 1);
            }
        }
    }
}

/// Sender of datagrams, with the state that peers were last sent.
#[derive(Debug)]
struct Sender {
    started_at: u64,
    sequence: u64,
    sent: gossip::SentTimes,
    sent_at: Instant,
    urgent_sent_at: Instant,
    interval: Duration,
    loads: Vec<gossip::Load>,
    plain_loads: Vec<gossip::PlainLoad>,
    live_peers: usize,
    pending_changes: Vec<u32>,
    unreachable: Vec<u32>,
}

impl Sender {
    fn new() -> Self {
        let started_at = crate::clock::wall_ms(&crate::clock::Real);
        Sender {
            started_at,
            sequence: 0,
            sent: gossip::SentTimes::default(),
            sent_at: Instant::now(),
            urgent_sent_at: Instant::now(),
            interval: gossip::MIN_INTERVAL,
            loads: Vec::new(),
            plain_loads: Vec::new(),
            live_peers: 0,
            pending_changes: Vec::new(),
            unreachable: Vec::new(),
        }
    }

    /// Returns a datagram with this host's state.
    fn datagram(&self, gateway: &Gateway) -> Datagram {
        Datagram {
            host: gateway.settings.name.to_string(),
            domain: gateway.settings.domain.to_string(),
            started_at: self.started_at,
            sequence: self.sequence,
            loads: self.loads.clone(),
            plain_loads: self.plain_loads.clone(),
            pending_changes: self.pending_changes.clone(),
            unreachable: self.unreachable.clone(),
            config_version: gateway.config_version(),
            usage: gateway.usage.announcement(),
            demands: gateway.demand.borrow().report(Instant::now()),
            ..Datagram::default()
        }
    }

    /// Records that a datagram is about to be sent.
    fn record_sent(&mut self) {
        self.sequence += 1;
        self.sent.record(self.sequence, Real.moment());
    }

    /// Takes over the proof of a peer's configuration, if the peer has named a datagram of this host.
    fn apply_proof(&self, gateway: &Gateway, datagram: &Datagram) {
        let Some(proof) = &datagram.config_proof else {
            return;
        };
        let incarnation = gossip::incarnation_digest(&gateway.settings.name, self.started_at);
        let named = proof
            .received
            .iter()
            .find(|id| id.incarnation == incarnation);
        let sent_at = named.and_then(|id| self.sent.at(id.sequence));
        if let Some(proved_at) = sent_at.and_then(|at| proof.proved_at(at.boot)) {
            gateway.record_peer_proof(datagram.config_version, proved_at);
        }
    }

    /// Passes the segments of a peer's datagram to the threads that read their topics.
    fn deliver_segments(&self, gateway: &Gateway, exchange: &Exchange, datagram: Datagram) {
        let incarnation = gossip::incarnation_digest(&gateway.settings.name, self.started_at);
        for segment in datagram.segments {
            let Some(topic) = exchange.topic(&segment.topic) else {
                continue;
            };
            let id = segment
                .received
                .iter()
                .find(|id| id.incarnation == incarnation);
            let waited = Duration::from_millis(u64::from(segment.unchanged_ms));
            let asked = id.and_then(|id| self.sent.at(id.sequence));
            exchange.deliver(share::Incoming {
                asked: asked.map(|asked| asked + waited),
                segment: decode(topic, segment),
            });
        }
    }

    /// Sends a segment that this host has read to the hosts of the same failure domain.
    fn send_segment(
        &mut self,
        gateway: &Gateway,
        socket: &UdpSocket,
        peers: &Peers,
        outgoing: share::Outgoing,
    ) {
        let now = Instant::now();
        let near = peers.addresses_in_domain(&gateway.settings.domain, now);
        if near.is_empty() {
            return;
        }
        self.record_sent();
        let datagram = Datagram {
            segments: vec![encode(outgoing)],
            ..self.datagram(gateway)
        };
        send(socket, &datagram.encode_to_vec(), &near);
    }

    /// Sends counts of usage to the hosts that collect them.
    fn send_usage(&mut self, gateway: &Gateway, socket: &UdpSocket) {
        for message in gateway.usage.due() {
            self.record_sent();
            let mut datagram = self.datagram(gateway);
            if let Some(usage) = &mut datagram.usage {
                usage.windows.push(message.counts);
            }
            send(socket, &datagram.encode_to_vec(), &message.to);
        }
    }

    /// Sends the builds of streams to the peers that remember them, queries, and answers to queries.
    fn send_streams(&mut self, gateway: &Gateway, socket: &UdpSocket, peers: &Peers) {
        let now = Instant::now();
        let own = (&gateway.settings.name, &gateway.settings.domain);
        let keepers = |stream| peers.keepers(stream, STREAM_KEEPERS, own, now);
        let mut due: BTreeMap<SocketAddr, Datagram> = BTreeMap::new();
        for notice in gateway.streams.take_notices() {
            match notice {
                Notice::Began(origin) => {
                    let first = peers.first_in_domain(own.0, own.1, now);
                    let keepers: BTreeSet<SocketAddr> =
                        keepers(origin.stream).into_iter().chain(first).collect();
                    for peer in keepers {
                        due.entry(peer).or_default().origins.push(origin);
                    }
                }
                Notice::Query(query) => {
                    let asked = keepers(query.stream);
                    let has_silent_peers = peers.has_silent(gateway.streams.memory(now), now);
                    gateway
                        .streams
                        .record_asked(query.stream, &asked, has_silent_peers);
                    for peer in asked {
                        due.entry(peer).or_default().origin_queries.push(query);
                    }
                }
                Notice::Answer(peer, origin) => due.entry(peer).or_default().origins.push(origin),
            }
        }
        for (peer, content) in due {
            let mut queries = content.origin_queries;
            for origins in parts(&content.origins) {
                self.record_sent();
                let datagram = Datagram {
                    origins: origins.to_vec(),
                    origin_queries: std::mem::take(&mut queries),
                    ..self.datagram(gateway)
                };
                send(socket, &datagram.encode_to_vec(), &[peer]);
            }
        }
    }

    /// Sends suspects to the live peers without waiting for the next regular datagram.
    fn send_urgent(&mut self, gateway: &Gateway, socket: &UdpSocket, peers: &Peers) {
        let now = Instant::now();
        if now.saturating_duration_since(self.urgent_sent_at) < MIN_URGENT_INTERVAL {
            return;
        }
        let suspects = gateway
            .suspicion
            .borrow_mut()
            .due_reports(MAX_SUSPECTS, now);
        if suspects.is_empty() {
            return;
        }
        self.urgent_sent_at = now;
        self.record_sent();
        let datagram = Datagram {
            suspects: suspects.iter().map(Into::into).collect(),
            ..self.datagram(gateway)
        };
        send(socket, &datagram.encode_to_vec(), &peers.addresses(now));
    }

    /// Sends a datagram if one is due.
    async fn send_due(&mut self, gateway: &Gateway, socket: &UdpSocket, peers: &mut Peers) {
        let now = Instant::now();
        let since = now.saturating_duration_since(self.sent_at);
        if since < self.interval {
            return;
        }
        let loads = loads(gateway);
        let plain_loads = balance::loads(gateway, now);
        let updates = gateway.pending_updates.take();
        gateway.record_pending_changes(&self.pending_changes, now);
        let unreachable = gateway.unreachable(now);
        let has_same_state = loads == self.loads
            && balance::is_same_state(&plain_loads, &self.plain_loads)
            && unreachable == self.unreachable;
        let suspects = gateway
            .suspicion
            .borrow_mut()
            .due_reports(MAX_SUSPECTS, now);
        let limits = gateway.due_limits(MAX_LIMITS, now);
        let has_no_updates =
            updates.prefills.is_empty() && suspects.is_empty() && limits.is_empty();
        let is_unchanged = has_same_state && has_no_updates;
        if is_unchanged && since < gossip::MAX_INTERVAL {
            return;
        }
        self.record_sent();
        self.sent_at = now;
        self.loads = loads;
        self.plain_loads = plain_loads;
        self.unreachable = unreachable;
        let unproved =
            peers.last_datagrams_of_unproved(account::MAX_RECENT_AGE, MAX_PROVED_PEERS, now);
        let datagram = Datagram {
            config_proof: keys::config_proof(unproved, || gateway.config_proof_age()),
            prefills: updates.prefills,
            limits,
            suspects: suspects.iter().map(Into::into).collect(),
            account_sums: gateway.due_sums(now),
            paces: paces::due(gateway, MAX_PACES, now),
            ..self.datagram(gateway)
        };
        let bytes = datagram.encode_to_vec();
        let due = peers.due(now);
        self.interval = gossip::interval(bytes.len(), due.len());
        let own = (&gateway.settings.name, &gateway.settings.domain);
        let backups: Vec<Backup> = peers.backups(own, now).collect();
        let running = gateway
            .streams
            .due_running(&backups, MAX_RUNNING_STREAMS, now);
        if running.is_empty() {
            send(socket, &bytes, &due);
        } else {
            let is_backup =
                |address: &SocketAddr| backups.iter().any(|(backup, _)| backup == address);
            let (keepers, others): (Vec<_>, Vec<_>) = due.into_iter().partition(is_backup);
            let datagram = Datagram {
                running,
                ..datagram
            };
            send(socket, &bytes, &others);
            send(socket, &datagram.encode_to_vec(), &keepers);
        }
        let live_peers = peers.count_recent(now);
        if live_peers != self.live_peers {
            info!(
                peers = live_peers,
                was = self.live_peers,
                known = peers.count_known(),
                outcome = "changed";
                "peers heard changed"
            );
            gateway.metrics.set("peers_heard", live_peers as i64);
            self.live_peers = live_peers;
        }
    }
}

/// Divides streams into the parts that datagrams carry, at least one.
fn parts(origins: &[StreamOrigin]) -> impl Iterator<Item = &[StreamOrigin]> {
    let empty = origins.is_empty().then_some(origins);
    origins.chunks(MAX_STREAMS).chain(empty)
}

/// Returns `true` if many of the known peers are silent.
fn has_many_silent(peers: &Peers, now: Instant) -> bool {
    let known = peers.count_known();
    let silent = known - peers.count_recent(now);
    silent > 0 && silent as f64 >= MIN_SILENT_SHARE * known as f64
}

fn loads(gateway: &Gateway) -> Vec<gossip::Load> {
    let board = gateway.board.borrow();
    let mut loads: Vec<gossip::Load> = board
        .own_loads()
        .filter(|(_, load)| *load != Load::default())
        .map(|(id, load)| gossip::Load {
            engine: gossip::digest(id),
            running: load.running as u32,
            backlog_us: load.backlog.as_micros() as u64,
            late_us: load.late_backlog.as_micros() as u64,
        })
        .collect();
    loads.sort_by_key(|load| load.engine);
    loads
}

fn send(socket: &UdpSocket, bytes: &[u8], addresses: &[SocketAddr]) {
    for address in addresses {
        if let Err(cause) = socket.try_send_to(bytes, *address) {
            log::debug!(peer:% = address, cause:% = cause; "datagram not sent");
        }
    }
}

/// Encodes a segment; its records are left out if they are too large, and so is its patch.
fn encode(outgoing: share::Outgoing) -> gossip::Segment {
    let share::Outgoing { segment, freshness } = outgoing;
    let records = segment.records.and_then(share::sendable);
    let is_omitted = records.is_none();
    let patch = segment.patch.map(gossip::Patch::from);
    let records = records.into_iter().flatten().map(|record| gossip::Record {
        key: record.key.into(),
        value: record.value,
    });
    gossip::Segment {
        topic: segment.topic.into(),
        era: segment.era,
        from: segment.from,
        next: segment.next,
        records: records.collect(),
        patch: patch.filter(|patch| patch.encoded_len() <= share::MAX_RECORD_BYTES),
        is_omitted,
        received: freshness.received.to_vec(),
        unchanged_ms: freshness.waited.as_millis() as u32,
    }
}

fn decode(topic: &'static str, segment: gossip::Segment) -> share::Segment {
    let records = segment.records.into_iter().map(|record| Record {
        key: record.key.into(),
        value: record.value,
    });
    share::Segment {
        topic,
        era: segment.era,
        from: segment.from,
        next: segment.next,
        records: (!segment.is_omitted).then(|| records.collect()),
        patch: segment.patch.map(Into::into),
    }
}

/// Takes in a peer's datagram and returns it, or `None` if it cannot be decoded.
fn receive(
    gateway: &Gateway,
    peers: &mut Peers,
    bytes: &[u8],
    from: SocketAddr,
) -> Option<Datagram> {
    let datagram = match Datagram::decode(bytes) {
        Ok(datagram) => datagram,
        Err(cause) => {
            warn!(peer:% = from, outcome = "ignored", cause:% = cause; "datagram ignored");
            return None;
        }
    };
    let now = Instant::now();
    gateway.record_peer(from);
    gateway.usage.record_peer(&datagram, from);
    let mut announcement = gateway.announcement.borrow_mut();
    announcement.record(from, datagram.config_version, now);
    let known = peers.count_known();
    let is_newest = peers.record(&datagram, from, now);
    if peers.count_known() != known {
        gateway.set_host_count(peers.count_known() + 1);
    }
    gateway.record_pending_changes(&datagram.pending_changes, now);
    paces::record(gateway, &datagram);
    let mut board = gateway.board.borrow_mut();
    for prefill in &datagram.prefills {
        let blocks = prefill.blocks.iter().zip(&prefill.tokens);
        let blocks: Vec<Block> = blocks
            .map(|(id, tokens)| Block {
                id: *id,
                tokens: u64::from(*tokens),
            })
            .collect();
        board.record_peer_prefill(prefill.engine, &blocks);
    }
    if !datagram.suspects.is_empty() {
        let reports: Vec<suspicion::Report> = datagram.suspects.iter().map(Into::into).collect();
        let origin = gossip::digest(&datagram.host);
        gateway.suspicion.borrow_mut().merge(origin, &reports, now);
    }
    gateway.record_reported_limits(&datagram.limits, now);
    gateway.receive_origins(&datagram, from, now);
    if is_newest {
        let host = HostId::from(datagram.host.as_str());
        if datagram.domain == gateway.settings.domain {
            gateway.record_unreachable(&host, datagram.unreachable.clone(), now);
        }
        let loads = datagram.loads.iter().map(|load| {
            let own = Load {
                running: load.running as usize,
                backlog: Duration::from_micros(load.backlog_us),
                late_backlog: Duration::from_micros(load.late_us),
            };
            (load.engine, own)
        });
        board.record_peer(&host, &loads.collect(), now);
        gateway.record_peer_sums(&host, &datagram.account_sums, now);
        balance::record_peer(gateway, &host, &datagram, now);
    }
    Some(datagram)
}
