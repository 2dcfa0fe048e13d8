//! What gateways tell one another, many times a second, in datagrams.
//!
//! Loads are states: each datagram holds all of its sender's, so that a lost one does no harm.
//! Readings are events: a lost one costs precision only. Suspects are told again and again, since a
//! promise rests on them that must also hold at hosts that start later or lost a datagram.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::id::DomainId;
use crate::id::Fingerprint;
use crate::id::HostId;
use crate::id::IncarnationDigest;
use crate::suspicion::Fate;
use crate::suspicion::LossReport;
use crate::suspicion::Report;

/// Silence after which a peer's loads no longer count and it is only told of this host at times.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause between two datagrams while loads change; a few arrivals at the whole site.
pub const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Longest pause, also while nothing changes; several fit into [`PEER_TIMEOUT`].
pub const MAX_INTERVAL: Duration = Duration::from_millis(400);
/// Bytes that a host hears from all peers together in a second: a tenth of a link of 10 Mbit/s, the
/// slowest that hosts have.
const HEARD_BYTES: f64 = 125_000.0;
/// Bytes of the headers of IP and UDP.
const HEADER_BYTES: usize = 28;

/// Load of one engine that comes from the sender.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Load {
    /// Digest of the engine's name.
    #[prost(fixed32, tag = "1")]
    pub engine: u32,
    /// Requests in flight.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Reading for requests expected on time, in microseconds.
    #[prost(uint64, tag = "3")]
    pub backlog_us: u64,
    /// Reading for requests that will be late, in microseconds.
    #[prost(uint64, tag = "4")]
    pub late_us: u64,
}

/// A prompt that the sender had an engine read.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Prefill {
    /// Digest of the engine's name.
    #[prost(fixed32, tag = "1")]
    pub engine: u32,
    /// Parts of the prompt in order.
    #[prost(fixed64, repeated, tag = "2")]
    pub blocks: Vec<u64>,
    /// Tokens of each part.
    #[prost(uint32, repeated, tag = "3")]
    pub tokens: Vec<u32>,
}

/// A loss of a suspect at one life of an upstream.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Loss {
    /// Digest of the upstream's name and start.
    #[prost(fixed32, tag = "1")]
    pub incarnation: IncarnationDigest,
    /// Time since the loss, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// What became of the life: 0 if that is not known, 1 if it ended, 2 if it went on.
    #[prost(uint32, tag = "3")]
    pub fate: u32,
}

/// A request that may end upstreams, with the sender's own losses.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Suspect {
    /// Digest of the request.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: Fingerprint,
    /// The sender's losses.
    #[prost(message, repeated, tag = "3")]
    pub losses: Vec<Loss>,
    /// Time since the request last ran to its end at the sender, in milliseconds.
    #[prost(uint64, optional, tag = "4")]
    pub completed_ms: Option<u64>,
}

/// Number of a life that ended.
const FATE_ENDED: u32 = 1;
/// Number of a life that went on.
const FATE_ALIVE: u32 = 2;

impl From<&Report> for Suspect {
    fn from(told: &Report) -> Self {
        let losses = told.losses.iter().map(|loss| Loss {
            incarnation: loss.incarnation,
            age_ms: loss.age.as_millis() as u64,
            fate: match loss.fate {
                Fate::Unknown => 0,
                Fate::Ended => FATE_ENDED,
                Fate::Alive => FATE_ALIVE,
            },
        });
        Suspect {
            fingerprint: told.fingerprint,
            losses: losses.collect(),
            completed_ms: told.completed.map(|age| age.as_millis() as u64),
        }
    }
}

impl From<&Suspect> for Report {
    fn from(suspect: &Suspect) -> Self {
        let losses = suspect.losses.iter().map(|loss| LossReport {
            incarnation: loss.incarnation,
            age: Duration::from_millis(loss.age_ms),
            fate: match loss.fate {
                FATE_ENDED => Fate::Ended,
                FATE_ALIVE => Fate::Alive,
                _ => Fate::Unknown,
            },
        });
        Report {
            fingerprint: suspect.fingerprint,
            losses: losses.collect(),
            completed: suspect.completed_ms.map(Duration::from_millis),
        }
    }
}

/// A record of the store.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Record {
    /// Key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Content; none if the key was removed.
    #[prost(bytes = "vec", optional, tag = "2")]
    pub value: Option<Vec<u8>>,
}

/// Records that the sender read from the store.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Segment {
    /// Topic.
    #[prost(string, tag = "1")]
    pub topic: String,
    /// Offset of the first record.
    #[prost(fixed64, tag = "2")]
    pub from: u64,
    /// Offset after the last record.
    #[prost(fixed64, tag = "3")]
    pub next: u64,
    /// The records.
    #[prost(message, repeated, tag = "4")]
    pub records: Vec<Record>,
    /// Whether the records are left out because they are large.
    #[prost(bool, tag = "5")]
    pub is_left_out: bool,
    /// The newest datagram of each receiver that the sender had heard when it asked the store.
    #[prost(message, repeated, tag = "6")]
    pub received: Vec<DatagramId>,
    /// Time from the question for which the answer says that nothing came, in milliseconds.
    #[prost(uint32, tag = "7")]
    pub waited_ms: u32,
}

/// A datagram, named by its sender's life and its place in it.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct DatagramId {
    /// Digest of the sender's name and start.
    #[prost(fixed32, tag = "1")]
    pub incarnation: u32,
    /// Its count of datagrams.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
}

/// When this host sent its newest datagrams.
///
/// A peer that names one of them has read the store after it was sent. That bounds the age of what
/// the peer tells without clocks that agree, however long its datagram was on the way.
#[derive(Debug, Default)]
pub struct SentTimes {
    times: VecDeque<(u64, Instant)>,
}

impl SentTimes {
    /// Notes that the datagram with this count is sent now.
    pub fn record(&mut self, sequence: u64, now: Instant) {
        let is_old = |(_, at): &(u64, Instant)| now.saturating_duration_since(*at) >= PEER_TIMEOUT;
        while self.times.front().is_some_and(is_old) {
            self.times.pop_front();
        }
        self.times.push_back((sequence, now));
    }

    /// Returns when a datagram was sent, if that was of late.
    ///
    /// ```
    /// use std::time::Instant;
    /// use pistachiohall::gossip::SentTimes;
    /// let now = Instant::now();
    /// let mut sent = SentTimes::default();
    /// sent.record(7, now);
    /// assert_eq!(sent.at(7), Some(now));
    /// assert_eq!(sent.at(8), None);
    /// ```
    pub fn at(&self, sequence: u64) -> Option<Instant> {
        let found = self
            .times
            .binary_search_by_key(&sequence, |(known, _)| *known);
        found.ok().map(|index| self.times[index].1)
    }
}

/// One datagram.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Datagram {
    /// Sender's name.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Sender's start, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub started_at: u64,
    /// Counts the sender's datagrams.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// All loads that are not zero.
    #[prost(message, repeated, tag = "4")]
    pub loads: Vec<Load>,
    /// Prompts read since the last datagram.
    #[prost(message, repeated, tag = "5")]
    pub prefills: Vec<Prefill>,
    /// Engines that the sender has ordered to change their role, by the digests of their names.
    #[prost(fixed32, repeated, tag = "7")]
    pub pending_changes: Vec<u32>,
    /// Sender's failure domain.
    #[prost(string, tag = "8")]
    pub domain: String,
    /// What the sender has just read from the store; told within its failure domain.
    #[prost(message, repeated, tag = "9")]
    pub segments: Vec<Segment>,
    /// Upstreams that the sender cannot reach, by the digests of their names.
    #[prost(fixed32, repeated, tag = "10")]
    pub unreachable: Vec<u32>,
    /// Some of the suspects, by turns.
    #[prost(message, repeated, tag = "6")]
    pub suspects: Vec<Suspect>,
}

/// Returns the pause after a datagram of `bytes` to each of `peers`.
///
/// All hosts tell all others, so that what each hears grows with their number unless each tells
/// more rarely.
///
/// ```
/// use pistachiohall::gossip;
/// assert_eq!(gossip::interval(200, 7), gossip::MIN_INTERVAL);
/// assert!(gossip::interval(200, 73) > gossip::MIN_INTERVAL);
/// assert_eq!(gossip::interval(200, 1000), gossip::MAX_INTERVAL);
/// ```
pub fn interval(bytes: usize, peers: usize) -> Duration {
    let heard = ((bytes + HEADER_BYTES) * peers) as f64;
    Duration::from_secs_f64(heard / HEARD_BYTES).clamp(MIN_INTERVAL, MAX_INTERVAL)
}

/// Returns the digest by which datagrams name an engine.
pub fn digest(engine: &str) -> u32 {
    use std::hash::Hash;
    use std::hash::Hasher;

    let mut hasher = std::hash::DefaultHasher::new();
    engine.hash(&mut hasher);
    hasher.finish() as u32
}

/// Returns the digest by which marks name one life of a host.
pub fn incarnation_digest(host: &str, started_at: u64) -> u32 {
    use std::hash::Hash;
    use std::hash::Hasher;

    let mut hasher = std::hash::DefaultHasher::new();
    host.hash(&mut hasher);
    started_at.hash(&mut hasher);
    hasher.finish() as u32
}

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    domain: DomainId,
    started_at: u64,
    sequence: u64,
    heard: Option<Instant>,
    told: Option<Instant>,
}

/// Peers and when each was heard last.
#[derive(Debug, Default)]
pub struct Peers {
    peers: HashMap<HostId, Peer>,
}

impl Peers {
    /// Adds a peer, or notes its new address.
    pub fn add(&mut self, host: &HostId, address: SocketAddr) {
        let peer = self.peers.entry(host.clone()).or_insert(Peer {
            address,
            domain: DomainId::default(),
            started_at: 0,
            sequence: 0,
            heard: None,
            told: None,
        });
        peer.address = address;
    }

    /// Notes a datagram; returns whether it is newer than all before it.
    ///
    /// ```
    /// use std::time::Instant;
    /// use pistachiohall::gossip::{Datagram, Peers};
    /// let mut peers = Peers::default();
    /// let beat = |sequence| Datagram { host: "h2".into(), started_at: 1, sequence, ..Datagram::default() };
    /// let from = "127.0.0.1:9".parse().unwrap();
    /// assert!(peers.record(&beat(2), from, Instant::now()));
    /// assert!(!peers.record(&beat(1), from, Instant::now()));
    /// ```
    pub fn record(&mut self, beat: &Datagram, from: SocketAddr, now: Instant) -> bool {
        let host = HostId::from(beat.host.as_str());
        if let Some(peer) = self.peers.get(&host) {
            let is_repeated = beat.started_at == peer.started_at && beat.sequence <= peer.sequence;
            // A clock that was set back gives a new life an earlier start; silence tells.
            let is_of_before = beat.started_at < peer.started_at && is_recent(peer.heard, now);
            if is_repeated || is_of_before {
                return false;
            }
        }
        self.add(&host, from);
        if let Some(peer) = self.peers.get_mut(&host) {
            peer.domain = DomainId::from(beat.domain.as_str());
            peer.started_at = beat.started_at;
            peer.sequence = beat.sequence;
            peer.heard = Some(now);
        }
        true
    }

    /// Returns where to send a datagram now: to peers that were heard of late, and to the others
    /// once in a while.
    pub fn due(&mut self, now: Instant) -> Vec<SocketAddr> {
        let mut due = Vec::with_capacity(self.peers.len());
        for peer in self.peers.values_mut() {
            let is_heard = is_recent(peer.heard, now);
            if is_heard || !is_recent(peer.told, now) {
                peer.told = Some(now);
                due.push(peer.address);
            }
        }
        due
    }

    /// Returns where the peers are that were heard of late.
    pub fn addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let heard = self
            .peers
            .values()
            .filter(|peer| is_recent(peer.heard, now));
        heard.map(|peer| peer.address).collect()
    }

    /// Returns the place of `own` among the hosts that were heard of late, in the order of names.
    pub fn rank(&self, own: &HostId, now: Instant) -> usize {
        let heard = self
            .peers
            .iter()
            .filter(|(_, peer)| is_recent(peer.heard, now));
        heard.filter(|(host, _)| *host < own).count()
    }

    /// Returns the place of `own` among the hosts of `domain` that were heard of late.
    ///
    /// ```
    /// use std::time::Instant;
    /// use pistachiohall::gossip::{Datagram, Peers};
    /// let now = Instant::now();
    /// let mut peers = Peers::default();
    /// for (host, domain) in [("h1", "derby"), ("h2", "leicester"), ("h4", "derby")] {
    ///     let beat = Datagram { host: host.into(), domain: domain.into(), ..Datagram::default() };
    ///     peers.record(&beat, "127.0.0.1:9".parse().unwrap(), now);
    /// }
    /// assert_eq!(peers.rank_near(&"h3".into(), &"derby".into(), now), 1);
    /// ```
    pub fn rank_near(&self, own: &HostId, domain: &DomainId, now: Instant) -> usize {
        let near = self.near(domain, now);
        near.filter(|(host, _)| *host < own).count()
    }

    /// Returns where the hosts of `domain` are that were heard of late.
    pub fn addresses_near(&self, domain: &DomainId, now: Instant) -> Vec<SocketAddr> {
        self.near(domain, now)
            .map(|(_, peer)| peer.address)
            .collect()
    }

    /// Returns the newest datagram of each host of `domain` that was heard of late.
    pub fn last_datagrams_near(&self, domain: &DomainId, now: Instant) -> Vec<DatagramId> {
        let near = self.near(domain, now);
        near.map(|(host, peer)| DatagramId {
            incarnation: incarnation_digest(host, peer.started_at),
            sequence: peer.sequence,
        })
        .collect()
    }

    fn near(&self, domain: &DomainId, now: Instant) -> impl Iterator<Item = (&HostId, &Peer)> {
        self.peers
            .iter()
            .filter(move |(_, peer)| peer.domain == *domain && is_recent(peer.heard, now))
    }

    /// Returns how many peers are known, heard or not.
    pub fn known(&self) -> usize {
        self.peers.len()
    }

    /// Returns how many peers were heard of late.
    pub fn heard(&self, now: Instant) -> usize {
        let peers = self.peers.values();
        peers.filter(|peer| is_recent(peer.heard, now)).count()
    }
}

fn is_recent(at: Option<Instant>, now: Instant) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < PEER_TIMEOUT)
}
