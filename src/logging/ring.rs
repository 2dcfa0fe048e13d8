//! A bounded ring of lines, written out by a dedicated thread.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crossbeam::channel;
use crossbeam::channel::Receiver;
use crossbeam::channel::Sender;

/// Timeout of each step of a flush at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

enum Message {
    Line(Vec<u8>),
    Flush(Sender<()>),
}

/// The sending end of the ring.
pub struct Ring {
    sender: Sender<Message>,
    dropped: Arc<AtomicU64>,
}

impl Ring {
    /// Starts the thread that writes lines to `out`.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn start<W>(out: W, lines: usize) -> io::Result<Self>
    where
        W: Write + Send + 'static,
    {
        let (sender, receiver) = channel::bounded(lines);
        let dropped = Arc::new(AtomicU64::new(0));
        let thread_dropped = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_lines(out, &receiver, &thread_dropped))?;
        Ok(Ring { sender, dropped })
    }

    /// Queues a line, or drops and counts it if the ring is full.
    pub fn push(&self, line: Vec<u8>) {
        if self.sender.try_send(Message::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits for a short time until all previous lines are written.
    pub fn flush(&self) {
        let (done, done_receiver) = channel::bounded(1);
        if self
            .sender
            .send_timeout(Message::Flush(done), FLUSH_TIMEOUT)
            .is_ok()
        {
            // On a timeout the lines are lost; there is nowhere left to log that.
            let _result = done_receiver.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

fn write_lines<W>(mut out: W, receiver: &Receiver<Message>, dropped: &AtomicU64)
where
    W: Write,
{
    for message in receiver {
        // If standard output is closed, the lines are lost; that cannot be logged either.
        let _written = match message {
            Message::Line(line) => {
                out.write_all(&line)
                    .and_then(|()| match dropped.swap(0, Ordering::Relaxed) {
                        0 => Ok(()),
                        count => writeln!(
                            out,
                            r#"{{"level":"WARN","part":"logging","dropped_lines":{count}}}"#
                        ),
                    })
            }
            Message::Flush(done) => {
                let flushed = out.flush();
                let _sent = done.send(());
                flushed
            }
        };
    }
}
