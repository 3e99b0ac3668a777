//! Permits for requests to servers that have just started, from the relays beside them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use toucanrail::backends::BackendEntry;
use toucanrail::coldstarts::{self, PERMIT_VALIDITY, PermitReply, PermitRequest};
use toucanrail::endpoints::RelayName;
use toucanrail::loans;

use crate::lending::PERMIT_PATH;
use crate::peering;
use crate::state::Gateway;

/// Longest wait for a relay.
const PERMIT_BOUND: Duration = Duration::from_millis(80);
/// Time in which a server is passed over whose relay does not answer.
const SILENCE_TIME: Duration = Duration::from_millis(300);

/// Whether a request may be sent to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendPermit {
    /// The server is not cold.
    Unneeded,
    /// It must be sent before then.
    Until(Instant),
    /// Not now.
    Denied,
}

impl SendPermit {
    /// Tells whether a request may be sent now.
    pub fn is_valid(self) -> bool {
        match self {
            Self::Unneeded => true,
            Self::Until(end) => Instant::now() < end,
            Self::Denied => false,
        }
    }
}

/// Asks for the permit of one request to a server, if it needs one.
pub async fn take_permit(gateway: &Gateway, target: &BackendEntry) -> SendPermit {
    let Some(limit) = needed_limit(gateway, target) else {
        return SendPermit::Unneeded;
    };
    let asked = Instant::now();
    let PermitReply::After(wait) = ask_relay(gateway, target, limit).await else {
        return SendPermit::Until(asked + PERMIT_VALIDITY);
    };
    let until = gateway.now() + wait;
    gateway.tables.borrow_mut().backends.record_permit_denied(&target.id, until);
    gateway.metrics.count_event("permits_denied");
    tracing::info!(
        event = "permit_denied", server = %target.id, limit, wait_ms = wait.as_millis() as u64,
    );
    SendPermit::Denied
}

/// Returns the permits that a server's relay may give; none where the server needs no permit.
fn needed_limit(gateway: &Gateway, target: &BackendEntry) -> Option<usize> {
    let slack = gateway.settings.cold_slack?;
    let tables = gateway.tables.borrow();
    let rule = tables.routes.cold_rule(&target.service)?;
    let row = tables.backends.get(&target.id)?;
    row.is_cold(gateway.now()).then(|| coldstarts::permit_limit(rule, slack))
}

async fn ask_relay(gateway: &Gateway, target: &BackendEntry, limit: usize) -> PermitReply {
    let server = &target.id;
    let Some((relay, address)) = find_relay(gateway, target) else {
        return PermitReply::After(SILENCE_TIME);
    };
    let order = PermitRequest { server: Arc::clone(server), limit };
    let bound = PERMIT_BOUND;
    let asked = peering::call_peer(gateway, &relay, address, PERMIT_PATH, &order, bound).await;
    asked.unwrap_or_else(|error| {
        tracing::info!(event = "permit_failed", %server, %relay, %error);
        PermitReply::After(SILENCE_TIME)
    })
}

/// Returns the relay that gives a server's permits: the one beside it, or in a fleet that hosts its relays
/// the first by rank.
///
/// Entries list the relays at different times. Where the relay beside a server is not known yet there is no
/// other: two of them would give twice as many.
fn find_relay(gateway: &Gateway, target: &BackendEntry) -> Option<(RelayName, SocketAddr)> {
    if gateway.store.lacks_relays() {
        return loans::rank_lenders(&gateway.store.lenders(), &target.id).into_iter().next();
    }
    gateway.store.relay_at(target.address.ip())
}
