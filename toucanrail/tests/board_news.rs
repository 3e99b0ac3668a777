//! What boards tell entries, against entries that watch the store themselves.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use toucanrail::boards::{BoardTable, FRESH_BOUND, OutageTimer};
use toucanrail::ids::Version;
use toucanrail::messages::{ChangesReply, MirrorChange, MirrorObject};

const NOW: Duration = Duration::from_secs(10);

fn object(name: &str, version: Version) -> MirrorObject {
    MirrorObject { name: Arc::from(name), version, value: vec![1] }
}

fn change(name: &str, version: Version, removed: bool) -> MirrorChange {
    MirrorChange { object: object(name, version), removed }
}

/// A board is cut off from the store and goes on answering that nothing changed. Its entries would send
/// to a server that left, although they reach the store themselves; so it says that it is stale.
#[test]
fn silent_store() {
    let mut table = BoardTable::new();
    table.take_listing(vec![object("a", 3)], 3, NOW);
    let later = NOW + FRESH_BOUND + Duration::from_millis(1);
    assert_eq!(table.news(Some(3), later), Some(ChangesReply::Stale));
    assert_eq!(table.no_news(3, later), ChangesReply::Stale);
}

/// The board's call to the store failed. Entries that wait for news must not wait on: those who reach
/// the store can know the change that the board misses.
#[test]
fn failed_call() {
    let mut table = BoardTable::new();
    table.take_listing(vec![object("a", 3)], 3, NOW);
    table.note_silence();
    assert_eq!(table.news(Some(3), NOW), Some(ChangesReply::Stale));
    table.take_changes(Vec::new(), 3, NOW);
    assert_eq!(table.news(Some(3), NOW), None);
}

/// An entry that asked the store itself knows more than the board. The board's older changes must not
/// bring back what the entry knows as gone.
#[test]
fn late_board() {
    let mut table = BoardTable::new();
    table.take_listing(vec![object("a", 3)], 3, NOW);
    table.take_changes(vec![change("b", 5, false)], 5, NOW);
    assert_eq!(table.news(Some(9), NOW), None);
    assert_eq!(table.no_news(9, NOW), ChangesReply::Changes { changes: Vec::new(), revision: 9 });
}

/// The store forgot its history, and the board listed anew. An entry that is further behind must get
/// the listing: the removals in between are in no change.
#[test]
fn forgotten_history() {
    let mut table = BoardTable::new();
    table.take_listing(vec![object("a", 8)], 20, NOW);
    let news = table.news(Some(12), NOW);
    assert!(matches!(news, Some(ChangesReply::Listing { revision: 20, .. })), "{news:?}");
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

/// A board that was never asked begins in an outage. Its entries waited for its first listing for as long
/// as for news, in vain.
#[test]
fn fresh_board() {
    let mut table = BoardTable::new();
    assert_eq!(table.news(None, NOW), None);
    table.note_silence();
    assert_eq!(table.news(None, NOW), Some(ChangesReply::Stale));
}

/// The store is down for four seconds, and 68 entries look every 640 ms at the latest whether they may ask
/// it. Retries of the entries were most of the calls of such a day.
#[test]
fn outage_calls() {
    let step = Duration::from_millis(640);
    let mut calls = 0;
    for entry in 0..68 {
        let mut timer = OutageTimer::default();
        let mut now = NOW;
        while now < NOW + Duration::from_secs(4) {
            if timer.is_over(now) {
                calls += 1;
                timer.note_failure(now, f64::from(entry) / 68.0);
            }
            now += step;
        }
    }
    assert!(calls <= 68 * 4, "{calls} calls");
}

proptest! {
    /// Whenever an entry has asked, it knows what the board knew, or more.
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
                    table.take_listing(objects.collect(), store.revision, NOW);
                }
                2 => {
                    let after = table.revision().unwrap_or_default();
                    table.take_changes(store.since(after), store.revision, NOW);
                }
                3 if which == 0 => table = BoardTable::new(),
                _ => match table.news(seen, NOW) {
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
                    Some(ChangesReply::Stale) => prop_assert!(false, "the store is there"),
                    None => {}
                },
            }
            if table.revision().is_some() && table.revision() == seen && store.revision == seen.unwrap_or_default() {
                prop_assert_eq!(&view, &store.objects);
            }
        }
    }
}
