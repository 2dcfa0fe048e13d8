//! Finds peers: each host leaves its address in the store when it starts.

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
use crate::clock::Clock;
use crate::id::HostId;
use crate::log::keyed::Keyed;
use crate::log::keyed::Pair;
use crate::platform::store;

/// Pause between two readings. Peers that start later send datagrams first, so that this only
/// matters for hosts that no datagram reaches.
const PAUSE: Duration = Duration::from_secs(30);
/// Pause after a failure.
const FAILURE_PAUSE: Duration = Duration::from_millis(700);
/// Pause before the first reading, in which hosts that start together write their entries.
const FIRST_PAUSE: Duration = Duration::from_millis(1500);

/// Hosts and where their peers reach them.
pub type Hosts = Arc<Vec<(HostId, SocketAddr)>>;

#[derive(Debug, Serialize, Deserialize)]
struct Entry {
    peer: SocketAddr,
    domain: CompactString,
}

/// The host itself, as its entry tells it.
#[derive(Debug, Clone)]
pub struct LocalHost {
    /// Name.
    pub name: HostId,
    /// Failure domain.
    pub domain: CompactString,
    /// Where peers reach it.
    pub peer: SocketAddr,
}

/// Writes the host's entry, then reads those of others for ever.
pub fn follow<C, K>(own: &LocalHost, clock: &C, store: &K, sender: &watch::Sender<Hosts>)
where
    C: Clock,
    K: Keyed,
{
    write(own, clock, store);
    clock.sleep(FIRST_PAUSE);
    let mut reader = Reader::new(store::HOST_TOPIC);
    let mut hosts: Vec<(HostId, SocketAddr)> = Vec::new();
    loop {
        match reader.read(store, Duration::ZERO) {
            Ok(Update::Full(records) | Update::Changes(records)) => {
                reader.record_success();
                for record in records {
                    hosts.retain(|(host, _)| *host != record.key);
                    if let Some(address) =
                        record.value.and_then(|value| decode(&record.key, &value))
                    {
                        hosts.push((record.key, address));
                    }
                }
                sender.send_replace(Arc::new(hosts.clone()));
                clock.sleep(PAUSE);
            }
            Err(error) => {
                reader.record_failure(&error);
                clock.sleep(FAILURE_PAUSE);
            }
        }
    }
}

fn write<C, K>(own: &LocalHost, clock: &C, store: &K)
where
    C: Clock,
    K: Keyed,
{
    let entry = Entry {
        peer: own.peer,
        domain: own.domain.clone(),
    };
    let value = serde_json::to_vec(&entry).expect("an entry is JSON");
    let pair = Pair {
        key: &own.name,
        value: &value,
    };
    while let Err(error) = store.put(store::HOST_TOPIC, pair) {
        warn!(
            outcome = "entry-not-written",
            cause:% = error;
            "host entry not written"
        );
        clock.sleep(FAILURE_PAUSE);
    }
    info!(peer:% = own.peer, outcome = "entry-written"; "host entry written");
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
