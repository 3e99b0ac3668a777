//! Permits, by which relays limit what all entries together send to a backend server.
//!
//! A server gets requests by permit only while it is cold ([`coldstarts`](crate::coldstarts)) or
//! states a rate limit ([`rate_limits`](crate::rate_limits)).

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::backends::BackendId;
use crate::coldstarts::{self, ColdTable};
use crate::rate_limits::{RateTable, StatedRate};

/// Time after the permit was requested within which the request must be sent.
pub const PERMIT_VALIDITY: Duration = Duration::from_millis(150);

/// If all servers need permits, a request waits for one for at most this fraction of the route's
/// latency target. Requests that wait for the same permit are spread over `PERMIT_JITTER`.
const PERMIT_WAIT_RATIO: f64 = 0.8;
const PERMIT_JITTER: Duration = Duration::from_millis(60);

/// Returns how long a request waits until a permit may be requested for its server, or `None` if
/// that would take too long. `delay` is the time until then, `elapsed` the age of the request, and
/// `random` in `0..1` spreads requests.
///
/// # Examples
/// ```
/// use std::time::Duration;
/// use toucanrail::permits;
/// let (target, millis) = (Duration::from_millis(200), Duration::from_millis);
/// assert_eq!(permits::pick_wait(millis(0), millis(190), target, 0.5), Some(millis(0)));
/// assert_eq!(permits::pick_wait(millis(50), millis(10), target, 0.5), Some(millis(80)));
/// assert_eq!(permits::pick_wait(millis(150), millis(10), target, 0.5), None);
/// ```
pub fn pick_wait(
    delay: Duration,
    elapsed: Duration,
    latency_target: Duration,
    random: f64,
) -> Option<Duration> {
    if delay.is_zero() {
        return Some(delay);
    }
    let wait = delay + PERMIT_JITTER.mul_f64(random);
    (elapsed + wait < latency_target.mul_f64(PERMIT_WAIT_RATIO)).then_some(wait)
}

/// An entry's request for a permit to send one request to a server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The server.
    pub server: BackendId,
    /// Maximum number of permits within [`ColdTable::WINDOW`], or [`coldstarts::NO_LIMIT`].
    pub limit: usize,
    /// The rate limit that the server stated, if any.
    #[serde(default)]
    pub stated: Option<StatedRate>,
}

impl PermitRequest {
    /// Returns whether the permit is for a cold server.
    pub fn is_for_cold(&self) -> bool {
        self.limit != coldstarts::NO_LIMIT
    }
}

/// A relay's reply to a permit request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitReply {
    /// The request may be sent now.
    Given,
    /// No permit is available for this time.
    After(Duration),
}

/// Permits that one relay issues.
#[derive(Debug)]
pub struct PermitTable {
    colds: ColdTable,
    rates: RateTable,
}

impl PermitTable {
    /// Creates the table of a relay that was started at `started`.
    pub fn new(started: Duration) -> Self {
        Self { colds: ColdTable::new(started), rates: RateTable::new() }
    }

    /// Issues a permit unless a limit is reached.
    ///
    /// # Examples
    /// ```
    /// use std::{sync::Arc, time::Duration};
    /// use toucanrail::coldstarts::ColdTable;
    /// use toucanrail::permits::{PermitReply, PermitRequest, PermitTable};
    /// let mut table = PermitTable::new(Duration::ZERO);
    /// let request = PermitRequest { server: Arc::from("s"), limit: 1, stated: None };
    /// let now = Duration::from_secs(2);
    /// assert_eq!(table.grant(&request, now), PermitReply::Given);
    /// assert_eq!(table.grant(&request, now), PermitReply::After(ColdTable::WINDOW));
    /// ```
    pub fn grant(&mut self, request: &PermitRequest, now: Duration) -> PermitReply {
        let PermitRequest { server, limit, stated } = request;
        let wait =
            stated.map_or(Duration::ZERO, |stated| self.rates.permit_delay(server, stated, now));
        if !wait.is_zero() {
            return PermitReply::After(wait);
        }
        let wait = self.colds.take_permit(server, *limit, now);
        if !wait.is_zero() {
            return PermitReply::After(wait);
        }
        self.rates.record_permit(server, now);
        PermitReply::Given
    }
}
