//! Choice of the upstream for a request.

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

/// Number of requests added to the load of an upstream in another failure domain.
const CROSS_DOMAIN_PENALTY: usize = 4;
/// Load relative to the mean below which an upstream is preferred for its cached prefix.
const MAX_AFFINITY_LOAD: f64 = 1.25;

/// Stage of a request that an upstream is chosen for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Prefill of the prompt.
    Prefill,
    /// Decode.
    Decode,
    /// All work of a plain service.
    Any,
}

impl Stage {
    /// Returns `true` if an upstream with `role` can do the work.
    pub fn fits(self, role: Role) -> bool {
        match self {
            Stage::Prefill => role != Role::Decode,
            Stage::Decode => role != Role::Prefill,
            Stage::Any => true,
        }
    }
}

/// Criteria of the choice.
#[derive(Debug, Clone, Copy)]
pub struct Criteria<'a> {
    /// Stage of the request.
    pub stage: Stage,
    /// Failure domain of this host.
    pub domain: &'a DomainId,
    /// Other failure domains whose upstreams may be used.
    pub permitted: &'a [DomainId],
    /// Upstreams of earlier attempts.
    pub tried: &'a [UpstreamId],
    /// Digest of the prompt's prefix, if it is long enough to be cached.
    pub prefix: Option<Fingerprint>,
    /// Whether the upstream must not run another suspect at the same time.
    pub is_isolated: bool,
}

/// Chooses an upstream, or returns `None` if none can take the request.
///
/// In the host's own failure domain an upstream that has cached the prefix is preferred, then the
/// less loaded of two random ones. One in another domain is chosen if it is much less loaded.
///
/// ```
/// use std::sync::Arc;
/// use pistachiohall::route;
/// use pistachiohall::route::Criteria;
/// use pistachiohall::route::Index;
/// use pistachiohall::route::Stage;
/// use pistachiohall::upstream::Upstream;
/// let address = "127.0.0.1:9".parse().unwrap();
/// let all = [Arc::new(Upstream::new("e1".into(), address, "derby".into(), "lm".into()))];
/// let criteria = Criteria { stage: Stage::Any, domain: &"derby".into(), permitted: &[], tried: &[], prefix: None, is_isolated: false };
/// let chosen = route::choose(&all, &criteria, &Index::default(), &mut rand::rng()).unwrap();
/// assert_eq!(chosen.id, "e1");
/// ```
pub fn choose<R>(
    upstreams: &[Arc<Upstream>],
    criteria: &Criteria<'_>,
    index: &Index,
    random: &mut R,
) -> Option<Arc<Upstream>>
where
    R: Rng,
{
    let is_local = |upstream: &Arc<Upstream>| upstream.domain == *criteria.domain;
    let fits = |upstream: &&Arc<Upstream>| {
        upstream.takes_work()
            && criteria.stage.fits(upstream.role())
            && !criteria.tried.contains(&upstream.id)
            && (is_local(upstream) || criteria.permitted.contains(&upstream.domain))
            && !(criteria.is_isolated && upstream.holds_suspect.load(Ordering::SeqCst))
    };
    let (local, remote): (Vec<_>, Vec<_>) = upstreams
        .iter()
        .filter(fits)
        .partition(|upstream| is_local(upstream));
    let cached = criteria
        .prefix
        .and_then(|prefix| choose_cached(&local, prefix, index));
    let chosen = cached.or_else(|| choose_less_loaded(&local, random));
    prefer_local(chosen, choose_less_loaded(&remote, random)).map(Arc::clone)
}

/// Returns the upstream in the own failure domain unless the other one is much less loaded.
fn prefer_local<'a>(
    local: Option<&'a Arc<Upstream>>,
    remote: Option<&'a Arc<Upstream>>,
) -> Option<&'a Arc<Upstream>> {
    let (Some(local_upstream), Some(remote_upstream)) = (local, remote) else {
        return local.or(remote);
    };
    match local_upstream.in_flight() > 2 * remote_upstream.in_flight() + CROSS_DOMAIN_PENALTY {
        true => remote,
        false => local,
    }
}

/// Returns the least loaded of the upstreams that have cached a prefix and are not overloaded.
fn choose_cached<'a>(
    candidates: &[&'a Arc<Upstream>],
    prefix: Fingerprint,
    index: &Index,
) -> Option<&'a Arc<Upstream>> {
    let total: usize = candidates.iter().map(|upstream| upstream.in_flight()).sum();
    let max_load = MAX_AFFINITY_LOAD * (total + 1) as f64 / candidates.len().max(1) as f64;
    let holders = index.holders(prefix);
    candidates
        .iter()
        .filter(|upstream| holders.contains(&upstream.id))
        .filter(|upstream| (upstream.in_flight() as f64) < max_load.max(1.0))
        .min_by_key(|upstream| upstream.in_flight())
        .copied()
}

/// Returns the less loaded of two random upstreams.
fn choose_less_loaded<'a, R>(
    candidates: &[&'a Arc<Upstream>],
    random: &mut R,
) -> Option<&'a Arc<Upstream>>
where
    R: Rng,
{
    if candidates.is_empty() {
        return None;
    }
    let one = candidates[random.random_range(0..candidates.len())];
    let other = candidates[random.random_range(0..candidates.len())];
    Some(match other.in_flight() < one.in_flight() {
        true => other,
        false => one,
    })
}
