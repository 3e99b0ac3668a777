//! Grants of one process: holds for requests, and the syncs that settle them.
//!
//! Lenders keep grants for the entries around them; an entry keeps its own where it reaches none.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use event_listener::Event;
use smol::LocalExecutor;
use smol::future::FutureExt;
use toucanrail::accounts::GrantAccount;
use toucanrail::budgets::BillRow;
use toucanrail::grants::{GrantHold, GrantTable};
use toucanrail::ids::{CustomerId, EntryId, ShardName, Tokens};
use toucanrail::syncs::{SyncMachine, SyncOutcome};
use toucanrail::{paths, policies};
use toucanrail_daemons::observing::MetricBoard;
use toucanrail_wire::time_limits;

use crate::storing::StoreAccess;
use crate::tuning::GatewayTuning;

/// This use of the store, in logs.
const USAGE: &str = "budgets";
/// Pause between syncs that requests asked for: those that wait meanwhile share the next one. Each
/// costs a call, and a first event within half a second bears the wait.
const SYNC_PAUSE: Duration = Duration::from_millis(50);
/// Pause after a sync that the store did not answer.
const SILENT_PAUSE: Duration = Duration::from_millis(150);
/// Time for which a customer whose grant could not be had is refused without asking the store again;
/// each look costs two or three calls, and what others hold comes back with their settlements.
const SHORT_TIME: Duration = Duration::from_millis(400);
/// Silence of the store from which what is left is kept for some requests: a slow answer or a lost one is
/// followed by another within this time, and an outage lasts for seconds.
const OUTAGE_LEAST: Duration = Duration::from_millis(800);
/// Longest wait of a request for a grant; most grants are there, the others take one sync.
const GRANT_WAIT: Duration = Duration::from_millis(400);
/// How often shards are looked at for what is due.
const TICK: Duration = Duration::from_millis(100);
/// Longest wait of a stopping entry for its last settlement.
const LEAVE_BOUND: Duration = Duration::from_millis(800);

/// Why a hold was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HoldFailure {
    /// The grant is short, and the store does not bring it now.
    Short,
    /// The customer's balance provably does not cover the amount.
    Uncovered,
}

#[derive(Debug, Clone, Copy)]
struct ShortNote {
    until: Duration,
    amount: Tokens,
    failure: HoldFailure,
}

/// The grants of one process and the syncs that keep them.
#[derive(Debug)]
pub struct BudgetKeeper {
    /// The grants.
    pub grants: RefCell<GrantTable>,
    store: Rc<StoreAccess>,
    tuning: GatewayTuning,
    board: MetricBoard,
    executor: Rc<LocalExecutor<'static>>,
    /// Customers whose grant could not be had just now.
    short: RefCell<BTreeMap<CustomerId, ShortNote>>,
    /// Shards whose sync runs; two at a time would take each other's outcome.
    syncing: RefCell<BTreeSet<ShardName>>,
    /// When each shard's last sync began.
    settled_at: RefCell<BTreeMap<ShardName, Duration>>,
    /// Whether the grants have gone back; none are taken any more.
    left: Cell<bool>,
    /// A request waits for a grant.
    wanted: Event,
    /// A sync has ended.
    synced: Event,
}

impl BudgetKeeper {
    /// Makes the keeper of one run of a process.
    pub fn new(
        id: &EntryId,
        store: Rc<StoreAccess>,
        tuning: GatewayTuning,
        board: MetricBoard,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Self {
        Self {
            grants: GrantTable::new(Arc::clone(id), tuning.policy).into(),
            store,
            tuning,
            board,
            executor,
            short: RefCell::default(),
            syncing: RefCell::default(),
            settled_at: RefCell::default(),
            left: Cell::new(false),
            wanted: Event::new(),
            synced: Event::new(),
        }
    }

    /// Takes a customer's total, as the configuration states it.
    pub fn note_total(&self, customer: &CustomerId, total: Tokens) {
        let mut grants = self.grants.borrow_mut();
        if grants.account(customer).is_none() {
            grants.add_account(customer, &self.shard_of(customer));
        }
        grants.note_prepaid(customer, total);
    }

    /// Returns the shard of a customer's account.
    pub fn shard_of(&self, customer: &CustomerId) -> ShardName {
        paths::shard_of(customer, self.tuning.shards)
    }

    /// Takes a hold, waiting for a sync if the grant is short.
    pub async fn take_hold(
        &self,
        customer: &CustomerId,
        amount: Tokens,
        rank: u8,
        left: Duration,
    ) -> Result<GrantHold, HoldFailure> {
        if !self.may_spend(customer, amount, rank) {
            self.log_short(customer, amount);
            return Err(HoldFailure::Short);
        }
        if let Ok(hold) = self.grants.borrow_mut().hold(customer, amount) {
            return Ok(hold);
        }
        // No look could change this: totals come with the configuration, and what is billed only grows.
        if self.grants.borrow().is_uncovered(customer, amount) {
            return Err(HoldFailure::Uncovered);
        }
        let now = self.store.now();
        let note = self.short.borrow().get(customer).copied();
        if let Some(note) = note.filter(|note| now < note.until && amount >= note.amount) {
            return Err(note.failure);
        }
        if self.left.get() || self.store.is_silent(USAGE) {
            self.log_short(customer, amount);
            return Err(HoldFailure::Short);
        }
        self.grants.borrow_mut().add_shortage(customer, amount);
        let waiting =
            time_limits::timeout(GRANT_WAIT.min(left / 4), self.wait_hold(customer, amount));
        let waited = waiting.await;
        self.grants.borrow_mut().drop_shortage(customer, amount);
        let taken = waited.unwrap_or(Err(HoldFailure::Short));
        if taken.is_err() {
            self.log_short(customer, amount);
        }
        taken
    }

    /// While the store is silent, what is left is kept for the first rank and for small requests.
    fn may_spend(&self, customer: &CustomerId, amount: Tokens, rank: u8) -> bool {
        let grants = self.grants.borrow();
        let available = grants.account(customer).map_or(0, GrantAccount::available);
        self.store.silence(USAGE) < OUTAGE_LEAST
            || policies::spends_in_outage(available, amount, rank)
    }

    async fn wait_hold(
        &self,
        customer: &CustomerId,
        amount: Tokens,
    ) -> Result<GrantHold, HoldFailure> {
        // Only a shard read after the request came may refuse it; a sync that runs already may have
        // read it before.
        let shard = self.shard_of(customer);
        let running = u64::from(self.syncing.borrow().contains(&shard));
        let needed = self.grants.borrow().looks(&shard) + 1 + running;
        loop {
            let synced = self.synced.listen();
            self.grants.borrow_mut().want_look(customer);
            self.wanted.notify(usize::MAX);
            synced.await;
            let mut grants = self.grants.borrow_mut();
            if let Ok(hold) = grants.hold(customer, amount) {
                return Ok(hold);
            }
            if grants.looks(&shard) < needed {
                continue;
            }
            // What is left is granted elsewhere: no further sync brings it until others settle.
            let uncovered = grants.is_uncovered(customer, amount);
            let failure = if uncovered { HoldFailure::Uncovered } else { HoldFailure::Short };
            let note = ShortNote { until: self.store.now() + SHORT_TIME, amount, failure };
            self.short.borrow_mut().insert(Arc::clone(customer), note);
            return Err(failure);
        }
    }

    /// Ends a hold with what its request used.
    pub fn finish(&self, hold: &GrantHold, request: Arc<str>, service: Arc<str>, used: Tokens) {
        let bill = (used > 0).then(|| BillRow {
            request,
            customer: Arc::clone(&hold.customer),
            service,
            epoch: hold.epoch,
            keyed: false,
            billed: used.min(hold.amount),
            written_off: 0,
            unproved: 0,
            runs: Vec::new(),
        });
        self.grants.borrow_mut().finish(hold, bill);
    }

    fn log_short(&self, customer: &CustomerId, amount: Tokens) {
        let grants = self.grants.borrow();
        let account = grants.account(customer);
        tracing::info!(
            event = "grant_short", %customer, amount,
            granted = account.map(|account| account.granted),
            held = account.map(|account| account.held),
            burn = account.map(|account| account.burn as Tokens),
            stated = account.map(|account| account.prepaid),
            prepaid_unspent_unallocated = ?grants.known_balance(customer),
            store_age_ms = self.store.age().as_millis() as u64,
        );
    }

    fn is_due(&self, shard: &ShardName) -> bool {
        if self.syncing.borrow().contains(shard) {
            return false;
        }
        self.settles(shard) || self.grants.borrow().is_wanted(shard)
    }

    /// Tells whether a shard's bills are due.
    fn settles(&self, shard: &ShardName) -> bool {
        let mut times = self.settled_at.borrow_mut();
        let settled = times.entry(Arc::clone(shard)).or_insert_with(|| self.store.now());
        self.store.now().saturating_sub(*settled) > self.tuning.flush
    }

    /// Runs one sync of a shard, if there is something to do; false if the store did not answer.
    async fn sync_shard(&self, shard: &ShardName, leave: bool) -> bool {
        let settles = leave || self.settles(shard);
        if settles {
            self.settled_at.borrow_mut().insert(Arc::clone(shard), self.store.now());
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
            machine.take_reply(self.store.call(&call).await);
        }
        let outcome = machine.into_outcome();
        let answered = !matches!(outcome, SyncOutcome::Unavailable);
        self.board.count_event(name_outcome(&outcome));
        self.board.add_events("sync_calls", u64::from(calls));
        self.store.note_use(USAGE, answered);
        let was_open = self.grants.borrow().is_open(shard);
        self.grants.borrow_mut().apply_sync(shard, outcome);
        if !was_open && !leave {
            self.log_accounts(shard);
        }
        self.synced.notify(usize::MAX);
        answered
    }

    /// Logs what stands in a shard when this process joins its holders.
    fn log_accounts(&self, shard: &ShardName) {
        let grants = self.grants.borrow();
        let Some(shard) = grants.known_shard(shard) else {
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

fn name_outcome(outcome: &SyncOutcome) -> &'static str {
    match outcome {
        SyncOutcome::Applied { .. } => "syncs",
        SyncOutcome::Unchanged { .. } => "syncs_idle",
        SyncOutcome::Unavailable => "syncs_unanswered",
        SyncOutcome::Revoked { .. } => "tenures_lost",
    }
}

/// Runs the syncs that are due, one at a time a shard, and at once where a request waits.
///
/// Each customer has a shard of its own: entries that settle different customers never meet in one
/// object, and thirty entries that share one object spent most calls on lost races.
pub async fn run_syncs(keeper: Rc<BudgetKeeper>) {
    while !keeper.left.get() {
        let wanted = keeper.wanted.listen();
        let shards = keeper.grants.borrow().shards();
        for shard in shards.into_iter().filter(|shard| keeper.is_due(shard)) {
            keeper.syncing.borrow_mut().insert(Arc::clone(&shard));
            let held = Rc::clone(&keeper);
            let syncing = async move {
                let answered = held.sync_shard(&shard, false).await;
                smol::Timer::after(if answered { SYNC_PAUSE } else { SILENT_PAUSE }).await;
                held.syncing.borrow_mut().remove(&shard);
                // A request that began to wait during this sync found it running.
                held.wanted.notify(usize::MAX);
            };
            keeper.executor.spawn(syncing).detach();
        }
        let tick = async {
            smol::Timer::after(TICK).await;
        };
        wanted.or(tick).await;
    }
}

/// Gives back what no request holds and takes no holds any more; what runs may use its holds on.
pub async fn give_back(keeper: &Rc<BudgetKeeper>) {
    keeper.left.set(true);
    let shards = keeper.grants.borrow().shards();
    for shard in shards.iter().filter(|shard| !keeper.syncing.borrow().contains(*shard)) {
        keeper.sync_shard(shard, true).await;
    }
}

/// Settles all and gives unused grants back; what open holds may still use stays granted.
pub async fn leave(keeper: &Rc<BudgetKeeper>) {
    keeper.left.set(true);
    let shards = keeper.grants.borrow().shards();
    let tasks: Vec<_> = shards
        .into_iter()
        .map(|shard| keeper.executor.spawn(leave_shard(Rc::clone(keeper), shard)))
        .collect();
    let leaving = async {
        for task in tasks {
            task.await;
        }
    };
    if time_limits::timeout(LEAVE_BOUND, leaving).await.is_none() {
        tracing::warn!(event = "left_unsettled");
    }
}

async fn leave_shard(keeper: Rc<BudgetKeeper>, shard: ShardName) {
    while keeper.grants.borrow().is_open(&shard) {
        if keeper.syncing.borrow().contains(&shard) {
            smol::Timer::after(SYNC_PAUSE).await;
            continue;
        }
        let settled = keeper.sync_shard(&shard, true).await;
        if settled && keeper.grants.borrow().has_open_holds(&shard) {
            return;
        }
        smol::Timer::after(SYNC_PAUSE).await;
    }
}
