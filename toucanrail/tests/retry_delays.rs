//! Delays after which refused callers retry.

use std::time::Duration;

use toucanrail::retry_delays::{self, RefusalCause};

const OUTAGE: Duration = Duration::from_secs(7);
const LEFT: Duration = Duration::from_secs(10);
const CALLERS: u32 = 1_000;

/// Returns the fraction of the callers refused during the outage that retry, once, after its end.
fn served_fraction(cause: RefusalCause) -> f64 {
    let served = (0..CALLERS).filter(|number| {
        let refused_at = OUTAGE * *number / CALLERS;
        let random = f64::from(number * 7 % 10) / 10.0;
        refused_at + retry_delays::pick_delay(cause, LEFT, random) >= OUTAGE
    });
    served.count() as f64 / f64::from(CALLERS)
}

/// The store is unavailable for seven seconds. Callers that retried within one second were refused
/// again and lost; as many as can wait for the end of the outage should retry after it.
#[test]
fn retry_after_outage() {
    let longest = LEFT.as_secs_f64() / 3.0 / OUTAGE.as_secs_f64();
    assert!(served_fraction(RefusalCause::Outage) > longest * 0.8);
    assert!(served_fraction(RefusalCause::Unconfirmed) < longest * 0.4);
}

/// Callers refused together must not retry together, and none is told to retry later than it would.
#[test]
fn spread_retries() {
    let causes = [
        RefusalCause::Uninformed,
        RefusalCause::FullEntry,
        RefusalCause::FullLink(Duration::from_millis(200)),
        RefusalCause::Overload,
        RefusalCause::Outage,
        RefusalCause::Unconfirmed,
        RefusalCause::Declined,
        RefusalCause::Resting(Duration::from_secs(1)),
    ];
    for cause in causes {
        let waits = [0.0, 0.5, 0.99].map(|random| retry_delays::pick_delay(cause, LEFT, random));
        assert!(waits[0] != waits[1] && waits[1] != waits[2], "{cause:?}");
        assert!(waits.iter().all(|wait| *wait <= LEFT / 3), "{cause:?}");
        let short = retry_delays::pick_delay(cause, Duration::from_millis(300), 0.5);
        assert!(short <= Duration::from_millis(100), "{cause:?}");
    }
}

/// All servers rest. Callers that retried before the first of them takes requests again were
/// refused a second time.
#[test]
fn retry_after_rest() {
    let rest = Duration::from_secs(2);
    for random in [0.0, 0.5, 0.99] {
        assert!(retry_delays::pick_delay(RefusalCause::Resting(rest), LEFT, random) >= rest);
    }
}
