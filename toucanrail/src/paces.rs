//! Pace of backend servers, that is their time per generated token, measured by the relay beside
//! each server from its load reports.
//!
//! The servers of one service may differ in speed, and no server states its own. A prompt whose
//! prefill pauses the other streams for 540 ms at a fast server pauses them for 700 ms at a server
//! that is 1.3 times slower, which is more than callers tolerate. An entry of a large fleet sees
//! only about six streams per day of a server, and not how many others run beside them; the relay
//! on the server's VM sees all of them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::RequestId;

/// Batch size that is assumed to double the time of a decoding step.
const DOUBLING_BATCH: f64 = 30.0;
/// Minimum number of events per run between two reports, multiplied by the square root of the
/// number of runs. One event more or less per run then changes the result by about 4 %.
const MIN_EVENTS: f64 = 8.0;
/// Number of measurements kept; their median is used.
const MAX_SAMPLES: usize = 9;
/// Minimum number of measurements from which a server's pace is known.
const MIN_SAMPLES: usize = 3;
/// Minimum number of known paces for a comparison.
const MIN_KNOWN_PACES: usize = 3;
/// Slowdown relative to a fast server from which a server counts as slow; measurements of equal
/// servers differ by up to a tenth.
const MIN_SLOWDOWN: f64 = 1.15;
/// Maximum slowdown used; a higher value indicates a pause rather than a slow server.
const MAX_SLOWDOWN: f64 = 4.0;
/// Relative change of a pace that is worth reporting to others.
const MIN_CHANGE: f64 = 0.08;

/// Progress of a run, as reported by its server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunProgress {
    /// Id of the request.
    pub request: RequestId,
    /// Events of the response so far; 0 during prefill.
    pub events: u64,
}

/// A backend server's report of its load.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendReport {
    /// Start time of the server, in Unix milliseconds; all counts start again after a restart.
    #[serde(rename = "born")]
    pub started_at: u64,
    /// Requests that have not begun to run.
    pub waiting: u64,
    /// Requests that run.
    pub runs: Vec<RunProgress>,
}

impl BackendReport {
    /// Returns the number of prompts that are in prefill or about to be.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::paces::BackendReport;
    /// assert_eq!(BackendReport { waiting: 2, ..BackendReport::default() }.count_prefilling(), 2);
    /// ```
    pub fn count_prefilling(&self) -> u64 {
        self.waiting + self.runs.iter().filter(|run| run.events == 0).count() as u64
    }
}

/// Measures the pace of one server from its reports.
///
/// A prefill between two tokens delays the events of all other runs, so only intervals without any
/// prefill are used. A loaded slow server has few of them. When all intervals counted and the
/// minimum was taken as the pace, the busiest slow servers were never told apart from the fast
/// ones.
#[derive(Debug, Default)]
pub struct PaceMeter {
    started_at: u64,
    /// First report of the current interval without prefill.
    anchor: Option<(Duration, BTreeMap<RequestId, u64>)>,
    samples: VecDeque<Duration>,
    /// Whether anything ran at the latest report.
    is_busy: bool,
}

impl PaceMeter {
    /// Processes a report.
    pub fn apply_report(&mut self, report: &BackendReport, now: Duration) {
        if report.started_at != self.started_at {
            *self = Self { started_at: report.started_at, ..Self::default() };
        }
        self.is_busy = !report.runs.is_empty();
        let rows = report.runs.iter().map(|run| (Arc::clone(&run.request), run.events));
        let events: BTreeMap<RequestId, u64> = rows.collect();
        let Some((since, before)) = &self.anchor else {
            self.anchor = (report.count_prefilling() == 0).then_some((now, events));
            return;
        };
        let had_prefill =
            report.count_prefilling() > 0 || events.keys().any(|run| !before.contains_key(run));
        if had_prefill {
            self.anchor = (report.count_prefilling() == 0).then_some((now, events));
        } else if let Some(sample) = measure_pace(before, &events, now.saturating_sub(*since)) {
            self.samples.push_back(sample);
            self.samples.drain(..self.samples.len().saturating_sub(MAX_SAMPLES));
            self.anchor = Some((now, events));
        }
    }

    /// Returns the time per event in a small batch, or `None` if too few measurements exist.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::paces::{BackendReport, PaceMeter, RunProgress};
    /// let mut meter = PaceMeter::default();
    /// for step in 0..8 {
    ///     let runs = vec![RunProgress { request: "r".into(), events: 1 + step * 10 }];
    ///     let report = BackendReport { runs, ..BackendReport::default() };
    ///     meter.apply_report(&report, Duration::from_millis(200 * step));
    /// }
    /// let pace = meter.pace().expect("seven measurements").as_micros();
    /// assert!((19_000..20_000).contains(&pace));
    /// ```
    pub fn pace(&self) -> Option<Duration> {
        if self.samples.len() < MIN_SAMPLES {
            return None;
        }
        let mut samples: Vec<Duration> = self.samples.iter().copied().collect();
        samples.sort_unstable();
        Some(samples[samples.len() / 2])
    }

    /// Returns whether frequent reports would add information: runs are active, and there are few
    /// measurements.
    pub fn needs_reports(&self) -> bool {
        self.is_busy && self.samples.len() < MAX_SAMPLES
    }
}

/// Returns the time per event in a small batch, averaged over the runs present in both reports; all
/// runs of a batch produce their events in step.
fn measure_pace(
    before: &BTreeMap<RequestId, u64>,
    after: &BTreeMap<RequestId, u64>,
    elapsed: Duration,
) -> Option<Duration> {
    let produced =
        after.iter().filter_map(|(run, events)| Some(events.saturating_sub(*before.get(run)?)));
    let produced: u64 = produced.sum();
    let runs = after.len() as f64;
    let events = produced as f64 / runs;
    if after.is_empty() || events * runs.sqrt() < MIN_EVENTS {
        return None;
    }
    let batch = f64::midpoint(before.len() as f64, runs);
    Some(elapsed.div_f64(events * (1.0 + batch / DOUBLING_BATCH)))
}

/// Returns whether a newly measured pace differs enough from the known one to be reported.
pub fn is_significant_change(known: Option<Duration>, pace: Option<Duration>) -> bool {
    match (known, pace) {
        (_, None) => false,
        (None, Some(_)) => true,
        (Some(known), Some(pace)) => {
            let change = pace.as_secs_f64() - known.as_secs_f64();
            change.abs() > known.as_secs_f64() * MIN_CHANGE
        }
    }
}

/// Returns the slowdown of each server relative to the fast servers; 1 for a server that is not
/// known to be slow.
///
/// # Examples
/// ```
/// use std::time::Duration;
/// let paces = [20, 21, 20, 27].map(|millis| Some(Duration::from_millis(millis)));
/// let slowdowns = toucanrail::paces::relative_slowdowns(&paces);
/// assert_eq!(slowdowns[..3], [1.0, 1.0, 1.0]);
/// assert!(slowdowns[3] > 1.3);
/// ```
pub fn relative_slowdowns(paces: &[Option<Duration>]) -> Vec<f64> {
    let mut known: Vec<Duration> = paces.iter().flatten().copied().collect();
    if known.len() < MIN_KNOWN_PACES {
        return vec![1.0; paces.len()];
    }
    known.sort_unstable();
    let fast = known[known.len() / 4].as_secs_f64().max(f64::MIN_POSITIVE);
    let slowdown = |pace: &Option<Duration>| {
        let slowdown = pace.map_or(1.0, |pace| pace.as_secs_f64() / fast);
        if slowdown < MIN_SLOWDOWN { 1.0 } else { slowdown.min(MAX_SLOWDOWN) }
    };
    paces.iter().map(slowdown).collect()
}
