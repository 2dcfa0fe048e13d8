//! One-time calls under kills, departures of hosts, partitions, and lost or late messages.
//!
//! A call must run at most once, and one that was reported as `not-run` must never have run.

mod log;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use pistachiohall::clock::Clock;
use pistachiohall::clock::Mock;
use pistachiohall::fold::claims::Claim;
use pistachiohall::fold::claims::Held;
use pistachiohall::id::Incarnation;
use pistachiohall::inherit::Inherited;
use pistachiohall::log::memory::InMemory;
use pistachiohall::once::CallName;
use pistachiohall::once::Ledger;
use pistachiohall::once::OneTimeKey;
use pistachiohall::once::Ticket;
use pistachiohall::once::claim;
use pistachiohall::once::claim::Queue;
use pistachiohall::once::claim::Writer;
use pistachiohall::once::run;
use pistachiohall::once::run::Environment;
use pistachiohall::once::run::OneTimeCall;
use pistachiohall::once::ticket;
use pistachiohall::once::ticket::Issuer;
use pistachiohall::problem::Outcome;
use pistachiohall::problem::Problem;
use pistachiohall::wire::Reply;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use uuid::NoContext;
use uuid::Timestamp;
use uuid::Uuid;

use self::log::Append;
use self::log::HostLog;
use self::log::Stream;
use super::Stateless;
use super::Transition;

const HOSTS: usize = 3;
const KEYS: usize = 4;
const RETENTION: Duration = Duration::from_secs(3600);
const STREAM: &str = "claims.0";
const PEER_ADDRESS: &str = "127.0.0.1:1";

/// Behavior of the upstream, or of the host that sends the call to it, on a run.
#[derive(Debug, Clone, Copy)]
enum Run {
    Responds,
    LosesResponse,
    Refuses,
    HostCrashes,
    HostLeaves,
    SameCallAt(usize),
}

/// Behavior of the network on a relayed call.
#[derive(Debug, Clone, Copy)]
enum Relay {
    Responds,
    LosesResponse,
    Late,
    Partitioned,
}

#[derive(Debug, Clone)]
enum Event {
    Call {
        host: usize,
        key: usize,
        content: u8,
        faults: (Append, Relay, Run),
    },
    Issue {
        host: usize,
        key: usize,
    },
    Kill(usize),
    Leave(usize),
    SetLogPartition(usize, bool),
    DeliverLate,
    Advance(u64),
}

struct Host {
    incarnation: Incarnation,
    queue: Queue,
    ledger: Ledger,
    issuer: Issuer,
    inherited: Inherited,
    is_log_partitioned: Cell<bool>,
}

impl Host {
    fn new(now: Instant) -> Self {
        let incarnation = Uuid::now_v7();
        Host {
            incarnation,
            queue: Queue::new(0),
            ledger: Ledger::default(),
            issuer: Issuer::new(incarnation, now),
            inherited: Inherited::default(),
            is_log_partitioned: Cell::new(false),
        }
    }
}

type LateRelay = (Incarnation, OneTimeCall, OneTimeKey);

/// Hosts, log and upstream, with the runs that the upstream has recorded for the oracle.
struct World {
    clock: Mock,
    stream: Arc<Stream>,
    hosts: Vec<RefCell<Rc<Host>>>,
    keys: RefCell<HashMap<usize, OneTimeKey>>,
    late_relays: RefCell<Vec<LateRelay>>,
    runs: RefCell<HashMap<String, Vec<u64>>>,
    depth: Cell<usize>,
}

/// One request at one host.
struct Request<'a> {
    world: &'a World,
    host: Rc<Host>,
    index: usize,
    call: OneTimeCall,
    key: OneTimeKey,
    faults: (Append, Relay, Run),
}

fn name(key: OneTimeKey) -> String {
    match key {
        OneTimeKey::Key(key) => key.to_string(),
        OneTimeKey::Ticket(ticket) => ticket.to_string(),
    }
}

impl World {
    fn new() -> Self {
        let start = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000);
        let clock = Mock::new(start);
        let host = || RefCell::new(Rc::new(Host::new(clock.now())));
        World {
            hosts: (0..HOSTS).map(|_| host()).collect(),
            stream: Arc::new(Stream {
                clock: clock.clone(),
                memory: InMemory::default(),
                appended: Mutex::default(),
                late: Mutex::default(),
            }),
            keys: RefCell::default(),
            late_relays: RefCell::default(),
            runs: RefCell::default(),
            depth: Cell::new(0),
            clock,
        }
    }

    fn host(&self, index: usize) -> Rc<Host> {
        self.hosts[index].borrow().clone()
    }

    fn key(&self, index: usize) -> OneTimeKey {
        let new_key = || {
            let now = self
                .clock
                .wall()
                .duration_since(SystemTime::UNIX_EPOCH)
                .unwrap();
            let stamp = Timestamp::from_unix(NoContext, now.as_secs(), now.subsec_nanos());
            OneTimeKey::Key(Uuid::new_v7(stamp))
        };
        *self.keys.borrow_mut().entry(index).or_insert_with(new_key)
    }

    fn call(
        &self,
        index: usize,
        key: OneTimeKey,
        content: u8,
        faults: (Append, Relay, Run),
    ) -> Reply {
        let call = OneTimeCall {
            scope: "desk".into(),
            digest: u64::from(content),
        };
        let mut request = Request {
            world: self,
            host: self.host(index),
            index,
            call: call.clone(),
            key,
            faults,
        };
        let reply = run::run(&mut request, &call, key);
        self.check(&reply, key, &call);
        reply
    }

    /// Checks a reply against the runs that the upstream has recorded.
    fn check(&self, reply: &Reply, key: OneTimeKey, call: &OneTimeCall) {
        let runs = self.runs.borrow();
        let ran = runs.get(&name(key)).cloned().unwrap_or_default();
        assert!(ran.len() <= 1, "{key:?} ran {} times", ran.len());
        match (reply.outcome, reply.status) {
            (Outcome::NotRun, 422) => assert!(!ran.contains(&call.digest), "{reply:?}"),
            (Outcome::NotRun, _) => {
                assert!(ran.is_empty(), "reported as not-run, but it ran: {reply:?}")
            }
            (Outcome::Ran, 200) => {
                assert_eq!(ran, [call.digest]);
                assert_eq!(
                    *reply.body,
                    *call.digest.to_string().as_bytes(),
                    "response of another call"
                );
            }
            (Outcome::Ran | Outcome::Unknown, _) => {}
        }
    }

    fn restart(&self, index: usize) {
        let host = Host::new(self.clock.now());
        *self.hosts[index].borrow_mut() = Rc::new(host);
    }

    /// Closes a host's ledger and hands it over; the process stays until it is killed.
    fn leave(&self, index: usize) {
        let leaving = self.host(index);
        let calls = leaving.ledger.close();
        for other in (0..HOSTS).filter(|other| *other != index) {
            let (incarnation, secret) = (leaving.incarnation, leaving.issuer.secret());
            self.host(other)
                .inherited
                .insert(incarnation, secret, calls.clone());
        }
    }

    fn find(&self, incarnation: Incarnation) -> Option<usize> {
        (0..HOSTS).find(|index| self.host(*index).incarnation == incarnation)
    }

    fn run_relayed(
        &self,
        to: Incarnation,
        call: &OneTimeCall,
        key: OneTimeKey,
        run: Run,
    ) -> Option<Reply> {
        let index = self.find(to)?;
        let mut request = Request {
            world: self,
            host: self.host(index),
            index,
            call: call.clone(),
            key,
            faults: (Append::Responds, Relay::Responds, run),
        };
        let name = match key {
            OneTimeKey::Key(key) => CallName::Key(key),
            OneTimeKey::Ticket(ticket) => CallName::Ticket(ticket.number),
        };
        Some(run::run_own(&mut request, call, name))
    }

    fn deliver_late(&self) {
        for data in std::mem::take(&mut *self.stream.late.lock().unwrap()) {
            self.stream.append(&data);
        }
        for (to, call, key) in self.late_relays.take() {
            self.run_relayed(to, &call, key, Run::Responds);
        }
    }

    fn advance(&self, seconds: u64) {
        self.clock.advance(Duration::from_secs(seconds));
        self.stream.trim();
    }

    /// Sends a call through another host while the same call is in progress.
    fn interleave(&self, index: usize, key: OneTimeKey, call: &OneTimeCall) {
        if self.depth.get() == 0 {
            self.depth.set(1);
            let faults = (Append::Responds, Relay::Responds, Run::Responds);
            self.call(index % HOSTS, key, call.digest as u8, faults);
            self.depth.set(0);
        }
    }
}

impl Environment for Request<'_> {
    fn incarnation(&self) -> Incarnation {
        self.host.incarnation
    }

    fn now(&self) -> Instant {
        self.world.clock.now()
    }

    fn ledger(&self) -> &Ledger {
        &self.host.ledger
    }

    fn inherited(&self) -> &Inherited {
        &self.host.inherited
    }

    fn same_call_timeout(&self) -> Duration {
        Duration::ZERO
    }

    fn check_key(&self, key: Uuid) -> Result<(), claim::KeyError> {
        claim::check_key(key, RETENTION, &self.world.clock)
    }

    fn check_ticket(&self, ticket: &Ticket, scope: &str) -> Result<(), ticket::Fault> {
        self.host.issuer.check(ticket, scope, self.now())
    }

    fn claim(&mut self, claim: Claim) -> Result<Held, claim::Failure> {
        let log = HostLog {
            stream: Arc::clone(&self.world.stream),
            append: self.faults.0,
            is_partitioned: self.host.is_log_partitioned.get(),
        };
        let pending = self.host.queue.submit(claim)?;
        let writer = Writer::grouping(self.host.incarnation, PEER_ADDRESS.parse().unwrap());
        self.host.queue.write_once(&log, writer, Duration::ZERO);
        if let Append::SameCallAt(index) = self.faults.0 {
            self.world.interleave(index, self.key, &self.call);
        }
        let replica = self.host.queue.replica();
        let _ = replica.poll(&log, Duration::ZERO);
        let verdict = replica.with(|state| pending.verdict(state));
        verdict.unwrap_or(Err(claim::Failure::TimedOut))
    }

    fn relay(&mut self, to: Incarnation, _hint: Option<SocketAddr>, key: OneTimeKey) -> Reply {
        let unknown = || Problem::unknown("not reached").into();
        let reply = match self.faults.1 {
            Relay::Partitioned => None,
            Relay::Late => {
                let late = (to, self.call.clone(), key);
                self.world.late_relays.borrow_mut().push(late);
                None
            }
            Relay::Responds => self.world.run_relayed(to, &self.call, key, self.faults.2),
            Relay::LosesResponse => {
                self.world.run_relayed(to, &self.call, key, self.faults.2);
                None
            }
        };
        reply.unwrap_or_else(unknown)
    }

    fn execute(&mut self) -> Reply {
        if let Run::Refuses = self.faults.2 {
            return Problem::not_run(503, "refused", "by the upstream").into();
        }
        let runs = &self.world.runs;
        runs.borrow_mut()
            .entry(name(self.key))
            .or_default()
            .push(self.call.digest);
        match self.faults.2 {
            Run::LosesResponse => return Problem::unknown("response lost").into(),
            Run::HostCrashes => {
                self.world.restart(self.index);
                return Problem::unknown("the host crashed").into();
            }
            Run::HostLeaves => self.world.leave(self.index),
            Run::SameCallAt(index) => self.world.interleave(index, self.key, &self.call),
            Run::Responds | Run::Refuses => {}
        }
        Reply::ran(200, "text/plain", self.call.digest.to_string().into_bytes())
    }
}

impl Transition for Event {
    fn any() -> BoxedStrategy<Event> {
        let host = 0..HOSTS;
        let run = prop_oneof![
            4 => Just(Run::Responds),
            1 => Just(Run::LosesResponse),
            1 => Just(Run::Refuses),
            1 => Just(Run::HostCrashes),
            1 => Just(Run::HostLeaves),
            1 => host.clone().prop_map(Run::SameCallAt),
        ];
        let append = prop_oneof![
            4 => Just(Append::Responds),
            1 => Just(Append::LosesResponse),
            1 => Just(Append::Late),
            1 => Just(Append::Outage),
            1 => host.clone().prop_map(Append::SameCallAt),
        ];
        let relay = prop_oneof![
            4 => Just(Relay::Responds),
            1 => Just(Relay::LosesResponse),
            1 => Just(Relay::Late),
            1 => Just(Relay::Partitioned),
        ];
        let call = (host.clone(), 0..KEYS, 0..2u8, (append, relay, run));
        prop_oneof![
            12 => call.prop_map(|(host, key, content, faults)| {
                Event::Call { host, key, content, faults }
            }),
            2 => (host.clone(), 0..KEYS).prop_map(|(host, key)| Event::Issue { host, key }),
            1 => host.clone().prop_map(Event::Kill),
            1 => host.clone().prop_map(Event::Leave),
            1 => (host, any::<bool>()).prop_map(|(host, partitioned)| Event::SetLogPartition(host, partitioned)),
            2 => Just(Event::DeliverLate),
            1 => prop_oneof![Just(60u64), Just(1700), Just(3000), Just(50_000)].prop_map(Event::Advance),
        ]
        .boxed()
    }
}

impl StateMachineTest for World {
    type SystemUnderTest = World;
    type Reference = Stateless<Event>;

    fn init_test(_state: &()) -> World {
        World::new()
    }

    fn apply(world: World, _state: &(), transition: Event) -> World {
        match transition {
            Event::Call {
                host,
                key,
                content,
                faults,
            } => {
                let key = world.key(key);
                world.call(host, key, content, faults);
            }
            Event::Issue { host, key } => {
                let ticket = world.host(host).issuer.issue("desk", world.clock.now());
                world
                    .keys
                    .borrow_mut()
                    .entry(key)
                    .or_insert(OneTimeKey::Ticket(ticket));
            }
            Event::Kill(index) => world.restart(index),
            Event::Leave(index) => world.leave(index),
            Event::SetLogPartition(index, partitioned) => {
                world.host(index).is_log_partitioned.set(partitioned)
            }
            Event::DeliverLate => world.deliver_late(),
            Event::Advance(seconds) => world.advance(seconds),
        }
        world
    }
}

proptest! {
    #![proptest_config(super::configuration())]

    #[test]
    fn calls_run_at_most_once_and_are_reported_as_not_run_only_if_they_never_ran(
        (state, transitions, seen_counter) in Stateless::<Event>::sequential_strategy(1..60)
    ) {
        World::test_sequential(super::configuration(), state, transitions, seen_counter);
    }
}
