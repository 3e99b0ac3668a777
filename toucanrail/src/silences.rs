//! Decides whether a server that sends no response still works on a request.
//!
//! When prompts arrive faster than the servers can prefill them, a request in a server's queue
//! looks like one at a dead server. If it were given up, its prompt would be prefilled for nothing,
//! the request could no longer be reported as not run, and it would be sent again to a server with
//! a queue of its own.

use crate::ids::RequestId;
use crate::paces::BackendReport;

/// Consecutive checks that must find no trace of a request before it is given up; after the first
/// one, the response may still be on its way.
const MAX_MISSES: u32 = 2;

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
