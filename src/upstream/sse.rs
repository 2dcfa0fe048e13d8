//! Server-sent events as a stream of `data` lines.

use std::io;
use std::io::BufRead;

/// Maximum length of a line, in bytes.
const MAX_LINE_BYTES: u64 = 1 << 20;

/// Reads the `data` lines of a stream of events; comments are skipped.
#[derive(Debug)]
pub struct Reader<R> {
    inner: R,
    line: Vec<u8>,
}

impl<R> Reader<R>
where
    R: BufRead,
{
    /// Returns a reader of events from `inner`.
    ///
    /// ```
    /// use pistachiohall::upstream::sse::Reader;
    /// let mut reader = Reader::new(&b": heartbeat\n\ndata: {}\n\n"[..]);
    /// assert_eq!(reader.next_data().unwrap().as_deref(), Some("{}"));
    /// assert_eq!(reader.next_data().unwrap(), None);
    /// ```
    pub fn new(inner: R) -> Self {
        Reader {
            inner,
            line: Vec::new(),
        }
    }

    /// Returns the data of the next event, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if a line is too long or cut off, if its data is no UTF-8, or if reading fails.
    pub fn next_data(&mut self) -> io::Result<Option<String>> {
        loop {
            self.line.clear();
            let mut limited = io::Read::take(&mut self.inner, MAX_LINE_BYTES);
            if limited.read_until(b'\n', &mut self.line)? == 0 {
                return Ok(None);
            }
            if !self.line.ends_with(b"\n") {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if let Some(data) = self.line.strip_prefix(b"data:") {
                let text = std::str::from_utf8(data).map_err(|_| io::ErrorKind::InvalidData)?;
                return Ok(Some(text.trim().to_owned()));
            }
        }
    }
}
