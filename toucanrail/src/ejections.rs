//! Ejection of failing servers, and their gradual return.

use std::time::Duration;

use serde::Serialize;

/// Consecutive failures that eject a server.
const FAILURE_LIMIT: u32 = 3;
/// Duration of the first ejection; doubles with each consecutive ejection.
const EJECTION_BASE: Duration = Duration::from_secs(2);
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Time over which a returning server's share of the requests is restored.
const RAMP_TIME: Duration = Duration::from_secs(5);
/// Minimum share of a server that has just returned.
const MIN_RAMP_SHARE: f64 = 0.05;

/// Failures and ejections of one server, as seen by one entry.
#[derive(Debug, Clone, Default, Serialize)]
pub struct EjectionState {
    /// Consecutive failures.
    pub failures: u32,
    /// Consecutive ejections.
    pub ejections: u32,
    /// End of the current or latest ejection.
    pub until: Duration,
}

impl EjectionState {
    /// Records a failed attempt; enough consecutive failures eject the server for a while.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// let mut state = toucanrail::ejections::EjectionState::default();
    /// (0..3).for_each(|_| state.record_failure(Duration::ZERO));
    /// assert!(state.is_ejected(Duration::from_secs(1)));
    /// ```
    pub fn record_failure(&mut self, now: Duration) {
        self.failures += 1;
        if self.failures >= FAILURE_LIMIT {
            let time = EJECTION_BASE.saturating_mul(1 << self.ejections.min(5));
            self.until = now + time.min(MAX_EJECTION);
            self.ejections += 1;
            self.failures = 0;
        }
    }

    /// Records a successful attempt.
    pub fn record_success(&mut self, now: Duration) {
        self.failures = 0;
        if now.saturating_sub(self.until) > RAMP_TIME {
            self.ejections = 0;
        }
    }

    /// Returns whether the server is out of rotation.
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Returns whether a returning server takes this request, given a `random` number in `0..1`;
    /// the server's share of the requests grows from nearly nothing.
    pub fn passes_ramp(&self, now: Duration, random: f64) -> bool {
        let elapsed = now.saturating_sub(self.until).as_secs_f64();
        self.ejections == 0 || random < (elapsed / RAMP_TIME.as_secs_f64()).max(MIN_RAMP_SHARE)
    }
}
