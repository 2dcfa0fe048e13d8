//! The platform's log as hosts see it, with lost responses, late appends and outages.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use pistachiohall::clock::Clock;
use pistachiohall::clock::Mock;
use pistachiohall::id::Offset;
use pistachiohall::log::AppendError;
use pistachiohall::log::Batch;
use pistachiohall::log::Log;
use pistachiohall::log::ReadError;
use pistachiohall::log::memory::InMemory;
use serde_json::Value;

use super::RETENTION;
use super::STREAM;

/// Behavior of the log on an append.
#[derive(Debug, Clone, Copy)]
pub enum Append {
    Responds,
    LosesResponse,
    Late,
    Outage,
    SameCallAt(usize),
}

/// The log, with the appends that haven't reached it yet.
pub struct Stream {
    pub clock: Mock,
    pub memory: InMemory,
    pub appended: Mutex<Vec<(Offset, Instant)>>,
    pub late: Mutex<Vec<Value>>,
}

impl Stream {
    pub fn append(&self, data: &Value) -> Offset {
        let offset = self.memory.append(STREAM, data).unwrap();
        self.appended
            .lock()
            .unwrap()
            .push((offset, self.clock.now()));
        offset
    }

    /// Drops the records that are older than the retention.
    pub fn trim(&self) {
        let now = self.clock.now();
        let mut appended = self.appended.lock().unwrap();
        let is_expired = |at: Instant| now.duration_since(at) > RETENTION;
        let expired = appended.iter().filter(|(_, at)| is_expired(*at)).count();
        if expired > 0 {
            self.memory.trim(STREAM, appended[expired - 1].0 + 1);
            appended.drain(..expired);
        }
    }
}

/// The log as one host sees it.
pub struct HostLog {
    pub stream: Arc<Stream>,
    pub append: Append,
    pub is_partitioned: bool,
}

impl Log for HostLog {
    fn append(&self, _stream: &str, data: &Value) -> Result<Offset, AppendError> {
        let unknown = || AppendError::Unknown("lost".to_owned());
        match self.append {
            _ if self.is_partitioned => Err(AppendError::Refused("partitioned".to_owned())),
            Append::Outage => Err(AppendError::Refused("outage".to_owned())),
            Append::Responds | Append::SameCallAt(_) => Ok(self.stream.append(data)),
            Append::LosesResponse => {
                self.stream.append(data);
                Err(unknown())
            }
            Append::Late => {
                self.stream.late.lock().unwrap().push(data.clone());
                Err(unknown())
            }
        }
    }

    fn read(&self, stream: &str, from: Offset, wait: Duration) -> Result<Batch, ReadError> {
        match self.is_partitioned || matches!(self.append, Append::Outage) {
            true => Err(ReadError("outage".to_owned())),
            false => self.stream.memory.read(stream, from, wait),
        }
    }
}
