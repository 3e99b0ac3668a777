//! How fast backend servers make tokens, measured beside each from its own load reports.
//!
//! The load it answers: servers of one service that differ in speed. A prompt that pauses the streams
//! beside it for 540 ms at a fast server does so for 700 ms at one that is 1.3 times slower, which
//! callers no longer bear, and no server tells its speed. An entry of a large fleet sees six streams a
//! day of a server, and not how many others run beside them; the relay on the server's VM sees all.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::RequestId;

/// Sequences in a batch that are taken to double the time of a step.
const BATCH_COST: f64 = 30.0;
/// Fewest events of a run between two reports, times the root of the runs: one event more or less a run
/// is then some 4 % of all.
const EVENT_LEAST: f64 = 8.0;
/// Measurements kept; the middle one counts.
const SAMPLE_LIMIT: usize = 9;
/// Fewest measurements that tell a server's pace.
const SAMPLE_LEAST: usize = 3;
/// Fewest servers with a known pace that one is compared with.
const KNOWN_LEAST: usize = 3;
/// Pace against that of a fast server from which a server counts as slow; measurements of equal servers
/// lie within a tenth of one another.
const SLOW_FACTOR: f64 = 1.15;
/// Most that is made of a pace; behind it stands a pause rather than a speed.
const FACTOR_LIMIT: f64 = 4.0;
/// Change of a pace, as a part of it, that is worth telling others.
const CHANGE_PART: f64 = 0.08;

/// A run, as its server reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunProgress {
    /// The request.
    pub request: RequestId,
    /// Events of its answer so far; 0 while its prompt is read.
    pub events: u64,
}

/// What a server says of its load.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendReport {
    /// When the server started, in Unix milliseconds; after another start all counts begin anew.
    #[serde(rename = "born")]
    pub started_at: u64,
    /// Requests that have not begun to run.
    pub waiting: u64,
    /// What runs.
    pub runs: Vec<RunProgress>,
}

impl BackendReport {
    /// Returns how many prompts are being read, or are about to be.
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

/// Measures one server from its reports.
///
/// Prompts that are read between two tokens lengthen every event beside them, so that only times in
/// which none was read count. A loaded slow server has few of them; where all times counted, and the
/// least of them stood for the pace, the busiest slow servers were never told from the fast ones.
#[derive(Debug, Default)]
pub struct PaceMeter {
    started_at: u64,
    /// The first report of a time in which no prompt was read.
    anchor: Option<(Duration, BTreeMap<RequestId, u64>)>,
    samples: VecDeque<Duration>,
    /// Whether anything ran at the last report.
    is_busy: bool,
}

impl PaceMeter {
    /// Takes a report.
    pub fn apply_report(&mut self, report: &BackendReport, now: Duration) {
        if report.started_at != self.started_at {
            *self = Self { started_at: report.started_at, ..Self::default() };
        }
        self.is_busy = !report.runs.is_empty();
        let rows = report.runs.iter().map(|run| (Arc::clone(&run.request), run.events));
        let events: BTreeMap<RequestId, u64> = rows.collect();
        let Some((then, before)) = &self.anchor else {
            self.anchor = (report.count_prefilling() == 0).then_some((now, events));
            return;
        };
        let read =
            report.count_prefilling() > 0 || events.keys().any(|run| !before.contains_key(run));
        if read {
            self.anchor = (report.count_prefilling() == 0).then_some((now, events));
        } else if let Some(step) = measure_step(before, &events, now.saturating_sub(*then)) {
            self.samples.push_back(step);
            self.samples.drain(..self.samples.len().saturating_sub(SAMPLE_LIMIT));
            self.anchor = Some((now, events));
        }
    }

    /// Returns the time of one event in a batch of few; none if too little is known.
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
        if self.samples.len() < SAMPLE_LEAST {
            return None;
        }
        let mut samples: Vec<Duration> = self.samples.iter().copied().collect();
        samples.sort_unstable();
        Some(samples[samples.len() / 2])
    }

    /// Tells whether reports in quick succession would say more: streams run, and few were measured.
    pub fn needs_reports(&self) -> bool {
        self.is_busy && self.samples.len() < SAMPLE_LIMIT
    }
}

/// Returns the time of one event in a batch of few, by the runs that lasted; all of a batch make their
/// events in step.
fn measure_step(
    before: &BTreeMap<RequestId, u64>,
    after: &BTreeMap<RequestId, u64>,
    elapsed: Duration,
) -> Option<Duration> {
    let made =
        after.iter().filter_map(|(run, events)| Some(events.saturating_sub(*before.get(run)?)));
    let made: u64 = made.sum();
    let runs = after.len() as f64;
    let events = made as f64 / runs;
    if after.is_empty() || events * runs.sqrt() < EVENT_LEAST {
        return None;
    }
    let batch = f64::midpoint(before.len() as f64, runs);
    Some(elapsed.div_f64(events * (1.0 + batch / BATCH_COST)))
}

/// Tells whether others should learn of a pace in place of the one that they know.
pub fn is_significant_change(known: Option<Duration>, pace: Option<Duration>) -> bool {
    match (known, pace) {
        (_, None) => false,
        (None, Some(_)) => true,
        (Some(known), Some(pace)) => {
            let change = pace.as_secs_f64() - known.as_secs_f64();
            change.abs() > known.as_secs_f64() * CHANGE_PART
        }
    }
}

/// How slow servers are against the fast ones among them, in their order; 1 where a server is not
/// known to be slow.
///
/// # Examples
/// ```
/// use std::time::Duration;
/// let paces = [20, 21, 20, 27].map(|millis| Some(Duration::from_millis(millis)));
/// let factors = toucanrail::paces::relative_slowdowns(&paces);
/// assert_eq!(factors[..3], [1.0, 1.0, 1.0]);
/// assert!(factors[3] > 1.3);
/// ```
pub fn relative_slowdowns(paces: &[Option<Duration>]) -> Vec<f64> {
    let mut known: Vec<Duration> = paces.iter().flatten().copied().collect();
    if known.len() < KNOWN_LEAST {
        return vec![1.0; paces.len()];
    }
    known.sort_unstable();
    let fast = known[known.len() / 4].as_secs_f64().max(f64::MIN_POSITIVE);
    let factor = |pace: &Option<Duration>| {
        let factor = pace.map_or(1.0, |pace| pace.as_secs_f64() / fast);
        if factor < SLOW_FACTOR { 1.0 } else { factor.min(FACTOR_LIMIT) }
    };
    paces.iter().map(factor).collect()
}
