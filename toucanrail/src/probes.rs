//! Choice among a few servers whose load was requested just before.
//!
//! When nearly all slots are taken and many entries each send a few requests, a request may wait
//! for seconds in the queue of one server while another has free slots. Its entry cannot know that,
//! but the relays beside the servers do. Long prompts have the same problem at any load: during the
//! prefill of one, all streams of its server pause, and a second long prompt there begins late.

use std::time::Duration;

use serde::Serialize;

use crate::affinity::SpeedRow;
use crate::backends::{BackendEntry, BackendRow};
use crate::ids::Tokens;
use crate::paces::BackendReport;
use crate::pauses::{PauseLoad, PauseRule};
use crate::placement::{self, CostRow, PlacementQuery};
use crate::remote_placement::CostComparison;

/// Number of random servers to probe besides the one that would be chosen without probes.
pub const PROBE_SAMPLES: usize = 4;
/// Assumed run time of a request, as a multiple of the latency target; a server with many slots
/// frees one of them sooner.
const RUN_TIME_TARGETS: f64 = 4.0;
/// Fraction of reports without a free slot above which servers are probed before each request.
const SCARCE_FRACTION: f64 = 0.1;
/// Fraction of requests before which servers are probed while slots are not known to be scarce.
const EXPLORE_FRACTION: f64 = 0.06;
/// Costs of one running stream at the server of a long prompt, and of one prompt that is prefilled
/// before it, as fractions of its own prefill time.
const STREAM_FRACTION: f64 = 0.02;
const QUEUED_FRACTION: f64 = 0.15;
/// Smoothing weight of a new report.
const REPORT_WEIGHT: f64 = 0.1;

/// Scarcity of free slots at the servers of one service, estimated from their reports.
///
/// While servers have free slots, a probe adds no information and delays the request.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize)]
pub struct SlotGauge {
    /// Smoothed fraction of reports without a free slot.
    full: f64,
}

impl SlotGauge {
    /// Returns whether servers should be probed before a request; `random` in `0..1` selects the
    /// requests that probe while slots are free.
    ///
    /// # Examples
    /// ```
    /// let gauge = toucanrail::probes::SlotGauge::default();
    /// assert!(gauge.should_probe(0.0) && !gauge.should_probe(0.5));
    /// ```
    pub fn should_probe(&self, random: f64) -> bool {
        self.full > SCARCE_FRACTION || random < EXPLORE_FRACTION
    }

    /// Updates the gauge from the reports of probed servers.
    pub fn record_reports(&mut self, probed: &[ProbeRow]) {
        for (entry, report) in probed {
            let Some(report) = report else {
                continue;
            };
            let is_full = count_ahead(entry, report) > 0;
            self.full += (f64::from(u8::from(is_full)) - self.full) * REPORT_WEIGHT;
        }
    }
}

/// Returns the number of requests that must end at a server before another one can begin.
fn count_ahead(entry: &BackendEntry, report: &BackendReport) -> u64 {
    let taken = report.runs.len() as u64 + report.waiting;
    (taken + 1).saturating_sub(entry.slots)
}

/// Returns whether a prompt is so long that servers are always probed before it is placed: its
/// prefill pauses all streams of the server.
///
/// # Examples
/// ```
/// use toucanrail::{pauses::PauseRule, probes};
/// let rule = PauseRule::default();
/// assert!(probes::is_long(40_000, &rule) && !probes::is_long(4_000, &rule));
/// ```
pub fn is_long(prompt_tokens: Tokens, rule: &PauseRule) -> bool {
    prompt_tokens >= rule.long_tokens()
}

/// A probed server, with its report if the server and its relay responded.
pub type ProbeRow = (BackendEntry, Option<BackendReport>);

/// Returns the servers to probe: the one with the lowest expected cost, and one more for each
/// number in `random`, all of them in `0..1`. While the entry's share excludes servers of other data
/// centres, one of these is added for the comparison of costs.
///
/// # Examples
/// ```
/// use toucanrail::{placement::PlacementQuery, probes};
/// let query = PlacementQuery {
///     data_centre: "a", parts: &[], prompt_tokens: 0, now: Default::default(), random: 0.5,
///     remote: Default::default(),
/// };
/// assert!(probes::pick_candidates(&[], &query, &[0.2, 0.7]).is_empty());
/// ```
pub fn pick_candidates(
    eligible: &[&BackendRow],
    query: &PlacementQuery<'_>,
    random: &[f64],
) -> Vec<BackendEntry> {
    let Some(best) = placement::pick_backend(eligible, query) else {
        return Vec::new();
    };
    let (mut others, excluded) = placement::split_candidates(eligible, query);
    others.retain(|row| row.entry.id != best.entry.id);
    let mut candidates = vec![best.entry.clone()];
    for draw in random {
        let Some(last) = others.len().checked_sub(1) else {
            break;
        };
        let index = ((others.len() as f64 * *draw) as usize).min(last);
        candidates.push(others.swap_remove(index).entry.clone());
    }
    // The request cannot be placed there, but without a report the neighbours would look idle and the
    // share would rise.
    let index = (excluded.len() as f64 * query.random) as usize;
    candidates.extend(excluded.get(index).map(|row| row.entry.clone()));
    candidates
}

/// The server chosen for a request, and the costs on which its use of other data centres depends.
#[derive(Debug, Clone, Copy)]
pub struct ServerChoice<'rows> {
    /// The chosen server; `None` if no server is eligible.
    pub row: Option<&'rows BackendRow>,
    /// Lowest costs of local and of remote servers, if the query asks for them.
    pub costs: Option<CostComparison>,
}

/// Picks the server with the lowest expected cost, among the probed ones if one of them is still
/// eligible.
///
/// The requests that must end at a probed server before another one begins add the time until as
/// many slots are free. A server without a report is assumed to have free slots. If `rule` has a
/// limit below 600 ms, the pauses that the prompt causes and suffers at a server add their cost: from
/// the report of a probed server, else from this entry's own requests there, so that a prompt in
/// prefill counts more than its own prefill time.
///
/// Requests that this entry sent during the probes are included through `eligible`.
///
/// # Examples
/// ```
/// use std::time::Duration;
/// use toucanrail::{pauses::PauseRule, placement::PlacementQuery, probes};
/// let query = PlacementQuery {
///     data_centre: "a", parts: &[], prompt_tokens: 0, now: Default::default(), random: 0.5,
///     remote: Default::default(),
/// };
/// let (target, rule) = (Duration::from_secs(1), PauseRule::default());
/// assert!(probes::pick_server(&[], &query, &[], target, &rule).row.is_none());
/// ```
pub fn pick_server<'rows>(
    eligible: &[&'rows BackendRow],
    query: &PlacementQuery<'_>,
    probed: &[ProbeRow],
    latency_target: Duration,
    rule: &PauseRule,
) -> ServerChoice<'rows> {
    if !probed.is_empty() {
        let rows = placement::rate_servers(eligible, query);
        let row = pick_probed(&rows, query, probed, latency_target, rule);
        if row.is_some() {
            return ServerChoice { row, costs: compare_costs(&rows, query) };
        }
    }
    let rows = placement::rate_ramped(eligible, query);
    let costs = compare_costs(&rows, query);
    ServerChoice { row: pick_unprobed(rows, query, rule), costs }
}

fn compare_costs(rows: &[CostRow<'_>], query: &PlacementQuery<'_>) -> Option<CostComparison> {
    query.remote.are_compared.then(|| placement::compare_costs(rows, query))
}

fn pick_probed<'rows>(
    rows: &[CostRow<'rows>],
    query: &PlacementQuery<'_>,
    probed: &[ProbeRow],
    latency_target: Duration,
    rule: &PauseRule,
) -> Option<&'rows BackendRow> {
    let probed_rows =
        placement::candidates(rows, query).filter_map(|CostRow { server, cost, .. }| {
            let SpeedRow { row, slowdown } = *server;
            let (_, report) = probed.iter().find(|(entry, _)| entry.id == row.entry.id)?;
            let report = report.as_ref();
            let wait =
                report.map_or(0.0, |report| estimate_wait(&row.entry, report, latency_target));
            let interference =
                report.map_or(0.0, |report| estimate_interference(report, query, slowdown, rule));
            Some((row, *cost + wait + interference))
        });
    let best = probed_rows.min_by(|(_, cost), (_, other)| cost.total_cmp(other));
    best.map(|(row, _)| row)
}

fn pick_unprobed<'rows>(
    rows: Vec<CostRow<'rows>>,
    query: &PlacementQuery<'_>,
    rule: &PauseRule,
) -> Option<&'rows BackendRow> {
    placement::pick_cheapest(rows, query, |server| pause_cost(server, query, rule))
}

/// Returns the cost of the pauses at a server by this entry's own requests there, in milliseconds.
/// Zero for a plain service, and if `rule` has no limit below 600 ms.
pub(crate) fn pause_cost(
    server: &SpeedRow<'_>,
    query: &PlacementQuery<'_>,
    rule: &PauseRule,
) -> f64 {
    if query.prompt_tokens == 0 || rule.strict_limit().is_none() {
        return 0.0;
    }
    let load = PauseLoad::from_flights(server.row, server.slowdown);
    rule.placement_cost(placement::own_tokens(query), load)
}

/// Returns the cost of a prompt to the streams of its server, and the cost of the prompts before
/// it, in milliseconds.
fn estimate_interference(
    report: &BackendReport,
    query: &PlacementQuery<'_>,
    slowdown: f64,
    rule: &PauseRule,
) -> f64 {
    if rule.strict_limit().is_some() {
        let load = PauseLoad::from_report(report, slowdown);
        return rule.placement_cost(placement::own_tokens(query), load);
    }
    if !is_long(query.prompt_tokens, rule) {
        return 0.0;
    }
    let prefilling = report.count_prefilling() as f64;
    let streams = report.runs.iter().filter(|run| run.events > 0).count() as f64;
    placement::prefill_time(query.prompt_tokens)
        * (STREAM_FRACTION * streams + QUEUED_FRACTION * prefilling)
}

/// Returns the expected wait for a free slot at a server, in milliseconds.
///
/// Prompts in prefill are ignored: while slots are free, a session that leaves its server is
/// prefilled twice, which costs more than the wait.
fn estimate_wait(entry: &BackendEntry, report: &BackendReport, latency_target: Duration) -> f64 {
    let ahead = count_ahead(entry, report);
    let run = latency_target.mul_f64(RUN_TIME_TARGETS * 1_000.0).as_secs_f64();
    run * ahead as f64 / entry.slots.max(1) as f64
}
