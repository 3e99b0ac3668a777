//! Idle connections to backend servers, kept for later requests.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::connections::BufferedConnection;

/// Idle timeout for servers that state none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Subtracted from a stated idle timeout, so that no request is sent while the server closes the
/// connection.
const CLOSE_MARGIN: Duration = Duration::from_millis(600);
/// Maximum idle time of a kept connection, whatever its server states.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);
/// Maximum number of idle connections per server. Further ones are closed, to leave room for other
/// clients within the server's connection limit.
const MAX_IDLE_PER_SERVER: usize = 24;

#[derive(Debug)]
struct KeepAliveConnection {
    connection: BufferedConnection,
    idle_since: Instant,
    expires_at: Instant,
}

impl KeepAliveConnection {
    fn is_reusable(&self, now: Instant) -> bool {
        now < self.expires_at && self.connection.is_reusable()
    }
}

/// Pool of idle connections by server id.
///
/// The key is not the address, because the platform reuses addresses for other servers.
#[derive(Debug, Clone, Default)]
pub struct KeepAlivePool {
    idle_connections: Rc<RefCell<BTreeMap<Arc<str>, Vec<KeepAliveConnection>>>>,
}

impl KeepAlivePool {
    /// Makes an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the most recently used connection, if it has been idle for at most `max_idle`.
    ///
    /// Connections whose idle timeout has expired, that the server has closed or that have unread
    /// bytes are dropped: a request on them could fail or get the wrong response. `max_idle` limits
    /// the risk that a connection has been lost without notice.
    pub fn take(&self, id: &str, max_idle: Duration) -> Option<BufferedConnection> {
        let now = Instant::now();
        let mut idle_connections = self.idle_connections.borrow_mut();
        let connections = idle_connections.get_mut(id)?;
        while let Some(candidate) = connections.pop() {
            if now.saturating_duration_since(candidate.idle_since) > max_idle {
                connections.push(candidate);
                return None;
            }
            if candidate.is_reusable(now) {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Keeps a connection that has no response outstanding; `stated` is the server's idle timeout.
    pub fn put(&self, id: &Arc<str>, connection: BufferedConnection, stated: Option<Duration>) {
        let idle =
            stated.map_or(DEFAULT_IDLE_TIMEOUT, |stated| stated.saturating_sub(CLOSE_MARGIN));
        let idle = idle.min(MAX_IDLE_TIMEOUT);
        let now = Instant::now();
        let mut idle_connections = self.idle_connections.borrow_mut();
        let connections = idle_connections.entry(Arc::clone(id)).or_default();
        if connections.len() >= MAX_IDLE_PER_SERVER {
            connections.retain(|kept| kept.is_reusable(now));
        }
        if connections.len() < MAX_IDLE_PER_SERVER && !idle.is_zero() {
            connections.push(KeepAliveConnection {
                connection,
                idle_since: now,
                expires_at: now + idle,
            });
        }
    }

    /// Drops all connections to a server.
    pub fn evict(&self, id: &str) {
        self.idle_connections.borrow_mut().remove(id);
    }

    /// Drops the connections that cannot be reused.
    pub fn evict_expired(&self) {
        let now = Instant::now();
        let mut idle_connections = self.idle_connections.borrow_mut();
        for connections in idle_connections.values_mut() {
            connections.retain(|kept| kept.is_reusable(now));
        }
        idle_connections.retain(|_, connections| !connections.is_empty());
    }
}

/// Parses the idle timeout of a `Keep-Alive` field.
///
/// # Examples
/// ```
/// let stated = toucanrail_wire::keepalive::parse_keep_alive("timeout=5, max=100");
/// assert_eq!(stated, Some(std::time::Duration::from_secs(5)));
/// ```
pub fn parse_keep_alive(value: &str) -> Option<Duration> {
    let mut options = value.split(',').map(str::trim);
    let seconds = options.find_map(|option| option.strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
