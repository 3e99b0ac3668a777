//! What all parts of the gateway share.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use event_listener::Event;
use smol::LocalExecutor;
use toucanrail::backends::{BackendId, BackendTable, FlightId};
use toucanrail::budgets::BillRow;
use toucanrail::grants::{GrantHold, GrantTable};
use toucanrail::ids::{CustomerId, EntryId, RequestId, ServiceName, ShardName, Tokens};
use toucanrail::matching::RouteTable;
use toucanrail::retries::RetryBudget;
use toucanrail_daemons::observing::MetricBoard;
use toucanrail_daemons::starting::ProcessClock;
use toucanrail_platform::settings::NodeSettings;
use toucanrail_wire::keeping::ChannelPool;

use crate::storing::StoreAccess;
use crate::tuning::GatewayTuning;

/// Part of the fleet's retries that entries divide among themselves; the rest covers entries that
/// another does not know of yet.
const RETRY_PART: f64 = 0.6;
/// Entries that are assumed before the store names them.
const LEAST_ENTRIES: usize = 4;

/// The tables that decisions read and change.
#[derive(Debug)]
pub struct GatewayTables {
    /// The configuration in force.
    pub routes: RouteTable,
    /// The backend servers.
    pub backends: BackendTable,
    /// What this entry may spend.
    pub grants: GrantTable,
    /// Retries, by service.
    pub retries: BTreeMap<ServiceName, RetryBudget>,
}

/// One running gateway.
#[derive(Debug)]
pub struct Gateway {
    /// Its settings.
    pub settings: NodeSettings,
    /// Its own settings.
    pub tuning: GatewayTuning,
    /// This run of the process.
    pub id: EntryId,
    /// The platform's store.
    pub store: StoreAccess,
    /// Its metrics.
    pub board: MetricBoard,
    /// Runs everything on one thread.
    pub executor: LocalExecutor<'static>,
    /// The tables.
    pub tables: RefCell<GatewayTables>,
    /// Kept connections to servers.
    pub channels: ChannelPool,
    /// The time since the start.
    pub clock: ProcessClock,
    /// When it was told to stop.
    pub stopping: Cell<Option<Instant>>,
    /// Whether idle callers' connections are closed.
    pub closes_idle: Cell<bool>,
    /// Whether its grants have gone back; none are taken any more.
    pub gives_up_grants: Cell<bool>,
    /// Customers whose grant could not be had just now: until when, from which amount on, and whether
    /// the balance provably does not cover it.
    pub short: RefCell<BTreeMap<CustomerId, (Duration, Tokens, bool)>>,
    /// Requests in flight.
    pub in_flight: Cell<usize>,
    /// Last answer of the store to anything.
    pub store_heard: Cell<Option<Duration>>,
    /// Uses of the store whose last call had no answer.
    pub store_silent: RefCell<BTreeSet<&'static str>>,
    /// Idle callers' connections are to be closed.
    pub leaving: Event,
    /// A request waits for a grant.
    pub wanted: Event,
    /// A sync has ended.
    pub synced: Event,
    /// Shards whose sync runs; two at a time would take each other's outcome.
    pub syncing: RefCell<BTreeSet<ShardName>>,
    /// When each shard's last sync began.
    pub synced_at: RefCell<BTreeMap<ShardName, Duration>>,
}

impl Gateway {
    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the time since the store last answered.
    pub fn store_age(&self) -> Duration {
        self.now().saturating_sub(self.store_heard.get().unwrap_or_default())
    }

    /// Notes whether a call to the store was answered; logs when one of its uses is lost or back.
    pub fn note_store(&self, usage: &'static str, answered: bool) {
        let mut silent = self.store_silent.borrow_mut();
        if answered {
            let age = self.store_age().as_millis() as u64;
            self.store_heard.set(Some(self.now()));
            if silent.remove(usage) {
                tracing::info!(event = "store_regained", usage, store_age_ms = age);
            }
        } else if silent.insert(usage) {
            tracing::warn!(event = "store_lost", usage);
        }
    }

    /// Tells whether the last call of a use of the store had no answer.
    pub fn is_store_silent(&self, usage: &str) -> bool {
        self.store_silent.borrow().contains(usage)
    }

    /// Tells whether new callers are welcome.
    pub fn is_ready(&self) -> bool {
        self.stopping.get().is_none() && self.tables.borrow().routes.version() > 0
    }

    /// Notes a fresh request for a service in its retry budget.
    pub fn note_fresh(&self, service: &ServiceName) {
        self.with_budget(service, RetryBudget::note_fresh);
    }

    /// Takes a retry out of a service's budget, if there is one.
    pub fn try_retry(&self, service: &ServiceName) -> bool {
        self.with_budget(service, RetryBudget::try_spend)
    }

    fn with_budget<Value, Work>(&self, service: &ServiceName, work: Work) -> Value
    where
        Work: FnOnce(&mut RetryBudget) -> Value,
    {
        let mut tables = self.tables.borrow_mut();
        let entries = tables.grants.count_entries().max(LEAST_ENTRIES);
        let share = self.settings.retry_share * RETRY_PART;
        let reserve = self.settings.retry_slack * RETRY_PART / entries as f64;
        let budget = tables.retries.entry(Arc::clone(service));
        work(budget.or_insert_with(|| RetryBudget::with_bounds(share, reserve)))
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
    number: FlightId,
}

impl FlightGuard {
    /// Guards a flight that was noted.
    pub fn new(gateway: &Rc<Gateway>, backend: &BackendId, number: FlightId) -> Self {
        Self { gateway: Rc::clone(gateway), backend: Arc::clone(backend), number }
    }

    /// Notes that the answer has begun.
    pub fn note_begun(&self) {
        let now = self.gateway.now();
        self.gateway.tables.borrow_mut().backends.note_begun(&self.backend, self.number, now);
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.gateway.tables.borrow_mut().backends.note_ended(&self.backend, self.number);
    }
}

/// The budget held for one request; billed for what was used, however the request ends.
#[derive(Debug)]
pub struct BudgetGuard {
    gateway: Rc<Gateway>,
    hold: GrantHold,
    request: RequestId,
    service: ServiceName,
    prompt: Tokens,
    sent: Cell<bool>,
    output: Cell<Tokens>,
}

impl BudgetGuard {
    /// Guards a hold.
    pub fn new(
        gateway: &Rc<Gateway>,
        hold: GrantHold,
        request: &RequestId,
        service: &ServiceName,
        prompt: Tokens,
    ) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            hold,
            request: Arc::clone(request),
            service: Arc::clone(service),
            prompt,
            sent: Cell::new(false),
            output: Cell::new(0),
        }
    }

    /// Notes whether a server may have run the request.
    pub fn note_sent(&self, may_have_run: bool) {
        self.sent.set(may_have_run);
    }

    /// Notes tokens of the answer that came from a server.
    pub fn add_output(&self, tokens: Tokens) {
        self.output.set(self.output.get() + tokens);
    }

    /// Returns what is billed: the prompt once it may have been read, and the output, which the
    /// server bounds by what the caller asked for.
    pub fn used(&self) -> Tokens {
        let prompt = if self.sent.get() { self.prompt } else { 0 };
        (prompt + self.output.get()).min(self.hold.amount)
    }
}

impl Drop for BudgetGuard {
    fn drop(&mut self) {
        let used = self.used();
        let bill = (used > 0).then(|| BillRow {
            request: Arc::clone(&self.request),
            customer: Arc::clone(&self.hold.customer),
            service: Arc::clone(&self.service),
            epoch: self.hold.epoch,
            keyed: false,
            billed: used,
            written_off: 0,
            unproved: 0,
            runs: Vec::new(),
        });
        self.gateway.tables.borrow_mut().grants.finish(&self.hold, bill);
    }
}
