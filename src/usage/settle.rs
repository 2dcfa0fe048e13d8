//! Counts that are settled in the store, so that all reports of a window are the same.
//!
//! The topic has one key for each of a fixed number of slots. A window is settled by a record that is
//! written on the condition that nobody has written since the topic was read, so that of two hosts
//! that settle it only one can.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

use super::MAX_PENDING;
use crate::id::Era;
use crate::log::keyed::Changes;
use crate::log::keyed::Position;
use crate::platform::duties::Counts;
use crate::platform::duties::WindowId;
use crate::platform::store;

/// Number of slots, at least one more than the windows that are still reported.
const SLOTS: u64 = MAX_PENDING + 2;
/// Allowance for the difference between two hosts' estimates of the time.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(1);

/// Settled counts of a window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Number of the window.
    pub window: WindowId,
    /// Counts.
    pub counts: Counts,
}

/// Newest records of the topic, and where it ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settled {
    slots: BTreeMap<u64, Option<Record>>,
    end: Position,
}

/// Era of the store, and when a host learned of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Restore {
    /// Newest era.
    pub era: Era,
    /// True time at which the host learned of it, since the Unix epoch.
    pub learned_at: Duration,
}

/// What to do about a window whose counts are final.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Report these counts, which are settled.
    Report(Counts),
    /// Settle these counts first.
    Settle(Counts),
    /// Do not report the window, for the reason given.
    Skip(&'static str),
}

/// What a host knows of a window.
#[derive(Debug, Clone, Copy)]
pub struct Knowledge<'a> {
    /// Time at which the counts are final, since the Unix epoch.
    pub final_at: Duration,
    /// Counts that this process has tried to settle.
    pub attempted: Option<&'a Attempt>,
    /// Counts that are known now; `None` if none are, and the window began before this process did.
    pub counted: Option<&'a Counts>,
}

/// Counts that a process has tried to settle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// Counts.
    pub counts: Counts,
    /// Era of the store.
    pub era: Era,
    /// Whether the store confirmed them.
    pub is_settled: bool,
}

impl Settled {
    /// Returns the records that were read from the topic.
    pub fn read(changes: Changes) -> Self {
        let slots = changes.records.into_iter().filter_map(|record| {
            let slot = record.key.parse().ok()?;
            // A record that cannot be read may be one of a newer version: its slot is not used.
            let record = serde_json::from_slice(&record.value?).ok();
            Some((slot, record))
        });
        Settled {
            slots: slots.collect(),
            end: changes.next,
        }
    }

    /// Returns the position at which the topic ends.
    pub fn end(&self) -> Position {
        self.end
    }

    /// Returns the counts of a window, if they are settled.
    pub fn counts(&self, window: WindowId) -> Option<&Counts> {
        let record = self.slots.get(&(window % SLOTS))?.as_ref()?;
        (record.window == window).then_some(&record.counts)
    }

    /// Records that `record` was written at `position`.
    pub fn record(&mut self, record: Record, position: Position) {
        let (era, offset) = position.into_parts();
        self.slots.insert(record.window % SLOTS, Some(record));
        self.end = Position::new(era, offset + 1);
    }

    /// Decides what to do about a window.
    ///
    /// A restored store may lack a record by which the window was settled and reported, so that only
    /// the process that settled it may do so again.
    pub fn decide(
        &self,
        window: WindowId,
        knowledge: &Knowledge<'_>,
        restore: Restore,
    ) -> Decision {
        if let Some(counts) = self.counts(window) {
            return Decision::Report(counts.clone());
        }
        match self.slots.get(&(window % SLOTS)) {
            Some(None) => return Decision::Skip("record-unreadable"),
            Some(Some(newer)) if newer.window > window => {
                return Decision::Skip("passed-over");
            }
            Some(Some(_)) | None => (),
        }
        let era = self.end.era();
        if let Some(attempt) = knowledge.attempted
            && attempt.is_settled
        {
            return Decision::Settle(attempt.counts.clone());
        }
        let may_be_lost = restore.era > store::FIRST_ERA
            && knowledge.final_at <= restore.learned_at + CLOCK_TOLERANCE;
        let was_elsewhere = knowledge
            .attempted
            .is_some_and(|attempt| attempt.era != era);
        if may_be_lost || was_elsewhere {
            return Decision::Skip("store-restored");
        }
        match knowledge.counted {
            Some(counts) => Decision::Settle(counts.clone()),
            None => Decision::Skip("not-counted"),
        }
    }
}

/// Returns the key of a window's slot.
///
/// ```
/// use pistachiohall::usage::settle;
/// assert_eq!(settle::key(17), "1");
/// ```
pub fn key(window: WindowId) -> CompactString {
    compact_str::format_compact!("{}", window % SLOTS)
}
