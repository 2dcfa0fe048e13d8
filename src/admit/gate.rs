//! The gate that request threads pass, one lane for each service.

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

/// Limit of a service before anything was learned.
const START_LIMIT: f64 = 32.0;
/// Most requests of a service that may run at once on a host.
const MOST_LIMIT: f64 = 1024.0;
/// Pause between two looks for hopeless requests.
const SWEEP_PAUSE: Duration = Duration::from_millis(20);
/// Wait beyond the deadline before a request gives up on the sweep.
const SWEEP_GRACE: Duration = Duration::from_millis(200);

type Word = Result<(), Refusal>;
type Lanes = HashMap<ServiceId, ServiceQueue<Sender<Word>>>;

/// The gate of one host.
#[derive(Debug)]
pub struct Gate<C> {
    lanes: Mutex<Lanes>,
    most_queued: usize,
    clock: C,
}

/// The right to run; gives its place back when dropped.
#[derive(Debug)]
pub struct Permit<C>
where
    C: Clock,
{
    gate: Arc<Gate<C>>,
    service: ServiceId,
    since: Instant,
    seen: Option<Observation>,
}

impl<C> Permit<C>
where
    C: Clock,
{
    /// Says what latencies the request saw.
    pub fn observe(&mut self, seen: Observation) {
        self.seen = Some(seen);
    }
}

impl<C> Drop for Permit<C>
where
    C: Clock,
{
    fn drop(&mut self) {
        let now = self.gate.clock.now();
        let held = now.saturating_duration_since(self.since);
        let mut lanes = self.gate.lanes.lock().expect("gate lock");
        if let Some(lane) = lanes.get_mut(&self.service) {
            lane.leave(held, self.seen, now);
            start(lane, now);
        }
    }
}

fn start(lane: &mut ServiceQueue<Sender<Word>>, now: Instant) {
    for waiter in lane.start(now) {
        if waiter.send(Ok(())).is_err() {
            lane.leave(Duration::ZERO, None, now);
        }
    }
}

impl<C> Gate<C>
where
    C: Clock,
{
    /// Returns a gate that lets at most `most_queued` requests wait for each service.
    ///
    /// ```
    /// use pistachiohall::{admit::Gate, clock::Real};
    /// assert_eq!(Gate::new(Real, 10).load("lm"), (0, 0));
    /// ```
    pub fn new(clock: C, most_queued: usize) -> Arc<Self> {
        Arc::new(Gate {
            lanes: Mutex::default(),
            most_queued,
            clock,
        })
    }

    /// Waits for the right to run, or returns the refusal as soon as it is certain.
    pub fn enter(self: &Arc<Self>, service: &str, demand: Demand) -> Result<Permit<C>, Refusal> {
        let (word, answer) = channel::bounded(1);
        let start_by = demand.start_by;
        let entry = {
            let mut lanes = self.lanes.lock().expect("gate lock");
            let lane = self.lane(&mut lanes, service);
            lane.enter(demand, word, self.clock.now())
        };
        match entry {
            lane::Admission::Runs => {}
            lane::Admission::Refused(refusal) => return Err(refusal),
            lane::Admission::Waits => {
                let wait = start_by.saturating_duration_since(self.clock.now()) + SWEEP_GRACE;
                match answer.recv_timeout(wait) {
                    Ok(word) => word?,
                    Err(_) => return Err(Refusal::TooLate(SWEEP_GRACE)),
                }
            }
        }
        Ok(Permit {
            gate: Arc::clone(self),
            service: service.into(),
            since: self.clock.now(),
            seen: None,
        })
    }

    fn lane<'a>(&self, lanes: &'a mut Lanes, service: &str) -> &'a mut ServiceQueue<Sender<Word>> {
        if !lanes.contains_key(service) {
            let lane = ServiceQueue::new(Limit::new(START_LIMIT, MOST_LIMIT), self.most_queued);
            lanes.insert(service.into(), lane);
        }
        lanes.get_mut(service).expect("the lane was just put in")
    }

    /// Sets the limit from which a service's learning starts.
    pub fn set_start_limit(&self, service: &str, limit: f64) {
        let mut lanes = self.lanes.lock().expect("gate lock");
        let lane = ServiceQueue::new(Limit::new(limit, limit.max(MOST_LIMIT)), self.most_queued);
        lanes.insert(service.into(), lane);
    }

    /// Returns how many requests of a service run and wait.
    pub fn load(&self, service: &str) -> (usize, usize) {
        let lanes = self.lanes.lock().expect("gate lock");
        lanes
            .get(service)
            .map_or((0, 0), |lane| (lane.running(), lane.queued()))
    }

    /// Refuses what can no longer start in time, until asked to stop.
    pub fn sweep(&self, stop: &StopFlag) {
        while !stop.asked() {
            self.sweep_once();
            self.clock.sleep(SWEEP_PAUSE);
        }
    }

    fn sweep_once(&self) {
        let mut lanes = self.lanes.lock().expect("gate lock");
        let now = self.clock.now();
        for lane in lanes.values_mut() {
            for (waiter, refusal) in lane.give_up(now) {
                if waiter.send(Err(refusal)).is_err() {
                    log::debug!("a caller left before it was refused");
                }
            }
            start(lane, now);
        }
    }
}
