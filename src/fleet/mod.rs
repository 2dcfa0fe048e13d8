//! What a host believes of the upstreams that registered themselves.
//!
//! Entries come late, lapse while their registry is away, and are at times written by others. The
//! belief is pure: times are passed in, and nothing here reads a clock or a socket.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Birth;
use crate::id::DomainId;
use crate::id::ServiceId;
use crate::id::UpstreamId;
use crate::upstream::Role;

/// Time after the registry's return within which entries of live upstreams are written again.
pub const RETURN_TIME: Duration = Duration::from_secs(2);
/// Shortest outage in which entries lapse: upstreams write theirs every 1.2 s, and the registry
/// removes an entry three such intervals after it was last written.
pub const SHORTEST_OUTAGE: Duration = Duration::from_millis(2400);

/// Whether an upstream takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Takes work.
    Ready,
    /// Finishes what it has and leaves.
    Draining,
}

/// What an upstream says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Name.
    pub id: UpstreamId,
    /// Start of this life; another value under the same name is another upstream.
    pub born: Birth,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it serves.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Role of an engine; `Mixed` for a plain service.
    pub role: Role,
    /// Whether it takes new work.
    pub state: State,
    /// Requests that it runs at once.
    pub slots: usize,
}

/// Counts an upstream's writings of its entry within one life.
pub type Beat = u64;

/// One change in the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// An upstream wrote its entry, the given number of times in this life.
    Written(Row, Beat),
    /// An entry was removed.
    Removed(UpstreamId),
}

#[derive(Debug, Clone)]
struct Held {
    row: Row,
    beat: Beat,
    use_until: Option<Instant>,
}

/// The belief.
#[derive(Debug, Default)]
pub struct Fleet {
    held: BTreeMap<UpstreamId, Held>,
    renewal_until: Option<Instant>,
}

impl Fleet {
    /// Notes that this host could not read the registry for the time `away`, and now reads `changes`.
    ///
    /// After an outage in which entries lapse, those that are missing may be renewed for a while. If
    /// an upstream has written its entry twice meanwhile, only this host was cut off.
    pub fn note_return(&mut self, away: Duration, changes: &[Change], now: Instant) {
        if away >= SHORTEST_OUTAGE && !is_any_written_twice(changes) {
            self.renewal_until = Some(now + RETURN_TIME);
        }
    }

    /// Takes in the changes of one reading, in order; returns the upstreams that stay in use for a
    /// while although their entries were removed.
    pub fn apply(&mut self, changes: Vec<Change>, now: Instant) -> Vec<UpstreamId> {
        let use_until = self.renewal_until.filter(|until| now < *until);
        let mut kept = Vec::new();
        for change in changes {
            match change {
                Change::Written(row, beat) => self.write(row, beat),
                Change::Removed(id) => {
                    if self.remove(&id, use_until) {
                        kept.push(id);
                    }
                }
            }
        }
        kept
    }

    /// Takes in a full list: what is not in it was removed. Returns the same as [`Fleet::apply`].
    pub fn replace(&mut self, rows: Vec<(Row, Beat)>, now: Instant) -> Vec<UpstreamId> {
        let gone: Vec<UpstreamId> = self
            .held
            .keys()
            .filter(|id| !rows.iter().any(|(row, _)| row.id == **id))
            .cloned()
            .collect();
        let mut changes: Vec<Change> = gone.into_iter().map(Change::Removed).collect();
        changes.extend(
            rows.into_iter()
                .map(|(row, beat)| Change::Written(row, beat)),
        );
        self.apply(changes, now)
    }

    fn write(&mut self, row: Row, beat: Beat) {
        let Some(held) = self.held.get_mut(&row.id) else {
            let id = row.id.clone();
            let held = Held {
                row,
                beat,
                use_until: None,
            };
            self.held.insert(id, held);
            return;
        };
        let is_stale = row.born < held.row.born || (row.born == held.row.born && beat < held.beat);
        if is_stale {
            return;
        }
        let mut row = row;
        if row.born == held.row.born && held.row.state == State::Draining {
            row.state = State::Draining;
        }
        *held = Held {
            row,
            beat,
            use_until: None,
        };
    }

    /// Removes an entry; returns whether the upstream stays in use for a while.
    fn remove(&mut self, id: &UpstreamId, use_until: Option<Instant>) -> bool {
        match (self.held.get_mut(id), use_until) {
            (Some(held), Some(until)) if held.row.state == State::Ready => {
                held.use_until.get_or_insert(until);
                true
            }
            _ => {
                self.held.remove(id);
                false
            }
        }
    }

    /// Drops entries that lapsed and were not renewed in time; returns their names.
    pub fn sweep(&mut self, now: Instant) -> Vec<UpstreamId> {
        let is_over = |held: &Held| held.use_until.is_some_and(|until| until <= now);
        let gone: Vec<UpstreamId> = self
            .held
            .iter()
            .filter(|(_, held)| is_over(held))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.held.remove(id);
        }
        gone
    }

    /// Returns when the use of an upstream ends next whose entry was removed.
    pub fn next_end(&self) -> Option<Instant> {
        self.held.values().filter_map(|held| held.use_until).min()
    }

    /// Returns all upstreams, those that drain included.
    pub fn rows(&self) -> Vec<Row> {
        self.held.values().map(|held| held.row.clone()).collect()
    }
}

fn is_any_written_twice(changes: &[Change]) -> bool {
    let mut written = BTreeSet::new();
    changes.iter().any(|change| match change {
        Change::Written(row, _) => !written.insert(&row.id),
        Change::Removed(_) => false,
    })
}
