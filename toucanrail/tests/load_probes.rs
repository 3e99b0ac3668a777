//! Load probes before a placement, against placing by what an entry knows itself.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use toucanrail::backends::{BackendEntry, BackendTable, FlightRow, PromptPart};
use toucanrail::paces::{BackendReport, RunProgress};
use toucanrail::placement;
use toucanrail::placement::PlacementQuery;
use toucanrail::probes::{self, ProbeRow, SlotGauge};

const AIM: Duration = Duration::from_millis(500);
const SLOTS: u64 = 16;
const SERVERS: usize = 12;
const ENTRIES: usize = 24;
/// Time for which a request runs once it has a place, and between two requests: 85 % of all places are
/// taken.
const RUN: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_millis(18);
const REQUESTS: usize = 3_000;

fn entry(at: usize) -> BackendEntry {
    BackendEntry {
        id: Arc::from(format!("s{at}")),
        service: Arc::from("llm"),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        data_centre: Arc::from("a"),
        slots: SLOTS,
        draining: false,
        started_at: 1,
        cold: Duration::ZERO,
        revision: 1,
    }
}

fn make_table() -> BackendTable {
    let mut table = BackendTable::new();
    for at in 0..SERVERS {
        table.apply_entry(entry(at));
    }
    table
}

fn make_report(running: u64, waiting: u64) -> BackendReport {
    let row = |at| RunProgress { request: Arc::from(format!("r{at}")), events: 1 };
    BackendReport { started_at: 1, waiting, runs: (0..running).map(row).collect() }
}

fn make_query(parts: &[PromptPart], now: Duration) -> PlacementQuery<'_> {
    let prompt = parts.iter().map(|part| part.tokens).sum();
    PlacementQuery { data_centre: "a", parts, prompt, now, random: 0.5 }
}

fn make_parts(session: u64, own: u64) -> [PromptPart; 3] {
    [(1, 100), (1_000 + session, 100), (100_000 + own, 600)]
        .map(|(id, tokens)| PromptPart { id, tokens })
}

/// The server that an entry takes for the best has no place free, which it cannot know; another has.
#[test]
fn full_server() {
    let table = make_table();
    let parts = make_parts(7, 1);
    let query = make_query(&parts, RUN);
    let eligible = table.eligible("llm", &[], RUN);
    let candidates = probes::pick_candidates(&eligible, &query, &[0.1, 0.9]);
    assert_eq!(candidates.len(), 3);
    let home = Arc::clone(&candidates[0].id);
    let load = |at: usize| if at == 0 { make_report(SLOTS, 4) } else { make_report(3, 0) };
    let probed: Vec<ProbeRow> =
        candidates.into_iter().enumerate().map(|(at, entry)| (entry, Some(load(at)))).collect();
    let chosen = probes::pick_probed(&eligible, &query, &probed, AIM).expect("a server");
    assert_ne!(chosen.entry.id, home);
}

/// Nothing is known of servers whose relays do not answer: the request goes where it would go unasked.
#[test]
fn silent_relays() {
    let table = make_table();
    let parts = make_parts(7, 1);
    let query = make_query(&parts, RUN);
    let eligible = table.eligible("llm", &[], RUN);
    let candidates = probes::pick_candidates(&eligible, &query, &[0.1, 0.9]);
    let probed: Vec<ProbeRow> = candidates.into_iter().map(|entry| (entry, None)).collect();
    let chosen = probes::pick_probed(&eligible, &query, &probed, AIM).map(|row| &row.entry.id);
    assert_eq!(chosen, placement::pick_backend(&eligible, &query).map(|row| &row.entry.id));
}

/// Probes delayed each request of a fleet whose servers had places free, and told nothing.
#[test]
fn free_places() {
    let mut gauge = SlotGauge::default();
    let free: Vec<ProbeRow> = (0..3).map(|at| (entry(at), Some(make_report(5, 0)))).collect();
    let full: Vec<ProbeRow> = (0..3).map(|at| (entry(at), Some(make_report(SLOTS, 2)))).collect();
    gauge.record_reports(&free);
    assert!(!gauge.should_probe(0.5));
    gauge.record_reports(&full);
    assert!(gauge.should_probe(0.5));
    for _ in 0..20 {
        gauge.record_reports(&free);
    }
    assert!(!gauge.should_probe(0.5));
}

/// One request as its server sees it.
#[derive(Clone, Copy)]
struct PlacedRow {
    begins: Duration,
    ends: Duration,
}

/// A model of a server.
trait ServerSim: Default {
    /// Places a request; true if that was a bad choice.
    fn place(&mut self, now: Duration) -> bool;

    /// Returns what its relay tells.
    fn report(&self, now: Duration) -> BackendReport;
}

/// A server with a queue: a request begins as soon as one of the places is free.
#[derive(Default)]
struct QueueSim {
    rows: Vec<PlacedRow>,
}

impl ServerSim for QueueSim {
    /// The request waits for a place for longer than hoped for.
    fn place(&mut self, now: Duration) -> bool {
        let mut ends: Vec<Duration> =
            self.rows.iter().map(|row| row.ends).filter(|ends| *ends > now).collect();
        ends.sort_unstable();
        let over = (ends.len() + 1).saturating_sub(SLOTS as usize);
        let begins = over.checked_sub(1).map_or(now, |at| ends[at]);
        self.rows.push(PlacedRow { begins, ends: begins + RUN });
        begins.saturating_sub(now) > AIM
    }

    fn report(&self, now: Duration) -> BackendReport {
        let running = self.rows.iter().filter(|row| row.begins <= now && row.ends > now).count();
        let waiting = self.rows.iter().filter(|row| row.begins > now).count();
        make_report(running as u64, waiting as u64)
    }
}

/// Some requests that many entries place, one after the other.
struct LoadPlan<Parts> {
    seed: u64,
    pause: Duration,
    /// Servers drawn for each probe.
    drawn: usize,
    /// Makes the prompt of a session's request, by its number.
    make_parts: Parts,
}

/// Serves a load through entries that each see a part of it, and counts the bad choices.
fn count_bad<Server, Parts>(plan: &LoadPlan<Parts>, probes_first: bool) -> usize
where
    Server: ServerSim,
    Parts: Fn(u64, u64) -> [PromptPart; 3],
{
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    let mut tables: Vec<BackendTable> = (0..ENTRIES).map(|_| make_table()).collect();
    let mut servers: BTreeMap<Arc<str>, Server> = BTreeMap::new();
    let mut bad = 0;
    for number in 0..REQUESTS {
        let now = plan.pause * number as u32;
        let table = &mut tables[number % ENTRIES];
        let parts = (plan.make_parts)(rng.u64(0..40), number as u64);
        let query = make_query(&parts, now);
        let eligible = table.eligible("llm", &[], now);
        let draws: Vec<f64> = (0..plan.drawn).map(|_| rng.f64()).collect();
        let candidates = probes::pick_candidates(&eligible, &query, &draws);
        let probed: Vec<ProbeRow> = candidates
            .into_iter()
            .map(|entry| {
                let report = servers.entry(Arc::clone(&entry.id)).or_default().report(now);
                (entry, Some(report))
            })
            .collect();
        let chosen = if probes_first {
            probes::pick_probed(&eligible, &query, &probed, AIM)
        } else {
            placement::pick_backend(&eligible, &query)
        };
        let id = Arc::clone(&chosen.expect("a server").entry.id);
        bad += usize::from(servers.entry(Arc::clone(&id)).or_default().place(now));
        let flight = FlightRow { sent_at: now, uncached: 0, begun: true };
        table.note_sent(&id, flight, &parts);
    }
    bad
}

/// Nearly all places are taken, and entries that see a twenty-fourth of the load each sent requests into the
/// queue of one server while another had places free. Asked for, hardly one waits.
#[test]
fn scarce_places() {
    let plan = LoadPlan { seed: 1, pause: PAUSE, drawn: 2, make_parts };
    let [unasked, asked] = [false, true].map(|asks| count_bad::<QueueSim, _>(&plan, asks));
    assert!(unasked > REQUESTS / 10, "{unasked} late without probes: no load that tells");
    assert!(asked * 20 < REQUESTS, "{asked} late with probes, {unasked} without");
}

/// Time for which a long prompt is read, and between two of them: 60 % of all servers read one.
const READ: Duration = Duration::from_millis(700);
const READ_PAUSE: Duration = Duration::from_millis(97);
const LONG_PARTS: [u64; 3] = [100, 4_900, 35_000];

fn make_long_parts(session: u64, number: u64) -> [PromptPart; 3] {
    let ids = [1, 1_000 + session, 100_000 + number];
    [0, 1, 2].map(|at| PromptPart { id: ids[at], tokens: LONG_PARTS[at] })
}

/// A server that reads one prompt after the other.
#[derive(Default)]
struct ReadingSim {
    until: Duration,
}

impl ServerSim for ReadingSim {
    /// Another prompt is being read.
    fn place(&mut self, now: Duration) -> bool {
        let is_reading = self.until > now;
        self.until = now.max(self.until) + READ;
        is_reading
    }

    fn report(&self, now: Duration) -> BackendReport {
        let run = RunProgress { request: Arc::from("r"), events: 0 };
        let runs = if self.until > now { vec![run] } else { Vec::new() };
        BackendReport { started_at: 1, waiting: 0, runs }
    }
}

/// An entry sees one in twenty-four of the long prompts, and sent every second one to a server that was reading
/// another: both began late, and every stream beside them paused for twice as long.
#[test]
fn long_prompts() {
    let (drawn, make_parts) = (probes::PROBE_SAMPLES, make_long_parts);
    let plan = LoadPlan { seed: 2, pause: READ_PAUSE, drawn, make_parts };
    let [unasked, asked] = [false, true].map(|asks| count_bad::<ReadingSim, _>(&plan, asks));
    assert!(unasked > REQUESTS / 4, "{unasked} doubled without probes: no load that tells");
    assert!(asked * 3 < unasked, "{asked} doubled with probes, {unasked} without");
}

/// Of servers that read nothing a long prompt goes to the one with the fewest streams, which all pause.
#[test]
fn fewest_streams() {
    let table = make_table();
    let parts = [PromptPart { id: 1, tokens: 100 }, PromptPart { id: 2, tokens: 40_000 }];
    let query = make_query(&parts, RUN);
    let eligible = table.eligible("llm", &[], RUN);
    let probed: Vec<ProbeRow> =
        (0..5).map(|at| (entry(at), Some(make_report(12 - 2 * at as u64, 0)))).collect();
    let chosen = probes::pick_probed(&eligible, &query, &probed, AIM).expect("a server");
    assert_eq!(*chosen.entry.id, *"s4");
}
