//! How an engine answers requests.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tiny_http::Request;

use crate::pipeline::call::prefix_of;
use crate::pipeline::identify;
use crate::standin::plain::refuse;
use crate::upstream::Role;
use crate::upstream::call;

use super::Shared;
use super::orders;
use super::server;
use super::token;

/// Pause between two signs of life on a stream that has no tokens yet.
const HEARTBEAT: Duration = Duration::from_millis(300);
/// Characters of a token.
const TOKEN_CHARS: usize = 4;
/// Tokens generated where the request sets no limit.
const DEFAULT_TOKENS: u64 = 16;
/// Share of the reading time that a cached prefix leaves.
const CACHED_SHARE: f64 = 0.2;
/// Token at which a stream goes wrong, if it is to.
const FAULTY_TOKEN: u64 = 5;
/// A prompt with this text in it crashes the engine.
pub const POISON: &str = "<poison>";

/// Answers one request.
pub fn answer(shared: &Arc<Shared>, mut request: Request) {
    let body = server::body(&mut request);
    if shared.is_down() {
        return drop(request.into_writer());
    }
    let url = request.url().to_owned();
    let (path, query) = server::split(&url);
    match path {
        "/load" => server::json(request, 200, &json!(shared.load())),
        "/orders" => orders::answer(shared, request, &body),
        "/cache-events" => {
            let from = server::number(&query, "from");
            let events = shared.cache.lock().expect("cache lock").events(from);
            server::json(request, 200, &json!({ "events": events }));
        }
        "/v1/prefill" | "/v1/completions" | "/v1/chat/completions" => {
            work(shared, request, path, &body)
        }
        _ => server::json(request, 404, &Value::Null),
    }
}

fn work(shared: &Arc<Shared>, request: Request, path: &str, body: &[u8]) {
    let Ok(json) = serde_json::from_slice::<Value>(body) else {
        return server::json(request, 400, &Value::Null);
    };
    let reads_only = path == "/v1/prefill";
    let is_fit = match shared.role() {
        Role::Mixed => true,
        Role::Prefill => reads_only,
        Role::Decode => !reads_only,
    };
    let is_busy = shared.desk.lock().expect("desk lock").busy_with().is_some();
    if !is_fit || is_busy || shared.faults.leaving.load(Ordering::SeqCst) {
        return refuse(request);
    }
    shared.in_flight.fetch_add(1, Ordering::SeqCst);
    let job = Job::new(shared, &request, json, path.contains("chat"));
    match reads_only {
        true => job.prefill(request),
        false => drop(job.stream(request)),
    }
    job.forget();
    shared.in_flight.fetch_sub(1, Ordering::SeqCst);
}

struct Job<'a> {
    shared: &'a Shared,
    body: Value,
    prompt: String,
    id: String,
    rank: u8,
    chat: bool,
    generation: u64,
    number: u64,
}

impl<'a> Job<'a> {
    fn new(shared: &'a Shared, request: &Request, body: Value, chat: bool) -> Self {
        let header = |name| {
            identify::header(request, name)
                .unwrap_or_default()
                .to_owned()
        };
        let prompt = match chat {
            true => body["messages"][0]["content"].as_str(),
            false => body["prompt"].as_str(),
        };
        let id = header(call::REQUEST_ID);
        let number = shared.stream_number.fetch_add(1, Ordering::SeqCst);
        let mut streams = shared.streams.lock().expect("stream lock");
        streams.insert(id.clone(), number);
        drop(streams);
        let mut book = shared.book.lock().expect("book lock");
        *book.begun.entry(id.clone()).or_insert(0) += 1;
        Job {
            shared,
            prompt: prompt.unwrap_or_default().to_owned(),
            body,
            id,
            rank: header(call::PRIORITY).parse().unwrap_or(0),
            chat,
            generation: shared.generation.load(Ordering::SeqCst),
            number,
        }
    }

    /// Returns whether the engine still runs the job, and no newer stream has replaced it.
    fn is_alive(&self) -> bool {
        let streams = self.shared.streams.lock().expect("stream lock");
        let is_newest = streams.get(&self.id) == Some(&self.number);
        is_newest && self.shared.generation.load(Ordering::SeqCst) == self.generation
    }

    fn forget(&self) {
        let mut streams = self.shared.streams.lock().expect("stream lock");
        if streams.get(&self.id) == Some(&self.number) {
            streams.remove(&self.id);
        }
    }

    fn is_silent(&self) -> bool {
        self.number < self.shared.faults.silent_before.load(Ordering::SeqCst)
    }

    /// Reads the prompt; `sign` is called now and then to show life.
    fn read<F>(&self, mut sign: F) -> bool
    where
        F: FnMut() -> bool,
    {
        let shared = self.shared;
        let tokens = (self.prompt.len() / TOKEN_CHARS).max(1) as u64;
        shared.prompt_backlog.fetch_add(tokens, Ordering::SeqCst);
        let place = shared
            .readers
            .enter(self.rank, HEARTBEAT, || self.is_alive() && sign());
        let is_read = place.is_some_and(|_place| {
            let is_cached = prefix_of(&self.prompt)
                .is_some_and(|prefix| shared.cache.lock().expect("cache lock").touch(prefix));
            let share = if is_cached { CACHED_SHARE } else { 1.0 };
            let rate = shared.speed.prompt_tokens_per_s;
            self.pass(
                Duration::from_secs_f64(tokens as f64 * share / rate),
                &mut sign,
            )
        });
        shared.prompt_backlog.fetch_sub(tokens, Ordering::SeqCst);
        shared.prompt_tokens.fetch_add(tokens, Ordering::SeqCst);
        is_read
    }

    fn pass<F>(&self, period: Duration, sign: &mut F) -> bool
    where
        F: FnMut() -> bool,
    {
        let end = Instant::now() + period;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return self.is_alive();
            }
            thread::sleep(left.min(HEARTBEAT));
            if !self.is_alive() || (left > HEARTBEAT && !sign()) {
                return false;
            }
        }
    }

    fn prefill(&self, request: Request) {
        if self.prompt.contains(POISON) {
            self.shared.crash();
        }
        match self.read(|| true) {
            true => {
                let kv = json!({ "handle": self.id, "tokens": self.prompt.len() / TOKEN_CHARS });
                server::json(request, 200, &json!({ "kv": kv }));
            }
            false => drop(request.into_writer()),
        }
    }

    fn stream(&self, request: Request) -> io::Result<()> {
        let mut out = request.into_writer();
        out.write_all(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
        )?;
        out.flush()?;
        let has_kv = self.body.get("kv").is_some();
        let mut sign = || self.write(&mut out, ": heartbeat\n\n").is_ok();
        if !has_kv && !self.read(&mut sign) {
            return Ok(());
        }
        let shared = self.shared;
        let wait_more = || self.is_alive() && sign();
        let Some(_place) = shared.writers.enter(self.rank, HEARTBEAT, wait_more) else {
            return Ok(());
        };
        if self.prompt.contains(POISON) {
            shared.crash();
            return Ok(());
        }
        self.generate(&mut out)
    }

    fn generate<W>(&self, out: &mut W) -> io::Result<()>
    where
        W: Write,
    {
        let first = self.body["resume"]["from_token"].as_u64().unwrap_or(0);
        let limit = self.body["max_tokens"].as_u64().unwrap_or(DEFAULT_TOKENS);
        for index in first..limit {
            let others = self.shared.writers.inside().saturating_sub(1) as f64;
            let growth = 1.0 + others * self.shared.speed.step_growth;
            thread::sleep(self.shared.speed.step.mul_f64(growth));
            if !self.is_alive() {
                return Ok(());
            }
            let faults = &self.shared.faults;
            if index == FAULTY_TOKEN && faults.skips_token.swap(false, Ordering::SeqCst) {
                continue;
            }
            let mut event = self.event(index, index + 1 == limit);
            if index == FAULTY_TOKEN && faults.crosses.swap(false, Ordering::SeqCst) {
                event["request_id"] = json!("another");
                event["choices"][0]["text"] = json!("another's ");
            }
            self.write(out, &format!("data: {event}\n\n"))?;
            self.shared.generated_tokens.fetch_add(1, Ordering::SeqCst);
        }
        self.write(out, "data: [DONE]\n\n")
    }

    fn event(&self, index: u64, is_last: bool) -> Value {
        let text = token(&self.prompt, index);
        let reason = if is_last {
            json!("length")
        } else {
            Value::Null
        };
        let choice = match self.chat {
            true => json!({ "index": 0, "delta": { "content": text }, "finish_reason": reason }),
            false => json!({ "index": 0, "text": text, "finish_reason": reason }),
        };
        json!({
            "id": format!("cmpl-{}", self.id),
            "object": if self.chat { "chat.completion.chunk" } else { "text_completion" },
            "model": self.body["model"],
            "request_id": self.id,
            "token_index": index,
            "choices": [choice],
        })
    }

    /// Writes to the caller, or nothing if the connection has gone silent.
    fn write<W>(&self, out: &mut W, text: &str) -> io::Result<()>
    where
        W: Write,
    {
        while self.is_silent() {
            if !self.is_alive() {
                return Err(io::ErrorKind::BrokenPipe.into());
            }
            thread::sleep(HEARTBEAT);
        }
        out.write_all(text.as_bytes())?;
        out.flush()
    }
}
