//! The choice among a few servers whose load was just asked for.
//!
//! The load it answers: servers whose places are nearly all taken, and many entries that each send them few of
//! their requests. A request then waits for seconds in the queue of one server while another has places free,
//! and its entry cannot know. The relays beside the servers do. The same holds at any load for long prompts:
//! while one is read, all streams of its server pause, and a second one there begins late.

use std::time::Duration;

use serde::Serialize;

use crate::backends::{BackendEntry, BackendRow};
use crate::ids::Tokens;
use crate::paces::BackendReport;
use crate::placement::{self, PlacementQuery};

/// Servers that are asked besides the one that would be chosen unasked.
pub const PROBE_SAMPLES: usize = 4;
/// Hoped-for times for which a request is taken to run: a server with many places frees one of them sooner.
const RUN_AIMS: f64 = 4.0;
/// Part of the reports without a free place from which servers are asked before each request.
const SCARCE_PART: f64 = 0.1;
/// Part of the requests before which servers are asked while places are not known to be scarce.
const LOOK_PART: f64 = 0.06;
/// Tokens of a prompt from which servers are asked before it is placed: all streams beside it pause while it
/// is read.
const LONG_PROMPT: Tokens = 16_384;
/// Costs of one stream beside a long prompt, and of one prompt that is read before it, as parts of its reading
/// time.
const STREAM_PART: f64 = 0.02;
const QUEUED_PART: f64 = 0.15;
/// Weight of a new report.
const REPORT_WEIGHT: f64 = 0.1;

/// How scarce free places are at the servers of one service, by the reports so far.
///
/// Where servers have places free, a probe tells nothing and delays the request.
#[derive(Debug, Default, Clone, Copy, PartialEq, Serialize)]
pub struct SlotGauge {
    /// Smoothed part of the reports without a free place.
    full: f64,
}

impl SlotGauge {
    /// Tells whether servers are to be asked before a request; `random` in `0..1` picks the looks.
    ///
    /// # Examples
    /// ```
    /// let gauge = toucanrail::probes::SlotGauge::default();
    /// assert!(gauge.should_probe(0.0) && !gauge.should_probe(0.5));
    /// ```
    pub fn should_probe(&self, random: f64) -> bool {
        self.full > SCARCE_PART || random < LOOK_PART
    }

    /// Takes what servers reported.
    pub fn record_reports(&mut self, probed: &[ProbeRow]) {
        for (entry, report) in probed {
            let Some(report) = report else {
                continue;
            };
            let is_full = count_over(entry, report) > 0;
            self.full += (f64::from(u8::from(is_full)) - self.full) * REPORT_WEIGHT;
        }
    }
}

/// Returns how many requests must end at a server before another one begins.
fn count_over(entry: &BackendEntry, report: &BackendReport) -> u64 {
    let taken = report.runs.len() as u64 + report.waiting;
    (taken + 1).saturating_sub(entry.slots)
}

/// Tells whether a prompt is so long that servers are to be asked before it is placed, wherever that is.
///
/// # Examples
/// ```
/// assert!(toucanrail::probes::is_long(40_000) && !toucanrail::probes::is_long(4_000));
/// ```
pub fn is_long(prompt: Tokens) -> bool {
    prompt >= LONG_PROMPT
}

/// A server that was asked for its load; without a report where it, or its relay, did not answer.
pub type ProbeRow = (BackendEntry, Option<BackendReport>);

/// Returns the servers to ask: the one that is expected to be the best, and some that are drawn by `random`,
/// each in `0..1`.
///
/// # Examples
/// ```
/// use toucanrail::{placement::PlacementQuery, probes};
/// let query = PlacementQuery {
///     data_centre: "a", parts: &[], prompt: 0, now: Default::default(), random: 0.5,
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
    let others = eligible.iter().copied().filter(|row| row.entry.id != best.entry.id);
    let mut others: Vec<&BackendRow> = others.collect();
    let mut candidates = vec![best.entry.clone()];
    for draw in random {
        let Some(last) = others.len().checked_sub(1) else {
            break;
        };
        let at = ((others.len() as f64 * *draw) as usize).min(last);
        candidates.push(others.swap_remove(at).entry.clone());
    }
    candidates
}

/// Picks the server with the least expected cost among those that were asked, by what they report of their
/// load: the requests that must end before another one begins cost the time in which so many places come
/// free. A server without a report counts as one with free places.
///
/// What this entry has sent while they were asked is known from `eligible`; none is returned if all of them
/// have left meanwhile.
///
/// # Examples
/// ```
/// use std::time::Duration;
/// use toucanrail::{placement::PlacementQuery, probes};
/// let query = PlacementQuery {
///     data_centre: "a", parts: &[], prompt: 0, now: Default::default(), random: 0.5,
/// };
/// assert!(probes::pick_probed(&[], &query, &[], Duration::from_secs(1)).is_none());
/// ```
pub fn pick_probed<'rows>(
    eligible: &[&'rows BackendRow],
    query: &PlacementQuery<'_>,
    probed: &[ProbeRow],
    aim: Duration,
) -> Option<&'rows BackendRow> {
    if probed.is_empty() {
        return None;
    }
    let costs = placement::estimate_costs(eligible, query);
    let asked = eligible.iter().zip(costs).filter_map(|(row, cost)| {
        let (_, report) = probed.iter().find(|(entry, _)| entry.id == row.entry.id)?;
        let report = report.as_ref();
        let wait = report.map_or(0.0, |report| estimate_wait(&row.entry, report, aim));
        let harm = report.map_or(0.0, |report| estimate_harm(report, query.prompt));
        Some((*row, cost + wait + harm))
    });
    let best = asked.min_by(|(_, one), (_, other)| one.total_cmp(other));
    best.map(|(row, _)| row)
}

/// Returns what a long prompt costs the streams beside it, and what the prompts before it cost, in milliseconds.
fn estimate_harm(report: &BackendReport, prompt: Tokens) -> f64 {
    if !is_long(prompt) {
        return 0.0;
    }
    let reading = report.count_prefilling() as f64;
    let streams = report.runs.iter().filter(|run| run.events > 0).count() as f64;
    placement::prefill_time(prompt) * (STREAM_PART * streams + QUEUED_PART * reading)
}

/// Returns the expected wait for a place at a server, in milliseconds.
///
/// Prompts that are being read count for nothing: where places are free, a session that moves away from
/// its server is read twice, which costs more than the wait.
fn estimate_wait(entry: &BackendEntry, report: &BackendReport, aim: Duration) -> f64 {
    let over = count_over(entry, report);
    let run = aim.mul_f64(RUN_AIMS * 1_000.0).as_secs_f64();
    run * over as f64 / entry.slots.max(1) as f64
}
