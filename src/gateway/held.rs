//! Bounds the bytes of all bodies that a host holds at the same time.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use bytes::BytesMut;
use thiserror::Error;

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

/// Bytes that bodies of one kind may hold together.
#[derive(Debug, Clone)]
pub struct Budget {
    held: Arc<AtomicUsize>,
    max_bytes: usize,
}

impl Budget {
    /// Returns a budget of `max_bytes`, of which none are held.
    pub fn new(max_bytes: usize) -> Self {
        Budget {
            held: Arc::default(),
            max_bytes,
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
        let all = self.budget.held.fetch_add(part.len(), Ordering::Relaxed) + part.len();
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
        let bytes = self.content.len();
        self.budget.held.fetch_sub(bytes, Ordering::Relaxed);
    }
}
