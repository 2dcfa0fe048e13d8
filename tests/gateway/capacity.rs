//! Orders for upstreams when the platform withdraws, denies, is silent or late, and when the holder
//! freezes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;

use rstest::rstest;

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

const LEASE: Duration = Duration::from_secs(3);
const BOOT: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(500);
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Store of the lease's record.
#[derive(Default)]
struct Lease {
    state: Mutex<(Option<Record>, Offset)>,
}

impl Keyed for Lease {
    fn newest(&self, _topic: &str) -> Result<Changes, ReadError> {
        let state = self.state.lock().unwrap();
        Ok(Changes {
            records: state.0.iter().cloned().collect(),
            next: Position::new(1, state.1),
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
enum Answer {
    Sound,
    /// Refuses with 429.
    Busy,
    /// Gives no answer, and carries the order out after this time.
    Silent(Duration),
}

struct Upstream {
    entry: Entry,
    serves_at: Duration,
}

/// Platform with its upstreams, in the time of the clock.
struct World {
    clock: Mock,
    upstreams: Vec<Upstream>,
    created: usize,
    answer: Answer,
    denied: HashSet<DomainId>,
    late: Vec<(Duration, CapacityOrder)>,
    calls: Vec<(Duration, Authority, CapacityOrder, Outcome)>,
    /// Suspends the machine while the platform answers.
    freeze: Option<Duration>,
}

impl World {
    fn new(clock: &Mock, each: usize) -> Rc<RefCell<Self>> {
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

    fn is_of(upstream: &Upstream, domain: &str, is_spot: bool) -> bool {
        let entry = &upstream.entry;
        entry.domain == domain && entry.may_be_withdrawn == is_spot && entry.state == State::Ready
    }

    fn set(&mut self, domain: &str, is_spot: bool, desired: usize, boot: Duration) {
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

    fn withdraw(&mut self, domain: &str) {
        for upstream in &mut self.upstreams {
            if Self::is_of(upstream, domain, true) {
                upstream.entry.state = State::Draining;
                upstream.entry.leaves_in = Some(Duration::from_secs(2));
            }
        }
    }

    fn carry_out_late(&mut self) {
        let now = self.clock.boot();
        let due = |(at, _): &(Duration, CapacityOrder)| *at <= now;
        let orders: Vec<_> = self.late.iter().filter(|late| due(late)).cloned().collect();
        self.late.retain(|late| !due(late));
        for (_, order) in orders {
            self.set(&order.domain, order.is_spot, order.desired, BOOT);
        }
    }

    fn entries(&self) -> Vec<Entry> {
        let now = self.clock.boot();
        let listed = self
            .upstreams
            .iter()
            .filter(|upstream| upstream.serves_at <= now);
        listed.map(|upstream| upstream.entry.clone()).collect()
    }

    fn count(&self, domain: &str, is_spot: bool) -> usize {
        let of = self
            .upstreams
            .iter()
            .filter(|upstream| Self::is_of(upstream, domain, is_spot));
        of.count()
    }

    fn serving(&self) -> usize {
        let ready = |entry: &Entry| entry.state == State::Ready;
        self.entries().into_iter().filter(ready).count()
    }
}

#[derive(Clone)]
struct Client(Rc<RefCell<World>>);

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
struct Host {
    duty: Duty<Client>,
    rank: usize,
}

fn catalog(scale: Scale) -> Arc<Catalog> {
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

fn scale() -> Scale {
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

struct Site {
    clock: Mock,
    world: Rc<RefCell<World>>,
    store: Lease,
    hosts: Vec<Host>,
    catalog: Arc<Catalog>,
    work: f64,
}

impl Site {
    fn new(each: usize, hosts: usize) -> Self {
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

    fn outlook(&self, rank: usize) -> Outlook {
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

    fn step_with(&mut self, index: usize, outlook: &Outlook) {
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
    fn run(&mut self, time: Duration) -> usize {
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

    fn count(&self, is_spot: bool) -> usize {
        let world = self.world.borrow();
        DOMAINS
            .iter()
            .map(|domain| world.count(domain, is_spot))
            .sum()
    }

    fn calls(&self) -> usize {
        self.world.borrow().calls.len()
    }
}

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// The dear ones of the start are replaced by cheap ones, never with fewer serving than are needed, and
/// then nothing is ordered any more.
#[test]
fn dear_ones_are_replaced_and_the_numbers_settle() {
    let mut site = Site::new(15, 1);
    let least = site.run(seconds(60));
    assert!(least >= 16, "{least}");
    assert!(site.count(false) <= 9, "{}", site.count(false));
    assert!(site.count(true) >= 12);
    let calls = site.calls();
    site.run(seconds(60));
    assert!(
        site.calls() - calls <= 6,
        "{} calls without a change",
        site.calls() - calls
    );
}

/// Nothing is ordered before demand is known, nor on a partial or old view of it.
#[test]
fn nothing_is_ordered_on_a_partial_view() {
    let mut site = Site::new(15, 1);
    for _ in 0..60 {
        site.clock.advance(STEP);
        let partial = Outlook {
            heard: 3,
            ..site.outlook(0)
        };
        site.step_with(0, &partial);
        let now = site.clock.now();
        let old = Outlook {
            gathered_at: now.checked_sub(seconds(3)),
            ..site.outlook(0)
        };
        site.step_with(0, &old);
        let idle = Outlook {
            demand: HashMap::new(),
            ..site.outlook(0)
        };
        site.step_with(0, &idle);
    }
    assert_eq!(site.calls(), 0);
}

/// A failure domain's withdrawable ones go at once, then those of a second one before the others are
/// back: the work is still served, and others are ordered at once.
#[test]
fn withdrawn_ones_are_ordered_again_at_once() {
    let mut site = Site::new(15, 1);
    site.run(seconds(60));
    let before = site.count(true);
    site.world.borrow_mut().withdraw("a");
    assert!(site.run(seconds(2)) >= 12);
    site.world.borrow_mut().withdraw("b");
    let least = site.run(seconds(8));
    assert!(least >= 9, "{least} left for work of 8");
    assert!(
        site.count(true) >= before,
        "{} of {before}",
        site.count(true)
    );
}

/// None are to be had where they were withdrawn: the other failure domains get more; none anywhere:
/// others fill in. It doesn't ask more often than each few seconds.
#[test]
fn others_fill_in_while_none_are_to_be_had() {
    let mut site = Site::new(15, 1);
    site.run(seconds(60));
    let (stable, calls) = (site.count(false), site.calls());
    let others = site.world.borrow().count("b", true);
    site.world.borrow_mut().denied.insert("a".into());
    site.world.borrow_mut().withdraw("a");
    site.run(seconds(10));
    assert!(site.world.borrow().count("b", true) > others);
    for domain in ["b", "c"] {
        site.world.borrow_mut().denied.insert(domain.into());
        site.world.borrow_mut().withdraw(domain);
    }
    site.run(seconds(10));
    assert!(site.count(false) > stable);
    assert!(site.world.borrow().serving() >= 8);
    assert!(site.calls() - calls <= 40, "{} calls", site.calls() - calls);
    site.world.borrow_mut().denied.clear();
    site.run(seconds(60));
    assert!(
        site.count(false) <= stable + 3,
        "{} of {stable}",
        site.count(false)
    );
}

/// While the platform refuses or is silent, the numbers stay or come late; afterwards they are right.
#[rstest]
#[case::busy(Answer::Busy)]
#[case::silent(Answer::Silent(Duration::from_secs(3600)))]
#[case::late(Answer::Silent(Duration::from_secs(9)))]
fn orders_are_repeated_until_they_show(#[case] answer: Answer) {
    let mut site = Site::new(15, 1);
    site.world.borrow_mut().answer = answer;
    assert!(site.run(seconds(20)) >= 16);
    site.world.borrow_mut().answer = Answer::Sound;
    assert!(site.run(seconds(90)) >= 16);
    assert!(site.count(false) <= 9, "{}", site.count(false));
    assert!(site.count(true) >= 12);
}

/// An order carried out after newer ones changes the numbers back; they are ordered again.
#[test]
fn an_order_carried_out_after_newer_ones_is_mended() {
    let mut site = Site::new(15, 1);
    site.run(seconds(60));
    let before = site.count(true);
    site.world.borrow_mut().set("a", true, 0, BOOT);
    site.run(seconds(10));
    assert!(site.count(true) >= before);
}

/// A holder that freezes while it sends stops: its lease has ended. The next one waits for two leases,
/// and no token is followed by a lower one.
#[test]
fn a_frozen_holder_sends_nothing_on_an_ended_lease() {
    let mut site = Site::new(15, 2);
    site.world.borrow_mut().freeze = Some(seconds(9));
    site.run(seconds(5));
    {
        let world = site.world.borrow();
        let (first, _, _, _) = &world.calls[0];
        let late = world
            .calls
            .iter()
            .filter(|(at, by, _, _)| *by == world.calls[0].1 && at.saturating_sub(*first) > LEASE);
        assert_eq!(late.count(), 0);
    }
    // The first host stays away, and the other becomes the first in rank.
    site.hosts.remove(0);
    site.hosts[0].rank = 0;
    site.run(seconds(60));
    let world = site.world.borrow();
    let tokens: Vec<_> = world
        .calls
        .iter()
        .map(|(_, by, _, _)| by.fencing_token)
        .collect();
    assert!(tokens.is_sorted(), "{tokens:?}");
    let takeover = world
        .calls
        .windows(2)
        .find(|pair| pair[0].1.holder != pair[1].1.holder);
    let [before, after] = takeover.unwrap() else {
        unreachable!()
    };
    assert!(after.0 - before.0 >= LEASE);
    let changes = world
        .calls
        .windows(2)
        .filter(|pair| pair[0].1.holder != pair[1].1.holder);
    assert_eq!(changes.count(), 1);
}

/// Demand of 1.9 times for 2.8 s of each 14 s: what serves is never below the peak, and the numbers
/// don't swing.
#[test]
fn numbers_do_not_swing_with_the_mix() {
    let mut site = Site::new(15, 1);
    let mut late_calls = 0;
    for turn in 0..12 {
        let calls = site.calls();
        site.work = 15.0;
        let peak = site.run(Duration::from_millis(3000));
        site.work = 8.0;
        let rest = site.run(Duration::from_millis(11_000));
        assert!(peak.min(rest) >= 15, "turn {turn}: {peak}, {rest}");
        if turn >= 6 {
            late_calls += site.calls() - calls;
        }
    }
    assert!(late_calls <= 24, "{late_calls} orders in six turns");
}

/// A range that contains no number orders nothing.
#[test]
fn an_inverted_range_orders_nothing() {
    let mut site = Site::new(15, 1);
    site.catalog = catalog(Scale {
        min: 9,
        max: 2,
        ..scale()
    });
    site.run(seconds(20));
    assert_eq!(site.calls(), 0);
}
