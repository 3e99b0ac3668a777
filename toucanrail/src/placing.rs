//! The choice of a backend server for one request, by when its answer is expected to begin.
//!
//! The load it answers: long prompts that delay every stream beside them, prompt parts that are
//! cached at some servers, and other entries that place at the same time without a word.

use std::collections::BTreeMap;
use std::time::Duration;

use xxhash_rust::xxh3;

use crate::backends::{BackendId, BackendRow, PromptPart};
use crate::ids::Tokens;
use crate::lanes::{self, LaneRow, PromptSize, ServerLane, StreamBounds};
use crate::messages::LoadReply;

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
/// The same for a long prompt, beside which its shared part is small: it rather moves than waits.
const LONG_AGAIN_FACTOR: f64 = 1.5;

/// Cost of shared parts that a server fetches from the one that holds them, in milliseconds: some five
/// for the transfer, the rest for its price.
const FETCH_COST: f64 = 60.0;
/// Least tokens of shared parts that are fetched; fewer are read as fast.
const FETCH_LEAST: Tokens = 1_024;
/// Part of the pause that streams bear which the reading of one prompt may take beside them.
const PAUSE_PART: f64 = 0.35;
/// Cost of a long prompt among other streams, in milliseconds: each of them pauses for too long.
const DISTURB_COST: f64 = 2_000.0;
/// Cost of a stream at a server that is set aside, in milliseconds: long prompts pause it.
const PAUSED_COST: f64 = 400.0;
/// Cost of a medium prompt at a slow server, in milliseconds: with another one it pauses all streams.
const CROWDING_COST: f64 = 300.0;

/// Servers that are looked at before a long prompt is placed.
const LOOK_COUNT: usize = 4;
/// Cost of a prompt that is being read at a server for long prompts, in milliseconds: what is left of it.
const READING_COST: f64 = 300.0;
/// Cost of a stream that is under way there, in milliseconds: a prompt of more than six steps pauses it
/// for too long.
const STREAMING_COST: f64 = 100.0;
/// Cost of such a server that was not looked at: it reads a third of the time, and streams one.
const UNSEEN_COST: f64 = 200.0;

/// What the choice depends on besides the servers.
#[derive(Debug, Clone, Copy)]
pub struct PlaceQuery<'request> {
    /// Data centre of this entry.
    pub data_centre: &'request str,
    /// The prompt's parts in order, the request's own last; empty for a plain service.
    pub parts: &'request [PromptPart],
    /// All prompt tokens; 0 for a plain service.
    pub prompt: Tokens,
    /// What the streams of the route bear.
    pub bounds: StreamBounds,
    /// Time, since the process's start.
    pub now: Duration,
    /// A draw in `0..1`, for a server that returns after failures and for the servers that are looked at.
    pub dice: f64,
    /// What servers that were asked just now said of their load.
    pub loads: &'request BTreeMap<BackendId, LoadReply>,
}

/// Picks the server with the least expected cost.
///
/// # Examples
/// ```
/// use toucanrail::lanes::StreamBounds;
/// use toucanrail::placing::{self, PlaceQuery};
/// let query = PlaceQuery {
///     data_centre: "a", parts: &[], prompt: 0,
///     bounds: StreamBounds { stride: 1, pause: Default::default() },
///     now: Default::default(), dice: 0.5, loads: &Default::default(),
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
    let lanes = lanes::divide_rows(rows, query.bounds);
    let size = prompt_size(query);
    let home = session_key(query).and_then(|key| lanes::rank_first(&lanes, size, key));
    let cost = |lane: &LaneRow<'_>| {
        let is_home = home.is_some_and(|home| home.row.entry.id == lane.row.entry.id);
        estimate_cost(lane, query, is_home) + misplaced_cost(lane, size, &lanes)
    };
    let best = lanes.iter().min_by(|one, other| cost(one).total_cmp(&cost(other)));
    best.map(|lane| lane.row)
}

/// Returns the servers whose load should be looked at before a request is placed; none where a wrong
/// guess costs little.
///
/// A long prompt behind another one waits for half a second, and the streams of both then pause for the
/// other. Entries do not know one another's prompts: with a third of the time taken at each server, one
/// in three was placed behind another. Of four servers that are looked at, one is nearly always free.
pub fn pick_candidates<'rows>(
    eligible: &[&'rows BackendRow],
    query: &PlaceQuery<'_>,
) -> Vec<&'rows BackendRow> {
    let size = prompt_size(query);
    if size != PromptSize::Long {
        return Vec::new();
    }
    let lanes = lanes::divide_rows(eligible, query.bounds);
    let suits = lanes.iter().filter(|lane| lane.suits(size) && lane.row.takes_work(query.now));
    let mut rows: Vec<&BackendRow> = suits.map(|lane| lane.row).collect();
    let seed = query.dice.to_bits();
    rows.sort_by_cached_key(|row| xxh3::xxh3_64_with_seed(row.entry.id.as_bytes(), seed));
    rows.truncate(LOOK_COUNT);
    rows
}

/// Returns the server from which `target` may fetch shared parts of the prompt; none where no other is
/// known to hold more of them.
///
/// A session's ordinary prompts go to one server, so that it holds the session's part. What is placed
/// elsewhere, as a long prompt is, would have it read a second time: 95 ms for 5,400 tokens, in which
/// every stream beside it pauses, against some five for the transfer. The same holds for the parts that
/// many sessions share, and for a session whose first server is another one now.
pub fn pick_source<'rows>(
    eligible: &[&'rows BackendRow],
    query: &PlaceQuery<'_>,
    target: &BackendRow,
) -> Option<&'rows BackendRow> {
    let key = session_key(query)?;
    let shared = query.prompt.saturating_sub(own_tokens(query));
    if shared < FETCH_LEAST {
        return None;
    }
    let held = |row: &BackendRow| row.held_tokens(query.parts).min(shared);
    let lanes = lanes::divide_rows(eligible, query.bounds);
    let takes_work = |lane: &&LaneRow<'_>| lane.row.takes_work(query.now);
    let working: Vec<LaneRow<'_>> = lanes.iter().filter(takes_work).copied().collect();
    // The session's other prompts are no long ones.
    let size = PromptSize::of(query.prompt, false);
    let home = lanes::rank_first(&working, size, key).map(|home| home.row);
    let is_home = |row: &BackendRow| home.is_some_and(|home| home.entry.id == row.entry.id);
    let others = working.iter().map(|lane| lane.row);
    let others = others.filter(|row| row.entry.id != target.entry.id);
    // The other entries send the shared parts to their first server too, so it holds them.
    let expected = |row: &BackendRow| if is_home(row) { shared } else { held(row) };
    let source = others.max_by_key(|row| expected(row))?;
    (expected(source) >= held(target) + FETCH_LEAST).then_some(source)
}

fn prompt_size(query: &PlaceQuery<'_>) -> PromptSize {
    PromptSize::of(query.prompt, reads_long(query))
}

/// Returns what it costs others, and the request itself, to be placed at a server for other prompts.
fn misplaced_cost(lane: &LaneRow<'_>, size: PromptSize, lanes: &[LaneRow<'_>]) -> f64 {
    if lane.suits(size) || !lanes.iter().any(|lane| lane.suits(size)) {
        return 0.0;
    }
    match (lane.lane, size) {
        (ServerLane::Long, _) => PAUSED_COST,
        (_, PromptSize::Long) => DISTURB_COST,
        _ => CROWDING_COST,
    }
}

/// Tells whether the reading of a prompt pauses the streams beside it for longer than they bear.
///
/// An engine reads a prompt in chunks between the tokens of the other streams: at 57 tokens a
/// millisecond, 30,000 tokens hold up the seven tokens of one event for 540 ms and more.
fn reads_long(query: &PlaceQuery<'_>) -> bool {
    let reading = own_tokens(query) as f64 / READ_RATE;
    reading > query.bounds.pause.as_secs_f64() * 1_000.0 * PAUSE_PART
        && !query.bounds.pause.is_zero()
}

/// Returns the prompt's tokens behind its shared parts, which no server has read.
fn own_tokens(query: &PlaceQuery<'_>) -> Tokens {
    let shared = query.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    query.prompt.saturating_sub(shared.iter().map(|part| part.tokens).sum())
}

/// Returns what a session's first server is ranked by: its last shared part.
fn session_key(query: &PlaceQuery<'_>) -> Option<u64> {
    let shared = query.parts.len().checked_sub(2)?;
    query.parts.get(shared).map(|part| part.id)
}

/// Returns the expected time to the first event, in milliseconds, with what placing there costs
/// others.
fn estimate_cost(lane: &LaneRow<'_>, query: &PlaceQuery<'_>, is_home: bool) -> f64 {
    let row = lane.row;
    let own = row.flights.len() as f64;
    let distance = if *row.entry.data_centre == *query.data_centre { 0.0 } else { DISTANCE_COST };
    if query.prompt == 0 {
        let slots = row.entry.slots.max(1) as f64;
        return distance + own / slots * CALL_COST + row.latency * 1_000.0 * 0.1;
    }
    let own_part = own_tokens(query) as f64;
    // The other entries send the shared parts to their first server too, so it holds them.
    let missing = row.fresh_tokens(query.parts, query.prompt) as f64 - own_part;
    let again = if is_home { 0.0 } else { missing.max(0.0) };
    let factor = if reads_long(query) { LONG_AGAIN_FACTOR } else { AGAIN_FACTOR };
    let fetches = again >= FETCH_LEAST as f64;
    let (again, fetch) = if fetches { (0.0, FETCH_COST) } else { (again, 0.0) };
    let fresh = own_part + again * (1.0 + factor);
    let waiting = row.flights.values().filter(|flight| !flight.begun);
    let backlog: f64 = waiting.map(|flight| flight.fresh as f64).sum();
    let full = (own + 1.0) / row.entry.slots.max(1) as f64;
    let crowd = if full > 1.0 { (full - 1.0) * 2_000.0 } else { 0.0 };
    let seen = match query.loads.get(&row.entry.id) {
        Some(load) => load.reading as f64 * READING_COST + load.streaming as f64 * STREAMING_COST,
        None if query.loads.is_empty() => 0.0,
        None => UNSEEN_COST,
    };
    let reading = (fresh + backlog) / READ_RATE + own * SEQUENCE_COST;
    distance + fetch + reading * lane.factor + seen + crowd
}
