//! Which upstreams hold which prompt prefixes in their cache, as far as is known.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Mutex;

use crate::id::Fingerprint;
use crate::id::UpstreamId;
use crate::upstream::poll::Event;

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

    /// Takes in an upstream's cache events, of which the next was to be `from`; returns the next.
    ///
    /// After a gap nothing earlier is known to be held.
    ///
    /// ```
    /// use pistachiohall::route::Index;
    /// use pistachiohall::upstream::poll::Event;
    /// let index = Index::default();
    /// let held = |number, prefix| Event { number, prefix, held: true };
    /// assert_eq!(index.take_events(&"e1".into(), 0, &[held(0, 7)]), 1);
    /// assert_eq!(index.take_events(&"e1".into(), 1, &[held(5, 8)]), 6);
    /// assert!(index.holders(7).is_empty());
    /// assert_eq!(index.holders(8), ["e1"]);
    /// ```
    pub fn take_events(&self, upstream: &UpstreamId, from: u64, events: &[Event]) -> u64 {
        if events.first().is_some_and(|event| event.number > from) {
            self.forget(upstream);
        }
        for event in events {
            match event.held {
                true => self.add(event.prefix, upstream),
                false => self.remove(event.prefix, upstream),
            }
        }
        events.last().map_or(from, |event| event.number + 1)
    }

    /// Returns the upstreams that hold a prefix.
    pub fn holders(&self, prefix: Fingerprint) -> Vec<UpstreamId> {
        let known = self.known.lock().expect("index lock");
        known.holders.get(&prefix).cloned().unwrap_or_default()
    }
}
