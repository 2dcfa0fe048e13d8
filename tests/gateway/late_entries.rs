//! Entries of upstreams that the store writes late, after the upstream has left.

use std::thread;
use std::time::Duration;

use pistachiohall::platform::store;
use rstest::rstest;

use super::site::NO_ORDERS;
use super::site::Site;

/// Number of requests that are sent after a late write, enough to reach each of two upstreams.
const REQUESTS: usize = 12;
/// Time within which a host reads what is written.
const READ_TIME: Duration = Duration::from_secs(1);

/// Returns a host and two upstreams, of which `d1` has left after it wrote its entry again, and an entry that
/// it wrote before the last; the host may have started since.
fn site_without_d1(starts_again: bool) -> (Site, String) {
    let mut site = Site::start(&["d1", "d2"], &[], NO_ORDERS);
    for _ in 0..3 {
        site.replicas["d1"].register(&site.store, "ready");
    }
    let before = site.replicas["d1"].entry("ready").to_string();
    site.replicas["d1"].register(&site.store, "ready");
    thread::sleep(READ_TIME);
    site.store.remove(store::UPSTREAM_TOPIC, "d1");
    site.gateway.wait_line(&["upstream=d1", "outcome=removed"]);
    if starts_again {
        site.gateway.restart();
        site.gateway.wait_ready();
        site.gateway.wait_line(&["upstream=d2", "outcome=added"]);
    }
    (site, before)
}

/// Sends requests that must not run twice, and returns how many of them reached `d1`.
fn count_at_d1(site: &Site) -> usize {
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

/// Guards against an upstream that is used again after it has left, since a write of its entry that got no
/// answer is carried out late: the upstream exits, and a request that must not run twice is lost. A host
/// that has started since knows nothing of the upstream.
#[rstest]
#[case::host_saw_it_leave(false)]
#[case::host_started_since(true)]
fn an_entry_that_is_written_late_names_no_upstream_to_use(#[case] starts_again: bool) {
    let (site, before) = site_without_d1(starts_again);
    site.store
        .put(store::UPSTREAM_TOPIC, "d1", before.as_bytes());
    thread::sleep(READ_TIME);
    assert_eq!(count_at_d1(&site), 0);
    site.gateway.wait_line(&["upstream=d1", "outcome=ignored"]);
}

/// An upstream that lives and whose entry was removed meanwhile is used once it writes again; a host that has
/// started since waits for one more write.
#[rstest]
#[case::host_saw_the_removal(false, 1)]
#[case::host_started_since(true, 2)]
fn an_upstream_that_writes_on_is_used(#[case] starts_again: bool, #[case] writes: usize) {
    let (site, _) = site_without_d1(starts_again);
    for _ in 0..writes {
        site.replicas["d1"].register(&site.store, "ready");
    }
    thread::sleep(READ_TIME);
    assert!(count_at_d1(&site) > 0);
}
