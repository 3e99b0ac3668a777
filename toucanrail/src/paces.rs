//! How fast backend servers make tokens, measured beside each from its own load reports.
//!
//! The load it answers: servers of one service that differ in speed. A prompt that pauses the streams
//! beside it for 540 ms at a fast server does so for 700 ms at one that is 1.3 times slower, which
//! callers no longer bear, and no server tells its speed. An entry of a large fleet sees six streams a
//! day of a server, and not how many others run beside them; the relay on the server's VM sees all.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::ids::RequestId;

/// Sequences of a batch that a server runs no slower than one: each of them lengthens a step by one in
/// this many, by the users' engine sheet (0.102 ms of 3.09 ms).
const BATCH_COST: f64 = 30.0;
/// Fewest events of a run between two reports that are measured; one more or less is 20 % then.
const EVENT_LEAST: u64 = 5;
/// Measurements kept: those of some ten seconds under load.
const SAMPLE_LIMIT: usize = 32;
/// Fewest measurements that tell a server's pace.
const SAMPLE_LEAST: usize = 6;
/// Which of the sorted measurements counts, as a part of them: prompts that are read in between
/// lengthen nearly all of them.
const SAMPLE_RANK: f64 = 0.1;
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
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRow {
    /// The request.
    pub request: RequestId,
    /// Events of its answer so far; 0 while its prompt is read.
    pub events: u64,
}

/// What a server says of its load.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// When the server started, in Unix milliseconds; after another start all counts begin anew.
    pub born: u64,
    /// What runs.
    pub runs: Vec<RunRow>,
}

/// Measures one server from its reports.
#[derive(Debug, Default)]
pub struct PaceMeter {
    born: u64,
    last: Option<(Duration, BTreeMap<RequestId, u64>)>,
    samples: VecDeque<Duration>,
}

impl PaceMeter {
    /// Takes a report.
    pub fn take_report(&mut self, report: &LoadReport, now: Duration) {
        if report.born != self.born {
            *self = Self { born: report.born, ..Self::default() };
        }
        let rows = report.runs.iter().map(|run| (Arc::clone(&run.request), run.events));
        let events: BTreeMap<RequestId, u64> = rows.collect();
        if let Some((then, before)) = self.last.take() {
            self.measure(&before, &events, now.saturating_sub(then));
        }
        self.last = Some((now, events));
    }

    /// Measures by all runs that made events at both ends; all of a batch make theirs in step.
    fn measure(
        &mut self,
        before: &BTreeMap<RequestId, u64>,
        after: &BTreeMap<RequestId, u64>,
        elapsed: Duration,
    ) {
        let made = after.iter().filter_map(|(request, events)| {
            let earlier = *before.get(request)?;
            (earlier > 0).then(|| events.saturating_sub(earlier))
        });
        let made: Vec<u64> = made.filter(|events| *events >= EVENT_LEAST).collect();
        let Some(runs) = u32::try_from(made.len()).ok().filter(|runs| *runs > 0) else {
            return;
        };
        let events = made.iter().sum::<u64>() as f64 / f64::from(runs);
        let batch = (before.len() + after.len()) as f64 / 2.0;
        let step = elapsed.div_f64(events * (1.0 + batch / BATCH_COST));
        self.samples.push_back(step);
        if self.samples.len() > SAMPLE_LIMIT {
            self.samples.pop_front();
        }
    }

    /// Returns the time of one event in a batch of few; none if too little is known.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::paces::{LoadReport, PaceMeter, RunRow};
    /// let mut meter = PaceMeter::default();
    /// for step in 0..8 {
    ///     let runs = vec![RunRow { request: "r".into(), events: 1 + step * 10 }];
    ///     meter.take_report(&LoadReport { born: 1, runs }, Duration::from_millis(200 * step));
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
        Some(samples[(samples.len() as f64 * SAMPLE_RANK) as usize])
    }
}

/// Tells whether others should learn of a pace in place of the one that they know.
pub fn is_news(known: Option<Duration>, pace: Option<Duration>) -> bool {
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
/// let factors = toucanrail::paces::compare_paces(&paces);
/// assert_eq!(factors[..3], [1.0, 1.0, 1.0]);
/// assert!(factors[3] > 1.3);
/// ```
pub fn compare_paces(paces: &[Option<Duration>]) -> Vec<f64> {
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
