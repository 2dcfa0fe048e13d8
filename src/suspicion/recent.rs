//! Requests that have run to their end of late.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use crate::id::Fingerprint;

/// Time for which a run counts; up to twice as long in the older generation.
const GENERATION: Duration = Duration::from_secs(60);
/// Most requests of one generation.
const MOST: usize = 2048;

/// Two generations of requests: the older one is dropped when the newer one is full or old.
#[derive(Debug, Default)]
pub struct Recent {
    newer: HashSet<Fingerprint>,
    older: HashSet<Fingerprint>,
    since: Option<Instant>,
}

impl Recent {
    /// Notes that a request ran to its end at `now`.
    pub fn record(&mut self, fingerprint: Fingerprint, now: Instant) {
        let since = *self.since.get_or_insert(now);
        let is_over = now.saturating_duration_since(since) >= GENERATION;
        if is_over || self.newer.len() >= MOST {
            self.older = std::mem::take(&mut self.newer);
            self.since = Some(now);
        }
        self.newer.insert(fingerprint);
    }

    /// Returns whether a request has run to its end of late.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::suspicion::recent::Recent;
    /// let now = Instant::now();
    /// let mut recent = Recent::default();
    /// recent.record(7, now);
    /// assert!(recent.holds(7, now));
    /// assert!(!recent.holds(7, now + Duration::from_secs(200)));
    /// ```
    pub fn holds(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        let is_recent = self
            .since
            .is_some_and(|since| now.saturating_duration_since(since) < 2 * GENERATION);
        is_recent && (self.newer.contains(&fingerprint) || self.older.contains(&fingerprint))
    }
}
