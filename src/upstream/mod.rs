//! Upstreams: who they are, what they report, and how they are called.

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

/// Which half of the work an engine does.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Reads prompts and generates.
    #[default]
    Mixed,
    /// Reads prompts only.
    Prefill,
    /// Generates only.
    Decode,
}

/// An upstream's report on itself, seconds old at times.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Identifier of the process's life; a new one after each restart.
    pub boot_id: Uuid,
    /// Role in force.
    #[serde(default)]
    pub role: Role,
    /// Requests it works on or holds in its queue.
    #[serde(default)]
    pub in_flight: usize,
    /// Prompt tokens that wait to be read.
    #[serde(default)]
    pub prompt_backlog: u64,
    /// Prompt tokens read since its start.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens generated since its start.
    #[serde(default)]
    pub generated_tokens: u64,
    /// Prompt tokens that it can read in one second; 0 if it does not say.
    #[serde(default)]
    pub prompt_rate: f64,
    /// Tokens that it can generate in one second, all streams together; 0 if it does not say.
    #[serde(default)]
    pub answer_rate: f64,
    /// Whether it asks for no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Version of what it runs.
    #[serde(default)]
    pub version: CompactString,
    /// Order that it carries out now.
    #[serde(default)]
    pub busy_with: Option<u64>,
    /// Order that it carried out last.
    #[serde(default)]
    pub last_order: Option<u64>,
}

/// One upstream as one entry host sees it.
#[derive(Debug)]
pub struct Upstream {
    /// Name.
    pub id: UpstreamId,
    /// Where it serves.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Requests of this host that it works on.
    pub own_in_flight: AtomicUsize,
    /// Requests of peers that it works on, as they last said.
    pub peers_in_flight: AtomicUsize,
    /// Whether it is on its way out by the list or by its own word.
    pub leaving: AtomicBool,
    /// Whether an order takes it out of use.
    pub draining: AtomicBool,
    /// Whether a suspect request runs on it.
    pub holds_suspect: AtomicBool,
    report: Mutex<Option<(Load, Instant)>>,
    failing_since: Mutex<Option<Instant>>,
}

impl Upstream {
    /// Returns an upstream of which nothing was heard yet.
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

    /// Returns the latest report and when it came.
    pub fn report(&self) -> Option<(Load, Instant)> {
        self.report.lock().expect("report lock").clone()
    }

    /// Returns the role of the latest report.
    pub fn role(&self) -> Role {
        let report = self.report.lock().expect("report lock");
        report
            .as_ref()
            .map(|(load, _)| load.role)
            .unwrap_or_default()
    }

    /// Takes in a report; returns whether the process behind it is a new one.
    pub fn take_report(&self, load: Load, now: Instant) -> bool {
        if load.leaving {
            self.leaving.store(true, Ordering::SeqCst);
        }
        *self.failing_since.lock().expect("failing lock") = None;
        let mut report = self.report.lock().expect("report lock");
        let is_new = matches!(&*report, Some((old, _)) if old.boot_id != load.boot_id);
        *report = Some((load, now));
        is_new
    }

    /// Notes that the upstream did not answer.
    pub fn record_failure(&self, now: Instant) {
        self.failing_since
            .lock()
            .expect("failing lock")
            .get_or_insert(now);
    }

    /// Returns whether the upstream has answered since its last failure.
    pub fn is_reachable(&self) -> bool {
        self.failing_since.lock().expect("failing lock").is_none()
    }

    /// Returns whether new work may go to it.
    pub fn takes_work(&self) -> bool {
        !self.leaving.load(Ordering::SeqCst)
            && !self.draining.load(Ordering::SeqCst)
            && self.is_reachable()
    }

    /// Returns the best estimate of what it works on.
    pub fn in_flight(&self) -> usize {
        let known =
            self.own_in_flight.load(Ordering::SeqCst) + self.peers_in_flight.load(Ordering::SeqCst);
        let report = self.report.lock().expect("report lock");
        known.max(report.as_ref().map_or(0, |(load, _)| load.in_flight))
    }
}

/// Returns whether a call failed before a byte of it can have left.
///
/// Only a failed connect gives these errors. An unreachable host or network is not among them: an
/// open connection reports it too, after the request has left.
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
    fn only_a_failed_connect_counts_as_not_sent(#[case] kind: io::ErrorKind, #[case] unsent: bool) {
        let cause = attohttpc::Error::from(io::Error::from(kind));
        assert_eq!(is_before_first_byte(&cause), unsent);
    }
}
