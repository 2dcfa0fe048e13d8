//! What upstreams say of themselves in their answers: that they leave, or want nothing for a while.
//!
//! Such a statement binds the host that heard it whatever the registry says, so it is kept apart
//! from the registry's entries and for longer than these. Times are passed in; nothing here reads a
//! clock or a socket.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use log::info;
use log::warn;

use crate::fleet::Entry;
use crate::fleet::State as Condition;
use crate::id::StartTime;
use crate::id::UpstreamId;

/// Longest pause that an upstream is granted; a longer one is taken for this.
pub const MAX_PAUSE: Duration = Duration::from_secs(3600);
/// Time for which statements of an upstream without an entry are kept. The entry may lapse in an
/// outage of the registry and come back with the same life.
const MEMORY: Duration = Duration::from_secs(900);

/// What the head of an answer says of the upstream itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the upstream leaves.
    pub is_leaving: bool,
    /// How long it wants no requests from this host.
    pub pause: Option<Duration>,
    /// Whether it asks for a pause in a form that cannot be read.
    pub is_pause_unreadable: bool,
}

/// What a notice changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The upstream was not known to leave.
    Leaves,
    /// It takes no requests for this time, which ends later than any that was known.
    Pauses(Duration),
    /// It asks for a pause in a form that cannot be read, for the first time.
    Unreadable,
}

/// Why an upstream takes no requests now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailability {
    /// It leaves and takes none any more.
    Leaving,
    /// It takes them again after this time.
    Paused(Duration),
}

#[derive(Debug, Clone, Copy, Default)]
struct State {
    leaving_since: Option<Instant>,
    paused_until: Option<Instant>,
    has_been_unreadable: bool,
}

/// One life of an upstream: from a start to its end, under one name.
#[derive(Debug, Default)]
pub struct Incarnation {
    state: Mutex<State>,
}

impl Incarnation {
    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("availability lock")
    }

    /// Takes in what an answer that arrived at `now` says; returns what is new in it.
    ///
    /// Nothing is taken back: an upstream that leaves has left for good, and a shorter pause ends
    /// no longer one.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::availability::{Unavailability, Incarnation, Notice};
    /// let incarnation = Incarnation::default();
    /// let now = Instant::now();
    /// let pause = Some(Duration::from_secs(3));
    /// incarnation.apply(&Notice { pause, ..Notice::default() }, now);
    /// let later = now + Duration::from_secs(1);
    /// assert_eq!(incarnation.unavailability(later), Some(Unavailability::Paused(Duration::from_secs(2))));
    /// assert_eq!(incarnation.unavailability(now + Duration::from_secs(3)), None);
    /// ```
    pub fn apply(&self, notice: &Notice, now: Instant) -> Option<Change> {
        let mut state = self.state();
        let mut change = None;
        if notice.is_pause_unreadable && !state.has_been_unreadable {
            state.has_been_unreadable = true;
            change = Some(Change::Unreadable);
        }
        if let Some(pause) = notice.pause {
            let pause = pause.min(MAX_PAUSE);
            let until = now + pause;
            if state.paused_until.is_none_or(|held| held < until) {
                state.paused_until = Some(until);
                change = Some(Change::Pauses(pause));
            }
        }
        if notice.is_leaving && state.leaving_since.is_none() {
            state.leaving_since = Some(now);
            change = Some(Change::Leaves);
        }
        change
    }

    /// Returns why the upstream takes no requests at `now`, or nothing if it takes them.
    pub fn unavailability(&self, now: Instant) -> Option<Unavailability> {
        let state = self.state();
        if state.leaving_since.is_some() {
            return Some(Unavailability::Leaving);
        }
        let left = state.paused_until?.checked_duration_since(now)?;
        (!left.is_zero()).then_some(Unavailability::Paused(left))
    }

    /// Returns when the upstream first said that it leaves, if it did.
    pub fn leaving_since(&self) -> Option<Instant> {
        self.state().leaving_since
    }

    /// Returns whether what was said may be forgotten if the upstream has no entry.
    fn is_over(&self, now: Instant) -> bool {
        let state = self.state();
        let is_past = |at: Instant| now.saturating_duration_since(at) >= MEMORY;
        state.leaving_since.is_none_or(is_past) && state.paused_until.is_none_or(|at| at <= now)
    }
}

/// The lives of all upstreams, shared by all threads that send to them.
#[derive(Debug, Default)]
pub struct Incarnations {
    incarnations: Mutex<HashMap<(UpstreamId, StartTime), Arc<Incarnation>>>,
}

impl Incarnations {
    /// Returns the life that an entry is of.
    pub fn get(&self, entry: &Entry) -> Arc<Incarnation> {
        let mut incarnations = self.incarnations.lock().expect("lives lock");
        let incarnation = incarnations
            .entry((entry.id.clone(), entry.started_at))
            .or_default();
        Arc::clone(incarnation)
    }

    /// Forgets lives that have no entry among `entries` and said nothing that still binds.
    pub fn forget(&self, entries: &[Entry], now: Instant) {
        let mut incarnations = self.incarnations.lock().expect("lives lock");
        if incarnations.len() <= entries.len() {
            return;
        }
        let listed: HashSet<(&UpstreamId, StartTime)> = entries
            .iter()
            .map(|entry| (&entry.id, entry.started_at))
            .collect();
        incarnations.retain(|(id, started_at), incarnation| {
            let has_entry = listed.contains(&(id, *started_at));
            has_entry || !incarnation.is_over(now)
        });
    }

    /// Returns how many upstreams take no requests at `now`: those that leave, then those that
    /// asked for a pause.
    pub fn count_unavailable(&self, now: Instant) -> (usize, usize) {
        let incarnations = self.incarnations.lock().expect("lives lock");
        let closures = incarnations
            .values()
            .filter_map(|incarnation| incarnation.unavailability(now));
        closures.fold((0, 0), |(leaving, paused), closure| match closure {
            Unavailability::Leaving => (leaving + 1, paused),
            Unavailability::Paused(_) => (leaving, paused + 1),
        })
    }
}

/// Returns entries with those upstreams as draining that say in their answers that they leave.
pub fn mark_leaving(entries: &[Entry], incarnations: &Incarnations) -> Vec<Entry> {
    let mut entries = entries.to_vec();
    for entry in &mut entries {
        if incarnations.get(entry).leaving_since().is_some() {
            entry.state = Condition::Draining;
        }
    }
    entries
}

/// Takes in what an answer says of its upstream, and logs what is new; `told_by` names the request
/// or the call that was answered.
pub fn apply_notice(
    entry: &Entry,
    incarnation: &Incarnation,
    notice: &Notice,
    told_by: &str,
    now: Instant,
) -> Option<Change> {
    let change = incarnation.apply(notice, now)?;
    match change {
        Change::Leaves => info!(
            upstream:% = entry.id,
            born = entry.started_at,
            told_by = told_by,
            state:? = entry.state,
            outcome = "leaving";
            "upstream says that it leaves"
        ),
        Change::Pauses(pause) => info!(
            upstream:% = entry.id,
            born = entry.started_at,
            told_by = told_by,
            pause_ms = pause.as_millis() as u64,
            asked_ms:? = notice.pause.map(|asked| asked.as_millis()),
            outcome = "paused";
            "upstream asks for a pause"
        ),
        Change::Unreadable => warn!(
            upstream:% = entry.id,
            born = entry.started_at,
            told_by = told_by,
            outcome = "ignored";
            "upstream asks for a pause that cannot be read"
        ),
    }
    Some(change)
}
