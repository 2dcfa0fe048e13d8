//! Engines that generate, counted for each build of a service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::Change;
use super::Criteria;
use crate::fleet::Entry;
use crate::id::BuildId;
use crate::id::DomainId;
use crate::upstream::Role;

/// Number of engines of a build from which the loss of its only generator would strand streams that
/// the others could go on with.
const MIN_ENGINES_FOR_SPARE: usize = 3;

/// Generators of each build; no builds are told apart if one of them serves alone or no stream is
/// resumed.
#[derive(Debug)]
pub struct Generators<'a> {
    criteria: &'a Criteria<'a>,
    builds: BTreeMap<&'a BuildId, Build<'a>>,
}

#[derive(Debug, Default)]
struct Build<'a> {
    engines: usize,
    /// Engines that generate and keep their role.
    generating: Vec<&'a Entry>,
    /// Engines that prefill and keep their role.
    prefilling: Vec<&'a Entry>,
    /// Number of engines that are changing to decode.
    starting: usize,
}

impl<'a> Generators<'a> {
    /// Counts the engines that are ready.
    pub fn new<F>(ready: &[&'a Entry], criteria: &'a Criteria<'a>, is_changing: F) -> Self
    where
        F: Fn(&Entry) -> bool,
    {
        let mut builds: BTreeMap<&BuildId, Build<'_>> = BTreeMap::new();
        for entry in ready {
            let build = builds.entry(&entry.build).or_default();
            build.engines += 1;
            match (entry.role, is_changing(entry)) {
                (Role::Prefill, true) => build.starting += 1,
                (Role::Prefill, false) => build.prefilling.push(entry),
                (Role::Decode | Role::Mixed, true) => (),
                (Role::Decode | Role::Mixed, false) => build.generating.push(entry),
            }
        }
        if !criteria.has_resumable_streams || builds.len() < 2 {
            builds.clear();
        }
        Generators { criteria, builds }
    }

    /// Returns `true` if the generators of each build count.
    pub fn are_counted(&self) -> bool {
        !self.builds.is_empty()
    }

    /// Returns the changes that give each build the generators that it lacks.
    pub fn missing(&self) -> Vec<Change> {
        self.builds
            .values()
            .flat_map(|build| build.missing(self.criteria))
            .collect()
    }

    /// Takes an engine from the generators of its build; returns `false` if the build needs it.
    pub fn take(&mut self, entry: &Entry) -> bool {
        let Some(build) = self.builds.get_mut(&entry.build) else {
            return true;
        };
        let is_other = |other: &&Entry| other.id != entry.id;
        let is_counted = |other: &&Entry| is_other(other) && self.criteria.is_reachable(other);
        let others = build.generating.iter().copied().filter(is_counted);
        let may_take = others.count() >= build.min_generating();
        if may_take {
            build.generating.retain(is_other);
        }
        may_take
    }
}

impl Build<'_> {
    /// Returns the number of generators that the build keeps. A spare is kept from three engines on.
    fn min_generating(&self) -> usize {
        match self.engines >= MIN_ENGINES_FOR_SPARE {
            true => 2,
            false => 1,
        }
    }

    fn missing(&self, criteria: &Criteria<'_>) -> Vec<Change> {
        let mut generating = self.generating.iter();
        let is_any_reached = generating.any(|entry| criteria.is_reachable(entry));
        let is_urgent = !is_any_reached && self.starting == 0;
        let known = self.generating.len() + self.starting;
        let count = self.min_generating().saturating_sub(known);
        let count = count.max(usize::from(is_urgent));
        // One domain may be lost as a whole, and the others have to go on without it.
        let domains: BTreeSet<&DomainId> =
            self.generating.iter().map(|entry| &entry.domain).collect();
        let reachable = self.prefilling.iter();
        let mut preferred_first: Vec<&&Entry> = reachable
            .filter(|entry| criteria.is_reachable(entry))
            .collect();
        preferred_first.sort_by_key(|entry| {
            let is_covered = domains.contains(&entry.domain);
            (is_covered, criteria.rank(entry, Role::Decode))
        });
        let change = |(number, entry): (usize, &&Entry)| Change {
            engine: entry.id.clone(),
            role: Role::Decode,
            is_urgent: is_urgent && number == 0,
        };
        let chosen = preferred_first.into_iter().take(count).enumerate();
        chosen.map(change).collect()
    }
}
