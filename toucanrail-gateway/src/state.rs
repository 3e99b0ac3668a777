//! State shared by all parts of the gateway.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use event_listener::Event;
use smol::LocalExecutor;
use toucanrail::admissions::{AdmissionLimit, AdmissionQuery};
use toucanrail::backends::{BackendEntry, BackendTable, FlightId};
use toucanrail::endpoints::RelayName;
use toucanrail::holds::HoldTable;
use toucanrail::ids::{EntryId, ServiceName};
use toucanrail::matching::RouteTable;
use toucanrail::origins::OriginTable;
use toucanrail::permit_relays::RelayFailures;
use toucanrail::probes::{ProbeRow, SlotGauge};
use toucanrail::relay_backoffs::BackoffTable;
use toucanrail::remote_placement::{CostComparison, OffloadShare, RemoteCosts, RemoteTerms};
use toucanrail::response_sizes::ResponseSizes;
use toucanrail::retries::{RetryBudget, RetryLimits};
use toucanrail::statements::ServerProcess;
use toucanrail_daemons::metrics::ProcessMetrics;
use toucanrail_daemons::starting::ProcessClock;
use toucanrail_platform::names;
use toucanrail_platform::requests::ResponseInfo;
use toucanrail_platform::settings::NodeSettings;
use toucanrail_wire::keepalive::KeepAlivePool;

use crate::buffers::SharedBudget;
use crate::grant_manager::GrantManager;
use crate::link_admission::LinkAdmission;
use crate::link_load::LinkLoad;
use crate::liveness::CachedReport;
use crate::loan_client::LoanClient;
use crate::origin_notes::NoteSender;
use crate::origin_store::OriginReader;
use crate::recorded_versions::VersionRecorder;
use crate::relay_api::RelayApi;
use crate::relay_checks::{self, RelayChecker};
use crate::server_cache::ServerCache;
use crate::server_ends::ProbeResult;
use crate::store_access::StoreAccess;
use crate::suspect_reports::{self, SuspectReporter};

/// Fraction of the fleet's retry limits that is divided among entries. The entries' windows are not
/// aligned with those of the fleet; two of the fleet's windows cover them all, hence one half.
const FLEET_RETRY_FRACTION: f64 = 0.5;
/// Minimum number of entries that the fleet's retry reserve is divided by. Entries do not know
/// about each other; there are at most as many as relays, one of which runs beside each backend
/// server.
const MIN_ENTRY_COUNT: usize = 4;

/// Age of the listing of servers from which this entry may lack a software version that others use. A
/// watch that sees no change is answered more often.
const MAX_LISTING_AGE: Duration = Duration::from_secs(2);
/// Added to the longest timeout of a route: callers count their time from before it arrives.
const LIFETIME_MARGIN: Duration = Duration::from_secs(2);
/// Time without contact with the store, while lenders do not respond either, after which an entry
/// is considered isolated. If only the store is unavailable, lenders still respond.
const ISOLATION_THRESHOLD: Duration = Duration::from_millis(200);

/// Tables that decisions read and update.
#[derive(Debug)]
pub struct GatewayTables {
    /// Configuration in force.
    pub routes: RouteTable,
    /// Known backend servers.
    pub backends: BackendTable,
    /// Retry budgets by service.
    pub retries: BTreeMap<ServiceName, RetryBudget>,
    /// Requests that wait for their first event, and the limit on them, by service.
    pub limits: BTreeMap<ServiceName, AdmissionLimit>,
    /// Estimates of free slots at the servers, by service.
    pub free_slots: BTreeMap<ServiceName, SlotGauge>,
    /// Fractions of requests for which all servers of other data centres are candidates, by
    /// service.
    pub offloads: BTreeMap<ServiceName, OffloadShare>,
    /// Sizes of complete responses, by route; recorded only where settings state what other data
    /// centres cost.
    pub response_sizes: ResponseSizes,
    /// Origins of the streams that began here or were taken up here.
    pub origins: OriginTable,
    /// Requests that are held back because servers ended under them.
    pub holds: HoldTable,
}

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    /// Settings of this node.
    pub settings: NodeSettings,
    /// Id of this process, unique to each start.
    pub id: EntryId,
    /// Access to the platform's store.
    pub store: Rc<StoreAccess>,
    /// Metrics registry.
    pub metrics: ProcessMetrics,
    /// Runs all tasks on a single thread.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Tables that decisions read and update.
    pub tables: RefCell<GatewayTables>,
    /// Pool of connections to backend servers and relays.
    pub connections: KeepAlivePool,
    /// Clock that starts with the process.
    pub clock: ProcessClock,
    /// Time of the stop signal.
    pub stop_requested: Cell<Option<Instant>>,
    /// Whether new requests are no longer admitted.
    pub admission_closed: Cell<bool>,
    /// Whether idle caller connections are closed.
    pub close_idle: Cell<bool>,
    /// Number of requests in flight.
    pub in_flight: Cell<usize>,
    /// Number of callers' connections.
    pub caller_connections: Cell<usize>,
    /// Notified when idle caller connections should close.
    pub close_idle_event: Event,
    /// The entry's own budget grants.
    pub grant_manager: Rc<GrantManager>,
    /// State of loans from lenders.
    pub loan_client: LoanClient,
    /// Which relays respond.
    pub relay_checker: RelayChecker,
    /// Relays whose boards failed recently; not queried until their backoff ends.
    pub failed_boards: RefCell<BackoffTable>,
    /// Boards that recently had no fresh data of a kind from the store, by relay and kind.
    pub stale_boards: RefCell<BackoffTable>,
    /// Relay hosted by this entry, if any.
    pub hosted_relay: RefCell<Option<Rc<RelayApi>>>,
    /// Recent load reports of servers.
    pub load_reports: ServerCache<CachedReport>,
    /// Recent checks whether servers have ended.
    pub server_probes: ServerCache<ProbeResult>,
    /// Relays that did not respond to permit requests.
    pub permit_failures: RefCell<RelayFailures>,
    /// Sends the origins of streams to relays.
    pub note_sender: NoteSender,
    /// Has new versions of servers recorded in the store.
    pub version_recorder: VersionRecorder,
    /// Reads those that relays have written to the store.
    pub origin_reader: OriginReader,
    /// Tells relays under which requests servers ended.
    pub suspect_reporter: SuspectReporter,
    /// Bytes held for callers.
    pub memory: SharedBudget,
    /// Load of this VM's network link.
    pub link: LinkLoad,
    /// Share of the link that callers' requests may use.
    pub link_admission: LinkAdmission,
    /// Costs of servers in other data centres; `None` if no settings state them.
    pub remote_costs: Option<RemoteCosts>,
}

impl Gateway {
    /// Returns the time since the process started.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns whether the balancer should send new callers to this entry.
    ///
    /// Configuration, servers and evacuations are listed by concurrent calls. An entry that
    /// reported ready after the first of them would refuse every request for lack of servers until
    /// the last one completes. One that did not know yet what relays hold back would send requests
    /// under which servers have ended.
    pub fn is_ready(&self) -> bool {
        let tables = self.tables.borrow();
        let is_informed = tables.routes.version() > 0
            && tables.backends.is_listed()
            && tables.backends.evacuations.is_known()
            && suspect_reports::is_informed(self)
            && relay_checks::is_searched(self);
        let has_room = self.settings.limits.has_room(self.caller_connections.get());
        let is_available = has_room && !self.is_isolated() && !self.link.is_away(self.now());
        is_informed && self.stop_requested.get().is_none() && is_available
    }

    /// Returns whether this entry reaches neither lenders nor the store, directly or through a
    /// relay.
    ///
    /// An entry whose VM is cut off from all others cannot confirm budgets and refuses nearly every
    /// request, while other entries can still serve: the balancer must send new callers there. The
    /// state is detected by the tasks that watch the store and ends with their first successful
    /// call.
    pub fn is_isolated(&self) -> bool {
        let is_unanswered = |kind: &str| self.store.unanswered_for(kind) > ISOLATION_THRESHOLD;
        let kinds = [names::CONFIG_KIND, names::SERVER_KIND];
        self.loan_client.lenders_unreachable.get() && kinds.into_iter().all(is_unanswered)
    }

    /// Returns the lenders of this region that respond, or all if none does.
    pub fn working_lenders(&self) -> Vec<(RelayName, SocketAddr)> {
        self.relay_checker.health().working(
            self.store.lenders(),
            |(_, address)| *address,
            self.now(),
        )
    }

    /// Returns the load of the entry's link, as a fraction of its capacity, to judge whether it delays
    /// the entry's own calls; zero without a share for callers' requests.
    pub fn delaying_load(&self) -> f64 {
        if self.link_admission.is_enabled() { self.link.load() } else { 0.0 }
    }

    /// Returns whether this entry hears of changes of the servers.
    pub fn lists_servers(&self) -> bool {
        self.store.unanswered_for(names::SERVER_KIND) <= MAX_LISTING_AGE
    }

    /// Returns the longest time from a stream's first event in which its caller may take it up.
    pub fn stream_lifetime(&self) -> Duration {
        self.tables.borrow().routes.longest_timeout() + LIFETIME_MARGIN
    }

    /// Records a new request, as opposed to a retry, in the retry budget of a service.
    pub fn record_new_request(&self, service: &ServiceName) {
        let now = self.now();
        self.with_retry_budget(service, |budget| budget.record_request(now));
    }

    /// Takes one retry from the budget of a service, if one is left.
    pub fn try_spend_retry(&self, service: &ServiceName) -> bool {
        let now = self.now();
        self.with_retry_budget(service, |budget| budget.try_spend(now))
    }

    /// Returns whether the budget of a service has a retry left.
    pub fn may_retry(&self, service: &ServiceName) -> bool {
        let now = self.now();
        self.with_retry_budget(service, |budget| budget.may_spend(now))
    }

    /// Returns whether the servers of a service can start one more request in time.
    pub fn admits(&self, service: &ServiceName, query: AdmissionQuery) -> bool {
        let now = self.now();
        let mut tables = self.tables.borrow_mut();
        let row = tables.limits.entry(Arc::clone(service)).or_default();
        row.record_link_load(self.delaying_load());
        let admits = row.admits(query, now);
        if !admits {
            let (waiting, limit) = row.waiting();
            tracing::info!(
                event = "load_refused", %service, waiting, limit, rank = query.rank,
                returned = query.returned,
            );
        }
        admits
    }

    /// Returns whether [`admits`](Self::admits) would admit a request now, and changes nothing.
    pub fn would_admit(&self, service: &ServiceName, query: AdmissionQuery) -> bool {
        let mut row = self.tables.borrow().limits.get(service).cloned().unwrap_or_default();
        row.record_link_load(self.delaying_load());
        row.admits(query, self.now())
    }

    /// Returns whether load reports should be requested before a request is placed: requests wait
    /// too long for their first event, and free slots may be scarce. `random` is in `0..1`.
    pub fn should_probe(&self, service: &ServiceName, random: f64) -> bool {
        let now = self.now();
        let tables = self.tables.borrow();
        let free_slots = tables.free_slots.get(service).copied().unwrap_or_default();
        let pressed = tables.limits.get(service).is_some_and(|limit| limit.is_congested(now));
        pressed && free_slots.should_probe(random)
    }

    /// Records the load reports of servers of a service; those of single servers only where settings
    /// state what other data centres cost.
    pub fn record_reports(&self, service: &ServiceName, probed: &[ProbeRow]) {
        let now = self.now();
        let mut tables = self.tables.borrow_mut();
        tables.free_slots.entry(Arc::clone(service)).or_default().record_reports(probed);
        if self.remote_costs.is_none() {
            return;
        }
        for (entry, report) in probed {
            if let Some(report) = report {
                tables.backends.record_report(&entry.id, report, now);
            }
        }
    }

    /// Returns how a request may use servers of other data centres. `body` is its size in bytes, and
    /// `draw` its random number in `0..1`.
    pub fn remote_terms(
        &self,
        service: &ServiceName,
        route: &Arc<str>,
        body: usize,
        draw: f64,
    ) -> RemoteTerms {
        let Some(costs) = self.remote_costs else {
            return RemoteTerms::default();
        };
        let tables = self.tables.borrow();
        let response = tables.response_sizes.expected(route).map_or(0, |bytes| bytes as u64);
        RemoteTerms {
            cost: costs.request_cost((body as u64).saturating_add(response)),
            are_candidates: tables.offloads.get(service).is_some_and(|share| share.includes(draw)),
            are_compared: true,
        }
    }

    /// Updates a service's share of requests that may leave the data centre, from the costs of the
    /// servers for one request.
    pub fn record_costs(&self, service: &ServiceName, costs: CostComparison, now: Duration) {
        let mut tables = self.tables.borrow_mut();
        let share = tables.offloads.entry(Arc::clone(service)).or_default();
        if share.record_costs(costs, now) {
            tracing::info!(
                event = "offload_share", %service, share = share.share(), local_ms = costs.local,
                remote_ms = costs.remote,
            );
        }
    }

    /// Records the size of a complete response of a route, in bytes.
    pub fn record_response_size(&self, route: &Arc<str>, bytes: u64) {
        if self.remote_costs.is_some() {
            self.tables.borrow_mut().response_sizes.record_response(route, bytes);
        }
    }

    /// Counts a request that is sent to a server, by whether it leaves the data centre.
    pub fn count_site(&self, target: &BackendEntry) {
        if self.remote_costs.is_some() {
            let is_local = target.data_centre == self.settings.data_centre;
            self.metrics.count_event(if is_local { "sent_local" } else { "sent_remote" });
        }
    }

    fn with_retry_budget<Value, Work>(&self, service: &ServiceName, work: Work) -> Value
    where
        Work: FnOnce(&mut RetryBudget) -> Value,
    {
        let limits = self.retry_limits();
        let mut tables = self.tables.borrow_mut();
        let budget = tables.retries.entry(Arc::clone(service)).or_default();
        budget.set_limits(limits);
        work(budget)
    }

    /// Returns this entry's share of the fleet's retry limits.
    ///
    /// Until the relays have been listed, the number of servers is used in place of theirs.
    /// Otherwise each entry that starts during an outage would take a quarter of the reserve.
    fn retry_limits(&self) -> RetryLimits {
        let relays = match self.store.relay_count() {
            0 => self.tables.borrow().backends.rows().count(),
            relays => relays,
        };
        let parts = relays.max(MIN_ENTRY_COUNT) as f64;
        RetryLimits {
            share: self.settings.retry_share * FLEET_RETRY_FRACTION,
            reserve: self.settings.retry_reserve * FLEET_RETRY_FRACTION / parts,
            window: self.settings.retry_window,
        }
    }
}

/// Counts a request as in flight at this gateway; a graceful stop waits for it.
#[derive(Debug)]
pub struct RequestGuard {
    gateway: Rc<Gateway>,
}

impl RequestGuard {
    /// Starts counting a request.
    pub fn new(gateway: &Rc<Gateway>) -> Self {
        gateway.in_flight.set(gateway.in_flight.get() + 1);
        gateway.metrics.in_flight.inc();
        Self { gateway: Rc::clone(gateway) }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.gateway.in_flight.set(self.gateway.in_flight.get() - 1);
        self.gateway.metrics.in_flight.dec();
    }
}

/// Counts a caller's connection.
#[derive(Debug)]
pub struct ConnectionGuard {
    gateway: Rc<Gateway>,
}

impl ConnectionGuard {
    /// Starts counting a connection.
    pub fn new(gateway: &Rc<Gateway>) -> Self {
        gateway.caller_connections.set(gateway.caller_connections.get() + 1);
        Self { gateway: Rc::clone(gateway) }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.gateway.caller_connections.set(self.gateway.caller_connections.get() - 1);
    }
}

/// Keeps a request registered as in flight at a server until dropped.
#[derive(Debug)]
pub struct FlightGuard {
    gateway: Rc<Gateway>,
    process: ServerProcess,
    service: ServiceName,
    number: FlightId,
    sent_at: Duration,
}

impl FlightGuard {
    /// Creates the guard of a registered request.
    pub fn new(
        gateway: &Rc<Gateway>,
        target: &BackendEntry,
        number: FlightId,
        sent_at: Duration,
    ) -> Self {
        let (process, service) = (target.process(), Arc::clone(&target.service));
        Self { gateway: Rc::clone(gateway), process, service, number, sent_at }
    }

    /// Records that the response has started.
    pub fn record_response_start(&self) {
        let now = self.gateway.now();
        let mut tables = self.gateway.tables.borrow_mut();
        tables.backends.record_first_event(&self.process.id, self.number, now);
        if let Some(limit) = tables.limits.get_mut(&self.service) {
            limit.record_first_event(self.number, now);
        }
    }

    /// Records that the server has sent an event, or a whole response.
    pub fn record_success(&self) {
        let now = self.gateway.now();
        self.gateway.tables.borrow_mut().backends.record_success(&self.process.id, now);
    }

    /// Records that the server has sent bytes that are no response.
    pub fn record_malformed(&self) {
        let now = self.gateway.now();
        let mut tables = self.gateway.tables.borrow_mut();
        if let Some(limit) = tables.limits.get_mut(&self.service) {
            limit.record_malformed(self.number, now);
        }
    }

    /// Records what the server states in the head of its response.
    pub fn record_statements(&self, info: &ResponseInfo) {
        let now = self.gateway.now();
        let mut tables = self.gateway.tables.borrow_mut();
        let statements = tables.backends.statements_mut(&self.process);
        if let Some(rest) = info.rest {
            statements.record_rest(rest, now);
        }
        let server = &self.process.id;
        // A failure may come from something in front of the server, which knows no limit.
        let tells_limit = info.rate_limit.is_some() || info.signed;
        if tells_limit && statements.record_rate_limit(info.rate_limit, self.sent_at, now) {
            tracing::info!(event = "rate_limit", %server, rate = info.rate_limit);
        }
        if info.leaving && !std::mem::replace(&mut statements.is_leaving, true) {
            self.gateway.connections.evict(server);
            tracing::info!(event = "server_leaving", %server);
        }
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let mut tables = self.gateway.tables.borrow_mut();
        tables.backends.record_ended(&self.process.id, self.number);
        if let Some(limit) = tables.limits.get_mut(&self.service) {
            limit.record_ended(self.number, now);
        }
    }
}
