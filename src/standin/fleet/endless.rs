//! Answers without end, of upstreams in trouble.

use std::io;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::replica::Behavior;
use super::replica::STAMP;

/// Longest time for which an answer goes on.
const LONGEST: Duration = Duration::from_secs(20);
/// Pause between two pieces of an answer that comes slowly.
const SLOW_PAUSE: Duration = Duration::from_millis(50);
/// Pieces that are written at once otherwise.
const PIECES: usize = 64;
/// Fields of an interim response; the HTTP library takes a hundred at most.
const INTERIM_FIELDS: usize = 90;
/// Chunk of a body that has no end, and of an event that has none.
const CHUNK: &str = "1d\r\ndata: more and more and more\n\r\n";

/// An answer: its start, and what follows again and again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    head: String,
    piece: String,
    is_slow: bool,
}

/// How an answer went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sent {
    /// Bytes written.
    pub bytes: usize,
    /// When the caller closed the connection, from the start of the answer.
    pub left_after: Option<Duration>,
}

impl Answer {
    /// Returns the answer to the request `id` of an upstream of this manner, if it has no end.
    pub fn of(manner: Behavior, id: &str) -> Option<Self> {
        let head = match manner {
            Behavior::EndlessHead => "HTTP/1.1 200 OK\r\n".to_owned(),
            Behavior::EndlessInterim => String::new(),
            Behavior::EndlessRefusal => format!(
                "HTTP/1.1 503 Status\r\nTransfer-Encoding: chunked\r\n\
                 Pistachiohall-Request-Id: {id}\r\nPistachiohall-Not-Executed: 1\r\n\r\n"
            ),
            Behavior::EndlessBody | Behavior::EndlessEvent | Behavior::Drip => format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\
                 Pistachiohall-Request-Id: {id}\r\nPistachiohall-Server-Stamp: {STAMP}\r\n\r\n"
            ),
            _ => return None,
        };
        let piece = match manner {
            Behavior::EndlessHead => "X-More: more and more and more\r\n".to_owned(),
            Behavior::EndlessInterim => format!(
                "HTTP/1.1 102 Processing\r\n{}\r\n",
                "a:\r\n".repeat(INTERIM_FIELDS)
            ),
            Behavior::Drip => "1\r\nd\r\n".to_owned(),
            _ => CHUNK.to_owned(),
        };
        Some(Answer {
            head,
            piece,
            is_slow: matches!(manner, Behavior::Drip | Behavior::EndlessRefusal),
        })
    }

    /// Writes the answer until the caller leaves.
    ///
    /// # Errors
    ///
    /// Fails if the caller has left before the head.
    pub fn pour(&self, stream: &mut TcpStream) -> io::Result<Sent> {
        let begun = Instant::now();
        stream.write_all(self.head.as_bytes())?;
        let pieces = match self.is_slow {
            true => self.piece.clone(),
            false => self.piece.repeat(PIECES),
        };
        let mut poured = Sent {
            bytes: 0,
            left_after: None,
        };
        while begun.elapsed() < LONGEST {
            poured.bytes += pieces.len();
            if stream.write_all(pieces.as_bytes()).is_err() {
                poured.left_after = Some(begun.elapsed());
                break;
            }
            if self.is_slow {
                thread::sleep(SLOW_PAUSE);
            }
        }
        Ok(poured)
    }
}
