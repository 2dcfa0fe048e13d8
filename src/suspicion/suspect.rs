//! A suspect: a request or a prompt block, and the incarnations at which it was lost.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use super::told::Fate;
use super::told::LossReport;
use super::told::Report;
use super::told::Subject;
use super::verdict::Evidence;
use super::verdict::Verdict;
use crate::id::Fingerprint;
use crate::id::HostDigest;
use crate::id::IncarnationDigest;
use crate::id::RequestDigest;

/// Time after which a refused caller may retry while the fate of incarnations is unresolved.
const UNRESOLVED_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after which a caller may retry a request that ended upstreams.
const REFUSED_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Maximum losses kept per suspect.
const MAX_LOSSES: usize = 16;

/// A loss at one incarnation of an upstream.
#[derive(Debug, Clone, Copy)]
pub(super) struct Loss {
    pub(super) incarnation: IncarnationDigest,
    /// Host that saw the loss.
    pub(super) origin: HostDigest,
    /// Time of the loss.
    pub(super) at: Instant,
    pub(super) fate: Fate,
    /// Earliest time at which the incarnation may have ended.
    pub(super) earliest_end: Instant,
    /// Last request with the block that was lost there.
    pub(super) request: RequestDigest,
    /// Number of requests with the block that were lost there.
    pub(super) requests: u32,
}

impl Loss {
    /// Returns `true` if the loss counts against the request.
    pub(super) fn is_counted(&self) -> bool {
        self.fate != Fate::Alive
    }
}

/// A request that tries a blamed block.
#[derive(Debug, Clone, Copy)]
pub(super) struct Trial {
    pub(super) request: Fingerprint,
    pub(super) at: Instant,
}

/// A request or a prompt block, and its losses.
#[derive(Debug)]
pub(super) struct Suspect {
    pub(super) subject: Subject,
    /// `true` if it is known to have completed before its first loss or since.
    pub(super) has_completed: bool,
    pub(super) losses: Vec<Loss>,
    /// `true` if a peer has reported a completion.
    pub(super) is_completion_reported: bool,
    /// Time when it last completed at this host.
    pub(super) completed_at: Option<Instant>,
    /// Time of the last change.
    pub(super) changed_at: Instant,
    /// Last request that was let through to find out whether the block still ends upstreams.
    pub(super) trial: Option<Trial>,
    /// Time when it was last reported to peers.
    pub(super) reported_at: Option<Instant>,
}

impl Suspect {
    pub(super) fn new(subject: Subject, now: Instant) -> Self {
        Suspect {
            subject,
            has_completed: false,
            is_completion_reported: false,
            losses: Vec::new(),
            completed_at: None,
            changed_at: now,
            trial: None,
            reported_at: None,
        }
    }

    /// Returns the number of incarnations that ended under it or may have.
    pub(super) fn counted_incarnations(&self) -> usize {
        self.count_incarnations(Loss::is_counted)
    }

    /// Returns the number of distinct incarnations among the losses that match `predicate`.
    pub(super) fn count_incarnations<F>(&self, predicate: F) -> usize
    where
        F: Fn(&Loss) -> bool,
    {
        let is_first = |index: usize| {
            let incarnation = self.losses[index].incarnation;
            let mut before = self.losses[..index].iter();
            !before.any(|loss| loss.incarnation == incarnation && predicate(loss))
        };
        let matching = (0..self.losses.len()).filter(|index| predicate(&self.losses[*index]));
        matching.filter(|index| is_first(*index)).count()
    }

    /// Returns the number of requests with the block that the host `origin` lost at an incarnation.
    pub(super) fn requests_lost_at(
        &self,
        incarnation: IncarnationDigest,
        origin: HostDigest,
    ) -> u32 {
        let mut losses = self.losses.iter();
        let held = losses.find(|loss| loss.incarnation == incarnation && loss.origin == origin);
        held.map_or(0, |loss| loss.requests)
    }

    /// Returns `true` if a loss that counts was recorded at or after `at`.
    pub(super) fn has_lost_since(&self, at: Instant) -> bool {
        let mut losses = self.losses.iter();
        losses.any(|loss| loss.is_counted() && loss.at >= at)
    }

    /// Returns `true` if `host` may let a request try the block, `delay` after the last loss.
    ///
    /// Of the hosts that lost requests with it only one may, so that a trial ends one upstream at
    /// most.
    pub(super) fn is_trial_due(&self, host: HostDigest, delay: Duration, now: Instant) -> bool {
        let counted = || self.losses.iter().filter(|loss| loss.is_counted());
        let last_loss = counted().map(|loss| loss.at).max();
        let last = last_loss.max(self.trial.map(|trial| trial.at));
        let is_over = last.is_none_or(|last| now.saturating_duration_since(last) >= delay);
        is_over && counted().map(|loss| loss.origin).min() == Some(host)
    }

    /// Records that it completed at this host, which clears it.
    pub(super) fn complete(&mut self, now: Instant) {
        // A completion that clears nothing is reported at the regular interval.
        if !self.losses.is_empty() || self.completed_at.is_none() {
            self.changed_at = now;
        }
        self.losses.clear();
        self.completed_at = Some(now);
    }

    /// Returns the verdict that it may not be sent, with the losses that `is_counted` selects as
    /// evidence.
    pub(super) fn refuse<F>(&self, is_counted: F, is_resolved: bool, now: Instant) -> Verdict
    where
        F: Fn(&Loss) -> bool,
    {
        let counted = || self.losses.iter().filter(|loss| is_counted(loss));
        let hosts: HashSet<HostDigest> = counted().map(|loss| loss.origin).collect();
        let first = counted().map(|loss| loss.at).min().unwrap_or(now);
        let evidence = Evidence {
            incarnations: self.count_incarnations(&is_counted),
            ended: self.count_incarnations(|loss| is_counted(loss) && loss.fate == Fate::Ended),
            hosts: hosts.len(),
            first_loss_age: now.saturating_duration_since(first),
            retry_after: match is_resolved {
                true => REFUSED_RETRY_AFTER,
                false => UNRESOLVED_RETRY_AFTER,
            },
        };
        match is_resolved {
            true => Verdict::Refused(evidence),
            false => Verdict::Unresolved(evidence),
        }
    }

    /// Returns `true` if it is a block that has completed in another request.
    pub(super) fn is_common_block(&self) -> bool {
        self.subject == Subject::Block && self.has_completed
    }

    /// Returns `true` if peers have not been sent the latest change.
    pub(super) fn is_unreported(&self) -> bool {
        self.reported_at
            .is_none_or(|reported_at| reported_at < self.changed_at)
    }

    /// Records a loss; it replaces an earlier one of the same host at the same incarnation. Returns
    /// `true` if that changes what the losses show.
    pub(super) fn record(&mut self, loss: Loss) -> bool {
        let held = self
            .losses
            .iter_mut()
            .find(|held| held.incarnation == loss.incarnation && held.origin == loss.origin);
        if let Some(held) = held {
            let is_changed = (held.fate, held.request, held.requests)
                != (loss.fate, loss.request, loss.requests);
            *held = loss;
            return is_changed;
        }
        if self.losses.len() >= MAX_LOSSES {
            // Drops the loss that matters least: one that doesn't count, then one at an incarnation
            // at which another host also lost the request, then the oldest.
            let is_only = |candidate: &Loss| {
                let same = self
                    .losses
                    .iter()
                    .filter(|loss| loss.incarnation == candidate.incarnation);
                same.count() == 1
            };
            let weakest = (0..self.losses.len()).min_by_key(|index| {
                let candidate = &self.losses[*index];
                (candidate.is_counted(), is_only(candidate), candidate.at)
            });
            if let Some(weakest) = weakest {
                self.losses.swap_remove(weakest);
            }
        }
        self.losses.push(loss);
        true
    }

    /// Returns the report of the losses of the host `own` for the suspect `fingerprint`.
    pub(super) fn report(&self, fingerprint: Fingerprint, own: HostDigest, now: Instant) -> Report {
        let age = |at| now.saturating_duration_since(at);
        let losses = self.losses.iter().filter(|loss| loss.origin == own);
        Report {
            subject: self.subject,
            fingerprint,
            losses: losses
                .map(|loss| LossReport {
                    incarnation: loss.incarnation,
                    age: age(loss.at),
                    fate: loss.fate,
                    uncertainty: loss.at.saturating_duration_since(loss.earliest_end),
                    request: loss.request,
                    requests: loss.requests,
                })
                .collect(),
            completed: self.completed_at.map(age),
        }
    }
}
