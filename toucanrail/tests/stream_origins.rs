//! Origins of streams: the table, the relays that keep them, and the history of versions.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use toucanrail::endpoints::LocatedRelay;
use toucanrail::origin_keepers::{self, KeeperTable, NoteBatch, SearchPlan};
use toucanrail::origins::{OriginNote, OriginTable, StreamOrigin};
use toucanrail::version_history::{StatementTable, VersionHistory, VersionStatement};

const NOW: Duration = Duration::from_secs(100);
const LIFETIME: Duration = Duration::from_secs(17);

fn note(attempt: &str, version: &str) -> OriginNote {
    let origin = StreamOrigin { service: Arc::from("llm"), version: Arc::from(version) };
    OriginNote { attempt: Arc::from(attempt), origin, valid_for: Duration::from_secs(15) }
}

/// Returns relays in three data centres in turn.
fn relays(count: usize) -> Vec<LocatedRelay> {
    let relay = |at: usize| LocatedRelay {
        name: Arc::from(format!("side-{at}")),
        address: SocketAddr::from(([10, 0, 0, 1], 1_000 + at as u16)),
        data_centre: Arc::from(["a", "b", "c"][at % 3]),
    };
    (0..count).map(relay).collect()
}

/// Relays that take notes, with the number of their process.
#[derive(Debug, Default)]
struct RelaySet {
    tables: BTreeMap<Arc<str>, (u64, OriginTable)>,
    dead: BTreeSet<Arc<str>>,
    restarts: u64,
}

impl RelaySet {
    fn restart(&mut self, name: &str) {
        self.restarts += 1;
        self.tables.insert(Arc::from(name), (self.restarts, OriginTable::new()));
    }

    /// Delivers batches, and what a relay turns out to lack.
    fn deliver(&mut self, keepers: &mut KeeperTable, own: &OriginTable, batches: Vec<NoteBatch>) {
        for batch in batches {
            let mut next = Some(batch);
            while let Some(batch) = next {
                let name = Arc::clone(&batch.relay.name);
                if self.dead.contains(&name) {
                    keepers.record_failure(&batch, NOW);
                    break;
                }
                let (process, table) = self.tables.entry(name).or_default();
                for note in &batch.notes {
                    table.insert(note.clone(), NOW);
                }
                next = keepers.record_sent(batch, *process, own, NOW);
            }
        }
    }

    /// Searches as an entry does that does not know which relays are dead.
    fn find(&self, relays: &[LocatedRelay], attempt: &str) -> Option<StreamOrigin> {
        let mut plan = SearchPlan::default();
        loop {
            let wave = plan.next_wave(relays, attempt);
            if wave.is_empty() {
                return None;
            }
            for relay in wave {
                if self.dead.contains(&relay.name) {
                    plan.record_unavailable(&relay.name);
                } else if let Some((_, table)) = self.tables.get(&relay.name)
                    && let Some(origin) = table.find(attempt, NOW)
                {
                    return Some(origin.clone());
                }
            }
        }
    }
}

/// An attempt id that names two origins names none.
#[test]
fn contradictory_notes() {
    let mut table = OriginTable::new();
    table.insert(note("a", "v1"), NOW);
    table.insert(note("a", "v1"), NOW);
    assert!(table.find("a", NOW).is_some());
    table.insert(note("a", "v2"), NOW);
    table.insert(note("a", "v1"), NOW);
    assert!(table.find("a", NOW).is_none());
}

/// The table stays bounded, and the newest notes stay in it.
#[test]
fn full_table() {
    let mut table = OriginTable::new();
    for number in 0..20_000 {
        table.insert(note(&number.to_string(), "v1"), NOW);
    }
    assert!(table.len() < 20_000 && table.find("19999", NOW).is_some());
    assert_eq!(table.notes_after(19_998, NOW).count(), 2);
    table.insert(note("later", "v1"), NOW + Duration::from_secs(15));
    assert_eq!(table.len(), 1);
}

/// Notes reach two relays, and any entry that knows the same relays finds them.
#[test]
fn two_copies() {
    for count in [2, 18, 40, 117, 625] {
        let (relays, mut set, mut own, mut keepers) =
            (relays(count), RelaySet::default(), OriginTable::new(), KeeperTable::new());
        for number in 0..50 {
            own.insert(note(&number.to_string(), "v1"), NOW);
        }
        let batches = keepers.plan_batches(&own, &relays, NOW);
        set.deliver(&mut keepers, &own, batches);
        assert!(!keepers.has_news(&own));
        for number in 0..50 {
            let attempt = number.to_string();
            let holds = |(_, table): &&(u64, OriginTable)| table.find(&attempt, NOW).is_some();
            assert_eq!(set.tables.values().filter(holds).count(), 2, "{count} relays");
            assert!(set.find(&relays, &attempt).is_some(), "{count} relays");
        }
    }
}

/// A data centre is lost together with the entries there. Each note is at a relay in another one.
#[test]
fn lost_centre() {
    for count in [3, 18, 55, 117] {
        let (relays, mut set, mut own, mut keepers) =
            (relays(count), RelaySet::default(), OriginTable::new(), KeeperTable::new());
        for number in 0..50 {
            own.insert(note(&number.to_string(), "v1"), NOW);
        }
        let batches = keepers.plan_batches(&own, &relays, NOW);
        set.deliver(&mut keepers, &own, batches);
        for centre in ["a", "b", "c"] {
            let lost = relays.iter().filter(|relay| *relay.data_centre == *centre);
            set.dead = lost.map(|relay| Arc::clone(&relay.name)).collect();
            let found = (0..50).filter(|number| set.find(&relays, &number.to_string()).is_some());
            assert_eq!(found.count(), 50, "{count} relays without {centre}");
        }
    }
}

/// An entry that knows of other relays, at the limits at which the number of buckets changes, finds
/// the notes too.
#[test]
fn other_relays() {
    for (noted, asked) in [(31, 32), (32, 31), (63, 65), (18, 20), (20, 18)] {
        let (all, mut set, mut own, mut keepers) =
            (relays(noted.max(asked)), RelaySet::default(), OriginTable::new(), KeeperTable::new());
        for number in 0..50 {
            own.insert(note(&number.to_string(), "v1"), NOW);
        }
        let batches = keepers.plan_batches(&own, &all[..noted], NOW);
        set.deliver(&mut keepers, &own, batches);
        set.dead.extend(all[asked..].iter().map(|relay| Arc::clone(&relay.name)));
        let found = (0..50).filter(|number| set.find(&all[..asked], &number.to_string()).is_some());
        assert!(found.count() >= 45, "noted at {noted}, asked at {asked}");
    }
}

/// Most listed relays have left with their VMs. An entry that has never called them finds the notes at
/// the first ones that respond.
#[test]
fn departed_relays() {
    for (count, departed) in [(6, 4), (18, 9), (34, 16), (40, 36), (117, 60)] {
        let (relays, mut set, mut own, mut keepers) =
            (relays(count), RelaySet::default(), OriginTable::new(), KeeperTable::new());
        let mut rng = fastrand::Rng::with_seed(7);
        let gone = rng.choose_multiple(&relays, departed);
        set.dead = gone.into_iter().map(|relay| Arc::clone(&relay.name)).collect();
        for number in 0..50 {
            own.insert(note(&number.to_string(), "v1"), NOW);
        }
        while keepers.has_news(&own) {
            let batches = keepers.plan_batches(&own, &relays, NOW);
            set.deliver(&mut keepers, &own, batches);
        }
        let found = (0..50).filter(|number| set.find(&relays, &number.to_string()).is_some());
        assert_eq!(found.count(), 50, "{departed} of {count} relays have left");
    }
}

/// Relays restart while their entry has no new stream. It finds out, and tells them its notes again.
#[test]
fn idle_entry() {
    let (relays, mut set, mut own, mut keepers) =
        (relays(18), RelaySet::default(), OriginTable::new(), KeeperTable::new());
    own.insert(note("a", "v1"), NOW);
    let batches = keepers.plan_batches(&own, &relays, NOW);
    set.deliver(&mut keepers, &own, batches);
    for relay in &relays {
        set.restart(&relay.name);
    }
    assert!(set.find(&relays, "a").is_none());
    let batches = keepers.plan_batches(&own, &relays, NOW + origin_keepers::CHECK_INTERVAL);
    set.deliver(&mut keepers, &own, batches);
    assert!(set.find(&relays, "a").is_some());
}

/// One relay does not respond for a while. What the others get does not wait for it.
#[test]
fn slow_relay() {
    let (relays, mut set, mut own, mut keepers) =
        (relays(2), RelaySet::default(), OriginTable::new(), KeeperTable::new());
    own.insert(note("a", "v1"), NOW);
    let mut batches = keepers.plan_batches(&own, &relays, NOW);
    let slow = batches.pop().expect("a batch for each relay");
    set.deliver(&mut keepers, &own, batches);
    own.insert(note("b", "v1"), NOW);
    let batches = keepers.plan_batches(&own, &relays, NOW);
    assert!(batches.iter().all(|batch| batch.relay != slow.relay));
    set.deliver(&mut keepers, &own, batches);
    assert!(set.find(&relays, "b").is_some());
    set.deliver(&mut keepers, &own, vec![slow]);
    let batches = keepers.plan_batches(&own, &relays, NOW);
    assert_eq!(batches.len(), 1);
    set.deliver(&mut keepers, &own, batches);
    assert!(!keepers.has_news(&own));
}

/// A caller comes back several times, each time with a new timeout. Its stream is known for as long as
/// it may come back, also at the relays.
#[test]
fn renewed_note() {
    let mut table = OriginTable::new();
    let mut now = NOW;
    table.insert(note("a", "v1"), now);
    for _ in 0..4 {
        table.insert(note("b", "v1"), now);
        now += Duration::from_secs(10);
        let known = table.newest();
        table.insert(note("a", "v1"), now);
        assert_eq!(table.notes_after(known, now).count(), 1);
    }
    assert!(table.find("a", now + Duration::from_secs(14)).is_some());
    table.insert(note("c", "v1"), now + Duration::from_secs(30));
    assert_eq!(table.len(), 1);
}

/// Versions of a service are several while a second one is registered and for as long as a stream
/// lasts after it.
#[test]
fn sole_version() {
    let mut history = VersionHistory::default();
    let service = Arc::from("llm");
    history.record_registered(&service, &Arc::from("v1"));
    history.record_listed(Duration::ZERO);
    assert!(history.sole_version("llm", NOW, LIFETIME).is_some());
    history.record_registered(&service, &Arc::from("v2"));
    assert!(history.sole_version("llm", NOW, LIFETIME).is_none());
    for second in 100..=117 {
        let now = Duration::from_secs(second);
        history.sweep(now, LIFETIME, |_, version| **version == *"v2");
        assert!(history.sole_version("llm", now, LIFETIME).is_none(), "{second} s");
    }
    let now = Duration::from_secs(118);
    history.sweep(now, LIFETIME, |_, version| **version == *"v2");
    assert_eq!(history.sole_version("llm", now, LIFETIME), Some(&Arc::from("v2")));
}

/// A fleet that starts for the first time has no older streams; any other start has to wait.
#[test]
fn first_start() {
    for starts_fleet in [false, true] {
        let mut history = VersionHistory::default();
        if starts_fleet {
            history.record_first_start();
        }
        history.record_registered(&Arc::from("llm"), &Arc::from("v1"));
        assert!(history.sole_version("llm", NOW, LIFETIME).is_none());
        history.record_listed(NOW);
        assert_eq!(history.sole_version("llm", NOW, LIFETIME).is_some(), starts_fleet);
        history.record_registered(&Arc::from("llm"), &Arc::from("v2"));
        assert!(history.sole_version("llm", NOW, LIFETIME).is_none());
    }
}

/// After a listing that may have missed a version, the history starts anew.
#[test]
fn second_listing() {
    let mut history = VersionHistory::default();
    history.record_first_start();
    history.record_registered(&Arc::from("llm"), &Arc::from("v1"));
    history.record_listed(Duration::ZERO);
    assert!(history.sole_version("llm", NOW, LIFETIME).is_some());
    history.record_listed(NOW);
    assert!(history.sole_version("llm", NOW, LIFETIME).is_none());
    assert!(history.sole_version("llm", NOW + LIFETIME * 2, LIFETIME).is_some());
}

/// A relay that heard of several versions takes a sole one again after a while, however often
/// entries state that one meanwhile.
#[test]
fn several_versions() {
    let service: Arc<str> = Arc::from("llm");
    let sole = || VersionStatement::Sole(Arc::from("v1"));
    let mut table = StatementTable::default();
    let mut state = |statement: VersionStatement, second: u64| {
        let now = Duration::from_secs(second);
        table.record([(Arc::clone(&service), statement)].into(), now);
        table.valid(now)[&service].clone()
    };
    assert_eq!(state(VersionStatement::Several, 0), VersionStatement::Several);
    for second in 1..=60 {
        assert_eq!(state(sole(), second), VersionStatement::Several, "{second} s");
    }
    assert_eq!(state(sole(), 61), sole());
}

#[derive(Debug, Clone)]
enum Step {
    Note,
    Send,
    Restart(usize),
    Die(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => Just(Step::Note),
        3 => Just(Step::Send),
        1 => (0..6_usize).prop_map(Step::Restart),
        1 => (0..6_usize).prop_map(Step::Die),
    ];
    prop::collection::vec(step, 1..60)
}

proptest! {
    /// Relays restart and die between the messages. What they know of a stream is what its entry has
    /// noted; after a note that was sent last, each living one of its two relays has all of them.
    #[test]
    fn noted_streams(steps in steps()) {
        let all = relays(6);
        let (mut set, mut own, mut keepers) =
            (RelaySet::default(), OriginTable::new(), KeeperTable::new());
        let mut count = 0;
        for step in steps {
            match step {
                Step::Note => {
                    own.insert(note(&count.to_string(), ["v1", "v2"][count % 2]), NOW);
                    count += 1;
                }
                Step::Send => {
                    let batches = keepers.plan_batches(&own, &all, NOW);
                    set.deliver(&mut keepers, &own, batches);
                }
                Step::Restart(at) => set.restart(&all[at].name),
                Step::Die(at) if set.dead.len() < 4 => {
                    set.dead.insert(Arc::clone(&all[at].name));
                }
                Step::Die(_) => {}
            }
        }
        own.insert(note("last", "v1"), NOW);
        // Each dead relay fails once; then the notes go to the next ones.
        for _ in 0..all.len() {
            let batches = keepers.plan_batches(&own, &all, NOW);
            set.deliver(&mut keepers, &own, batches);
        }
        prop_assert!(!keepers.has_news(&own));
        let living: Vec<&OriginTable> = set
            .tables
            .iter()
            .filter(|(name, _)| !set.dead.contains(*name))
            .map(|(_, (_, table))| table)
            .collect();
        for number in 0..count {
            let attempt = number.to_string();
            let expected = own.find(&attempt, NOW);
            let copies: Vec<_> = living.iter().filter_map(|table| table.find(&attempt, NOW)).collect();
            prop_assert!(copies.len() >= 2, "{attempt}: {} copies", copies.len());
            prop_assert!(copies.iter().all(|copy| Some(*copy) == expected));
        }
    }
}
