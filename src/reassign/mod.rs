//! Assignment of roles to engines by the mix of prefill and decode work.
//!
//! One host at a time sends orders: the one that holds the lease in the store. Choosing the changes
//! is a pure decision; the orders are in [`duty`], the lease in [`crate::term`]. A stream may go on only
//! at the build that began it, so that each build needs engines of its own that generate; these are
//! counted in [`generators`].

pub mod duty;
mod generators;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use self::generators::Generators;
use crate::fleet::Entry;
use crate::fleet::State;
use crate::gossip;
use crate::id::DomainId;
use crate::id::StartTime;
use crate::id::UpstreamId;
use crate::placement::pace::Factor;
use crate::placement::pace::Told;
use crate::upstream::Role;

/// Maximum share of a service's engines that change their role at the same time under load.
const MAX_CHANGING_SHARE: f64 = 0.25;

/// Knowledge of a host, besides the view, that limits which orders it sends.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Constraints {
    /// Rank of this host, by name, among the hosts it receives gossip from.
    pub rank: usize,
    /// Whether no request has arrived for a while.
    pub is_idle: bool,
    /// Digests of the names of engines that any host has ordered to change, with the role that each has until
    /// the change ends.
    pub pending_changes: Vec<(u32, Role)>,
    /// Digests of the names of engines that this host, or peers of its failure domain, cannot reach.
    pub unreachable: Vec<u32>,
    /// Known paces of engines; empty unless orders follow them.
    pub paces: Paces,
}

/// Factor between two engines from which one counts as slower.
const MIN_PACE_RATIO: f64 = 1.5;

/// Paces of engines relative to their services, in steps of a half, so that noise does not count.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Paces {
    /// Steps for prefills and streams by the digest of the engine's name.
    steps: Arc<HashMap<u32, (i32, i32)>>,
}

impl Constraints {
    /// Returns `true` if an engine is changing its role.
    ///
    /// ```
    /// use pistachiohall::reassign::Constraints;
    /// # use pistachiohall::{fleet::{Entry, State}, upstream::Role};
    /// # let entry = Entry {
    /// #     id: "e1".into(), started_at: 1, service: "lm".into(), build: "v1".into(),
    /// #     address: "127.0.0.1:9".parse().unwrap(), domain: "z0".into(), role: Role::Prefill,
    /// #     state: State::Ready, slots: 64, may_be_withdrawn: false, leaves_in: None,
    /// # };
    /// assert!(!Constraints::default().is_changing(&entry));
    /// ```
    pub fn is_changing(&self, entry: &Entry) -> bool {
        let pending = (gossip::digest(&entry.id), entry.role);
        self.pending_changes.contains(&pending)
    }
}

impl Paces {
    /// Returns the paces that rest on enough samples; the others count as average.
    ///
    /// ```
    /// use pistachiohall::gossip;
    /// use pistachiohall::placement::pace::{Factor, Told};
    /// use pistachiohall::reassign::Paces;
    /// use pistachiohall::upstream::Role;
    /// let decode = Factor { factor: 1.8, samples: 40.0 };
    /// let told = Told { decode, ..Told::default() };
    /// let paces = Paces::new([(gossip::digest("e1"), told)]);
    /// assert!(paces.step("e1", Role::Decode) > paces.step("e2", Role::Decode));
    /// ```
    pub fn new<I>(known: I) -> Self
    where
        I: IntoIterator<Item = (u32, Told)>,
    {
        let step = |factor: &Factor| match factor.is_known() {
            true => (factor.factor.ln() / MIN_PACE_RATIO.ln()).round() as i32,
            false => 0,
        };
        let steps = known
            .into_iter()
            .map(|(digest, told)| (digest, (step(&told.prefill), step(&told.decode))))
            .filter(|(_, steps)| *steps != (0, 0));
        Paces {
            steps: Arc::new(steps.collect()),
        }
    }

    /// Returns how slow an engine is in its present role; higher is slower, 0 is average or unknown.
    pub fn step(&self, engine: &str, role: Role) -> i32 {
        let steps = self.steps.get(&gossip::digest(engine)).copied();
        let (prefill, decode) = steps.unwrap_or_default();
        match role {
            Role::Prefill => prefill,
            Role::Decode | Role::Mixed => decode,
        }
    }
}

/// Change of an engine to another role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Engine.
    pub engine: UpstreamId,
    /// New role.
    pub role: Role,
    /// Whether no engine of its build generates, so that no stream of that build can go on before.
    pub is_urgent: bool,
}

/// What the roles of a service's engines are chosen by.
#[derive(Debug, Clone, Copy)]
pub struct Criteria<'a> {
    /// Target share of prefill engines.
    pub read_share: f64,
    /// Whether a caller may take up a stream again, which only the build that began it can go on with.
    pub has_resumable_streams: bool,
    /// Knowledge of this host.
    pub constraints: &'a Constraints,
}

impl Criteria<'_> {
    fn is_reachable(&self, entry: &Entry) -> bool {
        let digest = gossip::digest(&entry.id);
        !self.constraints.unreachable.contains(&digest)
    }

    /// Returns how much later than others an engine is chosen for a role.
    fn rank(&self, entry: &Entry, role: Role) -> (i32, Reverse<StartTime>) {
        let step = self.constraints.paces.step(&entry.id, entry.role);
        let rank = match role {
            Role::Prefill => -step,
            Role::Decode | Role::Mixed => step,
        };
        (rank, Reverse(entry.started_at))
    }
}

/// Returns the changes that bring the share of prefill engines of one service to the target, the urgent
/// ones first.
///
/// Each failure domain gets its own share of prefill engines and keeps at least one engine that
/// decodes, so that KV caches move within the domain. The engines that started last change first:
/// they have the least work to finish and the least cache to lose. If the paces of engines differ, slow
/// engines turn to prefill before these and fast ones to decode. `is_changing` returns `true` for
/// engines that are changing already; at most a quarter of all change at a time, unless there is no
/// load or the change is urgent.
///
/// If streams may be resumed and several builds serve, each build keeps engines that generate, even if
/// failure domains then prefill with fewer engines than their share: a build of three or more engines
/// keeps two, a smaller one keeps one.
///
/// ```
/// use pistachiohall::reassign::{self, Constraints, Criteria};
/// let constraints = Constraints::default();
/// let criteria = Criteria {
///     read_share: 0.67,
///     has_resumable_streams: true,
///     constraints: &constraints,
/// };
/// assert!(reassign::changes(&[], &criteria, |_| false).is_empty());
/// ```
pub fn changes<F>(engines: &[Entry], criteria: &Criteria<'_>, is_changing: F) -> Vec<Change>
where
    F: Fn(&Entry) -> bool,
{
    let ready: Vec<&Entry> = engines
        .iter()
        .filter(|entry| entry.state == State::Ready)
        .collect();
    let mut domains: BTreeMap<&DomainId, Vec<&Entry>> = BTreeMap::new();
    for entry in &ready {
        domains.entry(&entry.domain).or_default().push(entry);
    }
    let changing: Vec<&Entry> = engines.iter().filter(|entry| is_changing(entry)).collect();
    let max_changing = match criteria.constraints.is_idle {
        true => ready.len(),
        false => ((ready.len() as f64 * MAX_CHANGING_SHARE) as usize).max(1),
    };
    let mut generators = Generators::new(&ready, criteria, &is_changing);
    let mut changes = generators.missing();
    let are_counted = generators.are_counted();
    for entries in domains.into_values() {
        let is_turning = |entry: &Entry| {
            let is_chosen = changes.iter().any(|change| change.engine == entry.id);
            is_chosen || (are_counted && is_changing(entry))
        };
        let others = domain_changes(&entries, criteria, is_turning, &mut generators);
        changes.extend(others);
    }
    changes.retain(|change| changing.iter().all(|entry| entry.id != change.engine));
    changes.sort_by_key(|change| !change.is_urgent);
    let urgent = changes.iter().filter(|change| change.is_urgent).count();
    changes.truncate(max_changing.saturating_sub(changing.len()).max(urgent));
    changes
}

/// Returns the changes in a failure domain, besides those of the engines that are turning already.
fn domain_changes<F>(
    entries: &[&Entry],
    criteria: &Criteria<'_>,
    is_turning: F,
    generators: &mut Generators<'_>,
) -> Vec<Change>
where
    F: Fn(&Entry) -> bool,
{
    let max_prefill = entries.len().saturating_sub(1);
    let target = (entries.len() as f64 * criteria.read_share).round() as usize;
    let target = target.min(max_prefill);
    let (prefill_engines, others): (Vec<&Entry>, Vec<&Entry>) = entries
        .iter()
        .partition(|entry| entry.role == Role::Prefill);
    let (from, role, count) = match prefill_engines.len() <= target {
        true => (others, Role::Prefill, target - prefill_engines.len()),
        false => {
            let count = prefill_engines.len() - target;
            (prefill_engines, Role::Decode, count)
        }
    };
    let (turning, mut preferred_first): (Vec<&Entry>, Vec<&Entry>) =
        from.into_iter().partition(|entry| is_turning(entry));
    preferred_first.sort_by_key(|entry| criteria.rank(entry, role));
    let may_change = |entry: &&Entry| role != Role::Prefill || generators.take(entry);
    let change = |entry: &Entry| Change {
        engine: entry.id.clone(),
        role,
        is_urgent: false,
    };
    let permitted = preferred_first.into_iter().filter(may_change);
    let count = count.saturating_sub(turning.len());
    permitted.take(count).map(change).collect()
}
