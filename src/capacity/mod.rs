//! Number of upstreams of each kind in each failure domain.
//!
//! Pure decisions: no network and no clock; times are passed in. The orders over time are in [`controller`], the calls in
//! [`duty`], the measured demand in [`demand`], what it has been lately in [`history`].

pub mod controller;
pub mod demand;
pub mod duty;
pub mod history;

use std::collections::BTreeMap;

use crate::catalog::Scale;
use crate::id::DomainId;

/// Minimum and maximum share of the time for which upstreams are planned to be busy.
const UTILISATION: (f64, f64) = (0.4, 0.75);
/// Share of the time for which upstreams may be busy while two failure domains have lost their
/// withdrawable ones.
const MAX_UTILISATION: f64 = 0.85;
/// Minimum share of the needed upstreams that can't be withdrawn.
const MIN_STABLE_SHARE: f64 = 0.15;
/// Number of rounds in which the need and the work that fewer caches add are brought together.
const ROUNDS: usize = 6;

/// Number of upstreams by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Those that the platform doesn't withdraw.
    pub stable: usize,
    /// Those that it may withdraw.
    pub withdrawable: usize,
}

impl Counts {
    /// Returns the number of both kinds.
    pub fn total(self) -> usize {
        self.stable + self.withdrawable
    }
}

/// State of a service in one failure domain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Domain {
    /// Upstreams that take work now.
    pub serving: Counts,
    /// Upstreams that take work or have been ordered.
    pub ordered: Counts,
    /// Whether withdrawable ones can be had: none were withdrawn or denied lately.
    pub has_withdrawable: bool,
    /// Whether hosts of the failure domain are heard, so that its demand is known.
    pub is_heard: bool,
}

/// What a service has to be ready for.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Need {
    /// Work that arrives now, in busy upstreams.
    pub present: f64,
    /// Work that arrives on average, in busy upstreams.
    pub usual: f64,
    /// Work to be ready for, in busy upstreams.
    pub expected: f64,
    /// Share of the work that would be added if nothing were cached.
    pub saved_share: f64,
    /// Requests that one busy upstream serves in a second.
    pub served_per_s: f64,
    /// What a second of an upstream of price 1 is worth in served requests.
    pub second_worth: f64,
}

/// State by failure domain.
pub type Domains = BTreeMap<DomainId, Domain>;

/// Numbers that a service should have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Numbers by failure domain.
    pub counts: BTreeMap<DomainId, Counts>,
    /// Number that has to be left if the withdrawable ones of any one failure domain go.
    pub needed: usize,
    /// Maximum number of both kinds in a failure domain.
    pub max: usize,
    /// Reason for the mixture.
    pub reason: &'static str,
}

/// Returns the price of an upstream that isn't withdrawn; one that isn't given or isn't a positive
/// number counts as 1.
fn price(scale: &Scale, domain: &DomainId) -> f64 {
    let price = scale.domain_prices.get(domain).copied();
    price
        .filter(|price| price.is_finite() && *price > 0.0)
        .unwrap_or(1.0)
}

/// Returns the price of a withdrawable upstream relative to another, if it is lower.
fn withdrawable_price(scale: &Scale) -> Option<f64> {
    scale.spot_price.filter(|price| (0.0..1.0).contains(price))
}

/// Returns the share of the time for which upstreams should be busy.
///
/// The chance that all of several are busy falls with the power of their number. It should be such
/// that the requests that then come late weigh as much as one more upstream.
fn utilisation(need: &Need, price: f64) -> f64 {
    let may_be_late = price * need.second_worth / need.served_per_s.max(1e-3);
    let count = need.expected.max(1.0);
    may_be_late
        .clamp(1e-6, 1.0)
        .powf(count.recip())
        .clamp(UTILISATION.0, UTILISATION.1)
}

/// Returns the number of upstreams for the expected work. With fewer caches than now, a part of what
/// they save has to be prefilled again.
fn needed(need: &Need, serving: usize, price: f64) -> usize {
    let busy = utilisation(need, price);
    let mut count = need.expected / busy;
    for _ in 0..ROUNDS {
        let left = (count / serving.max(1) as f64).min(1.0);
        count = need.expected * (1.0 + need.saved_share * (1.0 - left)) / busy;
    }
    count.ceil() as usize
}

/// Returns the numbers that a service should have; `None` if its range contains no number or it has no
/// failure domain.
///
/// What the expected work needs is left if all withdrawable upstreams of any one failure domain go at
/// once, and what the usual work needs if those of a second one follow. Upstreams that aren't
/// withdrawn are the rest: one in each failure domain and a small share, or as many as the present
/// work needs while withdrawable ones can't be had in two failure domains.
pub fn plan(scale: &Scale, need: &Need, domains: &Domains) -> Option<Plan> {
    if scale.min > scale.max || domains.is_empty() {
        return None;
    }
    let number = domains.len();
    let prices = domains
        .keys()
        .map(|domain| price(scale, domain))
        .sum::<f64>()
        / number as f64;
    let kind_price = withdrawable_price(scale);
    let serving = domains.values().map(|domain| domain.serving.total()).sum();
    let needed = needed(need, serving, prices * kind_price.unwrap_or(1.0)).max(number);
    let sources = domains
        .values()
        .filter(|domain| domain.has_withdrawable)
        .count();
    let present = (need.present / UTILISATION.1).ceil() as usize;
    let (stable, withdrawable, reason) = match (kind_price, sources) {
        (None, _) => {
            // The loss of a whole failure domain is covered as far as the present work goes.
            let spread = present.div_ceil((number - 1).max(1)) * number;
            (
                needed.max(spread.min(needed * 2)),
                0,
                "no withdrawable kind",
            )
        }
        (Some(_), 0 | 1) => {
            let stable = present.max(least_stable(needed, number));
            (
                stable,
                needed.saturating_sub(stable),
                "few withdrawable ones to be had",
            )
        }
        (Some(_), _) => {
            let least = least_stable(needed, number);
            let each = needed.saturating_sub(least).div_ceil(sources - 1);
            let left = each * sources.saturating_sub(2);
            let busy = (need.usual / MAX_UTILISATION).ceil() as usize;
            (
                least.max(busy.saturating_sub(left)),
                each,
                "one failure domain may lose them",
            )
        }
    };
    let counts = spread(scale, domains, stable, withdrawable);
    Some(Plan {
        counts,
        needed,
        max: scale.max,
        reason,
    })
}

fn least_stable(needed: usize, domains: usize) -> usize {
    ((needed as f64 * MIN_STABLE_SHARE).ceil() as usize).max(domains)
}

/// Spreads upstreams that aren't withdrawn evenly, the remainder where they cost least, and adds
/// `withdrawable` ones wherever they can be had, within the range.
fn spread(
    scale: &Scale,
    domains: &Domains,
    stable: usize,
    withdrawable: usize,
) -> BTreeMap<DomainId, Counts> {
    let mut by_price: Vec<&DomainId> = domains.keys().collect();
    by_price.sort_by(|one, other| price(scale, one).total_cmp(&price(scale, other)));
    let number = domains.len();
    let counts = by_price.into_iter().enumerate().map(|(rank, id)| {
        let remainder = usize::from(rank < stable % number);
        let stable = (stable / number + remainder).min(scale.max);
        let domain = &domains[id];
        let withdrawable = match domain.has_withdrawable {
            true => withdrawable,
            false => domain.ordered.withdrawable.min(withdrawable),
        };
        let withdrawable = withdrawable.min(scale.max - stable);
        let missing = scale.min.saturating_sub(stable + withdrawable);
        let counts = Counts {
            stable: stable + missing,
            withdrawable,
        };
        (id.clone(), counts)
    });
    counts.collect()
}

/// Minimum reduction of a kind in a failure domain, as a share of its number.
const MIN_REDUCTION: f64 = 0.2;
/// Minimum increase of a kind in a failure domain, as a share of its number; less is covered by the time
/// for which upstreams aren't busy.
const MIN_INCREASE: f64 = 0.1;

/// Returns the numbers to order next on the way to `plan`: all that are missing at once, and if
/// `may_reduce`, one reduction in one failure domain.
///
/// A reduction takes at most half of a kind, so that blocks that only the leaving ones have cached are
/// prefilled elsewhere before the next one; it leaves what is needed if any one failure domain loses its
/// withdrawable upstreams, counting only those that serve already; and a small one isn't worth the change.
pub fn next(plan: &Plan, domains: &Domains, may_reduce: bool) -> BTreeMap<DomainId, Counts> {
    let ordered = |id: &DomainId| {
        domains
            .get(id)
            .map_or(Counts::default(), |domain| domain.ordered)
    };
    let mut counts: BTreeMap<DomainId, Counts> = plan
        .counts
        .iter()
        .map(|(id, wanted)| {
            let ordered = ordered(id);
            let stable = increased(ordered.stable, wanted.stable);
            let room = plan.max.saturating_sub(stable);
            let withdrawable = increased(ordered.withdrawable, wanted.withdrawable.min(room));
            (
                id.clone(),
                Counts {
                    stable,
                    withdrawable,
                },
            )
        })
        .collect();
    if may_reduce && let Some((id, reduced)) = reduction(plan, domains) {
        counts.insert(id, reduced);
    }
    counts
}

/// Returns the number after an increase to `wanted`, if that is worth the change.
fn increased(ordered: usize, wanted: usize) -> usize {
    let least = (ordered as f64 * MIN_INCREASE).ceil() as usize;
    match wanted >= ordered + least.max(1) {
        true => wanted,
        false => ordered,
    }
}

/// Returns the greatest reduction that is allowed now.
fn reduction(plan: &Plan, domains: &Domains) -> Option<(DomainId, Counts)> {
    let total: usize = domains.values().map(|domain| domain.serving.total()).sum();
    let lost = domains
        .values()
        .map(|domain| domain.serving.withdrawable)
        .max()?;
    let spare = total.saturating_sub(lost).saturating_sub(plan.needed);
    let candidates = domains.iter().filter(|(_, domain)| domain.is_heard);
    let steps = candidates.filter_map(|(id, domain)| {
        let wanted = plan.counts.get(id)?;
        let ordered = domain.ordered;
        let stable = step(
            domain.serving.stable.min(ordered.stable),
            wanted.stable,
            spare,
        );
        let withdrawable = step(
            domain.serving.withdrawable.min(ordered.withdrawable),
            wanted.withdrawable,
            spare,
        );
        let reduced = match stable > 0 {
            true => Counts {
                stable: ordered.stable - stable,
                ..ordered
            },
            false => Counts {
                withdrawable: ordered.withdrawable - withdrawable,
                ..ordered
            },
        };
        let by = ordered.total() - reduced.total();
        (by > 0).then(|| (by, id.clone(), reduced))
    });
    steps
        .max_by_key(|(by, id, _)| (*by, std::cmp::Reverse(id.clone())))
        .map(|(_, id, reduced)| (id, reduced))
}

fn step(count: usize, wanted: usize, spare: usize) -> usize {
    let excess = count.saturating_sub(wanted);
    let least = ((count as f64 * MIN_REDUCTION).ceil() as usize).max(1);
    let by = excess.min((count / 2).max(1)).min(spare);
    match excess >= least {
        true => by,
        false => 0,
    }
}
