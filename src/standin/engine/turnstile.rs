//! Lets a few through at a time, the most urgent first.

use std::collections::BTreeSet;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;

#[derive(Debug, Default)]
struct Inner {
    waiting: BTreeSet<(u8, u64)>,
    inside: usize,
    next: u64,
}

/// Lets a few through at a time, the most urgent first.
#[derive(Debug)]
pub struct PrioritySemaphore {
    inner: Mutex<Inner>,
    moved: Condvar,
    room: usize,
}

/// A place inside; given up when dropped.
#[derive(Debug)]
pub struct Permit<'a>(&'a PrioritySemaphore);

impl PrioritySemaphore {
    /// Returns a turnstile with room for `room`.
    pub fn new(room: usize) -> Self {
        PrioritySemaphore {
            inner: Mutex::default(),
            moved: Condvar::new(),
            room,
        }
    }

    /// Waits for a place; `wait_more` is asked each `pause` whether to go on waiting.
    pub fn enter<F>(&self, rank: u8, pause: Duration, mut wait_more: F) -> Option<Permit<'_>>
    where
        F: FnMut() -> bool,
    {
        let mut inner = self.inner.lock().expect("turnstile lock");
        let ticket = (rank, inner.next);
        inner.next += 1;
        inner.waiting.insert(ticket);
        loop {
            if inner.inside < self.room && inner.waiting.first() == Some(&ticket) {
                inner.waiting.remove(&ticket);
                inner.inside += 1;
                self.moved.notify_all();
                return Some(Permit(self));
            }
            let (guard, timeout) = self
                .moved
                .wait_timeout(inner, pause)
                .expect("turnstile lock");
            inner = guard;
            if timeout.timed_out() {
                drop(inner);
                let goes_on = wait_more();
                inner = self.inner.lock().expect("turnstile lock");
                if !goes_on {
                    inner.waiting.remove(&ticket);
                    self.moved.notify_all();
                    return None;
                }
            }
        }
    }

    /// Returns how many are inside.
    pub fn inside(&self) -> usize {
        self.inner.lock().expect("turnstile lock").inside
    }
}

impl Drop for Permit<'_> {
    fn drop(&mut self) {
        self.0.inner.lock().expect("turnstile lock").inside -= 1;
        self.0.moved.notify_all();
    }
}
