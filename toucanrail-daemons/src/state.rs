//! What all parts of the entry share: its settings, its tables and its registration.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use event_listener::Event;
use http_types::Response;
use toucanrail::grants::GrantTable;
use toucanrail::ids::{CustomerId, EntryId, ShardName, Tokens};
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

/// Settings of the entry alone.
pub const SETTINGS: [SettingRow; 11] = [
    SettingRow { name: "inner", default: Some("127.0.0.1:0"), help: "Address for the fleet." },
    SettingRow {
        name: "shards",
        default: Some("1"),
        help: "Budget shards; the same at all entries.",
    },
    SettingRow { name: "grants", default: Some("recall:60"), help: "Grant policy." },
    SettingRow { name: "routing", default: Some("balanced"), help: "Routing policy." },
    SettingRow { name: "flush", default: Some("2s"), help: "Time between settlements." },
    SettingRow { name: "budget-wait", default: Some("1500ms"), help: "Longest wait for a grant." },
    SettingRow { name: "max-head", default: Some("8192"), help: "Largest head, in bytes." },
    SettingRow { name: "max-body", default: Some("1048576"), help: "Largest body, in bytes." },
    SettingRow { name: "max-connections", default: Some("4096"), help: "Most connections." },
    SettingRow { name: "arrival", default: Some("10s"), help: "Longest arrival of a request." },
    SettingRow { name: "write-idle", default: Some("20s"), help: "Longest stall of a reader." },
];

/// The entry's settings.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Those that agents have too.
    pub common: CommonSettings,
    /// Where the fleet and the operators reach it.
    pub internal: String,
    /// Budget shards; 0 for one a customer.
    pub shards: u64,
    /// How grants are sized.
    pub policy: GrantPolicy,
    /// How servers are chosen.
    pub routing: RoutingPolicy,
    /// Time between settlements.
    pub settlement_interval: Duration,
    /// Longest wait of a request for its grant.
    pub budget_wait: Duration,
    /// Bounds towards callers.
    pub limits: ServerLimits,
}

impl EntrySettings {
    /// Reads the settings, noting faults.
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

/// The tables of one entry.
#[derive(Debug)]
pub struct EntryTables {
    /// What it may spend.
    pub grants: GrantTable,
    /// The backend servers.
    pub servers: ServerTable,
    /// Requests in flight.
    pub limits: LoadLimiter,
    /// Retries left.
    pub retries: RetryBudget,
    /// The peers and VMs.
    pub members: MemberTable,
    /// Keyed requests.
    pub replays: ReplayTable,
    /// What happened to recent requests.
    pub traces: TraceTable,
    /// Accounts found exhausted: until when, and for which amount.
    pub exhausted: BTreeMap<CustomerId, (Duration, Tokens)>,
}

/// One run of the entry.
#[derive(Debug)]
pub struct Entry {
    /// Its incarnation.
    pub id: EntryId,
    /// Its settings.
    pub settings: EntrySettings,
    /// Its clock.
    pub clock: ProcessClock,
    /// Calls to the fleet.
    pub client: FleetClient,
    /// The platform.
    pub store: HttpStore,
    /// The catalogue and the registrations.
    pub mirrors: MirrorSet,
    /// Its metrics.
    pub metrics: ProcessMetrics,
    /// Wakes requests that wait for a sync.
    pub sync_finished: Event,
    /// Wakes the loops that settle shards.
    pub sync_requested: Event,
    internal_address: SocketAddr,
    tables: Mutex<EntryTables>,
    stopping: AtomicBool,
    in_flight: Arc<()>,
}

impl Entry {
    /// Makes the entry of one run of a process.
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
            in_flight: Arc::new(()),
            settings,
        })
    }

    /// Locks the tables; never across an await.
    pub fn lock(&self) -> MutexGuard<'_, EntryTables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Tells whether it is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Tells whether the catalogue has been read since the start.
    ///
    /// Guards against callers of a new entry who hear that their key is unknown or their budget
    /// spent, only because the entry does not know them yet.
    pub fn is_ready(&self) -> bool {
        self.mirrors.lock().objects.seen() > 0
    }

    /// Begins to stop.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Returns a token that keeps the entry from stopping while a request holds it.
    pub fn begin_request(&self) -> Arc<()> {
        Arc::clone(&self.in_flight)
    }

    /// Returns the number of requests in flight.
    pub fn requests_in_flight(&self) -> usize {
        Arc::strong_count(&self.in_flight) - 1
    }

    /// Returns the shard of a customer's account.
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

    /// Writes or ends this entry's registration.
    pub async fn register(&self, present: bool) -> bool {
        let value = if present { storecalls::encode_value(&self.node()) } else { Vec::new() };
        registration::write_registration(&self.store, &self.id, value).await
    }

    /// Counts a refusal and makes its answer.
    pub fn refuse(&self, note: &ErrorDetails) -> Response {
        self.metrics.count_result(note.code);
        responses::error(note)
    }
}
