//! The way to the store while an entry's own VM is cut off from it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use toucanrail::detours::{DetourTable, RelayEntry, StoreWay};
use toucanrail::timeouts::AdaptiveTimeout;

fn store() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 80))
}

fn relay(port: u16, data_centre: &str) -> RelayEntry {
    let address = SocketAddr::from(([10, 0, 0, 2], port));
    let (data_centre, region) = (Arc::from(data_centre), Arc::from("r"));
    RelayEntry { address, lending: address, data_centre, region, pace_us: None, hosted: false }
}

fn make_table() -> DetourTable {
    let mut table = DetourTable::new(store(), Arc::from("a"), Arc::from("r"));
    let relays = [("far", relay(1, "b")), ("near-1", relay(2, "a")), ("near-2", relay(3, "a"))];
    table.take_relays(relays.map(|(name, entry)| (Arc::from(name), entry)));
    table
}

/// A caller's customer is refused for want of a grant although its budget lasts: the entry's VM is
/// cut off from the store, while VMs beside it reach the store well. The entry goes through one of
/// these, in its own data centre.
#[test]
fn cut_entry() {
    let mut table = make_table();
    assert!(table.note_failure(&StoreWay::Direct, 0.0, Duration::from_secs(1)));
    assert_eq!(table.way().0, StoreWay::Relay(Arc::from("near-1")));
}

/// Three calls wait on the direct way when it breaks. Their failures come one after the other, and
/// the second and third must not take the relay away again that the first chose.
#[test]
fn late_failures() {
    let mut table = make_table();
    let now = Duration::from_secs(1);
    table.note_failure(&StoreWay::Direct, 0.0, now);
    assert!(!table.note_failure(&StoreWay::Direct, 0.9, now));
    assert_eq!(table.way().0, StoreWay::Relay(Arc::from("near-1")));
}

/// The store itself is away: each relay fails in turn, and the direct way is as good as any. When
/// the relays have rested they are tried again.
#[test]
fn absent_store() {
    let mut table = make_table();
    let mut now = Duration::from_secs(1);
    table.note_failure(&StoreWay::Direct, 0.0, now);
    for _ in 0..3 {
        let (way, _) = table.way();
        assert_ne!(way, StoreWay::Direct);
        table.note_failure(&way, 0.0, now);
    }
    assert_eq!(table.way().0, StoreWay::Direct);
    assert!(!table.note_failure(&StoreWay::Direct, 0.0, now));
    now += Duration::from_secs(6);
    assert!(table.note_failure(&StoreWay::Direct, 0.0, now));
}

/// The cut heals. The direct way is tried now and then, and taken as soon as it works.
#[test]
fn healed_cut() {
    let mut table = make_table();
    table.note_failure(&StoreWay::Direct, 0.0, Duration::from_secs(1));
    assert!(!table.wants_probe(Duration::from_secs(2)));
    assert!(table.wants_probe(Duration::from_secs(4)));
    assert!(!table.wants_probe(Duration::from_secs(5)));
    table.note_direct();
    assert_eq!(table.way(), (StoreWay::Direct, store()));
}

/// The VM of the relay in use is taken away, and its entry with it.
#[test]
fn removed_relay() {
    let mut table = make_table();
    table.note_failure(&StoreWay::Direct, 0.0, Duration::from_secs(1));
    table.take_relays([(Arc::from("far"), relay(1, "b"))]);
    assert_eq!(table.way().0, StoreWay::Direct);
}

/// A customer's grants were spread over a lender in each data centre, and most changes of its account
/// lost a race against the other three. Entries of one region agree on its lenders, near or far.
#[test]
fn regional_lenders() {
    let mut table = make_table();
    let abroad = RelayEntry { region: Arc::from("other"), ..relay(4, "z") };
    let rows = [("far", relay(1, "b")), ("near", relay(2, "a")), ("abroad", abroad)];
    table.take_relays(rows.map(|(name, entry)| (Arc::from(name), entry)));
    let names: Vec<Arc<str>> = table.lenders().into_iter().map(|(name, _)| name).collect();
    assert_eq!(names, [Arc::from("far"), Arc::from("near")]);
}

/// The store takes 356 ms an answer for some seconds. It was given up after 300 ms, waited for, and given
/// up again three answers later; each time callers were refused for want of grants that it would have
/// given. Once it was waited for, it is not given up again.
#[test]
fn slow_store() {
    let mut patience = AdaptiveTimeout::new();
    let answer = Duration::from_millis(356);
    let given_up = (0..40).filter(|_| {
        let silent = patience.wait() < answer;
        if silent {
            patience.record_timeout(patience.wait());
        } else {
            patience.record_response(answer);
        }
        silent
    });
    assert_eq!(given_up.count(), 1);
    for _ in 0..12 {
        patience.record_response(Duration::from_millis(4));
    }
    assert_eq!(patience.wait(), Duration::from_millis(300));
}

/// Entries host relays in a fleet that has no others; once there are some, budgets and the way to the store
/// go through those.
#[test]
fn hosted_relays() {
    let mut table = make_table();
    let hosted = |port| RelayEntry { hosted: true, ..relay(port, "a") };
    let names = |table: &DetourTable| {
        let lenders = table.lenders();
        lenders.into_iter().map(|(name, _)| name.to_string()).collect::<Vec<_>>()
    };
    table.take_relays([(Arc::from("front-1"), hosted(8)), (Arc::from("front-2"), hosted(9))]);
    assert!(table.is_hosted());
    assert_eq!(names(&table), ["front-1", "front-2"]);
    table.take_relays([(Arc::from("front-1"), hosted(8)), (Arc::from("side-1"), relay(1, "b"))]);
    assert!(!table.is_hosted());
    assert_eq!(names(&table), ["side-1"]);
    table.note_failure(&StoreWay::Direct, 0.0, Duration::from_secs(1));
    assert_eq!(table.way().0, StoreWay::Relay(Arc::from("side-1")));
}
