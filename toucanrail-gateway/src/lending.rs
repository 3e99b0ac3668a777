//! The loans of a lender: opening and ending them, and reclaiming the tenures of lenders that have died.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use toucanrail::grants::GrantHold;
use toucanrail::ids::EntryId;
use toucanrail::loans::{
    self, LoanEnd, LoanId, LoanReceipt, LoanReply, LoanReport, LoanRequest, LoanTenure,
};
use toucanrail::reclaims::{ReclaimCall, ReclaimMachine, ReclaimOutcome, ReclaimReply};
use toucanrail_wire::time_limits;

use crate::grant_manager::{self, HoldFailure};
use crate::relay_api::RelayApi;

/// Time given to a loan request; [`GrantManager::acquire_hold`](grant_manager::GrantManager::acquire_hold)
/// waits for at most a quarter of it.
const LOAN_TIME: Duration = Duration::from_millis(1_400);
/// Interval at which a stopping lender checks whether its loans have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time without a loan request after which a tenure no longer names a borrower. Much shorter than the
/// time for which entries report on a shard, so that each one named still reports.
const BORROWER_TIME: Duration = Duration::from_secs(20);
/// Time without a loan request after which a lender leaves a shard. Entries prefer another lender then,
/// and the rest of its grants would be missing there.
const IDLE_TIME: Duration = Duration::from_secs(5);
/// Interval at which a lender looks for tenures to reclaim.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a reclaim that did not finish.
const RECLAIM_PAUSE: Duration = Duration::from_secs(1);

/// Opens a loan if the grants cover it. Repeating the call for an open loan has no further effect.
pub async fn open_loan(api: &RelayApi, request: &LoanRequest) -> LoanReply {
    if let Some(hold) = api.loans.borrow().find(&request.loan) {
        return LoanReply::Held(LoanTenure::of_hold(hold));
    }
    let borrower: EntryId = Arc::from(loans::borrower_of(&request.loan));
    if api.stopping.get() || api.borrowers.borrow().is_replaced(&borrower) {
        return LoanReply::Leaving;
    }
    record_borrower(api, &borrower);
    let LoanRequest { customer, amount, rank, .. } = request;
    let manager = &api.grant_manager;
    manager.raise_prepaid(customer, request.stated);
    let named = manager.grants.borrow().lends().then_some(&borrower);
    match manager.acquire_hold(customer, *amount, *rank, LOAN_TIME, named).await {
        Ok(hold) if api.stopping.get() => {
            manager.grants.borrow_mut().end_hold(&hold, None);
            LoanReply::Leaving
        }
        Ok(hold) if api.loans.borrow().can_open(&request.loan) => {
            let tenure = LoanTenure::of_hold(&hold);
            if named.is_some() {
                manager.grants.borrow_mut().mark_agent(&hold.shard, &borrower, true);
            }
            api.loans.borrow_mut().open(&request.loan, hold);
            LoanReply::Held(tenure)
        }
        Ok(hold) => {
            // The entry gave the loan up and ended it while this call waited.
            manager.grants.borrow_mut().end_hold(&hold, None);
            LoanReply::Short
        }
        Err(HoldFailure::Short) => LoanReply::Short,
        Err(HoldFailure::Uncovered) => LoanReply::Uncovered,
    }
}

/// Records that an entry borrows, and freezes what an earlier process of its VM has not returned.
fn record_borrower(api: &RelayApi, entry: &EntryId) {
    let now = api.change_feed.now();
    let Some(replaced) = api.borrowers.borrow_mut().record(entry, now) else {
        return;
    };
    let loans = api.loans.borrow().loans_of(&replaced);
    let mut amount = 0_u64;
    for loan in &loans {
        if let Some(hold) = take_loan(api, loan) {
            amount = amount.saturating_add(hold.amount);
            api.grant_manager.freeze_hold(&hold, loan);
        }
    }
    tracing::info!(
        event = "borrower_replaced", entry = %replaced, by = %entry, loans = loans.len(), amount,
    );
}

/// Ends a loan and returns its hold.
fn take_loan(api: &RelayApi, loan: &LoanId) -> Option<GrantHold> {
    let hold = api.loans.borrow_mut().end(loan)?;
    let borrower: EntryId = Arc::from(loans::borrower_of(loan));
    api.grant_manager.grants.borrow_mut().mark_agent(&hold.shard, &borrower, false);
    Some(hold)
}

fn end_loans(api: &RelayApi, ends: Vec<LoanEnd>) {
    for end in ends {
        if let Some(hold) = take_loan(api, &end.loan) {
            let LoanEnd { loan, request, service, used } = end;
            let named = api.grant_manager.grants.borrow().lends().then_some(&loan);
            api.grant_manager.end_hold(&hold, request, service, used, named);
        }
    }
}

/// Handles what an entry reports of its loans.
pub fn handle_report(api: &RelayApi, report: LoanReport) -> LoanReceipt {
    let LoanReport { entry, ends, dropped, fenced, uses, .. } = report;
    end_loans(api, ends);
    if api.borrowers.borrow().is_replaced(&entry) {
        return LoanReceipt::default();
    }
    record_borrower(api, &entry);
    let now = api.change_feed.now();
    let mut watch = api.tenure_watch.borrow_mut();
    if let Some(uses) = &uses {
        watch.record_uses(&entry, uses, now);
    }
    let mut grants = api.grant_manager.grants.borrow_mut();
    let mut closed = watch.closed();
    for (tenure, reply) in fenced {
        let content = grants.cached_shard(&tenure.shard);
        if content.is_some_and(|content| content.has_closed(tenure.epoch)) {
            closed.push(tenure);
        } else {
            watch.record_reply(&tenure, &entry, reply);
        }
    }
    if !dropped.is_empty() {
        grants.record_acked(&entry, &dropped.into_iter().collect(), false);
    }
    LoanReceipt {
        settled: grants.pending_acks_of(&entry),
        fences: watch.fences_for(&entry),
        closed,
    }
}

/// Reclaims the tenures of dead lenders in the shards that this one lends from, until the process exits.
pub async fn reclaim_tenures(api: Rc<RelayApi>) {
    while !api.stopping.get() {
        smol::Timer::after(WATCH_INTERVAL).await;
        observe_tenures(&api);
        while let Some((tenure, holder)) = find_ready(&api) {
            if !reclaim(&api, &tenure, &holder).await {
                smol::Timer::after(RECLAIM_PAUSE).await;
                break;
            }
        }
    }
}

fn find_ready(api: &RelayApi) -> Option<(LoanTenure, EntryId)> {
    let borrowers = api.borrowers.borrow();
    api.tenure_watch.borrow().find_ready(|entry| borrowers.has_ended(entry))
}

fn observe_tenures(api: &RelayApi) {
    let now = api.change_feed.now();
    let borrowers = api.borrowers.borrow();
    let mut grants = api.grant_manager.grants.borrow_mut();
    grants.retain_borrowers(|borrower, requested_at| {
        now.saturating_sub(requested_at) <= BORROWER_TIME && !borrowers.has_ended(borrower)
    });
    let own = Arc::clone(grants.holder());
    for replaced in borrowers.replaced() {
        // Nobody is left to drop its loans, the bills of which are settled here.
        grants.record_acked(replaced, &BTreeSet::new(), true);
    }
    let mut watch = api.tenure_watch.borrow_mut();
    for shard in grants.shards() {
        if grants.names_ended(&shard, |agent| borrowers.has_ended(agent)) {
            api.grant_manager.hasten_settlement(&shard);
        }
        let is_idle = grants.is_unused(&shard, now.saturating_sub(IDLE_TIME));
        if is_idle && !watch.has_dead(&shard) {
            api.grant_manager.leave_shard(&shard);
        }
        if let Some(content) = grants.cached_shard(&shard).filter(|_| grants.has_tenure(&shard)) {
            let found =
                watch.observe(&shard, content, &own, now, |entry| borrowers.has_ended(entry));
            for (holder, cause) in found {
                tracing::info!(event = "lender_dead", %holder, %shard, ?cause);
            }
        }
    }
}

/// Reclaims a tenure whose borrowers have all reported. Returns false if it failed and is to be tried
/// again after a pause.
async fn reclaim(api: &RelayApi, tenure: &LoanTenure, holder: &EntryId) -> bool {
    let manager = &api.grant_manager;
    let (shard, own) = (Arc::clone(&tenure.shard), Arc::clone(manager.grants.borrow().holder()));
    let mut machine = ReclaimMachine::new(shard, Arc::clone(holder), own, true);
    while let Some(call) = machine.next_call() {
        let reply = match call {
            ReclaimCall::Store(call) => ReclaimReply::Store(manager.store.call(&call).await),
            ReclaimCall::Fence { agent, epoch, .. } if epoch == tenure.epoch => {
                find_report(api, tenure, &agent)
            }
            ReclaimCall::Fence { .. } => ReclaimReply::Unreachable,
        };
        machine.handle_reply(reply);
    }
    manager.metrics.report_unreadable(machine.unreadable());
    let outcome = machine.into_outcome();
    let shard = &tenure.shard;
    let mut watch = api.tenure_watch.borrow_mut();
    match outcome {
        ReclaimOutcome::Closed { proved, bills, released, frozen, .. } => {
            manager.metrics.count_event("tenures_reclaimed");
            tracing::info!(
                event = "tenure_reclaimed", %holder, %shard, epoch = tenure.epoch, proved, bills,
                released, frozen,
            );
            watch.record_closed(tenure.clone(), api.change_feed.now());
        }
        ReclaimOutcome::NotNeeded => watch.record_closed(tenure.clone(), api.change_feed.now()),
        ReclaimOutcome::Reduced { released } => {
            tracing::info!(event = "tenure_reduced", %holder, %shard, epoch = tenure.epoch, released);
            watch.record_reduced(tenure);
        }
        ReclaimOutcome::Waiting | ReclaimOutcome::Unavailable => {
            if outcome == ReclaimOutcome::Waiting {
                // No part of the grants is known to be free.
                watch.record_reduced(tenure);
            }
            tracing::info!(event = "reclaim_unfinished", %holder, %shard, epoch = tenure.epoch, ?outcome);
            return false;
        }
    }
    // The next sync reads the shard with the returned tokens.
    manager.grants.borrow_mut().take_cached(shard);
    true
}

fn find_report(api: &RelayApi, tenure: &LoanTenure, entry: &EntryId) -> ReclaimReply {
    let watch = api.tenure_watch.borrow();
    let reply = watch.find_reply(tenure, entry);
    let is_final = reply.is_some_and(|reply| reply.running == 0);
    if !is_final && api.borrowers.borrow().has_ended(entry) {
        return ReclaimReply::Gone;
    }
    reply.map_or(ReclaimReply::Unreachable, |reply| ReclaimReply::Fenced(reply.clone()))
}

/// Stops lending and waits until the open loans have ended, for at most `timeout`.
///
/// The budget of loans that are open when the process exits is lost to their customers, since
/// nobody can tell any more how much of it was used.
pub async fn drain(api: &RelayApi, timeout: Duration) {
    api.stopping.set(true);
    tracing::info!(event = "stop", role = "relay", loans = api.loans.borrow().len());
    grant_manager::release_unused(&api.grant_manager).await;
    let ending = async {
        while !api.loans.borrow().is_empty() {
            smol::Timer::after(DRAIN_CHECK_INTERVAL).await;
        }
    };
    if time_limits::timeout(timeout, ending).await.is_none() {
        tracing::warn!(
            event = "loans_left", loans = api.loans.borrow().len(), borrowers = ?count_borrowers(api),
        );
    }
}

/// Returns the number of open loans by borrower.
fn count_borrowers(api: &RelayApi) -> BTreeMap<EntryId, usize> {
    let mut counts = BTreeMap::new();
    for loan in api.loans.borrow().open_loans() {
        *counts.entry(Arc::from(loans::borrower_of(loan))).or_default() += 1;
    }
    counts
}
