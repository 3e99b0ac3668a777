//! Data centres that are evacuated and taken back into use.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use toucanrail::backends::{BackendEntry, BackendTable, FlightRow, PromptPart};
use toucanrail::evacuations::EvacuationTable;
use toucanrail::ids::DataCentre;
use toucanrail::placement::{self, PlacementQuery};
use toucanrail::remote_placement::RemoteTerms;

const BOUND: Duration = Duration::from_secs(5);
const NOW: Duration = Duration::from_secs(100);

fn entry(at: u8) -> BackendEntry {
    BackendEntry {
        id: Arc::from(format!("s{at:02}")),
        service: Arc::from("llm"),
        address: SocketAddr::from(([10, 0, 0, at], 80)),
        data_centre: Arc::from(["a", "b", "c"][usize::from(at % 3)]),
        software_version: "v1".into(),
        slots: 64,
        draining: false,
        started_at: 1,
        cold: Duration::ZERO,
        revision: 1,
    }
}

fn make_table(servers: u8) -> BackendTable {
    let mut evacuations = EvacuationTable::awaiting_listing(BOUND);
    evacuations.apply_listing(&BTreeSet::new(), Duration::ZERO);
    let mut table = BackendTable::with_evacuations(evacuations);
    for at in 0..servers {
        table.apply_entry(entry(at));
    }
    table
}

fn listed(names: &[&str]) -> BTreeSet<DataCentre> {
    names.iter().map(|name| Arc::from(*name)).collect()
}

fn count_eligible(table: &BackendTable, now: Duration) -> usize {
    table.eligible("llm", &[], now).len()
}

/// A third of the servers gets no new work within the bound, and no single step moves all of their
/// sessions.
#[test]
fn closes_gradually() {
    let mut table = make_table(54);
    table.evacuations.begin(&Arc::from("b"), Duration::ZERO, NOW);
    let counts: Vec<usize> =
        (0..=20).map(|step| count_eligible(&table, NOW + BOUND.mul_f64(0.01) * step)).collect();
    assert!(counts.windows(2).all(|pair| pair[0] >= pair[1]), "{counts:?}");
    assert!(counts.windows(2).all(|pair| pair[0] - pair[1] <= 6), "{counts:?}");
    assert_eq!(counts.last(), Some(&36));
}

/// An evacuation that becomes known late takes effect at once.
#[test]
fn late_change() {
    let mut table = make_table(9);
    table.evacuations.begin(&Arc::from("b"), BOUND / 2, NOW);
    assert_eq!(count_eligible(&table, NOW), 6);
}

/// An entry starts during an evacuation that it does not know of yet.
#[test]
fn unknown_at_start() {
    let evacuations = EvacuationTable::awaiting_listing(BOUND);
    let mut table = BackendTable::with_evacuations(evacuations);
    table.apply_entry(entry(1));
    assert_eq!(count_eligible(&table, NOW), 0);
    table.evacuations.apply_listing(&listed(&["b"]), NOW);
    assert_eq!(count_eligible(&table, NOW), 0);
    table.evacuations.apply_listing(&listed(&[]), NOW);
    assert_eq!(count_eligible(&table, NOW), 1);
}

/// The store loses its history. The evacuation in the new listing must continue, not begin again.
#[test]
fn listed_again() {
    let mut table = make_table(9);
    table.evacuations.begin(&Arc::from("b"), Duration::ZERO, NOW);
    let later = NOW + BOUND.mul_f64(0.3);
    assert!(table.evacuations.apply_listing(&listed(&["b"]), later).is_empty());
    assert_eq!(count_eligible(&table, later), 6);
    assert_eq!(table.evacuations.apply_listing(&listed(&[]), later), [Arc::from("b")]);
}

/// If all data centres are evacuated no server is eligible, not even as a last resort.
#[test]
fn all_evacuated() {
    let mut table = make_table(9);
    table.evacuations.apply_listing(&listed(&["a", "b", "c"]), NOW);
    for at in 0..9 {
        table.record_connect_failure(&format!("s{at:02}"), NOW);
    }
    assert_eq!(count_eligible(&table, NOW), 0);
}

/// A session leaves a server that is closed. Its part of 4,900 tokens is fetched from there while
/// that is allowed, and no longer.
#[test]
fn fetched_while_closing() {
    let mut table = make_table(9);
    let parts = [(1, 500), (100, 4_900), (7, 6_600)];
    let parts = parts.map(|(id, tokens)| PromptPart { id, tokens });
    let source = |table: &BackendTable, now: Duration| {
        let query = PlacementQuery {
            data_centre: "a",
            parts: &parts,
            prompt_tokens: 12_000,
            now,
            random: 0.5,
            remote: RemoteTerms::default(),
        };
        let eligible = table.eligible("llm", &[], now);
        let sources = table.fetch_sources("llm", &[], now);
        let target = placement::pick_backend(&eligible, &query).expect("a server");
        let source = placement::pick_fetch_source(&sources, &query, target);
        (target.entry.clone(), source.map(|source| Arc::clone(&source.entry.id)))
    };
    let (preferred, _) = source(&table, NOW);
    let in_flight = FlightRow { sent_at: NOW, uncached: 12_000, begun: true };
    table.record_sent(&preferred.id, in_flight, &parts);
    table.evacuations.begin(&preferred.data_centre, Duration::ZERO, NOW);
    let closed = NOW + BOUND.mul_f64(0.3);
    let (target, source_id) = source(&table, closed);
    assert_ne!(target.data_centre, preferred.data_centre);
    assert_eq!(source_id, Some(preferred.id));
    assert_eq!(source(&table, NOW + BOUND.mul_f64(0.5)).1, None);
}

/// The servers of a data centre were restarted during its evacuation, and the end of the evacuation
/// becomes known before their restarts. They must not get a fleet's load at once.
#[test]
fn cold_when_reopened() {
    let mut table = make_table(9);
    table.evacuations.apply_listing(&listed(&["b"]), NOW);
    table.end_evacuation("b", NOW, |_| Duration::from_secs(3));
    let cold = |table: &BackendTable, now| table.rows().filter(|row| row.is_cold(now)).count();
    assert_eq!(count_eligible(&table, NOW), 9);
    assert_eq!(cold(&table, NOW + Duration::from_millis(2_900)), 3);
    assert_eq!(cold(&table, NOW + Duration::from_millis(3_100)), 0);
}
