//! What is wrong with a configuration, or remarkable about it.

use std::fmt;

use compact_str::CompactString;
use serde::Serialize;

/// Weight of a finding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// Hosts ignore the entry, or don't do what it says.
    Error,
    /// An entry has no effect, or contradicts another.
    Warning,
    /// A difference from the version in force.
    Change,
}

impl Level {
    /// Returns the name, as printed.
    pub fn name(self) -> &'static str {
        match self {
            Level::Error => "error",
            Level::Warning => "warning",
            Level::Change => "change",
        }
    }
}

/// Entry of a configuration that a finding is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Place {
    /// The configuration as a whole.
    Document,
    /// A route, by its index.
    Route(usize),
    /// A service, by its index.
    Service(usize),
    /// A client account, by its index.
    Account(usize),
}

/// One finding. Its text names accounts and never their keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Weight.
    pub level: Level,
    /// Entry.
    pub place: Place,
    /// Sentence that names the entry and what was expected.
    pub text: CompactString,
}

impl Finding {
    /// Returns a finding.
    pub fn new<T>(level: Level, place: Place, text: T) -> Self
    where
        T: fmt::Display,
    {
        Finding {
            level,
            place,
            text: compact_str::format_compact!("{text}"),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.level.name(), self.text)
    }
}
