//! Dispatches an admitted request: tries servers until it has a response or no server may be tried.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use toucanrail::attempts::{AttemptHistory, AttemptOutcome, NextStep};
use toucanrail::backends::{BackendEntry, BackendId};
use toucanrail::codes::{ResultCode, RunState};
use toucanrail::codetable;
use toucanrail::holds::HoldScope;
use toucanrail::ids::SoftwareVersion;
use toucanrail::link_shares;
use toucanrail::permits as permit_rules;
use toucanrail::probes::{self, ProbeRow};
use toucanrail::retry_delays::{self, RefusalCause};
use toucanrail::suspects::{EndNote, SuspectKey, SuspectNote};
use toucanrail_wire::time_limits;

use crate::liveness;
use crate::loan_client::BudgetGuard;
use crate::permits::{self, SendPermit};
use crate::placing::{PlacementContext, ProbeCause};
use crate::request_context::{
    AttemptContext, AttemptResult, FailedResponse, RequestPlan, StreamState,
};
use crate::responding::{self, HeadWriter, ResponseWriter};
use crate::sending;
use crate::server_ends;
use crate::state::Gateway;
use crate::suspect_reports;

/// Maximum wait for load reports; most relays respond within a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(40);

/// How a request ended, as logged.
#[derive(Debug, Clone, Copy)]
enum RequestEnd {
    Whole,
    Delivered,
    Refused(ResultCode),
    Cut,
    CallerGone,
}

/// Serves one admitted request.
pub async fn dispatch(gateway: &Rc<Gateway>, plan: &RequestPlan<'_>, writer: &mut ResponseWriter) {
    let mut dispatch = RequestDispatch {
        gateway,
        plan,
        history: AttemptHistory::new(plan.route.kind, plan.route.attempts),
        tried: Vec::new(),
        last_version: None,
        stream: StreamState::new(plan.info.last_event, plan.origin.clone()),
        failed_response: None,
        offload_draw: fastrand::f64(),
        finished: false,
    };
    let end = dispatch.run(writer).await;
    dispatch.finished = true;
    dispatch.count_end(end);
    dispatch.log_end(end);
}

struct RequestDispatch<'run, 'request> {
    gateway: &'run Rc<Gateway>,
    plan: &'run RequestPlan<'request>,
    history: AttemptHistory,
    tried: Vec<BackendId>,
    /// Software version of the server tried last, for logging.
    last_version: Option<SoftwareVersion>,
    stream: StreamState,
    failed_response: Option<FailedResponse>,
    /// Random number that decides whether all remote servers are candidates. It is drawn once, so
    /// that probes and placement consider the same servers.
    offload_draw: f64,
    finished: bool,
}

impl Drop for RequestDispatch<'_, '_> {
    /// A caller that disconnects drops the dispatch at whatever point it waits. The tokens used so
    /// far are billed all the same, so the end must be logged here too; a bill of 142,000 tokens
    /// once could not be explained without that line.
    fn drop(&mut self) {
        if !self.finished {
            self.log_end(RequestEnd::CallerGone);
        }
        if self.plan.is_trial && self.history.run_state() == RunState::NotRun {
            suspect_reports::return_trial(self.gateway, &self.plan.suspects);
        }
    }
}

impl RequestDispatch<'_, '_> {
    async fn run(&mut self, writer: &mut ResponseWriter) -> RequestEnd {
        loop {
            let probed = self.probe_servers().await;
            let Some((target, source)) = self.pick_target(&probed) else {
                let step = self.history.final_step(self.last_outcome());
                return self.finish(step, writer);
            };
            if !self.wait_for_permit(&target).await {
                let step = self.history.final_step(self.last_outcome());
                return self.finish(step, writer);
            }
            let permit = permits::request_permit(self.gateway, &target).await;
            if permit == SendPermit::Denied || self.refuses_work(&target) {
                continue;
            }
            self.tried.push(Arc::clone(&target.id));
            self.last_version = Some(Arc::clone(&target.software_version));
            self.gateway.count_site(&target);
            let sent_at = self.gateway.now();
            let outcome = match self.attempt(&target, source, permit, writer).await {
                AttemptResult::Complete => {
                    suspect_reports::record_success(self.gateway, self.plan);
                    let (route, bytes) = (&self.plan.route.name, self.stream.received_bytes);
                    self.gateway.record_response_size(route, bytes);
                    return RequestEnd::Whole;
                }
                AttemptResult::CallerGone => return RequestEnd::CallerGone,
                AttemptResult::Failed(response) => {
                    self.failed_response = Some(response);
                    AttemptOutcome::Failed
                }
                AttemptResult::Incomplete(outcome) => outcome,
            };
            self.record_outcome(&target, outcome);
            self.check_server(&target, outcome, sent_at).await;
            let step = match self.history.next_step(outcome, self.plan.time_left()) {
                NextStep::Retry if !self.is_held_back() && self.may_retry() => continue,
                NextStep::Retry => self.history.final_step(outcome),
                step => step,
            };
            return self.finish(step, writer);
        }
    }

    /// If only servers that need permits are left, waits until one for the chosen server may be
    /// available again. Returns false if that would take too long.
    async fn wait_for_permit(&self, target: &BackendEntry) -> bool {
        let now = self.gateway.now();
        let delay = {
            let tables = self.gateway.tables.borrow();
            let row = tables.backends.get(&target.id);
            row.map_or(Duration::ZERO, |row| row.permit_delay(now))
        };
        let (plan, elapsed) = (self.plan, self.plan.arrived.elapsed());
        let wait =
            permit_rules::pick_wait(delay, elapsed, plan.route.latency_target, fastrand::f64());
        if let Some(wait) = wait.filter(|wait| !wait.is_zero()) {
            smol::Timer::after(wait).await;
        }
        wait.is_some()
    }

    /// Returns whether a server rests or leaves, as it may have stated while the request waited for
    /// its permit.
    fn refuses_work(&self, target: &BackendEntry) -> bool {
        let now = self.gateway.now();
        let tables = self.gateway.tables.borrow();
        tables
            .backends
            .get(&target.id)
            .is_some_and(|row| row.statements.is_resting(now) || row.is_leaving())
    }

    /// Takes a retry from the service's retry budget. Only a request that has already been sent to
    /// a server counts as a retry.
    fn may_retry(&self) -> bool {
        let allowed = self.history.sent == 0 || self.gateway.try_spend_retry(&self.plan.service);
        if !allowed {
            self.gateway.metrics.count_event("retries_refused");
        }
        allowed
    }

    fn last_outcome(&self) -> AttemptOutcome {
        if self.failed_response.is_some() {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::NotSent
        }
    }

    /// Returns what the choice of the next server depends on besides the tables.
    fn placement(&self) -> PlacementContext<'_> {
        PlacementContext {
            gateway: self.gateway,
            plan: self.plan,
            body: self.plan.body.len(),
            origin: self.stream.origin.as_ref(),
            tried: &self.tried,
            offload_draw: self.offload_draw,
        }
    }

    /// Requests load reports from the relays beside some of the servers. Done for long prompts, and
    /// for others while requests wait too long for their first event and free slots may be scarce.
    async fn probe_servers(&self) -> Vec<ProbeRow> {
        let placement = self.placement();
        match placement.probe_cause(fastrand::f64()) {
            Some(ProbeCause::LongPrompt) => {
                self.gateway.metrics.count_event("long_prompts_probed");
            }
            Some(ProbeCause::ScarceSlots) => {}
            None => return Vec::new(),
        }
        let query = placement.query(fastrand::f64());
        let candidates = {
            let tables = self.gateway.tables.borrow();
            let eligible = placement.list_eligible(&tables.backends, query.now);
            let random: [f64; probes::PROBE_SAMPLES] = std::array::from_fn(|_| fastrand::f64());
            probes::pick_candidates(&eligible, &query, &random)
        };
        let probing = candidates.into_iter().map(|entry| {
            let gateway = Rc::clone(self.gateway);
            self.gateway.executor.spawn(async move {
                let fetching = liveness::fetch_load(&gateway, &entry);
                let report = time_limits::timeout(PROBE_TIMEOUT, fetching).await.flatten();
                (entry, report)
            })
        });
        let mut probed = Vec::new();
        for task in probing.collect::<Vec<_>>() {
            probed.push(task.await);
        }
        self.gateway.record_reports(&self.plan.service, &probed);
        self.log_probes(&probed);
        probed
    }

    fn log_probes(&self, probed: &[ProbeRow]) {
        let loads = probed.iter().map(|(entry, report)| {
            let load = report.as_ref().map(|report| (report.runs.len(), report.waiting));
            (&entry.id, load, entry.slots)
        });
        tracing::info!(
            event = "servers_probed", request = %self.plan.info.id,
            running_waiting_slots = ?loads.collect::<Vec<_>>(),
        );
    }

    /// Picks a server, and a second one that holds shared parts of the prompt in its cache, if
    /// there is a better source than the server itself.
    fn pick_target(&self, probed: &[ProbeRow]) -> Option<(BackendEntry, Option<SocketAddr>)> {
        let placement = self.placement();
        let query = placement.query(fastrand::f64());
        let (target, costs) = {
            let tables = self.gateway.tables.borrow();
            let choice = placement.pick_server(&tables, &query, probed);
            let target = choice.row.map(|row| {
                let source = placement.pick_source(&tables, &query, row);
                (row.entry.clone(), source.map(|source| source.entry.address))
            });
            (target, choice.costs)
        };
        // Later choices lack the servers that were tried.
        if let Some(costs) = costs.filter(|_| self.tried.is_empty()) {
            self.gateway.record_costs(&self.plan.service, costs, query.now);
        }
        target
    }

    async fn attempt(
        &mut self,
        target: &BackendEntry,
        source: Option<SocketAddr>,
        permit: SendPermit,
        writer: &mut ResponseWriter,
    ) -> AttemptResult {
        // Giving up on this attempt early only helps if another attempt may follow.
        let next =
            AttemptHistory { sent: self.history.sent + 1, may_have_run: true, ..self.history };
        let may_fail_over = next.may_send(self.plan.time_left());
        let (gateway, plan) = (self.gateway, self.plan);
        let context = AttemptContext { gateway, plan, target, source, permit, may_fail_over };
        let result = sending::run_attempt(&context, writer, &mut self.stream).await;
        self.history.begun = writer.has_started();
        result
    }

    fn record_outcome(&mut self, target: &BackendEntry, outcome: AttemptOutcome) {
        let now = self.gateway.now();
        self.history.record(outcome);
        if let Some(budget) = &self.plan.budget {
            budget.set_may_have_run(self.history.may_have_run);
        }
        // A connection that the entry's own loaded link delays says nothing about the server.
        let is_delayed = link_shares::is_loaded(self.gateway.delaying_load());
        let mut tables = self.gateway.tables.borrow_mut();
        match outcome {
            AttemptOutcome::NotSent if is_delayed => {}
            AttemptOutcome::NotSent => tables.backends.record_connect_failure(&target.id, now),
            AttemptOutcome::Declined | AttemptOutcome::Withheld => {}
            AttemptOutcome::Failed
            | AttemptOutcome::Unproved
            | AttemptOutcome::Lost
            | AttemptOutcome::Malformed
            | AttemptOutcome::Broken
            | AttemptOutcome::TimedOut => tables.backends.record_failure(&target.id, now),
        }
        if matches!(
            outcome,
            AttemptOutcome::NotSent | AttemptOutcome::Lost | AttemptOutcome::Broken
        ) {
            // The server may have restarted, and be cold again, before its new registration is seen
            // here.
            if let Some(rule) = tables.routes.cold_rule(&target.service) {
                tables.backends.record_cold(&target.id, rule.time, now);
            }
        }
        drop(tables);
        tracing::info!(
            event = "attempt_failed", request = %self.plan.info.id, server = %target.id,
            version = %target.software_version, fate = ?outcome, sent = self.history.sent, limit = self.history.limit,
            left_ms = self.plan.time_left().as_millis() as u64, last_event = self.stream.last_event(),
            framing = self.stream.framing_name(), partial_bytes = self.stream.partial_bytes,
        );
    }

    /// Finds out whether the server of a broken attempt has ended, and reports it if so.
    async fn check_server(
        &self,
        target: &BackendEntry,
        outcome: AttemptOutcome,
        sent_at: Duration,
    ) {
        if !matches!(outcome, AttemptOutcome::Lost | AttemptOutcome::Broken) {
            return;
        }
        let (ended_at, progressed) = (self.gateway.now(), self.stream.has_progressed());
        if !server_ends::has_ended(self.gateway, target).await {
            return;
        }
        tracing::info!(
            event = "ended_under_request", request = %self.plan.info.id,
            content = %format_args!("{:016x}", self.plan.content), server = %target.id,
            started_at = target.started_at, stage = ?self.stream.stage(), progressed,
            last_event = self.stream.last_event(), parts = %self.list_parts(),
        );
        let now = self.gateway.now();
        let note = EndNote {
            process: target.process(),
            content: self.plan.content,
            stage: self.stream.stage(),
            sent_ago: now.saturating_sub(sent_at),
            ended_ago: now.saturating_sub(ended_at),
            served_ago: self.gateway.tables.borrow().holds.served_age(&self.plan.service, now),
            suspects: self.list_suspects(progressed, now),
        };
        suspect_reports::report_end(self.gateway, note).await;
    }

    /// Returns what may be at fault for the end of a server: nothing of a request whose response had
    /// gone on for some time.
    fn list_suspects(&self, progressed: bool, now: Duration) -> Vec<SuspectNote> {
        if progressed {
            return Vec::new();
        }
        let tables = self.gateway.tables.borrow();
        let note = |key: &SuspectKey| SuspectNote {
            key: *key,
            succeeded_ago: tables.holds.success_age(*key, now),
        };
        self.plan.suspects.iter().map(note).collect()
    }

    /// Returns whether servers have ended under the request, or under others like it, so that it goes
    /// to no other one.
    fn is_held_back(&self) -> bool {
        let (tables, now) = (self.gateway.tables.borrow(), self.gateway.now());
        tables.holds.find_hold(&self.plan.suspects, HoldScope::Repeat, now).is_some()
    }

    /// Returns the ids of the prompt's parts, for logging.
    fn list_parts(&self) -> String {
        let parts = self.plan.info.prompt.iter().flat_map(|prompt| &prompt.parts);
        parts.map(|part| format!("{:x}", part.id)).collect::<Vec<_>>().join(",")
    }

    fn finish(&mut self, step: NextStep, writer: &mut ResponseWriter) -> RequestEnd {
        let Some(head_writer) = writer.head_writer() else {
            return RequestEnd::Cut;
        };
        match step {
            NextStep::Forward => match self.failed_response.take() {
                Some(response) => {
                    // The caller may have disconnected; then nobody needs the response.
                    head_writer.send_response(&response.head, &response.body).ok();
                    RequestEnd::Delivered
                }
                None => self.refuse(codetable::BACKEND_FAILED, head_writer),
            },
            NextStep::Fail(code) => self.refuse(code, head_writer),
            NextStep::Truncate | NextStep::Retry => RequestEnd::Cut,
        }
    }

    fn refuse(&self, code: ResultCode, writer: HeadWriter<'_>) -> RequestEnd {
        let run = self.history.run_state();
        let wait =
            retry_delays::pick_delay(self.refusal_cause(), self.plan.time_left(), fastrand::f64());
        let wait = (run == RunState::NotRun).then_some(wait);
        let details = responding::make_refusal(code, run, wait);
        // The caller may have disconnected; then nobody needs the refusal.
        writer.send_refusal(&details).ok();
        RequestEnd::Refused(code)
    }

    /// Returns the cause of a refusal, on which the caller's delay depends.
    fn refusal_cause(&self) -> RefusalCause {
        let now = self.gateway.now();
        let tables = self.gateway.tables.borrow();
        let origin = self.stream.origin.as_ref();
        let eligible = tables.backends.eligible_for(&self.plan.service, origin, &[], now);
        let any_eligible = !eligible.is_empty();
        let rest = tables.backends.rest_left(&self.plan.service, now);
        rest.filter(|_| !any_eligible).map_or(RefusalCause::Declined, RefusalCause::Resting)
    }

    fn count_end(&self, end: RequestEnd) {
        let code = match end {
            RequestEnd::Whole => codetable::OK,
            RequestEnd::Delivered => codetable::BACKEND_FAILED,
            RequestEnd::Refused(code) => code,
            RequestEnd::Cut => codetable::ANSWER_CUT,
            RequestEnd::CallerGone => codetable::CANCELLED,
        };
        self.gateway.metrics.count_result(code);
        if let Some(first) = self.time_to_first_byte() {
            self.gateway.metrics.first_byte.observe(first.as_secs_f64());
        }
    }

    /// Returns how long the caller waited for the first bytes of the response.
    fn time_to_first_byte(&self) -> Option<Duration> {
        self.stream.first_byte_at.map(|at| at - self.plan.arrived)
    }

    fn log_end(&self, end: RequestEnd) {
        let first = self.time_to_first_byte().unwrap_or_default();
        let customer = self.plan.customer.as_ref().map(|customer| Arc::clone(&customer.name));
        tracing::info!(
            event = "request_ended", request = %self.plan.info.id,
            content = %format_args!("{:016x}", self.plan.content), route = %self.plan.route.name,
            service = %self.plan.service, customer = customer.as_deref(), end = ?end,
            run = self.history.run_state().as_str(), sent = self.history.sent, tried = ?self.tried,
            version = self.last_version.as_deref(), after_event = self.plan.info.last_event,
            resumes = self.plan.info.resumed_attempt.as_deref(),
            framing = self.stream.framing_name(), events = self.stream.scanner.count,
            partial_bytes = self.stream.partial_bytes, first_ms = first.as_millis() as u64,
            pause_ms = self.stream.longest_pause.as_millis() as u64,
            prompt = self.plan.info.prompt.as_ref().map(|prompt| prompt.prompt_tokens),
            took_ms = Instant::now().duration_since(self.plan.arrived).as_millis() as u64,
            used = self.plan.budget.as_ref().map(BudgetGuard::used),
        );
    }
}
