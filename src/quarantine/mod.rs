//! Quarantine of requests that crash upstreams.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Fingerprint;

/// Number of crashes from which a request is refused.
const MAX_CRASHES: u8 = 2;
/// Time since the last change of its count after which a suspect is removed.
const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// Maximum number of suspects up to which those of peers are added.
const MAX_SUSPECTS: usize = 4096;

/// Decision about whether and how a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may run like any other.
    Clear,
    /// It may run on an upstream that runs no other suspect.
    Isolated,
    /// It may not run.
    Refused,
}

/// Suspect request as peers report it to one another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Digest of the request's content.
    pub fingerprint: Fingerprint,
    /// Number of upstreams that crashed while they ran it.
    pub crashes: u8,
}

/// Suspect requests with their number of crashes.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: Mutex<HashMap<Fingerprint, (u8, Instant)>>,
}

impl Quarantine {
    /// Returns whether and how a request may run.
    ///
    /// ```
    /// use std::time::Instant;
    /// use pistachiohall::quarantine::Quarantine;
    /// use pistachiohall::quarantine::Verdict;
    /// let quarantine = Quarantine::default();
    /// quarantine.record_crash(7, Instant::now());
    /// assert_eq!(quarantine.verdict(7), Verdict::Isolated);
    /// quarantine.record_crash(7, Instant::now());
    /// assert_eq!(quarantine.verdict(7), Verdict::Refused);
    /// assert_eq!(quarantine.verdict(8), Verdict::Clear);
    /// ```
    pub fn verdict(&self, fingerprint: Fingerprint) -> Verdict {
        let suspects = self.suspects.lock().expect("quarantine lock");
        match suspects.get(&fingerprint) {
            None => Verdict::Clear,
            Some((crashes, _)) if *crashes < MAX_CRASHES => Verdict::Isolated,
            Some(_) => Verdict::Refused,
        }
    }

    /// Counts an upstream that crashed while it ran the request; returns the suspect.
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

    /// Removes a request that completed; one that has crashed two upstreams stays refused.
    pub fn clear(&self, fingerprint: Fingerprint) {
        let mut suspects = self.suspects.lock().expect("quarantine lock");
        if suspects
            .get(&fingerprint)
            .is_some_and(|(crashes, _)| *crashes < MAX_CRASHES)
        {
            suspects.remove(&fingerprint);
        }
    }

    /// Merges a suspect that a peer reports; the number of crashes never decreases.
    pub fn merge(&self, reported: Suspect, now: Instant) {
        let mut suspects = self.suspects.lock().expect("quarantine lock");
        if suspects.len() >= MAX_SUSPECTS && !suspects.contains_key(&reported.fingerprint) {
            return;
        }
        let entry = suspects.entry(reported.fingerprint).or_insert((0, now));
        if reported.crashes > entry.0 {
            *entry = (reported.crashes, now);
        }
    }

    /// Removes expired suspects and returns the others.
    pub fn all(&self, now: Instant) -> Vec<Suspect> {
        let mut suspects = self.suspects.lock().expect("quarantine lock");
        suspects
            .retain(|_, (_, updated_at)| now.saturating_duration_since(*updated_at) < SUSPECT_TTL);
        suspects
            .iter()
            .map(|(fingerprint, (crashes, _))| Suspect {
                fingerprint: *fingerprint,
                crashes: *crashes,
            })
            .collect()
    }
}
