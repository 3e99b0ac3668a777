//! Budget grants of the entry: holds, syncs with the store, acknowledgements and recalls.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use smol::future::FutureExt;
use toucanrail::archives::ArchiveMachine;
use toucanrail::budgets::RECENT_KEY_LIMIT;
use toucanrail::codes::ResultCode;
use toucanrail::codetable;
use toucanrail::grants::{GrantHold, HoldRefusal};
use toucanrail::ids::{AgentId, CustomerId, RunId, ShardName, Tokens};
use toucanrail::messages::{AckCommand, AgentReply, RecallCommand, RecallReply};
use toucanrail::syncs::{SyncMachine, SyncOutcome};
use toucanrail_wire::stores::ObjectStore;
use toucanrail_wire::time_limits;

use crate::fleet_client::routes;
use crate::reclaiming;
use crate::state::Entry;

/// Time for which requests of an exhausted account are refused without another sync.
const EXHAUSTED_CACHE_TIME: Duration = Duration::from_millis(100);
/// Maximum number of recall rounds for one request.
const MAX_RECALLS: u32 = 4;
/// Timeout of a recall request to a peer.
const RECALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait of a recalled peer for the sync that returns its unused grant.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after a sync that had no effect, however many requests wait for the next one.
const SYNC_PAUSE: Duration = Duration::from_millis(20);
const ACK_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of the settlement of a stopping entry.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(10);
const LEAVE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Starts the task that syncs shards.
pub fn start(entry: &Arc<Entry>) {
    smol::spawn(run_syncs(Arc::clone(entry))).detach();
}

/// Runs due syncs at every flush interval, and immediately if requests wait for one; at most one
/// per shard at a time.
async fn run_syncs(entry: Arc<Entry>) {
    let running: Arc<std::sync::Mutex<BTreeSet<ShardName>>> = Arc::default();
    loop {
        let wanted = entry.sync_requested.listen();
        let shards = entry.lock().grants.shards();
        for shard in shards {
            let idle = running.lock().is_ok_and(|mut running| running.insert(Arc::clone(&shard)));
            if idle {
                let entry = Arc::clone(&entry);
                let running = Arc::clone(&running);
                smol::spawn(async move {
                    if !sync_shard(&entry, &shard, false).await {
                        smol::Timer::after(SYNC_PAUSE).await;
                    }
                    if let Ok(mut running) = running.lock() {
                        running.remove(&shard);
                    }
                    // A request that began to wait during this sync could not start another one,
                    // and would otherwise wait until the next flush.
                    if entry.lock().grants.has_unplanned_waits(&shard) {
                        entry.sync_requested.notify(usize::MAX);
                    }
                })
                .detach();
            }
        }
        let flush = async {
            smol::Timer::after(entry.settings.settlement_interval).await;
        };
        wanted.or(flush).await;
    }
}

/// Runs one sync of a shard if one is due; `true` if the store answered it without
/// revoking the tenure.
pub async fn sync_shard(entry: &Arc<Entry>, shard: &ShardName, leave: bool) -> bool {
    let started = {
        let mut tables = entry.lock();
        let plan = tables.grants.plan_sync(shard, leave);
        plan.map(|plan| (plan, tables.grants.take_cached(shard)))
    };
    let Some((plan, cached)) = started else {
        return false;
    };
    let mut machine = SyncMachine::new(plan, entry.settings.policy, cached);
    while let Some(call) = machine.next_call() {
        machine.handle_reply(entry.store.call(&call).await);
    }
    entry.metrics.report_unreadable(machine.unreadable());
    let outcome = machine.into_outcome();
    let applied = matches!(outcome, SyncOutcome::Applied { .. } | SyncOutcome::Unchanged { .. });
    match outcome {
        SyncOutcome::Applied { .. } => entry.metrics.count_event("syncs"),
        SyncOutcome::Unchanged { .. } => entry.metrics.count_event("syncs_idle"),
        SyncOutcome::Unavailable => entry.metrics.count_event("syncs_unanswered"),
        // Further syncs of a revoked tenure have the same outcome until it is reclaimed.
        SyncOutcome::Revoked { .. } if !entry.lock().grants.has_tenure(shard) => {}
        SyncOutcome::Revoked { .. } => {
            entry.metrics.count_event("tenures_lost");
            tracing::warn!(id = %entry.id, %shard, "tenure revoked");
            let finish = reclaiming::reclaim_own(Arc::clone(entry), Arc::clone(shard));
            smol::spawn(finish).detach();
        }
    }
    entry.lock().grants.apply_sync(shard, outcome);
    entry.sync_finished.notify(usize::MAX);
    send_acks(entry).await;
    if applied && entry.lock().grants.needs_archiving(shard) {
        archive_keys(entry, shard).await;
    }
    applied
}

/// Moves old idempotency keys of a shard to its archive.
async fn archive_keys(entry: &Arc<Entry>, shard: &ShardName) {
    let mut machine = ArchiveMachine::new(Arc::clone(shard), RECENT_KEY_LIMIT);
    while let Some(call) = machine.next_call() {
        machine.handle_reply(entry.store.call(&call).await);
    }
    entry.metrics.report_unreadable(machine.unreadable());
    if machine.has_moved() {
        entry.metrics.count_event("archives");
    }
}

/// Sends agents the runs that are settled, so that they drop their records.
async fn send_acks(entry: &Arc<Entry>) {
    let pending = entry.lock().grants.pending_acks();
    for (agent, runs) in pending {
        send_ack(entry, &agent, runs).await;
    }
}

async fn send_ack(entry: &Arc<Entry>, agent: &AgentId, runs: Vec<RunId>) {
    let target = entry.lock().servers.get(agent).map(|row| (row.address, Arc::clone(&row.vm)));
    let Some((address, vm)) = target else {
        // The registration of the agent has ended, so its process has ended too.
        entry.lock().grants.record_acked(agent, &BTreeSet::new(), true);
        return;
    };
    let command = AckCommand { runs };
    let reply: std::io::Result<AgentReply> =
        entry.client.send(address, routes::ACK, &command, ACK_TIMEOUT).await;
    let mut tables = entry.lock();
    let gone = match &reply {
        Ok(reply) => reply.agent != *agent,
        Err(_) => tables.members.is_vm_gone(&vm),
    };
    if gone || reply.is_ok() {
        let acked: BTreeSet<RunId> = command.runs.into_iter().collect();
        tables.grants.record_acked(agent, &acked, gone);
    }
}

/// Acquires a hold; if the grant does not cover it, waits for a sync and recalls unused grant from
/// peers.
pub async fn acquire_hold(
    entry: &Arc<Entry>,
    customer: &CustomerId,
    amount: Tokens,
) -> Result<GrantHold, ResultCode> {
    {
        let mut tables = entry.lock();
        // The customer may be new in the catalogue and have no account here yet.
        tables.grants.add_account(customer, &entry.shard_of(customer));
        if let Ok(hold) = tables.grants.hold(customer, amount) {
            return Ok(hold);
        }
    }
    let exhausted = entry.lock().exhausted.get(customer).copied();
    let refused = exhausted.filter(|(until, least)| *until > entry.now() && amount >= *least);
    if refused.is_some() {
        return Err(codetable::BUDGET_EXHAUSTED);
    }
    entry.lock().grants.begin_wait(customer, amount);
    // Runs also if the caller leaves, which drops this future.
    let pending = scopeguard::guard((), |()| entry.lock().grants.end_wait(customer, amount));
    let waited =
        time_limits::timeout(entry.settings.budget_wait, wait_hold(entry, customer, amount));
    let waited = waited.await.unwrap_or(Err(codetable::BUDGET_UNCONFIRMED));
    drop(pending);
    let mut tables = entry.lock();
    if waited == Err(codetable::BUDGET_EXHAUSTED) {
        tables.exhausted.insert(Arc::clone(customer), (entry.now() + EXHAUSTED_CACHE_TIME, amount));
    }
    waited
}

/// Waits until the grant covers a hold.
///
/// A request is refused only if the shard was read after the request arrived, and after peers have
/// returned their unused grants.
async fn wait_hold(
    entry: &Arc<Entry>,
    customer: &CustomerId,
    amount: Tokens,
) -> Result<GrantHold, ResultCode> {
    let mut confirmed = false;
    let mut recalls = 0;
    loop {
        let synced = entry.sync_finished.listen();
        let acquired = entry.lock().grants.hold(customer, amount);
        match acquired {
            Ok(hold) => return Ok(hold),
            Err(HoldRefusal::Exhausted(missing)) if confirmed => {
                let may_recall = entry.settings.policy.recalls() && recalls < MAX_RECALLS;
                if !may_recall || recall(entry, customer, missing).await == 0 {
                    return Err(codetable::BUDGET_EXHAUSTED);
                }
                // Another entry that is short of budget may acquire the returned tokens first,
                // which takes another round.
                recalls += 1;
                confirmed = false;
                continue;
            }
            Err(HoldRefusal::Exhausted(_) | HoldRefusal::Short(_)) => {}
        }
        let shard = entry.shard_of(customer);
        let before = entry.lock().grants.confirmed_syncs(&shard);
        entry.sync_requested.notify(usize::MAX);
        synced.await;
        confirmed = entry.lock().grants.confirmed_syncs(&shard) > before;
    }
}

/// Recalls unused grant from all peers concurrently; returns the number of tokens they returned.
async fn recall(entry: &Arc<Entry>, customer: &CustomerId, wanted: Tokens) -> Tokens {
    entry.metrics.count_event("recalls");
    let peers: Vec<_> = entry.lock().members.peers().map(|peer| peer.node.address).collect();
    let command =
        RecallCommand { from: Arc::clone(&entry.id), customer: Arc::clone(customer), wanted };
    let calls: Vec<_> = peers
        .into_iter()
        .map(|address| {
            let (entry, command) = (Arc::clone(entry), command.clone());
            smol::spawn(async move {
                let reply: std::io::Result<RecallReply> =
                    entry.client.send(address, routes::RECALL, &command, RECALL_TIMEOUT).await;
                reply.map_or(0, |reply| reply.returned)
            })
        })
        .collect();
    let mut returned = 0;
    for task in calls {
        returned += task.await;
    }
    entry.metrics.add_events("recalled_tokens", returned);
    returned
}

/// Returns unused grant to the shard for the peer that recalls it; returns the number of tokens
/// reserved for the peer.
pub async fn release_unused(entry: &Arc<Entry>, command: &RecallCommand) -> Tokens {
    let synced = entry.sync_finished.listen();
    let released = entry.lock().grants.recall(&command.customer, command.wanted, &command.from);
    if released > 0 {
        entry.sync_requested.notify(usize::MAX);
        time_limits::timeout(RELEASE_TIMEOUT, synced).await;
    }
    released
}

/// Settles all bills, acknowledges the runs to agents, and ends all tenures.
///
/// With `close` false, some holds are still open, and the tenures remain for peers to reclaim.
pub async fn settle_all(entry: &Arc<Entry>, close: bool) {
    let settling = async {
        while !entry.lock().grants.is_settled() {
            entry.sync_requested.notify(usize::MAX);
            smol::Timer::after(LEAVE_CHECK_INTERVAL).await;
        }
        send_acks(entry).await;
        let shards = if close { entry.lock().grants.shards() } else { Vec::new() };
        for shard in shards {
            // Another sync may be in progress, and only a sync with the `leave` flag ends the
            // tenure.
            while entry.lock().grants.has_tenure(&shard) {
                sync_shard(entry, &shard, true).await;
                smol::Timer::after(LEAVE_CHECK_INTERVAL).await;
            }
        }
    };
    if time_limits::timeout(LEAVE_TIMEOUT, settling).await.is_none() {
        tracing::warn!(id = %entry.id, "stopped with unsettled bills; peers will settle them");
    }
}
