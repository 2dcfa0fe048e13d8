//! Engines that are changing their role, as any host has ordered, and when a stream can go on after that.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::Gateway;
use super::open::Progress;
use super::target::Target;
use crate::gossip;
use crate::upstream::Role;

/// Time for which an engine gets no work after the last report that it changes its role; longer
/// than the interval between two datagrams, so that one of them may be lost.
const REPORT_TTL: Duration = Duration::from_millis(1200);
/// Usual time from the loss of a build's last generator to the order that replaces it.
const ORDER_DELAY: Duration = Duration::from_millis(800);
/// Usual time from the end of a change to the reading of the engine's new entry.
const READING_DELAY: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy)]
struct Switch {
    /// Role in the engine's entry when the change was first reported.
    from: Role,
    since: Instant,
    until: Instant,
}

/// Engines that are changing their role, by the digests of their names.
#[derive(Debug, Default)]
pub struct Switches {
    by_engine: HashMap<u32, Switch>,
}

impl Switches {
    /// Records a report at `now` that an engine, whose entry has `role`, is changing its role.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::gateway::switch::Switches;
    /// use pistachiohall::upstream::Role;
    /// let (mut switches, start) = (Switches::default(), Instant::now());
    /// let second = Duration::from_secs(1);
    /// switches.record(7, Role::Prefill, start);
    /// switches.record(7, Role::Prefill, start + second);
    /// assert_eq!(switches.since(7, Role::Prefill, start + second), Some(start));
    /// assert_eq!(switches.since(7, Role::Decode, start + second), None);
    /// assert_eq!(switches.since(7, Role::Prefill, start + 3 * second), None);
    /// ```
    pub fn record(&mut self, engine: u32, role: Role, now: Instant) {
        self.by_engine.retain(|_, switch| now < switch.until);
        let until = now + REPORT_TTL;
        let switch = self.by_engine.entry(engine).or_insert(Switch {
            from: role,
            since: now,
            until,
        });
        switch.until = until;
    }

    /// Returns when an engine was first reported to be changing; `None` if it isn't at `now`, or `role`, the one
    /// in its entry, shows that the change has ended.
    pub fn since(&self, engine: u32, role: Role, now: Instant) -> Option<Instant> {
        let switch = self.by_engine.get(&engine)?;
        (now < switch.until && switch.from == role).then_some(switch.since)
    }
}

impl Gateway {
    /// Records engines that were ordered to change their role, by the digests of their names.
    pub fn record_pending_changes(&self, engines: &[u32], now: Instant) {
        if engines.is_empty() {
            return;
        }
        let mut switches = self.switches.borrow_mut();
        for target in self.targets.borrow().values() {
            let digest = gossip::digest(&target.entry.id);
            if engines.contains(&digest) {
                switches.record(digest, target.entry.role, now);
            }
        }
    }

    /// Returns the digests of the engines that are changing their role, in order, with the roles that their entries
    /// have until then.
    pub fn pending_changes(&self, now: Instant) -> Vec<(u32, Role)> {
        let targets = self.targets.borrow();
        let changing = targets
            .values()
            .filter(|target| self.is_changing_role(target, now));
        let mut engines: Vec<(u32, Role)> = changing
            .map(|target| (gossip::digest(&target.entry.id), target.entry.role))
            .collect();
        engines.sort_unstable_by_key(|(engine, _)| *engine);
        engines
    }

    /// Returns `true` if an engine is changing its role.
    pub fn is_changing_role(&self, target: &Target, now: Instant) -> bool {
        self.changing_since(target, now).is_some()
    }

    fn changing_since(&self, target: &Target, now: Instant) -> Option<Instant> {
        let digest = gossip::digest(&target.entry.id);
        let switches = self.switches.borrow();
        switches.since(digest, target.entry.role, now)
    }

    /// Returns the time until an engine that prefills now is expected to generate for a stream that none
    /// of the present generators can go on with; `None` if there is no such engine.
    pub fn generator_due(&self, progress: &Progress, now: Instant) -> Option<Duration> {
        let call = &progress.call;
        let catalog = self.catalog()?;
        let duration = catalog
            .service(&call.service)?
            .engine
            .as_ref()?
            .switch_duration;
        let targets = self.targets(&call.service, now);
        let prefilling = targets
            .iter()
            .filter(|target| target.entry.role == Role::Prefill && progress.permits(target));
        let ends_in = |target: &Target| {
            let since = self.changing_since(target, now);
            let left = since.map(|since| (since + duration).saturating_duration_since(now));
            left.unwrap_or(ORDER_DELAY + duration) + READING_DELAY
        };
        prefilling.map(|target| ends_in(target)).min()
    }
}
