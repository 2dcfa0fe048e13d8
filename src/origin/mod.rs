//! Which build of a service began a stream, so that the stream goes on only there; pure.
//!
//! A host remembers the streams that it began. While one build serves, two peers keep those that run, in case the
//! host ends; where several builds serve, some peers chosen for each stream remember it. The build of a stream that nobody remembers is inferred only where that is sound, see [`infer`].

mod history;
mod inference;
mod retention;
mod running;

pub use self::history::Builds;
pub use self::history::History;
pub use self::history::Stored;
pub use self::inference::Belief;
pub use self::inference::Inference;
pub use self::inference::Poll;
pub use self::inference::Reading;
pub use self::inference::infer;
pub use self::retention::Retention;
pub use self::running::Backup;
pub use self::running::Running;

use std::collections::HashMap;
use std::collections::VecDeque;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;
use std::time::Instant;

use crate::id::BuildDigest;
use crate::id::StreamDigest;

/// Maximum number of streams that are remembered; beyond it, the oldest ones are forgotten.
const MAX_STREAMS: usize = 1 << 16;

/// Returns the digest of the attempt of a caller that began or resumed a stream.
///
/// ```
/// use pistachiohall::origin;
/// assert_ne!(origin::stream_digest("r1"), origin::stream_digest("r2"));
/// ```
pub fn stream_digest(attempt: &str) -> StreamDigest {
    let mut hasher = std::hash::DefaultHasher::new();
    attempt.hash(&mut hasher);
    hasher.finish()
}

#[derive(Debug, Clone, Copy)]
struct Origin {
    /// Build; `None` if different ones were recorded.
    build: Option<BuildDigest>,
    /// Whether this host sent the attempt to an upstream, or keeps the stream for the host that did.
    is_own: bool,
    /// Time of the last attempt.
    at: Instant,
}

/// Builds of the streams that this host or its peers have begun lately.
#[derive(Debug, Default)]
pub struct Origins {
    streams: HashMap<StreamDigest, Origin>,
    recorded: VecDeque<(Instant, StreamDigest)>,
}

impl Origins {
    /// Records the build to which an attempt was sent, and returns `true` if that was not known. An attempt that
    /// was sent to several builds, of which only one began the stream, counts as of an unknown one.
    ///
    /// ```
    /// use std::time::Instant;
    /// use pistachiohall::origin::Origins;
    /// let (mut origins, now) = (Origins::default(), Instant::now());
    /// assert!(origins.record(1, 7, false, now));
    /// assert!(!origins.record(1, 7, false, now));
    /// assert_eq!(origins.build(1), Some(7));
    /// assert!(origins.record(1, 8, false, now));
    /// assert_eq!(origins.build(1), None);
    /// origins.confirm(1, 8);
    /// assert_eq!(origins.build(1), Some(8));
    /// ```
    pub fn record(
        &mut self,
        stream: StreamDigest,
        build: BuildDigest,
        is_own: bool,
        now: Instant,
    ) -> bool {
        self.recorded.push_back((now, stream));
        let is_news = match self.streams.get_mut(&stream) {
            Some(origin) => {
                origin.at = now;
                let is_other = origin.build.is_some_and(|known| known != build);
                if is_other {
                    origin.build = None;
                }
                is_other
            }
            None => {
                let build = Some(build);
                let origin = Origin {
                    build,
                    is_own,
                    at: now,
                };
                self.streams.insert(stream, origin);
                true
            }
        };
        while self.recorded.len() > MAX_STREAMS {
            self.forget_first();
        }
        is_news
    }

    /// Sets the build that has begun a stream.
    pub fn confirm(&mut self, stream: StreamDigest, build: BuildDigest) {
        if let Some(origin) = self.streams.get_mut(&stream) {
            origin.build = Some(build);
        }
    }

    /// Returns the build of a stream, if it is known.
    pub fn build(&self, stream: StreamDigest) -> Option<BuildDigest> {
        self.streams.get(&stream)?.build
    }

    /// Returns the streams of this host, and those that it keeps for others, with their builds.
    pub fn own(&self) -> impl Iterator<Item = (StreamDigest, BuildDigest)> {
        let own = self.streams.iter().filter(|(_, origin)| origin.is_own);
        own.filter_map(|(stream, origin)| Some((*stream, origin.build?)))
    }

    /// Forgets the streams that were last recorded longer than `max_age` ago.
    pub fn forget(&mut self, max_age: Duration, now: Instant) {
        let is_old = |at: &Instant| now.saturating_duration_since(*at) > max_age;
        while self.recorded.front().is_some_and(|(at, _)| is_old(at)) {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some((at, stream)) = self.recorded.pop_front()
            && self
                .streams
                .get(&stream)
                .is_some_and(|origin| origin.at == at)
        {
            self.streams.remove(&stream);
        }
    }
}
