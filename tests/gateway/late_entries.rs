//! Entries of upstreams that the store writes late, after the upstream has left.

use std::thread;
use std::time::Duration;

use pistachiohall::platform::store;
use pistachiohall::standin::fleet::replica::Replica;
use rstest::rstest;

use super::site::NO_ORDERS;
use super::site::Site;

/// Number of requests that are sent after a late write, enough to reach each of two upstreams.
const REQUESTS: usize = 12;
/// Time within which a host reads what is written.
const READ_TIME: Duration = Duration::from_secs(1);

fn put(site: &Site, entry: &str) {
    site.store
        .put(store::UPSTREAM_TOPIC, "d1", entry.as_bytes());
}

fn remove(site: &Site) {
    site.store.remove(store::UPSTREAM_TOPIC, "d1");
    site.gateway.wait_line(&["upstream=d1", "outcome=removed"]);
}

/// Sends requests that must not run twice, and returns how many of them reached the upstream that left.
fn count_at_left(site: &Site) -> usize {
    let left = &site.replicas["d1"];
    let before = left.received().len();
    for number in 0..REQUESTS {
        let answer = site
            .gateway
            .call("POST", "/act/a", &format!("r{number}"), &[]);
        assert_eq!(answer.status, 200);
    }
    left.received().len() - before
}

/// Returns the text of an upstream's entry as it would write it now.
fn entry(replica: &Replica) -> String {
    replica.entry("ready").to_string()
}

/// Guards against an upstream that is used again after it has left, since a write of its entry that got no
/// answer is carried out late: the upstream exits, and a request that must not run twice is lost. A host
/// that has started since knows nothing of the upstream.
#[rstest]
#[case::host_saw_it_leave(false)]
#[case::host_started_since(true)]
fn an_entry_that_is_written_late_names_no_upstream_to_use(#[case] starts_again: bool) {
    let mut site = Site::start(&["d1", "d2"], &[], NO_ORDERS);
    for _ in 0..3 {
        site.replicas["d1"].register(&site.store, "ready");
    }
    let late = entry(&site.replicas["d1"]);
    site.replicas["d1"].register(&site.store, "ready");
    thread::sleep(READ_TIME);
    remove(&site);
    if starts_again {
        site.gateway.signal("-KILL");
        site.gateway.wait();
        site.gateway.restart();
        site.gateway.wait_ready();
        site.gateway.wait_line(&["upstream=d2", "outcome=added"]);
    }
    put(&site, &late);
    thread::sleep(READ_TIME);
    assert_eq!(count_at_left(&site), 0);
    site.gateway.wait_line(&["upstream=d1", "outcome=ignored"]);
}

/// An upstream that lives and whose entry was removed meanwhile is used once it writes again; a host that has
/// started since waits for one more write.
#[rstest]
#[case::host_saw_the_removal(false, 1)]
#[case::host_started_since(true, 2)]
fn an_upstream_that_writes_on_is_used(#[case] starts_again: bool, #[case] writes: usize) {
    let mut site = Site::start(&["d1", "d2"], &[], NO_ORDERS);
    for _ in 0..3 {
        site.replicas["d1"].register(&site.store, "ready");
    }
    thread::sleep(READ_TIME);
    remove(&site);
    if starts_again {
        site.gateway.signal("-KILL");
        site.gateway.wait();
        site.gateway.restart();
        site.gateway.wait_ready();
        site.gateway.wait_line(&["upstream=d2", "outcome=added"]);
    }
    for _ in 0..writes {
        site.replicas["d1"].register(&site.store, "ready");
    }
    thread::sleep(READ_TIME);
    assert!(count_at_left(&site) > 0);
}
