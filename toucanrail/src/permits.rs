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
