//! Requests that end the upstreams that run them, and come again under new identifiers.

use std::time::Duration;

use rstest::rstest;

use pistachiohall::explain::Account;
use pistachiohall::gateway::call;
use pistachiohall::gateway::suspect;
use pistachiohall::platform::ingress;
use pistachiohall::platform::store;
use pistachiohall::standin::fleet::mortal::CrashBehavior;
use pistachiohall::standin::fleet::mortal::CrashingUpstream;

use super::deployment::ACT;
use super::deployment::ACT_EMPTY;
use super::deployment::DARK;
use super::deployment::DARK_LATE;
use super::deployment::DEADLINE;
use super::deployment::DRAFT;
use super::deployment::Deployment;
use super::deployment::Kind;
use super::deployment::LONG_ASK;
use super::deployment::READ;
use super::deployment::RESET;
use super::deployment::RESET_LATE;
use super::deployment::send;
use super::site::Gateway;
use super::site::LONG_PROMPT;
use super::site::NO_ORDERS;
use super::site::wait_for;

/// Guards against a request that ends upstreams, returns under new identifiers, and is sent on for
/// as long as it comes.
#[rstest]
#[case::unsafe_reset(ACT, RESET)]
#[case::unsafe_reset_empty(ACT_EMPTY, RESET_LATE)]
#[case::unsafe_dark(ACT, DARK)]
#[case::unsafe_dark_empty(ACT_EMPTY, DARK_LATE)]
#[case::safe_reset(READ, RESET)]
#[case::safe_dark(READ, DARK_LATE)]
#[case::stream_reset(DRAFT, RESET_LATE)]
#[case::stream_dark(DRAFT, DARK)]
#[case::readers_reset(LONG_ASK, RESET)]
#[case::readers_dark(LONG_ASK, DARK_LATE)]
#[case::generators_reset(LONG_ASK, CrashBehavior { spares_prefill_engines: true, ..RESET_LATE })]
#[case::generators_dark(LONG_ASK, CrashBehavior { spares_prefill_engines: true, ..DARK })]
fn a_request_that_ends_upstreams_is_not_sent_on_for_ever(
    #[case] kind: Kind,
    #[case] nature: CrashBehavior,
) {
    let mut deployment = Deployment::new(1, nature);
    for _ in 0..8 {
        deployment.send(0, kind);
        std::thread::sleep(Duration::from_millis(250));
    }
    deployment.wait_whole();
    for _ in 0..2 {
        deployment.send(0, kind);
    }
    deployment.assert_few_ended();
    deployment.assert_others_are_served(kind);
}

/// Guards against losses that nobody notes since the caller leaves before the upstream is given up.
#[test]
fn callers_that_leave_early_do_not_hide_what_their_request_ends() {
    let mut deployment = Deployment::new(1, DARK);
    for _ in 0..8 {
        deployment.sent += 1;
        let mut client = deployment.gateways[0].client();
        let id = format!("r{}", deployment.sent);
        client
            .send(ACT.method, ACT.path, &id, &[DEADLINE], ACT.body)
            .unwrap();
        std::thread::sleep(Duration::from_millis(200));
        drop(client);
        std::thread::sleep(Duration::from_millis(300));
    }
    deployment.assert_few_ended();
    deployment.assert_others_are_served(ACT);
}

/// A request that crashes each upstream that runs it is not sent to a third one.
#[test]
fn holds_back_a_request_that_crashes_upstreams() {
    let mut deployment = Deployment::new(1, RESET_LATE);
    let statuses: Vec<u16> = (0..5)
        .map(|_| deployment.send(0, ACT).map_or(0, |answer| answer.status))
        .collect();
    assert_eq!(statuses, [502, 502, 503, 503, 503]);
    let ran = deployment
        .mortals
        .iter()
        .flat_map(CrashingUpstream::received);
    assert_eq!(ran.filter(|seen| seen.ran).count(), 2);
    let another = Kind {
        path: "/act/a",
        body: b"another",
        ..ACT
    };
    let answer = deployment.send(0, another);
    assert_eq!(answer.map_or(0, |answer| answer.status), 200);
}

/// Guards against a host that does not know what another one has seen: it is started later, or
/// again.
#[rstest]
#[case::reset(ACT, RESET)]
#[case::dark(ACT, DARK)]
#[case::readers(LONG_ASK, RESET)]
fn a_host_that_starts_learns_of_suspects(#[case] kind: Kind, #[case] nature: CrashBehavior) {
    let mut deployment = Deployment::new(2, nature);
    for _ in 0..3 {
        deployment.send(0, kind);
    }
    deployment.wait_whole();
    for _ in 0..2 {
        deployment.restart(1);
        for _ in 0..3 {
            deployment.send(1, kind);
        }
        deployment.wait_whole();
    }
    deployment.add_host();
    for _ in 0..3 {
        deployment.send(2, kind);
    }
    deployment.assert_few_ended();
    deployment.assert_others_are_served(kind);
}

/// Guards against a host that reaches the store and no peers: it does not hear what they have seen.
#[test]
fn a_host_that_hears_no_peer_learns_of_suspects_from_the_store() {
    let mut deployment = Deployment::new(1, RESET);
    // It has looked for peers once, and does so again much later.
    std::thread::sleep(Duration::from_secs(2));
    let nowhere = br#"{"peer": "127.0.0.1:9", "domain": "derby"}"#;
    deployment.store.put(store::HOST_TOPIC, "h1", nowhere);
    let second = Gateway::start("h2", deployment.store.address(), NO_ORDERS);
    second.wait_ready();
    deployment.gateways.push(second);
    // It looks for peers a while after its start, and finds one that it does not reach.
    std::thread::sleep(Duration::from_secs(3));
    for _ in 0..3 {
        deployment.send(0, ACT);
    }
    std::thread::sleep(Duration::from_secs(5));
    for _ in 0..3 {
        deployment.send(1, ACT);
    }
    deployment.assert_few_ended();
    assert!(deployment.gateways[1].line(&["peers=1"]).is_none());
    deployment.assert_others_are_served(ACT);
}

/// Guards against a second stage that is started although the request became a suspect while its
/// prompt was read.
#[test]
fn a_request_that_becomes_a_suspect_while_it_is_read_is_not_generated() {
    let mut deployment = Deployment::new(
        2,
        CrashBehavior {
            spares_prefill_engines: true,
            ..RESET_LATE
        },
    );
    let set_reading = |deployment: &Deployment, time| {
        let readers = deployment
            .mortals
            .iter()
            .filter(|mortal| mortal.is_prefill_engine());
        readers.for_each(|reader| reader.with(|life| life.set_pause(time)));
    };
    let patient = |gateway: &Gateway, id: &str| {
        let mut client = gateway.client();
        let sent = client.send("POST", LONG_ASK.path, id, &LONG_PROMPT, LONG_ASK.body);
        sent.and_then(|()| client.receive()).unwrap().status
    };
    set_reading(&deployment, Duration::from_millis(700));
    std::thread::scope(|scope| {
        let first = scope.spawn(|| patient(&deployment.gateways[0], "slow"));
        wait_for("the reading", || {
            deployment
                .mortals
                .iter()
                .any(|mortal| !mortal.received().is_empty())
        });
        set_reading(&deployment, Duration::ZERO);
        assert_eq!(patient(&deployment.gateways[1], "quick"), 502);
        wait_for("two ends", || deployment.ended() == 2);
        assert_eq!(first.join().unwrap(), 503);
    });
    assert_eq!(deployment.ended(), 2);
    let gateway = &deployment.gateways[0];
    gateway.wait_line(&["request ended", "request=slow"]);
    let line = gateway.line(&["request ended", "request=slow"]).unwrap();
    assert!(
        !line.contains(r#""step":"d"#),
        "a generator was asked: {line}"
    );
    deployment.assert_others_are_served(LONG_ASK);
}

/// Guards against a fleet that forgets suspects when all its hosts start again.
#[rstest]
#[case::reset(ACT, RESET)]
#[case::dark(DRAFT, DARK_LATE)]
fn suspects_outlast_a_restart_of_all_hosts(#[case] kind: Kind, #[case] nature: CrashBehavior) {
    let mut deployment = Deployment::new(2, nature);
    for _ in 0..3 {
        for host in 0..2 {
            deployment.send(host, kind);
            deployment.send(host, kind);
        }
        deployment.wait_whole();
        for host in 0..2 {
            deployment.gateways[host].restart();
        }
        deployment.wait_ready(0);
        deployment.wait_ready(1);
    }
    deployment.assert_few_ended();
}

/// Guards against counts of which the greater is believed: two hosts that see one end each.
#[test]
fn what_two_hosts_have_seen_adds_up() {
    let mut deployment = Deployment::new(3, RESET);
    deployment.send(0, ACT);
    deployment.wait_whole();
    deployment.send(1, ACT);
    deployment.wait_whole();
    deployment.send(2, ACT);
    deployment.wait_whole();
    for host in [0, 1, 2, 0] {
        deployment.send(host, ACT);
    }
    deployment.assert_few_ended();
}

/// Guards against a question for each request that an upstream took with it.
#[test]
fn an_upstream_that_ended_is_asked_once_for_all_it_took_with_it() {
    let deployment = Deployment::new(1, DARK_LATE);
    for mortal in &deployment.mortals {
        mortal.with(|life| life.set_pause(Duration::from_millis(300)));
    }
    std::thread::scope(|scope| {
        for number in 0..16 {
            let gateway = &deployment.gateways[0];
            scope.spawn(move || {
                let kind = Kind {
                    path: "/act/a",
                    ..ACT
                };
                send(gateway, &format!("r{number}"), kind)
            });
        }
        std::thread::sleep(Duration::from_millis(150));
        for mortal in &deployment.mortals {
            mortal.with(|life| life.cut_connections());
        }
    });
    std::thread::sleep(Duration::from_secs(1));
    let asked = deployment.gateways[0].gauge("suspect_probes_total");
    assert!(
        (1..=4).contains(&asked),
        "{asked} questions to four upstreams"
    );
}

/// The log, the metrics and `explain` tell what is known of a suspect and how old that is.
#[test]
fn tells_why_a_suspect_is_refused() {
    let mut deployment = Deployment::new(1, RESET);
    wait_for("a refusal", || {
        let answer = deployment.send(0, ACT);
        answer.is_some_and(|answer| answer.status == 503)
    });
    let gateway = &deployment.gateways[0];
    gateway.wait_line(&["exchange ended without an answer", "work=whole"]);
    gateway.wait_line(&[
        "suspect refused",
        "fingerprint=",
        "upstreams=2",
        "oldest_ms=",
    ]);
    wait_for("the gauge", || gateway.gauge("suspects") > 0);
    let refused = format!("r{}", deployment.sent);
    gateway.wait_line(&["request ended", &format!("request={refused}")]);
    let account = Account::gather(&refused, gateway.log().lines()).to_string();
    assert!(account.contains(suspect::REASON), "{account}");
    let lost = account.matches("exchange ended without an answer").count();
    assert_eq!(lost, 2, "{account}");
}

/// Tries of one request are told by what is asked and by whom, and by nothing that changes with
/// each try.
#[rstest]
#[case::identifier("pistachiohall-request-id", "r2", true)]
#[case::deadline("pistachiohall-deadline-ms", "300", true)]
#[case::agent("user-agent", "another", true)]
#[case::caller("authorization", "another", false)]
#[case::host("host", "another.example", false)]
#[case::prompt("pistachiohall-prompt-prefix", "a1:50,b2:31", false)]
fn tries_of_one_request_have_one_digest(
    #[case] field: &'static str,
    #[case] value: &'static str,
    #[case] is_same: bool,
) {
    let head = |field: &'static str, value: &'static str| {
        let mut request = http::Request::post("/act/a?x=1").body(()).unwrap();
        let fields = [
            ("host", "a.example"),
            ("pistachiohall-request-id", "r1"),
            ("pistachiohall-deadline-ms", "700"),
            ("pistachiohall-token-count", "81,4"),
            ("pistachiohall-prompt-prefix", "a1:50,b2:30"),
            ("user-agent", "one"),
            ("authorization", "one"),
            (field, value),
        ];
        for (name, value) in fields {
            let value = http::HeaderValue::from_static(value);
            request.headers_mut().insert(name, value);
        }
        ingress::parse_request(&request.into_parts().0).unwrap()
    };
    let (one, other) = (head("host", "a.example"), head(field, value));
    let is_equal = call::fingerprint(&one, b"") == call::fingerprint(&other, b"");
    assert_eq!(is_equal, is_same);
    assert_ne!(
        call::fingerprint(&one, b"a body"),
        call::fingerprint(&one, b"another")
    );
}
