//! A bounded pool of threads, each of which handles one job at a time.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossbeam::channel;
use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;
use crossbeam::channel::TrySendError;

/// Idle time after which a thread ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A pool that starts threads on demand, up to a limit.
#[derive(Debug)]
pub struct Pool<J, F> {
    name: &'static str,
    max_threads: usize,
    threads: Arc<AtomicUsize>,
    handle: Arc<F>,
    send: Sender<J>,
    receive: Receiver<J>,
}

impl<J, F> Pool<J, F>
where
    J: Send + 'static,
    F: Fn(J) + Send + Sync + 'static,
{
    /// Returns a pool of up to `max_threads` threads that call `handle`.
    ///
    /// ```
    /// use std::sync::mpsc;
    /// use pistachiohall::duty::Pool;
    /// let (done, result) = mpsc::channel();
    /// let pool = Pool::new("double", 2, move |n: i32| done.send(2 * n).unwrap());
    /// assert!(pool.submit(21).is_ok());
    /// assert_eq!(result.recv().unwrap(), 42);
    /// ```
    pub fn new(name: &'static str, max_threads: usize, handle: F) -> Self {
        let (send, receive) = channel::bounded(0);
        Pool {
            name,
            max_threads,
            threads: Arc::default(),
            handle: Arc::new(handle),
            send,
            receive,
        }
    }

    /// Passes a job to a thread.
    ///
    /// # Errors
    ///
    /// Returns the job if all threads are busy or no thread can be started.
    pub fn submit(&self, job: J) -> Result<(), J> {
        let job = match self.send.try_send(job) {
            Ok(()) => return Ok(()),
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => job,
        };
        if self.threads.fetch_add(1, Ordering::SeqCst) >= self.max_threads {
            self.threads.fetch_sub(1, Ordering::SeqCst);
            return Err(job);
        }
        self.start(job)
    }

    fn start(&self, job: J) -> Result<(), J> {
        let (first, taken) = channel::bounded(1);
        let (threads, handle) = (Arc::clone(&self.threads), Arc::clone(&self.handle));
        let receive = self.receive.clone();
        let started = super::try_spawn(self.name, move || {
            let _thread_count = ThreadCount(threads);
            let mut next = taken.recv().ok();
            while let Some(job) = next {
                handle(job);
                next = receive.recv_timeout(IDLE_TIMEOUT).ok();
            }
        });
        match started {
            Ok(_) => first.send(job).map_err(|unsent| unsent.0),
            Err(_) => {
                self.threads.fetch_sub(1, Ordering::SeqCst);
                Err(job)
            }
        }
    }
}

struct ThreadCount(Arc<AtomicUsize>);

impl Drop for ThreadCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
