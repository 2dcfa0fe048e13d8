//! Threads, one for each duty.

mod pool;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;

pub use self::pool::Pool;

/// Stack of a duty or request thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// A flag that asks every duty holding a clone of it to end.
#[derive(Debug, Clone, Default)]
pub struct StopFlag(Arc<AtomicBool>);

impl StopFlag {
    /// Asks all holders to end.
    ///
    /// ```
    /// use pistachiohall::duty::StopFlag;
    /// let stop = StopFlag::default();
    /// let held = stop.clone();
    /// stop.ask();
    /// assert!(held.asked());
    /// ```
    pub fn ask(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    /// Returns whether the end was asked for.
    pub fn asked(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// Starts a named thread.
///
/// # Panics
///
/// Panics if the operating system refuses the thread.
///
/// ```
/// let handle = pistachiohall::duty::spawn("sum", || 1 + 1);
/// assert_eq!(handle.join().unwrap(), 2);
/// ```
pub fn spawn<F, T>(name: &str, work: F) -> JoinHandle<T>
where
    F: FnOnce() -> T + Send + 'static,
    T: Send + 'static,
{
    try_spawn(name, work).expect("the operating system starts a thread")
}

/// Starts a named thread, or returns the operating system's refusal.
pub fn try_spawn<F, T>(name: &str, work: F) -> std::io::Result<JoinHandle<T>>
where
    F: FnOnce() -> T + Send + 'static,
    T: Send + 'static,
{
    thread::Builder::new()
        .name(name.to_owned())
        .stack_size(STACK_BYTES)
        .spawn(work)
}
