//! Slowdown of engines, learned from completed prefills at sites whose engines differ from the cost
//! model.

use std::time::Duration;
use std::time::Instant;

use rstest::rstest;

use pistachiohall::gossip;
use pistachiohall::id::UpstreamId;
use pistachiohall::placement::Board;
use pistachiohall::placement::pace::Factor;
use pistachiohall::placement::pace::Told;

/// Prefills of a host in its first seconds, after which its forecasts have to be useful.
const PREFILLS: usize = 8;

fn board() -> (Board, UpstreamId, UpstreamId) {
    let (one, other) = (UpstreamId::from("e1"), UpstreamId::from("e2"));
    let mut board = Board::default();
    board.add(&one, &"lm".into(), 1000);
    board.add(&other, &"lm".into(), 1000);
    (board, one, other)
}

/// Records `prefills` at `engine` that take `true_slowdown` times as long as the cost model says.
fn record(board: &mut Board, engine: &UpstreamId, true_slowdown: f64, prefills: usize) {
    for _ in 0..prefills {
        let ratio = true_slowdown / board.slowdown(engine);
        board.record_slowdown(engine, ratio);
    }
}

/// Guards against callers that wait for prefills which end too late: on a cold start at a site
/// whose engines are slower or faster than the cost model, the forecasts for all engines are off by
/// the same factor.
#[rstest]
#[case::as_modelled(1.0)]
#[case::slower(7.1)]
#[case::much_slower(20.0)]
#[case::faster(0.3)]
fn a_few_prefills_set_the_slowdown_of_the_service(#[case] true_slowdown: f64) {
    let (mut board, one, other) = board();
    record(&mut board, &one, true_slowdown, PREFILLS);
    for engine in [&one, &other] {
        let error = board.slowdown(engine) / true_slowdown;
        assert!((1.0 / 1.5..1.5).contains(&error), "off by {error}");
    }
}

/// The slowdown converges to the measured one, not to a mean of it and the forecasts' error.
#[test]
fn the_slowdown_converges_to_the_measured_one() {
    let (mut board, one, _) = board();
    record(&mut board, &one, 7.0, 500);
    assert!((board.slowdown(&one) - 7.0).abs() < 0.1);
}

/// The slowdown of a single slow engine is learned; that of the others hardly changes.
#[test]
fn a_slow_engine_hardly_changes_the_forecasts_of_the_others() {
    let (mut board, one, other) = board();
    for _ in 0..60 {
        record(&mut board, &one, 4.0, 1);
        record(&mut board, &other, 1.0, 9);
    }
    assert!(board.slowdown(&one) > 2.5, "{}", board.slowdown(&one));
    assert!(board.slowdown(&other) < 1.3, "{}", board.slowdown(&other));
}

/// A single stalled prefill, such as behind a slow link, hardly changes a forecast.
#[test]
fn an_outlier_hardly_changes_a_learned_slowdown() {
    let (mut board, one, other) = board();
    record(&mut board, &one, 1.0, 40);
    board.record_slowdown(&one, 500.0);
    assert!(board.slowdown(&one) < 1.5);
    assert!(board.slowdown(&other) < 1.5);
}

/// At a site where one engine in four works at 0.55 and the others at 1.2, a few prefills at each
/// tell them apart, so that they get work accordingly.
#[test]
fn a_few_prefills_at_each_tell_slow_engines_from_fast_ones() {
    let (mut board, one, other) = board();
    for _ in 0..5 {
        record(&mut board, &one, 1.0 / 0.55, 1);
        record(&mut board, &other, 1.0 / 1.2, 3);
    }
    let ratio = board.slowdown(&one) / board.slowdown(&other);
    assert!((1.6..2.8).contains(&ratio), "{ratio}");
}

/// Pause of a stream at an idle engine with speed 1.
const PAUSE: Duration = Duration::from_millis(43);
/// Interval between the pauses of all streams of an engine that are recorded.
const PAUSE_INTERVAL: Duration = Duration::from_millis(60);

/// Records `pauses` pauses in streams of each engine: its factor to [`PAUSE`], and its occupancy.
fn record_pauses(board: &mut Board, pauses: u32, engines: &[(&UpstreamId, f64, f64)]) {
    let start = Instant::now();
    for number in 0..pauses {
        for (engine, factor, occupancy) in engines {
            let at = start + PAUSE_INTERVAL * number;
            board.record_gap(engine, PAUSE.mul_f64(*factor), *occupancy, at);
        }
    }
}

/// At a site where one engine in four works at 0.55 and the others at 1.2, two seconds of streams
/// tell the pace of each that decodes.
#[test]
fn two_seconds_of_streams_tell_the_pace_of_engines_that_decode() {
    let (mut board, one, other) = board();
    let paces = [(&one, 1.0 / 0.55, 0.0), (&other, 1.0 / 1.2, 0.0)];
    record_pauses(&mut board, 32, &paces);
    let gap = |engine| board.gap(engine, 0.0).unwrap().as_secs_f64();
    let error = gap(&one) / (PAUSE.as_secs_f64() / 0.55);
    assert!((0.75..1.33).contains(&error), "off by {error}");
    assert!(gap(&one) > 1.6 * gap(&other));
}

/// An engine without streams so far is taken for one like the others.
#[test]
fn an_engine_without_streams_is_taken_for_one_like_the_others() {
    let (mut board, one, other) = board();
    assert_eq!(board.gap(&one, 0.0), None);
    record_pauses(&mut board, 40, &[(&one, 1.0, 0.0)]);
    let error = board.gap(&other, 0.0).unwrap().as_secs_f64() / PAUSE.as_secs_f64();
    assert!((0.9..1.1).contains(&error), "off by {error}");
}

/// Steps that take 2.5 times as long for 600 ms, in all streams at once, are no slow engine.
#[test]
fn a_stall_of_all_streams_is_no_slow_engine() {
    let (mut board, one, other) = board();
    record_pauses(&mut board, 100, &[(&one, 1.0, 0.2), (&other, 1.0, 0.2)]);
    let start = Instant::now() + Duration::from_secs(60);
    for number in 0..60 {
        let at = start + Duration::from_millis(10) * number;
        board.record_gap(&one, PAUSE.mul_f64(2.5), 0.2, at);
    }
    let gap = board.gap(&one, 0.2).unwrap();
    assert!(
        gap < board.gap(&other, 0.2).unwrap().mul_f64(1.4),
        "{gap:?}"
    );
}

/// A fuller batch is no slower engine: the pauses at a full and at an idle engine of the same pace
/// give the same forecast for both.
#[test]
fn engines_with_a_fuller_batch_are_not_taken_for_slow_ones() {
    let (mut board, one, other) = board();
    record_pauses(&mut board, 40, &[(&one, 1.9, 0.9), (&other, 1.1, 0.1)]);
    let gap = |engine, occupancy| board.gap(engine, occupancy).unwrap();
    let ratio = gap(&one, 0.5).as_secs_f64() / gap(&other, 0.5).as_secs_f64();
    assert!((0.8..1.25).contains(&ratio), "{ratio}");
    assert!(gap(&one, 0.9) > gap(&one, 0.1));
}

/// Streams that hang, and events that arrive together after one, tell nothing of an engine.
#[test]
fn streams_that_hang_do_not_count_as_slow() {
    let (mut board, one, other) = board();
    record_pauses(&mut board, 40, &[(&one, 1.0, 0.2), (&other, 1.0, 0.2)]);
    let before = board.gap(&one, 0.2);
    let later = Instant::now() + Duration::from_secs(60);
    board.record_gap(&one, Duration::from_secs(8), 0.2, later);
    board.record_gap(&one, Duration::ZERO, 0.2, later);
    assert_eq!(board.gap(&one, 0.2), before);
}

/// An engine that has restarted is unknown, and taken for one like the others.
#[test]
fn a_restarted_engine_is_taken_for_one_like_the_others() {
    let (mut board, one, other) = board();
    record_pauses(&mut board, 40, &[(&one, 2.0, 0.0), (&other, 1.0, 0.0)]);
    board.add(&one, &"lm".into(), 1000);
    let gap = board.gap(&one, 0.0).unwrap();
    assert!(gap < PAUSE.mul_f64(1.2 * 2_f64.sqrt()), "{gap:?}");
}

/// Factor as another host tells it.
fn told(factor: f64, samples: f64) -> Told {
    let decode = Factor { factor, samples };
    let prefill = decode;
    Told { prefill, decode }
}

/// At a site with 73 hosts, of which each sees few streams of an engine, a host that has sent
/// nothing to a slow engine knows it once two others have told their few samples.
#[test]
fn a_host_without_streams_knows_slow_engines_from_the_others() {
    let start = Instant::now();
    let (mut listener, slow, fast) = board();
    record_pauses(&mut listener, 20, &[(&fast, 1.0 / 1.2, 0.2)]);
    for _ in 0..2 {
        let (mut teller, _, _) = board();
        let paces = [(&slow, 1.0 / 0.55, 0.2), (&fast, 1.0 / 1.2, 0.2)];
        record_pauses(&mut teller, 20, &paces);
        for factors in [1.0 / 0.55, 1.0 / 1.2].into_iter().zip([&slow, &fast]) {
            record(&mut teller, factors.1, factors.0, 12);
        }
        let due = teller.due_paces(8, start);
        assert_eq!(due.len(), 2);
        assert_eq!(listener.record_peer_paces(&due), 0);
    }
    let gap = |engine| listener.gap(engine, 0.2).unwrap().as_secs_f64();
    assert!(gap(&slow) > 1.6 * gap(&fast), "{}", gap(&slow) / gap(&fast));
    let prefill = |engine| listener.slowdown(engine);
    assert!(prefill(&slow) > 1.3 * prefill(&fast));
}

/// Figures of the present replace told ones: an engine that works as fast as the others again is
/// no slow one after a few tellings.
#[test]
fn an_engine_that_recovers_is_not_held_to_what_was_told_before() {
    let (mut listener, one, other) = board();
    record_pauses(&mut listener, 20, &[(&other, 1.0, 0.2)]);
    let digest = gossip::digest(&one);
    for _ in 0..20 {
        listener.record_peer_paces(&[(digest, told(2.0, 50.0))]);
    }
    let ratio = |board: &Board| {
        let gap = |engine| board.gap(engine, 0.2).unwrap().as_secs_f64();
        gap(&one) / gap(&other)
    };
    assert!(ratio(&listener) > 1.8);
    for _ in 0..6 {
        listener.record_peer_paces(&[(digest, told(1.0, 50.0))]);
    }
    assert!(ratio(&listener) < 1.15, "{}", ratio(&listener));
}

/// Figures that no host can have measured, of a version with a fault or a stranger, are counted and
/// change nothing, and the others in the datagram still count.
#[rstest]
#[case::not_a_number(f64::NAN, 10.0)]
#[case::zero(0.0, 10.0)]
#[case::negative(-1.0, 10.0)]
#[case::too_slow(50.1, 10.0)]
#[case::infinite(f64::INFINITY, 10.0)]
#[case::samples_not_a_number(1.0, f64::NAN)]
#[case::negative_samples(1.0, -3.0)]
fn impossible_paces_change_nothing(#[case] factor: f64, #[case] samples: f64) {
    let (mut board, one, other) = board();
    record_pauses(&mut board, 20, &[(&one, 1.0, 0.2), (&other, 1.0, 0.2)]);
    let before = (board.gap(&one, 0.2), board.slowdown(&one));
    let paces = [
        (gossip::digest(&one), told(factor, samples)),
        (gossip::digest(&other), told(3.0, 30.0)),
    ];
    assert_eq!(board.record_peer_paces(&paces), 1);
    assert_eq!((board.gap(&one, 0.2), board.slowdown(&one)), before);
    assert!(board.slowdown(&other) > 2.0);
}

/// A loss of many datagrams and a flood of wild figures leave a pace within the possible ones.
#[test]
fn extreme_paces_told_many_times_stay_within_bounds() {
    let (mut board, one, _) = board();
    for _ in 0..1000 {
        board.record_peer_paces(&[(gossip::digest(&one), told(50.0, f64::MAX))]);
    }
    let slowdown = board.slowdown(&one);
    assert!((1.0..=50.1).contains(&slowdown), "{slowdown}");
}

/// Forty engines are told a few in each datagram, each once in the rotation, and then only what
/// changed; those that are still measured after ten seconds again, for hosts that started later.
#[test]
fn paces_are_told_in_rotation_and_only_when_changed() {
    let start = Instant::now();
    let mut board = Board::default();
    let ids: Vec<UpstreamId> = (0..40).map(|n| format!("e{n}").into()).collect();
    for id in &ids {
        board.add(id, &"lm".into(), 1000);
    }
    assert!(board.due_paces(4, start).is_empty());
    let paces: Vec<(&UpstreamId, f64, f64)> = ids.iter().map(|id| (id, 1.0, 0.2)).collect();
    record_pauses(&mut board, 60, &paces);
    let mut seen = std::collections::HashSet::new();
    for _ in 0..10 {
        let due = board.due_paces(4, start);
        assert_eq!(due.len(), 4);
        seen.extend(due.into_iter().map(|(digest, _)| digest));
    }
    assert_eq!(seen.len(), 40);
    assert!(board.due_paces(4, start).is_empty());
    let soon = start + Duration::from_secs(20);
    for number in 0..60 {
        let at = soon + PAUSE_INTERVAL * number;
        board.record_gap(&ids[7], PAUSE.mul_f64(2.0), 0.2, at);
    }
    let changed = board.due_paces(4, start + Duration::from_secs(9));
    assert_eq!(changed.len(), 1);
    assert_eq!(changed[0].0, gossip::digest(&ids[7]));
    let later = start + Duration::from_secs(12);
    assert!(board.due_paces(4, later).is_empty());
    for id in &ids {
        board.record_gap(id, PAUSE, 0.2, soon + Duration::from_secs(60));
    }
    assert_eq!(board.due_paces(4, later).len(), 4);
}

/// A host that no longer sends to an engine doesn't repeat an old figure, so that one that recovers
/// is known by those which still measure it.
#[test]
fn a_pace_that_is_no_longer_measured_is_not_repeated() {
    let start = Instant::now();
    let (mut board, one, other) = board();
    record_pauses(&mut board, 20, &[(&one, 2.0, 0.2), (&other, 1.0, 0.2)]);
    assert_eq!(board.due_paces(4, start).len(), 2);
    assert!(
        board
            .due_paces(4, start + Duration::from_secs(600))
            .is_empty()
    );
}

/// What a host tells is what it has measured itself: figures that go round among hosts without new
/// samples don't grow into certainty.
#[test]
fn told_paces_are_not_told_on() {
    let (mut board, one, _) = board();
    board.record_peer_paces(&[(gossip::digest(&one), told(2.0, 50.0))]);
    assert!(board.due_paces(8, Instant::now()).is_empty());
}
