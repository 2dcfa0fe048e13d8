//! Known peers, by the datagrams received from them.

use std::collections::HashMap;
use std::collections::HashSet;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::Datagram;
use super::DatagramId;
use super::PEER_TIMEOUT;
use super::SHARING_TIMEOUT;
use super::incarnation_digest;
use crate::id::DomainId;
use crate::id::HostId;
use crate::id::StreamDigest;

#[derive(Debug, Clone)]
struct Peer {
    address: SocketAddr,
    domain: DomainId,
    started_at: u64,
    sequence: u64,
    last_received: Option<Instant>,
    last_sent: Option<Instant>,
    /// Age of the proof of its configuration, as it last named it.
    proof_age: Option<Duration>,
}

/// Known peers with the time of the last datagram from each.
#[derive(Debug, Default)]
pub struct Peers {
    peers: HashMap<HostId, Peer>,
}

impl Peers {
    /// Adds a peer, or updates its address.
    pub fn add(&mut self, host: &HostId, address: SocketAddr) {
        let peer = self.peers.entry(host.clone()).or_insert(Peer {
            address,
            domain: DomainId::default(),
            started_at: 0,
            sequence: 0,
            last_received: None,
            last_sent: None,
            proof_age: None,
        });
        peer.address = address;
    }

    /// Records a datagram; returns `true` if it is newer than all previous ones of its sender.
    ///
    /// ```
    /// use std::time::Instant;
    /// use pistachiohall::gossip::{Datagram, Peers};
    /// let mut peers = Peers::default();
    /// let datagram = |sequence| Datagram { host: "h2".into(), started_at: 1, sequence, ..Datagram::default() };
    /// let from = "127.0.0.1:9".parse().unwrap();
    /// assert!(peers.record(&datagram(2), from, Instant::now()));
    /// assert!(!peers.record(&datagram(1), from, Instant::now()));
    /// ```
    pub fn record(&mut self, datagram: &Datagram, from: SocketAddr, now: Instant) -> bool {
        let host = HostId::from(datagram.host.as_str());
        if let Some(peer) = self.peers.get(&host) {
            let is_duplicate =
                datagram.started_at == peer.started_at && datagram.sequence <= peer.sequence;
            // If a host's clock was set back, its new incarnation has an earlier start time; it is
            // accepted once the previous incarnation has timed out.
            let is_previous_incarnation =
                datagram.started_at < peer.started_at && is_recent(peer.last_received, now);
            if is_duplicate || is_previous_incarnation {
                return false;
            }
        }
        self.add(&host, from);
        if let Some(peer) = self.peers.get_mut(&host) {
            peer.domain = DomainId::from(datagram.domain.as_str());
            peer.started_at = datagram.started_at;
            peer.sequence = datagram.sequence;
            if let Some(proof) = &datagram.config_proof {
                peer.proof_age = Some(proof.age());
            }
            peer.last_received = Some(now);
        }
        true
    }

    /// Returns the addresses to send a datagram to now: those of peers from which a datagram
    /// arrived recently, and occasionally those of the others.
    pub fn due(&mut self, now: Instant) -> Vec<SocketAddr> {
        let mut due = Vec::with_capacity(self.peers.len());
        for peer in self.peers.values_mut() {
            let is_responsive = is_recent(peer.last_received, now);
            if is_responsive || !is_recent(peer.last_sent, now) {
                peer.last_sent = Some(now);
                due.push(peer.address);
            }
        }
        due
    }

    /// Returns the addresses of the peers from which a datagram arrived recently.
    pub fn addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let recent = self
            .peers
            .values()
            .filter(|peer| is_recent(peer.last_received, now));
        recent.map(|peer| peer.address).collect()
    }

    /// Returns the rank of `own` by name among the hosts from which a datagram arrived recently.
    pub fn rank(&self, own: &HostId, now: Instant) -> usize {
        let recent = self
            .peers
            .iter()
            .filter(|(_, peer)| is_recent(peer.last_received, now));
        recent.filter(|(host, _)| *host < own).count()
    }

    /// Returns the rank of `own` by name among the hosts of `domain` from which a datagram arrived
    /// recently.
    ///
    /// ```
    /// use std::time::Instant;
    /// use pistachiohall::gossip::{Datagram, Peers};
    /// let now = Instant::now();
    /// let mut peers = Peers::default();
    /// for (host, domain) in [("h1", "derby"), ("h2", "leicester"), ("h4", "derby")] {
    ///     let datagram = Datagram { host: host.into(), domain: domain.into(), ..Datagram::default() };
    ///     peers.record(&datagram, "127.0.0.1:9".parse().unwrap(), now);
    /// }
    /// assert_eq!(peers.rank_in_domain(&"h3".into(), &"derby".into(), now), 1);
    /// ```
    pub fn rank_in_domain(&self, own: &HostId, domain: &DomainId, now: Instant) -> usize {
        let peers = self.domain_peers(domain, now);
        peers.filter(|(host, _)| *host < own).count()
    }

    /// Returns the addresses of up to `count` hosts that remember the origin of a stream, without `own`. All
    /// hosts agree on them without a message: they are the first by a rendezvous hash, each of another
    /// failure domain as long as there are some.
    ///
    /// ```
    /// use std::time::Instant;
    /// use pistachiohall::gossip::{Datagram, Peers};
    /// let now = Instant::now();
    /// let hosts = [("h1", "derby"), ("h2", "derby"), ("h3", "leicester")];
    /// let peers_of = |own: &str| {
    ///     let mut peers = Peers::default();
    ///     for (port, (host, domain)) in (1..).zip(hosts).filter(|(_, (host, _))| *host != own) {
    ///         let datagram = Datagram { host: host.into(), domain: domain.into(), ..Datagram::default() };
    ///         peers.record(&datagram, ([127, 0, 0, 1], port).into(), now);
    ///     }
    ///     peers
    /// };
    /// let keepers = |own: &str, domain: &str, stream| {
    ///     peers_of(own).keepers(stream, 2, (&own.into(), &domain.into()), now)
    /// };
    /// for stream in 0..9 {
    ///     // The third host is the only one of its domain.
    ///     assert!(keepers("h1", "derby", stream).contains(&([127, 0, 0, 1], 3).into()));
    /// }
    /// ```
    pub fn keepers(
        &self,
        stream: StreamDigest,
        count: usize,
        own: (&HostId, &DomainId),
        now: Instant,
    ) -> Vec<SocketAddr> {
        let recent = self.recent_peers(now);
        let peers = recent.map(|(host, peer)| (host, &peer.domain, Some(peer.address)));
        let mut ranked: Vec<_> = peers
            .chain([(own.0, own.1, None)])
            .map(|(host, domain, address)| (rendezvous(host, stream), host, domain, address))
            .collect();
        ranked.sort_unstable_by(|one, other| (other.0, other.1).cmp(&(one.0, one.1)));
        let mut domains = HashSet::new();
        let (first, rest): (Vec<_>, Vec<_>) = ranked
            .into_iter()
            .partition(|(_, _, domain, _)| domains.insert(*domain));
        let keepers = first.into_iter().chain(rest).take(count);
        keepers.filter_map(|(_, _, _, address)| address).collect()
    }

    /// Returns the peers that keep the running streams of `own` in case it ends: the next host of its failure domain
    /// by name, to which its callers turn, and one of another domain. Each is named by its address and its start.
    ///
    /// ```
    /// use std::time::Instant;
    /// use pistachiohall::gossip::{Datagram, Peers};
    /// let now = Instant::now();
    /// let mut peers = Peers::default();
    /// let hosts = [("h1", "derby"), ("h2", "leicester"), ("h3", "derby")];
    /// for (port, (host, domain)) in (1..).zip(hosts) {
    ///     let datagram = Datagram { host: host.into(), domain: domain.into(), ..Datagram::default() };
    ///     peers.record(&datagram, ([127, 0, 0, 1], port).into(), now);
    /// }
    /// let (host, domain) = ("h2a".into(), "derby".into());
    /// let backups = peers.backups((&host, &domain), now);
    /// let ports: Vec<u16> = backups.map(|(address, _)| address.port()).collect();
    /// assert_eq!(ports, [3, 2]);
    /// ```
    pub fn backups(
        &self,
        own: (&HostId, &DomainId),
        now: Instant,
    ) -> impl Iterator<Item = (SocketAddr, u64)> {
        let (host, domain) = own;
        let near = self
            .domain_peers(domain, now)
            .min_by_key(|(peer, _)| (*peer < host, *peer));
        let far = self
            .recent_peers(now)
            .filter(|(_, peer)| peer.domain != *domain)
            .max_by_key(|(peer, _)| (rendezvous(peer, rendezvous(host, 0)), *peer));
        let backups = near.into_iter().chain(far);
        backups.map(|(_, peer)| (peer.address, peer.started_at))
    }

    /// Returns the address of the host of `domain` with the lowest rank, unless that is `own`.
    pub fn first_in_domain(
        &self,
        own: &HostId,
        domain: &DomainId,
        now: Instant,
    ) -> Option<SocketAddr> {
        let peers = self.domain_peers(domain, now);
        let before = peers.filter(|(host, _)| *host < own);
        let first = before.min_by_key(|(host, _)| *host);
        first.map(|(_, peer)| peer.address)
    }

    /// Returns the addresses of the hosts of `domain` from which a datagram arrived recently.
    pub fn addresses_in_domain(&self, domain: &DomainId, now: Instant) -> Vec<SocketAddr> {
        self.domain_peers(domain, now)
            .map(|(_, peer)| peer.address)
            .collect()
    }

    /// Returns the newest datagram of each host of `domain`, if it arrived recently.
    pub fn last_datagrams_in_domain(&self, domain: &DomainId, now: Instant) -> Vec<DatagramId> {
        let peers = self.domain_peers(domain, now);
        peers.map(|(host, peer)| datagram_id(host, peer)).collect()
    }

    /// Returns the newest datagrams of up to `count` peers whose configuration was proved longer than
    /// `max_age` ago, those with the oldest proof first.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::gossip::{ConfigProof, Datagram, Peers};
    /// let now = Instant::now();
    /// let mut peers = Peers::default();
    /// for (host, age_ms) in [("h1", 3000), ("h2", 100), ("h3", u32::MAX)] {
    ///     let config_proof = Some(ConfigProof { age_ms, received: Vec::new() });
    ///     let datagram = Datagram { host: host.into(), sequence: 1, config_proof, ..Datagram::default() };
    ///     peers.record(&datagram, "127.0.0.1:9".parse().unwrap(), now);
    /// }
    /// let max_age = Duration::from_secs(2);
    /// assert_eq!(peers.last_datagrams_of_unproved(max_age, 8, now).len(), 2);
    /// assert!(peers.has_proved(max_age, now));
    /// ```
    pub fn last_datagrams_of_unproved(
        &self,
        max_age: Duration,
        count: usize,
        now: Instant,
    ) -> Vec<DatagramId> {
        let mut unproved: Vec<(Duration, &HostId, &Peer)> = self
            .recent_peers(now)
            .filter_map(|(host, peer)| Some((peer.proof_age?, host, peer)))
            .filter(|(age, _, _)| *age > max_age)
            .collect();
        unproved.sort_unstable_by_key(|(age, host, _)| (std::cmp::Reverse(*age), *host));
        let oldest = unproved.into_iter().take(count);
        oldest
            .map(|(_, host, peer)| datagram_id(host, peer))
            .collect()
    }

    /// Returns `true` if the configuration of a peer was proved within `max_age`.
    pub fn has_proved(&self, max_age: Duration, now: Instant) -> bool {
        let mut ages = self.recent_peers(now).map(|(_, peer)| peer.proof_age);
        ages.any(|age| age.is_some_and(|age| age <= max_age))
    }

    fn recent_peers(&self, now: Instant) -> impl Iterator<Item = (&HostId, &Peer)> {
        self.peers
            .iter()
            .filter(move |(_, peer)| is_recent(peer.last_received, now))
    }

    /// Returns the hosts that share limits, in order of their names: `own`, those from which a
    /// datagram arrived within a while, and, if `counts_unheard`, those from which none ever did.
    ///
    /// ```
    /// use std::time::Instant;
    /// use pistachiohall::gossip::Peers;
    /// let mut peers = Peers::default();
    /// peers.add(&"h2".into(), "127.0.0.1:9".parse().unwrap());
    /// let sharing = |counts_unheard| {
    ///     peers.sharing(&"h1".into(), counts_unheard, Instant::now()).len()
    /// };
    /// assert_eq!((sharing(true), sharing(false)), (2, 1));
    /// ```
    pub fn sharing(&self, own: &HostId, counts_unheard: bool, now: Instant) -> Vec<HostId> {
        let is_sharing = |peer: &Peer| {
            peer.last_received.map_or(counts_unheard, |at| {
                now.saturating_duration_since(at) < SHARING_TIMEOUT
            })
        };
        let peers = self.peers.iter().filter(|(_, peer)| is_sharing(peer));
        let mut hosts: Vec<HostId> = peers.map(|(host, _)| host.clone()).collect();
        hosts.push(own.clone());
        hosts.sort_unstable();
        hosts
    }

    fn domain_peers(
        &self,
        domain: &DomainId,
        now: Instant,
    ) -> impl Iterator<Item = (&HostId, &Peer)> {
        self.peers
            .iter()
            .filter(move |(_, peer)| peer.domain == *domain && is_recent(peer.last_received, now))
    }

    /// Returns `true` if a peer has fallen silent within `window`: it may live on where this host cannot hear it.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::gossip::{Datagram, PEER_TIMEOUT, Peers};
    /// let (mut peers, now) = (Peers::default(), Instant::now());
    /// let datagram = Datagram { host: "h2".into(), ..Datagram::default() };
    /// peers.record(&datagram, "127.0.0.1:9".parse().unwrap(), now);
    /// let window = Duration::from_secs(30);
    /// assert!(!peers.has_silent(window, now));
    /// assert!(peers.has_silent(window, now + PEER_TIMEOUT));
    /// assert!(!peers.has_silent(window, now + window));
    /// ```
    pub fn has_silent(&self, window: Duration, now: Instant) -> bool {
        let since = |peer: &Peer| {
            peer.last_received
                .map(|at| now.saturating_duration_since(at))
        };
        let mut silent = self.peers.values().filter_map(since);
        silent.any(|silence| (PEER_TIMEOUT..window).contains(&silence))
    }

    /// Returns the number of known peers, including those from which no datagram arrived.
    pub fn count_known(&self) -> usize {
        self.peers.len()
    }

    /// Returns the number of peers from which a datagram arrived recently.
    pub fn count_recent(&self, now: Instant) -> usize {
        let peers = self.peers.values();
        peers
            .filter(|peer| is_recent(peer.last_received, now))
            .count()
    }
}

/// Returns the rendezvous hash of a host and a stream.
fn rendezvous(host: &HostId, stream: StreamDigest) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    (host, stream).hash(&mut hasher);
    hasher.finish()
}

fn datagram_id(host: &HostId, peer: &Peer) -> DatagramId {
    DatagramId {
        incarnation: incarnation_digest(host, peer.started_at),
        sequence: peer.sequence,
    }
}

fn is_recent(at: Option<Instant>, now: Instant) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < PEER_TIMEOUT)
}
