//! Assignment of roles to engines by the mix of prefill and decode work.
//!
//! One host at a time sends orders: the one that holds the lease in the store. Choosing the changes
//! is a pure decision; the orders are in [`duty`], the lease in [`crate::term`].

pub mod duty;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use crate::fleet::Entry;
use crate::fleet::State;
use crate::gossip;
use crate::id::DomainId;
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
    /// Digests of the names of engines that any host has ordered to change.
    pub pending_changes: Vec<u32>,
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
}

/// Returns the changes that bring the share of prefill engines of one service to `read_share`.
///
/// Each failure domain gets its own share of prefill engines and keeps at least one engine that
/// decodes, so that KV caches move within the domain. The engines that started last change first:
/// they have the least work to finish and the least cache to lose. If `paces` differ, slow engines
/// turn to prefill before these and fast ones to decode. `is_changing` returns `true` for
/// engines that are changing already; at most a quarter of all change at a time, unless there is no
/// load.
///
/// ```
/// use pistachiohall::reassign;
/// let paces = reassign::Paces::default();
/// assert!(reassign::changes(&[], 0.67, &paces, false, |_| false).is_empty());
/// ```
pub fn changes<F>(
    engines: &[Entry],
    read_share: f64,
    paces: &Paces,
    is_idle: bool,
    is_changing: F,
) -> Vec<Change>
where
    F: Fn(&UpstreamId) -> bool,
{
    let live = engines.iter().filter(|entry| entry.state == State::Ready);
    let mut domains: BTreeMap<&DomainId, Vec<&Entry>> = BTreeMap::new();
    let mut total = 0;
    for entry in live {
        domains.entry(&entry.domain).or_default().push(entry);
        total += 1;
    }
    let changing = engines
        .iter()
        .filter(|entry| is_changing(&entry.id))
        .count();
    let max_changing = match is_idle {
        true => total as usize,
        false => ((f64::from(total) * MAX_CHANGING_SHARE) as usize).max(1),
    };
    let mut changes: Vec<Change> = Vec::new();
    for entries in domains.into_values() {
        changes.extend(domain_changes(&entries, read_share, paces));
    }
    changes.retain(|change| !is_changing(&change.engine));
    changes.truncate(max_changing.saturating_sub(changing));
    changes
}

fn domain_changes(entries: &[&Entry], read_share: f64, paces: &Paces) -> Vec<Change> {
    let max_prefill = entries.len().saturating_sub(1);
    let target = ((entries.len() as f64 * read_share).round() as usize).min(max_prefill);
    let prefill_engines: Vec<&&Entry> = entries
        .iter()
        .filter(|entry| entry.role == Role::Prefill)
        .collect();
    let others: Vec<&&Entry> = entries
        .iter()
        .filter(|entry| entry.role != Role::Prefill)
        .collect();
    let (from, role, count) = match prefill_engines.len() <= target {
        true => (others, Role::Prefill, target - prefill_engines.len()),
        false => (
            prefill_engines.clone(),
            Role::Decode,
            prefill_engines.len() - target,
        ),
    };
    let mut preferred_first = from;
    preferred_first.sort_by_key(|entry| {
        let step = paces.step(&entry.id, entry.role);
        let rank = match role {
            Role::Prefill => -step,
            Role::Decode | Role::Mixed => step,
        };
        (rank, std::cmp::Reverse(entry.started_at))
    });
    let change = |entry: &&&Entry| Change {
        engine: entry.id.clone(),
        role,
    };
    preferred_first.iter().take(count).map(change).collect()
}
