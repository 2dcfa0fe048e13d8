//! One suspect: a request, and where it was lost.

use std::time::Instant;

use super::told::Fate;
use super::told::LossReport;
use super::told::Report;
use crate::id::Fingerprint;
use crate::id::HostDigest;
use crate::id::IncarnationDigest;

/// Most losses of one suspect that are told apart.
const MOST_LOSSES: usize = 16;

/// A request's loss at one life of an upstream.
#[derive(Debug, Clone, Copy)]
pub(super) struct Loss {
    pub(super) incarnation: IncarnationDigest,
    /// Host that lost the request.
    pub(super) origin: HostDigest,
    pub(super) at: Instant,
    pub(super) fate: Fate,
}

impl Loss {
    pub(super) fn counts(&self) -> bool {
        self.fate != Fate::Alive
    }
}

/// A request and its losses.
#[derive(Debug)]
pub(super) struct Suspect {
    pub(super) losses: Vec<Loss>,
    /// When the request last ran to its end here.
    pub(super) completed: Option<Instant>,
    pub(super) changed: Instant,
    pub(super) told: Option<Instant>,
}

impl Suspect {
    pub(super) fn new(now: Instant) -> Self {
        Suspect {
            losses: Vec::new(),
            completed: None,
            changed: now,
            told: None,
        }
    }

    /// Returns the lives that ended under it or may have.
    pub(super) fn incarnations(&self) -> usize {
        self.distinct(Loss::counts)
    }

    /// Returns how many lives the losses that `is_meant` tells are of.
    pub(super) fn distinct<F>(&self, is_meant: F) -> usize
    where
        F: Fn(&Loss) -> bool,
    {
        let is_first = |index: usize| {
            let incarnation = self.losses[index].incarnation;
            let mut before = self.losses[..index].iter();
            !before.any(|loss| loss.incarnation == incarnation && is_meant(loss))
        };
        let meant = (0..self.losses.len()).filter(|index| is_meant(&self.losses[*index]));
        meant.filter(|index| is_first(*index)).count()
    }

    pub(super) fn is_untold(&self) -> bool {
        self.told.is_none_or(|told| told < self.changed)
    }

    /// Notes a loss of `origin`; a later one at the same life takes the place of an earlier one.
    pub(super) fn record(&mut self, loss: Loss) {
        let held = self
            .losses
            .iter_mut()
            .find(|held| held.incarnation == loss.incarnation && held.origin == loss.origin);
        if let Some(held) = held {
            *held = loss;
            return;
        }
        if self.losses.len() >= MOST_LOSSES {
            // One that counts less makes room: those that accuse nobody, those at a life that
            // another one is at, then the oldest.
            let is_only = |one: &Loss| {
                let same = self
                    .losses
                    .iter()
                    .filter(|loss| loss.incarnation == one.incarnation);
                same.count() == 1
            };
            let weakest = (0..self.losses.len()).min_by_key(|index| {
                let one = &self.losses[*index];
                (one.counts(), is_only(one), one.at)
            });
            if let Some(weakest) = weakest {
                self.losses.swap_remove(weakest);
            }
        }
        self.losses.push(loss);
    }

    /// Returns what `own` tells of it, known by `fingerprint`.
    pub(super) fn account(
        &self,
        fingerprint: Fingerprint,
        own: HostDigest,
        now: Instant,
    ) -> Report {
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
            completed: self.completed.map(age),
        }
    }
}
