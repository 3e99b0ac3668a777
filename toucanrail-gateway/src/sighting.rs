//! Looks at servers that do not answer, through the relays beside them.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use smol::lock::Mutex;
use toucanrail::backends::{BackendEntry, BackendId};
use toucanrail::paces::BackendReport;
use toucanrail::silences::{RunStatus, SilenceDetector, SilenceVerdict};

use crate::calls::AttemptContext;
use crate::lending::REPORT_PATH;
use crate::peering;
use crate::states::Gateway;

/// Longest wait for a relay, which asks the server beside it.
const SIGHT_BOUND: Duration = Duration::from_millis(600);
/// Age up to which the requests that wait at a server share a report.
const SIGHT_AGE: Duration = Duration::from_millis(100);
/// Time between two looks of one request.
const SIGHT_PAUSE: Duration = Duration::from_millis(300);

#[derive(Debug)]
struct SightRow {
    taken_at: Duration,
    report: Option<BackendReport>,
}

/// The last report of each server that was looked at.
#[derive(Debug, Default)]
pub struct SightBoard {
    rows: RefCell<BTreeMap<BackendId, Rc<Mutex<Option<SightRow>>>>>,
}

impl SightBoard {
    fn row(&self, server: &BackendId) -> Rc<Mutex<Option<SightRow>>> {
        let mut rows = self.rows.borrow_mut();
        Rc::clone(rows.entry(Arc::clone(server)).or_default())
    }

    /// Forgets the servers that are gone.
    pub fn retain<Known>(&self, is_known: Known)
    where
        Known: Fn(&BackendId) -> bool,
    {
        self.rows.borrow_mut().retain(|server, _| is_known(server));
    }
}

/// Returns a server's load as its relay tells it, some tenths of a second old at most; none where either
/// of them does not answer.
pub async fn see_load(gateway: &Gateway, target: &BackendEntry) -> Option<BackendReport> {
    let row = gateway.sights.row(&target.id);
    // Held through the look: who comes meanwhile waits for this one.
    let mut row = row.lock().await;
    let now = gateway.now();
    let seen = match row.take().filter(|row| now.saturating_sub(row.taken_at) < SIGHT_AGE) {
        Some(seen) => seen,
        None => SightRow { report: ask_report(gateway, target).await, taken_at: gateway.now() },
    };
    let report = seen.report.clone();
    *row = Some(seen);
    report
}

async fn ask_report(gateway: &Gateway, server: &BackendEntry) -> Option<BackendReport> {
    let (relay, address) = gateway.store.relay_at(server.address.ip())?;
    let bound = SIGHT_BOUND;
    let asked = peering::call_peer(gateway, &relay, address, REPORT_PATH, &(), bound).await;
    asked.unwrap_or_else(|error| {
        tracing::debug!(event = "look_failed", server = %server.id, %error);
        None
    })
}

/// Waits until a server that does not answer is to be given up.
pub async fn watch_silence(context: &AttemptContext<'_, '_>, patience: Duration) {
    let mut watch = SilenceDetector::default();
    smol::Timer::after(patience).await;
    while !is_lost(context, &mut watch, 0).await {
        smol::Timer::after(SIGHT_PAUSE).await;
    }
}

/// Takes a look for one request that has `received` events, and tells whether it is to be given up: no
/// answer will come, or there is no sign of the server and another one may be tried instead.
pub async fn is_lost(
    context: &AttemptContext<'_, '_>,
    watch: &mut SilenceDetector,
    received: u64,
) -> bool {
    let AttemptContext { gateway, plan, target, .. } = *context;
    let report = see_load(gateway, target).await;
    let sight = report.as_ref().map(|report| RunStatus::find(report, &plan.facts.id));
    let verdict = watch.judge(sight, received);
    let lost = match verdict {
        SilenceVerdict::Works => false,
        SilenceVerdict::Lost => true,
        SilenceVerdict::Unseen => gateway.may_retry(&plan.service),
    };
    if lost {
        tracing::info!(
            event = "silence_judged", request = %plan.facts.id, server = %target.id,
            verdict = ?verdict, received, waiting = sight.map(|sight| sight.waiting),
            events = sight.and_then(|sight| sight.events),
        );
    }
    lost
}
