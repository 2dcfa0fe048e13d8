//! Cuts a stream of bytes into whole events.

use bytes::Bytes;
use bytes::BytesMut;
use thiserror::Error;

/// Largest event that is waited for, in bytes; a thousand times that of a token.
pub const EVENT_BYTES: usize = 256 << 10;
/// Start of the line that carries an event's identifier.
const ID_FIELD: &[u8] = b"id:";

/// An event is larger than any that is waited for: the bytes are no stream of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("an event is larger than {EVENT_BYTES} bytes")]
pub struct EventTooLarge;

/// Bytes of a stream that do not make a whole event yet, and the last whole event's identifier.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    last_id: Option<u64>,
}

impl Splitter {
    /// Takes in bytes and returns the whole events that they complete, if any.
    ///
    /// # Errors
    ///
    /// Fails once an event is larger than [`EVENT_BYTES`]; the stream cannot go on then.
    ///
    /// ```
    /// use pistachiohall::gateway::events::Splitter;
    /// let mut splitter = Splitter::default();
    /// let events = splitter.push(b"id: 7\ndata: a\n\nid: 8\nda").unwrap();
    /// assert_eq!(events, Some("id: 7\ndata: a\n\n".into()));
    /// assert_eq!(splitter.last_id(), Some(7));
    /// assert!(!splitter.is_complete());
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, EventTooLarge> {
        let searched = self.rest.len().saturating_sub(3);
        self.rest.extend_from_slice(bytes);
        let end = last_end(&self.rest[searched..]).map_or(0, |end| searched + end);
        if self.rest.len() - end > EVENT_BYTES {
            return Err(EventTooLarge);
        }
        if end == 0 {
            return Ok(None);
        }
        let events = self.rest.split_to(end).freeze();
        if let Some(id) = newest_id(&events) {
            self.last_id = Some(id);
        }
        Ok(Some(events))
    }

    /// Returns whether all bytes made whole events.
    pub fn is_complete(&self) -> bool {
        self.rest.is_empty()
    }

    /// Returns the identifier of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// Returns the length up to the end of the last empty line.
fn last_end(bytes: &[u8]) -> Option<usize> {
    (0..bytes.len()).rev().find_map(|index| {
        let tail = &bytes[index..];
        let is_end = tail.starts_with(b"\n\n") || tail.starts_with(b"\n\r\n");
        is_end.then(|| index + if tail[1] == b'\n' { 2 } else { 3 })
    })
}

fn newest_id(events: &[u8]) -> Option<u64> {
    events
        .split(|byte| *byte == b'\n')
        .rev()
        .find_map(|line| line.strip_prefix(ID_FIELD))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}
