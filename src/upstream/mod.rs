//! Upstreams: their state, their load reports and calls of them.

pub mod call;
pub mod poll;
pub mod sse;
pub mod table;

use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Instant;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use uuid::Uuid;

pub use self::table::Table;
use crate::id::DomainId;
use crate::id::ServiceId;
use crate::id::UpstreamId;

/// Stages of a completion that an engine runs.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Mixed,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// An upstream's report of its load, which may be some seconds old.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Identifier of the process's incarnation; a new one after each restart.
    pub boot_id: Uuid,
    /// Active role.
    #[serde(default)]
    pub role: Role,
    /// Requests that it runs or holds in its queue.
    #[serde(default)]
    pub in_flight: usize,
    /// Prompt tokens that wait for prefill.
    #[serde(default)]
    pub prompt_backlog: u64,
    /// Prompt tokens prefilled since its start.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens generated since its start.
    #[serde(default)]
    pub generated_tokens: u64,
    /// Maximum prefill rate, in prompt tokens per second; 0 if not reported.
    #[serde(default)]
    pub prompt_rate: f64,
    /// Maximum decode rate of all streams together, in tokens per second; 0 if not reported.
    #[serde(default)]
    pub answer_rate: f64,
    /// Whether it asks to get no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Version of the model or service that it runs.
    #[serde(default)]
    pub version: CompactString,
    /// Order that it carries out now, if any.
    #[serde(default)]
    pub busy_with: Option<u64>,
    /// Order that it carried out last, if any.
    #[serde(default)]
    pub last_order: Option<u64>,
}

/// An upstream as this entry host sees it.
#[derive(Debug)]
pub struct Upstream {
    /// Name.
    pub id: UpstreamId,
    /// Address on which it serves.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Requests of this host in flight on it.
    pub own_in_flight: AtomicUsize,
    /// Requests of peers in flight on it, as last reported.
    pub peers_in_flight: AtomicUsize,
    /// Whether it is leaving according to the list of hosts or to its own report.
    pub leaving: AtomicBool,
    /// Whether it is drained by an order.
    pub draining: AtomicBool,
    /// Whether a suspect request runs on it.
    pub holds_suspect: AtomicBool,
    report: Mutex<Option<(Load, Instant)>>,
    failing_since: Mutex<Option<Instant>>,
}

impl Upstream {
    /// Returns an upstream without a report.
    ///
    /// ```
    /// use pistachiohall::upstream::Upstream;
    /// let address = "127.0.0.1:9".parse().unwrap();
    /// let upstream = Upstream::new("e1".into(), address, "derby".into(), "lm".into());
    /// assert!(upstream.takes_work());
    /// ```
    pub fn new(id: UpstreamId, address: SocketAddr, domain: DomainId, service: ServiceId) -> Self {
        Upstream {
            id,
            address,
            domain,
            service,
            own_in_flight: AtomicUsize::new(0),
            peers_in_flight: AtomicUsize::new(0),
            leaving: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            holds_suspect: AtomicBool::new(false),
            report: Mutex::default(),
            failing_since: Mutex::default(),
        }
    }

    /// Returns the latest report and the time of its arrival.
    pub fn report(&self) -> Option<(Load, Instant)> {
        self.report.lock().expect("report lock").clone()
    }

    /// Returns the role in the latest report, or the default one without a report.
    pub fn role(&self) -> Role {
        let report = self.report.lock().expect("report lock");
        report
            .as_ref()
            .map(|(load, _)| load.role)
            .unwrap_or_default()
    }

    /// Stores a report; returns `true` if the upstream has restarted since the previous one.
    pub fn take_report(&self, load: Load, now: Instant) -> bool {
        if load.leaving {
            self.leaving.store(true, Ordering::SeqCst);
        }
        *self.failing_since.lock().expect("failing lock") = None;
        let mut report = self.report.lock().expect("report lock");
        let is_restarted = matches!(&*report, Some((old, _)) if old.boot_id != load.boot_id);
        *report = Some((load, now));
        is_restarted
    }

    /// Records that the upstream did not answer.
    pub fn record_failure(&self, now: Instant) {
        self.failing_since
            .lock()
            .expect("failing lock")
            .get_or_insert(now);
    }

    /// Returns `true` if the upstream has answered since its last failure.
    pub fn is_reachable(&self) -> bool {
        self.failing_since.lock().expect("failing lock").is_none()
    }

    /// Returns `true` if it may get new work.
    pub fn takes_work(&self) -> bool {
        !self.leaving.load(Ordering::SeqCst)
            && !self.draining.load(Ordering::SeqCst)
            && self.is_reachable()
    }

    /// Returns an estimate of its requests in flight: the greater of the number that the hosts
    /// count and the number that it reports.
    pub fn in_flight(&self) -> usize {
        let known =
            self.own_in_flight.load(Ordering::SeqCst) + self.peers_in_flight.load(Ordering::SeqCst);
        let report = self.report.lock().expect("report lock");
        known.max(report.as_ref().map_or(0, |(load, _)| load.in_flight))
    }
}

/// Returns `true` if a call failed before any byte of it can have been sent.
///
/// Only a failed connect gives these errors. An unreachable host or network is not among them, as
/// an open connection reports it too, after the request has been sent.
pub fn is_before_first_byte(cause: &attohttpc::Error) -> bool {
    match cause.kind() {
        attohttpc::ErrorKind::Io(cause) => matches!(
            cause.kind(),
            io::ErrorKind::ConnectionRefused | io::ErrorKind::AddrNotAvailable
        ),
        _ => false,
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case(io::ErrorKind::ConnectionRefused, true)]
    #[case(io::ErrorKind::AddrNotAvailable, true)]
    #[case(io::ErrorKind::HostUnreachable, false)]
    #[case(io::ErrorKind::NetworkUnreachable, false)]
    #[case(io::ErrorKind::ConnectionReset, false)]
    #[case(io::ErrorKind::TimedOut, false)]
    fn only_a_failed_connect_counts_as_not_sent(
        #[case] kind: io::ErrorKind,
        #[case] is_unsent: bool,
    ) {
        let cause = attohttpc::Error::from(io::Error::from(kind));
        assert_eq!(is_before_first_byte(&cause), is_unsent);
    }
}
