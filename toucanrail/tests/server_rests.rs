//! Servers that want no requests for some time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use toucanrail::backends::{BackendEntry, BackendTable};

const REST: Duration = Duration::from_secs(3);

fn at(millis: u64) -> Duration {
    Duration::from_secs(60) + Duration::from_millis(millis)
}

fn make_entry(id: &str, started_at: u64) -> BackendEntry {
    BackendEntry {
        id: Arc::from(id),
        service: Arc::from("llm"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: Arc::from("a"),
        slots: 64,
        draining: false,
        started_at,
        cold: Duration::ZERO,
        revision: started_at,
    }
}

fn make_table(ids: &[&str]) -> BackendTable {
    let mut table = BackendTable::new();
    for id in ids {
        table.apply_entry(make_entry(id, 1));
    }
    table
}

/// Records that the first process of a server asks for rest.
fn rest(table: &mut BackendTable, id: &str, time: Duration, now: Duration) {
    table.statements_mut(&make_entry(id, 1).process()).record_rest(time, now);
}

fn eligible(table: &BackendTable, now: Duration) -> Vec<&str> {
    table.eligible("llm", &[], now).into_iter().map(|row| &*row.entry.id).collect()
}

/// One server rests and the other one is down. Guards against the fallback to servers out of
/// rotation, which must not disturb a server that asked for rest.
#[test]
fn no_fallback_to_rest() {
    let mut table = make_table(&["s1", "s2"]);
    rest(&mut table, "s1", REST, at(0));
    table.record_connect_failure("s2", at(0));
    assert_eq!(eligible(&table, at(10)), ["s2"]);
    assert_eq!(eligible(&table, at(2_999)), ["s2"]);
    assert_eq!(eligible(&table, at(3_000)), ["s1", "s2"]);
}

/// A server is asked by two requests and states a shorter rest the second time, and its
/// registration is renewed meanwhile. Guards against a rest that is cut short.
#[test]
fn longest_rest() {
    let mut table = make_table(&["s1"]);
    rest(&mut table, "s1", REST, at(10));
    rest(&mut table, "s1", Duration::from_millis(100), at(20));
    table.apply_entry(make_entry("s1", 1));
    assert!(eligible(&table, at(3_000)).is_empty());
    assert_eq!(table.rest_left("llm", at(2_000)), Some(Duration::from_millis(1_010)));
    assert_eq!(table.rest_left("llm", at(3_010)), None);
}

/// A server restarts under its id, and a response of the previous process arrives later. Guards
/// against a rest of the new process, which did not ask for it.
#[test]
fn previous_process() {
    let mut table = make_table(&["s1"]);
    table.apply_entry(make_entry("s1", 2));
    rest(&mut table, "s1", REST, at(10));
    assert_eq!(eligible(&table, at(20)), ["s1"]);
}
