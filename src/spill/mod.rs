//! Decides whether work leaves its failure domain, and how much of it.
//!
//! The same decision serves requests to plain services, prefills, moves of KV caches and whole
//! generations: the wait here against the wait there, the way there, and the price of the bytes.

mod link;

pub use self::link::Link;

use std::time::Duration;

const GIB: f64 = 1_073_741_824.0;
/// Share of the minimum gain that is enough for a host that already sends work away. Without it, a
/// host would go back and forth while both sides are alike.
const KEEP_SHARE: f64 = 0.5;

/// What leaving the failure domain has to be worth.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// Time that callers wait longer to spare a GiB between failure domains.
    pub price_per_gib: Duration,
    /// Minimum time by which the answer has to come sooner.
    pub min_gain: Duration,
    /// Age from which the loads of the other side are too old to send work by them.
    pub max_loads_age: Duration,
}

impl Default for Terms {
    /// Returns terms by which a KV cache of 1.4 GiB, that of a long prompt, has to save its caller
    /// 4 ms: about the time for which the move occupies the links of two engines, and other callers
    /// wait for.
    fn default() -> Self {
        Terms {
            price_per_gib: Duration::from_millis(3),
            min_gain: Duration::from_millis(2),
            max_loads_age: Duration::from_secs(1),
        }
    }
}

impl Terms {
    /// Returns the price of bytes between failure domains, in callers' time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pistachiohall::spill::Terms;
    /// let terms = Terms::default();
    /// assert_eq!(terms.price(1 << 30), terms.price_per_gib);
    /// assert!(terms.price(800) < Duration::from_micros(1));
    /// ```
    pub fn price(&self, bytes: u64) -> Duration {
        self.price_per_gib.mul_f64(bytes as f64 / GIB)
    }
}

/// What the other side offers, as far as this host can tell.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Offer {
    /// Forecast time to the answer there, without the way.
    pub wait: Duration,
    /// Time that the way there and back takes.
    pub delay: Duration,
    /// Bytes that cross between the failure domains.
    pub bytes: u64,
    /// Requests that the other side has room for by its newest loads.
    pub spare: f64,
    /// Requests that hosts of this side will probably send there by the same loads, this one
    /// included.
    pub expected: f64,
    /// Age of the loads.
    pub loads_age: Duration,
    /// Whether the link is open.
    pub is_link_open: bool,
}

/// Reason for which work stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The answer would not come sooner by enough.
    NoGain,
    /// The other side has no room, or other hosts use it.
    Full,
    /// The loads of the other side are too old.
    Stale,
    /// The link is cut, or loses too much.
    LinkClosed,
}

/// Decision whether work leaves its failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It stays.
    Stay(Reason),
    /// It leaves, and its answer comes sooner by this time.
    Leave(Duration),
}

/// Decides whether work leaves its failure domain; `stay` is the forecast time to its answer here,
/// `None` if nobody here can take it. `is_leaving` tells whether this host sends work away already,
/// and `draw` is uniformly distributed between 0 and 1.
///
/// Hosts know of one another's work only by old loads. So of the hosts that would all send theirs,
/// as many do by chance as the other side has room for.
///
/// ```
/// use std::time::Duration;
/// use pistachiohall::spill;
/// use pistachiohall::spill::{Offer, Reason, Terms, Verdict};
/// let millis = Duration::from_millis;
/// let offer = Offer {
///     wait: millis(30), delay: millis(2), bytes: 800, spare: 10.0, expected: 5.0,
///     loads_age: millis(100), is_link_open: true,
/// };
/// let decide = |stay| spill::decide(Some(millis(stay)), &offer, &Terms::default(), false, 0.5);
/// assert!(matches!(decide(90), Verdict::Leave(_)));
/// assert_eq!(decide(31), Verdict::Stay(Reason::NoGain));
/// ```
pub fn decide(
    stay: Option<Duration>,
    offer: &Offer,
    terms: &Terms,
    is_leaving: bool,
    draw: f64,
) -> Verdict {
    if !offer.is_link_open {
        return Verdict::Stay(Reason::LinkClosed);
    }
    let Some(stay) = stay else {
        return Verdict::Leave(Duration::ZERO);
    };
    if offer.loads_age > terms.max_loads_age {
        return Verdict::Stay(Reason::Stale);
    }
    let leave = offer.wait + offer.delay + terms.price(offer.bytes);
    let min_gain = match is_leaving {
        true => terms.min_gain.mul_f64(KEEP_SHARE),
        false => terms.min_gain,
    };
    let gain = stay.saturating_sub(leave);
    if gain < min_gain || gain.is_zero() {
        return Verdict::Stay(Reason::NoGain);
    }
    match draw * offer.expected.max(1.0) < offer.spare {
        true => Verdict::Leave(gain),
        false => Verdict::Stay(Reason::Full),
    }
}
