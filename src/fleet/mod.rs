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

use crate::id::DomainId;
use crate::id::ServiceId;
use crate::id::StartTime;
use crate::id::UpstreamId;
use crate::upstream::Role;

/// Time after the registry's return within which entries of live upstreams are written again.
pub const REWRITE_WINDOW: Duration = Duration::from_secs(2);
/// Shortest outage in which entries lapse: upstreams write theirs every 1.2 s, and the registry
/// removes an entry three such intervals after it was last written.
pub const MIN_EXPIRY_OUTAGE: Duration = Duration::from_millis(2400);

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
pub struct Entry {
    /// Name.
    pub id: UpstreamId,
    /// Start of this life; another value under the same name is another upstream.
    #[serde(rename = "born")]
    pub started_at: StartTime,
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
pub type WriteCount = u64;

/// One change in the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// An upstream wrote its entry, the given number of times in this life.
    Written(Entry, WriteCount),
    /// An entry was removed.
    Removed(UpstreamId),
}

#[derive(Debug, Clone)]
struct Held {
    entry: Entry,
    beat: WriteCount,
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
        if away >= MIN_EXPIRY_OUTAGE && !is_any_written_twice(changes) {
            self.renewal_until = Some(now + REWRITE_WINDOW);
        }
    }

    /// Takes in the changes of one reading, in order; returns the upstreams that stay in use for a
    /// while although their entries were removed.
    pub fn apply(&mut self, changes: Vec<Change>, now: Instant) -> Vec<UpstreamId> {
        let use_until = self.renewal_until.filter(|until| now < *until);
        let mut kept = Vec::new();
        for change in changes {
            match change {
                Change::Written(entry, beat) => self.write(entry, beat),
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
    pub fn replace(&mut self, entries: Vec<(Entry, WriteCount)>, now: Instant) -> Vec<UpstreamId> {
        let gone: Vec<UpstreamId> = self
            .held
            .keys()
            .filter(|id| !entries.iter().any(|(entry, _)| entry.id == **id))
            .cloned()
            .collect();
        let mut changes: Vec<Change> = gone.into_iter().map(Change::Removed).collect();
        changes.extend(
            entries
                .into_iter()
                .map(|(entry, beat)| Change::Written(entry, beat)),
        );
        self.apply(changes, now)
    }

    fn write(&mut self, entry: Entry, beat: WriteCount) {
        let Some(held) = self.held.get_mut(&entry.id) else {
            let id = entry.id.clone();
            let held = Held {
                entry,
                beat,
                use_until: None,
            };
            self.held.insert(id, held);
            return;
        };
        let is_stale = entry.started_at < held.entry.started_at
            || (entry.started_at == held.entry.started_at && beat < held.beat);
        if is_stale {
            return;
        }
        let mut entry = entry;
        if entry.started_at == held.entry.started_at && held.entry.state == State::Draining {
            entry.state = State::Draining;
        }
        *held = Held {
            entry,
            beat,
            use_until: None,
        };
    }

    /// Removes an entry; returns whether the upstream stays in use for a while.
    fn remove(&mut self, id: &UpstreamId, use_until: Option<Instant>) -> bool {
        match (self.held.get_mut(id), use_until) {
            (Some(held), Some(until)) if held.entry.state == State::Ready => {
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
    pub fn entries(&self) -> Vec<Entry> {
        self.held.values().map(|held| held.entry.clone()).collect()
    }
}

fn is_any_written_twice(changes: &[Change]) -> bool {
    let mut written = BTreeSet::new();
    changes.iter().any(|change| match change {
        Change::Written(entry, _) => !written.insert(&entry.id),
        Change::Removed(_) => false,
    })
}
