//! Upstreams that this host, or its peers in the same failure domain, cannot reach.
//!
//! Hosts of a domain mostly share the cause that makes an upstream unreachable, and a crashed
//! upstream is unreachable for all. A single peer may have a fault of its own, so two must agree.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::Gateway;
use super::target::Target;
use crate::gossip;
use crate::id::HostId;
use crate::id::UpstreamId;

/// Minimum peers that must report an upstream.
const MIN_PEERS: usize = 2;
/// Age from which a peer's report no longer counts; peers repeat it at least every 400 ms.
const REPORT_TTL: Duration = Duration::from_millis(600);

/// Reports of peers, by the digests of the upstreams' names.
#[derive(Debug, Default)]
pub struct UnreachabilityReports {
    by_peer: HashMap<HostId, (Vec<u32>, Instant)>,
}

impl UnreachabilityReports {
    /// Records all upstreams that a peer cannot reach, which replaces its earlier report.
    ///
    /// ```
    /// use std::time::Instant;
    /// use pistachiohall::gateway::doubt::UnreachabilityReports;
    /// let now = Instant::now();
    /// let mut reports = UnreachabilityReports::default();
    /// reports.record(&"h2".into(), vec![7, 9], now);
    /// assert!(!reports.is_unreachable(7, now));
    /// reports.record(&"h3".into(), vec![7], now);
    /// assert!(reports.is_unreachable(7, now));
    /// assert!(!reports.is_unreachable(9, now));
    /// ```
    pub fn record(&mut self, peer: &HostId, upstreams: Vec<u32>, now: Instant) {
        match upstreams.is_empty() {
            true => self.by_peer.remove(peer),
            false => self.by_peer.insert(peer.clone(), (upstreams, now)),
        };
    }

    /// Returns `true` if enough peers cannot reach an upstream.
    pub fn is_unreachable(&self, upstream: u32, now: Instant) -> bool {
        let fresh = self
            .by_peer
            .values()
            .filter(|(_, at)| now.saturating_duration_since(*at) < REPORT_TTL);
        fresh
            .filter(|(upstreams, _)| upstreams.contains(&upstream))
            .nth(MIN_PEERS - 1)
            .is_some()
    }
}

impl Gateway {
    /// Records all upstreams that a peer of the same failure domain cannot reach.
    pub fn record_unreachable(&self, peer: &HostId, upstreams: Vec<u32>, now: Instant) {
        self.unreachability
            .borrow_mut()
            .record(peer, upstreams, now);
    }

    /// Returns `true` if peers of the same failure domain cannot reach an upstream.
    pub fn is_reported_unreachable(&self, id: &UpstreamId, now: Instant) -> bool {
        self.unreachability
            .borrow()
            .is_unreachable(gossip::digest(id), now)
    }

    /// Returns the digests of the upstreams that this host cannot reach.
    pub fn unreachable(&self, now: Instant) -> Vec<u32> {
        let targets = self.targets.borrow();
        let unreachable = targets
            .iter()
            .filter(|(_, target)| target.health().is_unreachable(now));
        unreachable.map(|(id, _)| gossip::digest(id)).collect()
    }

    /// Returns `true` if the last connection of this host did not reach an upstream, another incarnation has taken
    /// its place, or peers cannot reach it.
    pub fn is_out_of_reach(&self, target: &Target, now: Instant) -> bool {
        target.health().is_out_of_reach()
            || target.is_replaced()
            || self.is_reported_unreachable(&target.entry.id, now)
    }

    /// Returns the digests of the upstreams that are out of reach.
    pub fn out_of_reach(&self, now: Instant) -> Vec<u32> {
        let targets = self.targets.borrow();
        let lost = targets
            .values()
            .filter(|target| self.is_out_of_reach(target, now));
        let mut lost: Vec<u32> = lost
            .map(|target| gossip::digest(&target.entry.id))
            .collect();
        lost.sort_unstable();
        lost
    }
}
