//! Encoding of log records as JSON objects.

use std::fmt;
use std::io;

use log::Record;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use serde::Serializer;
use serde::ser::SerializeMap;

/// Prefix of all targets, omitted from lines.
const CRATE_PREFIX: &str = "pistachiohall::";
/// Initial capacity for a line, its usual length.
const LINE_CAPACITY_BYTES: usize = 384;

struct Fields<'map, Map> {
    map: &'map mut Map,
}

impl<'pair, Map> VisitSource<'pair> for Fields<'_, Map>
where
    Map: SerializeMap<Error = serde_json::Error>,
{
    fn visit_pair(&mut self, key: Key<'pair>, value: Value<'pair>) -> Result<(), Error> {
        self.map
            .serialize_entry(key.as_str(), &value)
            .map_err(Error::boxed)
    }
}

/// Encodes a record: `time`, `level`, `host`, `part`, `event`, then the record's own fields.
///
/// ```
/// use pistachiohall::logging::line;
/// let record = log::Record::builder()
///     .args(format_args!("settings reloaded"))
///     .level(log::Level::Info)
///     .target("pistachiohall::gateway::process")
///     .key_values(&("slack", 7))
///     .build();
/// let line = line::encode("2026-01-01T00:00:00Z", "front-1", &record).unwrap();
/// let text = String::from_utf8(line).unwrap();
/// assert!(text.ends_with(r#""part":"gateway::process","event":"settings reloaded","slack":7}"#));
/// ```
///
/// # Errors
///
/// Fails if a field cannot be encoded.
pub fn encode<Time>(time: &Time, host: &str, record: &Record<'_>) -> io::Result<Vec<u8>>
where
    Time: fmt::Display + ?Sized,
{
    let mut line = Vec::with_capacity(LINE_CAPACITY_BYTES);
    let mut json = serde_json::Serializer::new(&mut line);
    let mut map = json.serialize_map(None)?;
    map.serialize_entry("time", &format_args!("{time}"))?;
    map.serialize_entry("level", record.level().as_str())?;
    map.serialize_entry("host", host)?;
    let part = record.target();
    map.serialize_entry("part", part.strip_prefix(CRATE_PREFIX).unwrap_or(part))?;
    map.serialize_entry("event", record.args())?;
    record
        .key_values()
        .visit(&mut Fields { map: &mut map })
        .map_err(io::Error::other)?;
    map.end()?;
    Ok(line)
}
