//! Explains to operators where a request would go now, without sending it.
//!
//! The decisions are those of the request path. Those that change a table are made on a copy of
//! it, so that an explanation sends, reserves, counts and records nothing.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;
use toucanrail::accounts::GrantAccount;
use toucanrail::attempts::{AttemptHistory, AttemptOutcome, NextStep};
use toucanrail::backends::BackendId;
use toucanrail::codes::ResultCode;
use toucanrail::codetable;
use toucanrail::explanations::{self, CandidateCost};
use toucanrail::holds::HoldScope;
use toucanrail::ids::{CustomerId, ServiceName, Tokens, Version};
use toucanrail::link_shares::ShareDecision;
use toucanrail::loans;
use toucanrail::matching::CallerLimits;
use toucanrail::permits;
use toucanrail::scanners::{self, BodyLength};
use toucanrail::suspects::SuspectKey;
use toucanrail_platform::{names, requests};
use toucanrail_wire::heads::{HeadError, RequestHead};

use crate::admitting::{self, AdmissionRefusal};
use crate::link_admission;
use crate::liveness;
use crate::origin_search;
use crate::placing::{PlacementContext, ProbeCause};
use crate::request_context::RequestPlan;
use crate::state::Gateway;
use crate::store_access::RELAY_KIND;
use crate::suspect_reports;

/// Path of explanations at an entry's internal address.
pub const EXPLAIN_PATH: &str = "/explain";
/// Takes the place of the request path's random numbers. Of two outcomes, it gives the more likely.
const TYPICAL_DRAW: f64 = 0.5;

/// What would refuse a request.
#[derive(Debug, Clone, Copy, Serialize)]
struct RefusalView {
    code: ResultCode,
    name: &'static str,
    /// Name of the header field that is the cause.
    field: Option<&'static str>,
}

/// What the request's fate may depend on although this entry does not know it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
enum UnknownInput {
    /// Whether the content of the request, which has a body, is held back.
    Content,
    /// Where the stream began that the request takes up; relays would be asked, and the candidates
    /// depend on it.
    Origin,
    /// Whether a relay allows a trial of the request, which is held back.
    Trial,
    /// Whether a relay gives a permit for the chosen server.
    Permit,
}

/// What this entry knows of the budget that a request needs.
#[derive(Debug, Clone, Serialize)]
struct BudgetView {
    /// Tokens that the request uses at most.
    needed: Tokens,
    /// The lender that would be asked first; without one, the entry uses its own grant.
    lender: Option<Arc<str>>,
    /// Whether this entry has a copy of the account.
    is_known: bool,
    /// Tokens left in the entry's own grant.
    granted: Tokens,
    /// Whether the copy shows that the balance does not cover the request.
    is_uncovered: bool,
}

/// A candidate, and the age of the server's last load report that this entry has.
#[derive(Debug, Clone, Serialize)]
struct CandidateView {
    #[serde(flatten)]
    cost: CandidateCost,
    report_age_ms: Option<u64>,
}

/// Time since this entry last heard of its inputs, in milliseconds; none if it never has.
#[derive(Debug, Clone, Copy, Default, Serialize)]
struct InputAges {
    configuration: Option<u64>,
    servers: Option<u64>,
    paces: Option<u64>,
}

/// Where a request would go now.
#[derive(Debug, Default, Serialize)]
struct Explanation {
    entry: Arc<str>,
    config_version: Version,
    ages_ms: InputAges,
    route: Option<Arc<str>>,
    customer: Option<CustomerId>,
    service: Option<ServiceName>,
    /// The first refusal on the request's way; none if nothing would refuse it.
    refusal: Option<RefusalView>,
    /// Time for which the request would wait for its share of the entry's link.
    link_wait_ms: u64,
    /// What else may decide.
    unknown: Vec<UnknownInput>,
    /// The budget that the request needs; none if it needs none.
    budget: Option<BudgetView>,
    /// Why load reports would be requested first. The choice may differ then.
    probes: Option<ProbeCause>,
    /// The candidates by cost, the lowest first.
    candidates: Vec<CandidateView>,
    /// The server that the request would be sent to first.
    chosen: Option<BackendId>,
    /// The server that shared parts of the prompt would be fetched from.
    fetch_from: Option<BackendId>,
}

impl Explanation {
    /// Notes a refusal unless an earlier step refuses the request already.
    fn refuse<Refusal>(&mut self, refusal: Refusal)
    where
        Refusal: Into<AdmissionRefusal>,
    {
        let AdmissionRefusal { code, field, .. } = refusal.into();
        self.refusal.get_or_insert(RefusalView { code, name: code.row().name, field });
    }

    fn check(&mut self, result: Result<(), AdmissionRefusal>) {
        if let Err(refusal) = result {
            self.refuse(refusal);
        }
    }
}

/// Explains where the request with this head would go now. Returns false if the head is malformed or
/// its route unknown, which is then the refusal whatever else applies, and the reply as JSON.
pub fn explain(gateway: &Gateway, bytes: &[u8]) -> (bool, Vec<u8>) {
    let (version, limits) = {
        let routes = &gateway.tables.borrow().routes;
        (routes.version(), routes.limits())
    };
    let mut explanation = Explanation {
        entry: Arc::clone(&gateway.id),
        config_version: version,
        ages_ms: InputAges {
            configuration: heard_ago(gateway, names::CONFIG_KIND),
            servers: heard_ago(gateway, names::SERVER_KIND),
            paces: heard_ago(gateway, RELAY_KIND),
        },
        ..Explanation::default()
    };
    let result = match parse_head(bytes, limits) {
        Ok(head) => explain_head(gateway, &head, limits, &mut explanation),
        Err(code) => Err(code),
    };
    if let Err(code) = result {
        explanation.refusal = None;
        explanation.refuse(code);
    }
    // Serialization can only fail for maps whose keys are not strings.
    let json = serde_json::to_vec_pretty(&explanation).unwrap_or_default();
    (result.is_ok(), json)
}

fn heard_ago(gateway: &Gateway, kind: &str) -> Option<u64> {
    gateway.store.time_since_heard(kind).map(as_millis)
}

fn as_millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// Parses bytes that must be one complete head and nothing else.
fn parse_head(bytes: &[u8], limits: CallerLimits) -> Result<RequestHead, ResultCode> {
    if bytes.len() > limits.head {
        return Err(codetable::HEAD_TOO_LARGE);
    }
    if scanners::find_head_end(bytes) != Some(bytes.len()) {
        return Err(codetable::BAD_REQUEST);
    }
    RequestHead::parse(bytes).map_err(|HeadError::Malformed(code)| code)
}

/// Takes the steps of the request path up to the placement, in their order. Fails if the route is
/// unknown.
fn explain_head(
    gateway: &Gateway,
    head: &RequestHead,
    limits: CallerLimits,
    explanation: &mut Explanation,
) -> Result<(), ResultCode> {
    let info = requests::parse_request(head);
    match link_admission::preview_share(gateway, head, limits) {
        ShareDecision::Admit => {}
        ShareDecision::Wait(wait) => explanation.link_wait_ms = as_millis(wait),
        ShareDecision::Refuse(_) => explanation.refuse(codetable::LINK_FULL),
    }
    if body_length(head) > limits.body as u64 {
        explanation.refuse(codetable::BODY_TOO_LARGE);
    }
    explanation.route = {
        let tables = gateway.tables.borrow();
        let route = tables.routes.find_route(head.host(), head.path());
        route.map(|route| Arc::clone(&route.name))
    };
    let matched = match admitting::match_route(gateway, head, &info) {
        Ok(matched) => matched,
        Err(refusal) if refusal.code == codetable::NO_SUCH_ROUTE => return Err(refusal.code),
        Err(refusal) => {
            explanation.refuse(refusal);
            return Ok(());
        }
    };
    let (route, customer) = &matched;
    explanation.customer = customer.as_ref().map(|customer| Arc::clone(&customer.name));
    explanation.check(admitting::check_token_counts(&info, customer.as_deref()));
    let timeout = admitting::find_timeout(route, &info);
    explanation.check(admitting::check_stopping(gateway, timeout));
    let mut origin = None;
    if route.kind.is_stream() && info.takes_up_stream {
        let Some((found, _)) = origin_search::find_known(gateway, &info, route) else {
            explanation.unknown.push(UnknownInput::Origin);
            return Ok(());
        };
        match origin_search::judge_origin(gateway, route, Some(found)) {
            Ok(found) => origin = Some(found),
            Err((code, _)) => {
                explanation.refuse(code);
                return Ok(());
            }
        }
    }
    let service = match &origin {
        Some(origin) => Some(&origin.service),
        None => route.pick_service(TYPICAL_DRAW),
    };
    let Some(service) = service.map(Arc::clone) else {
        explanation.refuse(codetable::NO_BACKEND_SERVER);
        return Ok(());
    };
    explanation.service = Some(Arc::clone(&service));
    let mut plan = admitting::make_plan(head, &[], info, matched, service, origin, Instant::now());
    if body_length(head) > 0 {
        explanation.unknown.push(UnknownInput::Content);
        plan.suspects.retain(|suspect| !matches!(suspect, SuspectKey::Content(_)));
    }
    explain_admission(gateway, &plan, explanation);
    explain_placement(gateway, &plan, explanation);
    Ok(())
}

/// Returns the size of the body that a head states; 1 at least if it is chunked.
fn body_length(head: &RequestHead) -> u64 {
    match head.length {
        BodyLength::Absent => 0,
        BodyLength::Exact(bytes) => bytes,
        BodyLength::Chunked => 1,
    }
}

fn explain_admission(gateway: &Gateway, plan: &RequestPlan<'_>, explanation: &mut Explanation) {
    let now = gateway.now();
    let hold = gateway.tables.borrow().holds.find_hold(&plan.suspects, HoldScope::New, now);
    if let Some(hold) = hold {
        let asked_at = suspect_reports::trial_asked_at(gateway);
        if hold.is_trial_due(asked_at, now) {
            explanation.unknown.push(UnknownInput::Trial);
        } else {
            explanation.refuse(codetable::HELD_BACK);
        }
    }
    if !gateway.would_admit(&plan.service, admitting::admission_query(plan)) {
        explanation.refuse(codetable::OVERLOADED);
    }
    explanation.budget = view_budget(gateway, plan);
}

/// Returns what is known of the budget without a question to a lender or the store.
fn view_budget(gateway: &Gateway, plan: &RequestPlan<'_>) -> Option<BudgetView> {
    let customer = plan.customer.as_ref().filter(|customer| customer.prepaid.is_some())?;
    let needed = plan.info.prompt.as_ref()?.max_usage();
    let manager = &gateway.grant_manager;
    let ranked = loans::rank_lenders(&gateway.working_lenders(), &manager.shard_of(&customer.name));
    let mut available =
        ranked.into_iter().filter(|(name, _)| !gateway.loan_client.avoids(name, gateway.now()));
    let grants = manager.grants.borrow();
    Some(BudgetView {
        needed,
        lender: available.next().map(|(name, _)| name),
        is_known: grants.cached_balance(&customer.name).is_some(),
        granted: grants.account(&customer.name).map_or(0, GrantAccount::available),
        is_uncovered: grants.is_uncovered(&customer.name, needed),
    })
}

fn explain_placement(gateway: &Gateway, plan: &RequestPlan<'_>, explanation: &mut Explanation) {
    let placement = PlacementContext {
        gateway,
        plan,
        body: body_length(plan.head) as usize,
        origin: plan.origin.as_ref(),
        tried: &[],
        offload_draw: TYPICAL_DRAW,
    };
    explanation.probes = placement.probe_cause(TYPICAL_DRAW);
    let query = placement.query(TYPICAL_DRAW);
    let tables = gateway.tables.borrow();
    let eligible = placement.list_eligible(&tables.backends, query.now);
    let rule = tables.routes.pause_rule(&plan.service);
    let costs = explanations::list_costs(&eligible, &query, &rule);
    let view = |cost: CandidateCost| {
        let report_age_ms = liveness::report_age(gateway, &cost.server).map(as_millis);
        CandidateView { cost, report_age_ms }
    };
    explanation.candidates = costs.into_iter().map(view).collect();
    let chosen = placement.pick_server(&tables, &query, &[]).row;
    let latency_target = plan.route.latency_target;
    let chosen = chosen.filter(|row| {
        let delay = row.permit_delay(query.now);
        permits::pick_wait(delay, Duration::ZERO, latency_target, TYPICAL_DRAW).is_some()
    });
    if let Some(row) = chosen {
        let source = placement.pick_source(&tables, &query, row);
        explanation.chosen = Some(Arc::clone(&row.entry.id));
        explanation.fetch_from = source.map(|source| Arc::clone(&source.entry.id));
        if row.needs_permit(query.now) {
            explanation.unknown.push(UnknownInput::Permit);
        }
        return;
    }
    let history = AttemptHistory::new(plan.route.kind, plan.route.attempts);
    if let NextStep::Fail(code) = history.final_step(AttemptOutcome::NotSent) {
        explanation.refuse(code);
    }
}
