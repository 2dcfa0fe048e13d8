//! What is known of the load of each engine: own requests, and what peers told of theirs.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::cache::Cache;
use super::pace::Slowdown;
use crate::gateway::call::Block;
use crate::gossip;
use crate::id::HostId;
use crate::id::ServiceId;
use crate::id::UpstreamId;

/// Age from which a peer's numbers no longer count; peers repeat them at least every 400 ms.
const PEER_MEMORY: Duration = Duration::from_millis(1000);

/// Work that one host has given to one engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests in flight.
    pub running: usize,
    /// Reading that has not ended, for requests that are expected on time.
    pub backlog: Duration,
    /// The same for requests that will be late.
    pub late_backlog: Duration,
}

#[derive(Debug)]
struct Engine {
    digest: u32,
    service: ServiceId,
    own: Load,
    peers: HashMap<HostId, (Load, Instant)>,
    cache: Cache,
    /// Relative to the pace of its service.
    slowdown: Slowdown,
}

/// Loads and caches of all engines.
#[derive(Debug, Default)]
pub struct Board {
    engines: HashMap<UpstreamId, Engine>,
    paces: HashMap<ServiceId, Slowdown>,
}

impl Board {
    /// Adds an engine, or forgets all about one that was started anew.
    pub fn add(&mut self, id: &UpstreamId, service: &ServiceId, kv_capacity_tokens: u64) {
        let engine = Engine {
            digest: gossip::digest(id),
            service: service.clone(),
            own: Load::default(),
            peers: HashMap::new(),
            cache: Cache::new(kv_capacity_tokens),
            slowdown: Slowdown::of_engine(),
        };
        self.engines.insert(id.clone(), engine);
    }

    /// Keeps only the engines that `is_kept` tells.
    pub fn retain<F>(&mut self, is_kept: F)
    where
        F: Fn(&UpstreamId) -> bool,
    {
        self.engines.retain(|id, _| is_kept(id));
    }

    /// Returns whether an engine is known.
    pub fn knows(&self, id: &UpstreamId) -> bool {
        self.engines.contains_key(id)
    }

    /// Returns the load of an engine at `now`, all hosts together.
    pub fn load(&self, id: &UpstreamId, now: Instant) -> Load {
        let Some(engine) = self.engines.get(id) else {
            return Load::default();
        };
        let told = engine
            .peers
            .values()
            .filter(|(_, at)| now.saturating_duration_since(*at) < PEER_MEMORY);
        told.fold(engine.own, |sum, (load, _)| Load {
            running: sum.running + load.running,
            backlog: sum.backlog + load.backlog,
            late_backlog: sum.late_backlog + load.late_backlog,
        })
    }

    /// Returns this host's own part of all loads.
    pub fn own(&self) -> impl Iterator<Item = (&UpstreamId, Load)> {
        self.engines.iter().map(|(id, engine)| (id, engine.own))
    }

    /// Takes in all loads that come from a peer, each with the digest of its engine's name.
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

    /// Notes that a peer had a prompt read at an engine.
    pub fn record_peer_prefill(&mut self, digest: u32, blocks: &[Block]) {
        for engine in self.engines.values_mut() {
            if engine.digest == digest {
                engine.cache.record(blocks);
            }
        }
    }

    /// Returns the tokens at the start of a prompt that an engine is believed to keep.
    pub fn cached_tokens(&self, id: &UpstreamId, blocks: &[Block]) -> u64 {
        self.engines
            .get(id)
            .map_or(0, |engine| engine.cache.cached_tokens(blocks))
    }

    /// Notes that this host has a prompt read at an engine.
    pub fn record_prefill(&mut self, id: &UpstreamId, blocks: &[Block]) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.cache.record(blocks);
        }
    }

    /// Changes this host's part of a load.
    pub fn change<F>(&mut self, id: &UpstreamId, change: F)
    where
        F: FnOnce(&mut Load),
    {
        if let Some(engine) = self.engines.get_mut(id) {
            change(&mut engine.own);
        }
    }

    /// Returns how long an engine takes relative to the cost model.
    pub fn slowdown(&self, id: &UpstreamId) -> f64 {
        let Some(engine) = self.engines.get(id) else {
            return 1.0;
        };
        let service = self.paces.get(&engine.service);
        engine.slowdown.factor() * service.map_or(1.0, Slowdown::factor)
    }

    /// Notes how long a reading took relative to what was forecast with the engine's pace.
    pub fn record_slowdown(&mut self, id: &UpstreamId, ratio: f64) {
        if let Some(engine) = self.engines.get_mut(id) {
            let service = self.paces.entry(engine.service.clone());
            service.or_insert_with(Slowdown::of_service).record(ratio);
            engine.slowdown.record(ratio);
        }
    }
}
