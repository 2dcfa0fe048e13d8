//! Number of upstreams by kind and failure domain under turns of the mix, dear and cheap kinds, and
//! ranges that contain nothing.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use pistachiohall::capacity;
use pistachiohall::capacity::Counts;
use pistachiohall::capacity::Domain;
use pistachiohall::capacity::Domains;
use pistachiohall::capacity::Need;
use pistachiohall::capacity::Plan;
use pistachiohall::capacity::history::History;
use pistachiohall::catalog::Scale;
use pistachiohall::id::DomainId;
use pistachiohall::platform::registry;

const DOMAINS: [&str; 3] = ["a", "b", "c"];

fn scale() -> Scale {
    Scale {
        min: 1,
        max: 30,
        boot_duration: Duration::from_secs(4),
        spot_price: Some(0.15),
        domain_prices: BTreeMap::from([("a".into(), 1.0), ("b".into(), 0.8), ("c".into(), 1.25)]),
    }
}

fn need(present: f64, expected: f64) -> Need {
    Need {
        present,
        usual: present,
        expected,
        saved_share: 0.0,
        served_per_s: 45.0,
        second_worth: 1.0,
    }
}

fn domains(stable: usize, withdrawable: usize) -> Domains {
    let counts = Counts {
        stable,
        withdrawable,
    };
    let domain = Domain {
        serving: counts,
        ordered: counts,
        has_withdrawable: true,
        is_heard: true,
    };
    DOMAINS
        .iter()
        .map(|id| (DomainId::from(*id), domain))
        .collect()
}

fn total(plan: &Plan) -> Counts {
    plan.counts
        .values()
        .fold(Counts::default(), |sum, counts| Counts {
            stable: sum.stable + counts.stable,
            withdrawable: sum.withdrawable + counts.withdrawable,
        })
}

/// What is left covers the expected work after one failure domain lost its withdrawable upstreams, and
/// the present work after two did.
#[rstest]
#[case::mean(6.0, 11.0)]
#[case::turn_of_the_mix(10.0, 19.0)]
#[case::one_upstream(0.4, 0.7)]
fn work_is_served_when_failure_domains_lose_their_withdrawable_ones(
    #[case] present: f64,
    #[case] expected: f64,
) {
    let plan = capacity::plan(&scale(), &need(present, expected), &domains(15, 0)).unwrap();
    let all = total(&plan);
    let largest = plan
        .counts
        .values()
        .map(|counts| counts.withdrawable)
        .max()
        .unwrap();
    let left = all.stable + all.withdrawable - largest;
    assert!(left >= plan.needed, "{plan:?}");
    assert!(plan.needed as f64 >= expected);
    assert!(
        (all.stable + all.withdrawable - 2 * largest) as f64 >= present,
        "{plan:?}"
    );
    assert!(plan.counts.values().all(|counts| counts.stable >= 1));
    // One in each failure domain is enough for a small load.
    let has_few_stable = all.stable < all.withdrawable || all.stable == DOMAINS.len();
    assert!(has_few_stable, "{plan:?}");
}

/// No withdrawable ones anywhere or in one failure domain only: as many others as the present work
/// needs, no more.
#[rstest]
#[case(&["a", "b", "c"])]
#[case(&["a", "b"])]
fn others_fill_in_only_as_far_as_the_present_load_needs(#[case] denied: &[&str]) {
    let mut domains = domains(2, 0);
    for id in denied {
        domains.get_mut(*id).unwrap().has_withdrawable = false;
    }
    let plan = capacity::plan(&scale(), &need(9.0, 16.0), &domains).unwrap();
    assert!((9..=15).contains(&total(&plan).stable), "{plan:?}");
    for id in denied {
        assert_eq!(plan.counts[*id].withdrawable, 0);
    }
}

/// One failure domain has none: the other two cover its part.
#[test]
fn a_failure_domain_without_withdrawable_ones_is_covered_by_the_others() {
    let mut domains = domains(2, 10);
    let before = capacity::plan(&scale(), &need(8.0, 13.0), &domains).unwrap();
    domains.insert(
        "b".into(),
        Domain {
            has_withdrawable: false,
            ..Domain::default()
        },
    );
    let after = capacity::plan(&scale(), &need(8.0, 13.0), &domains).unwrap();
    assert!(after.counts["a"].withdrawable > before.counts["a"].withdrawable);
    let left = total(&after).stable + after.counts["a"].withdrawable;
    assert!(left >= after.needed, "{after:?}");
}

/// A range is kept for both kinds together; one that contains nothing orders nothing.
#[test]
fn the_range_holds_for_both_kinds_together() {
    let narrow = Scale {
        min: 3,
        max: 5,
        ..scale()
    };
    let plan = capacity::plan(&narrow, &need(30.0, 60.0), &domains(2, 2)).unwrap();
    assert!(
        plan.counts.values().all(|counts| counts.total() <= 5),
        "{plan:?}"
    );
    let plan = capacity::plan(&narrow, &need(0.1, 0.1), &domains(2, 2)).unwrap();
    assert!(
        plan.counts.values().all(|counts| counts.total() >= 3),
        "{plan:?}"
    );
    let inverted = Scale {
        min: 6,
        max: 5,
        ..scale()
    };
    assert_eq!(
        capacity::plan(&inverted, &need(1.0, 1.0), &domains(2, 2)),
        None
    );
}

/// Prices that are missing, zero or no numbers count as 1, and a kind that isn't cheaper isn't used.
#[rstest]
#[case::missing(BTreeMap::new())]
#[case::zero(BTreeMap::from([("a".into(), 0.0), ("b".into(), 0.0)]))]
#[case::no_number(BTreeMap::from([("a".into(), f64::NAN), ("b".into(), -1.0)]))]
fn odd_prices_count_as_one(#[case] domain_prices: BTreeMap<DomainId, f64>) {
    let one = BTreeMap::from([("a".into(), 1.0), ("b".into(), 1.0), ("c".into(), 1.0)]);
    let plan = |domain_prices| {
        let scale = Scale {
            domain_prices,
            ..scale()
        };
        capacity::plan(&scale, &need(6.0, 11.0), &domains(15, 0)).unwrap()
    };
    assert_eq!(plan(domain_prices), plan(one));
}

#[rstest]
#[case(None)]
#[case(Some(1.0))]
#[case(Some(f64::NAN))]
fn a_kind_that_is_not_cheaper_is_not_ordered(#[case] spot_price: Option<f64>) {
    let scale = Scale {
        spot_price,
        ..scale()
    };
    let plan = capacity::plan(&scale, &need(6.0, 11.0), &domains(15, 0)).unwrap();
    assert_eq!(total(&plan).withdrawable, 0);
    assert!(total(&plan).stable >= 11);
}

/// With fewer caches shared blocks are prefilled again, which takes more upstreams.
#[test]
fn blocks_that_are_prefilled_again_count_as_work() {
    let warm = need(6.0, 11.0);
    let hot = Need {
        saved_share: 1.0,
        ..warm
    };
    let plan = |need: &Need| capacity::plan(&scale(), need, &domains(15, 0)).unwrap();
    assert!(plan(&hot).needed > plan(&warm).needed);
}

/// A peak of 1.9 times that comes for 2.8 of every 14 s is remembered until the next one.
#[test]
fn a_peak_that_returns_is_remembered() {
    let start = Instant::now();
    let mut history = History::default();
    let mut least = f64::MAX;
    for step in 0..200 {
        let at = f64::from(step) * 0.5;
        let demand = if at % 14.0 < 2.8 { 19.0 } else { 8.0 };
        history.record(demand, start + Duration::from_secs_f64(at));
        if at > 30.0 {
            least = least.min(history.expected());
        }
    }
    assert!(least > 12.0, "{least}");
}

/// All missing ones are ordered at once; what is too much goes in one failure domain at a time, at most
/// half of it, and only once others serve what is needed.
#[test]
fn numbers_rise_at_once_and_fall_in_steps() {
    let mut domains = domains(15, 0);
    let plan = capacity::plan(&scale(), &need(8.0, 14.0), &domains).unwrap();
    let next = capacity::next(&plan, &domains, false);
    for (id, counts) in &next {
        assert_eq!(counts.stable, 15);
        assert_eq!(counts.withdrawable, plan.counts[id].withdrawable.min(15));
    }
    let mut changes = 0;
    for _ in 0..60 {
        let next = capacity::next(&plan, &domains, true);
        let reduced = next
            .iter()
            .filter(|(id, counts)| counts.total() < domains[*id].ordered.total());
        assert!(reduced.count() <= 1);
        for (id, counts) in next {
            let domain = domains.get_mut(&id).unwrap();
            assert!(counts.stable * 2 + 1 >= domain.ordered.stable);
            changes += usize::from(counts != domain.ordered);
            domain.ordered = counts;
            domain.serving = counts;
        }
        let all: usize = domains.values().map(|domain| domain.serving.total()).sum();
        let lost = domains
            .values()
            .map(|domain| domain.serving.withdrawable)
            .max()
            .unwrap();
        assert!(all - lost >= plan.needed);
    }
    let stable: usize = domains.values().map(|domain| domain.ordered.stable).sum();
    assert_eq!(stable, total(&plan).stable);
    assert!(changes < 20, "{changes}");
}

/// Hosts of a failure domain that is cut off aren't heard: its upstreams stay.
#[test]
fn a_failure_domain_that_is_not_heard_is_not_reduced() {
    let mut domains = domains(15, 15);
    for domain in domains.values_mut() {
        domain.is_heard = false;
    }
    let plan = capacity::plan(&scale(), &need(8.0, 14.0), &domains).unwrap();
    let next = capacity::next(&plan, &domains, true);
    assert!(next.values().all(|counts| counts.total() == 30));
}

/// An entry says whether its upstream may be withdrawn and when it leaves; others are as before.
#[test]
fn an_entry_says_whether_its_upstream_may_be_withdrawn() {
    let decode = |more: &str| {
        let text = format!(
            r#"{{"service": "lm", "address": "127.0.0.1:9", "zone": "a", "slots": 6,
            "state": "draining"{more}}}"#
        );
        registry::decode("i-1".into(), text.as_bytes()).unwrap().0
    };
    let entry = decode(r#", "spot": true, "leaves_ms": 1900"#);
    assert!(entry.may_be_withdrawn);
    assert_eq!(entry.leaves_in, Some(Duration::from_millis(1900)));
    let entry = decode("");
    assert!(!entry.may_be_withdrawn);
    assert_eq!(entry.leaves_in, None);
}
