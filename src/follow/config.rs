//! Follows the operator's configuration.

use std::time::Duration;

use super::reader::Reader;
use super::reader::Reading;
use super::reader::Told;
use super::share::Port;
use super::share::Turn;
use super::view::Views;
use crate::clock::Clock;
use crate::id::Offset;
use crate::log::keyed::Keyed;
use crate::log::keyed::Record;
use crate::platform::store;

/// Longest wait for a change of the configuration. A connection that went silent is noticed this
/// much later; changes have to be in force within two seconds.
const WAIT: Duration = Duration::from_millis(900);
/// Pause after a failed reading, or one that found no configuration at all.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// Reads the configuration for ever, in turns with peers.
pub fn follow<C, K>(board: &Views, clock: &C, store: &K, port: &Port)
where
    C: Clock,
    K: Keyed,
{
    let mut reader = Reader::new(store::CONFIG_TOPIC);
    let mut turn = Turn::new(WAIT, FAILURE_PAUSE, clock.now());
    loop {
        if let Some(segment) = port.wait(turn.due()) {
            let now = clock.now();
            match reader.take(segment) {
                Told::Next(records) => {
                    reader.note_success();
                    board.note_config(now);
                    adopt_newest(board, records, "peer-reading");
                    turn.note_told(now, port.rank());
                }
                Told::Missing => turn.set_due(now),
                Told::Behind => (),
            }
            continue;
        }
        let from = reader.next();
        match reader.read(store, WAIT) {
            Ok(Reading::Full(records) | Reading::Changes(records)) => {
                reader.note_success();
                board.note_config(clock.now());
                tell(port, from, &reader, &records);
                adopt_newest(board, records, "store");
                // A reading waits by itself; the next one may follow at once.
                match board.has_catalog() {
                    true => turn.set_due(clock.now()),
                    false => turn.note_failure(clock.now(), 0, 0),
                }
            }
            Err(error) => {
                reader.note_failure(&error);
                turn.note_failure(clock.now(), port.rank(), reader.failures());
            }
        }
    }
}

fn tell(port: &Port, from: Option<Offset>, reader: &Reader, records: &[Record]) {
    if let (Some(from), Some(next)) = (from, reader.next()) {
        port.tell(from, next, records.to_vec());
    }
}

fn adopt_newest(board: &Views, records: Vec<Record>, source: &str) {
    let contents = records
        .into_iter()
        .filter(|record| record.key == store::CONFIG_KEY)
        .filter_map(|record| record.value);
    for content in contents {
        board.adopt(content, source);
    }
}
