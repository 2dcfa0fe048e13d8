//! Chooses the upstream of a request to a plain service, and whether it waits or is refused.
//!
//! The load of an upstream is this host's own requests, counted exactly, and those of other hosts,
//! forecast from what they last reported. Other hosts decide on reports as old as this host's, so
//! the requests that they have probably sent since are spread over the upstreams first, each where
//! the response comes soonest. A request then draws its place from that spread: hosts that know the
//! same don't all go to the same upstream.

mod board;
mod pace;
mod queue;

pub use self::board::Board;
pub use self::board::Rejection;
pub use self::board::Report;
pub use self::pace::Pace;
pub use self::pace::Rate;
pub use self::queue::Queue;
pub use self::queue::Turn;

use std::time::Duration;

/// Steps in which the requests of other hosts are spread over the upstreams.
const SPREAD_STEPS: usize = 32;
/// Share of the room for waiting at an upstream that requests which will be late may use.
const LATE_ROOM_SHARE: f64 = 0.5;
/// Part of the room that each step of rank leaves to more urgent requests.
const ROOM_PER_RANK: f64 = 0.1;
/// Minimum share of the room for waiting that a request on time may use, whatever its rank.
const MIN_ROOM_SHARE: f64 = 0.6;
/// Minimum time that a request waits at the host before it is decided on again.
pub const MIN_WAIT: Duration = Duration::from_millis(4);
/// Maximum time that a request waits at the host before it is decided on again.
const MAX_WAIT: Duration = Duration::from_millis(25);
/// Minimum time after which a refused caller should retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Maximum share of the time left for which a refused caller is asked to wait.
const MAX_RETRY_SHARE: f64 = 1.0 / 3.0;

/// An upstream as a request finds it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Place {
    /// Number of requests that it runs at once.
    pub slots: f64,
    /// Forecast of its requests in flight from all hosts.
    pub load: f64,
    /// Time that it takes for a request which doesn't wait, in seconds.
    pub service_s: f64,
    /// Time for which it has answered nothing although requests are in flight, in seconds; 0 unless
    /// that is unusual.
    pub silence_s: f64,
    /// Requests in flight from which it has rejected others; infinite if it has not lately.
    pub room: f64,
    /// Cost of choosing it beside its response time, in seconds.
    pub extra_s: f64,
}

impl Place {
    /// Returns the forecast response time of one more request, in seconds, if `added` requests are
    /// in flight beside the forecast load.
    ///
    /// Requests that find all slots taken wait in turn. As the load is uncertain, the wait grows
    /// smoothly before the slots are full.
    ///
    /// ```
    /// use pistachiohall::balance::Place;
    /// let place = Place {
    ///     slots: 6.0, load: 0.0, service_s: 0.03, silence_s: 0.0, room: f64::INFINITY, extra_s: 0.0,
    /// };
    /// assert!(place.response_s(0.0) < 0.031);
    /// assert!(place.response_s(30.0) > 0.12);
    /// ```
    pub fn response_s(&self, added: f64) -> f64 {
        let load = (self.load + added).max(0.0);
        let uncertainty = (load + 1.0).sqrt() / 2.0;
        let excess = (load + 1.0 - self.slots) / uncertainty;
        let queued = match excess > 30.0 {
            true => excess * uncertainty,
            false => uncertainty * excess.exp().ln_1p(),
        };
        self.service_s * (1.0 + queued / self.slots)
    }

    /// Returns the cost of one more request there, in seconds, if `added` requests are in flight
    /// beside the forecast load.
    pub fn cost(&self, added: f64) -> f64 {
        self.response_s(added).max(self.silence_s) + self.extra_s
    }
}

/// What matters of a request for where it goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Time left until the target.
    pub target_left: Duration,
    /// Time left until the deadline.
    pub left: Duration,
}

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// It is sent to the upstream of this index.
    Send {
        /// Index of the upstream.
        index: usize,
        /// Forecast of its load without this request.
        load: f64,
        /// Forecast of its response time.
        response: Duration,
        /// Share of the response time that is certainly not spent waiting.
        service_share: f64,
    },
    /// It is decided on again after this time.
    Wait(Duration),
    /// It can't be answered before its deadline; the caller should retry after this time.
    Refuse(Duration),
}

/// Returns how many of `requests` each place gets if each request goes where it costs the least.
///
/// ```
/// use pistachiohall::balance;
/// use pistachiohall::balance::Place;
/// let idle = Place {
///     slots: 6.0, load: 0.0, service_s: 0.03, silence_s: 0.0, room: f64::INFINITY, extra_s: 0.0,
/// };
/// let busy = Place { load: 30.0, ..idle };
/// assert_eq!(balance::spread(&[idle, busy], 4.0), [4.0, 0.0]);
/// ```
pub fn spread(places: &[Place], requests: f64) -> Vec<f64> {
    let mut added = vec![0.0; places.len()];
    let step = requests / SPREAD_STEPS as f64;
    for _ in 0..SPREAD_STEPS {
        let costs = places.iter().zip(&added);
        let best = costs
            .map(|(place, added)| place.cost(*added))
            .enumerate()
            .min_by(|(_, one), (_, other)| one.total_cmp(other));
        if let Some((index, _)) = best {
            added[index] += step;
        }
    }
    added
}

/// Decides on a request.
///
/// `unseen` is the number of requests of other hosts that are in flight and that no report names
/// yet; `draw` and `pause_draw` are uniformly distributed between 0 and 1. Returns `None` if there
/// is no place.
///
/// ```
/// use std::time::Duration;
/// use pistachiohall::balance;
/// use pistachiohall::balance::{Decision, Place, Request};
/// let place = Place {
///     slots: 6.0, load: 0.0, service_s: 0.03, silence_s: 0.0, room: f64::INFINITY, extra_s: 0.0,
/// };
/// let left = Duration::from_millis(1500);
/// let request = Request { rank: 0, target_left: left / 10, left };
/// let decision = balance::decide(&[place], 0.0, &request, 0.5, 0.5);
/// assert!(matches!(decision, Some(Decision::Send { index: 0, .. })));
/// ```
pub fn decide(
    places: &[Place],
    unseen: f64,
    request: &Request,
    draw: f64,
    pause_draw: f64,
) -> Option<Decision> {
    let added = spread(places, unseen + 1.0);
    let total: f64 = added.iter().sum();
    let mut passed = 0.0;
    let drawn = added.iter().position(|added| {
        passed += added;
        draw * total < passed
    });
    let index = drawn.or(places.len().checked_sub(1))?;
    let place = places[index];
    let others = added[index] * unseen / (unseen + 1.0);
    let load = place.load + others;
    let response_s = place.response_s(others);
    let queued_s = response_s - place.service_s;
    let is_queued = load >= place.slots;
    if is_queued && response_s > request.left.as_secs_f64() {
        return Some(Decision::Refuse(retry_after(queued_s, request, pause_draw)));
    }
    let excess = load - max_load(&place, response_s, request);
    if excess > 0.0 {
        let drain_s = excess * place.service_s / place.slots;
        let pause = Duration::from_secs_f64(drain_s * (0.5 + pause_draw));
        let pause = pause.clamp(MIN_WAIT, MAX_WAIT);
        return Some(
            match pause.as_secs_f64() + response_s > request.left.as_secs_f64() {
                true => Decision::Refuse(retry_after(queued_s, request, pause_draw)),
                false => Decision::Wait(pause),
            },
        );
    }
    Some(Decision::Send {
        index,
        load,
        response: Duration::from_secs_f64(response_s),
        service_share: place.slots / (load + 1.0).max(place.slots),
    })
}

/// Returns the load up to which a request may be sent to a place. Requests that will be late leave
/// room to those that can be on time, and less urgent ones to urgent ones.
fn max_load(place: &Place, response_s: f64, request: &Request) -> f64 {
    let waiting = (place.room - place.slots).max(0.0);
    let by_rank = 1.0 - ROOM_PER_RANK * f64::from(request.rank);
    let share = match response_s > request.target_left.as_secs_f64() {
        true => LATE_ROOM_SHARE,
        false => by_rank.max(MIN_ROOM_SHARE),
    };
    place.slots + waiting * share
}

/// Returns when a refused caller should retry: spread over the time in which what waits now is
/// worked off twice, and at most a third of the time that the caller has left.
///
/// ```
/// use std::time::Duration;
/// use pistachiohall::balance;
/// use pistachiohall::balance::Request;
/// let left = Duration::from_millis(900);
/// let request = Request { rank: 0, target_left: left, left };
/// assert_eq!(balance::retry_after(0.1, &request, 0.0), Duration::from_millis(100));
/// assert_eq!(balance::retry_after(5.0, &request, 0.5), left / 3);
/// ```
pub fn retry_after(queued_s: f64, request: &Request, draw: f64) -> Duration {
    let room_at = Duration::from_secs_f64(queued_s * (1.0 + draw));
    let max = request.left.mul_f64(MAX_RETRY_SHARE);
    room_at.max(MIN_RETRY_AFTER).min(max)
}
