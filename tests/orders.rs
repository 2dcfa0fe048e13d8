//! Orders to engines, across changes of the lease holder and faults of engines and log.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use pistachiohall::fold::orders::Action;
use pistachiohall::fold::orders::Record;
use pistachiohall::fold::orders::stream;
use pistachiohall::log::Log;
use pistachiohall::log::memory::Fault;
use pistachiohall::order;
use pistachiohall::order::Order;
use pistachiohall::standin::deployment::Build;
use pistachiohall::standin::deployment::Deployment;
use pistachiohall::standin::deployment::wait_until;
use pistachiohall::standin::engine;
use pistachiohall::upstream::Role;
use rstest::rstest;

use crate::common::CUE_DESK;
use crate::common::DESK_KEY;
use crate::common::LIBRETTO;
use crate::common::MODEL;

/// Tokens of a stream that is still running when an order is announced.
const LONG_STREAM_TOKENS: u64 = 1500;

/// Returns one failure domain with three engines and two entry hosts.
fn one_domain(checks_tokens: bool) -> Deployment {
    let mut deployment = Deployment::start(Duration::from_millis(1)).unwrap();
    let text = match checks_tokens {
        true => LIBRETTO.to_owned(),
        false => LIBRETTO.replace("checks_tokens = yes", "checks_tokens = no"),
    };
    deployment.publish(&[&text, CUE_DESK]).unwrap();
    for name in ["e1", "e2", "e3"] {
        let build = Build {
            checks_tokens,
            ..Build::default()
        };
        deployment.add(name, "derby", "libretto-lm", build).unwrap();
    }
    for name in ["h1", "h2"] {
        deployment
            .add_host(deployment.settings(name, "derby"))
            .unwrap();
    }
    deployment.settle(1, 3).unwrap();
    deployment
}

fn request_change(deployment: &Deployment, engine: &str, action: Action) {
    let record = Record::Asked {
        upstream: engine.into(),
        action,
    };
    let data = serde_json::to_value(record).unwrap();
    deployment
        .platform
        .memory()
        .append(&stream("derby"), &data)
        .unwrap();
}

fn is_closed(deployment: &Deployment, done: u64) -> bool {
    deployment.hosts.values().all(|host| {
        host.core()
            .authority
            .replica()
            .with(|orders| orders.done >= done && orders.open.is_empty())
    })
}

fn assert_orders_are_safe(deployment: &Deployment) {
    for (name, engine) in &deployment.engines {
        let log = engine.book();
        assert_eq!(log.cut, 0, "{name} had streams aborted");
        assert_eq!(log.conflicts, 0, "{name} received conflicting orders");
        assert!(
            !log.has_stale_effect(),
            "{name} obeyed an order with an old token: {:?}",
            log.effects
        );
    }
}

#[rstest]
#[case::checking_engines(true)]
#[case::ignoring_engines(false)]
fn a_requested_change_aborts_no_stream(#[case] checks_tokens: bool) {
    let deployment = one_domain(checks_tokens);
    let prompts: Vec<String> = (0..9).map(|number| format!("prompt {number}")).collect();
    let streams: Vec<_> = prompts
        .iter()
        .map(|prompt| {
            let caller = deployment.caller("h1", DESK_KEY);
            let prompt = prompt.clone();
            thread::spawn(move || caller.stream(MODEL, &prompt, LONG_STREAM_TOKENS))
        })
        .collect();
    request_change(&deployment, "e1", Action::Version("v2".into()));
    for (prompt, running) in prompts.iter().zip(streams) {
        let received = running.join().unwrap();
        assert!(received.whole, "{received:?}");
        assert_eq!(received.text, engine::expected(prompt, LONG_STREAM_TOKENS));
    }
    assert!(wait_until(|| is_closed(&deployment, 1)));
    assert_eq!(deployment.engines["e1"].load().version, "v2");
    assert_orders_are_safe(&deployment);
}

#[rstest]
#[case::checking_engines(true)]
#[case::ignoring_engines(false)]
fn an_open_order_is_completed_after_the_lease_holder_is_killed(#[case] checks_tokens: bool) {
    let mut deployment = one_domain(checks_tokens);
    request_change(&deployment, "e1", Action::Version("v2".into()));
    let replica = deployment.hosts["h1"].core().authority.replica().clone();
    assert!(wait_until(|| replica.with(|orders| !orders.open.is_empty())));
    let lease = replica.with(|orders| orders.lease.clone()).unwrap();
    let holder = lease.host.to_string();
    deployment.hosts.remove(&holder).unwrap().abandon();
    deployment.delist(&holder);
    let is_done = || is_closed(&deployment, 1) && deployment.engines["e1"].load().version == "v2";
    assert!((0..3).any(|_| wait_until(is_done)));
    assert_orders_are_safe(&deployment);
}

#[test]
fn an_order_with_an_old_token_is_rejected() {
    let deployment = one_domain(true);
    request_change(&deployment, "e1", Action::Version("v2".into()));
    assert!(wait_until(|| is_closed(&deployment, 1)));
    let engine = &deployment.engines["e1"];
    let (token, intent) = engine.book().effects[0];
    let fence = Order {
        token: token + 1000,
        intent: None,
        action: None,
    };
    assert!(order::send(engine.address(), &fence));
    let stale = Order {
        token,
        intent: Some(intent + 1000),
        action: Some(Action::Role(Role::Prefill)),
    };
    assert!(!order::send(engine.address(), &stale));
    assert_eq!(engine.book().refused_tokens, 1);
    assert_eq!(engine.load().busy_with, None);
    assert_orders_are_safe(&deployment);
}

#[test]
fn an_order_whose_response_is_lost_takes_effect_once() {
    let deployment = one_domain(true);
    let engine = &deployment.engines["e1"];
    engine
        .faults()
        .loses_order_answers
        .store(true, Ordering::SeqCst);
    request_change(&deployment, "e1", Action::Version("v2".into()));
    assert!(wait_until(|| is_closed(&deployment, 1)));
    assert_eq!(engine.book().effects.len(), 1);
    assert_orders_are_safe(&deployment);
}

#[test]
fn an_engine_that_crashes_during_a_change_is_changed_later() {
    let deployment = one_domain(true);
    let engine = &deployment.engines["e1"];
    request_change(&deployment, "e1", Action::Version("v2".into()));
    assert!(wait_until(|| engine.load().busy_with.is_some()));
    engine.crash();
    let is_done = || is_closed(&deployment, 1) && engine.load().version == "v2";
    assert!((0..2).any(|_| wait_until(is_done)));
    assert_orders_are_safe(&deployment);
}

#[test]
fn an_order_is_completed_after_an_outage_of_the_log_that_aborts_no_stream() {
    let deployment = one_domain(true);
    request_change(&deployment, "e1", Action::Version("v2".into()));
    deployment.platform.memory().set_fault(Some(Fault::Outage));
    let caller = deployment.caller("h1", DESK_KEY);
    let received = caller.stream(MODEL, "during the outage", 20);
    assert!(received.whole, "{received:?}");
    deployment.platform.memory().set_fault(None);
    assert!(wait_until(|| is_closed(&deployment, 1)));
    assert_orders_are_safe(&deployment);
}

#[test]
fn a_drained_upstream_gets_no_new_work() {
    let deployment = one_domain(true);
    let record = Record::Drain {
        upstream: "e1".into(),
        drained: true,
    };
    let data = serde_json::to_value(record).unwrap();
    deployment
        .platform
        .memory()
        .append(&stream("derby"), &data)
        .unwrap();
    let is_out_of_use = |name: &str| {
        let upstreams = deployment.hosts[name].core().table.all();
        upstreams
            .iter()
            .any(|one| one.id == "e1" && !one.takes_work())
    };
    assert!(wait_until(|| is_out_of_use("h1") && is_out_of_use("h2")));
    let before = deployment.engines["e1"].book().begun.len();
    for number in 0..12 {
        let caller = deployment.caller(if number % 2 == 0 { "h1" } else { "h2" }, DESK_KEY);
        assert!(caller.stream(MODEL, &format!("prompt {number}"), 3).whole);
    }
    assert_eq!(deployment.engines["e1"].book().begun.len(), before);
}

#[test]
fn the_last_engine_that_can_decode_keeps_its_role() {
    let deployment = one_domain(true);
    let roles = |role| {
        deployment
            .engines
            .values()
            .filter(|one| one.load().role == role)
            .count()
    };
    for engine in ["e1", "e2", "e3"] {
        request_change(&deployment, engine, Action::Role(Role::Prefill));
    }
    assert!(wait_until(|| roles(Role::Prefill) == 2));
    let is_explained = || {
        deployment.hosts.values().any(|host| {
            let explanations = host.core().explanations.lock().unwrap();
            explanations
                .iter()
                .any(|reason| reason.contains("prefill or decode without an engine"))
        })
    };
    assert!(wait_until(is_explained));
    assert_eq!(roles(Role::Mixed), 1);
    assert!(
        deployment
            .caller("h1", DESK_KEY)
            .stream(MODEL, "still served", 5)
            .whole
    );
    assert_orders_are_safe(&deployment);
}

#[test]
fn an_upstream_listed_as_leaving_gets_no_new_work() {
    let deployment = one_domain(true);
    deployment.platform.memory().edit_hosts(|hosts| {
        let leaving = hosts.iter_mut().find(|host| host.name == "e1").unwrap();
        leaving.state = pistachiohall::log::State::Leaving;
    });
    let takes_work = |host: &pistachiohall::standin::deployment::Entry| {
        let upstreams = host.core().table.all();
        upstreams
            .iter()
            .any(|one| one.id == "e1" && one.takes_work())
    };
    assert!(wait_until(|| !deployment.hosts.values().any(takes_work)));
    let before = deployment.engines["e1"].book().begun.len();
    for number in 0..9 {
        let caller = deployment.caller("h1", DESK_KEY);
        assert!(caller.stream(MODEL, &format!("prompt {number}"), 3).whole);
    }
    assert_eq!(deployment.engines["e1"].book().begun.len(), before);
}
