//! Newer configurations that peers serve, for hosts that cannot read them from the store: they cannot
//! reach it, or it was restored from a copy that lacks them.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::catalog::Version;

/// Time within which a host gets a newer configuration from the store or from the readers of its
/// failure domain, unless something is wrong.
pub const MAX_LAG: Duration = Duration::from_millis(400);

/// The newest configuration that a peer has announced.
#[derive(Debug, Default)]
pub struct Announcement {
    newest: Option<Newest>,
}

#[derive(Debug, Clone, Copy)]
struct Newest {
    version: Version,
    /// Peer that announced it last.
    peer: SocketAddr,
    first_announced: Instant,
}

impl Announcement {
    /// Records that `peer` serves the configuration `version`.
    pub fn record(&mut self, peer: SocketAddr, version: Version, now: Instant) {
        match &mut self.newest {
            Some(newest) if newest.version > version => (),
            Some(newest) if newest.version == version => newest.peer = peer,
            newest => {
                *newest = Some(Newest {
                    version,
                    peer,
                    first_announced: now,
                });
            }
        }
    }

    /// Returns a peer that has served a newer configuration than `own` for longer than [`MAX_LAG`].
    ///
    /// ```
    /// use std::time::Instant;
    /// use pistachiohall::gateway::newer::Announcement;
    /// use pistachiohall::gateway::newer::MAX_LAG;
    /// let (mut announcement, now) = (Announcement::default(), Instant::now());
    /// let peer = "127.0.0.1:9".parse().unwrap();
    /// announcement.record(peer, 7, now);
    /// assert_eq!(announcement.source(6, now), None);
    /// assert_eq!(announcement.source(6, now + MAX_LAG), Some(peer));
    /// assert_eq!(announcement.source(7, now + MAX_LAG), None);
    /// ```
    pub fn source(&self, own: Version, now: Instant) -> Option<SocketAddr> {
        let newest = self.newest?;
        let lag = now.saturating_duration_since(newest.first_announced);
        (newest.version > own && lag >= MAX_LAG).then_some(newest.peer)
    }

    /// Returns the time since which a peer has served a newer configuration than `own`.
    pub fn newer_since(&self, own: Version) -> Option<Instant> {
        let newest = self.newest.filter(|newest| newest.version > own);
        newest.map(|newest| newest.first_announced)
    }

    /// Forgets the announcement: the peer that made it doesn't serve such a configuration.
    pub fn withdraw(&mut self) {
        self.newest = None;
    }
}
