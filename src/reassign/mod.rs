//! Gives engines the roles that the mix of work asks for.
//!
//! One host at a time gives orders: the one that holds the lease in the store. What is wanted is a
//! pure decision; the lease and the orders are in [`term`] and [`duty`].

pub mod duty;
pub mod term;

use std::collections::BTreeMap;

use crate::fleet::Entry;
use crate::fleet::State;
use crate::id::DomainId;
use crate::id::UpstreamId;
use crate::upstream::Role;

/// Share of a service's engines that may change their role at the same time under load.
const CHANGING_SHARE: f64 = 0.25;

/// What a host knows that its orders depend on, besides the view.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Constraints {
    /// Place among the hosts that are heard, in the order of their names.
    pub rank: usize,
    /// Whether no request has come for a while.
    pub is_idle: bool,
    /// Digests of the names of engines that some host has ordered to change.
    pub pending_changes: Vec<u32>,
}

/// A role that an engine is to take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Engine.
    pub engine: UpstreamId,
    /// Role to take.
    pub role: Role,
}

/// Returns the changes that bring the engines of one service to `read_share`.
///
/// Each failure domain keeps at least one engine that generates, so that prompts are moved within
/// the domain, and gets its own share of engines that read. The engines that started last change
/// first: they have the least work to finish and the least to forget. `is_changing` tells the engines that
/// are away for a change already; at most a quarter of all are at a time, unless there is no load.
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
    let most = match is_idle {
        true => total as usize,
        false => ((f64::from(total) * CHANGING_SHARE) as usize).max(1),
    };
    let mut changes: Vec<Change> = Vec::new();
    for entries in domains.into_values() {
        changes.extend(domain_changes(&entries, read_share));
    }
    changes.retain(|change| !is_changing(&change.engine));
    changes.truncate(most.saturating_sub(changing));
    changes
}

fn domain_changes(entries: &[&Entry], read_share: f64) -> Vec<Change> {
    let most_readers = entries.len().saturating_sub(1);
    let wanted = ((entries.len() as f64 * read_share).round() as usize).min(most_readers);
    let readers: Vec<&&Entry> = entries
        .iter()
        .filter(|entry| entry.role == Role::Prefill)
        .collect();
    let others: Vec<&&Entry> = entries
        .iter()
        .filter(|entry| entry.role != Role::Prefill)
        .collect();
    let (from, role, count) = match readers.len() <= wanted {
        true => (others, Role::Prefill, wanted - readers.len()),
        false => (readers.clone(), Role::Decode, readers.len() - wanted),
    };
    let mut newest_first = from;
    newest_first.sort_by_key(|entry| std::cmp::Reverse(entry.started_at));
    let change = |entry: &&&Entry| Change {
        engine: entry.id.clone(),
        role,
    };
    newest_first.iter().take(count).map(change).collect()
}
