//! A queueing model of one service's engines, with a virtual clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::role::Change;
use crate::role::Policy;
use crate::role::Sample;
use crate::upstream::Role;

use super::trace::LENGTH_S;
use super::trace::Scenario;
use super::trace::Trace;

/// Virtual time of one step, in seconds.
const STEP_S: f64 = 0.05;
/// Mean work of one request, in engine-seconds.
const MEAN_WORK: f64 = 0.5;
/// Streams that an engine generates at once.
const BATCH: f64 = 32.0;
/// Target for the first token, in seconds.
const FIRST_TOKEN_S: f64 = 1.1;
/// Share of the target up to which a predicted first token lets a request in.
const ADMIT_SHARE: f64 = 0.7;
/// Time after which the streams of an engine that is to change are moved to others, in seconds.
const DRAIN_S: f64 = 3.0;
/// Time that a role change takes once the engine is idle, in seconds.
const CHANGE_S: f64 = 5.0;
/// Time between two reports, in seconds.
const REPORT_S: f64 = 1.0;
/// Age of a report when the policy gets it, in seconds.
const REPORT_LAG_S: f64 = 1.0;

/// Result of one run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Outcome {
    /// Work of requests answered within their targets, in engine-seconds.
    pub goodput: f64,
    /// Work of all requests, in engine-seconds.
    pub offered: f64,
    /// Engines that changed their role.
    pub role_changes: usize,
    /// First tokens within the target, among requests let in.
    pub in_time: f64,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    arrived: f64,
    prompt: f64,
    answer: f64,
}

#[derive(Debug, Clone, Copy, Default)]
struct Report {
    made: f64,
    prompt: f64,
    answer: f64,
    requests: f64,
}

/// One service's engines.
#[derive(Debug)]
pub struct Model {
    random: StdRng,
    trace: Trace,
    load: f64,
    engines: usize,
    now: f64,
    prefill: usize,
    decode: usize,
    away: [usize; 2],
    changing: Vec<(f64, Role)>,
    waiting: VecDeque<Request>,
    waiting_work: f64,
    reading: Vec<(f64, Request)>,
    read: VecDeque<Request>,
    streams: BinaryHeap<Reverse<u64>>,
    mean_stream: f64,
    let_in: usize,
    in_time: usize,
    outcome: Outcome,
    window: Report,
    reports: VecDeque<Report>,
    told: f64,
}

impl Model {
    /// Returns engines of which `prefill` read prompts.
    pub fn new(scenario: Scenario, prefill: usize, seed: u64) -> Self {
        let Scenario {
            trace,
            engines,
            load,
        } = scenario;
        Model {
            random: StdRng::seed_from_u64(seed),
            trace,
            load,
            engines,
            now: 0.0,
            prefill,
            decode: engines - prefill,
            away: [0; 2],
            changing: Vec::new(),
            waiting: VecDeque::new(),
            waiting_work: 0.0,
            reading: Vec::new(),
            read: VecDeque::new(),
            streams: BinaryHeap::new(),
            mean_stream: MEAN_WORK / 2.0 * BATCH,
            let_in: 0,
            in_time: 0,
            outcome: Outcome::default(),
            window: Report::default(),
            reports: VecDeque::new(),
            told: 0.0,
        }
    }

    /// Runs the whole trace under a policy.
    pub fn run<P>(mut self, policy: &mut P) -> Outcome
    where
        P: Policy,
    {
        let mut next_report = REPORT_S;
        while self.now < LENGTH_S {
            self.withdraw();
            self.arrive();
            self.work();
            self.change();
            if self.now >= next_report {
                next_report += REPORT_S;
                self.report(policy);
            }
            self.now += STEP_S;
        }
        self.outcome.in_time = self.in_time as f64 / self.let_in.max(1) as f64;
        self.outcome
    }

    /// Takes engines away, or gives them back, as the trace says.
    fn withdraw(&mut self) {
        let wanted = self.trace.away(self.now, self.engines);
        while self.away.iter().sum::<usize>() < wanted {
            if self.decode >= self.prefill && self.decode > 1 {
                self.decode -= 1;
                self.away[1] += 1;
            } else if self.prefill > 1 {
                self.prefill -= 1;
                self.away[0] += 1;
            } else {
                break;
            }
        }
        if wanted == 0 {
            self.prefill += std::mem::take(&mut self.away[0]);
            self.decode += std::mem::take(&mut self.away[1]);
        }
    }

    fn arrive(&mut self) {
        let rate = self.load * self.trace.demand(self.now) * self.engines as f64 / MEAN_WORK;
        let share = self.trace.share(self.now);
        for _ in 0..self.poisson(rate * STEP_S) {
            let prompt = share * MEAN_WORK * self.spread();
            let answer = (1.0 - share) * MEAN_WORK * self.spread();
            self.window.prompt += prompt;
            self.window.answer += answer;
            self.window.requests += 1.0;
            self.outcome.offered += prompt + answer;
            self.admit(Request {
                arrived: self.now,
                prompt,
                answer,
            });
        }
    }

    /// Lets a request in if its first token can come in time, as the product's gate does.
    fn admit(&mut self, request: Request) {
        let reading: f64 = self.reading.iter().map(|(left, _)| left).sum();
        let wait = (self.waiting_work + reading) / self.prefill.max(1) as f64 + request.prompt;
        let ahead = self.read.len() + self.waiting.len() + self.reading.len();
        let slots = self.slots();
        let over = (self.streams.len() + ahead + 1) as f64 - slots as f64;
        let pace = slots as f64 / self.mean_stream;
        let stream_wait = over.max(0.0) / pace.max(1e-6);
        if wait.max(stream_wait) > ADMIT_SHARE * FIRST_TOKEN_S {
            return;
        }
        self.let_in += 1;
        self.waiting_work += request.prompt;
        self.waiting.push_back(request);
    }

    fn slots(&self) -> usize {
        (self.decode as f64 * BATCH) as usize
    }

    fn work(&mut self) {
        self.read_prompts();
        self.give_up();
        let slots = self.slots();
        let now_us = (self.now * 1e6) as u64;
        while self
            .streams
            .peek()
            .is_some_and(|Reverse(end)| *end <= now_us)
        {
            self.streams.pop();
        }
        while self.streams.len() < slots {
            let Some(request) = self.read.pop_front() else {
                break;
            };
            self.start(request);
        }
    }

    /// Drops requests whose first token can no longer come in time, as the product's gate does.
    fn give_up(&mut self) {
        let oldest = self.now - FIRST_TOKEN_S;
        while self
            .read
            .front()
            .is_some_and(|request| request.arrived < oldest)
        {
            self.read.pop_front();
        }
        while let Some(request) = self
            .waiting
            .pop_front_if(|request| request.arrived < oldest)
        {
            self.waiting_work -= request.prompt;
        }
    }

    fn read_prompts(&mut self) {
        let servers = self.prefill;
        while self.reading.len() < servers {
            let Some(request) = self.waiting.pop_front() else {
                break;
            };
            self.waiting_work -= request.prompt;
            self.reading.push((request.prompt, request));
        }
        for (left, _) in self.reading.iter_mut().take(servers) {
            *left -= STEP_S;
        }
        let read = &mut self.read;
        self.reading.retain(|(left, request)| {
            if *left <= 0.0 {
                read.push_back(*request);
            }
            *left > 0.0
        });
    }

    fn start(&mut self, request: Request) {
        let length = request.answer * BATCH;
        self.mean_stream += 0.01 * (length - self.mean_stream);
        let end = ((self.now + length) * 1e6) as u64;
        self.streams.push(Reverse(end));
        if self.now - request.arrived <= FIRST_TOKEN_S {
            self.in_time += 1;
            self.outcome.goodput += request.prompt + request.answer;
        }
    }

    fn change(&mut self) {
        let now = self.now;
        let (done, rest): (Vec<_>, Vec<_>) =
            self.changing.drain(..).partition(|(end, _)| *end <= now);
        self.changing = rest;
        for (_, role) in done {
            match role {
                Role::Prefill => self.prefill += 1,
                _ => self.decode += 1,
            }
        }
    }

    fn report<P>(&mut self, policy: &mut P)
    where
        P: Policy,
    {
        self.window.made = self.now;
        if !self.trace.loses_report(self.now) {
            self.reports.push_back(std::mem::take(&mut self.window));
        }
        let is_due = |report: &Report| report.made + REPORT_LAG_S <= self.now + STEP_S;
        if !self.reports.front().is_some_and(is_due) {
            return;
        }
        let report = self.reports.pop_front().expect("a report is due");
        let span = report.made - self.told;
        self.told = report.made;
        let seen = Sample {
            at: Duration::from_secs_f64(report.made),
            span: Duration::from_secs_f64(span),
            prefill: self.prefill,
            decode: self.decode,
            changing: self.changing.len(),
            prefill_work: report.prompt / span,
            decode_work: report.answer / span,
            requests: report.requests,
        };
        if let Some(change) = policy.decide(&seen) {
            self.obey(&change);
        }
    }

    fn obey(&mut self, change: &Change) {
        for _ in 0..change.engines {
            let from = match change.role {
                Role::Prefill => &mut self.decode,
                _ => &mut self.prefill,
            };
            if *from <= 1 {
                return;
            }
            *from -= 1;
            self.changing
                .push((self.now + DRAIN_S + CHANGE_S, change.role));
            self.outcome.role_changes += 1;
        }
    }

    /// Returns a factor of mean 1 by which requests differ in size.
    fn spread(&mut self) -> f64 {
        let mut exponential = || -(1.0 - self.random.random::<f64>()).ln();
        (exponential() + exponential()) / 2.0
    }

    fn poisson(&mut self, mean: f64) -> usize {
        let limit = (-mean).exp();
        let mut product: f64 = self.random.random();
        let mut count = 0;
        while product > limit {
            product *= self.random.random::<f64>();
            count += 1;
        }
        count
    }
}
