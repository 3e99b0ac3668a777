//! Whether a server that does not answer still works on a request.
//!
//! The load it answers: more prompts than servers read in time. A request that waits in a server's queue
//! looks like one at a dead server. Taken for lost it is read in vain, may not be said not to have run,
//! and is sent once more where others wait already.

use crate::ids::RequestId;
use crate::paces::BackendReport;

/// Looks in a row that must find no trace of a request before it is given up: the answer may be on its
/// way at the first.
const MISS_LIMIT: u32 = 2;

/// What the relay beside a server sees of one request there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunStatus {
    /// Requests in the server's queue; it does not name them.
    pub waiting: u64,
    /// Events made so far; none if the request does not run.
    pub events: Option<u64>,
}

impl RunStatus {
    /// Finds a request in its server's report.
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

    /// Tells whether the server may still be about to make the event behind those received.
    fn explains(self, received: u64) -> bool {
        match self.events {
            Some(events) => events <= received,
            None => received == 0 && self.waiting > 0,
        }
    }
}

/// What a look at a silent server says of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceVerdict {
    /// It runs, or may be in the queue.
    Works,
    /// The server knows nothing of it, or made events that did not come: no answer will.
    Lost,
    /// There is no word of the server; it may still answer.
    Unseen,
}

/// The looks at one silent server.
#[derive(Debug, Default)]
pub struct SilenceDetector {
    misses: u32,
}

impl SilenceDetector {
    /// Takes a look, none where the server or its relay did not answer, at a request that has `received`
    /// events.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::silences::{RunStatus, SilenceVerdict, SilenceDetector};
    /// let mut watch = SilenceDetector::default();
    /// let queued = RunStatus { waiting: 4, events: None };
    /// assert_eq!(watch.judge(Some(queued), 0), SilenceVerdict::Works);
    /// assert_eq!(watch.judge(None, 0), SilenceVerdict::Unseen);
    /// ```
    pub fn judge(&mut self, sight: Option<RunStatus>, received: u64) -> SilenceVerdict {
        let Some(sight) = sight else {
            return SilenceVerdict::Unseen;
        };
        self.misses = if sight.explains(received) { 0 } else { self.misses + 1 };
        if self.misses < MISS_LIMIT { SilenceVerdict::Works } else { SilenceVerdict::Lost }
    }
}
