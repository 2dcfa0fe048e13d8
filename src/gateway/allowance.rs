//! Limits on the attempts of one request.

use super::exchange::Failure;

/// Sends beyond the route's attempts that are allowed after refusals by upstreams.
const EXTRA_SENDS: u32 = 1;
/// Maximum separate prefills for one request.
const MAX_PREFILLS: u32 = 2;

/// Maximum unreachable upstreams before a request fails. Each costs no upstream anything, but up to
/// 300 ms of the caller's time.
const MAX_UNREACHABLE: u32 = 6;

/// Attempts made for a request, and whether it may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptBudget {
    attempts: u32,
    sends: u32,
    prefills: u32,
    unreachable: u32,
    may_have_run: bool,
}

impl AttemptBudget {
    /// Returns the budget of a request that may be sent to `attempts` upstreams.
    pub fn new(attempts: u32) -> Self {
        AttemptBudget {
            attempts,
            sends: 0,
            prefills: 0,
            unreachable: 0,
            may_have_run: false,
        }
    }

    /// Counts a send.
    pub fn record_send(&mut self) {
        self.sends += 1;
    }

    /// Counts a separate prefill, which is not a send.
    pub fn record_prefill(&mut self) {
        self.prefills += 1;
    }

    /// Records the failure of a send; one of which no byte left this host does not count.
    pub fn record_failure(&mut self, failure: &Failure) {
        let is_unsent = matches!(
            failure,
            Failure::NotSent(_) | Failure::Withheld(_) | Failure::Unreachable(_)
        );
        if is_unsent {
            self.sends = self.sends.saturating_sub(1);
        }
        self.unreachable += u32::from(matches!(failure, Failure::Unreachable(_)));
        self.may_have_run |= !failure.is_not_run();
    }

    /// Records the failure of a prefill; one of which no byte left this host does not count.
    ///
    /// ```
    /// use pistachiohall::gateway::allowance::AttemptBudget;
    /// use pistachiohall::gateway::exchange::Failure;
    /// let mut budget = AttemptBudget::new(2);
    /// budget.record_prefill();
    /// budget.record_prefill_failure(&Failure::Unreachable("refused".into()));
    /// assert_eq!(budget.retries(true), 0);
    /// ```
    pub fn record_prefill_failure(&mut self, failure: &Failure) {
        if matches!(failure, Failure::Unreachable(_) | Failure::Withheld(_)) {
            self.prefills = self.prefills.saturating_sub(1);
        }
        self.unreachable += u32::from(matches!(failure, Failure::Unreachable(_)));
    }

    /// Returns `true` if the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns `true` if one more send is allowed.
    ///
    /// A request that may have run is sent again only if it is idempotent, and to no more
    /// upstreams than the route allows; one that has not run may be sent once more than that.
    ///
    /// ```
    /// use pistachiohall::gateway::allowance::AttemptBudget;
    /// use pistachiohall::gateway::exchange::Failure;
    /// let mut budget = AttemptBudget::new(1);
    /// budget.record_send();
    /// budget.record_failure(&Failure::NotRun(http::StatusCode::SERVICE_UNAVAILABLE));
    /// assert!(budget.allows_more(false));
    /// budget.record_send();
    /// budget.record_failure(&Failure::Silent);
    /// assert!(!budget.allows_more(false));
    /// ```
    pub fn allows_more(&self, is_idempotent: bool) -> bool {
        if self.unreachable > MAX_UNREACHABLE {
            return false;
        }
        match self.may_have_run {
            true => is_idempotent && self.sends < self.attempts,
            false => self.sends < self.attempts + EXTRA_SENDS && self.prefills < MAX_PREFILLS,
        }
    }

    /// Returns the number of retries that a send costs now, with or without a separate prefill.
    ///
    /// The first send is free, and so is the first prefill.
    pub fn retries(&self, has_prefill: bool) -> u32 {
        u32::from(self.sends > 0) + u32::from(has_prefill && self.prefills > 0)
    }
}
