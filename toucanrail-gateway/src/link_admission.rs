//! Asks for a share of this VM's network link before the body of a request is read.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use toucanrail::codetable;
use toucanrail::link_shares::{self, LinkShare, ShareDecision, ShareQuery};
use toucanrail::matching::CallerLimits;
use toucanrail::response_sizes::ResponseSizes;
use toucanrail::retry_delays::{self, RefusalCause};
use toucanrail::scanners::BodyLength;
use toucanrail_platform::requests;
use toucanrail_wire::heads::RequestHead;

use crate::state::Gateway;

/// Assumed size of a chunked body, in bytes: that of a long prompt.
const CHUNKED_BODY: u64 = 12_000;
/// Bytes of one request besides its body and response: heads, framing of events, and the entry's own
/// calls for it, such as its loan.
const REQUEST_OVERHEAD: f64 = 1_400.0;
/// Latency target of requests without a route, which are refused once they have been read.
const UNKNOWN_TARGET: Duration = Duration::from_secs(1);
/// Minimum time between two lines of the log on the share.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Requests that were limited since the last line of the log.
#[derive(Debug, Clone, Copy, Default)]
struct ShareCounts {
    refused: u64,
    waited: u64,
    /// When the last line was written.
    logged_at: Option<Duration>,
}

/// Share of the link for callers' requests, and the sizes of responses.
#[derive(Debug)]
pub struct LinkAdmission {
    share: RefCell<LinkShare>,
    sizes: RefCell<ResponseSizes>,
    counts: Cell<ShareCounts>,
}

impl LinkAdmission {
    /// Creates the share of an idle link; `capacity` is in bytes a second, and the fraction
    /// `reserve` of it is kept for the entry's own calls.
    pub fn new(capacity: Option<f64>, reserve: f64) -> Self {
        let share = RefCell::new(LinkShare::new(capacity, reserve));
        Self { share, sizes: RefCell::default(), counts: Cell::default() }
    }

    /// Returns whether callers' requests are limited to a share of the link.
    pub fn is_enabled(&self) -> bool {
        self.share.borrow().is_enabled()
    }
}

/// Waits for a request's share of the link. Returns the time after which its caller should retry if
/// it is refused.
pub async fn await_share(
    gateway: &Gateway,
    head: &RequestHead,
    limits: CallerLimits,
) -> Result<(), Duration> {
    if !gateway.link_admission.is_enabled() {
        return Ok(());
    }
    let (query, load) = (make_query(gateway, head, limits), gateway.link.load());
    let decision = gateway.link_admission.share.borrow_mut().decide(query, load, gateway.now());
    match decision {
        ShareDecision::Admit => Ok(()),
        ShareDecision::Wait(wait) => {
            gateway.metrics.count_event("link_waited");
            count_limited(gateway, load, 0, 1);
            smol::Timer::after(wait).await;
            Ok(())
        }
        ShareDecision::Refuse(wait) => {
            gateway.metrics.count_event("link_refused");
            count_limited(gateway, load, 1, 0);
            Err(log_refusal(head, query, wait))
        }
    }
}

/// Returns the decision on a request's share of the link as it would be made now, and takes none.
pub fn preview_share(gateway: &Gateway, head: &RequestHead, limits: CallerLimits) -> ShareDecision {
    let mut share = *gateway.link_admission.share.borrow();
    share.decide(make_query(gateway, head, limits), gateway.link.load(), gateway.now())
}

fn make_query(gateway: &Gateway, head: &RequestHead, limits: CallerLimits) -> ShareQuery {
    let body = match head.length {
        BodyLength::Absent => 0,
        BodyLength::Exact(bytes) => bytes,
        BodyLength::Chunked => CHUNKED_BODY,
    };
    // A larger body is refused at the limit.
    let body = body.min(limits.body as u64) as f64 + REQUEST_OVERHEAD;
    let tables = gateway.tables.borrow();
    let sizes = gateway.link_admission.sizes.borrow();
    let Some(route) = tables.routes.find_route(head.host(), head.path()) else {
        let (rank, latency_target) = (link_shares::MAX_RANK, UNKNOWN_TARGET);
        return ShareQuery { cost: body, rank, latency_target };
    };
    let cost = body + sizes.expected(&route.name).unwrap_or(link_shares::ASSUMED_RESPONSE);
    ShareQuery { cost, rank: route.priority, latency_target: route.latency_target }
}

/// Logs a refusal and returns the time after which its caller should retry.
fn log_refusal(head: &RequestHead, query: ShareQuery, wait: Duration) -> Duration {
    let (info, code) = (requests::parse_request(head), codetable::LINK_FULL);
    tracing::info!(
        event = "refused", request = %info.id, code = code.number(), reason = code.row().name,
        path = head.path(), cost = query.cost as u64, rank = query.rank,
        share_ms = wait.as_millis() as u64,
    );
    let left = info.timeout.unwrap_or(Duration::MAX);
    retry_delays::pick_delay(RefusalCause::FullLink(wait), left, fastrand::f64())
}

/// Counts a request that was refused or that waits, and logs the counts at most once a second.
fn count_limited(gateway: &Gateway, load: f64, refused: u64, waited: u64) {
    let (now, mut counts) = (gateway.now(), gateway.link_admission.counts.get());
    counts.refused += refused;
    counts.waited += waited;
    if counts.logged_at.is_none_or(|at| now.saturating_sub(at) >= LOG_INTERVAL) {
        tracing::info!(
            event = "link_share",
            load,
            refused = counts.refused,
            waited = counts.waited,
        );
        counts = ShareCounts { logged_at: Some(now), ..ShareCounts::default() };
    }
    gateway.link_admission.counts.set(counts);
}

/// Records the size of the response to a request, in bytes.
pub fn record_response(gateway: &Gateway, head: &RequestHead, bytes: usize) {
    if !gateway.link_admission.is_enabled() {
        return;
    }
    let tables = gateway.tables.borrow();
    if let Some(route) = tables.routes.find_route(head.host(), head.path()) {
        gateway.link_admission.sizes.borrow_mut().record_response(&route.name, bytes as u64);
    }
}
