//! Names of header fields.

use http::HeaderName;

/// Identifier of one attempt of a caller.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("pistachiohall-request-id");
/// Time that the sender waits for the response from sending the request, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("pistachiohall-deadline-ms");
/// Name of the model.
pub const MODEL: HeaderName = HeaderName::from_static("pistachiohall-model");
/// `prompt tokens,maximum generated tokens`.
pub const TOKEN_COUNT: HeaderName = HeaderName::from_static("pistachiohall-token-count");
/// `block:tokens,...`; blocks of the prompt in order.
pub const PROMPT_PREFIX: HeaderName = HeaderName::from_static("pistachiohall-prompt-prefix");
/// Signature of the upstream's response.
pub const SERVER_STAMP: HeaderName = HeaderName::from_static("pistachiohall-server-stamp");
/// Name of the upstream that should process the request; others answer 421.
pub const EXPECT_UPSTREAM: HeaderName = HeaderName::from_static("pistachiohall-expect-instance");
/// States that the upstream has not run the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("pistachiohall-not-executed");
/// Urgency at the engine, from 0, the most urgent, to 9.
pub const PRIORITY: HeaderName = HeaderName::from_static("pistachiohall-request-priority");
/// Requested stage of the work.
pub const STAGE: HeaderName = HeaderName::from_static("pistachiohall-stage");
/// `address/handle` of the KV cache of a prompt at the prefill engine.
pub const KV_SOURCE: HeaderName = HeaderName::from_static("pistachiohall-kv-source");
/// States that the upstream is leaving, if it is `1`.
pub const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// Requests per second that the upstream takes from all hosts together, as a decimal number.
pub const LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// Era of the store, which rises each time that the store is restored from a copy.
pub const STORE_ERA: HeaderName = HeaderName::from_static("store-era");
/// Name of the client account whose key a request carries.
pub const ACCOUNT: HeaderName = HeaderName::from_static("pistachiohall-tenant");
/// Identifier of the attempt of a caller that brought the first event of the stream to be resumed.
pub const RESUMES: HeaderName = HeaderName::from_static("resumes");
/// Event after which a stream is resumed.
pub const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");

/// Fields that only gateways may set on requests to upstreams.
pub const RESERVED: [HeaderName; 8] = [
    EXPECT_UPSTREAM,
    PRIORITY,
    STAGE,
    KV_SOURCE,
    HeaderName::from_static("pistachiohall-kv-hold"),
    HeaderName::from_static("pistachiohall-pin-ms"),
    HeaderName::from_static("pistachiohall-kv-backup"),
    HeaderName::from_static("kv-fetch"),
];

/// Fields that concern one connection and are not passed on.
pub const HOP_BY_HOP: [HeaderName; 9] = [
    http::header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    http::header::PROXY_AUTHENTICATE,
    http::header::PROXY_AUTHORIZATION,
    http::header::TE,
    http::header::TRAILER,
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
];
