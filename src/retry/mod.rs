//! Retry budgets of a host.

pub mod window;

use std::sync::Mutex;

/// Number of retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Maximum number of retries in the budget.
const MAX_RETRIES: f64 = 20.0;

/// Token bucket that limits retries to a share of the requests.
#[derive(Debug)]
pub struct Budget {
    tokens: Mutex<f64>,
}

impl Default for Budget {
    fn default() -> Self {
        Budget {
            tokens: Mutex::new(MAX_RETRIES),
        }
    }
}

impl Budget {
    /// Counts a first attempt, which adds a share of a retry to the budget.
    ///
    /// ```
    /// use pistachiohall::retry::Budget;
    /// let budget = Budget::default();
    /// let spent = (0..1000).filter(|_| budget.try_spend()).count();
    /// assert_eq!(spent, 20);
    /// (0..20).for_each(|_| budget.record_request());
    /// assert!(budget.try_spend());
    /// ```
    pub fn record_request(&self) {
        let mut tokens = self.tokens.lock().expect("budget lock");
        *tokens = (*tokens + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Takes one retry out of the budget; returns `false` if none is left.
    pub fn try_spend(&self) -> bool {
        let mut tokens = self.tokens.lock().expect("budget lock");
        let has_one = *tokens >= 1.0;
        if has_one {
            *tokens -= 1.0;
        }
        has_one
    }
}
