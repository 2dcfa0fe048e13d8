//! Time on which a deployment agrees although the wall clocks of some hosts are wrong.

use std::time::Duration;

use crate::id::IncarnationDigest;

/// Maximum number of peers whose clocks are compared; enough for a median.
const MAX_READINGS: usize = 31;
/// Age at which a reading no longer counts.
const READING_TTL: Duration = Duration::from_secs(10);
/// Minimum number of clocks for a median.
const MIN_CLOCKS: usize = 3;
/// Difference that is taken over at once, in milliseconds: network delay and drift.
const MAX_SLEW_MS: i64 = 20;
/// Time for which a greater difference has to last. Datagrams that waited while this host was
/// suspended show wrong differences for a moment.
const MIN_STEP_AGE: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct Reading {
    host: IncarnationDigest,
    /// Wall clock of the host less the time since boot of this one, in milliseconds.
    offset_ms: i64,
    at: Duration,
}

/// Estimate of the true time: the median of wall clocks, held against the time since boot.
#[derive(Debug, Clone)]
pub struct TrueTime {
    readings: Vec<Reading>,
    offset_ms: i64,
    is_agreed: bool,
    /// Other offset that the clocks show, and since when.
    step: Option<(i64, Duration)>,
}

impl TrueTime {
    /// Returns the time of a host that knows only its own wall clock, in milliseconds since the Unix
    /// epoch, at `boot`, the time since boot.
    pub fn new(wall_ms: u64, boot: Duration) -> Self {
        TrueTime {
            readings: Vec::new(),
            offset_ms: offset_ms(wall_ms, boot),
            is_agreed: false,
            step: None,
        }
    }

    /// Records the wall clock of a peer.
    pub fn record(&mut self, host: IncarnationDigest, wall_ms: u64, boot: Duration) {
        let reading = Reading {
            host,
            offset_ms: offset_ms(wall_ms, boot),
            at: boot,
        };
        let known = self.readings.iter().position(|known| known.host == host);
        let oldest = || {
            let ages = self.readings.iter().enumerate();
            ages.min_by_key(|(_, known)| known.at)
                .map(|(index, _)| index)
        };
        match known {
            Some(index) => self.readings[index] = reading,
            None if self.readings.len() < MAX_READINGS => self.readings.push(reading),
            None => {
                if let Some(index) = oldest() {
                    self.readings[index] = reading;
                }
            }
        }
    }

    /// Compares the clocks again.
    pub fn update(&mut self, own_wall_ms: u64, boot: Duration) {
        self.readings
            .retain(|reading| boot.saturating_sub(reading.at) < READING_TTL);
        let own = offset_ms(own_wall_ms, boot);
        let mut offsets: Vec<i64> = self.readings.iter().map(|known| known.offset_ms).collect();
        offsets.push(own);
        if offsets.len() < MIN_CLOCKS {
            if !self.is_agreed {
                self.offset_ms = own;
            }
            return;
        }
        offsets.sort_unstable();
        // Delays make clocks seem late, never early.
        let median = offsets[offsets.len() / 2];
        let is_near = |one: i64, other: i64| (one - other).abs() <= MAX_SLEW_MS;
        if !self.is_agreed || is_near(median, self.offset_ms) {
            self.is_agreed = true;
            self.offset_ms = median;
            self.step = None;
            return;
        }
        match self.step {
            Some((offset, since)) if is_near(offset, median) => {
                if boot.saturating_sub(since) >= MIN_STEP_AGE {
                    self.offset_ms = median;
                    self.step = None;
                }
            }
            _ => self.step = Some((median, boot)),
        }
    }

    /// Returns the true time at `boot`, since the Unix epoch.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pistachiohall::usage::clock::TrueTime;
    /// let time = TrueTime::new(90_000, Duration::from_secs(60));
    /// assert_eq!(time.at(Duration::from_secs(61)), Duration::from_secs(91));
    /// ```
    pub fn at(&self, boot: Duration) -> Duration {
        let time = boot.as_millis() as i64 + self.offset_ms;
        Duration::from_millis(u64::try_from(time).unwrap_or(0))
    }
}

fn offset_ms(wall_ms: u64, boot: Duration) -> i64 {
    wall_ms as i64 - boot.as_millis() as i64
}
