//! The configuration of a fleet that reaches its backend servers directly, and the match of a
//! request to its route and customer.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use crate::coldstarts::ColdRule;
use crate::ids::{CustomerId, Region, ServiceName, Tokens, Version};

/// Gap between events at which callers give a stream up, the first event included: the longest of this time
/// and of multiples of the route's hoped-for time and accepted pause.
const EVENT_PATIENCE: Duration = Duration::from_secs(2);
const AIM_PATIENCE: u32 = 4;
const GAP_PATIENCE: u32 = 8;

/// How often a request of a route may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Repeatable,
    /// Runs at most once for each attempt of a caller.
    Once,
    /// A stream of events; where it may be resumed it may also run again.
    Stream {
        /// Whether a broken stream may go on at another server behind its last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Tells whether a request may be sent again although it may have run.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Repeatable | Self::Stream { resumable: true })
    }

    /// Tells whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that a route leads to, with its share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceName,
    /// Its share of the route's requests, against the other targets'.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct RouteRule {
    /// Its name in the configuration.
    pub name: Arc<str>,
    /// The host it belongs to, in lower case.
    pub host: Arc<str>,
    /// Start of the paths it takes; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Where its requests go.
    pub targets: Vec<RouteTarget>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the answer, or to a stream's first event, that callers hope for.
    pub aim: Duration,
    /// Longest pause between a stream's events that callers accept.
    pub gap: Duration,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Most servers that one attempt of a caller is sent to.
    pub attempts: u32,
    /// Whether it needs no key.
    pub public: bool,
    /// The only regions whose servers may run its requests; empty for all.
    pub regions: BTreeSet<Region>,
}

impl RouteRule {
    /// Returns how long a caller of a stream waits for an event before it gives up; the whole time for other
    /// requests.
    pub fn caller_timeout(&self) -> Duration {
        if !self.kind.is_stream() {
            return self.timeout;
        }
        EVENT_PATIENCE.max(self.aim * AIM_PATIENCE).max(self.gap * GAP_PATIENCE)
    }

    /// Picks the service of one request; `dice` in `0..1` spreads requests over the shares.
    pub fn pick_service(&self, dice: f64) -> Option<&ServiceName> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = dice * f64::from(total);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return Some(&target.service);
            }
        }
        self.targets.last().map(|target| &target.service)
    }
}

/// What is known of a model service's engines, the same for all its servers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct EngineSpec {
    /// Sequences in one batch.
    pub slots: u64,
    /// Tokens of memory.
    pub memory: Tokens,
    /// Tokens in one event of a stream.
    pub stride: Tokens,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServiceRule {
    /// Its name.
    pub name: ServiceName,
    /// Path at which a server tells whether it is healthy.
    pub health_path: Arc<str>,
    /// Connections that one of its servers accepts from all callers together.
    pub connections: u32,
    /// Its engines, if it is a model service.
    pub engine: Option<EngineSpec>,
    /// How its servers start, where they are slow at first.
    pub cold: Option<ColdRule>,
}

/// One customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CustomerRule {
    /// Its name.
    pub name: CustomerId,
    /// Keys that its callers may show.
    #[serde(skip)]
    pub keys: BTreeSet<Arc<str>>,
    /// Its rank, which goes before the route's.
    pub priority: Option<u8>,
    /// All tokens it may use; none where its use is not limited.
    pub prepaid: Option<Tokens>,
    /// The only regions whose servers may run its requests; empty for all.
    pub regions: BTreeSet<Region>,
}

/// Bounds on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct CallerBounds {
    /// Largest head, in bytes.
    pub head: usize,
    /// Largest body, in bytes.
    pub body: usize,
    /// Longest arrival of a head.
    pub arrival: Duration,
    /// Longest idle time of a connection.
    pub idle: Duration,
}

impl Default for CallerBounds {
    fn default() -> Self {
        Self {
            head: 16 * 1024,
            body: 4 * 1024 * 1024,
            arrival: Duration::from_secs(3),
            idle: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration, whole.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct FleetConfig {
    /// Its version; a higher one replaces a lower one.
    pub version: Version,
    /// All routes.
    pub routes: Vec<RouteRule>,
    /// All services.
    pub services: Vec<ServiceRule>,
    /// All customers.
    pub customers: Vec<CustomerRule>,
    /// Bounds on callers.
    pub bounds: CallerBounds,
}

/// A customer's row as requests see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CustomerProfile {
    /// The customer.
    pub name: CustomerId,
    /// Its rank, which goes before the route's.
    pub priority: Option<u8>,
    /// All tokens it may use; none where its use is not limited.
    pub prepaid: Option<Tokens>,
    /// The only regions whose servers may run its requests; empty for all.
    pub regions: BTreeSet<Region>,
}

/// Tells whether a route and a customer both let a region's servers run a request.
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
pub fn allows_region(rules: [&BTreeSet<Region>; 2], region: Option<&str>) -> bool {
    let allows = |rule: &&BTreeSet<Region>| {
        rule.is_empty() || region.is_some_and(|region| rule.contains(region))
    };
    rules.iter().all(allows)
}

/// The configuration in force, indexed for requests.
#[derive(Debug, Default)]
pub struct RouteTable {
    version: Version,
    routes: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Arc<RouteRule>>>,
    services: BTreeMap<ServiceName, ServiceRule>,
    keys: BTreeMap<Arc<str>, Arc<CustomerProfile>>,
    customers: BTreeMap<CustomerId, Arc<CustomerProfile>>,
    bounds: CallerBounds,
}

impl RouteTable {
    /// Makes an empty table: no configuration is known yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a configuration; false, and no change, if it is not newer than the one in force.
    ///
    /// Guards against a configuration that reverts: an answer of the store that was under way for
    /// long may carry an older version than one already in force.
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
        let mut table = Self { version: config.version, bounds: config.bounds, ..Self::default() };
        for rule in config.routes {
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
        let facts = CustomerProfile {
            name: Arc::clone(&rule.name),
            priority: rule.priority,
            prepaid: rule.prepaid,
            regions: rule.regions,
        };
        let facts = Arc::new(facts);
        for key in rule.keys {
            self.keys.insert(key, Arc::clone(&facts));
        }
        self.customers.insert(rule.name, facts);
    }

    /// Returns the version in force; 0 while none is known.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the bounds on callers.
    pub fn bounds(&self) -> CallerBounds {
        self.bounds
    }

    /// Returns the route of a request: of those whose prefix begins the path, the longest.
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
        let mut rest = path;
        while let Some(slash) = rest.rfind('/') {
            if let Some(rule) = rules.get(&rest[..=slash]) {
                return Some(rule);
            }
            rest = &rest[..slash];
        }
        None
    }

    /// Returns the customer that holds a key.
    pub fn find_customer(&self, key: &str) -> Option<&Arc<CustomerProfile>> {
        self.keys.get(key)
    }

    /// Tells whether the configuration has customers, so that requests need a key.
    pub fn requires_keys(&self) -> bool {
        !self.customers.is_empty()
    }

    /// Returns all customers.
    pub fn customers(&self) -> impl Iterator<Item = &Arc<CustomerProfile>> {
        self.customers.values()
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        self.services.get(name)
    }

    /// Returns the tokens in one event of a service's streams.
    pub fn tokens_per_event(&self, service: &str) -> u64 {
        let engine = self.service(service).and_then(|service| service.engine.as_ref());
        engine.map_or(1, |engine| engine.stride)
    }

    /// Returns how a service's servers start, where they are slow at first.
    pub fn cold_rule(&self, service: &str) -> Option<ColdRule> {
        self.service(service).and_then(|service| service.cold)
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(BTreeMap::len).sum()
    }
}
