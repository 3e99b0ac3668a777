//! Components of the costs of servers, compared with the choice that they explain.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use toucanrail::admissions::{AdmissionLimit, AdmissionQuery, PendingRow};
use toucanrail::backends::{BackendEntry, BackendTable, FlightRow, PromptPart};
use toucanrail::explanations;
use toucanrail::pauses::PauseRule;
use toucanrail::placement::PlacementQuery;
use toucanrail::probes;
use toucanrail::remote_placement::RemoteTerms;

const NOW: Duration = Duration::from_secs(9);
const LATENCY_TARGET: Duration = Duration::from_millis(500);

/// Creates servers in two data centres with these numbers of requests in flight.
fn make_table(flights: &[usize]) -> BackendTable {
    let mut table = BackendTable::new();
    for (at, count) in flights.iter().enumerate() {
        let id = format!("s{at}");
        table.apply_entry(BackendEntry {
            id: Arc::from(&*id),
            service: Arc::from("llm"),
            address: SocketAddr::from(([10, 0, 0, at as u8], 80)),
            data_centre: Arc::from(["a", "b"][at % 2]),
            software_version: "v1".into(),
            slots: 4,
            draining: false,
            started_at: 1,
            cold: Duration::ZERO,
            revision: 1,
        });
        for _ in 0..*count {
            let row = FlightRow { sent_at: NOW, uncached: 700, begun: at % 3 == 0 };
            table.record_sent(&id, row, &[]);
        }
        if at % 5 == 4 {
            table.record_cold(&id, Duration::from_secs(3), NOW);
        }
    }
    table
}

proptest! {
    /// Whatever the load, the first candidate is the server that is chosen, its components add up,
    /// and remote servers are listed only where they are candidates.
    #[test]
    fn explained_choice(
        flights in proptest::collection::vec(0..7_usize, 1..9),
        tokens in 0..20_000_u64,
        limit in 300..700_u64,
        are_candidates: bool,
    ) {
        let table = make_table(&flights);
        let parts = [(1, tokens / 2), (2, tokens - tokens / 2)];
        let parts = parts.map(|(id, tokens)| PromptPart { id, tokens });
        let remote = RemoteTerms { cost: 12.0, are_candidates, are_compared: false };
        let query = PlacementQuery {
            data_centre: "a", parts: &parts, prompt_tokens: tokens, now: NOW, random: 0.5, remote,
        };
        let limit = Some(Duration::from_millis(limit));
        let rule = PauseRule { limit, tokens_per_event: 7 };
        let eligible = table.eligible("llm", &[], NOW);
        let costs = explanations::list_costs(&eligible, &query, &rule);
        let chosen = probes::pick_server(&eligible, &query, &[], LATENCY_TARGET, &rule).row;
        let chosen = chosen.expect("a server");
        prop_assert_eq!(&costs[0].server, &chosen.entry.id);
        for cost in &costs {
            prop_assert!((cost.parts_ms.total() - cost.cost_ms).abs() < 1e-9);
            prop_assert_eq!(cost.parts_ms.remote > 0.0, *cost.data_centre == *"b");
        }
        let is_local = |cost: &explanations::CandidateCost| *cost.data_centre == *"a";
        if !are_candidates {
            let remote = costs.iter().filter(|cost| !is_local(cost)).count();
            // The preferred server of the session stays a candidate.
            prop_assert!(remote <= 1, "{:?}", costs);
        }
    }
}

/// A decision on a copy of a limit is the one that the limit makes next, and leaves it as it was.
#[test]
fn copied_limit() {
    let mut limit = AdmissionLimit::default();
    let latency_target = Duration::from_millis(100);
    for number in 0..20 {
        limit.record_sent(number, PendingRow { sent_at: Duration::ZERO, latency_target });
    }
    let query = AdmissionQuery { rank: 0, returned: false };
    let before = format!("{limit:?}");
    assert!(!limit.clone().admits(query, NOW));
    assert_eq!(format!("{limit:?}"), before);
    assert!(!limit.admits(query, NOW));
}
