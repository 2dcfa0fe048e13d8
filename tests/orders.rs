//! Orders to engines through changes of authority.

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

/// Tokens of a stream that outlasts the start of an order.
const LONG: u64 = 1500;

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

fn ask(deployment: &Deployment, engine: &str, action: Action) {
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

fn assert_no_harm(deployment: &Deployment) {
    for (name, engine) in &deployment.engines {
        let book = engine.book();
        assert_eq!(book.cut, 0, "{name} was cut");
        assert_eq!(book.conflicts, 0, "{name} got conflicting orders");
        assert!(
            !book.has_stale_effect(),
            "{name} obeyed an old token: {:?}",
            book.effects
        );
    }
}

#[rstest]
#[case::checking_engines(true)]
#[case::ignoring_engines(false)]
fn a_planned_change_cuts_no_stream(#[case] checks_tokens: bool) {
    let deployment = one_domain(checks_tokens);
    let prompts: Vec<String> = (0..9).map(|number| format!("prompt {number}")).collect();
    let streams: Vec<_> = prompts
        .iter()
        .map(|prompt| {
            let caller = deployment.caller("h1", DESK_KEY);
            let prompt = prompt.clone();
            thread::spawn(move || caller.stream(MODEL, &prompt, LONG))
        })
        .collect();
    ask(&deployment, "e1", Action::Version("v2".into()));
    for (prompt, running) in prompts.iter().zip(streams) {
        let got = running.join().unwrap();
        assert!(got.whole, "{got:?}");
        assert_eq!(got.text, engine::expected(prompt, LONG));
    }
    assert!(wait_until(|| is_closed(&deployment, 1)));
    assert_eq!(deployment.engines["e1"].load().version, "v2");
    assert_no_harm(&deployment);
}

#[rstest]
#[case::checking_engines(true)]
#[case::ignoring_engines(false)]
fn orders_go_on_after_the_holder_is_killed(#[case] checks_tokens: bool) {
    let mut deployment = one_domain(checks_tokens);
    ask(&deployment, "e1", Action::Version("v2".into()));
    let replica = deployment.hosts["h1"].core().authority.replica().clone();
    assert!(wait_until(|| replica.with(|orders| !orders.open.is_empty())));
    let lease = replica.with(|orders| orders.lease.clone()).unwrap();
    let holder = lease.host.to_string();
    deployment.hosts.remove(&holder).unwrap().abandon();
    deployment.delist(&holder);
    let is_done = || is_closed(&deployment, 1) && deployment.engines["e1"].load().version == "v2";
    assert!((0..3).any(|_| wait_until(is_done)));
    assert_no_harm(&deployment);
}

#[test]
fn an_old_token_has_no_effect() {
    let deployment = one_domain(true);
    ask(&deployment, "e1", Action::Version("v2".into()));
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
    assert_no_harm(&deployment);
}

#[test]
fn a_lost_answer_to_an_order_gives_no_second_effect() {
    let deployment = one_domain(true);
    let engine = &deployment.engines["e1"];
    engine
        .faults()
        .loses_order_answers
        .store(true, Ordering::SeqCst);
    ask(&deployment, "e1", Action::Version("v2".into()));
    assert!(wait_until(|| is_closed(&deployment, 1)));
    assert_eq!(engine.book().effects.len(), 1);
    assert_no_harm(&deployment);
}

#[test]
fn an_engine_that_crashes_in_mid_change_is_changed_after_all() {
    let deployment = one_domain(true);
    let engine = &deployment.engines["e1"];
    ask(&deployment, "e1", Action::Version("v2".into()));
    assert!(wait_until(|| engine.load().busy_with.is_some()));
    engine.crash();
    let is_done = || is_closed(&deployment, 1) && engine.load().version == "v2";
    assert!((0..2).any(|_| wait_until(is_done)));
    assert_no_harm(&deployment);
}

#[test]
fn no_orders_are_given_while_the_log_is_out() {
    let deployment = one_domain(true);
    ask(&deployment, "e1", Action::Version("v2".into()));
    deployment.platform.memory().set_fault(Some(Fault::Outage));
    let caller = deployment.caller("h1", DESK_KEY);
    let got = caller.stream(MODEL, "during the outage", 20);
    assert!(got.whole, "{got:?}");
    deployment.platform.memory().set_fault(None);
    assert!(wait_until(|| is_closed(&deployment, 1)));
    assert_no_harm(&deployment);
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
    let is_out = |name: &str| {
        let all = deployment.hosts[name].core().table.all();
        all.iter().any(|one| one.id == "e1" && !one.takes_work())
    };
    assert!(wait_until(|| is_out("h1") && is_out("h2")));
    let before = deployment.engines["e1"].book().begun.len();
    for number in 0..12 {
        let caller = deployment.caller(if number % 2 == 0 { "h1" } else { "h2" }, DESK_KEY);
        assert!(caller.stream(MODEL, &format!("prompt {number}"), 3).whole);
    }
    assert_eq!(deployment.engines["e1"].book().begun.len(), before);
}

#[test]
fn the_last_engine_that_can_generate_keeps_its_role() {
    let deployment = one_domain(true);
    let roles = |role| {
        deployment
            .engines
            .values()
            .filter(|one| one.load().role == role)
            .count()
    };
    for engine in ["e1", "e2", "e3"] {
        ask(&deployment, engine, Action::Role(Role::Prefill));
    }
    assert!(wait_until(|| roles(Role::Prefill) == 2));
    let explains = || {
        deployment.hosts.values().any(|host| {
            let explanations = host.core().explanations.lock().unwrap();
            explanations
                .iter()
                .any(|reason| reason.contains("half of the work to nobody"))
        })
    };
    assert!(wait_until(explains));
    assert_eq!(roles(Role::Mixed), 1);
    assert!(
        deployment
            .caller("h1", DESK_KEY)
            .stream(MODEL, "still served", 5)
            .whole
    );
    assert_no_harm(&deployment);
}

#[test]
fn an_upstream_that_the_list_shows_as_leaving_gets_no_new_work() {
    let deployment = one_domain(true);
    deployment.platform.memory().edit_hosts(|hosts| {
        let leaver = hosts.iter_mut().find(|host| host.name == "e1").unwrap();
        leaver.state = pistachiohall::log::State::Leaving;
    });
    let takes_work = |host: &pistachiohall::standin::deployment::Entry| {
        let all = host.core().table.all();
        all.iter().any(|one| one.id == "e1" && one.takes_work())
    };
    assert!(wait_until(|| !deployment.hosts.values().any(takes_work)));
    let before = deployment.engines["e1"].book().begun.len();
    for number in 0..9 {
        let caller = deployment.caller("h1", DESK_KEY);
        assert!(caller.stream(MODEL, &format!("prompt {number}"), 3).whole);
    }
    assert_eq!(deployment.engines["e1"].book().begun.len(), before);
}
