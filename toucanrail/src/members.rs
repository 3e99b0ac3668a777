//! Who belongs to the fleet, who reads the platform for whom, and who is gone.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use xxhash_rust::xxh3;

use crate::ids::{DataCentre, EntryId, VmId};
use crate::messages::VmSnapshot;
use crate::servers::{NodeEntry, NodeRole};

/// Entries of a data centre that watch the platform's object API for the others.
pub const WATCHER_COUNT: usize = 2;
/// Peers that each entry sends heartbeats to; in a small fleet, all.
pub const HEARTBEAT_TARGETS: usize = 8;
/// Silence after which a peer counts as gone, if nothing tells so earlier.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Returns the entries of a data centre that watch, by rendezvous rank among those alive.
///
/// # Examples
/// ```
/// use toucanrail::members;
/// let alive = ["a".into(), "b".into(), "c".into()];
/// assert_eq!(members::pick_watchers(&alive, &"south-a".into()).len(), 2);
/// ```
pub fn pick_watchers(alive: &[EntryId], data_centre: &DataCentre) -> BTreeSet<EntryId> {
    let seed = xxh3::xxh3_64(data_centre.as_bytes());
    let mut ranked: Vec<&EntryId> = alive.iter().collect();
    ranked.sort_by_key(|entry| xxh3::xxh3_64_with_seed(entry.as_bytes(), seed));
    ranked.into_iter().take(WATCHER_COUNT).map(Arc::clone).collect()
}

/// Returns the peers that an entry sends heartbeats to: its successors on a ring of hashes, so
/// that every entry is watched by as many.
pub fn pick_heartbeat_targets(me: &EntryId, peers: &[EntryId]) -> Vec<EntryId> {
    let place = |entry: &EntryId| xxh3::xxh3_64(entry.as_bytes());
    let mut ring: Vec<&EntryId> = peers.iter().filter(|peer| *peer != me).collect();
    let own = place(me);
    ring.sort_by_key(|peer| place(peer).wrapping_sub(own));
    ring.into_iter().take(HEARTBEAT_TARGETS).map(Arc::clone).collect()
}

/// Returns the live entries that send heartbeats to `peer`, nearest on the ring first: those that
/// can tell that it is gone, in the order in which they act.
///
/// # Examples
/// ```
/// use toucanrail::members;
/// let live = ["a".into(), "b".into()];
/// assert_eq!(members::rank_observers(&"c".into(), &live).len(), 2);
/// ```
pub fn rank_observers(peer: &EntryId, live: &[EntryId]) -> Vec<EntryId> {
    let mut all = live.to_vec();
    all.push(Arc::clone(peer));
    let place = |entry: &EntryId| xxh3::xxh3_64(entry.as_bytes());
    let watches = |entry: &&EntryId| pick_heartbeat_targets(entry, &all).contains(peer);
    let mut observers: Vec<EntryId> = live.iter().filter(watches).map(Arc::clone).collect();
    observers.sort_by_key(|entry| place(peer).wrapping_sub(place(entry)));
    observers
}

/// One peer entry.
#[derive(Debug, Clone, Serialize)]
pub struct PeerRow {
    /// Its registration.
    pub node: NodeEntry,
    /// When it was last heard of; at first, when it was first known.
    pub heard_at: Duration,
    /// Whether it is provably gone: another incarnation answers at its address, or its VM left
    /// the list.
    pub gone: bool,
}

/// The peers of an entry and the VM list.
#[derive(Debug, Default, Serialize)]
pub struct MemberTable {
    peers: BTreeMap<EntryId, PeerRow>,
    /// The VM list as last read.
    pub vms: VmSnapshot,
    /// Peers that this entry sends heartbeats to.
    watched: BTreeSet<EntryId>,
    seen_vms: BTreeSet<VmId>,
    gone_vms: BTreeSet<VmId>,
}

impl MemberTable {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the registrations of entries other than `me`.
    pub fn apply_nodes<'nodes, Nodes>(&mut self, me: &EntryId, nodes: Nodes, now: Duration)
    where
        Nodes: Iterator<Item = &'nodes NodeEntry>,
    {
        let mut known = BTreeSet::new();
        for node in nodes.filter(|node| node.role == NodeRole::Entry && node.id != *me) {
            known.insert(Arc::clone(&node.id));
            self.peers.entry(Arc::clone(&node.id)).or_insert_with(|| PeerRow {
                node: node.clone(),
                heard_at: now,
                gone: false,
            });
        }
        self.peers.retain(|peer, _| known.contains(peer));
    }

    /// Takes a VM list. A VM is gone only once it was on the list and no longer is: the list
    /// lags, so that a new VM is missing from it at first.
    pub fn apply_vms(&mut self, snapshot: VmSnapshot) {
        let listed: BTreeSet<VmId> = snapshot.vms.keys().map(Arc::clone).collect();
        self.gone_vms = self.seen_vms.difference(&listed).map(Arc::clone).collect();
        self.seen_vms.extend(listed);
        self.vms = snapshot;
        for peer in self.peers.values_mut() {
            peer.gone |= self.gone_vms.contains(&peer.node.vm);
        }
    }

    /// Notes who answered at a peer's address.
    pub fn note_answer(&mut self, peer: &EntryId, answered: &EntryId, now: Duration) {
        if let Some(row) = self.peers.get_mut(peer) {
            if answered == peer {
                row.heard_at = now;
            } else {
                row.gone = true;
            }
        }
    }

    /// Tells whether a VM has left the list.
    pub fn is_vm_gone(&self, vm: &VmId) -> bool {
        self.gone_vms.contains(vm)
    }

    /// Returns the VMs that are about to leave.
    pub fn leaving_vms(&self) -> BTreeSet<VmId> {
        let leaving = self.vms.vms.iter().filter(|(_, leaving)| **leaving);
        leaving.map(|(vm, _)| Arc::clone(vm)).chain(self.gone_vms.iter().map(Arc::clone)).collect()
    }

    /// Returns the peers.
    pub fn peers(&self) -> impl Iterator<Item = &PeerRow> {
        self.peers.values()
    }

    /// Chooses the peers to send heartbeats to, with their addresses; a newly chosen one counts as
    /// heard of now.
    pub fn update_heartbeat_targets(
        &mut self,
        me: &EntryId,
        now: Duration,
    ) -> Vec<(EntryId, SocketAddr)> {
        let ids: Vec<EntryId> = self.peers.keys().map(Arc::clone).collect();
        let chosen = pick_heartbeat_targets(me, &ids);
        for peer in &chosen {
            if let Some(row) = self.peers.get_mut(peer).filter(|_| !self.watched.contains(peer)) {
                row.heard_at = now;
            }
        }
        self.watched = chosen.iter().map(Arc::clone).collect();
        let rows = chosen.into_iter().filter_map(|peer| {
            let address = self.peers.get(&peer)?.node.address;
            Some((peer, address))
        });
        rows.collect()
    }

    /// Returns the peers that are gone, or silent for too long.
    ///
    /// Only those that this entry sends heartbeats to can be silent: in a larger fleet it never
    /// hears of the others, which proves nothing.
    pub fn lost_peers(&self, now: Duration) -> Vec<EntryId> {
        let lost = self.peers.values().filter(|row| row.gone || self.is_silent(row, now));
        lost.map(|row| Arc::clone(&row.node.id)).collect()
    }

    fn is_silent(&self, row: &PeerRow, now: Duration) -> bool {
        let watched = self.watched.contains(&row.node.id);
        watched && now.saturating_sub(row.heard_at) > PEER_TIMEOUT
    }

    /// Returns the entries of a data centre that seem alive, `me` included.
    pub fn live_entries(
        &self,
        me: &EntryId,
        data_centre: &DataCentre,
        now: Duration,
    ) -> Vec<EntryId> {
        let alive = self.peers.values().filter(|row| {
            row.node.data_centre == *data_centre && !row.gone && !self.is_silent(row, now)
        });
        alive.map(|row| Arc::clone(&row.node.id)).chain([Arc::clone(me)]).collect()
    }
}
