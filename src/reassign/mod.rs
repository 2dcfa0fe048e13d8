//! Assignment of roles to engines by the mix of prefill and decode work.
//!
//! One host at a time sends orders: the one that holds the lease in the store. Choosing the changes
//! is a pure decision; the lease and the orders are in [`term`] and [`duty`].

pub mod duty;
pub mod term;

use std::collections::BTreeMap;

use crate::fleet::Row;
use crate::fleet::State;
use crate::id::DomainId;
use crate::id::UpstreamId;
use crate::upstream::Role;

/// Maximum share of a service's engines that change their role at the same time under load.
const MAX_CHANGING_SHARE: f64 = 0.25;

/// Knowledge of a host, besides the view, that limits which orders it sends.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Standing {
    /// Rank of this host, by name, among the hosts it receives gossip from.
    pub rank: usize,
    /// Whether no request has arrived for a while.
    pub is_idle: bool,
    /// Digests of the names of engines that any host has ordered to change.
    pub away: Vec<u32>,
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
pub fn changes<F>(engines: &[Row], read_share: f64, is_idle: bool, is_changing: F) -> Vec<Change>
where
    F: Fn(&UpstreamId) -> bool,
{
    let live = engines.iter().filter(|row| row.state == State::Ready);
    let mut domains: BTreeMap<&DomainId, Vec<&Row>> = BTreeMap::new();
    let mut total = 0;
    for row in live {
        domains.entry(&row.domain).or_default().push(row);
        total += 1;
    }
    let changing = engines.iter().filter(|row| is_changing(&row.id)).count();
    let max_changing = match is_idle {
        true => total as usize,
        false => ((f64::from(total) * MAX_CHANGING_SHARE) as usize).max(1),
    };
    let mut changes: Vec<Change> = Vec::new();
    for rows in domains.into_values() {
        changes.extend(domain_changes(&rows, read_share));
    }
    changes.retain(|change| !is_changing(&change.engine));
    changes.truncate(max_changing.saturating_sub(changing));
    changes
}

fn domain_changes(rows: &[&Row], read_share: f64) -> Vec<Change> {
    let max_prefill = rows.len().saturating_sub(1);
    let target = ((rows.len() as f64 * read_share).round() as usize).min(max_prefill);
    let prefill_engines: Vec<&&Row> = rows
        .iter()
        .filter(|row| row.role == Role::Prefill)
        .collect();
    let others: Vec<&&Row> = rows
        .iter()
        .filter(|row| row.role != Role::Prefill)
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
    newest_first.sort_by_key(|row| std::cmp::Reverse(row.born));
    let change = |row: &&&Row| Change {
        engine: row.id.clone(),
        role,
    };
    newest_first.iter().take(count).map(change).collect()
}
