//! What a request has used, and the one bill that comes of it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use toucanrail::budgets::{BillRow, BilledRun};
use toucanrail::grants::GrantHold;
use toucanrail::ids::{RunId, Tokens, Version};
use toucanrail::records::{self, RecordState, RunRecord};

use crate::attempts::{self, AttemptResult, AttemptTarget};
use crate::planning::RequestPlan;
use crate::recording;
use crate::state::Entry;

/// What a request's tries have used and no bill carries yet.
#[derive(Debug, Default)]
pub struct UsageSum {
    /// Charged to the customer.
    pub billed: Tokens,
    /// Spent, not charged.
    pub written_off: Tokens,
    /// Held by tries whose usage cannot be known.
    pub unproved: Tokens,
    /// The tries.
    pub runs: Vec<BilledRun>,
}

impl UsageSum {
    /// Returns all that the tries took from the hold.
    pub fn total(&self) -> Tokens {
        self.billed + self.written_off + self.unproved
    }

    /// Adds a try.
    pub fn add_run(&mut self, target: &AttemptTarget, run: &RunId, used: Tokens) {
        let (run, agent) = (Arc::clone(run), Arc::clone(&target.agent));
        self.runs.push(BilledRun { run, agent, used });
    }

    /// Turns all of it into usage that is not charged.
    pub fn write_off(&mut self) {
        self.written_off += std::mem::take(&mut self.billed);
    }

    /// Returns the bill, or none if nothing ran.
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

/// Tells the tries of a request whether it has its bill: there must be only one.
#[derive(Debug, Clone)]
pub struct BillClaim {
    billed: Arc<AtomicBool>,
    ended: async_channel::Receiver<()>,
}

/// The request's end of a [`BillClaim`]; dropping it ends the request.
#[derive(Debug)]
pub struct BillMarker {
    billed: Arc<AtomicBool>,
    _ended: async_channel::Sender<()>,
}

/// Makes both ends.
pub fn new_bill_claim() -> (BillMarker, BillClaim) {
    let billed = Arc::new(AtomicBool::new(false));
    let (sender, ended) = async_channel::bounded(1);
    let marker = BillMarker { billed: Arc::clone(&billed), _ended: sender };
    (marker, BillClaim { billed, ended })
}

impl BillMarker {
    /// Notes a bill of the request.
    pub fn record(&self, bill: Option<&BillRow>) {
        if bill.is_some_and(|row| row.billed > 0) {
            self.billed.store(true, Ordering::SeqCst);
        }
    }
}

impl BillClaim {
    /// Waits for the request's end, then takes the right to bill it, if nothing has.
    async fn claim(&self) -> bool {
        // Nothing is ever sent: the channel ends with the request.
        self.ended.recv().await.ok();
        !self.billed.swap(true, Ordering::SeqCst)
    }
}

/// A try whose end is not known, and the money that it holds.
#[derive(Debug)]
pub struct PendingAttempt {
    /// The entry.
    pub entry: Arc<Entry>,
    /// The request.
    pub plan: RequestPlan,
    /// Where the try went.
    pub target: AttemptTarget,
    /// The try.
    pub run: RunId,
    /// What it holds.
    pub hold: GrantHold,
    /// Its record, if it may not be repeated.
    pub record: Option<(RunRecord, Version)>,
    /// Whether the caller has part of its answer, or may not try again.
    pub chargeable: bool,
    /// Whether the request has its bill.
    pub claim: BillClaim,
    /// Keeps the entry from stopping before the money is settled.
    pub guard: Arc<()>,
}

impl PendingAttempt {
    /// Asks until the end is known, then settles it.
    ///
    /// Guards against two bills of one request: another try may have brought the answer meanwhile,
    /// and then what this one used is written off.
    pub async fn resolve(self) {
        let resolving =
            attempts::query_result(&self.entry, &self.target, &self.run, self.hold.amount);
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
        sum.add_run(&self.target, &self.run, *used);
        if self.chargeable && *used > 0 && self.claim.claim().await {
            sum.billed = *used;
        } else {
            sum.written_off = *used;
        }
        sum.into_bill(&self.plan, &self.hold)
    }
}

/// Returns what the record of a try says that ended like this.
pub fn record_state(result: &AttemptResult) -> RecordState {
    match result {
        AttemptResult::NotRun { .. } => RecordState::NotRun,
        AttemptResult::Incomplete { response: Some(response), .. } => {
            records::finished_state(response.clone())
        }
        _ => RecordState::Unknown,
    }
}
