//! When the build of a stream that nobody remembers may be inferred from the builds that serve.
//!
//! An inference is sound if no other build has served while the stream may have begun, and if that is known as
//! of a time after its beginning. A host's own registry shows it only once it was read after the caller had
//! asked. Peers that agree with it show it too, as long as none of them is missing: a host that sends a stream
//! to another build tells its keepers first, and these would say so.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::id::BuildDigest;

/// What a host believes of the build of all streams of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Belief {
    /// Only this build has served for as long as a stream may be taken up.
    Only(BuildDigest),
    /// Only this build serves, and it is not known what served before.
    OnlyNow(BuildDigest),
    /// Several builds have served, or none is known.
    Several,
}

impl Belief {
    /// Returns `true` if nothing that the host knows speaks against the build.
    fn permits(self, build: BuildDigest) -> bool {
        matches!(self, Belief::Only(own) | Belief::OnlyNow(own) if own == build)
    }
}

/// How recently a host has read its registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reading {
    /// After the caller had asked for the stream.
    Current,
    /// Before that, and the next reading is due.
    Due,
    /// Before that, and no further reading is waited for.
    Old,
}

/// Answers of peers that do not remember a stream.
#[derive(Debug, Default)]
pub struct Poll {
    asked: Option<BTreeSet<SocketAddr>>,
    has_silent_peers: bool,
    /// Build that each peer infers; `None` if it cannot.
    answers: BTreeMap<SocketAddr, Option<BuildDigest>>,
}

/// What the answers of peers show together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Consensus {
    /// Some peers have not answered yet.
    Pending,
    /// All peers infer this build, and no host is missing.
    Agreed(BuildDigest),
    /// There is no peer, one of them infers nothing or another build, or a host is missing.
    None,
}

impl Poll {
    /// Records that peers were asked; `has_silent_peers` is `true` if others may have begun the stream and cannot
    /// be asked now.
    pub fn record_asked<I>(&mut self, peers: I, has_silent_peers: bool)
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        self.asked = Some(peers.into_iter().collect());
        self.has_silent_peers |= has_silent_peers;
    }

    /// Records the build that a peer infers; `None` if it cannot. An answer that is repeated counts once.
    pub fn record_answer(&mut self, peer: SocketAddr, build: Option<BuildDigest>) {
        self.answers.insert(peer, build);
    }

    fn consensus(&self) -> Consensus {
        let Some(asked) = &self.asked else {
            return Consensus::Pending;
        };
        if asked.iter().any(|peer| !self.answers.contains_key(peer)) {
            return Consensus::Pending;
        }
        let builds: BTreeSet<Option<BuildDigest>> = self.answers.values().copied().collect();
        match builds.first() {
            Some(Some(build)) if builds.len() == 1 && !self.has_silent_peers => {
                Consensus::Agreed(*build)
            }
            _ => Consensus::None,
        }
    }
}

/// Decision on the build of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Inference<B = BuildDigest> {
    /// It began at this build.
    Build(B),
    /// An answer or a reading is worth waiting for.
    Pending,
    /// Its build cannot be known.
    Unknown,
}

/// Decides on the build of a stream that nobody remembers; `is_over` is `true` if no more answers are waited for.
///
/// ```
/// use pistachiohall::origin::{Belief, Inference, Poll, Reading, infer};
/// let poll = Poll::default();
/// assert_eq!(infer(Belief::Only(7), Reading::Current, &poll, false), Inference::Build(7));
/// assert_eq!(infer(Belief::Only(7), Reading::Due, &poll, true), Inference::Pending);
/// assert_eq!(infer(Belief::Only(7), Reading::Old, &poll, true), Inference::Unknown);
/// ```
pub fn infer(belief: Belief, reading: Reading, poll: &Poll, is_over: bool) -> Inference {
    if let (Belief::Only(build), Reading::Current) = (belief, reading) {
        return Inference::Build(build);
    }
    match poll.consensus() {
        Consensus::Agreed(build) if belief.permits(build) => return Inference::Build(build),
        Consensus::Pending if !is_over => return Inference::Pending,
        _ => (),
    }
    match (belief, reading) {
        (Belief::Only(_), Reading::Due) => Inference::Pending,
        _ => Inference::Unknown,
    }
}
