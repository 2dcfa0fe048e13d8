//! Which requests are held back since upstreams may have ended under them, without a network.

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
/// Suspects that one datagram tells of.
const MOST_TOLD: usize = 8;
/// Time that surely shows whether an entry lapses.
const LAPSE: Duration = Duration::from_secs(7);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn is_held(tracker: &Tracker, now: Instant) -> bool {
    tracker.verdict(REQUEST, now) != Verdict::Clear
}

/// Returns a ledger in which two lives, 100 and 200, may have ended under the request.
fn suspecting(now: Instant) -> Tracker {
    let mut tracker = Tracker::new(1);
    tracker.record_loss(REQUEST, 100, now);
    tracker.record_loss(REQUEST, 200, now);
    assert!(is_held(&tracker, now));
    tracker
}

/// Has one host tell another all that it would in one datagram.
fn tell(from: &mut Tracker, origin: u32, to: &mut Tracker, now: Instant) {
    let told = from.due_reports(MOST_TOLD, now);
    to.merge(origin, &told, now);
}

#[test]
fn lives_are_counted_as_a_set_over_hosts() {
    let now = Instant::now();
    let (mut one, mut other, mut third) = (Tracker::new(1), Tracker::new(2), Tracker::new(3));
    one.record_loss(REQUEST, 100, now);
    other.record_loss(REQUEST, 100, now);
    tell(&mut one, 1, &mut third, now);
    tell(&mut other, 2, &mut third, now);
    assert!(!is_held(&third, now), "both saw the end of one life");
    let later = now + ms(1500);
    other.record_loss(REQUEST, 200, later);
    let told = other.due_reports(MOST_TOLD, later);
    for tracker in [&mut one, &mut third] {
        tracker.merge(2, &told, later);
        assert!(
            is_held(tracker, later),
            "each host has seen one end at most"
        );
    }
}

/// Guards against two names of one life, and two lives of one name.
#[test]
fn a_next_life_under_the_same_name_is_another() {
    let now = Instant::now();
    let mut tracker = Tracker::new(1);
    tracker.record_loss(REQUEST, gossip::incarnation_digest("c1", 1), now);
    tracker.record_loss(REQUEST, gossip::incarnation_digest("c1", 1), now + ms(50));
    assert!(!is_held(&tracker, now));
    tracker.record_loss(REQUEST, gossip::incarnation_digest("c1", 2), now + ms(3000));
    assert!(is_held(&tracker, now + ms(3000)));
}

#[rstest]
#[case::soon(50, false)]
#[case::before_the_loss(0, true)]
#[case::maybe_of_the_next_life(1500, true)]
fn an_answer_to_a_later_request_clears_only_the_same_life(
    #[case] sent_ms: u64,
    #[case] stays_held: bool,
) {
    let now = Instant::now();
    let mut tracker = suspecting(now);
    tracker.record_response(100, now + ms(sent_ms));
    assert_eq!(is_held(&tracker, now + ms(2000)), stays_held);
}

/// A request may wait at an upstream when its caller has left, and end it seconds later: answers in
/// between clear nothing if the life then ends.
#[test]
fn a_life_that_ends_soon_after_it_answered_counts() {
    let now = Instant::now();
    let mut tracker = suspecting(now);
    tracker.record_response(100, now + ms(100));
    assert!(!is_held(&tracker, now + ms(100)));
    let later = now + ms(4500);
    tracker.reconcile(&HashSet::from([200]), Some(later), later);
    assert!(is_held(&tracker, later));
    let told = Report {
        fingerprint: REQUEST,
        losses: vec![LossReport {
            incarnation: 100,
            age: ms(4500),
            fate: Fate::Alive,
        }],
        completed: None,
    };
    tracker.merge(1, &[told], later);
    assert!(
        is_held(&tracker, later),
        "told late by one who did not know"
    );
}

#[test]
fn an_upstream_that_names_its_start_is_believed_at_any_time() {
    let now = Instant::now();
    let mut tracker = suspecting(now);
    tracker.record_alive(100, now + ms(4000));
    assert!(!is_held(&tracker, now + ms(4000)));
}

/// The registry tells what became of a life: its entry is gone, or still written after a lapse.
#[test]
fn the_registry_settles_losses() {
    let now = Instant::now();
    let mut tracker = suspecting(now);
    let listed = HashSet::from([100]);
    let later = now + ms(500);
    let settled = tracker.reconcile(&listed, Some(later), later);
    let fates: Vec<Fate> = settled.iter().map(|settled| settled.fate).collect();
    assert_eq!(fates, [Fate::Ended], "only the life without an entry");
    assert!(is_held(&tracker, later));
    let later = now + LAPSE;
    tracker.reconcile(&listed, Some(later), later);
    assert!(!is_held(&tracker, later), "one of them goes on");
}

/// While the registry cannot be read, nothing is taken for alive or for ended.
#[rstest]
#[case::never_read(None)]
#[case::read_before_the_losses(Some(0))]
fn an_outage_of_the_registry_settles_nothing(#[case] read_ms: Option<u64>) {
    let begun = Instant::now();
    let mut tracker = suspecting(begun + ms(1000));
    let read = read_ms.map(|at| begun + ms(at));
    let later = begun + Duration::from_secs(60);
    let settled = tracker.reconcile(&HashSet::new(), read, later);
    assert_eq!(settled, []);
    assert!(is_held(&tracker, later));
    assert!(matches!(
        tracker.verdict(REQUEST, later),
        Verdict::Unresolved(_)
    ));
}

/// A request that runs to its end anywhere is innocent everywhere.
#[test]
fn a_run_to_the_end_clears_a_request_at_all_hosts() {
    let now = Instant::now();
    let mut one = suspecting(now);
    let mut other = Tracker::new(2);
    tell(&mut one, 1, &mut other, now);
    assert!(is_held(&other, now));
    let later = now + ms(1100);
    other.record_completion(REQUEST, later);
    assert!(!is_held(&other, later));
    tell(&mut other, 2, &mut one, later + ms(10));
    assert!(!is_held(&one, later + ms(10)));
    // What the first host still tells of then does not bring it back.
    tell(&mut one, 1, &mut other, later + ms(1200));
    assert!(!is_held(&other, later + ms(1200)));
}

/// Upstreams that end by themselves take several copies of a popular request with them at once.
#[test]
fn a_popular_request_is_not_held_for_upstreams_that_end_together() {
    let now = Instant::now();
    let mut tracker = Tracker::new(1);
    tracker.record_completion(REQUEST, now);
    for incarnation in 0..4 {
        tracker.record_loss(REQUEST, incarnation, now + ms(5000));
        tracker.record_ended(incarnation);
    }
    assert!(!is_held(&tracker, now + ms(5000)));
}

/// While one copy of a suspect is in flight, another one at the same host may end one life more.
#[test]
fn a_suspect_runs_alone() {
    let now = Instant::now();
    let mut tracker = Tracker::new(1);
    tracker.begin_exchange(REQUEST);
    tracker.begin_exchange(REQUEST);
    assert!(!is_held(&tracker, now), "it is no suspect yet");
    tracker.record_loss(REQUEST, 100, now);
    tracker.end_exchange(REQUEST);
    assert!(is_held(&tracker, now));
    tracker.end_exchange(REQUEST);
    assert!(!is_held(&tracker, now));
}

/// An older datagram that comes late says again that the fate of a life is open.
#[test]
fn what_is_settled_stays_so_when_it_is_told_again() {
    let now = Instant::now();
    let mut tracker = Tracker::new(2);
    let told = |fate, age_ms| Report {
        fingerprint: REQUEST,
        losses: vec![LossReport {
            incarnation: 100,
            age: ms(age_ms),
            fate,
        }],
        completed: None,
    };
    tracker.record_loss(REQUEST, 200, now);
    tracker.merge(1, &[told(Fate::Unknown, 0)], now);
    assert!(is_held(&tracker, now));
    tracker.merge(1, &[told(Fate::Alive, 300)], now + ms(300));
    assert!(!is_held(&tracker, now + ms(300)));
    tracker.merge(1, &[told(Fate::Unknown, 200)], now + ms(600));
    assert!(!is_held(&tracker, now + ms(600)), "told late");
    tracker.merge(1, &[told(Fate::Unknown, 0)], now + ms(5000));
    assert!(is_held(&tracker, now + ms(5000)), "lost there again");
}

/// What a host has kept binds its next life, which tells it on as its own.
#[test]
fn kept_losses_are_a_hosts_own_after_a_restart() {
    let now = Instant::now();
    let mut before = Tracker::new(1);
    before.record_loss(REQUEST, 100, now);
    before.record_ended(100);
    assert_eq!(
        before.persistent_reports(now),
        [],
        "the next try may clear it"
    );
    let later = now + ms(1500);
    let kept = before.persistent_reports(later);
    assert_eq!(kept.len(), 1);
    let mut after = Tracker::new(1);
    after.merge(1, &kept, later);
    after.record_loss(REQUEST, 200, later);
    assert!(is_held(&after, later));
    assert_eq!(after.due_reports(MOST_TOLD, later)[0].losses.len(), 2);
}

#[test]
fn a_full_table_drops_the_least_suspect() {
    let now = Instant::now();
    let mut tracker = suspecting(now);
    for other in 0..10_000 {
        tracker.record_loss(1_000_000 + other, 300, now + ms(other));
    }
    assert!(is_held(&tracker, now));
    assert!(tracker.count(now).0 <= 4096);
}

/// What a datagram tells of suspects is bounded, and none waits for ever.
#[test]
fn all_suspects_are_told_by_turns() {
    let now = Instant::now();
    let mut tracker = Tracker::new(1);
    for request in 0..100 {
        tracker.record_loss(request, 100, now);
    }
    let mut told = HashSet::new();
    for turn in 0..13 {
        let datagram = tracker.due_reports(MOST_TOLD, now + ms(20 * turn));
        assert!(datagram.len() <= MOST_TOLD);
        told.extend(datagram.iter().map(|told| told.fingerprint));
    }
    assert_eq!(told.len(), 100);
    assert_eq!(
        tracker.due_reports(MOST_TOLD, now + ms(500)),
        [],
        "nothing is new"
    );
}

/// Hundreds of hosts of which each loses a third of the datagrams: a request that comes again every
/// two seconds at any of them ends three upstreams at the most, and what a host hears of it does not
/// depend on how many hosts there are but for those that lost it.
#[rstest]
#[case(30)]
#[case(300)]
#[case(1000)]
fn hosts_that_lose_datagrams_hold_a_deadly_request(#[case] hosts: u32) {
    let mut random = StdRng::seed_from_u64(u64::from(hosts));
    let begun = Instant::now();
    let mut trackers: Vec<Tracker> = (0..hosts).map(Tracker::new).collect();
    let mut ended = 0;
    let mut bytes = vec![0; hosts as usize];
    for turn in 0..150 {
        // A turn is the longest pause between two datagrams.
        let now = begun + ms(400 * turn);
        if turn % 5 == 0 {
            let host = random.random_range(0..hosts) as usize;
            if !is_held(&trackers[host], now) {
                ended += 1;
                trackers[host].record_loss(REQUEST, 100 + ended, now);
            }
        }
        for sender in 0..hosts as usize {
            let told = trackers[sender].due_reports(MOST_TOLD, now);
            if told.is_empty() {
                continue;
            }
            let size: usize = told
                .iter()
                .map(|told| gossip::Suspect::from(told).encoded_len())
                .sum();
            for receiver in 0..hosts as usize {
                if receiver != sender && random.random_range(0..3) > 0 {
                    trackers[receiver].merge(sender as u32, &told, now);
                    bytes[receiver] += size;
                }
            }
        }
    }
    assert!((1..=3).contains(&ended), "{ended} upstreams have ended");
    let most = bytes.into_iter().max().unwrap();
    assert!(
        most / 60 < 200,
        "{most} bytes heard by one host in a minute"
    );
}
