//! Follows the operator's configuration.

use std::time::Duration;

use super::reader::Reader;
use super::reader::SegmentOutcome;
use super::reader::Update;
use super::share::Endpoint;
use super::share::Schedule;
use super::view::ViewPublisher;
use crate::clock::Clock;
use crate::log::keyed::Keyed;
use crate::log::keyed::Record;
use crate::platform::store;

/// Timeout of a long poll for configuration changes. A silent connection is detected after this
/// time, and changes must be active within two seconds.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(900);
/// Delay after a failed read or one that found no configuration.
const FAILURE_BACKOFF: Duration = Duration::from_millis(250);
/// Age of the data from peers at which this host reads the store itself; leaves time for that read
/// within the two seconds in which changes must be active.
const MAX_AGE: Duration = Duration::from_millis(1600);

/// Keeps the configuration up to date, sharing the reads with peers; never returns.
pub fn follow<C, K>(publisher: &ViewPublisher, clock: &C, store: &K, endpoint: &Endpoint)
where
    C: Clock,
    K: Keyed,
{
    let mut reader = Reader::new(store::CONFIG_TOPIC);
    let mut schedule = Schedule::new(LONG_POLL_TIMEOUT, FAILURE_BACKOFF, MAX_AGE, clock.now());
    loop {
        if let Some(incoming) = endpoint.wait(schedule.due()) {
            let now = clock.now();
            match reader.apply(incoming.segment) {
                SegmentOutcome::Next(records) => {
                    // Data of unknown age doesn't show that the store is reachable again.
                    if let Some(queried_at) = incoming.asked {
                        reader.record_success();
                        publisher.record_config_read(queried_at);
                    }
                    adopt_newest(publisher, records, "peer-reading");
                    schedule.record_peer_read(incoming.asked, now, endpoint.rank());
                }
                SegmentOutcome::Restored(records) => {
                    adopt_newest(publisher, records, "peer-reading");
                    schedule.set_due(now);
                }
                SegmentOutcome::Missing => schedule.set_due(now),
                SegmentOutcome::Behind => (),
            }
            continue;
        }
        let from = reader.next();
        let (mut freshness, queried_at) = (endpoint.freshness(), clock.now());
        let update = match reader.is_restored() {
            true => reader.read_in_full(store),
            false => reader.read(store, LONG_POLL_TIMEOUT),
        };
        match update {
            Ok(Update::Outdated) => schedule.set_due(clock.now()),
            Ok(update) => {
                reader.record_success();
                let took = clock.now().saturating_duration_since(queried_at);
                freshness.waited = waited(&update, took);
                let records = update.into_records();
                publisher.record_config_read(queried_at + freshness.waited);
                if let (Some(from), Some(next)) = (from, reader.next()) {
                    endpoint.send(from, next, records.clone(), freshness);
                }
                adopt_newest(publisher, records, "store");
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

fn adopt_newest(publisher: &ViewPublisher, records: Vec<Record>, source: &str) {
    let contents = records
        .into_iter()
        .filter(|record| record.key == store::CONFIG_KEY)
        .filter_map(|record| record.value);
    for content in contents {
        publisher.adopt(content, source);
    }
}
