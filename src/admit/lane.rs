//! The queues and the concurrency limit of one service on one host.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::Demand;
use super::Refusal;
use super::fair::FairQueue;
use super::limit::Limit;
use super::limit::Observation;

/// Weight of the newest sample in the mean time between starts of a rank.
const START_INTERVAL_GAIN: f64 = 0.1;
/// Weight of the newest sample in the mean run time of a request.
const RUN_TIME_GAIN: f64 = 0.1;
/// Mean run time of a request before any has ended.
const INITIAL_RUN_TIME: Duration = Duration::from_millis(500);
/// Minimum time after which a refused caller may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Mean time between the starts of one rank's waiting requests.
#[derive(Debug, Clone, Copy)]
struct StartInterval {
    mean: Duration,
    last: Instant,
}

#[derive(Debug)]
struct Waiter<T> {
    demand: Demand,
    item: T,
}

/// Decision on a request that has just arrived.
#[derive(Debug, PartialEq)]
pub enum Admission {
    /// The request runs now.
    Runs,
    /// The request waits.
    Waits,
    /// The request is refused.
    Refused(Refusal),
}

/// The queues, one for each rank, and the concurrency limit of one service on one host.
#[derive(Debug)]
pub struct ServiceQueue<T> {
    limit: Limit,
    running: usize,
    mean_run_time: Duration,
    queues: BTreeMap<u8, FairQueue<Waiter<T>>>,
    start_intervals: BTreeMap<u8, StartInterval>,
    max_queued: usize,
}

impl<T> ServiceQueue<T> {
    /// Returns an empty queue with a limit.
    ///
    /// ```
    /// use pistachiohall::admit::{limit::Limit, ServiceQueue};
    /// assert_eq!(ServiceQueue::<()>::new(Limit::new(4.0, 8.0), 100).running(), 0);
    /// ```
    pub fn new(limit: Limit, max_queued: usize) -> Self {
        ServiceQueue {
            limit,
            running: 0,
            mean_run_time: INITIAL_RUN_TIME,
            queues: BTreeMap::new(),
            start_intervals: BTreeMap::new(),
            max_queued,
        }
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns the number of waiting requests.
    pub fn queued(&self) -> usize {
        self.queues.values().map(FairQueue::len).sum()
    }

    /// Returns the current concurrency limit.
    pub fn limit(&self) -> usize {
        self.limit.value()
    }

    /// Decides on a request that has just arrived; `item` is kept while the request waits.
    pub fn enter(&mut self, demand: Demand, item: T, now: Instant) -> Admission {
        let ahead = self.queued_up_to(demand.rank);
        if ahead == 0 && self.running < self.limit.for_rank(demand.rank) {
            self.running += 1;
            return Admission::Runs;
        }
        let wait = self.wait(demand.rank, ahead + 1);
        if self.queued() >= self.max_queued {
            return Admission::Refused(Refusal::Full(wait.max(MIN_RETRY_AFTER)));
        }
        if now + wait > demand.start_by {
            return Admission::Refused(Refusal::TooLate(wait.max(MIN_RETRY_AFTER)));
        }
        let queue = self.queues.entry(demand.rank).or_default();
        let account = demand.account.clone();
        let (share, cost) = (demand.share, demand.cost);
        queue.push(&account, share, cost, Waiter { demand, item });
        Admission::Waits
    }

    /// Ends a running request that ran for `run_time`.
    pub fn leave(&mut self, run_time: Duration, observation: Option<Observation>, now: Instant) {
        let running = self.running;
        self.running = self.running.saturating_sub(1);
        let gain = RUN_TIME_GAIN;
        self.mean_run_time = self.mean_run_time.mul_f64(1.0 - gain) + run_time.mul_f64(gain);
        if let Some(observation) = observation {
            self.limit.observe(observation, running, now);
        }
    }

    /// Starts the waiting requests that may run now, and returns their items.
    pub fn start(&mut self, now: Instant) -> Vec<T> {
        let mut started = Vec::new();
        let time_per_slot = self.time_per_slot();
        for (rank, queue) in &mut self.queues {
            while self.running < self.limit.for_rank(*rank) {
                let Some(waiter) = queue.pop() else { break };
                self.running += 1;
                started.push(waiter.item);
                let interval = self.start_intervals.entry(*rank).or_insert(StartInterval {
                    mean: time_per_slot,
                    last: now,
                });
                let since = now.saturating_duration_since(interval.last);
                interval.mean = interval.mean.mul_f64(1.0 - START_INTERVAL_GAIN)
                    + since.mul_f64(START_INTERVAL_GAIN);
                interval.last = now;
            }
            match queue.is_empty() {
                true => drop(self.start_intervals.remove(rank)),
                false => break,
            }
        }
        started
    }

    /// Removes the waiting requests that can no longer start in time, each with its refusal.
    pub fn give_up(&mut self, now: Instant) -> Vec<(T, Refusal)> {
        let mut refused = Vec::new();
        let ranks: Vec<u8> = self.queues.keys().copied().collect();
        for rank in ranks {
            let per_start = self.wait(rank, 1);
            let Some(queue) = self.queues.get_mut(&rank) else {
                continue;
            };
            let is_late = |position: usize, waiter: &Waiter<T>| {
                now + per_start.mul_f64(position as f64) > waiter.demand.start_by
            };
            let wait = per_start.mul_f64(queue.len() as f64);
            let refusal = Refusal::TooLate(wait.max(MIN_RETRY_AFTER));
            let removed = queue.remove_if(is_late);
            refused.extend(removed.into_iter().map(|waiter| (waiter.item, refusal)));
        }
        refused
    }

    fn queued_up_to(&self, rank: u8) -> usize {
        self.queues
            .range(..=rank)
            .map(|(_, queue)| queue.len())
            .sum()
    }

    /// Returns the expected time until `starts` waiting requests of a rank have started.
    fn wait(&self, rank: u8, starts: usize) -> Duration {
        let interval = self.start_intervals.get(&rank);
        let per_start = interval.map_or_else(|| self.time_per_slot(), |interval| interval.mean);
        per_start.mul_f64(starts as f64)
    }

    /// Returns the mean time until a slot becomes free.
    fn time_per_slot(&self) -> Duration {
        self.mean_run_time.div_f64(self.limit.value().max(1) as f64)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn demand(rank: u8, start_by: Instant) -> Demand {
        Demand {
            account: "a".into(),
            share: 1.0,
            rank,
            cost: 1.0,
            start_by,
        }
    }

    #[test]
    fn urgent_requests_start_first_and_late_ones_are_refused_at_once() {
        let now = Instant::now();
        let later = now + Duration::from_secs(60);
        let mut queue = ServiceQueue::new(Limit::new(1.0, 1.0), 10);
        assert_eq!(queue.enter(demand(1, later), "first", now), Admission::Runs);
        assert_eq!(
            queue.enter(demand(1, later), "lesser", now),
            Admission::Waits
        );
        assert_eq!(queue.enter(demand(0, later), "over", now), Admission::Runs);
        assert_eq!(
            queue.enter(demand(0, later), "urgent", now),
            Admission::Waits
        );
        let soon = now + Duration::from_millis(100);
        let refused = queue.enter(demand(1, soon), "late", now);
        assert!(matches!(refused, Admission::Refused(Refusal::TooLate(_))));
        queue.leave(Duration::from_millis(500), None, now);
        assert_eq!(queue.start(now), ["urgent"]);
        let late = queue.give_up(later + Duration::from_secs(1));
        assert_eq!(late.len(), 1);
        assert_eq!(late[0].0, "lesser");
    }
}
