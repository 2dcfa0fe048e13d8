//! A request whose caller, service and one-time key are known.

use std::hash::Hasher;
use std::sync::Arc;
use std::time::Instant;

use compact_str::CompactString;
use compact_str::format_compact;
use serde_json::Value;
use sha2::Digest;
use sha2::Sha256;

use crate::admit::Demand;
use crate::id::AccountId;
use crate::id::Fingerprint;
use crate::id::RequestId;
use crate::once::OneTimeKey;
use crate::service::Account;
use crate::service::Class;
use crate::service::Service;

/// Estimated characters per token.
const CHARS_PER_TOKEN: usize = 4;
/// Estimated tokens to generate where the caller sets no limit.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// Cost of prefilling one prompt token, relative to that of generating one token.
const PROMPT_WEIGHT: f64 = 0.1;
/// Bytes of a prompt that form its cacheable prefix; a shorter prompt has none.
const PREFIX_BYTES: usize = 1024;

/// A completion asked of a model.
#[derive(Debug, Clone, PartialEq)]
pub struct Completion {
    /// Body as the caller sent it.
    pub body: Value,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Whether the chat interface was used.
    pub chat: bool,
}

/// Kind of work that a request asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Work {
    /// A completion by a model.
    Completion(Completion),
    /// A call of a plain service.
    Plain,
}

/// A request whose caller, service and one-time key are known.
#[derive(Debug, Clone)]
pub struct Call {
    /// Identifier, the same on every hop.
    pub request: RequestId,
    /// Service.
    pub service: Arc<Service>,
    /// Account of the caller.
    pub account: Account,
    /// Class.
    pub class: Class,
    /// HTTP method.
    pub method: CompactString,
    /// Path and query sent to the upstream.
    pub path: String,
    /// Content type of the body.
    pub content_type: CompactString,
    /// Body.
    pub body: Vec<u8>,
    /// Work that it asks for.
    pub work: Work,
    /// Key or ticket under which it runs at most once.
    pub right: Option<OneTimeKey>,
    /// Time of its arrival.
    pub arrived: Instant,
}

impl Call {
    /// Returns `true` if it may be sent again after it may have run.
    pub fn is_idempotent(&self) -> bool {
        self.service.is_idempotent(&self.method, &self.path)
    }

    /// Returns the digest of its content, the same on every host.
    pub fn digest(&self) -> Fingerprint {
        let mut hash = Sha256::new();
        for part in [
            self.service.name.as_bytes(),
            self.method.as_bytes(),
            self.path.as_bytes(),
            &self.body,
        ] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let bytes = hash.finalize();
        u64::from_be_bytes(bytes[..8].try_into().expect("8 bytes"))
    }

    /// Returns the account's name qualified by the service's, as it is unique only within it.
    pub fn scope(&self) -> AccountId {
        format_compact!("{}/{}", self.service.name, self.account.name)
    }

    /// Returns the digest of the prompt's prefix, or `None` if it is too short to be cached.
    pub fn prefix(&self) -> Option<Fingerprint> {
        let Work::Completion(completion) = &self.work else {
            return None;
        };
        prefix_of(prompt(&completion.body)?)
    }

    /// Returns the time after which a first token has no value.
    pub fn deadline(&self) -> Instant {
        self.arrived + self.class.deadline
    }

    /// Returns the time by which it must start: its deadline less the target for a first token.
    pub fn start_by(&self) -> Instant {
        self.deadline() - self.class.first_token
    }

    /// Returns the data by which the admission decides.
    pub fn demand(&self) -> Demand {
        Demand {
            account: self.account.name.clone(),
            share: self.account.share,
            rank: self.class.rank,
            cost: self.cost(),
            start_by: self.start_by(),
        }
    }

    fn cost(&self) -> f64 {
        let Work::Completion(completion) = &self.work else {
            return 1.0;
        };
        let prompt_tokens = (self.body.len() / CHARS_PER_TOKEN) as f64;
        let limit = completion.body.get("max_tokens").and_then(Value::as_u64);
        PROMPT_WEIGHT * prompt_tokens + limit.unwrap_or(DEFAULT_MAX_TOKENS) as f64
    }
}

/// Returns the digest of a prompt's prefix, or `None` if it is too short to be cached.
///
/// ```
/// use pistachiohall::pipeline::call::prefix_of;
/// assert_eq!(prefix_of("short"), None);
/// assert_eq!(prefix_of(&"a".repeat(2000)), prefix_of(&"a".repeat(3000)));
/// ```
pub fn prefix_of(prompt: &str) -> Option<Fingerprint> {
    let start = prompt.as_bytes().get(..PREFIX_BYTES)?;
    let mut hash = std::hash::DefaultHasher::new();
    hash.write(start);
    Some(hash.finish())
}

fn prompt(body: &Value) -> Option<&str> {
    match body.get("prompt") {
        Some(prompt) => prompt.as_str(),
        None => body.get("messages")?.get(0)?.get("content")?.as_str(),
    }
}
