//! Stand-ins for the users' platform: its store, and the upstreams that register there.
//!
//! They speak the platform's protocol over plain sockets, so that they can answer wrongly, late or
//! not at all.

pub mod client;
pub mod endless;
pub mod mortal;
pub mod proxy;
pub mod replica;
pub mod store;
pub mod wire;

use serde_json::Value;
use serde_json::json;

/// Host name of all routes of [`config`].
pub const HOST: &str = "lm.example";

/// Returns a configuration with the plain services `desk` and `frail` and the model services `lm`
/// and `frail-lm`.
///
/// Routes: `/read/` safe, `/act/` unsafe, `/ask/` a stream that may be resumed, `/draft/` one that
/// may not, `/risky/` unsafe at `frail`, `/chat/` a stream at `frail-lm`.
///
/// ```
/// use pistachiohall::platform::config;
/// use pistachiohall::standin::fleet;
/// let text = fleet::config(7).to_string();
/// assert_eq!(config::decode(text.as_bytes()).unwrap().version(), 7);
/// ```
pub fn config(version: u64) -> Value {
    let route = |prefix: &str, kind: &str, service: &str, attempts: u32| {
        json!({
            "name": prefix.trim_matches('/'), "host": HOST, "path_prefix": prefix, "type": kind,
            "timeout_ms": 2000, "target_latency_ms": 150, "priority": 0, "service": service,
            "max_attempts": attempts,
        })
    };
    let mut routes = vec![
        route("/read/", "safe", "desk", 2),
        route("/act/", "unsafe", "desk", 2),
        route("/ask/", "stream", "lm", 2),
        route("/draft/", "stream", "lm", 2),
        route("/chat/", "stream", "frail-lm", 2),
        route("/risky/", "unsafe", "frail", 2),
    ];
    for stream in &mut routes[2..5] {
        stream["sticky"] = json!(true);
        stream["target_gap_ms"] = json!(200);
    }
    routes[2]["resumable"] = json!(true);
    let model_service = |name: &str| {
        json!({
            "name": name, "health_path": "/healthz", "max_connections": 300, "protocol": "h1",
            "engine": {"slots": 8, "kv_capacity_tokens": 685_000, "handle_ttl_s": 5.0, "switch_s": 3.0},
        })
    };
    json!({
        "version": version,
        "routes": routes,
        "services": [
            {"name": "desk", "health_path": "/healthz", "max_connections": 100, "protocol": "h1"},
            {"name": "frail", "health_path": "/healthz", "max_connections": 100, "protocol": "h1"},
            model_service("lm"),
            model_service("frail-lm"),
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "idle_timeout_ms": 15000},
    })
}
