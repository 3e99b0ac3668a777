//! Reclaims the budget tenures of entries that have died.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use toucanrail::ids::{AgentId, EntryId, RunId, ShardName};
use toucanrail::members;
use toucanrail::messages::{AckCommand, AgentReply, FenceCommand, FenceReply};
use toucanrail::reclaims::{ReclaimCall, ReclaimMachine, ReclaimOutcome, ReclaimReply};
use toucanrail::servers::{self, NodeEntry};
use toucanrail::storecalls;
use toucanrail_wire::stores::ObjectStore;

use crate::fleet_client::routes;
use crate::registration;
use crate::state::Entry;

const CHECK_INTERVAL: Duration = Duration::from_millis(300);
const FENCE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time for peers to finish the reclaim of this entry's own tenure before this entry tries to.
const OWN_RECLAIM_INTERVAL: Duration = Duration::from_secs(3);
/// Delay of each entry relative to the one before it in rank, so that normally only one of them
/// reclaims.
const RANK_DELAY: Duration = Duration::from_secs(2);

/// Checks for lost peers periodically and reclaims their tenures.
pub async fn watch_lost_peers(entry: Arc<Entry>) {
    let mut lost_since: BTreeMap<EntryId, Duration> = BTreeMap::new();
    loop {
        smol::Timer::after(CHECK_INTERVAL).await;
        let now = entry.now();
        let mut lost = entry.lock().members.lost_peers(now);
        lost.extend(find_unregistered_holders(&entry));
        lost_since.retain(|peer, _| lost.contains(peer));
        for peer in lost {
            let since = *lost_since.entry(Arc::clone(&peer)).or_insert(now);
            if now.saturating_sub(since) >= reclaim_delay(&entry, &peer)
                && may_reclaim(&entry, &peer)
            {
                reclaim_all(&entry, &peer).await;
            }
        }
    }
}

/// Finds holders of tenures whose registration has ended. They are no longer among the peers, so
/// `lost_peers` does not report them.
fn find_unregistered_holders(entry: &Entry) -> Vec<EntryId> {
    let holders: BTreeSet<EntryId> = {
        let tables = entry.lock();
        let shards = tables.grants.shards();
        shards.iter().flat_map(|shard| tables.grants.holders(shard)).collect()
    };
    let state = entry.mirrors.lock();
    let ended = |holder: &EntryId| {
        state.nodes.version(holder).is_some() && state.nodes.get(holder).is_none()
    };
    holders.into_iter().filter(|holder| *holder != entry.id && ended(holder)).collect()
}

/// Returns how long this entry waits before it reclaims the tenures of `dead`, by its rank among
/// the live entries; the first in rank does not wait.
fn reclaim_delay(entry: &Entry, dead: &EntryId) -> Duration {
    let tables = entry.lock();
    let lost = tables.members.lost_peers(entry.now());
    let peers = tables.members.peers().map(|peer| Arc::clone(&peer.node.id));
    let live: Vec<EntryId> =
        peers.filter(|peer| !lost.contains(peer)).chain([Arc::clone(&entry.id)]).collect();
    let ring = members::rank_observers(dead, &live);
    let rank = ring.iter().position(|peer| *peer == entry.id).unwrap_or(ring.len());
    RANK_DELAY * rank as u32
}

/// Tells whether this entry may reclaim the tenures of `dead`.
///
/// A peer that does not respond may be on the other side of a network partition. Its tenures are
/// reclaimed only if this entry reaches every agent, as its budget cannot be returned before all
/// agents have fenced it.
fn may_reclaim(entry: &Entry, dead: &EntryId) -> bool {
    let tables = entry.lock();
    let now = entry.now();
    let known = tables.members.peers().find(|peer| peer.node.id == *dead);
    let gone = known.is_none_or(|peer| peer.gone);
    gone || tables.servers.rows().all(|row| {
        let silent = row.heard_at.is_none_or(|at| now.saturating_sub(at) > servers::AGENT_TIMEOUT);
        !silent || tables.members.is_vm_gone(&row.vm)
    })
}

async fn reclaim_all(entry: &Arc<Entry>, dead: &EntryId) {
    let shards: BTreeSet<ShardName> = entry.lock().grants.shards().into_iter().collect();
    let mut finished = true;
    for shard in shards {
        match reclaim(entry, &shard, dead).await {
            ReclaimOutcome::Closed { proved, bills, runs, .. } => {
                entry.metrics.count_event("tenures_reclaimed");
                tracing::info!(%dead, %shard, proved, bills, "tenure reclaimed");
                acknowledge_runs(entry, runs).await;
            }
            ReclaimOutcome::NotNeeded => {}
            ReclaimOutcome::Waiting
            | ReclaimOutcome::Reduced { .. }
            | ReclaimOutcome::Unavailable => finished = false,
        }
    }
    if finished {
        registration::write_registration(&entry.store, dead, Vec::new()).await;
    }
}

/// Finishes the reclaim of this entry's own revoked tenure if no peer does.
///
/// Guards against budget that stays revoked: if an entry was wrongly considered lost, the peer that
/// began the reclaim no longer considers it lost and may never finish.
pub async fn reclaim_own(entry: Arc<Entry>, shard: ShardName) {
    loop {
        smol::Timer::after(OWN_RECLAIM_INTERVAL).await;
        let outcome = reclaim(&entry, &shard, &entry.id).await;
        if matches!(outcome, ReclaimOutcome::Closed { .. } | ReclaimOutcome::NotNeeded) {
            return;
        }
    }
}

async fn reclaim(entry: &Arc<Entry>, shard: &ShardName, dead: &EntryId) -> ReclaimOutcome {
    let (shard, dead) = (Arc::clone(shard), Arc::clone(dead));
    let mut machine = ReclaimMachine::new(shard, dead, Arc::clone(&entry.id), true);
    while let Some(call) = machine.next_call() {
        let reply = match call {
            ReclaimCall::Store(call) => ReclaimReply::Store(entry.store.call(&call).await),
            ReclaimCall::Fence { agent, shard, epoch } => {
                fence(entry, &agent, FenceCommand { shard, epoch }).await
            }
        };
        machine.handle_reply(reply);
    }
    entry.metrics.report_unreadable(machine.unreadable());
    machine.into_outcome()
}

async fn fence(entry: &Arc<Entry>, agent: &AgentId, command: FenceCommand) -> ReclaimReply {
    if is_agent_gone(entry, agent) {
        return ReclaimReply::Gone;
    }
    let Some(address) = agent_address(entry, agent) else {
        return ReclaimReply::Unreachable;
    };
    let reply: std::io::Result<FenceReply> =
        entry.client.send(address, routes::FENCE, &command, FENCE_TIMEOUT).await;
    reply.map_or(ReclaimReply::Unreachable, ReclaimReply::Fenced)
}

/// Returns the address of a registered agent.
pub fn agent_address(entry: &Entry, agent: &AgentId) -> Option<SocketAddr> {
    let state = entry.mirrors.lock();
    let node: NodeEntry = storecalls::decode_value(state.nodes.get(agent)?)?;
    Some(node.address)
}

/// Tells whether an incarnation of an agent is provably gone: its registration has ended, or its VM
/// is no longer in the VM list. An agent whose registration was never seen may be new.
pub fn is_agent_gone(entry: &Entry, agent: &AgentId) -> bool {
    let node: Option<NodeEntry> = {
        let state = entry.mirrors.lock();
        if state.nodes.version(agent).is_none() {
            return false;
        }
        state.nodes.get(agent).and_then(storecalls::decode_value)
    };
    node.is_none_or(|node| entry.lock().members.is_vm_gone(&node.vm))
}

async fn acknowledge_runs(entry: &Arc<Entry>, runs: BTreeMap<AgentId, Vec<RunId>>) {
    for (agent, runs) in runs.into_iter().filter(|(_, runs)| !runs.is_empty()) {
        let Some(address) = agent_address(entry, &agent) else {
            continue;
        };
        let command = AckCommand { runs };
        let reply: std::io::Result<AgentReply> =
            entry.client.send(address, routes::ACK, &command, FENCE_TIMEOUT).await;
        if reply.is_err() {
            entry.metrics.count_event("acks_lost");
        }
    }
}
