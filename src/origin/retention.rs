//! For how long streams may still be taken up after the configuration has changed.

use std::time::Duration;
use std::time::Instant;

/// Time for which callers may take up streams after they began.
///
/// What a stream began under stays in force for it: a shorter time applies to the streams that begin from then
/// on, and the longer one until the last of those before may have ended.
#[derive(Debug, Default)]
pub struct Retention {
    current: Duration,
    /// Longer times that applied before, with the ends of their use; the longest one first.
    past: Vec<(Duration, Instant)>,
}

impl Retention {
    /// Sets the time for streams that begin from now on.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::origin::Retention;
    /// let (long, short, now) = (Duration::from_secs(30), Duration::from_secs(8), Instant::now());
    /// let mut retention = Retention::default();
    /// retention.set(long, now);
    /// retention.set(short, now + long);
    /// assert_eq!(retention.longest(now + long + short), long);
    /// assert_eq!(retention.longest(now + long * 2), short);
    /// ```
    pub fn set(&mut self, time: Duration, now: Instant) {
        let before = std::mem::replace(&mut self.current, time);
        if before > time {
            self.record_past(before, now);
        }
        self.past
            .retain(|(past, until)| *past > time && *until + *past > now);
    }

    /// Records that streams which began before `until` may be taken up for `time`.
    pub fn record_past(&mut self, time: Duration, until: Instant) {
        // Shorter times whose use ended earlier add nothing.
        self.past
            .retain(|(past, ended)| *past > time || *ended > until);
        let place = self.past.partition_point(|(past, _)| *past > time);
        self.past.insert(place, (time, until));
    }

    /// Returns the longest time for which a stream may be taken up that is not over yet.
    pub fn longest(&self, now: Instant) -> Duration {
        let is_over = |(time, until): &&(Duration, Instant)| *until + *time <= now;
        let past = self.past.iter().find(|past| !is_over(past));
        past.map_or(self.current, |(time, _)| self.current.max(*time))
    }
}
