//! Order in which the requests that wait at a host are sent.

use std::collections::BTreeSet;
use std::time::Instant;

/// Turn of a waiting request; the smallest one is first.
///
/// Requests that can be on time go before those that will be late, urgent ones before others, and
/// those whose target or deadline is earlier before others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Turn {
    /// Whether the response will come later than its target.
    pub is_late: bool,
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Time of the target, or the deadline of a request that will be late.
    pub due: Instant,
    /// Distinguishes requests that are otherwise equal.
    pub ticket: u64,
}

/// Requests that wait for upstreams of one service.
#[derive(Debug, Default)]
pub struct Queue {
    turns: BTreeSet<Turn>,
}

impl Queue {
    /// Adds a request.
    pub fn join(&mut self, turn: Turn) {
        self.turns.insert(turn);
    }

    /// Removes a request.
    pub fn leave(&mut self, turn: &Turn) {
        self.turns.remove(turn);
    }

    /// Returns `true` if no request waits that goes before this one.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::balance::{Queue, Turn};
    /// let due = Instant::now();
    /// let turn = Turn { is_late: false, rank: 1, due, ticket: 1 };
    /// let mut queue = Queue::default();
    /// queue.join(turn);
    /// assert!(queue.is_first(&Turn { rank: 0, ticket: 2, ..turn }));
    /// assert!(!queue.is_first(&Turn { is_late: true, rank: 0, ticket: 3, ..turn }));
    /// ```
    pub fn is_first(&self, turn: &Turn) -> bool {
        self.turns.first().is_none_or(|first| first >= turn)
    }

    /// Returns `true` if no request waits.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }
}
