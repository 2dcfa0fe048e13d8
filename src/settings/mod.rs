//! Validated settings of an entry process, read from an INI file.

pub mod gateway;
pub mod source;
pub mod unit;

use std::net::SocketAddr;
use std::time::Duration;

pub use self::source::Fault;
pub use self::source::Faults;
pub use self::source::Source;
use crate::id::DomainId;
use crate::id::HostId;

/// Limits on the resources that callers can use.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum time for a request body to arrive.
    pub body_time: Duration,
    /// Maximum number of open requests.
    pub open_requests: usize,
    /// Maximum number of requests that wait for an upstream.
    pub queued_requests: usize,
    /// Time without data after which a connection counts as dead.
    pub silence: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_body_bytes: 4 << 20,
            body_time: Duration::from_secs(10),
            open_requests: 2048,
            queued_requests: 1024,
            silence: Duration::from_secs(2),
        }
    }
}

/// Settings of one entry process.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the host.
    pub name: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Address at which callers are served.
    pub listen: SocketAddr,
    /// Address at which peers are served.
    pub peer_listen: SocketAddr,
    /// Peers to query while the platform's list cannot be read.
    pub seeds: Vec<SocketAddr>,
    /// Address at which operators are served; not served if absent.
    pub operator_listen: Option<SocketAddr>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Address to which metrics are sent as StatsD datagrams.
    pub metrics: Option<SocketAddr>,
    /// Time for which the platform's log keeps a record.
    pub retention: Duration,
    /// Time for the balancer to detect that the host is not ready.
    pub balancer_lag: Duration,
    /// Maximum time for running requests to finish on shutdown.
    pub shutdown_limit: Duration,
    /// Number of streams over which claims are distributed.
    pub claim_shards: u16,
    /// Limits on the resources that callers can use.
    pub limits: Limits,
}

impl Settings {
    /// Parses settings from INI text, or returns all faults in it.
    ///
    /// ```
    /// use pistachiohall::settings::Settings;
    /// let text = "[host]\nname = n1\ndomain = derby\nlisten = 127.0.0.1:0\n\
    ///     peer_listen = 127.0.0.1:0\nplatform = 127.0.0.1:9000\n";
    /// assert_eq!(Settings::parse("n1.ini", text).unwrap().domain, "derby");
    /// let faults = Settings::parse("n1.ini", "[host]\nnmae = n1\n").unwrap_err();
    /// assert!(faults.to_string().contains("n1.ini:2: unknown key `nmae`"));
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let mut source = Source::parse(file, text);
        let limits = parse_limits(&mut source);
        let defaults = |seconds| Duration::from_secs(seconds);
        let name = source.required("host", "name", unit::name);
        let domain = source.required("host", "domain", unit::name);
        let listen = source.required("host", "listen", unit::address);
        let peer_listen = source.required("host", "peer_listen", unit::address);
        let platform = source.required("host", "platform", unit::address);
        let seeds = source.optional("host", "seeds", unit::addresses);
        let operator_listen = source.optional("host", "operator_listen", unit::address);
        let metrics = source.optional("host", "metrics", unit::address);
        let retention = source.optional("platform", "retention", unit::duration);
        let balancer_lag = source.optional("shutdown", "balancer_lag", unit::duration);
        let shutdown_limit = source.optional("shutdown", "limit", unit::duration);
        let claim_shards = source.optional("platform", "claim_shards", unit::shards);
        source.finish()?;
        Ok(Settings {
            name: name.unwrap_or_default(),
            domain: domain.unwrap_or_default(),
            listen: listen.unwrap_or(unit::UNSPECIFIED),
            peer_listen: peer_listen.unwrap_or(unit::UNSPECIFIED),
            platform: platform.unwrap_or(unit::UNSPECIFIED),
            seeds: seeds.unwrap_or_default(),
            operator_listen,
            metrics,
            retention: retention.unwrap_or(defaults(24 * 3600)),
            balancer_lag: balancer_lag.unwrap_or(defaults(2)),
            shutdown_limit: shutdown_limit.unwrap_or(defaults(120)),
            claim_shards: claim_shards.unwrap_or(1),
            limits,
        })
    }
}

fn parse_limits(source: &mut Source) -> Limits {
    let defaults = Limits::default();
    Limits {
        max_body_bytes: source
            .optional("limits", "body", unit::size)
            .unwrap_or(defaults.max_body_bytes),
        body_time: source
            .optional("limits", "body_time", unit::duration)
            .unwrap_or(defaults.body_time),
        open_requests: source
            .optional("limits", "open_requests", unit::count)
            .unwrap_or(defaults.open_requests),
        queued_requests: source
            .optional("limits", "queued_requests", unit::count)
            .unwrap_or(defaults.queued_requests),
        silence: source
            .optional("limits", "silence", unit::duration)
            .unwrap_or(defaults.silence),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn reports_all_faults_with_their_lines() {
        let text =
            "[host]\nname = n1\nlisten = here\n[limits]\nbody = 4 parsecs\nodd = 1\n[extra]\n";
        let faults = Settings::parse("f.ini", text).unwrap_err().to_string();
        for expected in [
            "f.ini:3: `listen` is `here`, expected an IP address and port",
            "f.ini:5: `body` is `4 parsecs`, expected a size",
            "f.ini:6: unknown key `odd`",
            "f.ini:7: unknown section `[extra]`",
            "f.ini:1: `domain` is missing",
        ] {
            assert!(faults.contains(expected), "{expected} not in:\n{faults}");
        }
    }
}
