//! Choice of the engines that change their role.

use rstest::rstest;

use pistachiohall::fleet::Entry;
use pistachiohall::fleet::State;
use pistachiohall::gossip;
use pistachiohall::id::UpstreamId;
use pistachiohall::placement::pace::Factor;
use pistachiohall::placement::pace::Told;
use pistachiohall::reassign;
use pistachiohall::reassign::Change;
use pistachiohall::reassign::Constraints;
use pistachiohall::reassign::Criteria;
use pistachiohall::reassign::Paces;
use pistachiohall::upstream::Role;

/// Returns the changes of a service whose streams may be resumed, if all of its engines can be reached.
pub fn choose<F>(
    engines: &[Entry],
    read_share: f64,
    paces: &Paces,
    is_idle: bool,
    is_changing: F,
) -> Vec<Change>
where
    F: Fn(&UpstreamId) -> bool,
{
    let constraints = Constraints {
        is_idle,
        paces: paces.clone(),
        ..Constraints::default()
    };
    let criteria = Criteria {
        read_share,
        has_resumable_streams: true,
        constraints: &constraints,
    };
    reassign::changes(engines, &criteria, |entry| is_changing(&entry.id))
}

pub fn entries(domains: usize, each: usize, prefill_each: usize) -> Vec<Entry> {
    let numbers = (0..domains).flat_map(|domain| (0..each).map(move |number| (domain, number)));
    numbers
        .map(|(domain, number)| Entry {
            id: format!("e{domain}-{number}").into(),
            started_at: 1,
            service: "lm".into(),
            build: "v1".into(),
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

pub fn apply(entries: &mut [Entry], changes: &[Change]) {
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
        let changes = choose(&entries, 0.67, &Paces::default(), false, |_| false);
        assert!(changes.len() <= (domains * each / 4).max(1));
        apply(&mut entries, &changes);
    }
    assert!(choose(&entries, 0.67, &Paces::default(), false, |_| false).is_empty());
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
    let changes = choose(&entries, 0.67, &Paces::default(), true, |_| false);
    apply(&mut entries, &changes);
    assert!(choose(&entries, 0.67, &Paces::default(), true, |_| false).is_empty());
}

#[test]
fn changing_engines_count_towards_the_limit_and_are_not_ordered_again() {
    let entries = entries(3, 4, 1);
    let first = choose(&entries, 0.67, &Paces::default(), false, |_| false);
    let is_first =
        |id: &pistachiohall::id::UpstreamId| first.iter().any(|change| change.engine == *id);
    assert!(choose(&entries, 0.67, &Paces::default(), false, is_first).is_empty());
}

/// Guards against losing capacity during a release under load: an engine that has just started is
/// unavailable for three seconds, one with streams to finish for ten or more.
#[test]
fn the_newest_engines_change_first() {
    let mut entries = entries(1, 4, 1);
    entries[2].started_at = 9;
    let changes = choose(&entries, 0.5, &Paces::default(), false, |_| false);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].engine, entries[2].id);
}

#[test]
fn a_draining_engine_gets_no_order() {
    let mut entries = entries(1, 4, 0);
    entries[0].state = State::Draining;
    let changes = choose(&entries, 0.67, &Paces::default(), true, |_| false);
    assert!(!changes.is_empty());
    assert!(changes.iter().all(|change| change.engine != entries[0].id));
}

/// Paces of engines by name, each known from many samples.
fn paces(factors: &[(&UpstreamId, f64)]) -> Paces {
    let told = |factor| {
        let factor = Factor {
            factor,
            samples: 40.0,
        };
        Told {
            prefill: factor,
            decode: factor,
        }
    };
    Paces::new(
        factors
            .iter()
            .map(|(id, factor)| (gossip::digest(id), told(*factor))),
    )
}

/// Where one engine in four works at 0.55 and the others at 1.2, a change that is due turns a slow
/// engine to prefill and a fast one to decode, though others are newer.
#[rstest]
#[case::to_prefill(1, Role::Prefill, 1)]
#[case::to_decode(6, Role::Decode, 0)]
fn slow_engines_turn_to_prefill_and_fast_ones_to_decode(
    #[case] prefill_each: usize,
    #[case] role: Role,
    #[case] slow: usize,
) {
    let mut entries = entries(1, 8, prefill_each);
    for (number, entry) in entries.iter_mut().enumerate() {
        entry.started_at = number as u64;
    }
    let factors: Vec<(&UpstreamId, f64)> = entries
        .iter()
        .enumerate()
        .map(|(number, entry)| {
            (
                &entry.id,
                [1.0 / 0.55, 1.0 / 1.2][usize::from(number % 4 != 2)],
            )
        })
        .collect();
    let paces = paces(&factors);
    let changes = choose(&entries, 0.5, &paces, false, |_| false);
    assert!(!changes.is_empty());
    assert!(changes.iter().all(|change| change.role == role));
    let is_slow = |change: &&Change| change.engine.ends_with("-2") || change.engine.ends_with("-6");
    let due = changes.len().min(2);
    assert_eq!(changes.iter().filter(is_slow).count(), slow * due);
}

/// Paces that turn out otherwise later make no changes of their own: a fleet with the wanted share
/// stays as it is, however slow its decode engines are.
#[test]
fn paces_alone_cause_no_changes() {
    let entries = entries(3, 15, 10);
    let factors: Vec<(&UpstreamId, f64)> = entries
        .iter()
        .map(|entry| match entry.role {
            Role::Prefill => (&entry.id, 1.0 / 1.2),
            Role::Decode | Role::Mixed => (&entry.id, 1.0 / 0.55),
        })
        .collect();
    let paces = paces(&factors);
    assert!(choose(&entries, 0.67, &paces, false, |_| false).is_empty());
    assert!(choose(&entries, 0.67, &paces, true, |_| false).is_empty());
}

/// Noise in the paces, and paces known from too few samples, leave the newest engines first.
#[rstest]
#[case::noise(1.2, 40.0)]
#[case::few_samples(3.0, 2.0)]
fn paces_that_say_little_leave_the_newest_first(#[case] factor: f64, #[case] samples: f64) {
    let mut entries = entries(1, 4, 1);
    entries[2].started_at = 9;
    let decode = Factor { factor, samples };
    let told = Told {
        decode,
        ..Told::default()
    };
    let paces = Paces::new([(gossip::digest(&entries[1].id), told)]);
    let changes = choose(&entries, 0.5, &paces, false, |_| false);
    assert_eq!(changes[0].engine, entries[2].id);
}

/// A third of the engines leaves at the peak: the changes that restore the share take the slow ones
/// that are left, at most a quarter at a time, and end.
#[test]
fn a_third_that_leaves_at_the_peak_is_made_up_for_by_slow_engines() {
    let mut entries = entries(3, 15, 10);
    entries.retain(|entry| !matches!(entry.id.as_str().split_once('-'), Some((_, number)) if number.parse::<usize>().unwrap() < 5));
    let slow: Vec<UpstreamId> = entries
        .iter()
        .filter(|entry| entry.role == Role::Decode && entry.id.ends_with('4'))
        .map(|entry| entry.id.clone())
        .collect();
    assert_eq!(slow.len(), 3);
    let factors: Vec<(&UpstreamId, f64)> = slow.iter().map(|id| (id, 1.0 / 0.55)).collect();
    let paces = paces(&factors);
    let mut ordered = 0;
    for _ in 0..20 {
        let changes = choose(&entries, 0.67, &paces, false, |_| false);
        assert!(changes.len() <= entries.len() / 4);
        ordered += changes.len();
        apply(&mut entries, &changes);
    }
    assert_eq!(ordered, 6);
    let role = |id: &UpstreamId| entries.iter().find(|entry| entry.id == *id).unwrap().role;
    assert!(slow.iter().all(|id| role(id) == Role::Prefill));
}
