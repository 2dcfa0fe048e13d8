//! Placing requests to models under the mixes that the users describe.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use pistachiohall::gateway::call::Block;
use pistachiohall::gateway::call::Prompt;
use pistachiohall::placement;
use pistachiohall::placement::Board;
use pistachiohall::placement::Engine;
use pistachiohall::placement::Plan;
use pistachiohall::placement::Request;
use pistachiohall::placement::board::Load;
use pistachiohall::placement::cost;
use pistachiohall::upstream::Role;
use rstest::rstest;

fn engine(id: &str, role: Role) -> Engine {
    Engine {
        id: id.into(),
        role,
        domain: "derby".into(),
        is_healthy: true,
        slots: 64,
        running: 0,
        backlog: Duration::ZERO,
        late_backlog: Duration::ZERO,
        cached_tokens: 0,
        slowdown: 1.0,
    }
}

fn fleet() -> Vec<Engine> {
    let readers = (1..=6).map(|number| engine(&format!("p{number}"), Role::Prefill));
    let generators = (1..=3).map(|number| engine(&format!("d{number}"), Role::Decode));
    readers.chain(generators).collect()
}

fn long(subject: u64) -> Prompt {
    Prompt {
        tokens: 9190,
        max_generated: 2,
        blocks: vec![
            Block {
                id: 1,
                tokens: 2520,
            },
            Block {
                id: subject,
                tokens: 3780,
            },
            Block {
                id: 1000 + subject,
                tokens: 2890,
            },
        ],
    }
}

fn short() -> Prompt {
    Prompt {
        tokens: 220,
        max_generated: 89,
        blocks: vec![Block { id: 7, tokens: 47 }, Block { id: 8, tokens: 173 }],
    }
}

fn job(prompt: &Prompt) -> Request<'_> {
    Request {
        prompt,
        target_left: Duration::from_millis(150),
        left: Duration::from_secs(2),
    }
}

fn prefill_engine(plan: &Plan) -> Option<&str> {
    match plan {
        Plan::Split { prefill_engine, .. } => Some(prefill_engine),
        _ => None,
    }
}

/// Long reading beside short writing: engines that generate are kept free of long prompts.
#[test]
fn long_prompts_are_read_apart_from_generation() {
    let engines = fleet();
    let prompt = long(5);
    let plan = placement::plan(&job(&prompt), &engines);
    assert!(
        prefill_engine(&plan).is_some_and(|prefill_engine| prefill_engine.starts_with('p')),
        "{plan:?}"
    );
    let prompt = short();
    let plan = placement::plan(&job(&prompt), &engines);
    assert!(matches!(plan, Plan::Single { engine, .. } if engine.starts_with('d')));
}

/// Sessions come back to the same engine on every host, and spread over all of them.
#[test]
fn subjects_stay_where_they_were_and_spread() {
    let engines = fleet();
    let mut used: HashMap<String, usize> = HashMap::new();
    for subject in 0..600 {
        let prompt = long(subject);
        let plan = placement::plan(&job(&prompt), &engines);
        let again = placement::plan(&job(&prompt), &engines);
        assert_eq!(plan, again);
        *used
            .entry(prefill_engine(&plan).unwrap().to_owned())
            .or_default() += 1;
    }
    assert_eq!(used.len(), 6);
    assert!(
        used.values().all(|count| (60..=140).contains(count)),
        "{used:?}"
    );
}

/// A popular subject: its engine backs up, and the next in order takes over before it is late.
#[test]
fn a_hot_subject_overflows_to_the_next_engine() {
    let mut engines = fleet();
    let prompt = long(5);
    let home = prefill_engine(&placement::plan(&job(&prompt), &engines))
        .unwrap()
        .to_owned();
    let index = engines.iter().position(|engine| engine.id == home).unwrap();
    engines[index].cached_tokens = 6300;
    engines[index].backlog = Duration::from_millis(20);
    let plan = placement::plan(&job(&prompt), &engines);
    assert_eq!(
        prefill_engine(&plan),
        Some(home.as_str()),
        "what is kept outweighs a short wait"
    );
    engines[index].backlog = Duration::from_millis(140);
    let plan = placement::plan(&job(&prompt), &engines);
    assert_ne!(prefill_engine(&plan), Some(home.as_str()));
}

/// Twice the demand: what cannot be on time goes behind, and what cannot even be late is refused
/// at once with the time until there is room.
#[test]
fn overload_is_late_first_and_refused_then() {
    let prompt = long(5);
    let with_backlog = |on_time, late| {
        let mut engines = fleet();
        for engine in &mut engines {
            engine.backlog = Duration::from_millis(on_time);
            engine.late_backlog = Duration::from_millis(late);
        }
        placement::plan(&job(&prompt), &engines)
    };
    let urgency = |plan: &Plan| match plan {
        Plan::Split { urgency, .. } => Some(*urgency),
        _ => None,
    };
    let on_time = urgency(&with_backlog(20, 500)).unwrap();
    let late = urgency(&with_backlog(150, 0)).unwrap();
    assert!(on_time < late);
    match with_backlog(400, 600) {
        Plan::Refuse { retry_after, .. } => {
            assert!(retry_after >= Duration::from_millis(200), "{retry_after:?}");
        }
        plan => panic!("{plan:?}"),
    }
}

/// A full fleet refuses; one free slot is not refused.
#[test]
fn no_refusal_while_there_is_room() {
    let prompt = short();
    let mut engines = fleet();
    engines
        .iter_mut()
        .for_each(|engine| engine.running = engine.slots);
    let plan = placement::plan(&job(&prompt), &engines);
    assert!(matches!(plan, Plan::Refuse { .. }));
    engines.last_mut().unwrap().running = 0;
    let plan = placement::plan(&job(&prompt), &engines);
    assert!(matches!(plan, Plan::Single { engine, .. } if engine == "d3"));
}

/// All engines that read are lost: those that generate read as well.
#[test]
fn without_readers_generators_read() {
    let engines: Vec<Engine> = fleet().split_off(6);
    let prompt = long(5);
    let plan = placement::plan(&job(&prompt), &engines);
    assert!(matches!(plan, Plan::Single { .. }), "{plan:?}");
}

/// An engine that failed just now is avoided while another can do the work.
#[test]
fn engines_that_failed_are_avoided() {
    let mut engines = fleet();
    let prompt = long(5);
    let home = prefill_engine(&placement::plan(&job(&prompt), &engines))
        .unwrap()
        .to_owned();
    let index = engines.iter().position(|engine| engine.id == home).unwrap();
    engines[index].is_healthy = false;
    let plan = placement::plan(&job(&prompt), &engines);
    assert_ne!(prefill_engine(&plan), Some(home.as_str()));
}

/// Prompts move within a failure domain where an engine there can generate.
#[test]
fn generation_stays_in_the_readers_domain() {
    let mut engines = fleet();
    for (engine, domain) in engines.iter_mut().zip(["a", "b", "c"].into_iter().cycle()) {
        engine.domain = domain.into();
    }
    for subject in 0..50 {
        let prompt = long(subject);
        let plan = placement::plan(&job(&prompt), &engines);
        let Plan::Split {
            prefill_engine,
            decode_engine,
            fallback,
            ..
        } = plan
        else {
            panic!("{plan:?}")
        };
        let domain = |id: &str| {
            engines
                .iter()
                .find(|engine| engine.id == id)
                .unwrap()
                .domain
                .clone()
        };
        assert_eq!(domain(&prefill_engine), domain(&decode_engine));
        assert!(fallback.is_some_and(|fallback| fallback != decode_engine));
    }
}

/// Loads of peers are states: the newest counts, and silence makes them void.
#[test]
fn peers_loads_count_until_they_fall_silent() {
    let mut board = Board::default();
    let engine = "e1".into();
    board.add(&engine, &"lm".into(), 1000);
    let now = Instant::now();
    let load = |running| Load {
        running,
        ..Load::default()
    };
    let digest = pistachiohall::gossip::digest("e1");
    board.record_peer(&"h2".into(), &HashMap::from([(digest, load(3))]), now);
    board.record_peer(&"h3".into(), &HashMap::from([(digest, load(2))]), now);
    board.change(&engine, |own| own.running += 1);
    assert_eq!(board.load(&engine, now).running, 6);
    board.record_peer(&"h2".into(), &HashMap::new(), now);
    assert_eq!(board.load(&engine, now).running, 3);
    assert_eq!(board.load(&engine, now + Duration::from_secs(2)).running, 1);
}

/// The cost model agrees with the users' description: 341 tokens a millisecond, half when mixed.
#[test]
fn reading_times_follow_the_engines_description() {
    let prompt = Prompt {
        tokens: 3410,
        ..Prompt::default()
    };
    let alone = cost::prefill_time(&prompt, 0, Role::Prefill).as_secs_f64() * 1000.0;
    let mixed = cost::prefill_time(&prompt, 0, Role::Decode).as_secs_f64() * 1000.0;
    assert!((10.0..12.5).contains(&alone), "{alone}");
    assert!((20.0..23.0).contains(&mixed), "{mixed}");
}

/// Pattern: a peak of long prompts of a few hundred milliseconds, with callers that wait two
/// seconds. A reading that starts late has to outwait the peak.
#[test]
fn late_readings_outwait_a_peak() {
    let left = Duration::from_secs(2);
    let late = placement::attempt_timeout(placement::URGENCY_LATE, left);
    assert!(late >= Duration::from_millis(1400), "{late:?}");
    assert!(
        late <= Duration::from_millis(1600),
        "an answer has to follow"
    );
    let on_time = placement::attempt_timeout(3, left);
    assert!(
        on_time * 2 <= left,
        "a second try has to fit in: {on_time:?}"
    );
}

/// Places the longest prompts at engines that read slowly, each behind `backlog`, with `left` of the
/// caller's time.
fn plan_longest(backlog: Duration, left: Duration) -> Plan {
    let slowdown = 7.0;
    let mut prompt = long(5);
    prompt.tokens = 60_000;
    let mut engines = fleet();
    for engine in &mut engines {
        engine.slowdown = slowdown;
        engine.backlog = backlog;
    }
    let reading = cost::prefill_time(&prompt, 0, Role::Prefill).mul_f64(slowdown);
    let longest = Duration::from_secs(5);
    assert!(reading > longest.mul_f64(0.35) && reading < longest.mul_f64(0.6));
    let job = Request {
        prompt: &prompt,
        target_left: Duration::from_millis(800),
        left,
    };
    placement::plan(&job, &engines)
}

/// Pattern: the longest prompts while queues are short. Their own reading takes most of what the
/// target allows and more than a third of the caller's time, which no later try changes: they are
/// read, and not refused.
#[rstest]
#[case::idle(0)]
#[case::short_queue(300)]
fn the_longest_prompts_are_read_while_queues_are_short(#[case] backlog_ms: u64) {
    let plan = plan_longest(Duration::from_millis(backlog_ms), Duration::from_secs(5));
    assert!(matches!(plan, Plan::Split { urgency, .. } if urgency == placement::URGENCY_LATE));
}

/// The same prompts behind a long queue, or too long for what is left: refused at once, since the
/// reading would end in vain.
#[rstest]
#[case::long_queue(1800, 5000)]
#[case::too_little_time(0, 2000)]
fn the_longest_prompts_are_refused_when_they_cannot_be_read_in_time(
    #[case] backlog_ms: u64,
    #[case] left_ms: u64,
) {
    let plan = plan_longest(
        Duration::from_millis(backlog_ms),
        Duration::from_millis(left_ms),
    );
    assert!(matches!(plan, Plan::Refuse { .. }), "{plan:?}");
}

/// Pattern: all hosts start at once before engines that kept what they had read. None knows what is
/// kept where and each sees other small queues; subjects still go where every host sends them, since
/// a shared part that is read at a second engine takes time from all.
#[test]
fn hosts_that_know_nothing_send_subjects_home() {
    for subject in 0..40 {
        let prompt = long(subject);
        let home = prefill_engine(&placement::plan(&job(&prompt), &fleet()))
            .unwrap()
            .to_owned();
        for host in 0..6_u64 {
            let mut engines = fleet();
            for (index, engine) in engines.iter_mut().enumerate() {
                let queue = (host * 7 + subject * 3 + index as u64 * 5) % 8;
                engine.backlog = Duration::from_millis(queue);
            }
            let plan = placement::plan(&job(&prompt), &engines);
            assert_eq!(
                prefill_engine(&plan),
                Some(home.as_str()),
                "{subject} by host {host}"
            );
        }
    }
}

/// An engine that is known to keep a subject's parts costs nothing more for being a later choice.
#[test]
fn a_subject_goes_where_it_is_known_to_be_kept() {
    let prompt = long(5);
    let home = prefill_engine(&placement::plan(&job(&prompt), &fleet()))
        .unwrap()
        .to_owned();
    let mut kept = 0;
    for index in 0..6 {
        let mut engines = fleet();
        if engines[index].id == home {
            continue;
        }
        engines[index].cached_tokens = 6300;
        let plan = placement::plan(&job(&prompt), &engines);
        kept += usize::from(prefill_engine(&plan) == Some(engines[index].id.as_str()));
    }
    assert_eq!(kept, 3, "the other three that are considered");
}
