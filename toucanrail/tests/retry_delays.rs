//! When refused callers come back.

use std::time::Duration;

use toucanrail::retry_delays::{self, RefusalCause};

const OUTAGE: Duration = Duration::from_secs(7);
const LEFT: Duration = Duration::from_secs(10);
const CALLERS: u32 = 1_000;

/// Returns the parts of the callers refused through the outage that find it over when they come back once.
fn count_served(cause: RefusalCause) -> f64 {
    let served = (0..CALLERS).filter(|number| {
        let refused_at = OUTAGE * *number / CALLERS;
        let random = f64::from(number * 7 % 10) / 10.0;
        refused_at + retry_delays::pick_delay(cause, LEFT, random) >= OUTAGE
    });
    served.count() as f64 / f64::from(CALLERS)
}

/// The store is away for seven seconds. Callers who came back within one second were refused a second time
/// and lost; as many as can wait for its return are to find it there.
#[test]
fn back_after_outage() {
    let longest = LEFT.as_secs_f64() / 3.0 / OUTAGE.as_secs_f64();
    assert!(count_served(RefusalCause::Outage) > longest * 0.8);
    assert!(count_served(RefusalCause::Unconfirmed) < longest * 0.4);
}

/// Callers refused together do not return together, and none is told to come back later than it will.
#[test]
fn spread_returns() {
    let causes = [
        RefusalCause::Overload,
        RefusalCause::Outage,
        RefusalCause::Unconfirmed,
        RefusalCause::Declined,
    ];
    for cause in causes {
        let waits = [0.0, 0.5, 0.99].map(|random| retry_delays::pick_delay(cause, LEFT, random));
        assert!(waits[0] != waits[1] && waits[1] != waits[2], "{cause:?}");
        assert!(waits.iter().all(|wait| *wait <= LEFT / 3), "{cause:?}");
        let short = retry_delays::pick_delay(cause, Duration::from_millis(300), 0.5);
        assert!(short <= Duration::from_millis(100), "{cause:?}");
    }
}
