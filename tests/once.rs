//! Calls with an idempotency key, with a ticket and with neither.

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

fn advance_cue(caller: &Caller, name: &str, header: &'static str, value: &str) -> Received {
    let path = format!("/services/cue-desk/advance/{name}");
    caller.post(&path, "{}", &[(header, value.to_owned())])
}

fn advance_with_key(caller: &Caller, name: &str, key: Uuid) -> Received {
    advance_cue(caller, name, "idempotency-key", &key.to_string())
}

fn issue_tickets(caller: &Caller, count: usize) -> Vec<String> {
    let response = caller.post(&format!("/tickets/cue-desk?count={count}"), "", &[]);
    let tickets = response.body["tickets"].as_array().unwrap();
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
    let first = advance_with_key(&here, "cue-1", key);
    assert_eq!((first.status, first.outcome.as_str()), (200, "ran"));
    for caller in [&here, &there, &there] {
        let again = advance_with_key(caller, "cue-1", key);
        assert_eq!(again.body, first.body);
    }
    assert_eq!(runs(&deployment, "cue-1"), 1);
    let other = advance_with_key(&there, "cue-2", key);
    assert_eq!((other.status, other.outcome.as_str()), (422, "not-run"));
    assert_eq!(runs(&deployment, "cue-2"), 0);
}

#[test]
fn one_key_sent_to_two_hosts_at_once_runs_once() {
    let deployment = common::two_domains();
    let key = Uuid::now_v7();
    let send = |host: &str| {
        let caller = deployment.caller(host, DESK_KEY);
        move || advance_with_key(&caller, "cue-1", key)
    };
    let threads: Vec<_> = ["derby-h1", "leicester-h1", "derby-h1", "leicester-h1"]
        .map(|host| std::thread::spawn(send(host)))
        .into();
    let responses: Vec<Received> = threads
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect();
    assert_eq!(runs(&deployment, "cue-1"), 1);
    assert!(
        responses.iter().all(|response| response.body["runs"] == 1),
        "{responses:?}"
    );
}

#[test]
fn a_key_whose_record_the_log_may_not_keep_is_refused() {
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
        let response = advance_with_key(&caller, "cue-1", key);
        assert_eq!((response.status, response.outcome.as_str()), (400, outcome));
    }
    assert_eq!(runs(&deployment, "cue-1"), 0);
}

#[test]
fn a_host_started_in_a_log_outage_serves_and_reports_a_retried_call_as_unknown() {
    let mut deployment = common::two_domains();
    let key = Uuid::now_v7();
    let here = deployment.caller("derby-h1", DESK_KEY);
    assert_eq!(advance_with_key(&here, "cue-1", key).outcome, "ran");
    deployment.platform.memory().set_fault(Some(Fault::Outage));
    let peer = deployment.hosts["derby-h1"].core().settings.peer_listen;
    let settings = Settings {
        seeds: vec![peer],
        ..deployment.settings("derby-h2", "derby")
    };
    deployment.add_host(settings).unwrap();
    deployment.settle(1, 6).unwrap();
    let new_host = deployment.caller("derby-h2", DESK_KEY);
    assert!(new_host.stream(common::MODEL, "from a fresh host", 5).whole);
    let retry = advance_with_key(&new_host, "cue-1", key);
    assert_eq!((retry.status, retry.outcome.as_str()), (503, "unknown"));
    assert_eq!(runs(&deployment, "cue-1"), 1);
}

#[test]
fn in_a_log_outage_claims_are_refused_and_tickets_work() {
    let deployment = common::two_domains();
    let here = deployment.caller("derby-h1", DESK_KEY);
    let there = deployment.caller("leicester-h1", DESK_KEY);
    let issued = issue_tickets(&here, 2);
    deployment.platform.memory().set_fault(Some(Fault::Outage));
    let refused = advance_with_key(&here, "cue-1", Uuid::now_v7());
    assert_eq!(refused.status, 503, "{refused:?}");
    assert_eq!(runs(&deployment, "cue-1"), 0);
    let response = advance_cue(&here, "cue-2", "ticket", &issued[0]);
    assert_eq!((response.status, response.outcome.as_str()), (200, "ran"));
    let relayed = advance_cue(&there, "cue-3", "ticket", &issued[1]);
    assert_eq!((relayed.status, relayed.outcome.as_str()), (200, "ran"));
    let retried = advance_cue(&there, "cue-2", "ticket", &issued[0]);
    assert_eq!(retried.body, response.body);
    assert_eq!(
        (runs(&deployment, "cue-2"), runs(&deployment, "cue-3")),
        (1, 1)
    );
    let other = advance_cue(&there, "cue-4", "ticket", &issued[0]);
    assert_eq!((other.status, other.outcome.as_str()), (422, "not-run"));
}

#[test]
fn a_call_whose_claim_was_appended_without_a_response_runs_once() {
    let deployment = common::two_domains();
    let caller = deployment.caller("derby-h1", DESK_KEY);
    deployment
        .platform
        .memory()
        .set_fault(Some(Fault::LostAnswer));
    let key = Uuid::now_v7();
    let response = advance_with_key(&caller, "cue-1", key);
    assert_eq!((response.status, response.outcome.as_str()), (200, "ran"));
    assert_eq!(advance_with_key(&caller, "cue-1", key).body, response.body);
    assert_eq!(runs(&deployment, "cue-1"), 1);
}

#[test]
fn a_call_whose_response_was_lost_stays_unknown() {
    let deployment = common::two_domains();
    let caller = deployment.caller("derby-h1", DESK_KEY);
    for plain in deployment.plains.values() {
        plain.faults().loses_answers.store(true, Ordering::SeqCst);
    }
    let key = Uuid::now_v7();
    let plain_call = caller.post("/services/cue-desk/advance/cue-2", "{}", &[]);
    assert_eq!(plain_call.outcome, "unknown");
    assert_eq!(advance_with_key(&caller, "cue-1", key).outcome, "unknown");
    for plain in deployment.plains.values() {
        plain.faults().loses_answers.store(false, Ordering::SeqCst);
    }
    assert_eq!(advance_with_key(&caller, "cue-1", key).outcome, "unknown");
    assert_eq!(
        (runs(&deployment, "cue-1"), runs(&deployment, "cue-2")),
        (1, 1)
    );
}

#[test]
fn a_leaving_host_hands_over_the_outcomes_of_its_tickets() {
    let mut deployment = common::two_domains();
    let here = deployment.caller("derby-h1", DESK_KEY);
    let there = deployment.caller("leicester-h1", DESK_KEY);
    let issued = issue_tickets(&here, 2);
    let response = advance_cue(&here, "cue-1", "ticket", &issued[0]);
    assert!(deployment.hosts.remove("derby-h1").unwrap().shut_down());
    assert_eq!(
        advance_cue(&there, "cue-1", "ticket", &issued[0]).body,
        response.body
    );
    let void = advance_cue(&there, "cue-2", "ticket", &issued[1]);
    assert_eq!((void.status, void.outcome.as_str()), (410, "not-run"));
    assert_eq!(
        (runs(&deployment, "cue-1"), runs(&deployment, "cue-2")),
        (1, 0)
    );
}

#[test]
fn a_ticket_of_a_crashed_host_has_an_unknown_outcome() {
    let mut deployment = common::two_domains();
    let here = deployment.caller("derby-h1", DESK_KEY);
    let there = deployment.caller("leicester-h1", DESK_KEY);
    let issued = issue_tickets(&here, 1);
    deployment.hosts.remove("derby-h1").unwrap().abandon();
    let is_unknown = || advance_cue(&there, "cue-1", "ticket", &issued[0]).outcome == "unknown";
    assert!(wait_until(is_unknown));
    assert!(runs(&deployment, "cue-1") <= 1);
}

#[test]
fn an_upstream_that_announces_its_leaving_gets_no_new_work() {
    let deployment = common::two_domains();
    let caller = deployment.caller("derby-h1", DESK_KEY);
    let leaving = &deployment.plains["derby-c1"];
    leaving.faults().leaving.store(true, Ordering::SeqCst);
    for number in 0..10 {
        let name = format!("cue-{number}");
        let response = caller.post(&format!("/services/cue-desk/advance/{name}"), "{}", &[]);
        assert_eq!((response.status, runs(&deployment, &name)), (200, 1));
    }
    assert!(leaving.all_runs().is_empty());
}

#[test]
fn only_idempotent_calls_are_retried() {
    let deployment = common::two_domains();
    let caller = deployment.caller("derby-h1", DESK_KEY);
    let same_domain = &deployment.plains["derby-c1"];
    same_domain
        .faults()
        .loses_answers
        .store(true, Ordering::SeqCst);
    let read = caller.get("/services/cue-desk/cue/7");
    assert_eq!((read.status, read.outcome.as_str()), (200, "ran"));
    same_domain.faults().delay_ms.store(
        Duration::from_millis(1).as_millis() as usize,
        Ordering::SeqCst,
    );
    let response = caller.post("/services/cue-desk/advance/cue-9", "{}", &[]);
    assert_eq!(
        (response.outcome.as_str(), runs(&deployment, "cue-9")),
        ("unknown", 1)
    );
}
