//! Tests of failures that operators of similar systems have reported.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use pistachiohall::platform::store;
use pistachiohall::standin::fleet;
use pistachiohall::standin::fleet::client::Client;
use pistachiohall::standin::fleet::replica::Behavior;
use pistachiohall::standin::fleet::store::Fault;

use super::site::Gateway;
use super::site::NO_ORDERS;
use super::site::Site;
use super::site::wait_for;

const SHORT_PROMPT: [(&str, &str); 2] = [
    ("Pistachiohall-Token-Count", "200,6"),
    ("Pistachiohall-Prompt-Prefix", "a1:50,b2:30,c3:120"),
];

/// Guards against delivering a duplicate response: it arrives late on a connection that is in use
/// again, and its bytes look like the response to the next request.
#[test]
fn a_late_duplicate_response_is_not_delivered() {
    let site = Site::desks(&["c1"]);
    site.replicas["c1"].set_behavior(Behavior::Late);
    let mut clients: Vec<Client> = (0..4).map(|_| site.gateway.client()).collect();
    for round in 0..20 {
        for (number, client) in clients.iter_mut().enumerate() {
            let (method, path) = match number % 2 {
                0 => ("GET", "/read/a"),
                _ => ("POST", "/act/a"),
            };
            let id = format!("r{round}-{number}");
            client.send(method, path, &id, &[], b"").unwrap();
        }
        for (number, client) in clients.iter_mut().enumerate() {
            let answer = client.receive().unwrap();
            let id = format!("r{round}-{number}");
            assert_eq!(answer.fields["pistachiohall-request-id"], id);
            assert_eq!(answer.body, "the whole answer");
        }
    }
    let runs = |id: &str| {
        let received = site.replicas["c1"].received();
        received
            .iter()
            .filter(|received| received.ran && received.field("pistachiohall-request-id") == id)
            .count()
    };
    for round in 0..20 {
        assert_eq!(
            runs(&format!("r{round}-1")),
            1,
            "an unsafe request ran once"
        );
    }
}

/// Identifiers of requests without a complete response, by the kind of connection.
#[derive(Default)]
struct Aborted {
    on_new: Vec<String>,
    on_reused: Vec<String>,
}

/// Sends requests on new and reused connections until `until` or until no connection is accepted.
fn send_load(callers: SocketAddr, name: &str, until: Instant) -> Aborted {
    let mut aborted = Aborted::default();
    let mut idle: Option<Client> = None;
    for number in 0.. {
        if Instant::now() > until {
            break;
        }
        let is_new = idle.is_none();
        let Ok(mut client) = idle.take().map_or_else(|| Client::connect(callers), Ok) else {
            break;
        };
        let id = format!("{name}-{number}");
        let sent = client.send("POST", "/act/a", &id, &[], b"");
        let answer = client.receive();
        match (sent, answer) {
            (Ok(()), Ok(answer)) if answer.status == 200 && answer.is_complete => {
                let closes = answer
                    .fields
                    .get("connection")
                    .is_some_and(|text| text == "close");
                idle = (!closes).then_some(client);
            }
            _ if is_new => aborted.on_new.push(id),
            _ => aborted.on_reused.push(id),
        }
    }
    aborted
}

/// Guards against aborting requests at a graceful shutdown under load, also those on connections
/// that are opened just before the balancer removes the host.
#[test]
fn a_graceful_shutdown_under_load_aborts_no_request() {
    let more = "[orders]\nread_share = 0\n[shutdown]\nbalancer_lag = 1500ms\nlimit = 8s\n";
    let mut site = Site::start(&["c1", "c2"], &[], more);
    site.replicas
        .values()
        .for_each(|replica| replica.set_pause(Duration::from_millis(20)));
    let callers = site.gateway.callers();
    let started_at = Instant::now();
    let stop = started_at + Duration::from_millis(400);
    // Callers stop sending before the listener closes; requests in flight go on.
    let until = stop + Duration::from_millis(1300);
    let aborted: Vec<Aborted> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..16)
            .map(|number| scope.spawn(move || send_load(callers, &format!("p{number}"), until)))
            .collect();
        std::thread::sleep(stop.saturating_duration_since(Instant::now()));
        site.gateway.signal("-TERM");
        let threads = callers.into_iter();
        threads.map(|thread| thread.join().unwrap()).collect()
    });
    let on_new: Vec<&String> = aborted.iter().flat_map(|aborted| &aborted.on_new).collect();
    assert!(on_new.is_empty(), "{on_new:?}");
    // A request may be sent while its idle connection is being closed; it must not have reached an
    // upstream.
    let replicas = site.replicas.values();
    let reached: HashSet<String> = replicas
        .flat_map(|replica| replica.received())
        .map(|received| received.field("pistachiohall-request-id").to_owned())
        .collect();
    let on_reused = aborted.iter().flat_map(|aborted| &aborted.on_reused);
    let passed_on: Vec<&String> = on_reused.filter(|id| reached.contains(*id)).collect();
    assert!(passed_on.is_empty(), "{passed_on:?}");
    assert_eq!(site.gateway.wait(), Some(0));
    let ran = site.runs();
    assert!(ran > 100, "{ran} requests ran");
}

/// Guards against using a withdrawn route or a removed upstream again after a restart during an
/// outage of the store: the host takes over the view of its peer.
#[rstest]
#[case::drained("draining")]
#[case::removed("")]
fn a_restart_without_the_store_restores_no_removed_state(#[case] state: &str) {
    let mut site = Site::desks(&["c1", "c2"]);
    let second = Gateway::start("h2", site.store.address(), NO_ORDERS);
    second.wait_ready();
    second.wait_line(&["peers=1"]);
    let mut config = fleet::config(9);
    let routes = config["routes"].as_array_mut().unwrap();
    routes.retain(|route| route["path_prefix"] != "/act/");
    site.store.put_config(&config);
    second.wait_line(&["config=9", "outcome=in-force"]);
    if state.is_empty() {
        site.store.remove(store::UPSTREAM_TOPIC, "c1");
        second.wait_line(&["upstream=c1", "outcome=removed"]);
    } else {
        site.replicas["c1"].register(&site.store, state);
        second.wait_line(&["upstream=c1", "state=Draining"]);
    }
    let before = site.replicas["c1"].received().len();
    site.store.set_fault(Fault::Down);
    site.gateway.restart();
    site.gateway.wait_ready();
    for number in 0..20 {
        let id = format!("r{number}");
        assert_eq!(site.gateway.call("GET", "/read/a", &id, &[]).status, 200);
        assert_eq!(site.gateway.call("POST", "/act/a", &id, &[]).status, 404);
    }
    assert_eq!(site.replicas["c1"].received().len(), before);
}

/// Guards against a second run of a stream whose upstream is slow to renew its entry: the entry
/// expires and returns while the stream runs.
#[rstest]
#[case::may_be_resumed("/ask/a")]
#[case::runs_once("/draft/a")]
fn a_stream_continues_while_its_upstreams_entry_expires_and_returns(#[case] path: &str) {
    let site = Site::start(&[], &[("d1", "decode"), ("d2", "decode")], NO_ORDERS);
    site.replicas
        .values()
        .for_each(|replica| replica.set_pause(Duration::from_millis(200)));
    let mut client = site.gateway.client();
    client.send("POST", path, "r1", &SHORT_PROMPT, b"").unwrap();
    wait_for("the run", || site.runs() == 1);
    let used = if site.replicas["d1"].runs() == 1 {
        "d1"
    } else {
        "d2"
    };
    site.store.remove(store::UPSTREAM_TOPIC, used);
    site.gateway
        .wait_line(&[&format!("upstream={used}"), "outcome=removed"]);
    site.replicas[used].register(&site.store, "ready");
    let answer = client.receive().unwrap();
    assert!(answer.is_complete && answer.status == 200, "{answer:?}");
    assert_eq!(site.runs(), 1);
}

/// Guards against a second run, by another host or at another upstream, of a stream whose host is
/// stopped for a while.
#[test]
fn a_stream_continues_after_its_host_was_stopped() {
    let site = Site::start(&[], &[("d1", "decode"), ("d2", "decode")], NO_ORDERS);
    let second = Gateway::start("h2", site.store.address(), NO_ORDERS);
    second.wait_ready();
    site.replicas
        .values()
        .for_each(|replica| replica.set_pause(Duration::from_millis(100)));
    let mut client = site.gateway.client();
    client
        .send("POST", "/draft/a", "r1", &SHORT_PROMPT, b"")
        .unwrap();
    wait_for("the run", || site.runs() == 1);
    site.gateway.signal("-STOP");
    std::thread::sleep(Duration::from_millis(700));
    site.gateway.signal("-CONT");
    let answer = client.receive().unwrap();
    assert!(answer.is_complete && answer.status == 200, "{answer:?}");
    assert_eq!(site.runs(), 1);
}

/// Guards against sending an order twice to engines that don't check fencing tokens, when two hosts
/// would give the same orders. `decisions::term` checks the time between orders at a failover.
#[test]
fn an_order_is_sent_by_one_of_two_hosts() {
    let orders = "[orders]\nread_share = 0.67\nlease = 600ms\n";
    let engines = [("d1", "decode"), ("d2", "decode"), ("d3", "decode")];
    let site = Site::start(&[], &engines, orders);
    let second = Gateway::start("h2", site.store.address(), orders);
    second.wait_ready();
    wait_for("orders", || {
        let accepted: u64 = site.replicas.values().map(|replica| replica.role().1).sum();
        accepted == 2
    });
    std::thread::sleep(Duration::from_millis(1500));
    for (id, replica) in &site.replicas {
        let received = replica.received();
        let orders = received
            .iter()
            .filter(|received| received.path == "/v1/order")
            .count();
        assert!(orders <= 1, "{orders} orders were sent to {id}");
    }
    assert!(second.line(&["role ordered"]).is_none());
}
