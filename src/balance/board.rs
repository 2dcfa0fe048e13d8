//! Loads of plain upstreams: this host's requests, and what other hosts report of theirs.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use super::Pace;
use super::Place;
use super::Rate;
use crate::id::HostId;

/// Maximum requests in flight from one host per slot of an upstream; more are impossible.
const MAX_RUNNING_PER_SLOT: u32 = 64;
/// Maximum age of a request in flight; more is impossible.
const MAX_REQUEST_AGE: Duration = Duration::from_secs(600);
/// Maximum time that an upstream takes for a request which doesn't wait; more is impossible.
const MAX_SERVICE_TIME: Duration = Duration::from_secs(60);
/// Time that an upstream is assumed to take for a request before any was answered, in seconds.
const DEFAULT_SERVICE_S: f64 = 0.02;
/// Time without a report after which a peer's requests no longer count.
const REPORT_TTL: Duration = Duration::from_secs(2);
/// Maximum upstreams in one report.
const MAX_REPORTS: usize = 16;
/// Time after its last request for which an upstream is reported.
const REPORT_TIME: Duration = Duration::from_secs(1);
/// Forecast response times without a response after which an upstream counts as silent.
const MAX_SILENCE_FACTOR: f64 = 3.0;
/// Time after a rejection for which it bounds the load; the forecast at which it came may have been
/// too low.
const ROOM_TTL: Duration = Duration::from_millis(100);
/// Weight of the newest interval between two reports of a peer in the mean.
const INTERVAL_SMOOTHING: f64 = 0.05;

/// What one host reports of its requests to one upstream. The counts go on from the host's start,
/// so that a lost report does no harm.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Report {
    /// Digest of the upstream's name.
    pub upstream: u32,
    /// Requests in flight.
    pub running: u32,
    /// Age of the oldest of these.
    pub oldest: Duration,
    /// Requests sent.
    pub sent: u32,
    /// Responses received.
    pub answered: u32,
    /// Requests that it rejected without running them.
    pub rejected: u32,
    /// Time that the upstream took for the answered ones without waiting, in microseconds; wraps around.
    pub work_us: u64,
}

/// Reason for ignoring a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// It names more requests in flight than an upstream can hold.
    Running,
    /// It names a request older than any may get.
    Age,
    /// It names responses without requests, or an impossible time for them.
    Work,
}

#[derive(Debug, Clone, Copy)]
struct PeerLoad {
    report: Report,
    started_at: u64,
    at: Instant,
}

#[derive(Debug, Default)]
struct Upstream {
    slots: u32,
    running: Vec<(u64, Instant)>,
    own: Report,
    used_at: Option<Instant>,
    peers: HashMap<HostId, PeerLoad>,
    pace: Pace,
    rate: Rate,
    answered_at: Option<Instant>,
    /// Maximum forecast load at which a request was taken.
    max_admitted: f64,
    room: f64,
    rejected_at: Option<Instant>,
}

impl Upstream {
    fn live_peers(&self, now: Instant) -> impl Iterator<Item = &PeerLoad> {
        self.peers.values().filter(move |peer| {
            peer.report.running > 0 && now.saturating_duration_since(peer.at) < REPORT_TTL
        })
    }

    /// Returns the requests in flight from peers that are probably still there.
    fn peers_load(&self, response_s: f64, now: Instant) -> f64 {
        let loads = self.live_peers(now).map(|peer| {
            let age = now.saturating_duration_since(peer.at).as_secs_f64();
            f64::from(peer.report.running) * (-age / response_s).exp()
        });
        loads.sum()
    }

    /// Returns the time since the last response if requests have been without one for unusually
    /// long, or else 0. A peer's requests count with the age that it reported: they may have been
    /// answered since.
    fn silence(&self, response_s: f64, now: Instant) -> f64 {
        let own = self.running.iter().map(|(_, sent)| (*sent, now));
        let others = self
            .live_peers(now)
            .filter_map(|peer| Some((peer.at.checked_sub(peer.report.oldest)?, peer.at)));
        let max_silence = Duration::from_secs_f64(MAX_SILENCE_FACTOR * response_s);
        let answered_at = self.answered_at;
        let silent_since = own.chain(others).filter_map(|(sent, seen)| {
            let since = answered_at.map_or(sent, |at| at.max(sent));
            (seen.saturating_duration_since(since) > max_silence).then_some(since)
        });
        let since = silent_since.min();
        since.map_or(0.0, |since| {
            now.saturating_duration_since(since).as_secs_f64()
        })
    }
}

/// Loads of the plain upstreams that requests may go to.
#[derive(Debug, Default)]
pub struct Board {
    upstreams: HashMap<u32, Upstream>,
    heard: HashMap<HostId, Instant>,
    mean_interval_s: f64,
    last_ticket: u64,
}

impl Board {
    /// Counts a request that is sent to an upstream, and returns the number by which it ends.
    pub fn begin(&mut self, upstream: u32, now: Instant) -> u64 {
        self.last_ticket += 1;
        let entry = self.upstreams.entry(upstream).or_default();
        entry.running.push((self.last_ticket, now));
        entry.own.sent = entry.own.sent.wrapping_add(1);
        entry.used_at = Some(now);
        self.last_ticket
    }

    /// Records the end of a request, however it ended.
    pub fn end(&mut self, upstream: u32, ticket: u64) {
        if let Some(entry) = self.upstreams.get_mut(&upstream) {
            entry.running.retain(|(running, _)| *running != ticket);
        }
    }

    /// Records the response to a request: the time that it took, and the share of this that the
    /// forecast took for service rather than waiting.
    pub fn record_response(
        &mut self,
        upstream: u32,
        took: Duration,
        service_share: f64,
        now: Instant,
    ) {
        let entry = self.upstreams.entry(upstream).or_default();
        let service = took
            .mul_f64(service_share.clamp(0.0, 1.0))
            .min(MAX_SERVICE_TIME);
        entry.own.answered = entry.own.answered.wrapping_add(1);
        entry.own.work_us = entry.own.work_us.wrapping_add(service.as_micros() as u64);
        entry.pace.record(1, service, now);
        entry.answered_at = Some(now);
        entry.used_at = Some(now);
    }

    /// Records that an upstream rejected a request when its load was forecast as `load`.
    pub fn record_rejection(&mut self, upstream: u32, load: f64, now: Instant) {
        let entry = self.upstreams.entry(upstream).or_default();
        entry.own.rejected = entry.own.rejected.wrapping_add(1);
        entry.used_at = Some(now);
        entry.bound(load, now);
    }

    /// Records that an upstream took a request when its load was forecast as `load`.
    pub fn record_admission(&mut self, upstream: u32, load: f64) {
        let entry = self.upstreams.entry(upstream).or_default();
        entry.max_admitted = entry.max_admitted.max(load + 1.0);
    }

    /// Takes in a peer's reports of all upstreams that it uses; returns why some were ignored.
    pub fn record_peer(
        &mut self,
        peer: &HostId,
        started_at: u64,
        reports: &[Report],
        now: Instant,
    ) -> Vec<Rejection> {
        if let Some(before) = self.heard.insert(peer.clone(), now) {
            let interval = now
                .saturating_duration_since(before)
                .min(REPORT_TTL)
                .as_secs_f64();
            self.mean_interval_s += INTERVAL_SMOOTHING * (interval - self.mean_interval_s);
        }
        let mut rejections = Vec::new();
        let mut named = HashSet::new();
        for report in reports.iter().take(MAX_REPORTS) {
            let Some(entry) = self.upstreams.get_mut(&report.upstream) else {
                continue;
            };
            match entry.merge(peer, started_at, report, now) {
                Ok(()) => {
                    named.insert(report.upstream);
                }
                Err(rejection) => rejections.push(rejection),
            }
        }
        for (upstream, entry) in &mut self.upstreams {
            if let Some(load) = entry.peers.get_mut(peer)
                && !named.contains(upstream)
            {
                load.report.running = 0;
            }
        }
        rejections
    }

    /// Keeps only the upstreams named, with the number of their slots, and forgets hosts that are
    /// gone.
    pub fn set_upstreams<I>(&mut self, upstreams: I, now: Instant)
    where
        I: Iterator<Item = (u32, u32)>,
    {
        let mut previous = std::mem::take(&mut self.upstreams);
        for (digest, slots) in upstreams {
            let mut entry = previous.remove(&digest).unwrap_or_default();
            entry.slots = slots.max(1);
            self.upstreams.insert(digest, entry);
        }
        let is_known = |at: &Instant| now.saturating_duration_since(*at) < 10 * REPORT_TTL;
        self.heard.retain(|_, at| is_known(at));
        for entry in self.upstreams.values_mut() {
            entry.peers.retain(|_, peer| is_known(&peer.at));
        }
    }

    /// Returns what this host reports of its requests.
    pub fn reports(&self, now: Instant) -> Vec<Report> {
        let used = self.upstreams.iter().filter(|(_, entry)| {
            let is_recent = |at| now.saturating_duration_since(at) < REPORT_TIME;
            !entry.running.is_empty() || entry.used_at.is_some_and(is_recent)
        });
        let mut reports: Vec<Report> = used
            .map(|(digest, entry)| {
                let oldest = entry.running.iter().map(|(_, at)| *at).min();
                Report {
                    upstream: *digest,
                    running: entry.running.len() as u32,
                    oldest: oldest.map_or(Duration::ZERO, |at| now.saturating_duration_since(at)),
                    ..entry.own
                }
            })
            .collect();
        reports.sort_by_key(|report| (std::cmp::Reverse(report.running), report.upstream));
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// Returns an upstream as a request finds it at `now`, without cost beside its response time.
    pub fn place(&self, upstream: u32, slots: u32, default_service_s: f64, now: Instant) -> Place {
        let mut place = Place {
            slots: f64::from(slots.max(1)),
            load: 0.0,
            service_s: default_service_s,
            silence_s: 0.0,
            room: f64::INFINITY,
            extra_s: 0.0,
        };
        let Some(entry) = self.upstreams.get(&upstream) else {
            return place;
        };
        place.service_s = entry.pace.service_s(now).unwrap_or(default_service_s);
        let own = entry.running.len() as f64;
        // The time after which a reported request has probably ended depends on the load that the
        // reports name, before any of it has ended.
        let reported: u32 = entry.live_peers(now).map(|peer| peer.report.running).sum();
        place.load = own + f64::from(reported);
        let response_s = place.response_s(0.0);
        place.load = own + entry.peers_load(response_s, now);
        if let Some(at) = entry.rejected_at {
            let since = now.saturating_duration_since(at);
            let drained = since.as_secs_f64() * place.slots / place.service_s;
            place.load = place.load.max(entry.room - drained);
            if since < ROOM_TTL {
                place.room = entry.room.max(place.slots);
            }
        }
        place.silence_s = entry.silence(place.response_s(0.0), now);
        place
    }

    /// Returns the mean time in seconds that the given upstreams take for a request, for those of
    /// which no response is known.
    pub fn default_service_s(&self, upstreams: &[u32], now: Instant) -> f64 {
        let known = upstreams
            .iter()
            .filter_map(|digest| self.upstreams.get(digest)?.pace.service_s(now));
        let (sum, count) = known.fold((0.0, 0.0), |(sum, count), pace| (sum + pace, count + 1.0));
        match count > 0.0 {
            true => sum / count,
            false => DEFAULT_SERVICE_S,
        }
    }

    /// Returns the number of requests that peers have sent to the given upstreams since their last
    /// reports and that are probably still in flight, with a mean response time of `response_s`.
    pub fn unseen(&self, upstreams: &[u32], response_s: f64, now: Instant) -> f64 {
        let rates = upstreams
            .iter()
            .filter_map(|digest| self.upstreams.get(digest));
        let per_s: f64 = rates.map(|entry| entry.rate.per_s(now)).sum();
        let age_s = self.mean_interval_s / 2.0;
        per_s * response_s * (1.0 - (-age_s / response_s).exp())
    }

    /// Returns the time since any peer last reported; zero if there are no peers.
    pub fn age(&self, now: Instant) -> Duration {
        let newest = self.heard.values().max();
        newest.map_or(Duration::ZERO, |at| now.saturating_duration_since(*at))
    }

    /// Returns `true` if a response of the upstream is known.
    pub fn is_known(&self, upstream: u32, now: Instant) -> bool {
        let entry = self.upstreams.get(&upstream);
        entry.is_some_and(|entry| entry.pace.service_s(now).is_some())
    }
}

impl Upstream {
    /// Records that no more than `load` requests, or than it has taken before, find room.
    fn bound(&mut self, load: f64, now: Instant) {
        self.room = load.max(self.max_admitted);
        self.rejected_at = Some(now);
    }

    fn merge(
        &mut self,
        peer: &HostId,
        started_at: u64,
        report: &Report,
        now: Instant,
    ) -> Result<(), Rejection> {
        if report.running > self.slots.saturating_mul(MAX_RUNNING_PER_SLOT) {
            return Err(Rejection::Running);
        }
        if report.oldest > MAX_REQUEST_AGE {
            return Err(Rejection::Age);
        }
        let before = self
            .peers
            .get(peer)
            .filter(|before| before.started_at == started_at);
        let before = before.map_or(*report, |before| before.report);
        let sent = report.sent.wrapping_sub(before.sent);
        let answered = report.answered.wrapping_sub(before.answered);
        let work = Duration::from_micros(report.work_us.wrapping_sub(before.work_us));
        let max_sent = self
            .slots
            .saturating_mul(MAX_RUNNING_PER_SLOT)
            .saturating_mul(1000);
        if sent > max_sent || answered > max_sent || work > answered * MAX_SERVICE_TIME {
            // The counts can't be compared with the previous ones; the next ones are with these.
            self.insert(peer, started_at, report, now);
            return Err(Rejection::Work);
        }
        if sent > 0 {
            self.rate.record(sent, now);
        }
        if answered > 0 {
            self.pace.record(answered, work, now);
            self.answered_at = Some(now);
        }
        let is_rejecting = report.rejected != before.rejected;
        self.insert(peer, started_at, report, now);
        if is_rejecting {
            let peers = self.live_peers(now).map(|peer| peer.report.running);
            let load = self.running.len() as u32 + peers.sum::<u32>();
            self.bound(f64::from(load), now);
        }
        Ok(())
    }

    fn insert(&mut self, peer: &HostId, started_at: u64, report: &Report, at: Instant) {
        let load = PeerLoad {
            report: *report,
            started_at,
            at,
        };
        self.peers.insert(peer.clone(), load);
    }
}
