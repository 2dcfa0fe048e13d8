//! A suspect: a request and the incarnations at which it was lost.

use std::time::Instant;

use super::told::Fate;
use super::told::LossReport;
use super::told::Report;
use crate::id::Fingerprint;
use crate::id::HostDigest;
use crate::id::IncarnationDigest;

/// Maximum losses kept per suspect.
const MAX_LOSSES: usize = 16;

/// A request's loss at one incarnation of an upstream.
#[derive(Debug, Clone, Copy)]
pub(super) struct Loss {
    pub(super) incarnation: IncarnationDigest,
    /// Host that lost the request.
    pub(super) origin: HostDigest,
    /// Time of the loss.
    pub(super) at: Instant,
    pub(super) fate: Fate,
}

impl Loss {
    /// Returns `true` if the loss counts against the request.
    pub(super) fn is_counted(&self) -> bool {
        self.fate != Fate::Alive
    }
}

/// A request and its losses.
#[derive(Debug)]
pub(super) struct Suspect {
    pub(super) losses: Vec<Loss>,
    /// Time when the request last completed at this host.
    pub(super) completed_at: Option<Instant>,
    /// Time of the last change.
    pub(super) changed_at: Instant,
    /// Time when the request was last reported to peers.
    pub(super) reported_at: Option<Instant>,
}

impl Suspect {
    pub(super) fn new(now: Instant) -> Self {
        Suspect {
            losses: Vec::new(),
            completed_at: None,
            changed_at: now,
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

    /// Returns `true` if peers have not been sent the latest change.
    pub(super) fn is_unreported(&self) -> bool {
        self.reported_at
            .is_none_or(|reported_at| reported_at < self.changed_at)
    }

    /// Records a loss; it replaces an earlier one of the same host at the same incarnation.
    pub(super) fn record(&mut self, loss: Loss) {
        let held = self
            .losses
            .iter_mut()
            .find(|held| held.incarnation == loss.incarnation && held.origin == loss.origin);
        if let Some(held) = held {
            *held = loss;
            return;
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
    }

    /// Returns the report of the losses of the host `own` for the request `fingerprint`.
    pub(super) fn report(&self, fingerprint: Fingerprint, own: HostDigest, now: Instant) -> Report {
        let age = |at| now.saturating_duration_since(at);
        let losses = self.losses.iter().filter(|loss| loss.origin == own);
        Report {
            fingerprint,
            losses: losses
                .map(|loss| LossReport {
                    incarnation: loss.incarnation,
                    age: age(loss.at),
                    fate: loss.fate,
                })
                .collect(),
            completed: self.completed_at.map(age),
        }
    }
}
