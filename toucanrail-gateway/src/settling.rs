//! Budgets at the gateway: holds for requests, and the syncs that settle them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use smol::future::FutureExt;
use toucanrail::codetable;
use toucanrail::grants::GrantHold;
use toucanrail::ids::{CustomerId, ShardName, Tokens};
use toucanrail::paths;
use toucanrail::syncs::{SyncMachine, SyncOutcome};
use toucanrail_wire::clocks;

use crate::admitting::EntryRefusal;
use crate::states::Gateway;

/// How customers are divided among shards: each has its own, whose name is the customer's.
const SHARD_PER_CUSTOMER: u64 = 0;
/// This use of the store, in logs.
const USAGE: &str = "budgets";
/// Pause between syncs that requests asked for: those that wait meanwhile share the next one.
const SYNC_PAUSE: Duration = Duration::from_millis(15);
/// Pause after a sync that the store did not answer.
const SILENT_PAUSE: Duration = Duration::from_millis(150);
/// Time for which a customer whose grant could not be had is refused without asking the store again;
/// each look costs two or three calls, and what others hold comes back with their settlements.
const SHORT_TIME: Duration = Duration::from_millis(400);
/// Longest wait of a request for a grant; most grants are there, the others take one sync.
const GRANT_WAIT: Duration = Duration::from_millis(400);
/// When to come back where the money is granted elsewhere or the store is away.
const GRANT_RETRY: Duration = Duration::from_millis(800);
/// How often shards are looked at for what is due.
const TICK: Duration = Duration::from_millis(100);
/// Longest wait of a stopping entry for its last settlement.
const LEAVE_BOUND: Duration = Duration::from_millis(800);

/// Runs the syncs that are due, one at a time a shard, and at once where a request waits.
///
/// Each customer has a shard of its own: entries that settle different customers never meet in one
/// object, and thirty entries that share one object spent most calls on lost races.
pub async fn run_syncs(gateway: Rc<Gateway>) {
    while !gateway.gives_up_grants.get() {
        let wanted = gateway.wanted.listen();
        let shards = gateway.tables.borrow().grants.shards();
        for shard in shards.into_iter().filter(|shard| is_due(&gateway, shard)) {
            gateway.syncing.borrow_mut().insert(Arc::clone(&shard));
            let held = Rc::clone(&gateway);
            let syncing = async move {
                let answered = sync_shard(&held, &shard, false).await;
                smol::Timer::after(if answered { SYNC_PAUSE } else { SILENT_PAUSE }).await;
                held.syncing.borrow_mut().remove(&shard);
                // A request that began to wait during this sync found it running.
                held.wanted.notify(usize::MAX);
            };
            gateway.executor.spawn(syncing).detach();
        }
        let tick = async {
            smol::Timer::after(TICK).await;
        };
        wanted.or(tick).await;
    }
}

fn is_due(gateway: &Gateway, shard: &ShardName) -> bool {
    if gateway.syncing.borrow().contains(shard) {
        return false;
    }
    let tables = gateway.tables.borrow();
    let synced = gateway.synced_at.borrow().get(shard).copied();
    let age = gateway.now().saturating_sub(synced.unwrap_or_default());
    tables.grants.is_wanted(shard) || (synced.is_some() && age > gateway.tuning.flush)
}

/// Runs one sync of a shard, if there is something to do; false if the store did not answer.
async fn sync_shard(gateway: &Rc<Gateway>, shard: &ShardName, leave: bool) -> bool {
    gateway.synced_at.borrow_mut().insert(Arc::clone(shard), gateway.now());
    let started = {
        let mut tables = gateway.tables.borrow_mut();
        let plan = tables.grants.plan_sync(shard, leave);
        plan.map(|plan| (plan, tables.grants.take_cached(shard)))
    };
    let Some((plan, cached)) = started else {
        return true;
    };
    let mut machine = SyncMachine::new(plan, gateway.tuning.policy, cached);
    let mut calls = 0_u32;
    while let Some(call) = machine.next_call() {
        calls += 1;
        machine.take_reply(gateway.store.call(&call, gateway.now()).await);
    }
    let outcome = machine.into_outcome();
    let kind = match outcome {
        SyncOutcome::Applied { .. } => "syncs",
        SyncOutcome::Unchanged { .. } => "syncs_idle",
        SyncOutcome::Unavailable => "syncs_unanswered",
        SyncOutcome::Revoked { .. } => "tenures_lost",
    };
    let answered = !matches!(outcome, SyncOutcome::Unavailable);
    gateway.board.count_event(kind);
    gateway.board.add_events("sync_calls", u64::from(calls));
    gateway.note_store(USAGE, answered);
    let was_open = gateway.tables.borrow().grants.is_open(shard);
    gateway.tables.borrow_mut().grants.apply_sync(shard, outcome);
    if !was_open && !leave {
        log_accounts(gateway, shard);
    }
    gateway.synced.notify(usize::MAX);
    answered
}

/// Logs what stands in the shard when this process joins its holders.
fn log_accounts(gateway: &Gateway, shard: &ShardName) {
    let tables = gateway.tables.borrow();
    let Some(shard) = tables.grants.known_shard(shard) else {
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

/// Takes a hold, waiting for a sync if the grant is short.
pub async fn take_hold(
    gateway: &Rc<Gateway>,
    customer: &CustomerId,
    amount: Tokens,
    left: Duration,
) -> Result<GrantHold, EntryRefusal> {
    if let Ok(hold) = gateway.tables.borrow_mut().grants.hold(customer, amount) {
        return Ok(hold);
    }
    let short = gateway.short.borrow().get(customer).copied();
    let known = short.filter(|(until, refused, _)| gateway.now() < *until && amount >= *refused);
    if let Some((_, _, uncovered)) = known {
        if uncovered {
            return Err(codetable::BUDGET_EXHAUSTED.into());
        }
        return Err(refuse_unconfirmed(gateway, customer, amount, left));
    }
    if gateway.is_store_silent(USAGE) {
        return Err(refuse_unconfirmed(gateway, customer, amount, left));
    }
    gateway.tables.borrow_mut().grants.add_shortage(customer, amount);
    let waiting =
        clocks::bounded(GRANT_WAIT.min(left / 4), wait_hold(gateway, customer, amount, left));
    let waited = waiting.await;
    gateway.tables.borrow_mut().grants.drop_shortage(customer, amount);
    waited.unwrap_or_else(|| Err(refuse_unconfirmed(gateway, customer, amount, left)))
}

/// The money may be there, but this entry cannot have it confirmed now.
fn refuse_unconfirmed(
    gateway: &Gateway,
    customer: &CustomerId,
    amount: Tokens,
    left: Duration,
) -> EntryRefusal {
    let tables = gateway.tables.borrow();
    let account = tables.grants.account(customer);
    tracing::info!(
        event = "grant_short", %customer, amount,
        granted = account.map(|account| account.granted), held = account.map(|account| account.held),
        burn = account.map(|account| account.burn as Tokens),
        stated = account.map(|account| account.prepaid),
        prepaid_unspent_unallocated = ?tables.grants.known_balance(customer),
        store_age_ms = gateway.store_age().as_millis() as u64,
    );
    let wait = GRANT_RETRY.mul_f64(0.75 + 0.5 * fastrand::f64());
    let code = codetable::BUDGET_UNCONFIRMED;
    EntryRefusal { code, retry_after: Some(wait.min(left / 3)) }
}

async fn wait_hold(
    gateway: &Rc<Gateway>,
    customer: &CustomerId,
    amount: Tokens,
    left: Duration,
) -> Result<GrantHold, EntryRefusal> {
    let before = gateway.tables.borrow().grants.looks(customer);
    loop {
        let synced = gateway.synced.listen();
        gateway.wanted.notify(usize::MAX);
        synced.await;
        let mut tables = gateway.tables.borrow_mut();
        if let Ok(hold) = tables.grants.hold(customer, amount) {
            return Ok(hold);
        }
        // Only a shard read after the request came may refuse it, and the first look may be that
        // of a sync that had begun before.
        if tables.grants.looks(customer) > before + 1 {
            let uncovered = tables.grants.is_uncovered(customer, amount);
            drop(tables);
            let until = gateway.now() + SHORT_TIME;
            gateway.short.borrow_mut().insert(Arc::clone(customer), (until, amount, uncovered));
            // What is left is granted elsewhere: no further sync brings it until others settle.
            if uncovered {
                return Err(codetable::BUDGET_EXHAUSTED.into());
            }
            return Err(refuse_unconfirmed(gateway, customer, amount, left));
        }
    }
}

/// Takes the customers of a new configuration.
pub fn take_customers(gateway: &Gateway) {
    let mut tables = gateway.tables.borrow_mut();
    let tables = &mut *tables;
    for customer in tables.routes.customers() {
        if let Some(total) = customer.prepaid {
            tables.grants.add_account(&customer.name, &paths::shard_of(&customer.name, SHARD_PER_CUSTOMER));
            tables.grants.note_prepaid(&customer.name, total);
        }
    }
}

/// Settles all and gives unused grants back.
pub async fn leave(gateway: &Rc<Gateway>) {
    gateway.gives_up_grants.set(true);
    let shards = gateway.tables.borrow().grants.shards();
    let tasks: Vec<_> = shards
        .into_iter()
        .map(|shard| gateway.executor.spawn(leave_shard(Rc::clone(gateway), shard)))
        .collect();
    let leaving = async {
        for task in tasks {
            task.await;
        }
    };
    if clocks::bounded(LEAVE_BOUND, leaving).await.is_none() {
        tracing::warn!(event = "left_unsettled");
    }
}

async fn leave_shard(gateway: Rc<Gateway>, shard: ShardName) {
    while gateway.tables.borrow().grants.is_open(&shard) {
        if gateway.syncing.borrow().contains(&shard) {
            smol::Timer::after(SYNC_PAUSE).await;
            continue;
        }
        let settled = sync_shard(&gateway, &shard, true).await;
        if settled && gateway.in_flight.get() > 0 {
            // What these hold stays granted: nobody can tell any more what they will have used.
            return;
        }
        smol::Timer::after(SYNC_PAUSE).await;
    }
}
