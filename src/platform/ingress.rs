//! Requests of callers, and the paths that the balancer queries.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::request::Parts;
use thiserror::Error;

use super::header;
use crate::catalog::KeyDigest;
use crate::gateway::call::Block;
use crate::gateway::call::Prompt;
use crate::gateway::call::Request;
use crate::id::AccountId;
use crate::id::BlockId;
use crate::id::CallId;

/// Path at which the balancer checks whether the host accepts connections.
pub const READINESS_PATH: &str = "/v1/readyz";
/// Deadline of a request without one, in milliseconds; the protocol defines no default.
const DEFAULT_DEADLINE_MS: u64 = 10_000;
/// Maximum length of a request's identifier.
const MAX_ID_BYTES: usize = 128;
/// Maximum number of blocks of a prompt; a request with more is malformed.
const MAX_BLOCKS: usize = 256;

/// Reason for rejecting a request as malformed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Malformed {
    /// A field is missing.
    #[error("header `{0}` is missing")]
    Missing(HeaderName),
    /// A field cannot be read.
    #[error("header `{0}` cannot be read")]
    Unreadable(HeaderName),
    /// The request names no host.
    #[error("header `host` is missing")]
    NoHost,
}

/// Decodes the head of a request.
///
/// ```
/// use pistachiohall::platform::ingress;
/// let request = http::Request::get("/x/")
///     .header("host", "a.example")
///     .header("pistachiohall-request-id", "r1")
///     .header("pistachiohall-deadline-ms", "250")
///     .header("pistachiohall-kv-hold", "h")
///     .body(())
///     .unwrap();
/// let request = ingress::parse_request(&request.into_parts().0).unwrap();
/// assert_eq!(request.timeout.as_millis(), 250);
/// assert!(request.forward.get("pistachiohall-kv-hold").is_none());
/// ```
///
/// # Errors
///
/// Fails if the request names no host or no identifier, or a field cannot be read.
pub fn parse_request(head: &Parts) -> Result<Request, Malformed> {
    let id =
        text(&head.headers, &header::REQUEST_ID)?.ok_or(Malformed::Missing(header::REQUEST_ID))?;
    if id.is_empty() || id.len() > MAX_ID_BYTES {
        return Err(Malformed::Unreadable(header::REQUEST_ID));
    }
    let host = head
        .uri
        .host()
        .map_or_else(
            || text(&head.headers, &http::header::HOST),
            |host| Ok(Some(host)),
        )?
        .ok_or(Malformed::NoHost)?;
    let timeout = number(&head.headers, &header::DEADLINE)?.unwrap_or(DEFAULT_DEADLINE_MS);
    Ok(Request {
        id: id.into(),
        host: host.into(),
        method: head.method.clone(),
        uri: head.uri.clone(),
        timeout: Duration::from_millis(timeout),
        after_event: number(&head.headers, &header::LAST_EVENT)?,
        resumes: resumes(&head.headers),
        prompt: prompt(&head.headers)?,
        key: key(&head.headers),
        forward: forwarded(&head.headers),
    })
}

/// Returns the identifier of a request that may be malformed, for its log line.
///
/// ```
/// use pistachiohall::platform::ingress;
/// assert_eq!(ingress::id(&http::HeaderMap::new()), "");
/// ```
pub fn id(headers: &HeaderMap) -> &str {
    headers
        .get(header::REQUEST_ID)
        .and_then(|value| value.to_str().ok())
        .filter(|id| id.len() <= MAX_ID_BYTES)
        .unwrap_or_default()
}

/// Returns the attempt that brought the first event of the stream to be resumed, if it is named.
fn resumes(headers: &HeaderMap) -> Option<CallId> {
    let id = headers.get(header::RESUMES)?.to_str().ok()?.trim();
    (!id.is_empty() && id.len() <= MAX_ID_BYTES).then(|| id.into())
}

/// Scheme of the field that carries a caller's key.
const KEY_SCHEME: &str = "Token";

/// Returns the digest of the caller's key; `None` if there is none, several, or one in another scheme.
fn key(headers: &HeaderMap) -> Option<KeyDigest> {
    let mut values = headers.get_all(http::header::AUTHORIZATION).iter();
    let value = values.next().filter(|_| values.next().is_none())?;
    let (scheme, key) = value.to_str().ok()?.trim().split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case(KEY_SCHEME) && !key.is_empty()).then(|| KeyDigest::of(key))
}

/// Replaces the caller's key in the fields to pass on by the name of its account. Upstreams of a
/// configuration with accounts never see a key, nor a name that the caller has set itself.
///
/// ```
/// use pistachiohall::platform::ingress;
/// let mut forward = http::HeaderMap::new();
/// forward.insert("authorization", "Token k1".parse().unwrap());
/// forward.insert("pistachiohall-tenant", "other".parse().unwrap());
/// ingress::set_account(&mut forward, Some(&"desk".into()));
/// assert!(forward.get("authorization").is_none());
/// assert_eq!(forward["pistachiohall-tenant"], "desk");
/// ingress::set_account(&mut forward, None);
/// assert!(forward.is_empty());
/// ```
pub fn set_account(forward: &mut HeaderMap, account: Option<&AccountId>) {
    forward.remove(http::header::AUTHORIZATION);
    forward.remove(header::ACCOUNT);
    let Some(account) = account else {
        return;
    };
    match HeaderValue::from_str(account) {
        Ok(value) => {
            forward.insert(header::ACCOUNT, value);
        }
        Err(cause) => {
            log::error!(account:% = account, cause:% = cause; "account name is no valid header value");
        }
    }
}

/// Returns the fields that are passed on: all but hop-by-hop fields and those reserved for
/// gateways.
fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let named_by_connection: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut forward = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_forwarded = !header::HOP_BY_HOP.contains(name)
            && !header::RESERVED.contains(name)
            && *name != header::DEADLINE
            && *name != header::LAST_EVENT
            && *name != http::header::CONTENT_LENGTH
            && *name != http::header::EXPECT
            && !named_by_connection
                .iter()
                .any(|named| named == name.as_str());
        if is_forwarded {
            let mut value = value.clone();
            // Omits it from debug output.
            value.set_sensitive(name == http::header::AUTHORIZATION);
            forward.append(name.clone(), value);
        }
    }
    forward
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Malformed> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) => Ok(Some(text.trim())),
        Err(_) => Err(Malformed::Unreadable(name.clone())),
    }
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, Malformed> {
    let Some(text) = text(headers, name)? else {
        return Ok(None);
    };
    match text.parse() {
        Ok(number) => Ok(Some(number)),
        Err(_) => Err(Malformed::Unreadable(name.clone())),
    }
}

/// Decodes the sizes and blocks of a prompt; `None` if the request contains no sizes.
fn prompt(headers: &HeaderMap) -> Result<Option<Prompt>, Malformed> {
    let Some(sizes) = text(headers, &header::TOKEN_COUNT)? else {
        return Ok(None);
    };
    let unreadable = || Malformed::Unreadable(header::TOKEN_COUNT);
    let (tokens, max_generated) = sizes.split_once(',').ok_or_else(unreadable)?;
    let tokens = tokens.trim().parse().map_err(|_| unreadable())?;
    let max_generated = max_generated.trim().parse().map_err(|_| unreadable())?;
    let blocks = match text(headers, &header::PROMPT_PREFIX)? {
        Some(list) => parse_blocks(list).ok_or(Malformed::Unreadable(header::PROMPT_PREFIX))?,
        None => Vec::new(),
    };
    let model = headers.get(&header::MODEL);
    let model = model.and_then(|name| name.to_str().ok()).unwrap_or("");
    Ok(Some(Prompt {
        tokens,
        max_generated,
        model: model.into(),
        blocks,
    }))
}

fn parse_blocks(list: &str) -> Option<Vec<Block>> {
    let mut blocks = Vec::new();
    for entry in list.split(',').filter(|entry| !entry.trim().is_empty()) {
        let (id, tokens) = entry.trim().split_once(':')?;
        let id: BlockId = u64::from_str_radix(id, 16).ok()?;
        blocks.push(Block {
            id,
            tokens: tokens.parse().ok()?,
        });
        if blocks.len() > MAX_BLOCKS {
            return None;
        }
    }
    Some(blocks)
}
