//! Configuration under racing publishers, late records, snapshots, retention, peers and restarts.
//!
//! Each host must hold the state that the log's records give, and its revision must never go back.

use std::collections::BTreeMap;
use std::time::Duration;

use pistachiohall::fold::config::Config;
use pistachiohall::fold::config::Edit;
use pistachiohall::fold::config::Record;
use pistachiohall::fold::config::STREAM;
use pistachiohall::id::Offset;
use pistachiohall::id::ServiceId;
use pistachiohall::log::Log;
use pistachiohall::log::memory::InMemory;
use pistachiohall::publish;
use pistachiohall::replay::Replica;
use pistachiohall::replay::Suffix;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use serde_json::Value;
use serde_json::json;

use super::Stateless;
use super::Transition;

const HOSTS: usize = 3;
const PUBLISHERS: usize = 2;
const SERVICES: [&str; 2] = ["lm", "desk"];

#[derive(Debug, Clone)]
pub enum Event {
    Read(usize),
    Publish {
        publisher: usize,
        service: usize,
        text: Option<u8>,
        late: bool,
    },
    DeliverLate,
    Poll(usize),
    Restart(usize),
    Peer {
        from: usize,
        to: usize,
        late: bool,
    },
    Snapshot {
        host: usize,
        late: bool,
    },
    Trim(u64),
}

type Services = BTreeMap<ServiceId, (Offset, Option<String>)>;

/// Hosts, publishers and log, with the services that the oracle expects after each record.
pub struct World {
    log: InMemory,
    hosts: Vec<Replica<Config>>,
    max_revisions: Vec<Option<Offset>>,
    views: Vec<Config>,
    late: Vec<Value>,
    late_suffixes: Vec<(usize, Suffix)>,
    history: Vec<Services>,
    next: Offset,
}

impl World {
    fn append(&mut self, data: &Value) {
        self.log.append(STREAM, data).unwrap();
        let before = self.history.last().cloned().unwrap_or_default();
        let after = oracle(before, self.next, data);
        self.history.push(after);
        self.next += 1;
    }

    fn write(&mut self, data: Value, late: bool) {
        match late {
            true => self.late.push(data),
            false => self.append(&data),
        }
    }

    fn check(&mut self) {
        for (host, max_revision) in self.hosts.iter().zip(&mut self.max_revisions) {
            let revision = host.with(|config| config.revision);
            assert!(revision >= *max_revision, "the revision went back");
            *max_revision = revision;
            if !host.is_ready() || host.next() == 0 {
                continue;
            }
            let expected = &self.history[host.next() as usize - 1];
            let services: Services = host.with(|config| {
                let all = config.services.iter();
                all.map(|(name, version)| (name.clone(), (version.revision, version.text.clone())))
                    .collect()
            });
            assert_eq!(&services, expected, "at offset {}", host.next());
        }
    }
}

/// Applies a record independently of the tested code: all edits, if each names the latest revision.
fn oracle(mut services: Services, offset: Offset, data: &Value) -> Services {
    let edits = data["publication"]["edits"]
        .as_object()
        .cloned()
        .unwrap_or_default();
    let is_current = edits.iter().all(|(name, edit)| {
        let latest = services.get(name.as_str()).map(|(revision, _)| *revision);
        edit["based_on"].as_u64() == latest
    });
    if is_current {
        for (name, edit) in edits {
            let text = edit["text"].as_str().map(str::to_owned);
            services.insert(name.into(), (offset, text));
        }
    }
    services
}

impl Transition for Event {
    fn any() -> BoxedStrategy<Event> {
        let publish = (
            0..PUBLISHERS,
            0..SERVICES.len(),
            any::<Option<u8>>(),
            any::<bool>(),
        );
        prop_oneof![
            4 => (0..PUBLISHERS).prop_map(Event::Read),
            6 => publish.prop_map(|(publisher, service, text, late)| {
                Event::Publish { publisher, service, text, late }
            }),
            2 => Just(Event::DeliverLate),
            6 => (0..HOSTS).prop_map(Event::Poll),
            1 => (0..HOSTS).prop_map(Event::Restart),
            3 => (0..HOSTS, 0..HOSTS, any::<bool>()).prop_map(|(from, to, late)| Event::Peer { from, to, late }),
            2 => (0..HOSTS, any::<bool>()).prop_map(|(host, late)| Event::Snapshot { host, late }),
            2 => (1..6u64).prop_map(Event::Trim),
        ]
        .boxed()
    }
}

impl StateMachineTest for World {
    type SystemUnderTest = World;
    type Reference = Stateless<Event>;

    fn init_test(_state: &()) -> World {
        World {
            log: InMemory::default(),
            hosts: (0..HOSTS).map(|_| Replica::new(STREAM)).collect(),
            max_revisions: vec![None; HOSTS],
            views: vec![Config::default(); PUBLISHERS],
            late: Vec::new(),
            late_suffixes: Vec::new(),
            history: Vec::new(),
            next: 0,
        }
    }

    fn apply(mut world: World, _state: &(), transition: Event) -> World {
        match transition {
            Event::Read(publisher) => {
                if let Ok(replica) = publish::read(&world.log) {
                    world.views[publisher] = replica.with(Config::clone);
                }
            }
            Event::Publish {
                publisher,
                service,
                text,
                late,
            } => {
                let name = ServiceId::from(SERVICES[service]);
                let version = world.views[publisher].services.get(&name);
                let edit = Edit {
                    based_on: version.map(|version| version.revision),
                    text: text.map(|text| text.to_string()),
                };
                let id = uuid::Uuid::now_v7();
                let edits = BTreeMap::from([(name, edit)]);
                let record = Record::Publication { id, edits };
                world.write(serde_json::to_value(record).unwrap(), late);
            }
            Event::DeliverLate => {
                for data in std::mem::take(&mut world.late) {
                    world.append(&data);
                }
                for (to, suffix) in std::mem::take(&mut world.late_suffixes) {
                    world.hosts[to].apply_suffix(suffix);
                }
            }
            Event::Poll(host) => {
                world.hosts[host].poll(&world.log, Duration::ZERO).unwrap();
            }
            Event::Restart(host) => {
                world.hosts[host] = Replica::new(STREAM);
                world.max_revisions[host] = None;
            }
            Event::Peer { from, to, late } => {
                let suffix = world.hosts[from].suffix(world.hosts[to].next());
                match late {
                    true => world.late_suffixes.push((to, suffix)),
                    false => drop(world.hosts[to].apply_suffix(suffix)),
                }
            }
            Event::Snapshot { host, late } => {
                if let Some((as_of, state)) = world.hosts[host].export() {
                    let data = json!({ "snapshot": { "as_of": as_of, "state": state } });
                    world.write(data, late);
                }
            }
            Event::Trim(kept) => {
                world.log.trim(STREAM, world.next.saturating_sub(kept));
            }
        }
        world.check();
        world
    }
}

proptest! {
    #![proptest_config(super::configuration())]

    #[test]
    fn hosts_hold_the_state_of_the_log_and_never_go_back(
        (state, transitions, seen_counter) in Stateless::<Event>::sequential_strategy(1..80)
    ) {
        World::test_sequential(super::configuration(), state, transitions, seen_counter);
    }
}
