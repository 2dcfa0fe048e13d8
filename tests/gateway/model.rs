//! Tests of requests to models: prefill and decode at one or two engines, and resumed streams.

use std::time::Duration;

use rstest::rstest;

use pistachiohall::standin::fleet::client::Answer;
use pistachiohall::standin::fleet::replica::Behavior;
use pistachiohall::standin::fleet::replica::Replica;
use pistachiohall::standin::fleet::replica::ResumeError;

use super::site::LONG_PROMPT;
use super::site::NO_ORDERS;
use super::site::SHORT_PROMPT;
use super::site::Site;
use super::site::wait_for;

fn events(numbers: std::ops::RangeInclusive<u64>) -> String {
    numbers
        .map(|number| format!("id: {number}\ndata: token {number}\n\n"))
        .collect()
}

fn assert_complete(answer: &Answer) {
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, events(1..=4));
    assert!(answer.is_complete);
}

#[test]
fn splits_prefill_and_decode_of_a_long_prompt() {
    let site = Site::start(&[], &[("p1", "prefill"), ("d1", "decode")], NO_ORDERS);
    assert_complete(&site.gateway.call("POST", "/ask/a", "r1", &LONG_PROMPT));
    let prefill = &site.replicas["p1"].received()[0];
    assert_eq!(prefill.field("pistachiohall-stage"), "prefill");
    let decode = &site.replicas["d1"].received()[0];
    let source = format!("{}/hr1", site.replicas["p1"].address());
    assert_eq!(decode.field("pistachiohall-kv-source"), source);
    assert_eq!(decode.field("pistachiohall-token-count"), "9000,4");
}

#[test]
fn runs_a_short_prompt_at_one_engine() {
    let site = Site::start(&[], &[("p1", "prefill"), ("d1", "decode")], NO_ORDERS);
    assert_complete(&site.gateway.call("POST", "/draft/a", "r1", &SHORT_PROMPT));
    assert!(site.replicas["p1"].received().is_empty());
    assert_eq!(site.replicas["d1"].runs(), 1);
}

#[test]
fn sends_requests_with_shared_blocks_to_one_prefill_engine() {
    let engines = [
        ("p1", "prefill"),
        ("p2", "prefill"),
        ("p3", "prefill"),
        ("d1", "decode"),
    ];
    let site = Site::start(&[], &engines, NO_ORDERS);
    for number in 0..12 {
        assert_complete(
            &site
                .gateway
                .call("POST", "/ask/a", &format!("r{number}"), &LONG_PROMPT),
        );
    }
    let used = ["p1", "p2", "p3"]
        .into_iter()
        .filter(|id| !site.replicas[*id].received().is_empty());
    assert_eq!(used.count(), 1);
}

/// A stream without a length or chunks is complete if it ends with an event.
#[test]
fn delivers_a_stream_that_ends_with_its_connection() {
    let site = Site::start(&[], &[("d1", "decode")], NO_ORDERS);
    site.replicas["d1"].set_behavior(Behavior::Unframed);
    let mut client = site.gateway.client();
    for id in ["r1", "r2"] {
        client
            .send("POST", "/draft/a", id, &SHORT_PROMPT, b"")
            .unwrap();
        assert_complete(&client.receive().unwrap());
    }
}

#[test]
fn resumes_a_broken_stream_at_an_event_boundary() {
    let site = Site::start(&[], &[("d1", "decode"), ("d2", "decode")], NO_ORDERS);
    site.replicas
        .values()
        .for_each(|replica| replica.set_behavior(Behavior::Break(3)));
    let mut client = site.gateway.client();
    site.replicas["d1"].set_pause(Duration::from_millis(5));
    client
        .send("POST", "/ask/a", "r1", &SHORT_PROMPT, b"")
        .unwrap();
    let answer = client.receive().unwrap();
    // The second engine aborts within its first event, and two attempts are allowed.
    assert_eq!(answer.body, events(1..=2));
    assert!(
        !answer.is_complete,
        "a truncated response must not look complete"
    );
    assert_eq!(site.runs(), 2);
    let resumed = |replica: &Replica| {
        let received = replica.received();
        received
            .iter()
            .any(|received| received.field("last-event-id") == "2")
    };
    assert!(site.replicas.values().any(resumed));
}

#[rstest]
#[case::chunks(Behavior::Break(3))]
#[case::no_framing(Behavior::UnframedBreak(3))]
fn delivers_a_resumed_stream_completely(#[case] behavior: Behavior) {
    let site = Site::start(&[], &[("d1", "decode"), ("d2", "decode")], NO_ORDERS);
    site.replicas["d1"].set_behavior(behavior);
    for number in 0..6 {
        assert_complete(
            &site
                .gateway
                .call("POST", "/ask/a", &format!("r{number}"), &SHORT_PROMPT),
        );
    }
    assert!(
        site.replicas["d1"].runs() > 0,
        "the engine that aborts was not used"
    );
}

#[rstest]
#[case::chunks(Behavior::Break(3))]
#[case::no_framing(Behavior::UnframedBreak(3))]
fn does_not_resume_a_stream_that_must_run_once(#[case] behavior: Behavior) {
    let site = Site::start(&[], &[("d1", "decode"), ("d2", "decode")], NO_ORDERS);
    site.replicas
        .values()
        .for_each(|replica| replica.set_behavior(behavior));
    let answer = site.gateway.call("POST", "/draft/a", "r1", &SHORT_PROMPT);
    assert_eq!(answer.body, events(1..=2));
    assert!(!answer.is_complete);
    assert_eq!(site.runs(), 1);
}

/// Guards against an error in the middle of a stream, or a stream that looks complete: the engine that
/// should resume it answered with an error.
#[rstest]
#[case::with_status_500(ResumeError::Status)]
#[case::with_an_event(ResumeError::Event)]
#[case::with_text(ResumeError::Text)]
#[case::with_text_until_it_closes(ResumeError::UnframedText)]
#[case::with_nothing_until_it_closes(ResumeError::UnframedNothing)]
#[case::with_the_first_events(ResumeError::Restart)]
fn an_error_does_not_continue_a_stream(#[case] error: ResumeError) {
    let engines = [("d1", "decode"), ("d2", "decode"), ("d3", "decode")];
    let site = Site::start(&[], &engines, NO_ORDERS);
    for replica in site.replicas.values() {
        replica.set_behavior(Behavior::BreakThen(error));
    }
    let answer = site.gateway.call("POST", "/ask/a", "r1", &SHORT_PROMPT);
    assert_eq!((answer.status, answer.body), (200, events(1..=2)));
    assert!(!answer.is_complete);
}

/// Guards against an engine's error, with its head, in the middle of a stream that ends with its connection.
#[test]
fn a_head_within_a_stream_is_not_passed_on() {
    let site = Site::start(&[], &[("d1", "decode")], NO_ORDERS);
    site.replicas["d1"].set_behavior(Behavior::HeadWithin);
    let answer = site.gateway.call("POST", "/draft/a", "r1", &SHORT_PROMPT);
    assert_eq!((answer.status, answer.body), (200, events(1..=2)));
    assert!(!answer.is_complete);
}

#[test]
fn resumes_after_the_callers_last_event() {
    let site = Site::start(&[], &[("d1", "decode")], NO_ORDERS);
    let mut fields = SHORT_PROMPT.to_vec();
    fields.push(("Last-Event-Id", "2"));
    let answer = site.gateway.call("POST", "/ask/a", "r1", &fields);
    assert_eq!(answer.body, events(3..=4));
}

#[test]
fn refuses_when_no_engine_decodes() {
    let site = Site::start(&[], &[("p1", "prefill"), ("d1", "decode")], NO_ORDERS);
    site.replicas["d1"].set_behavior(Behavior::Shed);
    let answer = site.gateway.call("POST", "/draft/a", "r1", &LONG_PROMPT);
    assert_eq!(answer.status, 503);
    assert!(answer.fields.contains_key("retry-after"));
    assert_eq!(site.runs(), 0);
}

/// Guards against sending each request first to an engine that refuses, as it does while it changes
/// its role.
#[test]
fn avoids_an_engine_that_refuses() {
    let engines = [("p1", "prefill"), ("d1", "decode"), ("d2", "decode")];
    let site = Site::start(&[], &engines, NO_ORDERS);
    site.replicas["d1"].set_behavior(Behavior::Shed);
    for number in 0..40 {
        let id = format!("r{number}");
        assert_complete(&site.gateway.call("POST", "/ask/a", &id, &LONG_PROMPT));
    }
    let refused = site.replicas["d1"].received().len();
    assert!(
        (1..=10).contains(&refused),
        "{refused} of 40 were refused first"
    );
}

/// The role policy assigns two of three engines to prefill; the position of the lease's record is the
/// fencing token.
#[test]
fn orders_engines_to_change_to_prefill() {
    let engines = [("e1", "decode"), ("e2", "decode"), ("e3", "decode")];
    let site = Site::start(&[], &engines, "[orders]\nread_share = 0.67\nlease = 1s\n");
    let prefill_engines = || {
        let roles = site.replicas.values().map(Replica::role);
        roles.filter(|(stage, _)| *stage == Some("prefill")).count()
    };
    wait_for("two prefill engines", || prefill_engines() == 2);
    let orders: u64 = site.replicas.values().map(|replica| replica.role().1).sum();
    assert_eq!(orders, 2);
    assert!(site.store.newest("keyed.lease", "orders").is_some());
}

#[test]
fn an_unreachable_prefill_engine_costs_no_retry() {
    let engines = [("p1", "prefill"), ("p2", "prefill"), ("d1", "decode")];
    let no_retries = "[orders]\nread_share = 0\n[repeats]\nratio = 0\nslack = 0\n";
    let mut site = Site::start(&[], &engines, no_retries);
    assert_complete(&site.gateway.call("POST", "/ask/a", "r0", &LONG_PROMPT));
    // The prefill engine that these blocks prefer is gone, but its entry still exists.
    let preferred = ["p1", "p2"]
        .into_iter()
        .find(|id| !site.replicas[*id].received().is_empty())
        .unwrap();
    site.replicas.remove(preferred);
    assert_complete(&site.gateway.call("POST", "/ask/a", "r1", &LONG_PROMPT));
    site.gateway
        .wait_line(&["request=r1", "outcome=delivered", "=read:Err(Unreachable("]);
}
