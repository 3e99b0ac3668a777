//! Keyed requests at one entry: a retry of one in flight is told so, a late retry gets the same
//! answer without another run.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::Serialize;

use crate::codes::ResultCode;
use crate::codetable;
use crate::ids::RequestId;
use crate::messages::StoredResponse;

/// Bytes of all answers kept; the oldest go first.
const KEPT_BYTES: usize = 16 * 1024 * 1024;

#[derive(Debug, Clone, Serialize)]
struct KeyedRow {
    digest: Arc<str>,
    #[serde(skip)]
    answer: Option<StoredResponse>,
}

/// The keyed requests that an entry has seen.
#[derive(Debug, Default, Serialize)]
pub struct ReplayTable {
    rows: BTreeMap<RequestId, KeyedRow>,
    #[serde(skip)]
    order: VecDeque<(RequestId, usize)>,
    bytes: usize,
}

impl ReplayTable {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Begins a keyed request; gives the answer of an earlier one with this key, if it is kept.
    ///
    /// # Errors
    /// [`codetable::KEY_REUSED`] where the key came with another request, and
    /// [`codetable::IN_FLIGHT`] where it is running.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::{codetable, replays::ReplayTable};
    /// let mut table = ReplayTable::new();
    /// assert_eq!(table.begin(&"r".into(), &"digest".into()), Ok(None));
    /// assert_eq!(table.begin(&"r".into(), &"digest".into()), Err(codetable::IN_FLIGHT));
    /// ```
    pub fn begin(
        &mut self,
        request: &RequestId,
        digest: &Arc<str>,
    ) -> Result<Option<StoredResponse>, ResultCode> {
        if let Some(row) = self.rows.get(request) {
            if row.digest != *digest {
                return Err(codetable::KEY_REUSED);
            }
            return row.answer.clone().map(Some).ok_or(codetable::IN_FLIGHT);
        }
        let row = KeyedRow { digest: Arc::clone(digest), answer: None };
        self.rows.insert(Arc::clone(request), row);
        Ok(None)
    }

    /// Ends a keyed request; without an answer, a retry runs again.
    pub fn end(&mut self, request: &RequestId, answer: Option<StoredResponse>) {
        let Some(answer) = answer else {
            self.rows.remove(request);
            return;
        };
        if let Some(row) = self.rows.get_mut(request) {
            let size = answer.body.len();
            row.answer = Some(answer);
            self.order.push_back((Arc::clone(request), size));
            self.bytes += size;
        }
        while self.bytes > KEPT_BYTES {
            let Some((old, size)) = self.order.pop_front() else {
                break;
            };
            self.bytes -= size;
            self.rows.remove(&old);
        }
    }
}
