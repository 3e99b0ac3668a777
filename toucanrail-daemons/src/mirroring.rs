//! Keeps a process's mirrors of the catalogue and of the registrations up to date.
//!
//! Two entries a data centre read the platform's object API; all other processes ask entries. The
//! watches only wake the readers: what changed is always listed, so that a watch with gaps costs a
//! second and loses nothing.

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

/// Time between two looks at the platform by a process that reads it.
pub const STORE_SYNC_INTERVAL: Duration = Duration::from_millis(700);
/// Time between two questions to a peer by a process that does not.
pub const PEER_SYNC_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for a peer's answer.
pub const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Entries remembered that asked this process.
const ASKERS: usize = 4;

/// All that a process mirrors.
#[derive(Debug, Default)]
pub struct MirrorState {
    /// The catalogue's objects.
    pub objects: MirrorTable,
    /// The catalogue in force.
    pub catalogue: CatalogueTable,
    /// The registrations' objects.
    pub nodes: MirrorTable,
    /// The VM list.
    pub vms: VmSnapshot,
    /// Entries that asked this process lately.
    askers: VecDeque<SocketAddr>,
}

/// Shared mirrors.
#[derive(Debug, Clone, Default)]
pub struct MirrorSet {
    state: Arc<Mutex<MirrorState>>,
}

impl MirrorSet {
    /// Makes empty mirrors.
    pub fn new() -> Self {
        Self::default()
    }

    /// Locks the mirrors.
    pub fn lock(&self) -> MutexGuard<'_, MirrorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the question for what is not known yet.
    pub fn query(&self, address: Option<SocketAddr>) -> MirrorQuery {
        let state = self.lock();
        let (catalogue, nodes) = (state.objects.seen(), state.nodes.seen());
        MirrorQuery { address, catalogue, nodes }
    }

    /// Remembers an entry that asked.
    ///
    /// Guards against a process that knows no entry while the platform is down, as one that was
    /// paused right after its start: it asks those that ask it.
    pub fn record_querier(&self, order: &MirrorQuery) {
        let Some(address) = order.address else {
            return;
        };
        let mut state = self.lock();
        if !state.askers.contains(&address) {
            state.askers.push_front(address);
            state.askers.truncate(ASKERS);
        }
    }

    /// Returns what an asker does not know.
    pub fn updates_since(&self, id: &Arc<str>, leaving: bool, order: &MirrorQuery) -> PeerUpdate {
        let state = self.lock();
        PeerUpdate {
            id: Arc::clone(id),
            leaving,
            catalogue: state.objects.newer_than(order.catalogue),
            nodes: state.nodes.newer_than(order.nodes),
            vms: state.vms.clone(),
        }
    }

    /// Takes a listing of the catalogue; true if anything was news.
    pub fn apply_catalogue(&self, reply: MirrorDelta) -> bool {
        let mut state = self.lock();
        let news = state.objects.merge(reply);
        for object in &news {
            state.catalogue.apply(object);
        }
        !news.is_empty()
    }

    /// Takes a listing of the registrations; true if anything was news.
    pub fn apply_nodes(&self, reply: MirrorDelta) -> bool {
        !self.lock().nodes.merge(reply).is_empty()
    }

    /// Takes a peer's news; true if the registrations changed.
    pub fn apply_update(&self, news: PeerUpdate) -> bool {
        self.apply_catalogue(news.catalogue);
        self.lock().vms.merge_newer(news.vms);
        self.apply_nodes(news.nodes)
    }

    /// Returns all registrations.
    pub fn node_entries(&self) -> Vec<NodeEntry> {
        let state = self.lock();
        let live = state.nodes.live();
        live.filter_map(|(_, _, value)| storecalls::decode_value(value)).collect()
    }

    /// Reads the platform once; false if it does not answer.
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

    /// Asks entries in turn until one answers; false if none does.
    pub async fn sync_from_entries(
        &self,
        client: &FleetClient,
        own: Option<SocketAddr>,
        entries: &[SocketAddr],
    ) -> bool {
        for address in entries {
            let order = self.query(own);
            let answer = client.send(*address, routes::MIRROR, &order, PEER_CALL_TIMEOUT).await;
            if let Ok(news) = answer {
                self.apply_update(news);
                return true;
            }
        }
        false
    }

    /// Returns the addresses of entries to ask: those of a data centre first, then the seeds, then
    /// those that asked.
    pub fn sync_sources(&self, data_centre: &str, seeds: &[SocketAddr]) -> Vec<SocketAddr> {
        const ASKED: usize = 3;
        let nodes = self.node_entries();
        let mut entries: Vec<&NodeEntry> =
            nodes.iter().filter(|node| node.role == NodeRole::Entry).collect();
        fastrand::shuffle(&mut entries);
        entries.sort_by_key(|node| &*node.data_centre != data_centre);
        let known = entries.into_iter().map(|node| node.address).take(ASKED);
        let askers: Vec<SocketAddr> = self.lock().askers.iter().copied().collect();
        known.chain(seeds.iter().copied()).chain(askers).collect()
    }
}
