//! Work that arrives by service and failure domain, measured at each host and summed over hosts.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::gossip;
use crate::id::DomainId;
use crate::id::HostId;
use crate::id::ServiceId;

/// Time over which arrivals are averaged at a host; several fit into a turn of the mix.
const AVERAGING_S: f64 = 1.0;
/// Maximum number of services in one datagram, the busiest first.
const MAX_SERVICES: usize = 8;

/// Work that arrives each second, in seconds of one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Rate {
    /// Requests.
    pub requests: f64,
    /// Prefill with the blocks that are cached now.
    pub prefill: f64,
    /// Prefill that the cached blocks save.
    pub saved: f64,
    /// Decode.
    pub decode: f64,
}

impl Rate {
    fn scaled(self, factor: f64) -> Self {
        Rate {
            requests: self.requests * factor,
            prefill: self.prefill * factor,
            saved: self.saved * factor,
            decode: self.decode * factor,
        }
    }

    /// Returns the sum of two rates.
    pub fn plus(self, other: Self) -> Self {
        Rate {
            requests: self.requests + other.requests,
            prefill: self.prefill + other.prefill,
            saved: self.saved + other.saved,
            decode: self.decode + other.decode,
        }
    }

    /// Returns the number of upstreams that the work keeps busy.
    pub fn work(self) -> f64 {
        self.prefill + self.decode
    }
}

/// Work that arrives at this host.
#[derive(Debug, Default)]
pub struct Meter {
    services: HashMap<ServiceId, (Rate, Instant)>,
}

impl Meter {
    /// Records the work of one request that arrived at `now`.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::capacity::demand::{Meter, Rate};
    /// let mut meter = Meter::default();
    /// let now = Instant::now();
    /// meter.record(&"lm".into(), Rate { prefill: 0.02, ..Rate::default() }, now);
    /// assert!(meter.rate("lm", now).work() > meter.rate("lm", now + Duration::from_secs(3)).work());
    /// ```
    pub fn record(&mut self, service: &ServiceId, request: Rate, now: Instant) {
        let rate = self.rate(service, now);
        let added = rate.plus(request.scaled(AVERAGING_S.recip()));
        self.services.insert(service.clone(), (added, now));
    }

    /// Returns the work that arrives for a service.
    pub fn rate(&self, service: &str, now: Instant) -> Rate {
        self.services
            .get(service)
            .map_or(Rate::default(), |(rate, at)| {
                let since = now.saturating_duration_since(*at).as_secs_f64();
                rate.scaled((-since / AVERAGING_S).exp())
            })
    }

    /// Returns what is told to other hosts: the services with the most work.
    pub fn report(&self, now: Instant) -> Vec<gossip::Demand> {
        let mut demands: Vec<gossip::Demand> = self
            .services
            .keys()
            .map(|service| encode(service, self.rate(service, now)))
            .filter(|demand| demand.requests > 0)
            .collect();
        demands
            .sort_by_key(|demand| std::cmp::Reverse(demand.prefill.saturating_add(demand.decode)));
        demands.truncate(MAX_SERVICES);
        demands
    }
}

fn encode(service: &str, rate: Rate) -> gossip::Demand {
    let thousandths = |value: f64| (value * 1000.0) as u32;
    gossip::Demand {
        service: gossip::digest(service),
        requests: thousandths(rate.requests),
        prefill: thousandths(rate.prefill),
        saved: thousandths(rate.saved),
        decode: thousandths(rate.decode),
    }
}

fn decode(demand: &gossip::Demand) -> Rate {
    let value = |thousandths: u32| f64::from(thousandths) / 1000.0;
    Rate {
        requests: value(demand.requests),
        prefill: value(demand.prefill),
        saved: value(demand.saved),
        decode: value(demand.decode),
    }
}

/// Work that arrives for one service, by failure domain of the hosts that receive it.
///
/// A failure domain is listed as soon as one of its hosts was heard, also without work.
pub type ByDomain = BTreeMap<DomainId, Rate>;

#[derive(Debug)]
struct Report {
    domain: DomainId,
    demands: Vec<gossip::Demand>,
    received_at: Instant,
}

/// Newest reports of all hosts.
#[derive(Debug, Default)]
pub struct Reports {
    hosts: HashMap<HostId, Report>,
}

impl Reports {
    /// Records the newest report of a host.
    pub fn record(
        &mut self,
        host: &HostId,
        domain: &DomainId,
        demands: Vec<gossip::Demand>,
        now: Instant,
    ) {
        let report = Report {
            domain: domain.clone(),
            demands,
            received_at: now,
        };
        self.hosts.insert(host.clone(), report);
    }

    /// Drops the reports of hosts that have not been heard for `age`.
    pub fn forget(&mut self, age: Duration, now: Instant) {
        self.hosts
            .retain(|_, report| now.saturating_duration_since(report.received_at) < age);
    }

    /// Returns the number of hosts whose reports are counted.
    pub fn count(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the sums for a service.
    ///
    /// ```
    /// use std::time::Instant;
    /// use pistachiohall::capacity::demand::{Meter, Rate, Reports};
    /// let now = Instant::now();
    /// let mut meter = Meter::default();
    /// meter.record(&"lm".into(), Rate { requests: 1.0, decode: 0.5, ..Rate::default() }, now);
    /// let mut reports = Reports::default();
    /// reports.record(&"h1".into(), &"derby".into(), meter.report(now), now);
    /// reports.record(&"h2".into(), &"derby".into(), meter.report(now), now);
    /// assert_eq!(reports.sum("lm")["derby"].decode, 1.0);
    /// ```
    pub fn sum(&self, service: &str) -> ByDomain {
        let digest = gossip::digest(service);
        let mut sums = ByDomain::new();
        for report in self.hosts.values() {
            let sum = sums.entry(report.domain.clone()).or_default();
            let own = report
                .demands
                .iter()
                .find(|demand| demand.service == digest);
            *sum = sum.plus(own.map_or(Rate::default(), decode));
        }
        sums
    }
}
