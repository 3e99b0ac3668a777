//! Rate limits that backend servers state in their responses.
//!
//! A server that cannot keep up states how many requests per second it accepts from all entries
//! together. The limit is in force for as long as its responses state it. Entries do not know each
//! other's traffic, so a relay issues permits at the stated rate, and an entry that knows of the
//! limit sends nothing to the server without one.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::backends::BackendId;

/// Lower bound of the permits per second, so that entries learn from a response when a limit ends,
/// even one of zero.
const MIN_RATE: f64 = 0.25;
/// Time by which permits may be issued ahead of the stated rate. Entries do not ask at regular
/// intervals; without it, the server would get less than it accepts.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Time after which a server that gets no permits is dropped from the table.
const ROW_RETENTION: Duration = Duration::from_secs(10);

/// Rate limit of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct RateLimit {
    /// Requests per second that the server accepts from all entries together.
    pub rate: f64,
    /// Time of the latest response that stated it.
    pub stated_at: Duration,
}

impl RateLimit {
    /// Converts the limit for another process, whose clock differs.
    pub fn stated_rate(&self, now: Duration) -> StatedRate {
        StatedRate { rate: self.rate, age: now.saturating_sub(self.stated_at) }
    }
}

/// A rate limit and its age, independent of the clock of any process.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct StatedRate {
    /// Requests per second.
    pub rate: f64,
    /// Time since the server stated it.
    pub age: Duration,
}

#[derive(Debug, Clone, Copy)]
struct RateRow {
    limit: RateLimit,
    /// Time from which the next permit is not ahead of the rate.
    next_at: Duration,
}

/// Permits that one relay issues at the rates that servers stated.
///
/// Entries may know different rates of a server; the one stated last applies.
#[derive(Debug, Default)]
pub struct RateTable {
    rows: BTreeMap<BackendId, RateRow>,
}

impl RateTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the time until a permit for a server may be issued; zero if one may be issued now.
    ///
    /// # Examples
    /// ```
    /// use std::{sync::Arc, time::Duration};
    /// use toucanrail::rate_limits::{RateTable, StatedRate};
    /// let (server, now) = (Arc::from("s"), Duration::from_secs(9));
    /// let stated = StatedRate { rate: 2.0, age: Duration::ZERO };
    /// let mut table = RateTable::new();
    /// assert_eq!(table.permit_delay(&server, stated, now), Duration::ZERO);
    /// table.record_permit(&server, now);
    /// assert_eq!(table.permit_delay(&server, stated, now), Duration::from_millis(250));
    /// ```
    pub fn permit_delay(
        &mut self,
        server: &BackendId,
        stated: StatedRate,
        now: Duration,
    ) -> Duration {
        self.rows.retain(|_, row| now.saturating_sub(row.next_at) < ROW_RETENTION);
        let stated_at = now.saturating_sub(stated.age);
        let limit = RateLimit { rate: stated.rate, stated_at };
        let row = self.rows.entry(Arc::clone(server)).or_insert(RateRow { limit, next_at: now });
        if limit.stated_at >= row.limit.stated_at {
            row.limit = limit;
            // After a change from a lower rate, the next permit is due earlier.
            row.next_at = row.next_at.min(now + BURST_TIME + permit_interval(limit.rate));
        }
        row.next_at.saturating_sub(BURST_TIME).saturating_sub(now)
    }

    /// Records a permit that was issued for a server.
    pub fn record_permit(&mut self, server: &BackendId, now: Duration) {
        if let Some(row) = self.rows.get_mut(server) {
            row.next_at = row.next_at.max(now) + permit_interval(row.limit.rate);
        }
    }
}

fn permit_interval(rate: f64) -> Duration {
    Duration::from_secs_f64(1.0 / rate.max(MIN_RATE))
}
