//! Stand-in for the platform's store: a log with keyed topics. Each machine reaches it by an address of its own, so
//! that it can be slow, silent or away for some of them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::io;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;

/// Time for which a connection stays open that gets no answer.
const SILENCE: Duration = Duration::from_secs(20);

/// How the store treats the calls at one of its addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Manner {
    Sound,
    /// It takes calls and neither does nor answers them.
    Silent,
}

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Topic>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    /// Whether it takes no writes of replicas either.
    is_away: Arc<AtomicBool>,
}

/// One address of the store.
pub struct Port {
    pub address: SocketAddr,
    manner: Arc<Mutex<Manner>>,
}

impl Port {
    pub fn set(&self, manner: Manner) {
        *self.manner.lock().unwrap() = manner;
    }
}

impl Store {
    pub fn new() -> Self {
        Store {
            state: Arc::default(),
            is_away: Arc::default(),
        }
    }

    /// Opens another address.
    pub fn open(&self) -> Port {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let manner = Arc::new(Mutex::new(Manner::Sound));
        let (store, shared) = (self.clone(), Arc::clone(&manner));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, manner) = (store.clone(), Arc::clone(&shared));
                thread::spawn(move || store.serve(stream, &manner));
            }
        });
        Port { address, manner }
    }

    /// Writes a record, as the operator and the replicas do.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut content = vec![key.len() as u8];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value);
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        append(state.topics.entry(topic.into()).or_default(), content);
        changed.notify_all();
    }

    /// Writes a replica's entry, unless the store is away.
    pub fn put_entry(&self, id: &str, entry: &[u8]) {
        if !self.is_away.load(Ordering::SeqCst) {
            self.put("keyed.servers", id, entry);
        }
    }

    /// Removes a replica's entry if it is still the one of the incarnation that started at `born`.
    pub fn remove_entry(&self, id: &str, born: u64) {
        let is_own = {
            let state = self.state.0.lock().unwrap();
            let entry = state
                .topics
                .get("keyed.servers")
                .and_then(|topic| topic.newest.get(id));
            let text = entry.map(|(_, value)| String::from_utf8_lossy(value).into_owned());
            text.is_some_and(|text| text.contains(&format!("\"born\":{born}")))
        };
        if is_own {
            self.put("keyed.servers", id, b"");
        }
    }

    /// Sets whether replicas reach the store; machines reach it by their own addresses.
    pub fn set_away(&self, is_away: bool) {
        self.is_away.store(is_away, Ordering::SeqCst);
    }

    fn serve(&self, stream: TcpStream, manner: &Mutex<Manner>) -> Option<()> {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut stream = stream;
        while let Ok(Some(call)) = http::read(&mut reader, false) {
            if *manner.lock().unwrap() == Manner::Silent {
                thread::sleep(SILENCE);
                return None;
            }
            let (status, body) = self.call(&call);
            // A call that waited is not answered either.
            if *manner.lock().unwrap() == Manner::Silent {
                thread::sleep(SILENCE);
                return None;
            }
            write(&mut stream, status, &body).ok()?;
        }
        None
    }

    fn call(&self, call: &Message) -> (u16, Vec<u8>) {
        let topic = call.query("topic").unwrap_or("").to_string();
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        match call.path() {
            "/v1/log-append" => {
                let Some(contents) = unframe(&call.body) else {
                    return (400, Vec::new());
                };
                let topic = state.topics.entry(topic).or_default();
                let end = topic.records.len() as u64;
                if let Some(at) = call.query("at").and_then(|at| at.parse::<u64>().ok())
                    && at != end
                {
                    return (412, format!("{{\"end_offset\":{end}}}").into_bytes());
                }
                for content in contents {
                    append(topic, content);
                }
                let next = topic.records.len();
                changed.notify_all();
                let body = format!("{{\"offset\":{end},\"end_offset\":{next}}}");
                (200, body.into_bytes())
            }
            "/v1/log-read" => {
                let number = |name| call.query(name).and_then(|text| text.parse::<u64>().ok());
                let from = number("from").unwrap_or(0) as usize;
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                let until = Instant::now() + wait;
                loop {
                    let records = &state.topics.entry(topic.clone()).or_default().records;
                    let left = until.saturating_duration_since(Instant::now());
                    if records.len() > from || left.is_zero() {
                        if from > records.len() {
                            return (410, b"{\"first_offset\":0}".to_vec());
                        }
                        let mut body = (records.len() as u64).to_be_bytes().to_vec();
                        body.extend(0_u64.to_be_bytes());
                        for record in &records[from..] {
                            body.extend((record.len() as u32).to_be_bytes());
                            body.extend(record);
                        }
                        return (200, body);
                    }
                    state = changed.wait_timeout(state, left).unwrap().0;
                }
            }
            "/v1/log-newest" => {
                let after = call.query("after").map(decode_percent);
                let topic = state.topics.entry(topic).or_default();
                let items: Vec<String> = topic
                    .newest
                    .iter()
                    .filter(|(key, _)| after.as_ref().is_none_or(|after| *key > after))
                    .map(|(key, (offset, value))| {
                        let value = base64(value);
                        format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                    })
                    .collect();
                let body = format!(
                    "{{\"items\":[{}],\"more\":false,\"end_offset\":{}}}",
                    items.join(","),
                    topic.records.len()
                );
                (200, body.into_bytes())
            }
            _ => (404, Vec::new()),
        }
    }
}

fn write(stream: &mut TcpStream, status: u16, body: &[u8]) -> io::Result<()> {
    let fields = [("Store-Era", "1"), ("Content-Type", "application/json")];
    http::answer(stream, status, &fields, body)
}

fn append(topic: &mut Topic, content: Vec<u8>) {
    let offset = topic.records.len() as u64;
    let length = content.first().map_or(0, |length| usize::from(*length));
    if let Some((key, value)) = content
        .get(1..)
        .and_then(|rest| rest.split_at_checked(length))
    {
        let key = String::from_utf8_lossy(key).into_owned();
        match value.is_empty() {
            true => topic.newest.remove(&key),
            false => topic.newest.insert(key, (offset, value.to_vec())),
        };
    }
    topic.records.push(content);
}

fn unframe(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut contents = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_at_checked(4)?;
        let length = u32::from_be_bytes(length.try_into().ok()?) as usize;
        let (content, rest) = rest.split_at_checked(length)?;
        contents.push(content.to_vec());
        body = rest;
    }
    Some(contents)
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let digits: Vec<u8> = rest.by_ref().take(2).collect();
        let digits = String::from_utf8_lossy(&digits).into_owned();
        bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().enumerate().fold(0_u32, |word, (place, byte)| {
            word | u32::from(*byte) << (16 - 8 * place)
        });
        for place in 0..4 {
            match place <= part.len() {
                true => text.push(DIGITS[(word >> (18 - 6 * place) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
