//! What operators of similar systems saw go wrong, played against this one.

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

/// A second copy of an answer comes late on a connection that is in use again, and its bytes look
/// just like an answer: callers of all kinds of requests that share the upstream get their own.
#[test]
fn a_late_copy_of_an_answer_reaches_nobody() {
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
        let seen = site.replicas["c1"].received();
        seen.iter()
            .filter(|seen| seen.ran && seen.field("pistachiohall-request-id") == id)
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

/// Requests without a whole answer, by identifier.
#[derive(Default)]
struct Cut {
    on_new: Vec<String>,
    on_kept: Vec<String>,
}

/// Sends requests on new and kept connections until none is accepted any more.
fn press(callers: SocketAddr, name: &str, until: Instant) -> Cut {
    let mut cut = Cut::default();
    let mut kept: Option<Client> = None;
    for number in 0.. {
        if Instant::now() > until {
            break;
        }
        let is_new = kept.is_none();
        let Ok(mut client) = kept.take().map_or_else(|| Client::connect(callers), Ok) else {
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
                kept = (!closes).then_some(client);
            }
            _ if is_new => cut.on_new.push(id),
            _ => cut.on_kept.push(id),
        }
    }
    cut
}

/// A planned stop under load: a request that was just accepted is answered whole, also on the
/// connections that come in the last moments before the balancer takes the host out.
#[test]
fn a_planned_stop_under_load_cuts_no_request() {
    let more = "[orders]\nread_share = 0\n[shutdown]\nbalancer_lag = 1500ms\nlimit = 8s\n";
    let mut site = Site::start(&["c1", "c2"], &[], more);
    site.replicas
        .values()
        .for_each(|replica| replica.set_pause(Duration::from_millis(20)));
    let callers = site.gateway.callers();
    let begun = Instant::now();
    let stop = begun + Duration::from_millis(400);
    // Callers that come new stop before the listener closes; those with a connection go on.
    let until = stop + Duration::from_millis(1300);
    let cut: Vec<Cut> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..16)
            .map(|number| scope.spawn(move || press(callers, &format!("p{number}"), until)))
            .collect();
        std::thread::sleep(stop.saturating_duration_since(Instant::now()));
        site.gateway.signal("-TERM");
        let threads = callers.into_iter();
        threads.map(|thread| thread.join().unwrap()).collect()
    });
    let on_new: Vec<&String> = cut.iter().flat_map(|cut| &cut.on_new).collect();
    assert!(on_new.is_empty(), "{on_new:?}");
    // A request may cross the close of a connection that was idle; it was then not passed on.
    let replicas = site.replicas.values();
    let reached: HashSet<String> = replicas
        .flat_map(|replica| replica.received())
        .map(|seen| seen.field("pistachiohall-request-id").to_owned())
        .collect();
    let on_kept = cut.iter().flat_map(|cut| &cut.on_kept);
    let passed_on: Vec<&String> = on_kept.filter(|id| reached.contains(*id)).collect();
    assert!(passed_on.is_empty(), "{passed_on:?}");
    assert_eq!(site.gateway.wait(), Some(0));
    let ran = site.runs();
    assert!(ran > 100, "{ran} requests ran");
}

/// A process starts again while the store is away: a route that was withdrawn and an upstream that
/// had left are not in use again, by what its peer believes.
#[rstest]
#[case::drained("draining")]
#[case::removed("")]
fn a_restart_without_the_store_brings_nothing_back(#[case] condition: &str) {
    let mut site = Site::desks(&["c1", "c2"]);
    let second = Gateway::start("h2", site.store.address(), NO_ORDERS);
    second.wait_ready();
    second.wait_line(&["peers=1"]);
    let mut config = fleet::config(9);
    let routes = config["routes"].as_array_mut().unwrap();
    routes.retain(|route| route["path_prefix"] != "/act/");
    site.store.put_config(&config);
    second.wait_line(&["config=9", "outcome=in-force"]);
    if condition.is_empty() {
        site.store.remove(store::UPSTREAM_TOPIC, "c1");
        second.wait_line(&["upstream=c1", "outcome=removed"]);
    } else {
        site.replicas["c1"].register(&site.store, condition);
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

/// An upstream is slow to renew its entry, which lapses and comes back while a stream runs there:
/// the stream goes on, and nothing is started again elsewhere.
#[rstest]
#[case::may_be_resumed("/ask/a")]
#[case::runs_once("/draft/a")]
fn a_run_at_an_upstream_that_is_silent_for_a_while_goes_on(#[case] path: &str) {
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

/// A host is frozen for a while with streams running: they go on after it, and no other host and no
/// other upstream runs them again.
#[test]
fn runs_of_a_host_that_was_frozen_go_on() {
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

/// Engines that do not check tokens: two hosts want the same orders, and one of them gives each
/// once. How far apart orders are after a hand-over is checked in `decisions::term`.
#[test]
fn orders_that_two_hosts_want_go_out_once() {
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
        let seen = replica.received();
        let orders = seen.iter().filter(|seen| seen.path == "/v1/order").count();
        assert!(orders <= 1, "{orders} orders went out to {id}");
    }
    assert!(second.line(&["role ordered"]).is_none());
}
