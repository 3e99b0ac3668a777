//! The look at servers' loads before a request is placed that would disturb others.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use toucanrail::backends::{BackendEntry, BackendId};
use toucanrail::messages::LoadReply;
use toucanrail_wire::clocks;

use crate::lending::LOAD_PATH;
use crate::peering;
use crate::states::Gateway;

/// Longest wait for all answers: a relay that is slow says as much of its server as none.
const LOOK_BOUND: Duration = Duration::from_millis(60);

/// What the servers that were asked have answered so far.
type LoadBoard = Rc<RefCell<BTreeMap<BackendId, LoadReply>>>;

/// Asks the relays beside some servers at the same time; those that do not answer are left out.
pub async fn ask_loads(
    gateway: &Rc<Gateway>,
    servers: Vec<BackendEntry>,
) -> BTreeMap<BackendId, LoadReply> {
    if servers.is_empty() {
        return BTreeMap::new();
    }
    let board = LoadBoard::default();
    let ask = |server| ask_load(Rc::clone(gateway), server, Rc::clone(&board));
    let asking: Vec<_> =
        servers.into_iter().map(|server| gateway.executor.spawn(ask(server))).collect();
    let waiting = async {
        for task in asking {
            task.await;
        }
    };
    clocks::bounded(LOOK_BOUND, waiting).await;
    board.take()
}

async fn ask_load(gateway: Rc<Gateway>, server: BackendEntry, board: LoadBoard) {
    let Some((relay, address)) = gateway.store.relay_at(server.address.ip()) else {
        return;
    };
    let asked: io::Result<Option<LoadReply>> =
        peering::call_peer(&gateway, &relay, address, LOAD_PATH, &(), LOOK_BOUND).await;
    match asked {
        Ok(load) => board.borrow_mut().extend(load.map(|load| (server.id, load))),
        Err(error) => tracing::debug!(event = "look_failed", server = %server.id, %error),
    }
}
