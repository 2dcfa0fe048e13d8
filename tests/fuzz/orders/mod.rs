//! Orders while lease holders are killed, race each other, or are paused and write after their lease
//! has expired. Appends and responses are lost or delayed. One engine checks fencing tokens, the
//! other doesn't.

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
use pistachiohall::lease::Decision;
use pistachiohall::log::Log;
use pistachiohall::log::memory::InMemory;
use pistachiohall::order::Order;
use pistachiohall::order::OrderState;
use pistachiohall::order::Step;
use pistachiohall::order::next_step;
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
    highest_token: Offset,
    load: Load,
    done: BTreeSet<Offset>,
}

/// Hosts, engines and log. The oracle checks each order that an engine obeys.
pub struct World {
    clock: Mock,
    start: Instant,
    log: InMemory,
    authoritative: Replica<Orders>,
    hosts: Vec<Host>,
    engines: Vec<Engine>,
    paused_orders: Vec<(usize, Order)>,
    delayed_records: Vec<Record>,
    killed_hosts: BTreeSet<Incarnation>,
    lease: Option<(Offset, Incarnation)>,
    authorized_intents: BTreeSet<Offset>,
}

impl World {
    fn append(&mut self, record: Record, append: Append) -> Option<Offset> {
        let data = serde_json::to_value(&record).unwrap();
        match append {
            Append::Unavailable => None,
            Append::Delayed => {
                self.delayed_records.push(record);
                None
            }
            Append::Acknowledged | Append::ResponseLost => {
                let offset = self.log.append(STREAM, &data).unwrap();
                self.authoritative.poll(&self.log, Duration::ZERO).unwrap();
                self.update_oracle(offset, &record);
                matches!(append, Append::Acknowledged).then_some(offset)
            }
        }
    }

    /// Updates the oracle's view of the lease holder and of the intents written under its lease.
    fn update_oracle(&mut self, offset: Offset, record: &Record) {
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
                self.authorized_intents.insert(offset);
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
        let host_state = &self.hosts[host];
        let Decision::Take(predecessor) =
            host_state.authority.decide(host_state.incarnation, 0, now)
        else {
            return;
        };
        host_state.authority.record_append(now);
        let record = Record::Lease {
            holder: host_state.incarnation,
            host: "n".into(),
            peer: "127.0.0.1:1".parse().unwrap(),
            predecessor,
        };
        if let Some(offset) = self.append(record, append) {
            self.hosts[host].authority.record_offset(offset);
        }
    }

    fn announce(&mut self, host: usize, engine: usize, append: Append) {
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

    fn advance(&mut self, host: usize, engine: usize, send: Send, append: Append) {
        let Some(token) = self.token(host) else {
            return;
        };
        let host_state = &self.hosts[host];
        let orders = host_state.authority.replica().with(Orders::clone);
        let Some(open) = orders.open.get(ENGINES[engine].0) else {
            return;
        };
        let state = OrderState {
            open,
            incarnation: host_state.incarnation,
            now: self.clock.now() + Duration::from_secs(100),
            opened_at: self.clock.now(),
            acknowledged_since: Some(self.start),
            engine: Some(&self.engines[engine].load),
            boot_id: None,
            sent_at: host_state.sent.contains(&open.intent).then_some(self.start),
            is_fenced: host_state.fenced.contains(&(open.intent, engine)),
        };
        let intent = open.intent;
        match next_step(&state) {
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
        let host_state = &self.hosts[host];
        let replica = host_state.authority.replica();
        replica.poll(&self.log, Duration::ZERO).unwrap();
        host_state
            .authority
            .decide(host_state.incarnation, 0, self.clock.now());
    }

    fn step(&mut self, host: usize, engine: usize, send: Send) {
        self.poll(host);
        self.lease(host, Append::Acknowledged);
        self.poll(host);
        self.announce(host, engine, Append::Acknowledged);
        self.poll(host);
        self.advance(host, engine, send, Append::Acknowledged);
    }

    fn send(&mut self, engine: usize, order: Order, send: Send) -> bool {
        match send {
            Send::Delivered => self.receive_order(engine, &order),
            Send::Paused => {
                self.paused_orders.push((engine, order));
                false
            }
            Send::ResponseLost => {
                self.receive_order(engine, &order);
                false
            }
        }
    }

    /// Has an engine obey or refuse an order, and checks with the oracle that it may obey.
    fn receive_order(&mut self, index: usize, order: &Order) -> bool {
        let name = ENGINES[index].0;
        let engine = &mut self.engines[index];
        if engine.checks_tokens && order.token < engine.highest_token {
            return false;
        }
        engine.highest_token = engine.highest_token.max(order.token);
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
        let is_open = self.authoritative.with(|orders| {
            let open = orders.open.get(name);
            open.is_some_and(|open| open.intent == intent)
        });
        assert!(
            is_open,
            "{name} obeyed order {intent}, which is closed or void"
        );
        let is_authorized = self.authorized_intents.contains(&intent);
        assert!(
            is_authorized,
            "{name} obeyed order {intent}, announced without authority"
        );
        engine.load.busy_with = Some(intent);
        true
    }

    fn finish(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        if let Some(intent) = engine.load.busy_with.take() {
            engine.load.last_order = Some(intent);
            engine.done.insert(intent);
        }
    }

    fn kill(&mut self, index: usize) {
        let old = std::mem::replace(&mut self.hosts[index], Host::new());
        self.killed_hosts.insert(old.incarnation);
        let is_of_killed_host = |(_, order): &(usize, Order)| {
            order
                .intent
                .is_some_and(|intent| old.sent.contains(&intent))
                || order.intent.is_none()
        };
        self.paused_orders
            .retain(|paused| !is_of_killed_host(paused));
    }

    fn release_departed(&mut self, host: usize, append: Append) {
        if self.token(host).is_none() {
            return;
        }
        let orders = self.hosts[host].authority.replica().with(Orders::clone);
        let departed = orders
            .bound
            .values()
            .find(|holder| self.killed_hosts.contains(holder));
        if let Some(holder) = departed.copied() {
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
            authoritative: Replica::new(STREAM),
            hosts: (0..HOSTS).map(|_| Host::new()).collect(),
            engines: ENGINES
                .iter()
                .map(|(_, checks_tokens)| Engine {
                    checks_tokens: *checks_tokens,
                    ..Engine::default()
                })
                .collect(),
            paused_orders: Vec::new(),
            delayed_records: Vec::new(),
            killed_hosts: BTreeSet::new(),
            lease: None,
            authorized_intents: BTreeSet::new(),
        }
    }

    fn apply(mut world: World, _state: &(), transition: Event) -> World {
        match transition {
            Event::Lease { host, append } => world.lease(host, append),
            Event::Poll(host) => world.poll(host),
            Event::Step { host, engine, send } => world.step(host, engine, send),
            Event::Announce {
                host,
                engine,
                append,
            } => world.announce(host, engine, append),
            Event::Advance {
                host,
                engine,
                send,
                append,
            } => world.advance(host, engine, send, append),
            Event::ResumePaused => {
                for (engine, order) in std::mem::take(&mut world.paused_orders) {
                    world.receive_order(engine, &order);
                }
            }
            Event::FinishOrder(engine) => world.finish(engine),
            Event::CrashEngine(engine) => {
                world.engines[engine].load = Load {
                    boot_id: Uuid::now_v7(),
                    ..Load::default()
                };
            }
            Event::KillHost(host) => world.kill(host),
            Event::ReleaseDeparted { host, append } => world.release_departed(host, append),
            Event::DeliverDelayed => {
                for record in std::mem::take(&mut world.delayed_records) {
                    world.append(record, Append::Acknowledged);
                }
            }
            Event::PassTime(seconds) => world.clock.advance(Duration::from_secs(seconds)),
        }
        world
    }
}

proptest! {
    #![proptest_config(super::many())]

    #[test]
    fn no_order_takes_effect_without_authority_or_along_with_another(
        (state, transitions, seen) in Stateless::<Event>::sequential_strategy(1..150)
    ) {
        World::test_sequential(super::many(), state, transitions, seen);
    }
}

#[test]
fn an_order_that_is_announced_and_sent_takes_effect() {
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
            append: Append::Acknowledged,
        },
        Event::Poll(0),
        Event::Announce {
            host: 0,
            engine: 1,
            append: Append::Acknowledged,
        },
        Event::Poll(0),
        Event::Advance {
            host: 0,
            engine: 1,
            send: Send::Delivered,
            append: Append::Acknowledged,
        },
        Event::FinishOrder(1),
        Event::Advance {
            host: 0,
            engine: 1,
            send: Send::Delivered,
            append: Append::Acknowledged,
        },
    ] {
        world = World::apply(world, &(), step);
    }
    assert_eq!(world.engines[1].done.len(), 1);
    assert_eq!(world.authoritative.with(|orders| orders.done), 1);
}
