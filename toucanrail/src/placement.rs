//! Choice of the backend server for a request, by the expected time to its first event.
//!
//! The cost model covers prompts of different sizes, servers of different speed, prompt parts that
//! only some servers have cached, and other entries that place requests at the same time without
//! coordination.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::affinity::{self, SpeedRow};
use crate::backends::{BackendRow, PromptPart};
use crate::ids::Tokens;
use crate::remote_placement::{CostComparison, RemoteTerms};
use crate::reported_loads::OtherRequests;

/// Assumed prefill rate of an engine, in prompt tokens per millisecond; sets the scale of the costs
/// below.
const PREFILL_RATE: f64 = 56.9;
/// Cost of one more sequence in a batch: the delay of every first event there, in milliseconds.
const SEQUENCE_COST: f64 = 4.0;
/// Cost of one request at a server of a plain service, relative to its slots, in milliseconds.
const PLAIN_REQUEST_COST: f64 = 60.0;
/// Cost of a server that has just started, in milliseconds: it is slow, and each request waits for
/// a permit.
const COLD_COST: f64 = 100.0;
/// Cost of prefilling a shared token that another server has cached, as a multiple of its prefill
/// time. It delays every stream at the server and evicts other parts from its cache, so a session
/// leaves its server only if waiting there would make the response late.
const RECOMPUTE_FACTOR: f64 = 6.0;
/// Cost of fetching shared parts from the server that has them cached, in milliseconds: about five
/// for the transfer, the rest for its price.
const FETCH_COST: f64 = 60.0;
/// Minimum number of shared tokens that are fetched; prefilling fewer is as fast.
const MIN_FETCH: Tokens = 1_024;

/// Maximum length in tokens that is assumed for other entries' prompts in prefill. Reports do not
/// state it; prompts of a service are taken to be as long as the request's own, but a long prompt is
/// rare among them.
const MAX_OTHER_PROMPT: Tokens = 4_096;

/// Properties of the request and its entry on which the choice depends.
#[derive(Debug, Clone, Copy)]
pub struct PlacementQuery<'request> {
    /// Data centre of this entry.
    pub data_centre: &'request str,
    /// Parts of the prompt in order, the request's own part last; empty for a plain service.
    pub parts: &'request [PromptPart],
    /// Number of prompt tokens; 0 for a plain service.
    pub prompt_tokens: Tokens,
    /// Time since the start of the process.
    pub now: Duration,
    /// Random number in `0..1` that decides whether a server returning from an ejection is
    /// considered.
    pub random: f64,
    /// Use of servers in other data centres.
    pub remote: RemoteTerms,
}

/// Components of a server's expected cost for a request, in milliseconds.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize)]
pub struct CostParts {
    /// Way to another data centre, transfer included.
    pub remote: f64,
    /// Slowness of a server that has just started.
    pub cold: f64,
    /// Time until a permit may be requested.
    pub permit: f64,
    /// Fetch of shared prompt parts from another server.
    pub fetch: f64,
    /// For a model, prefill of the prompt and of those before it, and the sequences of the batch; for
    /// a plain service, the requests in flight.
    pub work: f64,
    /// Requests beyond the slots.
    pub overload: f64,
    /// Past latency of a server of a plain service.
    pub latency: f64,
    /// Pauses of streams.
    pub pauses: f64,
}

impl CostParts {
    /// Returns the sum of the components.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::placement::CostParts;
    /// let parts = CostParts { remote: 5.0, work: 20.0, ..CostParts::default() };
    /// assert_eq!(parts.total(), 25.0);
    /// ```
    pub fn total(&self) -> f64 {
        let Self { remote, cold, permit, fetch, work, overload, latency, pauses } = *self;
        remote + cold + permit + fetch + work + overload + latency + pauses
    }
}

/// A server, with its expected cost for a request: the time to the first event plus the cost to
/// other requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CostRow<'rows> {
    pub(crate) server: SpeedRow<'rows>,
    pub(crate) parts: CostParts,
    /// Sum of the components, in milliseconds.
    pub(crate) cost: f64,
    site: ServerSite,
}

/// Where a server is, as far as its choice depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ServerSite {
    /// In the entry's data centre.
    Local,
    /// In another one, and preferred by the request's session or in possession of its shared parts.
    Cached,
    /// In another one; a candidate by the entry's share only.
    Remote,
}

/// Picks the server with the lowest expected cost among the candidates.
///
/// # Examples
/// ```
/// use toucanrail::placement::{self, PlacementQuery};
/// let query = PlacementQuery {
///     data_centre: "a", parts: &[], prompt_tokens: 0, now: Default::default(), random: 0.5,
///     remote: Default::default(),
/// };
/// assert!(placement::pick_backend(&[], &query).is_none());
/// ```
pub fn pick_backend<'rows>(
    eligible: &[&'rows BackendRow],
    query: &PlacementQuery<'_>,
) -> Option<&'rows BackendRow> {
    pick_cheapest(rate_ramped(eligible, query), query, |_| 0.0)
}

/// Picks the server with the lowest cost among the candidates, with a further cost of each server in
/// milliseconds.
pub(crate) fn pick_cheapest<'rows, ExtraCost>(
    mut rows: Vec<CostRow<'rows>>,
    query: &PlacementQuery<'_>,
    extra_cost: ExtraCost,
) -> Option<&'rows BackendRow>
where
    ExtraCost: Fn(&SpeedRow<'rows>) -> f64,
{
    add_pause_costs(&mut rows, extra_cost);
    let best = candidates(&rows, query).min_by(|row, other| row.cost.total_cmp(&other.cost));
    best.map(|best| best.server.row)
}

/// Adds the cost of pauses to each row.
pub(crate) fn add_pause_costs<'rows, PauseCost>(rows: &mut [CostRow<'rows>], pause_cost: PauseCost)
where
    PauseCost: Fn(&SpeedRow<'rows>) -> f64,
{
    for row in rows {
        row.parts.pauses = pause_cost(&row.server);
        row.cost = row.parts.total();
    }
}

/// Returns the rows of the servers that the request may be placed at, in their order. While remote
/// servers are not candidates, those in other data centres are left out, unless they serve the
/// request's session or no local server is eligible.
pub(crate) fn candidates<'list, 'rows>(
    rows: &'list [CostRow<'rows>],
    query: &PlacementQuery<'_>,
) -> impl Iterator<Item = &'list CostRow<'rows>> + use<'list, 'rows> {
    let excludes_remote = excludes_remote(rows, query);
    rows.iter().filter(move |row| !excludes_remote || row.site != ServerSite::Remote)
}

fn excludes_remote(rows: &[CostRow<'_>], query: &PlacementQuery<'_>) -> bool {
    !query.remote.are_candidates && rows.iter().any(|row| row.site == ServerSite::Local)
}

/// Divides the eligible servers into those that the request may be placed at, and those that the
/// entry's share excludes, both in the order of `eligible`.
pub(crate) fn split_candidates<'rows>(
    eligible: &[&'rows BackendRow],
    query: &PlacementQuery<'_>,
) -> (Vec<&'rows BackendRow>, Vec<&'rows BackendRow>) {
    if query.remote.are_candidates {
        return (eligible.to_vec(), Vec::new());
    }
    let rows = rate_servers(eligible, query);
    let excludes_remote = excludes_remote(&rows, query);
    let (excluded, candidates): (Vec<_>, Vec<_>) =
        rows.iter().partition(|row| excludes_remote && row.site == ServerSite::Remote);
    let list = |rows: Vec<&CostRow<'rows>>| rows.iter().map(|row| row.server.row).collect();
    (list(candidates), list(excluded))
}

/// Returns the lowest costs of local servers and of remote ones that are candidates by the entry's
/// share only.
///
/// Remote servers that serve the request's session are left out: they are candidates in any case,
/// and their cost says nothing about the spare capacity of their data centre.
///
/// The requests of other entries are added, from reports. A server without a recent report gets the
/// mean of those in its data centre that have one: an entry asks a few servers at a time, and the
/// others would look idle.
pub(crate) fn compare_costs(rows: &[CostRow<'_>], query: &PlacementQuery<'_>) -> CostComparison {
    let mut reported: BTreeMap<&str, Vec<OtherRequests>> = BTreeMap::new();
    for row in rows.iter().map(|row| row.server.row) {
        if let Some(others) = row.reported.and_then(|load| load.others(query.now)) {
            reported.entry(&row.entry.data_centre).or_default().push(others);
        }
    }
    let means = reported
        .iter()
        .filter_map(|(data_centre, rows)| Some((*data_centre, OtherRequests::mean(rows)?)));
    let means: BTreeMap<&str, OtherRequests> = means.collect();
    let full_cost = |CostRow { server, cost, .. }: &CostRow<'_>| {
        let others = server.row.reported.and_then(|load| load.others(query.now));
        let mean = || means.get(&*server.row.entry.data_centre).copied();
        cost + others.or_else(mean).map_or(0.0, |others| others_cost(server, query, others))
    };
    let lowest = |site: ServerSite| {
        let costs = rows.iter().filter(|row| row.site == site).map(full_cost);
        costs.min_by(f64::total_cmp)
    };
    CostComparison { local: lowest(ServerSite::Local), remote: lowest(ServerSite::Remote) }
}

/// Leaves out servers that return from an ejection, unless there are no others.
fn filter_ramped<'rows>(
    eligible: &[&'rows BackendRow],
    query: &PlacementQuery<'_>,
) -> Vec<&'rows BackendRow> {
    let ramped = eligible.iter().filter(|row| row.ejection.passes_ramp(query.now, query.random));
    let ramped: Vec<&BackendRow> = ramped.copied().collect();
    if ramped.is_empty() { eligible.to_vec() } else { ramped }
}

/// Returns the expected cost of each server, in the order of `eligible`.
pub(crate) fn rate_servers<'rows>(
    eligible: &[&'rows BackendRow],
    query: &PlacementQuery<'_>,
) -> Vec<CostRow<'rows>> {
    let rows = affinity::with_slowdowns(eligible);
    let preferred = session_key(query).and_then(|key| affinity::pick_preferred(&rows, key));
    let preferred = preferred.map(|preferred| &preferred.row.entry.id);
    let rate = |server: &SpeedRow<'rows>| {
        let is_preferred = preferred.is_some_and(|id| *id == server.row.entry.id);
        let parts = estimate_cost(server, query, is_preferred);
        CostRow {
            server: *server,
            parts,
            cost: parts.total(),
            site: find_site(server.row, query, is_preferred),
        }
    };
    rows.iter().map(rate).collect()
}

/// Like [`rate_servers`], without servers that return from an ejection, unless there are no others.
pub(crate) fn rate_ramped<'rows>(
    eligible: &[&'rows BackendRow],
    query: &PlacementQuery<'_>,
) -> Vec<CostRow<'rows>> {
    rate_servers(&filter_ramped(eligible, query), query)
}

fn find_site(row: &BackendRow, query: &PlacementQuery<'_>, is_preferred: bool) -> ServerSite {
    if *row.entry.data_centre == *query.data_centre {
        return ServerSite::Local;
    }
    // Short shared parts are cached by nearly all servers and save no transfer.
    let shared = query.prompt_tokens.saturating_sub(own_tokens(query));
    let is_cached = || shared >= MIN_FETCH && row.cached_tokens(query.parts) >= shared;
    if is_preferred || is_cached() { ServerSite::Cached } else { ServerSite::Remote }
}

/// Returns the server from which `target` may fetch shared parts of the prompt, or `None` if no
/// other server is known to have more of them cached.
///
/// The prompts of a session go to one server, which therefore has the session's shared part cached.
/// A prompt of the session that is placed elsewhere would be prefilled a second time while all
/// streams at that server pause. The same applies to parts shared by many sessions, and to a
/// session whose preferred server has changed.
///
/// Nothing is fetched from another software version, whose memory may have another layout.
pub fn pick_fetch_source<'rows>(
    eligible: &[&'rows BackendRow],
    query: &PlacementQuery<'_>,
    target: &BackendRow,
) -> Option<&'rows BackendRow> {
    let key = session_key(query)?;
    let shared = query.prompt_tokens.saturating_sub(own_tokens(query));
    if shared < MIN_FETCH {
        return None;
    }
    let cached = |row: &BackendRow| row.cached_tokens(query.parts).min(shared);
    let working: Vec<&BackendRow> =
        eligible.iter().copied().filter(|row| row.accepts_work(query.now)).collect();
    let preferred = affinity::pick_preferred(&affinity::with_slowdowns(&working), key)
        .map(|preferred| preferred.row);
    let is_preferred =
        |row: &BackendRow| preferred.is_some_and(|preferred| preferred.entry.id == row.entry.id);
    let others = working.into_iter().filter(|row| {
        row.entry.id != target.entry.id
            && row.entry.software_version == target.entry.software_version
    });
    // The other entries send the shared parts to their preferred server too, so it has them cached.
    let expected = |row: &BackendRow| if is_preferred(row) { shared } else { cached(row) };
    let source = others.max_by_key(|row| expected(row))?;
    (expected(source) >= cached(target) + MIN_FETCH).then_some(source)
}

/// Returns the assumed time for the prefill of some tokens, in milliseconds.
pub(crate) fn prefill_time(tokens: Tokens) -> f64 {
    tokens as f64 / PREFILL_RATE
}

/// Returns the prompt's tokens after its shared parts, which no server has cached.
pub(crate) fn own_tokens(query: &PlacementQuery<'_>) -> Tokens {
    let shared = query.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    query.prompt_tokens.saturating_sub(shared.iter().map(|part| part.tokens).sum())
}

/// Returns the key that determines a session's preferred server: the id of its last shared part.
fn session_key(query: &PlacementQuery<'_>) -> Option<u64> {
    let shared = query.parts.len().checked_sub(2)?;
    query.parts.get(shared).map(|part| part.id)
}

/// Returns the expected time to the first event plus the cost to other requests.
fn estimate_cost(
    speed: &SpeedRow<'_>,
    query: &PlacementQuery<'_>,
    is_preferred: bool,
) -> CostParts {
    let row = speed.row;
    let in_flight = row.flights.len() as f64;
    let is_remote = *row.entry.data_centre != *query.data_centre;
    let base = CostParts {
        remote: if is_remote { query.remote.cost } else { 0.0 },
        cold: if row.is_cold(query.now) { COLD_COST } else { 0.0 },
        permit: row.permit_delay(query.now).as_secs_f64() * 1_000.0,
        ..CostParts::default()
    };
    if query.prompt_tokens == 0 {
        let slots = row.entry.slots.max(1) as f64;
        let work = in_flight / slots * PLAIN_REQUEST_COST;
        return CostParts { work, latency: row.latency * 1_000.0 * 0.1, ..base };
    }
    let own = own_tokens(query) as f64;
    // The other entries send the shared parts to their preferred server too, so it has them cached.
    let missing = row.uncached_tokens(query.parts, query.prompt_tokens) as f64 - own;
    let recomputed = if is_preferred { 0.0 } else { missing.max(0.0) };
    let fetches = recomputed >= MIN_FETCH as f64;
    let (recomputed, fetch) = if fetches { (0.0, FETCH_COST) } else { (recomputed, 0.0) };
    let uncached = own + recomputed * (1.0 + RECOMPUTE_FACTOR);
    let waiting = row.flights.values().filter(|flight| !flight.begun);
    let backlog: f64 = waiting.map(|flight| flight.uncached as f64).sum();
    let overload = overload_cost(row, in_flight);
    let prefill = (uncached + backlog) / PREFILL_RATE + in_flight * SEQUENCE_COST;
    CostParts { fetch, work: prefill * speed.slowdown, overload, ..base }
}

/// Returns the cost of a request beyond the slots of a server, in milliseconds.
fn overload_cost(row: &BackendRow, in_flight: f64) -> f64 {
    let occupancy = (in_flight + 1.0) / row.entry.slots.max(1) as f64;
    if occupancy > 1.0 { (occupancy - 1.0) * 2_000.0 } else { 0.0 }
}

/// Returns what the requests of other entries add to the cost of a server, in milliseconds.
fn others_cost(speed: &SpeedRow<'_>, query: &PlacementQuery<'_>, others: OtherRequests) -> f64 {
    let in_flight = speed.row.flights.len() as f64;
    if query.prompt_tokens == 0 {
        return others.count / speed.row.entry.slots.max(1) as f64 * PLAIN_REQUEST_COST;
    }
    let backlog = others.prefilling * prefill_time(own_tokens(query).min(MAX_OTHER_PROMPT));
    let overload =
        overload_cost(speed.row, in_flight + others.count) - overload_cost(speed.row, in_flight);
    (backlog + others.count * SEQUENCE_COST) * speed.slowdown + overload
}
