//! Tests of the bound on what a host holds for callers that read slowly.

use std::time::Duration;

use bytes::Bytes;
use tokio::runtime;
use tokio::task;
use tokio::task::LocalSet;
use tokio::time;

use pistachiohall::gateway::held::Bounds;
use pistachiohall::gateway::held::Budget;
use pistachiohall::gateway::held::Unread;

/// Memory of the smallest host of the sheets.
const HOST_MEMORY: usize = 120 << 20;
/// Maximum bytes of all streams in these tests.
const MAX_BYTES: usize = 1 << 20;
/// Events of one chunk.
const CHUNK_BYTES: usize = 64 << 10;
/// Timeout of a wait that ends.
const LONG: Duration = Duration::from_secs(30);

fn chunk() -> Bytes {
    vec![b'x'; CHUNK_BYTES].into()
}

/// Holds chunks of a stream until it has to wait.
fn fill(unread: &Unread) -> Vec<Bytes> {
    let mut held = Vec::new();
    while unread.has_room() {
        held.push(unread.hold(chunk()));
    }
    held
}

fn run<F>(future: F)
where
    F: Future<Output = ()>,
{
    let runtime = runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap();
    runtime.block_on(LocalSet::new().run_until(async {
        time::timeout(LONG, future).await.unwrap();
    }));
}

/// Guards against streams that take the memory that bodies and the rest of the host need.
#[test]
fn all_that_a_small_host_holds_leaves_it_half_of_its_memory() {
    let bounds = Bounds::of(Some(HOST_MEMORY));
    let all = bounds.max_request_bytes + bounds.max_response_bytes + bounds.max_stream_bytes;
    assert!(all <= HOST_MEMORY / 2, "{all}");
}

#[test]
fn many_slow_callers_together_hold_no_more_than_the_bound_and_a_chunk_each() {
    const CALLERS: usize = 500;
    let budget = Budget::new(MAX_BYTES);
    let streams: Vec<Unread> = (0..CALLERS).map(|_| Unread::new(&budget)).collect();
    let held: Vec<Vec<Bytes>> = streams.iter().map(fill).collect();
    assert!(streams.iter().all(|stream| !stream.has_room()));
    assert!(held.iter().all(|held| !held.is_empty()));
    let max_bytes = MAX_BYTES + CALLERS * (CHUNK_BYTES + 1024);
    assert!(budget.held_bytes() <= max_bytes, "{}", budget.held_bytes());
    drop(held);
    assert_eq!(budget.held_bytes(), 0);
}

#[test]
fn a_caller_that_reads_is_served_while_slow_ones_use_up_the_bound() {
    let budget = Budget::new(MAX_BYTES);
    let (slow, fast) = (Unread::new(&budget), Unread::new(&budget));
    let _held = fill(&slow);
    for _ in 0..100 {
        assert!(fast.has_room());
        drop(fast.hold(chunk()));
    }
    assert!(!slow.has_room());
}

#[test]
fn small_chunks_count_with_the_memory_that_each_takes() {
    let budget = Budget::new(MAX_BYTES);
    let slow = Unread::new(&budget);
    let held: Vec<Bytes> = (0..MAX_BYTES / 100)
        .map(|_| slow.hold("x".into()))
        .collect();
    assert!(!slow.has_room(), "{} chunks", held.len());
}

/// Guards against a wake-up that one stream takes and another one needs.
#[test]
fn all_streams_that_wait_go_on_once_there_is_room_for_all() {
    const CALLERS: usize = 40;
    const OWN_BYTES: usize = 20 << 10;
    run(async {
        let budget = Budget::new(MAX_BYTES);
        let first = Unread::new(&budget);
        let all = fill(&first);
        let waiting: Vec<_> = (0..CALLERS)
            .map(|_| {
                let unread = Unread::new(&budget);
                let own = unread.hold(vec![b'x'; OWN_BYTES].into());
                task::spawn_local(async move {
                    unread.wait_for_room().await;
                    own
                })
            })
            .collect();
        task::yield_now().await;
        assert!(waiting.iter().all(|stream| !stream.is_finished()));
        // Fewer chunks are read than streams wait, and what all of these hold fits.
        assert!(all.len() < CALLERS);
        drop(all);
        for stream in waiting {
            drop(stream.await.unwrap());
        }
        assert_eq!(budget.held_bytes(), 0);
    });
}

/// Guards against a wait that goes on although the caller has read all.
#[test]
fn a_stream_goes_on_once_its_own_caller_has_read() {
    run(async {
        let budget = Budget::new(MAX_BYTES);
        let (slow, own) = (Unread::new(&budget), Unread::new(&budget));
        let _held = fill(&slow);
        let chunk = own.hold(chunk());
        assert!(!own.has_room());
        let reader = task::spawn_local(async move { own.wait_for_room().await });
        task::yield_now().await;
        assert!(!reader.is_finished());
        drop(chunk);
        reader.await.unwrap();
    });
}

/// Guards against a wake-up that is lost with a caller that leaves.
#[test]
fn a_caller_that_leaves_while_it_waits_keeps_nobody_else_waiting() {
    run(async {
        let budget = Budget::new(MAX_BYTES);
        let slow = Unread::new(&budget);
        let all = fill(&slow);
        let wait = |unread: Unread| {
            let own = unread.hold(chunk());
            task::spawn_local(async move {
                unread.wait_for_room().await;
                drop(own);
            })
        };
        let (leaves, stays) = (wait(Unread::new(&budget)), wait(Unread::new(&budget)));
        task::yield_now().await;
        drop(all);
        leaves.abort();
        stays.await.unwrap();
    });
}
