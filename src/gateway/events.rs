//! Splitting a byte stream into complete events.

use bytes::Bytes;
use bytes::BytesMut;
use thiserror::Error;

/// Maximum event; a thousand times the size of one token's event.
pub const MAX_EVENT_BYTES: usize = 256 << 10;
/// Start of the line that holds an event's identifier.
const ID_FIELD: &[u8] = b"id:";

/// An event exceeds the maximum size: the bytes are not a stream of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLarge;

/// Splitter that holds the bytes of an incomplete event and the last complete event's identifier.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    last_id: Option<u64>,
}

impl Splitter {
    /// Adds bytes and returns the events that they complete, if any.
    ///
    /// # Errors
    ///
    /// Fails if an event is larger than [`MAX_EVENT_BYTES`]; the stream cannot continue then.
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
        if self.rest.len() - end > MAX_EVENT_BYTES {
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

    /// Returns `true` if no bytes of an incomplete event are held.
    pub fn is_complete(&self) -> bool {
        self.rest.is_empty()
    }

    /// Returns the identifier of the last complete event that has one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// Returns the length up to and including the last empty line.
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
