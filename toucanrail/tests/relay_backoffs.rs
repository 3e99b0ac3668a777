//! Backoff of relays that fail.

use std::time::Duration;

use toucanrail::endpoints::RelayName;
use toucanrail::relay_backoffs::BackoffTable;

/// Guards against calls under way at the same time whose failures count as consecutive ones: some entries
/// then avoided a restarted lender for 12 s and others for 3 s, and several lenders held grants of one shard.
#[test]
fn simultaneous_failures() {
    let (mut table, relay) = (BackoffTable::default(), RelayName::from("side-1"));
    for milliseconds in [0, 1, 1, 2, 120, 650] {
        table.record_failure(&relay, Duration::from_millis(milliseconds));
    }
    assert!(table.is_active(&relay, Duration::from_millis(2_999)));
    assert!(!table.is_active(&relay, Duration::from_secs(3)));
}

/// Guards against frequent calls to a relay that never responds again.
#[test]
fn consecutive_failures() {
    let (mut table, relay) = (BackoffTable::default(), RelayName::from("side-1"));
    let mut now = 0;
    for length in [3, 6, 12, 12] {
        table.record_failure(&relay, Duration::from_secs(now));
        assert!(table.is_active(&relay, Duration::from_secs(now + length - 1)), "{length}");
        now += length;
        assert!(!table.is_active(&relay, Duration::from_secs(now)), "{length}");
    }
    table.reset(&relay);
    table.record_failure(&relay, Duration::from_secs(now));
    assert!(!table.is_active(&relay, Duration::from_secs(now + 3)));
}
