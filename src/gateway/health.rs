//! How far an upstream can be trusted, judged by what its requests showed.

use std::time::Duration;
use std::time::Instant;

/// Weight of the newest outcome in the share of failures; about the last ten count.
const SMOOTHING: f64 = 0.1;
/// First time for which an upstream is avoided after it could not be reached.
const FIRST_PAUSE: Duration = Duration::from_millis(250);
/// Longest time for which it is avoided; upstreams that crashed are back within seconds.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Refusals in a row from which an upstream is avoided; one alone may be a moment's crowding.
const REFUSALS: u32 = 2;
/// First time for which an upstream that refuses is avoided; about the time of a few requests.
const FIRST_REFUSAL_PAUSE: Duration = Duration::from_millis(60);
/// Longest time for which an upstream that refuses is avoided; engines that change their role
/// refuse for seconds.
const MOST_REFUSAL_PAUSE: Duration = Duration::from_millis(700);

/// Outcomes of late.
#[derive(Debug, Clone, Copy, Default)]
pub struct Health {
    failed_share: f64,
    streak: u32,
    refusals: u32,
    avoid_until: Option<Instant>,
    unreachable_until: Option<Instant>,
}

impl Health {
    /// Notes an answer of the upstream's own.
    pub fn record_success(&mut self) {
        self.failed_share *= 1.0 - SMOOTHING;
        self.streak = 0;
        self.refusals = 0;
        self.avoid_until = None;
        self.unreachable_until = None;
    }

    /// Notes that a request broke or was not answered.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::gateway::health::Health;
    /// let mut health = Health::default();
    /// let now = Instant::now();
    /// health.record_failure(now);
    /// assert!(!health.is_healthy(now));
    /// assert!(health.is_healthy(now + Duration::from_secs(1)));
    /// assert!(health.failed_share() > 0.0);
    /// ```
    pub fn record_failure(&mut self, now: Instant) {
        self.failed_share = self.failed_share * (1.0 - SMOOTHING) + SMOOTHING;
        self.streak = (self.streak + 1).min(8);
        let pause = FIRST_PAUSE * 2_u32.pow(self.streak - 1);
        self.avoid_until = Some(now + pause.min(MAX_PAUSE));
    }

    /// Notes that no connection to the upstream came about.
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
    /// ```
    pub fn record_unreachable(&mut self, now: Instant) {
        self.record_failure(now);
        self.unreachable_until = self.avoid_until;
    }

    /// Returns whether no connection came about of late.
    pub fn is_unreachable(&self, now: Instant) -> bool {
        self.unreachable_until.is_some_and(|until| now < until)
    }

    /// Notes that the upstream refused a request that it has not run.
    pub fn record_refusal(&mut self, now: Instant) {
        self.refusals = (self.refusals + 1).min(8);
        if self.refusals >= REFUSALS {
            let pause = FIRST_REFUSAL_PAUSE * 2_u32.pow(self.refusals - REFUSALS);
            let until = now + pause.min(MOST_REFUSAL_PAUSE);
            self.avoid_until = self.avoid_until.max(Some(until));
        }
    }

    /// Returns whether the upstream may be used before those that failed just now.
    pub fn is_healthy(&self, now: Instant) -> bool {
        self.avoid_until.is_none_or(|until| until <= now)
    }

    /// Returns the share of failures of late, from 0 to 1.
    pub fn failed_share(&self) -> f64 {
        self.failed_share
    }
}
