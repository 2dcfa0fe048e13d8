//! Slowdown of engines, learned from completed prefills at sites whose engines differ from the cost
//! model.

use rstest::rstest;

use pistachiohall::id::UpstreamId;
use pistachiohall::placement::Board;

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
