//! The lender: it keeps grants for the entries of its data centre and lends them request by request.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use smol::{Async, LocalExecutor};
use toucanrail::coldstarts::{PermitOrder, PermitReply, PermitTable};
use toucanrail::loans::{LoanEnd, LoanOrder, LoanReply, LoanTable};
use toucanrail_wire::connections::BufferedConnection;
use toucanrail_wire::rpc;
use toucanrail_wire::time_limits;

use crate::budgeting::{self, BudgetKeeper, HoldFailure};
use crate::gauging::ServerGauge;
use crate::listening;
use crate::mirroring::{NEWS_PATH, NewsOffice};

/// Call with a [`LoanOrder`], answered with a [`LoanReply`].
pub const DRAW_PATH: &str = "/loans/draw";
/// Call with some [`LoanEnd`]s, answered with `true`.
pub const END_PATH: &str = "/loans/end";

/// Call with nothing, answered with the [`LoadReport`](toucanrail::paces::LoadReport) of the server beside
/// the lender, if there is one.
pub const REPORT_PATH: &str = "/report";

/// Call with a [`PermitOrder`], answered with a [`PermitReply`].
pub const PERMIT_PATH: &str = "/permit";

/// Call with nothing, answered with `true` at once.
pub const ALIVE_PATH: &str = "/alive";

/// Longest time for which an order may wait; [`BudgetKeeper::take_hold`] waits for a fourth of it.
const ORDER_TIME: Duration = Duration::from_millis(1_400);
/// How often a stopping lender looks whether its loans have ended.
const DRAIN_STEP: Duration = Duration::from_millis(50);

/// The lender's tables.
#[derive(Debug)]
pub struct LoanOffice {
    /// Its grants.
    pub keeper: Rc<BudgetKeeper>,
    /// Its open loans.
    pub loans: RefCell<LoanTable>,
    /// Whether it is stopping.
    pub leaving: Cell<bool>,
    /// What it tells entries of the store.
    pub news: NewsOffice,
    /// The permits that it gave for cold servers.
    pub permits: RefCell<PermitTable>,
    /// The server beside it.
    pub gauge: Option<Rc<ServerGauge>>,
}

/// Serves entries; one that went away opens another connection.
pub async fn serve_entries(
    executor: Rc<LocalExecutor<'static>>,
    office: Rc<LoanOffice>,
    listener: Async<TcpListener>,
) {
    let serve = |socket| {
        let office = Rc::clone(&office);
        async move { serve_entry(&office, socket).await }
    };
    listening::serve_connections(&executor, listener, usize::MAX, serve, || ()).await;
}

async fn serve_entry(office: &LoanOffice, socket: Async<TcpStream>) -> io::Result<()> {
    let mut channel = BufferedConnection::new(socket)?;
    while let Some((head, body)) = rpc::read_call(&mut channel).await? {
        match head.path() {
            DRAW_PATH => {
                let order = rpc::decode(&body)?;
                rpc::reply(&channel, &draw(office, &order).await).await?;
            }
            END_PATH => {
                end(office, rpc::decode(&body)?);
                rpc::reply(&channel, &true).await?;
            }
            NEWS_PATH => {
                let order = rpc::decode(&body)?;
                rpc::reply(&channel, &office.news.answer(&order).await).await?;
            }
            ALIVE_PATH => rpc::reply(&channel, &true).await?,
            PERMIT_PATH => {
                let order = rpc::decode(&body)?;
                rpc::reply(&channel, &give_permit(office, &order)).await?;
            }
            REPORT_PATH => {
                let report = match &office.gauge {
                    Some(gauge) => gauge.see().await,
                    None => None,
                };
                rpc::reply(&channel, &report).await?;
            }
            _ => return Err(io::ErrorKind::InvalidData.into()),
        }
    }
    Ok(())
}

async fn draw(office: &LoanOffice, order: &LoanOrder) -> LoanReply {
    if office.loans.borrow().is_open(&order.loan) {
        return LoanReply::Held;
    }
    if office.leaving.get() {
        return LoanReply::Leaving;
    }
    let LoanOrder { customer, amount, rank, .. } = order;
    office.keeper.note_total(customer, order.stated);
    match office.keeper.take_hold(customer, *amount, *rank, ORDER_TIME).await {
        Ok(hold) if office.leaving.get() => {
            office.keeper.grants.borrow_mut().finish(&hold, None);
            LoanReply::Leaving
        }
        Ok(hold) if office.loans.borrow().is_new(&order.loan) => {
            office.loans.borrow_mut().open(&order.loan, hold);
            LoanReply::Held
        }
        Ok(hold) => {
            // Ended while it waited: the entry gave it up.
            office.keeper.grants.borrow_mut().finish(&hold, None);
            LoanReply::Short
        }
        Err(HoldFailure::Short) => LoanReply::Short,
        Err(HoldFailure::Uncovered) => LoanReply::Uncovered,
    }
}

fn give_permit(office: &LoanOffice, order: &PermitOrder) -> PermitReply {
    let reply = office.permits.borrow_mut().give(order, office.news.now());
    tracing::info!(event = "permit", server = %order.server, limit = order.limit, reply = ?reply);
    reply
}

fn end(office: &LoanOffice, ends: Vec<LoanEnd>) {
    for end in ends {
        let hold = office.loans.borrow_mut().end(&end.loan);
        if let Some(hold) = hold {
            office.keeper.finish(&hold, end.request, end.service, end.used);
        }
    }
}

/// Lends no more and waits until the open loans have ended, for at most `bound`.
///
/// A lender that ends with open loans takes their customers' money with it: nobody can tell any more
/// what of it was used.
pub async fn drain(office: &LoanOffice, bound: Duration) {
    office.leaving.set(true);
    tracing::info!(event = "stop", role = "relay", loans = office.loans.borrow().len());
    budgeting::give_back(&office.keeper).await;
    let ending = async {
        while !office.loans.borrow().is_empty() {
            smol::Timer::after(DRAIN_STEP).await;
        }
    };
    if time_limits::timeout(bound, ending).await.is_none() {
        tracing::warn!(event = "loans_left", loans = office.loans.borrow().len());
    }
}
