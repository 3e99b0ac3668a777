//! An entry's calls to relays.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;
use toucanrail::link_shares;
use toucanrail_wire::connections::BufferedConnection;
use toucanrail_wire::rpc;
use toucanrail_wire::time_limits;

use crate::relay_api::ALIVE_PATH;
use crate::state::Gateway;

/// Usual connect timeout. Relays are a few milliseconds away; a dead one does not respond at all.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);
/// Maximum idle time of a pooled connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Probes a relay on a new connection, independent of the state of the pooled ones.
pub async fn is_alive(address: SocketAddr, timeout: Duration) -> bool {
    let probing = async {
        let mut connection = BufferedConnection::connect(address).await?;
        rpc::call::<_, bool>(&mut connection, ALIVE_PATH, &()).await
    };
    time_limits::io_timeout(timeout, probing).await.unwrap_or(false)
}

/// Connects to a relay, and records whether it responds. A connection that is late while the entry's
/// own link is loaded tells nothing of the relay.
async fn connect(
    gateway: &Gateway,
    address: SocketAddr,
    timeout: Duration,
) -> io::Result<BufferedConnection> {
    let link_load = gateway.delaying_load();
    let connected = time_limits::io_timeout(timeout, BufferedConnection::connect(address)).await;
    let link_load = link_load.max(gateway.delaying_load());
    match &connected {
        Ok(_) => gateway.relay_checker.record_response(address, gateway.now()),
        Err(error)
            if error.kind() == io::ErrorKind::TimedOut && link_shares::is_loaded(link_load) => {}
        Err(_) => gateway.relay_checker.record_failure(address, gateway.now()),
    }
    connected
}

/// Calls a relay, on a pooled connection if there is one.
pub async fn call_relay<Message, Reply>(
    gateway: &Gateway,
    relay: &Arc<str>,
    address: SocketAddr,
    path: &str,
    message: &Message,
    timeout: Duration,
) -> io::Result<Reply>
where
    Message: Serialize,
    Reply: DeserializeOwned,
{
    let connect_timeout = CONNECT_TIMEOUT;
    call_relay_within(gateway, relay, address, path, message, connect_timeout, timeout).await
}

/// Like [`call_relay`], with the timeout of a new connection; calls over a loaded link need more than
/// the usual one.
pub async fn call_relay_within<Message, Reply>(
    gateway: &Gateway,
    relay: &Arc<str>,
    address: SocketAddr,
    path: &str,
    message: &Message,
    connect_timeout: Duration,
    timeout: Duration,
) -> io::Result<Reply>
where
    Message: Serialize,
    Reply: DeserializeOwned,
{
    let connection = if let Some(connection) = gateway.connections.take(relay, IDLE_TIMEOUT) {
        connection
    } else {
        connect(gateway, address, connect_timeout).await?
    };
    call_on(gateway, relay, connection, path, message, timeout).await
}

/// Calls a relay on a new connection: one in the pool may lead to a process that has ended.
pub async fn call_relay_anew<Message, Reply>(
    gateway: &Gateway,
    relay: &Arc<str>,
    address: SocketAddr,
    path: &str,
    message: &Message,
    timeout: Duration,
) -> io::Result<Reply>
where
    Message: Serialize,
    Reply: DeserializeOwned,
{
    let connection = connect(gateway, address, CONNECT_TIMEOUT).await?;
    call_on(gateway, relay, connection, path, message, timeout).await
}

/// Calls a relay, on a pooled connection if there is one, and once more on a new connection if that
/// fails other than by its timeout: it may have led to a process that has ended.
pub async fn call_relay_again<Message, Reply>(
    gateway: &Gateway,
    relay: &Arc<str>,
    address: SocketAddr,
    path: &str,
    message: &Message,
    timeout: Duration,
) -> io::Result<Reply>
where
    Message: Serialize,
    Reply: DeserializeOwned,
{
    match call_relay(gateway, relay, address, path, message, timeout).await {
        Err(error) if error.kind() != io::ErrorKind::TimedOut => {
            call_relay_anew(gateway, relay, address, path, message, timeout).await
        }
        result => result,
    }
}

async fn call_on<Message, Reply>(
    gateway: &Gateway,
    relay: &Arc<str>,
    mut connection: BufferedConnection,
    path: &str,
    message: &Message,
    timeout: Duration,
) -> io::Result<Reply>
where
    Message: Serialize,
    Reply: DeserializeOwned,
{
    let reply = time_limits::io_timeout(timeout, rpc::call(&mut connection, path, message)).await?;
    gateway.connections.put(relay, connection, Some(IDLE_TIMEOUT));
    Ok(reply)
}
