//! What servers state in their responses, over changes of their registrations.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use toucanrail::backends::{BackendEntry, BackendTable, MISSING_GRACE};

const REST: Duration = Duration::from_secs(3);

fn at(millis: u64) -> Duration {
    Duration::from_secs(60) + Duration::from_millis(millis)
}

fn make_entry(started_at: u64) -> BackendEntry {
    BackendEntry {
        id: Arc::from("s1"),
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

/// Creates a table with one server.
fn make_table() -> BackendTable {
    let mut table = BackendTable::new();
    table.apply_entry(make_entry(1));
    table
}

fn is_eligible(table: &BackendTable, now: Duration) -> bool {
    !table.eligible("llm", &[], now).is_empty()
}

/// A server states that it leaves, and its registration is renewed as ready. Guards against new
/// work, until another process starts under its id.
#[test]
fn renewed_registration() {
    let mut table = make_table();
    table.statements_mut(&make_entry(1).process()).is_leaving = true;
    table.apply_entry(BackendEntry { revision: 2, ..make_entry(1) });
    assert!(!is_eligible(&table, at(10)));
    table.apply_entry(make_entry(2));
    assert!(is_eligible(&table, at(20)));
}

/// A server's registration expires in an outage of the store and comes back too late, from the same
/// process. Guards against statements that are forgotten meanwhile.
#[test]
fn returned_registration() {
    let mut table = make_table();
    let statements = table.statements_mut(&make_entry(1).process());
    statements.record_rest(REST, at(0));
    statements.record_rate_limit(Some(2.0), at(0), at(0));
    table.record_missing("s1", Some(at(100)));
    assert_eq!(table.drop_expired(at(101) + MISSING_GRACE).len(), 1);
    table.apply_entry(make_entry(1));
    assert!(!is_eligible(&table, at(2_999)));
    assert!(is_eligible(&table, at(3_000)));
    assert!(table.get("s1").is_some_and(|row| row.needs_permit(at(3_000))));
}

/// A leaving server's registration is removed and written once more by the same process, and then
/// by another one. Guards against work for the first, and none for the second.
#[test]
fn removed_registration() {
    let mut table = make_table();
    table.statements_mut(&make_entry(1).process()).is_leaving = true;
    table.record_missing("s1", None);
    table.apply_entry(make_entry(1));
    assert!(!is_eligible(&table, at(10)));
    table.record_missing("s1", None);
    table.apply_entry(make_entry(2));
    assert!(is_eligible(&table, at(20)));
}

/// A response arrives while the server's registration is missing. Guards against a statement that
/// is lost because no server of that id is known.
#[test]
fn unregistered_process() {
    let mut table = make_table();
    table.record_missing("s1", None);
    table.statements_mut(&make_entry(1).process()).record_rest(REST, at(0));
    table.statements_mut(&make_entry(2).process()).record_rest(REST * 2, at(0));
    table.apply_entry(make_entry(1));
    assert!(!is_eligible(&table, at(2_999)));
    assert!(is_eligible(&table, at(3_000)));
}
