//! Tests of invalid input from callers: it gets an error response and reaches no upstream.

use rstest::rstest;

use super::site::Site;

#[rstest]
#[case("GET /read/a HTTP/1.1\r\nHost: lm.example\r\n\r\n", 400)]
#[case("GET /read/a HTTP/1.1\r\nPistachiohall-Request-Id: r1\r\n\r\n", 400)]
#[case(
    "GET /read/a HTTP/1.1\r\nHost: lm.example\r\nPistachiohall-Request-Id: r1\r\nPistachiohall-Deadline-Ms: soon\r\n\r\n",
    400
)]
#[case(
    "POST /ask/a HTTP/1.1\r\nHost: lm.example\r\nPistachiohall-Request-Id: r1\r\nPistachiohall-Token-Count: 7\r\nContent-Length: 0\r\n\r\n",
    400
)]
#[case(
    "GET /none/a HTTP/1.1\r\nHost: lm.example\r\nPistachiohall-Request-Id: r1\r\n\r\n",
    404
)]
#[case(
    "GET /read/a HTTP/1.1\r\nHost: other.example\r\nPistachiohall-Request-Id: r1\r\n\r\n",
    404
)]
#[case(
    "POST /act/a HTTP/1.1\r\nHost: lm.example\r\nPistachiohall-Request-Id: r1\r\nContent-Length: 70000\r\n\r\n",
    413
)]
#[case("not a request\r\n\r\n", 400)]
fn rejects_bad_input(#[case] request: &str, #[case] status: u16) {
    let site = Site::desks(&["c1"]);
    let mut client = site.gateway.client();
    client.send_raw(request.as_bytes()).unwrap();
    if status == 413 {
        client.send_raw(&vec![b'x'; 70000]).unwrap();
    }
    assert_eq!(client.receive().unwrap().status, status);
    assert_eq!(site.arrivals(), 0);
}

#[test]
fn rejects_an_endless_head() {
    let site = Site::desks(&["c1"]);
    let mut client = site.gateway.client();
    client
        .send_raw(b"GET /read/a HTTP/1.1\r\nHost: lm.example\r\n")
        .unwrap();
    let field = format!("X-Long: {}\r\n", "x".repeat(8000));
    for _ in 0..9 {
        client.send_raw(field.as_bytes()).unwrap();
    }
    assert_eq!(client.receive().unwrap().status, 431);
}

/// Guards against request smuggling: a request inside the body of another is not run.
#[rstest]
#[case("Content-Length: 84\r\n\r\n")]
#[case("Transfer-Encoding: chunked\r\n\r\n54\r\n")]
fn does_not_run_a_request_inside_a_body(#[case] framing: &str) {
    let site = Site::desks(&["c1"]);
    let inner = "POST /act/b HTTP/1.1\r\nHost: lm.example\r\nPistachiohall-Request-Id: r2\r\nX-Long: 12\r\n\r\n";
    assert_eq!(inner.len(), 84);
    let end = if framing.contains("chunked") {
        "\r\n0\r\n\r\n"
    } else {
        ""
    };
    let head = "POST /act/a HTTP/1.1\r\nHost: lm.example\r\nPistachiohall-Request-Id: r1\r\n";
    let mut client = site.gateway.client();
    client
        .send_raw(format!("{head}{framing}{inner}{end}").as_bytes())
        .unwrap();
    assert_eq!(client.receive().unwrap().status, 200);
    let received = site.replicas["c1"].received();
    assert_eq!(received.len(), 1);
    assert_eq!(received[0].body, inner.as_bytes());
}

/// Guards against request smuggling by two framings: the request is rejected, or runs once with the
/// chunks as its body.
#[test]
fn handles_conflicting_framings() {
    let site = Site::desks(&["c1"]);
    let request = "POST /act/a HTTP/1.1\r\nHost: lm.example\r\nPistachiohall-Request-Id: r1\r\n\
                   Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n";
    let mut client = site.gateway.client();
    client.send_raw(request.as_bytes()).unwrap();
    let status = client.receive().unwrap().status;
    let received = site.replicas["c1"].received();
    match status {
        200 => assert_eq!(received[0].body, b"whole"),
        _ => assert_eq!((status, received.len()), (400, 0)),
    }
}
