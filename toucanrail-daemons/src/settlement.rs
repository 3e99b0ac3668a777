//! The entry's side of the budgets: holds, syncs, acknowledgements and recalls.

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

/// Time for which an account found exhausted is refused without asking again.
const EXHAUSTED_CACHE_TIME: Duration = Duration::from_millis(100);
/// Rounds of recalls for one request.
const MAX_RECALLS: u32 = 4;
/// Longest wait for a peer to give back unused grant.
const RECALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest wait of a recall for its own sync.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after a sync that brought nothing, however many requests wait for the next.
const SYNC_PAUSE: Duration = Duration::from_millis(20);
const ACK_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait of a stopping entry for its settlements.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(10);
const LEAVE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Starts the loops that settle.
pub fn start(entry: &Arc<Entry>) {
    smol::spawn(run_syncs(Arc::clone(entry))).detach();
}

/// Runs due syncs every flush, and at once while requests wait; one at a time a shard.
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
                    // A request that began to wait during this sync found it running, and
                    // would otherwise wait for the next flush.
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

/// Runs one sync of a shard if one is due; true if it took effect.
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
    let outcome = machine.into_outcome();
    let applied = matches!(outcome, SyncOutcome::Applied { .. } | SyncOutcome::Unchanged { .. });
    match outcome {
        SyncOutcome::Applied { .. } => entry.metrics.count_event("syncs"),
        SyncOutcome::Unchanged { .. } => entry.metrics.count_event("syncs_idle"),
        SyncOutcome::Unavailable => entry.metrics.count_event("syncs_unanswered"),
        // The next sync meets the same until the reclaim is done.
        SyncOutcome::Revoked { .. } if !entry.lock().grants.has_tenure(shard) => {}
        SyncOutcome::Revoked { .. } => {
            entry.metrics.count_event("tenures_lost");
            tracing::warn!(id = %entry.id, %shard, "tenure was revoked");
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

/// Moves old keyed requests of a shard to its archive.
async fn archive_keys(entry: &Arc<Entry>, shard: &ShardName) {
    let mut machine = ArchiveMachine::new(Arc::clone(shard), RECENT_KEY_LIMIT);
    while let Some(call) = machine.next_call() {
        machine.handle_reply(entry.store.call(&call).await);
    }
    if machine.has_moved() {
        entry.metrics.count_event("archives");
    }
}

/// Tells agents which runs are settled.
async fn send_acks(entry: &Arc<Entry>) {
    let pending = entry.lock().grants.pending_acks();
    for (agent, runs) in pending {
        send_ack(entry, &agent, runs).await;
    }
}

async fn send_ack(entry: &Arc<Entry>, agent: &AgentId, runs: Vec<RunId>) {
    let target = entry.lock().servers.get(agent).map(|row| (row.address, Arc::clone(&row.vm)));
    let Some((address, vm)) = target else {
        // Its registration has ended, so its process has.
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

/// Takes a hold, waiting for a sync and recalling from peers if the grant is short.
pub async fn acquire_hold(
    entry: &Arc<Entry>,
    customer: &CustomerId,
    amount: Tokens,
) -> Result<GrantHold, ResultCode> {
    {
        let mut tables = entry.lock();
        // The catalogue may have brought the customer a moment ago.
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
    let waited =
        time_limits::timeout(entry.settings.budget_wait, wait_hold(entry, customer, amount));
    let waited = waited.await.unwrap_or(Err(codetable::BUDGET_UNCONFIRMED));
    let mut tables = entry.lock();
    tables.grants.end_wait(customer, amount);
    if waited == Err(codetable::BUDGET_EXHAUSTED) {
        tables.exhausted.insert(Arc::clone(customer), (entry.now() + EXHAUSTED_CACHE_TIME, amount));
    }
    waited
}

/// Only a shard read after the request came may refuse it, and only after peers gave back what
/// they do not use.
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
                // Another entry may be short too and take it first: then there is another round.
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

/// Asks all peers at once for unused grant; returns how much they gave back.
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

/// Gives unused grant back to the shard for a peer; returns how much was reserved for it.
pub async fn release_unused(entry: &Arc<Entry>, command: &RecallCommand) -> Tokens {
    let synced = entry.sync_finished.listen();
    let released = entry.lock().grants.recall(&command.customer, command.wanted, &command.from);
    if released > 0 {
        entry.sync_requested.notify(usize::MAX);
        time_limits::timeout(RELEASE_TIMEOUT, synced).await;
    }
    released
}

/// Settles everything, has agents drop it, and ends all tenures.
///
/// With `close` false, holds are still open and the tenures stay for peers to reclaim.
pub async fn settle_all(entry: &Arc<Entry>, close: bool) {
    let settling = async {
        while !entry.lock().grants.is_settled() {
            entry.sync_requested.notify(usize::MAX);
            smol::Timer::after(LEAVE_CHECK_INTERVAL).await;
        }
        send_acks(entry).await;
        let shards = if close { entry.lock().grants.shards() } else { Vec::new() };
        for shard in shards {
            // A sync that was under way may come first: only the leaving one ends the tenure.
            while entry.lock().grants.has_tenure(&shard) {
                sync_shard(entry, &shard, true).await;
                smol::Timer::after(LEAVE_CHECK_INTERVAL).await;
            }
        }
    };
    if time_limits::timeout(LEAVE_TIMEOUT, settling).await.is_none() {
        tracing::warn!(id = %entry.id, "stopped with bills that peers will settle");
    }
}
