//! Requests that crash upstreams.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Fingerprint;

/// Crashes after which a request is never run again.
const MOST_CRASHES: u8 = 2;
/// Time that a suspicion lasts.
const MEMORY: Duration = Duration::from_secs(600);
/// Most suspects held at once.
const MOST_SUSPECTS: usize = 4096;

/// How a request may be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// As any other.
    Clear,
    /// With no other suspect on the same upstream.
    Apart,
    /// Not at all.
    Refused,
}

/// A suspect as peers tell one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Digest of its content.
    pub fingerprint: Fingerprint,
    /// Upstreams lost while they ran it.
    pub crashes: u8,
}

/// Suspects and how often each has crashed an upstream.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: Mutex<HashMap<Fingerprint, (u8, Instant)>>,
}

impl Quarantine {
    /// Returns how a request may be run.
    ///
    /// ```
    /// use std::time::Instant;
    /// use pistachiohall::quarantine::{Quarantine, Verdict};
    /// let quarantine = Quarantine::default();
    /// quarantine.record_crash(7, Instant::now());
    /// assert_eq!(quarantine.verdict(7), Verdict::Apart);
    /// quarantine.record_crash(7, Instant::now());
    /// assert_eq!(quarantine.verdict(7), Verdict::Refused);
    /// assert_eq!(quarantine.verdict(8), Verdict::Clear);
    /// ```
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        let suspects = self.suspects.lock().expect("quarantine lock");
        match suspects.get(&fingerprint) {
            None => Verdict::Clear,
            Some((crashes, _)) if *crashes < MOST_CRASHES => Verdict::Apart,
            Some(_) => Verdict::Refused,
        }
    }

    /// Counts an upstream lost while it ran the request; returns the suspect.
    pub fn record_crash(&self, fingerprint: Fingerprint, now: Instant) -> Suspect {
        let mut suspects = self.suspects.lock().expect("quarantine lock");
        let entry = suspects.entry(fingerprint).or_insert((0, now));
        *entry = (entry.0.saturating_add(1), now);
        let crashes = entry.0;
        Suspect {
            fingerprint,
            crashes,
        }
    }

    /// Clears a request that ran to its end; one that has crashed two stays refused.
    pub fn clear(&self, fingerprint: Fingerprint) {
        let mut suspects = self.suspects.lock().expect("quarantine lock");
        if suspects
            .get(&fingerprint)
            .is_some_and(|(crashes, _)| *crashes < MOST_CRASHES)
        {
            suspects.remove(&fingerprint);
        }
    }

    /// Takes in what a peer says; a count never goes down by it.
    pub fn merge(&self, told: Suspect, now: Instant) {
        let mut suspects = self.suspects.lock().expect("quarantine lock");
        if suspects.len() >= MOST_SUSPECTS && !suspects.contains_key(&told.fingerprint) {
            return;
        }
        let entry = suspects.entry(told.fingerprint).or_insert((0, now));
        if told.crashes > entry.0 {
            *entry = (told.crashes, now);
        }
    }

    /// Returns all suspects, and forgets the old ones.
    pub fn all(&self, now: Instant) -> Vec<Suspect> {
        let mut suspects = self.suspects.lock().expect("quarantine lock");
        suspects.retain(|_, (_, since)| now.saturating_duration_since(*since) < MEMORY);
        suspects
            .iter()
            .map(|(fingerprint, (crashes, _))| Suspect {
                fingerprint: *fingerprint,
                crashes: *crashes,
            })
            .collect()
    }
}
