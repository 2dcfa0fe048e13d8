//! The queues and the limit of one service on one host.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use super::Demand;
use super::Refusal;
use super::fair::FairQueue;
use super::limit::Limit;
use super::limit::Observation;

/// Weight of the newest sample in the mean time between starts of a rank.
const PACE_GAIN: f64 = 0.1;
/// Weight of the newest sample in the mean time that a request holds its place.
const HOLD_GAIN: f64 = 0.1;
/// Mean time that a request holds its place before any was seen.
const FIRST_HOLD: Duration = Duration::from_millis(500);
/// Least time after which a refused caller is told to come back.
const LEAST_RETRY: Duration = Duration::from_secs(1);

/// Mean time between the starts of one rank's waiting requests.
#[derive(Debug, Clone, Copy)]
struct Pace {
    mean: Duration,
    last: Instant,
}

#[derive(Debug)]
struct Waiter<T> {
    demand: Demand,
    ticket: T,
}

/// What to do with a request that has just come.
#[derive(Debug, PartialEq)]
pub enum Admission {
    /// It runs now.
    Runs,
    /// It waits.
    Waits,
    /// It is refused.
    Refused(Refusal),
}

/// The queues and the limit of one service on one host.
#[derive(Debug)]
pub struct ServiceQueue<T> {
    limit: Limit,
    running: usize,
    hold: Duration,
    queues: BTreeMap<u8, FairQueue<Waiter<T>>>,
    paces: BTreeMap<u8, Pace>,
    most_queued: usize,
}

impl<T> ServiceQueue<T> {
    /// Returns an empty lane.
    ///
    /// ```
    /// use pistachiohall::admit::{limit::Limit, ServiceQueue};
    /// assert_eq!(ServiceQueue::<()>::new(Limit::new(4.0, 8.0), 100).running(), 0);
    /// ```
    pub fn new(limit: Limit, most_queued: usize) -> Self {
        ServiceQueue {
            limit,
            running: 0,
            hold: FIRST_HOLD,
            queues: BTreeMap::new(),
            paces: BTreeMap::new(),
            most_queued,
        }
    }

    /// Returns how many requests run.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns how many requests wait.
    pub fn queued(&self) -> usize {
        self.queues.values().map(FairQueue::len).sum()
    }

    /// Returns the learned limit.
    pub fn limit(&self) -> usize {
        self.limit.value()
    }

    /// Decides on a request that has just come; `ticket` is kept while it waits.
    pub fn enter(&mut self, demand: Demand, ticket: T, now: Instant) -> Admission {
        let ahead = self.queued_up_to(demand.rank);
        if ahead == 0 && self.running < self.limit.of_rank(demand.rank) {
            self.running += 1;
            return Admission::Runs;
        }
        let wait = self.wait(demand.rank, ahead + 1);
        if self.queued() >= self.most_queued {
            return Admission::Refused(Refusal::Full(wait.max(LEAST_RETRY)));
        }
        if now + wait > demand.start_by {
            return Admission::Refused(Refusal::TooLate(wait.max(LEAST_RETRY)));
        }
        let queue = self.queues.entry(demand.rank).or_default();
        let account = demand.account.clone();
        let (share, cost) = (demand.share, demand.cost);
        queue.push(&account, share, cost, Waiter { demand, ticket });
        Admission::Waits
    }

    /// Ends a running request that held its place for `held`.
    pub fn leave(&mut self, held: Duration, seen: Option<Observation>, now: Instant) {
        let running = self.running;
        self.running = self.running.saturating_sub(1);
        let gain = HOLD_GAIN;
        self.hold = self.hold.mul_f64(1.0 - gain) + held.mul_f64(gain);
        if let Some(seen) = seen {
            self.limit.observe(seen, running, now);
        }
    }

    /// Starts what may start now.
    pub fn start(&mut self, now: Instant) -> Vec<T> {
        let mut started = Vec::new();
        let per_place = self.per_place();
        for (rank, queue) in &mut self.queues {
            while self.running < self.limit.of_rank(*rank) {
                let Some(waiter) = queue.pop() else { break };
                self.running += 1;
                started.push(waiter.ticket);
                let pace = self.paces.entry(*rank).or_insert(Pace {
                    mean: per_place,
                    last: now,
                });
                let since = now.saturating_duration_since(pace.last);
                pace.mean = pace.mean.mul_f64(1.0 - PACE_GAIN) + since.mul_f64(PACE_GAIN);
                pace.last = now;
            }
            match queue.is_empty() {
                true => drop(self.paces.remove(rank)),
                false => break,
            }
        }
        started
    }

    /// Gives up on what can no longer start in time.
    pub fn give_up(&mut self, now: Instant) -> Vec<(T, Refusal)> {
        let mut refused = Vec::new();
        let ranks: Vec<u8> = self.queues.keys().copied().collect();
        for rank in ranks {
            let per_start = self.wait(rank, 1);
            let Some(queue) = self.queues.get_mut(&rank) else {
                continue;
            };
            let hopeless = |place: usize, waiter: &Waiter<T>| {
                now + per_start.mul_f64(place as f64) > waiter.demand.start_by
            };
            let wait = per_start.mul_f64(queue.len() as f64);
            let refusal = Refusal::TooLate(wait.max(LEAST_RETRY));
            let gone = queue.remove_if(hopeless);
            refused.extend(gone.into_iter().map(|waiter| (waiter.ticket, refusal)));
        }
        refused
    }

    fn queued_up_to(&self, rank: u8) -> usize {
        self.queues
            .range(..=rank)
            .map(|(_, queue)| queue.len())
            .sum()
    }

    /// Returns the time in which `starts` waiting requests of a rank start, as things go.
    fn wait(&self, rank: u8, starts: usize) -> Duration {
        let pace = self.paces.get(&rank);
        let per_start = pace.map_or_else(|| self.per_place(), |pace| pace.mean);
        per_start.mul_f64(starts as f64)
    }

    /// Returns the mean time after which a place becomes free.
    fn per_place(&self) -> Duration {
        self.hold.div_f64(self.limit.value().max(1) as f64)
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
    fn the_urgent_start_first_and_the_hopeless_are_told_at_once() {
        let now = Instant::now();
        let later = now + Duration::from_secs(60);
        let mut lane = ServiceQueue::new(Limit::new(1.0, 1.0), 10);
        assert_eq!(lane.enter(demand(1, later), "first", now), Admission::Runs);
        assert_eq!(
            lane.enter(demand(1, later), "lesser", now),
            Admission::Waits
        );
        assert_eq!(lane.enter(demand(0, later), "over", now), Admission::Runs);
        assert_eq!(
            lane.enter(demand(0, later), "urgent", now),
            Admission::Waits
        );
        let soon = now + Duration::from_millis(100);
        let refused = lane.enter(demand(1, soon), "late", now);
        assert!(matches!(refused, Admission::Refused(Refusal::TooLate(_))));
        lane.leave(Duration::from_millis(500), None, now);
        assert_eq!(lane.start(now), ["urgent"]);
        let given_up = lane.give_up(later + Duration::from_secs(1));
        assert_eq!(given_up.len(), 1);
        assert_eq!(given_up[0].0, "lesser");
    }
}
