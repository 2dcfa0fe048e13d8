//! Tests of the bound on what upstreams send before the head of a response.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use tokio::io::AsyncRead;
use tokio::io::ReadBuf;

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
