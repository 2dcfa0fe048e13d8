//! Orders: holders killed, paused past their lease and woken, cut off, racing; lost and late
//! answers; engines that check tokens and engines that do not.

mod event;

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use pistachiohall::clock::Clock;
use pistachiohall::clock::Mock;
use pistachiohall::fold::orders::Action;
use pistachiohall::fold::orders::Orders;
use pistachiohall::fold::orders::Record;
use pistachiohall::id::Incarnation;
use pistachiohall::id::Offset;
use pistachiohall::lease::Authority;
use pistachiohall::lease::Move;
use pistachiohall::log::Log;
use pistachiohall::log::memory::InMemory;
use pistachiohall::order::Order;
use pistachiohall::order::OrderState;
use pistachiohall::order::Step;
use pistachiohall::order::drive;
use pistachiohall::replay::Replica;
use pistachiohall::upstream::Load;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use uuid::Uuid;

use self::event::Append;
use self::event::Event;
use self::event::Send;
use super::Stateless;

const HOSTS: usize = 3;
const ENGINES: [(&str, bool); 2] = [("checks", true), ("ignores", false)];
const STREAM: &str = "orders.derby";

struct Host {
    incarnation: Incarnation,
    authority: Authority,
    fenced: BTreeSet<(Offset, usize)>,
    sent: BTreeSet<Offset>,
}

impl Host {
    fn new() -> Self {
        Host {
            incarnation: Uuid::now_v7(),
            authority: Authority::on(STREAM),
            fenced: BTreeSet::new(),
            sent: BTreeSet::new(),
        }
    }
}

#[derive(Default)]
struct Engine {
    checks_tokens: bool,
    highest: Offset,
    load: Load,
    done: BTreeSet<Offset>,
}

/// Hosts, engines and log, with the oracle in the engines.
pub struct World {
    clock: Mock,
    start: Instant,
    log: InMemory,
    truth: Replica<Orders>,
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    paused: Vec<(usize, Order)>,
    late: Vec<Record>,
    dead: BTreeSet<Incarnation>,
    lease: Option<(Offset, Incarnation)>,
    authorized: BTreeSet<Offset>,
}

impl World {
    fn append(&mut self, record: Record, append: Append) -> Option<Offset> {
        let data = serde_json::to_value(&record).unwrap();
        match append {
            Append::Out => None,
            Append::Late => {
                self.late.push(record);
                None
            }
            Append::Answers | Append::LosesAnswer => {
                let offset = self.log.append(STREAM, &data).unwrap();
                self.truth.poll(&self.log, Duration::ZERO).unwrap();
                self.record(offset, &record);
                matches!(append, Append::Answers).then_some(offset)
            }
        }
    }

    /// The oracle's own view of who holds the lease, and of the intents written under it.
    fn record(&mut self, offset: Offset, record: &Record) {
        match record {
            Record::Lease {
                holder,
                predecessor,
                ..
            } if *predecessor == self.lease.map(|(token, _)| token) => {
                self.lease = Some((offset, *holder));
            }
            Record::Released { holder } if self.lease.is_some_and(|(_, held)| held == *holder) => {
                self.lease = None;
            }
            Record::Intent { holder, .. }
                if self.lease.is_some_and(|(_, held)| held == *holder) =>
            {
                self.authorized.insert(offset);
            }
            _ => {}
        }
    }

    fn token(&self, host: usize) -> Option<Offset> {
        let host = &self.hosts[host];
        host.authority.token(host.incarnation, self.clock.now())
    }

    fn lease(&mut self, host: usize, append: Append) {
        let now = self.clock.now();
        let one = &self.hosts[host];
        let Move::Take(predecessor) = one.authority.decide(one.incarnation, 0, now) else {
            return;
        };
        one.authority.note_append(now);
        let record = Record::Lease {
            holder: one.incarnation,
            host: "n".into(),
            peer: "127.0.0.1:1".parse().unwrap(),
            predecessor,
        };
        if let Some(offset) = self.append(record, append) {
            self.hosts[host].authority.note_offset(offset);
        }
    }

    fn intend(&mut self, host: usize, engine: usize, append: Append) {
        let Some(lease) = self.token(host) else {
            return;
        };
        let (name, checks_tokens) = ENGINES[engine];
        let record = Record::Intent {
            lease,
            holder: self.hosts[host].incarnation,
            upstream: name.into(),
            action: Action::Version("v".into()),
            checks_tokens,
        };
        self.append(record, append);
    }

    fn drive(&mut self, host: usize, engine: usize, send: Send, append: Append) {
        let Some(token) = self.token(host) else {
            return;
        };
        let one = &self.hosts[host];
        let orders = one.authority.replica().with(Orders::clone);
        let Some(open) = orders.open.get(ENGINES[engine].0) else {
            return;
        };
        let view = OrderState {
            open,
            own: one.incarnation,
            now: self.clock.now() + Duration::from_secs(100),
            opened: self.clock.now(),
            acknowledged: Some(self.start),
            engine: Some(&self.engines[engine].load),
            boot_id: None,
            sent: one.sent.contains(&open.intent).then_some(self.start),
            fenced: one.fenced.contains(&(open.intent, engine)),
        };
        let intent = open.intent;
        match drive(&view) {
            Step::Wait => {}
            Step::Send => {
                let action = Some(open.action.clone());
                let order = Order {
                    token,
                    intent: Some(intent),
                    action,
                };
                self.hosts[host].sent.insert(intent);
                self.send(engine, order, send);
            }
            Step::Fence => {
                let order = Order {
                    token,
                    intent: None,
                    action: None,
                };
                if self.send(engine, order, send) {
                    self.hosts[host].fenced.insert((intent, engine));
                }
            }
            Step::Close(close) => {
                let record = Record::Closed {
                    lease: token,
                    intent,
                    close,
                };
                self.append(record, append);
            }
        }
    }

    fn poll(&self, host: usize) {
        let one = &self.hosts[host];
        let replica = one.authority.replica();
        replica.poll(&self.log, Duration::ZERO).unwrap();
        one.authority.decide(one.incarnation, 0, self.clock.now());
    }

    fn look(&mut self, host: usize, engine: usize, send: Send) {
        self.poll(host);
        self.lease(host, Append::Answers);
        self.poll(host);
        self.intend(host, engine, Append::Answers);
        self.poll(host);
        self.drive(host, engine, send, Append::Answers);
    }

    fn send(&mut self, engine: usize, order: Order, send: Send) -> bool {
        match send {
            Send::Arrives => self.obey(engine, &order),
            Send::Pauses => {
                self.paused.push((engine, order));
                false
            }
            Send::Lost => {
                self.obey(engine, &order);
                false
            }
        }
    }

    /// The engine and, in it, the oracle.
    fn obey(&mut self, place: usize, order: &Order) -> bool {
        let name = ENGINES[place].0;
        let engine = &mut self.engines[place];
        if engine.checks_tokens && order.token < engine.highest {
            return false;
        }
        engine.highest = engine.highest.max(order.token);
        let Some(intent) = order.intent else {
            return true;
        };
        if engine.load.busy_with == Some(intent) || engine.done.contains(&intent) {
            return true;
        }
        assert!(
            engine.load.busy_with.is_none(),
            "{name} got conflicting orders"
        );
        let is_open = self.truth.with(|orders| {
            let open = orders.open.get(name);
            open.is_some_and(|open| open.intent == intent)
        });
        assert!(
            is_open,
            "{name} obeyed order {intent}, which is closed or void"
        );
        let is_authorized = self.authorized.contains(&intent);
        assert!(
            is_authorized,
            "{name} obeyed order {intent}, given without authority"
        );
        engine.load.busy_with = Some(intent);
        true
    }

    fn finish(&mut self, place: usize) {
        let engine = &mut self.engines[place];
        if let Some(intent) = engine.load.busy_with.take() {
            engine.load.last_order = Some(intent);
            engine.done.insert(intent);
        }
    }

    fn kill(&mut self, place: usize) {
        let old = std::mem::replace(&mut self.hosts[place], Host::new());
        self.dead.insert(old.incarnation);
        let is_paused_ones = |(_, order): &(usize, Order)| {
            order
                .intent
                .is_some_and(|intent| old.sent.contains(&intent))
                || order.intent.is_none()
        };
        self.paused.retain(|one| !is_paused_ones(one));
    }

    fn release_gone(&mut self, host: usize, append: Append) {
        if self.token(host).is_none() {
            return;
        }
        let orders = self.hosts[host].authority.replica().with(Orders::clone);
        let gone = orders
            .bound
            .values()
            .find(|holder| self.dead.contains(holder));
        if let Some(holder) = gone.copied() {
            self.append(Record::Released { holder }, append);
        }
    }
}

impl StateMachineTest for World {
    type SystemUnderTest = World;
    type Reference = Stateless<Event>;

    fn init_test(_state: &()) -> World {
        let clock = Mock::new(SystemTime::UNIX_EPOCH);
        World {
            start: clock.now(),
            clock,
            log: InMemory::default(),
            truth: Replica::new(STREAM),
            hosts: (0..HOSTS).map(|_| Host::new()).collect(),
            engines: ENGINES
                .iter()
                .map(|(_, checks_tokens)| Engine {
                    checks_tokens: *checks_tokens,
                    ..Engine::default()
                })
                .collect(),
            paused: Vec::new(),
            late: Vec::new(),
            dead: BTreeSet::new(),
            lease: None,
            authorized: BTreeSet::new(),
        }
    }

    fn apply(mut world: World, _state: &(), transition: Event) -> World {
        match transition {
            Event::Lease { host, append } => world.lease(host, append),
            Event::Poll(host) => world.poll(host),
            Event::Look { host, engine, send } => world.look(host, engine, send),
            Event::Intend {
                host,
                engine,
                append,
            } => world.intend(host, engine, append),
            Event::Drive {
                host,
                engine,
                send,
                append,
            } => world.drive(host, engine, send, append),
            Event::Wake => {
                for (engine, order) in std::mem::take(&mut world.paused) {
                    world.obey(engine, &order);
                }
            }
            Event::Finish(engine) => world.finish(engine),
            Event::CrashEngine(engine) => {
                world.engines[engine].load = Load {
                    boot_id: Uuid::now_v7(),
                    ..Load::default()
                };
            }
            Event::Kill(host) => world.kill(host),
            Event::ReleaseGone { host, append } => world.release_gone(host, append),
            Event::DeliverLate => {
                for record in std::mem::take(&mut world.late) {
                    world.append(record, Append::Answers);
                }
            }
            Event::Pass(seconds) => world.clock.advance(Duration::from_secs(seconds)),
        }
        world
    }
}

proptest! {
    #![proptest_config(super::many())]

    #[test]
    fn no_order_takes_effect_without_authority_or_beside_another(
        (state, transitions, seen) in Stateless::<Event>::sequential_strategy(1..150)
    ) {
        World::test_sequential(super::many(), state, transitions, seen);
    }
}

#[test]
fn the_world_reaches_orders_that_take_effect() {
    let mut world = World::init_test(&());
    world.hosts[0]
        .authority
        .replica()
        .poll(&world.log, Duration::ZERO)
        .unwrap();
    for step in [
        Event::Poll(0),
        Event::Lease {
            host: 0,
            append: Append::Answers,
        },
        Event::Poll(0),
        Event::Intend {
            host: 0,
            engine: 1,
            append: Append::Answers,
        },
        Event::Poll(0),
        Event::Drive {
            host: 0,
            engine: 1,
            send: Send::Arrives,
            append: Append::Answers,
        },
        Event::Finish(1),
        Event::Drive {
            host: 0,
            engine: 1,
            send: Send::Arrives,
            append: Append::Answers,
        },
    ] {
        world = World::apply(world, &(), step);
    }
    assert_eq!(world.engines[1].done.len(), 1);
    assert_eq!(world.truth.with(|orders| orders.done), 1);
}
