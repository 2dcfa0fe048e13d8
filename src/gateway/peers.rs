//! Tells peers of this host's loads, and takes in theirs.

use std::net::SocketAddr;
use std::rc::Rc;
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
use super::call::Part;
use crate::follow::hosts::Hosts;
use crate::gossip;
use crate::gossip::Beat;
use crate::gossip::Peers;
use crate::id::HostId;
use crate::placement::board::Load;
use crate::quarantine::Suspect;
use crate::reassign::Standing;
use crate::reassign::duty::Away;

/// Pause between two datagrams while loads change; a few arrivals at the whole site.
const BEAT_PAUSE: Duration = Duration::from_millis(20);
/// Longest pause while nothing changes.
const QUIET_PAUSE: Duration = Duration::from_millis(400);
/// Largest datagram, in bytes.
const DATAGRAM_BYTES: usize = 60_000;

/// Readings and suspects that peers have not been told of.
#[derive(Debug, Default)]
pub struct News {
    /// Prompts read.
    pub readings: Vec<gossip::Reading>,
    /// Suspects found.
    pub suspects: Vec<gossip::Suspect>,
}

/// What the exchange hears from other threads and tells them.
#[derive(Debug)]
pub struct Sources {
    /// Hosts that were found in the store.
    pub hosts: watch::Receiver<Hosts>,
    /// Engines that this host has ordered to change their role.
    pub away: watch::Receiver<Away>,
    /// What this host's orders depend on.
    pub standing: watch::Sender<Standing>,
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
pub async fn run(gateway: Rc<Gateway>, socket: UdpSocket, sources: Sources) {
    let Sources {
        mut hosts,
        mut away,
        standing,
    } = sources;
    let mut peers = Peers::default();
    let mut buffer = vec![0; DATAGRAM_BYTES];
    let mut tick = time::interval(BEAT_PAUSE);
    tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut told = Told::new();
    loop {
        tokio::select! {
            _ = tick.tick() => {
                told.tell(&gateway, &socket, &mut peers).await;
                let now = Instant::now();
                let newest = Standing {
                    rank: peers.rank(&gateway.settings.name, now),
                    is_idle: gateway.is_idle(now),
                    away: gateway.away(now),
                };
                standing.send_if_modified(|held| {
                    let is_changed = *held != newest;
                    *held = newest;
                    is_changed
                });
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => take_in(&gateway, &mut peers, &buffer[..length], from),
                Err(cause) => log::debug!(cause:% = cause; "a datagram was lost"),
            },
            Ok(()) = away.changed() => {
                let ordered: Vec<u32> = away.borrow_and_update().keys().map(|id| gossip::digest(id)).collect();
                gateway.note_away(&ordered, Instant::now());
                told.away = ordered;
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
    born: u64,
    sequence: u64,
    at: Instant,
    loads: Vec<gossip::Load>,
    heard: usize,
    away: Vec<u32>,
}

impl Told {
    fn new() -> Self {
        let born = crate::clock::wall_ms(&crate::clock::Real);
        Told {
            born,
            sequence: 0,
            at: Instant::now(),
            loads: Vec::new(),
            heard: 0,
            away: Vec::new(),
        }
    }

    async fn tell(&mut self, gateway: &Gateway, socket: &UdpSocket, peers: &mut Peers) {
        let now = Instant::now();
        let loads = loads(gateway);
        let news = gateway.news.take();
        gateway.note_away(&self.away, now);
        let is_quiet = loads == self.loads && news.readings.is_empty() && news.suspects.is_empty();
        if is_quiet && now.duration_since(self.at) < QUIET_PAUSE {
            return;
        }
        self.sequence += 1;
        self.at = now;
        self.loads = loads.clone();
        let beat = Beat {
            host: gateway.settings.name.to_string(),
            born: self.born,
            sequence: self.sequence,
            loads,
            readings: news.readings,
            suspects: news.suspects,
            away: self.away.clone(),
        };
        let datagram = beat.encode_to_vec();
        for address in peers.due(now) {
            if let Err(cause) = socket.try_send_to(&datagram, address) {
                log::debug!(peer:% = address, cause:% = cause; "datagram not sent");
            }
        }
        let heard = peers.heard(now);
        if heard != self.heard {
            info!(
                peers = heard,
                was = self.heard,
                known = peers.known(),
                outcome = "changed";
                "peers heard changed"
            );
            gateway.counters.set("peers_heard", heard as i64);
            self.heard = heard;
        }
    }
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
            late_us: load.late.as_micros() as u64,
        })
        .collect();
    loads.sort_by_key(|load| load.engine);
    loads
}

fn take_in(gateway: &Gateway, peers: &mut Peers, datagram: &[u8], from: SocketAddr) {
    let beat = match Beat::decode(datagram) {
        Ok(beat) => beat,
        Err(cause) => {
            warn!(peer:% = from, outcome = "ignored", cause:% = cause; "datagram ignored");
            return;
        }
    };
    let now = Instant::now();
    gateway.note_heard(from);
    let known = peers.known();
    let is_newest = peers.note(&beat, from, now);
    if peers.known() != known {
        gateway.note_hosts(peers.known() + 1);
    }
    gateway.note_away(&beat.away, now);
    let mut board = gateway.board.borrow_mut();
    for reading in &beat.readings {
        let parts = reading.parts.iter().zip(&reading.tokens);
        let parts: Vec<Part> = parts
            .map(|(id, tokens)| Part {
                id: *id,
                tokens: u64::from(*tokens),
            })
            .collect();
        board.note_peer_reading(reading.engine, &parts);
    }
    for suspect in &beat.suspects {
        let crashes = u8::try_from(suspect.crashes).unwrap_or(u8::MAX);
        let told = Suspect {
            fingerprint: suspect.fingerprint,
            crashes,
        };
        gateway.quarantine.merge(told, now);
    }
    if is_newest {
        let host = HostId::from(beat.host);
        let loads = beat.loads.iter().map(|load| {
            let own = Load {
                running: load.running as usize,
                backlog: Duration::from_micros(load.backlog_us),
                late: Duration::from_micros(load.late_us),
            };
            (load.engine, own)
        });
        board.note_peer(&host, &loads.collect(), now);
    }
}
