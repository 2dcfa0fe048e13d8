//! Placement of model requests under mixes of prompt lengths, load and failures.

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
        gap: None,
    }
}

fn fleet() -> Vec<Engine> {
    let prefill_engines = (1..=6).map(|number| engine(&format!("p{number}"), Role::Prefill));
    let decode_engines = (1..=3).map(|number| engine(&format!("d{number}"), Role::Decode));
    prefill_engines.chain(decode_engines).collect()
}

fn long_prompt(affinity_key: u64) -> Prompt {
    Prompt {
        tokens: 9190,
        max_generated: 2,
        blocks: vec![
            Block {
                id: 1,
                tokens: 2520,
            },
            Block {
                id: affinity_key,
                tokens: 3780,
            },
            Block {
                id: 1000 + affinity_key,
                tokens: 2890,
            },
        ],
        ..Prompt::default()
    }
}

fn short_prompt() -> Prompt {
    Prompt {
        tokens: 220,
        max_generated: 89,
        blocks: vec![Block { id: 7, tokens: 47 }, Block { id: 8, tokens: 173 }],
        ..Prompt::default()
    }
}

fn request(prompt: &Prompt) -> Request<'_> {
    Request {
        prompt,
        target_left: Duration::from_millis(150),
        left: Duration::from_secs(2),
        is_above_share: false,
        is_resumed: false,
        kv_crossing: cost::CROSS_DOMAIN_PENALTY,
        target_gap: None,
    }
}

fn prefill_engine(plan: &Plan) -> Option<&str> {
    match plan {
        Plan::Split { prefill_engine, .. } => Some(prefill_engine),
        _ => None,
    }
}

/// Guards against long prompts that slow down decoding: they are prefilled at engines of their own.
#[test]
fn long_prompts_are_not_prefilled_at_decode_engines() {
    let engines = fleet();
    let prompt = long_prompt(5);
    let plan = placement::plan(&request(&prompt), &engines);
    assert!(
        prefill_engine(&plan).is_some_and(|engine| engine.starts_with('p')),
        "{plan:?}"
    );
    let prompt = short_prompt();
    let plan = placement::plan(&request(&prompt), &engines);
    assert!(matches!(plan, Plan::Single { engine, .. } if engine.starts_with('d')));
}

/// Requests with the same affinity key go to the same engine; keys are distributed over all
/// engines.
#[test]
fn affinity_keys_keep_their_engine_and_are_distributed() {
    let engines = fleet();
    let mut used: HashMap<String, usize> = HashMap::new();
    for affinity_key in 0..600 {
        let prompt = long_prompt(affinity_key);
        let plan = placement::plan(&request(&prompt), &engines);
        let again = placement::plan(&request(&prompt), &engines);
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

/// Guards against requests of a popular affinity key that are late at its preferred engine, while
/// the next one has capacity.
#[test]
fn a_popular_affinity_key_overflows_to_the_next_engine() {
    let mut engines = fleet();
    let prompt = long_prompt(5);
    let preferred = prefill_engine(&placement::plan(&request(&prompt), &engines))
        .unwrap()
        .to_owned();
    let index = engines
        .iter()
        .position(|engine| engine.id == preferred)
        .unwrap();
    engines[index].cached_tokens = 6300;
    engines[index].backlog = Duration::from_millis(20);
    let plan = placement::plan(&request(&prompt), &engines);
    assert_eq!(
        prefill_engine(&plan),
        Some(preferred.as_str()),
        "cached blocks outweigh a short queue"
    );
    engines[index].backlog = Duration::from_millis(140);
    let plan = placement::plan(&request(&prompt), &engines);
    assert_ne!(prefill_engine(&plan), Some(preferred.as_str()));
}

/// Under overload, a request that cannot be on time is queued as late; one that would be answered
/// too late is refused at once, with the time until there is capacity.
#[test]
fn overload_queues_requests_as_late_before_it_refuses_them() {
    let prompt = long_prompt(5);
    let with_backlog = |on_time, late| {
        let mut engines = fleet();
        for engine in &mut engines {
            engine.backlog = Duration::from_millis(on_time);
            engine.late_backlog = Duration::from_millis(late);
        }
        placement::plan(&request(&prompt), &engines)
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

/// Guards against the loss of streams whose build has one engine left: the streams of two of six hosts that were
/// killed still count as running there when their callers take them up, up to two seconds later.
#[rstest]
#[case::new_request(false, 64, None)]
#[case::resumed(true, 64, Some("d1"))]
#[case::resumed_beside_a_free_engine(true, 50, Some("d2"))]
fn a_resumed_stream_takes_the_place_that_it_had(
    #[case] is_resumed: bool,
    #[case] running_at_other: usize,
    #[case] expected: Option<&str>,
) {
    let prompt = short_prompt();
    let at = |id: &str, running| Engine {
        running,
        ..engine(id, Role::Decode)
    };
    let engines = [at("d1", 60), at("d2", running_at_other)];
    let request = Request {
        is_resumed,
        ..request(&prompt)
    };
    let engine = match placement::plan(&request, &engines) {
        Plan::Single { engine, .. } => Some(engine),
        _ => None,
    };
    assert_eq!(engine.as_deref(), expected);
}

/// A request is refused when no engine has a free slot, and placed when a single one does.
#[test]
fn a_request_is_refused_only_if_no_engine_has_a_free_slot() {
    let prompt = short_prompt();
    let mut engines = fleet();
    engines
        .iter_mut()
        .for_each(|engine| engine.running = engine.slots);
    let plan = placement::plan(&request(&prompt), &engines);
    assert!(matches!(plan, Plan::Refuse { .. }));
    engines.last_mut().unwrap().running = 0;
    let plan = placement::plan(&request(&prompt), &engines);
    assert!(matches!(plan, Plan::Single { engine, .. } if engine == "d3"));
}

/// When all prefill engines are lost, decode engines prefill as well.
#[test]
fn without_prefill_engines_decode_engines_prefill() {
    let engines: Vec<Engine> = fleet().split_off(6);
    let prompt = long_prompt(5);
    let plan = placement::plan(&request(&prompt), &engines);
    assert!(matches!(plan, Plan::Single { .. }), "{plan:?}");
}

/// An engine that failed recently is avoided while another can do the work.
#[test]
fn engines_that_failed_recently_are_avoided() {
    let mut engines = fleet();
    let prompt = long_prompt(5);
    let preferred = prefill_engine(&placement::plan(&request(&prompt), &engines))
        .unwrap()
        .to_owned();
    let index = engines
        .iter()
        .position(|engine| engine.id == preferred)
        .unwrap();
    engines[index].is_healthy = false;
    let plan = placement::plan(&request(&prompt), &engines);
    assert_ne!(prefill_engine(&plan), Some(preferred.as_str()));
}

/// The KV cache stays within the failure domain of the prefill engine if an engine there can
/// decode.
#[test]
fn decode_stays_in_the_domain_of_the_prefill_engine() {
    let mut engines = fleet();
    for (engine, domain) in engines.iter_mut().zip(["a", "b", "c"].into_iter().cycle()) {
        engine.domain = domain.into();
    }
    for affinity_key in 0..50 {
        let prompt = long_prompt(affinity_key);
        let plan = placement::plan(&request(&prompt), &engines);
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

/// Loads of peers replace earlier ones, and expire if no more are received.
#[test]
fn loads_of_peers_count_until_they_expire() {
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
    board.update_own(&engine, |own| own.running += 1);
    assert_eq!(board.load(&engine, now).running, 6);
    board.record_peer(&"h2".into(), &HashMap::new(), now);
    assert_eq!(board.load(&engine, now).running, 3);
    assert_eq!(board.load(&engine, now + Duration::from_secs(2)).running, 1);
}

/// Prefill runs at 341 tokens per millisecond, and at half that speed at an engine that also
/// decodes.
#[test]
fn prefill_times_follow_the_engines_description() {
    let prompt = Prompt {
        tokens: 3410,
        ..Prompt::default()
    };
    let alone = cost::prefill_time(&prompt, 0, Role::Prefill).as_secs_f64() * 1000.0;
    let mixed = cost::prefill_time(&prompt, 0, Role::Decode).as_secs_f64() * 1000.0;
    assert!((10.0..12.5).contains(&alone), "{alone}");
    assert!((20.0..23.0).contains(&mixed), "{mixed}");
}

/// Guards against late requests that time out during a peak of long prompts: with callers that wait
/// two seconds, the timeout has to be longer than a peak of a few hundred milliseconds.
#[test]
fn the_timeout_of_late_requests_exceeds_a_peak() {
    let left = Duration::from_secs(2);
    let late = placement::attempt_timeout(placement::URGENCY_LATE, left);
    assert!(late >= Duration::from_millis(1400), "{late:?}");
    assert!(
        late <= Duration::from_millis(1600),
        "a response has to follow"
    );
    let on_time = placement::attempt_timeout(3, left);
    assert!(
        on_time * 2 <= left,
        "a second attempt has to fit in: {on_time:?}"
    );
}

/// One account floods the engines: its requests queue behind those of others once a part of the room
/// is taken, and idle engines take them as those of any other account.
#[test]
fn an_account_above_its_share_yields_only_while_room_is_short() {
    let prompt = long_prompt(5);
    let plan_at = |backlog_ms: u64, is_above_share: bool| {
        let mut engines = fleet();
        for engine in &mut engines {
            engine.backlog = Duration::from_millis(backlog_ms);
        }
        let request = Request {
            is_above_share,
            ..request(&prompt)
        };
        match placement::plan(&request, &engines) {
            Plan::Split { urgency, .. } => urgency,
            plan => panic!("expected a placement, got {plan:?}"),
        }
    };
    assert_eq!(plan_at(0, true), plan_at(0, false));
    assert!(plan_at(60, false) < placement::URGENCY_LATE);
    assert_eq!(plan_at(60, true), placement::URGENCY_LATE);
}

/// Places the longest prompt at slow engines with `backlog` each, with `left` of the caller's time.
fn plan_longest(backlog: Duration, left: Duration) -> Plan {
    let slowdown = 7.0;
    let mut prompt = long_prompt(5);
    prompt.tokens = 60_000;
    let mut engines = fleet();
    for engine in &mut engines {
        engine.slowdown = slowdown;
        engine.backlog = backlog;
    }
    let prefill_time = cost::prefill_time(&prompt, 0, Role::Prefill).mul_f64(slowdown);
    let max_left = Duration::from_secs(5);
    assert!(prefill_time > max_left.mul_f64(0.35) && prefill_time < max_left.mul_f64(0.6));
    let request = Request {
        prompt: &prompt,
        target_left: Duration::from_millis(800),
        left,
        is_above_share: false,
        is_resumed: false,
        kv_crossing: cost::CROSS_DOMAIN_PENALTY,
        target_gap: None,
    };
    placement::plan(&request, &engines)
}

/// Guards against refusing the longest prompts at idle engines: their own prefill takes most of the
/// target and more than a third of the caller's time, which no later attempt changes.
#[rstest]
#[case::idle(0)]
#[case::short_queue(300)]
fn the_longest_prompts_are_placed_while_queues_are_short(#[case] backlog_ms: u64) {
    let plan = plan_longest(Duration::from_millis(backlog_ms), Duration::from_secs(5));
    assert!(matches!(plan, Plan::Split { urgency, .. } if urgency == placement::URGENCY_LATE));
}

/// The longest prompts are refused at once behind a long queue or with too little time left, since
/// their prefill could not end before the caller gives up.
#[rstest]
#[case::long_queue(1800, 5000)]
#[case::too_little_time(0, 2000)]
fn the_longest_prompts_are_refused_if_their_prefill_cannot_end_in_time(
    #[case] backlog_ms: u64,
    #[case] left_ms: u64,
) {
    let plan = plan_longest(
        Duration::from_millis(backlog_ms),
        Duration::from_millis(left_ms),
    );
    assert!(matches!(plan, Plan::Refuse { .. }), "{plan:?}");
}

/// Guards against shared blocks that are prefilled at several engines, which takes time from all
/// callers. After a simultaneous start no host knows which engine has cached what, and each sees
/// different small queues; all must still choose the preferred engine.
#[test]
fn hosts_without_cache_knowledge_choose_the_preferred_engine() {
    for affinity_key in 0..40 {
        let prompt = long_prompt(affinity_key);
        let preferred = prefill_engine(&placement::plan(&request(&prompt), &fleet()))
            .unwrap()
            .to_owned();
        for host in 0..6_u64 {
            let mut engines = fleet();
            for (index, engine) in engines.iter_mut().enumerate() {
                let queue = (host * 7 + affinity_key * 3 + index as u64 * 5) % 8;
                engine.backlog = Duration::from_millis(queue);
            }
            let plan = placement::plan(&request(&prompt), &engines);
            assert_eq!(
                prefill_engine(&plan),
                Some(preferred.as_str()),
                "affinity key {affinity_key}, host {host}"
            );
        }
    }
}

/// An engine that is known to have cached the shared blocks has no penalty for not being the
/// preferred one.
#[test]
fn a_request_goes_where_its_blocks_are_known_to_be_cached() {
    let prompt = long_prompt(5);
    let preferred = prefill_engine(&placement::plan(&request(&prompt), &fleet()))
        .unwrap()
        .to_owned();
    let mut chosen = 0;
    for index in 0..6 {
        let mut engines = fleet();
        if engines[index].id == preferred {
            continue;
        }
        engines[index].cached_tokens = 6300;
        let plan = placement::plan(&request(&prompt), &engines);
        chosen += usize::from(prefill_engine(&plan) == Some(engines[index].id.as_str()));
    }
    assert_eq!(chosen, 3, "the three other candidates");
}

/// Guards against bytes between failure domains that cost more than the wait that they save, and
/// against engines left idle there: the price decides.
#[rstest]
#[case::dear(Duration::from_millis(40), "near")]
#[case::cheap(Duration::ZERO, "far")]
fn a_kv_cache_crosses_between_failure_domains_if_its_bytes_are_worth_it(
    #[case] kv_crossing: Duration,
    #[case] expected: &str,
) {
    let prompt = long_prompt(4);
    let engine = |id: &str, role, domain: &str, running| Engine {
        domain: domain.into(),
        running,
        ..engine(id, role)
    };
    let engines = [
        engine("reader", Role::Prefill, "one", 0),
        engine("near", Role::Decode, "one", 20),
        engine("far", Role::Decode, "two", 0),
    ];
    let request = Request {
        is_resumed: false,
        kv_crossing,
        ..request(&prompt)
    };
    let plan = placement::plan(&request, &engines);
    assert!(
        matches!(&plan, Plan::Split { decode_engine, .. } if decode_engine == expected),
        "{plan:?}"
    );
}

/// Pauses that a caller notices, in a reply of 72 tokens.
const TARGET_GAP: Duration = Duration::from_millis(200);

fn streaming_request(prompt: &Prompt) -> Request<'_> {
    Request {
        target_gap: Some(TARGET_GAP),
        ..request(prompt)
    }
}

fn decode_engine(id: &str, gap_ms: u64, running: usize) -> Engine {
    Engine {
        gap: Some(Duration::from_millis(gap_ms)),
        running,
        ..engine(id, Role::Decode)
    }
}

/// At a site whose engines decode at 0.55 and at 1.2, replies of many tokens stream from the fast
/// ones also while these are busier: a stalled step of a slow one breaks the pause.
#[test]
fn long_replies_stream_from_engines_whose_pauses_are_far_from_the_target() {
    let prompt = short_prompt();
    let engines = [decode_engine("slow", 100, 0), decode_engine("fast", 55, 25)];
    let plan = placement::plan(&streaming_request(&prompt), &engines);
    assert!(
        matches!(&plan, Plan::Single { engine, .. } if engine == "fast"),
        "{plan:?}"
    );
}

/// A burst of replies that fills the fast engines spills to the slow one instead of being refused.
#[test]
fn a_burst_of_replies_spills_to_slow_engines_before_it_is_refused() {
    let prompt = short_prompt();
    let engines = [decode_engine("slow", 100, 0), decode_engine("fast", 90, 60)];
    let plan = placement::plan(&streaming_request(&prompt), &engines);
    assert!(
        matches!(&plan, Plan::Single { engine, .. } if engine == "slow"),
        "{plan:?}"
    );
}

/// While all pauses are far from the target, replies go to the engine with the fewest requests.
#[test]
fn pauses_far_from_the_target_do_not_unbalance_the_engines() {
    let prompt = short_prompt();
    let engines = [decode_engine("slow", 60, 3), decode_engine("fast", 20, 9)];
    let plan = placement::plan(&streaming_request(&prompt), &engines);
    assert!(
        matches!(&plan, Plan::Single { engine, .. } if engine == "slow"),
        "{plan:?}"
    );
}
