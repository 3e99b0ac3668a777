//! Background loops of the entry that follow the catalogue, the registrations, peers and agents.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use toucanrail::ids::AgentId;
use toucanrail::members;
use toucanrail::messages::{LoadReport, PeerUpdate};
use toucanrail::paths;
use toucanrail::servers::{NodeEntry, NodeRole};
use toucanrail_wire::stores::ObjectStore;

use crate::fleet_client::routes;
use crate::mirroring::{self, PEER_CALL_TIMEOUT};
use crate::registration;
use crate::state::Entry;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
const PROBE_INTERVAL: Duration = Duration::from_millis(600);
/// Maximum duration of one watch call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between watch calls.
const WATCH_PAUSE: Duration = Duration::from_millis(100);
/// Interval at which rates are updated and expired rows are dropped.
const TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Starts all loops in the background.
pub fn start(entry: &Arc<Entry>) {
    smol::spawn(sync_mirrors(Arc::clone(entry))).detach();
    smol::spawn(watch_catalogue(Arc::clone(entry))).detach();
    smol::spawn(send_heartbeats(Arc::clone(entry))).detach();
    smol::spawn(probe_agents(Arc::clone(entry))).detach();
    smol::spawn(run_ticks(Arc::clone(entry))).detach();
}

/// Tells whether this entry is one of those in its data centre that sync from the object API.
fn is_watcher(entry: &Entry) -> bool {
    let tables = entry.lock();
    let data_centre = &entry.settings.common.data_centre;
    let alive = tables.members.live_entries(&entry.id, data_centre, entry.now());
    members::pick_watchers(&alive, data_centre).contains(&entry.id)
}

async fn sync_mirrors(entry: Arc<Entry>) {
    loop {
        refresh(&entry).await;
        smol::Timer::after(mirroring::STORE_SYNC_INTERVAL).await;
    }
}

/// Syncs from the entries that read the object API, else from the API itself. If neither responds,
/// syncs from any known entry.
async fn refresh(entry: &Arc<Entry>) {
    let synced = !is_watcher(entry) && sync_from_watchers(entry).await;
    if !synced {
        let reached = entry.mirrors.sync_from_store(&entry.store).await;
        if !reached {
            entry.metrics.count_event("platform_silent");
            let sources = entry
                .mirrors
                .sync_sources(&entry.settings.common.data_centre, &entry.settings.common.peers);
            let others: Vec<SocketAddr> =
                sources.into_iter().filter(|address| *address != entry.node().address).collect();
            entry
                .mirrors
                .sync_from_entries(&entry.client, Some(entry.node().address), &others)
                .await;
        }
    }
    apply_mirrors(entry).await;
}

async fn sync_from_watchers(entry: &Arc<Entry>) -> bool {
    let watchers: Vec<SocketAddr> = {
        let tables = entry.lock();
        let data_centre = &entry.settings.common.data_centre;
        let alive = tables.members.live_entries(&entry.id, data_centre, entry.now());
        let watchers = members::pick_watchers(&alive, data_centre);
        let peers = tables.members.peers().filter(|peer| watchers.contains(&peer.node.id));
        peers.map(|peer| peer.node.address).collect()
    };
    entry.mirrors.sync_from_entries(&entry.client, Some(entry.node().address), &watchers).await
}

/// Updates the entry's tables from the replicas.
async fn apply_mirrors(entry: &Arc<Entry>) {
    let nodes = entry.mirrors.node_entries();
    let (customers, vms, version) = {
        let state = entry.mirrors.lock();
        let customers: Vec<_> =
            state.catalogue.customers().map(|customer| Arc::clone(&customer.name)).collect();
        (customers, state.vms.clone(), state.objects.seen())
    };
    entry.metrics.in_force.set(version.cast_signed());
    {
        let mut tables = entry.lock();
        tables.servers.apply_nodes(nodes.iter());
        tables.members.apply_nodes(&entry.id, nodes.iter(), entry.now());
        tables.members.apply_vms(vms);
        let leaving = tables.members.leaving_vms();
        tables.servers.mark_leaving_vms(&leaving);
        let agents = tables.servers.choose_agents(&entry.id);
        tables.grants.set_wanted_agents(agents);
        for customer in customers {
            let shard = entry.shard_of(&customer);
            tables.grants.add_account(&customer, &shard);
        }
    }
    remove_dead_registrations(entry, &nodes).await;
    // The registration is missing at startup, or if peers considered this entry dead and removed it.
    let registered = nodes.iter().any(|node| node.id == entry.id);
    if !registered && !entry.is_stopping() {
        entry.register(true).await;
    }
}

/// Removes the registrations of agents whose VM is no longer listed.
async fn remove_dead_registrations(entry: &Arc<Entry>, nodes: &[NodeEntry]) {
    let gone: Vec<AgentId> = {
        let tables = entry.lock();
        let agents = nodes.iter().filter(|node| node.role == NodeRole::Agent);
        let gone = agents.filter(|node| tables.members.is_vm_gone(&node.vm));
        gone.map(|node| Arc::clone(&node.id)).collect()
    };
    for agent in gone {
        entry.metrics.count_event("agents_gone");
        registration::write_registration(&entry.store, &agent, Vec::new()).await;
    }
}

/// Syncs early when a watch reports a change of the catalogue.
async fn watch_catalogue(entry: Arc<Entry>) {
    loop {
        if is_watcher(&entry) {
            let seen = entry.mirrors.lock().objects.seen();
            if entry.store.watch(paths::CATALOGUE, seen, WATCH_TIMEOUT).await {
                refresh(&entry).await;
            }
        }
        smol::Timer::after(WATCH_PAUSE).await;
    }
}

async fn send_heartbeats(entry: Arc<Entry>) {
    loop {
        let now = entry.now();
        let targets = entry.lock().members.update_heartbeat_targets(&entry.id, now);
        for (peer, address) in targets {
            smol::spawn(send_heartbeat(Arc::clone(&entry), peer, address)).detach();
        }
        smol::Timer::after(HEARTBEAT_INTERVAL).await;
    }
}

async fn send_heartbeat(entry: Arc<Entry>, peer: Arc<str>, address: SocketAddr) {
    let query = entry.mirrors.query(Some(entry.node().address));
    let reply: std::io::Result<PeerUpdate> =
        entry.client.send(address, routes::MIRROR, &query, PEER_CALL_TIMEOUT).await;
    let Ok(update) = reply else {
        entry.metrics.count_event("heartbeats_lost");
        return;
    };
    entry.lock().members.record_response(&peer, &update.id, entry.now());
    entry.mirrors.apply_update(update);
}

async fn probe_agents(entry: Arc<Entry>) {
    loop {
        let targets: Vec<(AgentId, SocketAddr, u64)> = {
            let tables = entry.lock();
            let chosen = tables.servers.choose_agents(&entry.id);
            let rows = chosen.iter().filter_map(|agent| tables.servers.get(agent));
            rows.map(|row| (Arc::clone(&row.agent), row.address, row.own)).collect()
        };
        for (agent, address, own) in targets {
            smol::spawn(probe_agent(Arc::clone(&entry), agent, address, own)).detach();
        }
        smol::Timer::after(PROBE_INTERVAL).await;
    }
}

async fn probe_agent(entry: Arc<Entry>, agent: AgentId, address: SocketAddr, own: u64) {
    let sent_at = entry.now();
    let query = entry.mirrors.query(Some(entry.node().address));
    let reply: std::io::Result<LoadReport> =
        entry.client.send(address, routes::LOAD, &query, PEER_CALL_TIMEOUT).await;
    let Ok(report) = reply else {
        entry.metrics.count_event("reports_lost");
        return;
    };
    if report.agent == agent {
        let now = entry.now();
        let mut tables = entry.lock();
        tables.servers.apply_report(&report, own, sent_at, now);
        let agents = tables.servers.choose_agents(&entry.id);
        tables.grants.set_wanted_agents(agents);
        return;
    }
    // Another incarnation responds at this address: the probed one is gone, with all its records.
    {
        let mut tables = entry.lock();
        tables.servers.record_leaving(&agent);
        tables.grants.record_acked(&agent, &BTreeSet::new(), true);
    }
    registration::write_registration(&entry.store, &agent, Vec::new()).await;
}

async fn run_ticks(entry: Arc<Entry>) {
    loop {
        smol::Timer::after(TICK_INTERVAL).await;
        let mut tables = entry.lock();
        tables.grants.update_burn_rates(TICK_INTERVAL);
        tables.limits.update_drain_rates(TICK_INTERVAL);
        let now = entry.now();
        tables.exhausted.retain(|_, (until, _)| *until > now);
    }
}
