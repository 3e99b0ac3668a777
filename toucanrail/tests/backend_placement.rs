//! Where requests go: sessions, slots and servers that are leaving.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use toucanrail::backends::{BackendEntry, BackendTable, FlightRow, MISSING_GRACE, PromptPart};
use toucanrail::placement::{self, PlacementQuery};

const NOW: Duration = Duration::from_secs(10);

fn entry(id: &str) -> BackendEntry {
    BackendEntry {
        id: Arc::from(id),
        service: Arc::from("llm"),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        data_centre: Arc::from(if id < "s5" { "a" } else { "b" }),
        slots: 64,
        draining: false,
        started_at: 1,
        cold: Duration::ZERO,
        revision: 1,
    }
}

fn make_table() -> BackendTable {
    let mut table = BackendTable::new();
    for at in 0..9 {
        table.apply_entry(entry(&format!("s{at}")));
    }
    table
}

fn pick(table: &BackendTable, data_centre: &str, session: u64, own: u64) -> String {
    pick_sized(table, data_centre, session, (own, 6_600))
}

fn pick_sized(table: &BackendTable, data_centre: &str, session: u64, own: (u64, u64)) -> String {
    pick_parts(table, data_centre, &[(1, 500), (session, 4_900), own])
}

fn pick_parts(table: &BackendTable, data_centre: &str, parts: &[(u64, u64); 3]) -> String {
    let parts = parts.map(|(id, tokens)| PromptPart { id, tokens });
    let query = make_query(data_centre, &parts);
    let eligible = table.eligible("llm", &[], NOW);
    placement::pick_backend(&eligible, &query).expect("a server").entry.id.to_string()
}

/// Makes the query of a request whose prompt is these parts.
fn make_query<'call>(data_centre: &'call str, parts: &'call [PromptPart]) -> PlacementQuery<'call> {
    let prompt = parts.iter().map(|part| part.tokens).sum();
    PlacementQuery { data_centre, parts, prompt, now: NOW, random: 0.5 }
}

fn flight(uncached: u64) -> FlightRow {
    FlightRow { sent_at: NOW, uncached, begun: false }
}

/// Two callers of one session reach entries in two data centres. Sent to two servers, its shared
/// part is read twice, which delays every stream at the second one.
#[test]
fn shared_session() {
    let table = make_table();
    for session in 100..140 {
        assert_eq!(pick(&table, "a", session, 1), pick(&table, "b", session, 2));
    }
}

/// Most callers ask about one thing at once. Its server's prompts queue up, and the next request
/// would begin too late there: it goes elsewhere, and the part is read a second time.
#[test]
fn hot_session() {
    let mut table = make_table();
    let home = pick(&table, "a", 7, 1);
    for _ in 0..12 {
        table.note_sent(&home, flight(6_600), &[]);
    }
    assert_ne!(pick(&table, "a", 7, 2), home);
}

/// Prompts of all sizes come in a burst. With servers set aside for long prompts, and slow ones kept for
/// short prompts, four of nine servers had nothing to read while the prompts at the others waited for
/// half a second: each server must get its part of the tokens, by its pace.
#[test]
fn whole_fleet() {
    let mut table = addressed_table();
    let slow = BTreeSet::from(["s1", "s4", "s7"].map(String::from));
    make_slow(&mut table, &slow);
    let mut sent: BTreeMap<String, u64> = BTreeMap::new();
    for number in 0..400_u64 {
        let (shared, own) = match number % 4 {
            0 => (6_000, 700 * (1 + number % 40)),
            1 => (6_000, 2_900),
            2 => (500, 1_800),
            _ => (170, 540),
        };
        let parts = [(1, 100), (100 + number % 97, shared), (10_000 + number, own)];
        let id = pick_parts(&table, "a", &parts);
        let parts = parts.map(|(id, tokens)| PromptPart { id, tokens });
        let uncached = table.get(&id).unwrap().uncached_tokens(&parts, 100 + shared + own);
        table.note_sent(&id, flight(uncached), &parts);
        let weight = if slow.contains(&id) { 13 } else { 10 };
        *sent.entry(id).or_default() += uncached * weight;
    }
    assert_eq!(sent.len(), 9);
    let (least, most) = (sent.values().min().unwrap(), sent.values().max().unwrap());
    assert!(*most < *least * 3 / 2, "{sent:?}");
}

/// A session's server is crowded, and its next prompt goes elsewhere. Its shared part of 4,900 tokens was
/// read a second time there, in which all streams beside it pause. It is fetched instead, from the
/// session's server; a request that goes there, and one with a small part, fetches nothing.
#[test]
fn fetched_parts() {
    let mut table = make_table();
    let home = pick(&table, "a", 100, 7);
    let source = |table: &BackendTable, own: u64, shared: u64| {
        let parts = [(1, 500), (100, shared), (7, own)];
        let parts = parts.map(|(id, tokens)| PromptPart { id, tokens });
        let query = make_query("a", &parts);
        let eligible = table.eligible("llm", &[], NOW);
        let target = placement::pick_backend(&eligible, &query).expect("a server");
        let source = placement::pick_fetch_source(&eligible, &query, target);
        source.map(|source| source.entry.id.to_string())
    };
    assert_eq!(source(&table, 6_600, 4_900), None);
    for _ in 0..12 {
        table.note_sent(&home, flight(6_600), &[]);
    }
    assert_eq!(source(&table, 33_000, 4_900), Some(home.clone()));
    assert_eq!(source(&table, 6_600, 4_900), Some(home));
    assert_eq!(source(&table, 33_000, 200), None);
}

/// A session's first server turns out to be slow, and another is its first from then on. There its part
/// of 4,900 tokens was read anew, for most sessions at once; it is fetched from the server before.
#[test]
fn moved_session() {
    let mut table = addressed_table();
    let homes: Vec<String> = (100..300).map(|session| pick(&table, "a", session, 1)).collect();
    for (session, home) in (100..).zip(&homes) {
        let parts = [(1, 500), (session, 4_900)];
        let parts = parts.map(|(id, tokens)| PromptPart { id, tokens });
        table.note_sent(home, flight(6_600), &parts);
    }
    // What was sent has ended.
    let ended: Vec<String> = table.rows().map(|row| row.entry.id.to_string()).collect();
    for (id, number) in ended.iter().flat_map(|id| (0..=200).map(move |number| (id, number))) {
        table.note_ended(id, number);
    }
    make_slow(&mut table, &BTreeSet::from([homes[0].clone()]));
    let moved: Vec<u64> = (100..300)
        .filter(|session| pick(&table, "a", *session, 1) != homes[*session as usize - 100])
        .collect();
    assert!(!moved.is_empty());
    let eligible = table.eligible("llm", &[], NOW);
    for session in moved {
        let parts = [(1, 500), (session, 4_900), (7, 6_600)];
        let parts = parts.map(|(id, tokens)| PromptPart { id, tokens });
        let query = make_query("a", &parts);
        let target = placement::pick_backend(&eligible, &query).expect("a server");
        let source = placement::pick_fetch_source(&eligible, &query, target).expect("a holder");
        assert_eq!(*source.entry.id, *homes[session as usize - 100]);
    }
}

/// All servers are gone but one that is crowded and one that is far and slow: the next prompt goes there
/// rather than wait for seconds.
#[test]
fn crowded_server() {
    let mut table = addressed_table();
    let home = pick(&table, "a", 7, 1);
    let last = if home == "s8" { "s7" } else { "s8" };
    make_slow(&mut table, &BTreeSet::from([last.to_owned()]));
    for at in 0..9 {
        let id = format!("s{at}");
        if id != home && id != last {
            table.note_missing(&id, None);
        }
    }
    for _ in 0..12 {
        table.note_sent(&home, flight(6_600), &[]);
    }
    assert_eq!(pick(&table, "a", 7, 2), last);
}

/// An entry lapses while the store is away, and its server lives on. It is used for the time in which
/// live servers come back, and no longer.
#[test]
fn lapsed_entry() {
    let mut table = make_table();
    table.note_missing("s0", Some(NOW));
    assert_eq!(table.eligible("llm", &[], NOW).len(), 9);
    assert!(table.drop_expired(NOW + MISSING_GRACE).is_empty());
    assert_eq!(table.drop_expired(NOW + MISSING_GRACE + Duration::from_millis(1)).len(), 1);
}

/// A server leaves without a word just as an entry comes back to the store: its entry is gone, and
/// looks lapsed. It is used for less than the two seconds that a leaving server may still get work,
/// counted at each choice and not when the table is next swept.
#[test]
fn unswept_entry() {
    let mut table = make_table();
    table.note_missing("s0", Some(NOW));
    let late = NOW + Duration::from_millis(1_800);
    assert_eq!(table.eligible("llm", &[], late).len(), 8);
}

/// A server's entry vanishes while the store is well: it has left without a word, and gets nothing.
#[test]
fn vanished_entry() {
    let mut table = make_table();
    table.note_missing("s0", None);
    assert!(table.get("s0").is_none());
}

/// A server starts again under its id. What it had cached and what ran there is gone.
#[test]
fn reborn_server() {
    let mut table = make_table();
    table.note_sent("s0", flight(100), &[PromptPart { id: 5, tokens: 100 }]);
    table.apply_entry(BackendEntry { started_at: 2, ..entry("s0") });
    let row = table.get("s0").unwrap();
    assert_eq!(row.flights.len(), 0);
    assert_eq!(row.uncached_tokens(&[PromptPart { id: 5, tokens: 100 }], 100), 100);
}

/// All VMs lose power and start again. A server's new process registers under another id at the old
/// address, while the entry of the one before stands for some seconds more. Callers whose requests went
/// to it were refused, since the new process does not run what is meant for another one.
#[test]
fn replaced_server() {
    for last in [true, false] {
        let mut table = BackendTable::new();
        let entries = [entry("old"), BackendEntry { revision: 9, started_at: 2, ..entry("new") }];
        let order = if last { [0, 1] } else { [1, 0] };
        for at in order {
            table.apply_entry(entries[at].clone());
        }
        let eligible = table.eligible("llm", &[], NOW);
        let ids: Vec<&str> = eligible.iter().map(|row| &*row.entry.id).collect();
        assert_eq!(ids, ["new"]);
    }
}

/// Every server of a service was found down in a bad moment. Refusing all would be worse than
/// trying those that the store still lists as ready; one that is draining is not among them.
#[test]
fn all_down() {
    let mut table = make_table();
    for at in 0..9 {
        table.note_connect_failure(&format!("s{at}"), NOW);
    }
    table.apply_entry(BackendEntry { draining: true, ..entry("s8") });
    assert_eq!(table.eligible("llm", &[], NOW).len(), 8);
}

/// Makes a table of servers on VMs of their own.
fn addressed_table() -> BackendTable {
    let mut table = BackendTable::new();
    for at in 0..9_u8 {
        let address = SocketAddr::from(([10, 0, 0, at], 80));
        table.apply_entry(BackendEntry { address, ..entry(&format!("s{at}")) });
    }
    table
}

/// States that some servers are 1.3 times slower than the others.
fn make_slow(table: &mut BackendTable, slow: &BTreeSet<String>) {
    let paces = table.rows().map(|row| {
        let pace = if slow.contains(&*row.entry.id) { 26 } else { 20 };
        (row.entry.address.ip(), Duration::from_millis(pace))
    });
    let paces = paces.collect();
    table.apply_paces(&paces);
}

/// Three of nine servers are 1.3 times slower, and no server tells its speed. Once the relays have measured
/// them, slow servers are first for fewer sessions, by their pace, and get no long prompts while others
/// are free.
#[test]
fn slow_servers() {
    let mut table = addressed_table();
    let slow = BTreeSet::from(["s1", "s4", "s7"].map(String::from));
    let count = |table: &BackendTable, own: u64| {
        let at_slow = |session: &u64| slow.contains(&pick_sized(table, "b", *session, (1, own)));
        (1_000..3_000).filter(at_slow).count()
    };
    assert!((600..733).contains(&count(&table, 6_600)));
    make_slow(&mut table, &slow);
    // 3 of 3 + 6 * 1.3 parts of 2,000 sessions.
    for own in [600, 6_600] {
        assert!((500..611).contains(&count(&table, own)), "{own}: {}", count(&table, own));
    }
    // What a fast one reads 170 ms sooner does not wait for a slow one.
    assert_eq!(count(&table, 33_000), 0);
}
