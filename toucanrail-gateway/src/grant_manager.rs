//! The budget grants of one process: holds for requests, and the syncs with the store that bill
//! their use.
//!
//! Lenders hold grants on behalf of the entries around them; an entry that reaches no lender uses
//! its own.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use event_listener::Event;
use smol::LocalExecutor;
use smol::future::FutureExt;
use toucanrail::accounts::GrantAccount;
use toucanrail::budgets::{BillRow, BilledRun};
use toucanrail::grants::{GrantHold, GrantTable};
use toucanrail::ids::{CustomerId, EntryId, ShardName, Tokens};
use toucanrail::loans::{self, LoanId};
use toucanrail::syncs::{SyncMachine, SyncOutcome};
use toucanrail::{paths, policies};
use toucanrail_daemons::metrics::ProcessMetrics;
use toucanrail_wire::time_limits;

use crate::store_access::StoreAccess;
use crate::tuning::GatewayTuning;

/// Name of this use of the store, in logs.
const USAGE: &str = "budgets";
/// Pause between two syncs of a shard. Requests that arrive meanwhile share the next sync: each
/// sync costs a store call, and a first event that is due within half a second leaves time for this
/// pause.
const SYNC_PAUSE: Duration = Duration::from_millis(50);
/// Pause after a sync to which the store did not respond.
const FAILURE_PAUSE: Duration = Duration::from_millis(150);
/// Time for which a customer whose grant could not be raised is refused without asking the store
/// again. Each attempt costs two or three calls, and budget that other processes hold is released
/// only when they settle.
const REFUSAL_CACHE_TIME: Duration = Duration::from_millis(400);
/// Time without a response from the store after which the remaining grant is reserved for some
/// requests. A slow or lost response is followed by another one within this time, while an outage
/// lasts for seconds.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(800);
/// Maximum wait of a request for a grant. Most requests are covered by the current grant; the
/// others need one sync.
const GRANT_WAIT: Duration = Duration::from_millis(400);
/// Interval at which shards are checked for due syncs.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of the release and of the last settlement of a stopping process.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(800);

/// Why a hold was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldFailure {
    /// The grant does not cover the amount, and the store cannot raise it now.
    Short,
    /// The customer's balance is known not to cover the amount.
    Uncovered,
}

/// A recent refusal; requests of at least this amount are refused alike until it expires.
#[derive(Debug, Clone, Copy)]
struct CachedRefusal {
    until: Duration,
    amount: Tokens,
    failure: HoldFailure,
}

/// The grants of one process, and the syncs that raise and settle them.
#[derive(Debug)]
pub struct GrantManager {
    /// The grants.
    pub grants: RefCell<GrantTable>,
    /// Access to the store.
    pub store: Rc<StoreAccess>,
    tuning: GatewayTuning,
    /// Metrics of the process.
    pub metrics: ProcessMetrics,
    executor: Rc<LocalExecutor<'static>>,
    /// Recent refusals, by customer.
    refusals: RefCell<BTreeMap<CustomerId, CachedRefusal>>,
    /// Shards with a sync in progress; two concurrent syncs of a shard would mix up their outcomes.
    syncing: RefCell<BTreeSet<ShardName>>,
    /// When the last settlement of each shard began.
    settled_at: RefCell<BTreeMap<ShardName, Duration>>,
    /// Shards whose next settlement does not wait for the interval.
    hastened: RefCell<BTreeSet<ShardName>>,
    /// Shards whose tenure is to be ended by the next sync.
    leaving: RefCell<BTreeSet<ShardName>>,
    /// Whether the process is giving its grants back and accepts no new holds that need a sync.
    closed: Cell<bool>,
    /// Notified when a request begins to wait for a grant.
    sync_requested: Event,
    /// Notified when a sync has ended.
    synced: Event,
}

impl GrantManager {
    /// Creates the manager for one run of a process.
    pub fn new(
        id: &EntryId,
        store: Rc<StoreAccess>,
        tuning: GatewayTuning,
        metrics: ProcessMetrics,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Self {
        Self {
            grants: GrantTable::new(Arc::clone(id), tuning.policy).into(),
            store,
            tuning,
            metrics,
            executor,
            refusals: RefCell::default(),
            syncing: RefCell::default(),
            settled_at: RefCell::default(),
            hastened: RefCell::default(),
            leaving: RefCell::default(),
            closed: Cell::new(false),
            sync_requested: Event::new(),
            synced: Event::new(),
        }
    }

    /// Records a customer's prepaid total according to the configuration, adding the account if it
    /// is new.
    pub fn raise_prepaid(&self, customer: &CustomerId, total: Tokens) {
        let mut grants = self.grants.borrow_mut();
        if grants.account(customer).is_none() {
            grants.add_account(customer, &self.shard_of(customer));
        }
        grants.raise_prepaid(customer, total);
    }

    /// Returns the shard of a customer's account.
    pub fn shard_of(&self, customer: &CustomerId) -> ShardName {
        paths::shard_of(customer, self.tuning.shards)
    }

    /// Returns the number of shards; 0 if each customer has its own.
    pub fn shard_count(&self) -> u64 {
        self.tuning.shards
    }

    /// Acquires a hold on the customer's grant, waiting for a sync if the grant does not cover the
    /// amount, or if the tenure does not yet name the borrower of a loan.
    pub async fn acquire_hold(
        &self,
        customer: &CustomerId,
        amount: Tokens,
        rank: u8,
        time_left: Duration,
        borrower: Option<&EntryId>,
    ) -> Result<GrantHold, HoldFailure> {
        if !self.may_spend(customer, amount, rank) {
            self.log_short(customer, amount);
            return Err(HoldFailure::Short);
        }
        if let Some(hold) = self.try_hold(customer, amount, borrower) {
            return Ok(hold);
        }
        // No sync could change this: totals come with the configuration, and the billed amount only
        // grows.
        if self.grants.borrow().is_uncovered(customer, amount) {
            return Err(HoldFailure::Uncovered);
        }
        let now = self.store.now();
        let recent = self.refusals.borrow().get(customer).copied();
        if let Some(recent) = recent.filter(|recent| now < recent.until && amount >= recent.amount)
        {
            return Err(recent.failure);
        }
        if self.closed.get() || self.store.is_unanswered(USAGE) {
            self.log_short(customer, amount);
            return Err(HoldFailure::Short);
        }
        self.grants.borrow_mut().begin_wait(customer, amount);
        // Runs also if the caller leaves, which drops this future.
        let pending =
            scopeguard::guard((), |()| self.grants.borrow_mut().end_wait(customer, amount));
        let waiting = self.wait_hold(customer, amount, borrower);
        let waited = time_limits::timeout(GRANT_WAIT.min(time_left / 4), waiting).await;
        drop(pending);
        let acquired = waited.unwrap_or(Err(HoldFailure::Short));
        if acquired.is_err() {
            self.log_short(customer, amount);
        }
        acquired
    }

    /// Holds an amount if the grant covers it and the tenure names the borrower.
    fn try_hold(
        &self,
        customer: &CustomerId,
        amount: Tokens,
        borrower: Option<&EntryId>,
    ) -> Option<GrantHold> {
        let mut grants = self.grants.borrow_mut();
        if let Some(borrower) = borrower {
            grants.want_borrower(customer, borrower, self.store.now());
            if !grants.names_agent(customer, borrower) {
                return None;
            }
        }
        grants.hold(customer, amount).ok()
    }

    /// Returns whether a request may use the grant. While the store does not respond, the remaining
    /// grant is reserved for the most urgent rank and for small requests.
    fn may_spend(&self, customer: &CustomerId, amount: Tokens, rank: u8) -> bool {
        let grants = self.grants.borrow();
        let available = grants.account(customer).map_or(0, GrantAccount::available);
        self.store.unanswered_for(USAGE) < OUTAGE_THRESHOLD
            || policies::may_spend_in_outage(available, amount, rank)
    }

    async fn wait_hold(
        &self,
        customer: &CustomerId,
        amount: Tokens,
        borrower: Option<&EntryId>,
    ) -> Result<GrantHold, HoldFailure> {
        // Only a shard that was read after the request arrived may refuse it. A sync that is
        // already in progress may have read the shard earlier.
        let shard = self.shard_of(customer);
        let running = u64::from(self.syncing.borrow().contains(&shard));
        let needed = self.grants.borrow().confirmed_syncs(&shard) + 1 + running;
        loop {
            let synced = self.synced.listen();
            self.grants.borrow_mut().request_sync(customer);
            self.sync_requested.notify(usize::MAX);
            synced.await;
            if let Some(hold) = self.try_hold(customer, amount, borrower) {
                return Ok(hold);
            }
            let grants = self.grants.borrow();
            if grants.confirmed_syncs(&shard) < needed {
                continue;
            }
            // The rest is granted to other processes; no further sync can obtain it until they
            // settle.
            let uncovered = grants.is_uncovered(customer, amount);
            let failure = if uncovered { HoldFailure::Uncovered } else { HoldFailure::Short };
            let refusal =
                CachedRefusal { until: self.store.now() + REFUSAL_CACHE_TIME, amount, failure };
            self.refusals.borrow_mut().insert(Arc::clone(customer), refusal);
            return Err(failure);
        }
    }

    /// Ends a hold and bills the tokens that its request used. `loan` is the loan that the hold was
    /// for, if it was lent.
    pub fn end_hold(
        &self,
        hold: &GrantHold,
        request: Arc<str>,
        service: Arc<str>,
        used: Tokens,
        loan: Option<&LoanId>,
    ) {
        let bill = (used > 0).then(|| BillRow {
            request,
            customer: Arc::clone(&hold.customer),
            service,
            epoch: hold.epoch,
            keyed: false,
            billed: used.min(hold.amount),
            written_off: 0,
            unproved: 0,
            runs: loan.map(|loan| make_run(loan, used)).into_iter().collect(),
        });
        self.grants.borrow_mut().end_hold(hold, bill);
    }

    /// Ends the hold of a loan whose borrower has ended without telling what it used. Nobody can tell
    /// it any more, so the amount is frozen.
    pub fn freeze_hold(&self, hold: &GrantHold, loan: &LoanId) {
        let bill = BillRow {
            request: Arc::clone(loan),
            customer: Arc::clone(&hold.customer),
            service: Arc::from(""),
            epoch: hold.epoch,
            keyed: false,
            billed: 0,
            written_off: 0,
            unproved: hold.amount,
            runs: vec![make_run(loan, 0)],
        };
        self.grants.borrow_mut().end_hold(hold, Some(bill));
    }

    fn log_short(&self, customer: &CustomerId, amount: Tokens) {
        let grants = self.grants.borrow();
        let account = grants.account(customer);
        let balance = grants.cached_balance(customer);
        tracing::info!(
            event = "grant_short", %customer, amount,
            granted = account.map(|account| account.granted),
            held = account.map(|account| account.held),
            burn = account.map(|account| account.burn as Tokens),
            stated = account.map(|account| account.prepaid),
            prepaid = balance.map(|balance| balance.prepaid),
            unspent = balance.map(|balance| balance.unspent),
            unallocated = balance.map(|balance| balance.unallocated),
            replaced = balance.map(|balance| balance.replaced),
            replaced_holders = balance.map(|balance| balance.replaced_holders),
            others = balance.map(|balance| balance.others),
            other_holders = balance.map(|balance| balance.other_holders),
            store_age_ms = self.store.time_since_response().as_millis() as u64,
        );
    }

    /// Returns whether a sync of the shard is due.
    fn is_due(&self, shard: &ShardName) -> bool {
        if self.syncing.borrow().contains(shard) {
            return false;
        }
        self.leaving.borrow().contains(shard)
            || self.needs_settlement(shard)
            || self.grants.borrow().needs_early_sync(shard)
    }

    /// Lets the next settlement of a shard begin at once.
    pub fn hasten_settlement(&self, shard: &ShardName) {
        self.hastened.borrow_mut().insert(Arc::clone(shard));
        self.sync_requested.notify(usize::MAX);
    }

    /// Ends the tenure in a shard. A later request opens another one.
    pub fn leave_shard(&self, shard: &ShardName) {
        self.leaving.borrow_mut().insert(Arc::clone(shard));
        self.sync_requested.notify(usize::MAX);
    }

    /// Returns whether a settlement of the shard is due.
    fn needs_settlement(&self, shard: &ShardName) -> bool {
        if self.hastened.borrow().contains(shard) {
            return true;
        }
        let mut times = self.settled_at.borrow_mut();
        let settled = times.entry(Arc::clone(shard)).or_insert_with(|| self.store.now());
        self.store.now().saturating_sub(*settled) > self.tuning.flush
    }

    /// Runs one sync of a shard if there is something to do. Returns false if the store did not
    /// respond.
    async fn sync_shard(&self, shard: &ShardName, leave: bool) -> bool {
        let settles = leave || self.needs_settlement(shard);
        if settles {
            self.settled_at.borrow_mut().insert(Arc::clone(shard), self.store.now());
            self.hastened.borrow_mut().remove(shard);
        }
        let started = {
            let mut grants = self.grants.borrow_mut();
            let plan =
                if settles { grants.plan_sync(shard, leave) } else { grants.plan_top_up(shard) };
            plan.map(|plan| (plan, grants.take_cached(shard)))
        };
        let Some((plan, cached)) = started else {
            return true;
        };
        let mut machine = SyncMachine::new(plan, self.tuning.policy, cached);
        let mut calls = 0_u32;
        while let Some(call) = machine.next_call() {
            calls += 1;
            machine.handle_reply(self.store.call(&call).await);
        }
        self.metrics.report_unreadable(machine.unreadable());
        let outcome = machine.into_outcome();
        let responded = !matches!(outcome, SyncOutcome::Unavailable);
        self.metrics.count_event(outcome_kind(&outcome));
        self.metrics.add_events("sync_calls", u64::from(calls));
        self.store.record_call(USAGE, responded);
        let was_open = self.grants.borrow().has_tenure(shard);
        self.grants.borrow_mut().apply_sync(shard, outcome);
        if !was_open && !leave {
            self.log_accounts(shard);
        }
        self.synced.notify(usize::MAX);
        responded
    }

    /// Logs the accounts of a shard when this process becomes one of its holders.
    fn log_accounts(&self, shard: &ShardName) {
        let grants = self.grants.borrow();
        let Some(shard) = grants.cached_shard(shard) else {
            return;
        };
        for (customer, account) in &shard.accounts {
            tracing::info!(
                event = "account_known", %customer, prepaid = account.prepaid,
                unspent = account.unspent(), unallocated = account.unallocated(),
                holders = shard.holders.len(), granted = account.grants.values().sum::<Tokens>(),
            );
        }
    }
}

/// Returns what a borrower used of a loan, as part of a bill.
fn make_run(loan: &LoanId, used: Tokens) -> BilledRun {
    BilledRun { run: Arc::clone(loan), agent: Arc::from(loans::borrower_of(loan)), used }
}

/// Returns the event kind that an outcome is counted under.
fn outcome_kind(outcome: &SyncOutcome) -> &'static str {
    match outcome {
        SyncOutcome::Applied { .. } => "syncs",
        SyncOutcome::Unchanged { .. } => "syncs_idle",
        SyncOutcome::Unavailable => "syncs_unanswered",
        SyncOutcome::Revoked { .. } => "tenures_lost",
    }
}

/// Runs due syncs, at most one at a time per shard, and immediately when a request waits.
///
/// With one shard per customer (setting `shards` 0), entries that settle different customers never
/// write the same object. Thirty entries that shared one object lost most of their calls to version
/// conflicts.
pub async fn run_syncs(manager: Rc<GrantManager>) {
    while !manager.closed.get() {
        let requested = manager.sync_requested.listen();
        let shards = manager.grants.borrow().shards();
        for shard in shards.into_iter().filter(|shard| manager.is_due(shard)) {
            manager.syncing.borrow_mut().insert(Arc::clone(&shard));
            let held = Rc::clone(&manager);
            let syncing = async move {
                let leave = held.leaving.borrow_mut().remove(&shard);
                let responded = held.sync_shard(&shard, leave).await;
                smol::Timer::after(if responded { SYNC_PAUSE } else { FAILURE_PAUSE }).await;
                held.syncing.borrow_mut().remove(&shard);
                // A request that began to wait during this sync found it in progress and needs
                // another one.
                held.sync_requested.notify(usize::MAX);
            };
            manager.executor.spawn(syncing).detach();
        }
        let tick = async {
            smol::Timer::after(CHECK_INTERVAL).await;
        };
        requested.or(tick).await;
    }
}

/// Closes the manager and releases what no request holds. Requests in progress keep their holds.
pub async fn release_unused(manager: &Rc<GrantManager>) {
    if !close_shards(manager, release_shard).await {
        tracing::warn!(event = "left_unreleased");
    }
}

async fn release_shard(manager: Rc<GrantManager>, shard: ShardName) {
    while manager.syncing.borrow().contains(&shard) {
        smol::Timer::after(SYNC_PAUSE).await;
    }
    manager.sync_shard(&shard, true).await;
}

/// Closes the manager, settles all shards and releases unused grants. What open holds may still use
/// stays granted.
pub async fn settle_all(manager: &Rc<GrantManager>) {
    if !close_shards(manager, settle_shard).await {
        tracing::warn!(event = "left_unsettled");
    }
}

/// Closes the manager and runs `work` for all shards at once. Returns false if it takes too long.
async fn close_shards<Work, Working>(manager: &Rc<GrantManager>, work: Work) -> bool
where
    Work: Fn(Rc<GrantManager>, ShardName) -> Working,
    Working: Future<Output = ()> + 'static,
{
    manager.closed.set(true);
    let shards = manager.grants.borrow().shards();
    let tasks: Vec<_> = shards
        .into_iter()
        .map(|shard| manager.executor.spawn(work(Rc::clone(manager), shard)))
        .collect();
    let working = async {
        for task in tasks {
            task.await;
        }
    };
    time_limits::timeout(SETTLE_TIMEOUT, working).await.is_some()
}

async fn settle_shard(manager: Rc<GrantManager>, shard: ShardName) {
    while manager.grants.borrow().has_tenure(&shard) {
        if manager.syncing.borrow().contains(&shard) {
            smol::Timer::after(SYNC_PAUSE).await;
            continue;
        }
        let settled = manager.sync_shard(&shard, true).await;
        if settled && manager.grants.borrow().has_open_holds(&shard) {
            return;
        }
        smol::Timer::after(SYNC_PAUSE).await;
    }
}
