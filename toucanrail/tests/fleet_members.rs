//! Heartbeats between entries, and detection of lost peers and VMs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use toucanrail::ids::EntryId;
use toucanrail::members::{self, MemberTable};
use toucanrail::messages::VmSnapshot;
use toucanrail::servers::{NodeEntry, NodeRole};

fn entry_ids(count: usize) -> Vec<EntryId> {
    (0..count).map(|at| Arc::from(format!("entry-{at}"))).collect()
}

fn node(id: &EntryId) -> NodeEntry {
    NodeEntry {
        id: Arc::clone(id),
        role: NodeRole::Entry,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: Arc::from("fi-south-a"),
        vm: Arc::clone(id),
        service: None,
    }
}

/// A fleet of 24 entries that each send heartbeats to eight peers. Guards against treating the
/// silence of the other peers as their failure: entries ended each other's registrations and
/// registered again, and an idle fleet made 139 writes a second to the object API.
#[test]
fn unwatched_peers() {
    let all = entry_ids(24);
    let (me, second) = (&all[0], Duration::from_secs(1));
    let nodes: Vec<NodeEntry> = all.iter().map(node).collect();
    let mut table = MemberTable::new();
    table.apply_nodes(me, nodes.iter(), Duration::ZERO);
    for tick in 0..20 {
        for (peer, _) in table.update_heartbeat_targets(me, second * tick) {
            table.record_response(&peer, &peer, second * tick);
        }
    }
    assert!(table.lost_peers(second * 20).is_empty());
    let lost = table.lost_peers(second * 25);
    assert_eq!(lost.len(), members::HEARTBEAT_TARGETS, "the peers that stopped responding");
}

/// Each failed entry of a large fleet is detected by several others, and they agree on which one
/// acts first.
#[test]
fn observer_ranks() {
    let all = entry_ids(40);
    for dead in &all {
        let live: Vec<EntryId> =
            all.iter().filter(|entry| *entry != dead).map(Arc::clone).collect();
        let observers = members::rank_observers(dead, &live);
        assert_eq!(observers.len(), members::HEARTBEAT_TARGETS);
        for observer in &observers {
            assert!(members::pick_heartbeat_targets(observer, &all).contains(dead));
        }
    }
}

#[test]
fn lagging_list() {
    let mut table = MemberTable::new();
    let snapshot = |names: &[&str], readings| VmSnapshot {
        vms: names.iter().map(|name| (Arc::from(*name), false)).collect(),
        readings,
    };
    table.apply_vms(snapshot(&["old"], 1));
    assert!(!table.is_vm_gone(&Arc::from("new")), "the list may only lag");
    table.apply_vms(snapshot(&["old", "new"], 2));
    table.apply_vms(snapshot(&["new"], 3));
    assert!(table.is_vm_gone(&Arc::from("old")));
    table.apply_vms(snapshot(&["new", "old"], 4));
    assert!(!table.is_vm_gone(&Arc::from("old")), "the VM is listed again");
}

#[test]
fn heartbeat_ring() {
    let peers: Vec<Arc<str>> = (0..100).map(|at| Arc::from(format!("entry-{at}"))).collect();
    let mut watched: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    for peer in &peers {
        let targets = members::pick_heartbeat_targets(peer, &peers);
        assert_eq!(targets.len(), members::HEARTBEAT_TARGETS);
        for target in targets {
            *watched.entry(target).or_default() += 1;
        }
    }
    assert!(watched.len() == 100 && watched.values().all(|count| *count == 8));
}
