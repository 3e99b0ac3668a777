//! When an entry last saw possible suspects succeed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::suspects::SuspectKey;

/// Maximum number of successes in a table.
const MAX_SUCCESSES: usize = 4_096;

/// Times of the last successes of requests and parts of prompts.
#[derive(Debug, Default)]
pub struct SuccessTable {
    rows: BTreeMap<SuspectKey, Duration>,
}

impl SuccessTable {
    /// Records a success.
    pub fn record(&mut self, key: SuspectKey, now: Duration) {
        self.rows.insert(key, now);
        if self.rows.len() > MAX_SUCCESSES {
            let mut times: Vec<Duration> = self.rows.values().copied().collect();
            times.sort_unstable();
            let median = times[times.len() / 2];
            self.rows.retain(|_, at| *at > median);
        }
    }

    /// Returns the time since the last success, if there was one.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::successes::SuccessTable;
    /// use toucanrail::suspects::SuspectKey;
    /// let mut table = SuccessTable::default();
    /// table.record(SuspectKey::Content(7), Duration::from_secs(1));
    /// let age = table.age(SuspectKey::Content(7), Duration::from_secs(3));
    /// assert_eq!(age, Some(Duration::from_secs(2)));
    /// ```
    pub fn age(&self, key: SuspectKey, now: Duration) -> Option<Duration> {
        self.rows.get(&key).map(|at| now.saturating_sub(*at))
    }
}
