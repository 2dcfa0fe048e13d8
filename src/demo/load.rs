//! Callers of two classes, and operators who advance cues once each.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::RwLock;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use uuid::Uuid;

use crate::duty;
use crate::duty::StopFlag;
use crate::standin::caller::Caller;
use crate::standin::caller::Received;
use crate::standin::deployment::Deployment;
use crate::standin::engine;

use super::script;
use super::tally::Tally;

/// Model that the callers ask for.
const MODEL: &str = "libretto-7b";
/// Callers of the urgent class.
const URGENT: u64 = 24;
/// Callers of the lesser class.
const DRAFTS: u64 = 12;
/// Operators who advance cues.
const OPERATORS: u64 = 6;
/// Tickets that an operator holds ahead.
const TICKETS: usize = 20;
/// Most tries of one cue advance.
const TRIES: usize = 4;

/// What callers ask for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mix {
    /// Short prompts, long answers.
    LongAnswers = 0,
    /// Long prompts, short answers.
    LongPrompts = 1,
}

type Hosts = Arc<RwLock<Vec<SocketAddr>>>;

/// Callers at work.
#[derive(Debug)]
pub struct Load {
    hosts: Hosts,
    mix: Arc<AtomicU8>,
    stop: StopFlag,
    tally: Arc<Tally>,
    threads: Vec<JoinHandle<()>>,
}

struct Worker {
    hosts: Hosts,
    mix: Arc<AtomicU8>,
    stop: StopFlag,
    tally: Arc<Tally>,
    random: StdRng,
    number: u64,
}

impl Load {
    /// Starts all callers.
    pub fn start(deployment: &Deployment, seed: u64) -> Self {
        let mut load = Load {
            hosts: script::addresses(deployment),
            mix: Arc::new(AtomicU8::new(Mix::LongAnswers as u8)),
            stop: StopFlag::default(),
            tally: Arc::default(),
            threads: Vec::new(),
        };
        for number in 0..URGENT + DRAFTS + OPERATORS {
            let mut worker = Worker {
                hosts: Arc::clone(&load.hosts),
                mix: Arc::clone(&load.mix),
                stop: load.stop.clone(),
                tally: Arc::clone(&load.tally),
                random: StdRng::seed_from_u64(seed * 1000 + number),
                number,
            };
            let work = move || match number {
                number if number < URGENT => worker.ask("urgent", "desk-key"),
                number if number < URGENT + DRAFTS => worker.ask("draft", "rehearsal-key"),
                _ => worker.advance(),
            };
            load.threads.push(duty::spawn("caller", work));
        }
        load
    }

    /// Changes what callers ask for.
    pub fn set_mix(&self, mix: Mix) {
        self.mix.store(mix as u8, Ordering::SeqCst);
    }

    /// Takes an entry host out of the balancer.
    pub fn forget(&self, address: SocketAddr) {
        let mut hosts = self.hosts.write().expect("host lock");
        hosts.retain(|other| *other != address);
    }

    /// Returns what was counted so far.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Lets all callers finish what they have begun.
    pub fn finish(self) -> Arc<Tally> {
        self.stop.ask();
        for thread in self.threads {
            thread.join().expect("a caller does not panic");
        }
        self.tally
    }
}

impl Worker {
    fn caller(&mut self, key: &str) -> Caller {
        let hosts = self.hosts.read().expect("host lock");
        let place = self.random.random_range(0..hosts.len());
        Caller::new(hosts[place], key)
    }

    /// Waits for a random time of the given mean.
    fn pause(&mut self, mean: Duration) {
        let factor = -(1.0 - self.random.random::<f64>()).ln();
        std::thread::sleep(mean.mul_f64(factor.min(4.0)));
    }

    fn ask(&mut self, class: &'static str, key: &str) {
        let mut count = 0;
        while !self.stop.asked() {
            let is_long = self.mix.load(Ordering::SeqCst) == Mix::LongPrompts as u8;
            let (length, tokens, mean_ms) = if is_long {
                (7_000, 6, 5_500)
            } else {
                (700, 30, 700)
            };
            self.pause(Duration::from_millis(mean_ms));
            count += 1;
            let start = format!("caller {} asks {count}: ", self.number);
            let prompt = format!("{start}{}", "libretto ".repeat(length / 9));
            let got = self.caller(key).stream(MODEL, &prompt, tokens);
            let is_right = !got.whole || got.text == engine::expected(&prompt, tokens);
            self.tally.record_answer(class, got, is_right);
        }
    }

    fn advance(&mut self) {
        let mut tickets: Vec<String> = Vec::new();
        let mut count = 0;
        while !self.stop.asked() {
            self.pause(Duration::from_millis(150));
            count += 1;
            let name = format!("cue-{}-{count}", self.number);
            if tickets.len() < TICKETS / 2 {
                tickets.extend(self.fetch_tickets());
            }
            let ticket = tickets.pop().filter(|_| self.number.is_multiple_of(2));
            let header = match ticket {
                Some(ticket) => ("ticket", ticket),
                None => ("idempotency-key", Uuid::now_v7().to_string()),
            };
            let got = self.advance_once(&name, &header);
            self.tally.note_action(name, got);
        }
    }

    fn fetch_tickets(&mut self) -> Vec<String> {
        let got =
            self.caller("desk-key")
                .post(&format!("/tickets/cue-desk?count={TICKETS}"), "", &[]);
        let list = got.body["tickets"].as_array().cloned().unwrap_or_default();
        list.iter()
            .filter_map(|one| one.as_str().map(str::to_owned))
            .collect()
    }

    /// Sends one advance, again under the same name while it is not known to have run.
    fn advance_once(&mut self, name: &str, header: &(&'static str, String)) -> Received {
        let path = format!("/services/cue-desk/advance/{name}");
        let mut got = Received::default();
        for _ in 0..TRIES {
            got = self
                .caller("desk-key")
                .post(&path, "{}", std::slice::from_ref(header));
            if got.outcome == "ran" {
                break;
            }
            self.pause(Duration::from_millis(200));
        }
        got
    }
}
