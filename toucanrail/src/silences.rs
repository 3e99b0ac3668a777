//! Decides whether a server that sends no response still works on a request.
//!
//! When prompts arrive faster than the servers can prefill them, a request in a server's queue
//! looks like one at a dead server. If it were given up, its prompt would be prefilled for nothing,
//! the request could no longer be reported as not run, and it would be sent again to a server with
//! a queue of its own.

use std::time::Duration;

use crate::ids::RequestId;
use crate::paces::BackendReport;

/// Consecutive checks that must find no trace of a request before it is given up; after the first
/// one, the response may still be on its way.
const MAX_MISSES: u32 = 2;
/// Fraction of the latency target within which a part of a response must be complete, so that another
/// server can still respond in time, and its lower bound, which allows for a lost packet.
const PART_FRACTION: f64 = 0.5;
const MIN_PART_TIMEOUT: Duration = Duration::from_millis(300);
/// The same where no other server may get the request; it is given up later, since its caller gets
/// nothing in its place.
const FINAL_PART_FACTOR: f64 = 2.0;
const MIN_FINAL_PART_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes that count as progress of a part that is not complete.
const MIN_PROGRESS: usize = 1024;

/// Returns the time within which a part of a response, such as its head or an event, must be complete
/// after its first byte.
///
/// A queue or a long prompt delays the first byte. A server that has begun a part has the rest of it,
/// so that one whose bytes trickle in is at fault.
///
/// # Examples
/// ```
/// use std::time::Duration;
/// use toucanrail::silences;
/// let target = Duration::from_secs(1);
/// assert!(silences::part_timeout(target, true) < target);
/// assert!(silences::part_timeout(target, false) > target);
/// ```
pub fn part_timeout(latency_target: Duration, may_fail_over: bool) -> Duration {
    if may_fail_over {
        latency_target.mul_f64(PART_FRACTION).max(MIN_PART_TIMEOUT)
    } else {
        latency_target.mul_f64(FINAL_PART_FACTOR).max(MIN_FINAL_PART_TIMEOUT)
    }
}

/// Progress of a part of a response that has begun to arrive and is not complete.
#[derive(Debug, Default, Clone, Copy)]
pub struct PartProgress {
    bytes: usize,
    since: Duration,
}

impl PartProgress {
    /// Begins a new part, of which `bytes` have arrived.
    pub fn restart(&mut self, bytes: usize, now: Duration) {
        *self = Self { bytes, since: now };
    }

    /// Records how many bytes of the part have arrived.
    pub fn record(&mut self, bytes: usize, now: Duration) {
        if self.bytes == 0 || bytes >= self.bytes + MIN_PROGRESS {
            self.restart(bytes, now);
        }
    }

    /// Records that nothing is read for now, so that there can be no progress.
    pub fn record_pause(&mut self, now: Duration) {
        self.since = now;
    }

    /// Returns the time left for further progress, each of which may take `timeout`; none before the
    /// first byte.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::silences::PartProgress;
    /// let (timeout, half) = (Duration::from_secs(2), Duration::from_secs(1));
    /// let mut progress = PartProgress::default();
    /// assert_eq!(progress.time_left(timeout, timeout), None);
    /// progress.record(1, Duration::ZERO);
    /// progress.record(2, half);
    /// assert_eq!(progress.time_left(timeout, half), Some(half));
    /// progress.record(5_000, half);
    /// assert_eq!(progress.time_left(timeout, half), Some(timeout));
    /// ```
    pub fn time_left(&self, timeout: Duration, now: Duration) -> Option<Duration> {
        (self.bytes > 0).then(|| (self.since + timeout).saturating_sub(now))
    }
}

/// State of one request at its server, as seen by the relay beside the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunStatus {
    /// Requests in the server's queue; the report does not identify them.
    pub waiting: u64,
    /// Events produced so far; `None` if the request is not running.
    pub events: Option<u64>,
}

impl RunStatus {
    /// Looks up a request in its server's report.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::paces::{BackendReport, RunProgress};
    /// use toucanrail::silences::RunStatus;
    /// let runs = vec![RunProgress { request: "r".into(), events: 3 }];
    /// let report = BackendReport { runs, ..BackendReport::default() };
    /// assert_eq!(RunStatus::find(&report, &"r".into()).events, Some(3));
    /// assert_eq!(RunStatus::find(&report, &"s".into()).events, None);
    /// ```
    pub fn find(report: &BackendReport, request: &RequestId) -> Self {
        let run = report.runs.iter().find(|run| run.request == *request);
        Self { waiting: report.waiting, events: run.map(|run| run.events) }
    }

    /// Returns whether the server may still be working on the next event after those received.
    fn explains_silence(self, received: u64) -> bool {
        match self.events {
            Some(events) => events <= received,
            None => received == 0 && self.waiting > 0,
        }
    }
}

/// Result of a check of a silent server for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceVerdict {
    /// The request is running or may be queued.
    Works,
    /// The server does not know the request, or produced events that did not arrive; no response
    /// is expected.
    Lost,
    /// Nothing is known about the server; it may still respond.
    Unseen,
}

/// Checks one request at a silent server.
#[derive(Debug, Default)]
pub struct SilenceDetector {
    misses: u32,
}

impl SilenceDetector {
    /// Evaluates a check of a request of which `received` events have arrived; `status` is `None`
    /// if the server or its relay did not respond.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::silences::{RunStatus, SilenceDetector, SilenceVerdict};
    /// let mut detector = SilenceDetector::default();
    /// let queued = RunStatus { waiting: 4, events: None };
    /// assert_eq!(detector.judge(Some(queued), 0), SilenceVerdict::Works);
    /// assert_eq!(detector.judge(None, 0), SilenceVerdict::Unseen);
    /// ```
    pub fn judge(&mut self, status: Option<RunStatus>, received: u64) -> SilenceVerdict {
        let Some(status) = status else {
            return SilenceVerdict::Unseen;
        };
        self.misses = if status.explains_silence(received) { 0 } else { self.misses + 1 };
        if self.misses < MAX_MISSES { SilenceVerdict::Works } else { SilenceVerdict::Lost }
    }
}
