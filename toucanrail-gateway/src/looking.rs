//! The look at servers' loads before a request is placed that would disturb others.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use toucanrail::backends::{BackendEntry, BackendId};
use toucanrail::messages::LoadReply;
use toucanrail_wire::clocks;

use crate::lending::LOAD_PATH;
use crate::peering;
use crate::states::Gateway;

/// Longest wait for all answers: a relay that is slow says as much of its server as none.
const LOOK_BOUND: Duration = Duration::from_millis(60);

/// Asks the relays beside some servers at the same time; those that do not answer are left out.
pub async fn ask_loads(
    gateway: &Rc<Gateway>,
    servers: Vec<BackendEntry>,
) -> BTreeMap<BackendId, LoadReply> {
    let mut loads = BTreeMap::new();
    if servers.is_empty() {
        return loads;
    }
    let asking: Vec<_> = servers
        .into_iter()
        .map(|server| gateway.executor.spawn(ask_load(Rc::clone(gateway), server)))
        .collect();
    let collecting = async {
        for task in asking {
            loads.extend(task.await);
        }
    };
    clocks::bounded(LOOK_BOUND, collecting).await;
    loads
}

async fn ask_load(gateway: Rc<Gateway>, server: BackendEntry) -> Option<(BackendId, LoadReply)> {
    let (relay, address) = gateway.store.relay_at(server.address.ip())?;
    let asked: std::io::Result<Option<LoadReply>> =
        peering::call_peer(&gateway, &relay, address, LOAD_PATH, &(), LOOK_BOUND).await;
    let load = asked.inspect_err(|error| {
        tracing::debug!(event = "look_failed", server = %server.id, %error);
    });
    load.ok().flatten().map(|load| (Arc::clone(&server.id), load))
}
