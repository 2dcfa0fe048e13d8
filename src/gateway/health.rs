//! Health of an upstream, judged by the outcomes of its requests.

use std::time::Duration;
use std::time::Instant;

/// Weight of the newest outcome in the share of failures; about the last ten outcomes count.
const SMOOTHING: f64 = 0.1;
/// Time for which an upstream is avoided after its first failure; doubled by each further one.
const FIRST_FAILURE_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum time for which it is avoided; upstreams that crashed are back within seconds.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(2);

/// Refusals in a row from which an upstream is avoided; a single one may be momentary contention.
const MIN_REFUSALS: u32 = 2;
/// Time for which an upstream that refuses is first avoided, doubled by each further refusal; about
/// the duration of a few requests.
const FIRST_REFUSAL_BACKOFF: Duration = Duration::from_millis(60);
/// Maximum time for which an upstream that refuses is avoided; engines that change their role
/// refuse for seconds.
const MAX_REFUSAL_BACKOFF: Duration = Duration::from_millis(700);

/// Recent outcomes of an upstream's requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    failure_rate: f64,
    failures: u32,
    refusals: u32,
    avoid_until: Option<Instant>,
    unreachable_until: Option<Instant>,
    is_out_of_reach: bool,
}

impl Health {
    /// Records a response that is the upstream's own.
    pub fn record_success(&mut self) {
        self.failure_rate *= 1.0 - SMOOTHING;
        self.failures = 0;
        self.refusals = 0;
        self.avoid_until = None;
        self.unreachable_until = None;
        self.record_reached();
    }

    /// Records that a request failed or got no response.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::gateway::health::Health;
    /// let mut health = Health::default();
    /// let now = Instant::now();
    /// health.record_failure(now);
    /// assert!(!health.is_healthy(now));
    /// assert!(health.is_healthy(now + Duration::from_secs(1)));
    /// assert!(health.failure_rate() > 0.0);
    /// ```
    pub fn record_failure(&mut self, now: Instant) {
        self.failure_rate = self.failure_rate * (1.0 - SMOOTHING) + SMOOTHING;
        self.failures = (self.failures + 1).min(8);
        let backoff = FIRST_FAILURE_BACKOFF * 2_u32.pow(self.failures - 1);
        self.avoid_until = Some(now + backoff.min(MAX_FAILURE_BACKOFF));
    }

    /// Records that no connection to the upstream could be established.
    ///
    /// ```
    /// use std::time::Instant;
    /// use pistachiohall::gateway::health::Health;
    /// let mut health = Health::default();
    /// let now = Instant::now();
    /// health.record_failure(now);
    /// assert!(!health.is_unreachable(now));
    /// health.record_unreachable(now);
    /// assert!(health.is_unreachable(now));
    /// assert!(health.is_out_of_reach());
    /// health.record_reached();
    /// assert!(!health.is_out_of_reach());
    /// ```
    pub fn record_unreachable(&mut self, now: Instant) {
        self.record_failure(now);
        self.unreachable_until = self.avoid_until;
        self.is_out_of_reach = true;
    }

    /// Returns `true` if no connection could be established recently.
    pub fn is_unreachable(&self, now: Instant) -> bool {
        self.unreachable_until.is_some_and(|until| now < until)
    }

    /// Records that a connection was established.
    pub fn record_reached(&mut self) {
        self.is_out_of_reach = false;
    }

    /// Returns `true` if the last attempt to connect failed, however long ago that was.
    pub fn is_out_of_reach(&self) -> bool {
        self.is_out_of_reach
    }

    /// Records that the upstream refused a request without running it.
    pub fn record_refusal(&mut self, now: Instant) {
        self.record_reached();
        self.refusals = (self.refusals + 1).min(8);
        if self.refusals >= MIN_REFUSALS {
            let backoff = FIRST_REFUSAL_BACKOFF * 2_u32.pow(self.refusals - MIN_REFUSALS);
            let until = now + backoff.min(MAX_REFUSAL_BACKOFF);
            self.avoid_until = self.avoid_until.max(Some(until));
        }
    }

    /// Returns `true` if the upstream is preferred to those that failed recently.
    pub fn is_healthy(&self, now: Instant) -> bool {
        self.avoid_until.is_none_or(|until| until <= now)
    }

    /// Returns the share of recent failures, from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
