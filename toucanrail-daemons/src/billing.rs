//! Usage of a request, and the single bill for it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use toucanrail::budgets::{BillRow, BilledRun};
use toucanrail::grants::GrantHold;
use toucanrail::ids::{RunId, Tokens, Version};
use toucanrail::messages::RunQuery;
use toucanrail::records::{self, RecordState, RunRecord};

use crate::attempts::{self, AttemptResult, AttemptTarget};
use crate::planning::RequestPlan;
use crate::recording;
use crate::state::Entry;

/// Usage of a request's attempts that has not been billed yet.
#[derive(Debug, Default)]
pub struct UsageSum {
    /// Tokens charged to the customer.
    pub billed: Tokens,
    /// Tokens spent but not charged.
    pub written_off: Tokens,
    /// Tokens held by attempts whose usage cannot be determined.
    pub unproved: Tokens,
    /// The attempts.
    pub runs: Vec<BilledRun>,
}

impl UsageSum {
    /// Returns the number of tokens that the attempts took from the hold.
    pub fn total(&self) -> Tokens {
        self.billed + self.written_off + self.unproved
    }

    /// Adds an attempt that used `used` tokens; the caller adds them to one of the totals.
    pub fn add_run(&mut self, target: &AttemptTarget, run: &RunId, used: Tokens) {
        let (run, agent) = (Arc::clone(run), Arc::clone(&target.agent));
        self.runs.push(BilledRun { run, agent, used });
    }

    /// Converts the charged tokens into tokens that are not charged.
    pub fn write_off(&mut self) {
        self.written_off += std::mem::take(&mut self.billed);
    }

    /// Returns the bill, or `None` if no attempt ran.
    pub fn into_bill(self, plan: &RequestPlan, hold: &GrantHold) -> Option<BillRow> {
        if self.runs.is_empty() {
            return None;
        }
        Some(BillRow {
            request: Arc::clone(&plan.request),
            customer: Arc::clone(&plan.customer.name),
            service: Arc::clone(&plan.service.name),
            epoch: hold.epoch,
            keyed: plan.keyed,
            billed: self.billed,
            written_off: self.written_off,
            unproved: self.unproved,
            runs: self.runs,
        })
    }
}

/// Right to bill a request after its end, shared by its unresolved attempts: at most one of them
/// may do so, and none if the request itself was billed.
#[derive(Debug, Clone)]
pub struct BillClaim {
    billed: Arc<AtomicBool>,
    ended: async_channel::Receiver<()>,
}

/// The request's counterpart of a [`BillClaim`]; dropping it marks the end of the request.
#[derive(Debug)]
pub struct BillMarker {
    billed: Arc<AtomicBool>,
    _ended: async_channel::Sender<()>,
}

/// Creates both for a new request.
pub fn new_bill_claim() -> (BillMarker, BillClaim) {
    let billed = Arc::new(AtomicBool::new(false));
    let (sender, ended) = async_channel::bounded(1);
    let marker = BillMarker { billed: Arc::clone(&billed), _ended: sender };
    (marker, BillClaim { billed, ended })
}

impl BillMarker {
    /// Records a bill of the request.
    pub fn record(&self, bill: Option<&BillRow>) {
        if bill.is_some_and(|row| row.billed > 0) {
            self.billed.store(true, Ordering::SeqCst);
        }
    }
}

impl BillClaim {
    /// Waits for the end of the request, then claims the right to bill it; `false` if it has
    /// already been billed.
    async fn claim(&self) -> bool {
        // Nothing is ever sent; the channel is closed when the request ends.
        self.ended.recv().await.ok();
        !self.billed.swap(true, Ordering::SeqCst)
    }
}

/// An attempt whose result is not known yet, with the budget that it holds.
#[derive(Debug)]
pub struct PendingAttempt {
    /// Entry that serves the request.
    pub entry: Arc<Entry>,
    /// The request.
    pub plan: RequestPlan,
    /// Agent that the attempt was sent to.
    pub target: AttemptTarget,
    /// Query that cancels the attempt.
    pub query: RunQuery,
    /// Hold of the attempt.
    pub hold: GrantHold,
    /// Run record, if the request is not repeatable.
    pub record: Option<(RunRecord, Version)>,
    /// Whether usage may be charged: the caller has received part of the response, or the request
    /// is not repeatable.
    pub chargeable: bool,
    /// Right to bill the request.
    pub claim: BillClaim,
    /// Keeps the entry from stopping before the hold is settled.
    pub guard: Arc<()>,
}

impl PendingAttempt {
    /// Queries the agent until the result is known, then settles the hold.
    ///
    /// Guards against billing a request twice: if another attempt has delivered the response in the
    /// meantime, the usage of this one is written off.
    pub async fn resolve(self) {
        let resolving =
            attempts::query_result(&self.entry, &self.target, &self.query, self.hold.amount);
        let result = resolving.await;
        if let Some((record, version)) = &self.record {
            recording::close_record_retrying(&self.entry, record, *version, record_state(&result))
                .await;
        }
        let bill = self.make_bill(&result).await;
        let mut tables = self.entry.lock();
        let grants = &mut tables.grants;
        grants.mark_agent(&self.hold.shard, &self.target.agent, false);
        grants.end_hold(&self.hold, bill);
    }

    async fn make_bill(&self, result: &AttemptResult) -> Option<BillRow> {
        let AttemptResult::Incomplete { used, unproved, .. } = result else {
            return None;
        };
        let mut sum = UsageSum { unproved: *unproved, ..UsageSum::default() };
        sum.add_run(&self.target, &self.query.run, *used);
        if self.chargeable && *used > 0 && self.claim.claim().await {
            sum.billed = *used;
        } else {
            sum.written_off = *used;
        }
        sum.into_bill(&self.plan, &self.hold)
    }
}

/// Returns the state to write to the run record of an attempt with the given result.
pub fn record_state(result: &AttemptResult) -> RecordState {
    match result {
        AttemptResult::NotRun { .. } => RecordState::NotRun,
        AttemptResult::Incomplete { answer: Some(answer), .. } => {
            records::finished_state(answer.clone())
        }
        _ => RecordState::Unknown,
    }
}
