//! The complete path of a request, through real sockets.

use pistachiohall::standin::engine;
use serde_json::json;

use crate::common;
use crate::common::DESK_KEY;
use crate::common::LIBRETTO;
use crate::common::MODEL;

#[test]
fn a_stream_arrives_completely() {
    let deployment = common::two_domains();
    let caller = deployment.caller("derby-h1", DESK_KEY);
    let got = caller.stream(MODEL, "which line comes next", 20);
    assert_eq!(got.status, 200, "{got:?}");
    assert!(got.whole);
    assert_eq!(got.text, engine::expected("which line comes next", 20));
    let got = caller.complete(MODEL, "in one piece", 12);
    assert_eq!(
        (got.whole, got.text),
        (true, engine::expected("in one piece", 12))
    );
}

#[test]
fn bad_requests_are_refused_with_the_right_status() {
    let deployment = common::two_domains();
    let caller = deployment.caller("derby-h1", DESK_KEY);
    let unknown_caller = deployment.caller("derby-h1", "no such key");
    let body = json!({ "model": MODEL, "prompt": "a" }).to_string();
    let cases = [
        (caller.post("/v1/completions", "{", &[]), 400),
        (caller.post("/v1/completions", "{}", &[]), 400),
        (
            caller.post("/v1/completions", &body.replace(MODEL, "other"), &[]),
            404,
        ),
        (caller.post("/v1/nothing", &body, &[]), 404),
        (caller.get("/v1/completions"), 405),
        (unknown_caller.post("/v1/completions", &body, &[]), 403),
        (
            caller.post("/v1/completions", &"a".repeat(5 << 20), &[]),
            413,
        ),
    ];
    for (got, status) in cases {
        assert_eq!(got.status, status, "{got:?}");
        assert_eq!(got.outcome, "not-run");
    }
    assert_eq!(caller.get("/healthz").status, 200);
    assert_eq!(caller.get("/v1/models").body["data"][0]["id"], MODEL);
}

#[test]
fn a_host_without_configuration_is_not_ready() {
    let mut deployment =
        pistachiohall::standin::deployment::Deployment::start(Default::default()).unwrap();
    let settings = deployment.settings("h1", "derby");
    deployment.add_host(settings).unwrap();
    let caller = deployment.caller("h1", DESK_KEY);
    assert_eq!(caller.get("/healthz").status, 503);
    deployment.publish(&[LIBRETTO]).unwrap();
    deployment.settle(0, 0).unwrap();
    assert_eq!(caller.get("/healthz").status, 200);
}
