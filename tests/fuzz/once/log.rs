//! The log as hosts reach it, with lost and late answers.

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

/// What the log does with an append.
#[derive(Debug, Clone, Copy)]
pub enum Append {
    Answers,
    LosesAnswer,
    Late,
    Out,
    SameCallAt(usize),
}

/// The log, with the appends that have not reached it yet.
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

    /// Drops what is older than the retention.
    pub fn trim(&self) {
        let now = self.clock.now();
        let mut appended = self.appended.lock().unwrap();
        let is_gone = |at: Instant| now.duration_since(at) > RETENTION;
        let gone = appended.iter().filter(|(_, at)| is_gone(*at)).count();
        if gone > 0 {
            self.memory.trim(STREAM, appended[gone - 1].0 + 1);
            appended.drain(..gone);
        }
    }
}

/// The log as one host reaches it.
pub struct Wire {
    pub stream: Arc<Stream>,
    pub append: Append,
    pub cut: bool,
}

impl Log for Wire {
    fn append(&self, _stream: &str, data: &Value) -> Result<Offset, AppendError> {
        let unknown = || AppendError::Unknown("lost".to_owned());
        match self.append {
            _ if self.cut => Err(AppendError::Refused("cut".to_owned())),
            Append::Out => Err(AppendError::Refused("out".to_owned())),
            Append::Answers | Append::SameCallAt(_) => Ok(self.stream.append(data)),
            Append::LosesAnswer => {
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
        match self.cut || matches!(self.append, Append::Out) {
            true => Err(ReadError("out".to_owned())),
            false => self.stream.memory.read(stream, from, wait),
        }
    }
}
