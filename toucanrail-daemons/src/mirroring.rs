//! Local replicas of the catalogue and the registrations, and their synchronization.
//!
//! Two entries per data centre sync from the platform's object API; all other processes sync from
//! entries. Watches only trigger an early sync: changes are always read by listing, so a watch that
//! misses events delays a change by about a second but loses nothing.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use toucanrail::catalogue::CatalogueTable;
use toucanrail::messages::{MirrorDelta, MirrorQuery, PeerUpdate, VmSnapshot};
use toucanrail::mirrors::MirrorTable;
use toucanrail::paths;
use toucanrail::servers::{NodeEntry, NodeRole};
use toucanrail::storecalls;
use toucanrail_wire::stores::ObjectStore;

use crate::fleet_client::{FleetClient, routes};

/// Interval between syncs of an entry, from the object API or from an entry that reads it.
pub const STORE_SYNC_INTERVAL: Duration = Duration::from_millis(700);
/// Interval between syncs of an agent from an entry.
pub const PEER_SYNC_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a call to a peer.
pub const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of queriers that are remembered.
const MAX_QUERIERS: usize = 4;

/// The replicated state of a process.
#[derive(Debug, Default)]
pub struct MirrorState {
    /// Objects of the catalogue.
    pub objects: MirrorTable,
    /// Catalogue in force, built from `objects`.
    pub catalogue: CatalogueTable,
    /// Objects of the registrations.
    pub nodes: MirrorTable,
    /// Latest list of VMs.
    pub vms: VmSnapshot,
    /// Entries that queried this process recently.
    queriers: VecDeque<SocketAddr>,
}

/// Shared handle to a process's replicas.
#[derive(Debug, Clone, Default)]
pub struct MirrorSet {
    state: Arc<Mutex<MirrorState>>,
}

impl MirrorSet {
    /// Creates empty replicas.
    pub fn new() -> Self {
        Self::default()
    }

    /// Locks the replicas.
    pub fn lock(&self) -> MutexGuard<'_, MirrorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the query for all objects newer than the local ones; `address` is the sender's, if it
    /// is an entry.
    pub fn query(&self, address: Option<SocketAddr>) -> MirrorQuery {
        let state = self.lock();
        let (catalogue, nodes) = (state.objects.seen(), state.nodes.seen());
        MirrorQuery { address, catalogue, nodes }
    }

    /// Remembers the entry that sent a query, as a source to sync from.
    ///
    /// This helps a process that knows no entries while the object API is down, for example one that
    /// was paused right after its start: it syncs from the entries that query it.
    pub fn record_querier(&self, query: &MirrorQuery) {
        let Some(address) = query.address else {
            return;
        };
        let mut state = self.lock();
        if !state.queriers.contains(&address) {
            state.queriers.push_front(address);
            state.queriers.truncate(MAX_QUERIERS);
        }
    }

    /// Returns the objects that are newer than a query states.
    pub fn updates_since(&self, id: &Arc<str>, leaving: bool, query: &MirrorQuery) -> PeerUpdate {
        let state = self.lock();
        PeerUpdate {
            id: Arc::clone(id),
            leaving,
            catalogue: state.objects.newer_than(query.catalogue),
            nodes: state.nodes.newer_than(query.nodes),
            vms: state.vms.clone(),
        }
    }

    /// Merges a listing of the catalogue; true if anything changed.
    pub fn apply_catalogue(&self, reply: MirrorDelta) -> bool {
        let mut state = self.lock();
        let changed = state.objects.merge(reply);
        for object in &changed {
            state.catalogue.apply(object);
        }
        !changed.is_empty()
    }

    /// Merges a listing of the registrations; true if anything changed.
    pub fn apply_nodes(&self, reply: MirrorDelta) -> bool {
        !self.lock().nodes.merge(reply).is_empty()
    }

    /// Merges a peer's update; true if the registrations changed.
    pub fn apply_update(&self, update: PeerUpdate) -> bool {
        self.apply_catalogue(update.catalogue);
        self.lock().vms.merge_newer(update.vms);
        self.apply_nodes(update.nodes)
    }

    /// Returns all registrations.
    pub fn node_entries(&self) -> Vec<NodeEntry> {
        let state = self.lock();
        let live = state.nodes.live();
        live.filter_map(|(_, _, value)| storecalls::decode_value(value)).collect()
    }

    /// Syncs from the object API once; false if it does not respond.
    pub async fn sync_from_store<Store>(&self, store: &Store) -> bool
    where
        Store: ObjectStore,
    {
        let (catalogue, nodes) = {
            let state = self.lock();
            (state.objects.seen(), state.nodes.seen())
        };
        let Some(reply) = store.list(paths::CATALOGUE, catalogue).await else {
            return false;
        };
        self.apply_catalogue(reply);
        let Some(reply) = store.list(paths::NODES, nodes).await else {
            return false;
        };
        self.apply_nodes(reply);
        if let Some(rows) = store.list_vms().await {
            let mut state = self.lock();
            state.vms.readings += 1;
            state.vms.vms = rows.into_iter().map(|row| (row.vm, row.leaving)).collect();
        }
        true
    }

    /// Syncs from the first entry that responds; false if none does. `own` is the address of the
    /// calling entry, `None` for an agent.
    pub async fn sync_from_entries(
        &self,
        client: &FleetClient,
        own: Option<SocketAddr>,
        entries: &[SocketAddr],
    ) -> bool {
        for address in entries {
            let query = self.query(own);
            let reply = client.send(*address, routes::MIRROR, &query, PEER_CALL_TIMEOUT).await;
            if let Ok(update) = reply {
                self.apply_update(update);
                return true;
            }
        }
        false
    }

    /// Returns the addresses of entries to sync from: up to three registered ones in random order,
    /// those of the data centre first, then the seeds, then recent queriers.
    pub fn sync_sources(&self, data_centre: &str, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        const MAX_REGISTERED: usize = 3;
        let nodes = self.node_entries();
        let mut entries: Vec<&NodeEntry> =
            nodes.iter().filter(|node| node.role == NodeRole::Entry).collect();
        fastrand::shuffle(&mut entries);
        entries.sort_by_key(|node| &*node.data_centre != data_centre);
        let registered = entries.into_iter().map(|node| node.address).take(MAX_REGISTERED);
        let queriers: Vec<SocketAddr> = self.lock().queriers.iter().copied().collect();
        registered.chain(seeds.iter().copied()).chain(queriers).collect()
    }
}
