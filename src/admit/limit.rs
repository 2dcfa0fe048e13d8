//! Limit of the requests that run at once, adapted to their latencies.

use std::time::Duration;
use std::time::Instant;

/// Share of the target latency at which the limit is held, so that most requests meet the target.
const TARGET_SHARE: f64 = 0.97;
/// Growth of the limit per finished request, multiplied by the margin of its latency below
/// [`TARGET_SHARE`].
const GROWTH: f64 = 0.5;
/// Share by which the limit shrinks per finished request, multiplied by the excess of its latency
/// over [`TARGET_SHARE`] and divided by the number of running requests.
const SHRINK: f64 = 1.0;
/// Maximum latency that counts, as a multiple of its target.
const MAX_RATIO: f64 = 2.0;
/// Share of the limit by which the most urgent requests may exceed it.
const URGENT_OVERSHOOT: f64 = 0.25;
/// Minimum limit.
const MIN_LIMIT: f64 = 1.0;
/// Time after an urgent request for which less urgent ones do not raise the limit.
const URGENT_WINDOW: Duration = Duration::from_secs(5);

/// Latencies of one request relative to the targets of its class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Observation {
    /// Rank of the class; 0 is the most urgent.
    pub rank: u8,
    /// Time to the first token, divided by its target.
    pub first_token: f64,
    /// Time between tokens, divided by its target.
    pub between_tokens: f64,
}

impl Observation {
    fn ratio(&self) -> f64 {
        self.first_token.max(self.between_tokens).min(MAX_RATIO)
    }
}

/// A limit that grows while latencies are below the held share of their targets, and shrinks above.
///
/// It grows additively and shrinks multiplicatively, so that hosts that share engines, and see the
/// same latencies, converge to fair shares. While urgent requests run, only their latencies raise
/// it.
#[derive(Debug, Clone)]
pub struct Limit {
    value: f64,
    max: f64,
    top_rank: u8,
    urgent_seen: Option<Instant>,
}

impl Limit {
    /// Returns a limit that starts at `start` and never exceeds `max`.
    ///
    /// ```
    /// use pistachiohall::admit::limit::Limit;
    /// assert_eq!(Limit::new(8.0, 64.0).value(), 8);
    /// ```
    pub fn new(start: f64, max: f64) -> Self {
        Limit {
            value: start,
            max,
            top_rank: 0,
            urgent_seen: None,
        }
    }

    /// Returns the maximum number of running requests.
    pub fn value(&self) -> usize {
        self.value as usize
    }

    /// Returns the number of running requests below which one of `rank` may start.
    ///
    /// The most urgent requests may exceed the limit, so that they don't wait for others; their
    /// latencies then lower the limit for the less urgent.
    pub fn for_rank(&self, rank: u8) -> usize {
        match rank <= self.top_rank {
            true => (self.value * (1.0 + URGENT_OVERSHOOT)) as usize + 1,
            false => self.value(),
        }
    }

    /// Adapts the limit to a finished request, which was one of `running` requests.
    pub fn observe(&mut self, observation: Observation, running: usize, now: Instant) {
        let is_urgent = observation.rank <= self.top_rank;
        if is_urgent {
            self.urgent_seen = Some(now);
        }
        let excess = observation.ratio() - TARGET_SHARE;
        let recent = |at: Instant| now.saturating_duration_since(at) < URGENT_WINDOW;
        let may_grow = is_urgent || !self.urgent_seen.is_some_and(recent);
        if excess > 0.0 {
            let share = SHRINK * excess / running.max(1) as f64;
            self.value = (self.value * (1.0 - share.min(0.5))).max(MIN_LIMIT);
        } else if may_grow && running + 1 >= self.value() {
            self.value = (self.value - GROWTH * excess).min(self.max);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn observation(rank: u8, ratio: f64) -> Observation {
        Observation {
            rank,
            first_token: ratio,
            between_tokens: ratio,
        }
    }

    #[test]
    fn missed_targets_shrink_the_limit_and_met_ones_grow_it() {
        let mut limit = Limit::new(20.0, 64.0);
        for _ in 0..20 {
            limit.observe(observation(0, 1.5), 20, Instant::now());
        }
        assert!(limit.value() <= 20 * 2 / 3);
        for _ in 0..400 {
            limit.observe(observation(0, 0.5), limit.value(), Instant::now());
        }
        assert_eq!(limit.value(), 64);
    }

    #[test]
    fn less_urgent_classes_do_not_raise_the_limit_soon_after_urgent_ones() {
        let mut limit = Limit::new(20.0, 64.0);
        let now = Instant::now();
        limit.observe(observation(0, TARGET_SHARE), 20, now);
        limit.observe(observation(1, 0.1), 20, now);
        assert_eq!(limit.value(), 20);
        limit.observe(observation(1, 0.1), 20, now + URGENT_WINDOW);
        assert_eq!(
            limit.value(),
            20 + usize::from(GROWTH * (TARGET_SHARE - 0.1) >= 1.0)
        );
    }

    #[test]
    fn an_idle_limit_does_not_grow() {
        let mut limit = Limit::new(20.0, 64.0);
        for _ in 0..100 {
            limit.observe(observation(0, 0.1), 2, Instant::now());
        }
        assert_eq!(limit.value(), 20);
    }
}
