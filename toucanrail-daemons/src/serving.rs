//! Serves one request of a caller: admits it, runs it at agents, streams the response and bills it
//! once.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_types::Response;
use toucanrail::budgets::BillRow;
use toucanrail::codes::{ResultCode, RunState};
use toucanrail::codetable;
use toucanrail::grants::GrantHold;
use toucanrail::ids::{AgentId, RunId, RunNumber, SoftwareVersion, Tokens, Version};
use toucanrail::limits::ServiceLoad;
use toucanrail::messages::{RunCommand, StoredResponse};
use toucanrail::records::{self, RecordOutcome, RecordState, RunRecord};
use toucanrail::retries;
use toucanrail::routing::{self, RouteQuery};
use toucanrail::traces::TraceStep;
use toucanrail_wire::listeners::ReceivedRequest;
use toucanrail_wire::responses::{self, ErrorDetails};

use crate::attempts::{self, AttemptResult, AttemptTarget};
use crate::billing::{self, BillClaim, BillMarker, PendingAttempt, UsageSum};
use crate::planning::{self, RequestPlan};
use crate::recording;
use crate::responding::{self, ResponseWriter};
use crate::settlement;
use crate::state::Entry;

/// Maximum number of attempts of one request, including the first.
const MAX_ATTEMPTS: u32 = 4;
/// `Retry-After` of a refusal for which no better estimate is available.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum size of a response body that is stored in the record of a non-repeatable request.
const MAX_RECORD_BYTES: usize = 512 * 1024;

/// Serves one request; the response body may still be streaming when this returns.
pub async fn serve(entry: Arc<Entry>, call: ReceivedRequest) -> Response {
    let plan = planning::parse_plan(&entry.mirrors.lock().catalogue, &call);
    let plan = match plan {
        Ok(plan) => plan,
        Err(note) => return entry.refuse(&note),
    };
    let (reply, replied) = async_channel::bounded(1);
    let request = Arc::clone(&plan.request);
    // Runs as a task of its own, so that a request is settled even if the caller disconnects.
    let task = RequestTask::new(Arc::clone(&entry), plan, reply);
    smol::spawn(task.run()).detach();
    let mut response = match replied.recv().await {
        Ok(response) => response,
        Err(_) => entry.refuse(&ErrorDetails::new(codetable::BACKEND_FAILED)),
    };
    response.insert_header(responses::REQUEST_HEADER, &*request);
    response
}

/// One request in progress.
#[derive(Debug)]
struct RequestTask {
    entry: Arc<Entry>,
    plan: RequestPlan,
    writer: ResponseWriter,
    arrived: Instant,
    steps: Vec<TraceStep>,
    hold: Option<GrantHold>,
    sum: UsageSum,
    marker: BillMarker,
    claim: BillClaim,
    tried: BTreeSet<AgentId>,
    /// Software version of the server that began the stream, if it has begun and the version is
    /// known.
    stream_version: Option<SoftwareVersion>,
    attempt: u32,
    /// Number of the last attempt among those of the entry.
    run_number: RunNumber,
    record: Option<(RunRecord, Version)>,
    /// What earlier attempts show about whether the request ran; `None` as long as all of them
    /// provably did not run.
    run_state: Option<RunState>,
    _guard: Arc<()>,
}

/// How a request ended.
#[derive(Debug)]
enum RequestEnd {
    Complete,
    Refused(ErrorDetails),
    Replayed(StoredResponse),
    CallerGone,
}

impl RequestTask {
    fn new(entry: Arc<Entry>, plan: RequestPlan, reply: async_channel::Sender<Response>) -> Self {
        let guard = entry.begin_request();
        let writer = ResponseWriter::new(&plan, reply);
        let (marker, claim) = billing::new_bill_claim();
        Self {
            entry,
            plan,
            writer,
            arrived: Instant::now(),
            steps: Vec::new(),
            hold: None,
            sum: UsageSum::default(),
            marker,
            claim,
            tried: BTreeSet::new(),
            stream_version: None,
            attempt: 0,
            run_number: 0,
            record: None,
            run_state: None,
            _guard: guard,
        }
    }

    async fn run(mut self) {
        self.trace(format!("arrived at {}", self.entry.id));
        let end = match self.begin_keyed() {
            Ok(None) => self.run_new().await,
            Ok(Some(response)) => RequestEnd::Replayed(response),
            Err(code) => RequestEnd::Refused(self.refusal(code)),
        };
        self.send_end(end).await;
        let steps = std::mem::take(&mut self.steps);
        self.entry.lock().traces.append(&self.plan.request, steps);
    }

    fn trace(&mut self, event: String) {
        let after = self.arrived.elapsed();
        self.steps.push(TraceStep { after, event: Arc::from(event) });
    }

    fn refusal(&self, code: ResultCode) -> ErrorDetails {
        let note = ErrorDetails::new(code);
        let retryable = [
            codetable::IN_FLIGHT,
            codetable::BUDGET_UNCONFIRMED,
            codetable::NO_BACKEND_SERVER,
            codetable::STORE_UNAVAILABLE,
            codetable::STOPPING,
        ];
        let note = match self.run_state {
            Some(run) => note.run(run),
            None => note,
        };
        if retryable.contains(&code) { note.retry_after(DEFAULT_RETRY_AFTER) } else { note }
    }

    /// Registers a keyed repeatable request in the replay table, and returns the stored response if
    /// it is a retry. The responses of non-repeatable requests are stored in their records instead.
    fn begin_keyed(&mut self) -> Result<Option<StoredResponse>, ResultCode> {
        if !self.plan.keyed || !self.plan.repeatable {
            return Ok(None);
        }
        self.entry.lock().replays.begin(&self.plan.request, &self.plan.digest)
    }

    async fn run_new(&mut self) -> RequestEnd {
        let end = match self.admit().await {
            Ok(()) => {
                let end = self.run_admitted().await;
                let mut tables = self.entry.lock();
                tables.limits.release(&self.plan.service.name, &self.plan.customer.name);
                end
            }
            Err(note) => RequestEnd::Refused(*note),
        };
        self.end_keyed(&end);
        end
    }

    fn end_keyed(&mut self, end: &RequestEnd) {
        if !self.plan.keyed || !self.plan.repeatable {
            return;
        }
        let complete = matches!(end, RequestEnd::Complete);
        let body = self.writer.replay_body.take().filter(|_| complete);
        let response = body.zip(self.writer.head.clone());
        let response =
            response.map(|(body, (status, fields))| StoredResponse { status, fields, body });
        self.entry.lock().replays.end(&self.plan.request, response);
    }

    async fn admit(&mut self) -> Result<(), Box<ErrorDetails>> {
        let service = Arc::clone(&self.plan.service.name);
        let customer = self.plan.customer.clone();
        let admitted = {
            let now = self.entry.now();
            let mut tables = self.entry.lock();
            let (slots, load) = tables.servers.capacity(&service, now);
            let entries = tables.members.peers().count() as u64 + 1;
            let service_load = ServiceLoad { slots, load, entries };
            if slots == 0 {
                return Err(Box::new(self.refusal(codetable::NO_BACKEND_SERVER)));
            }
            tables.retries.record_request(now);
            let (class, weight) = (customer.class, customer.weight);
            tables.limits.admit(&service, &customer.name, class, weight, service_load)
        };
        admitted.map_err(|refusal| {
            let note = ErrorDetails::new(refusal.code).retry_after(refusal.retry_after);
            Box::new(note)
        })?;
        match self.acquire_hold(self.plan.hold).await {
            Ok(hold) => {
                self.trace(format!("holds {} in tenure {}", hold.amount, hold.epoch));
                self.hold = Some(hold);
                Ok(())
            }
            Err(code) => {
                self.entry.lock().limits.release(&service, &customer.name);
                Err(Box::new(self.refusal(code)))
            }
        }
    }

    async fn acquire_hold(&self, amount: Tokens) -> Result<GrantHold, ResultCode> {
        settlement::acquire_hold(&self.entry, &self.plan.customer.name, amount).await
    }

    async fn run_admitted(&mut self) -> RequestEnd {
        let end = self.run_attempts().await;
        self.settle();
        end
    }

    async fn run_attempts(&mut self) -> RequestEnd {
        let mut last_code = codetable::NO_BACKEND_SERVER;
        let mut retry_delay = DEFAULT_RETRY_AFTER;
        while self.attempt < MAX_ATTEMPTS {
            if self.time_left().is_zero() {
                last_code = codetable::DEADLINE_PASSED;
                break;
            }
            let Some(target) = self.pick_server() else {
                break;
            };
            self.attempt += 1;
            let run = match self.open_record(&target).await {
                Ok(run) => run,
                Err(end) => return end,
            };
            let result = self.send_attempt(&target, run).await;
            match result {
                AttemptResult::Complete { .. } => {
                    self.writer.finish().await;
                    return RequestEnd::Complete;
                }
                AttemptResult::NotRun { code, retry_after } => {
                    last_code = code;
                    retry_delay = retry_after;
                }
                AttemptResult::Incomplete { answer: Some(answer), .. } if !self.plan.repeatable => {
                    return RequestEnd::Replayed(answer);
                }
                AttemptResult::Incomplete { code, .. } | AttemptResult::Unresolved { code } => {
                    if code == codetable::CANCELLED {
                        return RequestEnd::CallerGone;
                    }
                    last_code = code;
                    if !self.prepare_retry().await {
                        break;
                    }
                    // If no other server is left, the same ones may be tried again: a lost
                    // connection does not imply that the server behind it failed.
                    if self.pick_server().is_none() {
                        self.tried.clear();
                    }
                }
            }
        }
        let note = self.refusal(last_code);
        let not_run = note.run == RunState::NotRun;
        RequestEnd::Refused(if not_run { note.retry_after(retry_delay) } else { note })
    }

    fn time_left(&self) -> Duration {
        self.plan.deadline.saturating_sub(self.arrived.elapsed())
    }

    /// Prepares another attempt after one without a complete response; `false` if there must be
    /// none.
    ///
    /// The request has to be repeatable, any part of the response that the caller has received has
    /// to be resumable and of a known software version, and the retry budget and the hold have to
    /// cover the attempt. Waits for the backoff.
    async fn prepare_retry(&mut self) -> bool {
        let resumable =
            self.plan.service.resumes && self.plan.streamed && self.stream_version.is_some();
        if !self.plan.repeatable || (self.writer.has_started() && !resumable) {
            return false;
        }
        let now = self.entry.now();
        if !self.entry.lock().retries.try_spend(now) {
            self.entry.metrics.count_event("retries_refused");
            return false;
        }
        if !self.writer.has_started() {
            self.writer.reset();
        }
        let pause = retries::backoff(self.attempt, fastrand::f64());
        smol::Timer::after(pause.min(self.time_left())).await;
        self.entry.metrics.count_event("retries");
        self.extend_hold().await
    }

    /// Extends the hold so that it covers the maximum usage of another attempt in addition to what
    /// earlier attempts used.
    async fn extend_hold(&mut self) -> bool {
        let Some(hold) = self.hold.clone() else {
            return false;
        };
        let unused = hold.amount.saturating_sub(self.sum.total());
        let missing = self.plan.hold.saturating_sub(unused);
        if missing == 0 {
            return true;
        }
        let Ok(extra) = self.acquire_hold(missing).await else {
            return false;
        };
        if extra.epoch == hold.epoch {
            let amount = hold.amount + extra.amount;
            self.hold = Some(GrantHold { amount, ..hold });
            return true;
        }
        // The tenure was lost in the meantime. Earlier usage is written off and settled with its
        // hold, and the next attempt needs a new hold.
        self.entry.lock().grants.end_hold(&extra, None);
        self.sum.write_off();
        self.settle();
        self.hold = self.acquire_hold(self.plan.hold).await.ok();
        self.hold.is_some()
    }

    fn pick_server(&mut self) -> Option<AttemptTarget> {
        let now = self.entry.now();
        let query = RouteQuery {
            prefix: self.plan.prefix,
            random: [fastrand::f64(), fastrand::f64()],
            now,
        };
        let mut tables = self.entry.lock();
        tables.servers.next_index = tables.servers.next_index.wrapping_add(1);
        let usable = tables.grants.usable_agents(&self.plan.customer.name)?;
        let service = &self.plan.service.name;
        let mut eligible =
            tables.servers.eligible(service, usable, &self.tried, now, fastrand::f64());
        if let Some(version) = &self.stream_version {
            eligible.retain(|row| row.software_version.as_ref() == Some(version));
        }
        let policy = self.entry.settings.routing;
        let row = routing::pick_server(policy, &tables.servers, &eligible, &query)?;
        Some(AttemptTarget {
            agent: Arc::clone(&row.agent),
            address: row.address,
            software_version: row.software_version.clone(),
        })
    }

    /// Returns the id of the next attempt. For a non-repeatable request this opens its record,
    /// which decides whether there may be an attempt at all.
    async fn open_record(&mut self, target: &AttemptTarget) -> Result<RunId, RequestEnd> {
        if self.plan.repeatable {
            // A keyed request may be running at another entry too, so the ids of attempts contain a
            // nonce.
            let nonce = fastrand::u32(..);
            self.run_number = self.entry.next_run_number();
            return Ok(Arc::from(format!("{}.{}-{nonce:08x}", self.plan.request, self.attempt)));
        }
        match recording::open_record(&self.entry, &self.plan, &target.agent).await {
            RecordOutcome::Run { record, version } => {
                self.trace(format!("recorded as attempt {} at {}", record.attempt, record.agent));
                let run = record.run();
                self.run_number = record.number;
                self.record = Some((record, version));
                Ok(run)
            }
            RecordOutcome::Replay(response) => Err(RequestEnd::Replayed(response)),
            RecordOutcome::Refuse(code) => Err(RequestEnd::Refused(self.refusal(code))),
        }
    }

    async fn send_attempt(&mut self, target: &AttemptTarget, run: RunId) -> AttemptResult {
        self.tried.insert(Arc::clone(&target.agent));
        let Some(hold) = self.hold.clone() else {
            let code = codetable::BUDGET_UNCONFIRMED;
            let result = AttemptResult::NotRun { code, retry_after: DEFAULT_RETRY_AFTER };
            self.close_record(&result).await;
            return result;
        };
        let command = self.build_command(target, &run, &hold);
        self.trace(format!("sent to {} as {run}", target.agent));
        {
            let mut tables = self.entry.lock();
            tables.servers.record_sent(&target.agent);
            tables.grants.mark_agent(&hold.shard, &target.agent, true);
        }
        let entry = Arc::clone(&self.entry);
        let result = attempts::run_attempt(&entry, target, &command, &mut self.writer).await;
        if self.writer.has_started() && self.stream_version.is_none() {
            self.stream_version.clone_from(&target.software_version);
        }
        self.record_result(target, &command, &hold, &result).await;
        result
    }

    fn build_command(&self, target: &AttemptTarget, run: &RunId, hold: &GrantHold) -> RunCommand {
        let plan = &self.plan;
        let resumed_tokens = if self.writer.has_started() { self.writer.tokens } else { 0 };
        RunCommand {
            request: Arc::clone(&plan.request),
            run: Arc::clone(run),
            agent: Arc::clone(&target.agent),
            entry: Arc::clone(&self.entry.id),
            number: self.run_number,
            customer: Arc::clone(&plan.customer.name),
            service: Arc::clone(&plan.service.name),
            shard: Arc::clone(&hold.shard),
            epoch: hold.epoch,
            hold: plan.hold,
            keyed: plan.keyed,
            repeatable: plan.repeatable,
            priority: plan.customer.class.priority(),
            time_left: self.time_left().as_millis() as u64,
            resume_from: resumed_tokens,
            software_version: self.stream_version.clone(),
            usage: plan.usage,
            streamed: plan.streamed,
            method: Arc::clone(&plan.method),
            path: Arc::clone(&plan.path),
            fields: plan.fields.clone(),
            body: plan.body.encode(resumed_tokens),
        }
    }

    /// Records the result of an attempt: its usage, the health of its server, and its run record.
    async fn record_result(
        &mut self,
        target: &AttemptTarget,
        command: &RunCommand,
        hold: &GrantHold,
        result: &AttemptResult,
    ) {
        let run = &command.run;
        let delivered = self.writer.has_started();
        let unresolved = matches!(result, AttemptResult::Unresolved { .. });
        {
            let now = self.entry.now();
            let mut tables = self.entry.lock();
            tables.servers.record_ended(&target.agent);
            match result {
                AttemptResult::NotRun { code, .. } if *code == codetable::STOPPING => {
                    tables.servers.record_leaving(&target.agent);
                }
                AttemptResult::Complete { .. } => {}
                AttemptResult::Incomplete { code, .. } | AttemptResult::Unresolved { code }
                    if *code == codetable::CANCELLED => {}
                _ => tables.servers.record_failure(&target.agent, now),
            }
            if !unresolved {
                tables.grants.mark_agent(&hold.shard, &target.agent, false);
            }
        }
        match result {
            AttemptResult::Complete { used } => {
                self.trace(format!("whole, used {used}"));
                self.sum.add_run(target, run, *used);
                self.sum.billed += used;
            }
            AttemptResult::NotRun { code, .. } => {
                self.trace(format!("not run: {}", code.row().name));
            }
            AttemptResult::Incomplete { code, used, unproved, answer } => {
                self.trace(format!("lost: {}, used {used}, unproved {unproved}", code.row().name));
                self.sum.add_run(target, run, *used);
                self.record_run_state(*used);
                self.sum.unproved += unproved;
                let chargeable = delivered || answer.is_some() || !self.plan.repeatable;
                let gone = *code == codetable::CANCELLED;
                if chargeable || gone {
                    self.sum.billed += used;
                } else {
                    self.sum.written_off += used;
                }
            }
            AttemptResult::Unresolved { code } => {
                self.trace(format!("result not known yet: {}", code.row().name));
                self.record_run_state(0);
                self.resolve_later(target, command);
            }
        }
        self.close_record(result).await;
    }

    /// Updates the run state after an attempt without a complete response; any usage proves that it
    /// ran.
    fn record_run_state(&mut self, used: Tokens) {
        if used > 0 {
            self.run_state = Some(RunState::Ran);
        } else if self.run_state.is_none() {
            self.run_state = Some(RunState::Unknown);
        }
    }

    /// Hands an attempt whose agent does not answer to a background task, which keeps the attempt's
    /// part of the hold until the result is known.
    fn resolve_later(&mut self, target: &AttemptTarget, command: &RunCommand) {
        let Some(hold) = &mut self.hold else {
            return;
        };
        let attempt_hold = GrantHold { amount: self.plan.hold, ..hold.clone() };
        hold.amount = hold.amount.saturating_sub(attempt_hold.amount);
        let pending = PendingAttempt {
            entry: Arc::clone(&self.entry),
            plan: self.plan.clone(),
            target: target.clone(),
            query: attempts::cancel_query(command),
            hold: attempt_hold,
            record: self.record.take(),
            chargeable: self.writer.has_started() || !self.plan.repeatable,
            claim: self.claim.clone(),
            guard: self.entry.begin_request(),
        };
        smol::spawn(pending.resolve()).detach();
    }

    async fn close_record(&mut self, result: &AttemptResult) {
        let Some((record, version)) = self.record.take() else {
            return;
        };
        let state = match result {
            // The body is too large to be stored.
            AttemptResult::Complete { .. }
                if self.writer.has_started() || self.writer.held.len() > MAX_RECORD_BYTES =>
            {
                RecordState::Ran
            }
            AttemptResult::Complete { .. } => {
                let body = self.writer.held.clone();
                let (status, fields) = self.writer.head.clone().unwrap_or((200, Vec::new()));
                records::finished_state(StoredResponse { status, fields, body })
            }
            _ => billing::record_state(result),
        };
        if recording::close_record(&self.entry, &record, version, state.clone()).await {
            return;
        }
        // The caller gets its response now. Until the record is written, the agent keeps the
        // result. An attempt that did not run leaves its hold to the next one.
        let entry = Arc::clone(&self.entry);
        let ran = !matches!(result, AttemptResult::NotRun { .. });
        let hold = if ran { self.hold.take() } else { None };
        let bill = hold.map(|hold| (self.take_bill(&hold), hold));
        let guard = entry.begin_request();
        smol::spawn(async move {
            recording::close_record_retrying(&entry, &record, version, state).await;
            if let Some((bill, hold)) = bill {
                entry.lock().grants.end_hold(&hold, bill);
            }
            drop(guard);
        })
        .detach();
    }

    /// Returns a bill for the usage since the last bill.
    fn take_bill(&mut self, hold: &GrantHold) -> Option<BillRow> {
        let sum = std::mem::take(&mut self.sum);
        if sum.total() > hold.amount {
            self.entry.metrics.count_event("usage_over_hold");
        }
        let bill = sum.into_bill(&self.plan, hold);
        self.marker.record(bill.as_ref());
        bill
    }

    fn settle(&mut self) {
        if let Some(hold) = self.hold.take() {
            let bill = self.take_bill(&hold);
            if let Some(row) = &bill {
                self.trace(format!("to be billed {}", row.billed));
            }
            self.entry.lock().grants.end_hold(&hold, bill);
        }
    }

    async fn send_end(&mut self, end: RequestEnd) {
        match end {
            RequestEnd::Complete => {
                self.entry.metrics.count_result(codetable::OK);
                self.entry.metrics.first_byte.observe(self.arrived.elapsed().as_secs_f64());
            }
            RequestEnd::CallerGone => self.entry.metrics.count_result(codetable::CANCELLED),
            RequestEnd::Replayed(stored) => {
                self.trace("replayed the stored response".to_owned());
                self.entry.metrics.count_event("answers_replayed");
                let mut response = responses::bytes(stored.status, stored.body);
                responding::set_fields(&mut response, &stored.fields);
                self.writer.reply.send(response).await.ok();
            }
            RequestEnd::Refused(note) => {
                self.trace(format!("refused: {} {}", note.code.number(), note.run.as_str()));
                let response = self.entry.refuse(&note);
                // If part of the response has been sent, dropping the writer truncates it, which
                // the caller detects.
                if !self.writer.has_started() {
                    self.writer.reply.send(response).await.ok();
                }
            }
        }
    }
}
