//! One admitted request: servers are tried until it has its answer or none may be tried any more.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use toucanrail::attempts::{AttemptHistory, AttemptOutcome, NextStep};
use toucanrail::backends::{BackendEntry, BackendId, BackendRow, BackendTable};
use toucanrail::codes::{ResultCode, RunState};
use toucanrail::codetable;
use toucanrail::matching;
use toucanrail::placement::{self, PlacementQuery};
use toucanrail::probes::{self, ProbeRow};
use toucanrail::retry_delays::{self, RefusalCause};
use toucanrail_wire::clocks;

use crate::answering::{self, CallerSide};
use crate::borrowing::BudgetGuard;
use crate::calls::{AttemptContext, AttemptEnd, CallPlan, FailedAnswer, StreamState};
use crate::permitting::{self, SendPermit};
use crate::sending;
use crate::sighting;
use crate::states::Gateway;

/// Longest wait for the load of servers: most relays answer within some milliseconds.
const PROBE_BOUND: Duration = Duration::from_millis(40);

/// Part of the hoped-for time for which a request waits for permits where all servers are cold, and the time
/// over which those that wait for the same one are spread.
const PERMIT_WAIT_PART: f64 = 0.8;
const PERMIT_SPREAD: Duration = Duration::from_millis(60);

/// How a request ended, for its log line.
#[derive(Debug, Clone, Copy)]
enum RequestEnd {
    Whole,
    Delivered,
    Refused(ResultCode),
    Cut,
    CallerGone,
}

/// Serves one admitted request.
pub async fn dispatch(gateway: &Rc<Gateway>, plan: &CallPlan<'_>, caller: &mut CallerSide) {
    let mut run = DispatchRun {
        gateway,
        plan,
        tally: AttemptHistory::new(plan.route.kind, plan.route.attempts),
        tried: Vec::new(),
        stream: StreamState::new(plan.facts.last_event),
        failure: None,
        ended: false,
    };
    let end = run.serve(caller).await;
    run.ended = true;
    run.count_end(end);
    run.log_end(end);
}

struct DispatchRun<'run, 'call> {
    gateway: &'run Rc<Gateway>,
    plan: &'run CallPlan<'call>,
    tally: AttemptHistory,
    tried: Vec<BackendId>,
    stream: StreamState,
    failure: Option<FailedAnswer>,
    ended: bool,
}

impl Drop for DispatchRun<'_, '_> {
    /// A caller that closes its connection ends the run wherever it waits. What it used is billed all the
    /// same, and without a line of its own a bill of 142,000 tokens could not be explained.
    fn drop(&mut self) {
        if !self.ended {
            self.log_end(RequestEnd::CallerGone);
        }
    }
}

impl DispatchRun<'_, '_> {
    async fn serve(&mut self, caller: &mut CallerSide) -> RequestEnd {
        loop {
            let probed = self.probe_servers().await;
            let Some((target, source)) = self.pick_target(&probed) else {
                let step = self.tally.final_step(self.last_fate());
                return self.finish(step, caller).await;
            };
            if !self.wait_permits(&target).await {
                let step = self.tally.final_step(self.last_fate());
                return self.finish(step, caller).await;
            }
            let permit = permitting::take_permit(self.gateway, &target).await;
            if permit == SendPermit::Denied {
                continue;
            }
            self.tried.push(Arc::clone(&target.id));
            let fate = match self.attempt(&target, source, permit, caller).await {
                AttemptEnd::Whole => return RequestEnd::Whole,
                AttemptEnd::CallerGone => return RequestEnd::CallerGone,
                AttemptEnd::Failed(answer) => {
                    self.failure = Some(answer);
                    AttemptOutcome::Failed
                }
                AttemptEnd::Ended(fate) => fate,
            };
            self.note_fate(&target, fate);
            let step = match self.tally.next_step(fate, self.plan.left()) {
                NextStep::Retry if self.may_try_again() => continue,
                NextStep::Retry => self.tally.final_step(fate),
                step => step,
            };
            return self.finish(step, caller).await;
        }
    }

    /// Waits until a permit for a cold server may be had again, where no other server is free; false if that
    /// is too late.
    async fn wait_permits(&self, target: &BackendEntry) -> bool {
        let now = self.gateway.now();
        let wait = {
            let tables = self.gateway.tables.borrow();
            let row = tables.backends.get(&target.id);
            row.map_or(Duration::ZERO, |row| row.permit_delay(now))
        };
        if wait.is_zero() {
            return true;
        }
        let wait = wait + PERMIT_SPREAD.mul_f64(fastrand::f64());
        let fits =
            self.plan.arrived.elapsed() + wait < self.plan.route.aim.mul_f64(PERMIT_WAIT_PART);
        if fits {
            smol::Timer::after(wait).await;
        }
        fits
    }

    /// Only a request that was sent before is a retry to the service.
    fn may_try_again(&self) -> bool {
        let allowed = self.tally.sent == 0 || self.gateway.try_retry(&self.plan.service);
        if !allowed {
            self.gateway.board.count_event("retries_refused");
        }
        allowed
    }

    fn last_fate(&self) -> AttemptOutcome {
        if self.failure.is_some() { AttemptOutcome::Failed } else { AttemptOutcome::NotSent }
    }

    fn place_query(&self) -> PlacementQuery<'_> {
        let prompt = self.plan.facts.prompt.as_ref();
        PlacementQuery {
            data_centre: &self.gateway.settings.data_centre,
            parts: prompt.map_or(&[], |prompt| &prompt.parts),
            prompt: prompt.map_or(0, |prompt| prompt.prompt),
            now: self.gateway.now(),
            random: fastrand::f64(),
        }
    }

    /// Returns the servers that the request may go to next.
    fn list_eligible<'table>(
        &self,
        table: &'table BackendTable,
        now: Duration,
    ) -> Vec<&'table BackendRow> {
        let mut eligible = table.eligible(&self.plan.service, &self.tried, now);
        eligible.retain(|row| self.allows(row));
        eligible
    }

    /// Tells whether a server stands in a region that route and customer allow.
    fn allows(&self, row: &BackendRow) -> bool {
        let anywhere = BTreeSet::new();
        let customer = self.plan.customer.as_ref().map_or(&anywhere, |customer| &customer.regions);
        let region = self.gateway.settings.regions.get(&row.entry.data_centre);
        let rules = [&self.plan.route.regions, customer];
        matching::allows_region(rules, region.map(|region| &**region))
    }

    /// Asks the relays beside some servers for their load, where prompts wait longer than they should and for
    /// long prompts.
    async fn probe_servers(&self) -> Vec<ProbeRow> {
        let Some(prompt) = &self.plan.facts.prompt else {
            return Vec::new();
        };
        if !probes::is_long(prompt.prompt) && !self.gateway.should_probe(&self.plan.service) {
            return Vec::new();
        }
        let query = self.place_query();
        let candidates = {
            let tables = self.gateway.tables.borrow();
            let eligible = self.list_eligible(&tables.backends, query.now);
            let dice: [f64; probes::PROBE_SAMPLES] = std::array::from_fn(|_| fastrand::f64());
            probes::pick_candidates(&eligible, &query, &dice)
        };
        let probing = candidates.into_iter().map(|entry| {
            let gateway = Rc::clone(self.gateway);
            self.gateway.executor.spawn(async move {
                let seeing = sighting::see_load(&gateway, &entry);
                let report = clocks::bounded(PROBE_BOUND, seeing).await.flatten();
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
            event = "servers_probed", request = %self.plan.facts.id,
            running_waiting_slots = ?loads.collect::<Vec<_>>(),
        );
    }

    /// Picks the server, and the one that holds the prompt's shared parts where that is another.
    fn pick_target(&self, probed: &[ProbeRow]) -> Option<(BackendEntry, Option<SocketAddr>)> {
        let query = self.place_query();
        let tables = self.gateway.tables.borrow();
        let eligible = self.list_eligible(&tables.backends, query.now);
        let chosen = probes::pick_probed(&eligible, &query, probed, self.plan.route.aim);
        let row = chosen.or_else(|| placement::pick_backend(&eligible, &query))?;
        let mut sources = tables.backends.fetch_sources(&self.plan.service, &self.tried, query.now);
        sources.retain(|row| self.allows(row));
        let source = placement::pick_fetch_source(&sources, &query, row);
        Some((row.entry.clone(), source.map(|source| source.entry.address)))
    }

    async fn attempt(
        &mut self,
        target: &BackendEntry,
        source: Option<SocketAddr>,
        permit: SendPermit,
        caller: &mut CallerSide,
    ) -> AttemptEnd {
        // A further attempt must be possible for an early end of this one to be of use.
        let spare = AttemptHistory { sent: self.tally.sent + 1, may_have_run: true, ..self.tally };
        let may_move = spare.may_send(self.plan.left());
        let (gateway, plan) = (self.gateway, self.plan);
        let context = AttemptContext { gateway, plan, target, source, permit, may_move };
        let end = sending::run_attempt(&context, caller, &mut self.stream).await;
        self.tally.begun = caller.begun;
        end
    }

    fn note_fate(&mut self, target: &BackendEntry, fate: AttemptOutcome) {
        let now = self.gateway.now();
        self.tally.record(fate);
        if let Some(budget) = &self.plan.budget {
            budget.note_sent(self.tally.may_have_run);
        }
        let mut tables = self.gateway.tables.borrow_mut();
        match fate {
            AttemptOutcome::NotSent => tables.backends.note_connect_failure(&target.id, now),
            AttemptOutcome::Declined | AttemptOutcome::Withheld => {}
            AttemptOutcome::Failed
            | AttemptOutcome::Lost
            | AttemptOutcome::Broken
            | AttemptOutcome::TimedOut => tables.backends.note_failure(&target.id, now),
        }
        if matches!(fate, AttemptOutcome::NotSent | AttemptOutcome::Lost | AttemptOutcome::Broken) {
            // It may be gone and start anew before its next registration is known here.
            if let Some(rule) = tables.routes.cold_rule(&target.service) {
                tables.backends.note_cold(&target.id, rule.time, now);
            }
        }
        drop(tables);
        tracing::info!(
            event = "attempt_failed", request = %self.plan.facts.id, server = %target.id,
            fate = ?fate, sent = self.tally.sent, limit = self.tally.limit,
            left_ms = self.plan.left().as_millis() as u64, last_event = self.stream.last_event(),
        );
    }

    async fn finish(&mut self, step: NextStep, caller: &mut CallerSide) -> RequestEnd {
        match step {
            NextStep::Forward => match self.failure.take() {
                Some(answer) => {
                    // A caller that is gone needs no answer.
                    caller.send_whole(&answer.head, &answer.body).await.ok();
                    RequestEnd::Delivered
                }
                None => self.refuse(codetable::BACKEND_FAILED, caller).await,
            },
            NextStep::Fail(code) => self.refuse(code, caller).await,
            NextStep::Truncate | NextStep::Retry => RequestEnd::Cut,
        }
    }

    async fn refuse(&self, code: ResultCode, caller: &mut CallerSide) -> RequestEnd {
        let run = self.tally.run_state();
        let wait =
            retry_delays::pick_delay(RefusalCause::Declined, self.plan.left(), fastrand::f64());
        let wait = (run == RunState::NotRun).then_some(wait);
        let note = answering::make_note(code, run, wait);
        // A caller that is gone needs no refusal.
        caller.send_refusal(&note).await.ok();
        RequestEnd::Refused(code)
    }

    fn count_end(&self, end: RequestEnd) {
        let code = match end {
            RequestEnd::Whole => codetable::OK,
            RequestEnd::Delivered => codetable::BACKEND_FAILED,
            RequestEnd::Refused(code) => code,
            RequestEnd::Cut => codetable::ANSWER_CUT,
            RequestEnd::CallerGone => codetable::CANCELLED,
        };
        self.gateway.board.count_result(code);
        if let Some(first) = self.first_wait() {
            self.gateway.board.first_byte.observe(first.as_secs_f64());
        }
    }

    /// Returns how long the caller waited for the first bytes.
    fn first_wait(&self) -> Option<Duration> {
        self.stream.first_at.map(|at| at - self.plan.arrived)
    }

    fn log_end(&self, end: RequestEnd) {
        let first = self.first_wait().unwrap_or_default();
        let customer = self.plan.customer.as_ref().map(|customer| Arc::clone(&customer.name));
        tracing::info!(
            event = "request_ended", request = %self.plan.facts.id, route = %self.plan.route.name,
            service = %self.plan.service, customer = customer.as_deref(), end = ?end,
            run = self.tally.run_state().as_str(), sent = self.tally.sent, tried = ?self.tried,
            first_ms = first.as_millis() as u64,
            pause_ms = self.stream.pause.as_millis() as u64,
            prompt = self.plan.facts.prompt.as_ref().map(|prompt| prompt.prompt),
            took_ms = Instant::now().duration_since(self.plan.arrived).as_millis() as u64,
            used = self.plan.budget.as_ref().map(BudgetGuard::used),
        );
    }
}
