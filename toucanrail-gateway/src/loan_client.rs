//! An entry's client of the lenders: it borrows the budget of each request from a relay.
//!
//! A lender holds grants of customers' budgets for the entries around it. An entry borrows the
//! worst-case cost of a request before sending it, and ends the loan with the tokens that were
//! used.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use smol::future::FutureExt;
use toucanrail::borrowings::{BorrowedRow, BorrowingLedger, TenureUses};
use toucanrail::endpoints::RelayName;
use toucanrail::grants::GrantHold;
use toucanrail::ids::{CustomerId, EntryId, RequestId, ServiceName, ShardName, Tokens};
use toucanrail::link_shares;
use toucanrail::loans::{
    self, LenderVerdict, LoanEnd, LoanId, LoanReceipt, LoanReply, LoanReport, LoanRequest,
    LoanTenure,
};
use toucanrail::relay_backoffs::BackoffTable;
use toucanrail_wire::time_limits;

use crate::grant_manager::HoldFailure;
use crate::relay_api::{LOAN_PATH, LOAN_REPORT_PATH};
use crate::relay_client;
use crate::state::Gateway;

/// Timeout of a loan request. A lender that has to ask the store first responds within about half
/// of it; one that is cut off or frozen does not respond at all.
const LOAN_TIMEOUT: Duration = Duration::from_millis(650);
/// Time without a reply after which the lender's liveness is probed, and the timeout of that probe.
/// Most loan requests are answered within a few milliseconds.
const LIVENESS_DELAY: Duration = Duration::from_millis(150);
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(100);
/// Maximum number of lenders tried for one request.
const MAX_LENDERS: usize = 2;
/// Maximum time for which a request whose lender is gone waits until another one has been found, and
/// the same as a fraction of the time that it has left.
const SEARCH_TIMEOUT: Duration = Duration::from_millis(400);
const SEARCH_FRACTION: f64 = 0.25;
/// Interval at which loan ends are sent; the ends queued for a lender within one interval share a
/// message.
const END_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a report.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of reports to a lender that there is nothing else to tell: its replies say which loans
/// are settled, and which tenures must be fenced.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the last loan in a shard for which its lender gets reports all the same.
const SHARD_TIME: Duration = Duration::from_secs(60);
/// Time for which ends are queued for a lender that does not respond. After that the lender is
/// considered gone, and the budget of its loans stays granted to it.
const END_RETENTION: Duration = Duration::from_secs(60);

/// Where the budget of a request is reserved.
#[derive(Debug)]
enum BudgetSource {
    /// In this process's own grant.
    Own(GrantHold),
    /// On loan from a lender.
    Loan { lender: Arc<str>, loan: LoanId },
}

/// What is to be reported to one lender, and was not acknowledged.
#[derive(Debug, Clone, Default)]
struct ReportQueue {
    ends: Vec<LoanEnd>,
    /// When the oldest of the ends was queued.
    since: Duration,
    dropped: Vec<LoanId>,
    fenced: Vec<LoanTenure>,
    /// When the last report was sent, and the last one with fenced tenures.
    reported_at: Option<Duration>,
    fenced_at: Option<Duration>,
}

impl ReportQueue {
    /// Returns whether a report is due.
    fn is_due(&self, now: Duration) -> bool {
        !self.ends.is_empty() || !self.dropped.is_empty() || is_past(self.reported_at, now)
    }

    /// Returns the tenures to report on now: those that the lender has asked for, and `ended`. Their
    /// reports may be long.
    fn due_fences(&self, ended: BTreeSet<LoanTenure>, now: Duration) -> Vec<LoanTenure> {
        if !is_past(self.fenced_at, now) {
            return Vec::new();
        }
        let asked = self.fenced.iter().cloned();
        ended.into_iter().chain(asked).collect::<BTreeSet<_>>().into_iter().collect()
    }

    /// Removes what a report contained.
    fn remove(&mut self, report: &ReportQueue) {
        self.ends.drain(..report.ends.len());
        self.dropped.drain(..report.dropped.len());
    }
}

/// Returns whether the interval of reports has passed since a time.
fn is_past(since: Option<Duration>, now: Duration) -> bool {
    since.is_none_or(|since| now.saturating_sub(since) >= REPORT_INTERVAL)
}

/// State of an entry's loans: failed lenders, and loan ends still to be sent.
#[derive(Debug)]
pub struct LoanClient {
    /// Number in the id of the next loan.
    next_number: Cell<u64>,
    /// Whether the lender that was last asked did not respond.
    pub lenders_unreachable: Cell<bool>,
    backoff: RefCell<BackoffTable>,
    queues: RefCell<BTreeMap<RelayName, ReportQueue>>,
    ledger: RefCell<BorrowingLedger>,
    uses: RefCell<TenureUses>,
    /// When a loan of each shard was last requested.
    used_shards: RefCell<BTreeMap<ShardName, Duration>>,
}

impl LoanClient {
    /// Creates the client of an entry's process.
    pub fn new(entry: &EntryId) -> Self {
        Self {
            next_number: Cell::new(0),
            lenders_unreachable: Cell::new(false),
            backoff: RefCell::default(),
            queues: RefCell::default(),
            ledger: BorrowingLedger::new(Arc::clone(entry)).into(),
            uses: RefCell::default(),
            used_shards: RefCell::default(),
        }
    }

    /// Returns whether a lender failed recently and is not asked now.
    pub fn avoids(&self, lender: &Arc<str>, now: Duration) -> bool {
        self.backoff.borrow().is_active(lender, now)
    }

    fn record_failure(&self, lender: &RelayName, now: Duration) {
        self.backoff.borrow_mut().record_failure(lender, now);
    }

    /// Records that a lender's process has ended if its VM refuses connections. The next one by rank then
    /// gets the reports too.
    fn record_refusal(&self, lender: &RelayName, error: &io::Error, now: Duration) {
        if error.kind() == io::ErrorKind::ConnectionRefused {
            self.uses.borrow_mut().record_end(lender);
            self.record_failure(lender, now);
        }
    }
}

/// The budget reserved for one request. Dropping it bills the tokens that were used, however the
/// request ends.
#[derive(Debug)]
pub struct BudgetGuard {
    gateway: Rc<Gateway>,
    source: BudgetSource,
    amount: Tokens,
    request: RequestId,
    service: ServiceName,
    prompt: Tokens,
    may_have_run: Cell<bool>,
    output: Cell<Tokens>,
}

/// The budget that a request needs at most, and the request's attributes that decide whether it
/// gets it.
#[derive(Debug, Clone, Copy)]
pub struct BudgetNeed<'request> {
    /// The customer who pays.
    pub customer: &'request CustomerId,
    /// The customer's prepaid total according to the configuration.
    pub prepaid_total: Tokens,
    /// Id of the request.
    pub request: &'request RequestId,
    /// The service.
    pub service: &'request ServiceName,
    /// Prompt tokens.
    pub prompt_tokens: Tokens,
    /// Maximum tokens of prompt and output together.
    pub max_usage: Tokens,
    /// Urgency rank; 0 is the most urgent.
    pub rank: u8,
    /// Time left until the request's deadline.
    pub time_left: Duration,
}

/// Reserves the worst-case cost of a request: on loan from a lender, or in the entry's own grant if
/// no lender responds.
pub async fn reserve_budget(
    gateway: &Rc<Gateway>,
    need: &BudgetNeed<'_>,
) -> Result<BudgetGuard, HoldFailure> {
    let amount = need.max_usage;
    let source = if let Some(loaned) = request_loan(gateway, need, amount).await {
        loaned?
    } else {
        gateway.grant_manager.raise_prepaid(need.customer, need.prepaid_total);
        let hold = gateway
            .grant_manager
            .acquire_hold(need.customer, amount, need.rank, need.time_left, None)
            .await;
        BudgetSource::Own(hold?)
    };
    Ok(BudgetGuard {
        gateway: Rc::clone(gateway),
        source,
        amount,
        request: Arc::clone(need.request),
        service: Arc::clone(need.service),
        prompt: need.prompt_tokens,
        may_have_run: Cell::new(false),
        output: Cell::new(0),
    })
}

/// Requests a loan from the lenders in rank order. Returns `None` if no lender responds or all are
/// stopping, and that the budget is short if the entry's own loaded link may have delayed the reply.
async fn request_loan(
    gateway: &Rc<Gateway>,
    need: &BudgetNeed<'_>,
    amount: Tokens,
) -> Option<Result<BudgetSource, HoldFailure>> {
    for _ in 0..MAX_LENDERS {
        let (lender, address) = pick_lender(gateway, need.customer)?;
        let number = gateway.loan_client.next_number.get();
        gateway.loan_client.next_number.set(number + 1);
        let loan: LoanId = Arc::from(format!("{}.{number}", gateway.id));
        let request = LoanRequest {
            loan: Arc::clone(&loan),
            customer: Arc::clone(need.customer),
            stated: need.prepaid_total,
            amount,
            rank: need.rank,
        };
        // If this call is cancelled or fails, the loan is ended all the same: the lender may have
        // granted it, and nobody else would return it.
        let mut pending =
            PendingLoan { gateway, lender: &lender, loan: &loan, need, settled: false };
        let link_load = gateway.delaying_load();
        match request_watched(gateway, &lender, address, &request, need.time_left).await {
            Ok(reply) => {
                pending.settled = true;
                gateway.loan_client.lenders_unreachable.set(false);
                if let Some(source) = read_reply(gateway, need, reply, &lender, &loan) {
                    gateway.loan_client.backoff.borrow_mut().reset(&lender);
                    return Some(source);
                }
                tracing::info!(event = "lender_leaving", %lender);
                gateway.loan_client.record_failure(&lender, gateway.now());
            }
            Err(error) if is_inconclusive(gateway, &error, link_load) => {
                tracing::info!(event = "lender_delayed", %lender, customer = %need.customer);
                gateway.metrics.count_event("lenders_delayed");
                return Some(Err(HoldFailure::Short));
            }
            Err(error) => {
                tracing::info!(event = "lender_failed", %lender, %error, customer = %need.customer);
                gateway.metrics.count_event("lenders_failed");
                gateway.loan_client.lenders_unreachable.set(true);
                gateway.loan_client.record_failure(&lender, gateway.now());
                gateway.loan_client.record_refusal(&lender, &error, gateway.now());
                if gateway.relay_checker.health().is_failed(address) {
                    let timeout = SEARCH_TIMEOUT.min(need.time_left.mul_f64(SEARCH_FRACTION));
                    gateway.relay_checker.await_search(timeout).await;
                }
            }
        }
    }
    None
}

/// Returns the first lender by rank that responds.
fn pick_lender(gateway: &Gateway, customer: &CustomerId) -> Option<(RelayName, SocketAddr)> {
    let now = gateway.now();
    let shard = gateway.grant_manager.shard_of(customer);
    let picked = pick_shard_lender(gateway, &shard);
    gateway.loan_client.used_shards.borrow_mut().insert(shard, now);
    picked
}

fn pick_shard_lender(gateway: &Gateway, shard: &str) -> Option<(RelayName, SocketAddr)> {
    let now = gateway.now();
    let ranked = loans::rank_lenders(&gateway.working_lenders(), shard);
    ranked.into_iter().find(|(name, _)| !gateway.loan_client.avoids(name, now))
}

/// Returns whether a failed loan request says nothing about its lender. `link_load` is that of the
/// link when the request was sent.
fn is_inconclusive(gateway: &Gateway, error: &io::Error, link_load: f64) -> bool {
    let timed_out = error.kind() == io::ErrorKind::TimedOut;
    loans::judge_lender(timed_out, link_load.max(gateway.delaying_load())) == LenderVerdict::Unknown
}

/// Requests a loan from one lender, and gives up early if the lender fails a liveness probe.
///
/// A lender that has to ask the store may take up to 400 ms to reply, which looks the same as a
/// frozen one. Without the probe, a request waits for the full 650 ms before it tries the next
/// lender, longer than callers accept. While the entry's own link is loaded, a probe would be
/// delayed like the request, so none is sent.
async fn request_watched(
    gateway: &Rc<Gateway>,
    lender: &Arc<str>,
    address: SocketAddr,
    request: &LoanRequest,
    time_left: Duration,
) -> io::Result<LoanReply> {
    let (path, load) = (LOAN_PATH, gateway.delaying_load());
    let is_loaded = link_shares::is_loaded(load);
    let timeout = loans::reply_timeout(LOAN_TIMEOUT, load, time_left);
    // A loaded link delays the opening of connections too.
    let connect_timeout = if is_loaded { timeout } else { relay_client::CONNECT_TIMEOUT };
    let requesting = relay_client::call_relay_within(
        gateway,
        lender,
        address,
        path,
        request,
        connect_timeout,
        timeout,
    );
    if is_loaded {
        return time_limits::io_timeout(timeout, requesting).await;
    }
    let watching = async {
        smol::Timer::after(LIVENESS_DELAY).await;
        let is_loaded = link_shares::is_loaded(gateway.delaying_load());
        if is_loaded || relay_client::is_alive(address, LIVENESS_TIMEOUT).await {
            std::future::pending::<()>().await;
        }
        Err(io::ErrorKind::TimedOut.into())
    };
    requesting.or(watching).await
}

/// Converts a lender's reply. Returns `None` if the lender is stopping, or its tenure is fenced, and
/// another one is to be asked.
fn read_reply(
    gateway: &Gateway,
    need: &BudgetNeed<'_>,
    reply: LoanReply,
    lender: &RelayName,
    loan: &LoanId,
) -> Option<Result<BudgetSource, HoldFailure>> {
    match reply {
        LoanReply::Held(tenure) => {
            let mut uses = gateway.loan_client.uses.borrow_mut();
            uses.record_loan(&tenure, lender, gateway.now());
            drop(uses);
            let row = BorrowedRow {
                tenure,
                customer: Arc::clone(need.customer),
                request: Arc::clone(need.request),
                service: Arc::clone(need.service),
                amount: need.max_usage,
                used: None,
            };
            if !gateway.loan_client.ledger.borrow_mut().begin(Arc::clone(loan), row) {
                queue_end(gateway, lender, make_end(loan, need.request, need.service, 0));
                return None;
            }
            Some(Ok(BudgetSource::Loan { lender: Arc::clone(lender), loan: Arc::clone(loan) }))
        }
        LoanReply::Short => Some(Err(HoldFailure::Short)),
        LoanReply::Uncovered => Some(Err(HoldFailure::Uncovered)),
        LoanReply::Leaving => None,
    }
}

/// A loan request whose outcome is not known yet; ends the loan when dropped unsettled.
struct PendingLoan<'request> {
    gateway: &'request Rc<Gateway>,
    lender: &'request Arc<str>,
    loan: &'request LoanId,
    need: &'request BudgetNeed<'request>,
    settled: bool,
}

impl Drop for PendingLoan<'_> {
    fn drop(&mut self) {
        if !self.settled {
            let (request, service) = (self.need.request, self.need.service);
            queue_end(self.gateway, self.lender, make_end(self.loan, request, service, 0));
        }
    }
}

fn make_end(loan: &LoanId, request: &RequestId, service: &ServiceName, used: Tokens) -> LoanEnd {
    LoanEnd {
        loan: Arc::clone(loan),
        request: Arc::clone(request),
        service: Arc::clone(service),
        used,
    }
}

fn queue_end(gateway: &Gateway, lender: &RelayName, end: LoanEnd) {
    let mut queues = gateway.loan_client.queues.borrow_mut();
    let queue = queues.entry(Arc::clone(lender)).or_default();
    if queue.ends.is_empty() {
        queue.since = gateway.now();
    }
    queue.ends.push(end);
}

/// Reports to lenders at regular intervals.
pub async fn send_reports(gateway: Rc<Gateway>) {
    loop {
        smol::Timer::after(END_INTERVAL).await;
        flush_reports(&gateway).await;
    }
}

/// Waits until each lender that is still listed has the loan ends of a stopping process, for at most
/// `timeout`. Loans whose ends do not arrive stay open for ever, unbilled.
pub async fn await_loan_ends(gateway: &Gateway, timeout: Duration) {
    let waiting = async {
        while has_unsent_ends(gateway) {
            smol::Timer::after(END_INTERVAL).await;
        }
    };
    if time_limits::timeout(timeout, waiting).await.is_none() {
        let queues = gateway.loan_client.queues.borrow();
        let lenders = queues.values().filter(|queue| !queue.ends.is_empty()).count();
        let ends: usize = queues.values().map(|queue| queue.ends.len()).sum();
        tracing::warn!(event = "ends_left", lenders, ends);
    }
}

/// Returns whether a lender that is listed has not acknowledged all loan ends.
fn has_unsent_ends(gateway: &Gateway) -> bool {
    let lenders = gateway.store.lenders();
    let is_listed = |lender: &RelayName| lenders.iter().any(|(name, _)| name == lender);
    let queues = gateway.loan_client.queues.borrow();
    queues.iter().any(|(lender, queue)| !queue.ends.is_empty() && is_listed(lender))
}

/// Reports to all lenders that there is something to tell, or that have not got a report for a while.
async fn flush_reports(gateway: &Rc<Gateway>) {
    let lenders = list_lenders_to_tell(gateway);
    let sending = lenders
        .into_iter()
        .map(|lender| gateway.executor.spawn(send_report(Rc::clone(gateway), lender)));
    for task in sending.collect::<Vec<_>>() {
        task.await;
    }
}

fn list_lenders_to_tell(gateway: &Gateway) -> BTreeSet<RelayName> {
    let now = gateway.now();
    let LoanClient { queues, ledger, used_shards, .. } = &gateway.loan_client;
    let mut shards = ledger.borrow().shards();
    let mut used_shards = used_shards.borrow_mut();
    used_shards.retain(|_, used_at| now.saturating_sub(*used_at) <= SHARD_TIME);
    shards.extend(used_shards.keys().map(Arc::clone));
    let current = shards.iter().filter_map(|shard| pick_shard_lender(gateway, shard));
    let current: BTreeSet<RelayName> = current.map(|(lender, _)| lender).collect();
    let mut queues = queues.borrow_mut();
    queues.retain(|lender, queue| current.contains(lender) || !queue.ends.is_empty());
    for lender in current {
        queues.entry(lender).or_default();
    }
    let due = queues.iter().filter(|(_, queue)| queue.is_due(now));
    due.map(|(lender, _)| Arc::clone(lender)).collect()
}

/// Returns the tenures of lenders that have ended in the shards that another lender lends from now. It
/// will reclaim them, and needs not ask.
fn list_ended(gateway: &Gateway, lender: &RelayName) -> BTreeSet<LoanTenure> {
    let mut ended = gateway.loan_client.uses.borrow().list_ended();
    ended.retain(|tenure| {
        let picked = pick_shard_lender(gateway, &tenure.shard);
        picked.is_some_and(|(picked, _)| picked == *lender)
    });
    ended
}

/// Reports to a lender what is queued for it. The ends stay queued until the lender has them.
async fn send_report(gateway: Rc<Gateway>, lender: RelayName) {
    let now = gateway.now();
    let ended = list_ended(&gateway, &lender);
    let queue = {
        let mut queues = gateway.loan_client.queues.borrow_mut();
        let queue = queues.entry(Arc::clone(&lender)).or_default();
        queue.reported_at = Some(now);
        let fenced = queue.due_fences(ended, now);
        if !fenced.is_empty() {
            queue.fenced_at = Some(now);
        }
        ReportQueue { fenced, ..queue.clone() }
    };
    let listed = gateway.store.lenders().into_iter().find(|(name, _)| *name == lender);
    let sent: io::Result<LoanReceipt> = match listed {
        Some((_, address)) => {
            let report = make_report(&gateway, &queue);
            let (path, timeout) = (LOAN_REPORT_PATH, REPORT_TIMEOUT);
            relay_client::call_relay(&gateway, &lender, address, path, &report, timeout).await
        }
        None => Err(io::ErrorKind::NotFound.into()),
    };
    match sent {
        Ok(receipt) => {
            remove_reported(&gateway, &lender, &queue, now);
            handle_receipt(&gateway, &lender, receipt);
        }
        Err(error) => {
            gateway.loan_client.record_refusal(&lender, &error, gateway.now());
            if now.saturating_sub(queue.since) > END_RETENTION {
                if !queue.ends.is_empty() {
                    tracing::warn!(event = "ends_dropped", %lender, ends = queue.ends.len(), %error);
                }
                gateway.loan_client.queues.borrow_mut().remove(&lender);
            }
        }
    }
}

fn make_report(gateway: &Gateway, queue: &ReportQueue) -> LoanReport {
    let mut ledger = gateway.loan_client.ledger.borrow_mut();
    let fenced = queue.fenced.iter().map(|tenure| (tenure.clone(), ledger.fence(tenure)));
    LoanReport {
        entry: Arc::clone(&gateway.id),
        ends: queue.ends.clone(),
        dropped: queue.dropped.clone(),
        fenced: fenced.collect(),
        failed: Vec::new(),
        uses: Some(gateway.loan_client.uses.borrow().list(gateway.now())),
    }
}

/// Removes from a lender's queue what it has got. The ends behind that were queued later than `since`.
fn remove_reported(gateway: &Gateway, lender: &RelayName, report: &ReportQueue, since: Duration) {
    let mut queues = gateway.loan_client.queues.borrow_mut();
    if let Some(queue) = queues.get_mut(lender) {
        queue.remove(report);
        queue.since = since;
    }
}

/// Drops from the ledger what is settled, and fences tenures of dead lenders.
fn handle_receipt(gateway: &Gateway, lender: &RelayName, receipt: LoanReceipt) {
    let LoanReceipt { settled, fences, closed } = receipt;
    let mut ledger = gateway.loan_client.ledger.borrow_mut();
    ledger.drop_settled(&settled);
    for tenure in &closed {
        ledger.drop_tenure(tenure);
        gateway.loan_client.uses.borrow_mut().remove(tenure);
    }
    for tenure in &fences {
        // No loan of it may be used from now on, whenever the report is sent.
        ledger.fence(tenure);
    }
    let mut queues = gateway.loan_client.queues.borrow_mut();
    let queue = queues.entry(Arc::clone(lender)).or_default();
    queue.dropped.extend(settled);
    queue.fenced = fences;
}

impl BudgetGuard {
    /// Sets whether a backend server may have run the request.
    pub fn set_may_have_run(&self, may_have_run: bool) {
        self.may_have_run.set(may_have_run);
    }

    /// Adds output tokens that were received from a backend server.
    pub fn add_output_tokens(&self, tokens: Tokens) {
        self.output.set(self.output.get().saturating_add(tokens));
    }

    /// Returns the tokens to bill: the prompt if a server may have processed it, plus the output.
    /// The server limits the output to what the caller asked for.
    pub fn used(&self) -> Tokens {
        let prompt = if self.may_have_run.get() { self.prompt } else { 0 };
        prompt.saturating_add(self.output.get()).min(self.amount)
    }
}

impl Drop for BudgetGuard {
    fn drop(&mut self) {
        let used = self.used();
        match &self.source {
            BudgetSource::Own(hold) => {
                let (request, service) = (Arc::clone(&self.request), Arc::clone(&self.service));
                self.gateway.grant_manager.end_hold(hold, request, service, used, None);
            }
            BudgetSource::Loan { lender, loan } => {
                self.gateway.loan_client.ledger.borrow_mut().end(loan, used);
                let end = make_end(loan, &self.request, &self.service, used);
                queue_end(&self.gateway, lender, end);
            }
        }
    }
}
