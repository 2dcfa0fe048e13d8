//! Attribution of ended upstreams to prompt blocks.
//!
//! An upstream that ends takes all requests with it that it was running, so that each end speaks
//! against every block of their prompts. A block that has completed elsewhere, or that another one
//! explains far better, is not blamed. Others that were lost by chance as often as the one at fault
//! are blamed with it, until a request has tried them.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use super::suspect::Loss;
use super::suspect::Suspect;
use crate::id::Fingerprint;
use crate::id::IncarnationDigest;
use crate::id::RequestDigest;

/// Minimum successive ends, with different requests, for which a block that has never completed is
/// blamed.
pub(super) const MIN_SUCCESSIVE_ENDS: usize = 2;
/// Minimum successive ends for which a block that has completed is blamed.
const MIN_SUCCESSIVE_ENDS_COMPLETED: usize = 4;
/// Minimum ratio of the ends of a block to those of another that it explains.
const MIN_DOMINANCE: usize = 2;
/// Maximum requests per incarnation lost with a block before it counts as common. A block that crashes
/// upstreams does so with the first request that begins to run.
const MAX_REQUESTS_PER_END: u64 = 8;
/// Minimum ratio of the requests lost with a common block to those lost with another that explains
/// its ends: what many requests hold is lost more often by chance.
const MIN_REQUEST_RATIO: u64 = 3;
/// Time from the last loss until one request may try a blamed block again; doubled by each further
/// end.
const MIN_TRIAL_DELAY: Duration = Duration::from_secs(60);
/// The same for a block whose ends another one explains with stronger evidence.
const MIN_TRIAL_DELAY_SHARED: Duration = Duration::from_secs(10);
/// Maximum time from the last loss until a request may try a block again; less than losses are kept,
/// so that not all hosts try it at once.
const MAX_TRIAL_DELAY: Duration = Duration::from_secs(480);

/// Blocks that are blamed, and the ends that they explain.
#[derive(Debug, Default)]
pub(super) struct Blame {
    /// Time from the last loss of each block until one request may try it again.
    trial_delays: HashMap<Fingerprint, Duration>,
    ends: HashMap<IncarnationDigest, Explanation>,
}

/// How blamed blocks explain one end.
#[derive(Debug, Clone, Copy)]
struct Explanation {
    /// Maximum number of ends of a block that explains this one.
    max_ends: usize,
    /// Minimum number of requests that were lost with such a block.
    min_requests: u64,
    /// The block with the strongest evidence.
    strongest: (u64, usize, Fingerprint),
}

impl Blame {
    /// Attributes the ends of incarnations to blocks.
    pub(super) fn assign<'a, I>(candidates: I) -> Self
    where
        I: Iterator<Item = (Fingerprint, &'a Suspect)>,
    {
        let mut candidates: Vec<Candidate<'a>> = candidates.map(Candidate::new).collect();
        candidates.sort_unstable_by_key(Candidate::rank);
        let mut blame = Blame::default();
        candidates.retain(|candidate| blame.assign_one(candidate));
        blame.trial_delays = candidates
            .iter()
            .map(|candidate| (candidate.block, blame.delay_of(candidate)))
            .collect();
        blame
    }

    /// Returns `true` if a blamed block explains the end of an incarnation.
    pub(super) fn explains_end(&self, incarnation: IncarnationDigest) -> bool {
        self.ends.contains_key(&incarnation)
    }

    /// Returns the time from a block's last loss until one request may try it again; `None` if it is
    /// not blamed.
    pub(super) fn trial_delay(&self, block: Fingerprint) -> Option<Duration> {
        self.trial_delays.get(&block).copied()
    }

    /// Blames a block if its ends have no better explanation; returns `true` if it is blamed.
    fn assign_one(&mut self, candidate: &Candidate<'_>) -> bool {
        let is_explained = |loss: &Loss| {
            let explanation = self.ends.get(&loss.incarnation);
            explanation.is_some_and(|explanation| candidate.is_explained_by(explanation))
        };
        let unexplained: Vec<&Loss> = candidate
            .losses()
            .filter(|loss| !is_explained(loss))
            .collect();
        if !is_blamed(&unexplained, candidate.suspect.has_completed) {
            return false;
        }
        for loss in candidate.losses() {
            let strength = candidate.strength();
            let explanation = self.ends.entry(loss.incarnation).or_insert(Explanation {
                max_ends: candidate.ends,
                min_requests: candidate.requests,
                strongest: strength,
            });
            explanation.max_ends = explanation.max_ends.max(candidate.ends);
            explanation.min_requests = explanation.min_requests.min(candidate.requests);
            explanation.strongest = explanation.strongest.max(strength);
        }
        true
    }

    /// Returns the trial delay of a blamed block. Of those that explain the same ends, the one with
    /// the strongest evidence waits longest: if the others turn out harmless, it need not be tried.
    fn delay_of(&self, candidate: &Candidate<'_>) -> Duration {
        let is_strongest = |loss: &Loss| {
            let explanation = self.ends.get(&loss.incarnation);
            explanation.is_none_or(|explanation| explanation.strongest == candidate.strength())
        };
        let min_delay = match candidate.losses().all(is_strongest) {
            true => MIN_TRIAL_DELAY,
            false => MIN_TRIAL_DELAY_SHARED,
        };
        let doublings = candidate.ends.saturating_sub(MIN_SUCCESSIVE_ENDS).min(8) as u32;
        (min_delay * 2_u32.pow(doublings)).min(MAX_TRIAL_DELAY)
    }
}

/// A block that may be blamed.
#[derive(Debug)]
struct Candidate<'a> {
    block: Fingerprint,
    suspect: &'a Suspect,
    /// Number of incarnations that ended, or may have.
    ends: usize,
    /// Number of requests that were lost with it.
    requests: u64,
}

impl<'a> Candidate<'a> {
    fn new((block, suspect): (Fingerprint, &'a Suspect)) -> Self {
        let counted = suspect.losses.iter().filter(|loss| loss.is_counted());
        Candidate {
            block,
            suspect,
            ends: suspect.counted_incarnations(),
            requests: counted.map(|loss| u64::from(loss.requests)).sum(),
        }
    }

    fn losses(&self) -> impl Iterator<Item = &'a Loss> {
        self.suspect.losses.iter().filter(|loss| loss.is_counted())
    }

    fn is_common(&self) -> bool {
        self.requests > MAX_REQUESTS_PER_END * self.ends as u64
    }

    fn is_explained_by(&self, explanation: &Explanation) -> bool {
        let is_rare_beside = self.requests >= explanation.min_requests * MIN_REQUEST_RATIO;
        self.suspect.has_completed
            || explanation.max_ends >= self.ends * MIN_DOMINANCE
            || (self.is_common() && is_rare_beside)
    }

    fn strength(&self) -> (u64, usize, Fingerprint) {
        (self.requests, self.ends, self.block)
    }

    /// Blocks that have completed come last, common ones before them, and first those with the most
    /// ends.
    fn rank(&self) -> (bool, bool, Reverse<usize>, Fingerprint) {
        let has_completed = self.suspect.has_completed;
        (
            has_completed,
            self.is_common(),
            Reverse(self.ends),
            self.block,
        )
    }
}

/// Returns `true` if losses suffice to blame a block.
fn is_blamed(losses: &[&Loss], has_completed: bool) -> bool {
    let successive = count_successive(losses);
    if has_completed {
        return successive >= MIN_SUCCESSIVE_ENDS_COMPLETED;
    }
    let requests: HashSet<RequestDigest> = losses.iter().map(|loss| loss.request).collect();
    successive.min(requests.len()) >= MIN_SUCCESSIVE_ENDS
}

/// Returns the maximum number of losses at different incarnations each of which ended after the one
/// before. Upstreams that may have ended at the same time count once.
fn count_successive(losses: &[&Loss]) -> usize {
    let mut by_end = losses.to_vec();
    by_end.sort_unstable_by_key(|loss| loss.at);
    let mut incarnations = HashSet::new();
    let mut last_end = None;
    for loss in by_end {
        let is_later = last_end.is_none_or(|end| loss.earliest_end > end);
        if is_later && incarnations.insert(loss.incarnation) {
            last_end = Some(loss.at);
        }
    }
    incarnations.len()
}
