//! The entry hosts of the deployment, from the platform's list and from heartbeats.

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

/// Silence after which a member no longer counts as heard.
const HEARD: Duration = Duration::from_secs(5);
/// Time after an exchange with a failure domain for which its upstreams may be used from afar.
pub const FAR_PERMISSION: Duration = Duration::from_secs(3);
/// Time that a member may be off the list and silent before it counts as gone.
const SETTLING: Duration = Duration::from_secs(15);

/// What one entry host tells the others.
#[derive(Debug, Clone, PartialEq)]
pub struct Heartbeat {
    /// Name.
    pub host: HostId,
    /// Failure domain.
    pub domain: DomainId,
    /// Life of its process.
    pub incarnation: Incarnation,
    /// Where its peers reach it.
    pub peer: SocketAddr,
    /// Offset after the last configuration record that it took in.
    pub config_next: Offset,
    /// Offset after the last record of its domain's orders that it took in.
    pub orders_next: Offset,
    /// Revision in force.
    pub revision: Option<Offset>,
    /// Whether it serves.
    pub ready: bool,
    /// Whether it is about to end.
    pub leaving: bool,
    /// Its requests in flight, by upstream.
    pub counts: Vec<(UpstreamId, usize)>,
    /// Upstreams that it sends nothing new, by the intent that asked for it.
    pub acknowledgements: Vec<Acknowledgement>,
    /// Upstreams of its domain that get no new work.
    pub out_of_use: Vec<UpstreamId>,
}

/// Says that a host sends an upstream nothing new.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Acknowledgement {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Offset of the intent that asked for it.
    pub order: Offset,
    /// Requests still in flight on it.
    pub in_flight: usize,
}

/// One entry host as another sees it.
#[derive(Debug, Clone)]
pub struct Member {
    /// Where its peers reach it.
    pub peer: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Whether the list shows it, as of the last reading.
    pub listed: bool,
    /// Whether the list shows it as leaving.
    pub leaving: bool,
    /// Its latest heartbeat.
    pub beat: Option<(Heartbeat, Instant)>,
    missed_since: Option<Instant>,
}

impl Member {
    /// Returns a member of which nothing was heard yet.
    pub fn new(peer: SocketAddr, domain: DomainId) -> Self {
        Member {
            peer,
            domain,
            listed: false,
            leaving: false,
            beat: None,
            missed_since: None,
        }
    }

    /// Returns whether a heartbeat came lately.
    pub fn is_heard(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < HEARD;
        self.beat.as_ref().is_some_and(|(_, at)| is_recent(*at))
    }

    /// Returns whether it is proved gone: off the list and silent for the settling time.
    pub fn is_gone(&self, now: Instant) -> bool {
        let is_over = |since: Instant| now.saturating_duration_since(since) >= SETTLING;
        !self.listed && !self.is_heard(now) && self.missed_since.is_some_and(is_over)
    }
}

/// The entry hosts known to this one, itself left out.
#[derive(Debug)]
pub struct Members {
    own: HostId,
    members: Mutex<HashMap<HostId, Member>>,
    exchanged: Mutex<HashMap<DomainId, Instant>>,
    gone: Mutex<HashSet<Incarnation>>,
}

impl Members {
    /// Returns an empty set, as seen by host `own`.
    ///
    /// ```
    /// assert!(pistachiohall::member::Members::new("n1".into()).all().is_empty());
    /// ```
    pub fn new(own: HostId) -> Self {
        Members {
            own,
            members: Mutex::default(),
            exchanged: Mutex::default(),
            gone: Mutex::default(),
        }
    }

    /// Takes in the platform's list.
    pub fn take_list(&self, hosts: &[Host], now: Instant) {
        let mut members = self.members.lock().expect("member lock");
        for member in members.values_mut() {
            member.listed = false;
        }
        for host in hosts.iter().filter(|host| host.kind == Kind::Entry) {
            let Some(peer) = host.peer.filter(|_| host.name != self.own) else {
                continue;
            };
            let member = members
                .entry(host.name.clone())
                .or_insert_with(|| Member::new(peer, host.domain.clone()));
            member.listed = true;
            member.missed_since = None;
            member.leaving = host.state == State::Leaving;
        }
        for member in members.values_mut().filter(|member| !member.listed) {
            member.missed_since.get_or_insert(now);
        }
        let mut gone = self.gone.lock().expect("gone lock");
        members.retain(|_, member| {
            let is_gone = member.is_gone(now);
            if let (true, Some((beat, _))) = (is_gone, &member.beat) {
                gone.insert(beat.incarnation);
            }
            !is_gone
        });
    }

    /// Returns whether a process is proved gone: its host left the list and fell silent for the
    /// settling time, or a newer process of the same host listens at the same address.
    pub fn is_proved_gone(&self, incarnation: Incarnation) -> bool {
        self.gone.lock().expect("gone lock").contains(&incarnation)
    }

    /// Takes in a heartbeat.
    pub fn take_beat(&self, beat: Heartbeat, now: Instant) {
        if beat.host == self.own {
            return;
        }
        let mut members = self.members.lock().expect("member lock");
        let member = members.entry(beat.host.clone()).or_insert_with(|| Member {
            missed_since: Some(now),
            ..Member::new(beat.peer, beat.domain.clone())
        });
        if let Some((old, _)) = &member.beat
            && old.peer == beat.peer
            && old.incarnation < beat.incarnation
        {
            self.gone.lock().expect("gone lock").insert(old.incarnation);
        }
        member.peer = beat.peer;
        member.beat = Some((beat, now));
    }

    /// Notes an exchange with a failure domain that began at `began`.
    pub fn note_exchange(&self, domain: &DomainId, began: Instant) {
        let mut exchanged = self.exchanged.lock().expect("exchange lock");
        let latest = exchanged.entry(domain.clone()).or_insert(began);
        *latest = began.max(*latest);
    }

    /// Returns the failure domains whose upstreams may be used from afar now.
    pub fn permitted(&self, now: Instant) -> Vec<DomainId> {
        let exchanged = self.exchanged.lock().expect("exchange lock");
        let lasts = |began: &Instant| now.saturating_duration_since(*began) < FAR_PERMISSION;
        exchanged
            .iter()
            .filter(|(_, began)| lasts(began))
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

    /// Returns where the process of an incarnation is reached.
    pub fn peer_of(&self, incarnation: Incarnation) -> Option<SocketAddr> {
        let members = self.members.lock().expect("member lock");
        members
            .values()
            .find(|member| {
                let beat = member.beat.as_ref();
                beat.is_some_and(|(beat, _)| beat.incarnation == incarnation)
            })
            .map(|member| member.peer)
    }

    /// Returns how many requests of members heard lately are in flight on each upstream.
    pub fn in_flight(&self, now: Instant) -> HashMap<UpstreamId, usize> {
        let members = self.members.lock().expect("member lock");
        let mut sums = HashMap::new();
        for member in members.values().filter(|member| member.is_heard(now)) {
            let counts = member.beat.iter().flat_map(|(beat, _)| &beat.counts);
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

    fn listed(name: &str) -> Host {
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
    fn a_member_off_the_list_is_gone_only_after_the_settling_time() {
        let members = Members::new("n1".into());
        let start = Instant::now();
        members.take_list(&[listed("n1"), listed("n2")], start);
        assert_eq!(members.all().len(), 1);
        members.take_list(&[], start);
        assert_eq!(members.all().len(), 1);
        members.take_list(&[], start + SETTLING);
        assert!(members.all().is_empty());
    }
}
