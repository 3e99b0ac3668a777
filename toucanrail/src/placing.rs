//! The choice of a backend server for one request, by when its answer is expected to begin.
//!
//! The load it answers: long prompts that delay every stream beside them, prompt parts that are
//! cached at some servers, and other entries that place at the same time by the same old reports.

use std::time::Duration;

use xxhash_rust::xxh3;

use crate::backends::{BackendRow, PromptPart};
use crate::ids::Tokens;

/// Prompt tokens that an engine reads in a millisecond; from the users' engine sheet.
const READ_RATE: f64 = 56.9;
/// Cost of one more sequence in a batch, in milliseconds of everybody's first event: a step takes
/// about 0.1 ms longer a sequence, over the steps until the prompt is read.
const SEQUENCE_COST: f64 = 4.0;
/// Cost of one request at a plain service's server, against its slots, in milliseconds.
const CALL_COST: f64 = 60.0;
/// Cost of a server in another data centre, in milliseconds: its bytes are billed.
const DISTANCE_COST: f64 = 5.0;
/// Cost of a shared token that one server reads although another holds it, as a multiple of its
/// reading time. It delays every stream at that server and pushes other parts out of its memory, so a
/// session moves away from its server only for a wait that would make its answer late.
const AGAIN_FACTOR: f64 = 6.0;

/// What the choice depends on besides the servers.
#[derive(Debug, Clone, Copy)]
pub struct PlaceQuery<'request> {
    /// Data centre of this entry.
    pub data_centre: &'request str,
    /// The prompt's parts in order, the request's own last; empty for a plain service.
    pub parts: &'request [PromptPart],
    /// All prompt tokens; 0 for a plain service.
    pub prompt: Tokens,
    /// Time, since the process's start.
    pub now: Duration,
    /// A draw in `0..1`, for a server that returns after failures.
    pub dice: f64,
}

/// Picks the server with the least expected cost.
///
/// # Examples
/// ```
/// use toucanrail::placing::{self, PlaceQuery};
/// let query = PlaceQuery {
///     data_centre: "a", parts: &[], prompt: 0, now: Default::default(), dice: 0.5,
/// };
/// assert!(placing::pick_backend(&[], &query).is_none());
/// ```
pub fn pick_backend<'rows>(
    eligible: &[&'rows BackendRow],
    query: &PlaceQuery<'_>,
) -> Option<&'rows BackendRow> {
    let ramped = eligible.iter().filter(|row| row.ejection.is_ramped(query.now, query.dice));
    let ramped: Vec<&BackendRow> = ramped.copied().collect();
    let rows = if ramped.is_empty() { eligible } else { &ramped };
    let home = rank_first(rows, query);
    let cost = |row: &BackendRow| {
        let is_home = home.is_some_and(|home| home.entry.id == row.entry.id);
        estimate_cost(row, query, is_home)
    };
    rows.iter().copied().min_by(|one, other| cost(one).total_cmp(&cost(other)))
}

/// Returns the server that is first by rendezvous rank for the last shared part, so that all entries
/// keep a session's parts at one server without telling one another.
fn rank_first<'rows>(
    rows: &[&'rows BackendRow],
    query: &PlaceQuery<'_>,
) -> Option<&'rows BackendRow> {
    let shared = query.parts.len().checked_sub(2)?;
    let key = query.parts.get(shared)?.id;
    let rank = |row: &&&BackendRow| xxh3::xxh3_64_with_seed(row.entry.id.as_bytes(), key);
    rows.iter().max_by_key(rank).copied()
}

/// Returns the expected time to the first event, in milliseconds, with what placing there costs
/// others.
pub fn estimate_cost(row: &BackendRow, query: &PlaceQuery<'_>, is_home: bool) -> f64 {
    let own = row.flights.len() as f64;
    let others = row.others() as f64;
    let distance = if *row.entry.data_centre == *query.data_centre { 0.0 } else { DISTANCE_COST };
    if query.prompt == 0 {
        let slots = row.entry.slots.max(1) as f64;
        return distance + (own + others) / slots * CALL_COST + row.latency * 1_000.0 * 0.1;
    }
    let shared = query.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let shared: Tokens = shared.iter().map(|part| part.tokens).sum();
    let own_part = query.prompt.saturating_sub(shared) as f64;
    // The other entries send the shared parts to their first server too, so it holds them.
    let again = if is_home {
        0.0
    } else {
        (row.fresh_tokens(query.parts, query.prompt) as f64 - own_part).max(0.0)
    };
    let fresh = own_part + again * (1.0 + AGAIN_FACTOR);
    let waiting = row.flights.values().filter(|flight| !flight.begun);
    let backlog: f64 = waiting.map(|flight| flight.fresh as f64).sum();
    let full = (own + others + 1.0) / row.entry.slots.max(1) as f64;
    let crowd = if full > 1.0 { (full - 1.0) * 2_000.0 } else { 0.0 };
    distance + (fresh + backlog) / READ_RATE + (own + others) * SEQUENCE_COST + crowd
}
