//! The fault matrix: each fault during each step, with entry hosts as real processes.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use pistachiohall::log::memory::Fault as LogFault;
use pistachiohall::standin::caller::Received;
use pistachiohall::standin::deployment::Deployment;
use pistachiohall::standin::deployment::wait_until;
use pistachiohall::standin::engine;
use pistachiohall::status::Status;
use pistachiohall::upstream::Role;
use rstest::rstest;
use uuid::Uuid;

use crate::common::CUE_DESK;
use crate::common::DESK_KEY;
use crate::common::LIBRETTO;
use crate::common::MODEL;
use crate::common::process::Process;
use crate::common::runs;

/// Step during which a fault is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    Request,
    Claim,
    Ticket,
    Relay,
    Publish,
    Shutdown,
}

/// Fault that is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    Killed,
    Paused,
    Partitioned,
    AnswerLost,
    Slow,
    SilentConnection,
    UpstreamCrash,
    ListLag,
    TwoAtOnce,
    Twice,
}

/// Requirement in addition to consistency, which is checked in each cell: a full response belongs
/// to its request, `not-run` is true, nothing runs twice, and no revision goes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expect {
    /// Only consistency: the process that serves the caller is itself affected.
    Consistent,
    /// The step succeeds in spite of the fault, at the latest on a retry.
    Succeeds,
}

/// Returns the requirement of a cell. A step or fault without a cell does not compile.
fn expect(step: Step, fault: Fault) -> Expect {
    use Expect::Consistent;
    use Expect::Succeeds;
    match step {
        Step::Request | Step::Shutdown => match fault {
            Fault::Killed | Fault::Paused | Fault::TwoAtOnce | Fault::Twice => Consistent,
            Fault::Partitioned
            | Fault::AnswerLost
            | Fault::Slow
            | Fault::SilentConnection
            | Fault::UpstreamCrash
            | Fault::ListLag => Succeeds,
        },
        Step::Claim | Step::Ticket | Step::Relay => match fault {
            Fault::Killed | Fault::TwoAtOnce | Fault::Twice => Consistent,
            Fault::AnswerLost | Fault::SilentConnection | Fault::UpstreamCrash => Consistent,
            Fault::Paused | Fault::Partitioned | Fault::Slow | Fault::ListLag => Succeeds,
        },
        Step::Publish => match fault {
            Fault::Killed
            | Fault::Paused
            | Fault::Partitioned
            | Fault::AnswerLost
            | Fault::Slow
            | Fault::SilentConnection
            | Fault::UpstreamCrash
            | Fault::ListLag
            | Fault::TwoAtOnce
            | Fault::Twice => Succeeds,
        },
    }
}

/// Two failure domains with an entry host, an engine and a plain service each.
struct Stage {
    deployment: Deployment,
    faulted_host: Option<Process>,
    other: Process,
}

const FAULT_DELAY: Duration = Duration::from_millis(120);
const FAULT_DURATION: Duration = Duration::from_millis(1200);
const STREAM_TOKENS: u64 = 150;
const MAX_RETRIES: usize = 8;

impl Stage {
    fn new() -> Self {
        let mut deployment = Deployment::start(Duration::from_millis(1)).unwrap();
        deployment.publish(&[LIBRETTO, CUE_DESK]).unwrap();
        for domain in ["derby", "leicester"] {
            let engine = format!("{domain}-e1");
            deployment
                .add_engine(&engine, domain, "libretto-lm", Role::Mixed)
                .unwrap();
            deployment
                .add_plain(&format!("{domain}-c1"), domain, "cue-desk")
                .unwrap();
        }
        let platform = deployment.platform.address();
        let stage = Stage {
            faulted_host: Some(Process::start("h1", "derby", platform)),
            other: Process::start("h2", "leicester", platform),
            deployment,
        };
        assert!(wait_until(|| stage.is_settled()));
        stage
    }

    fn hosts(&self) -> impl Iterator<Item = &Process> {
        self.faulted_host.iter().chain([&self.other])
    }

    fn is_settled(&self) -> bool {
        let is_heard = |age: Option<f64>| age.is_some_and(|age| age < 2.0);
        self.hosts().all(|host| {
            status(host).is_some_and(|status| {
                let live = status.upstreams.iter().filter(|one| one.state == "live");
                let ready = status
                    .hosts
                    .iter()
                    .filter(|host| host.ready && is_heard(host.heard_s));
                live.count() == 4 && ready.count() == 2
            })
        })
    }

    fn first(&self) -> &Process {
        self.faulted_host.as_ref().unwrap_or(&self.other)
    }

    fn inject(&mut self, fault: Fault) {
        let log = self.deployment.platform.memory().clone();
        match fault {
            Fault::Killed => drop(self.faulted_host.take()),
            Fault::Paused => self.first().signal("-STOP"),
            Fault::Partitioned => log.set_fault(Some(LogFault::Outage)),
            Fault::AnswerLost => {
                log.set_fault(Some(LogFault::LostAnswer));
                self.each_plain(|faults| faults.loses_answers.store(true, Ordering::SeqCst));
            }
            Fault::Slow => self.each_plain(|faults| faults.delay_ms.store(700, Ordering::SeqCst)),
            Fault::SilentConnection => {
                let engines = self.deployment.engines.values();
                engines.for_each(|engine| engine.silence_open_streams());
                self.each_plain(|faults| faults.delay_ms.store(6000, Ordering::SeqCst));
            }
            Fault::UpstreamCrash => {
                self.deployment.engines["derby-e1"].crash();
                self.each_plain(|faults| faults.loses_answers.store(true, Ordering::SeqCst));
            }
            Fault::ListLag => {
                self.deployment.engines.remove("derby-e1");
                self.deployment.plains["derby-c1"]
                    .faults()
                    .leaving
                    .store(true, Ordering::SeqCst);
            }
            Fault::TwoAtOnce => {
                log.set_fault(Some(LogFault::Outage));
                drop(self.faulted_host.take());
            }
            Fault::Twice => {
                drop(self.faulted_host.take());
                let platform = self.deployment.platform.address();
                drop(Process::start("h1", "derby", platform));
            }
        }
    }

    fn heal(&mut self, fault: Fault) {
        self.deployment.platform.memory().set_fault(None);
        self.each_plain(|faults| {
            faults.loses_answers.store(false, Ordering::SeqCst);
            faults.delay_ms.store(0, Ordering::SeqCst);
        });
        if fault == Fault::Paused {
            self.first().signal("-CONT");
        }
    }

    fn each_plain<F>(&self, act: F)
    where
        F: Fn(&pistachiohall::standin::plain::Faults),
    {
        self.deployment
            .plains
            .values()
            .for_each(|plain| act(plain.faults()));
    }

    /// Starts `work`, injects a fault during it, removes the fault and returns the result.
    fn run_with_fault<T, F>(&mut self, fault: Fault, work: F) -> T
    where
        T: Send + 'static,
        F: FnOnce() -> T + Send + 'static,
    {
        if matches!(fault, Fault::AnswerLost | Fault::Slow | Fault::ListLag) {
            self.inject(fault);
        }
        let running = thread::spawn(work);
        thread::sleep(FAULT_DELAY);
        if !matches!(fault, Fault::AnswerLost | Fault::Slow | Fault::ListLag) {
            self.inject(fault);
        }
        thread::sleep(FAULT_DURATION);
        self.heal(fault);
        running.join().unwrap()
    }
}

fn status(host: &Process) -> Option<Status> {
    let response = attohttpc::get(format!("http://{}/status", host.operators()))
        .timeout(Duration::from_secs(1))
        .send();
    serde_json::from_slice(&response.ok()?.bytes().ok()?).ok()
}

fn check_stream(got: &Received, prompt: &str, expect: Expect) {
    if got.whole {
        assert_eq!(got.text, engine::expected(prompt, STREAM_TOKENS));
    } else {
        assert!(engine::expected(prompt, STREAM_TOKENS).starts_with(&got.text));
    }
    assert!(got.whole || expect == Expect::Consistent, "{got:?}");
}

fn request(stage: &mut Stage, fault: Fault, expect: Expect) {
    let caller = stage.first().caller(DESK_KEY);
    let got = stage.run_with_fault(fault, move || caller.stream(MODEL, "a line", STREAM_TOKENS));
    check_stream(&got, "a line", expect);
    let after = stage.other.caller(DESK_KEY).stream(MODEL, "afterwards", 5);
    assert!(after.whole, "{after:?}");
}

/// Sends an action through the first or the other host, injects a fault during it, and retries it.
fn action(stage: &mut Stage, fault: Fault, expect: Expect, step: Step) {
    let header = match step {
        Step::Claim => ("idempotency-key", Uuid::now_v7().to_string()),
        _ => {
            let got = stage
                .first()
                .caller(DESK_KEY)
                .post("/tickets/cue-desk?count=1", "", &[]);
            (
                "ticket",
                got.body["tickets"][0].as_str().unwrap().to_owned(),
            )
        }
    };
    let path = "/services/cue-desk/advance/cue-1";
    let caller = match step {
        Step::Relay => stage.other.caller(DESK_KEY),
        _ => stage.first().caller(DESK_KEY),
    };
    let sent = header.clone();
    stage.each_plain(|faults| faults.delay_ms.store(200, Ordering::SeqCst));
    let mut got = stage.run_with_fault(fault, move || caller.post(path, "{}", &[sent]));
    check_action(&got, runs(&stage.deployment, "cue-1"));
    for _ in 0..MAX_RETRIES {
        if got.outcome == "ran" {
            break;
        }
        thread::sleep(Duration::from_millis(300));
        got = stage
            .other
            .caller(DESK_KEY)
            .post(path, "{}", std::slice::from_ref(&header));
        check_action(&got, runs(&stage.deployment, "cue-1"));
    }
    assert!(
        got.outcome == "ran" || expect == Expect::Consistent,
        "{got:?}"
    );
}

fn check_action(got: &Received, runs: usize) {
    assert!(runs <= 1, "ran {runs} times");
    match got.outcome.as_str() {
        "not-run" => assert_eq!(runs, 0, "{got:?}"),
        "ran" => assert_eq!((runs, &got.body["name"]), (1, &"cue-1".into()), "{got:?}"),
        _ => {}
    }
}

fn publish(stage: &mut Stage, fault: Fault) {
    let changed = LIBRETTO.replace("role_change_weight = 0.2", "role_change_weight = 0.3");
    let platform = stage.deployment.platform.address();
    stage.run_with_fault(fault, move || {
        use pistachiohall::clock::Real;
        use pistachiohall::log::http::Http;
        use pistachiohall::publish;

        let log = Http::new(platform);
        let files = BTreeMap::from([("libretto-lm".into(), changed)]);
        wait_until(|| {
            let Ok(replica) = publish::read(&log) else {
                return false;
            };
            let plan = replica.with(|config| publish::plan(config, &files, false));
            let outcome = publish::publish(&log, &Real, &replica, &plan);
            !matches!(outcome, publish::Outcome::Unknown { .. })
        })
    });
    let mut highest = BTreeMap::new();
    let is_everywhere = || {
        stage.hosts().all(|host| {
            let revision = status(host).and_then(|status| status.hosts[0].revision);
            let old = highest.insert(host.operators(), revision).flatten();
            assert!(revision >= old, "the revision went back");
            revision == Some(1)
        })
    };
    assert!(wait_until(is_everywhere));
}

fn shutdown(stage: &mut Stage, fault: Fault, expect: Expect) {
    let caller = stage.first().caller(DESK_KEY);
    let got = stage.run_with_fault(fault, move || caller.stream(MODEL, "a line", STREAM_TOKENS));
    let caller = stage.first().caller(DESK_KEY);
    let running = thread::spawn(move || caller.stream(MODEL, "the last line", STREAM_TOKENS));
    thread::sleep(FAULT_DELAY);
    if let Some(mut leaving_host) = stage.faulted_host.take() {
        leaving_host.signal("-TERM");
        check_stream(&running.join().unwrap(), "the last line", Expect::Succeeds);
        assert_eq!(leaving_host.wait(), Some(0));
    }
    check_stream(&got, "a line", expect);
}

#[rstest]
fn cell(
    #[values(
        Step::Request,
        Step::Claim,
        Step::Ticket,
        Step::Relay,
        Step::Publish,
        Step::Shutdown
    )]
    step: Step,
    #[values(
        Fault::Killed,
        Fault::Paused,
        Fault::Partitioned,
        Fault::AnswerLost,
        Fault::Slow,
        Fault::SilentConnection,
        Fault::UpstreamCrash,
        Fault::ListLag,
        Fault::TwoAtOnce,
        Fault::Twice
    )]
    fault: Fault,
) {
    let mut stage = Stage::new();
    let expect = expect(step, fault);
    match step {
        Step::Request => request(&mut stage, fault, expect),
        Step::Claim | Step::Ticket | Step::Relay => action(&mut stage, fault, expect, step),
        Step::Publish => publish(&mut stage, fault),
        Step::Shutdown => shutdown(&mut stage, fault, expect),
    }
}
