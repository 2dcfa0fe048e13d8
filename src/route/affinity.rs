//! Index of the prompt prefixes that upstreams are known to have cached.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Mutex;

use crate::id::Fingerprint;
use crate::id::UpstreamId;
use crate::upstream::poll::Event;

/// Maximum number of prefixes in the index; the oldest are dropped.
const MAX_PREFIXES: usize = 16_384;
/// Maximum number of holders of a prefix; the oldest are dropped.
const MAX_HOLDERS: usize = 4;

#[derive(Debug, Default)]
struct State {
    holders: HashMap<Fingerprint, Vec<UpstreamId>>,
    /// Prefixes from the oldest to the newest.
    order: VecDeque<Fingerprint>,
}

/// Index of cached prefixes, updated by this host's routing decisions and by cache events.
#[derive(Debug, Default)]
pub struct Index {
    state: Mutex<State>,
}

impl Index {
    /// Records that an upstream holds a prefix.
    ///
    /// ```
    /// let index = pistachiohall::route::Index::default();
    /// index.add(7, &"e1".into());
    /// assert_eq!(index.holders(7), ["e1"]);
    /// index.remove(7, &"e1".into());
    /// assert!(index.holders(7).is_empty());
    /// ```
    pub fn add(&self, prefix: Fingerprint, upstream: &UpstreamId) {
        let mut state = self.state.lock().expect("index lock");
        if !state.holders.contains_key(&prefix) {
            state.order.push_back(prefix);
        }
        let holders = state.holders.entry(prefix).or_default();
        if !holders.contains(upstream) {
            holders.push(upstream.clone());
        }
        if holders.len() > MAX_HOLDERS {
            holders.remove(0);
        }
        if state.order.len() > MAX_PREFIXES
            && let Some(oldest) = state.order.pop_front()
        {
            state.holders.remove(&oldest);
        }
    }

    /// Records that an upstream has evicted a prefix.
    pub fn remove(&self, prefix: Fingerprint, upstream: &UpstreamId) {
        let mut state = self.state.lock().expect("index lock");
        if let Some(holders) = state.holders.get_mut(&prefix) {
            holders.retain(|other| other != upstream);
        }
    }

    /// Removes all prefixes of an upstream, after its restart or a gap in its events.
    pub fn forget(&self, upstream: &UpstreamId) {
        let mut state = self.state.lock().expect("index lock");
        for holders in state.holders.values_mut() {
            holders.retain(|other| other != upstream);
        }
    }

    /// Applies the cache events of an upstream, of which number `from` is expected first; returns
    /// the number expected next.
    ///
    /// A gap in the numbers removes all earlier prefixes of the upstream.
    ///
    /// ```
    /// use pistachiohall::route::Index;
    /// use pistachiohall::upstream::poll::Event;
    /// let index = Index::default();
    /// let held = |number, prefix| Event { number, prefix, held: true };
    /// assert_eq!(index.apply_events(&"e1".into(), 0, &[held(0, 7)]), 1);
    /// assert_eq!(index.apply_events(&"e1".into(), 1, &[held(5, 8)]), 6);
    /// assert!(index.holders(7).is_empty());
    /// assert_eq!(index.holders(8), ["e1"]);
    /// ```
    pub fn apply_events(&self, upstream: &UpstreamId, from: u64, events: &[Event]) -> u64 {
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
        let state = self.state.lock().expect("index lock");
        state.holders.get(&prefix).cloned().unwrap_or_default()
    }
}
