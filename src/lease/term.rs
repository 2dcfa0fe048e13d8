//! How long a lease lasts, by monotonic clocks only.

use std::time::Duration;
use std::time::Instant;

use crate::fold::orders::Lease;
use crate::id::Incarnation;
use crate::id::Offset;

use super::Move;

/// Time that a lease lasts for its holder, from before it was asked for.
pub const TERM: Duration = Duration::from_secs(10);
/// Time before its end from which the holder gives no more orders.
const ORDER_MARGIN: Duration = Duration::from_secs(2);
/// Time after reading a lease for which others leave it alone.
pub const PATIENCE: Duration = Duration::from_secs(15);
/// Age at which the holder renews.
const RENEW_AGE: Duration = Duration::from_secs(3);
/// Time after an append before the next one is tried.
const APPEND_PAUSE: Duration = Duration::from_secs(1);
/// Time by which each further candidate waits longer.
const RANK_PAUSE: Duration = Duration::from_millis(300);

/// Own appends and what was read, with times of the own monotonic clock.
#[derive(Debug, Default)]
pub struct Term {
    seen: Option<(Option<Offset>, Instant)>,
    appended: Option<Instant>,
    pending: Option<Instant>,
    held: Option<(Offset, Instant)>,
}

impl Term {
    /// Notes the token of the lease in force, as replayed.
    pub fn see(&mut self, token: Option<Offset>, now: Instant) {
        if self.seen.is_none_or(|(seen, _)| seen != token) {
            self.seen = Some((token, now));
        }
    }

    /// Notes that a record is about to be appended.
    pub fn note_append(&mut self, now: Instant) {
        self.appended = Some(now);
        self.pending = Some(now);
    }

    /// Notes the offset of the appended record.
    pub fn note_offset(&mut self, offset: Offset) {
        if let Some(asked) = self.pending.take() {
            self.held = Some((offset, asked));
        }
    }

    /// Returns whether the holder may give orders under the lease record `token`.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::lease::Term;
    /// let (mut term, now) = (Term::default(), Instant::now());
    /// term.note_append(now);
    /// term.note_offset(4);
    /// assert!(term.may_order(4, now + Duration::from_secs(5)));
    /// assert!(!term.may_order(4, now + Duration::from_secs(9)));
    /// assert!(!term.may_order(5, now));
    /// ```
    pub fn may_order(&self, token: Offset, now: Instant) -> bool {
        let lasts = |asked: Instant| now.saturating_duration_since(asked) < TERM - ORDER_MARGIN;
        self.held
            .is_some_and(|(held, asked)| held == token && lasts(asked))
    }

    /// Decides whether to take, renew or wait.
    pub fn decide(
        &self,
        lease: Option<&Lease>,
        own: Incarnation,
        rank: usize,
        now: Instant,
    ) -> Move {
        let since = |at: Instant| now.saturating_duration_since(at);
        if self.appended.is_some_and(|at| since(at) < APPEND_PAUSE) {
            return Move::Wait;
        }
        let Some((_, seen)) = self.seen else {
            return Move::Wait;
        };
        let wait = match lease {
            None => RANK_PAUSE * rank as u32,
            Some(lease) if lease.holder == own => RENEW_AGE,
            Some(_) => PATIENCE + RANK_PAUSE * rank as u32,
        };
        match since(seen) >= wait {
            true => Move::Take(lease.map(|lease| lease.token)),
            false => Move::Wait,
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
    fn nobody_takes_a_lease_that_its_holder_may_still_use() {
        let own = Uuid::from_u128(2);
        let asked = Instant::now();
        let mut holder = Term::default();
        holder.note_append(asked);
        holder.note_offset(3);
        let mut other = Term::default();
        other.see(Some(3), asked);
        let mut at = asked;
        while other.decide(Some(&lease(1)), own, 0, at) == Move::Wait {
            at += Duration::from_millis(100);
        }
        assert!(!holder.may_order(3, at));
        assert!(at.duration_since(asked) >= TERM + ORDER_MARGIN);
    }

    #[test]
    fn a_lost_answer_gives_no_right_to_order() {
        let mut term = Term::default();
        term.note_append(Instant::now());
        assert!(!term.may_order(3, Instant::now()));
    }
}
