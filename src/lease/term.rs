//! Duration and renewal of a lease, by monotonic clocks only.

use std::time::Duration;
use std::time::Instant;

use crate::fold::orders::Lease;
use crate::id::Incarnation;
use crate::id::Offset;

use super::Decision;

/// Duration of a lease for its holder, counted from before its record was appended.
pub const LEASE_DURATION: Duration = Duration::from_secs(10);
/// Time before the end of the lease from which the holder sends no more orders.
const ORDER_MARGIN: Duration = Duration::from_secs(2);
/// Time after first reading a lease record for which other processes don't take the lease.
pub const TAKEOVER_DELAY: Duration = Duration::from_secs(15);
/// Time after reading its lease record at which the holder renews the lease.
const RENEWAL_DELAY: Duration = Duration::from_secs(3);
/// Minimum time between two attempts to append a lease record.
const APPEND_INTERVAL: Duration = Duration::from_secs(1);
/// Additional delay of each candidate per rank.
const RANK_DELAY: Duration = Duration::from_millis(300);

/// Appends and reads of one process, with times of its monotonic clock.
#[derive(Debug, Default)]
pub struct LeaseState {
    observed: Option<(Option<Offset>, Instant)>,
    last_append_at: Option<Instant>,
    pending_since: Option<Instant>,
    granted: Option<(Offset, Instant)>,
}

impl LeaseState {
    /// Records the token of the active lease, as replayed.
    pub fn observe(&mut self, token: Option<Offset>, now: Instant) {
        if self.observed.is_none_or(|(observed, _)| observed != token) {
            self.observed = Some((token, now));
        }
    }

    /// Records that a lease record is about to be appended.
    pub fn record_append(&mut self, now: Instant) {
        self.last_append_at = Some(now);
        self.pending_since = Some(now);
    }

    /// Records the offset of the appended record.
    pub fn record_offset(&mut self, offset: Offset) {
        if let Some(requested_at) = self.pending_since.take() {
            self.granted = Some((offset, requested_at));
        }
    }

    /// Returns `true` if the holder may send orders under the lease record `token`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use std::time::Instant;
    /// use pistachiohall::lease::LeaseState;
    /// let (mut state, now) = (LeaseState::default(), Instant::now());
    /// state.record_append(now);
    /// state.record_offset(4);
    /// assert!(state.may_order(4, now + Duration::from_secs(5)));
    /// assert!(!state.may_order(4, now + Duration::from_secs(9)));
    /// assert!(!state.may_order(5, now));
    /// ```
    pub fn may_order(&self, token: Offset, now: Instant) -> bool {
        let is_valid = |requested_at: Instant| {
            now.saturating_duration_since(requested_at) < LEASE_DURATION - ORDER_MARGIN
        };
        self.granted
            .is_some_and(|(granted, requested_at)| granted == token && is_valid(requested_at))
    }

    /// Decides whether the process `incarnation` takes or renews the lease, or waits.
    pub fn decide(
        &self,
        lease: Option<&Lease>,
        incarnation: Incarnation,
        rank: usize,
        now: Instant,
    ) -> Decision {
        let since = |at: Instant| now.saturating_duration_since(at);
        if self
            .last_append_at
            .is_some_and(|at| since(at) < APPEND_INTERVAL)
        {
            return Decision::Wait;
        }
        let Some((_, observed_at)) = self.observed else {
            return Decision::Wait;
        };
        let wait = match lease {
            None => RANK_DELAY * rank as u32,
            Some(lease) if lease.holder == incarnation => RENEWAL_DELAY,
            Some(_) => TAKEOVER_DELAY + RANK_DELAY * rank as u32,
        };
        match since(observed_at) >= wait {
            true => Decision::Take(lease.map(|lease| lease.token)),
            false => Decision::Wait,
        }
    }
}

#[cfg(test)]
mod tests {
    use uuid::Uuid;

    use super::*;

    fn lease(holder: u128) -> Lease {
        Lease {
            token: 3,
            since: 3,
            holder: Uuid::from_u128(holder),
            host: "n".into(),
            peer: "127.0.0.1:1".parse().unwrap(),
        }
    }

    #[test]
    fn a_lease_is_not_taken_while_its_holder_may_still_send_orders() {
        let incarnation = Uuid::from_u128(2);
        let requested_at = Instant::now();
        let mut holder = LeaseState::default();
        holder.record_append(requested_at);
        holder.record_offset(3);
        let mut other = LeaseState::default();
        other.observe(Some(3), requested_at);
        let mut at = requested_at;
        while other.decide(Some(&lease(1)), incarnation, 0, at) == Decision::Wait {
            at += Duration::from_millis(100);
        }
        assert!(!holder.may_order(3, at));
        assert!(at.duration_since(requested_at) >= LEASE_DURATION + ORDER_MARGIN);
    }

    #[test]
    fn no_orders_are_allowed_if_the_response_to_the_append_was_lost() {
        let mut state = LeaseState::default();
        state.record_append(Instant::now());
        assert!(!state.may_order(3, Instant::now()));
    }
}
