//! Traces of recent requests, for `toucanrail explain`.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::RequestId;

/// Maximum number of requests whose traces an entry keeps.
const TRACE_LIMIT: usize = 4_000;

/// One step in the processing of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceStep {
    /// Time since the request arrived.
    pub after: Duration,
    /// What happened.
    pub event: Arc<str>,
}

/// Traces of recent requests; the oldest request is dropped when the table is full.
#[derive(Debug, Default, Serialize)]
pub struct TraceTable {
    rows: BTreeMap<RequestId, Vec<TraceStep>>,
    #[serde(skip)]
    order: VecDeque<RequestId>,
}

impl TraceTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends steps to the trace of a request; a retry with the same key extends the first trace.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::traces::TraceTable;
    /// let mut table = TraceTable::new();
    /// table.append(&"r".into(), Vec::new());
    /// assert_eq!(table.get("r"), Some(&[][..]));
    /// ```
    pub fn append(&mut self, request: &RequestId, steps: Vec<TraceStep>) {
        if let Some(row) = self.rows.get_mut(request) {
            return row.extend(steps);
        }
        self.rows.insert(Arc::clone(request), steps);
        self.order.push_back(Arc::clone(request));
        if self.order.len() > TRACE_LIMIT
            && let Some(oldest) = self.order.pop_front()
        {
            self.rows.remove(&oldest);
        }
    }

    /// Returns the steps of a request.
    pub fn get(&self, request: &str) -> Option<&[TraceStep]> {
        self.rows.get(request).map(Vec::as_slice)
    }
}
