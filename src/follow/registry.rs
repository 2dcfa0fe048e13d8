//! Follows the entries that upstreams write of themselves.

use std::time::Duration;
use std::time::Instant;

use log::info;
use log::warn;

use super::reader::Reader;
use super::reader::SegmentOutcome;
use super::reader::Update;
use super::share::Endpoint;
use super::share::Incoming;
use super::share::Schedule;
use super::view::Origin;
use super::view::ViewPublisher;
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
/// Age of what peers tell at which this host reads by itself; leaves time for a reading that fails
/// and another one within the two seconds in which new work at a leaving upstream has to end.
const MOST_AGE: Duration = Duration::from_secs(1);
/// Lateness of this thread from which it is logged; a host without spare processor time.
const LATE: Duration = Duration::from_millis(250);

/// Reads the registry for ever, in turns with peers.
pub fn follow<C, K>(board: &ViewPublisher, clock: &C, store: &K, port: &Endpoint)
where
    C: Clock,
    K: Keyed,
{
    let mut follower = Follower::new(board, clock.now());
    loop {
        let told = port.wait(follower.wake());
        let now = clock.now();
        log_lateness(now.saturating_duration_since(follower.turn.due()));
        match told {
            Some(incoming) => follower.take(incoming, port.rank(), now),
            None if follower.turn.due() <= now => follower.read(clock, store, port),
            None => (),
        }
        follower.sweep(clock.now());
    }
}

/// The registry as this host believes it, and when it is read next.
#[derive(Debug)]
struct Follower<'a> {
    board: &'a ViewPublisher,
    reader: Reader,
    fleet: Fleet,
    turn: Schedule,
    /// Where the newest reading came from.
    origin: Origin,
    /// When the store last surely answered this host or a peer.
    alive: Instant,
}

impl<'a> Follower<'a> {
    fn new(board: &'a ViewPublisher, now: Instant) -> Self {
        Follower {
            board,
            reader: Reader::new(store::UPSTREAM_TOPIC),
            fleet: Fleet::default(),
            turn: Schedule::new(PAUSE, FAILURE_PAUSE, MOST_AGE, now),
            origin: Origin {
                source: "store",
                asked: None,
            },
            alive: now,
        }
    }

    /// Returns when there is something to do without news.
    fn wake(&self) -> Instant {
        let due = self.turn.due();
        self.fleet.next_end().map_or(due, |end| end.min(due))
    }

    /// Takes in what a peer tells.
    fn take(&mut self, incoming: Incoming, rank: usize, now: Instant) {
        match self.reader.take(incoming.segment) {
            SegmentOutcome::Next(records) => {
                self.turn.note_told(incoming.asked, now, rank);
                self.origin = Origin {
                    source: "peer-reading",
                    asked: incoming.asked,
                };
                self.take_in(Update::Changes(records), now);
            }
            SegmentOutcome::Missing => self.turn.set_due(now),
            SegmentOutcome::Behind => (),
        }
    }

    /// Reads the store and tells peers.
    fn read<C, K>(&mut self, clock: &C, store: &K, port: &Endpoint)
    where
        C: Clock,
        K: Keyed,
    {
        let from = self.reader.next();
        let (proof, asked) = (port.prove(), clock.now());
        let reading = self.reader.read(store, Duration::ZERO);
        let now = clock.now();
        match reading {
            Ok(reading) => {
                self.turn.record_read(now);
                if let (Some(from), Update::Changes(records), Some(next)) =
                    (from, &reading, self.reader.next())
                {
                    port.tell(from, next, records.clone(), proof);
                }
                self.origin = Origin {
                    source: "store",
                    asked: Some(asked),
                };
                self.take_in(reading, now);
            }
            Err(error) => {
                self.reader.record_failure(&error);
                let failures = self.reader.failures();
                self.turn.record_failure(now, port.rank(), failures);
            }
        }
    }

    fn take_in(&mut self, reading: Update, now: Instant) {
        let mut away = None;
        // What a peer cannot prove to be new does not show that the store is back.
        if let Some(asked) = self.origin.asked {
            if self.reader.record_success() {
                away = Some(asked.saturating_duration_since(self.alive));
            }
            self.alive = self.alive.max(asked);
            self.board.note_upstreams(asked);
        }
        for id in apply(&mut self.fleet, reading, away, now) {
            info!(
                upstream:% = id,
                source = self.origin.source,
                outcome = "still-used",
                reason = "may-be-renewed";
                "upstream entry removed"
            );
        }
        self.board.set_entries(self.fleet.entries(), self.origin);
    }

    /// Ends the use of upstreams whose entries were removed and not renewed in time.
    fn sweep(&mut self, now: Instant) {
        let gone = self.fleet.sweep(now);
        for id in &gone {
            info!(upstream:% = id, outcome = "gone", reason = "lapsed"; "upstream gone");
        }
        if !gone.is_empty() {
            self.board.set_entries(self.fleet.entries(), self.origin);
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

/// Takes in a reading, the first one after the time `away` if that is given; returns the upstreams
/// that stay in use although their entries were removed.
fn apply(
    fleet: &mut Fleet,
    reading: Update,
    away: Option<Duration>,
    now: Instant,
) -> Vec<UpstreamId> {
    match reading {
        Update::Full(records) => {
            let entries =
                records
                    .into_iter()
                    .filter_map(change)
                    .filter_map(|change| match change {
                        Change::Written(entry, beat) => Some((entry, beat)),
                        Change::Removed(_) => None,
                    });
            if let Some(away) = away {
                fleet.note_return(away, &[], now);
            }
            fleet.replace(entries.collect(), now)
        }
        Update::Changes(records) => {
            let changes: Vec<Change> = records.into_iter().filter_map(change).collect();
            if let Some(away) = away {
                fleet.note_return(away, &changes, now);
            }
            fleet.apply(changes, now)
        }
    }
}

fn change(record: Record) -> Option<Change> {
    let Some(value) = record.value else {
        return Some(Change::Removed(record.key));
    };
    match registry::decode(record.key.clone(), &value) {
        Ok((entry, beat)) => Some(Change::Written(entry, beat)),
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
