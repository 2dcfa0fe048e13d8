//! Which upstream a request goes to.

pub mod affinity;

use std::sync::Arc;
use std::sync::atomic::Ordering;

use rand::Rng;
use rand::RngExt;

use crate::id::DomainId;
use crate::id::Fingerprint;
use crate::id::UpstreamId;
use crate::upstream::Role;
use crate::upstream::Upstream;

pub use self::affinity::Index;

/// Requests by which a far upstream must be less loaded to be preferred.
const FAR_PENALTY: usize = 4;
/// Load over the mean up to which a cached prefix draws a request.
const AFFINITY_BOUND: f64 = 1.25;

/// What a route is chosen for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Reading the prompt.
    Prefill,
    /// Generating.
    Decode,
    /// Any work of a plain service.
    Any,
}

impl Stage {
    /// Returns whether an upstream of `role` can do the work.
    pub fn fits(self, role: Role) -> bool {
        match self {
            Stage::Prefill => role != Role::Decode,
            Stage::Decode => role != Role::Prefill,
            Stage::Any => true,
        }
    }
}

/// What the choice depends on.
#[derive(Debug, Clone, Copy)]
pub struct Criteria<'a> {
    /// Work to be done.
    pub stage: Stage,
    /// Failure domain of this host.
    pub domain: &'a DomainId,
    /// Other failure domains whose upstreams may be used now.
    pub permitted: &'a [DomainId],
    /// Upstreams tried before.
    pub tried: &'a [UpstreamId],
    /// Digest of the prompt's start, if it is long enough to be cached.
    pub prefix: Option<Fingerprint>,
    /// Whether no other suspect may run beside it.
    pub apart: bool,
}

/// Chooses an upstream, or none if no one can take the request.
///
/// ```
/// use std::sync::Arc;
/// use pistachiohall::route::{self, Index, Stage, Criteria};
/// use pistachiohall::upstream::Upstream;
/// let address = "127.0.0.1:9".parse().unwrap();
/// let all = [Arc::new(Upstream::new("e1".into(), address, "derby".into(), "lm".into()))];
/// let want = Criteria { stage: Stage::Any, domain: &"derby".into(), permitted: &[], tried: &[], prefix: None, apart: false };
/// let chosen = route::choose(&all, &want, &Index::default(), &mut rand::rng()).unwrap();
/// assert_eq!(chosen.id, "e1");
/// ```
pub fn choose<R>(
    upstreams: &[Arc<Upstream>],
    want: &Criteria<'_>,
    index: &Index,
    random: &mut R,
) -> Option<Arc<Upstream>>
where
    R: Rng,
{
    let is_near = |upstream: &Arc<Upstream>| upstream.domain == *want.domain;
    let fits = |upstream: &&Arc<Upstream>| {
        upstream.takes_work()
            && want.stage.fits(upstream.role())
            && !want.tried.contains(&upstream.id)
            && (is_near(upstream) || want.permitted.contains(&upstream.domain))
            && !(want.apart && upstream.holds_suspect.load(Ordering::SeqCst))
    };
    let (near, far): (Vec<_>, Vec<_>) = upstreams
        .iter()
        .filter(fits)
        .partition(|upstream| is_near(upstream));
    let cached = want
        .prefix
        .and_then(|prefix| choose_cached(&near, prefix, index));
    let chosen = cached.or_else(|| choose_two(&near, random));
    spill(chosen, choose_two(&far, random)).map(Arc::clone)
}

/// Prefers the own failure domain until its upstream is clearly more loaded.
fn spill<'a>(
    near: Option<&'a Arc<Upstream>>,
    far: Option<&'a Arc<Upstream>>,
) -> Option<&'a Arc<Upstream>> {
    let (Some(close), Some(distant)) = (near, far) else {
        return near.or(far);
    };
    match close.in_flight() > 2 * distant.in_flight() + FAR_PENALTY {
        true => far,
        false => near,
    }
}

fn choose_cached<'a>(
    pool: &[&'a Arc<Upstream>],
    prefix: Fingerprint,
    index: &Index,
) -> Option<&'a Arc<Upstream>> {
    let total: usize = pool.iter().map(|upstream| upstream.in_flight()).sum();
    let bound = AFFINITY_BOUND * (total + 1) as f64 / pool.len().max(1) as f64;
    let holders = index.holders(prefix);
    pool.iter()
        .filter(|upstream| holders.contains(&upstream.id))
        .filter(|upstream| (upstream.in_flight() as f64) < bound.max(1.0))
        .min_by_key(|upstream| upstream.in_flight())
        .copied()
}

fn choose_two<'a, R>(pool: &[&'a Arc<Upstream>], random: &mut R) -> Option<&'a Arc<Upstream>>
where
    R: Rng,
{
    if pool.is_empty() {
        return None;
    }
    let one = pool[random.random_range(0..pool.len())];
    let other = pool[random.random_range(0..pool.len())];
    Some(match other.in_flight() < one.in_flight() {
        true => other,
        false => one,
    })
}
