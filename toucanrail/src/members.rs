//! Members of the fleet: which entries watch the platform for the others, which exchange
//! heartbeats, and which are gone.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use xxhash_rust::xxh3;

use crate::ids::{DataCentre, EntryId, VmId};
use crate::messages::VmSnapshot;
use crate::servers::{NodeEntry, NodeRole};

/// Number of entries per data centre that watch the platform's object API for the others.
pub const WATCHER_COUNT: usize = 2;
/// Number of peers to which each entry sends heartbeats; all of them in a small fleet.
pub const HEARTBEAT_TARGETS: usize = 8;
/// Time without a response after which a peer counts as gone, unless other evidence shows it
/// earlier.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Returns the entries of a data centre that watch the platform: those with the highest rendezvous
/// rank among the live ones.
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

/// Returns the peers that an entry sends heartbeats to: its successors on a hash ring, so that
/// every entry is observed by the same number of peers.
pub fn pick_heartbeat_targets(me: &EntryId, peers: &[EntryId]) -> Vec<EntryId> {
    let position = |entry: &EntryId| xxh3::xxh3_64(entry.as_bytes());
    let mut ring: Vec<&EntryId> = peers.iter().filter(|peer| *peer != me).collect();
    let own = position(me);
    ring.sort_by_key(|peer| position(peer).wrapping_sub(own));
    ring.into_iter().take(HEARTBEAT_TARGETS).map(Arc::clone).collect()
}

/// Returns the live entries that send heartbeats to `peer` and can detect its failure, nearest on
/// the ring first; they act in this order.
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
    let position = |entry: &EntryId| xxh3::xxh3_64(entry.as_bytes());
    let watches = |entry: &&EntryId| pick_heartbeat_targets(entry, &all).contains(peer);
    let mut observers: Vec<EntryId> = live.iter().filter(watches).map(Arc::clone).collect();
    observers.sort_by_key(|entry| position(peer).wrapping_sub(position(entry)));
    observers
}

/// One peer entry.
#[derive(Debug, Clone, Serialize)]
pub struct PeerRow {
    /// Registration of the peer.
    pub node: NodeEntry,
    /// When the peer was last heard from; initially, when it became known.
    pub heard_at: Duration,
    /// Whether the peer is known to be gone: another incarnation responds at its address, or its VM
    /// has left the VM list.
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
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Updates the peers from the registrations of entries other than `me`: adds the new ones and
    /// removes those no longer registered.
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

    /// Replaces the VM list. A VM is gone only if it was on an earlier list and no longer is: the
    /// list lags, so a new VM is missing from it at first.
    pub fn apply_vms(&mut self, snapshot: VmSnapshot) {
        let listed: BTreeSet<VmId> = snapshot.vms.keys().map(Arc::clone).collect();
        self.gone_vms = self.seen_vms.difference(&listed).map(Arc::clone).collect();
        self.seen_vms.extend(listed);
        self.vms = snapshot;
        for peer in self.peers.values_mut() {
            peer.gone |= self.gone_vms.contains(&peer.node.vm);
        }
    }

    /// Records which entry responded at a peer's address.
    pub fn record_response(&mut self, peer: &EntryId, responder: &EntryId, now: Duration) {
        if let Some(row) = self.peers.get_mut(peer) {
            if responder == peer {
                row.heard_at = now;
            } else {
                row.gone = true;
            }
        }
    }

    /// Returns whether a VM has left the VM list.
    pub fn is_vm_gone(&self, vm: &VmId) -> bool {
        self.gone_vms.contains(vm)
    }

    /// Returns the VMs that are leaving or gone.
    pub fn leaving_vms(&self) -> BTreeSet<VmId> {
        let leaving = self.vms.vms.iter().filter(|(_, leaving)| **leaving);
        leaving.map(|(vm, _)| Arc::clone(vm)).chain(self.gone_vms.iter().map(Arc::clone)).collect()
    }

    /// Returns the peers.
    pub fn peers(&self) -> impl Iterator<Item = &PeerRow> {
        self.peers.values()
    }

    /// Chooses the peers to send heartbeats to, and returns them with their addresses. A newly
    /// chosen peer counts as heard from now.
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

    /// Returns the peers that are gone or have not responded for too long.
    ///
    /// Only peers that this entry sends heartbeats to can time out: in a larger fleet it never
    /// hears from the others, which proves nothing.
    pub fn lost_peers(&self, now: Duration) -> Vec<EntryId> {
        let lost = self.peers.values().filter(|row| row.gone || self.is_silent(row, now));
        lost.map(|row| Arc::clone(&row.node.id)).collect()
    }

    fn is_silent(&self, row: &PeerRow, now: Duration) -> bool {
        let watched = self.watched.contains(&row.node.id);
        watched && now.saturating_sub(row.heard_at) > PEER_TIMEOUT
    }

    /// Returns the entries of a data centre that seem alive, including `me`.
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
