//! Builds that have served a service lately.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use super::inference::Belief;
use super::retention::Retention;
use crate::id::BuildDigest;
use crate::id::BuildId;
use crate::id::ServiceId;

/// Builds of a service, as hosts keep them in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// Builds.
    pub builds: BTreeSet<BuildId>,
    /// Time for which they have been the only ones; `None` if there were no others before.
    pub age: Option<Duration>,
    /// Time for which streams of the others might be taken up.
    pub memory: Duration,
}

/// Builds of one service that this host has seen.
#[derive(Debug, Default)]
pub struct Builds {
    current: BTreeSet<BuildId>,
    /// Builds that have left, with the times.
    departed: BTreeMap<BuildId, Instant>,
    /// Time of the last change; `None` if there was none.
    changed_at: Option<Instant>,
    /// Time at which this host compared its builds with the stored ones, and the time before for which these
    /// show that there were no others, `None` if it has no limit.
    compared: Option<(Instant, Option<Duration>)>,
    /// Whether the stored builds may differ.
    is_unstored: bool,
}

impl Builds {
    /// Sets the builds that serve now. Upstreams that are all missing are taken for a fault of the registry.
    pub fn update(&mut self, current: BTreeSet<BuildId>, now: Instant) {
        if current == self.current || current.is_empty() {
            return;
        }
        for build in self.current.difference(&current) {
            self.departed.insert(build.clone(), now);
        }
        self.departed.retain(|build, _| !current.contains(build));
        if !self.current.is_empty() {
            self.changed_at = Some(now);
        }
        self.current = current;
        self.is_unstored = true;
    }

    /// Compares the builds with those in the store, or with none if the store has none; must be called
    /// once some are known.
    pub fn compare(&mut self, stored: Option<&Stored>, now: Instant) {
        let is_equal = stored.is_none_or(|stored| stored.builds == self.current);
        self.is_unstored = stored.is_none() || !is_equal;
        if self.compared.is_some() {
            return;
        }
        let known_before = match stored {
            Some(stored) if is_equal => stored.age,
            Some(_) => Some(Duration::ZERO),
            None => None,
        };
        self.compared = Some((now, known_before));
        let others = stored.into_iter().flat_map(|stored| &stored.builds);
        for build in others.filter(|build| !self.current.contains(*build)) {
            self.departed.insert(build.clone(), now);
        }
    }

    /// Returns `true` if the builds are known and have been compared with those in the store.
    pub fn is_compared(&self) -> bool {
        self.compared.is_some()
    }

    /// Returns `true` if some builds are known.
    pub fn is_known(&self) -> bool {
        !self.current.is_empty()
    }

    /// Returns the build of all streams that began within `memory`; `None` if there may be several.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::origin::Builds;
    /// let (mut builds, now, memory) = (Builds::default(), Instant::now(), Duration::from_secs(30));
    /// builds.update(["v1".into()].into(), now);
    /// builds.compare(None, now);
    /// assert_eq!(builds.only(memory, now).unwrap(), "v1");
    /// builds.update(["v1".into(), "v2".into()].into(), now);
    /// assert_eq!(builds.only(memory, now), None);
    /// builds.update(["v2".into()].into(), now);
    /// assert_eq!(builds.only(memory, now + memory / 2), None);
    /// assert_eq!(builds.only(memory, now + memory).unwrap(), "v2");
    /// ```
    pub fn only(&self, memory: Duration, now: Instant) -> Option<&BuildId> {
        let (compared_at, known_before) = self.compared?;
        let passed = |since: Instant| now.saturating_duration_since(since);
        let is_known = known_before.is_none_or(|known| passed(compared_at) + known >= memory);
        self.only_now(memory, now).filter(|_| is_known)
    }

    /// Returns the build that serves if only one does, whatever served before this host knew them; `None` if it
    /// has seen another one within `memory`.
    pub fn only_now(&self, memory: Duration, now: Instant) -> Option<&BuildId> {
        let is_lately = |at: &Instant| now.saturating_duration_since(*at) < memory;
        let mut current = self.current.iter();
        let only = current.next().filter(|_| current.next().is_none())?;
        (!self.departed.values().any(is_lately)).then_some(only)
    }

    /// Returns what the store should have, if it may have something else; `memory` is the time for which
    /// streams may be taken up.
    pub fn unstored(&self, memory: Duration, now: Instant) -> Option<Stored> {
        let is_due = self.is_unstored && self.compared.is_some();
        is_due.then(|| Stored {
            builds: self.current.clone(),
            age: self.age(now),
            memory,
        })
    }

    /// Returns the time for which the current builds have been the only ones.
    fn age(&self, now: Instant) -> Option<Duration> {
        let passed = |since: Instant| now.saturating_duration_since(since);
        match (self.changed_at, self.compared) {
            (Some(changed_at), _) => Some(passed(changed_at)),
            (None, Some((at, Some(known)))) => Some(passed(at) + known),
            (None, _) => None,
        }
    }

    /// Records that the store has the builds.
    pub fn record_stored(&mut self, builds: &BTreeSet<BuildId>) {
        self.is_unstored = self.current != *builds;
    }

    /// Forgets the builds that left longer than `memory` ago.
    fn forget(&mut self, memory: Duration, now: Instant) {
        let passed = |at: &Instant| now.saturating_duration_since(*at);
        self.departed.retain(|_, at| passed(at) < memory);
    }
}

/// Builds of each service whose streams may be resumed.
#[derive(Debug, Default)]
pub struct History {
    /// Builds by service.
    pub services: BTreeMap<ServiceId, Builds>,
    /// Time for which a caller may take up a stream after it began.
    pub retention: Retention,
}

impl History {
    /// Sets the builds that serve now, by service, and the time for which streams that begin from now on may
    /// be taken up.
    pub fn update(
        &mut self,
        current: BTreeMap<ServiceId, BTreeSet<BuildId>>,
        memory: Duration,
        now: Instant,
    ) {
        self.retention.set(memory, now);
        let memory = self.retention.longest(now);
        for (service, builds) in current {
            self.services
                .entry(service)
                .or_default()
                .update(builds, now);
        }
        for builds in self.services.values_mut() {
            builds.forget(memory, now);
        }
    }

    /// Compares the builds of services that have not been compared yet with those in the store.
    pub fn compare(&mut self, stored: &BTreeMap<ServiceId, Stored>, now: Instant) {
        for (service, builds) in &mut self.services {
            if builds.is_compared() || !builds.is_known() {
                continue;
            }
            let stored = stored.get(service);
            builds.compare(stored, now);
            // A host that starts has not seen the configurations under which the streams of other builds began.
            if let Some(stored) = stored {
                let age = stored.age.filter(|_| stored.builds == builds.current);
                let until = now.checked_sub(age.unwrap_or_default());
                self.retention
                    .record_past(stored.memory, until.unwrap_or(now));
            }
        }
    }

    /// Returns what this host believes of the build of all streams of a service; `digest` returns that of a build.
    pub fn belief<D>(&self, service: &ServiceId, digest: D, now: Instant) -> Belief
    where
        D: Fn(&BuildId) -> BuildDigest,
    {
        let memory = self.retention.longest(now);
        let builds = self.services.get(service);
        let only = builds.and_then(|builds| builds.only(memory, now));
        let only_now = || builds.and_then(|builds| builds.only_now(memory, now));
        let is_compared = builds.is_some_and(Builds::is_compared);
        match (only, is_compared) {
            (Some(build), _) => Belief::Only(digest(build)),
            (None, true) => Belief::Several,
            (None, false) => {
                only_now().map_or(Belief::Several, |build| Belief::OnlyNow(digest(build)))
            }
        }
    }

    /// Returns the build of all streams of a service that may be taken up; `None` if there may be several.
    pub fn only(&self, service: &ServiceId, now: Instant) -> Option<&BuildId> {
        let memory = self.retention.longest(now);
        self.services.get(service)?.only(memory, now)
    }
}
