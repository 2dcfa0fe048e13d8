//! Validated settings of a gateway process, read from an INI file.

use std::net::SocketAddr;
use std::time::Duration;

use super::Faults;
use super::Source;
use super::unit;
use crate::id::DomainId;
use crate::id::HostId;
use crate::platform::duties;
use crate::platform::duties::Duty;
use crate::retry::window::Bounds;
use crate::spill::Terms;

/// Section that marks a settings file as that of a gateway.
pub const SECTION: &str = "gateway";
/// Default number of hosts that share budgets while none is known.
const DEFAULT_EXPECTED_HOSTS: usize = 12;
/// Default number of retries allowed per request.
const DEFAULT_RETRY_RATIO: f64 = 0.1;
/// Default number of retries allowed in addition to the ratio.
const DEFAULT_RETRY_SLACK: f64 = 20.0;
/// Default length of the window in which retries are counted.
const DEFAULT_RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Default maximum time for running requests to finish on shutdown.
const DEFAULT_SHUTDOWN_LIMIT: Duration = Duration::from_secs(8);
/// Default time for the balancer to detect that the host is not ready: two failed checks at one
/// check per second, and a margin.
const DEFAULT_BALANCER_LAG: Duration = Duration::from_millis(2800);
/// Default duration of the lease for giving orders.
const DEFAULT_LEASE: Duration = Duration::from_secs(3);
/// Default share of engines for prefill: prefill takes two thirds of the engine time that the
/// users' mix of requests needs (docs/POLICY.md).
const DEFAULT_PREFILL_SHARE: f64 = 0.67;

/// Default length of the windows for which usage is reported.
const DEFAULT_USAGE_WINDOW: Duration = Duration::from_secs(5);
/// Default time after the end of a window within which its usage has to be reported.
const DEFAULT_USAGE_DUE: Duration = Duration::from_secs(10);
/// Default number of calls to the platform per second, of all hosts together.
const DEFAULT_DUTY_CALLS_PER_S: f64 = 10.0;

/// Default worth of a second of an upstream, in served requests: a request that a caller misses
/// weighs as much as a second of an upstream, which serves many.
const DEFAULT_SECOND_WORTH: f64 = 1.0;

/// Calls to the platform that one host at a time makes for all.
#[derive(Debug, Clone, PartialEq)]
pub struct Duties {
    /// Address of the platform.
    pub address: SocketAddr,
    /// Duties that this deployment has.
    pub perform: Vec<Duty>,
    /// Length of the windows for which usage is reported.
    pub usage_window: Duration,
    /// Time after the end of a window within which its usage has to be reported.
    pub usage_due: Duration,
    /// Number of calls per second that the platform takes from all hosts together.
    pub max_calls_per_s: f64,
}

/// Default of the cost of another failure domain beside its response time: a round trip.
const DEFAULT_CROSS_DOMAIN_COST: Duration = Duration::from_millis(2);

/// How requests to plain services are balanced over all hosts.
#[derive(Debug, Clone, PartialEq)]
pub struct Balance {
    /// Time by which a response from another failure domain has to come sooner than one from the
    /// host's own to be preferred.
    pub cross_domain_cost: Duration,
}

/// Settings of one gateway process.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Name of the host.
    pub name: HostId,
    /// Failure domain of the host.
    pub domain: DomainId,
    /// Address at which callers are served.
    pub listen: SocketAddr,
    /// Address at which the balancer checks whether the host is ready.
    pub ready_listen: SocketAddr,
    /// Address at which datagrams and requests of peers are received.
    pub peer_listen: SocketAddr,
    /// Address at which metrics are served; not served if absent.
    pub metrics_listen: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Bounds on retries, for all hosts together.
    pub retries: Bounds,
    /// Number of hosts assumed to share budgets until they are known.
    pub hosts_expected: usize,
    /// Time for the balancer to detect that the host is not ready.
    pub balancer_lag: Duration,
    /// Maximum time for running requests to finish on shutdown.
    pub shutdown_limit: Duration,
    /// Duration of the lease for giving orders; separates the orders of two hosts.
    pub lease: Duration,
    /// Share of a service's engines that prefill for others.
    pub read_share: f64,
    /// Whether hosts tell one another the paces of engines.
    pub tell_paces: bool,
    /// Whether the engines that change their role are chosen by their paces.
    pub follow_pace: bool,
    /// Balance of plain services over all hosts; `None` if each host goes by its own requests.
    pub balance: Option<Balance>,
    /// What leaving the failure domain has to be worth; `None` if only the way there counts.
    /// Needs `balance`.
    pub spill: Option<Terms>,
    /// Calls to the platform for all hosts; `None` if the deployment has none.
    pub duties: Option<Duties>,
    /// Maximum time after a key was taken away for which requests with it may still run; `None` if
    /// a key is served for as long as no newer configuration is known.
    pub max_revocation: Option<Duration>,
    /// What a second of an upstream whose price is 1 is worth in served requests.
    pub second_worth: f64,
    /// Memory of the host in bytes, a share of which bounds what it holds for others; `None` if it is
    /// not known.
    pub memory: Option<usize>,
}

impl Settings {
    /// Parses settings from INI text, or returns all faults in it.
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
        let tell_paces = source.optional("orders", "tell_paces", unit::flag);
        let follow_pace = source.optional("orders", "follow_pace", unit::flag);
        let platform = source.optional("duties", "address", unit::address);
        let perform = source.optional("duties", "perform", duties::parse);
        let usage_window = source.optional("duties", "usage_window", unit::duration);
        let usage_due = source.optional("duties", "usage_due", unit::duration);
        let max_calls_per_s = source.optional("duties", "max_calls_per_s", unit::weight);
        let max_revocation = source.optional("accounts", "max_revocation", unit::duration);
        let has_balance = source.optional("balance", "enabled", unit::flag);
        let cross_domain_cost = source.optional("balance", "cross_domain_cost", unit::duration);
        let has_spill = source.optional("spill", "enabled", unit::flag);
        let price_per_gib = source.optional("spill", "price_per_gib", unit::duration);
        let second_worth = source.optional("capacity", "second_worth", unit::weight);
        let memory = source.optional("host", "memory", unit::memory);
        source.finish()?;
        let spill = has_spill.unwrap_or(false).then(|| {
            let terms = Terms::default();
            Terms {
                price_per_gib: price_per_gib.unwrap_or(terms.price_per_gib),
                ..terms
            }
        });
        let balance = has_balance.unwrap_or(false).then(|| Balance {
            cross_domain_cost: cross_domain_cost.unwrap_or(DEFAULT_CROSS_DOMAIN_COST),
        });
        let duties = platform.map(|address| Duties {
            address,
            perform: perform.unwrap_or_default(),
            usage_window: usage_window.unwrap_or(DEFAULT_USAGE_WINDOW),
            usage_due: usage_due.unwrap_or(DEFAULT_USAGE_DUE),
            max_calls_per_s: max_calls_per_s.unwrap_or(DEFAULT_DUTY_CALLS_PER_S),
        });
        Ok(Settings {
            name: name.unwrap_or_default(),
            domain: domain.unwrap_or_default(),
            listen: listen.unwrap_or(unit::UNSPECIFIED),
            ready_listen: ready_listen.unwrap_or(unit::UNSPECIFIED),
            peer_listen: peer_listen.unwrap_or(unit::UNSPECIFIED),
            metrics_listen,
            store: store.unwrap_or(unit::UNSPECIFIED),
            retries: Bounds {
                ratio: ratio.unwrap_or(DEFAULT_RETRY_RATIO),
                slack: slack.unwrap_or(DEFAULT_RETRY_SLACK),
                window: window.unwrap_or(DEFAULT_RETRY_WINDOW),
            },
            hosts_expected: hosts_expected.unwrap_or(DEFAULT_EXPECTED_HOSTS),
            balancer_lag: balancer_lag.unwrap_or(DEFAULT_BALANCER_LAG),
            shutdown_limit: shutdown_limit.unwrap_or(DEFAULT_SHUTDOWN_LIMIT),
            lease: lease.unwrap_or(DEFAULT_LEASE),
            read_share: read_share.unwrap_or(DEFAULT_PREFILL_SHARE),
            tell_paces: tell_paces.unwrap_or(false),
            follow_pace: follow_pace.unwrap_or(false),
            balance,
            spill,
            duties,
            max_revocation,
            second_worth: second_worth.unwrap_or(DEFAULT_SECOND_WORTH),
            memory,
        })
    }
}

/// Returns `true` if settings are those of a gateway rather than of an entry process.
///
/// ```
/// use pistachiohall::settings::gateway;
/// assert!(gateway::is_gateway("; for all\n[gateway]\n"));
/// assert!(!gateway::is_gateway("[host]\n"));
/// ```
pub fn is_gateway(text: &str) -> bool {
    text.lines().any(|line| line.trim() == "[gateway]")
}
