//! Snapshots that keep state alive in a log of limited retention.
//!
//! A record that set something once would be gone after the retention time, so the holder of a
//! lease writes the whole state again before that.

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

/// Share of the retention time after which a snapshot is written.
const SHARE: u32 = 4;
/// Records after the newest snapshot from which one is written early.
const MOST_RECORDS: u64 = 4096;
/// Time for which a process watches a stream before its first snapshot of it.
const FIRST_WATCH: Duration = Duration::from_secs(10);

/// Watches one stream and says when it needs a snapshot.
#[derive(Debug, Default)]
pub struct Watch {
    newest: Option<Offset>,
    since: Option<Instant>,
    watched: bool,
}

impl Watch {
    /// Returns whether a snapshot is due; `newest` is the offset of the newest one seen and
    /// `next` that of the next record.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::snapshot::Watch;
    /// let (mut watch, now) = (Watch::default(), Instant::now());
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
            self.watched |= newest != self.newest;
            self.newest = newest;
            self.since = Some(now);
        }
        let fresh = next.saturating_sub(newest.map_or(0, |offset| offset + 1));
        let age = now.saturating_duration_since(self.since.unwrap_or(now));
        let wait = match self.watched {
            true => retention / SHARE,
            false => FIRST_WATCH.min(retention / SHARE),
        };
        next > 0 && (age >= wait || fresh >= MOST_RECORDS)
    }
}

/// Writes a snapshot of a stream if one is due.
pub fn keep<S, L>(
    watch: &mut Watch,
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
    watch.watched = true;
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

/// Returns a snapshot record, which has the same form on every stream that has them.
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
    fn configuration_outlives_the_retention_by_snapshots() {
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
    fn a_reader_that_joins_late_holds_records_back_until_the_snapshot() {
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
