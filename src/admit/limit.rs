//! How many requests run at once, learned from latencies.

use std::time::Duration;
use std::time::Instant;

/// Share of a target that is aimed at, so that most requests keep it.
const AIM: f64 = 0.97;
/// Requests by which the limit grows for each one seen, if latency were nothing.
const GROWTH: f64 = 0.5;
/// Share by which the limit shrinks, for each one seen of those running, if a target is missed by
/// its whole length.
const SHRINK: f64 = 1.0;
/// Largest latency that counts, as a share of its target.
const MOST_RATIO: f64 = 2.0;
/// Share by which the most urgent requests may exceed the limit.
const OVERSHOOT: f64 = 0.25;
/// Smallest limit.
const LEAST: f64 = 1.0;
/// Time after an urgent request during which lesser ones do not raise the limit.
const URGENT_MEMORY: Duration = Duration::from_secs(5);

/// Latencies of one request against the targets of its class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Observation {
    /// Rank of the class, 0 first.
    pub rank: u8,
    /// Measured first token over its target.
    pub first_token: f64,
    /// Measured time between tokens over its target.
    pub between_tokens: f64,
}

impl Observation {
    fn ratio(&self) -> f64 {
        self.first_token.max(self.between_tokens).min(MOST_RATIO)
    }
}

/// A limit that grows while latencies are below what is aimed at, and shrinks above it.
///
/// It grows by steps and shrinks by shares, so that hosts that share engines, and see the same
/// latencies, come to share them fairly. While urgent requests run, theirs are the latencies that
/// decide.
#[derive(Debug, Clone)]
pub struct Limit {
    value: f64,
    most: f64,
    top_rank: u8,
    urgent_seen: Option<Instant>,
}

impl Limit {
    /// Returns a limit that starts at `start` and never exceeds `most`.
    ///
    /// ```
    /// use pistachiohall::admit::limit::Limit;
    /// assert_eq!(Limit::new(8.0, 64.0).value(), 8);
    /// ```
    pub fn new(start: f64, most: f64) -> Self {
        Limit {
            value: start,
            most,
            top_rank: 0,
            urgent_seen: None,
        }
    }

    /// Returns how many requests may run.
    pub fn value(&self) -> usize {
        self.value as usize
    }

    /// Returns how many requests may run for one of `rank` to start.
    ///
    /// The most urgent may overshoot: they then wait for no other, and the latencies that they
    /// see lower the limit for the lesser.
    pub fn of_rank(&self, rank: u8) -> usize {
        match rank <= self.top_rank {
            true => (self.value * (1.0 + OVERSHOOT)) as usize + 1,
            false => self.value(),
        }
    }

    /// Learns from a finished request, of `running` that were open with it.
    pub fn observe(&mut self, seen: Observation, running: usize, now: Instant) {
        let is_urgent = seen.rank <= self.top_rank;
        if is_urgent {
            self.urgent_seen = Some(now);
        }
        let over = seen.ratio() - AIM;
        let recent = |at: Instant| now.saturating_duration_since(at) < URGENT_MEMORY;
        let decides = is_urgent || !self.urgent_seen.is_some_and(recent);
        if over > 0.0 {
            let share = SHRINK * over / running.max(1) as f64;
            self.value = (self.value * (1.0 - share.min(0.5))).max(LEAST);
        } else if decides && running + 1 >= self.value() {
            self.value = (self.value - GROWTH * over).min(self.most);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn seen(rank: u8, ratio: f64) -> Observation {
        Observation {
            rank,
            first_token: ratio,
            between_tokens: ratio,
        }
    }

    #[test]
    fn a_missed_target_shrinks_the_limit_and_a_kept_one_lets_it_grow() {
        let mut limit = Limit::new(20.0, 64.0);
        for _ in 0..20 {
            limit.observe(seen(0, 1.5), 20, Instant::now());
        }
        assert!(limit.value() <= 20 * 2 / 3);
        for _ in 0..400 {
            limit.observe(seen(0, 0.5), limit.value(), Instant::now());
        }
        assert_eq!(limit.value(), 64);
    }

    #[test]
    fn lesser_classes_do_not_raise_what_urgent_ones_need_low() {
        let mut limit = Limit::new(20.0, 64.0);
        let now = Instant::now();
        limit.observe(seen(0, AIM), 20, now);
        limit.observe(seen(1, 0.1), 20, now);
        assert_eq!(limit.value(), 20);
        limit.observe(seen(1, 0.1), 20, now + URGENT_MEMORY);
        assert_eq!(limit.value(), 20 + usize::from(GROWTH * (AIM - 0.1) >= 1.0));
    }

    #[test]
    fn an_idle_limit_does_not_grow() {
        let mut limit = Limit::new(20.0, 64.0);
        for _ in 0..100 {
            limit.observe(seen(0, 0.1), 2, Instant::now());
        }
        assert_eq!(limit.value(), 20);
    }
}
