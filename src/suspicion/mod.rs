//! Requests, and blocks of prompts, that may crash the upstreams that run them.
//!
//! An exchange that ends without a response is a loss of a request at one incarnation of an
//! upstream. The fate of that incarnation shows whether the request may have caused the loss. An
//! incarnation that responds later and does not end soon after, or whose entry is still written
//! after the time in which it would have expired, does not count against the request. Incarnations
//! that ended, or may have, are counted as one set over all hosts. A request that completes
//! anywhere is cleared.
//!
//! A block of a prompt is a suspect of its own: requests no two of which are alike may share one.
//! Harmless blocks are lost along with it; `blame` tells them apart.
//!
//! Times are passed in; nothing here reads a clock or a socket.

mod blame;
mod blocks;
pub mod recent;
mod reports;
mod suspect;
mod told;
mod verdict;

pub use self::told::Fate;
pub use self::told::LossReport;
pub use self::told::Report;
pub use self::told::Subject;
pub use self::verdict::Evidence;
pub use self::verdict::Verdict;

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use self::blame::Blame;
use self::recent::Recent;
use self::suspect::Loss;
use self::suspect::Suspect;
use crate::id::Fingerprint;
use crate::id::HostDigest;
use crate::id::IncarnationDigest;

/// Maximum incarnations that may have ended under a request; at this number it is sent to no
/// further upstream. Users allow three; the third is left for hosts that send it at the same time.
const MAX_INCARNATIONS: usize = 2;
/// Maximum incarnations that may have ended under a request that completed recently: a popular
/// request is often in flight at upstreams that end for other reasons.
const MAX_INCARNATIONS_COMPLETED: usize = 8;
/// Minimum time from an upstream's end to its next incarnation, which may have the same name.
const MIN_RESTART_DURATION: Duration = Duration::from_secs(1);
/// Time after an upstream's end by which its entry has definitely expired or has another start
/// time: three writes, one every 1.2 s, and the maximum age of a registry read.
const ENTRY_EXPIRY_TIMEOUT: Duration = Duration::from_secs(6);
/// Time for which a loss at an incarnation that ended, or may have, counts against a request.
const LOSS_RETENTION: Duration = Duration::from_secs(600);
/// Maximum time from the first event of a response to a crash that its request may have caused. An
/// upstream crashes as it begins to generate.
const MAX_CRASH_DELAY: Duration = Duration::from_secs(1);
/// Time for which a cleared suspect is kept, to report to peers that it is cleared.
const CLEARED_RETENTION: Duration = Duration::from_secs(10);
/// Maximum suspects held at once.
const MAX_SUSPECTS: usize = 4096;

/// An exchange that ended without a full response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostExchange {
    /// Digest of the request.
    pub request: Fingerprint,
    /// Incarnation of the upstream.
    pub incarnation: IncarnationDigest,
    /// Earliest time at which the incarnation may have ended.
    pub earliest_end: Instant,
    /// Time of the first event of the response, if there was one.
    pub responding_since: Option<Instant>,
}

/// Returns `true` if the end of an exchange says nothing about its request: the upstream had announced that it
/// leaves, and had sent output for `responded_for`, longer than a request that crashes upstreams lets it.
///
/// ```
/// use std::time::Duration;
/// use pistachiohall::suspicion;
/// assert!(suspicion::is_planned_end(true, Duration::from_secs(3)));
/// assert!(!suspicion::is_planned_end(true, Duration::ZERO));
/// ```
pub fn is_planned_end(is_leaving: bool, responded_for: Duration) -> bool {
    is_leaving && responded_for > MAX_CRASH_DELAY
}

/// A loss whose fate was resolved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Resolution {
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// Incarnation of the upstream.
    pub incarnation: IncarnationDigest,
    /// Fate of the incarnation.
    pub fate: Fate,
    /// Time since the loss.
    pub age: Duration,
}

/// Suspects and the incarnations at which they were lost.
#[derive(Debug)]
pub struct Tracker {
    own: HostDigest,
    suspects: HashMap<Fingerprint, Suspect>,
    /// Suspects by the incarnations whose fate is unknown.
    unknown: HashMap<IncarnationDigest, Vec<Fingerprint>>,
    /// Exchanges in flight at this host.
    in_flight: HashMap<Fingerprint, u32>,
    completed: Recent,
    completed_blocks: Recent,
    /// Blocks with losses at more than one incarnation.
    blame_candidates: HashSet<Fingerprint>,
    blame: Blame,
}

impl Tracker {
    /// Returns an empty tracker of the host `own`.
    pub fn new(own: HostDigest) -> Self {
        Tracker {
            own,
            suspects: HashMap::new(),
            unknown: HashMap::new(),
            in_flight: HashMap::new(),
            completed: Recent::default(),
            completed_blocks: Recent::default(),
            blame_candidates: HashSet::new(),
            blame: Blame::default(),
        }
    }

    /// Returns the verdict on whether a request may be sent.
    ///
    /// ```
    /// use std::time::Instant;
    /// use pistachiohall::suspicion::{Tracker, Verdict};
    /// let now = Instant::now();
    /// let mut tracker = Tracker::new(1);
    /// tracker.record_loss(7, 100, now);
    /// assert_eq!(tracker.verdict(7, now), Verdict::Clear);
    /// tracker.record_loss(7, 200, now);
    /// assert!(matches!(tracker.verdict(7, now), Verdict::Unresolved(_)));
    /// tracker.record_ended(100);
    /// tracker.record_ended(200);
    /// assert!(matches!(tracker.verdict(7, now), Verdict::Refused(_)));
    /// assert_eq!(tracker.verdict(8, now), Verdict::Clear);
    /// ```
    pub fn verdict(&self, fingerprint: Fingerprint, now: Instant) -> Verdict {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return Verdict::Clear;
        };
        // The ends that a block explains do not count against requests without it.
        let is_counted =
            |loss: &Loss| loss.is_counted() && !self.blame.explains_end(loss.incarnation);
        let incarnations = suspect.count_incarnations(is_counted);
        if incarnations == 0 {
            return Verdict::Clear;
        }
        let in_flight = self.in_flight.get(&fingerprint).copied().unwrap_or(0) as usize;
        let (max, may_end) = match self.completed.contains(fingerprint, now) {
            true => (MAX_INCARNATIONS_COMPLETED, incarnations),
            // Exchanges in flight may end further incarnations.
            false => (MAX_INCARNATIONS, incarnations + in_flight),
        };
        if may_end < max {
            return Verdict::Clear;
        }
        let ended = |loss: &Loss| is_counted(loss) && loss.fate == Fate::Ended;
        let is_resolved = suspect.count_incarnations(ended) >= max;
        suspect.refuse(is_counted, is_resolved, now)
    }

    /// Records that a request is about to be sent to an upstream.
    pub fn begin_exchange(&mut self, fingerprint: Fingerprint) {
        *self.in_flight.entry(fingerprint).or_default() += 1;
    }

    /// Records that an exchange is over, whatever its outcome.
    pub fn end_exchange(&mut self, fingerprint: Fingerprint) {
        if let Some(count) = self.in_flight.get_mut(&fingerprint) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&fingerprint);
            }
        }
    }

    /// Records that an exchange with an incarnation ended without a response; returns the number of
    /// incarnations that ended under the request or may have.
    pub fn record_loss(
        &mut self,
        fingerprint: Fingerprint,
        incarnation: IncarnationDigest,
        now: Instant,
    ) -> usize {
        let loss = Loss {
            incarnation,
            origin: self.own,
            at: now,
            fate: Fate::Unknown,
            earliest_end: now,
            request: 0,
            requests: 0,
        };
        let suspect = self.suspect(Subject::Request, fingerprint, now);
        suspect.record(loss);
        suspect.changed_at = now;
        let incarnations = suspect.counted_incarnations();
        self.index_unknown(incarnation, fingerprint);
        incarnations
    }

    /// Records that a request completed, which a request that crashes its upstreams never does.
    pub fn record_completion(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.completed.record(fingerprint, now);
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.complete(now);
        }
    }

    /// Records that an incarnation responded to a request sent at `sent_at`.
    ///
    /// Only a request sent shortly after a loss clears it: later, the response may come from the
    /// next incarnation under the same name.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::suspicion::{Tracker, Verdict};
    /// let now = Instant::now();
    /// let mut tracker = Tracker::new(1);
    /// tracker.record_loss(7, 100, now);
    /// tracker.record_loss(7, 200, now);
    /// tracker.record_response(200, now + Duration::from_millis(20));
    /// assert_eq!(tracker.verdict(7, now), Verdict::Clear);
    /// ```
    pub fn record_response(&mut self, incarnation: IncarnationDigest, sent_at: Instant) {
        if self.unknown.is_empty() {
            return;
        }
        self.resolve_incarnation(incarnation, Fate::Alive, |at| {
            sent_at > at && sent_at < at + MIN_RESTART_DURATION
        });
    }

    /// Records that an incarnation is definitely alive: it answered a probe sent at `sent_at` with
    /// its start time.
    pub fn record_alive(&mut self, incarnation: IncarnationDigest, sent_at: Instant) {
        self.resolve_incarnation(incarnation, Fate::Alive, |at| sent_at > at);
    }

    /// Records that an incarnation has definitely ended.
    pub fn record_ended(&mut self, incarnation: IncarnationDigest) {
        self.resolve_incarnation(incarnation, Fate::Ended, |_| true);
    }

    fn resolve_incarnation<F>(
        &mut self,
        incarnation: IncarnationDigest,
        fate: Fate,
        is_resolved_at: F,
    ) where
        F: Fn(Instant) -> bool,
    {
        let Some(fingerprints) = self.unknown.get_mut(&incarnation) else {
            return;
        };
        let suspects = &mut self.suspects;
        let candidates = &self.blame_candidates;
        let mut is_blame_stale = false;
        fingerprints.retain(|fingerprint| {
            let Some(suspect) = suspects.get_mut(fingerprint) else {
                return false;
            };
            let mut is_unresolved = false;
            for loss in &mut suspect.losses {
                if loss.incarnation != incarnation || loss.fate != Fate::Unknown {
                    continue;
                }
                match is_resolved_at(loss.at) {
                    true => {
                        loss.fate = fate;
                        is_blame_stale |= candidates.contains(fingerprint);
                    }
                    false => is_unresolved = true,
                }
            }
            is_unresolved
        });
        if fingerprints.is_empty() {
            self.unknown.remove(&incarnation);
        }
        if is_blame_stale {
            self.update_blame();
        }
    }

    /// Returns the incarnations at which a request was lost and whose fate is unknown.
    pub fn unknown_incarnations(&self, fingerprint: Fingerprint) -> Vec<IncarnationDigest> {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return Vec::new();
        };
        let unknown = suspect
            .losses
            .iter()
            .filter(|loss| loss.fate == Fate::Unknown);
        let mut incarnations: Vec<IncarnationDigest> =
            unknown.map(|loss| loss.incarnation).collect();
        incarnations.sort_unstable();
        incarnations.dedup();
        incarnations
    }

    /// Returns `true` if the fate of an incarnation is unknown.
    pub fn is_unknown(&self, incarnation: IncarnationDigest) -> bool {
        self.unknown.contains_key(&incarnation)
    }

    /// Returns `true` if no request is a suspect or was one recently.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Resolves losses against the registry, which listed `incarnations` when it was read at
    /// `read_at`, and removes expired losses; returns this host's own losses that were resolved.
    pub fn reconcile(
        &mut self,
        incarnations: &HashSet<IncarnationDigest>,
        read_at: Option<Instant>,
        now: Instant,
    ) -> Vec<Resolution> {
        let mut resolved = Vec::new();
        for (fingerprint, suspect) in &mut self.suspects {
            for loss in &mut suspect.losses {
                let Some(read_at) = read_at.filter(|read_at| *read_at > loss.at) else {
                    continue;
                };
                loss.fate = match (loss.fate, incarnations.contains(&loss.incarnation)) {
                    // An incarnation that responded may still have held the request and ended
                    // under it.
                    (Fate::Unknown | Fate::Alive, false) => Fate::Ended,
                    (Fate::Unknown, true) if read_at >= loss.at + ENTRY_EXPIRY_TIMEOUT => {
                        Fate::Alive
                    }
                    _ => continue,
                };
                if loss.origin != self.own {
                    continue;
                }
                suspect.changed_at = now;
                resolved.push(Resolution {
                    fingerprint: *fingerprint,
                    incarnation: loss.incarnation,
                    fate: loss.fate,
                    age: now.saturating_duration_since(loss.at),
                });
            }
        }
        self.remove_expired(now);
        resolved
    }

    fn remove_expired(&mut self, now: Instant) {
        let is_within = |at: Instant, limit| now.saturating_duration_since(at) < limit;
        self.suspects.retain(|_, suspect| {
            suspect.losses.retain(|loss| match loss.fate {
                Fate::Alive => is_within(loss.at, CLEARED_RETENTION),
                Fate::Unknown | Fate::Ended => is_within(loss.at, LOSS_RETENTION),
            });
            !suspect.losses.is_empty()
                || suspect
                    .completed_at
                    .is_some_and(|at| is_within(at, CLEARED_RETENTION))
        });
        self.unknown.clear();
        for (fingerprint, suspect) in &self.suspects {
            for loss in &suspect.losses {
                if loss.fate == Fate::Unknown {
                    let held = self.unknown.entry(loss.incarnation).or_default();
                    held.push(*fingerprint);
                }
            }
        }
        let suspects = &self.suspects;
        self.blame_candidates
            .retain(|block| suspects.contains_key(block));
        self.update_blame();
    }

    /// Returns the number of suspects and how many of these are not sent any more.
    pub fn count(&self, now: Instant) -> (usize, usize) {
        let suspects = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.counted_incarnations() > 0);
        suspects.fold((0, 0), |(all, refused), (fingerprint, suspect)| {
            let is_refused = match suspect.subject {
                Subject::Request => self.verdict(*fingerprint, now) != Verdict::Clear,
                Subject::Block => self.blame.trial_delay(*fingerprint).is_some(),
            };
            (all + 1, refused + usize::from(is_refused))
        })
    }

    fn index_unknown(&mut self, incarnation: IncarnationDigest, fingerprint: Fingerprint) {
        let held = self.unknown.entry(incarnation).or_default();
        if !held.contains(&fingerprint) {
            held.push(fingerprint);
        }
    }

    /// Returns a suspect, adding it if needed. A full table drops the suspect with the fewest
    /// incarnations; among equals, the one that changed least recently.
    fn suspect(
        &mut self,
        subject: Subject,
        fingerprint: Fingerprint,
        now: Instant,
    ) -> &mut Suspect {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&fingerprint) {
            let weakest = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| (suspect.counted_incarnations(), suspect.changed_at))
                .map(|(fingerprint, _)| *fingerprint);
            if let Some(weakest) = weakest {
                self.suspects.remove(&weakest);
            }
        }
        self.suspects
            .entry(fingerprint)
            .or_insert_with(|| Suspect::new(subject, now))
    }
}
