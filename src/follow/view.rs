//! The view of a host: its last known configuration and upstreams, with a log line for each change.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use log::info;
use log::warn;
use tokio::sync::watch;

use crate::catalog::Catalog;
use crate::catalog::Version;
use crate::fleet::Entry;
use crate::platform::config;

/// Maximum faults of one configuration that are logged.
const MAX_LOGGED_FAULTS: usize = 20;

/// Last known state at one moment.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Active configuration; `None` before the first one was read.
    pub catalog: Option<Arc<Catalog>>,
    /// Text of the active configuration, for peers that start without the store.
    pub config: Arc<Vec<u8>>,
    /// Upstreams.
    pub entries: Arc<Vec<Entry>>,
    /// `true` once the registry was read or a peer's upstreams were adopted.
    pub has_registry: bool,
    /// Time at which this view was published.
    pub published: Option<Instant>,
}

/// Origin of data in a view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Origin {
    /// `store`, `peer-reading` for data that a peer read from the store, or `peer` for a peer's
    /// view.
    pub source: &'static str,
    /// Time at which the store was queried, if known.
    pub queried_at: Option<Instant>,
}

impl Origin {
    /// Returns the age of the data in milliseconds; -1 if it is not known.
    fn age_ms(&self) -> i64 {
        self.queried_at
            .map_or(-1, |queried_at| queried_at.elapsed().as_millis() as i64)
    }
}

/// Time of the last read of each part of the view from the store, by this host or a peer.
#[derive(Debug, Clone, Copy, Default)]
pub struct LastRead {
    /// Configuration.
    pub config: Option<Instant>,
    /// Upstreams.
    pub upstreams: Option<Instant>,
    /// Latest time since the machine's start at which the active configuration was proved to be the
    /// newest.
    pub config_proved_at: Option<Duration>,
}

/// The active configuration and how recently it was proved to be the newest.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    /// Active configuration.
    pub catalog: Option<Arc<Catalog>>,
    /// Time since the machine's start at which no newer configuration had been acknowledged; `None` if
    /// that was never proved.
    pub proved_at: Option<Duration>,
}

/// Publishes views.
#[derive(Debug)]
pub struct ViewPublisher {
    view: Mutex<View>,
    read: Mutex<LastRead>,
    sender: watch::Sender<Arc<View>>,
}

impl ViewPublisher {
    /// Returns a publisher with an empty view, and a receiver of its views.
    pub fn new() -> (Arc<Self>, watch::Receiver<Arc<View>>) {
        let (sender, receiver) = watch::channel(Arc::default());
        let publisher = ViewPublisher {
            view: Mutex::default(),
            read: Mutex::default(),
            sender,
        };
        (Arc::new(publisher), receiver)
    }

    /// Returns the time of the last read of each part.
    pub fn last_read(&self) -> LastRead {
        *self.read.lock().expect("read lock")
    }

    /// Records that the configuration is known as of `queried_at`.
    pub fn record_config_read(&self, queried_at: Instant) {
        let mut read = self.read.lock().expect("read lock");
        read.config = read.config.max(Some(queried_at));
    }

    /// Records that no configuration newer than the active one had been acknowledged at `proved_at`, a
    /// time since the machine's start. Whatever the store answered must have been adopted before.
    pub fn record_config_proof(&self, proved_at: Duration) {
        let mut read = self.read.lock().expect("read lock");
        read.config_proved_at = read.config_proved_at.max(Some(proved_at));
    }

    /// Returns the active configuration and its proof.
    pub fn config_evidence(&self) -> Evidence {
        // The proof is read first: the configuration that it is about was active by then.
        let proved_at = self.last_read().config_proved_at;
        let view = self.view.lock().expect("view lock");
        Evidence {
            catalog: view.catalog.clone(),
            proved_at,
        }
    }

    /// Returns `true` if `view` has the newest upstreams.
    pub fn has_newest_entries(&self, view: &View) -> bool {
        Arc::ptr_eq(&self.view.lock().expect("view lock").entries, &view.entries)
    }

    /// Records that the upstreams are known as of `queried_at`. Whatever the store answered must have been
    /// published before.
    pub fn record_upstreams_read(&self, queried_at: Instant) {
        let mut read = self.read.lock().expect("read lock");
        read.upstreams = read.upstreams.max(Some(queried_at));
    }

    fn publish<F>(&self, change: F)
    where
        F: FnOnce(&mut View),
    {
        let mut view = self.view.lock().expect("view lock");
        change(&mut view);
        view.published = Some(Instant::now());
        self.sender.send_replace(Arc::new(view.clone()));
    }

    /// Activates a configuration unless it is unreadable or not newer than the active one.
    pub fn adopt(&self, config: Vec<u8>, source: &str) {
        let started_at = Instant::now();
        let last_read = self.last_read().config;
        let catalog = match config::decode(&config) {
            Ok(catalog) => catalog,
            Err(cause) => {
                let cause = cause.to_string();
                warn!(
                    config = "unreadable",
                    source:% = source,
                    outcome = "ignored",
                    cause:% = cause;
                    "configuration unreadable"
                );
                return;
            }
        };
        self.publish(|view| {
            let current = view.catalog.as_ref().map(|current| current.version());
            let version = catalog.version();
            if current.is_some_and(|current| current >= version) {
                if current != Some(version) {
                    warn!(
                        config = version,
                        source:% = source,
                        held:? = current,
                        outcome = "ignored-older";
                        "older configuration ignored"
                    );
                }
                return;
            }
            for fault in catalog.faults().iter().take(MAX_LOGGED_FAULTS) {
                warn!(config = version, outcome = "ignored", cause:% = fault; "configuration has a fault");
            }
            info!(
                config = version,
                faults = catalog.faults().len(),
                source:% = source,
                replaced:? = current,
                size_bytes = config.len(),
                decode_ms = started_at.elapsed().as_millis() as u64,
                last_read_ms = last_read.map_or(-1, |at| at.elapsed().as_millis() as i64),
                outcome = "in-force";
                "configuration in force"
            );
            view.catalog = Some(Arc::new(catalog));
            view.config = Arc::new(config);
        });
    }

    /// Returns the version and the text of the active configuration; 0 and nothing if there is none.
    pub fn config(&self) -> (Version, Arc<Vec<u8>>) {
        let view = self.view.lock().expect("view lock");
        let version = view.catalog.as_ref().map_or(0, |catalog| catalog.version());
        (version, Arc::clone(&view.config))
    }

    /// Returns the version of the active configuration; 0 if there is none.
    pub fn config_version(&self) -> Version {
        let view = self.view.lock().expect("view lock");
        view.catalog.as_ref().map_or(0, |catalog| catalog.version())
    }

    /// Returns `true` if a configuration is active.
    pub fn has_catalog(&self) -> bool {
        self.view.lock().expect("view lock").catalog.is_some()
    }

    /// Adopts a peer's upstreams unless the registry was read.
    pub fn adopt_entries(&self, entries: Vec<Entry>) {
        if !self.view.lock().expect("view lock").has_registry {
            info!(
                upstreams = entries.len(),
                source = "peer",
                outcome = "taken-over";
                "upstreams taken over from a peer"
            );
            let origin = Origin {
                source: "peer",
                queried_at: None,
            };
            self.set_entries(entries, origin);
        }
    }

    /// Publishes the upstreams if they changed, and logs the differences.
    pub fn set_entries(&self, entries: Vec<Entry>, origin: Origin) {
        let (before, has_registry) = {
            let view = self.view.lock().expect("view lock");
            (Arc::clone(&view.entries), view.has_registry)
        };
        if has_registry && *before == entries {
            return;
        }
        let entries = Arc::new(entries);
        self.publish(|view| {
            view.entries = Arc::clone(&entries);
            view.has_registry = true;
        });
        // Logged after publishing, so that a line describes a view that is already active.
        log_difference(&before, &entries, origin);
    }
}

fn log_difference(before: &[Entry], after: &[Entry], origin: Origin) {
    let age_ms = origin.age_ms();
    for entry in after {
        match before.iter().find(|old| old.id == entry.id) {
            Some(old) if old == entry => (),
            Some(old) => info!(
                upstream:% = entry.id,
                born = entry.started_at,
                state:? = entry.state,
                was:? = old.state,
                role:? = entry.role,
                was_role:? = old.role,
                source = origin.source,
                age_ms = age_ms,
                outcome = "changed";
                "upstream changed"
            ),
            None => info!(
                upstream:% = entry.id,
                born = entry.started_at,
                service:% = entry.service,
                build:% = entry.build,
                address:% = entry.address,
                domain:% = entry.domain,
                state:? = entry.state,
                role:? = entry.role,
                source = origin.source,
                age_ms = age_ms,
                outcome = "added";
                "upstream added"
            ),
        }
    }
    for old in before {
        if !after.iter().any(|entry| entry.id == old.id) {
            info!(
                upstream:% = old.id,
                born = old.started_at,
                source = origin.source,
                age_ms = age_ms,
                outcome = "removed";
                "upstream removed"
            );
        }
    }
}
