//! An entry's calls to relays, and which of them it passes over.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use toucanrail_wire::connections::BufferedConnection;
use toucanrail_wire::rpc;
use toucanrail_wire::time_limits;

use crate::lending::ALIVE_PATH;
use crate::state::Gateway;

/// Longest wait for a connection: relays are some milliseconds away, a dead one answers nothing.
const CONNECT_BOUND: Duration = Duration::from_millis(120);
/// Longest idle time of a connection.
const IDLE_BOUND: Duration = Duration::from_secs(20);
/// Time for which a relay that did not answer, or is stopping, is passed over; doubled with each time
/// in a row, since one whose VM was taken away never answers again.
const PEER_REST: Duration = Duration::from_secs(3);
const REST_LIMIT: Duration = Duration::from_secs(12);

#[derive(Debug, Clone, Copy)]
struct PeerRest {
    until: Duration,
    time: Duration,
}

/// Relays that did not answer and are passed over.
#[derive(Debug, Default)]
pub struct PeerRests {
    rests: RefCell<BTreeMap<Arc<str>, PeerRest>>,
}

impl PeerRests {
    /// Tells whether a relay is passed over now.
    pub fn is_resting(&self, peer: &Arc<str>, now: Duration) -> bool {
        self.rests.borrow().get(peer).is_some_and(|rest| now < rest.until)
    }

    /// Passes a relay over for a while, for longer each time in a row.
    pub fn rest(&self, peer: &Arc<str>, now: Duration) {
        let mut rests = self.rests.borrow_mut();
        let time = rests.get(peer).map_or(PEER_REST, |rest| rest.time * 2).min(REST_LIMIT);
        rests.insert(Arc::clone(peer), PeerRest { until: now + time, time });
    }

    /// Passes a relay over for a stated time.
    pub fn rest_for(&self, peer: &Arc<str>, now: Duration, time: Duration) {
        self.rests.borrow_mut().insert(Arc::clone(peer), PeerRest { until: now + time, time });
    }

    /// Notes that a relay answered.
    pub fn forget_rest(&self, peer: &Arc<str>) {
        self.rests.borrow_mut().remove(peer);
    }
}

/// Tells whether a relay answers on a connection of its own, whatever became of the kept ones.
pub async fn is_alive(address: SocketAddr, bound: Duration) -> bool {
    let asking = async {
        let mut channel = BufferedConnection::connect(address).await?;
        rpc::call::<_, bool>(&mut channel, ALIVE_PATH, &()).await
    };
    time_limits::io_timeout(bound, asking).await.unwrap_or(false)
}

/// Calls a relay, on a kept connection where there is one.
pub async fn call_peer<Order, Reply>(
    gateway: &Gateway,
    peer: &Arc<str>,
    address: SocketAddr,
    path: &str,
    order: &Order,
    bound: Duration,
) -> io::Result<Reply>
where
    Order: Serialize,
    Reply: DeserializeOwned,
{
    let kept = gateway.channels.take(peer, IDLE_BOUND);
    let mut channel = match kept {
        Some(channel) => channel,
        None => {
            time_limits::io_timeout(CONNECT_BOUND, BufferedConnection::connect(address)).await?
        }
    };
    let reply = time_limits::io_timeout(bound, rpc::call(&mut channel, path, order)).await?;
    gateway.channels.put(peer, channel, Some(IDLE_BOUND));
    Ok(reply)
}
