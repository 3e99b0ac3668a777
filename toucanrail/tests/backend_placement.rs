//! Placement of requests: sessions, slots and servers that are leaving.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use toucanrail::backends::{BackendEntry, BackendTable, FlightRow, MISSING_GRACE, PromptPart};
use toucanrail::placement::{self, PlacementQuery};
use toucanrail::remote_placement::RemoteTerms;

const NOW: Duration = Duration::from_secs(10);

fn entry(id: &str) -> BackendEntry {
    BackendEntry {
        id: Arc::from(id),
        service: Arc::from("llm"),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        data_centre: Arc::from(if id < "s5" { "a" } else { "b" }),
        software_version: "v1".into(),
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

/// Creates the query of a request whose prompt consists of `parts`.
fn make_query<'call>(data_centre: &'call str, parts: &'call [PromptPart]) -> PlacementQuery<'call> {
    let prompt_tokens = parts.iter().map(|part| part.tokens).sum();
    PlacementQuery {
        data_centre,
        parts,
        prompt_tokens,
        now: NOW,
        random: 0.5,
        remote: RemoteTerms::default(),
    }
}

fn in_flight(uncached: u64) -> FlightRow {
    FlightRow { sent_at: NOW, uncached, begun: false }
}

/// Requests of one session at entries in two data centres must reach the same server. On two
/// servers the shared part is prefilled twice, which delays every stream of the second one.
#[test]
fn shared_session() {
    let table = make_table();
    for session in 100..140 {
        assert_eq!(pick(&table, "a", session, 1), pick(&table, "b", session, 2));
    }
}

/// Most callers use one session at once, and its server has a queue of prompts. The next request
/// would begin too late there, so it goes elsewhere although the shared part is prefilled again.
#[test]
fn hot_session() {
    let mut table = make_table();
    let preferred = pick(&table, "a", 7, 1);
    for _ in 0..12 {
        table.record_sent(&preferred, in_flight(6_600), &[]);
    }
    assert_ne!(pick(&table, "a", 7, 2), preferred);
}

/// Prompts of all sizes arrive in a burst, and each server must get its share of the tokens
/// according to its pace. When servers were reserved for long prompts and slow servers for short
/// ones, four of nine servers were idle while prompts at the others waited for half a second.
#[test]
fn balanced_load() {
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
        table.record_sent(&id, in_flight(uncached), &parts);
        let weight = if slow.contains(&id) { 13 } else { 10 };
        *sent.entry(id).or_default() += uncached * weight;
    }
    assert_eq!(sent.len(), 9);
    let (least, most) = (sent.values().min().unwrap(), sent.values().max().unwrap());
    assert!(*most < *least * 3 / 2, "{sent:?}");
}

/// A session's server is crowded, and its next prompt goes elsewhere. The shared part of 4,900
/// tokens must be fetched from the session's server instead of being prefilled again while all
/// streams pause. A request at the session's server and one with a small shared part fetch nothing.
#[test]
fn fetched_parts() {
    let mut table = make_table();
    let preferred = pick(&table, "a", 100, 7);
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
        table.record_sent(&preferred, in_flight(6_600), &[]);
    }
    assert_eq!(source(&table, 33_000, 4_900), Some(preferred.clone()));
    assert_eq!(source(&table, 6_600, 4_900), Some(preferred));
    assert_eq!(source(&table, 33_000, 200), None);
}

/// A session's preferred server turns out to be slow, and another server is preferred from then on.
/// The shared part of 4,900 tokens must be fetched from the previous server; otherwise most
/// sessions are prefilled again at once.
#[test]
fn moved_session() {
    let mut table = addressed_table();
    let preferred_servers: Vec<String> =
        (100..300).map(|session| pick(&table, "a", session, 1)).collect();
    for (session, preferred) in (100..).zip(&preferred_servers) {
        let parts = [(1, 500), (session, 4_900)];
        let parts = parts.map(|(id, tokens)| PromptPart { id, tokens });
        table.record_sent(preferred, in_flight(6_600), &parts);
    }
    // The requests sent above have ended.
    let ended: Vec<String> = table.rows().map(|row| row.entry.id.to_string()).collect();
    for (id, number) in ended.iter().flat_map(|id| (0..=200).map(move |number| (id, number))) {
        table.record_ended(id, number);
    }
    make_slow(&mut table, &BTreeSet::from([preferred_servers[0].clone()]));
    let moved: Vec<u64> = (100..300)
        .filter(|session| {
            pick(&table, "a", *session, 1) != preferred_servers[*session as usize - 100]
        })
        .collect();
    assert!(!moved.is_empty());
    let eligible = table.eligible("llm", &[], NOW);
    for session in moved {
        let parts = [(1, 500), (session, 4_900), (7, 6_600)];
        let parts = parts.map(|(id, tokens)| PromptPart { id, tokens });
        let query = make_query("a", &parts);
        let target = placement::pick_backend(&eligible, &query).expect("a server");
        let source = placement::pick_fetch_source(&eligible, &query, target).expect("a source");
        assert_eq!(*source.entry.id, *preferred_servers[session as usize - 100]);
    }
}

/// Only a crowded server and a remote slow one are left: the next prompt goes to the slow one
/// rather than wait for seconds.
#[test]
fn crowded_server() {
    let mut table = addressed_table();
    let preferred = pick(&table, "a", 7, 1);
    let last = if preferred == "s8" { "s7" } else { "s8" };
    make_slow(&mut table, &BTreeSet::from([last.to_owned()]));
    for at in 0..9 {
        let id = format!("s{at}");
        if id != preferred && id != last {
            table.record_missing(&id, None);
        }
    }
    for _ in 0..12 {
        table.record_sent(&preferred, in_flight(6_600), &[]);
    }
    assert_eq!(pick(&table, "a", 7, 2), last);
}

/// A live server's registration expires during a store outage. The server is used for as long as
/// live servers need to register again, and no longer.
#[test]
fn expired_registration() {
    let mut table = make_table();
    table.record_missing("s0", Some(NOW));
    assert_eq!(table.eligible("llm", &[], NOW).len(), 9);
    assert!(table.drop_expired(NOW + MISSING_GRACE).is_empty());
    assert_eq!(table.drop_expired(NOW + MISSING_GRACE + Duration::from_millis(1)).len(), 1);
}

/// A server leaves without notice just when an entry reaches the store again, so that its missing
/// registration looks expired. It must get work for less than the two seconds allowed for a leaving
/// server; this is checked at each choice, not only when the table is swept.
#[test]
fn unswept_registration() {
    let mut table = make_table();
    table.record_missing("s0", Some(NOW));
    let late = NOW + Duration::from_millis(1_800);
    assert_eq!(table.eligible("llm", &[], late).len(), 8);
}

/// A server's registration vanishes while the store is available: the server has left without
/// notice and gets no more work.
#[test]
fn vanished_registration() {
    let mut table = make_table();
    table.record_missing("s0", None);
    assert!(table.get("s0").is_none());
}

/// A server restarts under the same id: its cache and its requests are gone.
#[test]
fn restarted_server() {
    let mut table = make_table();
    table.record_sent("s0", in_flight(100), &[PromptPart { id: 5, tokens: 100 }]);
    table.apply_entry(BackendEntry { started_at: 2, ..entry("s0") });
    let row = table.get("s0").unwrap();
    assert_eq!(row.flights.len(), 0);
    assert_eq!(row.uncached_tokens(&[PromptPart { id: 5, tokens: 100 }], 100), 100);
}

/// All VMs lose power and restart. A server's new process registers under another id at the same
/// address, while the old registration remains for some seconds. Requests sent to the old id are
/// refused, because the new process does not run requests for another one.
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

/// Every server of a service was found down. Servers that the store still lists as ready must be
/// tried rather than all requests refused; a draining server is not among them.
#[test]
fn all_down() {
    let mut table = make_table();
    for at in 0..9 {
        table.record_connect_failure(&format!("s{at}"), NOW);
    }
    table.apply_entry(BackendEntry { draining: true, ..entry("s8") });
    assert_eq!(table.eligible("llm", &[], NOW).len(), 8);
}

/// Creates a table of servers on separate VMs.
fn addressed_table() -> BackendTable {
    let mut table = BackendTable::new();
    for at in 0..9_u8 {
        let address = SocketAddr::from(([10, 0, 0, at], 80));
        table.apply_entry(BackendEntry { address, ..entry(&format!("s{at}")) });
    }
    table
}

/// Sets paces so that the `slow` servers are 1.3 times slower than the others.
fn make_slow(table: &mut BackendTable, slow: &BTreeSet<String>) {
    let paces = table.rows().map(|row| {
        let pace = if slow.contains(&*row.entry.id) { 26 } else { 20 };
        (row.entry.address.ip(), Duration::from_millis(pace))
    });
    let paces = paces.collect();
    table.apply_paces(&paces);
}

/// Three of nine servers are 1.3 times slower, and no server states its speed. Once the relays have
/// measured them, slow servers are preferred for fewer sessions, in proportion to their pace, and
/// get no long prompts while other servers are free.
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
    // A fraction of 3 / (3 + 6 * 1.3) of 2,000 sessions.
    for own in [600, 6_600] {
        assert!((500..611).contains(&count(&table, own)), "{own}: {}", count(&table, own));
    }
    // A prompt that a fast server prefills 170 ms sooner is not placed at a slow one.
    assert_eq!(count(&table, 33_000), 0);
}

/// A prompt has more parts than are remembered per server. The server that has received it must still
/// count as having its first parts cached.
#[test]
fn many_parts() {
    let mut table = make_table();
    let parts: Vec<PromptPart> = (0..5_000).map(|id| PromptPart { id, tokens: 10 }).collect();
    table.record_sent("s1", in_flight(50_000), &parts);
    let eligible = table.eligible("llm", &[], NOW);
    let row = eligible.iter().find(|row| &*row.entry.id == "s1").expect("a registered server");
    assert!(row.cached_tokens(&parts) >= 10_000, "{} tokens", row.cached_tokens(&parts));
}
