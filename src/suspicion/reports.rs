//! Reports of suspects: sent to peers, kept in the store, and merged from both.

use std::time::Duration;
use std::time::Instant;

use super::LOSS_RETENTION;
use super::MAX_INCARNATIONS;
use super::MIN_RESTART_DURATION;
use super::Tracker;
use super::suspect::Loss;
use super::suspect::Suspect;
use super::told::Fate;
use super::told::Report;
use crate::id::Fingerprint;
use crate::id::HostDigest;

/// Interval between two reports of a suspect that has not changed.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time before a single loss is persisted: most are cleared by the next attempt.
const PERSIST_DELAY: Duration = Duration::from_secs(1);

impl Tracker {
    /// Returns at most `max` suspects that are due to be reported to peers: changed ones before
    /// unchanged ones, then those with more incarnations first.
    pub fn due_reports(&mut self, max: usize, now: Instant) -> Vec<Report> {
        if self.suspects.is_empty() {
            return Vec::new();
        }
        let own = self.own;
        let is_due = |suspect: &Suspect| {
            let is_own = suspect.losses.iter().any(|loss| loss.origin == own);
            let reported_at = suspect.reported_at;
            (is_own || suspect.completed_at.is_some())
                && (suspect.is_unreported()
                    || reported_at
                        .is_none_or(|at| now.saturating_duration_since(at) >= REPORT_INTERVAL))
        };
        let mut due: Vec<(bool, std::cmp::Reverse<usize>, Option<Instant>, Fingerprint)> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| is_due(suspect))
            .map(|(fingerprint, suspect)| {
                let incarnations = std::cmp::Reverse(suspect.counted_incarnations());
                (
                    !suspect.is_unreported(),
                    incarnations,
                    suspect.reported_at,
                    *fingerprint,
                )
            })
            .collect();
        due.sort_unstable();
        due.truncate(max);
        let fingerprints = due.into_iter().map(|(.., fingerprint)| fingerprint);
        fingerprints
            .filter_map(|fingerprint| {
                let suspect = self.suspects.get_mut(&fingerprint)?;
                suspect.reported_at = Some(now);
                Some(suspect.report(fingerprint, own, now))
            })
            .collect()
    }

    /// Merges the suspects that the host `origin` reports.
    pub fn merge(&mut self, origin: HostDigest, reports: &[Report], now: Instant) {
        for report in reports {
            if report.losses.is_empty() && !self.suspects.contains_key(&report.fingerprint) {
                continue;
            }
            let suspect = self.suspect(report.fingerprint, now);
            if let Some(completed) = report.completed.and_then(|age| now.checked_sub(age)) {
                suspect.losses.retain(|loss| loss.at > completed);
            }
            let mut unknown = Vec::new();
            for reported in &report.losses {
                if reported.age >= LOSS_RETENTION {
                    continue;
                }
                let at = now.checked_sub(reported.age).unwrap_or(now);
                let mut loss = Loss {
                    incarnation: reported.incarnation,
                    origin,
                    at,
                    fate: reported.fate,
                };
                let held = suspect
                    .losses
                    .iter()
                    .find(|held| held.incarnation == loss.incarnation && held.origin == origin);
                if let Some(held) = held {
                    // The same loss reported again if a datagram's delay explains the difference.
                    let is_same = loss.at < held.at + MIN_RESTART_DURATION;
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
                self.index_unknown(incarnation, report.fingerprint);
            }
        }
    }

    /// Returns the reports to persist beyond this process: this host's own losses at incarnations
    /// that ended and, for requests that are not sent any more, also at those that may have ended.
    pub fn persistent_reports(&self, now: Instant) -> Vec<Report> {
        let is_persistent = |suspect: &Suspect, loss: &Loss| {
            let is_old = now.saturating_duration_since(loss.at) >= PERSIST_DELAY;
            loss.origin == self.own
                && loss.is_counted()
                && (suspect.counted_incarnations() >= MAX_INCARNATIONS
                    || (is_old && loss.fate == Fate::Ended))
        };
        let mut persistent: Vec<Report> = self
            .suspects
            .iter()
            .map(|(fingerprint, suspect)| {
                let own = Suspect {
                    losses: suspect
                        .losses
                        .iter()
                        .filter(|loss| is_persistent(suspect, loss))
                        .copied()
                        .collect(),
                    completed_at: None,
                    ..Suspect::new(now)
                };
                own.report(*fingerprint, self.own, now)
            })
            .filter(|report| !report.losses.is_empty())
            .collect();
        persistent.sort_unstable_by_key(|report| {
            (std::cmp::Reverse(report.losses.len()), report.fingerprint)
        });
        persistent
    }
}
