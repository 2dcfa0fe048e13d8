//! Active routes and services, as last configured by the operator.

mod account;
mod finding;

pub use self::account::Account;
pub use self::account::Accounts;
pub use self::account::KeyDigest;
pub use self::finding::Finding;
pub use self::finding::Level;
pub use self::finding::Place;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;

use crate::id::DomainId;
use crate::id::RouteId;
use crate::id::ServiceId;

/// Kind of response of a route; determines which requests may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent; may run any number of times.
    Safe,
    /// Runs at most once for each request.
    Unsafe,
    /// A stream of events; idempotent only if the route is resumable.
    Stream,
}

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// Service.
    pub service: ServiceId,
    /// Weight among the shares of the route.
    pub weight: u32,
}

/// A route: the requests that it matches, the services that take them, and their latency targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: RouteId,
    /// Host name in requests.
    pub host: CompactString,
    /// Prefix of the path, with a slash at both ends.
    pub prefix: CompactString,
    /// Kind of response.
    pub kind: Kind,
    /// Maximum time until the response is complete.
    pub timeout: Duration,
    /// Target time to the response, or to the first event of a stream.
    pub target_latency: Duration,
    /// Target for the maximum time between events of a stream.
    pub target_gap: Option<Duration>,
    /// Urgency; 0 is the most urgent.
    pub priority: u8,
    /// Services that take the requests.
    pub shares: Vec<Share>,
    /// Maximum number of upstreams to which one request is sent.
    pub max_attempts: u32,
    /// `true` if an interrupted stream may be resumed on another upstream.
    pub is_resumable: bool,
    /// `true` if requests list the blocks of a prompt.
    pub has_prompt: bool,
    /// `true` if requests need no key, even if the configuration has client accounts.
    pub is_public: bool,
}

impl Route {
    /// Returns `true` if a request may be sent again after it may have run.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            Kind::Safe => true,
            Kind::Unsafe => false,
            Kind::Stream => self.is_resumable,
        }
    }

    /// Returns the service that takes a request; equal values of `draw` give the same service.
    ///
    /// `draw` is a uniformly distributed number; it distributes requests over the shares by weight.
    pub fn service(&self, draw: u64) -> Option<&ServiceId> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut point = draw % total.max(1);
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
        }
        None
    }
}

/// Properties of the engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Maximum number of concurrent requests of an engine.
    pub slots: usize,
    /// Capacity of an engine's KV cache, in tokens.
    pub kv_capacity_tokens: u64,
    /// Time for which the KV cache behind a handle is kept for decode.
    pub handle_ttl: Duration,
    /// Time for which an engine is unavailable when it changes its role.
    pub switch_duration: Duration,
    /// Size of a token's KV cache, in bytes; `None` if it is not known.
    pub kv_token_bytes: Option<u64>,
}

/// Range within which the number of a service's upstreams may be changed, and what they cost.
#[derive(Debug, Clone, PartialEq)]
pub struct Scale {
    /// Minimum number of upstreams in a failure domain, of both kinds together.
    pub min: usize,
    /// Maximum number of upstreams in a failure domain, of both kinds together.
    pub max: usize,
    /// Time from the order until a new upstream serves.
    pub boot_duration: Duration,
    /// Price of an upstream that may be withdrawn, relative to one that may not; `None` if there
    /// are no such upstreams.
    pub spot_price: Option<f64>,
    /// Price of a second of an upstream that may not be withdrawn, by failure domain.
    pub domain_prices: BTreeMap<DomainId, f64>,
}

/// A service that takes requests of routes.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Maximum number of connections that an upstream accepts from all hosts together.
    pub max_connections: usize,
    /// Path of the upstreams' health check, if there is one.
    pub health_path: Option<CompactString>,
    /// Properties of its engines; `None` for a plain service.
    pub engine: Option<Engine>,
    /// Range for the number of its upstreams; `None` if the number is fixed.
    pub scale: Option<Scale>,
}

/// Limits for callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time after which an idle connection may be closed.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Entry of a client account.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountDraft {
    /// Account.
    pub account: Account,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
}

/// A configuration as it was written, with its entries in order.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Draft {
    /// Version.
    pub version: Version,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services.
    pub services: Vec<Service>,
    /// Limits for callers.
    pub limits: Limits,
    /// Client accounts; `None` if no request needs a key.
    pub accounts: Option<Vec<AccountDraft>>,
    /// Faults found while it was decoded; it is served without the faulty parts.
    pub faults: Vec<Finding>,
}

/// Version of a configuration; increases, but not always by one.
pub type Version = u64;

/// One complete, immutable configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Catalog {
    version: Version,
    routes: HashMap<(CompactString, CompactString), Arc<Route>>,
    services: HashMap<ServiceId, Arc<Service>>,
    /// Services that take streams which may be resumed.
    resumable_services: HashSet<ServiceId>,
    limits: Limits,
    accounts: Option<Arc<Accounts>>,
    faults: Arc<[Finding]>,
}

impl Catalog {
    /// Builds a configuration from its routes, services and limits.
    ///
    /// ```
    /// use pistachiohall::catalog::{Catalog, Limits};
    /// let catalog = Catalog::new(7, Vec::new(), Vec::new(), Limits::default());
    /// assert_eq!(catalog.version(), 7);
    /// assert!(catalog.route("a.example", "/x/").is_none());
    /// ```
    pub fn new(
        version: Version,
        routes: Vec<Route>,
        services: Vec<Service>,
        limits: Limits,
    ) -> Self {
        let resumable = routes.iter().filter(|route| route.is_resumable);
        let resumable_services = resumable
            .flat_map(|route| &route.shares)
            .map(|share| share.service.clone())
            .collect();
        let routes = routes.into_iter().map(|route| {
            let key = (route.host.to_lowercase(), route.prefix.clone());
            (key, Arc::new(route))
        });
        let services = services
            .into_iter()
            .map(|service| (service.name.clone(), Arc::new(service)));
        Catalog {
            version,
            routes: routes.collect(),
            services: services.collect(),
            resumable_services,
            limits,
            accounts: None,
            faults: Arc::default(),
        }
    }

    /// Builds a configuration from its draft.
    pub fn from_draft(draft: Draft) -> Self {
        let catalog = Catalog::new(draft.version, draft.routes, draft.services, draft.limits);
        let catalog = catalog.with_faults(draft.faults);
        let Some(entries) = draft.accounts else {
            return catalog;
        };
        let mut accounts = Accounts::default();
        for entry in entries {
            accounts.add(entry.account, entry.keys);
        }
        catalog.with_accounts(accounts)
    }

    /// Sets the client accounts; without them, no request needs a key.
    pub fn with_accounts(self, accounts: Accounts) -> Self {
        Catalog {
            accounts: Some(Arc::new(accounts)),
            ..self
        }
    }

    /// Sets the faults of the configuration, for its operator.
    pub fn with_faults(self, faults: Vec<Finding>) -> Self {
        Catalog {
            faults: faults.into(),
            ..self
        }
    }

    /// Returns the faults of the configuration, which is served without the faulty parts.
    pub fn faults(&self) -> &[Finding] {
        &self.faults
    }

    /// Returns the client accounts; `None` if no request needs a key.
    pub fn accounts(&self) -> Option<&Arc<Accounts>> {
        self.accounts.as_ref()
    }

    /// Returns the version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the limits for callers.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns `true` if a service takes streams that may be resumed.
    ///
    /// ```
    /// use pistachiohall::catalog::{Catalog, Limits};
    /// let catalog = Catalog::new(7, Vec::new(), Vec::new(), Limits::default());
    /// assert!(!catalog.has_resumable_streams("lm"));
    /// ```
    pub fn has_resumable_streams(&self, service: &str) -> bool {
        self.resumable_services.contains(service)
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values()
    }

    /// Returns the route with the longest prefix of `path` among those of `host`.
    ///
    /// Ignores a port in `host`, and its case. Costs one lookup for each slash in `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let mut key = (
            CompactString::from(name).to_lowercase(),
            CompactString::default(),
        );
        let slashes = path.bytes().enumerate().rev();
        for (index, _) in slashes.filter(|(_, byte)| *byte == b'/') {
            key.1 = path[..=index].into();
            if let Some(route) = self.routes.get(&key) {
                return Some(route);
            }
        }
        None
    }
}
