//! Connections to backend servers that are kept for later requests.

// Tests panic at the first unexpected result.
#![allow(clippy::unwrap_used)]

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use toucanrail_wire::connections::BufferedConnection;
use toucanrail_wire::keepalive::KeepAlivePool;

/// A server that states a short idle timeout has received a burst. Connections that have expired since
/// must not keep a new one from being kept.
#[test]
fn expired_connections() {
    smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (pool, id) = (KeepAlivePool::new(), Arc::from("server-1"));
        for _ in 0..40 {
            let connection = BufferedConnection::connect(address).await.unwrap();
            pool.put(&id, connection, Some(Duration::from_millis(620)));
        }
        smol::Timer::after(Duration::from_millis(60)).await;
        pool.put(&id, BufferedConnection::connect(address).await.unwrap(), None);
        assert!(pool.take(&id, Duration::from_secs(1)).is_some());
    });
}
