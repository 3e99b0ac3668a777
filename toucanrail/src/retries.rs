//! Retry budgets and back-off.

use std::time::Duration;

use serde::Serialize;

/// Retries that every fresh request adds to the budget.
const RETRY_SHARE: f64 = 0.1;
/// Most retries saved up; lets a quiet process ride out the loss of one server.
const RETRY_RESERVE: f64 = 10.0;
const BACKOFF_BASE: Duration = Duration::from_millis(10);
const BACKOFF_LIMIT: Duration = Duration::from_millis(500);

/// Bounds retries to a share of fresh traffic, so that a failing service is not hit harder for
/// failing.
#[derive(Debug, Clone, Serialize)]
pub struct RetryBudget {
    share: f64,
    reserve: f64,
    saved: f64,
    /// Retries refused for want of budget.
    pub refused: u64,
}

impl RetryBudget {
    /// Makes a full budget of the usual size.
    pub fn new() -> Self {
        Self::with_bounds(RETRY_SHARE, RETRY_RESERVE)
    }

    /// Makes a full budget: each fresh request adds `share` retries, up to `reserve`.
    ///
    /// In no window are more retries spent than `reserve` and `share` of its fresh requests. So
    /// processes that divide a reserve keep a bound on their sum without telling one another.
    pub fn with_bounds(share: f64, reserve: f64) -> Self {
        Self { share, reserve, saved: reserve, refused: 0 }
    }

    /// Notes a fresh request.
    pub fn note_fresh(&mut self) {
        self.saved = (self.saved + self.share).min(self.reserve);
    }

    /// Takes one retry out of the budget, if there is one.
    ///
    /// # Examples
    /// ```
    /// let mut budget = toucanrail::retries::RetryBudget::new();
    /// let spent = (0..20).filter(|_| budget.try_spend()).count();
    /// assert_eq!(spent, 10);
    /// ```
    pub fn try_spend(&mut self) -> bool {
        if self.saved < 1.0 {
            self.refused += 1;
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns how long to wait before a try; `dice` in `0..1` spreads the waits over the whole range.
///
/// # Examples
/// ```
/// use std::time::Duration;
/// assert_eq!(toucanrail::retries::backoff(1, 0.5), Duration::from_millis(10));
/// ```
pub fn backoff(attempt: u32, dice: f64) -> Duration {
    let grown = BACKOFF_BASE.saturating_mul(1 << attempt.min(10));
    grown.min(BACKOFF_LIMIT).mul_f64(dice.clamp(0.0, 1.0))
}
