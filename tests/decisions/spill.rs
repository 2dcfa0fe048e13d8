//! Leaving the failure domain, each test under the load or failure that it answers.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

use pistachiohall::spill;
use pistachiohall::spill::Link;
use pistachiohall::spill::Offer;
use pistachiohall::spill::Reason;
use pistachiohall::spill::Terms;
use pistachiohall::spill::Verdict;

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

const IDLE_SIDE: Offer = Offer {
    wait: millis(30),
    delay: millis(2),
    bytes: 800,
    spare: 10.0,
    expected: 1.0,
    loads_age: millis(100),
    is_link_open: true,
};

fn decide(stay_ms: u64, offer: &Offer, is_leaving: bool) -> Verdict {
    spill::decide(
        Some(millis(stay_ms)),
        offer,
        &Terms::default(),
        is_leaving,
        0.5,
    )
}

/// Guards against callers that wait here while the other side rests, and against work that leaves
/// for nothing.
#[rstest]
#[case::wait_here_is_long(90, true)]
#[case::both_are_alike(33, false)]
#[case::here_is_idle(30, false)]
fn work_leaves_if_its_answer_comes_sooner(#[case] stay_ms: u64, #[case] leaves: bool) {
    let verdict = decide(stay_ms, &IDLE_SIDE, false);
    assert_eq!(matches!(verdict, Verdict::Leave(_)), leaves, "{verdict:?}");
}

/// Guards against a KV cache of 1.4 GiB that is moved to save less than its bytes are worth, and a
/// plain request that stays because of 800 bytes.
#[test]
fn bytes_and_delay_are_weighed_against_waiting() {
    let kv_cache = Offer {
        bytes: 3 << 29,
        ..IDLE_SIDE
    };
    assert!(matches!(decide(36, &IDLE_SIDE, false), Verdict::Leave(_)));
    assert_eq!(decide(36, &kv_cache, false), Verdict::Stay(Reason::NoGain));
    assert!(matches!(decide(45, &kv_cache, false), Verdict::Leave(_)));
    let slow = Offer {
        delay: millis(40),
        ..IDLE_SIDE
    };
    assert_eq!(decide(60, &slow, false), Verdict::Stay(Reason::NoGain));
}

/// Guards against work sent by loads that tell nothing any more.
#[test]
fn work_stays_if_the_loads_there_are_too_old() {
    let old = Offer {
        loads_age: millis(1001),
        ..IDLE_SIDE
    };
    assert_eq!(decide(500, &old, false), Verdict::Stay(Reason::Stale));
}

/// Guards against work that leaves one full side for another.
#[test]
fn work_stays_if_both_sides_are_full() {
    let full = Offer {
        wait: millis(300),
        spare: 0.0,
        ..IDLE_SIDE
    };
    assert_eq!(decide(300, &full, false), Verdict::Stay(Reason::NoGain));
    assert_eq!(decide(400, &full, false), Verdict::Stay(Reason::Full));
}

/// Guards against 25 hosts that all leave at once for the room of a few requests.
#[test]
fn hosts_of_one_side_share_the_room_of_the_other() {
    let mut random = StdRng::seed_from_u64(11);
    let offer = Offer {
        spare: 5.0,
        expected: 25.0,
        ..IDLE_SIDE
    };
    let mut leave = || {
        let draw = random.random();
        let verdict = spill::decide(Some(millis(200)), &offer, &Terms::default(), true, draw);
        usize::from(matches!(verdict, Verdict::Leave(_)))
    };
    let rounds = 400;
    let left: usize = (0..rounds * 25).map(|_| leave()).sum();
    let mean = left as f64 / f64::from(rounds);
    assert!((4.0..=6.0).contains(&mean), "{mean} of 25 hosts leave");
}

/// Guards against a host that goes back and forth while both sides are alike: a wait that sways by
/// less than half of the minimum gain changes nothing.
#[test]
fn a_wait_that_sways_around_the_bound_does_not_flap() {
    let mut is_leaving = false;
    let mut changes = 0;
    for step in 0..100 {
        let sway = if step % 2 == 0 { 300 } else { -300 };
        let stay = Duration::from_micros((33_900 + sway) as u64);
        let verdict = spill::decide(Some(stay), &IDLE_SIDE, &Terms::default(), is_leaving, 0.5);
        let leaves = matches!(verdict, Verdict::Leave(_));
        changes += usize::from(leaves != is_leaving);
        is_leaving = leaves;
    }
    assert!(changes <= 1, "{changes} changes");
}

/// Guards against work lost on a link that is cut: after two losses nothing is sent over it, then
/// one request at a time tries it.
#[test]
fn a_cut_link_stops_work_after_two_losses() {
    let start = Instant::now();
    let mut link = Link::default();
    let mut lost = 0;
    for step in 0..10_000 {
        let now = start + millis(step);
        let offer = Offer {
            is_link_open: link.is_open(now),
            ..IDLE_SIDE
        };
        match decide(500, &offer, true) {
            Verdict::Leave(_) => {
                lost += 1;
                link.record_loss(now);
            }
            Verdict::Stay(reason) => assert_eq!(reason, Reason::LinkClosed),
        }
    }
    assert!(lost <= 8, "{lost} requests lost in 10 s");
}

/// Guards against a link that loses a third of what crosses it, and one that turns slow.
#[test]
fn a_lossy_or_slow_link_is_left() {
    let now = Instant::now();
    let mut lossy = Link::default();
    let closed = (0..30).filter(|number| {
        match number % 3 {
            0 => lossy.record_loss(now),
            _ => lossy.record_answer(0.002),
        }
        !lossy.is_open(now)
    });
    assert!(closed.count() >= 1);
    let mut slow = Link::default();
    (0..10).for_each(|_| slow.record_answer(0.1));
    let offer = Offer {
        delay: slow.delay(millis(2)),
        ..IDLE_SIDE
    };
    assert_eq!(decide(100, &offer, true), Verdict::Stay(Reason::NoGain));
}

/// Guards against callers refused because nobody here can take their requests.
#[test]
fn work_leaves_if_nobody_here_can_take_it() {
    let old = Offer {
        loads_age: millis(5000),
        ..IDLE_SIDE
    };
    let verdict = spill::decide(None, &old, &Terms::default(), false, 0.99);
    assert_eq!(verdict, Verdict::Leave(Duration::ZERO));
}
