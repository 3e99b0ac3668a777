//! Connections to backend servers that are kept for the next request.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::connections::BufferedConnection;

/// Longest idle time where the server states none.
const DEFAULT_IDLE: Duration = Duration::from_secs(2);
/// Taken off a stated idle time: a request must not cross the server's close.
const IDLE_MARGIN: Duration = Duration::from_millis(600);
/// Most connections kept a server; more are closed, so that the server's limit is left to others.
const KEPT_LIMIT: usize = 24;

#[derive(Debug)]
struct KeptChannel {
    channel: BufferedConnection,
    since: Instant,
    until: Instant,
}

/// Kept connections by server.
///
/// Servers are named by their ids and not by their addresses, which the platform gives to other
/// servers later.
#[derive(Debug, Clone, Default)]
pub struct KeepAlivePool {
    kept: Rc<RefCell<BTreeMap<Arc<str>, Vec<KeptChannel>>>>,
}

impl KeepAlivePool {
    /// Makes an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the connection used last, if it has been idle for at most `idle`.
    ///
    /// Guards against a connection that was closed or turned silent while idle: one that is too
    /// old, has ended, or holds bytes nobody asked for is dropped.
    pub fn take(&self, id: &str, idle: Duration) -> Option<BufferedConnection> {
        let now = Instant::now();
        let mut kept = self.kept.borrow_mut();
        let channels = kept.get_mut(id)?;
        while let Some(found) = channels.pop() {
            if now.saturating_duration_since(found.since) > idle {
                channels.push(found);
                return None;
            }
            if now < found.until && found.channel.is_quiet() {
                return Some(found.channel);
            }
        }
        None
    }

    /// Keeps a connection on which nothing is due; `stated` is the server's idle timeout.
    pub fn put(&self, id: &Arc<str>, channel: BufferedConnection, stated: Option<Duration>) {
        let idle = stated.map_or(DEFAULT_IDLE, |stated| stated.saturating_sub(IDLE_MARGIN));
        let now = Instant::now();
        let mut kept = self.kept.borrow_mut();
        let channels = kept.entry(Arc::clone(id)).or_default();
        if channels.len() < KEPT_LIMIT && !idle.is_zero() {
            channels.push(KeptChannel { channel, since: now, until: now + idle });
        }
    }

    /// Drops all connections to a server.
    pub fn evict(&self, id: &str) {
        self.kept.borrow_mut().remove(id);
    }

    /// Drops the connections that are too old to be used again.
    pub fn evict_expired(&self) {
        let now = Instant::now();
        let mut kept = self.kept.borrow_mut();
        for channels in kept.values_mut() {
            channels.retain(|found| now < found.until && found.channel.is_quiet());
        }
        kept.retain(|_, channels| !channels.is_empty());
    }
}

/// Reads the idle timeout out of a `Keep-Alive` field.
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
