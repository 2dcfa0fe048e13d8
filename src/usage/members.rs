//! Which hosts collect counts, and in which order hosts try to report them.

use std::collections::HashMap;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;
use std::time::Duration;

use crate::gossip;
use crate::id::FencingToken;
use crate::id::HostId;

/// Number of hosts that collect counts, the holder of the term among them.
const COLLECTORS: usize = 3;
/// Time after which a silent peer is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);
/// Time for which a silent peer may only be cut off, so that its counts are waited for.
const AWAITED_FOR: Duration = Duration::from_secs(20);
/// Time in which a peer that is heard again sends the counts of its open windows.
const RETURN_TIME: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
struct Member {
    address: Option<SocketAddr>,
    heard_at: Duration,
    /// Since when it is heard again after it was silent.
    returned_at: Option<Duration>,
    fencing_token: Option<FencingToken>,
    is_unavailable: bool,
    /// Order of hosts that are alike otherwise.
    score: u64,
}

/// Place of a host in the order: the least acts first.
type Place = (bool, bool, u64);

/// This host and its peers, with what they have announced.
#[derive(Debug)]
pub struct Members {
    own: Member,
    peers: HashMap<HostId, Member>,
}

/// What follows for a host from the members it hears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Standing {
    /// Number of hosts that try before this one.
    pub rank: usize,
    /// Whether counts of a host may still come that was silent.
    pub is_awaiting: bool,
    /// Whether this host announced the newest term.
    pub is_holder: bool,
    /// Whether any host that is heard has announced a term.
    pub has_holder: bool,
    /// Peers that collect counts.
    pub collectors: Vec<SocketAddr>,
    /// Number of hosts that are heard, this one included.
    pub hosts: usize,
}

impl Members {
    /// Returns the members as a host knows them that has heard nobody.
    pub fn new(own: &HostId) -> Self {
        Members {
            own: Member {
                address: None,
                heard_at: Duration::ZERO,
                returned_at: None,
                fencing_token: None,
                is_unavailable: false,
                score: score(own),
            },
            peers: HashMap::new(),
        }
    }

    /// Records what a peer announced at `boot`, the time since boot.
    pub fn record(
        &mut self,
        host: &HostId,
        from: SocketAddr,
        announced: &gossip::Usage,
        boot: Duration,
    ) {
        let known = self.peers.get(host);
        let is_back = known.is_some_and(|peer| is_silent(peer, boot));
        let member = Member {
            address: Some(from),
            heard_at: boot,
            returned_at: match is_back {
                true => Some(boot),
                false => known.and_then(|peer| peer.returned_at),
            },
            fencing_token: announced.fencing_token,
            is_unavailable: announced.is_unavailable,
            score: score(host),
        };
        self.peers.insert(host.clone(), member);
    }

    /// Forgets peers that have long been silent.
    pub fn forget(&mut self, boot: Duration) {
        self.peers
            .retain(|_, peer| boot.saturating_sub(peer.heard_at) < FORGOTTEN_AFTER);
    }

    /// Sets the newest fencing token of this host; `None` if it does not report.
    pub fn set_own_token(&mut self, fencing_token: Option<FencingToken>) {
        self.own.fencing_token = fencing_token;
    }

    /// Sets whether this host did not reach the store or the platform lately.
    pub fn set_unavailable(&mut self, is_unavailable: bool) {
        self.own.is_unavailable = is_unavailable;
    }

    /// Returns `true` if this host did not reach the store or the platform lately.
    pub fn is_unavailable(&self) -> bool {
        self.own.is_unavailable
    }

    /// Returns the newest fencing token of this host.
    pub fn own_token(&self) -> Option<FencingToken> {
        self.own.fencing_token
    }

    /// Returns what follows for this host at `boot`, the time since boot.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pistachiohall::usage::members::Members;
    /// let mut members = Members::new(&"h1".into());
    /// assert!(!members.standing(Duration::ZERO).has_holder);
    /// members.set_own_token(Some(3));
    /// assert!(members.standing(Duration::ZERO).is_holder);
    /// ```
    pub fn standing(&self, boot: Duration) -> Standing {
        let is_heard = |peer: &&Member| !is_silent(peer, boot);
        let peers = || self.peers.values().filter(is_heard);
        let newest = peers()
            .filter_map(|peer| peer.fencing_token)
            .chain(self.own.fencing_token)
            .max();
        let place = |member: &Member| -> Place {
            let is_holder = newest.is_some() && member.fencing_token == newest;
            (member.is_unavailable, !is_holder, member.score)
        };
        let own_place = place(&self.own);
        let mut first: Vec<(Place, Option<SocketAddr>)> = Vec::with_capacity(COLLECTORS + 1);
        let (mut rank, mut hosts) = (0, 0);
        for member in peers().chain([&self.own]) {
            let (is_unavailable, is_follower, score) = place(member);
            hosts += 1;
            rank += usize::from((is_unavailable, is_follower, score) < own_place);
            // The holder reports as soon as it reaches the store again, so that it always collects.
            let place = (is_follower, is_unavailable, score);
            let index = first.partition_point(|(other, _)| *other < place);
            if index < COLLECTORS {
                first.insert(index, (place, member.address));
                first.truncate(COLLECTORS);
            }
        }
        let is_awaited = |peer: &Member| match is_silent(peer, boot) {
            true => boot.saturating_sub(peer.heard_at) < AWAITED_FOR,
            false => peer
                .returned_at
                .is_some_and(|at| boot.saturating_sub(at) < RETURN_TIME),
        };
        Standing {
            rank,
            is_awaiting: self.peers.values().any(is_awaited),
            is_holder: newest.is_some() && self.own.fencing_token == newest,
            has_holder: newest.is_some(),
            collectors: first
                .into_iter()
                .filter_map(|(_, address)| address)
                .collect(),
            hosts,
        }
    }
}

fn is_silent(peer: &Member, boot: Duration) -> bool {
    boot.saturating_sub(peer.heard_at) >= gossip::PEER_TIMEOUT
}

fn score(host: &HostId) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    ("usage", host).hash(&mut hasher);
    hasher.finish()
}
