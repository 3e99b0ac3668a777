//! When a refused caller is told to come back.
//!
//! The load it answers: callers that were all refused in the same moment. Most of them come back once, at the
//! time they are told, and are lost if they are refused again. So they are spread, and the time follows what
//! they wait for: another entry serves them at once, a full server soon, and an outage lasts.

use std::time::Duration;

/// Part of the time that a caller has left after which it does not come back any more.
const LONGEST_PART: f64 = 1.0 / 3.0;
/// Part of the longest wait over which callers are spread.
const SPREAD: f64 = 0.3;
/// Wait where another entry serves the caller.
const ELSEWHERE: Duration = Duration::from_millis(500);
/// Wait where the budget is granted elsewhere or a write was lost.
const GRANT_WAIT: Duration = Duration::from_millis(800);
/// Bounds of the wait after servers declined.
const DECLINED_LEAST: Duration = Duration::from_millis(250);
const DECLINED_SPREAD: Duration = Duration::from_millis(500);

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// This entry knows too little, or is cut off; others are not.
    Uninformed,
    /// The servers cannot begin it in time.
    Overload,
    /// Its budget cannot be confirmed at the moment.
    Unconfirmed,
    /// Its budget cannot be confirmed before the store is back.
    Outage,
    /// Every server that was tried declined, or none could be tried.
    Declined,
}

/// Returns when a caller with some time left is to come back; `random` in `0..1` spreads callers.
///
/// # Examples
/// ```
/// use std::time::Duration;
/// use toucanrail::retry_delays::{self, RefusalCause};
/// let left = Duration::from_secs(12);
/// assert_eq!(retry_delays::pick_delay(RefusalCause::Outage, left, 0.0), Duration::from_secs(4));
/// assert_eq!(retry_delays::pick_delay(RefusalCause::Declined, left, 0.0), Duration::from_millis(250));
/// ```
pub fn pick_delay(cause: RefusalCause, left: Duration, random: f64) -> Duration {
    let longest = left.mul_f64(LONGEST_PART);
    let wait = match cause {
        RefusalCause::Uninformed => ELSEWHERE,
        RefusalCause::Overload | RefusalCause::Outage => longest.mul_f64(1.0 - SPREAD * random),
        RefusalCause::Unconfirmed => GRANT_WAIT.mul_f64(0.75 + 0.5 * random),
        RefusalCause::Declined => DECLINED_LEAST + DECLINED_SPREAD.mul_f64(random),
    };
    wait.min(longest)
}
