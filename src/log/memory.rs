//! Log and list of hosts in memory, with injected faults.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;

use serde_json::Value;

use super::AppendError;
use super::Batch;
use super::Entry;
use super::Host;
use super::List;
use super::Log;
use super::ReadError;
use crate::id::Offset;

/// Maximum number of records that one read returns.
const MAX_READ_RECORDS: usize = 512;

/// Injected fault of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Neither log nor list responds.
    Outage,
    /// The next append takes effect, but its response is lost.
    LostAnswer,
}

#[derive(Debug, Default)]
struct Stream {
    first: Offset,
    records: VecDeque<Value>,
}

#[derive(Debug, Default)]
struct Inner {
    streams: BTreeMap<String, Stream>,
    fault: Option<Fault>,
    retention: Option<usize>,
    hosts: Vec<Host>,
    appends: u64,
}

/// Log and list of hosts in memory.
#[derive(Debug, Default)]
pub struct InMemory {
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl InMemory {
    /// Returns a log that keeps at most `records` records of each stream.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pistachiohall::log::{memory::InMemory, Log};
    /// let log = InMemory::with_retention(1);
    /// log.append("s", &1.into()).unwrap();
    /// log.append("s", &2.into()).unwrap();
    /// let batch = log.read("s", 0, Duration::ZERO).unwrap();
    /// assert_eq!((batch.first, batch.records.len()), (1, 1));
    /// ```
    pub fn with_retention(records: usize) -> Self {
        let memory = InMemory::default();
        memory.inner.lock().expect("log lock").retention = Some(records);
        memory
    }

    /// Sets the injected fault, or clears it.
    pub fn set_fault(&self, fault: Option<Fault>) {
        self.inner.lock().expect("log lock").fault = fault;
        self.changed.notify_all();
    }

    /// Drops the records of a stream before offset `first`, as the retention time does.
    pub fn trim(&self, stream: &str, first: Offset) {
        let mut inner = self.inner.lock().expect("log lock");
        let Some(kept) = inner.streams.get_mut(stream) else {
            return;
        };
        while kept.first < first && kept.records.pop_front().is_some() {
            kept.first += 1;
        }
    }

    /// Replaces the list of hosts.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        self.inner.lock().expect("log lock").hosts = hosts;
    }

    /// Edits the list of hosts in place.
    pub fn edit_hosts<F>(&self, edit: F)
    where
        F: FnOnce(&mut Vec<Host>),
    {
        edit(&mut self.inner.lock().expect("log lock").hosts);
    }

    /// Returns the number of appends that took effect.
    pub fn appends(&self) -> u64 {
        self.inner.lock().expect("log lock").appends
    }
}

impl Log for InMemory {
    fn append(&self, stream: &str, data: &Value) -> Result<Offset, AppendError> {
        let mut inner = self.inner.lock().expect("log lock");
        if inner.fault == Some(Fault::Outage) {
            return Err(AppendError::Refused("outage".to_owned()));
        }
        let retention = inner.retention.unwrap_or(usize::MAX);
        inner.appends += 1;
        let kept = inner.streams.entry(stream.to_owned()).or_default();
        kept.records.push_back(data.clone());
        let offset = kept.first + kept.records.len() as u64 - 1;
        while kept.records.len() > retention {
            kept.records.pop_front();
            kept.first += 1;
        }
        self.changed.notify_all();
        if inner.fault == Some(Fault::LostAnswer) {
            inner.fault = None;
            return Err(AppendError::Unknown("answer lost".to_owned()));
        }
        Ok(offset)
    }

    fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        let mut inner = self.inner.lock().expect("log lock");
        let has_newer_records = |inner: &Inner| {
            inner
                .streams
                .get(stream)
                .is_some_and(|kept| kept.first + kept.records.len() as u64 > from)
        };
        if !has_newer_records(&inner) && inner.fault != Some(Fault::Outage) && !wait.is_zero() {
            inner = self
                .changed
                .wait_timeout_while(inner, wait, |inner| {
                    !has_newer_records(inner) && inner.fault != Some(Fault::Outage)
                })
                .expect("log lock")
                .0;
        }
        if inner.fault == Some(Fault::Outage) {
            return Err(ReadError("outage".to_owned()));
        }
        Ok(inner
            .streams
            .get(stream)
            .map_or_else(Batch::default, |kept| batch(kept, from)))
    }
}

fn batch(kept: &Stream, from: Offset) -> Batch {
    let skip = from.saturating_sub(kept.first) as usize;
    Batch {
        first: kept.first,
        end: kept.first + kept.records.len() as u64,
        records: kept
            .records
            .iter()
            .enumerate()
            .skip(skip)
            .take(MAX_READ_RECORDS)
            .map(|(index, data)| Entry {
                offset: kept.first + index as u64,
                data: data.clone(),
            })
            .collect(),
    }
}

impl List for InMemory {
    fn hosts(&self) -> Result<Vec<Host>, ReadError> {
        let inner = self.inner.lock().expect("log lock");
        if inner.fault == Some(Fault::Outage) {
            return Err(ReadError("outage".to_owned()));
        }
        Ok(inner.hosts.clone())
    }
}
