//! The choice of a backend server for one request, by when its answer is expected to begin.
//!
//! The load it answers: prompts of unlike size at servers of unlike speed, prompt parts that are cached at
//! some of them, and other entries that place at the same time without a word.

use std::time::Duration;

use crate::affinity::{self, SpeedRow};
use crate::backends::{BackendRow, PromptPart};
use crate::ids::Tokens;

/// Prompt tokens that an engine is taken to read in a millisecond: the scale of the costs below.
const READ_RATE: f64 = 56.9;
/// Cost of one more sequence in a batch, in milliseconds of everybody's first event.
const SEQUENCE_COST: f64 = 4.0;
/// Cost of one request at a plain service's server, against its slots, in milliseconds.
const CALL_COST: f64 = 60.0;
/// Cost of a server in another data centre, in milliseconds: its bytes are billed.
const DISTANCE_COST: f64 = 5.0;
/// Cost of a server that has just started, in milliseconds: it is slow, and each request waits for a permit.
const COLD_COST: f64 = 100.0;
/// Cost of a shared token that one server reads although another holds it, as a multiple of its
/// reading time. It delays every stream at that server and pushes other parts out of its memory, so a
/// session moves away from its server only for a wait that would make its answer late.
const AGAIN_FACTOR: f64 = 6.0;
/// Cost of shared parts that a server fetches from the one that holds them, in milliseconds: some five
/// for the transfer, the rest for its price.
const FETCH_COST: f64 = 60.0;
/// Least tokens of shared parts that are fetched; fewer are read as fast.
const FETCH_LEAST: Tokens = 1_024;

/// What the choice depends on besides the servers.
#[derive(Debug, Clone, Copy)]
pub struct PlacementQuery<'request> {
    /// Data centre of this entry.
    pub data_centre: &'request str,
    /// The prompt's parts in order, the request's own last; empty for a plain service.
    pub parts: &'request [PromptPart],
    /// All prompt tokens; 0 for a plain service.
    pub prompt: Tokens,
    /// Time, since the process's start.
    pub now: Duration,
    /// A draw in `0..1`, for a server that returns after failures.
    pub random: f64,
}

/// Picks the server with the least expected cost.
///
/// # Examples
/// ```
/// use toucanrail::placement::{self, PlacementQuery};
/// let query = PlacementQuery {
///     data_centre: "a", parts: &[], prompt: 0, now: Default::default(), random: 0.5,
/// };
/// assert!(placement::pick_backend(&[], &query).is_none());
/// ```
pub fn pick_backend<'rows>(
    eligible: &[&'rows BackendRow],
    query: &PlacementQuery<'_>,
) -> Option<&'rows BackendRow> {
    let ramped = eligible.iter().filter(|row| row.ejection.passes_ramp(query.now, query.random));
    let ramped: Vec<&BackendRow> = ramped.copied().collect();
    let rows = if ramped.is_empty() { eligible } else { &ramped };
    let costs = estimate_costs(rows, query);
    let best = rows.iter().zip(costs).min_by(|(_, one), (_, other)| one.total_cmp(other));
    best.map(|(best, _)| *best)
}

/// Returns the expected cost of each of some servers, in their order: the time to the first event with what
/// placing there costs others, in milliseconds.
pub(crate) fn estimate_costs(rows: &[&BackendRow], query: &PlacementQuery<'_>) -> Vec<f64> {
    let rows = affinity::with_slowdowns(rows);
    let first = session_key(query).and_then(|key| affinity::pick_preferred(&rows, key));
    let is_first =
        |one: &SpeedRow<'_>| first.is_some_and(|first| first.row.entry.id == one.row.entry.id);
    rows.iter().map(|one| estimate_cost(one, query, is_first(one))).collect()
}

/// Returns the server from which `target` may fetch shared parts of the prompt; none where no other is
/// known to hold more of them.
///
/// A session's prompts go to one server, so that it holds the session's part. What is placed elsewhere
/// would have it read a second time, while every stream beside it pauses. The same holds for the parts
/// that many sessions share, and for a session whose first server is another one now.
pub fn pick_fetch_source<'rows>(
    eligible: &[&'rows BackendRow],
    query: &PlacementQuery<'_>,
    target: &BackendRow,
) -> Option<&'rows BackendRow> {
    let key = session_key(query)?;
    let shared = query.prompt.saturating_sub(own_tokens(query));
    if shared < FETCH_LEAST {
        return None;
    }
    let held = |row: &BackendRow| row.cached_tokens(query.parts).min(shared);
    let working: Vec<&BackendRow> =
        eligible.iter().copied().filter(|row| row.accepts_work(query.now)).collect();
    let first =
        affinity::pick_preferred(&affinity::with_slowdowns(&working), key).map(|first| first.row);
    let is_first = |row: &BackendRow| first.is_some_and(|first| first.entry.id == row.entry.id);
    let others = working.into_iter().filter(|row| row.entry.id != target.entry.id);
    // The other entries send the shared parts to their first server too, so it holds them.
    let expected = |row: &BackendRow| if is_first(row) { shared } else { held(row) };
    let source = others.max_by_key(|row| expected(row))?;
    (expected(source) >= held(target) + FETCH_LEAST).then_some(source)
}

/// Returns the time in which an engine is taken to read some tokens, in milliseconds.
pub(crate) fn prefill_time(tokens: Tokens) -> f64 {
    tokens as f64 / READ_RATE
}

/// Returns the prompt's tokens behind its shared parts, which no server has read.
fn own_tokens(query: &PlacementQuery<'_>) -> Tokens {
    let shared = query.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    query.prompt.saturating_sub(shared.iter().map(|part| part.tokens).sum())
}

/// Returns what a session's first server is ranked by: its last shared part.
fn session_key(query: &PlacementQuery<'_>) -> Option<u64> {
    let shared = query.parts.len().checked_sub(2)?;
    query.parts.get(shared).map(|part| part.id)
}

/// Returns the expected time to the first event, in milliseconds, with what placing there costs
/// others.
fn estimate_cost(speed: &SpeedRow<'_>, query: &PlacementQuery<'_>, is_first: bool) -> f64 {
    let row = speed.row;
    let own = row.flights.len() as f64;
    let far = *row.entry.data_centre != *query.data_centre;
    let distance = if far { DISTANCE_COST } else { 0.0 };
    let cold = if row.is_cold(query.now) { COLD_COST } else { 0.0 };
    let permit = row.permit_delay(query.now).as_secs_f64() * 1_000.0;
    let distance = distance + cold + permit;
    if query.prompt == 0 {
        let slots = row.entry.slots.max(1) as f64;
        return distance + own / slots * CALL_COST + row.latency * 1_000.0 * 0.1;
    }
    let own_part = own_tokens(query) as f64;
    // The other entries send the shared parts to their first server too, so it holds them.
    let missing = row.uncached_tokens(query.parts, query.prompt) as f64 - own_part;
    let again = if is_first { 0.0 } else { missing.max(0.0) };
    let fetches = again >= FETCH_LEAST as f64;
    let (again, fetch) = if fetches { (0.0, FETCH_COST) } else { (again, 0.0) };
    let uncached = own_part + again * (1.0 + AGAIN_FACTOR);
    let waiting = row.flights.values().filter(|flight| !flight.begun);
    let backlog: f64 = waiting.map(|flight| flight.uncached as f64).sum();
    let full = (own + 1.0) / row.entry.slots.max(1) as f64;
    let crowd = if full > 1.0 { (full - 1.0) * 2_000.0 } else { 0.0 };
    let reading = (uncached + backlog) / READ_RATE + own * SEQUENCE_COST;
    distance + fetch + reading * speed.slowdown + crowd
}
