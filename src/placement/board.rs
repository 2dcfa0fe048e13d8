//! Load of each engine: this host's own requests and the loads that peers report.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::cache::Cache;
use super::pace::Factor;
use super::pace::Gap;
use super::pace::Learned;
use super::pace::Slowdown;
use super::pace::Told;
use crate::gateway::call::Block;
use crate::gossip;
use crate::id::HostId;
use crate::id::ServiceId;
use crate::id::UpstreamId;

/// Minimum pause between events that tells the pace of an engine; shorter ones are events that
/// arrived together.
const MIN_GAP: Duration = Duration::from_millis(1);
/// Maximum pause between events that tells the pace of an engine; longer ones are engines that
/// hang or links that are cut.
const MAX_GAP: Duration = Duration::from_secs(2);
/// Minimum interval between two recorded pauses of an engine, whose streams pause together.
const MIN_PAUSE_INTERVAL: Duration = Duration::from_millis(50);
/// Age at which a load received from a peer expires; peers send theirs at least every 400 ms.
const PEER_LOAD_TTL: Duration = Duration::from_millis(1000);
/// Interval after which the pace of an engine that is still measured is told again though it has not
/// changed, to hosts that started later or lost a datagram.
const TELL_AGAIN_INTERVAL: Duration = Duration::from_secs(10);

/// Work that one host has sent to one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests in flight.
    pub running: usize,
    /// Prefill time of unfinished requests that are expected on time.
    pub backlog: Duration,
    /// Prefill time of unfinished requests that will be late.
    pub late_backlog: Duration,
}

#[derive(Debug)]
struct Engine {
    digest: u32,
    service: ServiceId,
    own: Load,
    peers: HashMap<HostId, (Load, Instant)>,
    cache: Cache,
    /// Relative to the slowdown of its service.
    slowdown: Learned,
    /// Of its streams, relative to those of its service.
    decode_slowdown: Learned,
    /// What peers were last told.
    told: Option<Telling>,
    /// Time at which the last pause was recorded.
    pause_at: Option<Instant>,
}

/// Figures of an engine that peers were told.
#[derive(Debug, Clone, Copy)]
struct Telling {
    pace: Told,
    /// Number of durations that had been measured.
    count: f64,
    at: Instant,
}

/// Loads, caches and slowdowns of all engines.
#[derive(Debug, Default)]
pub struct Board {
    engines: HashMap<UpstreamId, Engine>,
    slowdowns: HashMap<ServiceId, Slowdown>,
    gaps: HashMap<ServiceId, Gap>,
}

impl Board {
    /// Adds an engine; replaces all state of one that has restarted.
    pub fn add(&mut self, id: &UpstreamId, service: &ServiceId, kv_capacity_tokens: u64) {
        let engine = Engine {
            digest: gossip::digest(id),
            service: service.clone(),
            own: Load::default(),
            peers: HashMap::new(),
            cache: Cache::new(kv_capacity_tokens),
            slowdown: Learned::new(Slowdown::for_engine()),
            decode_slowdown: Learned::new(Slowdown::for_streams()),
            told: None,
            pause_at: None,
        };
        self.engines.insert(id.clone(), engine);
    }

    /// Keeps only the engines for which `is_kept` returns `true`.
    pub fn retain<F>(&mut self, is_kept: F)
    where
        F: Fn(&UpstreamId) -> bool,
    {
        self.engines.retain(|id, _| is_kept(id));
    }

    /// Returns `true` if an engine is known.
    pub fn contains(&self, id: &UpstreamId) -> bool {
        self.engines.contains_key(id)
    }

    /// Returns the load of an engine at `now`, summed over all hosts.
    pub fn load(&self, id: &UpstreamId, now: Instant) -> Load {
        let Some(engine) = self.engines.get(id) else {
            return Load::default();
        };
        let unexpired = engine
            .peers
            .values()
            .filter(|(_, at)| now.saturating_duration_since(*at) < PEER_LOAD_TTL);
        unexpired.fold(engine.own, |sum, (load, _)| Load {
            running: sum.running + load.running,
            backlog: sum.backlog + load.backlog,
            late_backlog: sum.late_backlog + load.late_backlog,
        })
    }

    /// Returns this host's own share of each engine's load.
    pub fn own_loads(&self) -> impl Iterator<Item = (&UpstreamId, Load)> {
        self.engines.iter().map(|(id, engine)| (id, engine.own))
    }

    /// Replaces the loads received from a peer, keyed by the digest of the engine's name.
    pub fn record_peer(&mut self, host: &HostId, loads: &HashMap<u32, Load>, now: Instant) {
        for engine in self.engines.values_mut() {
            match loads.get(&engine.digest) {
                Some(load) => {
                    engine.peers.insert(host.clone(), (*load, now));
                }
                None => {
                    engine.peers.remove(host);
                }
            }
        }
    }

    /// Records that a peer had an engine prefill a prompt.
    pub fn record_peer_prefill(&mut self, digest: u32, blocks: &[Block]) {
        for engine in self.engines.values_mut() {
            if engine.digest == digest {
                engine.cache.record(blocks);
            }
        }
    }

    /// Returns the estimated number of tokens at the start of a prompt that an engine has cached.
    pub fn cached_tokens(&self, id: &UpstreamId, blocks: &[Block]) -> u64 {
        self.engines
            .get(id)
            .map_or(0, |engine| engine.cache.cached_tokens(blocks))
    }

    /// Records that this host has an engine prefill a prompt.
    pub fn record_prefill(&mut self, id: &UpstreamId, blocks: &[Block]) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.cache.record(blocks);
        }
    }

    /// Changes this host's own share of an engine's load.
    pub fn update_own<F>(&mut self, id: &UpstreamId, change: F)
    where
        F: FnOnce(&mut Load),
    {
        if let Some(engine) = self.engines.get_mut(id) {
            change(&mut engine.own);
        }
    }

    /// Returns the factor by which an engine takes longer than the cost model says.
    pub fn slowdown(&self, id: &UpstreamId) -> f64 {
        let Some(engine) = self.engines.get(id) else {
            return 1.0;
        };
        let service = self.slowdowns.get(&engine.service);
        engine.slowdown.factor() * service.map_or(1.0, Slowdown::factor)
    }

    /// Records the ratio of a prefill's duration to its forecast, which included the slowdown.
    ///
    /// What all engines have in common is attributed to the service, the rest to the engine.
    pub fn record_slowdown(&mut self, id: &UpstreamId, ratio: f64) {
        if let Some(engine) = self.engines.get_mut(id) {
            let service = self.slowdowns.entry(engine.service.clone());
            let service = service.or_insert_with(Slowdown::for_service);
            let before = service.factor();
            service.record(ratio * engine.slowdown.factor());
            engine.slowdown.record(ratio * before / service.factor());
        }
    }

    /// Returns the expected pause between events at an engine with this occupancy, the share of
    /// its slots in use; `None` if no stream of the service has been seen.
    pub fn gap(&self, id: &UpstreamId, occupancy: f64) -> Option<Duration> {
        let engine = self.engines.get(id)?;
        let gap = self.gaps.get(&engine.service)?;
        Some(
            gap.forecast(occupancy)
                .mul_f64(engine.decode_slowdown.factor()),
        )
    }

    /// Records a pause between two events of a stream at an engine with this occupancy.
    pub fn record_gap(&mut self, id: &UpstreamId, pause: Duration, occupancy: f64, now: Instant) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let since = |at| now.saturating_duration_since(at);
        let is_recorded = engine
            .pause_at
            .is_some_and(|at| since(at) < MIN_PAUSE_INTERVAL);
        if is_recorded || !(MIN_GAP..=MAX_GAP).contains(&pause) {
            return;
        }
        engine.pause_at = Some(now);
        let gap = self.gaps.entry(engine.service.clone());
        let gap = gap
            .and_modify(|gap| gap.record(pause, occupancy))
            .or_insert_with(|| Gap::new(pause, occupancy));
        let slowdown = engine.decode_slowdown.factor();
        let expected = gap.forecast(occupancy).mul_f64(slowdown);
        let ratio = pause.as_secs_f64() / expected.as_secs_f64();
        engine.decode_slowdown.record(ratio);
    }

    /// Returns the paces of at most `max` engines that peers have to be told at `now`, keyed by the
    /// digest of the engine's name, and records them as told: those told longest ago first, of
    /// these the best known.
    pub fn due_paces(&mut self, max: usize, now: Instant) -> Vec<(u32, Told)> {
        let mut due: Vec<(&mut Engine, Told)> = Vec::new();
        for engine in self.engines.values_mut() {
            let own = engine.own_pace();
            if engine.is_pace_due(&own, now) {
                due.push((engine, own));
            }
        }
        due.sort_by(|(one, one_pace), (other, other_pace)| {
            let told_at = |engine: &Engine| engine.told.map(|told| told.at);
            let samples = |pace: &Told| pace.prefill.samples + pace.decode.samples;
            told_at(one)
                .cmp(&told_at(other))
                .then(samples(other_pace).total_cmp(&samples(one_pace)))
        });
        due.truncate(max);
        let tell = |(engine, own): (&mut Engine, Told)| {
            engine.told = Some(Telling {
                pace: own,
                count: engine.measured_count(),
                at: now,
            });
            (engine.digest, own)
        };
        due.into_iter().map(tell).collect()
    }

    /// Records the paces that a peer has measured, keyed by the digest of the engine's name; returns
    /// the number of impossible ones, which are ignored.
    pub fn record_peer_paces(&mut self, paces: &[(u32, Told)]) -> usize {
        let (possible, impossible): (Vec<&(u32, Told)>, Vec<_>) =
            paces.iter().partition(|(_, told)| told.is_possible());
        for (digest, told) in possible {
            let engines = self.engines.values_mut();
            for engine in engines.filter(|engine| engine.digest == *digest) {
                engine.slowdown.record_told(&told.prefill);
                engine.decode_slowdown.record_told(&told.decode);
            }
        }
        impossible.len()
    }

    /// Returns the known paces of all engines, relative to those of their services.
    pub fn known_paces(&self) -> impl Iterator<Item = (u32, Told)> {
        self.engines.values().map(|engine| {
            let known = Told {
                prefill: engine.slowdown.known(),
                decode: engine.decode_slowdown.known(),
            };
            (engine.digest, known)
        })
    }
}

impl Engine {
    /// Returns what this host has measured itself, as far as it rests on enough samples.
    fn own_pace(&self) -> Told {
        let known = |factor: Factor| match factor.is_known() {
            true => factor,
            false => Factor::default(),
        };
        Told {
            prefill: known(self.slowdown.measured()),
            decode: known(self.decode_slowdown.measured()),
        }
    }

    /// Returns the number of durations that this host has measured.
    fn measured_count(&self) -> f64 {
        self.slowdown.count() + self.decode_slowdown.count()
    }

    fn is_pace_due(&self, own: &Told, now: Instant) -> bool {
        let is_old = |at: Instant| now.saturating_duration_since(at) >= TELL_AGAIN_INTERVAL;
        match &self.told {
            Some(told) => {
                let has_new_samples = self.measured_count() > told.count;
                own.is_newer_than(&told.pace) || (is_old(told.at) && has_new_samples)
            }
            None => own.is_newer_than(&Told::default()),
        }
    }
}
