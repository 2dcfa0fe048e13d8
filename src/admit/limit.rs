//! How many requests run at once, learned from latencies.

use std::time::Duration;
use std::time::Instant;

/// Factor on the limit when a target is missed.
const DECREASE: f64 = 0.85;
/// Smallest limit.
const LEAST: f64 = 1.0;
/// Pause between two decreases.
const DECREASE_PAUSE: Duration = Duration::from_millis(500);

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
    fn missed(&self) -> bool {
        self.first_token > 1.0 || self.between_tokens > 1.0
    }
}

/// A limit that grows while targets are met and shrinks when one is missed.
///
/// Each host learns its own; hosts that share engines come to share them fairly, since all
/// see the same latencies.
#[derive(Debug, Clone)]
pub struct Limit {
    all: f64,
    lesser: f64,
    most: f64,
    top_rank: u8,
    last_decrease: Option<Instant>,
}

impl Limit {
    /// Returns a limit that starts at `start` and never exceeds `most`.
    ///
    /// ```
    /// use pistachiohall::admit::limit::Limit;
    /// assert_eq!(Limit::new(8.0, 64.0).of_rank(0), 8);
    /// ```
    pub fn new(start: f64, most: f64) -> Self {
        Limit {
            all: start,
            lesser: start,
            most,
            top_rank: 0,
            last_decrease: None,
        }
    }

    /// Returns how many requests may run in all for one of `rank` to start.
    pub fn of_rank(&self, rank: u8) -> usize {
        match rank <= self.top_rank {
            true => self.all as usize,
            false => self.all.min(self.lesser) as usize,
        }
    }

    /// Sets the most that the limit may grow to.
    pub fn set_most(&mut self, most: f64) {
        self.most = most.max(LEAST);
        self.all = self.all.min(self.most);
    }

    /// Learns from a finished request, of `running` that were open with it.
    pub fn observe(&mut self, seen: Observation, running: usize, now: Instant) {
        if seen.missed() {
            self.decrease(seen.rank, now);
        } else {
            self.increase(seen.rank, running);
        }
    }

    fn decrease(&mut self, rank: u8, now: Instant) {
        let recent = |last: Instant| now.saturating_duration_since(last) < DECREASE_PAUSE;
        if self.last_decrease.is_some_and(recent) {
            return;
        }
        self.last_decrease = Some(now);
        let lesser_run = self.lesser > LEAST;
        self.lesser = (self.lesser.min(self.all) * DECREASE).max(LEAST);
        if rank > self.top_rank || !lesser_run {
            self.all = (self.all * DECREASE).max(LEAST);
        }
    }

    fn increase(&mut self, rank: u8, running: usize) {
        if running + 1 >= self.all as usize {
            self.all = (self.all + 1.0 / self.all).min(self.most);
        }
        if rank > self.top_rank || running + 1 >= self.lesser as usize {
            self.lesser = (self.lesser + 1.0 / self.lesser.max(1.0)).min(self.all);
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
    fn a_missed_urgent_target_first_takes_room_from_lesser_classes() {
        let mut limit = Limit::new(20.0, 64.0);
        limit.observe(seen(0, 1.5), 20, Instant::now());
        assert_eq!(limit.of_rank(0), 20);
        assert_eq!(limit.of_rank(1), 17);
    }

    #[test]
    fn an_idle_limit_does_not_grow() {
        let mut limit = Limit::new(20.0, 64.0);
        for _ in 0..100 {
            limit.observe(seen(0, 0.1), 2, Instant::now());
        }
        assert_eq!(limit.of_rank(0), 20);
    }
}
