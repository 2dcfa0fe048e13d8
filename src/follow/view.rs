//! What a host believes, and how each change of it is logged.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

use log::info;
use log::warn;
use tokio::sync::watch;

use crate::catalog::Catalog;
use crate::fleet::Entry;
use crate::platform::config;

/// What a host believes, at one moment.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Configuration in force; none before the first one was read.
    pub catalog: Option<Arc<Catalog>>,
    /// The same as the operator wrote it, for peers that start without the store.
    pub config: Arc<Vec<u8>>,
    /// Upstreams.
    pub entries: Arc<Vec<Entry>>,
    /// Whether the registry was read at least once.
    pub has_registry: bool,
    /// When this view was published.
    pub published: Option<Instant>,
}

/// Where a belief comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Origin {
    /// `store`, `peer-reading` for what a peer read, or `peer` for what it believes.
    pub source: &'static str,
    /// When the store was asked, if that is known.
    pub asked: Option<Instant>,
}

impl Origin {
    /// Returns the age of the belief in milliseconds; -1 if it is not known.
    fn age_ms(&self) -> i64 {
        self.asked
            .map_or(-1, |asked| asked.elapsed().as_millis() as i64)
    }
}

/// When the store was last asked for each part of the view, by this host or a peer.
#[derive(Debug, Clone, Copy, Default)]
pub struct LastRead {
    /// Configuration.
    pub config: Option<Instant>,
    /// Upstreams.
    pub upstreams: Option<Instant>,
}

/// Publishes views.
#[derive(Debug)]
pub struct ViewPublisher {
    view: Mutex<View>,
    read: Mutex<LastRead>,
    sender: watch::Sender<Arc<View>>,
}

impl ViewPublisher {
    /// Returns a board with an empty view, and a receiver of its views.
    pub fn new() -> (Arc<Self>, watch::Receiver<Arc<View>>) {
        let (sender, receiver) = watch::channel(Arc::default());
        let board = ViewPublisher {
            view: Mutex::default(),
            read: Mutex::default(),
            sender,
        };
        (Arc::new(board), receiver)
    }

    /// Returns when each part was last read.
    pub fn read(&self) -> LastRead {
        *self.read.lock().expect("read lock")
    }

    /// Notes that the configuration is known up to `asked`.
    pub fn note_config(&self, asked: Instant) {
        let mut read = self.read.lock().expect("read lock");
        read.config = read.config.max(Some(asked));
    }

    /// Notes that the upstreams are known up to `asked`.
    pub fn note_upstreams(&self, asked: Instant) {
        let mut read = self.read.lock().expect("read lock");
        read.upstreams = read.upstreams.max(Some(asked));
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

    /// Puts a configuration into force unless it is unreadable or older than the one in force.
    pub fn adopt(&self, config: Vec<u8>, source: &str) {
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
            let held = view.catalog.as_ref().map(|held| held.version());
            let version = catalog.version();
            if held.is_some_and(|held| held >= version) {
                if held != Some(version) {
                    warn!(
                        config = version,
                        source:% = source,
                        held:? = held,
                        outcome = "ignored-older";
                        "older configuration ignored"
                    );
                }
                return;
            }
            info!(
                config = version,
                source:% = source,
                replaced:? = held,
                outcome = "in-force";
                "configuration in force"
            );
            view.catalog = Some(Arc::new(catalog));
            view.config = Arc::new(config);
        });
    }

    /// Returns whether a configuration is in force.
    pub fn has_catalog(&self) -> bool {
        self.view.lock().expect("view lock").catalog.is_some()
    }

    /// Takes over a peer's upstreams unless the registry was read.
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
                asked: None,
            };
            self.set_entries(entries, origin);
        }
    }

    /// Publishes the upstreams if they changed, and logs how.
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
        // A line tells of a belief that is in force.
        log_difference(&before, &entries, origin);
    }
}

fn log_difference(before: &[Entry], after: &[Entry], origin: Origin) {
    let age_ms = origin.age_ms();
    for entry in after {
        match before.iter().find(|held| held.id == entry.id) {
            Some(held) if held == entry => (),
            Some(held) => info!(
                upstream:% = entry.id,
                born = entry.started_at,
                state:? = entry.state,
                was:? = held.state,
                role:? = entry.role,
                was_role:? = held.role,
                source = origin.source,
                age_ms = age_ms,
                outcome = "changed";
                "upstream changed"
            ),
            None => info!(
                upstream:% = entry.id,
                born = entry.started_at,
                service:% = entry.service,
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
    for held in before {
        if !after.iter().any(|entry| entry.id == held.id) {
            info!(
                upstream:% = held.id,
                born = held.started_at,
                source = origin.source,
                age_ms = age_ms,
                outcome = "removed";
                "upstream removed"
            );
        }
    }
}
