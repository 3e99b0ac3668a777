//! Permits for requests to backend servers that are cold or state a rate limit, granted by relays.

use std::sync::Arc;
use std::time::{Duration, Instant};

use toucanrail::backends::BackendEntry;
use toucanrail::coldstarts;
use toucanrail::loans;
use toucanrail::permit_relays::PermitRelay;
use toucanrail::permits::{PERMIT_VALIDITY, PermitReply, PermitRequest};

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
    /// Not needed, since the server neither is cold nor states a rate limit.
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

/// Requests a permit for sending one request to a server, if the server needs one.
pub async fn request_permit(gateway: &Gateway, target: &BackendEntry) -> SendPermit {
    let Some(request) = make_request(gateway, target) else {
        return SendPermit::Unneeded;
    };
    let requested_at = Instant::now();
    let PermitReply::After(wait) = call_permit_relay(gateway, target, &request).await else {
        return SendPermit::Until(requested_at + PERMIT_VALIDITY);
    };
    let until = gateway.now() + wait;
    gateway.tables.borrow_mut().backends.record_permit_denied(&target.id, until);
    gateway.metrics.count_event("permits_denied");
    tracing::info!(
        event = "permit_denied", server = %target.id, limit = request.limit,
        rate = request.stated.map(|stated| stated.rate), wait_ms = wait.as_millis() as u64,
    );
    SendPermit::Denied
}

/// Makes the request for a permit, or returns `None` if the server needs none.
fn make_request(gateway: &Gateway, target: &BackendEntry) -> Option<PermitRequest> {
    let now = gateway.now();
    let tables = gateway.tables.borrow();
    let row = tables.backends.get(&target.id)?;
    let rule = tables.routes.cold_rule(&target.service).filter(|_| row.is_cold(now));
    let cold_limit = rule
        .zip(gateway.settings.cold_slack)
        .map(|(rule, slack)| coldstarts::permit_limit(rule, slack));
    let stated = row.statements.rate_limit.map(|limit| limit.stated_rate(now));
    if cold_limit.is_none() && stated.is_none() {
        return None;
    }
    let (server, limit) = (Arc::clone(&target.id), cold_limit.unwrap_or(coldstarts::NO_LIMIT));
    Some(PermitRequest { server, limit, stated })
}

async fn call_permit_relay(
    gateway: &Gateway,
    target: &BackendEntry,
    request: &PermitRequest,
) -> PermitReply {
    let server = &target.id;
    let Some(relay) = find_relay(gateway, target, request.is_for_cold()) else {
        return PermitReply::After(UNANSWERED_DELAY);
    };
    let PermitRelay { name, address, .. } = &relay;
    let stated = request.stated.map(|stated| relay.scale_rate(stated));
    let request = PermitRequest { stated, ..request.clone() };
    let timeout = PERMIT_TIMEOUT;
    let reply =
        relay_client::call_relay(gateway, name, *address, PERMIT_PATH, &request, timeout).await;
    let mut failures = gateway.permit_failures.borrow_mut();
    match reply {
        Ok(reply) => {
            failures.record_response(name);
            reply
        }
        Err(error) => {
            failures.record_failure(name, gateway.now());
            tracing::info!(event = "permit_failed", %server, relay = %name, %error);
            PermitReply::After(UNANSWERED_DELAY)
        }
    }
}

/// Returns the relay that grants a server's permits: the one beside it, or the first by rank in a
/// fleet with hosted relays only. For a server that is not cold, another one stands in for a relay
/// that is missing or does not respond.
///
/// Entries list the relays at different times. While the relay beside a cold server is not listed
/// yet, no other relay stands in for it: two relays would together grant twice as many permits.
fn find_relay(gateway: &Gateway, target: &BackendEntry, is_cold: bool) -> Option<PermitRelay> {
    let beside = gateway.store.relay_at(target.address.ip());
    let beside = beside.map(|(name, address)| PermitRelay { name, address, is_beside: true });
    if is_cold && !gateway.store.has_only_hosted_relays() {
        return beside;
    }
    let ranked = loans::rank_lenders(&gateway.store.relays(), &target.id).into_iter();
    let others = ranked.map(|(name, address)| PermitRelay { name, address, is_beside: false });
    if is_cold {
        return others.into_iter().next();
    }
    let relays: Vec<PermitRelay> = beside.into_iter().chain(others).collect();
    gateway.permit_failures.borrow().pick_relay(&relays, gateway.now()).cloned()
}
