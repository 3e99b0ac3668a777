//! Admission of requests: matches route and customer, checks load, reserves budget, then
//! dispatches.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use toucanrail::admissions::AdmissionQuery;
use toucanrail::codes::{ResultCode, RunState};
use toucanrail::codetable;
use toucanrail::contents::{self, ContentKey};
use toucanrail::holds::HoldScope;
use toucanrail::ids::ServiceName;
use toucanrail::matching::{CustomerProfile, RouteRule};
use toucanrail::origins::StreamOrigin;
use toucanrail::retry_delays::{self, RefusalCause};
use toucanrail::suspects::SuspectKey;
use toucanrail_platform::names;
use toucanrail_platform::requests::{self, RequestInfo};
use toucanrail_wire::heads::RequestHead;

use crate::dispatching;
use crate::grant_manager::HoldFailure;
use crate::loan_client::{self, BudgetGuard, BudgetNeed};
use crate::origin_search;
use crate::request_context::{DEADLINE_MARGIN, RequestPlan};
use crate::responding::{self, ResponseWriter};
use crate::state::Gateway;
use crate::suspect_reports;

/// Time since the last contact with the store after which an unknown key or route may be one that
/// has not arrived here yet. The caller is then told to retry elsewhere instead of being rejected.
/// Twice the wait of one watch.
const STALE_STORE_AGE: Duration = Duration::from_secs(3);
/// Time without contact with the store, while lenders respond, after which the store is assumed to
/// be unavailable to every entry.
const OUTAGE_THRESHOLD: Duration = Duration::from_secs(1);
/// A caller whose timeout is below this fraction of the route's timeout is taken to be retrying
/// after an earlier refusal.
const RETURNED_TIME_RATIO: f64 = 0.9;
/// Time a stopped entry needs to restart; used in `Retry-After` in case the balancer knows no other
/// entry.
const RESTART_DELAY: Duration = Duration::from_millis(700);
/// Period after SIGTERM in which requests are admitted whatever their timeout, because the balancer
/// keeps sending new connections for two seconds.
const STOP_ACCEPT_PERIOD: Duration = Duration::from_millis(2_800);
/// Safety margin taken off the grace period for requests that must finish within it.
const STOP_MARGIN: Duration = Duration::from_millis(1_300);

/// Refusal of a request that was not sent to any server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRefusal {
    /// Result code for the caller.
    pub code: ResultCode,
    /// When the caller should retry, if retrying can help.
    pub retry_after: Option<Duration>,
    /// Name of the header field that is the cause.
    pub field: Option<&'static str>,
}

impl AdmissionRefusal {
    /// Creates a refusal of a request that can succeed after a time.
    pub fn with_retry(code: ResultCode, wait: Duration) -> Self {
        Self { retry_after: Some(wait), ..Self::from(code) }
    }

    fn with_field(code: ResultCode, name: &'static str) -> Self {
        Self { field: Some(name), ..Self::from(code) }
    }
}

impl From<ResultCode> for AdmissionRefusal {
    fn from(code: ResultCode) -> Self {
        Self { code, retry_after: None, field: None }
    }
}

/// A route, and the customer that pays unless the route is public.
pub(crate) type MatchedRoute = (Arc<RouteRule>, Option<Arc<CustomerProfile>>);

/// Admits and dispatches one request, or writes a refusal.
pub async fn handle_request(
    gateway: &Rc<Gateway>,
    head: &RequestHead,
    body: &[u8],
    writer: &mut ResponseWriter,
    arrived: Instant,
) {
    match admit(gateway, head, body, arrived).await {
        Ok(plan) => dispatching::dispatch(gateway, &plan, writer).await,
        Err(refusal) => {
            let info = requests::parse_request(head);
            let version = gateway.tables.borrow().routes.version();
            let age = gateway.store.time_since_response();
            tracing::info!(
                event = "refused", request = %info.id, code = refusal.code.number(),
                reason = refusal.code.row().name, path = head.path(), config = version,
                store_age_ms = age.as_millis() as u64, field = refusal.field,
            );
            gateway.metrics.count_result(refusal.code);
            // The next request on this keep-alive connection would also reach an isolated entry.
            writer.close |= gateway.is_isolated();
            let mut details =
                responding::make_refusal(refusal.code, RunState::NotRun, refusal.retry_after);
            details.field = refusal.field;
            if let Some(head_writer) = writer.head_writer() {
                // The caller may have disconnected; then nobody needs the refusal.
                head_writer.send_refusal(&details).ok();
            }
        }
    }
}

async fn admit<'request>(
    gateway: &Rc<Gateway>,
    head: &'request RequestHead,
    body: &'request [u8],
    arrived: Instant,
) -> Result<RequestPlan<'request>, AdmissionRefusal> {
    let info = requests::parse_request(head);
    let matched = match_route(gateway, head, &info)?;
    let (route, customer) = &matched;
    check_token_counts(&info, customer.as_deref())?;
    check_stopping(gateway, find_timeout(route, &info))?;
    let origin = if route.kind.is_stream() && info.takes_up_stream {
        Some(origin_search::find_origin(gateway, &info, route).await?)
    } else {
        None
    };
    let service = match &origin {
        Some(origin) => Arc::clone(&origin.service),
        None => route
            .pick_service(fastrand::f64())
            .map(Arc::clone)
            .ok_or(codetable::NO_BACKEND_SERVER)?,
    };
    let mut plan = make_plan(head, body, info, matched, service, origin, arrived);
    let is_trial = check_holds(gateway, &plan)?;
    check_load(gateway, &plan)?;
    plan.budget = reserve_budget(gateway, &plan).await?;
    if is_trial && !suspect_reports::request_trial(gateway, &plan.suspects).await {
        return Err(refuse_held(gateway, &plan));
    }
    plan.is_trial = is_trial;
    gateway.record_new_request(&plan.service);
    Ok(plan)
}

/// Returns the time that a request may take: the caller's timeout, and no more than the route's.
pub(crate) fn find_timeout(route: &RouteRule, info: &RequestInfo) -> Duration {
    info.timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout))
}

/// Creates the plan of a request that has not been admitted yet.
pub(crate) fn make_plan<'request>(
    head: &'request RequestHead,
    body: &'request [u8],
    info: RequestInfo,
    matched: MatchedRoute,
    service: ServiceName,
    origin: Option<StreamOrigin>,
    arrived: Instant,
) -> RequestPlan<'request> {
    let (route, customer) = matched;
    let timeout = find_timeout(&route, &info);
    let rank = customer.as_ref().and_then(|customer| customer.priority);
    let payer = customer.as_ref().map(|customer| &*customer.name);
    let content = contents::content_key(payer, &requests::content_fields(head), body);
    let suspects = list_suspects(content, &service, &info);
    RequestPlan {
        head,
        body,
        urgency: rank.unwrap_or(route.priority),
        info,
        content,
        suspects,
        route,
        customer,
        service,
        origin,
        arrived,
        deadline: arrived + timeout.saturating_sub(DEADLINE_MARGIN),
        budget: None,
        is_trial: false,
    }
}

/// Refuses a request whose token counts are malformed, or missing although a budget is held by them.
pub(crate) fn check_token_counts(
    info: &RequestInfo,
    customer: Option<&CustomerProfile>,
) -> Result<(), AdmissionRefusal> {
    let has_budget = customer.is_some_and(|customer| customer.prepaid.is_some());
    let is_missing = has_budget && info.is_for_model && info.prompt.is_none();
    let name = info.malformed_field.or(is_missing.then_some(names::TOKENS_HEADER));
    name.map_or(Ok(()), |name| Err(AdmissionRefusal::with_field(codetable::BAD_REQUEST, name)))
}

/// While the entry is stopping, refuses requests that may not finish within the grace period.
pub(crate) fn check_stopping(gateway: &Gateway, timeout: Duration) -> Result<(), AdmissionRefusal> {
    let Some(stop_requested) = gateway.stop_requested.get() else {
        return Ok(());
    };
    let grace = gateway.settings.shutdown_grace.saturating_sub(stop_requested.elapsed());
    let fits = stop_requested.elapsed() < STOP_ACCEPT_PERIOD || timeout + STOP_MARGIN < grace;
    if fits && !gateway.admission_closed.get() {
        return Ok(());
    }
    Err(AdmissionRefusal::with_retry(codetable::STOPPING, grace + RESTART_DELAY))
}

/// Returns what is suspected if servers end under a request.
fn list_suspects(content: ContentKey, service: &str, info: &RequestInfo) -> Vec<SuspectKey> {
    let parts = info.prompt.as_ref().and_then(|prompt| prompt.parts.split_last());
    let shared = parts.map_or(&[][..], |(_, shared)| shared);
    let shared = shared.iter().map(|part| SuspectKey::Part(contents::part_key(service, part.id)));
    [SuspectKey::Content(content)].into_iter().chain(shared).collect()
}

/// Refuses a request that is held back. Returns whether a trial of it is due.
fn check_holds(gateway: &Gateway, plan: &RequestPlan<'_>) -> Result<bool, AdmissionRefusal> {
    let now = gateway.now();
    let hold = gateway.tables.borrow().holds.find_hold(&plan.suspects, HoldScope::New, now);
    let Some(hold) = hold else {
        return Ok(false);
    };
    if hold.is_trial_due(suspect_reports::trial_asked_at(gateway), now) {
        suspect_reports::record_trial_asked(gateway);
        return Ok(true);
    }
    Err(refuse_held(gateway, plan))
}

fn refuse_held(gateway: &Gateway, plan: &RequestPlan<'_>) -> AdmissionRefusal {
    gateway.metrics.count_event("requests_held_back");
    let wait = retry_delays::pick_delay(RefusalCause::HeldBack, plan.time_left(), fastrand::f64());
    AdmissionRefusal::with_retry(codetable::HELD_BACK, wait)
}

/// Returns the timeout that a caller states, or that of the route.
fn stated_timeout(plan: &RequestPlan<'_>) -> Duration {
    plan.info.timeout.unwrap_or(plan.route.timeout)
}

/// Returns the properties of a request on which its admission under load depends.
pub(crate) fn admission_query(plan: &RequestPlan<'_>) -> AdmissionQuery {
    let returned = stated_timeout(plan) < plan.route.timeout.mul_f64(RETURNED_TIME_RATIO);
    AdmissionQuery { rank: plan.urgency, returned }
}

/// Refuses a request at once if the servers cannot start it in time.
fn check_load(gateway: &Gateway, plan: &RequestPlan<'_>) -> Result<(), AdmissionRefusal> {
    let query = admission_query(plan);
    if gateway.admits(&plan.service, query) {
        return Ok(());
    }
    let wait =
        retry_delays::pick_delay(RefusalCause::Overload, stated_timeout(plan), fastrand::f64());
    Err(AdmissionRefusal::with_retry(codetable::OVERLOADED, wait))
}

pub(crate) fn match_route(
    gateway: &Gateway,
    head: &RequestHead,
    info: &RequestInfo,
) -> Result<MatchedRoute, AdmissionRefusal> {
    let tables = gateway.tables.borrow();
    let left = info.timeout.unwrap_or(Duration::MAX);
    let wait = retry_delays::pick_delay(RefusalCause::Uninformed, left, fastrand::f64());
    if tables.routes.version() == 0 {
        return Err(AdmissionRefusal::with_retry(codetable::STORE_UNAVAILABLE, wait));
    }
    let unknown = |code: ResultCode| {
        if gateway.store.time_since_response() > STALE_STORE_AGE {
            return AdmissionRefusal::with_retry(codetable::STORE_UNAVAILABLE, wait);
        }
        AdmissionRefusal::from(code)
    };
    let route = tables.routes.find_route(head.host(), head.path());
    let route = route.ok_or_else(|| unknown(codetable::NO_SUCH_ROUTE))?;
    if route.public || !tables.routes.requires_keys() {
        return Ok((Arc::clone(route), None));
    }
    let key = info.key.as_deref().ok_or(codetable::UNKNOWN_KEY)?;
    let customer = tables.routes.find_customer(key);
    let customer = customer.ok_or_else(|| unknown(codetable::UNKNOWN_KEY))?;
    Ok((Arc::clone(route), Some(Arc::clone(customer))))
}

/// Reserves the maximum possible cost of an LLM request in its customer's budget.
async fn reserve_budget(
    gateway: &Rc<Gateway>,
    plan: &RequestPlan<'_>,
) -> Result<Option<BudgetGuard>, AdmissionRefusal> {
    let (Some(customer), Some(prompt)) = (&plan.customer, &plan.info.prompt) else {
        return Ok(None);
    };
    let Some(prepaid_total) = customer.prepaid else {
        return Ok(None);
    };
    let need = BudgetNeed {
        customer: &customer.name,
        prepaid_total,
        request: &plan.info.id,
        service: &plan.service,
        prompt_tokens: prompt.prompt_tokens,
        max_usage: prompt.max_usage(),
        rank: plan.urgency,
        time_left: plan.time_left(),
    };
    let reserved = loan_client::reserve_budget(gateway, &need).await;
    if let Err(failure) = &reserved {
        tracing::info!(
            event = "budget_refused", request = %need.request, customer = %need.customer,
            prompt = need.prompt_tokens, max_usage = need.max_usage, stated = need.prepaid_total, failure = ?failure,
        );
    }
    reserved.map(Some).map_err(|failure| match failure {
        HoldFailure::Uncovered => codetable::BUDGET_EXHAUSTED.into(),
        HoldFailure::Short => {
            let is_outage = gateway.store.time_since_response() > OUTAGE_THRESHOLD
                && !gateway.loan_client.lenders_unreachable.get();
            let cause = if is_outage { RefusalCause::Outage } else { RefusalCause::Unconfirmed };
            let wait = retry_delays::pick_delay(cause, plan.time_left(), fastrand::f64());
            AdmissionRefusal::with_retry(codetable::BUDGET_UNCONFIRMED, wait)
        }
    })
}
