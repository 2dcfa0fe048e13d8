//! Datagrams that gateways send to one another many times a second.
//!
//! Loads are states: each datagram contains all loads of its sender, so a lost one does no harm.
//! Prefills are events: a lost one only costs precision. Suspects are sent repeatedly, because the
//! guarantee that rests on them must also hold at hosts that start later or lost a datagram.

mod pace;
mod peers;

pub use self::pace::Pace;
pub use self::peers::Peers;

use std::collections::VecDeque;
use std::time::Duration;

use crate::balance;
use crate::clock::Moment;
use crate::follow::patch;
use crate::follow::patch::Part;
use crate::id::AccountDigest;
use crate::id::BuildDigest;
use crate::id::Fingerprint;
use crate::id::IncarnationDigest;
use crate::id::RequestDigest;
use crate::id::StreamDigest;
use crate::suspicion::Fate;
use crate::suspicion::LossReport;
use crate::suspicion::Report;
use crate::suspicion::Subject;

/// Time without datagrams from a peer after which its loads no longer count and it is sent
/// datagrams only occasionally.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without datagrams from a peer after which it has no share of limits any more. Longer than
/// [`PEER_TIMEOUT`]: a host that is only cut off from its peers still sends requests.
pub const SHARING_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum interval between datagrams, used while loads change; a few requests arrive within it at
/// the whole site.
pub const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum interval between datagrams, used while nothing changes; several fit into [`PEER_TIMEOUT`].
pub const MAX_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum bytes per second that a host receives from all peers together: a tenth of the slowest
/// link of a host, 10 Mbit/s.
const MAX_RECEIVED_BYTES_PER_S: f64 = 125_000.0;
/// Size of the IP and UDP headers, in bytes.
const HEADER_BYTES: usize = 28;

/// Load that the sender puts on one engine.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Load {
    /// Digest of the engine's name.
    #[prost(fixed32, tag = "1")]
    pub engine: u32,
    /// Requests in flight.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Prefill time of requests expected on time, in microseconds.
    #[prost(uint64, tag = "3")]
    pub backlog_us: u64,
    /// Prefill time of requests that will be late, in microseconds.
    #[prost(uint64, tag = "4")]
    pub late_us: u64,
}

/// Load that the sender puts on one plain upstream. Counts go on from the sender's start.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PlainLoad {
    /// Digest of the upstream's name and start time.
    #[prost(fixed32, tag = "1")]
    pub upstream: u32,
    /// Requests in flight.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Age of the oldest of these, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub oldest_ms: u32,
    /// Requests sent.
    #[prost(uint32, tag = "4")]
    pub sent: u32,
    /// Responses received.
    #[prost(uint32, tag = "5")]
    pub answered: u32,
    /// Time that the upstream took for these without waiting, in microseconds; wraps around.
    #[prost(uint64, tag = "6")]
    pub work_us: u64,
    /// Requests that the upstream rejected without running them.
    #[prost(uint32, tag = "7")]
    pub rejected: u32,
}

impl PlainLoad {
    /// Returns `true` if both tell the same of the sender's requests; their age is no difference.
    pub fn is_same_state(&self, other: &PlainLoad) -> bool {
        let state = |load: &PlainLoad| {
            let counts = (load.sent, load.answered, load.rejected);
            (load.upstream, load.running, counts)
        };
        state(self) == state(other)
    }
}

impl From<&balance::Report> for PlainLoad {
    fn from(report: &balance::Report) -> Self {
        PlainLoad {
            upstream: report.upstream,
            running: report.running,
            oldest_ms: report.oldest.as_millis() as u32,
            sent: report.sent,
            answered: report.answered,
            work_us: report.work_us,
            rejected: report.rejected,
        }
    }
}

impl From<&PlainLoad> for balance::Report {
    fn from(load: &PlainLoad) -> Self {
        balance::Report {
            upstream: load.upstream,
            running: load.running,
            oldest: Duration::from_millis(u64::from(load.oldest_ms)),
            sent: load.sent,
            answered: load.answered,
            work_us: load.work_us,
            rejected: load.rejected,
        }
    }
}

/// A prompt that an engine has prefilled for the sender.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Prefill {
    /// Digest of the engine's name.
    #[prost(fixed32, tag = "1")]
    pub engine: u32,
    /// Blocks of the prompt, in order.
    #[prost(fixed64, repeated, tag = "2")]
    pub blocks: Vec<u64>,
    /// Tokens of each block.
    #[prost(uint32, repeated, tag = "3")]
    pub tokens: Vec<u32>,
}

/// A loss attributed to a suspect: one incarnation of an upstream.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Loss {
    /// Digest of the upstream's name and start time.
    #[prost(fixed32, tag = "1")]
    pub incarnation: IncarnationDigest,
    /// Time since the loss, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub age_ms: u64,
    /// Fate of the incarnation: 0 if unknown, 1 if it ended, 2 if it is alive.
    #[prost(uint32, tag = "3")]
    pub fate: u32,
    /// Time before the loss within which the incarnation may have ended, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub uncertainty_ms: u64,
    /// Digest of the last request with the block that was lost there.
    #[prost(uint32, tag = "5")]
    pub request: RequestDigest,
    /// Number of requests with the block that were lost there.
    #[prost(uint32, tag = "6")]
    pub requests: u32,
}

/// A request or a prompt block that may crash upstreams, with the losses that the sender saw itself.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Suspect {
    /// Digest of the request or of the block.
    #[prost(fixed64, tag = "1")]
    pub fingerprint: Fingerprint,
    /// The sender's losses.
    #[prost(message, repeated, tag = "3")]
    pub losses: Vec<Loss>,
    /// Time since it last completed at the sender, in milliseconds.
    #[prost(uint64, optional, tag = "4")]
    pub completed_ms: Option<u64>,
    /// `true` if it is a block.
    #[prost(bool, tag = "5")]
    pub is_block: bool,
}

/// Value of `Loss::fate` for an incarnation that ended.
const FATE_ENDED: u32 = 1;
/// Value of `Loss::fate` for an incarnation that is alive.
const FATE_ALIVE: u32 = 2;

impl From<&Report> for Suspect {
    fn from(report: &Report) -> Self {
        let losses = report.losses.iter().map(|loss| Loss {
            incarnation: loss.incarnation,
            age_ms: loss.age.as_millis() as u64,
            fate: match loss.fate {
                Fate::Unknown => 0,
                Fate::Ended => FATE_ENDED,
                Fate::Alive => FATE_ALIVE,
            },
            uncertainty_ms: loss.uncertainty.as_millis() as u64,
            request: loss.request,
            requests: loss.requests,
        });
        Suspect {
            is_block: report.subject == Subject::Block,
            fingerprint: report.fingerprint,
            losses: losses.collect(),
            completed_ms: report.completed.map(|age| age.as_millis() as u64),
        }
    }
}

impl From<&Suspect> for Report {
    fn from(suspect: &Suspect) -> Self {
        let losses = suspect.losses.iter().map(|loss| LossReport {
            incarnation: loss.incarnation,
            age: Duration::from_millis(loss.age_ms),
            fate: match loss.fate {
                FATE_ENDED => Fate::Ended,
                FATE_ALIVE => Fate::Alive,
                _ => Fate::Unknown,
            },
            uncertainty: Duration::from_millis(loss.uncertainty_ms),
            request: loss.request,
            requests: loss.requests,
        });
        Report {
            subject: match suspect.is_block {
                true => Subject::Block,
                false => Subject::Request,
            },
            fingerprint: suspect.fingerprint,
            losses: losses.collect(),
            completed: suspect.completed_ms.map(Duration::from_millis),
        }
    }
}

impl From<patch::Patch> for Patch {
    fn from(patch: patch::Patch) -> Self {
        let parts = patch.parts.into_iter().map(|part| match part {
            Part::Copy { from, length } => PatchPart {
                from: from as u32,
                length: length as u32,
                insert: Vec::new(),
            },
            Part::Insert(insert) => PatchPart {
                insert,
                ..PatchPart::default()
            },
        });
        Patch {
            key: patch.key.into(),
            base: patch.base,
            parts: parts.collect(),
        }
    }
}

impl From<Patch> for patch::Patch {
    fn from(patch: Patch) -> Self {
        let parts = patch.parts.into_iter().flat_map(|part| {
            let copy = Part::Copy {
                from: part.from as usize,
                length: part.length as usize,
            };
            [copy, Part::Insert(part.insert)]
        });
        patch::Patch {
            key: patch.key.into(),
            base: patch.base,
            parts: parts.collect(),
        }
    }
}

/// A limit that an upstream has named to the sender.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct RateLimit {
    /// Digest of the upstream's name and start time.
    #[prost(fixed32, tag = "1")]
    pub incarnation: IncarnationDigest,
    /// Requests from all hosts together, in thousandths per second.
    #[prost(uint32, tag = "2")]
    pub limit: u32,
}

/// Work of one client account at the sender.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct AccountWork {
    /// Digest of the account's name; 0 for several accounts together.
    #[prost(fixed32, tag = "1")]
    pub account: AccountDigest,
    /// Work that its requests asked for, in microseconds of an upstream.
    #[prost(uint64, tag = "2")]
    pub offered_us: u64,
    /// Work that was given to them, in microseconds of an upstream.
    #[prost(uint64, tag = "3")]
    pub served_us: u64,
}

/// Work of the client accounts of one service at the sender.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AccountSums {
    /// Digest of the service's name.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// The heaviest accounts.
    #[prost(message, repeated, tag = "2")]
    pub named: Vec<AccountWork>,
    /// All other accounts together.
    #[prost(message, optional, tag = "3")]
    pub others: Option<AccountWork>,
    /// Number of the other accounts.
    #[prost(uint32, tag = "4")]
    pub other_count: u32,
}

/// A record of the store.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Record {
    /// Key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Value; `None` if the key was removed.
    #[prost(bytes = "vec", optional, tag = "2")]
    pub value: Option<Vec<u8>>,
}

/// Work that arrives at the sender for one service, in thousandths of what one upstream does.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Demand {
    /// Digest of the service's name.
    #[prost(fixed32, tag = "1")]
    pub service: u32,
    /// Requests, in thousandths per second.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
    /// Prefill work with the blocks that are cached now.
    #[prost(uint32, tag = "3")]
    pub prefill: u32,
    /// Prefill work that the cached blocks save.
    #[prost(uint32, tag = "4")]
    pub saved: u32,
    /// Decode work.
    #[prost(uint32, tag = "5")]
    pub decode: u32,
}

/// Part of a text that is sent as a difference from another one, the base.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct PatchPart {
    /// Position in the base of the bytes to copy.
    #[prost(uint32, tag = "1")]
    pub from: u32,
    /// Number of bytes to copy.
    #[prost(uint32, tag = "2")]
    pub length: u32,
    /// Bytes to insert after these.
    #[prost(bytes = "vec", tag = "3")]
    pub insert: Vec<u8>,
}

/// Difference from one value of a key to the next one.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Patch {
    /// Key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Digest of the base.
    #[prost(fixed64, tag = "2")]
    pub base: u64,
    /// Parts of the value in order.
    #[prost(message, repeated, tag = "3")]
    pub parts: Vec<PatchPart>,
}

/// Records that the sender read from the store.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Segment {
    /// Topic.
    #[prost(string, tag = "1")]
    pub topic: String,
    /// Era of the store to which the offsets belong.
    #[prost(uint64, tag = "8")]
    pub era: u64,
    /// Offset of the first record.
    #[prost(fixed64, tag = "2")]
    pub from: u64,
    /// Offset after the last record.
    #[prost(fixed64, tag = "3")]
    pub next: u64,
    /// The records.
    #[prost(message, repeated, tag = "4")]
    pub records: Vec<Record>,
    /// Difference to the last record, if the records were omitted.
    #[prost(message, optional, tag = "9")]
    pub patch: Option<Patch>,
    /// `true` if the records were omitted because of their size.
    #[prost(bool, tag = "5")]
    pub is_omitted: bool,
    /// Newest datagram of each receiver that the sender had received when it queried the store.
    #[prost(message, repeated, tag = "6")]
    pub received: Vec<DatagramId>,
    /// Time after the query for which the response proves that nothing changed, in milliseconds.
    #[prost(uint32, tag = "7")]
    pub unchanged_ms: u32,
}

/// Number of requests of an account that upstreams began to run.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct AccountCount {
    /// Name of the account.
    #[prost(string, tag = "1")]
    pub account: String,
    /// Number of requests since the start of the window, so that a repeated datagram does no harm.
    #[prost(uint64, tag = "2")]
    pub count: u64,
}

/// Counts of the sender within one window.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WindowCounts {
    /// Number of the window.
    #[prost(uint64, tag = "1")]
    pub window: u64,
    /// Accounts; those that are missing are unchanged.
    #[prost(message, repeated, tag = "2")]
    pub accounts: Vec<AccountCount>,
}

/// What the sender knows of usage.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Usage {
    /// Sender's wall clock, in milliseconds since the Unix epoch.
    #[prost(fixed64, tag = "1")]
    pub wall_ms: u64,
    /// Newest fencing token of the sender, if it reports usage.
    #[prost(uint64, optional, tag = "2")]
    pub fencing_token: Option<u64>,
    /// Newest window that is known to be reported.
    #[prost(uint64, optional, tag = "3")]
    pub reported: Option<u64>,
    /// `true` if the sender did not reach the store or the platform lately.
    #[prost(bool, tag = "4")]
    pub is_unavailable: bool,
    /// Counts; sent only to the hosts that collect them.
    #[prost(message, repeated, tag = "5")]
    pub windows: Vec<WindowCounts>,
}

/// Identifies a datagram by its sender's incarnation and its sequence number.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct DatagramId {
    /// Digest of the sender's name and start time.
    #[prost(fixed32, tag = "1")]
    pub incarnation: u32,
    /// Sequence number within the incarnation.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
}

/// Times at which this host sent its most recent datagrams.
///
/// A peer that names one of them has read the store after it was sent. This bounds the age of the
/// peer's data without synchronized clocks, regardless of the delay of its own datagram.
#[derive(Debug, Default)]
pub struct SentTimes {
    times: VecDeque<(u64, Moment)>,
}

impl SentTimes {
    /// Records that the datagram with this sequence number is sent after `before`.
    pub fn record(&mut self, sequence: u64, before: Moment) {
        let is_old =
            |(_, at): &(u64, Moment)| before.now.saturating_duration_since(at.now) >= PEER_TIMEOUT;
        while self.times.front().is_some_and(is_old) {
            self.times.pop_front();
        }
        self.times.push_back((sequence, before));
    }

    /// Returns the time at which a datagram was sent, if it was sent recently.
    ///
    /// ```
    /// use pistachiohall::clock::{Clock, Real};
    /// use pistachiohall::gossip::SentTimes;
    /// let now = Real.moment();
    /// let mut sent = SentTimes::default();
    /// sent.record(7, now);
    /// assert_eq!(sent.at(7), Some(now));
    /// assert_eq!(sent.at(8), None);
    /// ```
    pub fn at(&self, sequence: u64) -> Option<Moment> {
        let found = self
            .times
            .binary_search_by_key(&sequence, |(known, _)| *known);
        found.ok().map(|index| self.times[index].1)
    }
}

/// Build that began a stream.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct StreamOrigin {
    /// Digest of the attempt of the caller that began the stream, or resumed it.
    #[prost(fixed64, tag = "1")]
    pub stream: StreamDigest,
    /// Digest of the build; 0 if the sender doesn't know it.
    #[prost(fixed32, tag = "2")]
    pub build: BuildDigest,
    /// `true` if the sender does not remember the stream, and only infers its build.
    #[prost(bool, tag = "3")]
    pub is_inferred: bool,
}

/// Query for the build that began a stream.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct OriginQuery {
    /// Digest of the attempt of the caller that began the stream, or resumed it.
    #[prost(fixed64, tag = "1")]
    pub stream: StreamDigest,
    /// Digest of the name of the service that it belongs to.
    #[prost(fixed32, tag = "2")]
    pub service: u32,
}

/// Streams of the sender that one build generates, for peers that keep them in case the sender ends.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RunningStreams {
    /// Digest of the build.
    #[prost(fixed32, tag = "1")]
    pub build: BuildDigest,
    /// Digests of the attempts of the callers that began the streams, or resumed them.
    #[prost(fixed64, repeated, tag = "2")]
    pub streams: Vec<StreamDigest>,
}

/// One datagram.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Datagram {
    /// Sender's name.
    #[prost(string, tag = "1")]
    pub host: String,
    /// Sender's start time, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub started_at: u64,
    /// Sequence number of the datagram.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// All loads that are not zero.
    #[prost(message, repeated, tag = "4")]
    pub loads: Vec<Load>,
    /// Prompts prefilled since the last datagram.
    #[prost(message, repeated, tag = "5")]
    pub prefills: Vec<Prefill>,
    /// Engines that the sender has ordered to change their role, as digests of their names.
    #[prost(fixed32, repeated, tag = "7")]
    pub pending_changes: Vec<u32>,
    /// Sender's failure domain.
    #[prost(string, tag = "8")]
    pub domain: String,
    /// Records that the sender has just read from the store; sent only within its failure domain.
    #[prost(message, repeated, tag = "9")]
    pub segments: Vec<Segment>,
    /// Upstreams that the sender cannot reach, as digests of their names.
    #[prost(fixed32, repeated, tag = "10")]
    pub unreachable: Vec<u32>,
    /// Some of the limits that upstreams have named to the sender, in rotation.
    #[prost(message, repeated, tag = "11")]
    pub limits: Vec<RateLimit>,
    /// Some of the suspects, in rotation.
    #[prost(message, repeated, tag = "6")]
    pub suspects: Vec<Suspect>,
    /// Version of the sender's configuration; 0 if it has none.
    #[prost(uint64, tag = "12")]
    pub config_version: u64,
    /// Work that arrives at the sender, by service; empty unless upstreams are ordered.
    #[prost(message, repeated, tag = "17")]
    pub demands: Vec<Demand>,
    /// Usage; absent if the sender doesn't report it.
    #[prost(message, optional, tag = "13")]
    pub usage: Option<Usage>,
    /// Loads of the plain upstreams that the sender has used lately.
    #[prost(message, repeated, tag = "14")]
    pub plain_loads: Vec<PlainLoad>,
    /// Work of client accounts; not in each datagram.
    #[prost(message, repeated, tag = "16")]
    pub account_sums: Vec<AccountSums>,
    /// How recently the sender's configuration was proved to be the newest; sent if it has client
    /// accounts.
    #[prost(message, optional, tag = "15")]
    pub config_proof: Option<ConfigProof>,
    /// Some of the paces of engines that the sender has measured, in rotation.
    #[prost(message, repeated, tag = "19")]
    pub paces: Vec<Pace>,
    /// Streams that the receiver has to remember, or has asked for.
    #[prost(message, repeated, tag = "20")]
    pub origins: Vec<StreamOrigin>,
    /// Streams whose builds the sender asks for.
    #[prost(message, repeated, tag = "21")]
    pub origin_queries: Vec<OriginQuery>,
    /// Streams that the receiver keeps for the sender.
    #[prost(message, repeated, tag = "22")]
    pub running: Vec<RunningStreams>,
}

/// Proof that the sender's configuration was the newest at some time, for hosts that get none from the
/// store or from their failure domain.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ConfigProof {
    /// Time since the configuration was the newest, in milliseconds; [`u32::MAX`] if that was never
    /// proved.
    #[prost(uint32, tag = "1")]
    pub age_ms: u32,
    /// Newest datagrams from some of the peers that need a proof, all received before the age was
    /// determined.
    #[prost(message, repeated, tag = "2")]
    pub received: Vec<DatagramId>,
}

impl ConfigProof {
    /// Returns the age of the proof.
    pub fn age(&self) -> Duration {
        Duration::from_millis(u64::from(self.age_ms))
    }

    /// Returns the time, on the receiver's clock, at which the sender's configuration was the newest:
    /// the sender determined the age after the receiver had sent, at `sent_at`, a datagram that the
    /// sender names.
    ///
    /// ```
    /// use std::time::Duration;
    /// use pistachiohall::gossip::ConfigProof;
    /// let proof = ConfigProof { age_ms: 700, received: Vec::new() };
    /// let at = proof.proved_at(Duration::from_secs(5));
    /// assert_eq!(at, Some(Duration::from_millis(4300)));
    /// assert_eq!(ConfigProof { age_ms: u32::MAX, ..proof }.proved_at(Duration::from_secs(5)), None);
    /// ```
    pub fn proved_at(&self, sent_at: Duration) -> Option<Duration> {
        sent_at
            .checked_sub(self.age())
            .filter(|_| self.age_ms != u32::MAX)
    }
}

/// Returns the interval after a datagram of `bytes` to each of `peers`.
///
/// All hosts send to all others, so the traffic that each receives grows with their number unless
/// each sends less often.
///
/// ```
/// use pistachiohall::gossip;
/// assert_eq!(gossip::interval(200, 7), gossip::MIN_INTERVAL);
/// assert!(gossip::interval(200, 73) > gossip::MIN_INTERVAL);
/// assert_eq!(gossip::interval(200, 1000), gossip::MAX_INTERVAL);
/// ```
pub fn interval(bytes: usize, peers: usize) -> Duration {
    let received = ((bytes + HEADER_BYTES) * peers) as f64;
    Duration::from_secs_f64(received / MAX_RECEIVED_BYTES_PER_S).clamp(MIN_INTERVAL, MAX_INTERVAL)
}

/// Returns the digest that identifies an engine in datagrams.
pub fn digest(engine: &str) -> u32 {
    use std::hash::Hash;
    use std::hash::Hasher;

    let mut hasher = std::hash::DefaultHasher::new();
    engine.hash(&mut hasher);
    hasher.finish() as u32
}

/// Returns the digest that identifies one incarnation of a host or an upstream.
pub fn incarnation_digest(host: &str, started_at: u64) -> u32 {
    use std::hash::Hash;
    use std::hash::Hasher;

    let mut hasher = std::hash::DefaultHasher::new();
    host.hash(&mut hasher);
    started_at.hash(&mut hasher);
    hasher.finish() as u32
}
