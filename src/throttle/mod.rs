//! Rate limits that upstreams name: the requests a second that one takes from all hosts together.
//!
//! Each host keeps to its own share, without a message for each request. Shares follow from the
//! hosts that are alive, which all of them know. Hosts tell one another the limits that upstreams
//! have named to them, so that those without a share learn of them too.
//!
//! Times are passed in; nothing here reads a clock or a socket.

mod limit;
mod share;

pub use self::limit::Limit;
pub use self::share::Share;

use std::time::Duration;
use std::time::Instant;

/// Time after a response with a limit from which a response without one lifts it: responses on
/// different connections may overtake one another.
const MIN_LIFT_DELAY: Duration = Duration::from_millis(500);
/// Time after which a limit that was last reported by peers, or that this host has no share of, no
/// longer holds.
const REPORT_TTL: Duration = Duration::from_secs(5);
/// Interval between two reports of a limit to peers.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum error of a number of requests that was summed up from shares.
const MAX_ROUNDING_ERROR: f64 = 1e-6;
/// Time after which a host without a share checks again whether the limit still holds.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Number of times that the hosts which share limits have changed.
pub type Generation = u64;

/// What one upstream's limit allows this host.
#[derive(Debug, Clone, Copy, Default)]
pub struct Throttle {
    limit: Option<Limit>,
    share: Option<Share>,
    /// Hosts that the share was determined for.
    generation: Generation,
    /// Time when the upstream last named a limit to this host.
    named_at: Option<Instant>,
    /// Time when a peer last reported a limit.
    heard_at: Option<Instant>,
    /// Time when a response without a limit lifted it.
    lifted_at: Option<Instant>,
    reported_at: Option<Instant>,
    /// Requests that may be sent now; negative after calls that could not wait.
    tokens: f64,
    refilled_at: Option<Instant>,
}

impl Throttle {
    /// Records the limit that a response to this host named at `now`.
    pub fn record_named(&mut self, limit: Limit, now: Instant) {
        self.set_limit(limit, now);
        self.named_at = Some(now);
        self.lifted_at = None;
    }

    /// Records a response that names no limit, to a request sent at `sent_at`; returns `true` if that
    /// lifts the limit.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::throttle::{Limit, Throttle};
    /// let now = Instant::now();
    /// let mut throttle = Throttle::default();
    /// throttle.record_named(Limit(2_000), now);
    /// let later = now + Duration::from_secs(1);
    /// assert!(!throttle.record_unnamed(now, later));
    /// assert!(throttle.record_unnamed(later, later));
    /// assert_eq!(throttle.wait(later), None);
    /// ```
    pub fn record_unnamed(&mut self, sent_at: Instant, now: Instant) -> bool {
        if self.limit.is_none() {
            return false;
        }
        if self
            .named_at
            .is_some_and(|named_at| sent_at < named_at + MIN_LIFT_DELAY)
        {
            return false;
        }
        self.limit = None;
        self.lifted_at = Some(now);
        true
    }

    /// Records that a peer reports a limit.
    pub fn record_reported(&mut self, limit: Limit, now: Instant) {
        let is_lifted = is_within(self.lifted_at, REPORT_TTL, now);
        if is_lifted {
            return;
        }
        self.heard_at = Some(now);
        // What the upstream itself names is newer.
        if self.limit.is_none() || !is_within(self.named_at, REPORT_TTL, now) {
            self.set_limit(limit, now);
        }
    }

    fn set_limit(&mut self, limit: Limit, now: Instant) {
        if self.limit.is_none() {
            self.tokens = 0.0;
            self.refilled_at = Some(now);
        }
        self.refill(now);
        self.limit = Some(limit);
    }

    /// Returns `true` if a limit holds at `now`, so that the share has to be known.
    pub fn is_limited(&self, now: Instant) -> bool {
        self.limit_at(now).is_some()
    }

    /// Returns the time when the upstream last named a limit to this host.
    pub fn named_at(&self) -> Option<Instant> {
        self.named_at
    }

    /// Returns `true` if a limit holds at `now` and the share is not that of the `generation` of hosts.
    pub fn needs_share(&self, generation: Generation, now: Instant) -> bool {
        self.is_limited(now) && (self.share.is_none() || self.generation != generation)
    }

    /// Sets the share of this host in a `generation` of hosts.
    pub fn set_share(&mut self, share: Share, generation: Generation, now: Instant) {
        self.refill(now);
        self.share = Some(share);
        self.generation = generation;
    }

    fn limit_at(&self, now: Instant) -> Option<Limit> {
        let limit = self.limit?;
        let is_sender = self.rate_per_s(limit) > 0.0;
        let holds = (is_sender && self.named_at.is_some())
            || is_within(self.named_at, REPORT_TTL, now)
            || is_within(self.heard_at, REPORT_TTL, now);
        holds.then_some(limit)
    }

    fn rate_per_s(&self, limit: Limit) -> f64 {
        self.share.map_or(0.0, |share| share.rate_per_s(limit))
    }

    /// Returns the requests that may be sent at `now`.
    fn tokens_at(&self, now: Instant) -> f64 {
        let (Some(limit), Some(share), Some(refilled_at)) =
            (self.limit, self.share, self.refilled_at)
        else {
            return self.tokens;
        };
        let elapsed = now.saturating_duration_since(refilled_at);
        let tokens = self.tokens + share.rate_per_s(limit) * elapsed.as_secs_f64();
        tokens.min(share.max_burst(limit))
    }

    fn refill(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = Some(now);
    }

    /// Returns the time until a request may be sent; `None` if one may be sent at `now`.
    pub fn wait(&self, now: Instant) -> Option<Duration> {
        let limit = self.limit_at(now)?;
        let missing = 1.0 - self.tokens_at(now);
        if missing <= MAX_ROUNDING_ERROR {
            return None;
        }
        let rate = self.rate_per_s(limit);
        match rate > 0.0 {
            true => Some(Duration::from_secs_f64(missing / rate)),
            false => Some(RECHECK_INTERVAL),
        }
    }

    /// Takes the permission to send one request; returns `false` if none may be sent.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::throttle::{Limit, Share, Throttle};
    /// let now = Instant::now();
    /// let mut throttle = Throttle::default();
    /// assert!(throttle.try_take(now));
    /// throttle.record_named(Limit(1_000), now);
    /// throttle.set_share(Share { hosts: 2, rank: 0 }, 1, now);
    /// assert!(!throttle.try_take(now));
    /// assert_eq!(throttle.wait(now), Some(Duration::from_secs(2)));
    /// assert!(throttle.try_take(now + Duration::from_secs(2)));
    /// ```
    pub fn try_take(&mut self, now: Instant) -> bool {
        if self.wait(now).is_some() {
            return false;
        }
        self.take(now);
        true
    }

    /// Counts a request that is sent whether or not one may be sent.
    pub fn take(&mut self, now: Instant) {
        if self.is_limited(now) {
            self.refill(now);
            self.tokens -= 1.0;
        }
    }

    /// Returns a permission that was not used.
    pub fn give_back(&mut self, now: Instant) {
        if self.is_limited(now) {
            self.refill(now);
            self.tokens += 1.0;
        }
    }

    /// Returns the limit to report to peers, if one is due.
    pub fn due_report(&mut self, now: Instant) -> Option<Limit> {
        let limit = self.limit_at(now)?;
        let is_own = match self.rate_per_s(limit) > 0.0 {
            true => self.named_at.is_some(),
            false => is_within(self.named_at, REPORT_TTL, now),
        };
        if !is_own || is_within(self.reported_at, REPORT_INTERVAL, now) {
            return None;
        }
        self.reported_at = Some(now);
        Some(limit)
    }
}

fn is_within(at: Option<Instant>, limit: Duration, now: Instant) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < limit)
}
