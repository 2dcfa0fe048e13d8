//! The gate at which request threads wait for admission, with one queue for each service.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crossbeam::channel;
use crossbeam::channel::Sender;

use super::Demand;
use super::Refusal;
use super::lane;
use super::lane::ServiceQueue;
use super::limit::Limit;
use super::limit::Observation;
use crate::clock::Clock;
use crate::duty::StopFlag;
use crate::id::ServiceId;

/// Initial limit of a service.
const START_LIMIT: f64 = 32.0;
/// Maximum number of requests of a service that may run at once on a host.
const MAX_LIMIT: f64 = 1024.0;
/// Interval between two searches for requests that can no longer start in time.
const SWEEP_INTERVAL: Duration = Duration::from_millis(20);
/// Time after its start deadline for which a request waits for the sweep to refuse it.
const SWEEP_GRACE: Duration = Duration::from_millis(200);

type Decision = Result<(), Refusal>;
type Queues = HashMap<ServiceId, ServiceQueue<Sender<Decision>>>;

/// The gate of one host.
#[derive(Debug)]
pub struct Gate<C> {
    queues: Mutex<Queues>,
    max_queued: usize,
    clock: C,
}

/// Permission of a request to run; frees its slot when dropped.
#[derive(Debug)]
pub struct Permit<C>
where
    C: Clock,
{
    gate: Arc<Gate<C>>,
    service: ServiceId,
    started_at: Instant,
    observation: Option<Observation>,
}

impl<C> Permit<C>
where
    C: Clock,
{
    /// Records the latencies of the request.
    pub fn observe(&mut self, observation: Observation) {
        self.observation = Some(observation);
    }
}

impl<C> Drop for Permit<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        let run_time = now.saturating_duration_since(self.started_at);
        let mut queues = self.gate.queues.lock().expect("gate lock");
        if let Some(queue) = queues.get_mut(&self.service) {
            queue.leave(run_time, self.observation, now);
            start(queue, now);
        }
    }
}

fn start(queue: &mut ServiceQueue<Sender<Decision>>, now: Instant) {
    for waiter in queue.start(now) {
        if waiter.send(Ok(())).is_err() {
            queue.leave(Duration::ZERO, None, now);
        }
    }
}

impl<C> Gate<C>
where
    C: Clock,
{
    /// Returns a gate that lets at most `max_queued` requests wait for each service.
    ///
    /// ```
    /// use pistachiohall::{admit::Gate, clock::Real};
    /// assert_eq!(Gate::new(Real, 10).load("lm"), (0, 0));
    /// ```
    pub fn new(clock: C, max_queued: usize) -> Arc<Self> {
        Arc::new(Gate {
            queues: Mutex::default(),
            max_queued,
            clock,
        })
    }

    /// Waits until a request may run.
    ///
    /// # Errors
    ///
    /// Returns the refusal as soon as the request can no longer start in time.
    pub fn enter(self: &Arc<Self>, service: &str, demand: Demand) -> Result<Permit<C>, Refusal> {
        let (sender, receiver) = channel::bounded(1);
        let start_by = demand.start_by;
        let admission = {
            let mut queues = self.queues.lock().expect("gate lock");
            let queue = self.queue(&mut queues, service);
            queue.enter(demand, sender, self.clock.now())
        };
        match admission {
            lane::Admission::Runs => {}
            lane::Admission::Refused(refusal) => return Err(refusal),
            lane::Admission::Waits => {
                let wait = start_by.saturating_duration_since(self.clock.now()) + SWEEP_GRACE;
                match receiver.recv_timeout(wait) {
                    Ok(decision) => decision?,
                    Err(_) => return Err(Refusal::TooLate(SWEEP_GRACE)),
                }
            }
        }
        Ok(Permit {
            gate: Arc::clone(self),
            service: service.into(),
            started_at: self.clock.now(),
            observation: None,
        })
    }

    fn queue<'a>(
        &self,
        queues: &'a mut Queues,
        service: &str,
    ) -> &'a mut ServiceQueue<Sender<Decision>> {
        if !queues.contains_key(service) {
            let queue = ServiceQueue::new(Limit::new(START_LIMIT, MAX_LIMIT), self.max_queued);
            queues.insert(service.into(), queue);
        }
        queues
            .get_mut(service)
            .expect("the queue was just inserted")
    }

    /// Replaces a service's queue by an empty one with the given initial limit.
    pub fn set_start_limit(&self, service: &str, limit: f64) {
        let mut queues = self.queues.lock().expect("gate lock");
        let queue = ServiceQueue::new(Limit::new(limit, limit.max(MAX_LIMIT)), self.max_queued);
        queues.insert(service.into(), queue);
    }

    /// Returns the numbers of running and of waiting requests of a service.
    pub fn load(&self, service: &str) -> (usize, usize) {
        let queues = self.queues.lock().expect("gate lock");
        queues
            .get(service)
            .map_or((0, 0), |queue| (queue.running(), queue.queued()))
    }

    /// Refuses requests that can no longer start in time, until asked to stop.
    pub fn sweep(&self, stop: &StopFlag) {
        while !stop.asked() {
            self.sweep_once();
            self.clock.sleep(SWEEP_INTERVAL);
        }
    }

    fn sweep_once(&self) {
        let mut queues = self.queues.lock().expect("gate lock");
        let now = self.clock.now();
        for queue in queues.values_mut() {
            for (waiter, refusal) in queue.give_up(now) {
                if waiter.send(Err(refusal)).is_err() {
                    log::debug!("a caller departed before its request was refused");
                }
            }
            start(queue, now);
        }
    }
}
