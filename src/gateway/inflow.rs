//! Bounds what an upstream may send before the head of its response is complete.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use thiserror::Error;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Maximum bytes until the head of a response is complete, those of interim responses included.
pub const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum bytes of a head that are read before other tasks get a turn; ordinary heads are smaller.
const MAX_TURN_BYTES: usize = 8 << 10;

/// Error of a connection that received more than [`MAX_HEAD_BYTES`] without the head of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("no complete head of a response in {MAX_HEAD_BYTES} bytes")]
pub struct HeadTooLarge;

/// Counts the bytes that a connection receives while the head of a response is due.
#[derive(Debug, Clone, Default)]
pub struct HeadMeter(Rc<Cell<Option<usize>>>);

/// What a connection may read next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Allowance {
    /// Any number of bytes.
    Unlimited,
    /// At most this number of bytes.
    Bytes(usize),
}

impl HeadMeter {
    /// Starts counting: a request is about to be sent.
    pub fn start(&self) {
        self.0.set(Some(0));
    }

    /// Stops counting: the head of the response is complete.
    pub fn stop(&self) {
        self.0.set(None);
    }

    fn allowance(&self) -> Result<Allowance, HeadTooLarge> {
        match self.0.get() {
            None => Ok(Allowance::Unlimited),
            Some(bytes) if bytes < MAX_HEAD_BYTES => Ok(Allowance::Bytes(
                (MAX_HEAD_BYTES - bytes).min(MAX_TURN_BYTES),
            )),
            Some(_) => Err(HeadTooLarge),
        }
    }

    fn add(&self, bytes: usize) {
        self.0.set(self.0.get().map(|before| before + bytes));
    }
}

/// Connection whose reads fail once its meter has counted too many bytes.
///
/// The HTTP library bounds each message by itself, but parses all interim responses that have arrived
/// without giving other tasks a turn.
#[derive(Debug)]
pub struct Inflow<S> {
    stream: S,
    meter: HeadMeter,
    /// Bytes of a head that were read since other tasks had a turn.
    turn_bytes: usize,
}

impl<S> Inflow<S> {
    /// Returns a connection whose received bytes `meter` counts.
    pub fn new(stream: S, meter: HeadMeter) -> Self {
        Inflow {
            stream,
            meter,
            turn_bytes: 0,
        }
    }
}

impl<S> AsyncRead for Inflow<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let own = self.get_mut();
        let max_bytes = match own.meter.allowance() {
            Ok(Allowance::Unlimited) => {
                own.turn_bytes = 0;
                return Pin::new(&mut own.stream).poll_read(context, buffer);
            }
            Ok(Allowance::Bytes(max)) => max.min(buffer.remaining()),
            Err(cause) => {
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, cause)));
            }
        };
        if own.turn_bytes >= MAX_TURN_BYTES {
            own.turn_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(max_bytes));
        let Poll::Ready(read) = Pin::new(&mut own.stream).poll_read(context, &mut part) else {
            own.turn_bytes = 0;
            return Poll::Pending;
        };
        read?;
        let bytes = part.filled().len();
        buffer.advance(bytes);
        own.meter.add(bytes);
        own.turn_bytes += bytes;
        Poll::Ready(Ok(()))
    }
}

impl<S> AsyncWrite for Inflow<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
