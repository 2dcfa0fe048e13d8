//! Client of the platform's store: calls to its log and the framing of its records.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use attohttpc::Method;
use attohttpc::RequestBuilder;
use attohttpc::Response;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use compact_str::CompactString;
use log::info;
use log::warn;
use serde::Deserialize;
use serde_json::value::RawValue;

use super::header;
use crate::id::Era;
use crate::id::Offset;
use crate::log::AppendError;
use crate::log::ReadError;
use crate::log::keyed::Changes;
use crate::log::keyed::ChangesError;
use crate::log::keyed::ConditionError;
use crate::log::keyed::Keyed;
use crate::log::keyed::Pair;
use crate::log::keyed::Position;
use crate::log::keyed::Record;

/// Topic that contains the operator's configuration under [`CONFIG_KEY`].
pub const CONFIG_TOPIC: &str = "keyed.op";
/// Key of the operator's configuration.
pub const CONFIG_KEY: &str = "config";
/// Topic in which hosts keep the configuration that they serve while a restored store lacks it, under
/// [`CONFIG_KEY`].
pub const KEPT_CONFIG_TOPIC: &str = "keyed.config";
/// Topic that contains the entry of each upstream.
pub const UPSTREAM_TOPIC: &str = "keyed.servers";
/// Topic that contains the entry of each host.
pub const HOST_TOPIC: &str = "keyed.hosts";
/// Topic that contains the losses that each host attributes to requests that may crash upstreams.
pub const SUSPECT_TOPIC: &str = "keyed.suspects";
/// Topic that contains the builds of each service.
pub const BUILD_TOPIC: &str = "keyed.builds";
/// Topic that contains the builds of streams that began lately, in batches.
pub const STREAM_TOPIC: &str = "keyed.streams";
/// Topic whose newest record under [`LEASE_KEY`] names the host that may give orders.
pub const LEASE_TOPIC: &str = "keyed.lease";
/// Topic of the lease under which usage is reported.
pub const USAGE_LEASE_TOPIC: &str = "keyed.usage-lease";
/// Topic of the settled counts of the last windows of usage.
pub const USAGE_TOPIC: &str = "keyed.usage";
/// Topic of the lease under which upstreams are ordered.
pub const CAPACITY_LEASE_TOPIC: &str = "keyed.capacity-lease";
/// Key of the lease.
pub const LEASE_KEY: &str = "orders";
/// Era of a store that was never restored.
pub const FIRST_ERA: Era = 1;

/// Timeout for connecting; the round-trip time to the store is a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for the first and each further part of a response, in addition to the requested wait; leaves
/// time for another attempt within the two seconds in which changes must become active.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum time for a whole response in addition to the requested wait, however large it is: the time
/// within which a configuration must be active everywhere.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(5);
/// Maximum size of a response; the store limits reads and pages to a megabyte of content, which
/// base64 makes a third larger.
const MAX_RESPONSE_BYTES: u64 = 4 << 20;
/// Size of the header of a read's response: end offset and first kept offset, eight bytes each.
const READ_HEADER_BYTES: usize = 16;
/// Size of the field with a record's length.
const LENGTH_BYTES: usize = 4;
/// The only partition of the topics used here.
const PARTITION: &str = "0";
/// Status of a read of deleted records.
const STATUS_GONE: u16 = 410;
/// Status of an append whose condition does not hold.
const STATUS_PRECONDITION_FAILED: u16 = 412;
/// Statuses which state that nothing was done.
const STATUS_NOT_DONE: [u16; 2] = [429, 503];

/// A client of the platform's store.
#[derive(Debug, Clone)]
pub struct Store {
    address: SocketAddr,
    calls: Arc<AtomicU64>,
    newest_era: Arc<AtomicU64>,
}

#[derive(Deserialize)]
struct NewestPage<'a> {
    /// Items as they stand: one that cannot be decoded must not hide the others.
    #[serde(borrow)]
    items: Vec<&'a RawValue>,
    more: bool,
    /// Offset after the topic's last record when the page was created.
    end_offset: Offset,
}

#[derive(Deserialize)]
struct NewestItem {
    key: CompactString,
    /// The record's content in base64.
    value: String,
}

impl NewestItem {
    /// Decodes an item; `None` if it is no record.
    fn decode(topic: &str, item: &RawValue) -> Option<Record> {
        let decoded = serde_json::from_str::<NewestItem>(item.get())
            .map_err(|cause| cause.to_string())
            .and_then(|item| match STANDARD.decode(&item.value) {
                Ok(value) => Ok(Record {
                    key: item.key,
                    value: Some(value),
                }),
                Err(cause) => Err(format!("the value of `{}`: {cause}", item.key)),
            });
        match decoded {
            Ok(record) => Some(record),
            Err(cause) => {
                warn!(
                    topic:% = topic,
                    entry = "unreadable",
                    outcome = "ignored",
                    cause:% = cause;
                    "item unreadable"
                );
                None
            }
        }
    }
}

/// Decoded page of the newest records.
struct Page {
    records: Vec<Record>,
    /// Whether another page follows.
    has_more: bool,
    end: Position,
}

#[derive(Deserialize)]
struct Appended {
    offset: Offset,
}

#[derive(Deserialize)]
struct Gone {
    first_offset: Offset,
}

#[derive(Deserialize)]
struct Moved {
    end_offset: Offset,
}

impl Store {
    /// Returns a client of the store at `address`.
    ///
    /// ```
    /// let store = pistachiohall::platform::store::Store::new("127.0.0.1:9".parse().unwrap());
    /// ```
    pub fn new(address: SocketAddr) -> Self {
        Store {
            address,
            calls: Arc::default(),
            newest_era: Arc::default(),
        }
    }

    /// Returns the number of calls that this client and its clones have made.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    fn request(&self, method: Method, call: &str, wait: Duration) -> RequestBuilder {
        self.calls.fetch_add(1, Ordering::Relaxed);
        RequestBuilder::new(method, format!("http://{}/v1/{call}", self.address))
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(MAX_RESPONSE_TIME + wait)
            .read_timeout(RESPONSE_TIMEOUT + wait)
    }

    /// Returns the era that a response names, 0 if it names none, and logs a newer one.
    fn record_era(&self, response: &Response) -> Era {
        let value = response.headers().get(header::STORE_ERA);
        let text = value.and_then(|value| value.to_str().ok());
        let era = text.and_then(|text| text.trim().parse().ok()).unwrap_or(0);
        let previous = self.newest_era.fetch_max(era, Ordering::Relaxed);
        if era > previous {
            info!(era = era, previous = previous, outcome = "newer-era"; "store names a newer era");
        }
        era
    }

    fn append(
        &self,
        topic: &str,
        content: &[u8],
        at: Option<Offset>,
    ) -> Result<Position, ConditionError> {
        let mut request = self
            .request(Method::POST, "log-append", Duration::ZERO)
            .param("topic", topic)
            .param("part", PARTITION);
        if let Some(at) = at {
            request = request.param("at", at);
        }
        let response = request.bytes(frame(content)).send().map_err(|cause| {
            match crate::upstream::is_before_first_byte(&cause) {
                true => AppendError::Refused(cause.to_string()),
                false => AppendError::Unknown(cause.to_string()),
            }
        })?;
        let era = self.record_era(&response);
        let status = response.status();
        if STATUS_NOT_DONE.contains(&status.as_u16())
            || status.is_client_error() && status != STATUS_PRECONDITION_FAILED
        {
            return Err(AppendError::Refused(format!("the store answered {status}")).into());
        }
        let unknown = |cause: &dyn std::fmt::Display| AppendError::Unknown(cause.to_string());
        let body = read_body(response).map_err(|cause| unknown(&cause))?;
        if status == STATUS_PRECONDITION_FAILED {
            let moved: Moved = serde_json::from_slice(&body).map_err(|cause| unknown(&cause))?;
            return Err(ConditionError::Moved(moved.end_offset));
        }
        if !status.is_success() {
            return Err(unknown(&format!("the store answered {status}")).into());
        }
        let appended: Appended = serde_json::from_slice(&body).map_err(|cause| unknown(&cause))?;
        Ok(Position::new(era, appended.offset))
    }

    /// Reads contents from offset `from`, which must exist in `era`; returns them and the offset after
    /// the topic's last record.
    fn read(
        &self,
        topic: &str,
        era: Era,
        from: Offset,
        wait: Duration,
    ) -> Result<(Vec<Vec<u8>>, Offset), ChangesError> {
        let response = self
            .request(Method::GET, "log-read", wait)
            .param("topic", topic)
            .param("part", PARTITION)
            .param("from", from)
            .param("wait_ms", wait.as_millis())
            .send()
            .map_err(read_error)?;
        let answered = self.record_era(&response);
        if answered > era {
            return Err(ChangesError::Restored(answered));
        }
        if answered < era {
            let cause = format!("the store answered as of era {answered}, expected {era}");
            return Err(ReadError(cause).into());
        }
        let status = response.status();
        let body = read_body(response)?;
        if status == STATUS_GONE {
            let gone: Gone = serde_json::from_slice(&body).map_err(read_error)?;
            return Err(ChangesError::Gap(gone.first_offset));
        }
        if !status.is_success() {
            return Err(ReadError(format!("the store answered {status} for `{topic}`")).into());
        }
        unframe(&body)
            .ok_or_else(|| ReadError(format!("records of `{topic}` are cut short")).into())
    }

    fn newest_page(&self, topic: &str, after: Option<&str>) -> Result<Page, ReadError> {
        let mut request = self
            .request(Method::GET, "log-newest", Duration::ZERO)
            .param("topic", topic)
            .param("part", PARTITION);
        if let Some(after) = after {
            request = request.param("after", after);
        }
        let response = request
            .send()
            .and_then(Response::error_for_status)
            .map_err(read_error)?;
        let era = self.record_era(&response);
        let body = read_body(response)?;
        let text = String::from_utf8_lossy(&body);
        let page: NewestPage<'_> = serde_json::from_str(&text).map_err(read_error)?;
        let records = page.items.into_iter();
        Ok(Page {
            records: records
                .filter_map(|item| NewestItem::decode(topic, item))
                .collect(),
            has_more: page.more,
            end: Position::new(era, page.end_offset),
        })
    }
}

impl Keyed for Store {
    fn newest(&self, topic: &str) -> Result<Changes, ReadError> {
        let mut page = self.newest_page(topic, None)?;
        let next = page.end;
        let mut records = Vec::new();
        loop {
            let after = page.records.last().map(|record| record.key.clone());
            records.append(&mut page.records);
            if !page.has_more {
                return Ok(Changes {
                    records,
                    next,
                    pending: 0,
                });
            }
            let after = after.ok_or_else(|| {
                ReadError(format!("a page of `{topic}` has no key to continue after"))
            })?;
            page = self.newest_page(topic, Some(&after))?;
            if page.end.era() != next.era() {
                return Err(ReadError(format!(
                    "the store was restored while `{topic}` was read: {} after {next}",
                    page.end
                )));
            }
        }
    }

    fn changes(
        &self,
        topic: &str,
        from: Position,
        wait: Duration,
    ) -> Result<Changes, ChangesError> {
        let (era, offset) = from.into_parts();
        let (contents, end) = self.read(topic, era, offset, wait)?;
        let records = contents.iter().filter_map(|content| decode(content));
        let next = offset + contents.len() as Offset;
        Ok(Changes {
            records: records.collect(),
            next: Position::new(era, next),
            pending: end.saturating_sub(next),
        })
    }

    fn put(&self, topic: &str, record: Pair<'_>) -> Result<Position, AppendError> {
        match self.append(topic, &encode(record), None) {
            Ok(position) => Ok(position),
            Err(ConditionError::Append(error)) => Err(error),
            Err(moved @ ConditionError::Moved(_)) => Err(AppendError::Refused(moved.to_string())),
        }
    }

    fn put_at(
        &self,
        topic: &str,
        record: Pair<'_>,
        at: Position,
    ) -> Result<Position, ConditionError> {
        let (era, offset) = at.into_parts();
        let written = self.append(topic, &encode(record), Some(offset))?;
        match written.era() == era {
            true => Ok(written),
            false => Err(AppendError::Unknown(format!(
                "the store was restored: the condition was read in era {era}, the record written at {written}"
            ))
            .into()),
        }
    }

    fn newest_era(&self) -> Era {
        self.newest_era.load(Ordering::Relaxed)
    }
}

/// Reads the body of a response, up to [`MAX_RESPONSE_BYTES`].
fn read_body(response: Response) -> Result<Vec<u8>, ReadError> {
    let (_, _, reader) = response.split();
    let mut body = Vec::new();
    let read = reader.take(MAX_RESPONSE_BYTES + 1).read_to_end(&mut body);
    read.map_err(read_error)?;
    if body.len() as u64 > MAX_RESPONSE_BYTES {
        return Err(ReadError(format!(
            "the store's answer is larger than {MAX_RESPONSE_BYTES} bytes"
        )));
    }
    Ok(body)
}

fn read_error<E>(cause: E) -> ReadError
where
    E: std::fmt::Display,
{
    ReadError(cause.to_string())
}

/// Encodes a record for sending: its length, then its content.
fn frame(content: &[u8]) -> Vec<u8> {
    let mut framed = (content.len() as u32).to_be_bytes().to_vec();
    framed.extend_from_slice(content);
    framed
}

/// Splits the body of a read's response into contents and the offset after the topic's last record;
/// `None` if a record is truncated.
fn unframe(body: &[u8]) -> Option<(Vec<Vec<u8>>, Offset)> {
    let (header, mut rest) = body.split_at_checked(READ_HEADER_BYTES)?;
    let end = Offset::from_be_bytes(header.first_chunk().copied()?);
    let mut contents = Vec::new();
    while !rest.is_empty() {
        let (length, after) = rest.split_at_checked(LENGTH_BYTES)?;
        let length = u32::from_be_bytes(length.try_into().ok()?) as usize;
        let (content, after) = after.split_at_checked(length)?;
        contents.push(content.to_vec());
        rest = after;
    }
    Some((contents, end))
}

/// Encodes a record's content: the length of its key, the key, the value.
fn encode(record: Pair<'_>) -> Vec<u8> {
    let mut content = vec![record.key.len() as u8];
    content.extend_from_slice(record.key.as_bytes());
    content.extend_from_slice(record.value);
    content
}

/// Decodes a record's content into key and value; `None` if the key is invalid.
fn decode(content: &[u8]) -> Option<Record> {
    let (length, rest) = content.split_first()?;
    let (key, value) = rest.split_at_checked(usize::from(*length))?;
    let key = match std::str::from_utf8(key) {
        Ok(key) => CompactString::from(key),
        Err(cause) => {
            warn!(cause:% = cause; "record dropped: its key is not UTF-8");
            return None;
        }
    };
    let value = (!value.is_empty()).then(|| value.to_vec());
    Some(Record { key, value })
}
