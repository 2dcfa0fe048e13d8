//! Names of header fields.

use http::HeaderName;

/// Identifier of one try of a caller.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("pistachiohall-request-id");
/// Milliseconds that the sender still waits, counted from when it sent the request.
pub const DEADLINE: HeaderName = HeaderName::from_static("pistachiohall-deadline-ms");
/// Name of the model.
pub const MODEL: HeaderName = HeaderName::from_static("pistachiohall-model");
/// `prompt tokens,most generated tokens`.
pub const TOKENS: HeaderName = HeaderName::from_static("pistachiohall-token-count");
/// `part:tokens,...`; parts of the prompt in order.
pub const PARTS: HeaderName = HeaderName::from_static("pistachiohall-prompt-prefix");
/// Signature of the upstream's answer.
pub const STAMP: HeaderName = HeaderName::from_static("pistachiohall-server-stamp");
/// Name of the upstream that is meant; others answer 421.
pub const EXPECT_UPSTREAM: HeaderName = HeaderName::from_static("pistachiohall-expect-instance");
/// Says that the upstream has not run the request.
pub const NOT_RUN: HeaderName = HeaderName::from_static("pistachiohall-not-executed");
/// Urgency at the engine, from 0, the most urgent, to 9.
pub const PRIORITY: HeaderName = HeaderName::from_static("pistachiohall-request-priority");
/// Half of the work that is asked for.
pub const STAGE: HeaderName = HeaderName::from_static("pistachiohall-stage");
/// `address/handle` of a prompt that was read elsewhere.
pub const MEMORY_SOURCE: HeaderName = HeaderName::from_static("pistachiohall-kv-source");
/// Says that the upstream leaves, if it is `1`.
pub const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// Event that a resumed stream goes on after.
pub const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");

/// Fields that only the system may set on requests to upstreams.
pub const RESERVED: [HeaderName; 8] = [
    EXPECT_UPSTREAM,
    PRIORITY,
    STAGE,
    MEMORY_SOURCE,
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
