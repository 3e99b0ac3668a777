//! Choice of the relay that issues the permits for a backend server's rate limit.
//!
//! It is the relay beside the server, or the first by rank if there is none. When that relay stops
//! responding, the next one stands in for it; otherwise the server would get no requests until the
//! relay is back.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::endpoints::RelayName;
use crate::rate_limits::StatedRate;

/// Time without a response after which the next relay stands in; a relay that was killed is back
/// sooner.
const FAILOVER_TIME: Duration = Duration::from_secs(2);
/// Interval at which a relay that another one stands in for is asked again. Meanwhile both may
/// issue permits to different entries.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time after a failure from which the relay is not considered to fail any more.
const ROW_RETENTION: Duration = Duration::from_secs(10);
/// Fraction of a rate limit for which a relay on another VM than the server's issues permits.
/// Entries that list or reach different relays may ask two of them.
const REMOTE_FRACTION: f64 = 0.6;

/// A relay that may issue permits for a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PermitRelay {
    /// Name of the relay.
    pub name: RelayName,
    /// Address at which it serves entries.
    pub address: SocketAddr,
    /// Whether it runs on the server's VM.
    pub is_beside: bool,
}

impl PermitRelay {
    /// Returns the rate at which this relay is to issue permits.
    pub fn scale_rate(&self, stated: StatedRate) -> StatedRate {
        let fraction = if self.is_beside { 1.0 } else { REMOTE_FRACTION };
        StatedRate { rate: stated.rate * fraction, ..stated }
    }
}

#[derive(Debug, Clone, Copy)]
struct FailureRow {
    since: Duration,
    retry_at: Duration,
}

/// Relays that did not respond to permit requests.
#[derive(Debug, Default)]
pub struct RelayFailures {
    rows: BTreeMap<RelayName, FailureRow>,
}

impl RelayFailures {
    /// Picks the relay to ask from `relays`, which are in order of preference. Returns `None` if
    /// none is to be asked now.
    ///
    /// # Examples
    /// ```
    /// use toucanrail::permit_relays::RelayFailures;
    /// assert!(RelayFailures::default().pick_relay(&[], Default::default()).is_none());
    /// ```
    pub fn pick_relay<'relays>(
        &self,
        relays: &'relays [PermitRelay],
        now: Duration,
    ) -> Option<&'relays PermitRelay> {
        relays.iter().find(|relay| self.should_ask(&relay.name, now))
    }

    fn should_ask(&self, relay: &str, now: Duration) -> bool {
        self.rows
            .get(relay)
            .is_none_or(|row| now.saturating_sub(row.since) < FAILOVER_TIME || now >= row.retry_at)
    }

    /// Records that a relay did not respond.
    pub fn record_failure(&mut self, relay: &RelayName, now: Duration) {
        self.rows.retain(|_, row| now.saturating_sub(row.retry_at) < ROW_RETENTION);
        let retry_at = now + RETRY_INTERVAL;
        let row = self.rows.entry(Arc::clone(relay)).or_insert(FailureRow { since: now, retry_at });
        row.retry_at = retry_at;
    }

    /// Records that a relay responded.
    pub fn record_response(&mut self, relay: &str) {
        self.rows.remove(relay);
    }
}
