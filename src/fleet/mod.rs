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

/// Maximum count of the first entry that is read of an upstream which has just started, of whose writes
/// one or two may have failed.
const MAX_FIRST_WRITE_COUNT: WriteCount = 2;

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

/// Reason for not using an upstream by the entry that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Doubt {
    /// The entry was written before the upstream departed.
    Departed,
    /// The entry is not the first of its upstream, which this host has not known: its write may have been
    /// carried out late. The next one shows that the upstream lives.
    Unconfirmed,
}

/// Last known upstreams, including those that stay in use after their entries expired.
#[derive(Debug, Default)]
pub struct Fleet {
    upstreams: BTreeMap<UpstreamId, Upstream>,
    departures: BTreeMap<UpstreamId, Departure>,
    /// Start times and write counts of the entries that are unconfirmed.
    unconfirmed: BTreeMap<UpstreamId, (StartTime, WriteCount)>,
    /// Entries that were not used since they were last taken.
    doubted: Vec<(UpstreamId, Doubt)>,
    /// Whether a full list was read, so that an entry that appears later was not there before.
    has_full_list: bool,
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
        self.departures.retain(|_, departure| {
            now.saturating_duration_since(departure.removed_at) < DEPARTURE_MEMORY
        });
        let use_until = self.rewrite_until.filter(|until| now < *until);
        let mut kept = Vec::new();
        for change in changes {
            match change {
                Change::Written(entry, write_count) => {
                    let has_just_appeared = self.has_full_list && use_until.is_none();
                    self.write(entry, write_count, has_just_appeared);
                }
                Change::Removed(id) => {
                    self.unconfirmed.remove(&id);
                    if self.remove(&id, use_until, now) {
                        kept.push(id);
                    }
                }
            }
        }
        kept
    }

    /// Applies a full list: entries that are not in it were removed. Returns the upstreams that stay in
    /// use for a while although their entries were removed.
    pub fn replace(&mut self, entries: Vec<(Entry, WriteCount)>, now: Instant) -> Vec<UpstreamId> {
        let listed: HashSet<UpstreamId> =
            entries.iter().map(|(entry, _)| entry.id.clone()).collect();
        let known = self.upstreams.keys().chain(self.unconfirmed.keys());
        let removed = known.filter(|id| !listed.contains(*id));
        let removed: Vec<Change> = removed.cloned().map(Change::Removed).collect();
        let kept = self.apply(removed, now);
        for (entry, write_count) in entries {
            self.write(entry, write_count, false);
        }
        self.has_full_list = true;
        kept
    }

    /// Takes the upstreams that were not used by the entries that were read.
    pub fn take_doubted(&mut self) -> Vec<(UpstreamId, Doubt)> {
        std::mem::take(&mut self.doubted)
    }

    /// Applies an entry, which is not known to have been there before if it `has_just_appeared`.
    fn write(&mut self, mut entry: Entry, write_count: WriteCount, has_just_appeared: bool) {
        let mut state = entry.state;
        match self.upstreams.get(&entry.id) {
            Some(upstream) => {
                let is_stale = entry.started_at < upstream.entry.started_at
                    || (entry.started_at == upstream.entry.started_at
                        && write_count < upstream.write_count);
                if is_stale {
                    return;
                }
                if entry.started_at == upstream.entry.started_at {
                    state = upstream.entry.state.max(state);
                }
            }
            None => {
                if let Some(doubt) = self.doubt(&entry, write_count, has_just_appeared) {
                    self.doubted.push((entry.id, doubt));
                    return;
                }
                let departure = self.departures.remove(&entry.id);
                let same = departure.filter(|before| before.started_at == entry.started_at);
                state = same.map_or(state, |before| before.state.max(state));
            }
        }
        entry.state = state;
        let upstream = Upstream {
            entry,
            write_count,
            use_until: None,
        };
        self.upstreams.insert(upstream.entry.id.clone(), upstream);
    }

    /// Returns the reason for not using an upstream that is not in use by its entry.
    fn doubt(
        &mut self,
        entry: &Entry,
        write_count: WriteCount,
        has_just_appeared: bool,
    ) -> Option<Doubt> {
        let departure = self.departures.get(&entry.id);
        if departure.is_some_and(|departure| departure.includes(entry, write_count)) {
            return Some(Doubt::Departed);
        }
        let has_departed =
            departure.is_some_and(|departure| departure.started_at == entry.started_at);
        let written = (entry.started_at, write_count);
        let is_unconfirmed = match self.unconfirmed.get(&entry.id) {
            Some(before) => written <= *before,
            None => has_just_appeared && !has_departed && write_count > MAX_FIRST_WRITE_COUNT,
        };
        match is_unconfirmed {
            true => {
                self.unconfirmed.entry(entry.id.clone()).or_insert(written);
                Some(Doubt::Unconfirmed)
            }
            false => {
                self.unconfirmed.remove(&entry.id);
                None
            }
        }
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
