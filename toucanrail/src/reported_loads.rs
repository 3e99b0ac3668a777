//! Requests of other entries at a server, as its latest load report shows them.
//!
//! An entry knows only its own requests in flight. Servers that other entries have filled look idle
//! to it until its own requests wait there.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::backends::{FlightId, FlightRow};
use crate::paces::BackendReport;

/// Age from which a report no longer counts. Within this time an overloaded server takes or ends
/// some tens of requests.
const MAX_AGE: Duration = Duration::from_secs(1);

/// Requests of other entries at a server; fractions are means over several servers.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct OtherRequests {
    /// Requests that run or wait.
    pub count: f64,
    /// Prompts among them that are in prefill or about to be.
    pub prefilling: f64,
}

impl OtherRequests {
    /// Returns the mean over some servers; `None` without any.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::reported_loads::OtherRequests;
    /// let rows = [2.0, 4.0].map(|count| OtherRequests { count, prefilling: 0.0 });
    /// assert_eq!(OtherRequests::mean(&rows).map(|mean| mean.count), Some(3.0));
    /// ```
    pub fn mean(rows: &[Self]) -> Option<Self> {
        let total = rows.len() as f64;
        let mean = |value: fn(&Self) -> f64| rows.iter().map(value).sum::<f64>() / total;
        let prefilling = mean(|row| row.prefilling);
        (!rows.is_empty()).then(|| Self { count: mean(|row| row.count), prefilling })
    }
}

/// Load of a server by its latest report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReportedLoad {
    others: OtherRequests,
    reported_at: Duration,
}

impl ReportedLoad {
    /// Reads a report; `flights` are this entry's own requests at the server.
    pub fn new(
        report: &BackendReport,
        flights: &BTreeMap<FlightId, FlightRow>,
        now: Duration,
    ) -> Self {
        let total = report.runs.len() as u64 + report.waiting;
        let unbegun = flights.values().filter(|flight| !flight.begun).count() as u64;
        let others = OtherRequests {
            count: total.saturating_sub(flights.len() as u64) as f64,
            prefilling: report.count_prefilling().saturating_sub(unbegun) as f64,
        };
        Self { others, reported_at: now }
    }

    /// Returns the requests of other entries, or `None` if the report is too old.
    ///
    /// # Examples
    /// ```
    /// use std::collections::BTreeMap;
    /// use std::time::Duration;
    /// use toucanrail::{paces::BackendReport, reported_loads::ReportedLoad};
    /// let report = BackendReport { waiting: 2, ..BackendReport::default() };
    /// let load = ReportedLoad::new(&report, &BTreeMap::new(), Duration::ZERO);
    /// assert!(load.others(Duration::from_millis(900)).is_some_and(|others| others.count == 2.0));
    /// assert!(load.others(Duration::from_secs(1)).is_none());
    /// ```
    pub fn others(&self, now: Duration) -> Option<OtherRequests> {
        (now.saturating_sub(self.reported_at) < MAX_AGE).then_some(self.others)
    }
}
