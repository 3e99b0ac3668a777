//! Finds out whether a server has ended whose response broke off.
//!
//! A reset connection, a cut link and the end of a server look alike to a request. A server that has
//! ended refuses connections; one that is cut off or frozen does not.

use std::io;
use std::time::Duration;

use toucanrail::backends::BackendEntry;
use toucanrail_wire::connections::BufferedConnection;
use toucanrail_wire::time_limits;

use crate::state::Gateway;

/// Timeout of a probe; a live server accepts, and one that has ended refuses, within a few
/// milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which the result of a probe is shared by all requests of the server that broke off.
const RESULT_AGE: Duration = Duration::from_millis(200);

/// Result of a probe.
#[derive(Debug)]
pub struct ProbeResult {
    at: Duration,
    started_at: u64,
    ended: bool,
}

/// Returns whether a server has ended: whether it refuses connections.
pub async fn has_ended(gateway: &Gateway, target: &BackendEntry) -> bool {
    let row = gateway.server_probes.row(&target.id);
    // Held during the probe, so that the requests of one server share it.
    let mut row = row.lock().await;
    let now = gateway.now();
    let is_current = |result: &&ProbeResult| {
        result.started_at == target.started_at && now.saturating_sub(result.at) < RESULT_AGE
    };
    if let Some(result) = row.as_ref().filter(is_current) {
        return result.ended;
    }
    let probing = BufferedConnection::connect(target.address);
    let probed = time_limits::io_timeout(PROBE_TIMEOUT, probing).await;
    let ended = probed.is_err_and(|error| error.kind() == io::ErrorKind::ConnectionRefused);
    if ended {
        gateway.connections.evict(&target.id);
        tracing::info!(event = "server_ended", server = %target.id, address = %target.address);
    }
    *row = Some(ProbeResult { at: gateway.now(), started_at: target.started_at, ended });
    ended
}
