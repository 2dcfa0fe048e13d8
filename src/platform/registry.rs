//! Entries that upstreams write of themselves, decoded into rows of the fleet.

use std::net::SocketAddr;

use compact_str::CompactString;
use serde::Deserialize;

use crate::fleet::Entry;
use crate::fleet::State;
use crate::fleet::WriteCount;
use crate::id::UpstreamId;
use crate::upstream::Role;

#[derive(Debug, Deserialize)]
struct Value {
    service: CompactString,
    address: SocketAddr,
    zone: CompactString,
    slots: usize,
    state: StateText,
    /// Half of the work that an engine does; a `decode` engine reads prompts as well, slower.
    #[serde(default)]
    stage: Option<StageText>,
    /// Counts the writings of the entry since `born`; not the orders that a report counts under
    /// the same name.
    #[serde(default)]
    sequence: u64,
    /// Unix milliseconds of the upstream's start; absent where no upstream reuses its name.
    #[serde(default)]
    born: u64,
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

/// Decodes the entry of the upstream `id` and how often it has been written.
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
/// Fails if the entry is not whole; it then names no upstream to use.
pub fn decode(id: UpstreamId, text: &[u8]) -> Result<(Entry, WriteCount), serde_json::Error> {
    let value: Value = serde_json::from_slice(text)?;
    let entry = Entry {
        id,
        started_at: value.born,
        service: value.service,
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
    };
    Ok((entry, value.sequence))
}
