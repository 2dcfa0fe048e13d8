//! Tells peers of this host's loads, and takes in theirs.

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
use super::call::Block;
use crate::follow::hosts::Hosts;
use crate::follow::share;
use crate::follow::share::Exchange;
use crate::gossip;
use crate::gossip::Datagram;
use crate::gossip::Peers;
use crate::id::HostId;
use crate::log::keyed::Record;
use crate::placement::board::Load;
use crate::reassign::Constraints;
use crate::reassign::duty::PendingChanges;
use crate::suspicion;

/// Records that are told with a segment, in bytes; hosts read larger ones by themselves.
const SEGMENT_BYTES: usize = 32_000;
/// Largest datagram, in bytes.
const DATAGRAM_BYTES: usize = 60_000;

/// Suspects told in one datagram, some 50 bytes each.
const MOST_SUSPECTS: usize = 8;
/// Shortest pause between two datagrams that do not wait for their turn.
const URGENT_PAUSE: Duration = Duration::from_millis(200);
/// Share of the known hosts that are not heard from which what they see is read from the store.
const PARTIAL_SHARE: f64 = 0.2;

/// What peers have not been told of.
#[derive(Debug, Default)]
pub struct PendingUpdates {
    /// Prompts read.
    pub prefills: Vec<gossip::Prefill>,
}

/// What the exchange hears from other threads and tells them.
#[derive(Debug)]
pub struct Inputs {
    /// Hosts that were found in the store.
    pub hosts: watch::Receiver<Hosts>,
    /// Engines that this host has ordered to change their role.
    pub pending_changes: watch::Receiver<PendingChanges>,
    /// What this host's orders depend on.
    pub constraints: watch::Sender<Constraints>,
    /// What this host and its peers read from the store.
    pub exchange: Exchange,
    /// Whether many of the known hosts are not heard.
    pub is_partial: Arc<AtomicBool>,
}

/// Opens the socket that peers send to, and a listener at the same address for their questions.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub fn open(address: SocketAddr) -> Result<(std::net::UdpSocket, std::net::TcpListener)> {
    let open = || {
        // Where any port will do, it has to be free for both protocols.
        let listener = std::net::TcpListener::bind(address)?;
        let socket = std::net::UdpSocket::bind(listener.local_addr()?)?;
        socket.set_nonblocking(true)?;
        listener.set_nonblocking(true)?;
        Ok::<_, std::io::Error>((socket, listener))
    };
    open().with_context(|| format!("cannot hear peers on {address}"))
}

/// Exchanges datagrams with peers until the process ends.
pub async fn run(gateway: Rc<Gateway>, socket: UdpSocket, sources: Inputs) {
    let Inputs {
        mut hosts,
        mut pending_changes,
        constraints,
        mut exchange,
        is_partial,
    } = sources;
    let mut peers = Peers::default();
    let mut buffer = vec![0; DATAGRAM_BYTES];
    let mut tick = time::interval(gossip::MIN_INTERVAL);
    tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut told = Told::new();
    loop {
        tokio::select! {
            due = tick.tick() => {
                let late = Instant::now().saturating_duration_since(due.into_std());
                gateway.age_observer.note_turn(late);
                told.tell(&gateway, &socket, &mut peers).await;
                let now = Instant::now();
                is_partial.store(hears_part(&peers, now), Ordering::Relaxed);
                let (own, domain) = (&gateway.settings.name, &gateway.settings.domain);
                exchange.set_rank(peers.rank_near(own, domain, now));
                exchange.set_received(peers.last_datagrams_near(domain, now));
                let newest = Constraints {
                    rank: peers.rank(&gateway.settings.name, now),
                    is_idle: gateway.is_idle(now),
                    pending_changes: gateway.pending_changes(now),
                };
                constraints.send_if_modified(|held| {
                    let is_changed = *held != newest;
                    *held = newest;
                    is_changed
                });
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    if let Some(beat) = take_in(&gateway, &mut peers, &buffer[..length], from) {
                        told.deliver_segments(&gateway, &exchange, beat);
                    }
                }
                Err(cause) => log::debug!(cause:% = cause; "a datagram was lost"),
            },
            Some(outgoing) = exchange.outbox.recv() => {
                told.tell_segment(&gateway, &socket, &peers, outgoing);
            }
            () = gateway.urgent.notified() => told.tell_urgent(&gateway, &socket, &peers),
            Ok(()) = pending_changes.changed() => {
                let ordered: Vec<u32> = pending_changes.borrow_and_update().keys().map(|id| gossip::digest(id)).collect();
                gateway.record_pending_changes(&ordered, Instant::now());
                told.pending_changes = ordered;
            }
            Ok(()) = hosts.changed() => {
                for (host, address) in hosts.borrow_and_update().iter() {
                    if *host != gateway.settings.name {
                        peers.add(host, *address);
                    }
                }
                gateway.note_hosts(peers.known() + 1);
            }
        }
    }
}

/// What peers were told last.
#[derive(Debug)]
struct Told {
    started_at: u64,
    sequence: u64,
    sent: gossip::SentTimes,
    at: Instant,
    urgent_at: Instant,
    pause: Duration,
    loads: Vec<gossip::Load>,
    heard: usize,
    pending_changes: Vec<u32>,
    unreachable: Vec<u32>,
}

impl Told {
    fn new() -> Self {
        let started_at = crate::clock::wall_ms(&crate::clock::Real);
        Told {
            started_at,
            sequence: 0,
            sent: gossip::SentTimes::default(),
            at: Instant::now(),
            urgent_at: Instant::now(),
            pause: gossip::MIN_INTERVAL,
            loads: Vec::new(),
            heard: 0,
            pending_changes: Vec::new(),
            unreachable: Vec::new(),
        }
    }

    /// Returns a datagram of this host's state.
    fn beat(&self, gateway: &Gateway) -> Datagram {
        Datagram {
            host: gateway.settings.name.to_string(),
            domain: gateway.settings.domain.to_string(),
            started_at: self.started_at,
            sequence: self.sequence,
            loads: self.loads.clone(),
            pending_changes: self.pending_changes.clone(),
            unreachable: self.unreachable.clone(),
            ..Datagram::default()
        }
    }

    /// Counts a datagram that is sent now.
    fn count(&mut self, now: Instant) {
        self.sequence += 1;
        self.sent.record(self.sequence, now);
    }

    /// Hands the segments of a peer's datagram to the threads that read their topics.
    fn deliver_segments(&self, gateway: &Gateway, exchange: &Exchange, beat: Datagram) {
        let incarnation = gossip::incarnation_digest(&gateway.settings.name, self.started_at);
        for segment in beat.segments {
            let Some(topic) = exchange.topic(&segment.topic) else {
                continue;
            };
            let mark = segment
                .received
                .iter()
                .find(|mark| mark.incarnation == incarnation);
            let waited = Duration::from_millis(u64::from(segment.waited_ms));
            let asked = mark.and_then(|mark| self.sent.at(mark.sequence));
            exchange.deliver(share::Incoming {
                asked: asked.map(|asked| asked + waited),
                segment: decode(topic, segment),
            });
        }
    }

    /// Tells the hosts of the same failure domain what this one has read.
    fn tell_segment(
        &mut self,
        gateway: &Gateway,
        socket: &UdpSocket,
        peers: &Peers,
        outgoing: share::Outgoing,
    ) {
        let now = Instant::now();
        let near = peers.addresses_near(&gateway.settings.domain, now);
        if near.is_empty() {
            return;
        }
        self.count(now);
        let beat = Datagram {
            segments: vec![encode(outgoing)],
            ..self.beat(gateway)
        };
        send(socket, &beat.encode_to_vec(), &near);
    }

    /// Tells the peers that are heard of suspects without waiting for the next turn.
    fn tell_urgent(&mut self, gateway: &Gateway, socket: &UdpSocket, peers: &Peers) {
        let now = Instant::now();
        if now.saturating_duration_since(self.urgent_at) < URGENT_PAUSE {
            return;
        }
        let suspects = gateway
            .suspicion
            .borrow_mut()
            .due_reports(MOST_SUSPECTS, now);
        if suspects.is_empty() {
            return;
        }
        self.urgent_at = now;
        self.count(now);
        let beat = Datagram {
            suspects: suspects.iter().map(Into::into).collect(),
            ..self.beat(gateway)
        };
        send(socket, &beat.encode_to_vec(), &peers.addresses(now));
    }

    async fn tell(&mut self, gateway: &Gateway, socket: &UdpSocket, peers: &mut Peers) {
        let now = Instant::now();
        let since = now.saturating_duration_since(self.at);
        if since < self.pause {
            return;
        }
        let loads = loads(gateway);
        let pending_updates = gateway.pending_updates.take();
        gateway.record_pending_changes(&self.pending_changes, now);
        let unreachable = gateway.unreachable(now);
        let is_same = loads == self.loads && unreachable == self.unreachable;
        let suspects = gateway
            .suspicion
            .borrow_mut()
            .due_reports(MOST_SUSPECTS, now);
        let is_quiet = is_same && pending_updates.prefills.is_empty() && suspects.is_empty();
        if is_quiet && since < gossip::MAX_INTERVAL {
            return;
        }
        self.count(now);
        self.at = now;
        self.loads = loads;
        self.unreachable = unreachable;
        let beat = Datagram {
            prefills: pending_updates.prefills,
            suspects: suspects.iter().map(Into::into).collect(),
            ..self.beat(gateway)
        };
        let datagram = beat.encode_to_vec();
        let due = peers.due(now);
        self.pause = gossip::interval(datagram.len(), due.len());
        send(socket, &datagram, &due);
        let heard = peers.heard(now);
        if heard != self.heard {
            info!(
                peers = heard,
                was = self.heard,
                known = peers.known(),
                outcome = "changed";
                "peers heard changed"
            );
            gateway.metrics.set("peers_heard", heard as i64);
            self.heard = heard;
        }
    }
}

/// Returns whether many of the known hosts are not heard.
fn hears_part(peers: &Peers, now: Instant) -> bool {
    let known = peers.known();
    let missing = known - peers.heard(now);
    missing > 0 && missing as f64 >= PARTIAL_SHARE * known as f64
}

fn loads(gateway: &Gateway) -> Vec<gossip::Load> {
    let board = gateway.board.borrow();
    let mut loads: Vec<gossip::Load> = board
        .own()
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

fn send(socket: &UdpSocket, datagram: &[u8], addresses: &[SocketAddr]) {
    for address in addresses {
        if let Err(cause) = socket.try_send_to(datagram, *address) {
            log::debug!(peer:% = address, cause:% = cause; "datagram not sent");
        }
    }
}

/// Encodes a segment, without its records if they are large.
fn encode(outgoing: share::Outgoing) -> gossip::Segment {
    let share::Outgoing { segment, proof } = outgoing;
    let size = |record: &Record| record.key.len() + record.value.as_ref().map_or(0, Vec::len);
    let told = segment
        .records
        .filter(|records| records.iter().map(size).sum::<usize>() <= SEGMENT_BYTES);
    let is_left_out = told.is_none();
    let entries = told.into_iter().flatten().map(|record| gossip::Record {
        key: record.key.into(),
        value: record.value,
    });
    gossip::Segment {
        topic: segment.topic.into(),
        from: segment.from,
        next: segment.next,
        records: entries.collect(),
        is_left_out,
        received: proof.received.to_vec(),
        waited_ms: proof.waited.as_millis() as u32,
    }
}

fn decode(topic: &'static str, segment: gossip::Segment) -> share::Segment {
    let records = segment.records.into_iter().map(|entry| Record {
        key: entry.key.into(),
        value: entry.value,
    });
    share::Segment {
        topic,
        from: segment.from,
        next: segment.next,
        records: (!segment.is_left_out).then(|| records.collect()),
    }
}

/// Takes in a peer's datagram; returns it, or nothing if it cannot be read.
fn take_in(
    gateway: &Gateway,
    peers: &mut Peers,
    datagram: &[u8],
    from: SocketAddr,
) -> Option<Datagram> {
    let beat = match Datagram::decode(datagram) {
        Ok(beat) => beat,
        Err(cause) => {
            warn!(peer:% = from, outcome = "ignored", cause:% = cause; "datagram ignored");
            return None;
        }
    };
    let now = Instant::now();
    gateway.note_heard(from);
    let known = peers.known();
    let is_newest = peers.record(&beat, from, now);
    if peers.known() != known {
        gateway.note_hosts(peers.known() + 1);
    }
    gateway.record_pending_changes(&beat.pending_changes, now);
    let mut board = gateway.board.borrow_mut();
    for reading in &beat.prefills {
        let blocks = reading.blocks.iter().zip(&reading.tokens);
        let blocks: Vec<Block> = blocks
            .map(|(id, tokens)| Block {
                id: *id,
                tokens: u64::from(*tokens),
            })
            .collect();
        board.record_peer_prefill(reading.engine, &blocks);
    }
    if !beat.suspects.is_empty() {
        let told: Vec<suspicion::Report> = beat.suspects.iter().map(Into::into).collect();
        let origin = gossip::digest(&beat.host);
        gateway.suspicion.borrow_mut().merge(origin, &told, now);
    }
    if is_newest {
        let host = HostId::from(beat.host.as_str());
        if beat.domain == gateway.settings.domain {
            gateway.record_unreachability_reports(&host, beat.unreachable.clone(), now);
        }
        let loads = beat.loads.iter().map(|load| {
            let own = Load {
                running: load.running as usize,
                backlog: Duration::from_micros(load.backlog_us),
                late_backlog: Duration::from_micros(load.late_us),
            };
            (load.engine, own)
        });
        board.record_peer(&host, &loads.collect(), now);
    }
    Some(beat)
}
