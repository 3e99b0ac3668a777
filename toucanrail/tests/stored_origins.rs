//! What relays write to the store about streams: their origins, and the versions of each service.

// Tests fail at the first unexpected value.
#![allow(clippy::unwrap_used)]

mod world;

use std::sync::Arc;
use std::time::Duration;

use toucanrail::origins::{OriginNote, OriginTable, StreamOrigin};
use toucanrail::storecalls::{self, StoreReply};
use toucanrail::stored_origins::{OriginWriter, StoredOrigins};
use toucanrail::version_history::{self, VersionStatement, VersionStatements};
use toucanrail::version_records::{self, RecordKeeper, VersionRecord};
use world::{FakeStore, StoreFault};

const NOW: Duration = Duration::from_secs(100);

fn attempts(store: &FakeStore, relay: &str) -> usize {
    let object = store.objects.get(&*format!("stream-origins/{relay}"));
    let stored = object.and_then(|(_, value)| storecalls::decode_value::<StoredOrigins>(value));
    stored.map_or(0, |stored| stored.notes().count())
}

fn versions(store: &FakeStore) -> Vec<String> {
    let object = &store.objects[&version_records::record_path("llm")];
    let record: VersionRecord = storecalls::decode_value(&object.1).expect("a record");
    record.versions.iter().map(ToString::to_string).collect()
}

fn note(attempt: &str) -> OriginNote {
    let origin = StreamOrigin { service: Arc::from("llm"), version: Arc::from("v1") };
    OriginNote { attempt: Arc::from(attempt), origin, valid_for: Duration::from_secs(15) }
}

fn several() -> VersionStatements {
    [(Arc::from("llm"), VersionStatement::Several)].into()
}

fn sole(version: &str) -> VersionStatements {
    [(Arc::from("llm"), VersionStatement::Sole(Arc::from(version)))].into()
}

/// Makes the writer's calls until it has no more, or a reply is lost.
fn write(
    writer: &mut OriginWriter,
    table: &mut OriginTable,
    versions: &VersionStatements,
    store: &mut FakeStore,
    fault: StoreFault,
    now: Duration,
) {
    while let Some(call) = writer.next_call(table, versions, now) {
        let reply = store.call(&call, fault);
        for note in writer.handle_reply(&reply) {
            table.insert(note, now);
        }
        if reply == StoreReply::Unavailable {
            return;
        }
    }
}

fn keep(
    keeper: &mut RecordKeeper,
    statements: &VersionStatements,
    store: &mut FakeStore,
    now: Duration,
) {
    while let Some(call) = keeper.next_call(statements, now) {
        let reply = store.call(&call, StoreFault::NoFault);
        keeper.handle_reply(&reply, now);
        if reply == StoreReply::Unavailable {
            return;
        }
    }
}

fn list(keeper: &mut RecordKeeper, versions: &[&str], now: Duration) {
    let versions = versions.iter().map(|version| Arc::from(*version)).collect();
    keeper.record_listed([(Arc::from("llm"), versions)].into(), now);
}

/// Nothing is written while a service has one version. When a second one appears, the streams that
/// began before are written too.
#[test]
fn second_version() {
    let (mut writer, mut table, mut store) =
        (OriginWriter::new("side-1"), OriginTable::new(), FakeStore::default());
    table.insert(note("a"), NOW);
    write(&mut writer, &mut table, &sole("v1"), &mut store, StoreFault::NoFault, NOW);
    assert!(store.objects.is_empty());
    write(&mut writer, &mut table, &several(), &mut store, StoreFault::NoFault, NOW);
    assert_eq!((attempts(&store, "side-1"), store.revision), (1, 1));
    write(&mut writer, &mut table, &several(), &mut store, StoreFault::NoFault, NOW);
    assert_eq!(store.revision, 1);
}

/// A relay that starts again does not write over what its process before has left.
#[test]
fn earlier_process() {
    let mut store = FakeStore::default();
    for attempt in ["a", "b", "c"] {
        let (mut writer, mut table) = (OriginWriter::new("side-1"), OriginTable::new());
        table.insert(note(attempt), NOW);
        write(&mut writer, &mut table, &several(), &mut store, StoreFault::NoFault, NOW);
    }
    assert_eq!(attempts(&store, "side-1"), 3);
}

/// The reply to a write is lost. The next write goes on from what the store has.
#[test]
fn lost_replies() {
    let (mut writer, mut table, mut store) =
        (OriginWriter::new("side-1"), OriginTable::new(), FakeStore::default());
    for attempt in ["a", "b", "c", "d"] {
        table.insert(note(attempt), NOW);
        write(&mut writer, &mut table, &several(), &mut store, StoreFault::ReplyLost, NOW);
        write(&mut writer, &mut table, &several(), &mut store, StoreFault::NoFault, NOW);
    }
    assert_eq!(attempts(&store, "side-1"), 4);
}

/// Origins that have expired do not stay in the store.
#[test]
fn expired_origins() {
    let (mut writer, mut table, mut store) =
        (OriginWriter::new("side-1"), OriginTable::new(), FakeStore::default());
    table.insert(note("a"), NOW);
    write(&mut writer, &mut table, &several(), &mut store, StoreFault::NoFault, NOW);
    let later = NOW + Duration::from_secs(60);
    write(&mut writer, &mut table, &sole("v1"), &mut store, StoreFault::NoFault, later);
    assert_eq!((attempts(&store, "side-1"), store.revision), (0, 2));
    write(&mut writer, &mut table, &sole("v1"), &mut store, StoreFault::NoFault, later);
    assert_eq!(store.revision, 2);
}

/// Two relays hear of different versions. The record names both, whoever writes first.
#[test]
fn two_relays() {
    let mut store = FakeStore::default();
    let mut keepers = [RecordKeeper::default(), RecordKeeper::default()];
    for (keeper, version) in keepers.iter_mut().zip(["v1", "v2"]) {
        list(keeper, &[version], NOW);
        keep(keeper, &sole(version), &mut store, NOW);
    }
    assert_eq!(versions(&store), ["v1", "v2"]);
    list(&mut keepers[0], &["v3"], NOW);
    keep(&mut keepers[0], &several(), &mut store, NOW);
    list(&mut keepers[1], &["v4"], NOW);
    keep(&mut keepers[1], &several(), &mut store, NOW);
    assert_eq!(versions(&store), ["v1", "v2", "v3", "v4"]);
}

/// There is no record, and versions that nobody lists any more may have begun streams. The one that is
/// listed now is recorded only once an entry has proved that there was no other.
#[test]
fn missing_record() {
    let (mut store, mut keeper) = (FakeStore::default(), RecordKeeper::default());
    list(&mut keeper, &["v2"], NOW);
    for statements in [[].into(), several()] {
        keep(&mut keeper, &statements, &mut store, NOW);
        assert_eq!(store.revision, 0);
    }
    keep(&mut keeper, &sole("v2"), &mut store, NOW);
    assert_eq!(versions(&store), ["v2"]);
}

/// A version leaves the record only after no entry has listed it for a long time, and not while it was
/// added a moment ago by a relay whose entries have seen it.
#[test]
fn removed_version() {
    let mut store = FakeStore::default();
    let mut keepers = [RecordKeeper::default(), RecordKeeper::default()];
    list(&mut keepers[0], &["v1"], NOW);
    keep(&mut keepers[0], &sole("v1"), &mut store, NOW);
    list(&mut keepers[0], &["v1", "v2"], NOW);
    keep(&mut keepers[0], &several(), &mut store, NOW);
    list(&mut keepers[1], &["v1"], NOW);
    keep(&mut keepers[1], &sole("v1"), &mut store, NOW);
    assert_eq!(versions(&store), ["v1", "v2"]);
    let settled = NOW + version_history::SEVERAL_TIME;
    list(&mut keepers[0], &["v2"], settled);
    keep(&mut keepers[0], &sole("v2"), &mut store, settled);
    assert_eq!(versions(&store), ["v1", "v2"]);
    let settled = settled + Duration::from_secs(1);
    list(&mut keepers[0], &["v2"], settled);
    keep(&mut keepers[0], &sole("v2"), &mut store, settled);
    assert_eq!(versions(&store), ["v2"]);
    let writes = store.revision;
    for keeper in &mut keepers {
        list(keeper, &["v2"], settled);
        keep(keeper, &sole("v2"), &mut store, settled);
    }
    assert_eq!((store.revision, versions(&store)), (writes, vec!["v2".to_owned()]));
}

/// A record that cannot be decoded may name more versions than are listed now. It stays as it is.
#[test]
fn unreadable_record() {
    let mut store = FakeStore::default();
    store.objects.insert(version_records::record_path("llm"), (1, b"[1".to_vec()));
    let mut keeper = RecordKeeper::default();
    list(&mut keeper, &["v1"], NOW);
    keep(&mut keeper, &sole("v1"), &mut store, NOW);
    assert_eq!(store.revision, 0);
}
