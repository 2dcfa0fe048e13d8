//! Tests with a store that is restored from a copy: what was written since the copy was made is gone,
//! and its offsets are given out again.

use std::thread;
use std::time::Duration;

use pistachiohall::fleet::REWRITE_WINDOW;
use pistachiohall::log::AppendError;
use pistachiohall::log::keyed::ConditionError;
use pistachiohall::log::keyed::Keyed;
use pistachiohall::log::keyed::Pair;
use pistachiohall::platform::store;
use pistachiohall::standin::fleet;
use pistachiohall::standin::fleet::proxy::Link;
use pistachiohall::standin::fleet::proxy::Proxy;
use pistachiohall::standin::fleet::replica::Replica;
use pistachiohall::standin::fleet::store::Fault;
use pistachiohall::standin::fleet::store::Snapshot;
use pistachiohall::standin::fleet::store::Store;
use serde_json::Value;

use super::deployment::ACT;
use super::deployment::Deployment;
use super::deployment::RESET_LATE;
use super::site::Gateway;
use super::site::NO_ORDERS;
use super::site::Site;
use super::site::wait_for;

/// Returns a configuration with another version, in which the plain service isn't read.
fn without_read(version: u64) -> Value {
    let mut config = fleet::config(version);
    let routes = config["routes"].as_array_mut().unwrap();
    routes.retain(|route| route["path_prefix"] != "/read/");
    config
}

/// Restores the store while it is away; `write` is what others write before this host can read.
fn restore<F>(store: &Store, gateway: &Gateway, copy: &Snapshot, write: F)
where
    F: FnOnce(),
{
    store.set_fault(Fault::Down);
    gateway.wait_line(&["topic=keyed.op", "outcome=lost"]);
    gateway.wait_line(&["topic=keyed.servers", "outcome=lost"]);
    store.restore(copy);
    write();
    store.set_fault(Fault::None);
}

/// Sends requests to a plain service; all of them must be served.
fn assert_reads_are_served(gateway: &Gateway) {
    for number in 0..20 {
        let answer = gateway.call("GET", "/read/a", &format!("r{number}"), &[]);
        assert_eq!(answer.status, 200);
    }
}

/// Guards against a host that waits for records which it believes to have read: the topic ends at
/// its offset again, in another history.
#[test]
fn a_host_adopts_the_configuration_at_an_offset_that_was_given_out_again() {
    let site = Site::desks(&["c1"]);
    let copy = site.store.snapshot();
    site.store.put_config(&fleet::config(5));
    site.gateway.wait_line(&["config=5", "outcome=in-force"]);
    restore(&site.store, &site.gateway, &copy, || {
        site.store.put_config(&without_read(9));
    });
    site.gateway.wait_line(&["config=9", "outcome=in-force"]);
    assert_eq!(site.gateway.call("GET", "/read/a", "r", &[]).status, 404);
}

/// Guards against a host that goes on at its offset in another history and misses the records
/// before it.
#[test]
fn a_host_uses_upstreams_whose_entries_were_written_below_its_offset() {
    let site = Site::desks(&["c1"]);
    let copy = site.store.snapshot();
    for _ in 0..3 {
        site.replicas["c1"].register(&site.store, "ready");
    }
    thread::sleep(Duration::from_secs(1));
    let added = Replica::start("c2", "desk", "derby", None).unwrap();
    restore(&site.store, &site.gateway, &copy, || {
        added.register(&site.store, "ready");
        for _ in 0..4 {
            site.replicas["c1"].register(&site.store, "ready");
        }
    });
    site.gateway.wait_line(&["upstream=c2", "outcome=added"]);
}

/// Guards against new work at an upstream that has left, while its entry in the copy says that it is
/// ready.
#[test]
fn an_upstream_that_left_in_the_lost_seconds_gets_no_work() {
    let site = Site::desks(&["c1", "c2"]);
    let copy = site.store.snapshot();
    site.replicas["c1"].register(&site.store, "draining");
    site.gateway.wait_line(&["upstream=c1", "state=Draining"]);
    site.store.remove(store::UPSTREAM_TOPIC, "c1");
    site.gateway.wait_line(&["upstream=c1", "outcome=removed"]);
    let before = site.replicas["c1"].received().len();
    restore(&site.store, &site.gateway, &copy, || ());
    site.gateway
        .wait_line(&["topic=keyed.servers", "outcome=restored"]);
    assert_reads_are_served(&site.gateway);
    thread::sleep(REWRITE_WINDOW);
    assert_reads_are_served(&site.gateway);
    assert_eq!(site.replicas["c1"].received().len(), before);
}

/// Guards against the loss of an upstream that lives while its entry is missing in the copy, also
/// if the store was away for less time than it takes entries to expire.
#[test]
fn an_upstream_that_started_in_the_lost_seconds_stays_in_use() {
    let site = Site::desks(&[]);
    let copy = site.store.snapshot();
    let added = Replica::start("c1", "desk", "derby", None).unwrap();
    added.register(&site.store, "ready");
    site.gateway.wait_line(&["upstream=c1", "outcome=added"]);
    restore(&site.store, &site.gateway, &copy, || ());
    site.gateway
        .wait_line(&["upstream=c1", "outcome=still-used"]);
    assert_reads_are_served(&site.gateway);
    added.register(&site.store, "ready");
    thread::sleep(REWRITE_WINDOW + Duration::from_millis(500));
    assert_reads_are_served(&site.gateway);
}

/// Guards against endless belief in an upstream whose entry is missing in the copy and isn't written
/// again.
#[test]
fn an_upstream_whose_entry_is_not_written_again_is_given_up() {
    let site = Site::desks(&["c1"]);
    let copy = site.store.snapshot();
    let added = Replica::start("c2", "desk", "derby", None).unwrap();
    added.register(&site.store, "ready");
    site.gateway.wait_line(&["upstream=c2", "outcome=added"]);
    restore(&site.store, &site.gateway, &copy, || ());
    site.gateway
        .wait_line(&["upstream=c2", "outcome=gone", "reason=lapsed"]);
}

/// Guards against hosts that others don't find: their entries were written once and are gone.
#[test]
fn a_host_writes_its_entry_again_after_a_restore() {
    let store = Store::start().unwrap();
    store.put_config(&fleet::config(3));
    let copy = store.snapshot();
    let gateway = Gateway::start("h1", store.address(), NO_ORDERS);
    gateway.wait_ready();
    let is_written = || store.keys(store::HOST_TOPIC).contains(&"h1".to_owned());
    wait_for("the entry", is_written);
    gateway.wait_line(&["outcome=in-force"]);
    restore(&store, &gateway, &copy, || ());
    wait_for("the entry in the restored store", is_written);
}

/// Guards against suspects that no host learns of any more: the losses were written once and are gone.
#[test]
fn a_host_writes_its_losses_again_after_a_restore() {
    let mut deployment = Deployment::new(1, RESET_LATE);
    let copy = deployment.store.snapshot();
    for _ in 0..3 {
        deployment.send(0, ACT);
    }
    let store = &deployment.store;
    let is_written = || {
        let losses = store.newest(store::SUSPECT_TOPIC, "h1");
        losses.is_some_and(|losses| losses.len() > 2)
    };
    wait_for("the losses", is_written);
    // By then it is settled what became of the upstreams, and nothing is left to be written.
    thread::sleep(Duration::from_secs(4));
    restore(store, &deployment.gateways[0], &copy, || ());
    wait_for("the losses in the restored store", is_written);
}

/// Guards against a host that starts with an older configuration than its peers serve, since the copy
/// lacks the newest one and the operator hasn't written it again.
#[test]
fn a_host_that_starts_after_a_restore_adopts_the_configuration_of_its_peers() {
    let site = Site::desks(&["c1"]);
    let copy = site.store.snapshot();
    site.store.put_config(&without_read(9));
    site.gateway.wait_line(&["config=9", "outcome=in-force"]);
    restore(&site.store, &site.gateway, &copy, || ());
    let started = Gateway::start("h2", site.store.address(), NO_ORDERS);
    started.wait_line(&["config=9", "outcome=in-force"]);
    assert_eq!(started.call("GET", "/read/a", "r", &[]).status, 404);
}

/// Guards against a lease under a condition of another history: an append that was under way during
/// the restore finds the topic at the offset that it names.
#[test]
fn an_append_with_a_condition_of_an_older_era_is_not_confirmed() {
    let store = Store::start().unwrap();
    let copy = store.snapshot();
    let client = store::Store::new(store.address());
    let pair = Pair {
        key: store::LEASE_KEY,
        value: b"h1",
    };
    let end = client.newest(store::LEASE_TOPIC).unwrap().next;
    store.restore(&copy);
    let written = client.put_at(store::LEASE_TOPIC, pair, end);
    let is_unknown = matches!(
        written,
        Err(ConditionError::Append(AppendError::Unknown(_)))
    );
    assert!(is_unknown, "{written:?}");
}

/// Guards against a host that keeps an older configuration while its peers serve a newer one: no host
/// of its failure domain reaches the store.
#[test]
fn a_host_that_is_cut_off_from_the_store_adopts_the_configuration_of_its_peers() {
    let site = Site::desks(&["c1"]);
    let link = Proxy::start(site.store.address()).unwrap();
    let cut_off = Gateway::start_in("leicester", "h2", link.address(), NO_ORDERS);
    cut_off.wait_ready();
    cut_off.wait_line(&["peers=1"]);
    link.set(Link::Reset);
    cut_off.wait_line(&["topic=keyed.op", "outcome=lost"]);
    site.store.put_config(&without_read(9));
    cut_off.wait_line(&["config=9", "source=peer"]);
}

/// Guards against a confirmed configuration that is lost when all hosts start anew before the operator
/// has written it again.
#[test]
fn a_configuration_that_the_copy_lacks_survives_a_restart_of_all_hosts() {
    let mut site = Site::desks(&["c1"]);
    let copy = site.store.snapshot();
    site.store.put_config(&without_read(9));
    site.gateway.wait_line(&["config=9", "outcome=in-force"]);
    restore(&site.store, &site.gateway, &copy, || ());
    site.gateway.wait_line(&["config=9", "outcome=kept"]);
    site.gateway.restart();
    site.gateway.wait_line(&["config=9", "outcome=in-force"]);
    site.gateway.wait_ready();
    assert_eq!(site.gateway.call("GET", "/read/a", "r", &[]).status, 404);
    site.store.put_config(&fleet::config(12));
    site.gateway.wait_line(&["config=12", "outcome=in-force"]);
}

/// Guards against an older configuration that is kept over a newer one, which another host has kept: this
/// host did not manage to read that before it wrote.
#[test]
fn a_newer_kept_configuration_is_not_replaced_unread() {
    let site = Site::desks(&["c1"]);
    let copy = site.store.snapshot();
    site.store.put_config(&without_read(9));
    site.gateway.wait_line(&["config=9", "outcome=in-force"]);
    let kept = fleet::config(12).to_string();
    site.store.set_unlisted(Some(store::KEPT_CONFIG_TOPIC));
    restore(&site.store, &site.gateway, &copy, || {
        let topic = store::KEPT_CONFIG_TOPIC;
        site.store.put(topic, store::CONFIG_KEY, kept.as_bytes());
    });
    site.gateway
        .wait_line(&["topic=keyed.config", "outcome=not-read"]);
    // Long enough for a host to write it after all.
    thread::sleep(Duration::from_secs(3));
    site.store.set_unlisted(None);
    site.gateway.wait_line(&["config=12", "source=hosts"]);
    let newest = site
        .store
        .newest(store::KEPT_CONFIG_TOPIC, store::CONFIG_KEY);
    assert_eq!(newest.as_deref(), Some(kept.as_bytes()));
}
