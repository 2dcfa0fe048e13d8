//! A request as the gateway handles it.

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

use crate::catalog::Route;
use crate::catalog::Version;
use crate::id::BlockId;
use crate::id::CallId;
use crate::id::Fingerprint;
use crate::id::ServiceId;

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Block {
    /// Identifier; equal parts of several prompts have the same.
    pub id: BlockId,
    /// Tokens.
    pub tokens: u64,
}

/// Sizes of a request to a model, and what its prompt consists of.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Most tokens that are generated.
    pub max_generated: u64,
    /// Parts in order; the last one belongs to this request alone.
    pub blocks: Vec<Block>,
}

impl Prompt {
    /// Returns the tokens of the parts that other requests share.
    ///
    /// ```
    /// use pistachiohall::gateway::call::{Block, Prompt};
    /// let block = |id, tokens| Block { id, tokens };
    /// let blocks = vec![block(1, 10), block(2, 20), block(3, 40)];
    /// assert_eq!(Prompt { blocks, ..Prompt::default() }.shared_tokens(), 30);
    /// ```
    pub fn shared_tokens(&self) -> u64 {
        let shared = self.blocks.len().saturating_sub(1);
        self.blocks[..shared].iter().map(|block| block.tokens).sum()
    }

    /// Returns the last part that other requests share, by which requests are kept together.
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

/// What a caller asked for, decoded but not yet matched with a route.
#[derive(Debug, Clone)]
pub struct Request {
    /// Identifier of this try.
    pub id: CallId,
    /// Host name.
    pub host: CompactString,
    /// Method.
    pub method: Method,
    /// Path and query, passed on unchanged.
    pub uri: Uri,
    /// How long the caller waits, counted from when it sent the request.
    pub timeout: Duration,
    /// Event after which a resumed stream goes on.
    pub after_event: Option<u64>,
    /// Prompt of a request to a model.
    pub prompt: Option<Prompt>,
    /// Fields to pass on.
    pub forward: HeaderMap,
}

/// Returns a digest that is equal for all tries of one request: of what is asked, by whom.
///
/// Where there is no body, the parts of the prompt stand for the content.
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

/// A request that has a route.
#[derive(Debug, Clone)]
pub struct Call {
    /// What the caller asked for.
    pub request: Request,
    /// Route.
    pub route: Arc<Route>,
    /// Version of the configuration that the route is from.
    pub version: Version,
    /// Service that takes the request.
    pub service: ServiceId,
    /// Content.
    pub body: Bytes,
    /// When the head had arrived.
    pub arrived: Instant,
    /// When the caller stops waiting or the route's timeout is reached, whichever is first.
    pub deadline: Instant,
    /// Digest that is equal for all tries of one request.
    pub fingerprint: Fingerprint,
}

impl Call {
    /// Returns the time that is left at `now`.
    pub fn left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}
