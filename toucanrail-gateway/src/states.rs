//! What all parts of the gateway share.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use event_listener::Event;
use smol::LocalExecutor;
use toucanrail::admissions::{AdmissionLimit, AdmissionQuery};
use toucanrail::backends::{BackendEntry, BackendId, BackendTable, FlightId};
use toucanrail::ids::{EntryId, ServiceName};
use toucanrail::matching::RouteTable;
use toucanrail::probes::{ProbeRow, SlotGauge};
use toucanrail::retries::{RetryBounds, RetryBudget};
use toucanrail_daemons::observing::MetricBoard;
use toucanrail_daemons::starting::ProcessClock;
use toucanrail_platform::names;
use toucanrail_platform::settings::NodeSettings;
use toucanrail_wire::keeping::ChannelPool;

use crate::borrowing::LoanDesk;
use crate::budgeting::BudgetKeeper;
use crate::lending::LoanOffice;
use crate::peering::PeerRests;
use crate::sighting::SightBoard;
use crate::storing::StoreAccess;

/// Part of the fleet's retries that entries divide among themselves. Their windows end at different
/// times, and two of the fleet's windows cover all of them.
const RETRY_PART: f64 = 0.5;
/// Least number of entries that the fleet's reserve of retries is divided by. Entries do not know one
/// another; there are at most as many as relays, one of which stands beside each backend server.
const LEAST_ENTRIES: usize = 4;

/// Silence of the store, with lenders that do not answer, from which an entry is cut off. While the
/// store alone is away lenders answer.
const CUT_LEAST: Duration = Duration::from_millis(200);

/// The tables that decisions read and change.
#[derive(Debug)]
pub struct GatewayTables {
    /// The configuration in force.
    pub routes: RouteTable,
    /// The backend servers.
    pub backends: BackendTable,
    /// Retries, by service.
    pub retries: BTreeMap<ServiceName, RetryBudget>,
    /// Unread work and its limit, by service.
    pub limits: BTreeMap<ServiceName, AdmissionLimit>,
    /// Free places at the servers, by service.
    pub places: BTreeMap<ServiceName, SlotGauge>,
}

/// One running gateway.
#[derive(Debug)]
pub struct Gateway {
    /// Its settings.
    pub settings: NodeSettings,
    /// This run of the process.
    pub id: EntryId,
    /// The platform's store.
    pub store: Rc<StoreAccess>,
    /// Its metrics.
    pub board: MetricBoard,
    /// Runs everything on one thread.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The tables.
    pub tables: RefCell<GatewayTables>,
    /// Kept connections to servers.
    pub channels: ChannelPool,
    /// The time since the start.
    pub clock: ProcessClock,
    /// When it was told to stop.
    pub stopping: Cell<Option<Instant>>,
    /// Whether it admits no request any more.
    pub closed: Cell<bool>,
    /// Whether idle callers' connections are closed.
    pub closes_idle: Cell<bool>,
    /// Requests in flight.
    pub in_flight: Cell<usize>,
    /// Idle callers' connections are to be closed.
    pub leaving: Event,
    /// What it may spend of its own.
    pub keeper: Rc<BudgetKeeper>,
    /// What it knows of lenders.
    pub desk: LoanDesk,
    /// Boards that failed and are passed over.
    pub boards: PeerRests,
    /// Boards that did not hear from the store a moment ago.
    pub stale_boards: PeerRests,
    /// The relay that this entry hosts.
    pub hosted: RefCell<Option<Rc<LoanOffice>>>,
    /// Reports of servers that did not answer.
    pub sights: SightBoard,
}

impl Gateway {
    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Tells whether new callers are welcome.
    ///
    /// Configuration, servers and evacuations are listed by calls at the same time. An entry that is ready
    /// after the first one refuses every request for want of servers until the last one.
    pub fn is_ready(&self) -> bool {
        let tables = self.tables.borrow();
        let informed = tables.routes.version() > 0
            && tables.backends.is_listed()
            && tables.backends.evacuations.is_known();
        informed && self.stopping.get().is_none() && !self.is_cut_off()
    }

    /// Tells whether this entry reaches neither lenders nor, on any way, the store.
    ///
    /// An entry whose VM is cut off from all others can confirm no budget and refuses nearly everything,
    /// while entries beside it serve: the balancer must send new callers there. It is found out by the
    /// loops that follow the store, and ends with their first answer.
    pub fn is_cut_off(&self) -> bool {
        let silent = |kind: &str| self.store.silence(kind) > CUT_LEAST;
        let kinds = [names::CONFIG_KIND, names::SERVER_KIND];
        self.desk.unanswered.get() && kinds.into_iter().all(silent)
    }

    /// Notes a fresh request for a service in its retry budget.
    pub fn note_request(&self, service: &ServiceName) {
        let now = self.now();
        self.with_budget(service, |budget| budget.note_request(now));
    }

    /// Takes a retry out of a service's budget, if there is one.
    pub fn try_retry(&self, service: &ServiceName) -> bool {
        let now = self.now();
        self.with_budget(service, |budget| budget.try_spend(now))
    }

    /// Tells whether a service's budget has a retry left.
    pub fn may_retry(&self, service: &ServiceName) -> bool {
        let now = self.now();
        self.with_budget(service, |budget| budget.may_spend(now))
    }

    /// Tells whether the servers of a service can begin one more request in time.
    pub fn admits(&self, service: &ServiceName, query: AdmissionQuery) -> bool {
        let now = self.now();
        let mut tables = self.tables.borrow_mut();
        let row = tables.limits.entry(Arc::clone(service)).or_default();
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

    /// Tells whether servers of a service are to be asked for their load before a request is placed:
    /// requests wait longer for their first event than they should, and places may be scarce.
    pub fn should_probe(&self, service: &ServiceName) -> bool {
        let now = self.now();
        let tables = self.tables.borrow();
        let places = tables.places.get(service).copied().unwrap_or_default();
        let pressed = tables.limits.get(service).is_some_and(|limit| limit.is_congested(now));
        pressed && places.should_probe(fastrand::f64())
    }

    /// Takes what servers of a service reported.
    pub fn record_reports(&self, service: &ServiceName, probed: &[ProbeRow]) {
        let mut tables = self.tables.borrow_mut();
        tables.places.entry(Arc::clone(service)).or_default().record_reports(probed);
    }

    fn with_budget<Value, Work>(&self, service: &ServiceName, work: Work) -> Value
    where
        Work: FnOnce(&mut RetryBudget) -> Value,
    {
        let bounds = self.retry_bounds();
        let mut tables = self.tables.borrow_mut();
        let budget = tables.retries.entry(Arc::clone(service)).or_default();
        budget.set_bounds(bounds);
        work(budget)
    }

    /// Returns this entry's part of the fleet's retries.
    ///
    /// Before the relays were listed the servers stand in for them: an entry that started in an outage
    /// would take a fourth of the reserve, and so would all others that started with it.
    fn retry_bounds(&self) -> RetryBounds {
        let relays = match self.store.count_relays() {
            0 => self.tables.borrow().backends.rows().count(),
            relays => relays,
        };
        let parts = relays.max(LEAST_ENTRIES) as f64;
        RetryBounds {
            share: self.settings.retry_share * RETRY_PART,
            reserve: self.settings.retry_slack * RETRY_PART / parts,
            window: self.settings.retry_window,
        }
    }
}

/// A request in flight at this gateway; a graceful stop waits for it.
#[derive(Debug)]
pub struct RequestGuard {
    gateway: Rc<Gateway>,
}

impl RequestGuard {
    /// Counts a request.
    pub fn new(gateway: &Rc<Gateway>) -> Self {
        gateway.in_flight.set(gateway.in_flight.get() + 1);
        gateway.board.in_flight.inc();
        Self { gateway: Rc::clone(gateway) }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.gateway.in_flight.set(self.gateway.in_flight.get() - 1);
        self.gateway.board.in_flight.dec();
    }
}

/// A request in flight at a server, taken out of the table however it ends.
#[derive(Debug)]
pub struct FlightGuard {
    gateway: Rc<Gateway>,
    backend: BackendId,
    service: ServiceName,
    number: FlightId,
}

impl FlightGuard {
    /// Guards a flight that was noted.
    pub fn new(gateway: &Rc<Gateway>, target: &BackendEntry, number: FlightId) -> Self {
        let (backend, service) = (Arc::clone(&target.id), Arc::clone(&target.service));
        Self { gateway: Rc::clone(gateway), backend, service, number }
    }

    /// Notes that the answer has begun.
    pub fn note_first_event(&self) {
        let now = self.gateway.now();
        let mut tables = self.gateway.tables.borrow_mut();
        tables.backends.note_first_event(&self.backend, self.number, now);
        if let Some(limit) = tables.limits.get_mut(&self.service) {
            limit.note_first_event(self.number, now);
        }
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let mut tables = self.gateway.tables.borrow_mut();
        tables.backends.note_ended(&self.backend, self.number);
        if let Some(limit) = tables.limits.get_mut(&self.service) {
            limit.note_ended(self.number, now);
        }
    }
}
