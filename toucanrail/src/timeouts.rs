//! Adaptive timeout of calls to the store.
//!
//! A store that is slow for seconds must not be mistaken for one that is unavailable: otherwise
//! entries hold back what they were granted while they could get more.

use std::time::Duration;

/// Bounds of the timeout. The store answers within milliseconds, or within some hundreds of
/// milliseconds while it is slow.
const MIN_WAIT: Duration = Duration::from_millis(300);
const MAX_WAIT: Duration = Duration::from_millis(1_500);
/// Timeout as a multiple of the latest response time.
const RESPONSE_TIME_FACTOR: u32 = 3;
/// Factor by which the timeout shrinks after a response, if the response time allows it.
const DECAY_FACTOR: f64 = 0.8;

/// Timeout of the next call.
#[derive(Debug, Clone, Copy)]
pub struct AdaptiveTimeout {
    wait: Duration,
}

impl AdaptiveTimeout {
    /// Creates a timeout with its minimum value.
    pub fn new() -> Self {
        Self { wait: MIN_WAIT }
    }

    /// Returns how long to wait for a response.
    pub fn wait(&self) -> Duration {
        self.wait
    }

    /// Records a response and the time it took. The timeout shrinks, but stays well above that
    /// time.
    ///
    /// When the timeout shrank after every response, every third call to a store that took 356 ms
    /// timed out.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// let mut timeout = toucanrail::timeouts::AdaptiveTimeout::new();
    /// timeout.record_response(Duration::from_millis(400));
    /// assert_eq!(timeout.wait(), Duration::from_millis(1_200));
    /// ```
    pub fn record_response(&mut self, took: Duration) {
        let wait = self.wait.mul_f64(DECAY_FACTOR).max(took * RESPONSE_TIME_FACTOR);
        self.wait = wait.clamp(MIN_WAIT, MAX_WAIT);
    }

    /// Records that no response arrived within the time that a call waited. Concurrent calls that
    /// fail together increase the timeout only once.
    pub fn record_timeout(&mut self, waited: Duration) {
        self.wait = self.wait.max(waited * 2).min(MAX_WAIT);
    }
}

impl Default for AdaptiveTimeout {
    fn default() -> Self {
        Self::new()
    }
}
