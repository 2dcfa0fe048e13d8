//! Keeps the builds of each service and of their streams in the store, for hosts that start when no other
//! host is left.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crossbeam::channel::Receiver;
use crossbeam::channel::RecvTimeoutError;
use log::info;
use log::warn;
use prost::Message as _;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc::Sender;

use crate::clock;
use crate::clock::Clock;
use crate::gossip::StreamOrigin;
use crate::id::BuildId;
use crate::id::HostId;
use crate::id::ServiceId;
use crate::log::ReadError;
use crate::log::keyed::Keyed;
use crate::log::keyed::Pair;
use crate::log::keyed::Position;
use crate::log::keyed::Record;
use crate::origin::Stored;
use crate::platform::store;

/// Delay after a failed read or write.
const FAILURE_BACKOFF: Duration = Duration::from_millis(700);
/// Minimum interval between two writes of streams by one host.
const MIN_STREAM_INTERVAL: Duration = Duration::from_millis(50);
/// Number of records with streams that a host keeps, each of which takes those of one second.
const STREAM_RECORDS: u64 = 64;
/// Interval at which it is checked whether the store was restored from a copy.
const ERA_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Message to the request loop.
#[derive(Debug, PartialEq, Eq)]
pub enum Message {
    /// Builds of all services in the store.
    Read(BTreeMap<ServiceId, Stored>),
    /// The store has the builds of a service.
    Written(ServiceId, BTreeSet<BuildId>),
    /// Streams in the store.
    Streams(Vec<StreamOrigin>),
}

/// What the request loop wants to be stored.
#[derive(Debug)]
pub enum Change {
    /// Builds of a service.
    Builds(ServiceId, Stored),
    /// Streams that began.
    Streams(Vec<StreamOrigin>),
}

/// Streams, as stored.
#[derive(Clone, PartialEq, Eq, prost::Message)]
struct Batch {
    /// Streams with their builds.
    #[prost(message, repeated, tag = "1")]
    origins: Vec<StreamOrigin>,
}

/// Builds of a service, as stored.
#[derive(Debug, Serialize, Deserialize)]
struct Entry {
    builds: BTreeSet<BuildId>,
    /// Wall time since which they are the only ones, in milliseconds since the Unix epoch; `None` if there
    /// were no others before.
    since_ms: Option<u64>,
    /// Time for which streams of others might be taken up, in milliseconds.
    #[serde(default)]
    memory_ms: u64,
}

/// The thread's ends of its channels.
#[derive(Debug)]
pub struct Channels {
    /// What is to be stored.
    pub changes: Receiver<Change>,
    /// Messages to the request loop.
    pub messages: Sender<Message>,
}

/// Reads the builds and the streams, then keeps writing changes; returns when the request loop has ended.
pub fn follow<C, K>(host: &HostId, clock: &C, store: &K, channels: &Channels)
where
    C: Clock,
    K: Keyed,
{
    let mut end = read(clock, store, channels);
    let mut are_streams_read = read_streams(store, channels);
    let mut journal = Journal::default();
    let mut write_at = clock.now();
    loop {
        let until = match journal.has_unwritten {
            true => write_at,
            false => clock.now() + ERA_CHECK_INTERVAL,
        };
        match channels.changes.recv_deadline(until) {
            Ok(Change::Builds(service, builds)) => {
                end = write(&service, &builds, end, clock, store, channels);
            }
            Ok(Change::Streams(origins)) => journal.add(origins, clock),
            Err(RecvTimeoutError::Timeout) if store.newest_era() > end.era() => {
                end = read(clock, store, channels);
            }
            Err(RecvTimeoutError::Timeout) => (),
            Err(RecvTimeoutError::Disconnected) => return,
        }
        are_streams_read = are_streams_read || read_streams(store, channels);
        if journal.has_unwritten && write_at <= clock.now() {
            write_at = clock.now() + MIN_STREAM_INTERVAL;
            journal.write(host, store);
        }
    }
}

/// Streams of the current second, which are written again with each new one: one record a second is left.
#[derive(Debug, Default)]
struct Journal {
    second: u64,
    origins: Vec<StreamOrigin>,
    has_unwritten: bool,
}

impl Journal {
    fn add<C>(&mut self, origins: Vec<StreamOrigin>, clock: &C)
    where
        C: Clock,
    {
        let second = clock::wall_ms(clock) / 1000;
        // Those that were not written yet move to the next second.
        if second != self.second && !self.has_unwritten {
            self.origins.clear();
        }
        self.second = second;
        self.origins.extend(origins);
        self.has_unwritten = true;
    }

    /// Writes the streams in place of the oldest record. Streams that cannot be written are known to hosts
    /// that live.
    fn write<K>(&mut self, host: &HostId, store: &K)
    where
        K: Keyed,
    {
        self.has_unwritten = false;
        let value = Batch {
            origins: self.origins.clone(),
        };
        let pair = Pair {
            key: &format!("{host}/{}", self.second % STREAM_RECORDS),
            value: &value.encode_to_vec(),
        };
        if let Err(cause) = store.put(store::STREAM_TOPIC, pair) {
            info!(outcome = "streams-not-stored", cause:% = cause; "streams not stored");
        }
    }
}

/// Reads the streams that hosts have stored; returns `false` if they cannot be read.
fn read_streams<K>(store: &K, channels: &Channels) -> bool
where
    K: Keyed,
{
    let records = match store.newest(store::STREAM_TOPIC) {
        Ok(newest) => newest.records,
        Err(cause) => {
            warn!(outcome = "streams-not-read", cause:% = cause; "stored streams not read");
            return false;
        }
    };
    let values = records.into_iter().filter_map(|record| record.value);
    let batches = values.filter_map(|value| Batch::decode(&*value).ok());
    let origins: Vec<StreamOrigin> = batches.flat_map(|batch| batch.origins).collect();
    if !origins.is_empty() {
        info!(streams = origins.len(), outcome = "streams-read"; "stored streams read");
    }
    send(channels, Message::Streams(origins));
    true
}

/// Reads all builds and returns the end of the topic.
fn read<C, K>(clock: &C, store: &K, channels: &Channels) -> Position
where
    C: Clock,
    K: Keyed,
{
    loop {
        match newest(clock, store) {
            Ok((services, end)) => {
                send(channels, Message::Read(services));
                return end;
            }
            Err(cause) => {
                warn!(outcome = "builds-not-read", cause:% = cause; "builds of services not read");
                clock.sleep(FAILURE_BACKOFF);
            }
        }
    }
}

fn newest<C, K>(clock: &C, store: &K) -> Result<(BTreeMap<ServiceId, Stored>, Position), ReadError>
where
    C: Clock,
    K: Keyed,
{
    let newest = store.newest(store::BUILD_TOPIC)?;
    let now_ms = clock::wall_ms(clock);
    let services = newest.records.into_iter();
    let services = services.filter_map(|record| decode(record, now_ms));
    Ok((services.collect(), newest.next))
}

fn decode(record: Record, now_ms: u64) -> Option<(ServiceId, Stored)> {
    match serde_json::from_slice::<Entry>(&record.value?) {
        Ok(entry) => {
            let age = |since| Duration::from_millis(now_ms.saturating_sub(since));
            let stored = Stored {
                builds: entry.builds,
                age: entry.since_ms.map(age),
                memory: Duration::from_millis(entry.memory_ms),
            };
            Some((record.key, stored))
        }
        Err(cause) => {
            warn!(
                service:% = record.key,
                outcome = "ignored",
                cause:% = cause;
                "builds of a service unreadable"
            );
            None
        }
    }
}

/// Writes the builds of a service unless the store has them, and returns the end of the topic. The
/// condition keeps a write that was held up from replacing a later one.
fn write<C, K>(
    service: &ServiceId,
    builds: &Stored,
    mut end: Position,
    clock: &C,
    store: &K,
    channels: &Channels,
) -> Position
where
    C: Clock,
    K: Keyed,
{
    let now_ms = clock::wall_ms(clock);
    let since = |age: Duration| now_ms.saturating_sub(age.as_millis() as u64);
    let entry = Entry {
        builds: builds.builds.clone(),
        since_ms: builds.age.map(since),
        memory_ms: builds.memory.as_millis() as u64,
    };
    let value = serde_json::to_vec(&entry).expect("builds are JSON");
    let pair = Pair {
        key: service,
        value: &value,
    };
    match store.put_at(store::BUILD_TOPIC, pair, end) {
        Ok(written) => {
            info!(
                service:% = service,
                builds:? = builds.builds,
                outcome = "builds-stored";
                "builds of a service stored"
            );
            let (era, offset) = written.into_parts();
            end = Position::new(era, offset + 1);
            let message = Message::Written(service.clone(), builds.builds.clone());
            send(channels, message);
        }
        Err(cause) => {
            info!(
                service:% = service,
                outcome = "builds-not-stored",
                cause:% = cause;
                "builds of a service not stored"
            );
            clock.sleep(FAILURE_BACKOFF);
            end = read(clock, store, channels);
        }
    }
    end
}

fn send(channels: &Channels, message: Message) {
    if let Err(cause) = channels.messages.blocking_send(message) {
        log::debug!(cause:% = cause; "the request loop has ended");
    }
}
