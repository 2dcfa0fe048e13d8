//! A stand-in for the platform's store: keyed topics, conditional appends, and its troubles.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;
use serde_json::json;

use super::wire;
use super::wire::Next;
use super::wire::Request;
use super::wire::Server;

/// Era of a store that was never restored.
const FIRST_ERA: u64 = 1;
/// Size of the offsets before the records of a read.
const READ_HEADER_BYTES: usize = 16;
/// Default maximum size of the records of one read, in KiB.
const MAX_READ_KIB: u64 = 1024;
/// Field of all answers that names the era.
const ERA_FIELD: &str = "Store-Era";

/// What is wrong with the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Each call is answered 503 and not done.
    Down,
    /// Calls are not answered and not done.
    Silent,
    /// Appends are done and not answered.
    LostAnswers,
}

#[derive(Debug, Default, Clone)]
struct Topic {
    first: u64,
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, content: Vec<u8>) -> u64 {
        let offset = self.end();
        if let Some((key, value)) = split_key(&content) {
            match value.is_empty() {
                true => self.newest.remove(&key),
                false => self.newest.insert(key, (offset, value)),
            };
        }
        self.records.push(content);
        offset
    }
}

/// A copy of all topics at one moment.
#[derive(Debug, Clone)]
pub struct Snapshot(HashMap<String, Topic>);

#[derive(Debug, Default)]
struct State {
    topics: HashMap<String, Topic>,
    trouble: Fault,
    calls: u64,
    /// Items of other writers in the pages of the newest records, as they stand there.
    odd_items: HashMap<String, Vec<Vec<u8>>>,
    /// Topic whose newest records are not listed.
    unlisted: Option<String>,
    /// Era that all answers name; `None` if they name none.
    era: Option<u64>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// The stand-in.
#[derive(Debug)]
pub struct Store {
    shared: Arc<Shared>,
    server: Server,
}

impl Store {
    /// Starts an empty store on a free port of the loopback.
    ///
    /// # Errors
    ///
    /// Fails if no port can be listened on.
    pub fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        shared.state.lock().expect("store lock").era = Some(FIRST_ERA);
        let own = Arc::clone(&shared);
        let server = Server::start(wire::unique_address(), move |request, stream| {
            handle(&own, &request, stream)
        })?;
        Ok(Store { shared, server })
    }

    /// Returns where it serves.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes what is wrong with it.
    pub fn set_fault(&self, trouble: Fault) {
        self.shared.state.lock().expect("store lock").trouble = trouble;
        self.shared.changed.notify_all();
    }

    /// Returns a copy of all topics.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot(self.shared.state.lock().expect("store lock").topics.clone())
    }

    /// Replaces all topics with a copy, which begins a new era. Calls that wait for records are
    /// answered as of the era in which they came.
    pub fn restore(&self, snapshot: &Snapshot) {
        let mut state = self.shared.state.lock().expect("store lock");
        state.topics = snapshot.0.clone();
        state.era = state.era.map(|era| era + 1);
        self.shared.changed.notify_all();
    }

    /// Lists an item as it stands, whatever it is, before the newest records of a topic.
    pub fn list_odd_item(&self, topic: &str, item: &[u8]) {
        let mut state = self.shared.state.lock().expect("store lock");
        let items = state.odd_items.entry(topic.into()).or_default();
        items.push(item.to_vec());
    }

    /// Refuses to list the newest records of a topic, or no longer.
    pub fn set_unlisted(&self, topic: Option<&str>) {
        self.shared.state.lock().expect("store lock").unlisted = topic.map(str::to_owned);
    }

    /// Names no era in its answers from now on.
    pub fn hide_era(&self) {
        self.shared.state.lock().expect("store lock").era = None;
    }

    /// Returns how many calls it got.
    pub fn calls(&self) -> u64 {
        self.shared.state.lock().expect("store lock").calls
    }

    /// Returns what upstreams write their entries with.
    pub fn registry(&self) -> Registry {
        Registry(Arc::clone(&self.shared))
    }

    /// Writes the newest record of a key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        self.registry().put(topic, key, value);
    }

    /// Puts a configuration into force, as the operator does.
    pub fn put_config(&self, config: &Value) {
        self.put("keyed.op", "config", config.to_string().as_bytes());
    }

    /// Removes a key.
    pub fn remove(&self, topic: &str, key: &str) {
        self.put(topic, key, b"");
    }

    /// Removes a key and forgets the records of its topic before anyone can read the removal.
    pub fn remove_unread(&self, topic: &str, key: &str) {
        let mut state = self.shared.state.lock().expect("store lock");
        let topic = state.topics.entry(topic.into()).or_default();
        topic.newest.remove(key);
        topic.first = topic.end() + 1;
        topic.records.clear();
        self.shared.changed.notify_all();
    }

    /// Returns the offset after a topic's last record.
    pub fn end(&self, topic: &str) -> u64 {
        let state = self.shared.state.lock().expect("store lock");
        state.topics.get(topic).map_or(0, Topic::end)
    }

    /// Returns the newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.shared.state.lock().expect("store lock");
        let found = state.topics.get(topic)?.newest.get(key)?;
        Some(found.1.clone())
    }

    /// Returns the keys of a topic.
    pub fn keys(&self, topic: &str) -> Vec<String> {
        let state = self.shared.state.lock().expect("store lock");
        let topic = state.topics.get(topic);
        topic.map_or_else(Vec::new, |topic| topic.newest.keys().cloned().collect())
    }
}

/// A hand with which upstreams write their entries while the store goes on elsewhere.
#[derive(Debug, Clone)]
pub struct Registry(Arc<Shared>);

impl Registry {
    /// Writes the newest record of a key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut content = vec![key.len() as u8];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value);
        let mut state = self.0.state.lock().expect("store lock");
        state
            .topics
            .entry(topic.into())
            .or_default()
            .append(content);
        self.0.changed.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, topic: &str, key: &str) {
        self.put(topic, key, b"");
    }
}

fn split_key(content: &[u8]) -> Option<(String, Vec<u8>)> {
    let (length, rest) = content.split_first()?;
    let (key, value) = rest.split_at_checked(usize::from(*length))?;
    Some((String::from_utf8_lossy(key).into_owned(), value.to_vec()))
}

fn handle(shared: &Shared, request: &Request, stream: &mut TcpStream) -> io::Result<Next> {
    let (trouble, era) = {
        let mut state = shared.state.lock().expect("store lock");
        state.calls += 1;
        (state.trouble, state.era)
    };
    match trouble {
        Fault::Down => return answer(stream, 503, &json!({}), era),
        Fault::Silent => {
            let state = shared.state.lock().expect("store lock");
            let _state = shared
                .changed
                .wait_while(state, |state| state.trouble == Fault::Silent)
                .expect("store lock");
            return Ok(Next::Close);
        }
        Fault::None | Fault::LostAnswers => (),
    }
    let topic = request.query.get("topic").cloned().unwrap_or_default();
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/v1/log-append") => {
            let (status, body, era) = append(shared, &topic, request);
            match trouble == Fault::LostAnswers {
                true => Ok(Next::Close),
                false => answer(stream, status, &body, era),
            }
        }
        ("GET", "/v1/log-read") => read(shared, &topic, request, stream),
        ("GET", "/v1/log-newest") => {
            let state = shared.state.lock().expect("store lock");
            let is_unlisted = state.unlisted.as_ref() == Some(&topic);
            drop(state);
            if is_unlisted {
                return answer(stream, 503, &json!({}), era);
            }
            let (body, era) = newest(shared, &topic);
            answer_bytes(stream, 200, &body, era)
        }
        _ => answer(stream, 404, &json!({}), era),
    }
}

fn answer(stream: &mut TcpStream, status: u16, body: &Value, era: Option<u64>) -> io::Result<Next> {
    answer_bytes(stream, status, body.to_string().as_bytes(), era)
}

fn answer_bytes(
    stream: &mut TcpStream,
    status: u16,
    body: &[u8],
    era: Option<u64>,
) -> io::Result<Next> {
    let era = era.map(|era| era.to_string());
    let era = era.iter().map(|era| (ERA_FIELD, era.as_str()));
    let fields: Vec<(&str, &str)> = [("Content-Type", "application/json")]
        .into_iter()
        .chain(era)
        .collect();
    wire::answer(stream, status, &fields, body)?;
    Ok(Next::Keep)
}

fn append(shared: &Shared, name: &str, request: &Request) -> (u16, Value, Option<u64>) {
    let mut state = shared.state.lock().expect("store lock");
    let era = state.era;
    if matches!(name, "keyed.op" | "keyed.servers") {
        return (403, json!({}), era);
    }
    let topic = state.topics.entry(name.into()).or_default();
    let at = request.query.get("at").and_then(|at| at.parse().ok());
    if at.is_some_and(|at: u64| at != topic.end()) {
        return (412, json!({"end_offset": topic.end()}), era);
    }
    let Some((length, content)) = request.body.split_at_checked(4) else {
        return (400, json!({}), era);
    };
    let length = u32::from_be_bytes([length[0], length[1], length[2], length[3]]);
    if length as usize != content.len() {
        return (400, json!({}), era);
    }
    let offset = topic.append(content.to_vec());
    shared.changed.notify_all();
    let body = json!({"offset": offset, "end_offset": offset + 1});
    (200, body, era)
}

fn newest(shared: &Shared, name: &str) -> (Vec<u8>, Option<u64>) {
    let state = shared.state.lock().expect("store lock");
    let empty = Topic::default();
    let topic = state.topics.get(name).unwrap_or(&empty);
    let items = topic.newest.iter().map(|(key, (offset, value))| {
        json!({"key": key, "value": STANDARD.encode(value), "offset": offset})
            .to_string()
            .into_bytes()
    });
    let odd_items = state.odd_items.get(name).into_iter().flatten().cloned();
    let items: Vec<Vec<u8>> = odd_items.chain(items).collect();
    let mut body = b"{\"items\": [".to_vec();
    body.extend(items.join(&b','));
    body.extend(format!("], \"more\": false, \"end_offset\": {}}}", topic.end()).into_bytes());
    (body, state.era)
}

fn read(
    shared: &Shared,
    name: &str,
    request: &Request,
    stream: &mut TcpStream,
) -> io::Result<Next> {
    let number = |name: &str| {
        request
            .query
            .get(name)
            .and_then(|value| value.parse::<u64>().ok())
    };
    let from = number("from").unwrap_or_default();
    let wait = Duration::from_millis(number("wait_ms").unwrap_or_default());
    let max_bytes = number("max_kib").unwrap_or(MAX_READ_KIB) as usize * 1024;
    let state = shared.state.lock().expect("store lock");
    let era = state.era;
    let has_none = |state: &mut State| {
        let end = state.topics.get(name).map_or(0, Topic::end);
        end == from && state.trouble == Fault::None && state.era == era
    };
    let (state, _) = shared
        .changed
        .wait_timeout_while(state, wait, has_none)
        .expect("store lock");
    let empty = Topic::default();
    let has_changed_era = state.era != era;
    let topic = match has_changed_era {
        true => &empty,
        false => state.topics.get(name).unwrap_or(&empty),
    };
    if !has_changed_era && (from < topic.first || from > topic.end()) {
        let body = json!({"first_offset": topic.first});
        drop(state);
        return answer(stream, 410, &body, era);
    }
    let mut body = topic.end().to_be_bytes().to_vec();
    body.extend_from_slice(&topic.first.to_be_bytes());
    for record in topic
        .records
        .iter()
        .skip(from.saturating_sub(topic.first) as usize)
    {
        let is_first = body.len() <= READ_HEADER_BYTES;
        if !is_first && body.len() + record.len() > max_bytes {
            break;
        }
        body.extend_from_slice(&(record.len() as u32).to_be_bytes());
        body.extend_from_slice(record);
    }
    drop(state);
    let era = era.map(|era| era.to_string());
    let fields: Vec<(&str, &str)> = era.iter().map(|era| (ERA_FIELD, era.as_str())).collect();
    wire::answer(stream, 200, &fields, &body)?;
    Ok(Next::Keep)
}
