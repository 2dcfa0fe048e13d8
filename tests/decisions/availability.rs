//! Tests of upstreams' notices over time and across changes of their entries.

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use pistachiohall::availability;
use pistachiohall::availability::Closure;
use pistachiohall::availability::Life;
use pistachiohall::availability::Lives;
use pistachiohall::availability::MOST_PAUSE;
use pistachiohall::availability::Notice;
use pistachiohall::fleet::Row;
use pistachiohall::fleet::State;
use pistachiohall::platform::egress;

const SECOND: Duration = Duration::from_secs(1);

/// Returns the entry of an upstream that is ready, started at `born`.
fn row(born: u64) -> Row {
    super::row(born, State::Ready)
}

fn pause(seconds: u32) -> Notice {
    Notice {
        pause: Some(SECOND * seconds),
        ..Notice::default()
    }
}

const LEAVING: Notice = Notice {
    is_leaving: true,
    pause: None,
    is_pause_unreadable: false,
};

#[test]
fn a_shorter_pause_does_not_end_a_longer_one() {
    let life = Life::default();
    let now = Instant::now();
    life.note(&pause(5), now);
    assert_eq!(life.note(&pause(1), now + SECOND), None);
    assert_eq!(
        life.closure(now + 4 * SECOND),
        Some(Closure::Paused(SECOND))
    );
    // Nor does a response that asks for no pause.
    assert_eq!(life.note(&Notice::default(), now + 4 * SECOND), None);
    assert!(life.closure(now + 4 * SECOND).is_some());
    assert_eq!(life.closure(now + 5 * SECOND), None);
}

#[test]
fn a_pause_is_bounded() {
    let life = Life::default();
    let now = Instant::now();
    let endless = Notice {
        pause: Some(Duration::MAX),
        ..Notice::default()
    };
    life.note(&endless, now);
    assert_eq!(life.closure(now), Some(Closure::Paused(MOST_PAUSE)));
}

#[test]
fn a_leaving_upstream_never_takes_requests_again() {
    let life = Life::default();
    let now = Instant::now();
    life.note(&LEAVING, now);
    life.note(&Notice::default(), now + SECOND);
    assert_eq!(life.closure(now + 3600 * SECOND), Some(Closure::Leaving));
}

/// Guards against forgetting a notice when the entry expires and comes back. A new incarnation under
/// the same name takes requests.
#[test]
fn notices_outlive_the_entry_and_apply_to_one_incarnation() {
    let lives = Lives::default();
    let now = Instant::now();
    lives.of(&row(1)).note(&LEAVING, now);
    lives.forget(&[], now + 60 * SECOND);
    let again = lives.of(&row(1));
    assert_eq!(again.closure(now + 60 * SECOND), Some(Closure::Leaving));
    assert_eq!(lives.of(&row(2)).closure(now), None);
    assert_eq!(
        availability::mark_leaving(&[row(1)], &lives)[0].state,
        State::Draining
    );
    assert_eq!(
        availability::mark_leaving(&[row(2)], &lives)[0].state,
        State::Ready
    );
}

/// Notices of upstreams without an entry are kept for a bounded time.
#[test]
fn incarnations_without_an_entry_are_removed() {
    let lives = Lives::default();
    let now = Instant::now();
    lives.of(&row(1)).note(&LEAVING, now);
    lives.of(&row(2)).note(&pause(5), now);
    assert_eq!(lives.closed(now), (1, 1));
    lives.forget(&[], now + 10 * SECOND);
    assert_eq!(lives.closed(now), (1, 0));
    lives.forget(&[row(1)], now + 3600 * SECOND);
    assert_eq!(lives.closed(now), (1, 0), "it still has an entry");
    lives.forget(&[], now + 3600 * SECOND);
    assert_eq!(lives.closed(now), (0, 0));
}

#[rstest]
#[case::integer(503, "2", Some(2000))]
#[case::fraction(503, " 0.25 ", Some(250))]
#[case::zero(503, "0", Some(0))]
#[case::too_many_requests(429, "2", Some(2000))]
#[case::success(200, "2", None)]
#[case::failure(500, "2", None)]
fn a_pause_is_read_from_rejections(
    #[case] status: u16,
    #[case] value: &str,
    #[case] pause_ms: Option<u64>,
) {
    let mut headers = http::HeaderMap::new();
    headers.insert("retry-after", value.parse().unwrap());
    let status = http::StatusCode::from_u16(status).unwrap();
    let notice = egress::notice(status, &headers);
    assert_eq!(notice.pause, pause_ms.map(Duration::from_millis));
    assert!(!notice.is_pause_unreadable);
}

#[rstest]
#[case("1", true)]
#[case(" 1 ", true)]
#[case("0", false)]
#[case("", false)]
fn an_upstream_is_leaving_if_the_header_is_one(#[case] value: &str, #[case] is_leaving: bool) {
    let mut headers = http::HeaderMap::new();
    headers.insert("server-leaving", value.parse().unwrap());
    let notice = egress::notice(http::StatusCode::OK, &headers);
    assert_eq!(notice.is_leaving, is_leaving);
}
