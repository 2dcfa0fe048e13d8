//! What a run of faults showed.

use std::collections::BTreeMap;
use std::fmt;

/// What a run showed.
#[derive(Debug, Default)]
pub struct Report {
    /// Promises that were broken.
    pub broken: Vec<String>,
    /// Faults as they came.
    pub script: Vec<String>,
    /// Requests that were answered.
    pub answers: usize,
    /// Answers by status; 0 counts requests without one.
    pub statuses: BTreeMap<u16, usize>,
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kinds: Vec<String> = self
            .statuses
            .iter()
            .map(|(status, count)| format!("{status}: {count}"))
            .collect();
        write!(
            formatter,
            "{} faults, {}, {} broken",
            self.script.len(),
            kinds.join(", "),
            self.broken.len()
        )
    }
}
