//! How fast engines are, learned from readings that ended, at sites with other engines than the
//! cost model's.

use rstest::rstest;

use pistachiohall::id::UpstreamId;
use pistachiohall::placement::Board;

/// Readings after which a forecast has to be of use: those of a host in its first seconds.
const READINGS: usize = 8;

fn board() -> (Board, UpstreamId, UpstreamId) {
    let (one, other) = (UpstreamId::from("e1"), UpstreamId::from("e2"));
    let mut board = Board::default();
    board.add(&one, &"lm".into(), 1000);
    board.add(&other, &"lm".into(), 1000);
    (board, one, other)
}

/// Has readings at `engine` take `true_pace` times as long as the cost model says.
fn read(board: &mut Board, engine: &UpstreamId, true_pace: f64, readings: usize) {
    for _ in 0..readings {
        let ratio = true_pace / board.slowdown(engine);
        board.record_slowdown(engine, ratio);
    }
}

/// Cold start at a site whose engines are slower or faster than the model's: forecasts that are off
/// by the same factor for every engine have callers wait for readings that end too late.
#[rstest]
#[case::as_modelled(1.0)]
#[case::slower(7.1)]
#[case::much_slower(20.0)]
#[case::faster(0.3)]
fn a_few_readings_tell_the_pace_of_the_whole_service(#[case] true_pace: f64) {
    let (mut board, one, other) = board();
    read(&mut board, &one, true_pace, READINGS);
    for engine in [&one, &other] {
        let off = board.slowdown(engine) / true_pace;
        assert!((1.0 / 1.5..1.5).contains(&off), "off by {off}");
    }
}

/// A pace that is learned is the one that readings show, and not a mean of it and the forecast's
/// own error.
#[test]
fn the_pace_settles_at_what_readings_show() {
    let (mut board, one, _) = board();
    read(&mut board, &one, 7.0, 500);
    assert!((board.slowdown(&one) - 7.0).abs() < 0.1);
}

/// One engine of a sound service is slow: it is told apart, and the others keep their pace.
#[test]
fn one_slow_engine_does_not_slow_the_forecasts_of_the_others() {
    let (mut board, one, other) = board();
    for _ in 0..60 {
        read(&mut board, &one, 4.0, 1);
        read(&mut board, &other, 1.0, 9);
    }
    assert!(board.slowdown(&one) > 2.5, "{}", board.slowdown(&one));
    assert!(board.slowdown(&other) < 1.3, "{}", board.slowdown(&other));
}

/// A single reading that stood still, such as behind a slow link, moves no forecast far.
#[test]
fn one_outlier_moves_a_settled_pace_little() {
    let (mut board, one, other) = board();
    read(&mut board, &one, 1.0, 40);
    board.record_slowdown(&one, 500.0);
    assert!(board.slowdown(&one) < 1.5);
    assert!(board.slowdown(&other) < 1.5);
}
