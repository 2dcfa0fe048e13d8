//! A request whose caller, service and rights are known.

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

/// Characters that make up one token, as an estimate.
const TOKEN_CHARS: usize = 4;
/// Tokens generated where the caller sets no limit, as an estimate.
const DEFAULT_TOKENS: u64 = 256;
/// Work of reading a prompt token against that of generating one.
const PROMPT_WEIGHT: f64 = 0.1;
/// Shortest prompt whose start may be cached, in bytes.
const PREFIX_BYTES: usize = 1024;

/// What is asked of a model.
#[derive(Debug, Clone, PartialEq)]
pub struct Completion {
    /// Body as sent by the caller.
    pub body: Value,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Whether the chat interface was used.
    pub chat: bool,
}

/// What kind of work a request is.
#[derive(Debug, Clone, PartialEq)]
pub enum Work {
    /// A completion by a model.
    Completion(Completion),
    /// A call of a plain service.
    Plain,
}

/// A request whose caller, service and rights are known.
#[derive(Debug, Clone)]
pub struct Call {
    /// Identifier on every hop.
    pub request: RequestId,
    /// Service.
    pub service: Arc<Service>,
    /// Account of the caller.
    pub account: Account,
    /// Class.
    pub class: Class,
    /// HTTP method.
    pub method: CompactString,
    /// Path towards the upstream, with query.
    pub path: String,
    /// Content type of the body.
    pub content_type: CompactString,
    /// Body.
    pub body: Vec<u8>,
    /// What it asks for.
    pub work: Work,
    /// Right to run it once.
    pub right: Option<OneTimeKey>,
    /// When it came.
    pub arrived: Instant,
}

impl Call {
    /// Returns whether it may be sent again after it may have run.
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

    /// Returns the account's name, which is unique only within its service, with the service's.
    pub fn scope(&self) -> AccountId {
        format_compact!("{}/{}", self.service.name, self.account.name)
    }

    /// Returns the digest of the prompt's start, if it is long enough to be cached.
    pub fn prefix(&self) -> Option<Fingerprint> {
        let Work::Completion(completion) = &self.work else {
            return None;
        };
        prefix_of(prompt(&completion.body)?)
    }

    /// Returns when a first token becomes worth nothing.
    pub fn deadline(&self) -> Instant {
        self.arrived + self.class.deadline
    }

    /// Returns when a start becomes worth nothing: a first token takes its time.
    pub fn start_by(&self) -> Instant {
        self.deadline() - self.class.first_token
    }

    /// Returns what the admission needs to know.
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
        let prompt_tokens = (self.body.len() / TOKEN_CHARS) as f64;
        let limit = completion.body.get("max_tokens").and_then(Value::as_u64);
        PROMPT_WEIGHT * prompt_tokens + limit.unwrap_or(DEFAULT_TOKENS) as f64
    }
}

/// Returns the digest of a prompt's start, if it is long enough to be cached.
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
