//! Replicas, which follow a stream of the log and hold the state that its records build.

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

/// Maximum wait of one read for new records.
const READ_WAIT: Duration = Duration::from_millis(1000);
/// Delay after a failed read.
const RETRY_BACKOFF: Duration = Duration::from_millis(100);

/// A replica of a stream's state, shared between threads.
#[derive(Debug)]
pub struct Replica<S> {
    stream: String,
    reader: Mutex<Reader<S>>,
    has_advanced: Condvar,
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
            has_advanced: Condvar::new(),
        }
    }

    /// Returns the stream's name.
    pub fn stream(&self) -> &str {
        &self.stream
    }

    /// Returns `true` if the state includes everything that the log kept when it was read.
    pub fn is_ready(&self) -> bool {
        self.lock().is_ready()
    }

    /// Returns the offset that follows the last applied record.
    pub fn next(&self) -> Offset {
        self.lock().next()
    }

    /// Calls `view` with the state and returns its result.
    pub fn with<F, T>(&self, view: F) -> T
    where
        F: FnOnce(&S) -> T,
    {
        view(self.lock().state())
    }

    /// Waits until `find` returns a value for the state, or `limit` passes.
    pub fn wait_for<F, T>(&self, limit: Duration, mut find: F) -> Option<T>
    where
        F: FnMut(&S) -> Option<T>,
    {
        let mut result = None;
        let guard = self.lock();
        let _unused = self
            .has_advanced
            .wait_timeout_while(guard, limit, |reader| {
                result = find(reader.state());
                result.is_none()
            })
            .expect("replica lock");
        result
    }

    /// Wakes all threads in [`Replica::wait_for`], so that they check the state again.
    pub fn notify_waiters(&self) {
        drop(self.lock());
        self.has_advanced.notify_all();
    }

    /// Reads the log once and returns `true` if the state advanced.
    ///
    /// # Errors
    ///
    /// Returns the error of the read.
    pub fn poll<L>(&self, log: &L, wait: Duration) -> Result<bool, crate::log::ReadError>
    where
        L: Log,
    {
        let from = self.next();
        let batch = log.read(&self.stream, from, wait)?;
        let advanced = self.lock().apply_batch(&batch);
        self.has_advanced.notify_all();
        Ok(advanced)
    }

    /// Returns raw records from `from` on, or the full state if they are no longer kept.
    pub fn suffix(&self, from: Offset) -> Suffix {
        self.lock().suffix(from)
    }

    /// Applies a suffix from a peer and returns `true` if the state advanced.
    ///
    /// The state never goes back to a lower offset.
    pub fn apply_suffix(&self, suffix: Suffix) -> bool {
        let advanced = self.lock().apply_suffix(suffix);
        self.has_advanced.notify_all();
        advanced
    }

    /// Returns the offset of the newest snapshot seen and of the oldest record kept.
    pub fn snapshot_age(&self) -> (Option<Offset>, Offset) {
        self.lock().snapshot_age()
    }

    /// Returns the state as JSON with the last offset that it includes, if the replica is ready.
    pub fn export(&self) -> Option<(Offset, Value)> {
        let reader = self.lock();
        let as_of = reader.next().checked_sub(1)?;
        let state = serde_json::to_value(reader.state()).ok()?;
        reader.is_ready().then_some((as_of, state))
    }

    /// Follows the log until asked to stop, and calls `changed` each time the state advances.
    pub fn follow<L, C, F>(self: &Arc<Self>, log: &L, clock: &C, stop: &StopFlag, mut changed: F)
    where
        L: Log,
        C: Clock,
        F: FnMut(),
    {
        let mut is_failing = false;
        while !stop.asked() {
            match self.poll(log, READ_WAIT) {
                Ok(advanced) => {
                    is_failing = false;
                    if advanced {
                        changed();
                    }
                }
                Err(cause) => {
                    if !is_failing {
                        warn!(stream:% = self.stream, cause:% = cause; "read failed");
                    }
                    is_failing = true;
                    clock.sleep(RETRY_BACKOFF);
                }
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Reader<S>> {
        self.reader.lock().expect("replica lock")
    }
}
