//! Cuts a stream of bytes into whole events.

use bytes::Bytes;
use bytes::BytesMut;

/// Largest event that is waited for, in bytes.
const EVENT_BYTES: usize = 1 << 20;
/// Start of the line that carries an event's identifier.
const ID_FIELD: &[u8] = b"id:";

/// Bytes of a stream that do not make a whole event yet, and the last whole event's identifier.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    last_id: Option<u64>,
}

impl Splitter {
    /// Takes in bytes and returns the whole events that they complete, if any.
    ///
    /// Returns nothing more once an event is larger than a megabyte; `is_whole` then tells.
    ///
    /// ```
    /// use pistachiohall::gateway::events::Splitter;
    /// let mut splitter = Splitter::default();
    /// assert_eq!(splitter.push(b"id: 7\ndata: a\n\nid: 8\nda"), Some("id: 7\ndata: a\n\n".into()));
    /// assert_eq!(splitter.last_id(), Some(7));
    /// assert!(!splitter.is_whole());
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let searched = self.rest.len().saturating_sub(3);
        if self.rest.len() + bytes.len() <= EVENT_BYTES {
            self.rest.extend_from_slice(bytes);
        }
        let end = searched + last_end(&self.rest[searched..])?;
        let events = self.rest.split_to(end).freeze();
        if let Some(id) = newest_id(&events) {
            self.last_id = Some(id);
        }
        Some(events)
    }

    /// Returns whether all bytes made whole events.
    pub fn is_whole(&self) -> bool {
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
