//! Log lines never hold up the thread that writes them.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;

use pistachiohall::logging::ring::Ring;

/// A standard output that takes nothing until it is opened.
#[derive(Clone, Default)]
struct Gate {
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

impl Gate {
    fn open(&self) {
        self.shared.state.lock().unwrap().is_open = true;
        self.shared.opened.notify_all();
    }

    fn text(&self) -> String {
        String::from_utf8(self.shared.state.lock().unwrap().bytes.clone()).unwrap()
    }
}

impl Write for Gate {
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
fn a_stuck_output_costs_lines_and_no_time() {
    let gate = Gate::default();
    let ring = Ring::start(gate.clone(), 10).unwrap();
    for number in 0..100 {
        ring.push(format!("line {number}\n").into_bytes());
    }
    gate.open();
    ring.push(b"last\n".to_vec());
    // The ring may still be full; flushing waits for room.
    ring.flush();
    ring.push(b"after\n".to_vec());
    ring.flush();
    let text = gate.text();
    let kept = text.lines().filter(|line| line.starts_with("line")).count();
    assert!((10..=11).contains(&kept), "{text}");
    let told: usize = text
        .lines()
        .filter(|line| line.contains("dropped_lines"))
        .map(|line| {
            let line: serde_json::Value = serde_json::from_str(line).unwrap();
            line["dropped_lines"].as_u64().unwrap() as usize
        })
        .sum();
    let last = usize::from(!text.contains("last"));
    assert_eq!(kept + told, 100 + last, "{text}");
    assert!(text.contains("after"));
}
