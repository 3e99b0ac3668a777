//! Where requests go: sessions, slots and servers that are leaving.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use toucanrail::backends::{
    BackendEntry, BackendId, BackendRow, BackendTable, FlightRow, LAPSE_GRACE, PromptPart,
};
use toucanrail::lanes::StreamBounds;
use toucanrail::messages::LoadReply;
use toucanrail::placing::{self, PlaceQuery};

const NOW: Duration = Duration::from_secs(10);
/// Streams of seven tokens an event.
const BOUNDS: StreamBounds = StreamBounds { stride: 7, pause: Duration::from_millis(600) };
static NO_LOADS: BTreeMap<BackendId, LoadReply> = BTreeMap::new();

fn entry(id: &str) -> BackendEntry {
    BackendEntry {
        id: Arc::from(id),
        service: Arc::from("llm"),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        data_centre: Arc::from(if id < "s5" { "a" } else { "b" }),
        slots: 64,
        draining: false,
        born: 1,
        revision: 1,
    }
}

fn make_table() -> BackendTable {
    let mut table = BackendTable::new();
    for at in 0..9 {
        table.take_entry(entry(&format!("s{at}")));
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
    placing::pick_backend(&eligible, &query).expect("a server").entry.id.to_string()
}

/// Makes the query of a request whose prompt is these parts.
fn make_query<'call>(data_centre: &'call str, parts: &'call [PromptPart]) -> PlaceQuery<'call> {
    let prompt = parts.iter().map(|part| part.tokens).sum();
    let loads = &NO_LOADS;
    PlaceQuery { data_centre, parts, prompt, bounds: BOUNDS, now: NOW, dice: 0.5, loads }
}

fn flight(fresh: u64) -> FlightRow {
    FlightRow { sent_at: NOW, fresh, begun: false }
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

/// One prompt in twenty is so long that the engine pauses every stream beside it while it reads. Placed
/// like the others, it makes a dozen callers' streams late; so these prompts have servers of their own.
#[test]
fn long_prompts() {
    let table = make_table();
    let long = long_servers(&table);
    let short: BTreeSet<String> = (100..200).map(|session| pick(&table, "b", session, 1)).collect();
    assert!(long.is_disjoint(&short), "{long:?} {short:?}");
    assert_eq!((long.len(), short.len()), (3, 6));
}

/// A session's long prompt goes to the servers for long prompts, and its shared part of 5,400 tokens was
/// read a second time there: 95 ms in which all streams beside it pause. It is fetched instead, from the
/// server of the session's other prompts; these and small parts fetch nothing.
#[test]
fn fetched_parts() {
    let table = make_table();
    let eligible = table.eligible("llm", &[], NOW);
    let source = |own: u64, shared: u64| {
        let parts = [(1, 500), (100, shared), (7, own)];
        let parts = parts.map(|(id, tokens)| PromptPart { id, tokens });
        let query = make_query("a", &parts);
        let target = placing::pick_backend(&eligible, &query).expect("a server");
        let source = placing::pick_source(&eligible, &query, target);
        source.map(|source| source.entry.id.to_string())
    };
    assert_eq!(source(33_000, 4_900), Some(pick(&table, "a", 100, 7)));
    assert_eq!(source(6_600, 4_900), None);
    assert_eq!(source(33_000, 200), None);
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
        let target = placing::pick_backend(&eligible, &query).expect("a server");
        let source = placing::pick_source(&eligible, &query, target).expect("a holder");
        assert_eq!(*source.entry.id, *homes[session as usize - 100]);
    }
}

/// Two entries place a long prompt each at the same moment and know nothing of one another: the second
/// waited half a second behind the first, while other servers for long prompts were free.
#[test]
fn busy_candidates() {
    let table = make_table();
    let eligible = table.eligible("llm", &[], NOW);
    let parts = [(1, 500), (100, 4_900), (7, 33_000)];
    let parts = parts.map(|(id, tokens)| PromptPart { id, tokens });
    let query = make_query("a", &parts);
    let candidates = placing::pick_candidates(&eligible, &query);
    assert_eq!(candidates.len(), 3);
    for free in &candidates {
        let load = |row: &&BackendRow| {
            let reading = u64::from(row.entry.id != free.entry.id);
            (Arc::clone(&row.entry.id), LoadReply { reading, streaming: 0 })
        };
        let loads = candidates.iter().map(load).collect();
        let picked = placing::pick_backend(&eligible, &PlaceQuery { loads: &loads, ..query });
        assert_eq!(picked.map(|row| &row.entry.id), Some(&free.entry.id));
    }
    let short = PlaceQuery { parts: &parts[..2], prompt: 5_400, ..query };
    assert!(placing::pick_candidates(&eligible, &short).is_empty());
}

/// All ordinary servers are gone but one that is crowded: ordinary streams use those of the long
/// prompts rather than wait for seconds.
#[test]
fn crowded_lane() {
    let mut table = make_table();
    let home = pick(&table, "a", 7, 1);
    for at in 0..9 {
        let id = format!("s{at}");
        if !long_servers(&table).contains(&id) && id != home {
            table.note_missing(&id, None);
        }
    }
    for _ in 0..12 {
        table.note_sent(&home, flight(6_600), &[]);
    }
    assert_ne!(pick(&table, "a", 7, 2), home);
}

fn long_servers(table: &BackendTable) -> BTreeSet<String> {
    (100..200).map(|session| pick_sized(table, "a", session, (1, 33_000))).collect()
}

/// An entry lapses while the store is away, and its server lives on. It is used for the time in which
/// live servers come back, and no longer.
#[test]
fn lapsed_entry() {
    let mut table = make_table();
    table.note_missing("s0", Some(NOW));
    assert_eq!(table.eligible("llm", &[], NOW).len(), 9);
    assert!(table.drop_lapsed(NOW + LAPSE_GRACE).is_empty());
    assert_eq!(table.drop_lapsed(NOW + LAPSE_GRACE + Duration::from_millis(1)).len(), 1);
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
    table.take_entry(BackendEntry { born: 2, ..entry("s0") });
    let row = table.get("s0").unwrap();
    assert_eq!(row.flights.len(), 0);
    assert_eq!(row.fresh_tokens(&[PromptPart { id: 5, tokens: 100 }], 100), 100);
}

/// All VMs lose power and start again. A server's new process registers under another id at the old
/// address, while the entry of the one before stands for some seconds more. Callers whose requests went
/// to it were refused, since the new process does not run what is meant for another one.
#[test]
fn replaced_server() {
    for last in [true, false] {
        let mut table = BackendTable::new();
        let entries = [entry("old"), BackendEntry { revision: 9, born: 2, ..entry("new") }];
        let order = if last { [0, 1] } else { [1, 0] };
        for at in order {
            table.take_entry(entries[at].clone());
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
        table.note_down(&format!("s{at}"), NOW);
    }
    table.take_entry(BackendEntry { draining: true, ..entry("s8") });
    assert_eq!(table.eligible("llm", &[], NOW).len(), 8);
}

/// Makes a table of servers on VMs of their own.
fn addressed_table() -> BackendTable {
    let mut table = BackendTable::new();
    for at in 0..9_u8 {
        let address = SocketAddr::from(([10, 0, 0, at], 80));
        table.take_entry(BackendEntry { address, ..entry(&format!("s{at}")) });
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
    table.take_paces(&paces);
}

/// Three of nine servers are 1.3 times slower. What a fast one reads within the pauses that callers bear
/// a slow one does not, and no server tells its speed. Once the relays have measured them, slow servers
/// get short prompts only, and most of these.
#[test]
fn slow_servers() {
    let mut table = addressed_table();
    let aside = long_servers(&table);
    let slow: BTreeSet<String> = aside.iter().take(2).cloned().chain(["s4".into()]).collect();
    make_slow(&mut table, &slow);
    assert!(long_servers(&table).is_disjoint(&slow));
    let medium: BTreeSet<String> =
        (100..400).map(|session| pick(&table, "b", session, 1)).collect();
    assert!(medium.is_disjoint(&slow));
    let at_slow = (100..400).filter(|session| {
        let parts = [(1, 120), (*session, 80), (1, 600)];
        slow.contains(&pick_parts(&table, "b", &parts))
    });
    // Against three fast ones that count for 0.3 each.
    assert!((210..250).contains(&at_slow.count()));
}
