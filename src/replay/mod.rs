//! Following a stream of the log and keeping the state that it builds.

mod reader;

use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use log::warn;
use serde_json::Value;

pub use self::reader::Reader;
pub use self::reader::Suffix;
use crate::clock::Clock;
use crate::duty::StopFlag;
use crate::fold::Fold;
use crate::id::Offset;
use crate::log::Log;

/// Longest wait of one read for news.
const READ_WAIT: Duration = Duration::from_millis(1000);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A replica of a stream's state, shared between threads.
#[derive(Debug)]
pub struct Replica<S> {
    stream: String,
    reader: Mutex<Reader<S>>,
    moved: Condvar,
}

impl<S> Replica<S>
where
    S: Fold,
{
    /// Returns an empty replica of `stream`.
    ///
    /// ```
    /// use pistachiohall::fold::config::Config;
    /// use pistachiohall::replay::Replica;
    /// assert!(!Replica::<Config>::new("config").is_ready());
    /// ```
    pub fn new(stream: &str) -> Self {
        Replica {
            stream: stream.to_owned(),
            reader: Mutex::default(),
            moved: Condvar::new(),
        }
    }

    /// Returns the stream's name.
    pub fn stream(&self) -> &str {
        &self.stream
    }

    /// Returns whether the state includes everything that the log kept when it was read.
    pub fn is_ready(&self) -> bool {
        self.lock().is_ready()
    }

    /// Returns the offset that follows the last record taken in.
    pub fn next(&self) -> Offset {
        self.lock().next()
    }

    /// Calls `view` with the state.
    pub fn with<F, T>(&self, view: F) -> T
    where
        F: FnOnce(&S) -> T,
    {
        view(self.lock().state())
    }

    /// Waits until `found` returns a value for the state, or `limit` passes.
    pub fn wait_for<F, T>(&self, limit: Duration, mut found: F) -> Option<T>
    where
        F: FnMut(&S) -> Option<T>,
    {
        let mut result = None;
        let guard = self.lock();
        let _unused = self
            .moved
            .wait_timeout_while(guard, limit, |reader| {
                result = found(reader.state());
                result.is_none()
            })
            .expect("replica lock");
        result
    }

    /// Wakes those who wait, so that they look again.
    pub fn notify_waiters(&self) {
        drop(self.lock());
        self.moved.notify_all();
    }

    /// Reads the log once; returns whether the state moved.
    pub fn poll<L>(&self, log: &L, wait: Duration) -> Result<bool, crate::log::ReadError>
    where
        L: Log,
    {
        let from = self.next();
        let batch = log.read(&self.stream, from, wait)?;
        let moved = self.lock().take(&batch);
        self.moved.notify_all();
        Ok(moved)
    }

    /// Returns raw records from `from` on, or the whole state where they are gone.
    pub fn suffix(&self, from: Offset) -> Suffix {
        self.lock().suffix(from)
    }

    /// Takes in what a peer handed on; the state never goes to a lower offset.
    pub fn take_suffix(&self, suffix: Suffix) -> bool {
        let moved = self.lock().take_suffix(suffix);
        self.moved.notify_all();
        moved
    }

    /// Returns the offset of the newest snapshot seen and of the oldest record kept.
    pub fn snapshot_age(&self) -> (Option<Offset>, Offset) {
        self.lock().snapshot_age()
    }

    /// Returns the state as JSON with the last offset that it includes.
    pub fn export(&self) -> Option<(Offset, Value)> {
        let reader = self.lock();
        let as_of = reader.next().checked_sub(1)?;
        let state = serde_json::to_value(reader.state()).ok()?;
        reader.is_ready().then_some((as_of, state))
    }

    /// Follows the log until asked to stop; calls `changed` after each move.
    pub fn follow<L, C, F>(self: &Arc<Self>, log: &L, clock: &C, stop: &StopFlag, mut changed: F)
    where
        L: Log,
        C: Clock,
        F: FnMut(),
    {
        let mut failing = false;
        while !stop.asked() {
            match self.poll(log, READ_WAIT) {
                Ok(moved) => {
                    failing = false;
                    if moved {
                        changed();
                    }
                }
                Err(cause) => {
                    if !failing {
                        warn!(stream:% = self.stream, cause:% = cause; "read failed");
                    }
                    failing = true;
                    clock.sleep(RETRY_PAUSE);
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Reader<S>> {
        self.reader.lock().expect("replica lock")
    }
}
