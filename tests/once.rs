//! One-time calls: claims, tickets, and calls with neither.

use std::sync::atomic::Ordering;
use std::time::Duration;

use pistachiohall::log::memory::Fault;
use pistachiohall::settings::Settings;
use pistachiohall::standin::caller::Caller;
use pistachiohall::standin::caller::Received;
use pistachiohall::standin::deployment::wait_until;
use uuid::Uuid;

use crate::common;
use crate::common::DESK_KEY;
use crate::common::runs;

fn advance(caller: &Caller, name: &str, header: &'static str, value: &str) -> Received {
    let path = format!("/services/cue-desk/advance/{name}");
    caller.post(&path, "{}", &[(header, value.to_owned())])
}

fn with_key(caller: &Caller, name: &str, key: Uuid) -> Received {
    advance(caller, name, "idempotency-key", &key.to_string())
}

fn tickets(caller: &Caller, count: usize) -> Vec<String> {
    let got = caller.post(&format!("/tickets/cue-desk?count={count}"), "", &[]);
    let tickets = got.body["tickets"].as_array().unwrap();
    tickets
        .iter()
        .map(|ticket| ticket.as_str().unwrap().to_owned())
        .collect()
}

#[test]
fn a_claimed_call_runs_once_whichever_host_it_is_sent_to() {
    let deployment = common::two_domains();
    let here = deployment.caller("derby-h1", DESK_KEY);
    let there = deployment.caller("leicester-h1", DESK_KEY);
    let key = Uuid::now_v7();
    let first = with_key(&here, "cue-1", key);
    assert_eq!((first.status, first.outcome.as_str()), (200, "ran"));
    for caller in [&here, &there, &there] {
        let again = with_key(caller, "cue-1", key);
        assert_eq!(again.body, first.body);
    }
    assert_eq!(runs(&deployment, "cue-1"), 1);
    let other = with_key(&there, "cue-2", key);
    assert_eq!((other.status, other.outcome.as_str()), (422, "not-run"));
    assert_eq!(runs(&deployment, "cue-2"), 0);
}

#[test]
fn one_key_sent_to_two_hosts_at_once_runs_once() {
    let deployment = common::two_domains();
    let key = Uuid::now_v7();
    let send = |host: &str| {
        let caller = deployment.caller(host, DESK_KEY);
        move || with_key(&caller, "cue-1", key)
    };
    let threads: Vec<_> = ["derby-h1", "leicester-h1", "derby-h1", "leicester-h1"]
        .map(|host| std::thread::spawn(send(host)))
        .into();
    let got: Vec<Received> = threads
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect();
    assert_eq!(runs(&deployment, "cue-1"), 1);
    assert!(got.iter().all(|got| got.body["runs"] == 1), "{got:?}");
}

#[test]
fn keys_that_could_outlive_their_records_are_refused() {
    let deployment = common::two_domains();
    let caller = deployment.caller("derby-h1", DESK_KEY);
    let old = Uuid::new_v7(uuid::Timestamp::from_unix(
        uuid::NoContext,
        1_000_000_000,
        0,
    ));
    let new = Uuid::new_v7(uuid::Timestamp::from_unix(
        uuid::NoContext,
        9_000_000_000,
        0,
    ));
    let cases = [
        (old, "unknown"),
        (new, "not-run"),
        (Uuid::new_v4(), "not-run"),
    ];
    for (key, outcome) in cases {
        let got = with_key(&caller, "cue-1", key);
        assert_eq!((got.status, got.outcome.as_str()), (400, outcome));
    }
    assert_eq!(runs(&deployment, "cue-1"), 0);
}

#[test]
fn a_fresh_host_in_an_outage_serves_and_does_not_call_a_repeat_not_run() {
    let mut deployment = common::two_domains();
    let key = Uuid::now_v7();
    let here = deployment.caller("derby-h1", DESK_KEY);
    assert_eq!(with_key(&here, "cue-1", key).outcome, "ran");
    deployment.platform.memory().set_fault(Some(Fault::Outage));
    let peer = deployment.hosts["derby-h1"].core().settings.peer_listen;
    let settings = Settings {
        seeds: vec![peer],
        ..deployment.settings("derby-h2", "derby")
    };
    deployment.add_host(settings).unwrap();
    deployment.settle(1, 6).unwrap();
    let fresh = deployment.caller("derby-h2", DESK_KEY);
    assert!(fresh.stream(common::MODEL, "from a fresh host", 5).whole);
    let repeat = with_key(&fresh, "cue-1", key);
    assert_eq!((repeat.status, repeat.outcome.as_str()), (503, "unknown"));
    assert_eq!(runs(&deployment, "cue-1"), 1);
}

#[test]
fn without_the_log_claims_are_refused_and_tickets_work() {
    let deployment = common::two_domains();
    let here = deployment.caller("derby-h1", DESK_KEY);
    let there = deployment.caller("leicester-h1", DESK_KEY);
    let issued = tickets(&here, 2);
    deployment.platform.memory().set_fault(Some(Fault::Outage));
    let refused = with_key(&here, "cue-1", Uuid::now_v7());
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(runs(&deployment, "cue-1"), 0);
    let got = advance(&here, "cue-2", "ticket", &issued[0]);
    assert_eq!((got.status, got.outcome.as_str()), (200, "ran"));
    let relayed = advance(&there, "cue-3", "ticket", &issued[1]);
    assert_eq!((relayed.status, relayed.outcome.as_str()), (200, "ran"));
    let repeated = advance(&there, "cue-2", "ticket", &issued[0]);
    assert_eq!(repeated.body, got.body);
    assert_eq!(
        (runs(&deployment, "cue-2"), runs(&deployment, "cue-3")),
        (1, 1)
    );
    let other = advance(&there, "cue-4", "ticket", &issued[0]);
    assert_eq!((other.status, other.outcome.as_str()), (422, "not-run"));
}

#[test]
fn a_claim_whose_append_answer_was_lost_still_runs_once() {
    let deployment = common::two_domains();
    let caller = deployment.caller("derby-h1", DESK_KEY);
    deployment
        .platform
        .memory()
        .set_fault(Some(Fault::LostAnswer));
    let key = Uuid::now_v7();
    let got = with_key(&caller, "cue-1", key);
    assert_eq!((got.status, got.outcome.as_str()), (200, "ran"));
    assert_eq!(with_key(&caller, "cue-1", key).body, got.body);
    assert_eq!(runs(&deployment, "cue-1"), 1);
}

#[test]
fn an_answer_lost_after_the_effect_is_unknown_and_stays_so() {
    let deployment = common::two_domains();
    let caller = deployment.caller("derby-h1", DESK_KEY);
    for plain in deployment.plains.values() {
        plain.faults().loses_answers.store(true, Ordering::SeqCst);
    }
    let key = Uuid::now_v7();
    let plain_call = caller.post("/services/cue-desk/advance/cue-2", "{}", &[]);
    assert_eq!(plain_call.outcome, "unknown");
    assert_eq!(with_key(&caller, "cue-1", key).outcome, "unknown");
    for plain in deployment.plains.values() {
        plain.faults().loses_answers.store(false, Ordering::SeqCst);
    }
    assert_eq!(with_key(&caller, "cue-1", key).outcome, "unknown");
    assert_eq!(
        (runs(&deployment, "cue-1"), runs(&deployment, "cue-2")),
        (1, 1)
    );
}

#[test]
fn a_leaver_hands_over_what_its_tickets_did() {
    let mut deployment = common::two_domains();
    let here = deployment.caller("derby-h1", DESK_KEY);
    let there = deployment.caller("leicester-h1", DESK_KEY);
    let issued = tickets(&here, 2);
    let got = advance(&here, "cue-1", "ticket", &issued[0]);
    assert!(deployment.hosts.remove("derby-h1").unwrap().shut_down());
    assert_eq!(
        advance(&there, "cue-1", "ticket", &issued[0]).body,
        got.body
    );
    let void = advance(&there, "cue-2", "ticket", &issued[1]);
    assert_eq!((void.status, void.outcome.as_str()), (410, "not-run"));
    assert_eq!(
        (runs(&deployment, "cue-1"), runs(&deployment, "cue-2")),
        (1, 0)
    );
}

#[test]
fn a_ticket_of_a_host_that_vanished_is_unknown() {
    let mut deployment = common::two_domains();
    let here = deployment.caller("derby-h1", DESK_KEY);
    let there = deployment.caller("leicester-h1", DESK_KEY);
    let issued = tickets(&here, 1);
    deployment.hosts.remove("derby-h1").unwrap().abandon();
    let is_silent = || advance(&there, "cue-1", "ticket", &issued[0]).outcome == "unknown";
    assert!(wait_until(is_silent));
    assert!(runs(&deployment, "cue-1") <= 1);
}

#[test]
fn an_upstream_that_leaves_by_its_own_word_gets_no_new_work() {
    let deployment = common::two_domains();
    let caller = deployment.caller("derby-h1", DESK_KEY);
    let leaver = &deployment.plains["derby-c1"];
    leaver.faults().leaving.store(true, Ordering::SeqCst);
    for number in 0..10 {
        let name = format!("cue-{number}");
        let got = caller.post(&format!("/services/cue-desk/advance/{name}"), "{}", &[]);
        assert_eq!((got.status, runs(&deployment, &name)), (200, 1));
    }
    assert!(leaver.all_runs().is_empty());
}

#[test]
fn idempotent_calls_are_sent_again_and_others_are_not() {
    let deployment = common::two_domains();
    let caller = deployment.caller("derby-h1", DESK_KEY);
    let near = &deployment.plains["derby-c1"];
    near.faults().loses_answers.store(true, Ordering::SeqCst);
    let read = caller.get("/services/cue-desk/cue/7");
    assert_eq!((read.status, read.outcome.as_str()), (200, "ran"));
    near.faults().delay_ms.store(
        Duration::from_millis(1).as_millis() as usize,
        Ordering::SeqCst,
    );
    let got = caller.post("/services/cue-desk/advance/cue-9", "{}", &[]);
    assert_eq!(
        (got.outcome.as_str(), runs(&deployment, "cue-9")),
        ("unknown", 1)
    );
}
