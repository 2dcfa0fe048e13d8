//! Cached prompt prefixes and the events about them.

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Fingerprint;

/// Prefixes that fit.
const PREFIXES: usize = 24;
/// Events kept for readers.
const EVENTS: usize = 256;

/// A change of the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Number, without gaps on the engine's side.
    pub number: u64,
    /// Digest of the prefix.
    pub prefix: Fingerprint,
    /// Whether it is held now.
    pub held: bool,
}

/// Cached prompt prefixes, the oldest evicted first.
#[derive(Debug, Default)]
pub struct Cache {
    held: VecDeque<Fingerprint>,
    events: VecDeque<Event>,
    next: u64,
}

impl Cache {
    /// Uses a prefix; returns whether it was held before.
    pub fn touch(&mut self, prefix: Fingerprint) -> bool {
        let place = self.held.iter().position(|other| *other == prefix);
        if let Some(place) = place {
            self.held.remove(place);
        } else {
            self.tell(prefix, true);
        }
        self.held.push_back(prefix);
        if self.held.len() > PREFIXES
            && let Some(oldest) = self.held.pop_front()
        {
            self.tell(oldest, false);
        }
        place.is_some()
    }

    /// Returns events from a number on.
    pub fn events(&self, from: u64) -> Vec<Event> {
        let newer = self.events.iter().filter(|event| event.number >= from);
        newer.copied().collect()
    }

    /// Forgets everything, as a crash does.
    pub fn clear(&mut self) {
        *self = Cache::default();
    }

    fn tell(&mut self, prefix: Fingerprint, held: bool) {
        let number = self.next;
        self.next += 1;
        self.events.push_back(Event {
            number,
            prefix,
            held,
        });
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }
}
