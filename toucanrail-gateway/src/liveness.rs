//! Checks servers that do not respond, through the load reports of the relays beside them.

use std::time::Duration;

use toucanrail::backends::{BackendEntry, BackendId};
use toucanrail::paces::BackendReport;
use toucanrail::silences::{RunStatus, SilenceDetector, SilenceVerdict};

use crate::relay_api::REPORT_PATH;
use crate::relay_client;
use crate::request_context::AttemptContext;
use crate::state::Gateway;

/// Maximum wait for a relay, which in turn queries the server beside it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);
/// Age up to which a report is shared by all requests that wait for the same server.
const MAX_REPORT_AGE: Duration = Duration::from_millis(100);
/// Interval between two checks for the same request.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Result of a query for a load report.
#[derive(Debug)]
pub struct CachedReport {
    taken_at: Duration,
    report: Option<BackendReport>,
}

/// Returns a server's load as reported by its relay, at most a few tenths of a second old. Returns
/// `None` if the server or the relay does not respond.
pub async fn fetch_load(gateway: &Gateway, target: &BackendEntry) -> Option<BackendReport> {
    let row = gateway.load_reports.row(&target.id);
    // Held during the query, so that concurrent requests wait for its result.
    let mut row = row.lock().await;
    let now = gateway.now();
    let cached = match row.take().filter(|row| now.saturating_sub(row.taken_at) < MAX_REPORT_AGE) {
        Some(cached) => cached,
        None => {
            CachedReport { report: request_report(gateway, target).await, taken_at: gateway.now() }
        }
    };
    let report = cached.report.clone();
    *row = Some(cached);
    report
}

/// Returns the age of the last load report of a server, or `None` if there is none or a new one is
/// being fetched.
pub fn report_age(gateway: &Gateway, server: &BackendId) -> Option<Duration> {
    let row = gateway.load_reports.find(server)?;
    let row = row.try_lock()?;
    let cached = row.as_ref().filter(|cached| cached.report.is_some())?;
    Some(gateway.now().saturating_sub(cached.taken_at))
}

async fn request_report(gateway: &Gateway, server: &BackendEntry) -> Option<BackendReport> {
    let (relay, address) = gateway.store.relay_at(server.address.ip())?;
    let timeout = REPORT_TIMEOUT;
    let reply = relay_client::call_relay(gateway, &relay, address, REPORT_PATH, &(), timeout).await;
    reply.unwrap_or_else(|error| {
        tracing::debug!(event = "look_failed", server = %server.id, %error);
        None
    })
}

/// Waits until an unresponsive server should be given up. The first check is made after `delay`.
pub async fn wait_until_lost(context: &AttemptContext<'_, '_>, delay: Duration) {
    let mut detector = SilenceDetector::default();
    smol::Timer::after(delay).await;
    while !check_lost(context, &mut detector, 0).await {
        smol::Timer::after(CHECK_INTERVAL).await;
    }
}

/// Checks once whether a request that has received `received` events should be given up: either its
/// response will never arrive, or nothing is known of the server and a retry is available.
pub async fn check_lost(
    context: &AttemptContext<'_, '_>,
    detector: &mut SilenceDetector,
    received: u64,
) -> bool {
    let AttemptContext { gateway, plan, target, .. } = *context;
    let report = fetch_load(gateway, target).await;
    let status = report.as_ref().map(|report| RunStatus::find(report, &plan.info.id));
    let verdict = detector.judge(status, received);
    let lost = match verdict {
        SilenceVerdict::Works => false,
        SilenceVerdict::Lost => true,
        SilenceVerdict::Unseen => gateway.may_retry(&plan.service),
    };
    if lost {
        tracing::info!(
            event = "silence_judged", request = %plan.info.id, server = %target.id,
            verdict = ?verdict, received, waiting = status.map(|status| status.waiting),
            events = status.and_then(|status| status.events),
        );
    }
    lost
}
