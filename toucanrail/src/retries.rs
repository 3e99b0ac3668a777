//! Retry budgets and backoff.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::Serialize;

/// Retries allowed per original request.
const RETRY_SHARE: f64 = 0.1;
/// Retries per window that require no original requests, so that a process with little traffic
/// survives the loss of one server.
const RETRY_RESERVE: f64 = 10.0;
const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Number of buckets in a window.
const WINDOW_BUCKETS: u32 = 10;
const BACKOFF_BASE: Duration = Duration::from_millis(10);
const BACKOFF_LIMIT: Duration = Duration::from_millis(500);

/// Limits of a retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct RetryLimits {
    /// Retries allowed per original request of the latest window.
    pub share: f64,
    /// Additional retries per window.
    pub reserve: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Default for RetryLimits {
    fn default() -> Self {
        Self { share: RETRY_SHARE, reserve: RETRY_RESERVE, window: RETRY_WINDOW }
    }
}

/// Counts in one bucket of the window.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct WindowBucket {
    number: u64,
    #[serde(rename = "fresh")]
    requests: u32,
    spent: u32,
}

/// Limits retries to a share of the original requests, so that a failing service does not get more
/// load because it fails.
///
/// Failures come in groups. A token bucket that holds no more than the reserve discards what a
/// quiet second has earned; at an entry whose part of the fleet's reserve was 1.7, it refused half
/// of the retries. This budget counts the whole latest window, and under the same load every failed
/// lookup was retried.
#[derive(Debug, Clone, Serialize)]
pub struct RetryBudget {
    #[serde(rename = "bounds")]
    limits: RetryLimits,
    /// Buckets of the latest window and one more, oldest first.
    #[serde(rename = "steps")]
    buckets: VecDeque<WindowBucket>,
    /// Retries refused because the budget was exhausted.
    pub refused: u64,
}

impl RetryBudget {
    /// Creates a budget with the default limits.
    pub fn new() -> Self {
        Self::with_limits(RetryLimits::default())
    }

    /// Creates a budget.
    ///
    /// In every window, the retries are limited to the reserve plus the share of the original
    /// requests in the window that ends with the last retry. Processes that divide a reserve among
    /// themselves thus keep a bound on their total without coordination: their windows end at
    /// different times, and all of them lie within two windows of the fleet.
    pub fn with_limits(limits: RetryLimits) -> Self {
        Self { limits, buckets: VecDeque::new(), refused: 0 }
    }

    /// Replaces the limits; requests and retries already counted in the window are kept.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        let old_length = bucket_millis(self.limits.window);
        let length = bucket_millis(limits.window);
        self.limits = limits;
        if length == old_length {
            return;
        }
        let mut buckets: BTreeMap<u64, WindowBucket> = BTreeMap::new();
        // Where a bucket overlaps several new ones, retries count as late as they may have been
        // made, and requests as early.
        for bucket in std::mem::take(&mut self.buckets) {
            let first = bucket.number.saturating_mul(old_length);
            let last = first.saturating_add(old_length - 1);
            buckets.entry(first / length).or_default().requests += bucket.requests;
            buckets.entry(last / length).or_default().spent += bucket.spent;
        }
        let renumber = |(number, bucket)| WindowBucket { number, ..bucket };
        self.buckets = buckets.into_iter().map(renumber).collect();
    }

    /// Records an original request.
    pub fn record_request(&mut self, now: Duration) {
        self.bucket_at(now).requests += 1;
    }

    /// Spends one retry of the budget; returns false if none is left.
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
        self.bucket_at(now).spent += 1;
        true
    }

    /// Returns whether a retry would be allowed now.
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
        let current = self.bucket_at(now).number;
        let RetryLimits { share, reserve, .. } = self.limits;
        // A bucket that is only partly inside the window counts for its retries, but not for its
        // original requests.
        let recent = self
            .buckets
            .iter()
            .filter(|bucket| bucket.number + u64::from(WINDOW_BUCKETS) > current);
        let requests: u32 = recent.map(|bucket| bucket.requests).sum();
        let spent: u32 = self.buckets.iter().map(|bucket| bucket.spent).sum();
        f64::from(spent + 1) <= reserve + share * f64::from(requests)
    }

    /// Returns the bucket of a time, and drops those that are outside every window containing it.
    fn bucket_at(&mut self, now: Duration) -> &mut WindowBucket {
        let number = now.as_millis() as u64 / bucket_millis(self.limits.window);
        self.buckets.retain(|bucket| bucket.number + u64::from(WINDOW_BUCKETS) >= number);
        if self.buckets.back().is_none_or(|bucket| bucket.number < number) {
            self.buckets.push_back(WindowBucket { number, ..WindowBucket::default() });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}

/// Returns the length of a bucket in milliseconds, at least 1.
fn bucket_millis(window: Duration) -> u64 {
    ((window / WINDOW_BUCKETS).as_millis() as u64).max(1)
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the delay before an attempt; `random` in `0..1` spreads the delays over the whole range.
///
/// # Examples
/// ```
/// use std::time::Duration;
/// assert_eq!(toucanrail::retries::backoff(1, 0.5), Duration::from_millis(10));
/// ```
pub fn backoff(attempt: u32, random: f64) -> Duration {
    let delay = BACKOFF_BASE.saturating_mul(1 << attempt.min(10));
    delay.min(BACKOFF_LIMIT).mul_f64(random.clamp(0.0, 1.0))
}
