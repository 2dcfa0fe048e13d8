//! Tests of which requests are refused because upstreams may have ended under them.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use pistachiohall::gossip;
use pistachiohall::suspicion::Fate;
use pistachiohall::suspicion::LossReport;
use pistachiohall::suspicion::Report;
use pistachiohall::suspicion::Tracker;
use pistachiohall::suspicion::Verdict;
use prost::Message;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

/// The request in question.
const REQUEST: u64 = 7;
/// Maximum suspects reported in one datagram.
const MAX_REPORTED: usize = 8;
/// Time after which an entry that is not rewritten has definitely expired.
const EXPIRY: Duration = Duration::from_secs(7);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn is_refused(tracker: &Tracker, now: Instant) -> bool {
    tracker.verdict(REQUEST, now) != Verdict::Clear
}

/// Returns a tracker in which two incarnations, 100 and 200, may have ended under the request.
fn tracker_with_suspect(now: Instant) -> Tracker {
    let mut tracker = Tracker::new(1);
    tracker.record_loss(REQUEST, 100, now);
    tracker.record_loss(REQUEST, 200, now);
    assert!(is_refused(&tracker, now));
    tracker
}

/// Merges into `to` what `from` reports in one datagram.
fn exchange_reports(from: &mut Tracker, origin: u32, to: &mut Tracker, now: Instant) {
    let reports = from.due_reports(MAX_REPORTED, now);
    to.merge(origin, &reports, now);
}

#[test]
fn incarnations_are_counted_as_a_set_over_hosts() {
    let now = Instant::now();
    let (mut one, mut other, mut third) = (Tracker::new(1), Tracker::new(2), Tracker::new(3));
    one.record_loss(REQUEST, 100, now);
    other.record_loss(REQUEST, 100, now);
    exchange_reports(&mut one, 1, &mut third, now);
    exchange_reports(&mut other, 2, &mut third, now);
    assert!(!is_refused(&third, now), "both report the same incarnation");
    let later = now + ms(1500);
    other.record_loss(REQUEST, 200, later);
    let reports = other.due_reports(MAX_REPORTED, later);
    for tracker in [&mut one, &mut third] {
        tracker.merge(2, &reports, later);
        assert!(
            is_refused(tracker, later),
            "no host has lost the request at both incarnations"
        );
    }
}

/// Guards against counting one incarnation twice, or two incarnations of one name as one.
#[test]
fn losses_are_counted_per_incarnation_of_a_name() {
    let now = Instant::now();
    let mut tracker = Tracker::new(1);
    tracker.record_loss(REQUEST, gossip::incarnation_digest("c1", 1), now);
    tracker.record_loss(REQUEST, gossip::incarnation_digest("c1", 1), now + ms(50));
    assert!(!is_refused(&tracker, now));
    tracker.record_loss(REQUEST, gossip::incarnation_digest("c1", 2), now + ms(3000));
    assert!(is_refused(&tracker, now + ms(3000)));
}

#[rstest]
#[case::shortly_after(50, false)]
#[case::before_the_loss(0, true)]
#[case::possibly_next_incarnation(1500, true)]
fn only_a_response_shortly_after_a_loss_clears_it(
    #[case] sent_ms: u64,
    #[case] stays_refused: bool,
) {
    let now = Instant::now();
    let mut tracker = tracker_with_suspect(now);
    tracker.record_response(100, now + ms(sent_ms));
    assert_eq!(is_refused(&tracker, now + ms(2000)), stays_refused);
}

/// A request may wait at an upstream after its caller has left and crash it seconds later. Guards
/// against responses in between clearing the request although the incarnation then ends.
#[test]
fn an_incarnation_that_ends_soon_after_a_response_counts() {
    let now = Instant::now();
    let mut tracker = tracker_with_suspect(now);
    tracker.record_response(100, now + ms(100));
    assert!(!is_refused(&tracker, now + ms(100)));
    let later = now + ms(4500);
    tracker.reconcile(&HashSet::from([200]), Some(later), later);
    assert!(is_refused(&tracker, later));
    let report = Report {
        fingerprint: REQUEST,
        losses: vec![LossReport {
            incarnation: 100,
            age: ms(4500),
            fate: Fate::Alive,
            ..LossReport::default()
        }],
        ..Report::default()
    };
    tracker.merge(1, &[report], later);
    assert!(
        is_refused(&tracker, later),
        "a late report of a host that did not know of the end changes nothing"
    );
}

#[test]
fn a_response_with_the_start_time_clears_a_loss_at_any_time() {
    let now = Instant::now();
    let mut tracker = tracker_with_suspect(now);
    tracker.record_alive(100, now + ms(4000));
    assert!(!is_refused(&tracker, now + ms(4000)));
}

/// The registry shows the fate of an incarnation: its entry is removed, or still written after the
/// expiry time.
#[test]
fn the_registry_resolves_losses() {
    let now = Instant::now();
    let mut tracker = tracker_with_suspect(now);
    let listed = HashSet::from([100]);
    let later = now + ms(500);
    let resolutions = tracker.reconcile(&listed, Some(later), later);
    let fates: Vec<Fate> = resolutions
        .iter()
        .map(|resolution| resolution.fate)
        .collect();
    assert_eq!(
        fates,
        [Fate::Ended],
        "only the incarnation without an entry"
    );
    assert!(is_refused(&tracker, later));
    let later = now + EXPIRY;
    tracker.reconcile(&listed, Some(later), later);
    assert!(!is_refused(&tracker, later), "one of them is still running");
}

/// While the registry cannot be read, no incarnation is assumed alive or ended.
#[rstest]
#[case::never_read(None)]
#[case::read_before_the_losses(Some(0))]
fn an_outage_of_the_registry_resolves_nothing(#[case] read_ms: Option<u64>) {
    let begun = Instant::now();
    let mut tracker = tracker_with_suspect(begun + ms(1000));
    let read_at = read_ms.map(|at| begun + ms(at));
    let later = begun + Duration::from_secs(60);
    let resolutions = tracker.reconcile(&HashSet::new(), read_at, later);
    assert_eq!(resolutions, []);
    assert!(is_refused(&tracker, later));
    assert!(matches!(
        tracker.verdict(REQUEST, later),
        Verdict::Unresolved(_)
    ));
}

/// A request that completes at one host is cleared at all hosts.
#[test]
fn a_completion_clears_a_request_at_all_hosts() {
    let now = Instant::now();
    let mut one = tracker_with_suspect(now);
    let mut other = Tracker::new(2);
    exchange_reports(&mut one, 1, &mut other, now);
    assert!(is_refused(&other, now));
    let later = now + ms(1100);
    other.record_completion(REQUEST, later);
    assert!(!is_refused(&other, later));
    exchange_reports(&mut other, 2, &mut one, later + ms(10));
    assert!(!is_refused(&one, later + ms(10)));
    // Later reports of the first host do not make it a suspect again.
    exchange_reports(&mut one, 1, &mut other, later + ms(1200));
    assert!(!is_refused(&other, later + ms(1200)));
}

/// Upstreams that crash for other reasons lose several copies of a popular request at once.
#[test]
fn a_popular_request_is_not_refused_when_upstreams_end_together() {
    let now = Instant::now();
    let mut tracker = Tracker::new(1);
    tracker.record_completion(REQUEST, now);
    for incarnation in 0..4 {
        tracker.record_loss(REQUEST, incarnation, now + ms(5000));
        tracker.record_ended(incarnation);
    }
    assert!(!is_refused(&tracker, now + ms(5000)));
}

/// While one copy of a suspect is in flight, a second one could end a further incarnation.
#[test]
fn a_suspect_is_sent_once_at_a_time() {
    let now = Instant::now();
    let mut tracker = Tracker::new(1);
    tracker.begin_exchange(REQUEST);
    tracker.begin_exchange(REQUEST);
    assert!(!is_refused(&tracker, now), "not a suspect yet");
    tracker.record_loss(REQUEST, 100, now);
    tracker.end_exchange(REQUEST);
    assert!(is_refused(&tracker, now));
    tracker.end_exchange(REQUEST);
    assert!(!is_refused(&tracker, now));
}

/// Guards against a late, older datagram that reports a known fate as unknown.
#[test]
fn a_late_report_does_not_undo_a_known_fate() {
    let now = Instant::now();
    let mut tracker = Tracker::new(2);
    let report = |fate, age_ms| Report {
        fingerprint: REQUEST,
        losses: vec![LossReport {
            incarnation: 100,
            age: ms(age_ms),
            fate,
            ..LossReport::default()
        }],
        ..Report::default()
    };
    tracker.record_loss(REQUEST, 200, now);
    tracker.merge(1, &[report(Fate::Unknown, 0)], now);
    assert!(is_refused(&tracker, now));
    tracker.merge(1, &[report(Fate::Alive, 300)], now + ms(300));
    assert!(!is_refused(&tracker, now + ms(300)));
    tracker.merge(1, &[report(Fate::Unknown, 200)], now + ms(600));
    assert!(!is_refused(&tracker, now + ms(600)), "a late datagram");
    tracker.merge(1, &[report(Fate::Unknown, 0)], now + ms(5000));
    assert!(is_refused(&tracker, now + ms(5000)), "lost there again");
}

/// A restarted host takes over its persisted losses and reports them as its own.
#[test]
fn persisted_losses_are_a_hosts_own_after_a_restart() {
    let now = Instant::now();
    let mut before = Tracker::new(1);
    before.record_loss(REQUEST, 100, now);
    before.record_ended(100);
    assert_eq!(
        before.persistent_reports(now),
        [],
        "the next attempt may clear it"
    );
    let later = now + ms(1500);
    let persisted = before.persistent_reports(later);
    assert_eq!(persisted.len(), 1);
    let mut after = Tracker::new(1);
    after.merge(1, &persisted, later);
    after.record_loss(REQUEST, 200, later);
    assert!(is_refused(&after, later));
    assert_eq!(after.due_reports(MAX_REPORTED, later)[0].losses.len(), 2);
}

#[test]
fn a_full_table_drops_the_suspect_with_the_fewest_incarnations() {
    let now = Instant::now();
    let mut tracker = tracker_with_suspect(now);
    for other in 0..10_000 {
        tracker.record_loss(1_000_000 + other, 300, now + ms(other));
    }
    assert!(is_refused(&tracker, now));
    assert!(tracker.count(now).0 <= 4096);
}

/// The suspects per datagram are bounded, and each is reported eventually.
#[test]
fn all_suspects_are_reported_in_turn() {
    let now = Instant::now();
    let mut tracker = Tracker::new(1);
    for request in 0..100 {
        tracker.record_loss(request, 100, now);
    }
    let mut reported = HashSet::new();
    for round in 0..13 {
        let datagram = tracker.due_reports(MAX_REPORTED, now + ms(20 * round));
        assert!(datagram.len() <= MAX_REPORTED);
        reported.extend(datagram.iter().map(|report| report.fingerprint));
    }
    assert_eq!(reported.len(), 100);
    assert_eq!(
        tracker.due_reports(MAX_REPORTED, now + ms(500)),
        [],
        "nothing has changed"
    );
}

/// Hundreds of hosts each lose a third of the datagrams. A request that returns every two seconds
/// at any of them must end at most three upstreams, and the traffic about it that a host receives
/// must depend only on the number of hosts that lost it.
#[rstest]
#[case(30)]
#[case(300)]
#[case(1000)]
fn hosts_that_lose_datagrams_refuse_a_crashing_request(#[case] hosts: u32) {
    let mut random = StdRng::seed_from_u64(u64::from(hosts));
    let begun = Instant::now();
    let mut trackers: Vec<Tracker> = (0..hosts).map(Tracker::new).collect();
    let mut ended = 0;
    let mut bytes = vec![0; hosts as usize];
    for round in 0..150 {
        // One round is the maximum interval between two datagrams.
        let now = begun + ms(400 * round);
        if round % 5 == 0 {
            let host = random.random_range(0..hosts) as usize;
            if !is_refused(&trackers[host], now) {
                ended += 1;
                trackers[host].record_loss(REQUEST, 100 + ended, now);
            }
        }
        for sender in 0..hosts as usize {
            let reports = trackers[sender].due_reports(MAX_REPORTED, now);
            if reports.is_empty() {
                continue;
            }
            let size: usize = reports
                .iter()
                .map(|report| gossip::Suspect::from(report).encoded_len())
                .sum();
            for receiver in 0..hosts as usize {
                if receiver != sender && random.random_range(0..3) > 0 {
                    trackers[receiver].merge(sender as u32, &reports, now);
                    bytes[receiver] += size;
                }
            }
        }
    }
    assert!((1..=3).contains(&ended), "{ended} upstreams have ended");
    let max = bytes.into_iter().max().unwrap();
    assert!(max / 60 < 200, "one host received {max} bytes in a minute");
}

/// Guards against planned exits that count as crashes, and against crashes that an announcement excuses: a request
/// that crashes upstreams does so as it begins to run.
#[rstest]
#[case::planned(true, 3_000, true)]
#[case::crash_without_an_announcement(false, 3_000, false)]
#[case::crash_at_the_first_event(true, 0, false)]
#[case::crash_within_a_second(true, 1_000, false)]
fn only_an_end_that_was_announced_and_is_late_is_planned(
    #[case] is_leaving: bool,
    #[case] responded_for_ms: u64,
    #[case] is_planned: bool,
) {
    let responded_for = Duration::from_millis(responded_for_ms);
    assert_eq!(
        pistachiohall::suspicion::is_planned_end(is_leaving, responded_for),
        is_planned
    );
}
