//! The state of one reader of a stream.

use std::collections::VecDeque;

use log::error;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::fold::Fold;
use crate::id::Offset;
use crate::log::Batch;
use crate::log::Entry;

/// Maximum number of raw records that are kept for peers.
const MAX_KEPT_RECORDS: usize = 256;

/// Newer records or state that one reader sends another.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Suffix {
    /// Records in order, the first at the requested offset.
    Records(Vec<Entry>),
    /// The state that includes all records up to and including an offset.
    State(Offset, Value),
    /// The sender has nothing newer.
    Nothing,
}

/// Folds the records of one stream.
///
/// A reader that joins after records were deleted starts from a snapshot, and holds later records
/// back until it has one.
#[derive(Debug, Default)]
pub struct Reader<S> {
    state: S,
    next: Offset,
    is_ready: bool,
    needs_snapshot: bool,
    held_back: Vec<Entry>,
    kept: VecDeque<Entry>,
    newest_snapshot: Option<Offset>,
    first: Offset,
}

impl<S> Reader<S>
where
    S: Fold,
{
    /// Returns the state.
    pub fn state(&self) -> &S {
        &self.state
    }

    /// Returns the offset that follows the last applied record.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns `true` if the state is complete.
    pub fn is_ready(&self) -> bool {
        self.is_ready
    }

    /// Returns the offset of the newest snapshot seen and of the oldest record kept by the log.
    pub fn snapshot_age(&self) -> (Option<Offset>, Offset) {
        (self.newest_snapshot, self.first)
    }

    /// Applies a batch read from `next` on and returns `true` if the state advanced.
    pub fn apply_batch(&mut self, batch: &Batch) -> bool {
        let before = (self.next, self.is_ready);
        self.first = self.first.max(batch.first);
        if batch.first > self.next {
            self.next = batch.first;
            self.is_ready = false;
            self.needs_snapshot = S::NEEDS_SNAPSHOT;
            self.held_back.clear();
            self.kept.clear();
        }
        for entry in &batch.records {
            self.apply_entry(entry);
        }
        if !self.needs_snapshot && self.next >= batch.end {
            self.is_ready = true;
        }
        self.state.forget(batch.first);
        (self.next, self.is_ready) != before
    }

    fn apply_entry(&mut self, entry: &Entry) {
        if entry.offset < self.next {
            return;
        }
        self.next = entry.offset + 1;
        self.keep(entry);
        let record: S::Record = match serde_json::from_value(entry.data.clone()) {
            Ok(record) => record,
            Err(cause) => {
                error!(offset = entry.offset, cause:% = cause; "record unreadable");
                return;
            }
        };
        if let Some((as_of, state)) = S::snapshot(&record) {
            self.newest_snapshot = Some(entry.offset);
            if self.needs_snapshot {
                self.adopt(as_of, state);
            }
        } else if self.needs_snapshot {
            self.held_back.push(entry.clone());
        } else {
            self.state.fold(entry.offset, &record);
        }
    }

    fn adopt(&mut self, as_of: Offset, state: S) {
        if as_of + 1 < self.first {
            return;
        }
        self.state = state;
        self.needs_snapshot = false;
        for entry in std::mem::take(&mut self.held_back) {
            let record = serde_json::from_value(entry.data.clone());
            if let (true, Ok(record)) = (entry.offset > as_of, record) {
                self.state.fold(entry.offset, &record);
            }
        }
    }

    fn keep(&mut self, entry: &Entry) {
        self.kept.push_back(entry.clone());
        if self.kept.len() > MAX_KEPT_RECORDS {
            self.kept.pop_front();
        }
    }

    /// Returns raw records from `from` on, or the full state if they are no longer kept.
    pub fn suffix(&self, from: Offset) -> Suffix {
        if !self.is_ready || from >= self.next {
            return Suffix::Nothing;
        }
        match self.kept.front() {
            Some(oldest) if oldest.offset <= from => {
                let newer = self.kept.iter().filter(|entry| entry.offset >= from);
                Suffix::Records(newer.cloned().collect())
            }
            _ => match serde_json::to_value(&self.state) {
                Ok(state) => Suffix::State(self.next - 1, state),
                Err(_) => Suffix::Nothing,
            },
        }
    }

    /// Applies a suffix from a peer and returns `true` if the state advanced.
    pub fn apply_suffix(&mut self, suffix: Suffix) -> bool {
        let before = self.next;
        match suffix {
            Suffix::Records(entries) => {
                let continues = entries
                    .first()
                    .is_some_and(|entry| entry.offset <= self.next);
                if continues && !self.needs_snapshot {
                    entries.iter().for_each(|entry| self.apply_entry(entry));
                    self.is_ready = true;
                }
            }
            Suffix::State(as_of, state) if as_of >= self.next || !self.is_ready => {
                if as_of + 1 < self.next {
                    return false;
                }
                if let Ok(state) = serde_json::from_value(state) {
                    self.state = state;
                    self.next = as_of + 1;
                    self.is_ready = true;
                    self.needs_snapshot = false;
                    self.held_back.clear();
                    self.kept.clear();
                }
            }
            Suffix::State(..) | Suffix::Nothing => {}
        }
        self.next != before
    }
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use crate::fold::config::Config;

    use super::*;

    fn batch(first: Offset, data: Vec<Value>) -> Batch {
        let entry = |(index, data)| Entry {
            offset: first + index as u64,
            data,
        };
        Batch {
            first,
            end: first + data.len() as u64,
            records: data.into_iter().enumerate().map(entry).collect(),
        }
    }

    #[test]
    fn records_from_before_a_gap_are_not_sent_to_peers() {
        let mut reader = Reader::<Config>::default();
        reader.apply_batch(&batch(0, vec![json!({ "noise": 0 })]));
        let state = serde_json::to_value(Config::default()).unwrap();
        let snapshot = json!({ "snapshot": { "as_of": 1, "state": state } });
        reader.apply_batch(&batch(2, vec![snapshot]));
        assert!(reader.is_ready());
        assert!(matches!(reader.suffix(0), Suffix::State(2, _)));
    }

    #[test]
    fn a_reader_that_waits_for_a_snapshot_refuses_a_peers_older_state() {
        let mut reader = Reader::<Config>::default();
        let noise = |number: u64| json!({ "noise": number });
        reader.apply_batch(&batch(0, (0..5).map(noise).collect()));
        reader.apply_batch(&batch(9, vec![noise(9)]));
        assert!(!reader.is_ready());
        let state = serde_json::to_value(Config::default()).unwrap();
        assert!(!reader.apply_suffix(Suffix::State(2, state.clone())));
        assert!(!reader.is_ready());
        assert!(reader.apply_suffix(Suffix::State(10, state)));
        assert!(reader.is_ready());
    }
}
