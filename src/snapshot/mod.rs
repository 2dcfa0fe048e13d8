//! Snapshots that preserve state in a log of limited retention.
//!
//! The log deletes a record after the retention time, and with it the state that the record set. So
//! the holder of a lease writes the full state again before that.

use std::time::Duration;
use std::time::Instant;

use log::info;
use log::warn;
use serde_json::Value;
use serde_json::json;

use crate::fold::Fold;
use crate::id::Offset;
use crate::log::Log;
use crate::replay::Replica;

/// Number of snapshots per retention time.
const SNAPSHOTS_PER_RETENTION: u32 = 4;
/// Number of records after the newest snapshot from which the next one is written early.
const MAX_RECORDS_SINCE_SNAPSHOT: u64 = 4096;
/// Maximum time for which a process watches a stream before it writes its first snapshot of it.
const MAX_FIRST_DELAY: Duration = Duration::from_secs(10);

/// Decides when one stream needs a snapshot.
#[derive(Debug, Default)]
pub struct Schedule {
    newest: Option<Offset>,
    since: Option<Instant>,
    has_seen_snapshot: bool,
}

impl Schedule {
    /// Returns `true` if a snapshot is due.
    ///
    /// `newest` is the offset of the newest snapshot seen and `next` that of the next record.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::snapshot::Schedule;
    /// let (mut watch, now) = (Schedule::default(), Instant::now());
    /// let day = Duration::from_secs(86_400);
    /// assert!(!watch.is_due(None, 5, day, now));
    /// assert!(watch.is_due(None, 5, day, now + Duration::from_secs(11)));
    /// ```
    pub fn is_due(
        &mut self,
        newest: Option<Offset>,
        next: Offset,
        retention: Duration,
        now: Instant,
    ) -> bool {
        if newest != self.newest || self.since.is_none() {
            self.has_seen_snapshot |= newest != self.newest;
            self.newest = newest;
            self.since = Some(now);
        }
        let records_since = next.saturating_sub(newest.map_or(0, |offset| offset + 1));
        let age = now.saturating_duration_since(self.since.unwrap_or(now));
        let wait = match self.has_seen_snapshot {
            true => retention / SNAPSHOTS_PER_RETENTION,
            false => MAX_FIRST_DELAY.min(retention / SNAPSHOTS_PER_RETENTION),
        };
        next > 0 && (age >= wait || records_since >= MAX_RECORDS_SINCE_SNAPSHOT)
    }
}

/// Writes a snapshot of a stream if one is due.
pub fn write_if_due<S, L>(
    watch: &mut Schedule,
    replica: &Replica<S>,
    log: &L,
    retention: Duration,
    now: Instant,
) where
    S: Fold,
    L: Log,
{
    let (newest, _) = replica.snapshot_age();
    if !watch.is_due(newest, replica.next(), retention, now) {
        return;
    }
    let Some((as_of, state)) = replica.export() else {
        return;
    };
    watch.since = Some(now);
    watch.has_seen_snapshot = true;
    match log.append(replica.stream(), &record(as_of, &state)) {
        Ok(offset) => info!(
            stream:% = replica.stream(),
            as_of = as_of,
            offset = offset;
            "snapshot written"
        ),
        Err(cause) => warn!(stream:% = replica.stream(), cause:% = cause; "snapshot not written"),
    }
}

/// Returns a snapshot record, which has the same form in all streams.
fn record(as_of: Offset, state: &Value) -> Value {
    json!({ "snapshot": { "as_of": as_of, "state": state } })
}

#[cfg(test)]
mod tests {
    use crate::fold::config::Config;
    use crate::fold::config::STREAM;
    use crate::log::memory::InMemory;
    use crate::publish;
    use crate::publish::Outcome;

    use super::*;

    fn files(text: &str) -> std::collections::BTreeMap<crate::id::ServiceId, String> {
        std::collections::BTreeMap::from([("s".into(), text.to_owned())])
    }

    fn publish_text(log: &InMemory, text: &str) -> Outcome {
        let replica = publish::read(log).unwrap();
        let plan = replica.with(|config| publish::plan(config, &files(text), false));
        publish::publish(log, &crate::clock::Real, &replica, &plan)
    }

    fn text_of(replica: &Replica<Config>) -> Option<String> {
        replica.with(|config| config.services.get("s")?.text.clone())
    }

    #[test]
    fn a_snapshot_followed_by_deleted_records_is_not_adopted() {
        let log = InMemory::with_retention(4);
        publish_text(&log, "a");
        let host = publish::read(&log).unwrap();
        let (as_of, state) = host.export().unwrap();
        for number in 0..6 {
            log.append(STREAM, &json!({ "noise": number })).unwrap();
        }
        assert!(matches!(
            publish::read(&log),
            Err(publish::Error::NoSnapshot)
        ));
        let stale = record(as_of, &state);
        log.append(STREAM, &stale).unwrap();
        assert!(matches!(
            publish::read(&log),
            Err(publish::Error::NoSnapshot)
        ));
        host.poll(&log, Duration::ZERO).unwrap();
        assert_eq!(text_of(&host).as_deref(), Some("a"));
    }

    #[test]
    fn a_reader_that_joins_late_holds_records_back_until_a_snapshot() {
        let log = InMemory::with_retention(3);
        publish_text(&log, "a");
        let host = publish::read(&log).unwrap();
        let late = publish::plan(&host.with(Clone::clone), &files("b"), false);
        let (as_of, state) = host.export().unwrap();
        let outcome = publish::publish(&log, &crate::clock::Real, &host, &late);
        assert_eq!(outcome, Outcome::Accepted { revision: 1 });
        log.append(STREAM, &record(as_of, &state)).unwrap();
        log.append(STREAM, &json!({ "noise": 1 })).unwrap();
        let joined = publish::read(&log).unwrap();
        assert_eq!(text_of(&joined).as_deref(), Some("b"));
        host.poll(&log, Duration::ZERO).unwrap();
        assert_eq!(text_of(&host).as_deref(), Some("b"));
    }
}
