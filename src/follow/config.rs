//! Follows the operator's configuration.

use std::time::Duration;

use super::reader::Reader;
use super::reader::SegmentOutcome;
use super::reader::Update;
use super::share::Endpoint;
use super::share::Schedule;
use super::view::ViewPublisher;
use crate::clock::Clock;
use crate::log::keyed::Keyed;
use crate::log::keyed::Record;
use crate::platform::store;

/// Longest wait for a change of the configuration. A connection that went silent is noticed this
/// much later; changes have to be in force within two seconds.
const WAIT: Duration = Duration::from_millis(900);
/// Pause after a failed reading, or one that found no configuration at all.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);
/// Age of what peers tell at which this host reads by itself; leaves time for that reading within the
/// two seconds in which changes have to be in force.
const MOST_AGE: Duration = Duration::from_millis(1600);

/// Reads the configuration for ever, in turns with peers.
pub fn follow<C, K>(board: &ViewPublisher, clock: &C, store: &K, port: &Endpoint)
where
    C: Clock,
    K: Keyed,
{
    let mut reader = Reader::new(store::CONFIG_TOPIC);
    let mut turn = Schedule::new(WAIT, FAILURE_PAUSE, MOST_AGE, clock.now());
    loop {
        if let Some(incoming) = port.wait(turn.due()) {
            let now = clock.now();
            match reader.take(incoming.segment) {
                SegmentOutcome::Next(records) => {
                    // What a peer cannot prove to be new does not show that the store is back.
                    if let Some(asked) = incoming.asked {
                        reader.record_success();
                        board.note_config(asked);
                    }
                    adopt_newest(board, records, "peer-reading");
                    turn.note_told(incoming.asked, now, port.rank());
                }
                SegmentOutcome::Missing => turn.set_due(now),
                SegmentOutcome::Behind => (),
            }
            continue;
        }
        let from = reader.next();
        let (mut proof, asked) = (port.prove(), clock.now());
        match reader.read(store, WAIT) {
            Ok(reading) => {
                reader.record_success();
                let took = clock.now().saturating_duration_since(asked);
                proof.waited = waited(&reading, took);
                let (Update::Full(records) | Update::Changes(records)) = reading;
                board.note_config(asked + proof.waited);
                if let (Some(from), Some(next)) = (from, reader.next()) {
                    port.tell(from, next, records.clone(), proof);
                }
                adopt_newest(board, records, "store");
                // A reading waits by itself; the next one may follow at once.
                match board.has_catalog() {
                    true => turn.set_due(clock.now()),
                    false => turn.record_failure(clock.now(), 0, 0),
                }
            }
            Err(error) => {
                reader.record_failure(&error);
                turn.record_failure(clock.now(), port.rank(), reader.failures());
            }
        }
    }
}

/// Returns the time from the question for which an answer that `took` so long says that nothing
/// came: without a change the store answers at the end of the wait.
fn waited(reading: &Update, took: Duration) -> Duration {
    match reading {
        Update::Changes(records) if records.is_empty() && took >= WAIT => WAIT,
        _ => Duration::ZERO,
    }
}

fn adopt_newest(board: &ViewPublisher, records: Vec<Record>, source: &str) {
    let contents = records
        .into_iter()
        .filter(|record| record.key == store::CONFIG_KEY)
        .filter_map(|record| record.value);
    for content in contents {
        board.adopt(content, source);
    }
}
