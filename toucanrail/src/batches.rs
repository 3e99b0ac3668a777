//! Room in a batch of bills, which has to fit into one object of the store.

#![deny(clippy::arithmetic_side_effects)]

use crate::budgets::BillRow;
use crate::storecalls;

/// Maximum number of rows in a batch.
const MAX_ROWS: usize = 1_500;
/// Maximum size of the encoded rows in a batch, in bytes. The store accepts a megabyte for an
/// object, and a request id may be as long as a request's head.
const MAX_BYTES: usize = 700_000;

/// The room that is left in a batch.
#[derive(Debug)]
pub struct BatchRoom {
    rows: usize,
    bytes: usize,
}

impl BatchRoom {
    /// Returns the room of an empty batch.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::batches::BatchRoom;
    /// let mut queue = Vec::new();
    /// assert!(BatchRoom::empty_batch().take_rows(&mut queue).is_empty());
    /// ```
    pub fn empty_batch() -> Self {
        Self { rows: MAX_ROWS, bytes: MAX_BYTES }
    }

    /// Returns the room of a batch that takes no rows.
    pub fn no_batch() -> Self {
        Self { rows: 0, bytes: 0 }
    }

    /// Removes rows from the front of a queue for as long as they fit. The first row of a batch
    /// always fits, so that none blocks those behind it.
    pub fn take_rows(&mut self, queue: &mut Vec<BillRow>) -> Vec<BillRow> {
        let count = queue.iter().take_while(|row| self.reserve(row)).count();
        queue.drain(..count).collect()
    }

    fn reserve(&mut self, row: &BillRow) -> bool {
        if self.rows == 0 {
            return false;
        }
        let size = storecalls::encode_value(row).len();
        if size > self.bytes && self.rows < MAX_ROWS {
            *self = Self::no_batch();
            return false;
        }
        self.rows = self.rows.saturating_sub(1);
        self.bytes = self.bytes.saturating_sub(size);
        true
    }
}
