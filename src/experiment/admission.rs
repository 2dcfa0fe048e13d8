//! Urgent requests at twice the capacity, before one host that sees all and before several that
//! see lagging reports.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;

use crate::admit::Demand;
use crate::admit::ServiceQueue;
use crate::admit::lane::Admission;
use crate::admit::limit::Limit;
use crate::admit::limit::Observation;
use crate::status::table;

use super::mean;

/// Engines.
const ENGINES: usize = 9;
/// Virtual time of one step, in seconds.
const STEP_S: f64 = 0.01;
/// Length of a run, in seconds.
const LENGTH_S: f64 = 150.0;
/// Start of the part that counts, in seconds.
const WARM_S: f64 = 30.0;
/// Time between tokens of a stream that runs alone, in seconds.
const TOKEN_S: f64 = 0.030;
/// Share of it added by each further stream.
const GROWTH: f64 = 0.02;
/// Time to read a prompt, in seconds.
const PROMPT_S: f64 = 0.03;
/// Mean tokens of an answer.
const TOKENS: f64 = 100.0;
/// Age of what a host knows of other hosts' requests, in seconds.
const LAG_S: f64 = 1.0;
/// Targets by rank: first token, between tokens, deadline; in seconds.
const TARGETS: [(f64, f64, f64); 2] = [(1.1, 0.055, 4.0), (3.0, 0.110, 20.0)];
/// Demand by rank, as shares of the capacity.
const DEMAND: [f64; 2] = [0.6, 1.4];

/// Result of one way of admitting.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// Name of the experiment.
    pub name: &'static str,
    /// Way of admitting.
    pub policy: &'static str,
    /// Entry hosts.
    pub hosts: usize,
    /// First token of urgent requests that 95 in 100 kept, in milliseconds.
    pub urgent_first_p95_ms: f64,
    /// Time between their tokens that 95 in 100 kept, in milliseconds.
    pub urgent_between_p95_ms: f64,
    /// Urgent requests that were served, as a share.
    pub urgent_served: f64,
    /// Tokens of requests within their deadlines and the target between tokens, as a share of the
    /// capacity.
    pub goodput: f64,
}

/// How requests are admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Open,
    Learned,
}

#[derive(Debug, Clone, Copy)]
struct Stream {
    host: usize,
    rank: usize,
    arrived: f64,
    started: f64,
    first: Option<f64>,
    prompt_left: f64,
    tokens: f64,
    tokens_left: f64,
}

struct Model {
    random: StdRng,
    base: Instant,
    now: f64,
    way: Way,
    lanes: Vec<ServiceQueue<Stream>>,
    engines: Vec<Vec<Stream>>,
    known: Vec<Vec<usize>>,
    first: Vec<f64>,
    between: Vec<f64>,
    offered: usize,
    good_tokens: f64,
}

/// Returns tokens in each second of an engine that just keeps the urgent target.
fn capacity() -> f64 {
    let streams = (TARGETS[0].1 / TOKEN_S - 1.0) / GROWTH;
    streams / TARGETS[0].1
}

impl Model {
    fn new(way: Way, hosts: usize, seed: u64) -> Self {
        let start = ENGINES as f64 * 16.0 / hosts as f64;
        let most = ENGINES as f64 * 64.0;
        let limit = || match way {
            Way::Open => Limit::new(1e9, 1e9),
            Way::Learned => Limit::new(start, most),
        };
        Model {
            random: StdRng::seed_from_u64(seed),
            base: Instant::now(),
            now: 0.0,
            way,
            lanes: (0..hosts)
                .map(|_| ServiceQueue::new(limit(), 4096))
                .collect(),
            engines: vec![Vec::new(); ENGINES],
            known: vec![vec![0; ENGINES]; hosts],
            first: Vec::new(),
            between: Vec::new(),
            offered: 0,
            good_tokens: 0.0,
        }
    }

    fn instant(&self, at: f64) -> Instant {
        self.base + Duration::from_secs_f64(at)
    }

    fn run(mut self) -> Row {
        let mut next_report = 0.0;
        while self.now < LENGTH_S {
            if self.now >= next_report {
                next_report += LAG_S;
                self.exchange();
            }
            self.arrive();
            self.work();
            self.sweep();
            self.now += STEP_S;
        }
        self.row()
    }

    /// Lets every host know how many requests all hosts have on each engine.
    fn exchange(&mut self) {
        let counts: Vec<usize> = self.engines.iter().map(Vec::len).collect();
        self.known.fill(counts);
    }

    fn arrive(&mut self) {
        let capacity = capacity() * ENGINES as f64 / TOKENS;
        for (rank, share) in DEMAND.iter().enumerate() {
            let mean = share * capacity * STEP_S;
            let whole = mean.floor();
            let extra = usize::from(self.random.random::<f64>() < mean - whole);
            for _ in 0..whole as usize + extra {
                self.offer(rank);
            }
        }
    }

    fn offer(&mut self, rank: usize) {
        let host = self.random.random_range(0..self.lanes.len());
        let tokens = (-(1.0 - self.random.random::<f64>()).ln() * TOKENS).clamp(2.0, TOKENS * 5.0);
        if rank == 0 && self.now >= WARM_S {
            self.offered += 1;
        }
        let stream = Stream {
            host,
            rank,
            arrived: self.now,
            started: self.now,
            first: None,
            prompt_left: PROMPT_S,
            tokens: tokens.floor(),
            tokens_left: tokens.floor(),
        };
        let demand = Demand {
            account: if rank == 0 { "urgent" } else { "draft" }.into(),
            share: 1.0,
            rank: rank as u8,
            cost: tokens,
            start_by: self.instant(self.now + TARGETS[rank].2 - TARGETS[rank].0),
        };
        let now = self.instant(self.now);
        if self.lanes[host].enter(demand, stream, now) == Admission::Runs {
            self.begin(stream);
        }
    }

    /// Sends a stream to the less loaded of two engines, as far as its host knows.
    fn begin(&mut self, mut stream: Stream) {
        stream.started = self.now;
        let known = &self.known[stream.host];
        let one = self.random.random_range(0..ENGINES);
        let other = self.random.random_range(0..ENGINES);
        let chosen = if known[other] < known[one] {
            other
        } else {
            one
        };
        self.known[stream.host][chosen] += 1;
        self.engines[chosen].push(stream);
    }

    fn work(&mut self) {
        for place in 0..ENGINES {
            let mut engine = std::mem::take(&mut self.engines[place]);
            engine.sort_by_key(|stream| stream.rank);
            read_prompts(&mut engine);
            let running = engine
                .iter()
                .filter(|stream| stream.prompt_left <= 0.0)
                .count();
            let token = TOKEN_S * (1.0 + GROWTH * running.saturating_sub(1) as f64);
            let (mut rest, mut done) = (Vec::new(), Vec::new());
            for mut stream in engine {
                if stream.prompt_left <= 0.0 {
                    stream.first.get_or_insert(self.now + token);
                    stream.tokens_left -= STEP_S / token;
                }
                let is_done = stream.tokens_left <= 0.0;
                if is_done { &mut done } else { &mut rest }.push(stream);
            }
            self.engines[place] = rest;
            for stream in done {
                let known = &mut self.known[stream.host][place];
                *known = known.saturating_sub(1);
                self.end(stream);
            }
        }
    }

    fn end(&mut self, stream: Stream) {
        let first = stream.first.unwrap_or(self.now);
        let between = (self.now - first) / (stream.tokens - 1.0).max(1.0);
        let (first_target, between_target, deadline) = TARGETS[stream.rank];
        let waited = first - stream.arrived;
        if self.now >= WARM_S {
            if stream.rank == 0 {
                self.first.push(waited);
                self.between.push(between);
            }
            let is_good = waited <= deadline && between <= between_target * 1.001;
            self.good_tokens += if is_good { stream.tokens } else { 0.0 };
        }
        let seen = Observation {
            rank: stream.rank as u8,
            first_token: (first - stream.started) / first_target,
            between_tokens: between / between_target,
        };
        let held = Duration::from_secs_f64(self.now - stream.started);
        let now = self.instant(self.now);
        let lane = &mut self.lanes[stream.host];
        lane.leave(held, (self.way == Way::Learned).then_some(seen), now);
        for waiter in lane.start(now) {
            self.begin(waiter);
        }
    }

    fn sweep(&mut self) {
        let now = self.instant(self.now);
        for host in 0..self.lanes.len() {
            self.lanes[host].give_up(now);
            for waiter in self.lanes[host].start(now) {
                self.begin(waiter);
            }
        }
    }

    fn row(mut self) -> Row {
        let quantile = |times: &mut Vec<f64>| {
            times.sort_by(f64::total_cmp);
            let place = (times.len() as f64 * 0.95) as usize;
            times.get(place).copied().unwrap_or(0.0) * 1e3
        };
        Row {
            name: "admission",
            policy: if self.way == Way::Open {
                "none"
            } else {
                "learned"
            },
            hosts: self.lanes.len(),
            urgent_served: self.first.len() as f64 / self.offered.max(1) as f64,
            urgent_first_p95_ms: quantile(&mut self.first),
            urgent_between_p95_ms: quantile(&mut self.between),
            goodput: self.good_tokens / (LENGTH_S - WARM_S) / (capacity() * ENGINES as f64),
        }
    }
}

/// An engine reads one prompt at a time, the most urgent first.
fn read_prompts(engine: &mut [Stream]) {
    let mut left = STEP_S;
    for stream in engine.iter_mut().filter(|stream| stream.prompt_left > 0.0) {
        let read = stream.prompt_left.min(left);
        stream.prompt_left -= read;
        left -= read;
    }
}

/// Measures all ways, each as a mean over seeds.
pub fn run(seeds: u64) -> Vec<Row> {
    let ways = [
        (Way::Open, 1),
        (Way::Learned, 1),
        (Way::Learned, 6),
        (Way::Learned, 8),
    ];
    ways.into_iter()
        .map(|(way, hosts)| {
            let rows: Vec<Row> = (0..seeds)
                .map(|seed| Model::new(way, hosts, seed).run())
                .collect();
            Row {
                urgent_first_p95_ms: mean(&rows, |row| row.urgent_first_p95_ms),
                urgent_between_p95_ms: mean(&rows, |row| row.urgent_between_p95_ms),
                urgent_served: mean(&rows, |row| row.urgent_served),
                goodput: mean(&rows, |row| row.goodput),
                ..rows[0].clone()
            }
        })
        .collect()
}

/// Returns the rows as a table.
pub fn render(rows: &[Row]) -> String {
    let cells: Vec<_> = rows
        .iter()
        .map(|row| {
            vec![
                row.policy.to_owned(),
                row.hosts.to_string(),
                format!("{:.0}", row.urgent_first_p95_ms),
                format!("{:.1}", row.urgent_between_p95_ms),
                format!("{:.3}", row.urgent_served),
                format!("{:.3}", row.goodput),
            ]
        })
        .collect();
    let head = [
        "POLICY",
        "HOSTS",
        "URGENT FIRST p95 ms",
        "BETWEEN p95 ms",
        "URGENT SERVED",
        "GOODPUT",
    ];
    table::render(&head, &cells)
}
