//! Retry budgets and back-off.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Serialize;

/// Retries that every fresh request allows.
const RETRY_SHARE: f64 = 0.1;
/// Retries in a window that need no fresh requests; lets a quiet process ride out the loss of one server.
const RETRY_RESERVE: f64 = 10.0;
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Steps in which a window slides.
const WINDOW_STEPS: u32 = 10;
const BACKOFF_BASE: Duration = Duration::from_millis(10);
const BACKOFF_LIMIT: Duration = Duration::from_millis(500);

/// The bounds of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct RetryBounds {
    /// Retries that every fresh request of the last window allows.
    pub share: f64,
    /// Retries in a window on top of that.
    pub reserve: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Default for RetryBounds {
    fn default() -> Self {
        Self { share: RETRY_SHARE, reserve: RETRY_RESERVE, window: RETRY_WINDOW }
    }
}

/// What happened in one step of the window.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct WindowBucket {
    number: u64,
    fresh: u32,
    spent: u32,
}

/// Bounds retries to a share of fresh traffic, so that a failing service is not hit harder for
/// failing.
///
/// Failures come in groups. A bucket that holds no more than the reserve wastes what a calm second
/// earned and refused half of the retries at an entry whose part of the fleet's reserve was 1.7; all of
/// the last window counts here, so that the same load had each failed lookup sent again.
#[derive(Debug, Clone, Serialize)]
pub struct RetryBudget {
    bounds: RetryBounds,
    /// The steps of the last window and one more, oldest first.
    steps: VecDeque<WindowBucket>,
    /// Retries refused for want of budget.
    pub refused: u64,
}

impl RetryBudget {
    /// Makes a budget of the usual size.
    pub fn new() -> Self {
        Self::with_bounds(RetryBounds::default())
    }

    /// Makes a budget.
    ///
    /// In no window are more retries spent than the reserve and the share of the fresh requests of the
    /// window that ends with the last retry. So processes that divide a reserve keep a bound on their
    /// sum without telling one another: their windows end at different times, and all of them lie
    /// within two of the fleet's.
    pub fn with_bounds(bounds: RetryBounds) -> Self {
        Self { bounds, steps: VecDeque::new(), refused: 0 }
    }

    /// Takes new bounds; what happened in the window still counts.
    pub fn set_bounds(&mut self, bounds: RetryBounds) {
        self.bounds = bounds;
    }

    /// Notes a fresh request.
    pub fn note_request(&mut self, now: Duration) {
        self.step_at(now).fresh += 1;
    }

    /// Takes one retry out of the budget, if there is one.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// let mut budget = toucanrail::retries::RetryBudget::new();
    /// let spent = (0..20).filter(|_| budget.try_spend(Duration::ZERO)).count();
    /// assert_eq!(spent, 10);
    /// ```
    pub fn try_spend(&mut self, now: Duration) -> bool {
        if !self.may_spend(now) {
            self.refused += 1;
            return false;
        }
        self.step_at(now).spent += 1;
        true
    }

    /// Tells whether a retry would be allowed now.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// let mut budget = toucanrail::retries::RetryBudget::new();
    /// assert!(budget.may_spend(Duration::ZERO));
    /// while budget.try_spend(Duration::ZERO) {}
    /// assert!(!budget.may_spend(Duration::ZERO));
    /// ```
    pub fn may_spend(&mut self, now: Duration) -> bool {
        let current = self.step_at(now).number;
        let RetryBounds { share, reserve, .. } = self.bounds;
        // A step that lies half outside counts for what was spent, and not for what allows more.
        let recent =
            self.steps.iter().filter(|step| step.number + u64::from(WINDOW_STEPS) > current);
        let fresh: u32 = recent.map(|step| step.fresh).sum();
        let spent: u32 = self.steps.iter().map(|step| step.spent).sum();
        f64::from(spent + 1) <= reserve + share * f64::from(fresh)
    }

    /// Returns the step of a moment, and forgets those that no window with it reaches.
    fn step_at(&mut self, now: Duration) -> &mut WindowBucket {
        let length = (self.bounds.window / WINDOW_STEPS).max(Duration::from_millis(1));
        let number = (now.as_millis() / length.as_millis()) as u64;
        self.steps.retain(|step| step.number + u64::from(WINDOW_STEPS) >= number);
        if self.steps.back().is_none_or(|step| step.number < number) {
            self.steps.push_back(WindowBucket { number, ..WindowBucket::default() });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns how long to wait before a try; `random` in `0..1` spreads the waits over the whole range.
///
/// # Examples
/// ```
/// use std::time::Duration;
/// assert_eq!(toucanrail::retries::backoff(1, 0.5), Duration::from_millis(10));
/// ```
pub fn backoff(attempt: u32, random: f64) -> Duration {
    let grown = BACKOFF_BASE.saturating_mul(1 << attempt.min(10));
    grown.min(BACKOFF_LIMIT).mul_f64(random.clamp(0.0, 1.0))
}
