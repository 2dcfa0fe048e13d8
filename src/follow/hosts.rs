//! Peer discovery: each host writes its address to the store when it starts, and again when it is
//! missing there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use super::reader::Reader;
use super::reader::Update;
use super::share;
use crate::clock::Clock;
use crate::id::HostId;
use crate::log::keyed::Keyed;
use crate::log::keyed::Pair;
use crate::log::keyed::Record;
use crate::platform::store;

/// Interval between reads. Peers that start later send datagrams first, so this only matters for
/// hosts that no datagram reaches.
const READ_INTERVAL: Duration = Duration::from_secs(30);
/// Interval at which a host checks whether the store was restored.
const ERA_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after a failed read or write.
const FAILURE_BACKOFF: Duration = Duration::from_millis(700);
/// Delay before the first read, in which most hosts that start together write their entries. Those that
/// write later read this host's entry and send it a datagram; until it knows its peers, it shares no reads
/// with them.
const FIRST_READ_DELAY: Duration = Duration::from_millis(500);

/// Hosts and the addresses at which peers reach them.
pub type Hosts = Arc<Vec<(HostId, SocketAddr)>>;

#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    peer: SocketAddr,
    domain: CompactString,
}

/// This host, as described by its entry in the store.
#[derive(Debug, Clone)]
pub struct LocalHost {
    /// Name.
    pub name: HostId,
    /// Failure domain.
    pub domain: CompactString,
    /// Address at which peers reach it.
    pub peer: SocketAddr,
}

/// Writes this host's entry, then keeps reading the entries of all hosts; never returns.
pub fn follow<C, K>(local: &LocalHost, clock: &C, store: &K, sender: &watch::Sender<Hosts>)
where
    C: Clock,
    K: Keyed,
{
    write(local, "start", clock, store);
    clock.sleep(FIRST_READ_DELAY);
    let mut reader = Reader::new(store::HOST_TOPIC);
    let mut hosts: Vec<(HostId, SocketAddr)> = Vec::new();
    loop {
        let update = match reader.is_restored() {
            true => reader.read_in_full(store),
            false => reader.read(store, Duration::ZERO),
        };
        match update {
            Ok(Update::Outdated) => (),
            Ok(update) => {
                reader.record_success();
                if lacks(&update, local) {
                    write(local, "missing", clock, store);
                }
                for record in update.into_records() {
                    hosts.retain(|(host, _)| *host != record.key);
                    if let Some(address) =
                        record.value.and_then(|value| decode(&record.key, &value))
                    {
                        hosts.push((record.key, address));
                    }
                }
                sender.send_replace(Arc::new(hosts.clone()));
                if sleep_unless_restored(READ_INTERVAL, &reader, clock, store) {
                    clock.sleep(share::refresh_delay(&local.name));
                }
            }
            Err(error) => {
                reader.record_failure(&error);
                clock.sleep(FAILURE_BACKOFF);
            }
        }
    }
}

/// Sleeps for `duration`; returns `true` as soon as the store has named a newer era than that of the
/// last read.
fn sleep_unless_restored<C, K>(duration: Duration, reader: &Reader, clock: &C, store: &K) -> bool
where
    C: Clock,
    K: Keyed,
{
    let until = clock.now() + duration;
    while clock.now() < until {
        if reader.is_older_than(store.newest_era()) {
            return true;
        }
        clock.sleep(ERA_CHECK_INTERVAL);
    }
    false
}

/// Returns `true` if this host's entry is not the one that was read.
fn lacks(update: &Update, local: &LocalHost) -> bool {
    let is_own = |record: &&Record| record.key == local.name;
    let is_current = |record: &Record| {
        let value = record.value.as_deref();
        value.and_then(|value| serde_json::from_slice(value).ok()) == Some(entry(local))
    };
    match update {
        Update::Full(records) | Update::Restored(records) => {
            !records.iter().find(is_own).is_some_and(is_current)
        }
        Update::Changes(records) => records
            .iter()
            .rfind(is_own)
            .is_some_and(|record| !is_current(record)),
        Update::Outdated => false,
    }
}

fn entry(local: &LocalHost) -> Entry {
    Entry {
        peer: local.peer,
        domain: local.domain.clone(),
    }
}

fn write<C, K>(local: &LocalHost, reason: &str, clock: &C, store: &K)
where
    C: Clock,
    K: Keyed,
{
    let value = serde_json::to_vec(&entry(local)).expect("an entry is JSON");
    let pair = Pair {
        key: &local.name,
        value: &value,
    };
    while let Err(error) = store.put(store::HOST_TOPIC, pair) {
        warn!(
            outcome = "entry-not-written",
            cause:% = error;
            "host entry not written"
        );
        clock.sleep(FAILURE_BACKOFF);
    }
    info!(
        peer:% = local.peer,
        reason:% = reason,
        outcome = "entry-written";
        "host entry written"
    );
}

fn decode(host: &HostId, value: &[u8]) -> Option<SocketAddr> {
    match serde_json::from_slice::<Entry>(value) {
        Ok(entry) => Some(entry.peer),
        Err(cause) => {
            warn!(
                peer:% = host,
                entry = "unreadable",
                outcome = "ignored",
                cause:% = cause;
                "host entry unreadable"
            );
            None
        }
    }
}
