//! Reports of this entry's link to the relay that decides which entries of the data centre are in
//! rotation, and the orders that it replies with.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use toucanrail::endpoints::LocatedRelay;
use toucanrail::link_shares;
use toucanrail::relay_backoffs::BackoffTable;
use toucanrail::relay_ranks;
use toucanrail::rotations::{RotationOrder, RotationReport};

use crate::relay_api::ROTATION_PATH;
use crate::relay_client;
use crate::state::Gateway;

/// Purpose by which the relays are ranked.
const RANK_PURPOSE: &str = "rotation";
/// Time between two reports, and between urgent ones.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
const URGENT_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a report; a live relay replies within a few milliseconds.
const REPORT_TIMEOUT: Duration = Duration::from_millis(150);
/// Timeout while the entry's own link is loaded, which may delay replies by a second and more.
const LOADED_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Backoff of a relay that did not respond. It does not grow, since entries that ask different
/// relays are decided about separately.
const BACKOFF: Duration = Duration::from_secs(3);
/// Maximum number of relays that get one report.
const MAX_RELAYS: usize = 2;

/// Sends reports until the process exits. Returns at once if the settings state no capacity of the
/// link.
pub async fn send_reports(gateway: Rc<Gateway>) {
    let Some(capacity) = gateway.settings.link_capacity else {
        return;
    };
    let (process, mut failed) = (fastrand::u64(..), BackoffTable::default());
    loop {
        await_report(&gateway).await;
        for relay in list_relays(&gateway, &failed) {
            let report = make_report(&gateway, capacity, process);
            if send_report(&gateway, &relay, &report, &mut failed).await {
                break;
            }
        }
    }
}

/// Waits until the next report is due.
async fn await_report(gateway: &Gateway) {
    let mut waited = Duration::ZERO;
    while waited < REPORT_INTERVAL
        && (waited.is_zero() || !gateway.link.is_report_urgent(gateway.now()))
    {
        smol::Timer::after(URGENT_INTERVAL).await;
        waited += URGENT_INTERVAL;
    }
}

/// Returns the relays of this data centre that get the report, in the order of their ranks.
fn list_relays(gateway: &Gateway, failed: &BackoffTable) -> Vec<LocatedRelay> {
    let (relays, now) = (gateway.store.located_relays(), gateway.now());
    let seed = relay_ranks::rank_seed(RANK_PURPOSE);
    let ranked = relay_ranks::rank_centres(&relays, seed).into_iter().flatten();
    let is_near = |relay: &&LocatedRelay| relay.data_centre == gateway.settings.data_centre;
    let responds = |relay: &&LocatedRelay| !failed.is_active(&relay.name, now);
    ranked.filter(is_near).filter(responds).take(MAX_RELAYS).cloned().collect()
}

fn make_report(gateway: &Gateway, capacity: f64, process: u64) -> RotationReport {
    let settings = &gateway.settings;
    RotationReport {
        entry: Arc::clone(&settings.vm),
        process,
        data_centre: Arc::clone(&settings.data_centre),
        capacity,
        load: gateway.link.load(),
        out: gateway.link.is_away(gateway.now()),
        stopping: gateway.stop_requested.get().is_some(),
    }
}

/// Sends a report to a relay and applies its order. Returns false if another relay should get the
/// report. Another one would not reply sooner over a loaded link, and knows less of the entries.
async fn send_report(
    gateway: &Gateway,
    relay: &LocatedRelay,
    report: &RotationReport,
    failed: &mut BackoffTable,
) -> bool {
    let LocatedRelay { name, address, .. } = relay;
    let (path, sent_at) = (ROTATION_PATH, gateway.now());
    let is_loaded = link_shares::is_loaded(report.load);
    let timeout = if is_loaded { LOADED_TIMEOUT } else { REPORT_TIMEOUT };
    let sent = relay_client::call_relay_again::<_, RotationOrder>(
        gateway, name, *address, path, report, timeout,
    );
    match sent.await {
        Ok(order) => gateway.link.record_order(order, sent_at),
        Err(error) => {
            gateway.metrics.count_event("rotation_failed");
            tracing::info!(event = "rotation_failed", relay = %name, load = report.load, %error);
            if is_loaded && error.kind() == io::ErrorKind::TimedOut {
                return true;
            }
            failed.back_off_for(name, gateway.now(), BACKOFF);
            return false;
        }
    }
    true
}
