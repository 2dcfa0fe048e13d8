//! Writes responses to callers.

use std::io;
use std::io::Write;

use chunked_transfer::Encoder;
use serde_json::Value;

use crate::id::RequestId;
use crate::problem::Problem;
use crate::upstream::call::OUTCOME;
use crate::upstream::call::REQUEST_ID;
use crate::wire::Reply;

/// Writes a full response.
///
/// ```
/// use pistachiohall::pipeline::deliver;
/// use pistachiohall::wire::Reply;
/// let mut out = Vec::new();
/// let reply = Reply::ran(200, "text/plain", b"ok".to_vec());
/// deliver::whole(&mut out, uuid::Uuid::nil(), &reply, false).unwrap();
/// assert!(out.starts_with(b"HTTP/1.1 200 "));
/// assert!(out.ends_with(b"\r\n\r\nok"));
/// ```
pub fn whole<W>(out: &mut W, request: RequestId, reply: &Reply, closes: bool) -> io::Result<()>
where
    W: Write,
{
    let mut head = head(request, reply.status, &reply.content_type, closes);
    head.push_str(&format!("Content-Length: {}\r\n", reply.body.len()));
    head.push_str(&format!("{OUTCOME}: {}\r\n", reply.outcome.word()));
    if let Some(seconds) = reply.retry_after_s {
        head.push_str(&format!("Retry-After: {seconds}\r\n"));
    }
    head.push_str("\r\n");
    out.write_all(head.as_bytes())?;
    out.write_all(&reply.body)?;
    out.flush()
}

fn head(request: RequestId, status: u16, content_type: &str, closes: bool) -> String {
    let reason = match status {
        200..=299 => "OK",
        400..=499 => "Refused",
        _ => "Failed",
    };
    let connection = if closes { "Connection: close\r\n" } else { "" };
    format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: {content_type}\r\n\
         {REQUEST_ID}: {request}\r\n{connection}"
    )
}

/// Flushes after each write, so that nothing written is held back.
///
/// The chunk encoder and the HTTP library's writer both buffer bytes until they are flushed, the
/// end marker of the last chunk included.
struct AutoFlush<W>(W);

impl<W> Write for AutoFlush<W>
where
    W: Write,
{
    fn write(&mut self, data: &[u8]) -> io::Result<usize> {
        self.0.write_all(data)?;
        self.0.flush()?;
        Ok(data.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

/// A stream of events to a caller; its head is written with the first event.
pub struct Stream<W>
where
    W: Write,
{
    request: RequestId,
    closes: bool,
    out: Option<W>,
    body: Option<Encoder<AutoFlush<W>>>,
}

impl<W> Stream<W>
where
    W: Write,
{
    /// Returns a stream that has written nothing yet.
    ///
    /// ```
    /// use pistachiohall::pipeline::deliver::Stream;
    /// let mut out = Vec::new();
    /// let mut stream = Stream::new(&mut out, uuid::Uuid::nil(), false);
    /// stream.event("{}").unwrap();
    /// stream.finish().unwrap();
    /// assert!(out.ends_with(b"0\r\n\r\n"));
    /// ```
    pub fn new(out: W, request: RequestId, closes: bool) -> Self {
        Stream {
            request,
            closes,
            out: Some(out),
            body: None,
        }
    }

    /// Returns `true` if the head has been written.
    pub fn has_begun(&self) -> bool {
        self.body.is_some()
    }

    /// Writes one event and flushes it.
    pub fn event(&mut self, data: &str) -> io::Result<()> {
        let text = format!("data: {data}\n\n");
        self.body()?.write_all(text.as_bytes())
    }

    /// Ends the stream with its final marker.
    pub fn finish(mut self) -> io::Result<()> {
        self.event("[DONE]")?;
        self.close()
    }

    /// Ends the stream with an error and without the final marker. If nothing has been written,
    /// writes the problem as a full response instead.
    pub fn fail(mut self, problem: &Problem) -> io::Result<()> {
        if let Some(mut out) = self.out.take() {
            return whole(&mut out, self.request, &problem.clone().into(), self.closes);
        }
        let data = serde_json::to_string(&serde_json::json!({ "error": problem }))?;
        let text = format!("event: error\ndata: {data}\n\n");
        self.body()?.write_all(text.as_bytes())?;
        self.close()
    }

    fn body(&mut self) -> io::Result<&mut Encoder<AutoFlush<W>>> {
        if let Some(mut out) = self.out.take() {
            let mut head = head(self.request, 200, "text/event-stream", self.closes);
            head.push_str("Cache-Control: no-store\r\nTransfer-Encoding: chunked\r\n\r\n");
            out.write_all(head.as_bytes())?;
            self.body = Some(Encoder::with_flush_after_write(AutoFlush(out)));
        }
        self.body
            .as_mut()
            .ok_or_else(|| io::ErrorKind::BrokenPipe.into())
    }

    fn close(mut self) -> io::Result<()> {
        drop(self.body.take());
        Ok(())
    }
}

/// Collects the events of a completion into one response.
#[derive(Debug, Default)]
pub struct Collected {
    first: Option<Value>,
    text: String,
    finish_reason: Value,
}

impl Collected {
    /// Adds the data of one event.
    ///
    /// ```
    /// use pistachiohall::pipeline::deliver::Collected;
    /// let mut collected = Collected::default();
    /// collected.add(&serde_json::json!({"choices": [{"text": "a", "finish_reason": null}]}));
    /// collected.add(&serde_json::json!({"choices": [{"text": "b", "finish_reason": "stop"}]}));
    /// assert_eq!(collected.reply(false).status, 200);
    /// ```
    pub fn add(&mut self, event: &Value) {
        self.text.push_str(text_of(event));
        let reason = &event["choices"][0]["finish_reason"];
        if !reason.is_null() {
            self.finish_reason = reason.clone();
        }
        self.first.get_or_insert_with(|| event.clone());
    }

    /// Returns the text collected so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the full response, in the form of the chat interface if `chat` is set.
    pub fn reply(self, chat: bool) -> Reply {
        let mut body = self.first.unwrap_or_default();
        if let Some(fields) = body.as_object_mut() {
            fields.remove("token_index");
        }
        let mut choice = serde_json::json!({ "index": 0, "finish_reason": self.finish_reason });
        match chat {
            true => {
                choice["message"] = serde_json::json!({ "role": "assistant", "content": self.text })
            }
            false => choice["text"] = self.text.into(),
        }
        body["object"] = if chat {
            "chat.completion"
        } else {
            "text_completion"
        }
        .into();
        body["choices"] = Value::Array(vec![choice]);
        Reply::json(200, &body)
    }
}

/// Returns the text that an event adds.
pub fn text_of(event: &Value) -> &str {
    let choice = &event["choices"][0];
    let text = choice["text"].as_str();
    text.or_else(|| choice["delta"]["content"].as_str())
        .unwrap_or("")
}
