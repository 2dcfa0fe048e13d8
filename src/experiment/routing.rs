//! Cache hits and latencies of ways to route, with late and gappy knowledge.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;

use crate::route;
use crate::route::Criteria;
use crate::route::Index;
use crate::route::Stage;
use crate::status::table;
use crate::upstream::Load;
use crate::upstream::Upstream;

use super::mean;

/// Engines.
const ENGINES: usize = 9;
/// Entry hosts.
const HOSTS: usize = 6;
/// Distinct prompt prefixes.
const PREFIXES: u64 = 200;
/// Prefixes that an engine's cache holds.
const CACHE: usize = 40;
/// Virtual time of one step, in seconds.
const STEP_S: f64 = 0.01;
/// Length of a run, in seconds.
const LENGTH_S: f64 = 120.0;
/// Time to read a prompt that is not cached, in seconds.
const READ_S: f64 = 0.4;
/// Share of it that a cached prefix leaves.
const CACHED_SHARE: f64 = 0.2;
/// Demand, as a share of what the engines read without any cache hit.
const LOAD: f64 = 1.1;
/// Age of reports, heartbeats and cache events, in seconds.
const LAG_S: f64 = 1.0;
/// Share of cache events that are lost.
const GAPS: f64 = 0.1;

/// A way to route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Random,
    StaleLeast,
    TwoChoices,
    Product,
}

/// Result of one way, a mean over seeds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Row {
    /// Name of the experiment.
    pub name: &'static str,
    /// Way to route.
    pub policy: &'static str,
    /// Prompts whose prefix was cached.
    pub hit_rate: f64,
    /// Time to the first token that 95 in 100 kept, in milliseconds.
    pub first_token_p95_ms: f64,
}

struct Request {
    host: usize,
    prefix: u64,
    arrived: f64,
    left: f64,
}

struct Host {
    upstreams: Vec<Arc<Upstream>>,
    index: Index,
}

struct Model {
    random: StdRng,
    way: Way,
    hosts: Vec<Host>,
    queues: Vec<VecDeque<Request>>,
    caches: Vec<VecDeque<u64>>,
    events: VecDeque<(f64, usize, u64, bool)>,
    now: f64,
    hits: usize,
    done: Vec<f64>,
}

fn host() -> Host {
    let upstream = |number: usize| {
        let address = crate::standin::deployment::ANY;
        let id = format!("e{number}").into();
        Arc::new(Upstream::new(id, address, "derby".into(), "lm".into()))
    };
    Host {
        upstreams: (0..ENGINES).map(upstream).collect(),
        index: Index::default(),
    }
}

impl Model {
    fn new(way: Way, seed: u64) -> Self {
        Model {
            random: StdRng::seed_from_u64(seed),
            way,
            hosts: (0..HOSTS).map(|_| host()).collect(),
            queues: (0..ENGINES).map(|_| VecDeque::new()).collect(),
            caches: vec![VecDeque::new(); ENGINES],
            events: VecDeque::new(),
            now: 0.0,
            hits: 0,
            done: Vec::new(),
        }
    }

    fn run(mut self) -> Row {
        let mut next_report = 0.0;
        let rate = LOAD * ENGINES as f64 / READ_S;
        while self.now < LENGTH_S {
            if self.now >= next_report {
                next_report += LAG_S;
                self.report();
            }
            self.deliver_events();
            if self.random.random::<f64>() < rate * STEP_S {
                self.arrive();
            }
            self.work();
            self.now += STEP_S;
        }
        self.row()
    }

    /// Tells all hosts the engines' loads and each other's counts.
    fn report(&mut self) {
        for (place, queue) in self.queues.iter().enumerate() {
            for (number, host) in self.hosts.iter().enumerate() {
                let others = queue
                    .iter()
                    .filter(|request| request.host != number)
                    .count();
                let upstream = &host.upstreams[place];
                upstream.peers_in_flight.store(others, Ordering::SeqCst);
                let load = Load {
                    in_flight: queue.len(),
                    ..Load::default()
                };
                upstream.take_report(load, std::time::Instant::now());
            }
        }
    }

    fn deliver_events(&mut self) {
        while self
            .events
            .front()
            .is_some_and(|event| event.0 + LAG_S <= self.now)
        {
            let Some((_, place, prefix, held)) = self.events.pop_front() else {
                break;
            };
            for host in &self.hosts {
                let id = &host.upstreams[place].id;
                match held {
                    true => host.index.add(prefix, id),
                    false => host.index.remove(prefix, id),
                }
            }
        }
    }

    fn arrive(&mut self) {
        let host = self.random.random_range(0..HOSTS);
        let skew: f64 = self.random.random();
        let prefix = (skew * skew * PREFIXES as f64) as u64;
        let place = self.choose(host, prefix);
        let request = Request {
            host,
            prefix,
            arrived: self.now,
            left: 0.0,
        };
        let upstream = &self.hosts[host].upstreams[place];
        upstream.own_in_flight.fetch_add(1, Ordering::SeqCst);
        if self.way == Way::Product {
            self.hosts[host].index.add(prefix, &upstream.id);
        }
        self.queues[place].push_back(request);
    }

    fn choose(&mut self, host: usize, prefix: u64) -> usize {
        let one = &self.hosts[host];
        let reported = |place: usize| {
            one.upstreams[place]
                .report()
                .map_or(0, |(load, _)| load.in_flight)
        };
        match self.way {
            Way::Random => self.random.random_range(0..ENGINES),
            Way::StaleLeast => (0..ENGINES)
                .min_by_key(|place| reported(*place))
                .unwrap_or(0),
            Way::TwoChoices | Way::Product => {
                let want = Criteria {
                    stage: Stage::Any,
                    domain: &"derby".into(),
                    permitted: &[],
                    tried: &[],
                    prefix: (self.way == Way::Product).then_some(prefix),
                    is_isolated: false,
                };
                let chosen = route::choose(&one.upstreams, &want, &one.index, &mut self.random);
                let id = chosen.map(|upstream| upstream.id.clone());
                one.upstreams
                    .iter()
                    .position(|upstream| Some(&upstream.id) == id.as_ref())
                    .unwrap_or(0)
            }
        }
    }

    fn work(&mut self) {
        for place in 0..ENGINES {
            let Some(request) = self.queues[place].front_mut() else {
                continue;
            };
            if request.left == 0.0 {
                let prefix = request.prefix;
                let hit = touch(&mut self.caches[place], prefix, |prefix, held| {
                    self.events.push_back((self.now, place, prefix, held));
                });
                self.hits += usize::from(hit);
                request.left = READ_S * if hit { CACHED_SHARE } else { 1.0 };
            }
            request.left -= STEP_S;
            if request.left <= 0.0
                && let Some(request) = self.queues[place].pop_front()
            {
                self.done.push(self.now - request.arrived);
                let upstream = &self.hosts[request.host].upstreams[place];
                upstream.own_in_flight.fetch_sub(1, Ordering::SeqCst);
            }
        }
        let lost = self.random.random::<f64>() < GAPS;
        if lost && self.events.len() > 1 {
            self.events.pop_back();
        }
    }

    fn row(mut self) -> Row {
        self.done.sort_by(f64::total_cmp);
        let place = (self.done.len() as f64 * 0.95) as usize;
        Row {
            name: "routing",
            policy: match self.way {
                Way::Random => "random",
                Way::StaleLeast => "least-loaded on stale reports",
                Way::TwoChoices => "two choices",
                Way::Product => "prefix affinity, bounded",
            },
            hit_rate: self.hits as f64 / self.done.len().max(1) as f64,
            first_token_p95_ms: self.done.get(place).copied().unwrap_or(0.0) * 1e3,
        }
    }
}

/// Uses a prefix of a cache, the oldest evicted first; returns whether it was held.
fn touch<F>(cache: &mut VecDeque<u64>, prefix: u64, mut tell: F) -> bool
where
    F: FnMut(u64, bool),
{
    let place = cache.iter().position(|other| *other == prefix);
    match place {
        Some(place) => drop(cache.remove(place)),
        None => tell(prefix, true),
    }
    cache.push_back(prefix);
    if cache.len() > CACHE
        && let Some(oldest) = cache.pop_front()
    {
        tell(oldest, false);
    }
    place.is_some()
}

/// Measures all ways, each as a mean over seeds.
pub fn run(seeds: u64) -> Vec<Row> {
    [Way::Random, Way::StaleLeast, Way::TwoChoices, Way::Product]
        .into_iter()
        .map(|way| {
            let rows: Vec<Row> = (0..seeds).map(|seed| Model::new(way, seed).run()).collect();
            Row {
                hit_rate: mean(&rows, |row| row.hit_rate),
                first_token_p95_ms: mean(&rows, |row| row.first_token_p95_ms),
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
                format!("{:.3}", row.hit_rate),
                format!("{:.0}", row.first_token_p95_ms),
            ]
        })
        .collect();
    table::render(&["POLICY", "HIT RATE", "FIRST TOKEN p95 ms"], &cells)
}
