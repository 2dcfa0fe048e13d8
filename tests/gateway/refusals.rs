//! Tests of refusals by upstreams, true or not, and of failures that look like refusals.

use rstest::rstest;

use pistachiohall::standin::fleet::replica::Behavior;
use pistachiohall::standin::fleet::replica::STAMP;

use super::site::LONG_PROMPT;
use super::site::NO_ORDERS;
use super::site::SHORT_PROMPT;
use super::site::Site;

/// Upstreams of each kind: two plain services, two engines that prefill, two that decode.
fn site() -> Site {
    let engines = [
        ("p1", "prefill"),
        ("p2", "prefill"),
        ("d1", "decode"),
        ("d2", "decode"),
    ];
    Site::start(&["c1", "c2"], &engines, NO_ORDERS)
}

fn set_behavior(site: &Site, ids: &[&str], behavior: Behavior) {
    for id in ids {
        site.replicas[*id].set_behavior(behavior);
    }
}

/// Guards against a refusal of a request that has run, and against its second run: the refusal names
/// no request, so that it may be any earlier one. The first request leaves connections to be reused.
#[rstest]
#[case::of_a_plain_service("/act/a", &[], &["c1", "c2"])]
#[case::of_an_engine("/draft/a", &SHORT_PROMPT, &["d1", "d2"])]
#[case::of_a_decode("/draft/a", &LONG_PROMPT, &["d1", "d2"])]
fn a_refusal_that_names_no_request_proves_nothing(
    #[case] path: &str,
    #[case] prompt: &[(&str, &str)],
    #[case] faulty: &[&str],
) {
    let site = site();
    assert_eq!(site.gateway.call("POST", path, "r1", prompt).status, 200);
    let before = site.runs();
    set_behavior(&site, faulty, Behavior::RepeatRefusal);
    let answer = site.gateway.call("POST", path, "r2", prompt);
    assert_eq!(answer.status, 502, "it ran, so no refusal");
    assert_eq!(site.runs() - before, 1, "it runs once at most");
}

/// Guards against a request that runs twice: an upstream ran it and answered with a status that tells
/// callers that it has not run and may be sent again.
#[rstest]
#[case::of_a_plain_service("/act/a", &[], &["c1", "c2"])]
#[case::of_an_engine("/draft/a", &SHORT_PROMPT, &["d1", "d2"])]
#[case::of_a_decode("/draft/a", &LONG_PROMPT, &["d1", "d2"])]
fn a_failure_of_a_request_that_ran_is_no_refusal(
    #[case] path: &str,
    #[case] prompt: &[(&str, &str)],
    #[case] failing: &[&str],
    #[values(408, 429, 503)] status: u16,
) {
    let site = site();
    set_behavior(&site, failing, Behavior::FailWith(status));
    failing
        .iter()
        .for_each(|id| site.replicas[*id].set_retry_after(Some("1")));
    let answer = site.gateway.call("POST", path, "r1", prompt);
    assert_eq!(answer.status, 502, "it ran, so no refusal");
    for name in ["pistachiohall-server-stamp", "retry-after"] {
        assert!(!answer.fields.contains_key(name), "{name}");
    }
    assert_eq!(site.runs(), 1);
}

/// Guards against an interim status in place of an answer: a caller that did not ask for another protocol
/// cannot read it.
#[rstest]
#[case::of_an_unsafe_request("POST", "/act/a", &[])]
#[case::of_a_safe_request("GET", "/read/a", &[])]
#[case::of_a_stream("POST", "/draft/a", &SHORT_PROMPT)]
fn a_switch_of_protocols_is_no_answer(
    #[case] method: &str,
    #[case] path: &str,
    #[case] prompt: &[(&str, &str)],
) {
    let site = site();
    let all = ["c1", "c2", "d1", "d2"];
    set_behavior(&site, &all, Behavior::FailWith(101));
    let answer = site.gateway.call(method, path, "r1", prompt);
    assert_eq!(answer.status, 502, "it may have run");
}

/// Guards against a caller that is not told the upstream's own failure: its request may run again, or
/// the status tells nothing about whether it ran.
#[rstest]
#[case::of_a_safe_request("GET", "/read/a", &[], &[408, 429, 500, 503])]
#[case::of_a_stream_that_may_be_resumed("POST", "/ask/a", &SHORT_PROMPT, &[408, 429, 500, 503])]
#[case::of_an_unsafe_request("POST", "/act/a", &[], &[400, 404, 500, 502, 504])]
#[case::of_a_stream("POST", "/draft/a", &SHORT_PROMPT, &[400, 404, 500, 502, 504])]
fn another_failure_is_passed_on_with_its_status(
    #[case] method: &str,
    #[case] path: &str,
    #[case] prompt: &[(&str, &str)],
    #[case] statuses: &[u16],
) {
    let site = site();
    for status in statuses {
        set_behavior(
            &site,
            &["c1", "c2", "d1", "d2"],
            Behavior::FailWith(*status),
        );
        let id = format!("r{status}");
        let answer = site.gateway.call(method, path, &id, prompt);
        assert_eq!((answer.status, answer.body.as_str()), (*status, "failed"));
        assert_eq!(answer.fields["pistachiohall-server-stamp"], STAMP);
    }
}

/// Guards against a request that is given up although it may run again: another upstream serves it.
#[test]
fn a_safe_request_is_served_elsewhere_after_a_refusal_that_names_no_request() {
    let site = site();
    set_behavior(&site, &["c1"], Behavior::RepeatRefusal);
    for number in 0..8 {
        let answer = site
            .gateway
            .call("GET", "/read/a", &format!("r{number}"), &[]);
        assert_eq!(answer.status, 200);
    }
}

/// Guards against a refusal with the request's own identifier that is written once more: an upstream
/// that has refused a request doesn't get it again, in either stage.
#[rstest]
#[case::of_a_plain_service("/act/a", &[])]
#[case::of_an_engine("/draft/a", &SHORT_PROMPT)]
#[case::of_a_prefill("/draft/a", &LONG_PROMPT)]
fn an_upstream_that_refused_a_request_does_not_get_it_again(
    #[case] path: &str,
    #[case] prompt: &[(&str, &str)],
    #[values(true, false)] prefills: bool,
) {
    let site = site();
    set_behavior(&site, &["c1", "c2", "d1", "d2"], Behavior::Shed);
    if !prefills {
        set_behavior(&site, &["p1", "p2"], Behavior::Shed);
    }
    let answer = site.gateway.call("POST", path, "r1", prompt);
    assert_eq!(answer.status, 503, "{}", site.gateway.log());
    let refusing = site
        .replicas
        .iter()
        .filter(|(id, _)| !(prefills && id.starts_with('p')));
    for (id, replica) in refusing {
        assert!(replica.received().len() <= 1, "{id}");
    }
}
