//! Upstreams that peers of the same failure domain cannot reach.
//!
//! Hosts of a domain mostly share what cuts them off from an upstream, and a crashed upstream is
//! out of reach for all. One peer alone may have a fault of its own, so two have to agree.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::id::HostId;

/// Peers that have to agree.
const AGREEING: usize = 2;
/// Age from which what a peer told no longer counts; peers repeat it at least every 400 ms.
const MEMORY: Duration = Duration::from_millis(600);

/// What peers told, by the digests of the upstreams' names.
#[derive(Debug, Default)]
pub struct UnreachabilityReports {
    told: HashMap<HostId, (Vec<u32>, Instant)>,
}

impl UnreachabilityReports {
    /// Notes all upstreams that a peer cannot reach.
    ///
    /// ```
    /// use std::time::Instant;
    /// use pistachiohall::gateway::doubt::UnreachabilityReports;
    /// let now = Instant::now();
    /// let mut unreachability_reports = UnreachabilityReports::default();
    /// unreachability_reports.record(&"h2".into(), vec![7, 9], now);
    /// assert!(!unreachability_reports.holds(7, now));
    /// unreachability_reports.record(&"h3".into(), vec![7], now);
    /// assert!(unreachability_reports.holds(7, now));
    /// assert!(!unreachability_reports.holds(9, now));
    /// ```
    pub fn record(&mut self, peer: &HostId, upstreams: Vec<u32>, now: Instant) {
        match upstreams.is_empty() {
            true => self.told.remove(peer),
            false => self.told.insert(peer.clone(), (upstreams, now)),
        };
    }

    /// Returns whether enough peers cannot reach an upstream.
    pub fn holds(&self, upstream: u32, now: Instant) -> bool {
        let fresh = self
            .told
            .values()
            .filter(|(_, at)| now.saturating_duration_since(*at) < MEMORY);
        fresh
            .filter(|(upstreams, _)| upstreams.contains(&upstream))
            .nth(AGREEING - 1)
            .is_some()
    }
}
