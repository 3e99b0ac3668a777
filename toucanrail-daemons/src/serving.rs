//! Serves one caller's request: admits it, runs it, streams its answer and bills it once.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_types::Response;
use toucanrail::budgets::BillRow;
use toucanrail::codes::{ResultCode, RunState};
use toucanrail::codetable;
use toucanrail::grants::GrantHold;
use toucanrail::ids::{AgentId, RunId, Tokens, Version};
use toucanrail::limits::ServiceLoad;
use toucanrail::messages::{RunCommand, StoredResponse};
use toucanrail::records::{self, RecordOutcome, RecordState, RunRecord};
use toucanrail::retries;
use toucanrail::routing::{self, RouteQuery};
use toucanrail::traces::TraceStep;
use toucanrail_wire::listeners::ReceivedRequest;
use toucanrail_wire::responses::{self, ErrorDetails};

use crate::answering::{self, CallerSide};
use crate::attempts::{self, AttemptEnd, AttemptTarget};
use crate::billing::{self, BillMark, BillMarker, OpenTry, UsageSum};
use crate::callers::{self, CallPlan};
use crate::recording;
use crate::settling;
use crate::states::Entry;

/// Tries of one request, the first included.
const TRY_LIMIT: u32 = 4;
/// When to come back after a refusal that nothing better is known for.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);
/// Largest answer kept in the record of a request that may not be repeated.
const RECORD_BYTES: usize = 512 * 1024;

/// Serves one call.
pub async fn serve(entry: Arc<Entry>, call: ReceivedRequest) -> Response {
    let plan = callers::read_plan(&entry.mirrors.lock().catalogue, &call);
    let plan = match plan {
        Ok(plan) => plan,
        Err(note) => return entry.refuse(&note),
    };
    let (reply, replied) = async_channel::bounded(1);
    let request = Arc::clone(&plan.request);
    // On its own: what was begun is settled even if the caller goes away.
    let task = RequestTask::new(Arc::clone(&entry), plan, reply);
    smol::spawn(task.run()).detach();
    let mut response = match replied.recv().await {
        Ok(response) => response,
        Err(_) => entry.refuse(&ErrorDetails::new(codetable::BACKEND_FAILED)),
    };
    response.insert_header(responses::REQUEST_HEADER, &*request);
    response
}

/// One request under way.
#[derive(Debug)]
struct RequestTask {
    entry: Arc<Entry>,
    plan: CallPlan,
    caller: CallerSide,
    arrived: Instant,
    steps: Vec<TraceStep>,
    hold: Option<GrantHold>,
    sum: UsageSum,
    marker: BillMarker,
    mark: BillMark,
    tried: BTreeSet<AgentId>,
    attempt: u32,
    record: Option<(RunRecord, Version)>,
    /// What earlier tries say about the run; none while all were provably not run.
    ran: Option<RunState>,
    _guard: Arc<()>,
}

/// How a request ends.
#[derive(Debug)]
enum RequestEnd {
    Whole,
    Refused(ErrorDetails),
    Replayed(StoredResponse),
    CallerGone,
}

impl RequestTask {
    fn new(entry: Arc<Entry>, plan: CallPlan, reply: async_channel::Sender<Response>) -> Self {
        let guard = entry.begin_request();
        let caller = CallerSide::new(&plan, reply);
        let (marker, mark) = billing::make_mark();
        Self {
            entry,
            plan,
            caller,
            arrived: Instant::now(),
            steps: Vec::new(),
            hold: None,
            sum: UsageSum::default(),
            marker,
            mark,
            tried: BTreeSet::new(),
            attempt: 0,
            record: None,
            ran: None,
            _guard: guard,
        }
    }

    async fn run(mut self) {
        self.note(format!("arrived at {}", self.entry.id));
        let end = match self.begin_keyed() {
            Ok(None) => self.run_begun().await,
            Ok(Some(answer)) => RequestEnd::Replayed(answer),
            Err(code) => RequestEnd::Refused(self.refusal(code)),
        };
        self.reply_end(end).await;
        let steps = std::mem::take(&mut self.steps);
        self.entry.lock().traces.append(&self.plan.request, steps);
    }

    fn note(&mut self, event: String) {
        let after = self.arrived.elapsed();
        self.steps.push(TraceStep { after, event: Arc::from(event) });
    }

    fn refusal(&self, code: ResultCode) -> ErrorDetails {
        let note = ErrorDetails::new(code);
        let later = [
            codetable::IN_FLIGHT,
            codetable::BUDGET_UNCONFIRMED,
            codetable::NO_BACKEND_SERVER,
            codetable::STORE_UNAVAILABLE,
            codetable::STOPPING,
        ];
        let note = match self.ran {
            Some(run) => note.run(run),
            None => note,
        };
        if later.contains(&code) { note.retry_after(DEFAULT_RETRY) } else { note }
    }

    /// A keyed request that may be repeated is remembered here; one that may not, in its record.
    fn begin_keyed(&mut self) -> Result<Option<StoredResponse>, ResultCode> {
        if !self.plan.keyed || !self.plan.repeatable {
            return Ok(None);
        }
        self.entry.lock().replays.begin(&self.plan.request, &self.plan.digest)
    }

    async fn run_begun(&mut self) -> RequestEnd {
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
        let whole = matches!(end, RequestEnd::Whole);
        let body = self.caller.kept.take().filter(|_| whole);
        let answer = body.zip(self.caller.head.clone());
        let answer = answer.map(|(body, (status, fields))| StoredResponse { status, fields, body });
        self.entry.lock().replays.end(&self.plan.request, answer);
    }

    async fn admit(&mut self) -> Result<(), Box<ErrorDetails>> {
        let service = Arc::clone(&self.plan.service.name);
        let customer = self.plan.customer.clone();
        let admitted = {
            let now = self.entry.now();
            let mut tables = self.entry.lock();
            let (slots, load) = tables.servers.capacity(&service, now);
            let entries = tables.members.peers().count() as u64 + 1;
            let known = ServiceLoad { slots, load, entries };
            if slots == 0 {
                return Err(Box::new(self.refusal(codetable::NO_BACKEND_SERVER)));
            }
            tables.retries.record_request(now);
            let (class, weight) = (customer.class, customer.weight);
            tables.limits.admit(&service, &customer.name, class, weight, known)
        };
        admitted.map_err(|refusal| {
            let note = ErrorDetails::new(refusal.code).retry_after(refusal.retry_after);
            Box::new(note)
        })?;
        match self.take_hold(self.plan.hold).await {
            Ok(hold) => {
                self.note(format!("holds {} in tenure {}", hold.amount, hold.epoch));
                self.hold = Some(hold);
                Ok(())
            }
            Err(code) => {
                self.entry.lock().limits.release(&service, &customer.name);
                Err(Box::new(self.refusal(code)))
            }
        }
    }

    async fn take_hold(&self, amount: Tokens) -> Result<GrantHold, ResultCode> {
        settling::take_hold(&self.entry, &self.plan.customer.name, amount).await
    }

    async fn run_admitted(&mut self) -> RequestEnd {
        let end = self.run_tries().await;
        self.settle();
        end
    }

    async fn run_tries(&mut self) -> RequestEnd {
        let mut last = codetable::NO_BACKEND_SERVER;
        let mut wait = DEFAULT_RETRY;
        while self.attempt < TRY_LIMIT {
            if self.time_left().is_zero() {
                last = codetable::DEADLINE_PASSED;
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
            let end = self.try_server(&target, run).await;
            match end {
                AttemptEnd::Whole { .. } => {
                    self.caller.finish().await;
                    return RequestEnd::Whole;
                }
                AttemptEnd::NotRun { code, retry_after } => {
                    last = code;
                    wait = retry_after;
                }
                AttemptEnd::Lost { answer: Some(answer), .. } if !self.plan.repeatable => {
                    return RequestEnd::Replayed(answer);
                }
                AttemptEnd::Lost { code, .. } | AttemptEnd::Open { code } => {
                    if code == codetable::CANCELLED {
                        return RequestEnd::CallerGone;
                    }
                    last = code;
                    if !self.may_retry().await {
                        break;
                    }
                    // Where no other server is left, a lost connection does not speak against
                    // the server behind it.
                    if self.pick_server().is_none() {
                        self.tried.clear();
                    }
                }
            }
        }
        let note = self.refusal(last);
        let later = note.run == RunState::NotRun;
        RequestEnd::Refused(if later { note.retry_after(wait) } else { note })
    }

    fn time_left(&self) -> Duration {
        self.plan.deadline.saturating_sub(self.arrived.elapsed())
    }

    /// Tells whether a request whose try was lost may go again: it is repeatable, the caller has
    /// nothing that could not be continued, and the retry budget and its own hold allow it.
    async fn may_retry(&mut self) -> bool {
        let resumable = self.plan.service.resumes && self.plan.streamed;
        if !self.plan.repeatable || (self.caller.is_begun() && !resumable) {
            return false;
        }
        let now = self.entry.now();
        if !self.entry.lock().retries.try_spend(now) {
            self.entry.board.count_event("retries_refused");
            return false;
        }
        if !self.caller.is_begun() {
            self.caller.reset();
        }
        let pause = retries::backoff(self.attempt, fastrand::f64());
        smol::Timer::after(pause.min(self.time_left())).await;
        self.entry.board.count_event("retries");
        self.extend_hold().await
    }

    /// Brings the hold up to another try's worst case besides what earlier tries used.
    async fn extend_hold(&mut self) -> bool {
        let Some(hold) = self.hold.clone() else {
            return false;
        };
        let free = hold.amount.saturating_sub(self.sum.total());
        let missing = self.plan.hold.saturating_sub(free);
        if missing == 0 {
            return true;
        }
        let Ok(more) = self.take_hold(missing).await else {
            return false;
        };
        if more.epoch == hold.epoch {
            let amount = hold.amount + more.amount;
            self.hold = Some(GrantHold { amount, ..hold });
            return true;
        }
        // The tenure was lost meanwhile: what was used belongs to it, the rest begins anew.
        self.entry.lock().grants.end_hold(&more, None);
        self.sum.write_off();
        self.settle();
        self.hold = self.take_hold(self.plan.hold).await.ok();
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
        let eligible = tables.servers.eligible(service, usable, &self.tried, now, fastrand::f64());
        let policy = self.entry.settings.routing;
        let row = routing::pick_server(policy, &tables.servers, &eligible, &query)?;
        Some(AttemptTarget { agent: Arc::clone(&row.agent), address: row.address })
    }

    /// Names the try: of a request that may not be repeated, as its record allows.
    async fn open_record(&mut self, target: &AttemptTarget) -> Result<RunId, RequestEnd> {
        if self.plan.repeatable {
            // A keyed request may be under way at another entry too: the tries must differ.
            let nonce = fastrand::u32(..);
            return Ok(Arc::from(format!("{}.{}-{nonce:08x}", self.plan.request, self.attempt)));
        }
        match recording::open_record(&self.entry, &self.plan, &target.agent).await {
            RecordOutcome::Run { record, version } => {
                self.note(format!("recorded as try {} at {}", record.attempt, record.agent));
                let run = record.run();
                self.record = Some((record, version));
                Ok(run)
            }
            RecordOutcome::Replay(answer) => Err(RequestEnd::Replayed(answer)),
            RecordOutcome::Refuse(code) => Err(RequestEnd::Refused(self.refusal(code))),
        }
    }

    async fn try_server(&mut self, target: &AttemptTarget, run: RunId) -> AttemptEnd {
        self.tried.insert(Arc::clone(&target.agent));
        let Some(hold) = self.hold.clone() else {
            let code = codetable::BUDGET_UNCONFIRMED;
            return AttemptEnd::NotRun { code, retry_after: DEFAULT_RETRY };
        };
        let order = self.build_order(target, &run, &hold);
        self.note(format!("sent to {} as {run}", target.agent));
        {
            let mut tables = self.entry.lock();
            tables.servers.record_sent(&target.agent);
            tables.grants.mark_agent(&hold.shard, &target.agent, true);
        }
        let entry = Arc::clone(&self.entry);
        let end = attempts::run_attempt(&entry, target, &order, &mut self.caller).await;
        self.take_end(target, &run, &hold, &end).await;
        end
    }

    fn build_order(&self, target: &AttemptTarget, run: &RunId, hold: &GrantHold) -> RunCommand {
        let plan = &self.plan;
        let resumed = if self.caller.is_begun() { self.caller.tokens } else { 0 };
        RunCommand {
            request: Arc::clone(&plan.request),
            run: Arc::clone(run),
            agent: Arc::clone(&target.agent),
            entry: Arc::clone(&self.entry.id),
            customer: Arc::clone(&plan.customer.name),
            service: Arc::clone(&plan.service.name),
            shard: Arc::clone(&hold.shard),
            epoch: hold.epoch,
            hold: plan.hold,
            keyed: plan.keyed,
            repeatable: plan.repeatable,
            priority: plan.customer.class.priority(),
            time_left: self.time_left().as_millis() as u64,
            resume_from: resumed,
            usage: plan.usage,
            streamed: plan.streamed,
            method: Arc::clone(&plan.method),
            path: Arc::clone(&plan.path),
            fields: plan.fields.clone(),
            body: plan.body.encode(resumed),
        }
    }

    /// Books how a try ended: its usage, its server's standing and its record.
    async fn take_end(
        &mut self,
        target: &AttemptTarget,
        run: &RunId,
        hold: &GrantHold,
        end: &AttemptEnd,
    ) {
        let delivered = self.caller.is_begun();
        let open = matches!(end, AttemptEnd::Open { .. });
        {
            let now = self.entry.now();
            let mut tables = self.entry.lock();
            tables.servers.record_ended(&target.agent);
            match end {
                AttemptEnd::NotRun { code, .. } if *code == codetable::STOPPING => {
                    tables.servers.record_leaving(&target.agent);
                }
                AttemptEnd::Whole { .. } => {}
                AttemptEnd::Lost { code, .. } | AttemptEnd::Open { code }
                    if *code == codetable::CANCELLED => {}
                _ => tables.servers.record_failure(&target.agent, now),
            }
            if !open {
                tables.grants.mark_agent(&hold.shard, &target.agent, false);
            }
        }
        match end {
            AttemptEnd::Whole { used } => {
                self.note(format!("whole, used {used}"));
                self.sum.add_run(target, run, *used);
                self.sum.billed += used;
            }
            AttemptEnd::NotRun { code, .. } => {
                self.note(format!("not run: {}", code.row().name));
            }
            AttemptEnd::Lost { code, used, unproved, answer } => {
                self.note(format!("lost: {}, used {used}, unproved {unproved}", code.row().name));
                self.sum.add_run(target, run, *used);
                self.note_ran(*used);
                self.sum.unproved += unproved;
                let charged = delivered || answer.is_some() || !self.plan.repeatable;
                let gone = *code == codetable::CANCELLED;
                if charged || gone {
                    self.sum.billed += used;
                } else {
                    self.sum.written_off += used;
                }
            }
            AttemptEnd::Open { code } => {
                self.note(format!("not known yet: {}", code.row().name));
                self.note_ran(0);
                self.leave_open(target, run);
            }
        }
        self.close_record(end).await;
    }

    /// Notes what a lost try says about the run: any use proves that it ran.
    fn note_ran(&mut self, used: Tokens) {
        if used > 0 {
            self.ran = Some(RunState::Ran);
        } else if self.ran.is_none() {
            self.ran = Some(RunState::Unknown);
        }
    }

    /// Follows a try whose agent does not answer: its part of the hold stays until its end is known.
    fn leave_open(&mut self, target: &AttemptTarget, run: &RunId) {
        let Some(hold) = &mut self.hold else {
            return;
        };
        let part = GrantHold { amount: self.plan.hold, ..hold.clone() };
        hold.amount = hold.amount.saturating_sub(part.amount);
        let open = OpenTry {
            entry: Arc::clone(&self.entry),
            plan: self.plan.clone(),
            target: target.clone(),
            run: Arc::clone(run),
            hold: part,
            record: self.record.take(),
            charged: self.caller.is_begun() || !self.plan.repeatable,
            mark: self.mark.clone(),
            guard: self.entry.begin_request(),
        };
        smol::spawn(open.follow()).detach();
    }

    async fn close_record(&mut self, end: &AttemptEnd) {
        let Some((record, version)) = self.record.take() else {
            return;
        };
        let state = match end {
            // Too large to be kept: a retry is told that it ran, not what it answered.
            AttemptEnd::Whole { .. } if self.caller.is_begun() => RecordState::Unknown,
            AttemptEnd::Whole { .. } if self.caller.held.len() > RECORD_BYTES => {
                RecordState::Unknown
            }
            AttemptEnd::Whole { .. } => {
                let body = self.caller.held.clone();
                let (status, fields) = self.caller.head.clone().unwrap_or((200, Vec::new()));
                records::finished_state(StoredResponse { status, fields, body })
            }
            _ => billing::record_state(end),
        };
        if recording::close_record(&self.entry, &record, version, state.clone()).await {
            return;
        }
        // The caller is answered now; until the record is written, the agent knows the end.
        let entry = Arc::clone(&self.entry);
        let bill = self.hold.take().map(|hold| (self.take_bill(&hold), hold));
        let guard = entry.begin_request();
        smol::spawn(async move {
            recording::close_surely(&entry, &record, version, state).await;
            if let Some((bill, hold)) = bill {
                entry.lock().grants.end_hold(&hold, bill);
            }
            drop(guard);
        })
        .detach();
    }

    /// Returns the bill of what was used since the last one.
    fn take_bill(&mut self, hold: &GrantHold) -> Option<BillRow> {
        let sum = std::mem::take(&mut self.sum);
        if sum.total() > hold.amount {
            self.entry.board.count_event("usage_over_hold");
        }
        let bill = sum.into_bill(&self.plan, hold);
        self.marker.note(bill.as_ref());
        bill
    }

    fn settle(&mut self) {
        if let Some(hold) = self.hold.take() {
            let bill = self.take_bill(&hold);
            if let Some(row) = &bill {
                self.note(format!("to be billed {}", row.billed));
            }
            self.entry.lock().grants.end_hold(&hold, bill);
        }
    }

    async fn reply_end(&mut self, end: RequestEnd) {
        match end {
            RequestEnd::Whole => {
                self.entry.board.count_result(codetable::OK);
                self.entry.board.first_byte.observe(self.arrived.elapsed().as_secs_f64());
            }
            RequestEnd::CallerGone => self.entry.board.count_result(codetable::CANCELLED),
            RequestEnd::Replayed(answer) => {
                self.note("answered as the first time".to_owned());
                self.entry.board.count_event("answers_replayed");
                let mut response = responses::bytes(answer.status, answer.body);
                answering::dress(&mut response, &answer.fields);
                self.caller.reply.send(response).await.ok();
            }
            RequestEnd::Refused(note) => {
                self.note(format!("refused: {} {}", note.code.number(), note.run.as_str()));
                let response = self.entry.refuse(&note);
                // With part of the answer out, dropping the writer cuts it visibly.
                if !self.caller.is_begun() {
                    self.caller.reply.send(response).await.ok();
                }
            }
        }
    }
}
