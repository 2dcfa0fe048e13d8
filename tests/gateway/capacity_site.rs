//! A platform that orders upstreams, in memory and in the time of a test, and the hosts that use it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;

use pistachiohall::capacity::demand::Rate;
use pistachiohall::capacity::duty::Config;
use pistachiohall::capacity::duty::Duty;
use pistachiohall::capacity::duty::Outlook;
use pistachiohall::capacity::duty::Platform;
use pistachiohall::catalog::Catalog;
use pistachiohall::catalog::Engine;
use pistachiohall::catalog::Limits;
use pistachiohall::catalog::Scale;
use pistachiohall::catalog::Service;
use pistachiohall::clock::Clock;
use pistachiohall::clock::Mock;
use pistachiohall::fleet::Entry;
use pistachiohall::fleet::State;
use pistachiohall::follow::View;
use pistachiohall::id::DomainId;
use pistachiohall::id::Era;
use pistachiohall::id::Offset;
use pistachiohall::log::AppendError;
use pistachiohall::log::ReadError;
use pistachiohall::log::keyed::Changes;
use pistachiohall::log::keyed::ChangesError;
use pistachiohall::log::keyed::ConditionError;
use pistachiohall::log::keyed::Keyed;
use pistachiohall::log::keyed::Pair;
use pistachiohall::log::keyed::Position;
use pistachiohall::log::keyed::Record;
use pistachiohall::platform::duties::Authority;
use pistachiohall::platform::duties::CapacityOrder;
use pistachiohall::platform::duties::Outcome;
use pistachiohall::upstream::Role;

pub const LEASE: Duration = Duration::from_secs(3);
pub const BOOT: Duration = Duration::from_secs(4);
pub const STEP: Duration = Duration::from_millis(500);
pub const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Store of the lease's record.
#[derive(Default)]
pub struct Lease {
    state: Mutex<(Option<Record>, Offset)>,
}

impl Keyed for Lease {
    fn newest(&self, _topic: &str) -> Result<Changes, ReadError> {
        let state = self.state.lock().unwrap();
        Ok(Changes {
            records: state.0.iter().cloned().collect(),
            next: Position::new(1, state.1),
            pending: 0,
        })
    }

    fn changes(&self, _: &str, _: Position, _: Duration) -> Result<Changes, ChangesError> {
        Err(ChangesError::Gap(0))
    }

    fn put(&self, _: &str, _: Pair<'_>) -> Result<Position, AppendError> {
        Err(AppendError::Refused("conditional only".to_owned()))
    }

    fn put_at(&self, _: &str, pair: Pair<'_>, at: Position) -> Result<Position, ConditionError> {
        let mut state = self.state.lock().unwrap();
        if at != Position::new(1, state.1) {
            return Err(ConditionError::Moved(state.1));
        }
        let record = Record {
            key: pair.key.into(),
            value: Some(pair.value.to_vec()),
        };
        *state = (Some(record), state.1 + 1);
        Ok(at)
    }

    fn newest_era(&self) -> Era {
        1
    }
}

/// What the platform does with an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    Sound,
    /// Refuses with 429.
    Busy,
    /// Gives no answer, and carries the order out after this time.
    Silent(Duration),
}

pub struct Upstream {
    pub entry: Entry,
    pub serves_at: Duration,
}

/// Platform with its upstreams, in the time of the clock.
pub struct World {
    pub clock: Mock,
    pub upstreams: Vec<Upstream>,
    created: usize,
    pub answer: Answer,
    pub denied: HashSet<DomainId>,
    late: Vec<(Duration, CapacityOrder)>,
    pub calls: Vec<(Duration, Authority, CapacityOrder, Outcome)>,
    /// Suspends the machine while the platform answers.
    pub freeze: Option<Duration>,
}

impl World {
    pub fn new(clock: &Mock, each: usize) -> Rc<RefCell<Self>> {
        let mut world = World {
            clock: clock.clone(),
            upstreams: Vec::new(),
            created: 0,
            answer: Answer::Sound,
            denied: HashSet::new(),
            late: Vec::new(),
            calls: Vec::new(),
            freeze: None,
        };
        for domain in DOMAINS {
            world.set(domain, false, each, Duration::ZERO);
        }
        Rc::new(RefCell::new(world))
    }

    pub fn is_of(upstream: &Upstream, domain: &str, is_spot: bool) -> bool {
        let entry = &upstream.entry;
        entry.domain == domain && entry.may_be_withdrawn == is_spot && entry.state == State::Ready
    }

    pub fn set(&mut self, domain: &str, is_spot: bool, desired: usize, boot: Duration) {
        let now = self.clock.boot();
        let indexes: Vec<usize> = (0..self.upstreams.len())
            .filter(|index| Self::is_of(&self.upstreams[*index], domain, is_spot))
            .collect();
        for index in indexes.iter().skip(desired) {
            self.upstreams[*index].entry.state = State::Draining;
        }
        for _ in indexes.len()..desired {
            self.created += 1;
            let entry = Entry {
                id: format!("e{}", self.created).into(),
                started_at: 1,
                service: "lm".into(),
                build: "v1".into(),
                address: "127.0.0.1:9".parse().unwrap(),
                domain: domain.into(),
                role: Role::Decode,
                state: State::Ready,
                slots: 64,
                may_be_withdrawn: is_spot,
                leaves_in: None,
            };
            let serves_at = now + boot;
            self.upstreams.push(Upstream { entry, serves_at });
        }
    }

    pub fn withdraw(&mut self, domain: &str) {
        for upstream in &mut self.upstreams {
            if Self::is_of(upstream, domain, true) {
                upstream.entry.state = State::Draining;
                upstream.entry.leaves_in = Some(Duration::from_secs(2));
            }
        }
    }

    pub fn carry_out_late(&mut self) {
        let now = self.clock.boot();
        let due = |(at, _): &(Duration, CapacityOrder)| *at <= now;
        let orders: Vec<_> = self.late.iter().filter(|late| due(late)).cloned().collect();
        self.late.retain(|late| !due(late));
        for (_, order) in orders {
            self.set(&order.domain, order.is_spot, order.desired, BOOT);
        }
    }

    pub fn entries(&self) -> Vec<Entry> {
        let now = self.clock.boot();
        let listed = self
            .upstreams
            .iter()
            .filter(|upstream| upstream.serves_at <= now);
        listed.map(|upstream| upstream.entry.clone()).collect()
    }

    pub fn count(&self, domain: &str, is_spot: bool) -> usize {
        let of = self
            .upstreams
            .iter()
            .filter(|upstream| Self::is_of(upstream, domain, is_spot));
        of.count()
    }

    pub fn serving(&self) -> usize {
        let ready = |entry: &Entry| entry.state == State::Ready;
        self.entries().into_iter().filter(ready).count()
    }
}

#[derive(Clone)]
pub struct Client(Rc<RefCell<World>>);

impl Platform for Client {
    fn order(&self, by: &Authority, order: &CapacityOrder) -> Outcome {
        let mut world = self.0.borrow_mut();
        if let Some(freeze) = world.freeze.take() {
            world.clock.suspend(freeze);
        }
        let now = world.clock.boot();
        let grows = order.desired > world.count(&order.domain, true);
        let outcome = match world.answer {
            Answer::Busy => Outcome::Refused(429),
            Answer::Silent(delay) => {
                world.late.push((now + delay, order.clone()));
                Outcome::Unknown("no answer".into())
            }
            Answer::Sound if order.is_spot && grows && world.denied.contains(&order.domain) => {
                Outcome::Conflict
            }
            Answer::Sound => {
                world.set(&order.domain, order.is_spot, order.desired, BOOT);
                Outcome::Accepted
            }
        };
        world
            .calls
            .push((now, by.clone(), order.clone(), outcome.clone()));
        outcome
    }
}

/// A host with its share of the world.
pub struct Host {
    pub duty: Duty<Client>,
    pub rank: usize,
}

pub fn catalog(scale: Scale) -> Arc<Catalog> {
    let service = Service {
        name: "lm".into(),
        max_connections: 100,
        health_path: None,
        engine: Some(Engine {
            slots: 64,
            kv_capacity_tokens: 1_000_000,
            handle_ttl: Duration::from_secs(5),
            switch_duration: Duration::from_secs(3),
            kv_token_bytes: None,
        }),
        scale: Some(scale),
    };
    Arc::new(Catalog::new(
        1,
        Vec::new(),
        vec![service],
        Limits::default(),
    ))
}

pub fn scale() -> Scale {
    Scale {
        min: 1,
        max: 30,
        boot_duration: BOOT,
        spot_price: Some(0.15),
        domain_prices: DOMAINS
            .iter()
            .map(|id| (DomainId::from(*id), 1.0))
            .collect(),
    }
}

pub struct Site {
    pub clock: Mock,
    pub world: Rc<RefCell<World>>,
    pub store: Lease,
    pub hosts: Vec<Host>,
    pub catalog: Arc<Catalog>,
    pub work: f64,
}

impl Site {
    pub fn new(each: usize, hosts: usize) -> Self {
        let clock = Mock::new(SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000));
        let world = World::new(&clock, each);
        let host = |rank: usize| Host {
            duty: Duty::new(
                Config {
                    host: format!("h{rank}").into(),
                    lease: LEASE,
                    second_worth: 1.0,
                    max_calls_per_s: 50.0,
                    incarnations: Arc::default(),
                },
                Client(Rc::clone(&world)),
                Arc::default(),
                rank as u64,
            ),
            rank,
        };
        Site {
            hosts: (0..hosts).map(host).collect(),
            store: Lease::default(),
            catalog: catalog(scale()),
            clock,
            world,
            work: 8.0,
        }
    }

    pub fn outlook(&self, rank: usize) -> Outlook {
        let each = Rate {
            requests: 100.0,
            prefill: self.work / 3.0,
            ..Rate::default()
        };
        let demand: BTreeMap<DomainId, Rate> = DOMAINS
            .iter()
            .map(|id| (DomainId::from(*id), each))
            .collect();
        Outlook {
            gathered_at: Some(self.clock.now()),
            rank,
            heard: 9,
            known: 9,
            demand: HashMap::from([("lm".into(), demand)]),
        }
    }

    pub fn step_with(&mut self, index: usize, outlook: &Outlook) {
        let view = View {
            catalog: Some(Arc::clone(&self.catalog)),
            entries: Arc::new(self.world.borrow().entries()),
            has_registry: true,
            ..View::default()
        };
        self.hosts[index]
            .duty
            .step(&view, outlook, &self.clock, &self.store);
    }

    /// Lets `time` pass; returns the least number of upstreams that served.
    pub fn run(&mut self, time: Duration) -> usize {
        let mut least = usize::MAX;
        let end = self.clock.boot() + time;
        while self.clock.boot() < end {
            self.clock.advance(STEP);
            self.world.borrow_mut().carry_out_late();
            for index in 0..self.hosts.len() {
                let outlook = self.outlook(self.hosts[index].rank);
                self.step_with(index, &outlook);
            }
            least = least.min(self.world.borrow().serving());
        }
        least
    }

    pub fn count(&self, is_spot: bool) -> usize {
        let world = self.world.borrow();
        DOMAINS
            .iter()
            .map(|domain| world.count(domain, is_spot))
            .sum()
    }

    pub fn calls(&self) -> usize {
        self.world.borrow().calls.len()
    }
}
