//! Checked settings of a gateway process, read from an INI file.

use std::net::SocketAddr;
use std::time::Duration;

use super::Faults;
use super::Source;
use super::unit;
use crate::id::DomainId;
use crate::id::HostId;
use crate::retry::window::Bounds;

/// Section whose presence makes a settings file one of a gateway.
pub const SECTION: &str = "gateway";
/// Hosts assumed while none is known, for shared budgets.
const DEFAULT_HOSTS: usize = 12;
/// Repeats allowed for each request, if the settings do not say.
const DEFAULT_RATIO: f64 = 0.1;
/// Repeats allowed besides, if the settings do not say.
const DEFAULT_SLACK: f64 = 20.0;
/// Length of the window that repeats are counted in, if the settings do not say.
const DEFAULT_WINDOW: Duration = Duration::from_secs(10);
/// Longest time for running requests to finish on shutdown, if the settings do not say.
const DEFAULT_LIMIT: Duration = Duration::from_secs(8);
/// Time that the balancer may take to notice that the host is not ready: two misses of one
/// question a second, and a margin.
const DEFAULT_BALANCER_LAG: Duration = Duration::from_millis(2800);
/// Time for which the right to give orders is granted, if the settings do not say.
const DEFAULT_LEASE: Duration = Duration::from_secs(3);
/// Share of engines that read prompts, if the settings do not say: reading takes two thirds of the
/// engine time that the users' mix asks for (docs/POLICY.md).
const DEFAULT_READ_SHARE: f64 = 0.67;

/// Settings of one gateway process.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the host.
    pub name: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Where callers are served.
    pub listen: SocketAddr,
    /// Where the balancer asks whether the host is ready.
    pub ready_listen: SocketAddr,
    /// Where peers are heard.
    pub peer_listen: SocketAddr,
    /// Where metrics are served; nowhere if absent.
    pub metrics_listen: Option<SocketAddr>,
    /// Where the platform's store is.
    pub store: SocketAddr,
    /// Bounds on repeats, for all hosts together.
    pub retries: Bounds,
    /// Hosts that share budgets until they are known.
    pub hosts_expected: usize,
    /// Time that the balancer may take to notice that the host is not ready.
    pub balancer_lag: Duration,
    /// Longest time for running requests to finish on shutdown.
    pub shutdown_limit: Duration,
    /// Time between orders of two hosts.
    pub lease: Duration,
    /// Share of a service's engines that read prompts for others.
    pub read_share: f64,
}

impl Settings {
    /// Reads settings from INI text, or returns every fault in it.
    ///
    /// ```
    /// use pistachiohall::settings::gateway::Settings;
    /// let text = "[gateway]\nname = n1\ndomain = derby\nlisten = 127.0.0.1:0\n\
    ///     ready_listen = 127.0.0.1:0\npeer_listen = 127.0.0.1:0\nstore = 127.0.0.1:9000\n\
    ///     [repeats]\nratio = 0.2\n";
    /// assert_eq!(Settings::parse("n1.ini", text).unwrap().retries.ratio, 0.2);
    /// let faults = Settings::parse("n1.ini", "[gateway]\nname = n1\nlisten = here\n").unwrap_err();
    /// assert!(faults.to_string().contains("n1.ini:3: `listen` is `here`"));
    /// ```
    ///
    /// # Errors
    ///
    /// Fails with all faults, each with file and line.
    pub fn parse(file: &str, text: &str) -> Result<Self, Faults> {
        let mut source = Source::parse(file, text);
        let name = source.required(SECTION, "name", unit::name);
        let domain = source.required(SECTION, "domain", unit::name);
        let listen = source.required(SECTION, "listen", unit::address);
        let ready_listen = source.required(SECTION, "ready_listen", unit::address);
        let peer_listen = source.required(SECTION, "peer_listen", unit::address);
        let metrics_listen = source.optional(SECTION, "metrics_listen", unit::address);
        let store = source.required(SECTION, "store", unit::address);
        let ratio = source.optional("repeats", "ratio", unit::weight);
        let slack = source.optional("repeats", "slack", unit::weight);
        let window = source.optional("repeats", "window", unit::duration);
        let hosts_expected = source.optional("repeats", "hosts_expected", unit::count);
        let balancer_lag = source.optional("shutdown", "balancer_lag", unit::duration);
        let shutdown_limit = source.optional("shutdown", "limit", unit::duration);
        let lease = source.optional("orders", "lease", unit::duration);
        let read_share = source.optional("orders", "read_share", unit::share);
        source.finish()?;
        Ok(Settings {
            name: name.unwrap_or_default(),
            domain: domain.unwrap_or_default(),
            listen: listen.unwrap_or(unit::UNSPECIFIED),
            ready_listen: ready_listen.unwrap_or(unit::UNSPECIFIED),
            peer_listen: peer_listen.unwrap_or(unit::UNSPECIFIED),
            metrics_listen,
            store: store.unwrap_or(unit::UNSPECIFIED),
            retries: Bounds {
                ratio: ratio.unwrap_or(DEFAULT_RATIO),
                slack: slack.unwrap_or(DEFAULT_SLACK),
                window: window.unwrap_or(DEFAULT_WINDOW),
            },
            hosts_expected: hosts_expected.unwrap_or(DEFAULT_HOSTS),
            balancer_lag: balancer_lag.unwrap_or(DEFAULT_BALANCER_LAG),
            shutdown_limit: shutdown_limit.unwrap_or(DEFAULT_LIMIT),
            lease: lease.unwrap_or(DEFAULT_LEASE),
            read_share: read_share.unwrap_or(DEFAULT_READ_SHARE),
        })
    }
}

/// Returns whether settings text is of a gateway rather than of an entry process.
///
/// ```
/// use pistachiohall::settings::gateway;
/// assert!(gateway::is_gateway("; for all\n[gateway]\n"));
/// assert!(!gateway::is_gateway("[host]\n"));
/// ```
pub fn is_gateway(text: &str) -> bool {
    text.lines().any(|line| line.trim() == "[gateway]")
}
