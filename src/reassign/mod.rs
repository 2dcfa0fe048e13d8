//! Assignment of roles to engines by the mix of prefill and decode work.
//!
//! One host at a time sends orders: the one that holds the lease in the store. Choosing the changes
//! is a pure decision; the orders are in [`duty`], the lease in [`crate::term`].

pub mod duty;

use std::collections::BTreeMap;

use crate::fleet::Entry;
use crate::fleet::State;
use crate::id::DomainId;
use crate::id::UpstreamId;
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
/// they have the least work to finish and the least cache to lose. `is_changing` returns `true` for
/// engines that are changing already; at most a quarter of all change at a time, unless there is no
/// load.
///
/// ```
/// use pistachiohall::reassign;
/// assert!(reassign::changes(&[], 0.67, false, |_| false).is_empty());
/// ```
pub fn changes<F>(engines: &[Entry], read_share: f64, is_idle: bool, is_changing: F) -> Vec<Change>
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
        changes.extend(domain_changes(&entries, read_share));
    }
    changes.retain(|change| !is_changing(&change.engine));
    changes.truncate(max_changing.saturating_sub(changing));
    changes
}

fn domain_changes(entries: &[&Entry], read_share: f64) -> Vec<Change> {
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
    let mut newest_first = from;
    newest_first.sort_by_key(|entry| std::cmp::Reverse(entry.started_at));
    let change = |entry: &&&Entry| Change {
        engine: entry.id.clone(),
        role,
    };
    newest_first.iter().take(count).map(change).collect()
}
