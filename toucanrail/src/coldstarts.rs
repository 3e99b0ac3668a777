//! Permits that limit the request rate at a server that has just started, across all entries.
//!
//! When many servers restart at once during a burst, they look idle, every entry sends them its
//! next prompts, and they crash. Entries do not know each other's traffic, so the relay beside a
//! cold server issues permits, and an entry sends nothing to the server without one.
//!
//! Entries that have not learned of the server's start yet continue to send their usual share, and
//! a relay that was restarted does not know which permits it issued before. [`permit_limit`] leaves
//! room for both.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;

use crate::backends::BackendId;
use crate::permits::PERMIT_VALIDITY;

/// Limit of a server that is not cold.
pub const NO_LIMIT: usize = usize::MAX;
/// Window in which arrivals at a cold server are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Fraction of a cold server's maximum arrivals for which permits are issued.
const PERMIT_FRACTION: f64 = 0.7;
/// Fraction of its permits that a relay issues while permits from before its restart may still be
/// in use.
const RESTART_FRACTION: f64 = 0.4;

/// Cold-start properties of a service's servers.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct ColdRule {
    /// Time after its start for which a server is cold.
    pub time: Duration,
    /// Requests per second that a cold server is designed for.
    pub rate: f64,
}

/// Tolerated excess over the rate of a cold server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdSlack {
    /// Multiple of the rate.
    pub factor: f64,
    /// Requests per second on top of that.
    pub extra: f64,
}

/// Returns the maximum number of permits for one cold server within [`ColdTable::WINDOW`]; at
/// least one.
///
/// # Examples
/// ```
/// use std::time::Duration;
/// use toucanrail::coldstarts::{self, ColdRule, ColdSlack};
/// let rule = ColdRule { time: Duration::from_secs(3), rate: 10.0 };
/// let slack = ColdSlack { factor: 1.5, extra: 5.0 };
/// assert_eq!(coldstarts::permit_limit(rule, slack), 14);
/// ```
pub fn permit_limit(rule: ColdRule, slack: ColdSlack) -> usize {
    let max_rate = rule.rate * slack.factor + slack.extra;
    (max_rate * PERMIT_FRACTION).max(1.0) as usize
}

/// Permits that one relay has issued recently for cold servers, by server.
#[derive(Debug)]
pub struct ColdTable {
    started: Duration,
    rows: BTreeMap<BackendId, VecDeque<Duration>>,
}

impl ColdTable {
    /// Time over which permits are counted. The requests that arrive at a server within one second
    /// were permitted within that second or, before it, within the validity of a permit.
    pub const WINDOW: Duration = RATE_WINDOW.saturating_add(PERMIT_VALIDITY);

    /// Creates the table of a relay that was started at `started`.
    pub fn new(started: Duration) -> Self {
        Self { started, rows: BTreeMap::new() }
    }

    /// Takes a permit unless `limit` is reached. Returns the time until one is available, which is
    /// zero if it was taken. With [`NO_LIMIT`], nothing is recorded.
    ///
    /// Before a restart, the relay may have issued permits that this table does not know of, so
    /// fewer are issued at first.
    ///
    /// # Examples
    /// ```
    /// use std::{sync::Arc, time::Duration};
    /// use toucanrail::coldstarts::ColdTable;
    /// let (server, now) = (Arc::from("s"), Duration::from_secs(2));
    /// let mut table = ColdTable::new(Duration::ZERO);
    /// assert_eq!(table.take_permit(&server, 1, now), Duration::ZERO);
    /// assert_eq!(table.take_permit(&server, 1, now), ColdTable::WINDOW);
    /// ```
    pub fn take_permit(&mut self, server: &BackendId, limit: usize, now: Duration) -> Duration {
        if limit == NO_LIMIT {
            return Duration::ZERO;
        }
        let age = |issued_at: &Duration| now.saturating_sub(*issued_at);
        self.rows
            .retain(|_, row| row.back().is_some_and(|issued_at| age(issued_at) < Self::WINDOW));
        let row = self.rows.entry(Arc::clone(server)).or_default();
        while row.front().is_some_and(|issued_at| age(issued_at) >= Self::WINDOW) {
            row.pop_front();
        }
        let recently_started = age(&self.started) < Self::WINDOW;
        let fraction = if recently_started { RESTART_FRACTION } else { 1.0 };
        if row.len() < (limit as f64 * fraction).ceil() as usize {
            row.push_back(now);
            return Duration::ZERO;
        }
        let oldest =
            if recently_started { self.started } else { row.front().copied().unwrap_or(now) };
        Self::WINDOW.saturating_sub(age(&oldest))
    }
}
