//! Retry budget of one host within a sliding window.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Number of buckets that a window is divided into.
const BUCKETS: u32 = 20;
/// Share of the budget that is used; the rest covers retries that are counted elsewhere, such as
/// refused requests whose responses were lost.
const USABLE_SHARE: f64 = 0.8;

/// Bounds on retries, for all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition, independent of the number of requests.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    start: Instant,
    requests: u64,
    retries: u64,
}

/// Requests and retries of one service within the window.
#[derive(Debug)]
pub struct Window {
    bounds: Bounds,
    /// Start of the process; the retries of an earlier one are not known.
    started_at: Instant,
    buckets: VecDeque<Bucket>,
}

impl Window {
    /// Returns an empty window of a process that started at `started_at`.
    ///
    /// The host's share of the slack is available once a whole window has passed since then: an
    /// earlier process may have used it.
    pub fn new(bounds: Bounds, started_at: Instant) -> Self {
        Window {
            bounds,
            started_at,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a request, which adds a share of a retry to the budget.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    /// use pistachiohall::retry::window::Bounds;
    /// use pistachiohall::retry::window::Window;
    /// let bounds = Bounds { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) };
    /// let started_at = Instant::now();
    /// let mut window = Window::new(bounds, started_at);
    /// let now = started_at + bounds.window;
    /// let spent = (0..99).filter(|_| window.try_spend(1, 2, now)).count();
    /// assert_eq!(spent, 4);
    /// (0..100).for_each(|_| window.record_request(now));
    /// assert!(window.try_spend(1, 2, now));
    /// assert!(window.try_spend(1, 2, now + Duration::from_secs(30)));
    /// ```
    pub fn record_request(&mut self, now: Instant) {
        self.current_bucket(now).requests += 1;
    }

    /// Changes the bounds; the counts stay.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Counts `count` retries if the budget of this host, one of `hosts`, allows them; returns
    /// `false` if it does not.
    pub fn try_spend(&mut self, count: u32, hosts: usize, now: Instant) -> bool {
        let is_allowed = self.retries_left(hosts, now) >= f64::from(count);
        if is_allowed {
            self.current_bucket(now).retries += u64::from(count);
        }
        is_allowed
    }

    /// Counts a retry that happened without `try_spend`, whether the budget allows it or not.
    pub fn record_retry(&mut self, now: Instant) {
        self.current_bucket(now).retries += 1;
    }

    /// Returns the number of retries left to this host, one of `hosts`; negative if it has exceeded
    /// its budget.
    pub fn retries_left(&mut self, hosts: usize, now: Instant) -> f64 {
        self.current_bucket(now);
        let (requests, retries) = self
            .buckets
            .iter()
            .fold((0, 0), |(requests, retries), bucket| {
                (requests + bucket.requests, retries + bucket.retries)
            });
        let has_slack = now.saturating_duration_since(self.started_at) >= self.bounds.window;
        let slack = if has_slack { self.bounds.slack } else { 0.0 };
        let share = slack / hosts.max(1) as f64;
        let allowed = (self.bounds.ratio * requests as f64 + share) * USABLE_SHARE;
        allowed - retries as f64
    }

    fn current_bucket(&mut self, now: Instant) -> &mut Bucket {
        let length = self.bounds.window / BUCKETS;
        let window = self.bounds.window + length;
        while let Some(first) = self.buckets.front() {
            if now.saturating_duration_since(first.start) < window {
                break;
            }
            self.buckets.pop_front();
        }
        let is_over = self
            .buckets
            .back()
            .is_none_or(|last| now.saturating_duration_since(last.start) >= length);
        if is_over {
            self.buckets.push_back(Bucket {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        self.buckets.back_mut().expect("a bucket was added above")
    }
}
