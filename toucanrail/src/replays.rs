//! Idempotent replay of keyed requests at one entry.
//!
//! A retry of a request in flight is rejected; a retry of a completed one gets the same response
//! without another run.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::Serialize;

use crate::codes::ResultCode;
use crate::codetable;
use crate::ids::RequestId;
use crate::messages::{HeaderField, StoredResponse};

/// Maximum total size of the cached responses, in bytes; the oldest are evicted first.
const CACHE_BYTES: usize = 16 * 1024 * 1024;
/// Size of the entries of one request in the tables, in bytes.
const ROW_OVERHEAD: usize = 256;

#[derive(Debug, Clone, Serialize)]
struct KeyedRow {
    digest: Arc<str>,
    #[serde(skip)]
    response: Option<StoredResponse>,
}

/// The keyed requests that an entry has received, with the cached responses.
#[derive(Debug, Default, Serialize)]
pub struct ReplayTable {
    rows: BTreeMap<RequestId, KeyedRow>,
    /// Completed requests with the sizes of their rows, oldest first.
    #[serde(skip)]
    eviction_order: VecDeque<(RequestId, usize)>,
    bytes: usize,
}

impl ReplayTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a keyed request, or returns the cached response to an earlier one with the same key.
    ///
    /// # Errors
    /// [`codetable::KEY_REUSED`] if the key was used with a different request, and
    /// [`codetable::IN_FLIGHT`] if the request is still running.
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
            return row.response.clone().map(Some).ok_or(codetable::IN_FLIGHT);
        }
        let row = KeyedRow { digest: Arc::clone(digest), response: None };
        self.rows.insert(Arc::clone(request), row);
        Ok(None)
    }

    /// Completes a keyed request and caches its response; without one, a retry runs again.
    pub fn end(&mut self, request: &RequestId, response: Option<StoredResponse>) {
        let Some(response) = response else {
            self.rows.remove(request);
            return;
        };
        if let Some(row) = self.rows.get_mut(request) {
            let size = row_size(request, &row.digest, &response);
            row.response = Some(response);
            self.eviction_order.push_back((Arc::clone(request), size));
            self.bytes += size;
        }
        while self.bytes > CACHE_BYTES {
            let Some((oldest, size)) = self.eviction_order.pop_front() else {
                break;
            };
            self.bytes -= size;
            self.rows.remove(&oldest);
        }
    }
}

/// Returns the memory that the row of a completed request takes, in bytes.
fn row_size(request: &RequestId, digest: &str, response: &StoredResponse) -> usize {
    let fields = response.fields.iter().map(|field| {
        size_of::<HeaderField>().saturating_add(field.name.len()).saturating_add(field.value.len())
    });
    let sizes = [ROW_OVERHEAD, request.len(), digest.len(), response.body.len()];
    sizes.into_iter().chain(fields).fold(0, usize::saturating_add)
}
