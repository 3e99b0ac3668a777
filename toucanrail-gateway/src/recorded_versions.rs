//! Has the software versions of servers recorded in the store before streams begin at them.

use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use toucanrail::relay_ranks;
use toucanrail::version_history::ListedVersions;

use crate::relay_api::RECORD_PATH;
use crate::relay_client;
use crate::state::Gateway;

/// Purpose by which relays are ranked. All entries ask the same ones, so that few processes write the
/// records.
const RANK_PURPOSE: &str = "version records";
/// Relays that are asked one after the other.
const MAX_RELAYS: usize = 3;
/// Timeout of a call, in which a relay reads and writes a record.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after no relay has recorded the versions.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Notified when an entry lists a version that may not be recorded.
#[derive(Debug, Default)]
pub struct VersionRecorder {
    listed: Event,
}

/// Records unrecorded versions until the process exits.
pub async fn record_versions(gateway: Rc<Gateway>) {
    loop {
        let listener = gateway.version_recorder.listed.listen();
        let unrecorded = list_unrecorded(&gateway);
        if unrecorded.is_empty() {
            listener.await;
            continue;
        }
        let started = gateway.now();
        let is_recorded = record_all(&gateway, &unrecorded).await;
        tracing::info!(
            event = "versions_recorded", versions = ?unrecorded, is_recorded,
            took_ms = gateway.now().saturating_sub(started).as_millis() as u64,
        );
        if is_recorded {
            gateway.tables.borrow_mut().backends.record_written_versions(&unrecorded);
        } else {
            smol::Timer::after(RETRY_PAUSE).await;
        }
    }
}

/// Wakes the recorder if an entry lists a version that may not be recorded.
pub fn check_recorded(gateway: &Gateway) {
    if !list_unrecorded(gateway).is_empty() {
        gateway.version_recorder.listed.notify(1);
    }
}

fn list_unrecorded(gateway: &Gateway) -> ListedVersions {
    gateway.tables.borrow().backends.versions().unrecorded_versions()
}

/// Has a relay record versions. Without relays there are no records, so that nothing is to be done.
async fn record_all(gateway: &Gateway, versions: &ListedVersions) -> bool {
    gateway.store.wait_relays_listed().await;
    let relays = gateway.store.located_relays();
    let seed = relay_ranks::rank_seed(RANK_PURPOSE);
    for relay in relay_ranks::pick_relays(&relays, seed, MAX_RELAYS) {
        let (name, address) = (&relay.name, relay.address);
        let reply: Result<bool, _> = relay_client::call_relay_again(
            gateway,
            name,
            address,
            RECORD_PATH,
            versions,
            CALL_TIMEOUT,
        )
        .await;
        if reply.is_ok_and(|is_recorded| is_recorded) {
            return true;
        }
    }
    relays.is_empty()
}
