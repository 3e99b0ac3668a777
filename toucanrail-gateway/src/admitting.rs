//! A request's way in: its route, its customer, its budget; then it is dispatched.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use toucanrail::admissions::AdmissionQuery;
use toucanrail::codes::{ResultCode, RunState};
use toucanrail::codetable;
use toucanrail::matching::{CustomerProfile, RouteRule};
use toucanrail::returns::{self, RefusalCause};
use toucanrail_platform::requests::{self, RequestFacts};
use toucanrail_wire::heads::RequestHead;

use crate::answering::{self, CallerSide};
use crate::borrowing::{self, BudgetGuard, BudgetNeed};
use crate::budgeting::HoldFailure;
use crate::calls::{CallPlan, DEADLINE_MARGIN};
use crate::dispatching;
use crate::states::Gateway;

/// Age of the last contact with the store from which an unknown key or route may be a new one that
/// has not arrived: the caller is then sent elsewhere instead of away. Twice a watch's wait.
const KNOWLEDGE_AGE: Duration = Duration::from_secs(3);
/// Silence of the store, with lenders that answer, from which it is taken to be away for all.
const OUTAGE_LEAST: Duration = Duration::from_secs(1);
/// Part of a route's time that a caller has left at most if it was refused before and came back.
const RETURNED_PART: f64 = 0.9;
/// Time that a stopped entry needs to be back, where the balancer knows no other.
const STOP_RETRY: Duration = Duration::from_millis(700);
/// Time after SIGTERM in which new requests are served whatever their length: the balancer sends new
/// connections for two seconds.
const STOP_SERVE: Duration = Duration::from_millis(2_800);
/// Taken off the grace period for what must surely end within it.
const STOP_MARGIN: Duration = Duration::from_millis(1_300);

/// A refusal before anything was sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EntryRefusal {
    /// Why.
    pub code: ResultCode,
    /// When to come back, where that helps.
    pub retry_after: Option<Duration>,
}

impl From<ResultCode> for EntryRefusal {
    fn from(code: ResultCode) -> Self {
        Self { code, retry_after: None }
    }
}

/// Answers one request.
pub async fn answer_request(
    gateway: &Rc<Gateway>,
    head: &RequestHead,
    body: &[u8],
    caller: &mut CallerSide,
    arrived: Instant,
) {
    match admit(gateway, head, body, arrived).await {
        Ok(plan) => dispatching::dispatch(gateway, &plan, caller).await,
        Err(refusal) => {
            let facts = requests::read_request(head);
            let version = gateway.tables.borrow().routes.version();
            let age = gateway.store.age();
            tracing::info!(
                event = "refused", request = %facts.id, code = refusal.code.number(),
                reason = refusal.code.row().name, path = head.path(), config = version,
                store_age_ms = age.as_millis() as u64,
            );
            gateway.board.count_result(refusal.code);
            // On a kept connection the caller's next request would come here too.
            caller.close |= gateway.is_cut_off();
            let note = answering::make_note(refusal.code, RunState::NotRun, refusal.retry_after);
            // A caller that is gone needs no refusal.
            caller.send_refusal(&note).await.ok();
        }
    }
}

async fn admit<'call>(
    gateway: &Rc<Gateway>,
    head: &'call RequestHead,
    body: &'call [u8],
    arrived: Instant,
) -> Result<CallPlan<'call>, EntryRefusal> {
    let facts = requests::read_request(head);
    let (route, customer) = match_request(gateway, head, &facts)?;
    check_stop(gateway, route.timeout)?;
    let service = route.pick_service(fastrand::f64()).map(Arc::clone);
    let service = service.ok_or(codetable::NO_BACKEND_SERVER)?;
    let waits = facts.timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
    let rank = customer.as_ref().and_then(|customer| customer.priority);
    let mut plan = CallPlan {
        head,
        body,
        urgency: rank.unwrap_or(route.priority),
        facts,
        route,
        customer,
        service,
        arrived,
        deadline: arrived + waits.saturating_sub(DEADLINE_MARGIN),
        budget: None,
    };
    check_load(gateway, &plan)?;
    plan.budget = hold_budget(gateway, &plan).await?;
    gateway.note_fresh(&plan.service);
    Ok(plan)
}

/// Refuses what may not end within the grace period of a stop that has begun.
fn check_stop(gateway: &Gateway, timeout: Duration) -> Result<(), EntryRefusal> {
    let Some(since) = gateway.stopping.get() else {
        return Ok(());
    };
    let grace = gateway.settings.grace.saturating_sub(since.elapsed());
    let fits = since.elapsed() < STOP_SERVE || timeout + STOP_MARGIN < grace;
    if fits && !gateway.closed.get() {
        return Ok(());
    }
    Err(EntryRefusal { code: codetable::STOPPING, retry_after: Some(grace + STOP_RETRY) })
}

/// Refuses at once what the servers cannot begin in time.
fn check_load(gateway: &Gateway, plan: &CallPlan<'_>) -> Result<(), EntryRefusal> {
    let waits = plan.facts.timeout.unwrap_or(plan.route.timeout);
    let returned = waits < plan.route.timeout.mul_f64(RETURNED_PART);
    let query = AdmissionQuery { rank: plan.urgency, returned };
    if gateway.admits(&plan.service, query) {
        return Ok(());
    }
    let wait = returns::pick_wait(RefusalCause::Overload, waits, fastrand::f64());
    Err(EntryRefusal { code: codetable::OVERLOADED, retry_after: Some(wait) })
}

fn match_request(
    gateway: &Gateway,
    head: &RequestHead,
    facts: &RequestFacts,
) -> Result<(Arc<RouteRule>, Option<Arc<CustomerProfile>>), EntryRefusal> {
    let tables = gateway.tables.borrow();
    let left = facts.timeout.unwrap_or(Duration::MAX);
    let later = Some(returns::pick_wait(RefusalCause::Uninformed, left, fastrand::f64()));
    if tables.routes.version() == 0 {
        return Err(EntryRefusal { code: codetable::STORE_UNAVAILABLE, retry_after: later });
    }
    let unknown = |code: ResultCode| {
        if gateway.store.age() > KNOWLEDGE_AGE {
            return EntryRefusal { code: codetable::STORE_UNAVAILABLE, retry_after: later };
        }
        EntryRefusal::from(code)
    };
    let route = tables.routes.find_route(head.host(), head.path());
    let route = route.ok_or_else(|| unknown(codetable::NO_SUCH_ROUTE))?;
    if route.public || !tables.routes.requires_keys() {
        return Ok((Arc::clone(route), None));
    }
    let key = facts.key.as_deref().ok_or(codetable::UNKNOWN_KEY)?;
    let customer = tables.routes.find_customer(key);
    let customer = customer.ok_or_else(|| unknown(codetable::UNKNOWN_KEY))?;
    Ok((Arc::clone(route), Some(Arc::clone(customer))))
}

/// Holds the worst case of a request for a model against its customer's budget.
async fn hold_budget(
    gateway: &Rc<Gateway>,
    plan: &CallPlan<'_>,
) -> Result<Option<BudgetGuard>, EntryRefusal> {
    let (Some(customer), Some(prompt)) = (&plan.customer, &plan.facts.prompt) else {
        return Ok(None);
    };
    let Some(stated) = customer.prepaid else {
        return Ok(None);
    };
    let need = BudgetNeed {
        customer: &customer.name,
        stated,
        request: &plan.facts.id,
        service: &plan.service,
        prompt: prompt.prompt,
        output: prompt.output,
        rank: plan.urgency,
        left: plan.left(),
    };
    let taken = borrowing::take_budget(gateway, &need).await;
    if let Err(failure) = &taken {
        tracing::info!(
            event = "budget_refused", request = %need.request, customer = %need.customer,
            prompt = need.prompt, output = need.output, stated = need.stated, failure = ?failure,
        );
    }
    taken.map(Some).map_err(|failure| match failure {
        HoldFailure::Uncovered => codetable::BUDGET_EXHAUSTED.into(),
        HoldFailure::Short => {
            let is_outage = gateway.store.age() > OUTAGE_LEAST && !gateway.desk.unanswered.get();
            let cause = if is_outage { RefusalCause::Outage } else { RefusalCause::Unconfirmed };
            let wait = returns::pick_wait(cause, plan.left(), fastrand::f64());
            EntryRefusal { code: codetable::BUDGET_UNCONFIRMED, retry_after: Some(wait) }
        }
    })
}
