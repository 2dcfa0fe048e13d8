//! Hosts that share a mock clock, a store and a platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;

use pistachiohall::clock::Clock;
use pistachiohall::clock::Mock;
use pistachiohall::gateway::record::Metrics;
use pistachiohall::gossip;
use pistachiohall::platform::duties::Counts;
use pistachiohall::platform::duties::WindowId;
use pistachiohall::usage::Book;
use pistachiohall::usage::Windows;
use pistachiohall::usage::duty;
use pistachiohall::usage::duty::Reporter;

use super::fakes::DUE;
use super::fakes::FakePlatform;
use super::fakes::LEASE;
use super::fakes::Manner;
use super::fakes::Report;
use super::fakes::START;
use super::fakes::Store;
use super::fakes::TICK;
use super::fakes::WINDOW;
use super::fakes::wall;

pub struct Host {
    pub name: String,
    pub book: Arc<Mutex<Book>>,
    pub reporter: Reporter<FakePlatform>,
    pub wall_skew_ms: i64,
    pub is_frozen: bool,
    /// Hosts on the same side of a cut hear each other.
    pub side: u8,
    pub is_cut_from_store: bool,
    pub started_at: u64,
    pub calls: u64,
}

/// Hosts that share a clock, a store and a platform.
pub struct World {
    pub clock: Mock,
    pub store: Store,
    pub platform: FakePlatform,
    pub hosts: BTreeMap<String, Host>,
    pub ticks: u64,
    /// Drops each datagram with this number modulo, if set.
    pub loss: Option<u64>,
    pub sent: u64,
    pub truth: BTreeMap<WindowId, Counts>,
}

pub fn windows() -> Windows {
    Windows::new(WINDOW, DUE)
}

pub fn address(name: &str) -> SocketAddr {
    let port = 1000 + name[1..].parse::<u16>().unwrap();
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl World {
    pub fn new(hosts: usize) -> Self {
        let clock = Mock::new(SystemTime::UNIX_EPOCH + START);
        let store = Store {
            state: Arc::default(),
            clock: clock.clone(),
            is_cut: false,
        };
        store.state.lock().unwrap().era = 1;
        let platform = FakePlatform {
            state: Arc::default(),
            clock: clock.clone(),
        };
        let mut world = World {
            clock,
            store,
            platform,
            hosts: BTreeMap::new(),
            ticks: 0,
            loss: None,
            sent: 0,
            truth: BTreeMap::new(),
        };
        for number in 1..=hosts {
            world.start(&format!("h{number}"));
        }
        world
    }

    pub fn start(&mut self, name: &str) {
        let started_at = wall(&self.clock).as_millis() as u64;
        let book = Book::new(&name.into(), windows(), started_at, self.clock.boot());
        let book = Arc::new(Mutex::new(book));
        book.lock().unwrap().set_enabled(true);
        let config = duty::Config {
            host: name.into(),
            lease: LEASE,
            max_calls_per_s: 10.0,
        };
        let reporter = Reporter::new(
            config,
            Arc::clone(&book),
            self.platform.clone(),
            Arc::new(Metrics::default()),
            started_at,
        );
        let host = Host {
            name: name.into(),
            book,
            reporter,
            wall_skew_ms: 0,
            is_frozen: false,
            side: 0,
            is_cut_from_store: false,
            started_at,
            calls: 0,
        };
        self.hosts.insert(name.into(), host);
    }

    /// Lets a host run `count` requests of an account now.
    pub fn run(&mut self, host: &str, account: &str, count: u64) {
        let window = windows().at(wall(&self.clock));
        let truth = self.truth.entry(window).or_default();
        *truth.entry(account.into()).or_default() += count;
        let mut book = self.hosts[host].book.lock().unwrap();
        for _ in 0..count {
            book.record_run(&account.into(), self.clock.boot());
        }
    }

    pub fn exchange(&mut self) {
        let boot = self.clock.boot();
        let mut datagrams = Vec::new();
        for host in self.hosts.values().filter(|host| !host.is_frozen) {
            let wall_ms = wall(&self.clock).as_millis() as i64 + host.wall_skew_ms;
            let mut book = host.book.lock().unwrap();
            let messages = book.due(wall_ms as u64, boot);
            let announced = book.announcement(wall_ms as u64);
            let sender = (host.name.clone(), host.started_at, host.side);
            datagrams.push((sender.clone(), None, announced.clone()));
            for message in messages {
                let mut usage = announced.clone();
                usage.windows.push(message.counts);
                datagrams.push((sender.clone(), Some(message.to), usage));
            }
        }
        for ((sender, started_at, side), to, usage) in datagrams {
            for host in self.hosts.values().filter(|host| !host.is_frozen) {
                let is_meant = to
                    .as_ref()
                    .is_none_or(|to| to.contains(&address(&host.name)));
                if host.name == sender || host.side != side || !is_meant {
                    continue;
                }
                self.sent += 1;
                if self.loss.is_some_and(|loss| self.sent.is_multiple_of(loss)) {
                    continue;
                }
                let incarnation = gossip::incarnation_digest(&sender, started_at);
                host.book.lock().unwrap().record_peer(
                    &sender.as_str().into(),
                    incarnation,
                    address(&sender),
                    &usage,
                    boot,
                );
            }
        }
    }

    pub fn tick(&mut self) {
        self.clock.advance(TICK);
        self.ticks += 1;
        if self.ticks.is_multiple_of(2) {
            self.exchange();
        }
        for host in self.hosts.values_mut().filter(|host| !host.is_frozen) {
            let before = self.store.calls();
            let store = Store {
                is_cut: host.is_cut_from_store,
                ..self.store.clone()
            };
            host.reporter.step(&self.clock, &store);
            host.calls += self.store.calls() - before;
        }
    }

    /// Lets time pass while each host runs requests of three accounts.
    pub fn play(&mut self, period: Duration) {
        for _ in 0..period.as_millis() / TICK.as_millis() {
            let live: Vec<String> = self
                .hosts
                .values()
                .filter(|host| !host.is_frozen)
                .map(|host| host.name.clone())
                .collect();
            for (index, name) in live.iter().enumerate() {
                self.run(name, "busy", 5);
                if (self.ticks + index as u64).is_multiple_of(7) {
                    self.run(name, "light", 1);
                }
            }
            self.tick();
        }
    }

    /// Plays until the platform has carried out `count` calls, at most 30 s.
    pub fn play_until_reports(&mut self, count: usize) {
        for _ in 0..300 {
            if self.reports().len() >= count {
                return;
            }
            self.play(TICK);
        }
        panic!("{count} reports expected, got {:?}", self.reports());
    }

    pub fn reports(&self) -> Vec<Report> {
        self.platform.state.lock().unwrap().reports.clone()
    }

    pub fn set_manner(&self, manner: Manner) {
        self.platform.state.lock().unwrap().manner = manner;
    }

    /// Carries out the calls that were left open.
    pub fn carry_out_late(&self) {
        let mut state = self.platform.state.lock().unwrap();
        let late = std::mem::take(&mut state.late);
        state.reports.extend(late);
    }

    pub fn holder(&self) -> String {
        self.reports().last().expect("a report").holder.clone()
    }

    pub fn kill(&mut self, name: &str) {
        self.hosts.remove(name).expect("a live host");
    }

    /// Tells all hosts of more requests in a window than its holder knew.
    pub fn count_late(&self, window: WindowId) {
        let late = gossip::WindowCounts {
            window,
            accounts: vec![gossip::AccountCount {
                account: "busy".into(),
                count: 99,
            }],
        };
        let usage = gossip::Usage {
            wall_ms: wall(&self.clock).as_millis() as u64,
            windows: vec![late],
            ..gossip::Usage::default()
        };
        for host in self.hosts.values() {
            let mut book = host.book.lock().unwrap();
            let from = address("h99");
            book.record_peer(&"h99".into(), 99, from, &usage, self.clock.boot());
        }
    }

    pub fn freeze(&mut self, name: &str, is_frozen: bool) {
        self.hosts.get_mut(name).unwrap().is_frozen = is_frozen;
    }

    /// Checks what must hold for all calls that the platform carried out.
    pub fn check(&self) {
        let reports = self.reports();
        let mut counts: BTreeMap<WindowId, &Counts> = BTreeMap::new();
        let mut holders: BTreeMap<u64, &str> = BTreeMap::new();
        for report in &reports {
            let known = counts.entry(report.window).or_insert(&report.counts);
            assert_eq!(*known, &report.counts, "window {}", report.window);
            let holder = holders
                .entry(report.fencing_token)
                .or_insert(&report.holder);
            assert_eq!(*holder, report.holder, "token {}", report.fencing_token);
        }
        for (index, report) in reports.iter().enumerate() {
            for later in &reports[index + 1..] {
                // A call that was carried out late was sent earlier.
                assert!(
                    later.fencing_token >= report.fencing_token || later.at < report.at,
                    "{later:?} after {report:?}"
                );
            }
        }
        let mut sent = reports;
        sent.sort_by_key(|report| report.at);
        for (index, first) in sent.iter().enumerate() {
            let within = sent[index..]
                .iter()
                .take_while(|later| later.at < first.at + LEASE);
            let mut has_other = false;
            for later in within {
                let is_same = later.holder == first.holder;
                assert!(
                    !(has_other && is_same),
                    "{first:?} and {later:?} around others"
                );
                has_other |= !is_same;
            }
        }
    }

    /// Checks that the windows that ended by `until` after `from` were reported in time, and returns
    /// the greatest relative error of an account of them.
    pub fn worst_error(&self, from: WindowId, until: WindowId) -> f64 {
        let mut worst: f64 = 0.0;
        for window in from..=until {
            let reports = self.reports();
            let first = reports.iter().find(|report| report.window == window);
            let report = first.unwrap_or_else(|| panic!("no report of {window}: {reports:?}"));
            assert!(report.at <= windows().due_at(window), "late: {report:?}");
            let truth = self.truth.get(&window).cloned().unwrap_or_default();
            for account in truth.keys().chain(report.counts.keys()) {
                let value = |counts: &Counts| counts.get(account).copied().unwrap_or(0) as f64;
                let error = (value(&report.counts) - value(&truth)).abs();
                worst = worst.max(error / value(&truth).max(1.0));
            }
        }
        worst
    }

    pub fn window(&self) -> WindowId {
        windows().at(wall(&self.clock))
    }
}
