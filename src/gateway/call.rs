//! Requests as the gateway handles them.

use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compact_str::CompactString;
use http::HeaderMap;
use http::Method;
use http::Uri;

use crate::catalog::Account;
use crate::catalog::KeyDigest;
use crate::catalog::Route;
use crate::catalog::Version;
use crate::id::BlockId;
use crate::id::CallId;
use crate::id::Fingerprint;
use crate::id::ServiceId;

/// A block of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Block {
    /// Identifier; equal blocks of several prompts share it.
    pub id: BlockId,
    /// Number of tokens.
    pub tokens: u64,
}

/// Sizes of a request to a model, and the blocks of its prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Number of tokens of the prompt.
    pub tokens: u64,
    /// Maximum number of generated tokens.
    pub max_generated: u64,
    /// Name of the model; empty if the request names none.
    pub model: CompactString,
    /// Blocks in order; the last one belongs to this request alone.
    pub blocks: Vec<Block>,
}

impl Prompt {
    /// Returns the number of tokens in blocks that other requests may share.
    ///
    /// ```
    /// use pistachiohall::gateway::call::{Block, Prompt};
    /// let block = |id, tokens| Block { id, tokens };
    /// let blocks = vec![block(1, 10), block(2, 20), block(3, 40)];
    /// assert_eq!(Prompt { blocks, ..Prompt::default() }.shared_tokens(), 30);
    /// ```
    pub fn shared_tokens(&self) -> u64 {
        self.shared_blocks().iter().map(|block| block.tokens).sum()
    }

    /// Returns the blocks that other requests may share: all but the last.
    ///
    /// ```
    /// use pistachiohall::gateway::call::{Block, Prompt};
    /// let block = |id| Block { id, tokens: 10 };
    /// let prompt = Prompt { blocks: vec![block(1), block(2)], ..Prompt::default() };
    /// assert_eq!(prompt.shared_blocks(), [block(1)]);
    /// assert!(Prompt::default().shared_blocks().is_empty());
    /// ```
    pub fn shared_blocks(&self) -> &[Block] {
        &self.blocks[..self.blocks.len().saturating_sub(1)]
    }

    /// Returns the last block that other requests may share, by which requests are kept together.
    ///
    /// A prompt of a single block is its own key.
    ///
    /// ```
    /// use pistachiohall::gateway::call::{Block, Prompt};
    /// let block = |id| Block { id, tokens: 10 };
    /// let prompt = Prompt { blocks: vec![block(1), block(2), block(3)], ..Prompt::default() };
    /// assert_eq!(prompt.affinity_key(), Some(2));
    /// ```
    pub fn affinity_key(&self) -> Option<BlockId> {
        let shared = self.blocks.len().checked_sub(2);
        shared
            .or(self.blocks.len().checked_sub(1))
            .map(|index| self.blocks[index].id)
    }
}

/// A caller's request, decoded but not yet matched with a route.
#[derive(Debug, Clone)]
pub struct Request {
    /// Identifier of this attempt of the caller.
    pub id: CallId,
    /// Host name.
    pub host: CompactString,
    /// Method.
    pub method: Method,
    /// Path and query, passed on unchanged.
    pub uri: Uri,
    /// Time for which the caller waits, counted from when it sent the request.
    pub timeout: Duration,
    /// Event after which a resumed stream continues.
    pub after_event: Option<u64>,
    /// Attempt that brought the first event of the stream to be resumed.
    pub resumes: Option<CallId>,
    /// Prompt of a request to a model.
    pub prompt: Option<Prompt>,
    /// Digest of the caller's key; `None` if the request has no readable one.
    pub key: Option<KeyDigest>,
    /// Header fields to pass on.
    pub forward: HeaderMap,
}

/// Returns a digest of the request's content and its caller, which is equal for all attempts of one
/// request.
///
/// Without a body, the blocks of the prompt are hashed as the content.
pub fn fingerprint(request: &Request, body: &[u8]) -> Fingerprint {
    let mut hasher = std::hash::DefaultHasher::new();
    request.method.hash(&mut hasher);
    request.host.hash(&mut hasher);
    request.uri.path_and_query().hash(&mut hasher);
    for value in request.forward.get_all(http::header::AUTHORIZATION) {
        value.as_bytes().hash(&mut hasher);
    }
    body.hash(&mut hasher);
    if let (true, Some(prompt)) = (body.is_empty(), &request.prompt) {
        (prompt.tokens, prompt.max_generated).hash(&mut hasher);
        for block in &prompt.blocks {
            (block.id, block.tokens).hash(&mut hasher);
        }
    }
    hasher.finish()
}

/// Returns digests of the prompt's blocks that other requests may share, which are equal in all
/// prompts for the same model.
///
/// ```
/// use pistachiohall::gateway::call;
/// use pistachiohall::gateway::call::{Block, Prompt};
/// let block = |id, tokens| Block { id, tokens };
/// let prompt = |blocks| Prompt { blocks, ..Prompt::default() };
/// let one = call::block_fingerprints(&prompt(vec![block(1, 10), block(2, 20)]));
/// let other = call::block_fingerprints(&prompt(vec![block(5, 10), block(1, 10), block(6, 20)]));
/// assert_eq!(one, other[1..]);
/// ```
pub fn block_fingerprints(prompt: &Prompt) -> Vec<Fingerprint> {
    let fingerprint = |block: &Block| {
        let mut hasher = std::hash::DefaultHasher::new();
        (&prompt.model, block.id).hash(&mut hasher);
        hasher.finish()
    };
    prompt.shared_blocks().iter().map(fingerprint).collect()
}

/// A request that has a route.
#[derive(Debug, Clone)]
pub struct Call {
    /// The caller's request.
    pub request: Request,
    /// Route.
    pub route: Arc<Route>,
    /// Version of the configuration that holds the route.
    pub version: Version,
    /// Account of the caller; `None` on a public route, or if the configuration has no accounts.
    pub account: Option<Arc<Account>>,
    /// Service that handles the request.
    pub service: ServiceId,
    /// Body.
    pub body: Bytes,
    /// Time when the head had arrived.
    pub arrived: Instant,
    /// Time when the caller stops waiting or the route's timeout is reached, whichever comes first.
    pub deadline: Instant,
    /// Digest that is equal for all attempts of one request.
    pub fingerprint: Fingerprint,
    /// Digests of the prompt's blocks that other requests may share.
    pub blocks: Arc<[Fingerprint]>,
}

impl Call {
    /// Returns the time remaining at `now`.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Returns the urgency of the request: that of its account, or else of its route; 0 is the most
    /// urgent.
    pub fn rank(&self) -> u8 {
        let account = self.account.as_ref();
        account
            .and_then(|account| account.priority)
            .unwrap_or(self.route.priority)
    }
}
