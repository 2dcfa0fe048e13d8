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

use crate::fleet::Row;
use crate::fleet::State;
use crate::id::Birth;
use crate::id::UpstreamId;

/// Maximum pause that an upstream is granted; a longer one is reduced to this.
pub const MOST_PAUSE: Duration = Duration::from_secs(3600);
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
}

/// Reason for which an upstream takes no requests now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closure {
    /// It is leaving and takes no more requests.
    Leaving,
    /// It takes requests again after this time.
    Paused(Duration),
}

/// Notices received from one incarnation.
#[derive(Debug, Clone, Copy, Default)]
struct Notices {
    leaving_since: Option<Instant>,
    paused_until: Option<Instant>,
    has_been_unreadable: bool,
}

/// One incarnation of an upstream: from its start to its end, under one name.
#[derive(Debug, Default)]
pub struct Life {
    notices: Mutex<Notices>,
}

impl Life {
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
    /// use pistachiohall::availability::{Closure, Life, Notice};
    /// let life = Life::default();
    /// let now = Instant::now();
    /// let pause = Some(Duration::from_secs(3));
    /// life.note(&Notice { pause, ..Notice::default() }, now);
    /// let later = now + Duration::from_secs(1);
    /// assert_eq!(life.closure(later), Some(Closure::Paused(Duration::from_secs(2))));
    /// assert_eq!(life.closure(now + Duration::from_secs(3)), None);
    /// ```
    pub fn note(&self, notice: &Notice, now: Instant) -> Option<Change> {
        let mut notices = self.notices();
        let mut change = None;
        if notice.is_pause_unreadable && !notices.has_been_unreadable {
            notices.has_been_unreadable = true;
            change = Some(Change::Unreadable);
        }
        if let Some(pause) = notice.pause {
            let pause = pause.min(MOST_PAUSE);
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
    pub fn closure(&self, now: Instant) -> Option<Closure> {
        let notices = self.notices();
        if notices.leaving_since.is_some() {
            return Some(Closure::Leaving);
        }
        let remaining = notices.paused_until?.checked_duration_since(now)?;
        (!remaining.is_zero()).then_some(Closure::Paused(remaining))
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
    }
}

/// The incarnations of all upstreams, shared by all threads that send to them.
#[derive(Debug, Default)]
pub struct Lives {
    lives: Mutex<HashMap<(UpstreamId, Birth), Arc<Life>>>,
}

impl Lives {
    /// Returns the incarnation of an entry.
    pub fn of(&self, row: &Row) -> Arc<Life> {
        let mut lives = self.lives.lock().expect("lives lock");
        let life = lives.entry((row.id.clone(), row.born)).or_default();
        Arc::clone(life)
    }

    /// Removes incarnations that have no entry among `rows` and no notice that still holds.
    pub fn forget(&self, rows: &[Row], now: Instant) {
        let mut lives = self.lives.lock().expect("lives lock");
        if lives.len() <= rows.len() {
            return;
        }
        let entries: HashSet<(&UpstreamId, Birth)> =
            rows.iter().map(|row| (&row.id, row.born)).collect();
        lives.retain(|(id, born), life| {
            let has_entry = entries.contains(&(id, *born));
            has_entry || !life.is_expired(now)
        });
    }

    /// Returns the numbers of upstreams that take no requests at `now`: those that are leaving and
    /// those that asked for a pause.
    pub fn closed(&self, now: Instant) -> (usize, usize) {
        let lives = self.lives.lock().expect("lives lock");
        let closures = lives.values().filter_map(|life| life.closure(now));
        closures.fold((0, 0), |(leaving, paused), closure| match closure {
            Closure::Leaving => (leaving + 1, paused),
            Closure::Paused(_) => (leaving, paused + 1),
        })
    }
}

/// Returns the entries, with upstreams that announced in a response that they are leaving marked as
/// draining.
pub fn mark_leaving(rows: &[Row], lives: &Lives) -> Vec<Row> {
    let mut rows = rows.to_vec();
    for row in &mut rows {
        if lives.of(row).leaving_since().is_some() {
            row.state = State::Draining;
        }
    }
    rows
}

/// Applies the notice of a response to its upstream and logs what changed; `told_by` names the
/// request or the call that the response belongs to.
pub fn hear(
    row: &Row,
    life: &Life,
    notice: &Notice,
    told_by: &str,
    now: Instant,
) -> Option<Change> {
    let change = life.note(notice, now)?;
    match change {
        Change::Leaves => info!(
            upstream:% = row.id,
            born = row.born,
            told_by = told_by,
            state:? = row.state,
            outcome = "leaving";
            "upstream says that it leaves"
        ),
        Change::Pauses(pause) => info!(
            upstream:% = row.id,
            born = row.born,
            told_by = told_by,
            pause_ms = pause.as_millis() as u64,
            asked_ms:? = notice.pause.map(|asked| asked.as_millis()),
            outcome = "paused";
            "upstream asks for a pause"
        ),
        Change::Unreadable => warn!(
            upstream:% = row.id,
            born = row.born,
            told_by = told_by,
            outcome = "ignored";
            "upstream asks for a pause that cannot be read"
        ),
    }
    Some(change)
}
