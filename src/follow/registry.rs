//! Follows the entries that upstreams write of themselves.

use std::time::Duration;
use std::time::Instant;

use log::info;
use log::warn;

use super::reader::Reader;
use super::reader::Reading;
use super::reader::Told;
use super::share::Port;
use super::share::Turn;
use super::view::Origin;
use super::view::Views;
use crate::clock::Clock;
use crate::fleet::Change;
use crate::fleet::Fleet;
use crate::id::UpstreamId;
use crate::log::keyed::Keyed;
use crate::log::keyed::Record;
use crate::platform::registry;
use crate::platform::store;

/// Pause between two readings by the host that has the turn; a leaving upstream gets no new work
/// after two seconds, into which a reading, a datagram, and their delays on a busy host must fit.
const PAUSE: Duration = Duration::from_millis(300);
/// Pause after a failed reading.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);
/// Lateness of this thread from which it is logged; a host without spare processor time.
const LATE: Duration = Duration::from_millis(250);

/// Reads the registry for ever, in turns with peers.
pub fn follow<C, K>(board: &Views, clock: &C, store: &K, port: &Port)
where
    C: Clock,
    K: Keyed,
{
    let mut reader = Reader::new(store::UPSTREAM_TOPIC);
    let mut fleet = Fleet::default();
    let mut turn = Turn::new(PAUSE, FAILURE_PAUSE, clock.now());
    let mut last_read = clock.now();
    let mut origin = Origin {
        source: "store",
        asked: None,
    };
    loop {
        let wake = fleet
            .next_end()
            .map_or(turn.due(), |end| end.min(turn.due()));
        let told = port.wait(wake);
        let begun = clock.now();
        log_lateness(begun.saturating_duration_since(turn.due()));
        let reading = match told {
            Some(segment) => match reader.take(segment) {
                Told::Next(records) => {
                    turn.note_told(clock.now(), port.rank());
                    origin = Origin {
                        source: "peer-reading",
                        asked: None,
                    };
                    Some(Reading::Changes(records))
                }
                Told::Missing => {
                    turn.set_due(clock.now());
                    None
                }
                Told::Behind => None,
            },
            None if begun < turn.due() => None,
            None => {
                let read = read(&mut reader, &mut turn, clock, store, port);
                if read.is_some() {
                    origin = Origin {
                        source: "store",
                        asked: Some(begun),
                    };
                }
                read
            }
        };
        let now = clock.now();
        let mut is_changed = reading.is_some();
        if let Some(reading) = reading {
            if reader.note_success() {
                fleet.note_return(now.saturating_duration_since(last_read), now);
            }
            last_read = now;
            board.note_upstreams(now);
            for id in take_in(&mut fleet, reading, now) {
                info!(
                    upstream:% = id,
                    source = origin.source,
                    outcome = "still-used",
                    reason = "may-be-renewed";
                    "upstream entry removed"
                );
            }
        }
        for id in fleet.sweep(now) {
            is_changed = true;
            info!(upstream:% = id, outcome = "gone", reason = "lapsed"; "upstream gone");
        }
        if is_changed {
            board.set_rows(fleet.rows(), origin);
        }
    }
}

/// Reads the store and tells peers; returns nothing if that fails.
fn read<C, K>(
    reader: &mut Reader,
    turn: &mut Turn,
    clock: &C,
    store: &K,
    port: &Port,
) -> Option<Reading>
where
    C: Clock,
    K: Keyed,
{
    let from = reader.next();
    let reading = reader.read(store, Duration::ZERO);
    let now = clock.now();
    match reading {
        Ok(reading) => {
            turn.note_read(now);
            if let (Some(from), Reading::Changes(records), Some(next)) =
                (from, &reading, reader.next())
            {
                port.tell(from, next, records.clone());
            }
            Some(reading)
        }
        Err(error) => {
            reader.note_failure(&error);
            turn.note_failure(now, port.rank(), reader.failures());
            None
        }
    }
}

/// Logs that the thread got its turn of the processor late.
fn log_lateness(late: Duration) {
    if late >= LATE {
        info!(
            topic = store::UPSTREAM_TOPIC,
            late_ms = late.as_millis() as u64,
            outcome = "late";
            "reading begun late"
        );
    }
}

/// Takes in a reading; returns the upstreams that stay in use although their entries were removed.
fn take_in(fleet: &mut Fleet, reading: Reading, now: Instant) -> Vec<UpstreamId> {
    match reading {
        Reading::Full(records) => {
            let rows = records
                .into_iter()
                .filter_map(change)
                .filter_map(|change| match change {
                    Change::Written(row, beat) => Some((row, beat)),
                    Change::Removed(_) => None,
                });
            fleet.replace(rows.collect(), now)
        }
        Reading::Changes(records) => {
            let changes = records.into_iter().filter_map(change).collect();
            fleet.apply(changes, now)
        }
    }
}

fn change(record: Record) -> Option<Change> {
    let Some(value) = record.value else {
        return Some(Change::Removed(record.key));
    };
    match registry::decode(record.key.clone(), &value) {
        Ok((row, beat)) => Some(Change::Written(row, beat)),
        Err(cause) => {
            warn!(
                upstream:% = record.key,
                entry = "unreadable",
                outcome = "ignored",
                cause:% = cause;
                "upstream entry unreadable"
            );
            None
        }
    }
}
