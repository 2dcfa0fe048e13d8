//! Log lines on standard output, one JSON object each.
//!
//! A line goes through a bounded ring to a thread of its own, so that no caller waits for the
//! output. When the ring is full a line is dropped and counted; the count is logged as soon as
//! there is room again. `sample` bounds the lines of requests that went well.

pub mod line;
pub mod ring;
pub mod sample;

use std::io;
use std::time::SystemTime;

use anyhow::Result;
use compact_str::CompactString;
use flexi_logger::DeferredNow;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use flexi_logger::writers::LogWriter;
use log::Record;

use self::ring::Ring;

/// Lines that wait to be written; about a second of the busiest host's.
const RING_LINES: usize = 2048;

/// Formats records as lines of one host and hands them to a ring.
struct Output {
    host: CompactString,
    ring: Ring,
}

impl LogWriter for Output {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let time = humantime::format_rfc3339_micros(SystemTime::from(*now.now()));
        let mut line = line::encode(&time, &self.host, record)?;
        line.push(b'\n');
        self.ring.push(line);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        self.ring.flush();
        Ok(())
    }
}

/// Starts logging through a ring to standard output; every line names `host`.
///
/// # Errors
///
/// Fails if `filter` cannot be read or the thread cannot be started.
pub fn start(filter: &str, host: &str) -> Result<LoggerHandle> {
    let output = Output {
        host: host.into(),
        ring: Ring::start(io::stdout(), RING_LINES)?,
    };
    Ok(Logger::try_with_str(filter)?
        .log_to_writer(Box::new(output))
        .start()?)
}
