//! Identifiers that the whole system shares.

use compact_str::CompactString;
use uuid::Uuid;

/// Position of a record in a stream of the platform's log.
pub type Offset = u64;
/// Number that rises each time that the platform's store is restored from a copy.
pub type Era = u64;
/// Number that an order carries; engines refuse orders with a lower one than they have seen.
pub type FencingToken = u64;
/// Name of a host.
pub type HostId = CompactString;
/// Name of a failure domain.
pub type DomainId = CompactString;
/// Name of a service.
pub type ServiceId = CompactString;
/// Name of a class of requests.
pub type ClassId = CompactString;
/// Name of a caller's account.
pub type AccountId = CompactString;
/// Digest of the name of a client account.
pub type AccountDigest = u32;
/// Name of an upstream.
pub type UpstreamId = CompactString;
/// Version of an upstream's software.
pub type BuildId = CompactString;
/// Digest of the version of an upstream's software.
pub type BuildDigest = u32;
/// Digest of the attempt of a caller that began or resumed a stream.
pub type StreamDigest = u64;
/// Identifier of one request, the same on every retry.
pub type RequestId = Uuid;
/// Identifier of one incarnation of an entry process.
pub type Incarnation = Uuid;
/// Digest of a request's content and caller, the same for all its attempts; or of a prompt block and
/// the model that it is for.
pub type Fingerprint = u64;
/// Short digest of a request's content and caller.
pub type RequestDigest = u32;
/// Digest of an upstream's name and start time.
pub type IncarnationDigest = u32;
/// Digest of a host's name.
pub type HostDigest = u32;
/// Name of a route.
pub type RouteId = CompactString;
/// Identifier that a caller gave a request, unchanged.
pub type CallId = CompactString;
/// Identifier of a prompt block, the same in all prompts that contain it.
pub type BlockId = u64;
/// Wall time of an upstream's start, in milliseconds since the Unix epoch.
pub type StartTime = u64;
