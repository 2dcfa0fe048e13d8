//! A host's share of a limit that holds for all hosts together.

use std::hash::Hash;
use std::hash::Hasher;

use super::Limit;
use crate::id::HostId;

/// Requests that all hosts together may send at once in addition to one second's worth.
const MIN_BURSTS: f64 = 2.0;
/// Minimum requests per second that all hosts send to an upstream with a lower limit, to learn when
/// it names another one.
const MIN_RATE_PER_S: f64 = 0.25;

/// Number of hosts that share limits, and the rank of one of them for one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Number of hosts, at least one.
    pub hosts: usize,
    /// Rank of the host among them for this upstream; 0 is the first.
    pub rank: usize,
}

impl Share {
    /// Returns the share of the host `own` among `hosts`, which contains it, for an upstream.
    ///
    /// Ranks follow a rendezvous hash, so that all hosts agree on them without a message.
    ///
    /// ```
    /// use pistachiohall::throttle::Share;
    /// let hosts = ["h1".into(), "h2".into()];
    /// let ranks = ["h1", "h2"].map(|own| Share::of(own, &hosts, "c1").rank);
    /// assert!(ranks == [0, 1] || ranks == [1, 0]);
    /// ```
    pub fn of(own: &str, hosts: &[HostId], upstream: &str) -> Self {
        let own_weight = weight(own, upstream);
        let weights = hosts.iter().map(|host| weight(host, upstream));
        Share {
            hosts: hosts.len().max(1),
            rank: weights.filter(|weight| *weight > own_weight).count(),
        }
    }

    /// Returns the requests per second that the host may send. Only as many hosts send as a limit
    /// has room for, since each must be able to send a single request at any time.
    ///
    /// ```
    /// use pistachiohall::throttle::{Limit, Share};
    /// let rate = |hosts, rank| Share { hosts, rank }.rate_per_s(Limit(4_000));
    /// assert_eq!(rate(2, 1), 2.0);
    /// assert_eq!(rate(300, 5), 4.0 / 6.0);
    /// assert_eq!(rate(300, 6), 0.0);
    /// ```
    pub fn rate_per_s(&self, limit: Limit) -> f64 {
        let senders = self.senders(limit);
        match self.rank < senders {
            true => limit.requests_per_s().max(MIN_RATE_PER_S) / senders as f64,
            false => 0.0,
        }
    }

    /// Returns the requests that the host may send at once.
    pub fn max_burst(&self, limit: Limit) -> f64 {
        (max_bursts(limit) / self.senders(limit) as f64)
            .floor()
            .max(1.0)
    }

    fn senders(&self, limit: Limit) -> usize {
        self.hosts.min(max_bursts(limit) as usize)
    }
}

/// Returns the requests that all hosts together may send at once: one second's worth and two.
fn max_bursts(limit: Limit) -> f64 {
    limit.requests_per_s() + MIN_BURSTS
}

fn weight(host: &str, upstream: &str) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    (host, upstream).hash(&mut hasher);
    hasher.finish()
}
