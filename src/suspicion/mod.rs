//! Requests that may end the upstreams that run them.
//!
//! An exchange that ends without an answer is a loss: of a request, at one life of an upstream. What
//! became of that life tells whether the request may be to blame. A life that answers later and does
//! not end soon after, or whose entry is still written when a lapse would have shown, accuses nobody;
//! lives that ended, or may have, are counted as a set over all hosts. A request that also runs to its
//! end is innocent.
//!
//! Times are passed in; nothing here reads a clock or a socket.

pub mod recent;
mod suspect;
mod told;
mod verdict;

pub use self::told::Fate;
pub use self::told::LossReport;
pub use self::told::Report;
pub use self::verdict::Evidence;
pub use self::verdict::Verdict;

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use self::recent::Recent;
use self::suspect::Loss;
use self::suspect::Suspect;
use crate::id::Fingerprint;
use crate::id::HostDigest;
use crate::id::IncarnationDigest;

/// Lives that may have ended under a request from which it is sent to no further upstream. Users
/// allow three; the third is for hosts that send it at the same time.
const MOST_LIVES: usize = 2;
/// The same for a request that has run to its end of late: upstreams that end by themselves take
/// it with them.
const MOST_LIVES_WELL: usize = 8;
/// Shortest time from an upstream's end to its next life, which may have the same name.
const RESTART_TIME: Duration = Duration::from_secs(1);
/// Time after an upstream's end at which its entry has surely lapsed or names another start: three
/// writings, one each 1.2 s, and the age of a reading.
const LAPSE_TIME: Duration = Duration::from_secs(6);
/// Time for which a life that ended is held against a request.
const MEMORY: Duration = Duration::from_secs(600);
/// Time for which peers are told that a suspect is cleared.
const CLEARED_TIME: Duration = Duration::from_secs(10);
/// Pause between two tellings of a suspect that has not changed.
const RETELL_PAUSE: Duration = Duration::from_secs(1);
/// Time that a single loss is not yet kept for good: most are cleared by the next try.
const KEEP_DELAY: Duration = Duration::from_secs(1);
/// Most suspects held at once.
const MOST_SUSPECTS: usize = 4096;
/// Time after which a refused caller may learn more, while it is not settled what became of lives.
const UNSETTLED_PAUSE: Duration = Duration::from_secs(1);
/// Time after which a caller whose request ended upstreams may come back.
const REFUSED_PAUSE: Duration = Duration::from_secs(60);

/// A loss that was settled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Resolution {
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// Life of the upstream.
    pub incarnation: IncarnationDigest,
    /// What became of it.
    pub fate: Fate,
    /// Time since the loss.
    pub age: Duration,
}

/// Suspects, and where they were lost.
#[derive(Debug)]
pub struct Tracker {
    own: HostDigest,
    suspects: HashMap<Fingerprint, Suspect>,
    /// Suspects by the lives whose fate is not known.
    unknown: HashMap<IncarnationDigest, Vec<Fingerprint>>,
    /// Exchanges in flight at this host.
    in_flight: HashMap<Fingerprint, u32>,
    completed: Recent,
}

impl Tracker {
    /// Returns an empty ledger of the host `own`.
    pub fn new(own: HostDigest) -> Self {
        Tracker {
            own,
            suspects: HashMap::new(),
            unknown: HashMap::new(),
            in_flight: HashMap::new(),
            completed: Recent::default(),
        }
    }

    /// Returns how a request may be run.
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
        let incarnations = suspect.incarnations();
        if incarnations == 0 {
            return Verdict::Clear;
        }
        let in_flight = self.in_flight.get(&fingerprint).copied().unwrap_or(0) as usize;
        let (most, may_end) = match self.completed.holds(fingerprint, now) {
            true => (MOST_LIVES_WELL, incarnations),
            // What is in flight may end further ones.
            false => (MOST_LIVES, incarnations + in_flight),
        };
        if may_end < most {
            return Verdict::Clear;
        }
        let counted = || suspect.losses.iter().filter(|loss| loss.counts());
        let ended = suspect.distinct(|loss| loss.fate == Fate::Ended);
        let hosts: HashSet<HostDigest> = counted().map(|loss| loss.origin).collect();
        let first = counted().map(|loss| loss.at).min().unwrap_or(now);
        let is_settled = ended >= most;
        let case = Evidence {
            incarnations,
            ended,
            hosts: hosts.len(),
            oldest: now.saturating_duration_since(first),
            retry_after: match is_settled {
                true => REFUSED_PAUSE,
                false => UNSETTLED_PAUSE,
            },
        };
        match is_settled {
            true => Verdict::Refused(case),
            false => Verdict::Unresolved(case),
        }
    }

    /// Notes that a request is about to be sent to an upstream.
    pub fn begin_exchange(&mut self, fingerprint: Fingerprint) {
        *self.in_flight.entry(fingerprint).or_default() += 1;
    }

    /// Notes that an exchange is over, however it ended.
    pub fn end_exchange(&mut self, fingerprint: Fingerprint) {
        if let Some(count) = self.in_flight.get_mut(&fingerprint) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&fingerprint);
            }
        }
    }

    /// Notes that an exchange with a life ended without an answer; returns how many lives may have
    /// ended under the request.
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
        };
        let suspect = self.suspect(fingerprint, now);
        suspect.record(loss);
        suspect.changed = now;
        let incarnations = suspect.incarnations();
        self.watch(incarnation, fingerprint);
        incarnations
    }

    /// Notes that a request ran to its end, which no request does that ends its upstreams.
    pub fn record_completion(&mut self, fingerprint: Fingerprint, now: Instant) {
        self.completed.record(fingerprint, now);
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.losses.clear();
            suspect.completed = Some(now);
            suspect.changed = now;
        }
    }

    /// Notes that a life answered a request that was sent at `sent`. Some time after a loss, the
    /// answer may be that of a next life under the same name.
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
    pub fn record_response(&mut self, incarnation: IncarnationDigest, sent: Instant) {
        if self.unknown.is_empty() {
            return;
        }
        self.settle_life(incarnation, Fate::Alive, |at| {
            sent > at && sent < at + RESTART_TIME
        });
    }

    /// Notes that a life surely lives: it was asked at `sent` and named its start.
    pub fn record_alive(&mut self, incarnation: IncarnationDigest, sent: Instant) {
        self.settle_life(incarnation, Fate::Alive, |at| sent > at);
    }

    /// Notes that a life has surely ended.
    pub fn record_ended(&mut self, incarnation: IncarnationDigest) {
        self.settle_life(incarnation, Fate::Ended, |_| true);
    }

    fn settle_life<F>(&mut self, incarnation: IncarnationDigest, fate: Fate, settles: F)
    where
        F: Fn(Instant) -> bool,
    {
        let Some(fingerprints) = self.unknown.get_mut(&incarnation) else {
            return;
        };
        let suspects = &mut self.suspects;
        fingerprints.retain(|fingerprint| {
            let Some(suspect) = suspects.get_mut(fingerprint) else {
                return false;
            };
            let mut is_open = false;
            for loss in &mut suspect.losses {
                if loss.incarnation != incarnation || loss.fate != Fate::Unknown {
                    continue;
                }
                match settles(loss.at) {
                    true => loss.fate = fate,
                    false => is_open = true,
                }
            }
            is_open
        });
        if fingerprints.is_empty() {
            self.unknown.remove(&incarnation);
        }
    }

    /// Returns the lives whose fate decides on a request.
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

    /// Returns whether it is open what became of a life.
    pub fn is_unknown(&self, incarnation: IncarnationDigest) -> bool {
        self.unknown.contains_key(&incarnation)
    }

    /// Returns whether no request is suspected or was of late.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Settles losses by the registry, which held `incarnations` when it was read at `read`, and forgets
    /// what no longer counts; returns this host's own losses that were settled.
    pub fn reconcile(
        &mut self,
        incarnations: &HashSet<IncarnationDigest>,
        read: Option<Instant>,
        now: Instant,
    ) -> Vec<Resolution> {
        let mut settled = Vec::new();
        for (fingerprint, suspect) in &mut self.suspects {
            for loss in &mut suspect.losses {
                let Some(read) = read.filter(|read| *read > loss.at) else {
                    continue;
                };
                loss.fate = match (loss.fate, incarnations.contains(&loss.incarnation)) {
                    // One that has answered may still have held the request, and end under it.
                    (Fate::Unknown | Fate::Alive, false) => Fate::Ended,
                    (Fate::Unknown, true) if read >= loss.at + LAPSE_TIME => Fate::Alive,
                    _ => continue,
                };
                if loss.origin != self.own {
                    continue;
                }
                suspect.changed = now;
                settled.push(Resolution {
                    fingerprint: *fingerprint,
                    incarnation: loss.incarnation,
                    fate: loss.fate,
                    age: now.saturating_duration_since(loss.at),
                });
            }
        }
        self.forget(now);
        settled
    }

    fn forget(&mut self, now: Instant) {
        let is_within = |at: Instant, time| now.saturating_duration_since(at) < time;
        self.suspects.retain(|_, suspect| {
            suspect.losses.retain(|loss| match loss.fate {
                Fate::Alive => is_within(loss.at, CLEARED_TIME),
                Fate::Unknown | Fate::Ended => is_within(loss.at, MEMORY),
            });
            !suspect.losses.is_empty()
                || suspect
                    .completed
                    .is_some_and(|at| is_within(at, CLEARED_TIME))
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
    }

    /// Returns the suspects that peers are told of now, `most` at the most: news before what they
    /// have been told, those of many lives first.
    pub fn due_reports(&mut self, most: usize, now: Instant) -> Vec<Report> {
        if self.suspects.is_empty() {
            return Vec::new();
        }
        let own = self.own;
        let is_due = |suspect: &Suspect| {
            let is_own = suspect.losses.iter().any(|loss| loss.origin == own);
            let told = suspect.told;
            (is_own || suspect.completed.is_some())
                && (suspect.is_untold()
                    || told.is_none_or(|at| now.saturating_duration_since(at) >= RETELL_PAUSE))
        };
        let mut due: Vec<(bool, std::cmp::Reverse<usize>, Option<Instant>, Fingerprint)> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| is_due(suspect))
            .map(|(fingerprint, suspect)| {
                let incarnations = std::cmp::Reverse(suspect.incarnations());
                (
                    !suspect.is_untold(),
                    incarnations,
                    suspect.told,
                    *fingerprint,
                )
            })
            .collect();
        due.sort_unstable();
        due.truncate(most);
        let fingerprints = due.into_iter().map(|(.., fingerprint)| fingerprint);
        fingerprints
            .filter_map(|fingerprint| {
                let suspect = self.suspects.get_mut(&fingerprint)?;
                suspect.told = Some(now);
                Some(suspect.account(fingerprint, own, now))
            })
            .collect()
    }

    /// Takes in what the host `origin` tells of suspects.
    pub fn merge(&mut self, origin: HostDigest, told: &[Report], now: Instant) {
        for told in told {
            if told.losses.is_empty() && !self.suspects.contains_key(&told.fingerprint) {
                continue;
            }
            let suspect = self.suspect(told.fingerprint, now);
            if let Some(completed) = told.completed.and_then(|age| now.checked_sub(age)) {
                suspect.losses.retain(|loss| loss.at > completed);
            }
            let mut unknown = Vec::new();
            for told in &told.losses {
                if told.age >= MEMORY {
                    continue;
                }
                let at = now.checked_sub(told.age).unwrap_or(now);
                let mut loss = Loss {
                    incarnation: told.incarnation,
                    origin,
                    at,
                    fate: told.fate,
                };
                let held = suspect
                    .losses
                    .iter()
                    .find(|held| held.incarnation == loss.incarnation && held.origin == origin);
                if let Some(held) = held {
                    // The same loss told again, if a datagram's delay explains the difference.
                    let is_same = loss.at < held.at + RESTART_TIME;
                    loss.at = if is_same {
                        held.at.min(loss.at)
                    } else {
                        loss.at
                    };
                    if is_same && (loss.fate == Fate::Unknown || held.fate == Fate::Ended) {
                        loss.fate = held.fate;
                    }
                }
                if loss.fate == Fate::Unknown {
                    unknown.push(loss.incarnation);
                }
                suspect.record(loss);
            }
            for incarnation in unknown {
                self.watch(incarnation, told.fingerprint);
            }
        }
    }

    /// Returns what must outlast this process: its own losses at lives that ended or, of requests
    /// that are not run any more, may have.
    pub fn persistent_reports(&self, now: Instant) -> Vec<Report> {
        let lasts = |suspect: &Suspect, loss: &Loss| {
            let is_old = now.saturating_duration_since(loss.at) >= KEEP_DELAY;
            loss.origin == self.own
                && loss.counts()
                && (suspect.incarnations() >= MOST_LIVES || (is_old && loss.fate == Fate::Ended))
        };
        let mut lasting: Vec<Report> = self
            .suspects
            .iter()
            .map(|(fingerprint, suspect)| {
                let own = Suspect {
                    losses: suspect
                        .losses
                        .iter()
                        .filter(|loss| lasts(suspect, loss))
                        .copied()
                        .collect(),
                    completed: None,
                    ..Suspect::new(now)
                };
                own.account(*fingerprint, self.own, now)
            })
            .filter(|told| !told.losses.is_empty())
            .collect();
        lasting
            .sort_unstable_by_key(|told| (std::cmp::Reverse(told.losses.len()), told.fingerprint));
        lasting
    }

    /// Returns how many requests are suspects, and how many of these are not run any more.
    pub fn count(&self, now: Instant) -> (usize, usize) {
        let suspects = self
            .suspects
            .iter()
            .filter(|(_, suspect)| suspect.incarnations() > 0);
        suspects.fold((0, 0), |(all, refused), (fingerprint, _)| {
            let is_refused = self.verdict(*fingerprint, now) != Verdict::Clear;
            (all + 1, refused + usize::from(is_refused))
        })
    }

    fn watch(&mut self, incarnation: IncarnationDigest, fingerprint: Fingerprint) {
        let held = self.unknown.entry(incarnation).or_default();
        if !held.contains(&fingerprint) {
            held.push(fingerprint);
        }
    }

    /// Returns a suspect, a new one in the place of the least suspect if there is no room.
    fn suspect(&mut self, fingerprint: Fingerprint, now: Instant) -> &mut Suspect {
        if self.suspects.len() >= MOST_SUSPECTS && !self.suspects.contains_key(&fingerprint) {
            let least = self
                .suspects
                .iter()
                .min_by_key(|(_, suspect)| (suspect.incarnations(), suspect.changed))
                .map(|(fingerprint, _)| *fingerprint);
            if let Some(least) = least {
                self.suspects.remove(&least);
            }
        }
        self.suspects
            .entry(fingerprint)
            .or_insert_with(|| Suspect::new(now))
    }
}
