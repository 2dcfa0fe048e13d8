//! Tests of requests to plain services: complete responses, refusals only of requests that did not
//! run, at most one run of unsafe requests.

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;
use serde_json::json;

use pistachiohall::standin::fleet;
use pistachiohall::standin::fleet::replica::Behavior;
use pistachiohall::standin::fleet::replica::STAMP;

use super::site::Site;
use super::site::wait_for;

const BODY: &str = "the whole answer";

#[test]
fn forwards_a_response_unchanged() {
    let site = Site::desks(&["c1"]);
    let answer = site
        .gateway
        .call("GET", "/read/a?b=c", "r1", &[("X-Own", "kept")]);
    assert_eq!((answer.status, answer.body.as_str()), (200, BODY));
    assert_eq!(answer.fields["pistachiohall-server-stamp"], STAMP);
    assert_eq!(answer.fields["pistachiohall-request-id"], "r1");
    let received = &site.replicas["c1"].received()[0];
    assert_eq!(
        (received.method.as_str(), received.path.as_str()),
        ("GET", "/read/a")
    );
    assert_eq!(received.field("x-own"), "kept");
    assert_eq!(received.field("pistachiohall-expect-instance"), "c1");
}

#[test]
fn strips_header_fields_that_only_the_system_may_set() {
    let site = Site::desks(&["c1"]);
    let reserved = [
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
    assert_eq!(
        site.gateway.call("GET", "/read/a", "r1", &reserved).status,
        200
    );
    let received = &site.replicas["c1"].received()[0];
    for (name, value) in reserved {
        assert_ne!(received.field(&name.to_lowercase()), value, "{name}");
    }
}

/// Guards against passing on the end of the upstream's connection as the end of the caller's.
#[test]
fn forwards_a_response_that_ends_with_its_connection() {
    let site = Site::desks(&["c1"]);
    site.replicas["c1"].set_behavior(Behavior::Unframed);
    let mut client = site.gateway.client();
    for id in ["r1", "r2"] {
        client.send("POST", "/act/a", id, &[], b"").unwrap();
        let answer = client.receive().unwrap();
        assert_eq!(
            (answer.status, answer.body.as_str()),
            (200, "the whole answer")
        );
        assert!(answer.fields.contains_key("content-length"));
    }
    assert_eq!(site.runs(), 2);
}

/// Guards against passing an incomplete or foreign response to a caller as a success.
#[rstest]
#[case(Behavior::Reset)]
#[case(Behavior::Foreign)]
#[case(Behavior::Unsigned)]
#[case(Behavior::Short)]
#[case(Behavior::UnframedBreak(0))]
#[case(Behavior::Encoded)]
fn fails_an_unsafe_request_whose_response_is_not_trusted(#[case] behavior: Behavior) {
    let site = Site::desks(&["c1", "c2"]);
    site.replicas
        .values()
        .for_each(|replica| replica.set_behavior(behavior));
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
fn retries_a_safe_request_elsewhere(#[case] behavior: Behavior) {
    let site = Site::desks(&["c1", "c2"]);
    site.replicas["c1"].set_behavior(behavior);
    for number in 0..8 {
        let answer = site
            .gateway
            .call("GET", "/read/a", &format!("r{number}"), &[]);
        assert_eq!((answer.status, answer.body.as_str()), (200, BODY));
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
fn forwards_an_upstreams_error_response() {
    let site = Site::desks(&["c1"]);
    site.replicas["c1"].set_behavior(Behavior::Fail);
    let answer = site.gateway.call("POST", "/act/a", "r1", &[]);
    assert_eq!((answer.status, answer.body.as_str()), (500, "failed"));
    assert_eq!(answer.fields["pistachiohall-server-stamp"], STAMP);
}

/// Guards against more runs than the route's attempts of a request that an upstream answers with
/// an error.
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
fn refuses_when_all_upstreams_refuse() {
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
fn retries_an_unsafe_request_elsewhere_after_a_refusal() {
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

/// A refusal states that the request has not run and will not run; a missing response doesn't prove
/// that.
#[test]
fn does_not_refuse_a_request_without_a_response() {
    let site = Site::desks(&["c1"]);
    site.replicas["c1"].set_behavior(Behavior::Hang);
    let started_at = Instant::now();
    let deadline = [("Pistachiohall-Deadline-Ms", "600")];
    let answer = site.gateway.call("POST", "/act/a", "r1", &deadline);
    assert_eq!(answer.status, 502);
    assert!(started_at.elapsed() < Duration::from_millis(600 + 500));
}

#[test]
fn replies_at_the_routes_timeout() {
    let site = Site::desks(&["c1"]);
    site.replicas["c1"].set_behavior(Behavior::Hang);
    let started_at = Instant::now();
    let deadline = [("Pistachiohall-Deadline-Ms", "9000")];
    let answer = site.gateway.call("POST", "/act/a", "r1", &deadline);
    assert_eq!(answer.status, 502);
    let taken = started_at.elapsed();
    assert!(taken >= Duration::from_millis(2000), "{taken:?}");
    assert!(taken < Duration::from_millis(2500), "{taken:?}");
}

#[test]
fn forwards_the_time_left_until_the_deadline() {
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
        .map(|received| received.field("pistachiohall-deadline-ms").parse().unwrap())
        .collect();
    left.sort_unstable();
    assert_eq!(left.len(), 2);
    assert!(left[1] <= 1000);
    assert!(
        left[0] <= 1000 - 240,
        "the second attempt does not get the time left: {left:?}"
    );
}

#[test]
fn cancels_the_upstreams_work_when_the_caller_disconnects() {
    let site = Site::desks(&["c1"]);
    site.replicas["c1"].set_behavior(Behavior::Hang);
    let mut client = site.gateway.client();
    client.send("POST", "/act/a", "r1", &[], b"").unwrap();
    wait_for("arrival", || site.runs() == 1);
    let disconnected_at = Instant::now();
    drop(client);
    wait_for("cancellation", || {
        site.replicas["c1"].received()[0].left_after.is_some()
    });
    assert!(disconnected_at.elapsed() < Duration::from_millis(500));
    site.gateway.wait_line(&["request=r1", "outcome=left"]);
}

/// Guards against a surplus response on a kept connection that is taken for the response to the
/// next request.
#[rstest]
#[case(Behavior::Extra, "GET", "/read/a")]
#[case(Behavior::Extra, "POST", "/act/a")]
#[case(Behavior::Late, "GET", "/read/a")]
#[case(Behavior::Late, "POST", "/act/a")]
fn does_not_match_a_surplus_response_with_the_next_request(
    #[case] behavior: Behavior,
    #[case] method: &str,
    #[case] path: &str,
) {
    let site = Site::desks(&["c1"]);
    site.replicas["c1"].set_behavior(behavior);
    for number in 0..20 {
        let answer = site.gateway.call(method, path, &format!("r{number}"), &[]);
        assert_eq!((answer.status, answer.body.as_str()), (200, BODY));
    }
}

#[test]
fn forwards_no_bytes_beyond_the_response() {
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
        assert_eq!(answer.body, BODY);
    }
}

/// Guards against a second attempt on a kept connection: surplus responses wait on several of them.
#[test]
fn retries_on_a_new_connection() {
    let site = Site::desks(&["c1"]);
    site.replicas["c1"].set_behavior(Behavior::Late);
    site.replicas["c1"].set_pause(Duration::from_millis(100));
    let mut clients: Vec<_> = (0..4).map(|_| site.gateway.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let id = format!("r{number}");
        client.send("GET", "/read/a", &id, &[], b"").unwrap();
    }
    for client in &mut clients {
        assert_eq!(client.receive().unwrap().body, BODY);
    }
    let answer = site.gateway.call("GET", "/read/a", "after", &[]);
    assert_eq!((answer.status, answer.body.as_str()), (200, BODY));
}

/// An upstream bounds the connections of all hosts together, so a host closes most of its own after
/// a burst.
#[test]
fn keeps_few_connections_after_a_burst() {
    let one_host = "[orders]\nread_share = 0\n[repeats]\nhosts_expected = 1\n";
    let site = Site::start(&["c1"], &[], one_host);
    site.replicas["c1"].set_pause(Duration::from_millis(300));
    let mut clients: Vec<_> = (0..30).map(|_| site.gateway.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        let id = format!("r{number}");
        client.send("GET", "/read/a", &id, &[], b"").unwrap();
    }
    for client in &mut clients {
        assert_eq!(client.receive().unwrap().status, 200);
    }
    let started_at = Instant::now();
    wait_for("few connections", || {
        site.replicas["c1"].open_connections() <= 8
    });
    assert!(started_at.elapsed() < Duration::from_secs(2));
}

/// Guards against retries beyond the budget while all upstreams fail.
#[test]
fn keeps_retries_within_the_budget() {
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
    let retries = site.arrivals() - requests;
    assert!(retries > 0);
    assert!(retries as f64 <= 0.2 * requests as f64 + 10.0, "{retries}");
}

/// Guards against granting the slack again to a host that restarts or reloads its settings within
/// the window in which it has used its slack.
#[rstest]
#[case::restart(true)]
#[case::reload(false)]
fn a_host_gets_its_slack_once_per_window(#[case] restarts: bool) {
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
            let slack = format!("slack: {slack}.0");
            site.gateway.wait_line(&["outcome=reloaded", &slack]);
        }
    }
    let retries = site.arrivals() - requests;
    assert!(retries as f64 <= 0.2 * requests as f64 + 10.0, "{retries}");
}
