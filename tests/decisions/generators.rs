//! Engines that generate for each of several builds.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use proptest::prelude::*;
use rstest::rstest;

use pistachiohall::fleet::Entry;
use pistachiohall::fleet::State;
use pistachiohall::gossip;
use pistachiohall::id::UpstreamId;
use pistachiohall::reassign;
use pistachiohall::reassign::Change;
use pistachiohall::reassign::Constraints;
use pistachiohall::reassign::Criteria;
use pistachiohall::reassign::Paces;
use pistachiohall::upstream::Role;

use super::reassign::apply;
use super::reassign::choose;
use super::reassign::entries;

const READ_SHARE: f64 = 0.67;
/// Number of comparisons within which changes have to come to rest.
const MAX_STEPS: usize = 100;

/// Returns engines by name, failure domain, build and role; each started later than the one before.
fn fleet(engines: &[(&str, &str, &str, Role)]) -> Vec<Entry> {
    let numbered = engines.iter().zip(1..);
    numbered
        .map(|((name, domain, build, role), started_at)| Entry {
            id: (*name).into(),
            started_at,
            build: (*build).into(),
            domain: (*domain).into(),
            role: *role,
            ..entries(1, 1, 0).remove(0)
        })
        .collect()
}

/// Returns the number of engines of a build that are ready and generate.
fn generating(engines: &[Entry], build: &str) -> usize {
    let is_generating = |entry: &&Entry| {
        entry.build == build && entry.state == State::Ready && entry.role != Role::Prefill
    };
    engines.iter().filter(is_generating).count()
}

fn min_generating(engines: &[Entry], build: &str) -> usize {
    let is_ready = |entry: &&Entry| entry.build == build && entry.state == State::Ready;
    match engines.iter().filter(is_ready).count() {
        0 => 0,
        1 | 2 => 1,
        _ => 2,
    }
}

fn unreachable(engines: &[&str]) -> Constraints {
    Constraints {
        unreachable: engines.iter().map(|name| gossip::digest(name)).collect(),
        ..Constraints::default()
    }
}

fn criteria(constraints: &Constraints) -> Criteria<'_> {
    Criteria {
        read_share: READ_SHARE,
        has_resumable_streams: true,
        constraints,
    }
}

/// Six engines of two builds, two in each failure domain, as they are when the newest of each domain prefill.
fn one_generator_of_v1() -> Vec<Entry> {
    fleet(&[
        ("e1", "z0", "v1", Role::Decode),
        ("e2", "z1", "v2", Role::Decode),
        ("e3", "z2", "v2", Role::Decode),
        ("e4", "z1", "v1", Role::Prefill),
        ("e5", "z2", "v1", Role::Prefill),
        ("e6", "z0", "v2", Role::Prefill),
    ])
}

/// Guards against a build of which one engine generates: when that is lost, none of its streams can go on
/// although two engines of it serve.
#[rstest]
#[case::loaded(false)]
#[case::idle(true)]
fn a_build_of_three_engines_keeps_two_that_generate(#[case] is_idle: bool) {
    let mut engines = one_generator_of_v1();
    for entry in &mut engines {
        entry.role = Role::Decode;
    }
    for _ in 0..20 {
        let next = choose(&engines, READ_SHARE, &Paces::default(), is_idle, |_| false);
        apply(&mut engines, &next);
        for build in ["v1", "v2"] {
            assert!(generating(&engines, build) >= 2, "{build}: {engines:?}");
        }
    }
    let is_prefilling = |entry: &&Entry| entry.role == Role::Prefill;
    assert_eq!(engines.iter().filter(is_prefilling).count(), 2);
}

/// The spare that a build lacks comes in a failure domain without a generator of it, and is not urgent.
#[test]
fn a_missing_spare_is_ordered_in_another_domain() {
    let engines = fleet(&[
        ("e1", "z0", "v1", Role::Decode),
        ("e2", "z1", "v1", Role::Prefill),
        ("e3", "z0", "v1", Role::Prefill),
        ("e4", "z1", "v2", Role::Decode),
    ]);
    let next = choose(&engines, READ_SHARE, &Paces::default(), false, |_| false);
    let expected = Change {
        engine: "e2".into(),
        role: Role::Decode,
        is_urgent: false,
    };
    assert_eq!(next, [expected]);
}

/// Guards against waiting for the entry of a lost generator to expire: another engine of the build is
/// ordered to generate as soon as the last generator cannot be reached.
#[test]
fn an_engine_replaces_the_last_generator_that_is_out_of_reach() {
    let engines = one_generator_of_v1();
    let constraints = unreachable(&["e1", "e5"]);
    let next = reassign::changes(&engines, &criteria(&constraints), |_| false);
    let expected = Change {
        engine: "e4".into(),
        role: Role::Decode,
        is_urgent: true,
    };
    assert_eq!(next.first(), Some(&expected));
    let others = next.iter().filter(|change| change.is_urgent);
    assert_eq!(others.count(), 1);
}

/// An urgent change does not wait for others to end, and is ordered once.
#[test]
fn an_urgent_change_comes_on_top_of_those_that_are_under_way() {
    let engines = one_generator_of_v1();
    let constraints = unreachable(&["e1"]);
    let is_changing = |entry: &Entry| entry.id == "e2";
    let next = reassign::changes(&engines, &criteria(&constraints), is_changing);
    assert_eq!(next.len(), 1);
    assert!(next[0].is_urgent);
    let is_changing = |entry: &Entry| entry.id == next[0].engine;
    let after = reassign::changes(&engines, &criteria(&constraints), is_changing);
    assert!(after.iter().all(|change| !change.is_urgent), "{after:?}");
}

/// A build whose last generator leaves gets another one while the first still serves its streams.
#[test]
fn a_draining_generator_is_replaced_at_once() {
    let mut engines = one_generator_of_v1();
    engines[0].state = State::Draining;
    let next = choose(&engines, READ_SHARE, &Paces::default(), false, |_| false);
    assert!(next[0].is_urgent);
    assert_eq!(next[0].role, Role::Decode);
    assert!(["e4", "e5"].contains(&next[0].engine.as_str()));
}

/// Where no stream is resumed, or one build serves alone, the loss of a generator changes nothing.
#[rstest]
#[case::not_resumable(false, "v2")]
#[case::one_build(true, "v1")]
fn builds_are_told_apart_only_if_streams_may_not_change_between_them(
    #[case] has_resumable_streams: bool,
    #[case] other_build: &str,
) {
    let mut engines = one_generator_of_v1();
    for entry in engines.iter_mut().filter(|entry| entry.build == "v2") {
        entry.build = other_build.into();
    }
    let constraints = unreachable(&["e1"]);
    let criteria = Criteria {
        has_resumable_streams,
        ..criteria(&constraints)
    };
    assert!(reassign::changes(&engines, &criteria, |_| false).is_empty());
}

/// Changes of one build as they were chosen before builds were told apart.
fn changes_of_one_build<F>(
    engines: &[Entry],
    is_idle: bool,
    is_changing: F,
) -> Vec<(UpstreamId, Role)>
where
    F: Fn(&UpstreamId) -> bool,
{
    let mut domains: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
    let live = engines.iter().filter(|entry| entry.state == State::Ready);
    for entry in live {
        domains.entry(&entry.domain).or_default().push(entry);
    }
    let total: usize = domains.values().map(Vec::len).sum();
    let changing = engines
        .iter()
        .filter(|entry| is_changing(&entry.id))
        .count();
    let max_changing = match is_idle {
        true => total,
        false => ((total as f64 * 0.25) as usize).max(1),
    };
    let mut chosen = Vec::new();
    for entries in domains.into_values() {
        let target = (entries.len() as f64 * READ_SHARE).round() as usize;
        let target = target.min(entries.len() - 1);
        let (prefill, others): (Vec<&Entry>, Vec<&Entry>) = entries
            .iter()
            .partition(|entry| entry.role == Role::Prefill);
        let (mut from, role, count) = match prefill.len() <= target {
            true => (others, Role::Prefill, target - prefill.len()),
            false => (prefill.clone(), Role::Decode, prefill.len() - target),
        };
        from.sort_by_key(|entry| std::cmp::Reverse(entry.started_at));
        chosen.extend(
            from.iter()
                .take(count)
                .map(|entry| (entry.id.clone(), role)),
        );
    }
    chosen.retain(|(id, _)| !is_changing(id));
    chosen.truncate(max_changing.saturating_sub(changing));
    chosen
}

prop_compose! {
    fn engine()(
        domain in 0..3_u8,
        build in 0..3_u8,
        is_prefilling in any::<bool>(),
        is_draining in prop::bool::weighted(0.1),
        started_at in 1..5_u64,
    ) -> Entry {
        Entry {
            started_at,
            build: format!("v{build}").into(),
            domain: format!("z{domain}").into(),
            role: match is_prefilling {
                true => Role::Prefill,
                false => Role::Decode,
            },
            state: match is_draining {
                true => State::Draining,
                false => State::Ready,
            },
            ..entries(1, 1, 0).remove(0)
        }
    }
}

fn engines() -> impl Strategy<Value = Vec<Entry>> {
    prop::collection::vec(engine(), 0..24).prop_map(|mut engines| {
        for (number, entry) in engines.iter_mut().enumerate() {
            entry.id = format!("e{number}").into();
        }
        engines
    })
}

/// Returns the engines that keep their roles.
fn kept(engines: &[Entry], under_way: &[(Change, usize)]) -> Vec<Entry> {
    let is_kept = |entry: &&Entry| {
        under_way
            .iter()
            .all(|(change, _)| change.engine != entry.id)
    };
    engines.iter().filter(is_kept).cloned().collect()
}

proptest! {
    /// With one build, the changes of any fleet are those that were chosen before builds were told apart.
    #[test]
    fn one_build_changes_as_before(
        mut engines in engines(),
        changing in prop::collection::vec(any::<bool>(), 24),
        is_idle in any::<bool>(),
    ) {
        for entry in &mut engines {
            entry.build = "v1".into();
        }
        let is_changing = |id: &UpstreamId| {
            let position = engines.iter().position(|entry| entry.id == *id);
            position.is_some_and(|position| changing[position])
        };
        let before = changes_of_one_build(&engines, is_idle, is_changing);
        let now = choose(&engines, READ_SHARE, &Paces::default(), is_idle, is_changing);
        let now: Vec<(UpstreamId, Role)> = now
            .into_iter()
            .map(|change| (change.engine, change.role))
            .collect();
        prop_assert_eq!(now, before);
    }

    /// From any fleet, with changes that take different times, changes never take a generator that a build
    /// needs, and come to rest with the generators that each build needs.
    #[test]
    fn several_builds_come_to_rest_with_their_generators(
        mut engines in engines(),
        durations in prop::collection::vec(1..5_usize, 24),
        is_idle in any::<bool>(),
    ) {
        let is_ready = |entry: &&Entry| entry.state == State::Ready;
        let builds: BTreeSet<String> = engines
            .iter()
            .filter(is_ready)
            .map(|entry| entry.build.to_string())
            .collect();
        if builds.len() < 2 {
            return Ok(());
        }
        let mut under_way: Vec<(Change, usize)> = Vec::new();
        let mut ordered = 0;
        for _ in 0..MAX_STEPS {
            let is_changing =
                |id: &UpstreamId| under_way.iter().any(|(change, _)| change.engine == *id);
            let next = choose(&engines, READ_SHARE, &Paces::default(), is_idle, is_changing);
            let kept_before = kept(&engines, &under_way);
            for change in next {
                let position = engines.iter().position(|entry| entry.id == change.engine);
                let position = position.unwrap();
                prop_assert_eq!(engines[position].state, State::Ready);
                under_way.push((change, durations[position]));
                ordered += 1;
            }
            let kept_after = kept(&engines, &under_way);
            for build in &builds {
                let before = generating(&kept_before, build);
                let min = min_generating(&engines, build).min(before);
                prop_assert!(generating(&kept_after, build) >= min);
            }
            for (change, steps) in &mut under_way {
                *steps -= 1;
                if *steps == 0 {
                    apply(&mut engines, std::slice::from_ref(change));
                }
            }
            under_way.retain(|(_, steps)| *steps > 0);
        }
        let next = choose(&engines, READ_SHARE, &Paces::default(), is_idle, |_| false);
        prop_assert!(next.is_empty() && under_way.is_empty(), "{:?}", next);
        for build in &builds {
            prop_assert!(generating(&engines, build) >= min_generating(&engines, build));
        }
        prop_assert!(ordered <= 3 * engines.len());
    }
}
