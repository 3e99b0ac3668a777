//! The rate of requests that a server bears just after its start, shared by all entries.
//!
//! The load it answers: many servers that come back at once in the midst of a burst. They look idle, every
//! entry sends them its next prompts, and they crash. Entries do not know one another; so the relay beside
//! a cold server hands out permits, and an entry sends nothing there without one.
//!
//! Entries that have not heard of the server's start yet go on to send their usual part, and a relay that
//! was started again does not know what it gave before. [`permit_limit`] leaves room for both.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::backends::BackendId;

/// Time from the question for a permit in which the request must be sent.
pub const PERMIT_VALIDITY: Duration = Duration::from_millis(150);
/// The span in which arrivals at a cold server are counted.
const RATE_SPAN: Duration = Duration::from_secs(1);
/// Part of the arrivals that a cold server bears for which permits are given.
const PERMIT_PART: f64 = 0.7;
/// Part of its permits that a relay gives while some of an earlier run may still be in use.
const START_PART: f64 = 0.4;

/// How a service's servers start.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct ColdRule {
    /// How long a server is cold after its start.
    pub time: Duration,
    /// Requests in a second that a cold server is made for.
    pub rate: f64,
}

/// How far above its rate a cold server may be pressed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdSlack {
    /// Multiple of the rate.
    pub factor: f64,
    /// Requests in a second on top of that.
    pub extra: f64,
}

/// Returns the permits for one cold server in the time that [`PermitTable`] counts; one at least.
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
    let bound = rule.rate * slack.factor + slack.extra;
    (bound * PERMIT_PART).max(1.0) as usize
}

/// An entry asks whether it may send one request to a cold server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The server.
    pub server: BackendId,
    /// Permits in the time that is counted.
    pub limit: usize,
}

/// A relay's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// The request may be sent now.
    Given,
    /// None is to be had for this time.
    After(Duration),
}

/// The permits that one relay gave lately, by server.
#[derive(Debug)]
pub struct PermitTable {
    started: Duration,
    rows: BTreeMap<BackendId, VecDeque<Duration>>,
}

impl PermitTable {
    /// Time over which permits are counted. Those that arrive at a server within one second were given in
    /// the second before the last of them was sent or in the time that a permit is good for.
    pub const WINDOW: Duration = RATE_SPAN.saturating_add(PERMIT_VALIDITY);

    /// Makes a table at its relay's start.
    pub fn new(started: Duration) -> Self {
        Self { started, rows: BTreeMap::new() }
    }

    /// Gives a permit if few enough were given before.
    ///
    /// An earlier run of the relay may have given some that this one does not know, so that it gives fewer
    /// at first.
    ///
    /// # Examples
    /// ```
    /// use std::{sync::Arc, time::Duration};
    /// use toucanrail::coldstarts::{PermitRequest, PermitReply, PermitTable};
    /// let mut table = PermitTable::new(Duration::ZERO);
    /// let order = PermitRequest { server: Arc::from("s"), limit: 1 };
    /// let now = Duration::from_secs(2);
    /// assert_eq!(table.grant(&order, now), PermitReply::Given);
    /// assert_eq!(table.grant(&order, now), PermitReply::After(PermitTable::WINDOW));
    /// ```
    pub fn grant(&mut self, order: &PermitRequest, now: Duration) -> PermitReply {
        let age = |given: &Duration| now.saturating_sub(*given);
        self.rows.retain(|_, row| row.back().is_some_and(|given| age(given) < Self::WINDOW));
        let row = self.rows.entry(Arc::clone(&order.server)).or_default();
        while row.front().is_some_and(|given| age(given) >= Self::WINDOW) {
            row.pop_front();
        }
        let young = age(&self.started) < Self::WINDOW;
        let part = if young { START_PART } else { 1.0 };
        if row.len() < (order.limit as f64 * part).ceil() as usize {
            row.push_back(now);
            return PermitReply::Given;
        }
        let oldest = if young { self.started } else { row.front().copied().unwrap_or(now) };
        PermitReply::After(Self::WINDOW.saturating_sub(age(&oldest)))
    }
}
