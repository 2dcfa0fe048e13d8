//! Parsing of log lines.

use std::time::SystemTime;

use serde_json::Map;
use serde_json::Value;

/// A log line: the common fields of all lines and its own fields.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// Time at which it was written.
    pub time: SystemTime,
    /// Host that wrote it.
    pub host: String,
    /// Event that it reports.
    pub event: String,
    /// Its own fields, unordered.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Parses a line; text before the JSON object, such as a collector's prefix, is ignored.
    ///
    /// ```
    /// use pistachiohall::explain::line::Line;
    /// let text = r#"front-1 | {"time":"2026-01-01T00:00:00Z","host":"h","event":"e","config":7}"#;
    /// let line = Line::parse(text).unwrap();
    /// assert_eq!(line.text("config").as_deref(), Some("7"));
    /// assert!(Line::parse("no object").is_none());
    /// ```
    pub fn parse(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let time = humantime::parse_rfc3339(fields.remove("time")?.as_str()?).ok()?;
        let host = fields.remove("host")?.as_str()?.to_owned();
        let event = fields.remove("event")?.as_str()?.to_owned();
        fields.remove("level");
        fields.remove("part");
        Some(Line {
            time,
            host,
            event,
            fields,
        })
    }

    /// Returns a field as text.
    pub fn text(&self, name: &str) -> Option<String> {
        match self.fields.get(name)? {
            Value::String(text) => Some(text.clone()),
            value => Some(value.to_string()),
        }
    }

    /// Returns a field as a number.
    pub fn number(&self, name: &str) -> Option<i64> {
        self.fields.get(name)?.as_i64()
    }

    /// Returns the fields as text, without those in `omitted`.
    pub fn describe(&self, omitted: &[&str]) -> String {
        let pairs = self
            .fields
            .keys()
            .filter(|name| !omitted.contains(&name.as_str()))
            .filter_map(|name| Some(format!("{name}={}", self.text(name)?)));
        pairs.collect::<Vec<_>>().join(" ")
    }
}
