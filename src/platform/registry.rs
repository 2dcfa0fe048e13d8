//! Decodes the entries that upstreams write about themselves.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::de::Error;

use crate::fleet::Entry;
use crate::fleet::State;
use crate::fleet::WriteCount;
use crate::id::UpstreamId;
use crate::upstream::Role;

/// Maximum number of concurrent requests of an upstream.
const MAX_SLOTS: usize = 1 << 16;
/// Maximum start time and number of writes: the largest integer that a JSON number represents exactly
/// where numbers are floating-point.
const MAX_INTEGER: u64 = (1 << 53) - 1;

/// Maximum time until an upstream leaves; a longer one is reduced to this.
const MAX_LEAVES_MS: f64 = 3_600_000.0;

#[derive(Debug, Deserialize)]
struct EntryText {
    service: CompactString,
    address: SocketAddr,
    zone: CompactString,
    /// Version of the software, not of the weights.
    #[serde(default)]
    version: CompactString,
    slots: usize,
    state: StateText,
    /// Stage that an engine runs; a `decode` engine also prefills, but more slowly.
    #[serde(default)]
    stage: Option<StageText>,
    /// Number of times the entry was written since `born`. An engine's report uses the same name
    /// for its number of orders.
    #[serde(default)]
    sequence: u64,
    /// Start time of the upstream, in milliseconds since the Unix epoch; absent where no upstream
    /// reuses its name.
    #[serde(default)]
    born: u64,
    /// Whether the platform may withdraw the upstream.
    #[serde(default)]
    spot: bool,
    /// Time until the platform ends an upstream that it withdraws.
    #[serde(default)]
    leaves_ms: Option<f64>,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum StateText {
    Ready,
    Draining,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum StageText {
    Prefill,
    Decode,
}

impl EntryText {
    /// Returns the reason why the entry of `id` names no upstream that can be used, if there is one.
    fn fault(&self, id: &UpstreamId) -> Option<String> {
        if id.is_empty() || !id.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Some(format!("name {id:?}, expected visible ASCII characters"));
        }
        if self.address.port() == 0 || self.address.ip().is_unspecified() {
            let address = self.address;
            return Some(format!(
                "address {address}, expected one that takes connections"
            ));
        }
        if self.slots > MAX_SLOTS {
            return Some(format!(
                "{} slots, expected at most {MAX_SLOTS}",
                self.slots
            ));
        }
        let integers = [("start time", self.born), ("write count", self.sequence)];
        let (name, value) = integers
            .into_iter()
            .find(|(_, value)| *value > MAX_INTEGER)?;
        Some(format!("{name} {value}, expected at most {MAX_INTEGER}"))
    }
}

/// Decodes the entry of the upstream `id` and the number of times it has been written.
///
/// ```
/// use pistachiohall::platform::registry;
/// let text = br#"{"service": "desk", "address": "127.0.0.1:9", "zone": "derby", "slots": 6,
///     "state": "ready", "sequence": 0, "born": 5}"#;
/// assert_eq!(registry::decode("i-1".into(), text).unwrap().0.started_at, 5);
/// assert!(registry::decode("i-2".into(), b"{\"state\": \"odd\"}").is_err());
/// ```
///
/// # Errors
///
/// Fails if the entry is incomplete or has a value that no upstream has; its upstream cannot be used
/// then.
pub fn decode(id: UpstreamId, text: &[u8]) -> Result<(Entry, WriteCount), serde_json::Error> {
    let value: EntryText = serde_json::from_slice(text)?;
    if let Some(fault) = value.fault(&id) {
        return Err(Error::custom(fault));
    }
    let entry = Entry {
        id,
        started_at: value.born,
        service: value.service,
        build: value.version,
        address: value.address,
        domain: value.zone,
        role: match value.stage {
            None => Role::Mixed,
            Some(StageText::Prefill) => Role::Prefill,
            Some(StageText::Decode) => Role::Decode,
        },
        state: match value.state {
            StateText::Ready => State::Ready,
            StateText::Draining => State::Draining,
        },
        slots: value.slots,
        may_be_withdrawn: value.spot,
        leaves_in: value
            .leaves_ms
            .filter(|left| !left.is_nan())
            .map(|left| Duration::from_secs_f64(left.clamp(0.0, MAX_LEAVES_MS) / 1000.0)),
    };
    Ok((entry, value.sequence))
}
