//! Peer discovery: each host writes its address to the store when it starts.

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

/// Interval between reads. Peers that start later send datagrams first, so this only matters for
/// hosts that no datagram reaches.
const READ_INTERVAL: Duration = Duration::from_secs(30);
/// Delay after a failed read or write.
const FAILURE_BACKOFF: Duration = Duration::from_millis(700);
/// Delay before the first read, in which hosts that start together write their entries.
const FIRST_READ_DELAY: Duration = Duration::from_millis(1500);

/// Hosts and the addresses at which peers reach them.
pub type Hosts = Arc<Vec<(HostId, SocketAddr)>>;

#[derive(Debug, Serialize, Deserialize)]
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
    write(local, clock, store);
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
                for record in update.into_records() {
                    hosts.retain(|(host, _)| *host != record.key);
                    if let Some(address) =
                        record.value.and_then(|value| decode(&record.key, &value))
                    {
                        hosts.push((record.key, address));
                    }
                }
                sender.send_replace(Arc::new(hosts.clone()));
                clock.sleep(READ_INTERVAL);
            }
            Err(error) => {
                reader.record_failure(&error);
                clock.sleep(FAILURE_BACKOFF);
            }
        }
    }
}

fn write<C, K>(local: &LocalHost, clock: &C, store: &K)
where
    C: Clock,
    K: Keyed,
{
    let entry = Entry {
        peer: local.peer,
        domain: local.domain.clone(),
    };
    let value = serde_json::to_vec(&entry).expect("an entry is JSON");
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
    info!(peer:% = local.peer, outcome = "entry-written"; "host entry written");
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
