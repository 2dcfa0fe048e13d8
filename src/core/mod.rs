//! State that the filters and background tasks of one entry process share.

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

/// Maximum number of explanations kept.
const MAX_EXPLANATIONS: usize = 50;

/// State that the filters and background tasks of one entry process share.
#[derive(Debug)]
pub struct Core<C, P>
where
    C: Clock,
{
    /// Settings of the process.
    pub settings: Settings,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Clock.
    pub clock: C,
    /// Platform: log and list of hosts.
    pub platform: P,
    /// Replayed configuration.
    pub config: Arc<Replica<Config>>,
    /// Active services.
    pub directory: RwLock<Arc<Directory>>,
    /// The platform's list as last read, by this host or by a peer.
    pub hosts: RwLock<Vec<Host>>,
    /// Upstreams.
    pub table: Table,
    /// Admission of requests.
    pub gate: Arc<Gate<C>>,
    /// Index of cached prefixes.
    pub index: Index,
    /// Retry budget.
    pub budget: Budget,
    /// Quarantine of requests that crash upstreams.
    pub quarantine: Quarantine,
    /// One-time calls that only this process may run.
    pub ledger: Ledger,
    /// Issuer of the tickets of this process.
    pub issuer: Issuer,
    /// Claim queues, by shard.
    pub claim_queues: Vec<Queue>,
    /// One-time calls handed over by processes that shut down gracefully.
    pub inherited: Inherited,
    /// Other entry hosts.
    pub members: Members,
    /// Client for calls to peers, set when their background task starts.
    pub peers: OnceLock<peer::Client>,
    /// Authority over the engines of the own failure domain.
    pub authority: Authority,
    /// Histograms of latencies and outcomes.
    pub histograms: Histograms,
    /// Client for metrics.
    pub metrics: StatsdClient,
    /// Reasons for which roles were or were not changed, newest last.
    pub explanations: Mutex<VecDeque<String>>,
    /// Number of open requests.
    pub open_requests: AtomicUsize,
    /// Whether the process is about to end.
    pub leaving: AtomicBool,
    /// Flag that ends all background tasks.
    pub stop: StopFlag,
}

impl<C, P> Core<C, P>
where
    C: Clock + Clone,
    P: Log + List,
{
    /// Returns the shared state of a process that has just started.
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

    /// Returns the active services.
    pub fn directory(&self) -> Arc<Directory> {
        Arc::clone(&self.directory.read().expect("directory lock"))
    }

    /// Rebuilds the directory from the replayed configuration.
    pub fn refresh_directory(&self) {
        let old = self.directory();
        let new = self.config.with(|config| Directory::build(config, &old));
        *self.directory.write().expect("directory lock") = Arc::new(new);
    }

    /// Applies the platform's list to members and upstreams.
    pub fn take_hosts(&self, hosts: Vec<Host>) {
        self.members.apply_list(&hosts, self.clock.now());
        self.table.refresh(&hosts, self.directory().services());
        *self.hosts.write().expect("host lock") = hosts;
        self.apply_orders();
    }

    /// Takes upstreams of the own failure domain out of use, or back into use, according to the
    /// orders.
    pub fn apply_orders(&self) {
        let out_of_use = self.authority.replica().with(|orders| orders.out_of_use());
        for upstream in self.table.all() {
            if upstream.domain == self.settings.domain {
                let is_out_of_use = out_of_use.contains_key(&upstream.id);
                upstream.draining.store(is_out_of_use, Ordering::SeqCst);
            }
        }
    }

    /// Returns the claim queue for a key.
    pub fn claim_queue(&self, key: Uuid) -> &Queue {
        let shards = self.settings.claim_shards;
        &self.claim_queues[usize::from(claims::shard(key, shards))]
    }

    /// Keeps a reason for operators to read, unless it repeats the newest one.
    pub fn explain(&self, reason: String) {
        let mut explanations = self.explanations.lock().expect("explanation lock");
        if explanations.back() != Some(&reason) {
            explanations.push_back(reason);
        }
        if explanations.len() > MAX_EXPLANATIONS {
            explanations.pop_front();
        }
    }

    /// Returns `true` if the process is about to end.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Returns `true` if the balancer may send requests.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.directory().revision.is_some()
    }
}
