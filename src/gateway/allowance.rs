//! What a request may still cost the upstreams.

use super::exchange::Failure;

/// Sends beyond the route's attempts that refusals by upstreams may cost one request.
const SPARE_SENDS: u32 = 1;
/// Times that a prompt may be read ahead for one request.
const MOST_READS: u32 = 2;

/// Upstreams that could not be reached after which a request is given up; each costs no upstream
/// anything, but up to 300 ms of the caller's time.
const MOST_UNREACHED: u32 = 6;

/// Sends that a request has had, and whether it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptBudget {
    attempts: u32,
    sends: u32,
    reads: u32,
    unreached: u32,
    may_have_run: bool,
}

impl AttemptBudget {
    /// Returns the allowance of a request that may be sent to `attempts` upstreams.
    pub fn new(attempts: u32) -> Self {
        AttemptBudget {
            attempts,
            sends: 0,
            reads: 0,
            unreached: 0,
            may_have_run: false,
        }
    }

    /// Counts a send.
    pub fn record_send(&mut self) {
        self.sends += 1;
    }

    /// Counts a reading of the prompt ahead of its run, which is no send.
    pub fn record_read(&mut self) {
        self.reads += 1;
    }

    /// Notes why a send failed; one that left no byte does not count.
    pub fn record_failure(&mut self, failure: &Failure) {
        let is_unsent = matches!(
            failure,
            Failure::NotSent(_) | Failure::Withheld(_) | Failure::Unreachable(_)
        );
        if is_unsent {
            self.sends = self.sends.saturating_sub(1);
        }
        self.unreached += u32::from(matches!(failure, Failure::Unreachable(_)));
        self.may_have_run |= !failure.is_not_run();
    }

    /// Notes why a reading failed; one that left no byte does not count.
    ///
    /// ```
    /// use pistachiohall::gateway::allowance::AttemptBudget;
    /// use pistachiohall::gateway::exchange::Failure;
    /// let mut attempt_budget = AttemptBudget::new(2);
    /// attempt_budget.record_read();
    /// attempt_budget.record_read_failure(&Failure::Unreachable("refused".into()));
    /// assert_eq!(attempt_budget.retries(true), 0);
    /// ```
    pub fn record_read_failure(&mut self, failure: &Failure) {
        if matches!(failure, Failure::Unreachable(_) | Failure::Withheld(_)) {
            self.reads = self.reads.saturating_sub(1);
        }
        self.unreached += u32::from(matches!(failure, Failure::Unreachable(_)));
    }

    /// Returns whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns whether one more send is allowed.
    ///
    /// A request that may have run is sent again only if it is idempotent, and to no more
    /// upstreams than the route allows; one that has not run may be refused once more.
    ///
    /// ```
    /// use pistachiohall::gateway::allowance::AttemptBudget;
    /// use pistachiohall::gateway::exchange::Failure;
    /// let mut attempt_budget = AttemptBudget::new(1);
    /// attempt_budget.record_send();
    /// attempt_budget.record_failure(&Failure::NotRun(http::StatusCode::SERVICE_UNAVAILABLE));
    /// assert!(attempt_budget.allows_more(false));
    /// attempt_budget.record_send();
    /// attempt_budget.record_failure(&Failure::Silent);
    /// assert!(!attempt_budget.allows_more(false));
    /// ```
    pub fn allows_more(&self, is_idempotent: bool) -> bool {
        if self.unreached > MOST_UNREACHED {
            return false;
        }
        match self.may_have_run {
            true => is_idempotent && self.sends < self.attempts,
            false => self.sends < self.attempts + SPARE_SENDS && self.reads < MOST_READS,
        }
    }

    /// Returns how many repeats a send costs now, with or without a reading ahead of it.
    ///
    /// The first send is free, and so is the first reading ahead.
    pub fn retries(&self, reads_ahead: bool) -> u32 {
        u32::from(self.sends > 0) + u32::from(reads_ahead && self.reads > 0)
    }
}
