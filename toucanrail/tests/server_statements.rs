//! What servers state in their responses: rests and departures, also over changes of their
//! registrations.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use toucanrail::backends::{BackendEntry, BackendTable, MISSING_GRACE};

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
        software_version: "v1".into(),
        slots: 64,
        draining: false,
        started_at,
        cold: Duration::ZERO,
        revision: started_at,
    }
}

/// Creates a table with the first processes of some servers.
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

fn is_eligible(table: &BackendTable, now: Duration) -> bool {
    !eligible(table, now).is_empty()
}

/// A server states that it leaves, and its registration is renewed as ready. Guards against new
/// work, until another process starts under its id.
#[test]
fn renewed_registration() {
    let mut table = make_table(&["s1"]);
    table.statements_mut(&make_entry("s1", 1).process()).is_leaving = true;
    table.apply_entry(BackendEntry { revision: 2, ..make_entry("s1", 1) });
    assert!(!is_eligible(&table, at(10)));
    table.apply_entry(make_entry("s1", 2));
    assert!(is_eligible(&table, at(20)));
}

/// A server's registration expires in an outage of the store and comes back too late, from the same
/// process. Guards against statements that are forgotten meanwhile.
#[test]
fn returned_registration() {
    let mut table = make_table(&["s1"]);
    let statements = table.statements_mut(&make_entry("s1", 1).process());
    statements.record_rest(REST, at(0));
    statements.record_rate_limit(Some(2.0), at(0), at(0));
    table.record_missing("s1", Some(at(100)));
    assert_eq!(table.drop_expired(at(101) + MISSING_GRACE).len(), 1);
    table.apply_entry(make_entry("s1", 1));
    assert!(!is_eligible(&table, at(2_999)));
    assert!(is_eligible(&table, at(3_000)));
    assert!(table.get("s1").is_some_and(|row| row.needs_permit(at(3_000))));
}

/// A leaving server's registration is removed and written once more by the same process, and then
/// by another one. Guards against work for the first, and none for the second.
#[test]
fn removed_registration() {
    let mut table = make_table(&["s1"]);
    table.statements_mut(&make_entry("s1", 1).process()).is_leaving = true;
    table.record_missing("s1", None);
    table.apply_entry(make_entry("s1", 1));
    assert!(!is_eligible(&table, at(10)));
    table.record_missing("s1", None);
    table.apply_entry(make_entry("s1", 2));
    assert!(is_eligible(&table, at(20)));
}

/// A response arrives while the server's registration is missing. Guards against a statement that
/// is lost because no server of that id is known.
#[test]
fn unregistered_process() {
    let mut table = make_table(&["s1"]);
    table.record_missing("s1", None);
    table.statements_mut(&make_entry("s1", 1).process()).record_rest(REST, at(0));
    table.statements_mut(&make_entry("s1", 2).process()).record_rest(REST * 2, at(0));
    table.apply_entry(make_entry("s1", 1));
    assert!(!is_eligible(&table, at(2_999)));
    assert!(is_eligible(&table, at(3_000)));
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
