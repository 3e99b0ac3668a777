//! The entry's loops that look at the fleet: catalogue, registrations, peers and agents.

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
const WATCH_WAIT: Duration = Duration::from_secs(10);
const WATCH_PAUSE: Duration = Duration::from_millis(100);
const TICK: Duration = Duration::from_secs(1);

/// Starts the loops.
pub fn start(entry: &Arc<Entry>) {
    smol::spawn(read_platform(Arc::clone(entry))).detach();
    smol::spawn(watch_platform(Arc::clone(entry))).detach();
    smol::spawn(send_heartbeats(Arc::clone(entry))).detach();
    smol::spawn(probe_agents(Arc::clone(entry))).detach();
    smol::spawn(tick(Arc::clone(entry))).detach();
}

/// Tells whether this entry is one of its data centre's that read the platform.
fn is_watcher(entry: &Entry) -> bool {
    let tables = entry.lock();
    let data_centre = &entry.settings.common.data_centre;
    let alive = tables.members.live_entries(&entry.id, data_centre, entry.now());
    members::pick_watchers(&alive, data_centre).contains(&entry.id)
}

async fn read_platform(entry: Arc<Entry>) {
    loop {
        refresh(&entry).await;
        smol::Timer::after(mirroring::STORE_SYNC_INTERVAL).await;
    }
}

async fn refresh(entry: &Arc<Entry>) {
    let asked = !is_watcher(entry) && ask_watchers(entry).await;
    if !asked {
        let reached = entry.mirrors.sync_from_store(&entry.store).await;
        if !reached {
            entry.metrics.count_event("platform_silent");
            let seeds = entry
                .mirrors
                .sync_sources(&entry.settings.common.data_centre, &entry.settings.common.peers);
            let others: Vec<SocketAddr> =
                seeds.into_iter().filter(|address| *address != entry.node().address).collect();
            entry
                .mirrors
                .sync_from_entries(&entry.client, Some(entry.node().address), &others)
                .await;
        }
    }
    take_mirrors(entry).await;
}

async fn ask_watchers(entry: &Arc<Entry>) -> bool {
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

/// Brings what the mirrors say into the tables.
async fn take_mirrors(entry: &Arc<Entry>) {
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
    end_registrations(entry, &nodes).await;
    // A registration may be missing at the start, or because peers took this entry for dead.
    let listed = nodes.iter().any(|node| node.id == entry.id);
    if !listed && !entry.is_stopping() {
        entry.register(true).await;
    }
}

/// Ends the registrations of agents whose VM has left the list.
async fn end_registrations(entry: &Arc<Entry>, nodes: &[NodeEntry]) {
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

/// Wakes the reader when the platform says that the catalogue changed.
async fn watch_platform(entry: Arc<Entry>) {
    loop {
        if is_watcher(&entry) {
            let seen = entry.mirrors.lock().objects.seen();
            if entry.store.watch(paths::CATALOGUE, seen, WATCH_WAIT).await {
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
    let order = entry.mirrors.query(Some(entry.node().address));
    let answer: std::io::Result<PeerUpdate> =
        entry.client.send(address, routes::MIRROR, &order, PEER_CALL_TIMEOUT).await;
    let Ok(news) = answer else {
        entry.metrics.count_event("heartbeats_lost");
        return;
    };
    entry.lock().members.record_response(&peer, &news.id, entry.now());
    entry.mirrors.apply_update(news);
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
    let asked = entry.now();
    let order = entry.mirrors.query(Some(entry.node().address));
    let answer: std::io::Result<LoadReport> =
        entry.client.send(address, routes::LOAD, &order, PEER_CALL_TIMEOUT).await;
    let Ok(report) = answer else {
        entry.metrics.count_event("reports_lost");
        return;
    };
    if report.agent == agent {
        let now = entry.now();
        let mut tables = entry.lock();
        tables.servers.apply_report(&report, own, asked, now);
        let agents = tables.servers.choose_agents(&entry.id);
        tables.grants.set_wanted_agents(agents);
        return;
    }
    // Another incarnation answers: this one is gone, with all that it knew.
    {
        let mut tables = entry.lock();
        tables.servers.record_leaving(&agent);
        tables.grants.record_acked(&agent, &BTreeSet::new(), true);
    }
    registration::write_registration(&entry.store, &agent, Vec::new()).await;
}

async fn tick(entry: Arc<Entry>) {
    loop {
        smol::Timer::after(TICK).await;
        let mut tables = entry.lock();
        tables.grants.update_burn_rates(TICK);
        tables.limits.update_drain_rates(TICK);
        let now = entry.now();
        tables.exhausted.retain(|_, (until, _)| *until > now);
    }
}
