//! The operator's configuration, decoded into a catalog.

use std::collections::BTreeMap;
use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::de::Error;
use serde_json::value::RawValue;

use crate::catalog::Account;
use crate::catalog::Accounts;
use crate::catalog::Catalog;
use crate::catalog::Engine;
use crate::catalog::KeyDigest;
use crate::catalog::Kind;
use crate::catalog::Limits;
use crate::catalog::Route;
use crate::catalog::Scale;
use crate::catalog::Service;
use crate::catalog::Share;
use crate::id::DomainId;

#[derive(Deserialize)]
struct Document<'a> {
    version: u64,
    routes: Vec<RouteText>,
    services: Vec<ServiceText>,
    #[serde(default)]
    limits: LimitsText,
    /// Client accounts; absent if no request needs a key. Decoded separately: errors of the decoder
    /// quote what they cannot read, which may be a key.
    #[serde(borrow, rename = "tenants")]
    accounts: Option<&'a RawValue>,
}

#[derive(Debug, Deserialize)]
struct RouteText {
    #[serde(default)]
    name: CompactString,
    host: CompactString,
    path_prefix: CompactString,
    /// Kind of response, not a media type.
    #[serde(rename = "type")]
    kind: KindText,
    timeout_ms: f64,
    /// Target time to the full response, or to the first event of a stream.
    target_latency_ms: f64,
    #[serde(default)]
    target_gap_ms: Option<f64>,
    #[serde(default)]
    priority: u8,
    /// The only service, unless `split` is given.
    #[serde(default)]
    service: Option<CompactString>,
    #[serde(default)]
    split: Vec<SplitText>,
    /// Maximum number of upstreams to which one request is sent, including the first.
    #[serde(default = "one")]
    max_attempts: u32,
    /// `true` if requests list the blocks of their prompts; doesn't enable sticky sessions.
    #[serde(default)]
    sticky: bool,
    #[serde(default)]
    resumable: bool,
    #[serde(default)]
    public: bool,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum KindText {
    Safe,
    Unsafe,
    Stream,
}

#[derive(Debug, Deserialize)]
struct SplitText {
    service: CompactString,
    weight: u32,
}

#[derive(Debug, Deserialize)]
struct ServiceText {
    name: CompactString,
    #[serde(default = "default_connections")]
    max_connections: usize,
    #[serde(default)]
    engine: Option<EngineText>,
    /// Path of the upstreams' health check.
    #[serde(default)]
    health_path: Option<CompactString>,
    #[serde(default)]
    scale: Option<ScaleText>,
}

#[derive(Debug, Deserialize)]
struct EngineText {
    slots: usize,
    kv_capacity_tokens: u64,
    #[serde(default = "default_handle_ttl")]
    handle_ttl_s: f64,
    #[serde(default = "default_switch")]
    switch_s: f64,
    #[serde(default)]
    kv_token_bytes: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct ScaleText {
    /// Minimum number of upstreams in a failure domain.
    min: usize,
    /// Maximum number of upstreams in a failure domain.
    max: usize,
    #[serde(default)]
    boot_s: f64,
    #[serde(default)]
    spot_price: Option<f64>,
    #[serde(default, rename = "zone_prices")]
    domain_prices: BTreeMap<DomainId, f64>,
}

#[derive(Deserialize)]
struct AccountText {
    name: CompactString,
    #[serde(default)]
    api_keys: Vec<CompactString>,
    #[serde(default)]
    priority: Option<u8>,
}

#[derive(Deserialize)]
struct AccountName {
    name: CompactString,
}

#[derive(Debug, Default, Deserialize)]
struct LimitsText {
    max_header_bytes: Option<usize>,
    max_body_bytes: Option<usize>,
    idle_timeout_ms: Option<u64>,
}

/// Default maximum number of connections to an upstream.
fn default_connections() -> usize {
    100
}

/// Default time to live of a KV handle, in seconds, as in the protocol's examples.
fn default_handle_ttl() -> f64 {
    5.0
}

/// Default duration of a role change, in seconds, as in the protocol's examples.
fn default_switch() -> f64 {
    3.0
}

fn one() -> u32 {
    1
}

fn millis(value: f64) -> Duration {
    Duration::from_secs_f64(value.clamp(0.0, 1e9) / 1000.0)
}

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value.clamp(0.0, 1e6))
}

/// Decodes a configuration from its text in the store.
///
/// ```
/// use pistachiohall::platform::config;
/// let text = r#"{"version": 7, "services": [{"name": "desk", "max_connections": 9}],
///     "routes": [{"host": "a.example", "path_prefix": "/x/", "type": "safe", "service": "desk",
///     "timeout_ms": 1000, "target_latency_ms": 150}]}"#;
/// let catalog = config::decode(text.as_bytes()).unwrap();
/// assert_eq!(catalog.route("a.example", "/x/y").unwrap().shares[0].service, "desk");
/// ```
///
/// Parts that contradict themselves are left out and listed in [`Catalog::faults`].
///
/// # Errors
///
/// Fails if the text is not a configuration; the error contains the position, or names the account.
pub fn decode(text: &[u8]) -> Result<Catalog, serde_json::Error> {
    let document: Document = serde_json::from_slice(text)?;
    let routes = document.routes.into_iter().map(route).collect();
    let mut faults = Vec::new();
    let services = document.services.into_iter();
    let services = services.map(|text| service(text, &mut faults)).collect();
    let defaults = Limits::default();
    let limits = Limits {
        max_header_bytes: document
            .limits
            .max_header_bytes
            .unwrap_or(defaults.max_header_bytes),
        max_body_bytes: document
            .limits
            .max_body_bytes
            .unwrap_or(defaults.max_body_bytes),
        idle_timeout: document
            .limits
            .idle_timeout_ms
            .map_or(defaults.idle_timeout, Duration::from_millis),
    };
    let mut catalog = Catalog::new(document.version, routes, services, limits);
    if let Some(texts) = document.accounts {
        catalog = catalog.with_accounts(accounts(texts, &mut faults)?);
    }
    Ok(catalog.with_faults(faults))
}

/// Decodes the client accounts. Neither errors nor faults contain a key.
fn accounts(text: &RawValue, faults: &mut Vec<String>) -> Result<Accounts, serde_json::Error> {
    let texts: Vec<&RawValue> = serde_json::from_str(text.get())
        .map_err(|_| Error::custom("the client accounts are no list"))?;
    let mut accounts = Accounts::default();
    for (index, text) in texts.into_iter().enumerate() {
        let text: AccountText =
            serde_json::from_str(text.get()).map_err(|_| unreadable_account(index, text))?;
        let name = text.name.clone();
        if accounts.contains(&name) {
            faults.push(format!(
                "client account `{name}` is listed twice; its keys are joined"
            ));
        }
        let keys: Vec<KeyDigest> = text
            .api_keys
            .iter()
            .filter(|key| !key.is_empty())
            .map(|key| KeyDigest::of(key))
            .collect();
        if keys.is_empty() {
            faults.push(format!(
                "client account `{name}` has no keys; it is not served"
            ));
        }
        let account = Account {
            name: text.name,
            priority: text.priority,
        };
        for other in accounts.add(account, keys) {
            faults.push(format!(
                "client account `{name}` lists a key of account `{other}`, which keeps it"
            ));
        }
    }
    Ok(accounts)
}

/// Returns the error for an account that cannot be decoded.
fn unreadable_account(index: usize, text: &RawValue) -> serde_json::Error {
    let name = serde_json::from_str::<AccountName>(text.get());
    let account = name.map_or_else(|_| format!("{index}"), |named| format!("`{}`", named.name));
    Error::custom(format_args!(
        "client account {account} is unreadable; expected a name, a list of keys and a priority from 0 to 255"
    ))
}

fn route(text: RouteText) -> Route {
    let mut shares: Vec<Share> = text
        .split
        .into_iter()
        .map(|share| Share {
            service: share.service,
            weight: share.weight,
        })
        .collect();
    if let Some(service) = text.service.filter(|_| shares.is_empty()) {
        shares.push(Share { service, weight: 1 });
    }
    Route {
        name: text.name,
        host: text.host,
        prefix: text.path_prefix,
        kind: match text.kind {
            KindText::Safe => Kind::Safe,
            KindText::Unsafe => Kind::Unsafe,
            KindText::Stream => Kind::Stream,
        },
        timeout: millis(text.timeout_ms),
        target_latency: millis(text.target_latency_ms),
        target_gap: text.target_gap_ms.map(millis),
        priority: text.priority,
        shares,
        max_attempts: text.max_attempts.max(1),
        is_resumable: text.resumable,
        has_prompt: text.sticky,
        is_public: text.public,
    }
}

fn service(text: ServiceText, faults: &mut Vec<String>) -> Service {
    let scale = text
        .scale
        .and_then(|scale| range(scale, &text.name, faults));
    Service {
        name: text.name,
        max_connections: text.max_connections,
        health_path: text.health_path,
        engine: text.engine.map(|engine| Engine {
            slots: engine.slots,
            kv_capacity_tokens: engine.kv_capacity_tokens,
            handle_ttl: seconds(engine.handle_ttl_s),
            switch_duration: seconds(engine.switch_s),
            kv_token_bytes: engine.kv_token_bytes,
        }),
        scale,
    }
}

/// Decodes a range of upstreams; `None` if it contains no number. A price that is not positive counts
/// as missing.
fn range(text: ScaleText, service: &str, faults: &mut Vec<String>) -> Option<Scale> {
    if text.min > text.max {
        faults.push(format!(
            "service `{service}` has a range from {} to {}, expected the minimum first; its number of \
             upstreams is not changed",
            text.min, text.max
        ));
        return None;
    }
    let mut is_price = |price: &f64, of: &str| {
        let is_valid = *price > 0.0;
        if !is_valid {
            faults.push(format!(
                "service `{service}` has price {price} {of}, expected a positive number; it is ignored"
            ));
        }
        is_valid
    };
    let spot_price = text
        .spot_price
        .filter(|price| is_price(price, "for upstreams that may be withdrawn"));
    let domain_prices = text.domain_prices.into_iter();
    let domain_prices =
        domain_prices.filter(|(domain, price)| is_price(price, &format!("in `{domain}`")));
    Some(Scale {
        min: text.min,
        max: text.max,
        boot_duration: seconds(text.boot_s),
        spot_price,
        domain_prices: domain_prices.collect(),
    })
}
