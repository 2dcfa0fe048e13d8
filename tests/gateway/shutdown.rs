//! Tests of requests that arrive or still run late in a graceful shutdown.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use pistachiohall::standin::fleet::HOST;
use pistachiohall::standin::fleet::client::Answer;
use pistachiohall::standin::fleet::client::Client;
use pistachiohall::standin::fleet::replica::Behavior;

use super::site::SHORT_PROMPT;
use super::site::Site;
use super::site::wait_for;

/// Settings with a shutdown limit of [`LIMIT`].
const SETTINGS: &str = "[orders]\nread_share = 0\n[repeats]\nratio = 1000\n\
    [shutdown]\nbalancer_lag = 500ms\nlimit = 4s\n";
const LIMIT: Duration = Duration::from_secs(4);
/// Time for which upstreams work on a request; callers wait for two seconds.
const WORK: Duration = Duration::from_millis(1200);

/// A request that is sent in two parts.
struct Parts {
    client: Client,
    rest: Vec<u8>,
}

impl Parts {
    /// Opens a connection and sends the first half of a request's head.
    fn begin(site: &Site, method: &str, path: &str, id: &str, fields: &[(&str, &str)]) -> Self {
        let mut head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nPistachiohall-Request-Id: {id}\r\n\
             Content-Length: 4\r\n"
        );
        for (name, value) in fields {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\nbody");
        let mut client = site.gateway.client();
        let rest = head.split_off(head.len() / 2).into_bytes();
        client.send_raw(head.as_bytes()).unwrap();
        Parts { client, rest }
    }

    /// Sends the rest and returns the answer; `None` if the connection ended without one.
    fn finish(mut self) -> Option<Answer> {
        self.client.send_raw(&self.rest).ok()?;
        let answer = self.client.receive().ok()?;
        (answer.status != 0).then_some(answer)
    }
}

/// Returns whether the request `id` has reached an upstream.
fn was_passed_on(site: &Site, id: &str) -> bool {
    let received = site
        .replicas
        .values()
        .flat_map(|replica| replica.received());
    received
        .into_iter()
        .any(|received| received.field("pistachiohall-request-id") == id)
}

/// Guards against a request that is passed on late in a shutdown and cut off without an answer at its
/// end: the connection was opened, and half of the head was sent, before the shutdown began.
#[rstest]
#[case::of_an_unsafe_request("POST", "/act/a", &[])]
#[case::of_a_safe_request("GET", "/read/a", &[])]
#[case::of_a_stream("POST", "/draft/a", &SHORT_PROMPT)]
fn a_request_that_arrives_late_in_a_shutdown_is_answered(
    #[case] method: &str,
    #[case] path: &str,
    #[case] prompt: &[(&str, &str)],
) {
    let mut site = Site::start(&["c1", "c2"], &[("d1", "decode")], SETTINGS);
    for id in ["c1", "c2"] {
        site.replicas[id].set_pause(WORK);
    }
    site.replicas["d1"].set_pause(WORK / 4);
    let delays = (0..12).map(|number| Duration::from_millis(200 + 250 * number));
    let begun: Vec<(String, Duration, Parts)> = delays
        .map(|delay| {
            let id = format!("r{}", delay.as_millis());
            let parts = Parts::begin(&site, method, path, &id, prompt);
            (id, delay, parts)
        })
        .collect();
    let started_at = Instant::now();
    site.gateway.signal("-TERM");
    let answers: Vec<(String, Duration, Option<Answer>)> = thread::scope(|scope| {
        let callers: Vec<_> = begun
            .into_iter()
            .map(|(id, delay, parts)| {
                scope.spawn(move || {
                    thread::sleep(delay.saturating_sub(started_at.elapsed()));
                    (id, delay, parts.finish())
                })
            })
            .collect();
        callers
            .into_iter()
            .map(|caller| caller.join().unwrap())
            .collect()
    });
    assert_eq!(site.gateway.wait(), Some(0), "{}", site.gateway.log());
    assert!(started_at.elapsed() < LIMIT);
    for (id, delay, answer) in &answers {
        let answer = answer.as_ref();
        let answer = answer.unwrap_or_else(|| panic!("no answer to the request after {delay:?}"));
        let was_passed_on = was_passed_on(&site, id);
        assert_eq!(answer.status == 200, was_passed_on, "after {delay:?}");
        if !was_passed_on {
            assert_eq!(answer.status, 503, "after {delay:?}");
            assert!(answer.fields.contains_key("retry-after"));
        }
    }
    let served = |answer: &Option<Answer>| answer.as_ref().is_some_and(|one| one.status == 200);
    assert!(served(&answers[0].2), "one that can be answered is served");
    assert!(!served(&answers[11].2));
}

/// Guards against a caller that gets no answer at all: its request still runs at the end of a shutdown,
/// or waits for its body.
#[test]
fn a_request_that_runs_at_the_end_of_a_shutdown_is_answered() {
    let settings = SETTINGS.replace("limit = 4s", "limit = 1500ms");
    let mut site = Site::start(&["c1"], &[], &settings);
    site.replicas["c1"].set_behavior(Behavior::Hang);
    let mut running = site.gateway.client();
    running.send("POST", "/act/a", "running", &[], b"").unwrap();
    wait_for("the run", || site.runs() == 1);
    let mut waiting = site.gateway.client();
    let head = format!(
        "POST /act/a HTTP/1.1\r\nHost: {HOST}\r\nPistachiohall-Request-Id: waiting\r\n\
         Content-Length: 4\r\n\r\nbo"
    );
    waiting.send_raw(head.as_bytes()).unwrap();
    site.gateway.signal("-TERM");
    assert_eq!(running.receive().unwrap().status, 502, "it may have run");
    assert_eq!(waiting.receive().unwrap().status, 503, "it has not run");
    assert_eq!(site.gateway.wait(), Some(1));
    assert!(!was_passed_on(&site, "waiting"));
}

/// Guards against giving up a request that may run again after its first attempt has failed during a
/// shutdown: another attempt can serve it in time, and no refusal would be true any more.
#[rstest]
#[case::of_a_safe_request("GET", "/read/a", &[])]
#[case::of_a_stream("POST", "/ask/a", &SHORT_PROMPT)]
fn a_request_that_was_taken_before_the_listener_closed_is_tried_again(
    #[case] method: &str,
    #[case] path: &str,
    #[case] prompt: &[(&str, &str)],
) {
    let settings = SETTINGS.replace("limit = 4s", "limit = 2s");
    let engines = [("d1", "decode"), ("d2", "decode")];
    let mut site = Site::start(&["c1", "c2"], &engines, &settings);
    for replica in site.replicas.values() {
        replica.set_behavior(Behavior::Hang);
    }
    site.gateway.signal("-TERM");
    site.gateway.wait_line(&["outcome=leaving"]);
    thread::sleep(Duration::from_millis(350));
    let mut client = site.gateway.client();
    client.send(method, path, "r1", prompt, b"").unwrap();
    wait_for("the first attempt", || site.runs() == 1);
    for replica in site.replicas.values() {
        replica.set_behavior(Behavior::Sound);
    }
    let answer = client.receive().unwrap();
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(site.gateway.wait(), Some(0));
    site.gateway.wait_line(&["request=r1", "Silent"]);
}
