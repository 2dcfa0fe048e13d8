//! A deployment of real gateway processes among stand-ins, and one run of faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use pistachiohall::platform::store;
use pistachiohall::standin::fleet::mortal;
use pistachiohall::standin::fleet::mortal::CrashingUpstream;
use pistachiohall::standin::fleet::proxy::Link;
use pistachiohall::standin::fleet::proxy::Proxy;
use pistachiohall::standin::fleet::replica::Behavior;
use pistachiohall::standin::fleet::replica::Replica;
use pistachiohall::standin::fleet::store::Fault as StoreFault;
use pistachiohall::standin::fleet::store::Snapshot;
use pistachiohall::standin::fleet::store::Store;
use serde_json::json;

use super::account;
use super::account::Keys;
use super::caller;
use super::caller::Call;
use super::check;
use super::check::Disturbance;
use super::fault;
use super::fault::Departure;
use super::fault::Fault;
use super::report::Report;
use super::site::Gateway;

/// Gateways of a deployment.
pub const GATEWAYS: usize = 3;
/// Upstreams: name, service, stage of an engine.
pub const UPSTREAMS: [(&str, &str, Option<&str>); 6] = [
    ("c1", "desk", None),
    ("c2", "desk", None),
    ("p1", "lm", Some("prefill")),
    ("p2", "lm", Some("prefill")),
    ("d1", "lm", Some("decode")),
    ("d2", "lm", Some("decode")),
];
/// Callers, each with one request at a time.
const CALLERS: u64 = 8;
/// Callers that send heads in two parts.
const SLOW_CALLERS: u64 = 4;
/// Upstreams that a request ends.
const FRAIL: [&str; 4] = ["f1", "f2", "f3", "f4"];
/// Engines that a prompt block ends.
const FRAIL_ENGINES: [&str; 4] = ["e1", "e2", "e3", "e4"];
/// Pause between two events of a stream.
const EVENT_PAUSE: Duration = Duration::from_millis(10);
/// Time for which the store is away before it is back from a copy.
const RESTORE_OUTAGE: Duration = Duration::from_millis(300);
/// Time in which callers go on after the last fault.
const AFTERMATH: Duration = Duration::from_millis(300);
/// The same where an upstream has left; longer than it may get new work.
const LONG_AFTERMATH: Duration = Duration::from_secs(6);
/// Settings; short times to leave, so that several fit into a run.
const SETTINGS: &str = "[orders]\nread_share = 0\n[repeats]\nratio = 1000\n[shutdown]\nbalancer_lag = 100ms\nlimit = 4s\n";

/// Time from the signal until a gateway with these settings gives up.
pub const SHUTDOWN_TIME: Duration = Duration::from_millis(3500);

pub struct Upstream {
    pub replica: Replica,
    proxy: Proxy,
}

impl Upstream {
    /// Writes the entry, with the proxy's address.
    fn register(&self, name: &str, condition: &str, store: &Store) {
        let mut entry = self.replica.entry(condition);
        entry["address"] = json!(self.proxy.address().to_string());
        store.put(store::UPSTREAM_TOPIC, name, entry.to_string().as_bytes());
    }
}

pub struct World {
    /// Upstreams that a request ends, in runs that have one.
    pub frail: Vec<CrashingUpstream>,
    /// Engines that a prompt block ends, in runs that have one.
    pub frail_engines: Vec<CrashingUpstream>,
    pub store: Store,
    store_links: Vec<Proxy>,
    pub upstreams: Vec<Upstream>,
    names: Vec<String>,
    pub gateways: Vec<Gateway>,
    addresses: Vec<Mutex<Option<SocketAddr>>>,
    pub version: u64,
    /// Keys of client accounts, in runs that have some.
    pub keys: Option<Keys>,
    freezes: [usize; GATEWAYS],
    pub gone: [Option<Instant>; GATEWAYS],
    was_frozen: [bool; GATEWAYS],
    was_killed: [bool; GATEWAYS],
    pub disturbances: Vec<Disturbance>,
    /// Copies of the store that it is restored from later.
    copies: BTreeMap<usize, Snapshot>,
    /// Gateways that ended with connections open, and since when they were asked to end.
    pub unfinished: Vec<(usize, Instant)>,
    pub left: Option<(usize, Departure)>,
    /// Upstream that names a limit, and the limit.
    pub limit: Option<(usize, &'static str)>,
    says_leaving: Option<usize>,
    pub calm: Instant,
    pub broken: Vec<String>,
}

/// Plays the faults of a seed.
pub fn play(seed: u64) -> Report {
    let mut world = World::start(seed);
    let entries = fault::draw(seed, GATEWAYS, UPSTREAMS.len());
    let stop = AtomicBool::new(false);
    let has_accounts = world.keys.is_some();
    let addresses = std::mem::take(&mut world.addresses);
    let calls: Vec<Call> = thread::scope(|scope| {
        let ends = caller::Ends(&stop);
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| {
                let name = format!("s{seed}c{number}");
                let (addresses, stop) = (&addresses, &stop);
                let draw = seed * CALLERS + number;
                scope.spawn(move || caller::run(&name, draw, has_accounts, addresses, stop))
            })
            .collect();
        let slow_callers = match fault::has_heads_in_parts(seed) {
            true => SLOW_CALLERS,
            false => 0,
        };
        let slow: Vec<_> = (0..slow_callers)
            .map(|number| {
                let name = format!("s{seed}p{number}");
                let (addresses, stop) = (&addresses, &stop);
                let draw = seed * CALLERS + number;
                scope
                    .spawn(move || caller::run_in_parts(&name, draw, has_accounts, addresses, stop))
            })
            .collect();
        if !world.frail.is_empty() {
            let (addresses, stop) = (&addresses, &stop);
            scope.spawn(move || caller::run_deadly(seed, addresses, stop));
        }
        world.suffer(&entries, &addresses);
        world.calm = Instant::now();
        let leaves = world.left.is_some() || world.says_leaving.is_some();
        let is_long = leaves || world.limit.is_some() || has_accounts || !world.frail.is_empty();
        thread::sleep(if is_long { LONG_AFTERMATH } else { AFTERMATH });
        drop(ends);
        let calls = callers.into_iter().chain(slow);
        calls.flat_map(|caller| caller.join().unwrap()).collect()
    });
    world.recover(&addresses);
    world.finish(&calls, &entries)
}

impl World {
    fn start(seed: u64) -> Self {
        let store = Store::start().unwrap();
        let keys = account::has_accounts(seed).then(Keys::default);
        store.put_config(&account::config(1, keys));
        let upstreams: Vec<Upstream> = UPSTREAMS
            .iter()
            .map(|(name, service, stage)| {
                let replica = Replica::start(name, service, "derby", *stage).unwrap();
                replica.set_pause(EVENT_PAUSE);
                let proxy = Proxy::start(replica.address()).unwrap();
                let upstream = Upstream { replica, proxy };
                upstream.register(name, "ready", &store);
                upstream
            })
            .collect();
        let limit = fault::limit(seed, UPSTREAMS.len());
        if let Some((index, limit)) = limit {
            upstreams[index].replica.set_limit(Some(limit));
        }
        let start_frail = |names: [&'static str; 4], service, stage| {
            let nature = fault::deadly(seed).into_iter();
            let roles = nature.flat_map(move |nature| names.map(|name| (name, nature)));
            let upstreams = roles.map(|(name, nature)| {
                let role = mortal::Role {
                    name,
                    service,
                    stage,
                };
                CrashingUpstream::start(store.registry(), role, nature).unwrap()
            });
            upstreams.collect::<Vec<CrashingUpstream>>()
        };
        let frail = start_frail(FRAIL, "frail", None);
        let frail_engines = match fault::has_deadly_block(seed) {
            true => start_frail(FRAIL_ENGINES, "frail-lm", Some("decode")),
            false => Vec::new(),
        };
        let store_links: Vec<Proxy> = (0..GATEWAYS)
            .map(|_| Proxy::start(store.address()).unwrap())
            .collect();
        let names: Vec<String> = (0..GATEWAYS)
            .map(|index| format!("h{seed}-{index}"))
            .collect();
        let gateways: Vec<Gateway> = store_links
            .iter()
            .zip(&names)
            .map(|(link, name)| {
                Gateway::start(name, link.address(), &account::settings(SETTINGS, keys))
            })
            .collect();
        for gateway in &gateways {
            gateway.wait_ready();
            for (name, ..) in UPSTREAMS {
                gateway.wait_line(&[&format!("upstream={name}"), "outcome=added"]);
            }
        }
        let addresses = gateways
            .iter()
            .map(|gateway| Mutex::new(Some(gateway.callers())))
            .collect();
        World {
            frail,
            frail_engines,
            store,
            store_links,
            upstreams,
            names,
            gateways,
            addresses,
            version: 1,
            keys,
            freezes: [0; GATEWAYS],
            gone: [None; GATEWAYS],
            was_frozen: [false; GATEWAYS],
            was_killed: [false; GATEWAYS],
            disturbances: Vec::new(),
            copies: BTreeMap::new(),
            unfinished: Vec::new(),
            left: None,
            limit,
            says_leaving: None,
            calm: Instant::now(),
            broken: Vec::new(),
        }
    }

    /// Carries out begins and ends of faults in order of time.
    fn suffer(&mut self, entries: &[fault::Entry], addresses: &[Mutex<Option<SocketAddr>>]) {
        let begun = Instant::now();
        let begins = entries.iter().map(|entry| (entry.from, entry, true));
        let ends = entries.iter().map(|entry| (entry.until, entry, false));
        let mut moments: Vec<_> = begins.chain(ends).collect();
        moments.sort_by_key(|(at, ..)| *at);
        for (at, entry, begins) in moments {
            thread::sleep(at.saturating_sub(begun.elapsed()));
            match begins {
                true => self.begin(entry.fault, addresses),
                false => self.end(entry.fault, addresses),
            }
        }
    }

    fn begin(&mut self, fault: Fault, addresses: &[Mutex<Option<SocketAddr>>]) {
        match fault {
            Fault::Freeze(index) => {
                self.freezes[index] += 1;
                self.was_frozen[index] = true;
                self.disturb(index, false);
                self.gateways[index].signal("-STOP");
            }
            Fault::Kill(index) => {
                self.was_killed[index] = true;
                self.disturb(index, false);
                self.gone[index].get_or_insert_with(Instant::now);
                *addresses[index].lock().unwrap() = None;
                self.gateways[index].signal("-KILL");
            }
            Fault::Term(index) => {
                self.disturb(index, true);
                self.gone[index].get_or_insert_with(Instant::now);
                // Callers go on with the connections that they have.
                *addresses[index].lock().unwrap() = None;
                self.gateways[index].signal("-TERM");
            }
            Fault::Reload(index) => {
                let link = self.store_links[index].address();
                let name = &self.names[index];
                let settings =
                    account::settings(SETTINGS, self.keys).replace("ratio = 1000", "ratio = 900");
                self.gateways[index].rewrite(name, link, &settings);
                self.gateways[index].signal("-HUP");
            }
            Fault::Store(trouble) => self.store.set_fault(trouble),
            Fault::StoreLink(index, link) => self.store_links[index].set(link),
            Fault::Upstream(index, link) => self.upstreams[index].proxy.set(link),
            Fault::Behavior(index, manner) => self.upstreams[index].replica.set_behavior(manner),
            Fault::Configure => self.configure(),
            Fault::TakeKey => {
                let from = Instant::now();
                self.keys = Some(Keys::Taken { from, until: None });
                self.configure();
                let until = Some(Instant::now());
                self.keys = Some(Keys::Taken { from, until });
            }
            Fault::Compact => {
                // Removing a key that is not there leaves the deletion of old records.
                for topic in [store::CONFIG_TOPIC, store::UPSTREAM_TOPIC] {
                    self.store.remove_unread(topic, "none");
                }
            }
            Fault::Lapse(index) => {
                let (name, ..) = UPSTREAMS[index];
                self.store.remove(store::UPSTREAM_TOPIC, name);
            }
            Fault::SayLeaving(index) => {
                self.says_leaving = Some(index);
                self.upstreams[index].replica.set_leaving(true);
            }
            Fault::AskPause(index) => {
                let replica = &self.upstreams[index].replica;
                replica.set_retry_after(Some(check::PAUSE_TEXT));
                replica.set_behavior(Behavior::Shed);
            }
            Fault::Restore(number) => {
                self.copies.insert(number, self.store.snapshot());
                self.configure();
            }
            Fault::Leave(index, departure) => {
                self.left = Some((index, departure));
                self.write_entry(index);
            }
        }
    }

    fn end(&mut self, fault: Fault, addresses: &[Mutex<Option<SocketAddr>>]) {
        match fault {
            Fault::Freeze(index) => {
                let frozen = std::mem::take(&mut self.freezes[index]);
                self.freezes[index] = frozen.saturating_sub(1);
                // A process that was started again meanwhile is not stopped.
                if frozen == 1 {
                    self.gateways[index].signal("-CONT");
                    self.disturb(index, false);
                }
            }
            Fault::Kill(index) | Fault::Term(index) => {
                // Another fault may have brought it back already.
                if self.gone[index].is_some() {
                    self.restart(index, addresses);
                }
            }
            Fault::Reload(_)
            | Fault::Configure
            | Fault::TakeKey
            | Fault::Compact
            | Fault::Leave(..)
            | Fault::SayLeaving(_) => (),
            Fault::AskPause(index) => {
                let replica = &self.upstreams[index].replica;
                replica.set_retry_after(None);
                replica.set_behavior(Behavior::Sound);
            }
            Fault::Store(_) => self.store.set_fault(StoreFault::None),
            Fault::StoreLink(index, _) => self.store_links[index].set(Link::Sound),
            Fault::Upstream(index, _) => self.upstreams[index].proxy.set(Link::Sound),
            Fault::Behavior(index, _) => {
                self.upstreams[index].replica.set_behavior(Behavior::Sound)
            }
            Fault::Restore(number) => self.restore(number),
            Fault::Lapse(index) => self.write_entry(index),
        }
    }

    /// Puts another configuration into force, as the operator does.
    fn configure(&mut self) {
        self.version += 1;
        self.store
            .put_config(&account::config(self.version, self.keys));
    }

    /// Writes what an upstream says of itself.
    fn write_entry(&self, index: usize) {
        let (name, ..) = UPSTREAMS[index];
        let upstream = &self.upstreams[index];
        match self.left.filter(|(left, _)| *left == index) {
            None => upstream.register(name, "ready", &self.store),
            Some((_, Departure::Drains)) => upstream.register(name, "draining", &self.store),
            Some((_, Departure::Removed)) => self.store.remove(store::UPSTREAM_TOPIC, name),
        }
    }

    /// Restores the store; the operator's next change comes before it has written again what was lost,
    /// upstreams write their entries again, and those of upstreams that have ended expire.
    fn restore(&mut self, number: usize) {
        let Some(copy) = self.copies.remove(&number) else {
            return;
        };
        self.store.set_fault(StoreFault::Down);
        thread::sleep(RESTORE_OUTAGE);
        let before = self.store.keys(store::UPSTREAM_TOPIC);
        self.store.restore(&copy);
        self.configure();
        for name in self.store.keys(store::UPSTREAM_TOPIC) {
            if !before.contains(&name) {
                self.store.remove(store::UPSTREAM_TOPIC, &name);
            }
        }
        for index in 0..UPSTREAMS.len() {
            self.write_entry(index);
        }
        self.store.set_fault(StoreFault::None);
    }

    fn disturb(&mut self, gateway: usize, is_planned: bool) {
        let now = Instant::now();
        self.disturbances.push(Disturbance {
            gateway,
            from: now,
            until: now,
            is_planned,
        });
    }

    /// Waits for a gateway's end and starts it again.
    pub fn restart(&mut self, index: usize, addresses: &[Mutex<Option<SocketAddr>>]) {
        self.freezes[index] = 0;
        self.gateways[index].signal("-CONT");
        let code = self.gateways[index].wait();
        // Killed, or given up what a stopped process could not finish in time.
        let is_good = match code {
            None => self.was_killed[index],
            Some(0) => true,
            // Whether a connection with a part of a head was open is known at the end of the run.
            Some(1) => {
                if !self.was_frozen[index] {
                    self.unfinished
                        .extend(self.gone[index].map(|from| (index, from)));
                }
                true
            }
            Some(_) => false,
        };
        if !is_good {
            self.broken
                .push(format!("gateway {index} ended with {code:?}"));
        }
        let log = self.gateways[index].log();
        self.broken.extend(check::log(index, &log));
        self.gateways[index].restart();
        *addresses[index].lock().unwrap() = Some(self.gateways[index].callers());
        let from = self.gone[index].take().unwrap_or_else(Instant::now);
        self.disturbances.push(Disturbance {
            gateway: index,
            from,
            until: Instant::now(),
            is_planned: !self.was_frozen[index] && !self.was_killed[index],
        });
        self.was_frozen[index] = false;
        self.was_killed[index] = false;
    }
}
