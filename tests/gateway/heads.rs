//! Tests of responses that end within their heads, or right after them.

use std::time::Duration;

use rstest::rstest;

use pistachiohall::standin::fleet::client::Answer;
use pistachiohall::standin::fleet::replica;
use pistachiohall::standin::fleet::replica::Behavior;
use pistachiohall::standin::fleet::replica::HeadCut;

use super::site::Gateway;
use super::site::LONG_PROMPT;
use super::site::NO_ORDERS;
use super::site::Site;
use super::site::wait_for;

/// Header fields of a request to a model that shares no block with others.
const TOKENS: [(&str, &str); 1] = [("Pistachiohall-Token-Count", "20,4")];

fn site() -> Site {
    Site::start(&["c1"], &[("d1", "decode"), ("p1", "prefill")], NO_ORDERS)
}

fn set_behavior(site: &Site, ids: &[&str], behavior: Behavior) {
    for id in ids {
        site.replicas[*id].set_behavior(behavior);
    }
}

/// Returns whether an answer holds all events, or all of a plain answer.
fn is_whole(answer: &Answer) -> bool {
    let events: String = (1..=4)
        .map(|number| format!("id: {number}\ndata: token {number}\n\n"))
        .collect();
    answer.is_complete && [events.as_str(), "the whole answer"].contains(&answer.body.as_str())
}

/// Guards against a success with an empty or short body, framed as whole: the upstream stopped in the
/// middle of the head of its answer. Each byte of the head is the last one once.
#[rstest]
#[case::of_an_unsafe_request("POST", "/act/", &[], "c1")]
#[case::of_a_safe_request("GET", "/read/", &[], "c1")]
#[case::of_a_stream("POST", "/draft/", &TOKENS, "d1")]
#[case::of_a_stream_that_may_be_resumed("POST", "/ask/", &TOKENS, "d1")]
#[case::of_a_prefill("POST", "/draft/", &LONG_PROMPT, "p1")]
fn a_head_that_is_cut_off_is_no_success(
    #[case] method: &str,
    #[case] path: &str,
    #[case] fields: &[(&str, &str)],
    #[case] upstream: &str,
    #[values(true, false)] resets: bool,
    #[values(true, false)] has_interim: bool,
) {
    let site = site();
    for bytes in 0..=replica::head("r000", true).len() {
        let cut = HeadCut {
            bytes,
            has_interim,
            resets,
        };
        site.replicas[upstream].set_behavior(Behavior::CutHead(cut));
        let id = format!("r{bytes:03}");
        let path = format!("{path}{bytes}");
        let answer = site.gateway.call(method, &path, &id, fields);
        // A prompt that is not prefilled apart may be prefilled where it is decoded.
        let is_right = match answer.status {
            200 => upstream == "p1" && is_whole(&answer),
            status => [502, 503].contains(&status),
        };
        assert!(is_right, "after {bytes} bytes: {answer:?}");
    }
}

/// Guards against an empty success that looks whole: the upstream ended after the head of its answer,
/// which names neither a length nor chunks, and before its body.
#[rstest]
#[case::of_an_unsafe_request("/act/a", &[])]
#[case::of_a_stream("/draft/a", &TOKENS)]
fn a_head_without_content_is_no_success(#[case] path: &str, #[case] fields: &[(&str, &str)]) {
    let site = site();
    set_behavior(&site, &["c1", "d1"], Behavior::HeadOnly);
    let answer = site.gateway.call("POST", path, "r1", fields);
    assert_eq!(answer.status, 502, "it may have run");
    assert_eq!(site.runs(), 1);
}

/// Guards against giving up a request that may be sent again: another upstream serves it.
#[rstest]
#[case::of_a_safe_request("GET", "/read/", &[])]
#[case::of_a_stream_that_may_be_resumed("POST", "/ask/", &TOKENS)]
fn a_request_is_served_elsewhere_after_a_head_without_content(
    #[case] method: &str,
    #[case] path: &str,
    #[case] fields: &[(&str, &str)],
) {
    let engines = [("d1", "decode"), ("d2", "decode")];
    let site = Site::start(&["c1", "c2"], &engines, NO_ORDERS);
    set_behavior(&site, &["c1", "d1"], Behavior::HeadOnly);
    for number in 0..8 {
        let (path, id) = (format!("{path}{number}"), format!("r{number}"));
        let answer = site.gateway.call(method, &path, &id, fields);
        assert!(answer.status == 200 && is_whole(&answer), "{answer:?}");
    }
    assert!(site.runs() > 8, "the upstream that ends was not used");
}

/// Guards against an order on the word of a report that was cut off.
#[rstest]
#[case::without_content(Behavior::HeadOnly)]
#[case::within_the_head(Behavior::CutHead(HeadCut { bytes: 90, has_interim: true, resets: false }))]
fn a_report_that_is_cut_off_is_none(#[case] behavior: Behavior) {
    let engines = [("d1", "decode"), ("d2", "decode"), ("d3", "decode")];
    let site = Site::start(&[], &engines, NO_ORDERS);
    set_behavior(&site, &["d1"], behavior);
    let orders = "[orders]\nread_share = 0.67\n";
    let second = Gateway::start("h0", site.store.address(), orders);
    second.wait_line(&["upstream=d1", "report=none"]);
    wait_for("an order to another engine", || {
        let stages = ["d2", "d3"].map(|id| site.replicas[id].role().0);
        stages.contains(&Some("prefill"))
    });
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(site.replicas["d1"].role().1, 0, "it got an order");
}
