//! Selection of the store endpoint when an entry cannot reach the store directly.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use toucanrail::endpoints::{EndpointTable, RelayEntry, StoreEndpoint};
use toucanrail::timeouts::AdaptiveTimeout;

fn store() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 80))
}

fn relay(port: u16, data_centre: &str) -> RelayEntry {
    let address = SocketAddr::from(([10, 0, 0, 2], port));
    let (data_centre, region) = (Arc::from(data_centre), Arc::from("r"));
    RelayEntry { address, lending: address, data_centre, region, pace_us: None, hosted: false }
}

fn make_table() -> EndpointTable {
    let mut table = EndpointTable::new(store(), Arc::from("a"), Arc::from("r"));
    let relays = [("far", relay(1, "b")), ("near-1", relay(2, "a")), ("near-2", relay(3, "a"))];
    table.set_relays(relays.map(|(name, entry)| (Arc::from(name), entry)));
    table
}

/// An entry whose VM cannot reach the store refused customers with budget left, for lack of a
/// grant, while other VMs could reach the store. It must use a relay, preferably in its own data
/// centre.
#[test]
fn unreachable_store() {
    let mut table = make_table();
    assert!(table.record_failure(&StoreEndpoint::Direct, 0.0, Duration::from_secs(1)));
    assert_eq!(table.current().0, StoreEndpoint::Relay(Arc::from("near-1")));
}

/// Several calls are pending on the direct connection when it breaks. Their failures arrive one
/// after the other; the later ones must not replace the relay that was selected after the first.
#[test]
fn concurrent_failures() {
    let mut table = make_table();
    let now = Duration::from_secs(1);
    table.record_failure(&StoreEndpoint::Direct, 0.0, now);
    assert!(!table.record_failure(&StoreEndpoint::Direct, 0.9, now));
    assert_eq!(table.current().0, StoreEndpoint::Relay(Arc::from("near-1")));
}

/// The store itself is down: each relay fails in turn, and the direct connection is used. The
/// relays are tried again after the retry delay.
#[test]
fn store_outage() {
    let mut table = make_table();
    let mut now = Duration::from_secs(1);
    table.record_failure(&StoreEndpoint::Direct, 0.0, now);
    for _ in 0..3 {
        let (endpoint, _) = table.current();
        assert_ne!(endpoint, StoreEndpoint::Direct);
        table.record_failure(&endpoint, 0.0, now);
    }
    assert_eq!(table.current().0, StoreEndpoint::Direct);
    assert!(!table.record_failure(&StoreEndpoint::Direct, 0.0, now));
    now += Duration::from_secs(6);
    assert!(table.record_failure(&StoreEndpoint::Direct, 0.0, now));
}

/// While a relay is in use the direct connection is probed at intervals, and used as soon as a
/// probe succeeds.
#[test]
fn direct_connection_restored() {
    let mut table = make_table();
    table.record_failure(&StoreEndpoint::Direct, 0.0, Duration::from_secs(1));
    assert!(!table.start_due_probe(Duration::from_secs(2)));
    assert!(table.start_due_probe(Duration::from_secs(4)));
    assert!(!table.start_due_probe(Duration::from_secs(5)));
    table.restore_direct();
    assert_eq!(table.current(), (StoreEndpoint::Direct, store()));
}

/// The VM of the relay in use is removed, and the relay is no longer listed.
#[test]
fn removed_relay() {
    let mut table = make_table();
    table.record_failure(&StoreEndpoint::Direct, 0.0, Duration::from_secs(1));
    table.set_relays([(Arc::from("far"), relay(1, "b"))]);
    assert_eq!(table.current().0, StoreEndpoint::Direct);
}

/// A board tells an entry of changes of single relays. The relay in use is removed from the store;
/// another one that failed lately writes its pace and must not be chosen as if it had not failed.
#[test]
fn changed_relays() {
    let mut table = make_table();
    let now = Duration::from_secs(1);
    for endpoint in ["near-1", "near-2"] {
        table.record_failure(&table.current().0, 0.0, now);
        assert_eq!(table.current().0, StoreEndpoint::Relay(Arc::from(endpoint)));
    }
    let measured = RelayEntry { pace_us: Some(9), ..relay(2, "a") };
    table.apply_change(&Arc::from("near-1"), Some(measured));
    table.apply_change(&Arc::from("near-2"), None);
    assert_eq!(table.current().0, StoreEndpoint::Direct);
    assert_eq!(table.paces().len(), 1);
    table.record_failure(&StoreEndpoint::Direct, 0.0, now);
    assert_eq!(table.current().0, StoreEndpoint::Relay(Arc::from("far")));
}

/// With a lender per data centre, most writes to a customer's account lost the race against the
/// other lenders. All entries of a region must use the same lenders, whatever their data centre.
#[test]
fn regional_lenders() {
    let mut table = make_table();
    let abroad = RelayEntry { region: Arc::from("other"), ..relay(4, "z") };
    let rows = [("far", relay(1, "b")), ("near", relay(2, "a")), ("abroad", abroad)];
    table.set_relays(rows.map(|(name, entry)| (Arc::from(name), entry)));
    let names: Vec<Arc<str>> = table.lenders().into_iter().map(|(name, _)| name).collect();
    assert_eq!(names, [Arc::from("far"), Arc::from("near")]);
}

/// For some seconds the store takes 356 ms per response, more than the initial timeout of 300 ms.
/// The timeout was raised after the first failure but lowered again three responses later, and each
/// timed-out call led to refusals for lack of a grant. Only the first call may time out.
#[test]
fn slow_store() {
    let mut timeout = AdaptiveTimeout::new();
    let response_time = Duration::from_millis(356);
    let timeouts = (0..40).filter(|_| {
        let timed_out = timeout.wait() < response_time;
        if timed_out {
            timeout.record_timeout(timeout.wait());
        } else {
            timeout.record_response(response_time);
        }
        timed_out
    });
    assert_eq!(timeouts.count(), 1);
    for _ in 0..12 {
        timeout.record_response(Duration::from_millis(4));
    }
    assert_eq!(timeout.wait(), Duration::from_millis(300));
}

/// In a fleet without relays on VMs of their own, entries host relays. As soon as there are relays
/// on VMs of their own, these alone lend budget and forward connections to the store.
#[test]
fn hosted_relays() {
    let mut table = make_table();
    let hosted = |port| RelayEntry { hosted: true, ..relay(port, "a") };
    let names = |table: &EndpointTable| {
        let lenders = table.lenders();
        lenders.into_iter().map(|(name, _)| name.to_string()).collect::<Vec<_>>()
    };
    table.set_relays([(Arc::from("front-1"), hosted(8)), (Arc::from("front-2"), hosted(9))]);
    assert!(table.uses_hosted_relays());
    assert_eq!(names(&table), ["front-1", "front-2"]);
    table.set_relays([(Arc::from("front-1"), hosted(8)), (Arc::from("side-1"), relay(1, "b"))]);
    assert!(!table.uses_hosted_relays());
    assert_eq!(names(&table), ["side-1"]);
    table.record_failure(&StoreEndpoint::Direct, 0.0, Duration::from_secs(1));
    assert_eq!(table.current().0, StoreEndpoint::Relay(Arc::from("side-1")));
}
