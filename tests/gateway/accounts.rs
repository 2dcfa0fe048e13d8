//! Tests of client accounts: a key that was taken away runs nothing later than the bound after that, at
//! any host, whatever has failed there.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use pistachiohall::standin::fleet;
use pistachiohall::standin::fleet::client::Answer;
use pistachiohall::standin::fleet::proxy::Link;
use pistachiohall::standin::fleet::proxy::Proxy;
use pistachiohall::standin::fleet::replica::Behavior;
use pistachiohall::standin::fleet::replica::Replica;
use pistachiohall::standin::fleet::store::Fault;
use pistachiohall::standin::fleet::store::Store;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use super::site::Gateway;
use super::site::wait_for;

/// Maximum time after a key was taken away for which requests with it may still run.
const MAX_REVOCATION: Duration = Duration::from_secs(4);
/// Settings with that bound.
const SETTINGS: &str = "[orders]\nread_share = 0\n[repeats]\nratio = 1000\n\
    [accounts]\nmax_revocation = 4s\n";
/// Field with the key that is taken away in tests, `secret-1` of the account `desk`.
const DESK: (&str, &str) = ("Authorization", "Token secret-1");
/// Field with the key of the account `stall`, which keeps it.
const STALL: (&str, &str) = ("Authorization", "Token secret-2");
/// Pause of a caller after each response.
const CALLER_PAUSE: Duration = Duration::from_millis(50);

/// Returns a configuration with the accounts `desk` and `stall`, and a public route `/open/`.
fn config(version: u64, desk_keys: &[&str]) -> Value {
    let mut config = fleet::config(version);
    let mut public = config["routes"][0].clone();
    public["path_prefix"] = json!("/open/");
    public["public"] = json!(true);
    config["routes"].as_array_mut().unwrap().push(public);
    config["tenants"] = json!([
        {"name": "desk", "api_keys": desk_keys, "priority": 1},
        {"name": "stall", "api_keys": ["secret-2"]},
    ]);
    config
}

/// Store with an upstream of a plain service.
struct World {
    store: Store,
    upstream: Replica,
}

impl World {
    fn new() -> Self {
        let store = Store::start().unwrap();
        store.put_config(&config(3, &["secret-1"]));
        let upstream = Replica::start("c1", "desk", "derby", None).unwrap();
        upstream.register(&store, "ready");
        World { store, upstream }
    }

    /// Starts a host that reaches the store by a link of its own.
    fn host(&self, domain: &str, name: &str) -> (Gateway, Proxy) {
        let link = Proxy::start(self.store.address()).unwrap();
        let gateway = Gateway::start_in(domain, name, link.address(), SETTINGS);
        gateway.wait_ready();
        gateway.wait_line(&["upstream=c1", "outcome=added"]);
        wait_for("service by key", || read(&gateway, STALL).status == 200);
        (gateway, link)
    }

    /// Takes the key of `desk` away; returns the time before that.
    fn take_key(&self) -> Instant {
        let before = Instant::now();
        self.store.put_config(&config(9, &[]));
        before
    }

    /// Returns the number of requests of an account that ran.
    fn runs_of(&self, account: &str) -> usize {
        let received = self.upstream.received();
        let runs = received.iter().filter(|request| request.ran);
        runs.filter(|request| request.field("pistachiohall-tenant") == account)
            .count()
    }

    /// Checks that no request of `desk` ran later than the bound after `taken_at`.
    fn assert_none_late(&self, taken_at: Instant) {
        let received = self.upstream.received();
        let mut runs = received
            .iter()
            .filter(|request| request.ran && request.field("pistachiohall-tenant") == "desk");
        let is_late = |at: Instant| at > taken_at + MAX_REVOCATION;
        let late = runs.find(|request| is_late(request.at));
        assert!(
            late.is_none(),
            "{:?} too late",
            late.map(|run| run.at - taken_at)
        );
    }
}

fn read(gateway: &Gateway, key: (&str, &str)) -> Answer {
    gateway.call("GET", "/read/a", "r", &[key])
}

/// Sends requests of `desk` for `period`; returns the last answer.
fn call_for(gateway: &Gateway, period: Duration) -> Answer {
    let until = Instant::now() + period;
    loop {
        let answer = read(gateway, DESK);
        if Instant::now() >= until {
            return answer;
        }
        thread::sleep(CALLER_PAUSE);
    }
}

fn assert_refused(answer: &Answer) {
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.body.contains("not run"), "{answer:?}");
    let after: f64 = answer.fields["retry-after"].parse().unwrap();
    assert!(after > 0.0 && after <= 1.0, "{answer:?}");
}

#[test]
fn an_upstream_is_told_the_account_and_never_the_key() {
    let world = World::new();
    let (gateway, _link) = world.host("derby", "h1");
    let forged = ("Pistachiohall-Tenant", "stall");
    let answer = gateway.call("GET", "/read/a", "forged", &[DESK, forged]);
    assert_eq!(answer.status, 200);
    let answer = gateway.call("GET", "/open/a", "public", &[forged]);
    assert_eq!(answer.status, 200);
    let answer = gateway.call("GET", "/open/a", "named", &[DESK]);
    assert_eq!(answer.status, 200);
    let received = world.upstream.received();
    let of = |id: &str| {
        let mut found = received.iter();
        found
            .find(|request| request.field("pistachiohall-request-id") == id)
            .unwrap()
    };
    assert_eq!(of("forged").field("pistachiohall-tenant"), "desk");
    assert_eq!(of("public").field("pistachiohall-tenant"), "");
    assert_eq!(of("named").field("pistachiohall-tenant"), "desk");
    for request in &received {
        assert_eq!(request.field("authorization"), "");
    }
    gateway.wait_line(&["request=forged", "account=desk", "outcome=delivered"]);
    let metrics = gateway.metrics();
    assert!(metrics.contains("pistachiohall_account_requests_total{account=\"desk\"} 2\n"));
    assert!(!metrics.contains("secret"));
    assert!(!gateway.log().contains("secret"));
}

#[rstest]
#[case::none(&[])]
#[case::unknown(&[("Authorization", "Token secret-9")])]
#[case::empty(&[("Authorization", "Token ")])]
#[case::scheme_only(&[("Authorization", "Token")])]
#[case::other_scheme(&[("Authorization", "Bearer secret-1")])]
#[case::two_fields(&[DESK, STALL])]
#[case::the_same_twice(&[DESK, DESK])]
fn a_request_without_a_valid_key_is_rejected(#[case] fields: &[(&str, &str)]) {
    let world = World::new();
    let (gateway, _link) = world.host("derby", "h1");
    let before = world.upstream.runs();
    let answer = gateway.call("GET", "/read/a", "r1", fields);
    assert_eq!(answer.status, 401, "{answer:?}");
    assert!(!answer.body.contains("secret"), "{answer:?}");
    assert_eq!(world.upstream.runs(), before);
    assert!(!gateway.log().contains("secret"));
}

#[test]
fn a_key_of_64_kib_is_rejected() {
    let world = World::new();
    let (gateway, _link) = world.host("derby", "h1");
    let key = format!("Token {}", "k".repeat(64 << 10));
    let before = world.upstream.runs();
    let mut client = gateway.client();
    // The host may close the connection before it has read the whole key.
    let _sent = client.send("GET", "/read/a", "r1", &[("Authorization", &key)], b"");
    if let Ok(answer) = client.receive() {
        assert!([0, 400, 401, 431].contains(&answer.status), "{answer:?}");
    }
    assert_eq!(world.upstream.runs(), before);
    assert_eq!(read(&gateway, DESK).status, 200);
}

/// Guards against a host that serves a key on what it once read: it is cut off from the store, or the
/// store turns it away while it serves others.
#[rstest]
#[case::turned_away(Link::Reset)]
#[case::silent(Link::Silent)]
#[case::answers_lost(Link::NoAnswers)]
fn a_host_that_is_cut_off_from_the_store_stops_serving_keys(#[case] state: Link) {
    let world = World::new();
    let (gateway, link) = world.host("derby", "h1");
    assert_eq!(read(&gateway, DESK).status, 200);
    link.set(state);
    let taken_at = world.take_key();
    assert_refused(&call_for(&gateway, MAX_REVOCATION + Duration::from_secs(1)));
    assert!(world.runs_of("desk") > 1, "the key is served until then");
    world.assert_none_late(taken_at);
    assert_refused(&read(&gateway, STALL));
    let answer = gateway.call("GET", "/open/a", "r2", &[]);
    assert_eq!(answer.status, 200, "a public route goes on");
    gateway.wait_line(&["served=false", "outcome=changed"]);
    link.set(Link::Sound);
    wait_for("service by key", || read(&gateway, STALL).status == 200);
    assert_eq!(read(&gateway, DESK).status, 401);
    world.assert_none_late(taken_at);
}

/// Guards against callers who are refused at a host that is cut off from the store, while its peers
/// know how recent the configuration is, and against a key that outlives its end there.
#[test]
fn a_host_that_is_cut_off_from_the_store_serves_keys_on_the_proof_of_a_peer() {
    let world = World::new();
    let (_peer, _peer_link) = world.host("leicester", "h2");
    let (gateway, link) = world.host("derby", "h1");
    gateway.wait_line(&["peers=1"]);
    link.set(Link::Reset);
    let until = Instant::now() + 2 * MAX_REVOCATION;
    while Instant::now() < until {
        assert_eq!(read(&gateway, DESK).status, 200);
        thread::sleep(CALLER_PAUSE);
    }
    let taken_at = world.take_key();
    let answer = call_for(&gateway, MAX_REVOCATION);
    assert!([401, 503].contains(&answer.status), "{answer:?}");
    world.assert_none_late(taken_at);
    assert_eq!(read(&gateway, STALL).status, 200);
}

/// Guards against a host that waits for proofs of peers which it doesn't hear any more.
#[test]
fn a_host_that_is_cut_off_from_its_peers_serves_keys_on_its_own_reads() {
    let world = World::new();
    let (peer, _peer_link) = world.host("derby", "h0");
    let (gateway, _link) = world.host("derby", "h1");
    gateway.wait_line(&["peers=1"]);
    peer.signal("-STOP");
    let until = Instant::now() + 2 * MAX_REVOCATION;
    while Instant::now() < until {
        assert_eq!(read(&gateway, DESK).status, 200);
        thread::sleep(CALLER_PAUSE);
    }
    let taken_at = world.take_key();
    assert_eq!(call_for(&gateway, MAX_REVOCATION).status, 401);
    world.assert_none_late(taken_at);
    peer.signal("-CONT");
}

/// Guards against a host that is cut off from the store and whose peer is, too: they must not keep up
/// one another's belief.
#[test]
fn hosts_that_are_cut_off_together_stop_serving_keys() {
    let world = World::new();
    let (peer, peer_link) = world.host("leicester", "h2");
    let (gateway, link) = world.host("derby", "h1");
    gateway.wait_line(&["peers=1"]);
    link.set(Link::Reset);
    peer_link.set(Link::Reset);
    let taken_at = world.take_key();
    assert_refused(&call_for(&gateway, MAX_REVOCATION + Duration::from_secs(1)));
    assert_refused(&read(&peer, DESK));
    world.assert_none_late(taken_at);
}

/// Guards against a host that was frozen while the key was taken away and goes on where it was: with
/// requests that arrived meanwhile, and an answer of the store from before.
#[test]
fn a_host_that_was_frozen_serves_no_key_that_was_taken_away_meanwhile() {
    let world = World::new();
    let (gateway, _link) = world.host("derby", "h1");
    let mut kept = gateway.client();
    kept.send("GET", "/read/a", "r1", &[DESK], b"").unwrap();
    assert_eq!(kept.receive().unwrap().status, 200);
    gateway.signal("-STOP");
    let taken_at = world.take_key();
    let before = world.runs_of("desk");
    thread::sleep(MAX_REVOCATION + Duration::from_millis(500));
    let mut new = gateway.client();
    for (number, client) in [&mut kept, &mut new].into_iter().enumerate() {
        let id = format!("frozen-{number}");
        client.send("GET", "/read/a", &id, &[DESK], b"").unwrap();
    }
    gateway.signal("-CONT");
    for client in [&mut kept, &mut new] {
        let answer = client.receive().unwrap();
        assert!([401, 503].contains(&answer.status), "{answer:?}");
    }
    wait_for("service by key", || read(&gateway, STALL).status == 200);
    assert_eq!(read(&gateway, DESK).status, 401);
    assert_eq!(world.runs_of("desk"), before);
    world.assert_none_late(taken_at);
}

/// Guards against a host that starts during an outage and takes the configuration of a peer for the
/// newest one.
#[test]
fn a_host_that_was_restarted_during_an_outage_serves_no_keys() {
    let world = World::new();
    let (_peer, _peer_link) = world.host("leicester", "h2");
    let (mut gateway, _link) = world.host("derby", "h1");
    gateway.wait_line(&["peers=1"]);
    world.store.set_fault(Fault::Down);
    thread::sleep(MAX_REVOCATION);
    let taken_at = world.take_key();
    gateway.restart();
    let is_open = || gateway.call("GET", "/open/a", "r2", &[]).status == 200;
    wait_for("service without a key", is_open);
    assert_refused(&read(&gateway, DESK));
    world.store.set_fault(Fault::None);
    wait_for("service by key", || read(&gateway, STALL).status == 200);
    assert_eq!(read(&gateway, DESK).status, 401);
    world.assert_none_late(taken_at);
}

/// Guards against a second attempt after the key of the first one was taken away; the first may have
/// run, so the answer must not promise that it has not.
#[test]
fn a_request_is_not_sent_again_after_its_key_was_taken_away() {
    let world = World::new();
    let other = Replica::start("c2", "desk", "derby", None).unwrap();
    other.register(&world.store, "ready");
    let slow = |version: u64, keys: &[&str]| {
        let mut config = config(version, keys);
        config["routes"][0]["timeout_ms"] = json!(8000);
        config["routes"][0]["target_latency_ms"] = json!(4000);
        config
    };
    world.store.put_config(&slow(5, &["secret-1"]));
    let (gateway, _link) = world.host("derby", "h1");
    gateway.wait_line(&["upstream=c2", "outcome=added"]);
    gateway.wait_line(&["config=5", "outcome=in-force"]);
    let arrivals = || {
        let replicas = [&world.upstream, &other];
        let received = replicas.into_iter().flat_map(Replica::received);
        received
            .filter(|request| request.field("pistachiohall-request-id") == "hangs")
            .count()
    };
    world.upstream.set_behavior(Behavior::Hang);
    other.set_behavior(Behavior::Hang);
    let mut client = gateway.client();
    let deadline = ("Pistachiohall-Deadline-Ms", "8000");
    let fields = [DESK, deadline];
    client
        .send("GET", "/read/a", "hangs", &fields, b"")
        .unwrap();
    wait_for("the first attempt", || arrivals() == 1);
    world.store.put_config(&slow(9, &[]));
    gateway.wait_line(&["config=9", "outcome=in-force"]);
    let answer = client.receive().unwrap();
    assert_eq!(answer.status, 502, "{answer:?}");
    assert_eq!(arrivals(), 1);
}

/// Guards against a caller with a new key who is told that the key is wrong, by a host that cannot know
/// it yet.
#[test]
fn a_new_key_is_refused_and_not_rejected_by_a_host_with_an_old_configuration() {
    let world = World::new();
    let (gateway, link) = world.host("derby", "h1");
    link.set(Link::Reset);
    world
        .store
        .put_config(&config(9, &["secret-1", "secret-3"]));
    let new = ("Authorization", "Token secret-3");
    thread::sleep(Duration::from_millis(2500));
    assert_refused(&read(&gateway, new));
    link.set(Link::Sound);
    wait_for("service by the new key", || {
        read(&gateway, new).status == 200
    });
}
