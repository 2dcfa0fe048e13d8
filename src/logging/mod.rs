//! Log lines on standard output, one JSON object each.
//!
//! Lines pass through a bounded ring to a dedicated thread, so that no caller waits for the output.
//! If the ring is full, a line is dropped and counted; the count is logged when there is room
//! again. `sample` limits the lines of delivered requests.

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

/// Maximum number of queued lines; about one second of lines of the busiest host.
const MAX_QUEUED_LINES: usize = 2048;

/// Formats records as lines of one host and passes them to a ring.
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

/// Starts logging through a ring to standard output; every line contains `host`.
///
/// # Errors
///
/// Fails if `filter` is invalid or the thread cannot be started.
pub fn start(filter: &str, host: &str) -> Result<LoggerHandle> {
    let output = Output {
        host: host.into(),
        ring: Ring::start(io::stdout(), MAX_QUEUED_LINES)?,
    };
    Ok(Logger::try_with_str(filter)?
        .log_to_writer(Box::new(output))
        .start()?)
}
