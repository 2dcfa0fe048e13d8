//! Repeats that one host may send within a sliding window.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Steps that a window is counted in.
const STEPS: u32 = 20;
/// Share of the allowance that is spent; the rest covers repeats that are counted elsewhere, such
/// as refused sends whose answers were lost.
const SPENT_SHARE: f64 = 0.8;

/// Bounds on repeats, for all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Step {
    start: Instant,
    requests: u64,
    retries: u64,
}

/// Requests and repeats of one service within the window.
#[derive(Debug)]
pub struct Window {
    bounds: Bounds,
    /// Start of the process; what an earlier one spent is not known.
    begun: Instant,
    steps: VecDeque<Step>,
}

impl Window {
    /// Returns an empty window of a process that began at `begun`.
    ///
    /// The host's share of the slack is there once a whole window has passed since then: a process
    /// before this one may have spent it.
    pub fn new(bounds: Bounds, begun: Instant) -> Self {
        Window {
            bounds,
            begun,
            steps: VecDeque::new(),
        }
    }

    /// Counts a request, which earns a share of a repeat.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::retry::window::{Bounds, Window};
    /// let bounds = Bounds { ratio: 0.2, slack: 10.0, window: Duration::from_secs(10) };
    /// let begun = Instant::now();
    /// let mut window = Window::new(bounds, begun);
    /// let now = begun + bounds.window;
    /// let spent = (0..99).filter(|_| window.try_spend(1, 2, now)).count();
    /// assert_eq!(spent, 4);
    /// (0..100).for_each(|_| window.record_request(now));
    /// assert!(window.try_spend(1, 2, now));
    /// assert!(window.try_spend(1, 2, now + Duration::from_secs(30)));
    /// ```
    pub fn record_request(&mut self, now: Instant) {
        self.step(now).requests += 1;
    }

    /// Changes the bounds; what was counted stays.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Counts `count` repeats if they are left to this host, being one of `hosts`.
    pub fn try_spend(&mut self, count: u32, hosts: usize, now: Instant) -> bool {
        let is_left = self.retries_left(hosts, now) >= f64::from(count);
        if is_left {
            self.step(now).retries += u64::from(count);
        }
        is_left
    }

    /// Counts a repeat that was not foreseen, whether it is left or not.
    pub fn record_retry(&mut self, now: Instant) {
        self.step(now).retries += 1;
    }

    /// Returns the repeats that are left to this host, being one of `hosts`.
    pub fn retries_left(&mut self, hosts: usize, now: Instant) -> f64 {
        self.step(now);
        let (requests, retries) = self.steps.iter().fold((0, 0), |(requests, retries), step| {
            (requests + step.requests, retries + step.retries)
        });
        let has_slack = now.saturating_duration_since(self.begun) >= self.bounds.window;
        let slack = if has_slack { self.bounds.slack } else { 0.0 };
        let share = slack / hosts.max(1) as f64;
        let allowed = (self.bounds.ratio * requests as f64 + share) * SPENT_SHARE;
        allowed - retries as f64
    }

    fn step(&mut self, now: Instant) -> &mut Step {
        let length = self.bounds.window / STEPS;
        let window = self.bounds.window + length;
        while let Some(first) = self.steps.front() {
            if now.saturating_duration_since(first.start) < window {
                break;
            }
            self.steps.pop_front();
        }
        let is_over = self
            .steps
            .back()
            .is_none_or(|last| now.saturating_duration_since(last.start) >= length);
        if is_over {
            self.steps.push_back(Step {
                start: now,
                requests: 0,
                retries: 0,
            });
        }
        self.steps.back_mut().expect("a step was added above")
    }
}
