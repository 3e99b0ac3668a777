//! Configuration of a fleet that connects to its backend servers directly, and the matching of
//! requests to routes and customers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use crate::coldstarts::ColdRule;
use crate::ids::{CustomerId, Region, ServiceName, Tokens, Version};
use crate::pauses::PauseRule;

/// Minimum time without an event, the first event included, after which callers abandon a stream.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Multiple of a route's latency target after which callers abandon a stream.
const LATENCY_FACTOR: u32 = 4;
/// Multiple of a route's accepted pause between events after which callers abandon a stream.
const GAP_FACTOR: u32 = 8;

/// Whether a request of a route may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum RouteKind {
    /// Idempotent; may run more than once.
    Repeatable,
    /// May run at most once for each attempt of a caller.
    Once,
    /// A stream of events; a resumable stream may also run more than once.
    Stream {
        /// Whether another server may resume a broken stream after its last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request that may have run may be sent again.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Repeatable | Self::Stream { resumable: true })
    }

    /// Returns whether the response is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service to which a route sends a share of its requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Weight of the service relative to the other targets of the route.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RouteRule {
    /// Name of the route in the configuration.
    pub name: Arc<str>,
    /// Host name that requests must have, in lower case.
    pub host: Arc<str>,
    /// Path prefix that requests must have; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Services that requests are sent to.
    pub targets: Vec<RouteTarget>,
    /// Whether requests may run more than once.
    pub kind: RouteKind,
    /// Maximum duration of a request.
    pub timeout: Duration,
    /// Latency target of the response or, for a stream, of its first event.
    #[serde(rename = "aim")]
    pub latency_target: Duration,
    /// Target for the longest pause between the events of a stream.
    #[serde(rename = "gap")]
    pub gap_target: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Maximum number of servers that one attempt of a caller is sent to.
    pub attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Regions whose servers may run the requests; all regions if empty.
    pub regions: BTreeSet<Region>,
}

impl RouteRule {
    /// Returns how long a caller waits before it abandons a request: for a stream the time without
    /// an event, for other requests the total time.
    ///
    /// For a stream this is the longest of a minimum, a multiple of the latency target and a
    /// multiple of the accepted pause between events.
    pub fn caller_timeout(&self) -> Duration {
        if !self.kind.is_stream() {
            return self.timeout;
        }
        MIN_EVENT_TIMEOUT
            .max(self.latency_target * LATENCY_FACTOR)
            .max(self.gap_target * GAP_FACTOR)
    }

    /// Picks the service for a request by weight; `random` is uniform in `0..1`.
    pub fn pick_service(&self, random: f64) -> Option<&ServiceName> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut remaining = random * f64::from(total);
        for target in &self.targets {
            remaining -= f64::from(target.weight);
            if remaining < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| &target.service)
    }
}

/// Engine parameters of a model service, the same for all of its servers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct EngineSpec {
    /// Maximum number of sequences in a batch.
    pub slots: u64,
    /// Number of tokens in one event of a stream.
    #[serde(rename = "stride")]
    pub tokens_per_event: Tokens,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServiceRule {
    /// Name of the service.
    pub name: ServiceName,
    /// Engine parameters, if it is a model service.
    pub engine: Option<EngineSpec>,
    /// Behaviour of its servers after a cold start, if they are slow at first.
    pub cold: Option<ColdRule>,
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CustomerRule {
    /// Name of the customer.
    pub name: CustomerId,
    /// Keys that its callers may use.
    #[serde(skip)]
    pub keys: BTreeSet<Arc<str>>,
    /// Priority of its requests, which overrides the route's.
    pub priority: Option<u8>,
    /// Total number of tokens that it may use; `None` if its use is not limited.
    pub prepaid: Option<Tokens>,
    /// Regions whose servers may run its requests; all regions if empty.
    pub regions: BTreeSet<Region>,
}

/// Limits on requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head: usize,
    /// Maximum size of a request body, in bytes.
    pub body: usize,
    /// Maximum time for a request head to arrive.
    pub arrival: Duration,
    /// Maximum idle time of a connection.
    pub idle: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head: 16 * 1024,
            body: 4 * 1024 * 1024,
            arrival: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}

/// One complete version of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct FleetConfig {
    /// Version number; a higher version replaces a lower one.
    pub version: Version,
    /// All routes.
    pub routes: Vec<RouteRule>,
    /// All services.
    pub services: Vec<ServiceRule>,
    /// All customers.
    pub customers: Vec<CustomerRule>,
    /// Limits on callers.
    #[serde(rename = "bounds")]
    pub limits: CallerLimits,
}

/// The properties of a customer that apply to its requests: a [`CustomerRule`] without its keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CustomerProfile {
    /// Name of the customer.
    pub name: CustomerId,
    /// Priority of its requests, which overrides the route's.
    pub priority: Option<u8>,
    /// Total number of tokens that it may use; `None` if its use is not limited.
    pub prepaid: Option<Tokens>,
    /// Regions whose servers may run its requests; all regions if empty.
    pub regions: BTreeSet<Region>,
}

/// Returns whether the region sets of a route and a customer both allow servers of a region.
///
/// An empty set allows all servers, also those without a known region.
///
/// # Examples
/// ```
/// use std::{collections::BTreeSet, sync::Arc};
/// use toucanrail::matching;
/// let north = BTreeSet::from([Arc::from("north")]);
/// let anywhere = BTreeSet::new();
/// assert!(matching::allows_region([&anywhere, &north], Some("north")));
/// assert!(!matching::allows_region([&anywhere, &north], Some("south")));
/// assert!(!matching::allows_region([&anywhere, &north], None));
/// ```
pub fn allows_region(sets: [&BTreeSet<Region>; 2], region: Option<&str>) -> bool {
    let allows = |set: &&BTreeSet<Region>| {
        set.is_empty() || region.is_some_and(|region| set.contains(region))
    };
    sets.iter().all(allows)
}

/// The configuration in effect, indexed for request lookups.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: Version,
    routes: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Arc<RouteRule>>>,
    services: BTreeMap<ServiceName, ServiceRule>,
    keys: BTreeMap<Arc<str>, Arc<CustomerProfile>>,
    customers: BTreeMap<CustomerId, Arc<CustomerProfile>>,
    limits: CallerLimits,
    longest_timeout: Duration,
    pauses: BTreeMap<ServiceName, PauseRule>,
}

impl RouteTable {
    /// Creates an empty table, for the time before a configuration is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Puts a configuration into effect if it is newer than the current one; returns whether it
    /// was.
    ///
    /// A delayed response of the store may carry an older version than the current one, which must
    /// not be reverted.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::matching::{FleetConfig, RouteTable};
    /// let mut table = RouteTable::new();
    /// assert!(table.apply_config(FleetConfig { version: 7, ..FleetConfig::default() }));
    /// assert!(!table.apply_config(FleetConfig { version: 3, ..FleetConfig::default() }));
    /// assert_eq!(table.version(), 7);
    /// ```
    pub fn apply_config(&mut self, config: FleetConfig) -> bool {
        if config.version <= self.version {
            return false;
        }
        let longest_timeout = config.routes.iter().map(|rule| rule.timeout).max();
        let mut table = Self {
            version: config.version,
            limits: config.limits,
            longest_timeout: self.longest_timeout.max(longest_timeout.unwrap_or_default()),
            ..Self::default()
        };
        for rule in &config.services {
            let tokens_per_event = rule.engine.map_or(1, |engine| engine.tokens_per_event);
            let pause = PauseRule { limit: None, tokens_per_event };
            table.pauses.insert(Arc::clone(&rule.name), pause);
        }
        for rule in config.routes {
            for target in &rule.targets {
                let pause = table.pauses.entry(Arc::clone(&target.service)).or_default();
                pause.add_target(rule.gap_target);
            }
            let host = table.routes.entry(Arc::clone(&rule.host)).or_default();
            host.insert(Arc::clone(&rule.prefix), Arc::new(rule));
        }
        for rule in config.services {
            table.services.insert(Arc::clone(&rule.name), rule);
        }
        for rule in config.customers {
            table.add_customer(rule);
        }
        *self = table;
        true
    }

    fn add_customer(&mut self, rule: CustomerRule) {
        let profile = CustomerProfile {
            name: Arc::clone(&rule.name),
            priority: rule.priority,
            prepaid: rule.prepaid,
            regions: rule.regions,
        };
        let profile = Arc::new(profile);
        for key in rule.keys {
            self.keys.insert(key, Arc::clone(&profile));
        }
        self.customers.insert(rule.name, profile);
    }

    /// Returns the longest timeout of a route in this configuration and those before it.
    pub fn longest_timeout(&self) -> Duration {
        self.longest_timeout
    }

    /// Returns the version in effect; 0 if no configuration is known yet.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the limits on callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the route of a request: the one of the host with the longest prefix of the path.
    ///
    /// Ignores the case and the port of the host.
    ///
    /// # Examples
    /// ```
    /// assert!(toucanrail::matching::RouteTable::new().find_route("a.example", "/x").is_none());
    /// ```
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let rules = match self.routes.get(host) {
            Some(rules) => rules,
            None => self.routes.get(host.to_ascii_lowercase().as_str())?,
        };
        let mut prefix = path;
        while let Some(slash) = prefix.rfind('/') {
            if let Some(rule) = rules.get(&prefix[..=slash]) {
                return Some(rule);
            }
            prefix = &prefix[..slash];
        }
        None
    }

    /// Returns the customer that a key belongs to.
    pub fn find_customer(&self, key: &str) -> Option<&Arc<CustomerProfile>> {
        self.keys.get(key)
    }

    /// Returns whether requests need a key, which is the case if the configuration has customers.
    pub fn requires_keys(&self) -> bool {
        !self.customers.is_empty()
    }

    /// Returns all customers.
    pub fn customers(&self) -> impl Iterator<Item = &Arc<CustomerProfile>> {
        self.customers.values()
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        self.services.get(name)
    }

    /// Returns the number of tokens in one event of a service's streams; 1 if it is not known.
    pub fn tokens_per_event(&self, service: &str) -> u64 {
        let engine = self.service(service).and_then(|service| service.engine.as_ref());
        engine.map_or(1, |engine| engine.tokens_per_event)
    }

    /// Returns the pauses that the streams of a service tolerate, by all routes that lead to it.
    ///
    /// # Examples
    /// ```
    /// assert!(toucanrail::matching::RouteTable::new().pause_rule("llm").limit.is_none());
    /// ```
    pub fn pause_rule(&self, service: &str) -> PauseRule {
        self.pauses.get(service).copied().unwrap_or_default()
    }

    /// Returns the pause rules of all services.
    pub fn pause_rules(&self) -> &BTreeMap<ServiceName, PauseRule> {
        &self.pauses
    }

    /// Returns the cold start behaviour of a service's servers, if they are slow at first.
    pub fn cold_rule(&self, service: &str) -> Option<ColdRule> {
        self.service(service).and_then(|service| service.cold)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(BTreeMap::len).sum()
    }
}
