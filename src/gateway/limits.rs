//! Limits that upstreams name: this host's shares, and the reports to and from peers.

use std::rc::Rc;
use std::time::Instant;

use http::response::Parts;
use log::info;

use super::Gateway;
use super::target::Target;
use crate::gossip;
use crate::id::HostId;
use crate::platform::egress;
use crate::throttle::Generation;
use crate::throttle::Limit;
use crate::throttle::Share;
use crate::throttle::Throttle;

/// Hosts that share limits.
#[derive(Debug, Default)]
pub struct SharingHosts {
    /// Names, including this host's.
    hosts: Vec<HostId>,
    /// Number of hosts that is assumed if there are fewer.
    min_hosts: usize,
    generation: Generation,
}

impl Gateway {
    /// Applies the notice in the head of a response; `source` names the request or the call.
    pub fn apply_notice(&self, target: &Target, head: &Parts, source: &str) {
        target.apply_notice(head, source);
        self.update_share(target, Instant::now());
    }

    /// Lifts an upstream's limit if the head of its response, to a request sent at `sent_at`, names
    /// none.
    pub fn lift_limit(&self, target: &Target, head: &Parts, sent_at: Instant) {
        if egress::notice(head.status, &head.headers).limit.is_some() {
            return;
        }
        let now = Instant::now();
        let lift = |throttle: &mut Throttle| throttle.record_unnamed(sent_at, now);
        if target.incarnation().with_throttle(lift) {
            info!(
                upstream:% = target.entry.id,
                born = target.entry.started_at,
                outcome = "unlimited";
                "upstream names no limit any more"
            );
        }
    }

    /// Sets the hosts that share limits, including this one, and the number of hosts that is assumed
    /// if they are fewer.
    pub fn set_sharing_hosts(&self, hosts: Vec<HostId>, min_hosts: usize, now: Instant) {
        let mut sharing = self.sharing_hosts.borrow_mut();
        if sharing.hosts != hosts || sharing.min_hosts != min_hosts {
            sharing.hosts = hosts;
            sharing.min_hosts = min_hosts;
            sharing.generation += 1;
        }
        drop(sharing);
        for target in self.targets.borrow().values() {
            self.update_share(target, now);
        }
    }

    /// Sets this host's share of an upstream's limit if the hosts that share it have changed. They may
    /// change while the upstream has no entry.
    fn update_share(&self, target: &Target, now: Instant) {
        let sharing = self.sharing_hosts.borrow();
        let generation = sharing.generation;
        let needs_share = |throttle: &mut Throttle| throttle.needs_share(generation, now);
        if !target.incarnation().with_throttle(needs_share) {
            return;
        }
        let mut share = Share::of(&self.settings.name, &sharing.hosts, &target.entry.id);
        share.hosts = share.hosts.max(sharing.min_hosts);
        let set_share = |throttle: &mut Throttle| throttle.set_share(share, generation, now);
        target.incarnation().with_throttle(set_share);
        info!(
            upstream:% = target.entry.id,
            hosts = share.hosts,
            rank = share.rank,
            outcome = "shared";
            "share of a limit set"
        );
    }

    /// Returns at most `max` limits that are due to be reported to peers.
    pub fn due_limits(&self, max: usize, now: Instant) -> Vec<gossip::RateLimit> {
        let targets = self.targets.borrow();
        let due = targets.values().filter_map(|target: &Rc<Target>| {
            let due_report = |throttle: &mut Throttle| throttle.due_report(now);
            let limit = target.incarnation().with_throttle(due_report)?;
            Some(gossip::RateLimit {
                incarnation: target.incarnation_digest(),
                limit: limit.0,
            })
        });
        due.take(max).collect()
    }

    /// Records the limits that a peer reports.
    pub fn record_reported_limits(&self, limits: &[gossip::RateLimit], now: Instant) {
        for reported in limits {
            let Some(target) = self.target_by_incarnation(reported.incarnation) else {
                continue;
            };
            let limit = Limit(reported.limit);
            let record = |throttle: &mut Throttle| throttle.record_reported(limit, now);
            target.incarnation().with_throttle(record);
            self.update_share(&target, now);
        }
    }
}
