//! Passes a stream on event by event, and goes on at another engine where that is allowed.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::BodyExt;
use tokio::sync::mpsc;
use tokio::time;

use super::Gateway;
use super::call::Call;
use super::exchange::Failure;
use super::generate;
use super::generate::Opened;
use super::generate::Started;
use super::plain;
use super::plain::Allowance;
use super::record::Course;
use super::record::Outcome;
use super::reply::Piece;

/// A stream on its way to a caller.
#[derive(Debug)]
pub struct Flow {
    /// Gateway.
    pub gateway: Rc<Gateway>,
    /// Request.
    pub call: Call,
    /// What the request may still cost.
    pub allowance: Allowance,
    /// What happened so far.
    pub course: Course,
    /// Where the pieces go.
    pub sender: mpsc::Sender<Piece>,
}

/// How passing on ended.
#[derive(Debug)]
enum End {
    /// The engine ended the stream.
    Complete,
    /// The engine's answer broke.
    Broken(CompactString),
    /// The caller is gone.
    Left,
    /// The time is over.
    Late,
}

impl Flow {
    /// Passes the stream on to its end.
    pub async fn run(mut self, mut opened: Opened) {
        let mut tried = Vec::new();
        loop {
            let end = match opened.is_ended {
                true => End::Complete,
                false => self.pass(&mut opened).await,
            };
            match end {
                End::Complete => {
                    let Opened {
                        target,
                        connection,
                        head,
                        ..
                    } = opened;
                    target.give_back(connection, &head);
                    let is_sent = self.sender.send(Piece::End).await.is_ok();
                    self.course.end(if is_sent {
                        Outcome::Delivered
                    } else {
                        Outcome::Left
                    });
                    return;
                }
                End::Left => return self.course.end(Outcome::Left),
                End::Late => {
                    self.course.step(format_args!("late"));
                    return self.course.end(Outcome::Cut);
                }
                End::Broken(cause) => {
                    let id = opened.target.row.id.clone();
                    self.course.step(format_args!("{id}=broken:{cause:?}"));
                    let failure = Failure::Broken(cause);
                    opened.target.health().note_failure(Instant::now());
                    plain::note_crash(&self.gateway, &self.call, &failure, Instant::now());
                    tried.push(id);
                    let last_id = opened.splitter.last_id().or(self.call.ask.after_event);
                    drop(opened);
                    match self.resume(&mut tried, last_id).await {
                        Some(next) => opened = next,
                        None => return self.course.end(Outcome::Cut),
                    }
                }
            }
        }
    }

    /// Passes events on until the answer ends in one way or another.
    async fn pass(&mut self, opened: &mut Opened) -> End {
        loop {
            let frame = tokio::select! {
                biased;
                () = self.sender.closed() => return End::Left,
                frame = time::timeout_at(self.call.deadline.into(), opened.body.frame()) => frame,
            };
            let events = match frame {
                Err(_) => return End::Late,
                Ok(None) if opened.splitter.is_whole() => return End::Complete,
                Ok(None) => return End::Broken("the stream ended within an event".into()),
                Ok(Some(Err(cause))) => {
                    return End::Broken(compact_str::format_compact!("{cause}"));
                }
                Ok(Some(Ok(frame))) => frame.data_ref().and_then(|data| opened.splitter.push(data)),
            };
            if let Some(events) = events
                && let Some(end) = self.send(events).await
            {
                return end;
            }
        }
    }

    async fn send(&self, events: Bytes) -> Option<End> {
        let sending = self.sender.send(Piece::Events(events));
        match time::timeout_at(self.call.deadline.into(), sending).await {
            Ok(Ok(())) => None,
            Ok(Err(_)) => Some(End::Left),
            Err(_) => Some(End::Late),
        }
    }

    /// Goes on after the last whole event at another engine; none if that is not allowed.
    async fn resume(
        &mut self,
        tried: &mut Vec<crate::id::UpstreamId>,
        last_id: Option<u64>,
    ) -> Option<Opened> {
        let gateway = Rc::clone(&self.gateway);
        self.allowance.note_failure(&Failure::Broken("cut".into()));
        while self.allowance.allows_more(self.call.route.resumable) {
            let now = Instant::now();
            if now >= self.call.deadline || !gateway.may_repeat(&self.call.service, now) {
                self.course.step(format_args!("no-resume"));
                return None;
            }
            self.allowance.note_send();
            let plan = generate::plan(&gateway, &self.call, tried, now);
            let opening = generate::open(&gateway, &self.call, &plan, last_id, &mut self.course);
            let opened = tokio::select! {
                biased;
                () = self.sender.closed() => return None,
                opened = opening => opened,
            };
            match opened {
                Ok(Started::Stream(mut opened)) => {
                    let first = std::mem::take(&mut opened.first);
                    if !first.is_empty() && self.send(first).await.is_some() {
                        return None;
                    }
                    return Some(opened);
                }
                Ok(Started::Whole(answer)) => {
                    self.course
                        .step(format_args!("resume={}", answer.head.status.as_u16()));
                    return None;
                }
                Err(failure) => {
                    self.allowance.note_failure(&failure);
                    generate::avoid(&plan, tried);
                }
            }
        }
        None
    }
}
