//! Follows the operator's configuration.
//!
//! A store that was restored from a copy may lack the newest configuration until the operator writes it
//! again. Hosts that serve it keep it in a topic of their own, for hosts that start meanwhile.

use std::time::Duration;
use std::time::Instant;

use log::info;
use log::warn;

use super::reader::Reader;
use super::reader::SegmentOutcome;
use super::reader::Update;
use super::share;
use super::share::Endpoint;
use super::share::Schedule;
use super::view::ViewPublisher;
use crate::catalog::Version;
use crate::clock::Clock;
use crate::fleet::REWRITE_WINDOW;
use crate::id::HostId;
use crate::log::keyed::Keyed;
use crate::log::keyed::Pair;
use crate::log::keyed::Record;
use crate::platform::config;
use crate::platform::store;

/// Timeout of a long poll for configuration changes. A silent connection is detected after this
/// time, and changes must be active within two seconds.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay after a failed read or one that found no configuration.
const FAILURE_BACKOFF: Duration = Duration::from_millis(250);
/// Interval between two attempts to keep the configuration in the store.
const KEEP_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Age of the data from peers at which this host reads the store itself; leaves time for that read
/// within the two seconds in which changes must be active.
const MAX_AGE: Duration = Duration::from_millis(1600);

/// Proves to the request loop how recent the configuration is.
#[derive(Debug)]
struct Prover<'a> {
    publisher: &'a ViewPublisher,
    /// Time since the machine's start until which the store, which was restored from a copy, may lack
    /// configurations that it had acknowledged.
    incomplete_until: Option<Duration>,
}

impl Prover<'_> {
    /// Records that the store was restored.
    fn record_restore(&mut self, now: Duration) {
        self.incomplete_until = Some(now + REWRITE_WINDOW);
    }

    /// Records that the active configuration contains all that the store had acknowledged at `at`.
    fn prove(&self, at: Duration) {
        if self.incomplete_until.is_none_or(|until| until <= at) {
            self.publisher.record_config_proof(at);
        }
    }
}

/// Keeps the configuration up to date, sharing the reads with peers; never returns.
pub fn follow<C, K>(
    host: &HostId,
    publisher: &ViewPublisher,
    clock: &C,
    store: &K,
    endpoint: &Endpoint,
) where
    C: Clock,
    K: Keyed,
{
    let mut reader = Reader::skipping(store::CONFIG_TOPIC);
    let mut schedule = Schedule::new(LONG_POLL_TIMEOUT, FAILURE_BACKOFF, MAX_AGE, clock.now());
    let mut keep_at: Option<Instant> = None;
    let mut prover = Prover {
        publisher,
        incomplete_until: None,
    };
    loop {
        // While the store does not answer, calls to it would delay what peers send.
        let keep_due = keep_at.filter(|_| reader.failures() == 0);
        if keep_due.is_some_and(|at| at <= clock.now()) {
            let is_kept = keep(publisher, store);
            keep_at = (!is_kept).then(|| clock.now() + KEEP_RETRY_INTERVAL);
            continue;
        }
        let wake = keep_due.map_or(schedule.due(), |at| at.min(schedule.due()));
        if let Some(incoming) = endpoint.wait(wake) {
            let now = clock.now();
            let (_, active) = publisher.config();
            match reader.apply(incoming.segment.patched(&active)) {
                SegmentOutcome::Next(records) => {
                    // Data of unknown age doesn't show that the store is reachable again.
                    let queried_at = incoming.asked.map(|asked| asked.now);
                    if queried_at.is_some() {
                        reader.record_success();
                    }
                    keep_at = keep_at.filter(|_| !has_active(publisher, &records));
                    adopt_newest(publisher, records, "peer-reading");
                    if let Some(asked) = incoming.asked {
                        publisher.record_config_read(asked.now);
                        prover.prove(asked.boot);
                    }
                    schedule.record_peer_read(queried_at, now, endpoint.rank());
                }
                SegmentOutcome::Restored(records) => {
                    prover.record_restore(clock.boot());
                    adopt_newest(publisher, records, "peer-reading");
                    schedule.set_due(now);
                }
                SegmentOutcome::Missing => schedule.set_due(now),
                SegmentOutcome::Behind => (),
            }
            continue;
        }
        if schedule.due() > clock.now() {
            continue;
        }
        let from = reader.next();
        let (mut freshness, queried_at) = (endpoint.freshness(), clock.moment());
        let update = match reader.is_restored() {
            true => reader.read_in_full(store),
            false => reader.read(store, schedule.wait(LONG_POLL_TIMEOUT)),
        };
        match update {
            Ok(Update::Outdated) => schedule.set_due(clock.now()),
            Ok(update) => {
                reader.record_success();
                let took = clock.now().saturating_duration_since(queried_at.now);
                freshness.waited = waited(&update, took);
                if from.is_none() && store.newest_era() > store::FIRST_ERA {
                    adopt_kept(publisher, store);
                }
                let is_restored = matches!(update, Update::Restored(_));
                if is_restored {
                    prover.record_restore(clock.boot());
                }
                let known_at = queried_at + freshness.waited;
                let records = update.into_records();
                keep_at = keep_at.filter(|_| !has_active(publisher, &records));
                if is_restored && !has_active(publisher, &records) {
                    keep_at = Some(clock.now() + share::refresh_delay(host));
                }
                if let (Some(from), Some(next)) = (from, reader.next()) {
                    let (_, active) = publisher.config();
                    endpoint.send_changes(from, next, records.clone(), &active, freshness);
                }
                adopt_newest(publisher, records, "store");
                publisher.record_config_read(known_at.now);
                prover.prove(known_at.boot);
                schedule.record_own_read();
                // A read is a long poll, so the next one may follow at once.
                match publisher.has_catalog() {
                    true => schedule.set_due(clock.now()),
                    false => schedule.record_failure(clock.now(), 0, 0),
                }
            }
            Err(error) => {
                reader.record_failure(&error);
                schedule.record_failure(clock.now(), endpoint.rank(), reader.failures());
            }
        }
    }
}

/// Returns the time after the request for which a response proves that nothing changed: without a
/// change the store responds at the end of the long poll. `took` is the duration of the call.
fn waited(update: &Update, took: Duration) -> Duration {
    match update {
        Update::Changes(records) if records.is_empty() && took >= LONG_POLL_TIMEOUT => {
            LONG_POLL_TIMEOUT
        }
        _ => Duration::ZERO,
    }
}

/// Writes the active configuration to the hosts' own topic unless that has it or a newer one; returns
/// `false` if the topic cannot be read or written.
fn keep<K>(publisher: &ViewPublisher, store: &K) -> bool
where
    K: Keyed,
{
    let Some(kept) = adopt_kept(publisher, store) else {
        return false;
    };
    if kept >= publisher.config_version() {
        return true;
    }
    let (version, text) = publisher.config();
    let pair = Pair {
        key: store::CONFIG_KEY,
        value: &text,
    };
    let written = store.put(store::KEPT_CONFIG_TOPIC, pair);
    match &written {
        Ok(_) => info!(
            config = version,
            outcome = "kept";
            "configuration kept, since the restored store lacks it"
        ),
        Err(cause) => warn!(
            config = version,
            outcome = "not-kept",
            cause:% = cause;
            "configuration not kept in the store"
        ),
    }
    written.is_ok()
}

/// Adopts the configuration that hosts have kept, if it is newer; returns its version, 0 if there is none,
/// and `None` if it cannot be read.
fn adopt_kept<K>(publisher: &ViewPublisher, store: &K) -> Option<Version>
where
    K: Keyed,
{
    match store.newest(store::KEPT_CONFIG_TOPIC) {
        Ok(kept) => {
            let version = newest_version(&kept.records);
            if version > publisher.config_version() {
                adopt_newest(publisher, kept.records, "hosts");
            }
            Some(version)
        }
        Err(cause) => {
            warn!(
                topic = store::KEPT_CONFIG_TOPIC,
                outcome = "not-read",
                cause:% = cause;
                "kept configuration not read"
            );
            None
        }
    }
}

/// Returns `true` if the active configuration or a newer one is among `records`.
fn has_active(publisher: &ViewPublisher, records: &[Record]) -> bool {
    newest_version(records) >= publisher.config_version()
}

/// Returns the version of the newest configuration among `records`; 0 if there is none.
fn newest_version(records: &[Record]) -> Version {
    let texts = records
        .iter()
        .filter(|record| record.key == store::CONFIG_KEY)
        .filter_map(|record| record.value.as_deref());
    let catalogs = texts.filter_map(|text| config::decode(text).ok());
    catalogs.map(|catalog| catalog.version()).max().unwrap_or(0)
}

fn adopt_newest(publisher: &ViewPublisher, records: Vec<Record>, source: &str) {
    let contents = records
        .into_iter()
        .filter(|record| record.key == store::CONFIG_KEY)
        .filter_map(|record| record.value);
    for content in contents {
        publisher.adopt(content, source);
    }
}
