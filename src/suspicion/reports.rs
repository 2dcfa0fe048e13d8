//! Reports of suspects: sent to peers, kept in the store, and merged from both.

use std::cmp::Reverse;
use std::time::Duration;
use std::time::Instant;

use super::CLEARED_RETENTION;
use super::LOSS_RETENTION;
use super::MAX_INCARNATIONS;
use super::MIN_RESTART_DURATION;
use super::Tracker;
use super::suspect::Loss;
use super::suspect::Suspect;
use super::told::Fate;
use super::told::Report;
use super::told::Subject;
use crate::id::Fingerprint;
use crate::id::HostDigest;

/// Interval between two reports of a suspect that has not changed.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Time before a single loss is persisted: most are cleared by the next attempt.
const PERSIST_DELAY: Duration = Duration::from_secs(1);

/// Order in which suspects are reported.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_unchanged: bool,
    is_common_block: bool,
    incarnations: Reverse<usize>,
    reported_at: Option<Instant>,
}

impl Rank {
    fn of(suspect: &Suspect) -> Self {
        Rank {
            is_unchanged: !suspect.is_unreported(),
            is_common_block: suspect.is_common_block(),
            incarnations: Reverse(suspect.counted_incarnations()),
            reported_at: suspect.reported_at,
        }
    }
}

impl Tracker {
    /// Returns at most `max` suspects that are due to be reported to peers: changed ones before
    /// unchanged ones, then blocks that have completed last, then those with more incarnations first.
    pub fn due_reports(&mut self, max: usize, now: Instant) -> Vec<Report> {
        if self.suspects.is_empty() {
            return Vec::new();
        }
        let own = self.own;
        let is_within =
            |at: Option<Instant>, limit| at.is_some_and(|at| now.duration_since(at) < limit);
        let is_due = |suspect: &Suspect| {
            let is_own = suspect.losses.iter().any(|loss| loss.origin == own);
            let is_new = suspect.is_unreported();
            if is_own || is_within(suspect.completed_at, CLEARED_RETENTION) {
                return is_new || !is_within(suspect.reported_at, REPORT_INTERVAL);
            }
            // One host's word that a block completed before is enough.
            suspect.completed_at.is_some() && is_new && !suspect.is_completion_reported
        };
        let mut due: Vec<(Rank, Fingerprint)> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| is_due(suspect))
            .map(|(fingerprint, suspect)| (Rank::of(suspect), *fingerprint))
            .collect();
        due.sort_unstable();
        due.truncate(max);
        let fingerprints = due.into_iter().map(|(_, fingerprint)| fingerprint);
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
        let mut is_blame_stale = false;
        for report in reports {
            if report.losses.is_empty() && !self.suspects.contains_key(&report.fingerprint) {
                continue;
            }
            let suspect = match report.subject {
                Subject::Request => self.suspect(report.subject, report.fingerprint, now),
                Subject::Block => self.block_suspect(report.fingerprint, now),
            };
            let mut is_changed = report.completed.is_some() && !suspect.has_completed;
            suspect.has_completed |= report.completed.is_some();
            suspect.is_completion_reported |= report.completed.is_some();
            if let Some(completed) = report.completed.and_then(|age| now.checked_sub(age)) {
                let losses = suspect.losses.len();
                suspect.losses.retain(|loss| loss.at > completed);
                is_changed |= suspect.losses.len() != losses;
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
                    earliest_end: at.checked_sub(reported.uncertainty).unwrap_or(at),
                    request: reported.request,
                    requests: reported.requests,
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
                is_changed |= suspect.record(loss);
            }
            is_blame_stale |= is_changed && report.subject == Subject::Block;
            for incarnation in unknown {
                self.index_unknown(incarnation, report.fingerprint);
            }
            self.index_candidate(report.fingerprint);
        }
        if is_blame_stale {
            self.update_blame();
        }
    }

    /// Returns the reports to persist beyond this process: this host's own losses at incarnations
    /// that ended and, for requests that are not sent any more, also at those that may have ended.
    pub fn persistent_reports(&self, now: Instant) -> Vec<Report> {
        let is_persistent = |suspect: &Suspect, loss: &Loss| {
            let is_old = now.saturating_duration_since(loss.at) >= PERSIST_DELAY;
            loss.origin == self.own
                && loss.is_counted()
                && !suspect.is_common_block()
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
                    ..Suspect::new(suspect.subject, now)
                };
                own.report(*fingerprint, self.own, now)
            })
            .filter(|report| !report.losses.is_empty())
            .collect();
        persistent
            .sort_unstable_by_key(|report| (Reverse(report.losses.len()), report.fingerprint));
        persistent
    }
}
