//! Last known state of the upstreams that registered themselves.
//!
//! Entries arrive late, expire while the registry is unavailable, and are sometimes written by
//! others than their upstream. The state is pure: times are passed in, and nothing here reads a
//! clock or a socket.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::id::BuildId;
use crate::id::DomainId;
use crate::id::ServiceId;
use crate::id::StartTime;
use crate::id::UpstreamId;
use crate::upstream::Role;

/// Time after the end of an outage of the registry within which live upstreams rewrite their
/// entries.
pub const REWRITE_WINDOW: Duration = Duration::from_secs(2);
/// Minimum length of an outage in which entries expire: upstreams write theirs every 1.2 s, and the
/// registry removes an entry three such intervals after it was last written.
pub const MIN_EXPIRY_OUTAGE: Duration = Duration::from_millis(2400);
/// Time for which the last entry of a removed upstream is remembered; longer than copies from which
/// the registry is restored are old.
const DEPARTURE_MEMORY: Duration = Duration::from_secs(300);

/// Availability of an upstream for new work, in the order in which one incarnation passes through
/// its states.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// Takes work.
    Ready,
    /// Finishes its running requests and leaves.
    Draining,
}

/// Entry that an upstream writes about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name.
    pub id: UpstreamId,
    /// Start time of this incarnation; another value under the same name is another upstream.
    #[serde(rename = "born")]
    pub started_at: StartTime,
    /// Service to which it belongs.
    pub service: ServiceId,
    /// Version of its software; empty if it names none.
    #[serde(default)]
    pub build: BuildId,
    /// Address at which it serves requests.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Role of an engine; `Mixed` for a plain service.
    pub role: Role,
    /// Availability for new work.
    pub state: State,
    /// Maximum number of concurrent requests.
    pub slots: usize,
    /// Whether the platform may withdraw it at short notice.
    #[serde(default)]
    pub may_be_withdrawn: bool,
    /// Time from the writing of the entry until the upstream is ended, if it was told one.
    #[serde(default)]
    pub leaves_in: Option<Duration>,
}

/// Number of times an upstream has written its entry within one incarnation.
pub type WriteCount = u64;

/// One change in the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// An upstream wrote its entry; the count is that of this incarnation.
    Written(Entry, WriteCount),
    /// An entry was removed.
    Removed(UpstreamId),
}

#[derive(Debug, Clone)]
struct Upstream {
    entry: Entry,
    write_count: WriteCount,
    use_until: Option<Instant>,
}

/// Last entry of an upstream that is not in use any more.
#[derive(Debug, Clone)]
struct Departure {
    started_at: StartTime,
    write_count: WriteCount,
    state: State,
    removed_at: Instant,
}

impl Departure {
    /// Returns `true` if an entry was written before the upstream departed. Without write counts,
    /// entries of one incarnation cannot be told apart.
    fn includes(&self, entry: &Entry, write_count: WriteCount) -> bool {
        entry.started_at < self.started_at
            || (entry.started_at == self.started_at
                && self.write_count > 0
                && write_count <= self.write_count)
    }
}

/// Last known upstreams, including those that stay in use after their entries expired.
#[derive(Debug, Default)]
pub struct Fleet {
    upstreams: BTreeMap<UpstreamId, Upstream>,
    departures: BTreeMap<UpstreamId, Departure>,
    rewrite_until: Option<Instant>,
}

impl Fleet {
    /// Records that this host reads `changes` after it could not read the registry during `outage`.
    ///
    /// After an outage in which entries expire, missing ones may be rewritten for a while. If an
    /// upstream has written its entry twice meanwhile, only this host was partitioned.
    pub fn record_return(&mut self, outage: Duration, changes: &[Change], now: Instant) {
        if outage >= MIN_EXPIRY_OUTAGE && !is_any_written_twice(changes) {
            self.rewrite_until = Some(now + REWRITE_WINDOW);
        }
    }

    /// Records that the registry was restored from a copy: entries written since the copy was made are
    /// missing, however short the outage was, and live upstreams rewrite them.
    ///
    /// ```
    /// use std::time::Instant;
    /// use pistachiohall::fleet::Fleet;
    /// let mut fleet = Fleet::default();
    /// fleet.record_restore(Instant::now());
    /// assert!(fleet.replace(Vec::new(), Instant::now()).is_empty());
    /// ```
    pub fn record_restore(&mut self, now: Instant) {
        self.rewrite_until = self.rewrite_until.max(Some(now + REWRITE_WINDOW));
    }

    /// Applies the changes of one read, in order; returns the upstreams that stay in use for a
    /// while although their entries were removed.
    pub fn apply(&mut self, changes: Vec<Change>, now: Instant) -> Vec<UpstreamId> {
        let use_until = self.rewrite_until.filter(|until| now < *until);
        let mut kept = Vec::new();
        for change in changes {
            match change {
                Change::Written(entry, write_count) => self.write(entry, write_count),
                Change::Removed(id) => {
                    if self.remove(&id, use_until, now) {
                        kept.push(id);
                    }
                }
            }
        }
        kept
    }

    /// Applies a full list: entries that are not in it were removed, and those of upstreams that
    /// departed after they were written are ignored. Returns the upstreams that stay in use for a
    /// while although their entries were removed.
    pub fn replace(&mut self, entries: Vec<(Entry, WriteCount)>, now: Instant) -> Vec<UpstreamId> {
        self.departures.retain(|_, departure| {
            now.saturating_duration_since(departure.removed_at) < DEPARTURE_MEMORY
        });
        let listed: HashSet<&UpstreamId> = entries.iter().map(|(entry, _)| &entry.id).collect();
        let removed = self.upstreams.keys().filter(|id| !listed.contains(id));
        let mut changes: Vec<Change> = removed.cloned().map(Change::Removed).collect();
        for (mut entry, write_count) in entries {
            if let Some(departure) = self.departures.get(&entry.id) {
                if departure.includes(&entry, write_count) {
                    continue;
                }
                if entry.started_at == departure.started_at {
                    entry.state = departure.state.max(entry.state);
                }
            }
            changes.push(Change::Written(entry, write_count));
        }
        self.apply(changes, now)
    }

    fn write(&mut self, entry: Entry, write_count: WriteCount) {
        self.departures.remove(&entry.id);
        let Some(upstream) = self.upstreams.get_mut(&entry.id) else {
            let id = entry.id.clone();
            let upstream = Upstream {
                entry,
                write_count,
                use_until: None,
            };
            self.upstreams.insert(id, upstream);
            return;
        };
        let is_stale = entry.started_at < upstream.entry.started_at
            || (entry.started_at == upstream.entry.started_at
                && write_count < upstream.write_count);
        if is_stale {
            return;
        }
        let mut entry = entry;
        if entry.started_at == upstream.entry.started_at {
            entry.state = upstream.entry.state.max(entry.state);
        }
        *upstream = Upstream {
            entry,
            write_count,
            use_until: None,
        };
    }

    /// Removes an entry; returns `true` if the upstream stays in use for a while.
    fn remove(&mut self, id: &UpstreamId, use_until: Option<Instant>, now: Instant) -> bool {
        match (self.upstreams.get_mut(id), use_until) {
            (Some(upstream), Some(until)) if upstream.entry.state == State::Ready => {
                upstream.use_until.get_or_insert(until);
                true
            }
            _ => {
                self.depart(id, now);
                false
            }
        }
    }

    /// Removes an upstream and remembers its last entry.
    fn depart(&mut self, id: &UpstreamId, now: Instant) {
        if let Some(upstream) = self.upstreams.remove(id) {
            let departure = Departure {
                started_at: upstream.entry.started_at,
                write_count: upstream.write_count,
                state: upstream.entry.state,
                removed_at: now,
            };
            self.departures.insert(id.clone(), departure);
        }
    }

    /// Drops upstreams whose expired entries were not rewritten in time; returns their names.
    pub fn sweep(&mut self, now: Instant) -> Vec<UpstreamId> {
        let is_expired = |upstream: &Upstream| upstream.use_until.is_some_and(|until| until <= now);
        let expired: Vec<UpstreamId> = self
            .upstreams
            .iter()
            .filter(|(_, upstream)| is_expired(upstream))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.depart(id, now);
        }
        expired
    }

    /// Returns the next time at which the use of an upstream ends whose entry was removed.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.upstreams
            .values()
            .filter_map(|upstream| upstream.use_until)
            .min()
    }

    /// Returns the number of upstreams, including draining ones.
    pub fn count(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns all upstreams, including draining ones.
    pub fn entries(&self) -> Vec<Entry> {
        self.upstreams
            .values()
            .map(|upstream| upstream.entry.clone())
            .collect()
    }
}

fn is_any_written_twice(changes: &[Change]) -> bool {
    let mut written = BTreeSet::new();
    changes.iter().any(|change| match change {
        Change::Written(entry, _) => !written.insert(&entry.id),
        Change::Removed(_) => false,
    })
}
