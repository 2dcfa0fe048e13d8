//! Paces of engines that hosts tell one another, and those by which orders are given.

use std::time::Duration;
use std::time::Instant;

use super::Gateway;
use crate::gossip;
use crate::gossip::Datagram;
use crate::placement::pace::Told;
use crate::reassign::Paces;

/// Maximum number of paces that are read from one datagram.
const MAX_PACES: usize = 8;
/// Interval at which the paces are read for orders, which are given less often.
const OBSERVE_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the paces to tell with the next datagram.
pub fn due(gateway: &Gateway, max_paces: usize, now: Instant) -> Vec<gossip::Pace> {
    if !gateway.settings.tell_paces {
        return Vec::new();
    }
    let due = gateway.board.borrow_mut().due_paces(max_paces, now);
    due.iter()
        .map(|(engine, told)| gossip::Pace::new(*engine, told))
        .collect()
}

/// Records the paces in a peer's datagram.
pub fn record(gateway: &Gateway, datagram: &Datagram) {
    if !gateway.settings.tell_paces || datagram.paces.is_empty() {
        return;
    }
    let paces: Vec<(u32, Told)> = datagram
        .paces
        .iter()
        .take(MAX_PACES)
        .map(|pace| (pace.engine, pace.told()))
        .collect();
    let ignored = gateway.board.borrow_mut().record_peer_paces(&paces);
    for _ in 0..ignored {
        gateway.metrics.add("roles_paces_ignored");
    }
}

/// Paces as they were last read for orders.
#[derive(Debug, Default)]
pub struct Observed {
    paces: Paces,
    read_at: Option<Instant>,
}

impl Observed {
    /// Returns the paces, read again if they are old; none if orders don't follow them.
    pub fn refreshed(&mut self, gateway: &Gateway, now: Instant) -> Paces {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < OBSERVE_INTERVAL;
        if gateway.settings.follow_pace && !self.read_at.is_some_and(is_recent) {
            self.read_at = Some(now);
            self.paces = Paces::new(gateway.board.borrow().known_paces());
        }
        self.paces.clone()
    }
}
