//! Updates that boards give to entries, compared with a direct view of the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use toucanrail::boards::{self, BoardTable, MAX_AGE, OutageBackoff};
use toucanrail::ids::Version;
use toucanrail::messages::{ChangesReply, MirrorChange, MirrorObject};

const NOW: Duration = Duration::from_secs(10);

fn object(name: &str, version: Version) -> MirrorObject {
    MirrorObject { name: Arc::from(name), version, value: vec![1] }
}

fn change(name: &str, version: Version, removed: bool) -> MirrorChange {
    MirrorChange { object: object(name, version), removed }
}

/// A board that is cut off from the store must say that it is stale. If it reported that nothing
/// changed, its entries would send requests to servers that have left, although they can reach the
/// store themselves.
#[test]
fn silent_store() {
    let mut table = BoardTable::new();
    table.apply_listing(vec![object("a", 3)], 3, NOW);
    let later = NOW + MAX_AGE + Duration::from_millis(1);
    assert_eq!(table.updates_since(Some(3), later), Some(ChangesReply::Stale));
    assert_eq!(table.empty_update(3, later), ChangesReply::Stale);
}

/// The board's call to the store failed. Entries that wait for updates must be answered at once:
/// those that can reach the store may learn of a change that the board misses.
#[test]
fn failed_call() {
    let mut table = BoardTable::new();
    table.apply_listing(vec![object("a", 3)], 3, NOW);
    table.record_store_failure();
    assert_eq!(table.updates_since(Some(3), NOW), Some(ChangesReply::Stale));
    table.apply_changes(Vec::new(), 3, NOW);
    assert_eq!(table.updates_since(Some(3), NOW), None);
}

/// An entry that asked the store itself may know more than the board. The board's older changes
/// must not restore objects that the entry knows to be removed.
#[test]
fn lagging_board() {
    let mut table = BoardTable::new();
    table.apply_listing(vec![object("a", 3)], 3, NOW);
    table.apply_changes(vec![change("b", 5, false)], 5, NOW);
    assert_eq!(table.updates_since(Some(9), NOW), None);
    assert_eq!(
        table.empty_update(9, NOW),
        ChangesReply::Changes { changes: Vec::new(), revision: 9 }
    );
}

/// The store lost its history, and the board was listed again. An entry that is further behind must
/// get the listing, because no change contains the removals in between.
#[test]
fn forgotten_history() {
    let mut table = BoardTable::new();
    table.apply_listing(vec![object("a", 8)], 20, NOW);
    let updates = table.updates_since(Some(12), NOW);
    assert!(matches!(updates, Some(ChangesReply::Listing { revision: 20, .. })), "{updates:?}");
}

#[derive(Debug, Default)]
struct NaiveStore {
    revision: Version,
    objects: BTreeMap<String, Version>,
    log: Vec<(Version, String, bool)>,
}

impl NaiveStore {
    fn write(&mut self, name: &str, removed: bool) {
        self.revision += 1;
        if removed {
            self.objects.remove(name);
        } else {
            self.objects.insert(name.to_owned(), self.revision);
        }
        self.log.push((self.revision, name.to_owned(), removed));
    }

    fn since(&self, after: Version) -> Vec<MirrorChange> {
        let newer = self.log.iter().filter(|(revision, _, _)| *revision > after);
        newer.map(|(revision, name, removed)| change(name, *revision, *removed)).collect()
    }
}

/// A board is first asked during an outage. Its entries must not wait for its first listing as long
/// as for an update.
#[test]
fn unlisted_board() {
    let mut table = BoardTable::new();
    assert_eq!(table.updates_since(None, NOW), None);
    table.record_store_failure();
    assert_eq!(table.updates_since(None, NOW), Some(ChangesReply::Stale));
}

fn make_relays(count: usize) -> Vec<(Arc<str>, SocketAddr)> {
    let address = SocketAddr::from(([10, 0, 0, 1], 7341));
    (0..count).map(|number| (Arc::from(format!("side-{number}")), address)).collect()
}

/// Counts the entries that query each board; `failed` is not available.
fn count_entries(relays: usize, entries: usize, failed: Option<&str>) -> BTreeMap<Arc<str>, usize> {
    let relays = make_relays(relays);
    let mut counts = BTreeMap::new();
    for number in 0..entries {
        let boards = boards::pick_boards(&relays, relays.len(), &format!("front-{number}"));
        let (board, _) =
            boards.into_iter().find(|(name, _)| Some(&**name) != failed).expect("a board");
        *counts.entry(board).or_insert(0) += 1;
    }
    counts
}

/// All entries of a large fleet query one board, which has a fifth of a core. The load of a board
/// must not grow with the fleet.
#[test]
fn load_per_board() {
    for (relays, entries) in [(117, 68), (640, 370), (1_280, 740), (2_560, 1_480)] {
        let counts = count_entries(relays, entries, None);
        assert!(counts.values().all(|count| *count <= 110), "{relays} relays: {counts:?}");
    }
}

/// A board of a large fleet fails. If all of its entries moved to the same other board, that one
/// would have twice the load and fail next.
#[test]
fn entries_of_failed_board() {
    for (relays, entries) in [(640, 370), (2_560, 1_480)] {
        let before = count_entries(relays, entries, None);
        let failed = before.keys().next().expect("a board");
        let after = count_entries(relays, entries, Some(failed));
        let moved = before[failed];
        for (board, count) in &after {
            let added = count - before.get(board).copied().unwrap_or_default();
            assert!(added * 2 <= moved, "{relays} relays: {added} of {moved} moved to {board}");
        }
    }
}

/// The store is down for four seconds, and each of 68 entries checks every 640 ms whether it may
/// ask it. Without a limit, the entries' retries were most of a day's calls.
#[test]
fn outage_calls() {
    let step = Duration::from_millis(640);
    let mut calls = 0;
    for entry in 0..68 {
        let mut timer = OutageBackoff::default();
        let mut now = NOW;
        while now < NOW + Duration::from_secs(4) {
            if timer.may_ask(now) {
                calls += 1;
                timer.record_failure(now, f64::from(entry) / 68.0);
            }
            now += step;
        }
    }
    assert!(calls <= 68 * 4, "{calls} calls");
}

proptest! {
    /// After each reply, an entry knows at least what the board knew.
    #[test]
    fn same_view(steps in prop::collection::vec((0_u8..5, 0_u8..4), 1..300)) {
        let mut store = NaiveStore::default();
        let mut table = BoardTable::new();
        let mut view: BTreeMap<String, Version> = BTreeMap::new();
        let mut seen = None;
        for (what, which) in steps {
            let name = format!("s{which}");
            match what {
                0 => store.write(&name, false),
                1 => store.write(&name, true),
                2 if table.revision().is_none() => {
                    let objects = store.objects.iter().map(|(name, version)| object(name, *version));
                    table.apply_listing(objects.collect(), store.revision, NOW);
                }
                2 => {
                    let after = table.revision().unwrap_or_default();
                    table.apply_changes(store.since(after), store.revision, NOW);
                }
                3 if which == 0 => table = BoardTable::new(),
                _ => match table.updates_since(seen, NOW) {
                    Some(ChangesReply::Listing { objects, revision }) => {
                        view = objects.iter().map(|row| (row.name.to_string(), row.version)).collect();
                        seen = Some(revision);
                    }
                    Some(ChangesReply::Changes { changes, revision }) => {
                        for change in changes {
                            let name = change.object.name.to_string();
                            view.remove(&name);
                            if !change.removed {
                                view.insert(name, change.object.version);
                            }
                        }
                        seen = Some(revision);
                    }
                    Some(ChangesReply::Stale) => prop_assert!(false, "the store is available"),
                    None => {}
                },
            }
            if table.revision().is_some() && table.revision() == seen && store.revision == seen.unwrap_or_default() {
                prop_assert_eq!(&view, &store.objects);
            }
        }
    }
}
