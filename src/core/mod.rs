//! What the filters and duties of one entry process share.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use cadence::StatsdClient;
use uuid::Uuid;

use crate::admit::Gate;
use crate::clock::Clock;
use crate::directory::Directory;
use crate::duty::StopFlag;
use crate::fold::claims;
use crate::fold::config;
use crate::fold::config::Config;
use crate::histogram::Histograms;
use crate::id::Incarnation;
use crate::inherit::Inherited;
use crate::lease::Authority;
use crate::log::Host;
use crate::log::List;
use crate::log::Log;
use crate::member::Members;
use crate::once::Ledger;
use crate::once::claim::Queue;
use crate::once::ticket::Issuer;
use crate::peer;
use crate::quarantine::Quarantine;
use crate::replay::Replica;
use crate::retry::Budget;
use crate::route::Index;
use crate::settings::Settings;
use crate::upstream::Table;

/// Most reasons kept.
const MOST_EXPLANATIONS: usize = 50;

/// What the filters and duties of one entry process share.
#[derive(Debug)]
pub struct Core<C, P>
where
    C: Clock,
{
    /// Settings of the process.
    pub settings: Settings,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Time.
    pub clock: C,
    /// The platform.
    pub platform: P,
    /// Replayed configuration.
    pub config: Arc<Replica<Config>>,
    /// Services in force.
    pub directory: RwLock<Arc<Directory>>,
    /// The platform's list as last read, by this host or by a peer.
    pub hosts: RwLock<Vec<Host>>,
    /// Upstreams.
    pub table: Table,
    /// Admission.
    pub gate: Arc<Gate<C>>,
    /// Cached prefixes.
    pub index: Index,
    /// Retries.
    pub budget: Budget,
    /// Requests that crash upstreams.
    pub quarantine: Quarantine,
    /// One-time calls that only this process may run.
    pub ledger: Ledger,
    /// Tickets of this process.
    pub issuer: Issuer,
    /// Claims, by shard.
    pub claim_queues: Vec<Queue>,
    /// One-time calls of processes that left in good order.
    pub inherited: Inherited,
    /// Other entry hosts.
    pub members: Members,
    /// Client of the peers, once their duty runs.
    pub peers: OnceLock<peer::Client>,
    /// Authority over the failure domain's engines.
    pub authority: Authority,
    /// Latencies and outcomes.
    pub histograms: Histograms,
    /// Metrics.
    pub metrics: StatsdClient,
    /// Why roles were or were not changed, newest last.
    pub explanations: Mutex<VecDeque<String>>,
    /// Requests in work.
    pub open_requests: AtomicUsize,
    /// Whether the process is about to end.
    pub leaving: AtomicBool,
    /// End of all duties.
    pub stop: StopFlag,
}

impl<C, P> Core<C, P>
where
    C: Clock + Clone,
    P: Log + List,
{
    /// Returns the shared parts of a process that has just started.
    pub fn new(settings: Settings, clock: C, platform: P, metrics: StatsdClient) -> Self {
        let incarnation = Uuid::now_v7();
        let claim_queues = (0..settings.claim_shards).map(Queue::new).collect();
        Core {
            incarnation,
            config: Arc::new(Replica::new(config::STREAM)),
            directory: RwLock::default(),
            hosts: RwLock::default(),
            table: Table::default(),
            gate: Gate::new(clock.clone(), settings.limits.queued_requests),
            index: Index::default(),
            budget: Budget::default(),
            quarantine: Quarantine::default(),
            ledger: Ledger::default(),
            issuer: Issuer::new(incarnation, clock.now()),
            claim_queues,
            inherited: Inherited::default(),
            members: Members::new(settings.name.clone()),
            peers: OnceLock::new(),
            authority: Authority::new(&settings.domain),
            histograms: Histograms::default(),
            metrics,
            explanations: Mutex::default(),
            open_requests: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            stop: StopFlag::default(),
            settings,
            clock,
            platform,
        }
    }

    /// Returns the services in force.
    pub fn directory(&self) -> Arc<Directory> {
        Arc::clone(&self.directory.read().expect("directory lock"))
    }

    /// Brings directory and upstreams up to the replayed configuration.
    pub fn refresh_directory(&self) {
        let old = self.directory();
        let new = self.config.with(|config| Directory::build(config, &old));
        *self.directory.write().expect("directory lock") = Arc::new(new);
    }

    /// Takes in the platform's list.
    pub fn take_hosts(&self, hosts: Vec<Host>) {
        self.members.take_list(&hosts, self.clock.now());
        self.table.refresh(&hosts, self.directory().services());
        *self.hosts.write().expect("host lock") = hosts;
        self.apply_orders();
    }

    /// Takes upstreams of the own failure domain out of use, or back into it, as the orders say.
    pub fn apply_orders(&self) {
        let out = self.authority.replica().with(|orders| orders.out_of_use());
        for upstream in self.table.all() {
            if upstream.domain == self.settings.domain {
                let is_out = out.contains_key(&upstream.id);
                upstream.draining.store(is_out, Ordering::SeqCst);
            }
        }
    }

    /// Returns the desk for a key.
    pub fn claim_queue(&self, key: Uuid) -> &Queue {
        let shards = self.settings.claim_shards;
        &self.claim_queues[usize::from(claims::shard(key, shards))]
    }

    /// Keeps a reason for operators to read.
    pub fn explain(&self, reason: String) {
        let mut explanations = self.explanations.lock().expect("explanation lock");
        if explanations.back() != Some(&reason) {
            explanations.push_back(reason);
        }
        if explanations.len() > MOST_EXPLANATIONS {
            explanations.pop_front();
        }
    }

    /// Returns whether the process is about to end.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Returns whether the balancer may send requests.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.directory().revision.is_some()
    }
}
