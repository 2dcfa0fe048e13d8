//! Which upstreams hold which prompt prefixes in their cache, as far as is known.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Mutex;

use crate::id::Fingerprint;
use crate::id::UpstreamId;

/// Most prefixes remembered.
const MOST_PREFIXES: usize = 16_384;
/// Most holders remembered for a prefix.
const MOST_HOLDERS: usize = 4;

#[derive(Debug, Default)]
struct Known {
    holders: HashMap<Fingerprint, Vec<UpstreamId>>,
    order: VecDeque<Fingerprint>,
}

/// An index of cached prefixes, fed by own routes and by cache events.
#[derive(Debug, Default)]
pub struct Index {
    known: Mutex<Known>,
}

impl Index {
    /// Notes that an upstream holds a prefix.
    ///
    /// ```
    /// let index = pistachiohall::route::Index::default();
    /// index.add(7, &"e1".into());
    /// assert_eq!(index.holders(7), ["e1"]);
    /// index.remove(7, &"e1".into());
    /// assert!(index.holders(7).is_empty());
    /// ```
    pub fn add(&self, prefix: Fingerprint, upstream: &UpstreamId) {
        let mut known = self.known.lock().expect("index lock");
        if !known.holders.contains_key(&prefix) {
            known.order.push_back(prefix);
        }
        let holders = known.holders.entry(prefix).or_default();
        if !holders.contains(upstream) {
            holders.push(upstream.clone());
        }
        if holders.len() > MOST_HOLDERS {
            holders.remove(0);
        }
        if known.order.len() > MOST_PREFIXES
            && let Some(oldest) = known.order.pop_front()
        {
            known.holders.remove(&oldest);
        }
    }

    /// Notes that an upstream has evicted a prefix.
    pub fn remove(&self, prefix: Fingerprint, upstream: &UpstreamId) {
        let mut known = self.known.lock().expect("index lock");
        if let Some(holders) = known.holders.get_mut(&prefix) {
            holders.retain(|other| other != upstream);
        }
    }

    /// Forgets all that an upstream held, after its restart or a gap in its events.
    pub fn forget(&self, upstream: &UpstreamId) {
        let mut known = self.known.lock().expect("index lock");
        for holders in known.holders.values_mut() {
            holders.retain(|other| other != upstream);
        }
    }

    /// Returns the upstreams that hold a prefix.
    pub fn holders(&self, prefix: Fingerprint) -> Vec<UpstreamId> {
        let known = self.known.lock().expect("index lock");
        known.holders.get(&prefix).cloned().unwrap_or_default()
    }
}
