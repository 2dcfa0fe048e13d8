//! Named threads for background tasks, and a pool of threads for requests.

mod pool;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;

pub use self::pool::Pool;

/// Stack size of a thread, in bytes.
const STACK_SIZE_BYTES: usize = 256 * 1024;

/// A flag that asks every background task with a clone of it to stop.
#[derive(Debug, Clone, Default)]
pub struct StopFlag(Arc<AtomicBool>);

impl StopFlag {
    /// Asks all holders to stop.
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

    /// Returns `true` if the holders are asked to stop.
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

/// Starts a named thread.
///
/// # Errors
///
/// Fails if the operating system refuses the thread.
pub fn try_spawn<F, T>(name: &str, work: F) -> std::io::Result<JoinHandle<T>>
where
    F: FnOnce() -> T + Send + 'static,
    T: Send + 'static,
{
    thread::Builder::new()
        .name(name.to_owned())
        .stack_size(STACK_SIZE_BYTES)
        .spawn(work)
}
