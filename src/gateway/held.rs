//! Bounds the bytes of all bodies and streams that a host holds at the same time.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use bytes::BytesMut;
use thiserror::Error;
use tokio::sync::Notify;

/// Size up to which a body is held regardless of the others, so that large ones cost small ones nothing.
const MAX_SMALL_BYTES: usize = 16 << 10;

/// Reason for which a body is not held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Excess {
    /// The body itself is too large.
    #[error("larger than {0} bytes")]
    Own(usize),
    /// All bodies together are.
    #[error("one of many that hold more than {0} bytes together")]
    All(usize),
}

/// Memory that a chunk of a stream takes in addition to its content, in bytes.
const CHUNK_OVERHEAD_BYTES: usize = 256;
/// Maximum bytes of one kind that a host without known memory holds: a fifth of 160 MiB.
const MAX_BODY_BYTES: usize = 32 << 20;
/// The same for streams: a tenth.
const MAX_STREAM_BYTES: usize = 16 << 20;

/// Maximum bytes that a host holds, by what they are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Bodies of requests until they are answered.
    pub max_request_bytes: usize,
    /// Full responses until their callers have read them.
    pub max_response_bytes: usize,
    /// Events of streams until their callers have read them.
    pub max_stream_bytes: usize,
}

impl Bounds {
    /// Returns the bounds of a host with this memory in bytes; `None` if it is not known.
    ///
    /// Bodies of requests and of responses may take a fifth of it each, streams a tenth; half is left
    /// for everything else.
    ///
    /// ```
    /// use pistachiohall::gateway::held::Bounds;
    /// assert_eq!(Bounds::of(Some(120 << 20)).max_stream_bytes, 12 << 20);
    /// assert_eq!(Bounds::of(Some(512 << 20)), Bounds::of(None));
    /// ```
    pub fn of(memory: Option<usize>) -> Self {
        let memory = memory.unwrap_or(usize::MAX);
        Bounds {
            max_request_bytes: MAX_BODY_BYTES.min(memory / 5),
            max_response_bytes: MAX_BODY_BYTES.min(memory / 5),
            max_stream_bytes: MAX_STREAM_BYTES.min(memory / 10),
        }
    }
}

/// Bytes of one kind that may be held together.
#[derive(Debug, Clone)]
pub struct Budget {
    held: Arc<AtomicUsize>,
    max_bytes: usize,
    /// Wakes a stream that waits for room.
    room: Arc<Notify>,
}

impl Budget {
    /// Returns a budget of `max_bytes`, of which none are held.
    pub fn new(max_bytes: usize) -> Self {
        Budget {
            held: Arc::default(),
            max_bytes,
            room: Arc::default(),
        }
    }

    /// Returns the number of bytes that are held.
    pub fn held_bytes(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    fn has_room(&self) -> bool {
        self.held_bytes() <= self.max_bytes
    }

    fn take(&self, bytes: usize) -> usize {
        self.held.fetch_add(bytes, Ordering::Relaxed) + bytes
    }

    fn give_back(&self, bytes: usize) {
        self.held.fetch_sub(bytes, Ordering::Relaxed);
        if self.has_room() {
            self.room.notify_one();
        }
    }
}

/// Body that is being received; its bytes count as held until it, and all that was made of it, is
/// dropped.
#[derive(Debug)]
pub struct Body {
    content: BytesMut,
    budget: Budget,
}

impl Body {
    /// Returns an empty body.
    pub fn new(budget: &Budget) -> Self {
        Body {
            content: BytesMut::new(),
            budget: budget.clone(),
        }
    }

    /// Adds the next part of a body of at most `max_bytes`.
    ///
    /// ```
    /// use pistachiohall::gateway::held::{Body, Budget, Excess};
    /// let budget = Budget::new(100_000);
    /// let mut one = Body::new(&budget);
    /// assert_eq!(one.push(&[0; 70_000], 80_000), Ok(()));
    /// assert_eq!(one.push(&[0; 20_000], 80_000), Err(Excess::Own(80_000)));
    /// let mut other = Body::new(&budget);
    /// assert_eq!(other.push(&[0; 20_000], 80_000), Err(Excess::All(100_000)));
    /// drop(one);
    /// assert_eq!(other.push(&[0; 20_000], 80_000), Ok(()));
    /// ```
    ///
    /// # Errors
    ///
    /// Fails if the body or all bodies together are too large; the part counts as held.
    pub fn push(&mut self, part: &[u8], max_bytes: usize) -> Result<(), Excess> {
        self.content.extend_from_slice(part);
        let own = self.content.len();
        let all = self.budget.take(part.len());
        if own > max_bytes {
            return Err(Excess::Own(max_bytes));
        }
        if all > self.budget.max_bytes && own > MAX_SMALL_BYTES {
            return Err(Excess::All(self.budget.max_bytes));
        }
        Ok(())
    }

    /// Returns the content.
    pub fn into_bytes(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for Body {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.budget.give_back(self.content.len());
    }
}

/// What one stream holds for its caller.
#[derive(Debug, Default)]
struct Own {
    held: AtomicUsize,
    /// Wakes the stream when its caller has read a chunk.
    read: Notify,
}

/// Events of one stream that its caller has not read yet.
///
/// Once all streams together hold too much, those whose callers read slowly, and thus hold much
/// themselves, wait until some of it was read; the others go on.
#[derive(Debug, Clone)]
pub struct Unread {
    own: Arc<Own>,
    budget: Budget,
}

impl Unread {
    /// Returns the account of a stream that holds nothing yet.
    pub fn new(budget: &Budget) -> Self {
        Unread {
            own: Arc::default(),
            budget: budget.clone(),
        }
    }

    /// Counts `content` as held until what is returned, and all that was made of it, is dropped.
    ///
    /// ```
    /// use pistachiohall::gateway::held::{Budget, Unread};
    /// let budget = Budget::new(100_000);
    /// let (slow, fast) = (Unread::new(&budget), Unread::new(&budget));
    /// let events = slow.hold(vec![0; 110_000].into());
    /// assert!(!slow.has_room());
    /// assert!(fast.has_room());
    /// drop(events);
    /// assert!(slow.has_room());
    /// ```
    pub fn hold(&self, content: Bytes) -> Bytes {
        let bytes = content.len() + CHUNK_OVERHEAD_BYTES;
        self.budget.take(bytes);
        self.own.held.fetch_add(bytes, Ordering::Relaxed);
        Bytes::from_owner(Chunk {
            content,
            bytes,
            unread: self.clone(),
        })
    }

    /// Returns `true` if the stream may be read further.
    pub fn has_room(&self) -> bool {
        self.own.held.load(Ordering::Relaxed) <= MAX_SMALL_BYTES || self.budget.has_room()
    }

    /// Waits until the stream may be read further.
    pub async fn wait_for_room(&self) {
        while !self.has_room() {
            tokio::select! {
                () = self.own.read.notified() => (),
                () = self.budget.room.notified() => (),
            }
        }
        // What was read may have made room for more than one.
        if self.budget.has_room() {
            self.budget.room.notify_one();
        }
    }
}

/// Chunk of a stream that counts as held.
#[derive(Debug)]
struct Chunk {
    content: Bytes,
    bytes: usize,
    unread: Unread,
}

impl AsRef<[u8]> for Chunk {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

impl Drop for Chunk {
    fn drop(&mut self) {
        let own = &self.unread.own;
        own.held.fetch_sub(self.bytes, Ordering::Relaxed);
        self.unread.budget.give_back(self.bytes);
        own.read.notify_one();
    }
}
