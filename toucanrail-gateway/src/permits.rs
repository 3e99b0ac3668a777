//! Permits for requests to cold backend servers, granted by the relays beside them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use toucanrail::backends::BackendEntry;
use toucanrail::coldstarts::{self, PERMIT_VALIDITY, PermitReply, PermitRequest};
use toucanrail::endpoints::RelayName;
use toucanrail::loans;

use crate::relay_api::PERMIT_PATH;
use crate::relay_client;
use crate::state::Gateway;

/// Timeout of a permit call.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(80);
/// Time for which a server is not chosen after its relay did not respond.
const UNANSWERED_DELAY: Duration = Duration::from_millis(300);

/// Whether a request may be sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendPermit {
    /// Not needed, since the server is not cold.
    Unneeded,
    /// Granted; the request must be sent before this time.
    Until(Instant),
    /// Denied for now.
    Denied,
}

impl SendPermit {
    /// Returns whether a request may be sent now.
    pub fn is_valid(self) -> bool {
        match self {
            Self::Unneeded => true,
            Self::Until(end) => Instant::now() < end,
            Self::Denied => false,
        }
    }
}

/// Requests a permit for sending one request to a server, if the server is cold.
pub async fn request_permit(gateway: &Gateway, target: &BackendEntry) -> SendPermit {
    let Some(limit) = permit_limit_of(gateway, target) else {
        return SendPermit::Unneeded;
    };
    let requested_at = Instant::now();
    let PermitReply::After(wait) = call_permit_relay(gateway, target, limit).await else {
        return SendPermit::Until(requested_at + PERMIT_VALIDITY);
    };
    let until = gateway.now() + wait;
    gateway.tables.borrow_mut().backends.record_permit_denied(&target.id, until);
    gateway.metrics.count_event("permits_denied");
    tracing::info!(
        event = "permit_denied", server = %target.id, limit, wait_ms = wait.as_millis() as u64,
    );
    SendPermit::Denied
}

/// Returns how many permits a server's relay may grant per window, or `None` if the server needs no
/// permit.
fn permit_limit_of(gateway: &Gateway, target: &BackendEntry) -> Option<usize> {
    let slack = gateway.settings.cold_slack?;
    let tables = gateway.tables.borrow();
    let rule = tables.routes.cold_rule(&target.service)?;
    let row = tables.backends.get(&target.id)?;
    row.is_cold(gateway.now()).then(|| coldstarts::permit_limit(rule, slack))
}

async fn call_permit_relay(gateway: &Gateway, target: &BackendEntry, limit: usize) -> PermitReply {
    let server = &target.id;
    let Some((relay, address)) = find_relay(gateway, target) else {
        return PermitReply::After(UNANSWERED_DELAY);
    };
    let request = PermitRequest { server: Arc::clone(server), limit };
    let timeout = PERMIT_TIMEOUT;
    let reply =
        relay_client::call_relay(gateway, &relay, address, PERMIT_PATH, &request, timeout).await;
    reply.unwrap_or_else(|error| {
        tracing::info!(event = "permit_failed", %server, %relay, %error);
        PermitReply::After(UNANSWERED_DELAY)
    })
}

/// Returns the relay that grants a server's permits: the one beside it, or the first by rank in a
/// fleet with hosted relays only.
///
/// Entries list the relays at different times. While the relay beside a server is not listed yet,
/// no other relay stands in for it: two relays would together grant twice as many permits.
fn find_relay(gateway: &Gateway, target: &BackendEntry) -> Option<(RelayName, SocketAddr)> {
    if gateway.store.has_only_hosted_relays() {
        return loans::rank_lenders(&gateway.store.lenders(), &target.id).into_iter().next();
    }
    gateway.store.relay_at(target.address.ip())
}
