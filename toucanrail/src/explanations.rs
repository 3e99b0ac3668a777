//! The candidates of a request and the components of their costs, as told to operators.

use serde::Serialize;

use crate::backends::{BackendId, BackendRow};
use crate::ids::{DataCentre, SoftwareVersion};
use crate::pauses::PauseRule;
use crate::placement::{self, CostParts, CostRow, PlacementQuery};
use crate::probes;

/// A server among which a request's server is chosen.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CandidateCost {
    /// Id of the server.
    pub server: BackendId,
    /// Data centre of the server.
    pub data_centre: DataCentre,
    /// Version of the server's software.
    pub version: SoftwareVersion,
    /// This entry's requests in flight there.
    pub in_flight: usize,
    /// Expected cost, the sum of its components, in milliseconds.
    pub cost_ms: f64,
    /// Components of the cost, in milliseconds.
    pub parts_ms: CostParts,
}

/// Returns the servers among which [`probes::pick_server`] chooses without reports, the chosen one
/// first.
///
/// # Examples
/// ```
/// use toucanrail::{explanations, pauses::PauseRule, placement::PlacementQuery};
/// let query = PlacementQuery {
///     data_centre: "a", parts: &[], prompt_tokens: 0, now: Default::default(), random: 0.5,
///     remote: Default::default(),
/// };
/// assert!(explanations::list_costs(&[], &query, &PauseRule::default()).is_empty());
/// ```
pub fn list_costs(
    eligible: &[&BackendRow],
    query: &PlacementQuery<'_>,
    rule: &PauseRule,
) -> Vec<CandidateCost> {
    let pause_cost = |server: &_| probes::pause_cost(server, query, rule);
    let mut rows = placement::rate_ramped(eligible, query);
    placement::add_pause_costs(&mut rows, pause_cost);
    let mut rows: Vec<&CostRow<'_>> = placement::candidates(&rows, query).collect();
    // The sort is stable, so that of equal costs the first one is chosen here as well.
    rows.sort_by(|row, other| row.cost.total_cmp(&other.cost));
    let candidate = |row: &CostRow<'_>| {
        let backend = row.server.row;
        let entry = &backend.entry;
        CandidateCost {
            server: BackendId::clone(&entry.id),
            data_centre: DataCentre::clone(&entry.data_centre),
            version: SoftwareVersion::clone(&entry.software_version),
            in_flight: backend.flights.len(),
            cost_ms: row.cost,
            parts_ms: row.parts,
        }
    };
    rows.into_iter().map(candidate).collect()
}
