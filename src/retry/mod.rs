//! How many retries the host may make.

pub mod window;

use std::sync::Mutex;

/// Retries allowed for each request.
const SHARE: f64 = 0.1;
/// Retries that may be saved up.
const MOST: f64 = 20.0;

/// A budget of retries as a share of the traffic.
#[derive(Debug)]
pub struct Budget {
    tokens: Mutex<f64>,
}

impl Default for Budget {
    fn default() -> Self {
        Budget {
            tokens: Mutex::new(MOST),
        }
    }
}

impl Budget {
    /// Counts a first try, which earns a share of a retry.
    ///
    /// ```
    /// use pistachiohall::retry::Budget;
    /// let budget = Budget::default();
    /// let spent = (0..1000).filter(|_| budget.try_spend()).count();
    /// assert_eq!(spent, 20);
    /// (0..20).for_each(|_| budget.earn());
    /// assert!(budget.try_spend());
    /// ```
    pub fn earn(&self) {
        let mut tokens = self.tokens.lock().expect("budget lock");
        *tokens = (*tokens + SHARE).min(MOST);
    }

    /// Takes one retry out of the budget; returns whether there was one.
    pub fn try_spend(&self) -> bool {
        let mut tokens = self.tokens.lock().expect("budget lock");
        let has_one = *tokens >= 1.0;
        if has_one {
            *tokens -= 1.0;
        }
        has_one
    }
}
