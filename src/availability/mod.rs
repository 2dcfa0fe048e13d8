//! Notices in upstreams' responses: that the upstream is leaving, or wants no requests for a while.
//!
//! A notice binds the host that received it, whatever the registry says, so notices are kept apart
//! from the registry's entries and for longer. Times are passed in; nothing here reads a clock or a
//! socket.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use log::info;
use log::warn;

use crate::fleet::Entry;
use crate::fleet::State;
use crate::id::StartTime;
use crate::id::UpstreamId;
use crate::throttle::Limit;
use crate::throttle::Throttle;

/// Maximum pause that an upstream is granted; a longer one is reduced to this.
pub const MAX_PAUSE: Duration = Duration::from_secs(3600);
/// Time for which notices of an upstream without an entry are kept. The entry may expire in an
/// outage of the registry and come back with the same incarnation.
const NOTICE_RETENTION: Duration = Duration::from_secs(900);

/// Notice about the upstream itself in the head of a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notice {
    /// `true` if the upstream is leaving.
    pub is_leaving: bool,
    /// Time for which it wants no requests from this host.
    pub pause: Option<Duration>,
    /// `true` if it asks for a pause in a form that cannot be parsed.
    pub is_pause_unreadable: bool,
    /// Requests that it takes from all hosts together.
    pub limit: Option<Limit>,
}

/// Change made by a notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The upstream is leaving, which was not known before.
    Leaves,
    /// It takes no requests for this time, which ends later than any pause known before.
    Pauses(Duration),
    /// It asks for a pause in a form that cannot be parsed, for the first time.
    Unreadable,
    /// It names a limit, after none was known.
    Limits(Limit),
}

/// Reason for which an upstream takes no requests now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unavailability {
    /// It is leaving and takes no more requests.
    Leaving,
    /// It takes requests again after this time.
    Paused(Duration),
    /// Its limit allows this host another request after this time.
    Limited(Duration),
}

/// Notices received from one incarnation.
#[derive(Debug, Clone, Copy, Default)]
struct Notices {
    leaving_since: Option<Instant>,
    paused_until: Option<Instant>,
    has_been_unreadable: bool,
    throttle: Throttle,
}

/// One incarnation of an upstream: from its start to its end, under one name.
#[derive(Debug, Default)]
pub struct Incarnation {
    notices: Mutex<Notices>,
}

impl Incarnation {
    fn notices(&self) -> std::sync::MutexGuard<'_, Notices> {
        self.notices.lock().expect("availability lock")
    }

    /// Applies the notice of a response that arrived at `now`; returns the change it made.
    ///
    /// Nothing is revoked: an upstream that is leaving never takes requests again, and a shorter
    /// pause does not end a longer one.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::availability::{Incarnation, Notice, Unavailability};
    /// let incarnation = Incarnation::default();
    /// let now = Instant::now();
    /// let pause = Some(Duration::from_secs(3));
    /// incarnation.apply(&Notice { pause, ..Notice::default() }, now);
    /// let later = now + Duration::from_secs(1);
    /// assert_eq!(
    ///     incarnation.unavailability(later),
    ///     Some(Unavailability::Paused(Duration::from_secs(2)))
    /// );
    /// assert_eq!(incarnation.unavailability(now + Duration::from_secs(3)), None);
    /// ```
    pub fn apply(&self, notice: &Notice, now: Instant) -> Option<Change> {
        let mut notices = self.notices();
        let mut change = None;
        if let Some(limit) = notice.limit {
            if !notices.throttle.is_limited(now) {
                change = Some(Change::Limits(limit));
            }
            notices.throttle.record_named(limit, now);
        }
        if notice.is_pause_unreadable && !notices.has_been_unreadable {
            notices.has_been_unreadable = true;
            change = Some(Change::Unreadable);
        }
        if let Some(pause) = notice.pause {
            let pause = pause.min(MAX_PAUSE);
            let until = now + pause;
            if notices.paused_until.is_none_or(|held| held < until) {
                notices.paused_until = Some(until);
                change = Some(Change::Pauses(pause));
            }
        }
        if notice.is_leaving && notices.leaving_since.is_none() {
            notices.leaving_since = Some(now);
            change = Some(Change::Leaves);
        }
        change
    }

    /// Returns the reason for which the upstream takes no requests at `now`, or `None` if it does.
    pub fn unavailability(&self, now: Instant) -> Option<Unavailability> {
        let notices = self.notices();
        if notices.leaving_since.is_some() {
            return Some(Unavailability::Leaving);
        }
        let until = notices.paused_until;
        let remaining = until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        if !remaining.is_zero() {
            return Some(Unavailability::Paused(remaining));
        }
        notices.throttle.wait(now).map(Unavailability::Limited)
    }

    /// Applies `act` to what the upstream's limit allows this host.
    pub fn with_throttle<F, T>(&self, act: F) -> T
    where
        F: FnOnce(&mut Throttle) -> T,
    {
        act(&mut self.notices().throttle)
    }

    /// Returns the time when the upstream first announced that it is leaving, if it did.
    pub fn leaving_since(&self) -> Option<Instant> {
        self.notices().leaving_since
    }

    /// Returns `true` if the notices may be dropped once the upstream has no entry.
    fn is_expired(&self, now: Instant) -> bool {
        let notices = self.notices();
        let is_past_retention = |at: Instant| now.saturating_duration_since(at) >= NOTICE_RETENTION;
        notices.leaving_since.is_none_or(is_past_retention)
            && notices.paused_until.is_none_or(|at| at <= now)
            && notices.throttle.named_at().is_none_or(is_past_retention)
    }
}

/// The incarnations of all upstreams, shared by all threads that send to them.
#[derive(Debug, Default)]
pub struct Incarnations {
    incarnations: Mutex<HashMap<(UpstreamId, StartTime), Arc<Incarnation>>>,
}

impl Incarnations {
    /// Returns the incarnation of an entry.
    pub fn get(&self, entry: &Entry) -> Arc<Incarnation> {
        let mut incarnations = self.incarnations.lock().expect("incarnations lock");
        let incarnation = incarnations
            .entry((entry.id.clone(), entry.started_at))
            .or_default();
        Arc::clone(incarnation)
    }

    /// Removes incarnations that have no entry among `entries` and no notice that still holds.
    pub fn forget(&self, entries: &[Entry], now: Instant) {
        let mut incarnations = self.incarnations.lock().expect("incarnations lock");
        if incarnations.len() <= entries.len() {
            return;
        }
        let listed: HashSet<(&UpstreamId, StartTime)> = entries
            .iter()
            .map(|entry| (&entry.id, entry.started_at))
            .collect();
        incarnations.retain(|(id, started_at), incarnation| {
            let has_entry = listed.contains(&(id, *started_at));
            has_entry || !incarnation.is_expired(now)
        });
    }

    /// Returns the number of upstreams whose limit holds at `now`.
    pub fn count_limited(&self, now: Instant) -> usize {
        let incarnations = self.incarnations.lock().expect("incarnations lock");
        let incarnations = incarnations.values();
        incarnations
            .filter(|incarnation| incarnation.with_throttle(|throttle| throttle.is_limited(now)))
            .count()
    }

    /// Returns the numbers of upstreams that take no requests at `now`: those that are leaving and
    /// those that asked for a pause.
    pub fn count_unavailable(&self, now: Instant) -> (usize, usize) {
        let incarnations = self.incarnations.lock().expect("incarnations lock");
        let unavailabilities = incarnations
            .values()
            .filter_map(|incarnation| incarnation.unavailability(now));
        unavailabilities.fold(
            (0, 0),
            |(leaving, paused), unavailability| match unavailability {
                Unavailability::Leaving => (leaving + 1, paused),
                Unavailability::Paused(_) => (leaving, paused + 1),
                Unavailability::Limited(_) => (leaving, paused),
            },
        )
    }
}

/// Returns the entries, with upstreams that announced in a response that they are leaving marked as
/// draining.
pub fn mark_leaving(entries: &[Entry], incarnations: &Incarnations) -> Vec<Entry> {
    let mut entries = entries.to_vec();
    for entry in &mut entries {
        if incarnations.get(entry).leaving_since().is_some() {
            entry.state = State::Draining;
        }
    }
    entries
}

/// Applies the notice of a response to its upstream and logs what changed; `source` names the
/// request or the call that the response belongs to.
pub fn apply_notice(
    entry: &Entry,
    incarnation: &Incarnation,
    notice: &Notice,
    source: &str,
    now: Instant,
) -> Option<Change> {
    let change = incarnation.apply(notice, now)?;
    match change {
        Change::Leaves => info!(
            upstream:% = entry.id,
            born = entry.started_at,
            told_by = source,
            state:? = entry.state,
            outcome = "leaving";
            "upstream says that it leaves"
        ),
        Change::Pauses(pause) => info!(
            upstream:% = entry.id,
            born = entry.started_at,
            told_by = source,
            pause_ms = pause.as_millis() as u64,
            asked_ms:? = notice.pause.map(|asked| asked.as_millis()),
            outcome = "paused";
            "upstream asks for a pause"
        ),
        Change::Unreadable => warn!(
            upstream:% = entry.id,
            born = entry.started_at,
            told_by = source,
            outcome = "ignored";
            "upstream asks for a pause that cannot be read"
        ),
        Change::Limits(limit) => info!(
            upstream:% = entry.id,
            born = entry.started_at,
            told_by = source,
            limit_per_s:% = limit,
            outcome = "limited";
            "upstream names a limit"
        ),
    }
    Some(change)
}
