//! Requests to plain services: whole answers, true refusals, one run.

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use serde_json::json;

use pistachiohall::standin::fleet;
use pistachiohall::standin::fleet::replica::Behavior;
use pistachiohall::standin::fleet::replica::STAMP;

use super::site::Site;
use super::site::wait_for;

const WHOLE: &str = "the whole answer";

#[test]
fn passes_an_answer_on_unchanged() {
    let site = Site::desks(&["c1"]);
    let answer = site
        .gateway
        .call("GET", "/read/a?b=c", "r1", &[("X-Own", "kept")]);
    assert_eq!((answer.status, answer.body.as_str()), (200, WHOLE));
    assert_eq!(answer.fields["pistachiohall-server-stamp"], STAMP);
    assert_eq!(answer.fields["pistachiohall-request-id"], "r1");
    let seen = &site.replicas["c1"].received()[0];
    assert_eq!(
        (seen.method.as_str(), seen.path.as_str()),
        ("GET", "/read/a")
    );
    assert_eq!(seen.field("x-own"), "kept");
    assert_eq!(seen.field("pistachiohall-expect-instance"), "c1");
}

#[test]
fn strips_fields_that_are_the_systems_to_set() {
    let site = Site::desks(&["c1"]);
    let own = [
        ("Pistachiohall-Kv-Hold", "h"),
        ("Pistachiohall-Pin-Ms", "9"),
        ("Pistachiohall-Kv-Backup", "127.0.0.1:9"),
        ("Pistachiohall-Kv-Source", "127.0.0.1:9/h"),
        ("Pistachiohall-Stage", "prefill"),
        ("Pistachiohall-Expect-Instance", "other"),
        ("Pistachiohall-Request-Priority", "0"),
        ("Kv-Fetch", "127.0.0.1:9"),
        ("Connection", "X-Hop"),
        ("X-Hop", "dropped"),
    ];
    assert_eq!(site.gateway.call("GET", "/read/a", "r1", &own).status, 200);
    let seen = &site.replicas["c1"].received()[0];
    for (name, value) in own {
        assert_ne!(seen.field(&name.to_lowercase()), value, "{name}");
    }
}

/// An answer that is not the upstream's own, whole one never reaches a caller as a success.
#[rstest]
#[case(Behavior::Reset)]
#[case(Behavior::Foreign)]
#[case(Behavior::Unsigned)]
#[case(Behavior::Short)]
#[case(Behavior::Encoded)]
fn fails_an_unsafe_request_whose_answer_is_in_doubt(#[case] manner: Behavior) {
    let site = Site::desks(&["c1", "c2"]);
    site.replicas
        .values()
        .for_each(|replica| replica.set_behavior(manner));
    let answer = site.gateway.call("POST", "/act/a", "r1", &[]);
    assert_eq!(answer.status, 502, "it may have run, so no refusal");
    assert_eq!(site.runs(), 1, "an unsafe request runs once at most");
}

#[rstest]
#[case(Behavior::Reset)]
#[case(Behavior::Foreign)]
#[case(Behavior::Unsigned)]
#[case(Behavior::Short)]
#[case(Behavior::Encoded)]
#[case(Behavior::Fail)]
#[case(Behavior::Hang)]
fn tries_a_safe_request_elsewhere(#[case] manner: Behavior) {
    let site = Site::desks(&["c1", "c2"]);
    site.replicas["c1"].set_behavior(manner);
    for number in 0..8 {
        let answer = site
            .gateway
            .call("GET", "/read/a", &format!("r{number}"), &[]);
        assert_eq!((answer.status, answer.body.as_str()), (200, WHOLE));
    }
}

#[test]
fn sends_a_safe_request_to_no_more_upstreams_than_allowed() {
    let site = Site::desks(&["c1", "c2", "c3"]);
    site.replicas
        .values()
        .for_each(|replica| replica.set_behavior(Behavior::Reset));
    assert_eq!(site.gateway.call("GET", "/read/a", "r1", &[]).status, 502);
    assert_eq!(site.runs(), 2);
}

#[test]
fn passes_on_an_upstreams_own_failure() {
    let site = Site::desks(&["c1"]);
    site.replicas["c1"].set_behavior(Behavior::Fail);
    let answer = site.gateway.call("POST", "/act/a", "r1", &[]);
    assert_eq!((answer.status, answer.body.as_str()), (500, "failed"));
    assert_eq!(answer.fields["pistachiohall-server-stamp"], STAMP);
}

/// Guards against a second run, beyond the route's attempts, of a request that an upstream has
/// answered with a failure of its own.
#[rstest]
#[case::one_attempt(1)]
#[case::two_attempts(2)]
fn a_failed_request_runs_at_as_many_upstreams_as_the_route_allows(#[case] attempts: usize) {
    let site = Site::desks(&["c1", "c2", "c3"]);
    let mut config = fleet::config(9);
    config["routes"][0]["max_attempts"] = json!(attempts);
    site.store.put_config(&config);
    site.gateway.wait_line(&["config=9", "outcome=in-force"]);
    site.replicas
        .values()
        .for_each(|replica| replica.set_behavior(Behavior::Fail));
    let answer = site.gateway.call("GET", "/read/a", "r1", &[]);
    assert_eq!((answer.status, answer.body.as_str()), (500, "failed"));
    assert_eq!(site.runs(), attempts);
}

#[test]
fn refuses_truly_when_all_upstreams_refuse() {
    let site = Site::desks(&["c1", "c2"]);
    site.replicas
        .values()
        .for_each(|replica| replica.set_behavior(Behavior::Shed));
    let answer = site.gateway.call("POST", "/act/a", "r1", &[]);
    assert_eq!(answer.status, 503);
    assert!(answer.fields["retry-after"].parse::<f64>().unwrap() > 0.0);
    assert_eq!(site.runs(), 0);
}

#[test]
fn tries_an_unsafe_request_elsewhere_after_a_refusal() {
    let site = Site::desks(&["c1", "c2"]);
    site.replicas["c1"].set_behavior(Behavior::Shed);
    for number in 0..8 {
        let answer = site
            .gateway
            .call("POST", "/act/a", &format!("r{number}"), &[]);
        assert_eq!(answer.status, 200);
    }
    assert_eq!(site.runs(), 8);
}

/// A refusal promises that the request has not run and never will; silence proves nothing.
#[test]
fn does_not_call_a_silent_request_refused() {
    let site = Site::desks(&["c1"]);
    site.replicas["c1"].set_behavior(Behavior::Hang);
    let begun = Instant::now();
    let deadline = [("Pistachiohall-Deadline-Ms", "600")];
    let answer = site.gateway.call("POST", "/act/a", "r1", &deadline);
    assert_eq!(answer.status, 502);
    assert!(begun.elapsed() < Duration::from_millis(600 + 500));
}

#[test]
fn answers_at_the_routes_timeout() {
    let site = Site::desks(&["c1"]);
    site.replicas["c1"].set_behavior(Behavior::Hang);
    let begun = Instant::now();
    let deadline = [("Pistachiohall-Deadline-Ms", "9000")];
    let answer = site.gateway.call("POST", "/act/a", "r1", &deadline);
    assert_eq!(answer.status, 502);
    let taken = begun.elapsed();
    assert!(taken >= Duration::from_millis(2000), "{taken:?}");
    assert!(taken < Duration::from_millis(2500), "{taken:?}");
}

#[test]
fn passes_on_what_is_left_of_the_deadline() {
    let site = Site::desks(&["c1", "c2"]);
    site.replicas
        .values()
        .for_each(|replica| replica.set_behavior(Behavior::Hang));
    let deadline = [("Pistachiohall-Deadline-Ms", "1000")];
    assert_eq!(
        site.gateway.call("GET", "/read/a", "r1", &deadline).status,
        502
    );
    let mut left: Vec<u64> = site
        .replicas
        .values()
        .flat_map(|replica| replica.received())
        .map(|seen| seen.field("pistachiohall-deadline-ms").parse().unwrap())
        .collect();
    left.sort_unstable();
    assert_eq!(left.len(), 2);
    assert!(left[1] <= 1000);
    assert!(
        left[0] <= 1000 - 240,
        "the second send is told what is left: {left:?}"
    );
}

#[test]
fn cancels_the_upstreams_work_when_the_caller_leaves() {
    let site = Site::desks(&["c1"]);
    site.replicas["c1"].set_behavior(Behavior::Hang);
    let mut client = site.gateway.client();
    client.send("POST", "/act/a", "r1", &[], b"").unwrap();
    wait_for("arrival", || site.runs() == 1);
    let left_at = Instant::now();
    drop(client);
    wait_for("cancellation", || {
        site.replicas["c1"].received()[0].left_after.is_some()
    });
    assert!(left_at.elapsed() < Duration::from_millis(500));
    site.gateway.wait_line(&["request=r1", "outcome=left"]);
}

/// A second answer comes when the next request is there: it is nobody's answer, and the request
/// gets its own.
#[rstest]
#[case(Behavior::Extra, "GET", "/read/a")]
#[case(Behavior::Extra, "POST", "/act/a")]
#[case(Behavior::Late, "GET", "/read/a")]
#[case(Behavior::Late, "POST", "/act/a")]
fn takes_no_second_answer_for_the_next_request(
    #[case] manner: Behavior,
    #[case] method: &str,
    #[case] path: &str,
) {
    let site = Site::desks(&["c1"]);
    site.replicas["c1"].set_behavior(manner);
    for number in 0..20 {
        let answer = site.gateway.call(method, path, &format!("r{number}"), &[]);
        assert_eq!((answer.status, answer.body.as_str()), (200, WHOLE));
    }
}

#[test]
fn gives_no_bytes_beyond_the_answer() {
    let site = Site::desks(&["c1"]);
    site.replicas["c1"].set_behavior(Behavior::Extra);
    let mut client = site.gateway.client();
    for number in 0..20 {
        client
            .send("GET", "/read/a", &format!("r{number}"), &[], b"")
            .unwrap();
        let answer = client.receive().unwrap();
        assert_eq!(
            answer.fields["pistachiohall-request-id"],
            format!("r{number}")
        );
        assert_eq!(answer.body, WHOLE);
    }
}

/// Late second answers wait on several kept connections: the second try takes none of these.
#[test]
fn tries_again_on_a_connection_of_its_own() {
    let site = Site::desks(&["c1"]);
    site.replicas["c1"].set_behavior(Behavior::Late);
    site.replicas["c1"].set_pause(Duration::from_millis(100));
    let mut clients: Vec<_> = (0..4).map(|_| site.gateway.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let id = format!("r{number}");
        client.send("GET", "/read/a", &id, &[], b"").unwrap();
    }
    for client in &mut clients {
        assert_eq!(client.receive().unwrap().body, WHOLE);
    }
    let answer = site.gateway.call("GET", "/read/a", "after", &[]);
    assert_eq!((answer.status, answer.body.as_str()), (200, WHOLE));
}

/// A burst is over: the upstream, which bounds the connections of all hosts, has few of them left.
#[test]
fn keeps_few_connections_after_a_burst() {
    let alone = "[orders]\nread_share = 0\n[repeats]\nhosts_expected = 1\n";
    let site = Site::start(&["c1"], &[], alone);
    site.replicas["c1"].set_pause(Duration::from_millis(300));
    let mut clients: Vec<_> = (0..30).map(|_| site.gateway.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let id = format!("r{number}");
        client.send("GET", "/read/a", &id, &[], b"").unwrap();
    }
    for client in &mut clients {
        assert_eq!(client.receive().unwrap().status, 200);
    }
    let begun = Instant::now();
    wait_for("few connections", || {
        site.replicas["c1"].open_connections() <= 8
    });
    assert!(begun.elapsed() < Duration::from_secs(2));
}

/// All upstreams fail: repeats stay within the share of the budget that one of two hosts has.
#[test]
fn keeps_repeats_within_the_budget() {
    let bounds =
        "[orders]\nread_share = 0\n[repeats]\nratio = 0.2\nslack = 10\nhosts_expected = 1\n";
    let site = Site::start(&["c1", "c2"], &[], bounds);
    site.replicas
        .values()
        .for_each(|replica| replica.set_behavior(Behavior::Fail));
    let requests = 60;
    for number in 0..requests {
        site.gateway
            .call("GET", "/read/a", &format!("r{number}"), &[]);
    }
    let repeats = site.arrivals() - requests;
    assert!(repeats > 0);
    assert!(repeats as f64 <= 0.2 * requests as f64 + 10.0, "{repeats}");
}

/// Guards against slack that is granted anew to a host that starts again, or reads its settings
/// again, within the window in which it has spent its share.
#[rstest]
#[case::restart(true)]
#[case::reload(false)]
fn a_host_spends_its_slack_once_a_window(#[case] restarts: bool) {
    let bounds = |slack: u32| {
        format!(
            "[orders]\nread_share = 0\n[repeats]\nratio = 0.2\nslack = {slack}\nwindow = 30s\n\
             hosts_expected = 1\n"
        )
    };
    let mut site = Site::start(&["c1", "c2"], &[], &bounds(10));
    site.replicas
        .values()
        .for_each(|replica| replica.set_behavior(Behavior::Fail));
    let mut requests = 0;
    for round in 1..=4 {
        for _ in 0..20 {
            requests += 1;
            let id = format!("r{requests}");
            site.gateway.call("GET", "/read/a", &id, &[]);
        }
        if restarts {
            site.gateway.restart();
            site.gateway.wait_ready();
        } else {
            let store = site.store.address();
            let slack = 10 - round;
            site.gateway.rewrite("h1", store, &bounds(slack));
            site.gateway.signal("-HUP");
            let told = format!("slack: {slack}.0");
            site.gateway.wait_line(&["outcome=reloaded", &told]);
        }
    }
    let repeats = site.arrivals() - requests;
    assert!(repeats as f64 <= 0.2 * requests as f64 + 10.0, "{repeats}");
}
