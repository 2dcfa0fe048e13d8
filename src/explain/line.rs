//! A log line, read back.

use std::time::SystemTime;

use serde_json::Map;
use serde_json::Value;

/// A log line with the fields that all lines have, and its own.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    /// When it was written.
    pub time: SystemTime,
    /// Host that wrote it.
    pub host: String,
    /// What happened.
    pub event: String,
    /// Its own fields, in no order.
    pub fields: Map<String, Value>,
}

impl Line {
    /// Reads a line; what stands before the object, such as a collector's prefix, is passed over.
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

    /// Returns the fields as text, without those in `left_out`.
    pub fn describe(&self, left_out: &[&str]) -> String {
        let pairs = self
            .fields
            .keys()
            .filter(|name| !left_out.contains(&name.as_str()))
            .filter_map(|name| Some(format!("{name}={}", self.text(name)?)));
        pairs.collect::<Vec<_>>().join(" ")
    }
}
