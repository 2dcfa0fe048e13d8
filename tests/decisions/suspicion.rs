//! Tests of which requests are refused because upstreams may have ended under them.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use pistachiohall::gossip;
use pistachiohall::suspicion::Fate;
use pistachiohall::suspicion::Ledger;
use pistachiohall::suspicion::Told;
use pistachiohall::suspicion::ToldLoss;
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

fn is_refused(ledger: &Ledger, now: Instant) -> bool {
    ledger.verdict(REQUEST, now) != Verdict::Clear
}

/// Returns a tracker in which two incarnations, 100 and 200, may have ended under the request.
fn tracker_with_suspect(now: Instant) -> Ledger {
    let mut ledger = Ledger::new(1);
    ledger.note_loss(REQUEST, 100, now);
    ledger.note_loss(REQUEST, 200, now);
    assert!(is_refused(&ledger, now));
    ledger
}

/// Merges into `to` what `from` reports in one datagram.
fn exchange_reports(from: &mut Ledger, origin: u32, to: &mut Ledger, now: Instant) {
    let told = from.tell(MAX_REPORTED, now);
    to.hear(origin, &told, now);
}

#[test]
fn incarnations_are_counted_as_a_set_over_hosts() {
    let now = Instant::now();
    let (mut one, mut other, mut third) = (Ledger::new(1), Ledger::new(2), Ledger::new(3));
    one.note_loss(REQUEST, 100, now);
    other.note_loss(REQUEST, 100, now);
    exchange_reports(&mut one, 1, &mut third, now);
    exchange_reports(&mut other, 2, &mut third, now);
    assert!(!is_refused(&third, now), "both report the same incarnation");
    let later = now + ms(1500);
    other.note_loss(REQUEST, 200, later);
    let told = other.tell(MAX_REPORTED, later);
    for ledger in [&mut one, &mut third] {
        ledger.hear(2, &told, later);
        assert!(
            is_refused(ledger, later),
            "no host has lost the request at both incarnations"
        );
    }
}

/// Guards against counting one incarnation twice, or two incarnations of one name as one.
#[test]
fn losses_are_counted_per_incarnation_of_a_name() {
    let now = Instant::now();
    let mut ledger = Ledger::new(1);
    ledger.note_loss(REQUEST, gossip::life("c1", 1), now);
    ledger.note_loss(REQUEST, gossip::life("c1", 1), now + ms(50));
    assert!(!is_refused(&ledger, now));
    ledger.note_loss(REQUEST, gossip::life("c1", 2), now + ms(3000));
    assert!(is_refused(&ledger, now + ms(3000)));
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
    let mut ledger = tracker_with_suspect(now);
    ledger.note_answer(100, now + ms(sent_ms));
    assert_eq!(is_refused(&ledger, now + ms(2000)), stays_refused);
}

/// A request may wait at an upstream after its caller has left and crash it seconds later. Guards
/// against responses in between clearing the request although the incarnation then ends.
#[test]
fn an_incarnation_that_ends_soon_after_a_response_counts() {
    let now = Instant::now();
    let mut ledger = tracker_with_suspect(now);
    ledger.note_answer(100, now + ms(100));
    assert!(!is_refused(&ledger, now + ms(100)));
    let later = now + ms(4500);
    ledger.settle(&HashSet::from([200]), Some(later), later);
    assert!(is_refused(&ledger, later));
    let told = Told {
        fingerprint: REQUEST,
        losses: vec![ToldLoss {
            life: 100,
            age: ms(4500),
            fate: Fate::Alive,
        }],
        well: None,
    };
    ledger.hear(1, &[told], later);
    assert!(
        is_refused(&ledger, later),
        "a late report of a host that did not know of the end changes nothing"
    );
}

#[test]
fn a_response_with_the_start_time_clears_a_loss_at_any_time() {
    let now = Instant::now();
    let mut ledger = tracker_with_suspect(now);
    ledger.note_alive(100, now + ms(4000));
    assert!(!is_refused(&ledger, now + ms(4000)));
}

/// The registry shows the fate of an incarnation: its entry is removed, or still written after the
/// expiry time.
#[test]
fn the_registry_resolves_losses() {
    let now = Instant::now();
    let mut ledger = tracker_with_suspect(now);
    let listed = HashSet::from([100]);
    let later = now + ms(500);
    let settled = ledger.settle(&listed, Some(later), later);
    let fates: Vec<Fate> = settled.iter().map(|settled| settled.fate).collect();
    assert_eq!(
        fates,
        [Fate::Ended],
        "only the incarnation without an entry"
    );
    assert!(is_refused(&ledger, later));
    let later = now + EXPIRY;
    ledger.settle(&listed, Some(later), later);
    assert!(!is_refused(&ledger, later), "one of them is still running");
}

/// While the registry cannot be read, no incarnation is assumed alive or ended.
#[rstest]
#[case::never_read(None)]
#[case::read_before_the_losses(Some(0))]
fn an_outage_of_the_registry_resolves_nothing(#[case] read_ms: Option<u64>) {
    let begun = Instant::now();
    let mut ledger = tracker_with_suspect(begun + ms(1000));
    let read = read_ms.map(|at| begun + ms(at));
    let later = begun + Duration::from_secs(60);
    let settled = ledger.settle(&HashSet::new(), read, later);
    assert_eq!(settled, []);
    assert!(is_refused(&ledger, later));
    assert!(matches!(
        ledger.verdict(REQUEST, later),
        Verdict::Unresolved(_)
    ));
}

/// A request that completes at one host is cleared at all hosts.
#[test]
fn a_completion_clears_a_request_at_all_hosts() {
    let now = Instant::now();
    let mut one = tracker_with_suspect(now);
    let mut other = Ledger::new(2);
    exchange_reports(&mut one, 1, &mut other, now);
    assert!(is_refused(&other, now));
    let later = now + ms(1100);
    other.note_well(REQUEST, later);
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
    let mut ledger = Ledger::new(1);
    ledger.note_well(REQUEST, now);
    for life in 0..4 {
        ledger.note_loss(REQUEST, life, now + ms(5000));
        ledger.note_ended(life);
    }
    assert!(!is_refused(&ledger, now + ms(5000)));
}

/// While one copy of a suspect is in flight, a second one could end a further incarnation.
#[test]
fn a_suspect_is_sent_once_at_a_time() {
    let now = Instant::now();
    let mut ledger = Ledger::new(1);
    ledger.enter(REQUEST);
    ledger.enter(REQUEST);
    assert!(!is_refused(&ledger, now), "not a suspect yet");
    ledger.note_loss(REQUEST, 100, now);
    ledger.leave(REQUEST);
    assert!(is_refused(&ledger, now));
    ledger.leave(REQUEST);
    assert!(!is_refused(&ledger, now));
}

/// Guards against a late, older datagram that reports a known fate as unknown.
#[test]
fn a_late_report_does_not_undo_a_known_fate() {
    let now = Instant::now();
    let mut ledger = Ledger::new(2);
    let told = |fate, age_ms| Told {
        fingerprint: REQUEST,
        losses: vec![ToldLoss {
            life: 100,
            age: ms(age_ms),
            fate,
        }],
        well: None,
    };
    ledger.note_loss(REQUEST, 200, now);
    ledger.hear(1, &[told(Fate::Unknown, 0)], now);
    assert!(is_refused(&ledger, now));
    ledger.hear(1, &[told(Fate::Alive, 300)], now + ms(300));
    assert!(!is_refused(&ledger, now + ms(300)));
    ledger.hear(1, &[told(Fate::Unknown, 200)], now + ms(600));
    assert!(!is_refused(&ledger, now + ms(600)), "a late datagram");
    ledger.hear(1, &[told(Fate::Unknown, 0)], now + ms(5000));
    assert!(is_refused(&ledger, now + ms(5000)), "lost there again");
}

/// A restarted host takes over its persisted losses and reports them as its own.
#[test]
fn persisted_losses_are_a_hosts_own_after_a_restart() {
    let now = Instant::now();
    let mut before = Ledger::new(1);
    before.note_loss(REQUEST, 100, now);
    before.note_ended(100);
    assert_eq!(before.lasting(now), [], "the next attempt may clear it");
    let later = now + ms(1500);
    let kept = before.lasting(later);
    assert_eq!(kept.len(), 1);
    let mut after = Ledger::new(1);
    after.hear(1, &kept, later);
    after.note_loss(REQUEST, 200, later);
    assert!(is_refused(&after, later));
    assert_eq!(after.tell(MAX_REPORTED, later)[0].losses.len(), 2);
}

#[test]
fn a_full_table_drops_the_suspect_with_the_fewest_incarnations() {
    let now = Instant::now();
    let mut ledger = tracker_with_suspect(now);
    for other in 0..10_000 {
        ledger.note_loss(1_000_000 + other, 300, now + ms(other));
    }
    assert!(is_refused(&ledger, now));
    assert!(ledger.count(now).0 <= 4096);
}

/// The suspects per datagram are bounded, and each is reported eventually.
#[test]
fn all_suspects_are_reported_in_turn() {
    let now = Instant::now();
    let mut ledger = Ledger::new(1);
    for request in 0..100 {
        ledger.note_loss(request, 100, now);
    }
    let mut told = HashSet::new();
    for round in 0..13 {
        let datagram = ledger.tell(MAX_REPORTED, now + ms(20 * round));
        assert!(datagram.len() <= MAX_REPORTED);
        told.extend(datagram.iter().map(|told| told.fingerprint));
    }
    assert_eq!(told.len(), 100);
    assert_eq!(
        ledger.tell(MAX_REPORTED, now + ms(500)),
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
    let mut ledgers: Vec<Ledger> = (0..hosts).map(Ledger::new).collect();
    let mut ended = 0;
    let mut bytes = vec![0; hosts as usize];
    for round in 0..150 {
        // One round is the maximum interval between two datagrams.
        let now = begun + ms(400 * round);
        if round % 5 == 0 {
            let host = random.random_range(0..hosts) as usize;
            if !is_refused(&ledgers[host], now) {
                ended += 1;
                ledgers[host].note_loss(REQUEST, 100 + ended, now);
            }
        }
        for sender in 0..hosts as usize {
            let told = ledgers[sender].tell(MAX_REPORTED, now);
            if told.is_empty() {
                continue;
            }
            let size: usize = told
                .iter()
                .map(|told| gossip::Suspect::from(told).encoded_len())
                .sum();
            for receiver in 0..hosts as usize {
                if receiver != sender && random.random_range(0..3) > 0 {
                    ledgers[receiver].hear(sender as u32, &told, now);
                    bytes[receiver] += size;
                }
            }
        }
    }
    assert!((1..=3).contains(&ended), "{ended} upstreams have ended");
    let max = bytes.into_iter().max().unwrap();
    assert!(max / 60 < 200, "one host received {max} bytes in a minute");
}
