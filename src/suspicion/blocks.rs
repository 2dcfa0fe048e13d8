//! Prompt blocks as suspects.

use std::time::Instant;

use super::LostExchange;
use super::MAX_CRASH_DELAY;
use super::MAX_INCARNATIONS;
use super::Tracker;
use super::blame;
use super::blame::Blame;
use super::suspect::Loss;
use super::suspect::Suspect;
use super::suspect::Trial;
use super::told::Fate;
use super::told::Subject;
use super::verdict::Verdict;
use crate::id::Fingerprint;
use crate::id::RequestDigest;

/// Maximum blocks of one request that become suspects, so that long prompts do not fill the table.
const MAX_BLOCKS_PER_LOSS: usize = 32;

impl Tracker {
    /// Returns the verdict on whether a request whose prompt holds a block may be sent. From time to
    /// time one request may try a blamed block.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::suspicion::{LostExchange, Tracker, Verdict};
    /// let now = Instant::now();
    /// let later = now + Duration::from_millis(20);
    /// let mut tracker = Tracker::new(1);
    /// for (request, incarnation, at) in [(1, 100, now), (2, 200, later)] {
    ///     let lost =
    ///         LostExchange { request, incarnation, earliest_end: at, responding_since: None };
    ///     tracker.record_block_losses(&[7], &lost, at);
    /// }
    /// assert!(matches!(tracker.block_verdict(7, 3, later), Verdict::Unresolved(_)));
    /// tracker.record_block_completions(&[7], later);
    /// assert_eq!(tracker.block_verdict(7, 3, later), Verdict::Clear);
    /// ```
    pub fn block_verdict(&self, block: Fingerprint, request: Fingerprint, now: Instant) -> Verdict {
        let Some(delay) = self.blame.trial_delay(block) else {
            return Verdict::Clear;
        };
        let Some(suspect) = self.suspects.get(&block) else {
            return Verdict::Clear;
        };
        let is_trial = suspect
            .trial
            .is_some_and(|trial| trial.request == request && !suspect.has_lost_since(trial.at));
        if is_trial || suspect.is_trial_due(self.own, delay, now) {
            return Verdict::Clear;
        }
        let ended = |loss: &Loss| loss.fate == Fate::Ended;
        let is_resolved = suspect.count_incarnations(ended) >= MAX_INCARNATIONS;
        suspect.refuse(Loss::is_counted, is_resolved, now)
    }

    /// Records that a request is about to be sent whose prompt holds `blocks`, as their trial if one
    /// is due.
    pub fn begin_trials(&mut self, blocks: &[Fingerprint], request: Fingerprint, now: Instant) {
        for block in blocks {
            let Some(delay) = self.blame.trial_delay(*block) else {
                continue;
            };
            let suspect = self.suspects.get_mut(block);
            if let Some(suspect) = suspect.filter(|held| held.is_trial_due(self.own, delay, now)) {
                suspect.trial = Some(Trial { request, at: now });
            }
        }
    }

    /// Records a lost exchange against the blocks of its prompt; returns the maximum number of
    /// incarnations that ended, or may have, under one that has not completed.
    ///
    /// Nothing is recorded if the upstream had been responding for longer than a crash takes.
    pub fn record_block_losses(
        &mut self,
        blocks: &[Fingerprint],
        lost: &LostExchange,
        now: Instant,
    ) -> usize {
        let is_too_late = |at: Instant| now.saturating_duration_since(at) > MAX_CRASH_DELAY;
        if lost.responding_since.is_some_and(is_too_late) {
            return 0;
        }
        let (common, new): (Vec<Fingerprint>, Vec<Fingerprint>) = blocks
            .iter()
            .partition(|block| self.completed_blocks.contains(**block, now));
        let mut max_incarnations = 0;
        for block in new.into_iter().chain(common).take(MAX_BLOCKS_PER_LOSS) {
            let own = self.own;
            let suspect = self.block_suspect(block, now);
            let requests = suspect.requests_lost_at(lost.incarnation, own);
            suspect.record(Loss {
                incarnation: lost.incarnation,
                origin: own,
                at: now,
                fate: Fate::Unknown,
                earliest_end: lost.earliest_end,
                request: lost.request as RequestDigest,
                requests: requests.saturating_add(1),
            });
            suspect.changed_at = now;
            if !suspect.has_completed {
                max_incarnations = max_incarnations.max(suspect.counted_incarnations());
            }
            self.index_unknown(lost.incarnation, block);
            self.index_candidate(block);
        }
        self.update_blame();
        max_incarnations
    }

    /// Returns the suspect of a block, with what this host knows of its completions.
    pub(super) fn block_suspect(&mut self, block: Fingerprint, now: Instant) -> &mut Suspect {
        let completed_at = self.completed_blocks.last(block, now);
        let suspect = self.suspect(Subject::Block, block, now);
        if completed_at.is_some() && suspect.completed_at.is_none() {
            suspect.has_completed = true;
            suspect.completed_at = completed_at;
            suspect.changed_at = now;
        }
        suspect
    }

    /// Records that a request whose prompt holds `blocks` ran to its end, which no request with a
    /// block that crashes upstreams does.
    pub fn record_block_completions(&mut self, blocks: &[Fingerprint], now: Instant) {
        let mut has_cleared = false;
        for block in blocks {
            self.completed_blocks.record(*block, now);
            if let Some(suspect) = self.suspects.get_mut(block) {
                has_cleared |= !suspect.losses.is_empty();
                suspect.has_completed = true;
                suspect.complete(now);
            }
        }
        if has_cleared {
            self.update_blame();
        }
    }

    /// Attributes the ends of incarnations to blocks anew.
    pub(super) fn update_blame(&mut self) {
        let candidates = self.blame_candidates.iter();
        let candidates = candidates.filter_map(|block| Some((*block, self.suspects.get(block)?)));
        self.blame = Blame::assign(candidates);
    }

    pub(super) fn index_candidate(&mut self, block: Fingerprint) {
        let is_candidate = |suspect: &Suspect| {
            suspect.subject == Subject::Block
                && suspect.counted_incarnations() >= blame::MIN_SUCCESSIVE_ENDS
        };
        if self.suspects.get(&block).is_some_and(is_candidate) {
            self.blame_candidates.insert(block);
        }
    }
}
