//! Backoff of relays that failed, as one use of them sees it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::endpoints::RelayName;

/// Backoff of a relay that did not respond or is stopping. It doubles with each consecutive
/// failure, up to the maximum, since a relay whose VM was removed never responds again.
const INITIAL_BACKOFF: Duration = Duration::from_secs(3);
const MAX_BACKOFF: Duration = Duration::from_secs(12);

#[derive(Debug, Clone, Copy)]
struct BackoffRow {
    until: Duration,
    length: Duration,
}

/// Relays in backoff after failures.
#[derive(Debug, Default)]
pub struct BackoffTable {
    rows: BTreeMap<RelayName, BackoffRow>,
}

impl BackoffTable {
    /// Returns whether a relay is in backoff and must not be called now.
    pub fn is_active(&self, relay: &str, now: Duration) -> bool {
        self.rows.get(relay).is_some_and(|row| now < row.until)
    }

    /// Records a failure of a relay: starts its backoff, twice as long as the one before. During a
    /// backoff only calls that began before it fail, so that these failures are not new ones.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// use toucanrail::relay_backoffs::BackoffTable;
    /// let (mut table, relay) = (BackoffTable::default(), "side-1".into());
    /// table.record_failure(&relay, Duration::ZERO);
    /// table.record_failure(&relay, Duration::ZERO);
    /// assert!(table.is_active("side-1", Duration::from_secs(2)));
    /// assert!(!table.is_active("side-1", Duration::from_secs(3)));
    /// ```
    pub fn record_failure(&mut self, relay: &RelayName, now: Duration) {
        if self.is_active(relay, now) {
            return;
        }
        let before = self.rows.get(relay).map(|row| row.length);
        let length = before.map_or(INITIAL_BACKOFF, |length| length * 2).min(MAX_BACKOFF);
        self.back_off_for(relay, now, length);
    }

    /// Starts a backoff of a given length.
    pub fn back_off_for(&mut self, relay: &RelayName, now: Duration, length: Duration) {
        let row = BackoffRow { until: now + length, length };
        self.rows.insert(Arc::clone(relay), row);
    }

    /// Ends a relay's backoff after a successful call.
    pub fn reset(&mut self, relay: &str) {
        self.rows.remove(relay);
    }
}
