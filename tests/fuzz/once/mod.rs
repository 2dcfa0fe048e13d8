//! One-time calls: claims, tickets, relays, kills, cuts, lost and late answers.

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
use self::log::Stream;
use self::log::Wire;
use super::Stateless;
use super::Transition;

const HOSTS: usize = 3;
const RIGHTS: usize = 4;
const RETENTION: Duration = Duration::from_secs(3600);
const STREAM: &str = "claims.0";
const PEER: &str = "127.0.0.1:1";

/// What the upstream, or the host in front of it, does with a run.
#[derive(Debug, Clone, Copy)]
enum Run {
    Answers,
    LosesAnswer,
    Refuses,
    HostDies,
    HostLeaves,
    SameCallAt(usize),
}

/// What the network does with a relay.
#[derive(Debug, Clone, Copy)]
enum Relay {
    Answers,
    LosesAnswer,
    Late,
    Cut,
}

#[derive(Debug, Clone)]
enum Event {
    Call {
        host: usize,
        right: usize,
        content: u8,
        faults: (Append, Relay, Run),
    },
    Issue {
        host: usize,
        right: usize,
    },
    Kill(usize),
    Leave(usize),
    CutLog(usize, bool),
    DeliverLate,
    Pass(u64),
}

struct Host {
    incarnation: Incarnation,
    desk: Queue,
    ledger: Ledger,
    issuer: Issuer,
    inherited: Inherited,
    cut: Cell<bool>,
}

impl Host {
    fn new(now: Instant) -> Self {
        let incarnation = Uuid::now_v7();
        Host {
            incarnation,
            desk: Queue::new(0),
            ledger: Ledger::default(),
            issuer: Issuer::new(incarnation, now),
            inherited: Inherited::default(),
            cut: Cell::new(false),
        }
    }
}

type LateRelay = (Incarnation, OneTimeCall, OneTimeKey);

/// Hosts, log and upstream, with the oracle's book of runs.
struct World {
    clock: Mock,
    stream: Arc<Stream>,
    hosts: Vec<RefCell<Rc<Host>>>,
    rights: RefCell<HashMap<usize, OneTimeKey>>,
    late_relays: RefCell<Vec<LateRelay>>,
    runs: RefCell<HashMap<String, Vec<u64>>>,
    depth: Cell<usize>,
}

/// One request at one host.
struct Request<'a> {
    world: &'a World,
    host: Rc<Host>,
    place: usize,
    matter: OneTimeCall,
    right: OneTimeKey,
    faults: (Append, Relay, Run),
}

fn name(right: OneTimeKey) -> String {
    match right {
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
            rights: RefCell::default(),
            late_relays: RefCell::default(),
            runs: RefCell::default(),
            depth: Cell::new(0),
            clock,
        }
    }

    fn host(&self, place: usize) -> Rc<Host> {
        self.hosts[place].borrow().clone()
    }

    fn right(&self, index: usize) -> OneTimeKey {
        let fresh = || {
            let now = self
                .clock
                .wall()
                .duration_since(SystemTime::UNIX_EPOCH)
                .unwrap();
            let stamp = Timestamp::from_unix(NoContext, now.as_secs(), now.subsec_nanos());
            OneTimeKey::Key(Uuid::new_v7(stamp))
        };
        *self.rights.borrow_mut().entry(index).or_insert_with(fresh)
    }

    fn call(
        &self,
        place: usize,
        right: OneTimeKey,
        content: u8,
        faults: (Append, Relay, Run),
    ) -> Reply {
        let matter = OneTimeCall {
            scope: "desk".into(),
            digest: u64::from(content),
        };
        let mut request = Request {
            world: self,
            host: self.host(place),
            place,
            matter: matter.clone(),
            right,
            faults,
        };
        let reply = run::run(&mut request, &matter, right);
        self.check(&reply, right, &matter);
        reply
    }

    /// The oracle: what was said must agree with what ran.
    fn check(&self, reply: &Reply, right: OneTimeKey, matter: &OneTimeCall) {
        let runs = self.runs.borrow();
        let ran = runs.get(&name(right)).cloned().unwrap_or_default();
        assert!(ran.len() <= 1, "{right:?} ran {} times", ran.len());
        match (reply.outcome, reply.status) {
            (Outcome::NotRun, 422) => assert!(!ran.contains(&matter.digest), "{reply:?}"),
            (Outcome::NotRun, _) => assert!(ran.is_empty(), "said not-run, but it ran: {reply:?}"),
            (Outcome::Ran, 200) => {
                assert_eq!(ran, [matter.digest]);
                assert_eq!(
                    *reply.body,
                    *matter.digest.to_string().as_bytes(),
                    "another's answer"
                );
            }
            (Outcome::Ran | Outcome::Unknown, _) => {}
        }
    }

    fn restart(&self, place: usize) {
        let fresh = Host::new(self.clock.now());
        *self.hosts[place].borrow_mut() = Rc::new(fresh);
    }

    /// Closes the ledger and hands it over; the process lingers until it is killed.
    fn leave(&self, place: usize) {
        let leaver = self.host(place);
        let calls = leaver.ledger.close();
        for other in (0..HOSTS).filter(|other| *other != place) {
            let (incarnation, secret) = (leaver.incarnation, leaver.issuer.secret());
            self.host(other)
                .inherited
                .take(incarnation, secret, calls.clone());
        }
    }

    fn find(&self, incarnation: Incarnation) -> Option<usize> {
        (0..HOSTS).find(|place| self.host(*place).incarnation == incarnation)
    }

    fn run_relayed(
        &self,
        to: Incarnation,
        matter: &OneTimeCall,
        right: OneTimeKey,
        run: Run,
    ) -> Option<Reply> {
        let place = self.find(to)?;
        let mut request = Request {
            world: self,
            host: self.host(place),
            place,
            matter: matter.clone(),
            right,
            faults: (Append::Answers, Relay::Answers, run),
        };
        let name = match right {
            OneTimeKey::Key(key) => CallName::Key(key),
            OneTimeKey::Ticket(ticket) => CallName::Ticket(ticket.number),
        };
        Some(run::run_own(&mut request, matter, name))
    }

    fn deliver_late(&self) {
        for data in std::mem::take(&mut *self.stream.late.lock().unwrap()) {
            self.stream.append(&data);
        }
        for (to, matter, right) in self.late_relays.take() {
            self.run_relayed(to, &matter, right, Run::Answers);
        }
    }

    fn pass(&self, seconds: u64) {
        self.clock.advance(Duration::from_secs(seconds));
        self.stream.trim();
    }

    /// Sends the same call through another host in the middle of one.
    fn interleave(&self, place: usize, right: OneTimeKey, matter: &OneTimeCall) {
        if self.depth.get() == 0 {
            self.depth.set(1);
            let faults = (Append::Answers, Relay::Answers, Run::Answers);
            self.call(place % HOSTS, right, matter.digest as u8, faults);
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

    fn patience(&self) -> Duration {
        Duration::ZERO
    }

    fn check_key(&self, key: Uuid) -> Result<(), claim::KeyError> {
        claim::check_key(key, RETENTION, &self.world.clock)
    }

    fn check_ticket(&self, ticket: &Ticket, scope: &str) -> Result<(), ticket::Fault> {
        self.host.issuer.check(ticket, scope, self.now())
    }

    fn claim(&mut self, claim: Claim) -> Result<Held, claim::Failure> {
        let wire = Wire {
            stream: Arc::clone(&self.world.stream),
            append: self.faults.0,
            cut: self.host.cut.get(),
        };
        let pending = self.host.desk.submit(claim)?;
        let writer = Writer::grouping(self.host.incarnation, PEER.parse().unwrap());
        self.host.desk.write_once(&wire, writer, Duration::ZERO);
        if let Append::SameCallAt(place) = self.faults.0 {
            self.world.interleave(place, self.right, &self.matter);
        }
        let replica = self.host.desk.replica();
        let _ = replica.poll(&wire, Duration::ZERO);
        let verdict = replica.with(|state| pending.verdict(state));
        verdict.unwrap_or(Err(claim::Failure::TimedOut))
    }

    fn relay(&mut self, to: Incarnation, _hint: Option<SocketAddr>, right: OneTimeKey) -> Reply {
        let unknown = || Problem::unknown("not reached").into();
        let reply = match self.faults.1 {
            Relay::Cut => None,
            Relay::Late => {
                let late = (to, self.matter.clone(), right);
                self.world.late_relays.borrow_mut().push(late);
                None
            }
            Relay::Answers => self
                .world
                .run_relayed(to, &self.matter, right, self.faults.2),
            Relay::LosesAnswer => {
                self.world
                    .run_relayed(to, &self.matter, right, self.faults.2);
                None
            }
        };
        reply.unwrap_or_else(unknown)
    }

    fn execute(&mut self) -> Reply {
        if let Run::Refuses = self.faults.2 {
            return Problem::not_run(503, "refused", "by the upstream").into();
        }
        let book = &self.world.runs;
        book.borrow_mut()
            .entry(name(self.right))
            .or_default()
            .push(self.matter.digest);
        match self.faults.2 {
            Run::LosesAnswer => return Problem::unknown("answer lost").into(),
            Run::HostDies => {
                self.world.restart(self.place);
                return Problem::unknown("the host died").into();
            }
            Run::HostLeaves => self.world.leave(self.place),
            Run::SameCallAt(place) => self.world.interleave(place, self.right, &self.matter),
            Run::Answers | Run::Refuses => {}
        }
        Reply::ran(
            200,
            "text/plain",
            self.matter.digest.to_string().into_bytes(),
        )
    }
}

impl Transition for Event {
    fn any() -> BoxedStrategy<Event> {
        let host = 0..HOSTS;
        let run = prop_oneof![
            4 => Just(Run::Answers),
            1 => Just(Run::LosesAnswer),
            1 => Just(Run::Refuses),
            1 => Just(Run::HostDies),
            1 => Just(Run::HostLeaves),
            1 => host.clone().prop_map(Run::SameCallAt),
        ];
        let append = prop_oneof![
            4 => Just(Append::Answers),
            1 => Just(Append::LosesAnswer),
            1 => Just(Append::Late),
            1 => Just(Append::Out),
            1 => host.clone().prop_map(Append::SameCallAt),
        ];
        let relay = prop_oneof![
            4 => Just(Relay::Answers),
            1 => Just(Relay::LosesAnswer),
            1 => Just(Relay::Late),
            1 => Just(Relay::Cut),
        ];
        let call = (host.clone(), 0..RIGHTS, 0..2u8, (append, relay, run));
        prop_oneof![
            12 => call.prop_map(|(host, right, content, faults)| {
                Event::Call { host, right, content, faults }
            }),
            2 => (host.clone(), 0..RIGHTS).prop_map(|(host, right)| Event::Issue { host, right }),
            1 => host.clone().prop_map(Event::Kill),
            1 => host.clone().prop_map(Event::Leave),
            1 => (host, any::<bool>()).prop_map(|(host, cut)| Event::CutLog(host, cut)),
            2 => Just(Event::DeliverLate),
            1 => prop_oneof![Just(60u64), Just(1700), Just(3000), Just(50_000)].prop_map(Event::Pass),
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
                right,
                content,
                faults,
            } => {
                let right = world.right(right);
                world.call(host, right, content, faults);
            }
            Event::Issue { host, right } => {
                let ticket = world.host(host).issuer.issue("desk", world.clock.now());
                world
                    .rights
                    .borrow_mut()
                    .entry(right)
                    .or_insert(OneTimeKey::Ticket(ticket));
            }
            Event::Kill(place) => world.restart(place),
            Event::Leave(place) => world.leave(place),
            Event::CutLog(place, cut) => world.host(place).cut.set(cut),
            Event::DeliverLate => world.deliver_late(),
            Event::Pass(seconds) => world.pass(seconds),
        }
        world
    }
}

proptest! {
    #![proptest_config(super::configuration())]

    #[test]
    fn one_time_calls_run_at_most_once_and_not_run_is_true(
        (state, transitions, seen) in Stateless::<Event>::sequential_strategy(1..60)
    ) {
        World::test_sequential(super::configuration(), state, transitions, seen);
    }
}
