//! Orders for upstreams when the platform withdraws, denies, is silent or late, and when the holder
//! freezes.

use std::collections::HashMap;
use std::time::Duration;

use rstest::rstest;

use pistachiohall::capacity::duty::Outlook;
use pistachiohall::catalog::Scale;
use pistachiohall::clock::Clock;

use super::capacity_site::Answer;
use super::capacity_site::BOOT;
use super::capacity_site::LEASE;
use super::capacity_site::STEP;
use super::capacity_site::Site;
use super::capacity_site::catalog;
use super::capacity_site::scale;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// The dear ones of the start are replaced by cheap ones, never with fewer serving than are needed, and
/// then nothing is ordered any more.
#[test]
fn dear_ones_are_replaced_and_the_numbers_settle() {
    let mut site = Site::new(15, 1);
    let least = site.run(seconds(60));
    assert!(least >= 16, "{least}");
    assert!(site.count(false) <= 9, "{}", site.count(false));
    assert!(site.count(true) >= 12);
    let calls = site.calls();
    site.run(seconds(60));
    assert!(
        site.calls() - calls <= 6,
        "{} calls without a change",
        site.calls() - calls
    );
}

/// Nothing is ordered before demand is known, nor on a partial or old view of it.
#[test]
fn nothing_is_ordered_on_a_partial_view() {
    let mut site = Site::new(15, 1);
    for _ in 0..60 {
        site.clock.advance(STEP);
        let partial = Outlook {
            heard: 3,
            ..site.outlook(0)
        };
        site.step_with(0, &partial);
        let now = site.clock.now();
        let old = Outlook {
            gathered_at: now.checked_sub(seconds(3)),
            ..site.outlook(0)
        };
        site.step_with(0, &old);
        let idle = Outlook {
            demand: HashMap::new(),
            ..site.outlook(0)
        };
        site.step_with(0, &idle);
    }
    assert_eq!(site.calls(), 0);
}

/// A failure domain's withdrawable ones go at once, then those of a second one before the others are
/// back: the work is still served, and others are ordered at once.
#[test]
fn withdrawn_ones_are_ordered_again_at_once() {
    let mut site = Site::new(15, 1);
    site.run(seconds(60));
    let before = site.count(true);
    site.world.borrow_mut().withdraw("a");
    assert!(site.run(seconds(2)) >= 12);
    site.world.borrow_mut().withdraw("b");
    let least = site.run(seconds(8));
    assert!(least >= 9, "{least} left for work of 8");
    assert!(
        site.count(true) >= before,
        "{} of {before}",
        site.count(true)
    );
}

/// None are to be had where they were withdrawn: the other failure domains get more; none anywhere:
/// others fill in. It doesn't ask more often than each few seconds.
#[test]
fn others_fill_in_while_none_are_to_be_had() {
    let mut site = Site::new(15, 1);
    site.run(seconds(60));
    let (stable, calls) = (site.count(false), site.calls());
    let others = site.world.borrow().count("b", true);
    site.world.borrow_mut().denied.insert("a".into());
    site.world.borrow_mut().withdraw("a");
    site.run(seconds(10));
    assert!(site.world.borrow().count("b", true) > others);
    for domain in ["b", "c"] {
        site.world.borrow_mut().denied.insert(domain.into());
        site.world.borrow_mut().withdraw(domain);
    }
    site.run(seconds(10));
    assert!(site.count(false) > stable);
    assert!(site.world.borrow().serving() >= 8);
    assert!(site.calls() - calls <= 40, "{} calls", site.calls() - calls);
    site.world.borrow_mut().denied.clear();
    site.run(seconds(60));
    assert!(
        site.count(false) <= stable + 3,
        "{} of {stable}",
        site.count(false)
    );
}

/// While the platform refuses or is silent, the numbers stay or come late; afterwards they are right.
#[rstest]
#[case::busy(Answer::Busy)]
#[case::silent(Answer::Silent(Duration::from_secs(3600)))]
#[case::late(Answer::Silent(Duration::from_secs(9)))]
fn orders_are_repeated_until_they_show(#[case] answer: Answer) {
    let mut site = Site::new(15, 1);
    site.world.borrow_mut().answer = answer;
    assert!(site.run(seconds(20)) >= 16);
    site.world.borrow_mut().answer = Answer::Sound;
    assert!(site.run(seconds(90)) >= 16);
    assert!(site.count(false) <= 9, "{}", site.count(false));
    assert!(site.count(true) >= 12);
}

/// An order carried out after newer ones changes the numbers back; they are ordered again.
#[test]
fn an_order_carried_out_after_newer_ones_is_mended() {
    let mut site = Site::new(15, 1);
    site.run(seconds(60));
    let before = site.count(true);
    site.world.borrow_mut().set("a", true, 0, BOOT);
    site.run(seconds(10));
    assert!(site.count(true) >= before);
}

/// A holder that freezes while it sends stops: its lease has ended. The next one waits for two leases,
/// and no token is followed by a lower one.
#[test]
fn a_frozen_holder_sends_nothing_on_an_ended_lease() {
    let mut site = Site::new(15, 2);
    site.world.borrow_mut().freeze = Some(seconds(9));
    site.run(seconds(5));
    {
        let world = site.world.borrow();
        let (first, _, _, _) = &world.calls[0];
        let late = world
            .calls
            .iter()
            .filter(|(at, by, _, _)| *by == world.calls[0].1 && at.saturating_sub(*first) > LEASE);
        assert_eq!(late.count(), 0);
    }
    // The first host stays away, and the other becomes the first in rank.
    site.hosts.remove(0);
    site.hosts[0].rank = 0;
    site.run(seconds(60));
    let world = site.world.borrow();
    let tokens: Vec<_> = world
        .calls
        .iter()
        .map(|(_, by, _, _)| by.fencing_token)
        .collect();
    assert!(tokens.is_sorted(), "{tokens:?}");
    let takeover = world
        .calls
        .windows(2)
        .find(|pair| pair[0].1.holder != pair[1].1.holder);
    let [before, after] = takeover.unwrap() else {
        unreachable!()
    };
    assert!(after.0 - before.0 >= LEASE);
    let changes = world
        .calls
        .windows(2)
        .filter(|pair| pair[0].1.holder != pair[1].1.holder);
    assert_eq!(changes.count(), 1);
}

/// Demand of 1.9 times for 2.8 s of each 14 s: what serves is never below the peak, and the numbers
/// don't swing.
#[test]
fn numbers_do_not_swing_with_the_mix() {
    let mut site = Site::new(15, 1);
    let mut late_calls = 0;
    for turn in 0..12 {
        let calls = site.calls();
        site.work = 15.0;
        let peak = site.run(Duration::from_millis(3000));
        site.work = 8.0;
        let rest = site.run(Duration::from_millis(11_000));
        assert!(peak.min(rest) >= 15, "turn {turn}: {peak}, {rest}");
        if turn >= 6 {
            late_calls += site.calls() - calls;
        }
    }
    assert!(late_calls <= 24, "{late_calls} orders in six turns");
}

/// A range that contains no number orders nothing.
#[test]
fn an_inverted_range_orders_nothing() {
    let mut site = Site::new(15, 1);
    site.catalog = catalog(Scale {
        min: 9,
        max: 2,
        ..scale()
    });
    site.run(seconds(20));
    assert_eq!(site.calls(), 0);
}
