//! Requests that completed recently.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::id::Fingerprint;

/// Time for which a completion counts; up to twice as long in the older generation.
const GENERATION_DURATION: Duration = Duration::from_secs(60);
/// Maximum requests in one generation.
const MAX_REQUESTS: usize = 2048;

/// Two generations of requests with their last completions: the older one is dropped when the newer one is full or old.
#[derive(Debug, Default)]
pub struct Recent {
    newer: HashMap<Fingerprint, Instant>,
    older: HashMap<Fingerprint, Instant>,
    newer_since: Option<Instant>,
}

impl Recent {
    /// Records that a request completed at `now`.
    pub fn record(&mut self, fingerprint: Fingerprint, now: Instant) {
        let newer_since = *self.newer_since.get_or_insert(now);
        let is_expired = now.saturating_duration_since(newer_since) >= GENERATION_DURATION;
        if is_expired || self.newer.len() >= MAX_REQUESTS {
            self.older = std::mem::take(&mut self.newer);
            self.newer_since = Some(now);
        }
        self.newer.insert(fingerprint, now);
    }

    /// Returns `true` if a request completed recently.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::suspicion::recent::Recent;
    /// let now = Instant::now();
    /// let mut recent = Recent::default();
    /// recent.record(7, now);
    /// assert!(recent.contains(7, now));
    /// assert!(!recent.contains(7, now + Duration::from_secs(200)));
    /// ```
    pub fn contains(&self, fingerprint: Fingerprint, now: Instant) -> bool {
        self.last(fingerprint, now).is_some()
    }

    /// Returns the time when a request last completed, if it did recently.
    pub fn last(&self, fingerprint: Fingerprint, now: Instant) -> Option<Instant> {
        let is_recent = self.newer_since.is_some_and(|newer_since| {
            now.saturating_duration_since(newer_since) < 2 * GENERATION_DURATION
        });
        let newest = self.newer.get(&fingerprint);
        let last = newest.or_else(|| self.older.get(&fingerprint)).copied();
        last.filter(|_| is_recent)
    }
}
