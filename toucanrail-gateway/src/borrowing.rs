//! The entry's side of loans: the budget of one request, from a lender of its data centre.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use smol::future::FutureExt;
use toucanrail::grants::GrantHold;
use toucanrail::ids::{CustomerId, RequestId, ServiceName, Tokens};
use toucanrail::loans::{self, LoanEnd, LoanId, LoanOrder, LoanReply};

use crate::budgeting::HoldFailure;
use crate::lending::{DRAW_PATH, END_PATH};
use crate::peering::{self, PeerRests};
use crate::state::Gateway;

/// Longest wait for a lender's answer: one that has to ask the store first answers within about
/// half of it, one that is cut off or frozen not at all.
const DRAW_BOUND: Duration = Duration::from_millis(650);
/// Wait for a lender's answer after which it is asked for a sign of life, and the longest wait for that:
/// most orders are answered within some milliseconds.
const LIFE_WAIT: Duration = Duration::from_millis(150);
const LIFE_BOUND: Duration = Duration::from_millis(100);
/// Lenders tried for one request.
const LENDER_TRIES: usize = 2;
/// Pause between messages with ends; those of the pause share one.
const END_PAUSE: Duration = Duration::from_millis(100);
const END_BOUND: Duration = Duration::from_secs(1);
/// Time for which ends are kept for a lender that does not answer; after that it is taken as gone,
/// and its loans stay granted to it.
const END_PATIENCE: Duration = Duration::from_secs(60);

/// Where the budget of a request is held.
#[derive(Debug)]
enum BudgetSource {
    /// In this process's own grant.
    Own(GrantHold),
    /// At a lender.
    Loan { lender: Arc<str>, loan: LoanId },
}

#[derive(Debug)]
struct EndQueue {
    ends: Vec<LoanEnd>,
    since: Duration,
}

/// What an entry knows of lenders.
#[derive(Debug, Default)]
pub struct LoanDesk {
    next: Cell<u64>,
    /// Whether the last lenders that were asked did not answer.
    pub unanswered: Cell<bool>,
    rests: PeerRests,
    ends: RefCell<BTreeMap<Arc<str>, EndQueue>>,
}

/// The budget held for one request; billed for what was used, however the request ends.
#[derive(Debug)]
pub struct BudgetGuard {
    gateway: Rc<Gateway>,
    source: BudgetSource,
    amount: Tokens,
    request: RequestId,
    service: ServiceName,
    prompt: Tokens,
    sent: Cell<bool>,
    output: Cell<Tokens>,
}

/// A request's need.
#[derive(Debug, Clone, Copy)]
pub struct BudgetNeed<'call> {
    /// Who pays.
    pub customer: &'call CustomerId,
    /// The customer's total as the configuration states it.
    pub stated: Tokens,
    /// The request.
    pub request: &'call RequestId,
    /// The service.
    pub service: &'call ServiceName,
    /// Prompt tokens.
    pub prompt: Tokens,
    /// Most tokens of the answer.
    pub output: Tokens,
    /// The request's rank; 0 goes first.
    pub rank: u8,
    /// Time left.
    pub left: Duration,
}

/// Holds the worst case of a request: at a lender of the data centre, or in the entry's own grant
/// where no lender answers.
pub async fn take_budget(
    gateway: &Rc<Gateway>,
    need: &BudgetNeed<'_>,
) -> Result<BudgetGuard, HoldFailure> {
    let amount = need.prompt + need.output;
    let source = if let Some(drawn) = draw_loan(gateway, need, amount).await {
        drawn?
    } else {
        gateway.keeper.note_total(need.customer, need.stated);
        let hold = gateway.keeper.take_hold(need.customer, amount, need.rank, need.left).await;
        BudgetSource::Own(hold?)
    };
    Ok(BudgetGuard {
        gateway: Rc::clone(gateway),
        source,
        amount,
        request: Arc::clone(need.request),
        service: Arc::clone(need.service),
        prompt: need.prompt,
        sent: Cell::new(false),
        output: Cell::new(0),
    })
}

/// Asks lenders in their order; none if no lender answers.
async fn draw_loan(
    gateway: &Rc<Gateway>,
    need: &BudgetNeed<'_>,
    amount: Tokens,
) -> Option<Result<BudgetSource, HoldFailure>> {
    let now = gateway.now();
    let lenders = gateway.store.lenders();
    let ranked = loans::rank_lenders(&lenders, &gateway.keeper.shard_of(need.customer));
    let rested = ranked.into_iter().filter(|(name, _)| !gateway.desk.rests.is_resting(name, now));
    for (lender, address) in rested.take(LENDER_TRIES) {
        let number = gateway.desk.next.get();
        gateway.desk.next.set(number + 1);
        let loan: LoanId = Arc::from(format!("{}.{number}", gateway.id));
        let order = LoanOrder {
            loan: Arc::clone(&loan),
            customer: Arc::clone(need.customer),
            stated: need.stated,
            amount,
            rank: need.rank,
        };
        // Whatever cuts this call short, the loan is ended: one that nobody knows is never returned.
        let mut draft = LoanDraft { gateway, lender: &lender, loan: &loan, need, settled: false };
        match draw_watched(gateway, &lender, address, &order).await {
            Ok(reply) => {
                draft.settled = true;
                gateway.desk.unanswered.set(false);
                if let Some(source) = read_reply(reply, &lender, &loan) {
                    gateway.desk.rests.forget_rest(&lender);
                    return Some(source);
                }
                tracing::info!(event = "lender_leaving", %lender);
                gateway.desk.rests.rest(&lender, gateway.now());
            }
            Err(error) => {
                tracing::info!(event = "lender_failed", %lender, %error, customer = %need.customer);
                gateway.metrics.count_event("lenders_failed");
                gateway.desk.unanswered.set(true);
                gateway.desk.rests.rest(&lender, gateway.now());
            }
        }
    }
    None
}

/// Asks a lender for a loan, and gives one up early that does not live.
///
/// An order waits for up to 400 ms where the lender asks the store, and a frozen lender looks the same:
/// each request waited for 650 ms until it was passed over, longer than callers bear.
async fn draw_watched(
    gateway: &Rc<Gateway>,
    lender: &Arc<str>,
    address: SocketAddr,
    order: &LoanOrder,
) -> io::Result<LoanReply> {
    let drawing = peering::call_peer(gateway, lender, address, DRAW_PATH, order, DRAW_BOUND);
    let watching = async {
        smol::Timer::after(LIFE_WAIT).await;
        if peering::is_alive(address, LIFE_BOUND).await {
            std::future::pending::<()>().await;
        }
        Err(io::ErrorKind::TimedOut.into())
    };
    drawing.or(watching).await
}

/// Reads a lender's reply; none where it is stopping and another is to be asked.
fn read_reply(
    reply: LoanReply,
    lender: &Arc<str>,
    loan: &LoanId,
) -> Option<Result<BudgetSource, HoldFailure>> {
    match reply {
        LoanReply::Held => {
            Some(Ok(BudgetSource::Loan { lender: Arc::clone(lender), loan: Arc::clone(loan) }))
        }
        LoanReply::Short => Some(Err(HoldFailure::Short)),
        LoanReply::Uncovered => Some(Err(HoldFailure::Uncovered)),
        LoanReply::Leaving => None,
    }
}

/// An order whose answer is not known yet.
struct LoanDraft<'call> {
    gateway: &'call Rc<Gateway>,
    lender: &'call Arc<str>,
    loan: &'call LoanId,
    need: &'call BudgetNeed<'call>,
    settled: bool,
}

impl Drop for LoanDraft<'_> {
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

fn queue_end(gateway: &Gateway, lender: &Arc<str>, end: LoanEnd) {
    let mut queues = gateway.desk.ends.borrow_mut();
    let fresh = || EndQueue { ends: Vec::new(), since: gateway.now() };
    queues.entry(Arc::clone(lender)).or_insert_with(fresh).ends.push(end);
}

/// Sends ends to lenders until they have them.
pub async fn send_ends(gateway: Rc<Gateway>) {
    loop {
        smol::Timer::after(END_PAUSE).await;
        flush_ends(&gateway).await;
    }
}

/// Sends the ends that wait, to all lenders at once; true if none is left.
pub async fn flush_ends(gateway: &Rc<Gateway>) -> bool {
    let lenders: Vec<Arc<str>> = gateway.desk.ends.borrow().keys().map(Arc::clone).collect();
    let sending = lenders
        .into_iter()
        .map(|lender| gateway.executor.spawn(send_queue(Rc::clone(gateway), lender)));
    for task in sending.collect::<Vec<_>>() {
        task.await;
    }
    gateway.desk.ends.borrow().is_empty()
}

async fn send_queue(gateway: Rc<Gateway>, lender: Arc<str>) {
    let Some(queue) = gateway.desk.ends.borrow_mut().remove(&lender) else {
        return;
    };
    let ends = queue.ends;
    let known = gateway.store.lenders().into_iter().find(|(name, _)| *name == lender);
    let sent = match known {
        Some((_, address)) => {
            peering::call_peer::<_, bool>(&gateway, &lender, address, END_PATH, &ends, END_BOUND)
                .await
        }
        None => Err(io::ErrorKind::NotFound.into()),
    };
    let Err(error) = sent else {
        return;
    };
    if gateway.now().saturating_sub(queue.since) > END_PATIENCE {
        tracing::warn!(event = "ends_dropped", %lender, ends = ends.len(), %error);
        return;
    }
    let mut queues = gateway.desk.ends.borrow_mut();
    let fresh = EndQueue { ends: Vec::new(), since: queue.since };
    let waiting = queues.entry(lender).or_insert(fresh);
    waiting.since = waiting.since.min(queue.since);
    waiting.ends.extend(ends);
}

impl BudgetGuard {
    /// Notes whether a server may have run the request.
    pub fn note_sent(&self, may_have_run: bool) {
        self.sent.set(may_have_run);
    }

    /// Notes tokens of the answer that came from a server.
    pub fn add_output(&self, tokens: Tokens) {
        self.output.set(self.output.get() + tokens);
    }

    /// Returns what is billed: the prompt once it may have been read, and the output, which the
    /// server bounds by what the caller asked for.
    pub fn used(&self) -> Tokens {
        let prompt = if self.sent.get() { self.prompt } else { 0 };
        (prompt + self.output.get()).min(self.amount)
    }
}

impl Drop for BudgetGuard {
    fn drop(&mut self) {
        let used = self.used();
        match &self.source {
            BudgetSource::Own(hold) => {
                let (request, service) = (Arc::clone(&self.request), Arc::clone(&self.service));
                self.gateway.keeper.finish(hold, request, service, used);
            }
            BudgetSource::Loan { lender, loan } => {
                let end = make_end(loan, &self.request, &self.service, used);
                queue_end(&self.gateway, lender, end);
            }
        }
    }
}
