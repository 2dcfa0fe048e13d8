//! Choice of the engines that change their role.

use rstest::rstest;

use pistachiohall::fleet::Entry;
use pistachiohall::fleet::State;
use pistachiohall::reassign;
use pistachiohall::reassign::Change;
use pistachiohall::upstream::Role;

fn entries(domains: usize, each: usize, prefill_each: usize) -> Vec<Entry> {
    let numbers = (0..domains).flat_map(|domain| (0..each).map(move |number| (domain, number)));
    numbers
        .map(|(domain, number)| Entry {
            id: format!("e{domain}-{number}").into(),
            started_at: 1,
            service: "lm".into(),
            address: "127.0.0.1:9".parse().unwrap(),
            domain: format!("z{domain}").into(),
            role: match number < prefill_each {
                true => Role::Prefill,
                false => Role::Decode,
            },
            state: State::Ready,
            slots: 64,
            may_be_withdrawn: false,
            leaves_in: None,
        })
        .collect()
}

fn apply(entries: &mut [Entry], changes: &[Change]) {
    for change in changes {
        let entry = entries
            .iter_mut()
            .find(|entry| entry.id == change.engine)
            .unwrap();
        entry.role = change.role;
    }
}

/// From any initial roles, changes of at most a quarter at a time reach the target share and then
/// stop, with a decode engine left in each failure domain.
#[rstest]
#[case(3, 3, 1, 6)]
#[case(3, 4, 1, 9)]
#[case(3, 4, 0, 9)]
#[case(3, 3, 3, 6)]
#[case(3, 15, 4, 30)]
#[case(3, 1, 0, 0)]
fn changes_converge_to_the_target_share(
    #[case] domains: usize,
    #[case] each: usize,
    #[case] prefill_each: usize,
    #[case] expected: usize,
) {
    let mut entries = entries(domains, each, prefill_each);
    for _ in 0..20 {
        let changes = reassign::changes(&entries, 0.67, false, |_| false);
        assert!(changes.len() <= (domains * each / 4).max(1));
        apply(&mut entries, &changes);
    }
    assert!(reassign::changes(&entries, 0.67, false, |_| false).is_empty());
    let prefill_engines = entries
        .iter()
        .filter(|entry| entry.role == Role::Prefill)
        .count();
    assert_eq!(prefill_engines, expected);
    for domain in 0..domains {
        let name = format!("z{domain}");
        let decodes = |entry: &&Entry| entry.domain == name && entry.role == Role::Decode;
        assert!(entries.iter().any(|entry| decodes(&entry)));
    }
}

/// Without load all engines change at once, since no caller is affected.
#[test]
fn all_engines_of_an_idle_fleet_change_at_once() {
    let mut entries = entries(3, 4, 1);
    let changes = reassign::changes(&entries, 0.67, true, |_| false);
    apply(&mut entries, &changes);
    assert!(reassign::changes(&entries, 0.67, true, |_| false).is_empty());
}

#[test]
fn changing_engines_count_towards_the_limit_and_are_not_ordered_again() {
    let entries = entries(3, 4, 1);
    let first = reassign::changes(&entries, 0.67, false, |_| false);
    let is_first =
        |id: &pistachiohall::id::UpstreamId| first.iter().any(|change| change.engine == *id);
    assert!(reassign::changes(&entries, 0.67, false, is_first).is_empty());
}

/// Guards against losing capacity during a release under load: an engine that has just started is
/// unavailable for three seconds, one with streams to finish for ten or more.
#[test]
fn the_newest_engines_change_first() {
    let mut entries = entries(1, 4, 1);
    entries[2].started_at = 9;
    let changes = reassign::changes(&entries, 0.5, false, |_| false);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].engine, entries[2].id);
}

#[test]
fn a_draining_engine_gets_no_order() {
    let mut entries = entries(1, 4, 0);
    entries[0].state = State::Draining;
    let changes = reassign::changes(&entries, 0.67, true, |_| false);
    assert!(!changes.is_empty());
    assert!(changes.iter().all(|change| change.engine != entries[0].id));
}
