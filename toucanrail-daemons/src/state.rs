//! State shared by all parts of the entry: settings, tables and registration.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use event_listener::Event;
use http_types::Response;
use toucanrail::grants::GrantTable;
use toucanrail::ids::{CustomerId, EntryId, RunNumber, ShardName, Tokens};
use toucanrail::limits::LoadLimiter;
use toucanrail::members::MemberTable;
use toucanrail::paths;
use toucanrail::policies::GrantPolicy;
use toucanrail::replays::ReplayTable;
use toucanrail::retries::RetryBudget;
use toucanrail::routing::RoutingPolicy;
use toucanrail::servers::{NodeEntry, NodeRole, ServerTable};
use toucanrail::settings::{SettingRow, SettingValues};
use toucanrail::storecalls;
use toucanrail::traces::TraceTable;
use toucanrail_wire::listeners::ServerLimits;
use toucanrail_wire::responses::{self, ErrorDetails};
use toucanrail_wire::stores::HttpStore;

use crate::fleet_client::FleetClient;
use crate::metrics::ProcessMetrics;
use crate::mirroring::MirrorSet;
use crate::registration;
use crate::starting::{self, CommonSettings, ProcessClock};

/// Settings specific to the entry.
pub const SETTINGS: [SettingRow; 11] = [
    SettingRow {
        name: "inner",
        default: Some("127.0.0.1:0"),
        help: "Address for fleet-internal calls.",
    },
    SettingRow {
        name: "shards",
        default: Some("1"),
        help: "Number of budget shards; must be the same at all entries.",
    },
    SettingRow { name: "grants", default: Some("recall:60"), help: "Grant policy." },
    SettingRow { name: "routing", default: Some("balanced"), help: "Routing policy." },
    SettingRow { name: "flush", default: Some("2s"), help: "Time between settlements." },
    SettingRow { name: "budget-wait", default: Some("1500ms"), help: "Maximum wait for a grant." },
    SettingRow {
        name: "max-head",
        default: Some("8192"),
        help: "Maximum size of a request head in bytes.",
    },
    SettingRow {
        name: "max-body",
        default: Some("1048576"),
        help: "Maximum size of a request body in bytes.",
    },
    SettingRow {
        name: "max-connections",
        default: Some("4096"),
        help: "Maximum number of connections.",
    },
    SettingRow {
        name: "arrival",
        default: Some("10s"),
        help: "Time limit for receiving a request.",
    },
    SettingRow {
        name: "write-idle",
        default: Some("20s"),
        help: "Time limit for a client that reads nothing.",
    },
];

/// Parsed settings of an entry.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Settings shared with agents.
    pub common: CommonSettings,
    /// Listen address for calls from the fleet and from operators.
    pub internal: String,
    /// Number of budget shards; 0 for one shard per customer.
    pub shards: u64,
    /// Policy that sizes grants.
    pub policy: GrantPolicy,
    /// Policy that chooses backend servers.
    pub routing: RoutingPolicy,
    /// Time between settlements.
    pub settlement_interval: Duration,
    /// Maximum time that a request waits for a grant.
    pub budget_wait: Duration,
    /// Limits on callers' connections and requests.
    pub limits: ServerLimits,
}

impl EntrySettings {
    /// Reads the settings; errors are collected in `values`.
    pub fn read(values: &mut SettingValues) -> Self {
        values.parse_with("inner", "an address like 127.0.0.1:7101", |text| {
            text.parse::<SocketAddr>().ok().map(|_| ())
        });
        let policies = "split, fixed:TOKENS, burn:SECONDS or recall:SECONDS";
        let routings = "round-robin, random, least-reported, affinity or balanced";
        Self {
            common: CommonSettings::read(values),
            internal: values.text("inner").to_owned(),
            shards: values.parse("shards", "a number"),
            policy: values.parse_with("grants", policies, GrantPolicy::parse),
            routing: values.parse_with("routing", routings, RoutingPolicy::parse),
            settlement_interval: values.duration("flush"),
            budget_wait: values.duration("budget-wait"),
            limits: ServerLimits {
                max_head: values.parse("max-head", "a number of bytes"),
                max_body: values.parse("max-body", "a number of bytes"),
                max_connections: values.parse("max-connections", "a number"),
                request_timeout: values.duration("arrival"),
                write_timeout: values.duration("write-idle"),
                ..ServerLimits::default()
            },
        }
    }
}

/// Mutable tables of an entry.
#[derive(Debug)]
pub struct EntryTables {
    /// Budget grants held by this entry.
    pub grants: GrantTable,
    /// Known agents and their backend servers.
    pub servers: ServerTable,
    /// Load-based admission of requests.
    pub limits: LoadLimiter,
    /// Budget for retries.
    pub retries: RetryBudget,
    /// Peer entries and VMs.
    pub members: MemberTable,
    /// Requests with an idempotency key, and their stored responses.
    pub replays: ReplayTable,
    /// Traces of recent requests.
    pub traces: TraceTable,
    /// Accounts whose budget did not suffice: until when this holds, and for which amount.
    pub exhausted: BTreeMap<CustomerId, (Duration, Tokens)>,
}

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    /// Identifier of this incarnation.
    pub id: EntryId,
    /// Parsed settings.
    pub settings: EntrySettings,
    /// Time since the start of the process.
    pub clock: ProcessClock,
    /// Client for calls to other processes of the fleet.
    pub client: FleetClient,
    /// The platform's object API.
    pub store: HttpStore,
    /// Local replicas of the catalogue and the registrations.
    pub mirrors: MirrorSet,
    /// Metrics served at `/metrics`.
    pub metrics: ProcessMetrics,
    /// Notified after each sync; wakes the requests that wait for it.
    pub sync_finished: Event,
    /// Notified when a sync is needed early; wakes the settlement loops.
    pub sync_requested: Event,
    internal_address: SocketAddr,
    tables: Mutex<EntryTables>,
    stopping: AtomicBool,
    /// Number of attempts that this entry has started.
    run_count: AtomicU64,
    in_flight: Arc<()>,
}

impl Entry {
    /// Creates an entry with a new incarnation identifier.
    pub fn new(settings: EntrySettings, internal_address: SocketAddr) -> io::Result<Self> {
        let id = starting::new_incarnation(&settings.common.name);
        let tables = EntryTables {
            grants: GrantTable::new(Arc::clone(&id), settings.policy),
            servers: ServerTable::new(),
            limits: LoadLimiter::new(),
            retries: RetryBudget::new(),
            members: MemberTable::new(),
            replays: ReplayTable::new(),
            traces: TraceTable::new(),
            exhausted: BTreeMap::new(),
        };
        Ok(Self {
            id,
            clock: ProcessClock::start(),
            client: FleetClient::new(&settings.common.fleet_key),
            store: HttpStore::new(settings.common.store),
            mirrors: MirrorSet::new(),
            metrics: ProcessMetrics::new("entry").map_err(io::Error::other)?,
            sync_finished: Event::new(),
            sync_requested: Event::new(),
            internal_address: settings.common.advertise.unwrap_or(internal_address),
            tables: Mutex::new(tables),
            stopping: AtomicBool::new(false),
            run_count: AtomicU64::new(0),
            in_flight: Arc::new(()),
            settings,
        })
    }

    /// Locks the tables. The guard must not be held across an await.
    pub fn lock(&self) -> MutexGuard<'_, EntryTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the start of the process.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Tells whether the entry is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Tells whether the catalogue has been read since the start.
    ///
    /// Until then an entry must not serve: it would reject valid keys as unknown and budgets as
    /// exhausted, only because it has not loaded them.
    pub fn is_ready(&self) -> bool {
        self.mirrors.lock().objects.seen() > 0
    }

    /// Begins the shutdown.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns the number of the next attempt among those of this entry.
    pub fn next_run_number(&self) -> RunNumber {
        self.run_count.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Returns a token that delays the shutdown while a request holds it.
    pub fn begin_request(&self) -> Arc<()> {
        Arc::clone(&self.in_flight)
    }

    /// Returns the number of requests in flight.
    pub fn requests_in_flight(&self) -> usize {
        Arc::strong_count(&self.in_flight) - 1
    }

    /// Returns the budget shard of a customer's account.
    pub fn shard_of(&self, customer: &CustomerId) -> ShardName {
        paths::shard_of(customer, self.settings.shards)
    }

    /// Returns this entry's registration.
    pub fn node(&self) -> NodeEntry {
        let common = &self.settings.common;
        NodeEntry {
            id: Arc::clone(&self.id),
            role: NodeRole::Entry,
            address: self.internal_address,
            data_centre: Arc::clone(&common.data_centre),
            vm: Arc::clone(&common.vm),
            service: None,
        }
    }

    /// Writes this entry's registration, or removes it if `present` is false; returns false if
    /// a store call fails.
    pub async fn register(&self, present: bool) -> bool {
        let value = if present { storecalls::encode_value(&self.node()) } else { Vec::new() };
        registration::write_registration(&self.store, &self.id, value).await
    }

    /// Counts a refused request and builds its error response.
    pub fn refuse(&self, error: &ErrorDetails) -> Response {
        self.metrics.count_result(error.code);
        responses::error(error)
    }
}
