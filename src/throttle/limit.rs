//! A rate limit.

use std::fmt;

/// Requests that an upstream takes from all hosts together, in thousandths per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Limit(pub u32);

impl Limit {
    /// Returns a limit of `requests` per second; `None` if that is negative or no number. Greater
    /// ones than a limit can hold are reduced to the maximum.
    ///
    /// ```
    /// use pistachiohall::throttle::Limit;
    /// assert_eq!(Limit::per_second(16.2), Some(Limit(16_200)));
    /// assert_eq!(Limit::per_second(-1.0), None);
    /// assert_eq!(Limit::per_second(f64::NAN), None);
    /// ```
    pub fn per_second(requests: f64) -> Option<Self> {
        let is_valid = requests >= 0.0;
        is_valid.then_some(Limit((requests * 1000.0) as u32))
    }

    /// Returns the requests per second.
    pub fn requests_per_s(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.requests_per_s())
    }
}
