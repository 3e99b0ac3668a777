//! Logs how many calls a process makes to the store, by kind.

use std::collections::BTreeMap;
use std::time::Duration;

use toucanrail_platform::stores::{self, CallCount};

/// Interval between two entries of the log.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Logs the calls made since the entry before, one line for each kind, until the process exits.
pub async fn log_calls() {
    let mut logged = BTreeMap::new();
    loop {
        smol::Timer::after(LOG_INTERVAL).await;
        let counts = stores::call_counts();
        for (kind, count) in &counts {
            let before: CallCount = logged.get(kind).copied().unwrap_or_default();
            let (calls, bytes) = (count.calls - before.calls, count.bytes - before.bytes);
            if calls > 0 {
                tracing::info!(event = "store_calls", kind, calls, bytes);
            }
        }
        logged = counts;
    }
}
