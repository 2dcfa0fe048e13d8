//! Tests of requests that crash the upstreams that run them and return under new identifiers.

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use pistachiohall::explain::Account;
use pistachiohall::gateway::call;
use pistachiohall::gateway::suspect;
use pistachiohall::platform::ingress;
use pistachiohall::platform::store;
use pistachiohall::standin::fleet::mortal::CrashBehavior;
use pistachiohall::standin::fleet::mortal::CrashingUpstream;
use pistachiohall::standin::fleet::store::Fault;

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

/// Guards against forwarding a request that crashes upstreams as often as it returns under new
/// identifiers.
#[rstest]
#[case::unsafe_reset(ACT, RESET)]
#[case::unsafe_reset_empty(ACT_EMPTY, RESET_LATE)]
#[case::unsafe_silent(ACT, DARK)]
#[case::unsafe_silent_empty(ACT_EMPTY, DARK_LATE)]
#[case::safe_reset(READ, RESET)]
#[case::safe_silent(READ, DARK_LATE)]
#[case::stream_reset(DRAFT, RESET_LATE)]
#[case::stream_silent(DRAFT, DARK)]
#[case::prefill_reset(LONG_ASK, RESET)]
#[case::prefill_silent(LONG_ASK, DARK_LATE)]
#[case::decode_reset(LONG_ASK, CrashBehavior { spares_prefill_engines: true, ..RESET_LATE })]
#[case::decode_silent(LONG_ASK, CrashBehavior { spares_prefill_engines: true, ..DARK })]
fn a_request_that_crashes_upstreams_is_refused_in_the_end(
    #[case] kind: Kind,
    #[case] behavior: CrashBehavior,
) {
    let mut deployment = Deployment::new(1, behavior);
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

/// Guards against unrecorded losses: the caller leaves before the gateway gives up the upstream.
#[test]
fn losses_are_recorded_when_callers_leave_early() {
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
fn refuses_a_request_that_has_crashed_two_upstreams() {
    let mut deployment = Deployment::new(1, RESET_LATE);
    let statuses: Vec<u16> = (0..5)
        .map(|_| {
            deployment
                .send(0, ACT)
                .map_or(0, |response| response.status)
        })
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
    let response = deployment.send(0, another);
    assert_eq!(response.map_or(0, |response| response.status), 200);
}

/// Guards against a host that does not know the losses of others because it started later or
/// restarted.
#[rstest]
#[case::reset(ACT, RESET)]
#[case::silent(ACT, DARK)]
#[case::prefill(LONG_ASK, RESET)]
fn a_host_that_starts_learns_of_suspects(#[case] kind: Kind, #[case] behavior: CrashBehavior) {
    let mut deployment = Deployment::new(2, behavior);
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

/// Guards against a host that reaches the store but no peers and receives no reports of losses.
#[test]
fn a_host_without_peers_learns_of_suspects_from_the_store() {
    let mut deployment = Deployment::new(1, RESET);
    // The first host has looked for peers once and does so again much later.
    std::thread::sleep(Duration::from_secs(2));
    let nowhere = br#"{"peer": "127.0.0.1:9", "domain": "derby"}"#;
    deployment.store.put(store::HOST_TOPIC, "h1", nowhere);
    let second = Gateway::start("h2", deployment.store.address(), NO_ORDERS);
    second.wait_ready();
    deployment.gateways.push(second);
    // The second host looks for peers a while after its start and finds an unreachable one.
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

/// Guards against starting the decode of a request that became a suspect during its prefill.
#[test]
fn a_request_that_becomes_a_suspect_during_prefill_is_not_decoded() {
    let mut deployment = Deployment::new(
        2,
        CrashBehavior {
            spares_prefill_engines: true,
            ..RESET_LATE
        },
    );
    let set_prefill_pause = |deployment: &Deployment, pause| {
        let prefill_engines = deployment
            .mortals
            .iter()
            .filter(|upstream| upstream.is_prefill_engine());
        prefill_engines.for_each(|engine| engine.with(|incarnation| incarnation.set_pause(pause)));
    };
    let send_long = |gateway: &Gateway, id: &str| {
        let mut client = gateway.client();
        let sent = client.send("POST", LONG_ASK.path, id, &LONG_PROMPT, LONG_ASK.body);
        sent.and_then(|()| client.receive()).unwrap().status
    };
    set_prefill_pause(&deployment, Duration::from_millis(700));
    std::thread::scope(|scope| {
        let first = scope.spawn(|| send_long(&deployment.gateways[0], "slow"));
        wait_for("the prefill", || {
            deployment
                .mortals
                .iter()
                .any(|upstream| !upstream.received().is_empty())
        });
        set_prefill_pause(&deployment, Duration::ZERO);
        assert_eq!(send_long(&deployment.gateways[1], "quick"), 502);
        wait_for("two crashes", || deployment.ended() == 2);
        assert_eq!(first.join().unwrap(), 503);
    });
    assert_eq!(deployment.ended(), 2);
    let gateway = &deployment.gateways[0];
    gateway.wait_line(&["request ended", "request=slow"]);
    let line = gateway.line(&["request ended", "request=slow"]).unwrap();
    assert!(
        !line.contains(r#""step":"d"#),
        "a decode engine was used: {line}"
    );
    deployment.assert_others_are_served(LONG_ASK);
}

/// Guards against losing all suspects when all hosts of a fleet restart.
#[rstest]
#[case::reset(ACT, RESET)]
#[case::silent(DRAFT, DARK_LATE)]
fn suspects_survive_a_restart_of_all_hosts(#[case] kind: Kind, #[case] behavior: CrashBehavior) {
    let mut deployment = Deployment::new(2, behavior);
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

/// Order in which hosts are killed and started again.
#[derive(Clone, Copy)]
enum Restart {
    AllAtOnce,
    InTurn,
}

/// Guards against a host that writes an empty list over its stored suspects when it starts: killed once
/// more within a second, it has forgotten them.
#[rstest]
#[case::all_at_once(Restart::AllAtOnce)]
#[case::in_turn(Restart::InTurn)]
fn suspects_survive_a_second_kill_soon_after_a_start(#[case] restart: Restart) {
    const PAUSE: Duration = Duration::from_millis(400);
    let mut deployment = Deployment::new(2, RESET);
    for host in [0, 1] {
        deployment.send(host, ACT);
        deployment.send(host, ACT);
    }
    deployment.wait_whole();
    for _ in 0..3 {
        for _ in 0..2 {
            if matches!(restart, Restart::AllAtOnce) {
                for gateway in &deployment.gateways {
                    gateway.signal("-KILL");
                }
            }
            for gateway in &mut deployment.gateways {
                gateway.restart();
                if matches!(restart, Restart::InTurn) {
                    std::thread::sleep(PAUSE);
                }
            }
            if matches!(restart, Restart::AllAtOnce) {
                std::thread::sleep(PAUSE);
            }
        }
        for host in [0, 1] {
            deployment.wait_ready(host);
            deployment.send(host, ACT);
            deployment.send(host, ACT);
        }
        deployment.wait_whole();
    }
    deployment.assert_few_ended();
}

/// Guards against a host that stores what it knows before it has read what it stored itself, however
/// long the store is away after its start.
#[test]
fn a_host_stores_no_suspects_before_it_has_read_its_own() {
    let mut deployment = Deployment::new(1, RESET);
    deployment.send(0, ACT);
    deployment.send(0, ACT);
    let stored = |deployment: &Deployment| {
        let value = deployment.store.newest(store::SUSPECT_TOPIC, "h1");
        value.map_or(0, |value| {
            let losses: Vec<serde_json::Value> = serde_json::from_slice(&value).unwrap();
            losses.len()
        })
    };
    wait_for("stored losses", || stored(&deployment) == 2);
    for outage in [Duration::ZERO, Duration::from_secs(3)] {
        let is_down = !outage.is_zero();
        if is_down {
            deployment.store.set_fault(Fault::Down);
        }
        deployment.gateways[0].restart();
        std::thread::sleep(outage);
        deployment.store.set_fault(Fault::None);
        let until = Instant::now() + Duration::from_secs(2);
        while Instant::now() < until {
            assert_eq!(stored(&deployment), 2);
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

/// Guards against taking the maximum of two hosts' counts instead of their union: each host sees
/// one upstream crash.
#[test]
fn losses_of_two_hosts_add_up() {
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

/// Guards against one probe for each request that was lost at an upstream.
#[test]
fn an_upstream_is_probed_once_for_all_requests_lost_at_it() {
    let deployment = Deployment::new(1, DARK_LATE);
    for upstream in &deployment.mortals {
        upstream.with(|incarnation| incarnation.set_pause(Duration::from_millis(300)));
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
        for upstream in &deployment.mortals {
            upstream.with(|incarnation| incarnation.cut_connections());
        }
    });
    std::thread::sleep(Duration::from_secs(1));
    let probes = deployment.gateways[0].gauge("suspect_probes_total");
    assert!(
        (1..=4).contains(&probes),
        "{probes} probes of four upstreams"
    );
}

/// The log, the metrics and `explain` show the evidence against a suspect and its age.
#[test]
fn reports_the_reason_for_refusing_a_suspect() {
    let mut deployment = Deployment::new(1, RESET);
    wait_for("a refusal", || {
        let response = deployment.send(0, ACT);
        response.is_some_and(|response| response.status == 503)
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
    assert!(account.contains(suspect::REFUSAL_REASON), "{account}");
    let lost = account.matches("exchange ended without an answer").count();
    assert_eq!(lost, 2, "{account}");
}

/// The fingerprint depends on a request's content and caller, and on nothing that differs between
/// attempts.
#[rstest]
#[case::identifier("pistachiohall-request-id", "r2", true)]
#[case::deadline("pistachiohall-deadline-ms", "300", true)]
#[case::agent("user-agent", "another", true)]
#[case::caller("authorization", "another", false)]
#[case::host("host", "another.example", false)]
#[case::prompt("pistachiohall-prompt-prefix", "a1:50,b2:31", false)]
fn attempts_of_one_request_have_one_fingerprint(
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
