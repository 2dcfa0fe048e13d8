//! Streams that a host generates now, which peers keep in case the host ends.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::id::BuildDigest;
use crate::id::StreamDigest;

/// Time for which a stream has to run before peers are told of it: most are shorter.
const MIN_TOLD_AGE: Duration = Duration::from_millis(250);

/// A peer that keeps streams, by its address and the start of its process.
pub type Backup = (SocketAddr, u64);

#[derive(Debug, Clone, Copy)]
struct Stream {
    build: BuildDigest,
    began_at: Instant,
    is_told: bool,
}

/// Streams that run at this host.
#[derive(Debug, Default)]
pub struct Running {
    streams: HashMap<StreamDigest, Stream>,
    backups: Vec<Backup>,
}

impl Running {
    /// Records that a stream has begun or been resumed; `is_told` is `true` if peers know it already.
    pub fn begin(&mut self, stream: StreamDigest, build: BuildDigest, is_told: bool, now: Instant) {
        let stream_state = Stream {
            build,
            began_at: now,
            is_told,
        };
        self.streams.insert(stream, stream_state);
    }

    /// Records that a stream has ended.
    pub fn end(&mut self, stream: StreamDigest) {
        self.streams.remove(&stream);
    }

    /// Returns up to `max` streams of which the peers that keep them have to be told now, by build. Peers that
    /// have not kept any so far, or have started again since, are told of all.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use pistachiohall::origin::Running;
    /// let (mut running, now) = (Running::default(), Instant::now());
    /// running.begin(1, 7, false, now);
    /// let later = now + Duration::from_secs(1);
    /// let backups = [(([127, 0, 0, 1], 9).into(), 1)];
    /// assert_eq!(running.due(&backups, 10, later)[&7], [1]);
    /// assert!(running.due(&backups, 10, later).is_empty());
    /// let restarted = [(([127, 0, 0, 1], 9).into(), 2)];
    /// assert_eq!(running.due(&restarted, 10, later)[&7], [1]);
    /// ```
    pub fn due(
        &mut self,
        backups: &[Backup],
        max: usize,
        now: Instant,
    ) -> BTreeMap<BuildDigest, Vec<StreamDigest>> {
        let is_new = |backup: &Backup| !self.backups.contains(backup);
        if backups.iter().any(is_new) {
            for stream in self.streams.values_mut() {
                stream.is_told = false;
            }
        }
        self.backups = backups.to_vec();
        let mut due: BTreeMap<BuildDigest, Vec<StreamDigest>> = BTreeMap::new();
        if backups.is_empty() {
            return due;
        }
        let is_due = |stream: &Stream| {
            !stream.is_told && now.saturating_duration_since(stream.began_at) >= MIN_TOLD_AGE
        };
        let untold = self
            .streams
            .iter_mut()
            .filter(|(_, stream)| is_due(stream))
            .take(max);
        for (digest, stream) in untold {
            stream.is_told = true;
            due.entry(stream.build).or_default().push(*digest);
        }
        due
    }
}
