//! Ejection of a server that fails, and its gradual return.

use std::time::Duration;

use serde::Serialize;

/// Failures in a row that eject a server.
const FAILURE_LIMIT: u32 = 3;
/// First time out of rotation; doubles with each ejection in a row.
const EJECTION_BASE: Duration = Duration::from_secs(2);
const EJECTION_LIMIT: Duration = Duration::from_secs(30);
/// Time over which a returning server's share grows back.
const RETURN_RAMP: Duration = Duration::from_secs(5);
/// Least share of a server that has just returned.
const RETURN_SHARE: f64 = 0.05;

/// What an entry holds against one server.
#[derive(Debug, Clone, Default, Serialize)]
pub struct EjectionState {
    /// Failures in a row.
    pub failures: u32,
    /// Ejections in a row.
    pub ejections: u32,
    /// End of the present ejection.
    pub until: Duration,
}

impl EjectionState {
    /// Notes a failed try; enough in a row eject the server for a while.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// let mut state = toucanrail::ejections::EjectionState::default();
    /// (0..3).for_each(|_| state.note_failure(Duration::ZERO));
    /// assert!(state.is_ejected(Duration::from_secs(1)));
    /// ```
    pub fn note_failure(&mut self, now: Duration) {
        self.failures += 1;
        if self.failures >= FAILURE_LIMIT {
            let time = EJECTION_BASE.saturating_mul(1 << self.ejections.min(5));
            self.until = now + time.min(EJECTION_LIMIT);
            self.ejections += 1;
            self.failures = 0;
        }
    }

    /// Notes a try that went well.
    pub fn note_success(&mut self, now: Duration) {
        self.failures = 0;
        if now.saturating_sub(self.until) > RETURN_RAMP {
            self.ejections = 0;
        }
    }

    /// Tells whether the server is out of rotation.
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Tells whether a returning server takes this request; its share grows from nearly nothing.
    pub fn passes_ramp(&self, now: Duration, random: f64) -> bool {
        let back = now.saturating_sub(self.until).as_secs_f64();
        self.ejections == 0 || random < (back / RETURN_RAMP.as_secs_f64()).max(RETURN_SHARE)
    }
}
