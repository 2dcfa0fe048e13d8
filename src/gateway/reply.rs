//! Responses to callers: an upstream's, or the gateway's own.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Body;
use hyper::body::Frame;
use thiserror::Error;
use tokio::sync::mpsc;

use super::exchange::FullResponse;
use crate::platform::egress;

/// Error of a body that is aborted: the caller's connection is closed without a proper end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the answer was cut")]
pub struct Aborted;

/// Body of a response.
pub type Content = UnsyncBoxBody<Bytes, Aborted>;

/// Response to a caller.
pub type Reply = Response<Content>;

/// Next chunk of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Chunk {
    /// Complete events.
    Events(Bytes),
    /// Regular end of the stream.
    End,
}

/// Body that passes on the chunks of a stream; aborted if they stop before the end.
#[derive(Debug)]
pub struct Stream {
    first: Option<Bytes>,
    chunks: mpsc::Receiver<Chunk>,
    is_ended: bool,
}

impl Stream {
    /// Returns a body of `first` and the chunks that follow.
    pub fn new(first: Bytes, chunks: mpsc::Receiver<Chunk>) -> Self {
        Stream {
            first: Some(first),
            chunks,
            is_ended: false,
        }
    }
}

impl Body for Stream {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        if self.is_ended {
            return Poll::Ready(None);
        }
        match self.chunks.poll_recv(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Chunk::Events(events))) => Poll::Ready(Some(Ok(Frame::data(events)))),
            Poll::Ready(Some(Chunk::End)) => {
                self.is_ended = true;
                Poll::Ready(None)
            }
            Poll::Ready(None) => {
                self.is_ended = true;
                Poll::Ready(Some(Err(Aborted)))
            }
        }
    }
}

fn full(body: Bytes) -> Content {
    Full::new(body)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Returns an upstream's full response without its hop-by-hop fields.
pub fn deliver(response: FullResponse) -> Reply {
    let mut reply = Response::new(full(response.body));
    *reply.status_mut() = response.head.status;
    *reply.headers_mut() = egress::response_fields(&response.head.headers);
    reply
}

/// Returns the head of an upstream's stream with `stream` as its body.
pub fn deliver_stream(head: &http::response::Parts, stream: Stream) -> Reply {
    let mut reply = Response::new(stream.boxed_unsync());
    *reply.status_mut() = head.status;
    *reply.headers_mut() = egress::response_fields(&head.headers);
    reply
}

/// Returns one of the gateway's own responses, with one line of plain text.
pub fn own(status: StatusCode, text: &str) -> Reply {
    let mut reply = Response::new(full(Bytes::from(format!("{text}\n"))));
    *reply.status_mut() = status;
    reply.headers_mut().insert(
        http::header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain; charset=utf-8"),
    );
    reply
}

/// Returns a refusal: the request has not run, and may be retried after `retry_after`.
///
/// ```
/// use std::time::Duration;
/// use pistachiohall::gateway::reply;
/// let reply = reply::refuse("busy", Duration::from_millis(250));
/// assert_eq!(reply.status(), 503);
/// assert_eq!(reply.headers()["retry-after"], "0.25");
/// ```
pub fn refuse(text: &str, retry_after: Duration) -> Reply {
    let mut reply = own(StatusCode::SERVICE_UNAVAILABLE, text);
    let seconds = format!("{}", (retry_after.as_secs_f64() * 1000.0).round() / 1000.0);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        reply.headers_mut().insert(http::header::RETRY_AFTER, value);
    }
    reply
}
