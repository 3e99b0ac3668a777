//! How long to wait for the store's next answer.
//!
//! The load it answers: a store that is slow for seconds, and one that is gone. The first must not be
//! taken for the second, or what is granted is kept back while more could be had.

use std::time::Duration;

/// Bounds of the wait. The store answers within milliseconds, or within some hundred while it is slow.
const WAIT_LEAST: Duration = Duration::from_millis(300);
const WAIT_LIMIT: Duration = Duration::from_millis(1_500);
/// Wait against what the last answer took.
const SLOW_FACTOR: u32 = 3;
/// What is left of a wait after an answer, where the answer allows less.
const DECAY: f64 = 0.8;

/// The wait for the next answer.
#[derive(Debug, Clone, Copy)]
pub struct AdaptiveTimeout {
    wait: Duration,
}

impl AdaptiveTimeout {
    /// Starts with the least wait.
    pub fn new() -> Self {
        Self { wait: WAIT_LEAST }
    }

    /// Returns how long to wait.
    pub fn wait(&self) -> Duration {
        self.wait
    }

    /// Notes an answer and the time it took; the wait shrinks, but not near to that time.
    ///
    /// A wait that shrank after each answer gave a store that took 356 ms up at every third call.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// let mut patience = toucanrail::timeouts::AdaptiveTimeout::new();
    /// patience.note_answer(Duration::from_millis(400));
    /// assert_eq!(patience.wait(), Duration::from_millis(1_200));
    /// ```
    pub fn note_answer(&mut self, took: Duration) {
        let wait = self.wait.mul_f64(DECAY).max(took * SLOW_FACTOR);
        self.wait = wait.clamp(WAIT_LEAST, WAIT_LIMIT);
    }

    /// Notes that there was no answer within the time that a call waited. Calls that run at the same
    /// time and fail together lengthen the wait once.
    pub fn note_timeout(&mut self, waited: Duration) {
        self.wait = self.wait.max(waited * 2).min(WAIT_LIMIT);
    }
}

impl Default for AdaptiveTimeout {
    fn default() -> Self {
        Self::new()
    }
}
