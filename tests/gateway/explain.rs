//! Tests of `pistachiohall explain` by the walkthroughs of docs/OPERATIONS.md, from a request's
//! identifier to its cause.

use std::io::Write;
use std::process::Command;
use std::process::Stdio;

use pistachiohall::explain::Account;
use pistachiohall::platform::store;
use pistachiohall::standin::fleet::replica::Behavior;

use super::site::Gateway;
use super::site::NO_ORDERS;
use super::site::Site;

const PAGE: &str = include_str!("../../docs/OPERATIONS.md");

/// Runs the page's command on the logs of `hosts`; returns its exit code and its output.
fn explain(id: &str, hosts: &[&Gateway]) -> (Option<i32>, String) {
    assert!(PAGE.contains("pistachiohall explain ID LOGS"));
    let mut child = Command::new(env!("CARGO_BIN_EXE_pistachiohall"))
        .args(["explain", id])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = child.stdin.take().unwrap();
    for host in hosts {
        input.write_all(host.log().as_bytes()).unwrap();
    }
    drop(input);
    let output = child.wait_with_output().unwrap();
    (
        output.status.code(),
        String::from_utf8(output.stdout).unwrap(),
    )
}

/// Checks that an account and the page both contain `text`.
fn assert_in_account_and_page(account: &str, text: &str) {
    assert!(account.contains(text), "{text:?} is not in:\n{account}");
    assert!(PAGE.contains(text), "{text:?} is not in the page");
}

#[test]
fn explains_a_request_refused_under_load() {
    let site = Site::desks(&["c1", "c2"]);
    for replica in site.replicas.values() {
        replica.set_behavior(Behavior::Shed);
    }
    assert_eq!(site.gateway.call("POST", "/act/a", "r1", &[]).status, 503);
    site.gateway.wait_line(&["request=r1", "outcome=refused"]);
    let (code, account) = explain("r1", &[&site.gateway]);
    assert_eq!(code, Some(0));
    let cause = "cause: not run: 2 upstreams were asked, none took it";
    assert!(account.contains(cause), "{account}");
    assert!(PAGE.replace('\n', " ").contains(cause));
    assert_in_account_and_page(&account, "=NotRun(503)");
    assert!(account.contains("of configuration 3"), "{account}");
    assert!(account.contains("configuration in force (config=3"));
    assert!(account.contains("upstream added"), "{account}");
    assert!(account.contains("upstream=c2"), "{account}");
}

#[test]
fn explains_a_request_that_an_upstream_aborted() {
    let site = Site::desks(&["c1"]);
    let other = Gateway::start("h2", site.store.address(), NO_ORDERS);
    other.wait_line(&["upstream=c1", "outcome=added"]);
    site.replicas["c1"].set_behavior(Behavior::Reset);
    assert_eq!(site.gateway.call("GET", "/read/a", "r1", &[]).status, 502);
    site.gateway.wait_line(&["request=r1", "outcome=failed"]);
    site.store.remove(store::UPSTREAM_TOPIC, "c1");
    other.wait_line(&["upstream=c1", "outcome=removed"]);
    site.gateway.wait_line(&["upstream=c1", "outcome=removed"]);
    let (code, account) = explain("r1", &[&other, &site.gateway]);
    assert_eq!(code, Some(0));
    assert_in_account_and_page(&account, "cause: may have run: no whole answer came");
    assert_in_account_and_page(&account, "=Broken(");
    assert!(account.contains("request r1 on h1: failed"), "{account}");
    assert_in_account_and_page(&account, "logged of these upstreams around then:");
    assert!(account.contains("ms on h2: upstream removed"), "{account}");
    assert!(account.contains("ms on h1: upstream removed"), "{account}");
}

#[test]
fn explains_a_one_time_call_of_unknown_outcome() {
    let site = Site::desks(&["c1"]);
    site.replicas["c1"].set_behavior(Behavior::Hang);
    let deadline = [("pistachiohall-deadline-ms", "300")];
    let answer = site.gateway.call("POST", "/act/a", "r1", &deadline);
    assert_eq!(answer.status, 502);
    site.gateway.wait_line(&["request=r1", "outcome=failed"]);
    let (code, account) = explain("r1", &[&site.gateway]);
    assert_eq!(code, Some(0));
    assert_in_account_and_page(&account, "cause: may have run: no whole answer came");
    assert_in_account_and_page(&account, "=Silent");
    assert!(account.contains(", 0 ms left"), "{account}");
    assert_eq!(site.runs(), 1);
}

#[test]
fn reports_a_request_without_a_line() {
    let site = Site::desks(&["c1"]);
    let (code, account) = explain("r9", &[&site.gateway]);
    assert_eq!(code, Some(1));
    assert!(account.contains("request r9: no line in"), "{account}");
}

#[test]
fn explains_a_rejected_request() {
    let site = Site::desks(&["c1"]);
    let answer = site.gateway.call("GET", "/nowhere", "r1", &[]);
    assert_eq!(answer.status, 404);
    site.gateway.wait_line(&["request=r1", "outcome=rejected"]);
    let (_, account) = explain("r1", &[&site.gateway]);
    let cause = "cause: malformed or without a route: no route for host";
    assert!(account.contains(cause), "{account}");
}

/// The account shows the announcements of an upstream along with its changes in the registry.
#[test]
fn explains_a_request_refused_because_upstreams_asked_for_a_pause() {
    let site = Site::desks(&["c1"]);
    site.replicas["c1"].set_behavior(Behavior::Shed);
    site.replicas["c1"].set_retry_after(Some("20"));
    assert_eq!(site.gateway.call("POST", "/act/a", "r1", &[]).status, 503);
    site.gateway.wait_line(&["request=r1", "outcome=refused"]);
    let (code, account) = explain("r1", &[&site.gateway]);
    assert_eq!(code, Some(0));
    assert_in_account_and_page(&account, "upstream asks for a pause");
    assert!(account.contains("pause_ms=20000"), "{account}");
    assert!(account.contains("upstream added"), "{account}");
}

/// Guards against taking an unreadable count of left-out lines for zero.
#[test]
fn reports_an_unreadable_count_of_left_out_lines() {
    let line = |left_out: &str| {
        format!(
            r#"{{"time":"2026-01-01T00:00:01Z","host":"h1","event":"lines of delivered requests left out","left_out":{left_out}}}"#
        )
    };
    let account = Account::gather("r1", [line("7"), line("\"many\"")]);
    assert_eq!((account.left_out, account.uncounted), (7, 1));
    let text = account.to_string();
    assert!(text.contains("7 delivered requests left no line"), "{text}");
    assert!(text.contains("1 lines tell no count"), "{text}");
}
