//! What happens in the demo, and when.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::RwLock;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;

use crate::log::memory::Fault;
use crate::standin::deployment::Build;
use crate::standin::deployment::Deployment;
use crate::standin::engine::Speed;
use crate::upstream::Role;

use super::load::Load;
use super::load::Mix;
use super::tally::Report;

/// Service files of the Trust.
const LIBRETTO: &str = include_str!("../../examples/trentside/libretto-lm.hall.ini");
const CUE_DESK: &str = include_str!("../../examples/trentside/cue-desk.hall.ini");

/// Failure domains.
const DOMAINS: [&str; 3] = ["nottingham", "leicester", "derby"];
/// Time that an append to the log takes.
const APPEND_TIME: Duration = Duration::from_millis(3);

/// Something that happens at a time after the start.
#[derive(Debug, Clone, Copy)]
enum Event {
    Crash,
    Shift,
    HostLeaves,
    OutageBegins,
    OutageEnds,
    End,
}

/// Times in seconds.
const SCRIPT: [(u64, Event); 6] = [
    (8, Event::Crash),
    (21, Event::Shift),
    (28, Event::HostLeaves),
    (33, Event::OutageBegins),
    (38, Event::OutageEnds),
    (43, Event::End),
];

/// Runs the script; `say` is told of each step.
pub fn run<F>(seed: u64, say: F) -> Result<Report>
where
    F: Fn(&str),
{
    say("starting 3 failure domains: 6 entry hosts, 9 engines, 3 replicas of a plain service");
    let mut deployment = build()?;
    let load = Load::start(&deployment, seed);
    let began = Instant::now();
    for (second, event) in SCRIPT {
        while began.elapsed() < Duration::from_secs(second) {
            std::thread::sleep(Duration::from_millis(20));
        }
        let seconds = began.elapsed().as_secs_f64();
        let counts = load.tally().counts();
        say(&format!(
            "{seconds:5.1} s  {:22} so far {counts}",
            describe(event)
        ));
        act(&mut deployment, &load, event);
    }
    let tally = load.finish();
    Ok(tally.report(&deployment))
}

fn describe(event: Event) -> &'static str {
    match event {
        Event::Crash => "an engine crashes",
        Event::Shift => "the mix shifts",
        Event::HostLeaves => "an entry host leaves",
        Event::OutageBegins => "the log goes out",
        Event::OutageEnds => "the log is back",
        Event::End => "the callers stop",
    }
}

fn act(deployment: &mut Deployment, load: &Load, event: Event) {
    match event {
        Event::Crash => deployment.engines["derby-e3"].crash(),
        Event::Shift => load.set_mix(Mix::LongPrompts),
        Event::HostLeaves => {
            if let Some(host) = deployment.hosts.remove("leicester-h2") {
                load.forget(host.address());
                host.shut_down();
                deployment.delist("leicester-h2");
            }
        }
        Event::OutageBegins => deployment.platform.memory().set_fault(Some(Fault::Outage)),
        Event::OutageEnds => deployment.platform.memory().set_fault(None),
        Event::End => {}
    }
}

fn build() -> Result<Deployment> {
    let mut deployment = Deployment::start(APPEND_TIME)?;
    deployment.publish(&[LIBRETTO, CUE_DESK])?;
    let speed = Speed {
        prompt_tokens_per_s: 4_000.0,
        step: Duration::from_millis(15),
        step_growth: 0.03,
        batch: 16,
        ..Speed::default()
    };
    for domain in DOMAINS {
        for number in 1..=3 {
            let role = if number == 1 {
                Role::Prefill
            } else {
                Role::Decode
            };
            let build = Build {
                role,
                speed: speed.clone(),
                checks_tokens: true,
            };
            deployment.add(&format!("{domain}-e{number}"), domain, "libretto-lm", build)?;
        }
        deployment.add_plain(&format!("{domain}-c1"), domain, "cue-desk")?;
        for number in 1..=2 {
            let settings = deployment.settings(&format!("{domain}-h{number}"), domain);
            deployment.add_host(settings)?;
        }
    }
    deployment.settle(5, 12)?;
    Ok(deployment)
}

/// Returns the addresses of all entry hosts.
pub fn addresses(deployment: &Deployment) -> Arc<RwLock<Vec<SocketAddr>>> {
    let all = deployment.hosts.values().map(|host| host.address());
    Arc::new(RwLock::new(all.collect()))
}
