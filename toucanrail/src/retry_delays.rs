//! Delays after which refused callers should retry.
//!
//! Many callers may be refused at the same moment. Most of them retry once, after the delay they
//! were given, and are lost if they are refused again. The delays are therefore spread, and depend
//! on the cause: another entry can serve the caller at once, a full server has free slots soon, a
//! server that rests says for how long, and an outage lasts longer.

use std::time::Duration;

/// Fraction of a caller's remaining time after which it no longer retries.
const MAX_FRACTION: f64 = 1.0 / 3.0;
/// Fraction of the longest delay over which callers are spread.
const JITTER: f64 = 0.3;
/// Mean delay if another entry can serve the caller; it is varied by up to a quarter.
const OTHER_ENTRY_DELAY: Duration = Duration::from_millis(500);
/// Mean delay if the budget is granted elsewhere or a write was lost; varied alike.
const GRANT_DELAY: Duration = Duration::from_millis(800);
/// Mean delay if this entry or its link has no room for the request; it is varied by up to half.
const FULL_ENTRY_DELAY: Duration = Duration::from_millis(500);
/// Minimum and spread of the delay after servers declined.
const MIN_DECLINED_DELAY: Duration = Duration::from_millis(250);
const DECLINED_JITTER: Duration = Duration::from_millis(500);

/// Reason for which a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// This entry lacks information or is cut off, while other entries are not.
    Uninformed,
    /// This entry has no memory left for the request.
    FullEntry,
    /// This entry's network link has no share left for the request until this time has passed.
    FullLink(Duration),
    /// The servers cannot begin the request in time.
    Overload,
    /// The customer's budget cannot be confirmed at the moment.
    Unconfirmed,
    /// The customer's budget cannot be confirmed until the store is available again.
    Outage,
    /// No server of the software version that began a stream is left; one may start again.
    VersionGone,
    /// Every server that was tried declined, or none could be tried.
    Declined,
    /// Servers ended under the request, or under others like it.
    HeldBack,
    /// All servers rest; the first of them takes requests again after this time.
    Resting(Duration),
}

/// Returns the delay after which a caller with `left` of its time should retry; `random` in `0..1`
/// spreads callers.
///
/// # Examples
/// ```
/// use std::time::Duration;
/// use toucanrail::retry_delays::{self, RefusalCause};
/// let left = Duration::from_secs(12);
/// assert_eq!(retry_delays::pick_delay(RefusalCause::Outage, left, 0.0), Duration::from_secs(4));
/// assert_eq!(
///     retry_delays::pick_delay(RefusalCause::Declined, left, 0.0),
///     Duration::from_millis(250),
/// );
/// ```
pub fn pick_delay(cause: RefusalCause, left: Duration, random: f64) -> Duration {
    let longest = left.mul_f64(MAX_FRACTION);
    let delay = match cause {
        RefusalCause::Uninformed => OTHER_ENTRY_DELAY.mul_f64(0.75 + 0.5 * random),
        RefusalCause::FullEntry => FULL_ENTRY_DELAY.mul_f64(0.5 + random),
        RefusalCause::FullLink(wait) => wait.saturating_add(FULL_ENTRY_DELAY.mul_f64(0.5 + random)),
        RefusalCause::Overload
        | RefusalCause::Outage
        | RefusalCause::VersionGone
        | RefusalCause::HeldBack => longest.mul_f64(1.0 - JITTER * random),
        RefusalCause::Unconfirmed => GRANT_DELAY.mul_f64(0.75 + 0.5 * random),
        RefusalCause::Declined => MIN_DECLINED_DELAY + DECLINED_JITTER.mul_f64(random),
        RefusalCause::Resting(rest) => rest.saturating_add(DECLINED_JITTER.mul_f64(random)),
    };
    delay.min(longest)
}
