//! Routes and services in force, as the operator wrote them last.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;

use crate::id::RouteId;
use crate::id::ServiceId;

/// What kind of answer a route gives, which decides what may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Idempotent; may run any number of times.
    Safe,
    /// Runs at most once for each request.
    Unsafe,
    /// A series of events; idempotent only if the route is resumable.
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

/// A route: which requests it takes, where they go, and what they are owed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: RouteId,
    /// Host name that requests carry.
    pub host: CompactString,
    /// Start of the path, with a slash at both ends.
    pub prefix: CompactString,
    /// Kind of answer.
    pub kind: Kind,
    /// Longest time without a final answer.
    pub timeout: Duration,
    /// Time to the answer, or to a stream's first event, that callers aim for.
    pub target: Duration,
    /// Longest pause between a stream's events that callers aim for.
    pub target_gap: Option<Duration>,
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Services that take the requests.
    pub shares: Vec<Share>,
    /// Upstreams that one request may be sent to.
    pub attempts: u32,
    /// Whether a broken stream may be resumed on another upstream.
    pub resumable: bool,
    /// Whether requests carry the parts of a prompt.
    pub has_prompt: bool,
}

impl Route {
    /// Returns whether a request may be sent again after it may have run.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            Kind::Safe => true,
            Kind::Unsafe => false,
            Kind::Stream => self.resumable,
        }
    }

    /// Returns the service that takes a request, the same for equal `draw`.
    ///
    /// `draw` spreads requests over the shares by weight; any uniform number serves.
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

/// What the engines of a service can do.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Requests that an engine runs at once.
    pub slots: usize,
    /// Tokens that fit in an engine's memory.
    pub kv_capacity_tokens: u64,
    /// How long a prompt read ahead is kept for generation.
    pub handle_ttl: Duration,
    /// How long an engine is away when it changes its role.
    pub switch_time: Duration,
}

/// A service that routes lead to.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ServiceId,
    /// Connections that an upstream accepts from all hosts together.
    pub max_connections: usize,
    /// Path at which an upstream says that it is sound, if there is one.
    pub health_path: Option<CompactString>,
    /// What its engines can do; none for a plain service.
    pub engine: Option<Engine>,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Time after which an idle connection may be closed.
    pub idle: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            idle: Duration::from_secs(15),
        }
    }
}

/// Version of a configuration; grows in uneven steps.
pub type Version = u64;

/// One configuration, whole and immutable.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Catalog {
    version: Version,
    routes: HashMap<(CompactString, CompactString), Arc<Route>>,
    services: HashMap<ServiceId, Arc<Service>>,
    limits: Limits,
}

impl Catalog {
    /// Builds a configuration from its parts.
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
            limits,
        }
    }

    /// Returns the version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the bounds on what callers may send.
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

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values()
    }

    /// Returns the route with the longest prefix of `path` among those of `host`.
    ///
    /// A port in `host` is ignored, and so is its case. Costs one lookup for each slash.
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
