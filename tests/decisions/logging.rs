//! Logging never blocks the thread that logs.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;

use pistachiohall::logging::ring::Ring;

/// An output that blocks until it is opened.
#[derive(Clone, Default)]
struct BlockedOutput {
    shared: Arc<Shared>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    opened: Condvar,
}

#[derive(Default)]
struct State {
    is_open: bool,
    bytes: Vec<u8>,
}

impl BlockedOutput {
    fn open(&self) {
        self.shared.state.lock().unwrap().is_open = true;
        self.shared.opened.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.shared.state.lock().unwrap().bytes.clone()).unwrap()
    }
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let state = self.shared.state.lock().unwrap();
        let opened = &self.shared.opened;
        let mut state = opened.wait_while(state, |state| !state.is_open).unwrap();
        state.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_output_drops_lines_without_blocking_the_caller() {
    let output = BlockedOutput::default();
    let ring = Ring::start(output.clone(), 10).unwrap();
    for number in 0..100 {
        ring.push(format!("line {number}\n").into_bytes());
    }
    output.open();
    ring.push(b"last\n".to_vec());
    // The ring may still be full; flushing waits for room.
    ring.flush();
    ring.push(b"after\n".to_vec());
    ring.flush();
    let text = output.text();
    let kept = text.lines().filter(|line| line.starts_with("line")).count();
    assert!((10..=11).contains(&kept), "{text}");
    let dropped: usize = text
        .lines()
        .filter(|line| line.contains("dropped_lines"))
        .map(|line| {
            let line: serde_json::Value = serde_json::from_str(line).unwrap();
            line["dropped_lines"].as_u64().unwrap() as usize
        })
        .sum();
    let last = usize::from(!text.contains("last"));
    assert_eq!(kept + dropped, 100 + last, "{text}");
    assert!(text.contains("after"));
}
