//! Follows the operator's configuration and the upstreams' registry.
//!
//! A thread each; both publish one immutable view to the gateway. A third finds peers.

pub mod hosts;

use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use log::info;
use log::warn;
use tokio::sync::watch;

use self::hosts::Hosts;
use crate::catalog::Catalog;
use crate::clock::Clock;
use crate::fleet::Change;
use crate::fleet::Fleet;
use crate::fleet::Row;
use crate::id::Offset;
use crate::log::ReadError;
use crate::log::keyed::ChangesError;
use crate::log::keyed::Keyed;
use crate::log::keyed::Record;
use crate::platform::config;
use crate::platform::registry;
use crate::platform::store;

/// Longest wait for a change of the configuration. A connection that went silent is noticed this
/// much later; changes have to be in force within two seconds.
const CONFIG_WAIT: Duration = Duration::from_millis(900);
/// Pause between two readings of the registry; a leaving upstream gets no new work after two
/// seconds, and one lost answer must fit in.
const REGISTRY_PAUSE: Duration = Duration::from_millis(600);
/// Pause after a failed reading.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);
/// Failures in a row from which the store counts as lost.
const LOST_AFTER: u32 = 2;

/// What a host believes, at one moment.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Configuration in force; none before the first one was read.
    pub catalog: Option<Arc<Catalog>>,
    /// The same as the operator wrote it, for peers that start without the store.
    pub config: Arc<Vec<u8>>,
    /// Upstreams.
    pub rows: Arc<Vec<Row>>,
    /// Whether the registry was read at least once.
    pub has_registry: bool,
}

/// Publishes views.
#[derive(Debug)]
pub struct Views {
    view: Mutex<View>,
    sender: watch::Sender<Arc<View>>,
}

impl Views {
    /// Returns a board with an empty view, and a receiver of its views.
    pub fn new() -> (Arc<Self>, watch::Receiver<Arc<View>>) {
        let (sender, receiver) = watch::channel(Arc::default());
        let board = Views {
            view: Mutex::default(),
            sender,
        };
        (Arc::new(board), receiver)
    }

    fn publish<F>(&self, change: F)
    where
        F: FnOnce(&mut View),
    {
        let mut view = self.view.lock().expect("view lock");
        change(&mut view);
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

    /// Takes over a peer's upstreams unless the registry was read.
    pub fn adopt_rows(&self, rows: Vec<Row>) {
        if !self.view.lock().expect("view lock").has_registry {
            info!(
                upstreams = rows.len(),
                source = "peer",
                outcome = "taken-over";
                "upstreams taken over from a peer"
            );
            self.set_rows(rows);
        }
    }

    /// Publishes the upstreams if they changed, and logs how.
    fn set_rows(&self, rows: Vec<Row>) {
        let (before, has_registry) = {
            let view = self.view.lock().expect("view lock");
            (Arc::clone(&view.rows), view.has_registry)
        };
        if has_registry && *before == rows {
            return;
        }
        log_difference(&before, &rows);
        self.publish(|view| {
            view.rows = Arc::new(rows);
            view.has_registry = true;
        });
    }
}

fn log_difference(before: &[Row], after: &[Row]) {
    for row in after {
        match before.iter().find(|held| held.id == row.id) {
            Some(held) if held == row => (),
            Some(held) => info!(
                upstream:% = row.id,
                born = row.born,
                state:? = row.state,
                was:? = held.state,
                role:? = row.role,
                was_role:? = held.role,
                outcome = "changed";
                "upstream changed"
            ),
            None => info!(
                upstream:% = row.id,
                born = row.born,
                service:% = row.service,
                address:% = row.address,
                domain:% = row.domain,
                state:? = row.state,
                role:? = row.role,
                outcome = "added";
                "upstream added"
            ),
        }
    }
    for held in before {
        if !after.iter().any(|row| row.id == held.id) {
            info!(upstream:% = held.id, born = held.born, outcome = "removed"; "upstream removed");
        }
    }
}

/// Starts all threads; returns where the hosts that were found are told.
///
/// # Errors
///
/// Fails if a thread cannot be started.
pub fn start<C, K>(
    board: &Arc<Views>,
    own: hosts::Own,
    clock: &C,
    store: &K,
) -> Result<watch::Receiver<Hosts>>
where
    C: Clock + Clone,
    K: Keyed + Clone,
{
    let (own_board, own_clock, own_store) = (Arc::clone(board), clock.clone(), store.clone());
    thread::Builder::new()
        .name("config".into())
        .spawn(move || follow_config(&own_board, &own_clock, &own_store))?;
    let (own_board, own_clock, own_store) = (Arc::clone(board), clock.clone(), store.clone());
    thread::Builder::new()
        .name("registry".into())
        .spawn(move || follow_registry(&own_board, &own_clock, &own_store))?;
    let (sender, receiver) = watch::channel(Hosts::default());
    let (own_clock, own_store) = (clock.clone(), store.clone());
    thread::Builder::new()
        .name("hosts".into())
        .spawn(move || hosts::follow(&own, &own_clock, &own_store, &sender))?;
    Ok(receiver)
}

/// Reads one topic, anew after each gap, and tells when the store was lost and is back.
#[derive(Debug)]
struct Reader {
    topic: &'static str,
    next: Option<Offset>,
    failures: u32,
}

/// What one reading brought.
#[derive(Debug)]
enum Reading {
    /// The newest record of each key.
    Full(Vec<Record>),
    /// Records since the last reading.
    Changes(Vec<Record>),
}

impl Reader {
    fn new(topic: &'static str) -> Self {
        Reader {
            topic,
            next: None,
            failures: 0,
        }
    }

    fn read<K>(&mut self, store: &K, wait: Duration) -> Result<Reading, ReadError>
    where
        K: Keyed,
    {
        if let Some(next) = self.next {
            match store.changes(self.topic, next, wait) {
                Ok(changes) => {
                    self.next = Some(changes.next);
                    return Ok(Reading::Changes(changes.records));
                }
                Err(ChangesError::Gap(first)) => {
                    warn!(
                        topic:% = self.topic,
                        next = next,
                        first = first,
                        outcome = "read-anew";
                        "topic read anew after a gap"
                    );
                }
                Err(ChangesError::Read(error)) => return Err(error),
            }
        }
        let newest = store.newest(self.topic)?;
        self.next = Some(newest.next);
        Ok(Reading::Full(newest.records))
    }

    /// Notes a failure; logs it when the store counts as lost.
    fn note_failure(&mut self, error: &ReadError) {
        self.failures += 1;
        if self.failures == LOST_AFTER {
            warn!(
                dependency = "store",
                topic:% = self.topic,
                outcome = "lost",
                cause:% = error;
                "dependency lost"
            );
        }
    }

    /// Notes a success; returns whether the store had counted as lost.
    fn note_success(&mut self) -> bool {
        let was_lost = self.failures >= LOST_AFTER;
        if was_lost {
            info!(
                dependency = "store",
                topic:% = self.topic,
                failures = self.failures,
                outcome = "back";
                "dependency back"
            );
        }
        self.failures = 0;
        was_lost
    }
}

fn follow_config<C, K>(board: &Views, clock: &C, store: &K)
where
    C: Clock,
    K: Keyed,
{
    let mut reader = Reader::new(store::CONFIG_TOPIC);
    loop {
        match reader.read(store, CONFIG_WAIT) {
            Ok(Reading::Full(records) | Reading::Changes(records)) => {
                reader.note_success();
                let is_empty = records.is_empty();
                adopt_newest(board, records);
                if is_empty && board.view.lock().expect("view lock").catalog.is_none() {
                    clock.sleep(FAILURE_PAUSE);
                }
            }
            Err(error) => {
                reader.note_failure(&error);
                clock.sleep(FAILURE_PAUSE);
            }
        }
    }
}

fn adopt_newest(board: &Views, records: Vec<Record>) {
    let contents = records
        .into_iter()
        .filter(|record| record.key == store::CONFIG_KEY)
        .filter_map(|record| record.value);
    for content in contents {
        board.adopt(content, "store");
    }
}

fn follow_registry<C, K>(board: &Views, clock: &C, store: &K)
where
    C: Clock,
    K: Keyed,
{
    let mut reader = Reader::new(store::UPSTREAM_TOPIC);
    let mut fleet = Fleet::default();
    loop {
        let reading = reader.read(store, Duration::ZERO);
        let now = clock.now();
        let is_read = reading.is_ok();
        match reading {
            Ok(reading) => {
                if reader.note_success() {
                    fleet.note_return(now);
                }
                take_in(&mut fleet, reading, now);
            }
            Err(error) => reader.note_failure(&error),
        }
        for id in fleet.sweep(now) {
            info!(upstream:% = id, outcome = "gone", reason = "lapsed"; "upstream gone");
        }
        if is_read {
            board.set_rows(fleet.rows());
        }
        clock.sleep(if is_read {
            REGISTRY_PAUSE
        } else {
            FAILURE_PAUSE
        });
    }
}

fn take_in(fleet: &mut Fleet, reading: Reading, now: Instant) {
    match reading {
        Reading::Full(records) => {
            let rows = records
                .into_iter()
                .filter_map(change)
                .filter_map(|change| match change {
                    Change::Written(row, beat) => Some((row, beat)),
                    Change::Removed(_) => None,
                });
            let rows = rows.collect();
            fleet.replace(rows, now);
        }
        Reading::Changes(records) => {
            let changes = records.into_iter().filter_map(change).collect();
            fleet.apply(changes, now);
        }
    }
}

fn change(record: Record) -> Option<Change> {
    let Some(value) = record.value else {
        return Some(Change::Removed(record.key));
    };
    match registry::decode(record.key.clone(), &value) {
        Ok((row, beat)) => Some(Change::Written(row, beat)),
        Err(cause) => {
            warn!(
                upstream:% = record.key,
                entry = "unreadable",
                outcome = "ignored",
                cause:% = cause;
                "upstream entry unreadable"
            );
            None
        }
    }
}
