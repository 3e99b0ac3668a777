//! Placement with load probes, compared with placement by an entry's own knowledge.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use toucanrail::backends::{BackendEntry, BackendTable, FlightRow, PromptPart};
use toucanrail::paces::{BackendReport, RunProgress};
use toucanrail::pauses::PauseRule;
use toucanrail::placement::{self, PlacementQuery};
use toucanrail::probes::{self, ProbeRow, SlotGauge};
use toucanrail::remote_placement::RemoteTerms;

const LATENCY_TARGET: Duration = Duration::from_millis(500);
const SLOTS: u64 = 16;
const SERVERS: usize = 12;
const ENTRIES: usize = 24;
/// Run time of a request once it has a slot, and time between two requests: 85 % of all slots are
/// taken.
const RUN_TIME: Duration = Duration::from_secs(3);
const REQUEST_INTERVAL: Duration = Duration::from_millis(18);
const REQUESTS: usize = 3_000;

fn entry(at: usize) -> BackendEntry {
    BackendEntry {
        id: Arc::from(format!("s{at}")),
        service: Arc::from("llm"),
        address: SocketAddr::from(([10, 0, 0, 1], 80)),
        data_centre: Arc::from("a"),
        software_version: "v1".into(),
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
    let prompt_tokens = parts.iter().map(|part| part.tokens).sum();
    PlacementQuery {
        data_centre: "a",
        parts,
        prompt_tokens,
        now,
        random: 0.5,
        remote: RemoteTerms::default(),
    }
}

fn make_parts(session: u64, own: u64) -> [PromptPart; 3] {
    [(1, 100), (1_000 + session, 100), (100_000 + own, 600)]
        .map(|(id, tokens)| PromptPart { id, tokens })
}

/// The server that an entry expects to be the best has no free slot, which only a probe can show;
/// another one has.
#[test]
fn full_server() {
    let table = make_table();
    let parts = make_parts(7, 1);
    let query = make_query(&parts, RUN_TIME);
    let eligible = table.eligible("llm", &[], RUN_TIME);
    let candidates = probes::pick_candidates(&eligible, &query, &[0.1, 0.9]);
    assert_eq!(candidates.len(), 3);
    let preferred = Arc::clone(&candidates[0].id);
    let make_load = |at: usize| if at == 0 { make_report(SLOTS, 4) } else { make_report(3, 0) };
    let probed: Vec<ProbeRow> = candidates
        .into_iter()
        .enumerate()
        .map(|(at, entry)| (entry, Some(make_load(at))))
        .collect();
    let chosen =
        probes::pick_server(&eligible, &query, &probed, LATENCY_TARGET, &PauseRule::default())
            .row
            .expect("a server");
    assert_ne!(chosen.entry.id, preferred);
}

/// Without any report from the relays, the request goes where it would go without probes.
#[test]
fn silent_relays() {
    let table = make_table();
    let parts = make_parts(7, 1);
    let query = make_query(&parts, RUN_TIME);
    let eligible = table.eligible("llm", &[], RUN_TIME);
    let candidates = probes::pick_candidates(&eligible, &query, &[0.1, 0.9]);
    let probed: Vec<ProbeRow> = candidates.into_iter().map(|entry| (entry, None)).collect();
    let chosen =
        probes::pick_server(&eligible, &query, &probed, LATENCY_TARGET, &PauseRule::default())
            .row
            .map(|row| &row.entry.id);
    assert_eq!(chosen, placement::pick_backend(&eligible, &query).map(|row| &row.entry.id));
}

/// While servers have free slots, requests must not be delayed by probes that add no information.
#[test]
fn free_slots() {
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

/// One request, as seen by its server.
#[derive(Clone, Copy)]
struct PlacedRow {
    begins: Duration,
    ends: Duration,
}

/// A simulated server.
trait ServerSim: Default {
    /// Places a request; returns true if that was a bad choice.
    fn place(&mut self, now: Duration) -> bool;

    /// Returns the server's load report.
    fn report(&self, now: Duration) -> BackendReport;
}

/// A server with a queue: a request begins as soon as a slot is free.
#[derive(Default)]
struct QueueSim {
    rows: Vec<PlacedRow>,
}

impl ServerSim for QueueSim {
    /// A bad choice is one whose wait for a slot exceeds the latency target.
    fn place(&mut self, now: Duration) -> bool {
        let mut ends: Vec<Duration> =
            self.rows.iter().map(|row| row.ends).filter(|ends| *ends > now).collect();
        ends.sort_unstable();
        let ahead = (ends.len() + 1).saturating_sub(SLOTS as usize);
        let begins = ahead.checked_sub(1).map_or(now, |at| ends[at]);
        self.rows.push(PlacedRow { begins, ends: begins + RUN_TIME });
        begins.saturating_sub(now) > LATENCY_TARGET
    }

    fn report(&self, now: Duration) -> BackendReport {
        let running = self.rows.iter().filter(|row| row.begins <= now && row.ends > now).count();
        let waiting = self.rows.iter().filter(|row| row.begins > now).count();
        make_report(running as u64, waiting as u64)
    }
}

/// A series of requests that many entries place in turn.
struct LoadPlan<Parts> {
    seed: u64,
    interval: Duration,
    /// Number of random servers in each probe.
    samples: usize,
    /// Creates the prompt of a session's request, given its number.
    make_parts: Parts,
}

/// Simulates a load placed by entries that each see a part of it, and returns the number of bad
/// choices.
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
        let now = plan.interval * number as u32;
        let table = &mut tables[number % ENTRIES];
        let parts = (plan.make_parts)(rng.u64(0..40), number as u64);
        let query = make_query(&parts, now);
        let eligible = table.eligible("llm", &[], now);
        let draws: Vec<f64> = (0..plan.samples).map(|_| rng.f64()).collect();
        let candidates = probes::pick_candidates(&eligible, &query, &draws);
        let probed: Vec<ProbeRow> = candidates
            .into_iter()
            .map(|entry| {
                let report = servers.entry(Arc::clone(&entry.id)).or_default().report(now);
                (entry, Some(report))
            })
            .collect();
        let chosen = if probes_first {
            probes::pick_server(&eligible, &query, &probed, LATENCY_TARGET, &PauseRule::default())
                .row
        } else {
            placement::pick_backend(&eligible, &query)
        };
        let id = Arc::clone(&chosen.expect("a server").entry.id);
        bad += usize::from(servers.entry(Arc::clone(&id)).or_default().place(now));
        let flight = FlightRow { sent_at: now, uncached: 0, begun: true };
        table.record_sent(&id, flight, &parts);
    }
    bad
}

/// Nearly all slots are taken, and each entry sees only a twenty-fourth of the load. Without
/// probes, requests wait in the queue of one server while another has free slots; with probes,
/// hardly one waits.
#[test]
fn scarce_slots() {
    let plan = LoadPlan { seed: 1, interval: REQUEST_INTERVAL, samples: 2, make_parts };
    let [unprobed, probed] =
        [false, true].map(|probes_first| count_bad::<QueueSim, _>(&plan, probes_first));
    assert!(
        unprobed > REQUESTS / 10,
        "{unprobed} late without probes: the load is too low to show a difference"
    );
    assert!(probed * 20 < REQUESTS, "{probed} late with probes, {unprobed} without");
}

/// Prefill time of a long prompt, and time between two of them: 60 % of all servers are in prefill.
const PREFILL_TIME: Duration = Duration::from_millis(700);
const PREFILL_INTERVAL: Duration = Duration::from_millis(97);
const LONG_PARTS: [u64; 3] = [100, 4_900, 35_000];

fn make_long_parts(session: u64, number: u64) -> [PromptPart; 3] {
    let ids = [1, 1_000 + session, 100_000 + number];
    [0, 1, 2].map(|at| PromptPart { id: ids[at], tokens: LONG_PARTS[at] })
}

/// A server that prefills one prompt after the other.
#[derive(Default)]
struct PrefillSim {
    until: Duration,
}

impl ServerSim for PrefillSim {
    /// A bad choice is a server at which another prompt is in prefill.
    fn place(&mut self, now: Duration) -> bool {
        let in_prefill = self.until > now;
        self.until = now.max(self.until) + PREFILL_TIME;
        in_prefill
    }

    fn report(&self, now: Duration) -> BackendReport {
        let run = RunProgress { request: Arc::from("r"), events: 0 };
        let runs = if self.until > now { vec![run] } else { Vec::new() };
        BackendReport { started_at: 1, waiting: 0, runs }
    }
}

/// An entry sees one in twenty-four of the long prompts. Without probes, it sent every second one
/// to a server that was already in prefill: both began late, and every stream there paused twice as
/// long.
#[test]
fn long_prompts() {
    let (samples, make_parts) = (probes::PROBE_SAMPLES, make_long_parts);
    let plan = LoadPlan { seed: 2, interval: PREFILL_INTERVAL, samples, make_parts };
    let [unprobed, probed] =
        [false, true].map(|probes_first| count_bad::<PrefillSim, _>(&plan, probes_first));
    assert!(
        unprobed > REQUESTS / 4,
        "{unprobed} doubled without probes: the load is too low to show a difference"
    );
    assert!(probed * 3 < unprobed, "{probed} doubled with probes, {unprobed} without");
}

/// Among servers without a prefill, a long prompt goes to the one with the fewest streams, since
/// all of them pause.
#[test]
fn fewest_streams() {
    let table = make_table();
    let parts = [PromptPart { id: 1, tokens: 100 }, PromptPart { id: 2, tokens: 40_000 }];
    let query = make_query(&parts, RUN_TIME);
    let eligible = table.eligible("llm", &[], RUN_TIME);
    let probed: Vec<ProbeRow> =
        (0..5).map(|at| (entry(at), Some(make_report(12 - 2 * at as u64, 0)))).collect();
    let chosen =
        probes::pick_server(&eligible, &query, &probed, LATENCY_TARGET, &PauseRule::default())
            .row
            .expect("a server");
    assert_eq!(*chosen.entry.id, *"s4");
}
