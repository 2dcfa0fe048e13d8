//! Reports of upstreams that peers of the same failure domain cannot reach.
//!
//! Hosts of a domain mostly share the cause that makes an upstream unreachable, and a crashed
//! upstream is unreachable for all. A single peer may have a fault of its own, so two must agree.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::id::HostId;

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
