//! Forwards a stream event by event, and resumes it at another engine where that is allowed.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use tokio::time;

use super::Gateway;
use super::demand;
use super::exchange::Failure;
use super::generate;
use super::held;
use super::open;
use super::open::OpenStream;
use super::open::Progress;
use super::open::Start;
use super::origin;
use super::record::Outcome;
use super::reply::Chunk;
use super::suspect;
use crate::placement::Plan;

/// A stream that is being forwarded to a caller.
#[derive(Debug)]
pub struct Flow {
    /// Gateway.
    pub gateway: Rc<Gateway>,
    /// Request, its remaining attempts and its trace so far.
    pub progress: Progress,
    /// Channel to the caller's response.
    pub sender: mpsc::Sender<Chunk>,
    /// Events that the caller has not read yet.
    pub unread: held::Unread,
    /// Whether the stream had to wait until some events were read.
    pub has_waited: bool,
    /// Has peers keep the stream in case this host ends.
    pub run: origin::Run,
}

/// Outcome of forwarding a stream.
#[derive(Debug)]
enum End {
    /// The engine ended the stream.
    Complete,
    /// The engine's response broke off or could not be read.
    Broken(CompactString),
    /// The caller closed its connection.
    Disconnected,
    /// The deadline passed.
    TimedOut,
}

impl Flow {
    /// Forwards the stream to its end.
    pub async fn run(mut self, mut stream: OpenStream) {
        loop {
            let end = match stream.is_ended {
                true => End::Complete,
                false => self.forward(&mut stream).await,
            };
            match end {
                End::Complete => {
                    let OpenStream {
                        target,
                        connection,
                        head,
                        mut guard,
                        ..
                    } = stream;
                    guard.succeed();
                    target.release(connection, &head);
                    let is_sent = self.sender.send(Chunk::End).await.is_ok();
                    self.progress.trace.end(if is_sent {
                        Outcome::Delivered
                    } else {
                        Outcome::Left
                    });
                    return;
                }
                End::Disconnected => return self.progress.trace.end(Outcome::Left),
                End::TimedOut => {
                    self.progress.trace.decide("late");
                    return self.progress.trace.end(Outcome::Cut);
                }
                End::Broken(cause) => {
                    let id = stream.target.entry.id.clone();
                    self.progress
                        .trace
                        .step(format_args!("{id}=broken:{cause:?}"));
                    let failure = Failure::Broken(cause);
                    stream.target.health().record_failure(Instant::now());
                    stream.guard.fail(&failure);
                    self.progress.tried.push(id);
                    let last_id = stream.splitter.last_id().or(self
                        .progress
                        .call
                        .request
                        .after_event);
                    drop(stream);
                    match self.resume(last_id).await {
                        Some(next) => stream = next,
                        None => return self.progress.trace.end(Outcome::Cut),
                    }
                }
            }
        }
    }

    /// Forwards events until the response, the caller or the deadline ends it.
    async fn forward(&mut self, stream: &mut OpenStream) -> End {
        let mut last_event_at = Instant::now();
        loop {
            let frame = tokio::select! {
                biased;
                () = self.sender.closed() => return End::Disconnected,
                frame = time::timeout_at(self.progress.call.deadline.into(), stream.body.frame()) => frame,
            };
            let events = match frame {
                Err(_) => return End::TimedOut,
                Ok(None) if stream.splitter.is_complete() => return End::Complete,
                Ok(None) => return End::Broken("the stream ended within an event".into()),
                Ok(Some(Err(cause))) => {
                    return End::Broken(compact_str::format_compact!("{cause}"));
                }
                Ok(Some(Ok(frame))) => {
                    let data = frame.data_ref().map_or(&[][..], |data| data);
                    match stream.splitter.push(data) {
                        Ok(events) => events,
                        Err(cause) => {
                            return End::Broken(compact_str::format_compact!("{cause}"));
                        }
                    }
                }
            };
            let Some(events) = events else {
                continue;
            };
            let now = Instant::now();
            stream.guard.record_output(now);
            demand::record_step(&self.gateway, &self.progress.call.service, now);
            self.record_gap(stream, now.saturating_duration_since(last_event_at), now);
            if let Some(end) = self.send(events).await {
                return end;
            }
            if let Some(end) = self.wait_for_room().await {
                return end;
            }
            // The wait for a slow caller tells nothing of the engine.
            last_event_at = Instant::now();
        }
    }

    /// Records a pause of an engine, which tells its pace.
    fn record_gap(&self, stream: &OpenStream, pause: Duration, now: Instant) {
        let entry = &stream.target.entry;
        let mut board = self.gateway.board.borrow_mut();
        let occupancy = generate::occupancy(board.load(&entry.id, now).running, entry.slots);
        board.record_gap(&entry.id, pause, occupancy, now);
    }

    /// Waits while all streams together hold too much and this one holds a large part of it.
    async fn wait_for_room(&mut self) -> Option<End> {
        if self.unread.has_room() {
            return None;
        }
        if !std::mem::replace(&mut self.has_waited, true) {
            self.gateway.metrics.add("streams_waited_for_room");
            self.progress.trace.step(format_args!("wait=room"));
        }
        tokio::select! {
            biased;
            () = self.sender.closed() => Some(End::Disconnected),
            room = time::timeout_at(self.progress.call.deadline.into(), self.unread.wait_for_room()) => {
                room.err().map(|_| End::TimedOut)
            }
        }
    }

    async fn send(&self, events: Bytes) -> Option<End> {
        let sending = self.sender.send(Chunk::Events(self.unread.hold(events)));
        match time::timeout_at(self.progress.call.deadline.into(), sending).await {
            Ok(Ok(())) => None,
            Ok(Err(_)) => Some(End::Disconnected),
            Err(_) => Some(End::TimedOut),
        }
    }

    /// Resumes after the last complete event at another engine; `None` if that is not allowed or
    /// fails.
    async fn resume(&mut self, last_id: Option<u64>) -> Option<OpenStream> {
        let gateway = Rc::clone(&self.gateway);
        let is_resumable = self.progress.call.route.is_resumable;
        self.progress
            .attempt_budget
            .record_failure(&Failure::Broken("cut".into()));
        while self.progress.attempt_budget.allows_more(is_resumable) {
            if suspect::refusal(&gateway, &self.progress.call)
                .await
                .is_some()
            {
                self.progress.trace.decide(suspect::REFUSAL_REASON);
                return None;
            }
            if let Err(refusal) = gateway.check_key(&self.progress.call) {
                self.progress.trace.decide(refusal.reason());
                return None;
            }
            let now = Instant::now();
            let plan = generate::plan(&gateway, &self.progress, now);
            if now >= self.progress.call.deadline || !self.progress.may_start(&gateway, &plan) {
                self.progress.trace.decide("no-resume");
                return None;
            }
            let opening = open::open(&gateway, &mut self.progress, &plan, last_id);
            let stream = tokio::select! {
                biased;
                () = self.sender.closed() => return None,
                stream = opening => stream,
            };
            match stream {
                Ok(Start::Stream(mut stream)) => {
                    let first = std::mem::take(&mut stream.first);
                    if !first.is_empty() && self.send(first).await.is_some() {
                        return None;
                    }
                    return Some(*stream);
                }
                Ok(Start::Full(response)) => {
                    let status = response.head.status.as_u16();
                    self.progress.trace.step(format_args!("resume={status}"));
                    return None;
                }
                Err(failure) if matches!(plan, Plan::Refuse { .. }) => {
                    self.progress
                        .trace
                        .step(format_args!("no-resume={failure:?}"));
                    self.progress.trace.decide("no-resume");
                    return None;
                }
                Err(_) => (),
            }
        }
        None
    }
}
