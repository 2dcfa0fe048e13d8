//! Splitting a byte stream into complete events.

use bytes::Bytes;
use bytes::BytesMut;
use thiserror::Error;

/// Maximum event; a thousand times the size of one token's event.
pub const MAX_EVENT_BYTES: usize = 256 << 10;
/// Start of the line that holds an event's identifier.
const ID_FIELD: &[u8] = b"id:";

/// Start of the head of a response.
const HEAD_START: &[u8] = b"HTTP/1.";
/// Start of a line that is a comment.
const COMMENT: u8 = b':';

/// Reason for which bytes cannot continue a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Fault {
    /// An event exceeds the maximum size.
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// The bytes are the head of another response.
    #[error("the head of a response stands among the events")]
    Head,
    /// An event's identifier is not higher than the one before.
    #[error("event {0} follows event {1}, expected a higher identifier")]
    Order(u64, u64),
    /// An event of a resumed stream has no identifier.
    #[error("an event of a resumed stream has no identifier")]
    Unidentified,
}

/// Splitter that holds the bytes of an incomplete event and the last complete event's identifier.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    last_id: Option<u64>,
    /// Whether the events continue a stream that began elsewhere.
    is_continuation: bool,
    fault: Option<Fault>,
}

impl Splitter {
    /// Returns a splitter of a stream that begins after an event, if there is one.
    pub fn after(event: Option<u64>) -> Self {
        Splitter {
            last_id: event,
            ..Splitter::default()
        }
    }

    /// Returns a splitter of the rest of a stream that began elsewhere and broke off after an event, if
    /// there was one. As what follows may be an error, each event needs an identifier.
    pub fn continuing(event: Option<u64>) -> Self {
        Splitter {
            is_continuation: true,
            ..Splitter::after(event)
        }
    }

    /// Adds bytes and returns the events that they complete, if any.
    ///
    /// # Errors
    ///
    /// Fails with a [`Fault`] if what follows the events returned so far cannot continue the stream.
    ///
    /// ```
    /// use pistachiohall::gateway::events::Splitter;
    /// let mut splitter = Splitter::default();
    /// let events = splitter.push(b"id: 7\ndata: a\n\nid: 8\nda").unwrap();
    /// assert_eq!(events, Some("id: 7\ndata: a\n\n".into()));
    /// assert_eq!(splitter.last_id(), Some(7));
    /// assert!(!splitter.is_complete());
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, Fault> {
        if let Some(fault) = self.fault {
            return Err(fault);
        }
        let searched = self.rest.len().saturating_sub(3);
        self.rest.extend_from_slice(bytes);
        let end = last_end(&self.rest[searched..]).map_or(0, |end| searched + end);
        if self.rest.len() - end > MAX_EVENT_BYTES {
            return Err(Fault::TooLarge);
        }
        if end == 0 {
            return Ok(None);
        }
        let mut events = self.rest.split_to(end);
        let (valid, fault) = self.check(&events);
        self.fault = fault;
        events.truncate(valid);
        match (fault, events.is_empty()) {
            (Some(fault), true) => Err(fault),
            (_, _) => Ok(Some(events.freeze())),
        }
    }

    /// Returns the length of the events that continue the stream, and the fault of the next one.
    fn check(&mut self, events: &[u8]) -> (usize, Option<Fault>) {
        let mut event = Event::default();
        let (mut valid, mut position) = (0, 0);
        for line in events.split_inclusive(|byte| *byte == b'\n') {
            position += line.len();
            let line = line.strip_suffix(b"\n").unwrap_or(line);
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if !line.is_empty() {
                event.add(line);
                continue;
            }
            if let Some(fault) = self.fault_of(&event) {
                return (valid, Some(fault));
            }
            self.last_id = event.id.or(self.last_id);
            event = Event::default();
            valid = position;
        }
        (valid, None)
    }

    fn fault_of(&self, event: &Event) -> Option<Fault> {
        match (event.id, self.last_id) {
            _ if event.is_head => Some(Fault::Head),
            (Some(id), Some(last)) if id <= last => Some(Fault::Order(id, last)),
            (None, _) if self.is_continuation && event.has_fields => Some(Fault::Unidentified),
            _ => None,
        }
    }

    /// Returns `true` if no bytes are held that were not returned as events.
    pub fn is_complete(&self) -> bool {
        self.rest.is_empty() && self.fault.is_none()
    }

    /// Returns the identifier of the last event that has one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }
}

/// What the lines of an event say.
#[derive(Debug, Default)]
struct Event {
    id: Option<u64>,
    is_head: bool,
    /// Whether there is a line other than a comment.
    has_fields: bool,
}

impl Event {
    fn add(&mut self, line: &[u8]) {
        self.is_head |= !self.has_fields && line.starts_with(HEAD_START);
        self.has_fields |= line.first() != Some(&COMMENT);
        if let Some(value) = line.strip_prefix(ID_FIELD) {
            let text = std::str::from_utf8(value).ok();
            self.id = text.and_then(|text| text.trim().parse().ok()).or(self.id);
        }
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
