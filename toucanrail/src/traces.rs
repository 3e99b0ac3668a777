//! What happened to recent requests, step by step, for `toucanrail explain`.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::RequestId;

/// Requests that an entry remembers.
const TRACE_LIMIT: usize = 4_000;

/// One step of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceStep {
    /// Time since the request arrived.
    pub after: Duration,
    /// What happened.
    pub event: Arc<str>,
}

/// The steps of recent requests.
#[derive(Debug, Default, Serialize)]
pub struct TraceTable {
    rows: BTreeMap<RequestId, Vec<TraceStep>>,
    #[serde(skip)]
    order: VecDeque<RequestId>,
}

impl TraceTable {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Keeps a request's steps; the steps of a retry with the same key go behind the first ones.
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
            && let Some(old) = self.order.pop_front()
        {
            self.rows.remove(&old);
        }
    }

    /// Returns a request's steps.
    pub fn get(&self, request: &str) -> Option<&[TraceStep]> {
        self.rows.get(request).map(Vec::as_slice)
    }
}
