//! The other hosts of the deployment, known from the platform's list and from heartbeats.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::id::DomainId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Offset;
use crate::id::UpstreamId;
use crate::log::Host;
use crate::log::Kind;
use crate::log::State;

/// Time after its last heartbeat for which a member counts as alive.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after an exchange with a failure domain for which hosts of other domains may use its
/// upstreams.
pub const CROSS_DOMAIN_WINDOW: Duration = Duration::from_secs(3);
/// Time after leaving the list from which a silent member counts as departed.
const DEPARTURE_DELAY: Duration = Duration::from_secs(15);

/// State that one host sends the others.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// Name of the host.
    pub host: HostId,
    /// Failure domain.
    pub domain: DomainId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Address at which its peers reach it.
    pub peer: SocketAddr,
    /// Offset after the last configuration record that it applied.
    pub config_next: Offset,
    /// Offset after the last record of its domain's orders that it applied.
    pub orders_next: Offset,
    /// Revision of its active configuration.
    pub revision: Option<Offset>,
    /// `true` if it serves requests.
    pub ready: bool,
    /// `true` if it is about to end.
    pub leaving: bool,
    /// Number of its requests in flight, by upstream.
    pub counts: Vec<(UpstreamId, usize)>,
    /// Upstreams to which it sends no new requests because of an intent.
    pub acknowledgements: Vec<Acknowledgement>,
    /// Upstreams of its domain that get no new work.
    pub out_of_use: Vec<UpstreamId>,
}

/// Confirmation that a host sends an upstream no new requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Acknowledgement {
    /// Upstream that gets no new requests.
    pub upstream: UpstreamId,
    /// Offset of the intent that asked for it.
    pub order: Offset,
    /// Number of requests still in flight on it.
    pub in_flight: usize,
}

/// One host as another sees it.
#[derive(Debug, Clone)]
pub struct Member {
    /// Address at which its peers reach it.
    pub peer: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// `true` if the list showed it when last read.
    pub is_listed: bool,
    /// `true` if the list shows it as leaving.
    pub leaving: bool,
    /// Its latest heartbeat, with the time of receipt.
    pub heartbeat: Option<(Heartbeat, Instant)>,
    unlisted_since: Option<Instant>,
}

impl Member {
    /// Returns a member that has sent no heartbeat yet.
    pub fn new(peer: SocketAddr, domain: DomainId) -> Self {
        Member {
            peer,
            domain,
            is_listed: false,
            leaving: false,
            heartbeat: None,
            unlisted_since: None,
        }
    }

    /// Returns `true` if a heartbeat was received recently.
    pub fn is_alive(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < HEARTBEAT_TIMEOUT;
        self.heartbeat
            .as_ref()
            .is_some_and(|(_, at)| is_recent(*at))
    }

    /// Returns `true` if it is known to have departed: it has been off the list long enough and is
    /// silent.
    pub fn has_departed(&self, now: Instant) -> bool {
        let is_over = |since: Instant| now.saturating_duration_since(since) >= DEPARTURE_DELAY;
        !self.is_listed && !self.is_alive(now) && self.unlisted_since.is_some_and(is_over)
    }
}

/// The hosts known to this one, without itself.
#[derive(Debug)]
pub struct Members {
    own_host: HostId,
    members: Mutex<HashMap<HostId, Member>>,
    last_exchanges: Mutex<HashMap<DomainId, Instant>>,
    departed: Mutex<HashSet<Incarnation>>,
}

impl Members {
    /// Returns an empty set, as seen by host `own_host`.
    ///
    /// ```
    /// assert!(pistachiohall::member::Members::new("n1".into()).all().is_empty());
    /// ```
    pub fn new(own_host: HostId) -> Self {
        Members {
            own_host,
            members: Mutex::default(),
            last_exchanges: Mutex::default(),
            departed: Mutex::default(),
        }
    }

    /// Updates the members from the platform's list.
    pub fn apply_list(&self, hosts: &[Host], now: Instant) {
        let mut members = self.members.lock().expect("member lock");
        for member in members.values_mut() {
            member.is_listed = false;
        }
        for host in hosts.iter().filter(|host| host.kind == Kind::Entry) {
            let Some(peer) = host.peer.filter(|_| host.name != self.own_host) else {
                continue;
            };
            let member = members
                .entry(host.name.clone())
                .or_insert_with(|| Member::new(peer, host.domain.clone()));
            member.is_listed = true;
            member.unlisted_since = None;
            member.leaving = host.state == State::Leaving;
        }
        for member in members.values_mut().filter(|member| !member.is_listed) {
            member.unlisted_since.get_or_insert(now);
        }
        let mut departed = self.departed.lock().expect("departed lock");
        members.retain(|_, member| {
            let has_departed = member.has_departed(now);
            if let (true, Some((beat, _))) = (has_departed, &member.heartbeat) {
                departed.insert(beat.incarnation);
            }
            !has_departed
        });
    }

    /// Returns `true` if a process is known to have ended.
    ///
    /// Either its host has departed, or a newer process of the host listens at the same address.
    pub fn has_ended(&self, incarnation: Incarnation) -> bool {
        self.departed
            .lock()
            .expect("departed lock")
            .contains(&incarnation)
    }

    /// Updates the members from a heartbeat.
    pub fn apply_heartbeat(&self, beat: Heartbeat, now: Instant) {
        if beat.host == self.own_host {
            return;
        }
        let mut members = self.members.lock().expect("member lock");
        let member = members.entry(beat.host.clone()).or_insert_with(|| Member {
            unlisted_since: Some(now),
            ..Member::new(beat.peer, beat.domain.clone())
        });
        if let Some((old, _)) = &member.heartbeat
            && old.peer == beat.peer
            && old.incarnation < beat.incarnation
        {
            self.departed
                .lock()
                .expect("departed lock")
                .insert(old.incarnation);
        }
        member.peer = beat.peer;
        member.heartbeat = Some((beat, now));
    }

    /// Records an exchange with a failure domain that began at `began`.
    pub fn record_exchange(&self, domain: &DomainId, began: Instant) {
        let mut last_exchanges = self.last_exchanges.lock().expect("exchange lock");
        let latest = last_exchanges.entry(domain.clone()).or_insert(began);
        *latest = began.max(*latest);
    }

    /// Returns the failure domains whose upstreams hosts of other domains may use now.
    pub fn usable_domains(&self, now: Instant) -> Vec<DomainId> {
        let last_exchanges = self.last_exchanges.lock().expect("exchange lock");
        let is_recent =
            |began: &Instant| now.saturating_duration_since(*began) < CROSS_DOMAIN_WINDOW;
        last_exchanges
            .iter()
            .filter(|(_, began)| is_recent(began))
            .map(|(domain, _)| domain.clone())
            .collect()
    }

    /// Returns all members by name.
    pub fn all(&self) -> Vec<(HostId, Member)> {
        let members = self.members.lock().expect("member lock");
        let mut all: Vec<_> = members
            .iter()
            .map(|(name, member)| (name.clone(), member.clone()))
            .collect();
        all.sort_by(|a, b| a.0.cmp(&b.0));
        all
    }

    /// Returns the address at which peers reach the process of an incarnation.
    pub fn peer_of(&self, incarnation: Incarnation) -> Option<SocketAddr> {
        let members = self.members.lock().expect("member lock");
        members
            .values()
            .find(|member| {
                let beat = member.heartbeat.as_ref();
                beat.is_some_and(|(beat, _)| beat.incarnation == incarnation)
            })
            .map(|member| member.peer)
    }

    /// Returns the number of requests of live members in flight on each upstream.
    pub fn in_flight(&self, now: Instant) -> HashMap<UpstreamId, usize> {
        let members = self.members.lock().expect("member lock");
        let mut sums = HashMap::new();
        for member in members.values().filter(|member| member.is_alive(now)) {
            let counts = member.heartbeat.iter().flat_map(|(beat, _)| &beat.counts);
            for (upstream, count) in counts {
                *sums.entry(upstream.clone()).or_default() += count;
            }
        }
        sums
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn host(name: &str) -> Host {
        Host {
            name: name.into(),
            address: "127.0.0.1:1".parse().unwrap(),
            peer: Some("127.0.0.1:2".parse().unwrap()),
            domain: "derby".into(),
            kind: Kind::Entry,
            service: None,
            state: State::Live,
        }
    }

    #[test]
    fn a_member_off_the_list_departs_only_after_the_delay() {
        let members = Members::new("n1".into());
        let start = Instant::now();
        members.apply_list(&[host("n1"), host("n2")], start);
        assert_eq!(members.all().len(), 1);
        members.apply_list(&[], start);
        assert_eq!(members.all().len(), 1);
        members.apply_list(&[], start + DEPARTURE_DELAY);
        assert!(members.all().is_empty());
    }
}
