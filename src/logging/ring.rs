//! A bounded ring of lines, written by a thread of its own.

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

/// Longest wait for the ring to empty when the process ends.
const FLUSH_TIME: Duration = Duration::from_millis(300);

enum Message {
    Line(Vec<u8>),
    Flush(Sender<()>),
}

/// The writing end of the ring.
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
        let counted = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_lines(out, &receiver, &counted))?;
        Ok(Ring { sender, dropped })
    }

    /// Hands a line over, or drops and counts it if the ring is full.
    pub fn push(&self, line: Vec<u8>) {
        if self.sender.try_send(Message::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits a short while until all lines so far are written.
    pub fn flush(&self) {
        let (done, is_done) = channel::bounded(1);
        if self
            .sender
            .send_timeout(Message::Flush(done), FLUSH_TIME)
            .is_ok()
        {
            // Without an answer in time the lines are lost; there is nowhere left to say so.
            let _answer = is_done.recv_timeout(FLUSH_TIME);
        }
    }
}

fn write_lines<W>(mut out: W, receiver: &Receiver<Message>, dropped: &AtomicU64)
where
    W: Write,
{
    for message in receiver {
        // A standard output that is gone cannot be logged; the lines are lost with it.
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
                let _answered = done.send(());
                flushed
            }
        };
    }
}
