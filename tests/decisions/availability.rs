//! Tests of upstreams' notices over time and across changes of their entries.

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use pistachiohall::availability;
use pistachiohall::availability::Incarnation;
use pistachiohall::availability::Incarnations;
use pistachiohall::availability::MAX_PAUSE;
use pistachiohall::availability::Notice;
use pistachiohall::availability::Unavailability;
use pistachiohall::fleet::Entry;
use pistachiohall::fleet::State;
use pistachiohall::platform::egress;

const SECOND: Duration = Duration::from_secs(1);

/// Returns the entry of an upstream that is ready, started at `started_at`.
fn entry(started_at: u64) -> Entry {
    super::entry(started_at, State::Ready)
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
    limit: None,
};

#[test]
fn a_shorter_pause_does_not_end_a_longer_one() {
    let incarnation = Incarnation::default();
    let now = Instant::now();
    incarnation.apply(&pause(5), now);
    assert_eq!(incarnation.apply(&pause(1), now + SECOND), None);
    assert_eq!(
        incarnation.unavailability(now + 4 * SECOND),
        Some(Unavailability::Paused(SECOND))
    );
    // Nor does a response that asks for no pause.
    assert_eq!(
        incarnation.apply(&Notice::default(), now + 4 * SECOND),
        None
    );
    assert!(incarnation.unavailability(now + 4 * SECOND).is_some());
    assert_eq!(incarnation.unavailability(now + 5 * SECOND), None);
}

#[test]
fn a_pause_is_bounded() {
    let incarnation = Incarnation::default();
    let now = Instant::now();
    let endless = Notice {
        pause: Some(Duration::MAX),
        ..Notice::default()
    };
    incarnation.apply(&endless, now);
    assert_eq!(
        incarnation.unavailability(now),
        Some(Unavailability::Paused(MAX_PAUSE))
    );
}

#[test]
fn a_leaving_upstream_never_takes_requests_again() {
    let incarnation = Incarnation::default();
    let now = Instant::now();
    incarnation.apply(&LEAVING, now);
    incarnation.apply(&Notice::default(), now + SECOND);
    assert_eq!(
        incarnation.unavailability(now + 3600 * SECOND),
        Some(Unavailability::Leaving)
    );
}

/// Guards against forgetting a notice when the entry expires and comes back. A new incarnation
/// under the same name takes requests.
#[test]
fn notices_outlive_the_entry_and_apply_to_one_incarnation() {
    let incarnations = Incarnations::default();
    let now = Instant::now();
    incarnations.get(&entry(1)).apply(&LEAVING, now);
    incarnations.forget(&[], now + 60 * SECOND);
    let again = incarnations.get(&entry(1));
    assert_eq!(
        again.unavailability(now + 60 * SECOND),
        Some(Unavailability::Leaving)
    );
    assert_eq!(incarnations.get(&entry(2)).unavailability(now), None);
    assert_eq!(
        availability::mark_leaving(&[entry(1)], &incarnations)[0].state,
        State::Draining
    );
    assert_eq!(
        availability::mark_leaving(&[entry(2)], &incarnations)[0].state,
        State::Ready
    );
}

/// Notices of upstreams without an entry are kept for a bounded time.
#[test]
fn incarnations_without_an_entry_are_removed() {
    let incarnations = Incarnations::default();
    let now = Instant::now();
    incarnations.get(&entry(1)).apply(&LEAVING, now);
    incarnations.get(&entry(2)).apply(&pause(5), now);
    assert_eq!(incarnations.count_unavailable(now), (1, 1));
    incarnations.forget(&[], now + 10 * SECOND);
    assert_eq!(incarnations.count_unavailable(now), (1, 0));
    incarnations.forget(&[entry(1)], now + 3600 * SECOND);
    assert_eq!(
        incarnations.count_unavailable(now),
        (1, 0),
        "it still has an entry"
    );
    incarnations.forget(&[], now + 3600 * SECOND);
    assert_eq!(incarnations.count_unavailable(now), (0, 0));
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
