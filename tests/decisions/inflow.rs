//! Tests of the bound on what upstreams send before the head of a response.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rstest::rstest;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::task;
use tokio::task::LocalSet;

use pistachiohall::gateway::inflow::HeadMeter;
use pistachiohall::gateway::inflow::HeadTooLarge;
use pistachiohall::gateway::inflow::Inflow;
use pistachiohall::gateway::inflow::MAX_HEAD_BYTES;

/// Buffer that the HTTP library reads into.
const BUFFER_BYTES: usize = 64 << 10;

/// Source that always has as many bytes as are asked for.
struct Flood;

impl AsyncRead for Flood {
    fn poll_read(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        buffer.initialize_unfilled().fill(b'a');
        buffer.advance(buffer.remaining());
        Poll::Ready(Ok(()))
    }
}

/// Reads once; returns the number of bytes.
fn read(inflow: &mut Inflow<Flood>) -> Poll<io::Result<usize>> {
    let mut bytes = [0; BUFFER_BYTES];
    let mut buffer = ReadBuf::new(&mut bytes);
    let mut context = Context::from_waker(Waker::noop());
    let read = Pin::new(inflow).poll_read(&mut context, &mut buffer);
    read.map_ok(|()| buffer.filled().len())
}

/// Guards against an event loop that parses interim responses for as long as an upstream sends them: a
/// head has a maximum size, and other tasks get a turn while it arrives.
#[test]
fn a_flood_in_place_of_a_head_is_read_in_turns_and_ends() {
    let meter = HeadMeter::default();
    let mut inflow = Inflow::new(Flood, meter.clone());
    meter.start();
    let mut bytes = 0;
    let mut turns = 0;
    let error = loop {
        match read(&mut inflow) {
            Poll::Ready(Ok(read)) => bytes += read,
            Poll::Ready(Err(error)) => break error,
            Poll::Pending => turns += 1,
        }
        assert!(bytes <= (turns + 1) * (8 << 10), "{bytes} in {turns} turns");
    };
    assert_eq!(bytes, MAX_HEAD_BYTES);
    assert_eq!(
        error.get_ref().unwrap().downcast_ref::<HeadTooLarge>(),
        Some(&HeadTooLarge)
    );
}

#[test]
fn a_body_has_no_bound() {
    let meter = HeadMeter::default();
    let mut inflow = Inflow::new(Flood, meter.clone());
    meter.start();
    assert!(matches!(read(&mut inflow), Poll::Ready(Ok(1..))));
    meter.stop();
    for _ in 0..10 {
        assert!(matches!(read(&mut inflow), Poll::Ready(Ok(BUFFER_BYTES))));
    }
}

/// Guards against a connection that is closed after many requests, each with an ordinary head.
#[test]
fn each_head_has_a_bound_of_its_own() {
    let meter = HeadMeter::default();
    let mut inflow = Inflow::new(Flood, meter.clone());
    for _ in 0..100 {
        meter.start();
        let mut bytes = 0;
        while bytes < MAX_HEAD_BYTES / 2 {
            if let Poll::Ready(read) = read(&mut inflow) {
                bytes += read.unwrap();
            }
        }
        meter.stop();
    }
}

/// Bytes of the request.
const BODY_BYTES: usize = 400_000;

/// Who is told of a reset, which the operating system reports once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    Writer,
    WriterAtFlush,
    Reader,
    /// There is no reset: the request is taken, and the response ends.
    Nobody,
}

/// Connection on which part of a response comes before the request was written, and then a reset. Whoever is
/// not told of it sees a plain end.
struct ResetConnection {
    response: &'static [u8],
    told: Told,
    /// Bytes of the request that are taken; the response comes once it has begun.
    room: usize,
    has_begun: bool,
    is_ended: bool,
    reader: Option<Waker>,
}

impl ResetConnection {
    fn new(told: Told) -> Self {
        ResetConnection {
            response: b"HTTP/1.1 200 OK\r\n\r\nthe first part of an",
            told,
            room: match told {
                Told::Nobody => usize::MAX,
                _ => 4096,
            },
            has_begun: false,
            is_ended: false,
            reader: None,
        }
    }

    /// Tells the writer, after which the reader sees the end.
    fn fail_write<T>(&mut self) -> Poll<io::Result<T>> {
        self.is_ended = true;
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
        Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
    }
}

impl AsyncRead for ResetConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.has_begun {
            self.reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        let response = std::mem::take(&mut self.response);
        if !response.is_empty() {
            buffer.put_slice(response);
            return Poll::Ready(Ok(()));
        }
        match (self.is_ended, self.told) {
            (true, _) => Poll::Ready(Ok(())),
            (false, Told::Reader) => {
                self.is_ended = true;
                Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
            }
            (false, _) => {
                self.reader = Some(context.waker().clone());
                Poll::Pending
            }
        }
    }
}

impl AsyncWrite for ResetConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let taken = bytes.len().min(self.room);
        self.room -= taken;
        self.has_begun = true;
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
        if taken > 0 {
            return Poll::Ready(Ok(taken));
        }
        match (self.response.is_empty(), self.told) {
            (true, Told::Writer) => self.fail_write(),
            (true, Told::WriterAtFlush) => Poll::Ready(Ok(bytes.len())),
            _ => {
                // Written once the response has been read.
                context.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.told == Told::Nobody && usize::MAX - self.room > BODY_BYTES {
            self.is_ended = true;
            if let Some(reader) = self.reader.take() {
                reader.wake();
            }
        }
        match (self.response.is_empty() && self.room == 0, self.told) {
            (true, Told::WriterAtFlush) => self.fail_write(),
            _ => Poll::Ready(Ok(())),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Guards against a part of a response that counts as whole, as the reset was told to the side that writes the
/// request, and the side that reads the response sees a plain end.
#[rstest]
#[case::writer(Told::Writer, false)]
#[case::writer_at_flush(Told::WriterAtFlush, false)]
#[case::reader(Told::Reader, false)]
#[case::no_reset(Told::Nobody, true)]
fn a_reset_that_is_told_to_one_side_is_no_end_of_a_response(
    #[case] told: Told,
    #[case] expected: bool,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    let tasks = LocalSet::new();
    let exchange = async {
        let connection = Inflow::new(ResetConnection::new(told), HeadMeter::default());
        let io = TokioIo::new(connection);
        let (mut sender, driver) = http1::handshake(io).await.unwrap();
        task::spawn_local(driver);
        let body = Full::new(Bytes::from(vec![b'x'; BODY_BYTES]));
        let request = Request::post("/act/a").body(body).unwrap();
        match sender.send_request(request).await {
            Ok(response) => response.into_body().collect().await.is_ok(),
            Err(_) => panic!("the head of the response was not read"),
        }
    };
    let is_whole = tasks.block_on(&runtime.unwrap(), exchange);
    assert_eq!(is_whole, expected);
}
