//! What an engine has seen, by which promises are checked.

use std::collections::HashMap;

use crate::id::Offset;

/// What an engine has seen.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestLog {
    /// Streams begun, by request identifier.
    pub begun: HashMap<String, usize>,
    /// Streams that an order cut.
    pub cut: usize,
    /// Orders that came while another was being carried out.
    pub conflicts: usize,
    /// Orders refused for an old token.
    pub refused_tokens: usize,
    /// Tokens of orders in the order in which they took effect.
    pub effects: Vec<(Offset, Offset)>,
    /// Role changes carried out.
    pub role_changes: usize,
    /// Crashes.
    pub crashes: usize,
}

impl RequestLog {
    /// Returns whether an order took effect after one with a newer token.
    ///
    /// ```
    /// use pistachiohall::standin::engine::RequestLog;
    /// let book = RequestLog { effects: vec![(7, 8), (3, 4)], ..RequestLog::default() };
    /// assert!(book.has_stale_effect());
    /// ```
    pub fn has_stale_effect(&self) -> bool {
        self.effects.windows(2).any(|pair| pair[1].0 < pair[0].0)
    }
}
