//! The lender: it keeps grants for the entries of its data centre and lends them request by request.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use smol::{Async, LocalExecutor};
use toucanrail::coldstarts::{PermitOrder, PermitReply, PermitTable};
use toucanrail::loans::{LoanEnd, LoanOrder, LoanReply, LoanTable};
use toucanrail_wire::calling;
use toucanrail_wire::channels::BufferedChannel;
use toucanrail_wire::clocks;

use crate::change_feed::{CHANGES_PATH, ChangeFeed};
use crate::grant_manager::{self, GrantManager, HoldFailure};
use crate::listening;
use crate::report_client::ReportClient;

/// Call with a [`LoanOrder`], answered with a [`LoanReply`].
pub const LOAN_PATH: &str = "/loans/draw";
/// Call with some [`LoanEnd`]s, answered with `true`.
pub const LOAN_END_PATH: &str = "/loans/end";

/// Call with nothing, answered with the [`LoadReport`](toucanrail::paces::LoadReport) of the server beside
/// the lender, if there is one.
pub const REPORT_PATH: &str = "/report";

/// Call with a [`PermitOrder`], answered with a [`PermitReply`].
pub const PERMIT_PATH: &str = "/permit";

/// Call with nothing, answered with `true` at once.
pub const ALIVE_PATH: &str = "/alive";

/// Longest time for which an order may wait; [`GrantManager::acquire_hold`] waits for a fourth of it.
const ORDER_TIME: Duration = Duration::from_millis(1_400);
/// How often a stopping lender looks whether its loans have ended.
const DRAIN_STEP: Duration = Duration::from_millis(50);

/// The lender's tables.
#[derive(Debug)]
pub struct RelayApi {
    /// Its grants.
    pub grant_manager: Rc<GrantManager>,
    /// Its open loans.
    pub loans: RefCell<LoanTable>,
    /// Whether it is stopping.
    pub leaving: Cell<bool>,
    /// What it tells entries of the store.
    pub change_feed: ChangeFeed,
    /// The permits that it gave for cold servers.
    pub permits: RefCell<PermitTable>,
    /// The server beside it.
    pub report_client: Option<Rc<ReportClient>>,
}

/// Serves entries; one that went away opens another connection.
pub async fn serve_entries(
    executor: Rc<LocalExecutor<'static>>,
    office: Rc<RelayApi>,
    listener: Async<TcpListener>,
) {
    let serve = |socket| {
        let office = Rc::clone(&office);
        async move { serve_entry(&office, socket).await }
    };
    listening::serve_each(&executor, listener, usize::MAX, serve, || ()).await;
}

async fn serve_entry(office: &RelayApi, socket: Async<TcpStream>) -> io::Result<()> {
    let mut channel = BufferedChannel::new(socket)?;
    while let Some((head, body)) = calling::read_call(&mut channel).await? {
        match head.path() {
            LOAN_PATH => {
                let order = calling::decode(&body)?;
                calling::reply(&channel, &draw(office, &order).await).await?;
            }
            LOAN_END_PATH => {
                end(office, calling::decode(&body)?);
                calling::reply(&channel, &true).await?;
            }
            CHANGES_PATH => {
                let order = calling::decode(&body)?;
                calling::reply(&channel, &office.change_feed.answer(&order).await).await?;
            }
            ALIVE_PATH => calling::reply(&channel, &true).await?,
            PERMIT_PATH => {
                let order = calling::decode(&body)?;
                calling::reply(&channel, &give_permit(office, &order)).await?;
            }
            REPORT_PATH => {
                let report = match &office.report_client {
                    Some(report_client) => report_client.try_fetch().await,
                    None => None,
                };
                calling::reply(&channel, &report).await?;
            }
            _ => return Err(io::ErrorKind::InvalidData.into()),
        }
    }
    Ok(())
}

async fn draw(office: &RelayApi, order: &LoanOrder) -> LoanReply {
    if office.loans.borrow().is_open(&order.loan) {
        return LoanReply::Held;
    }
    if office.leaving.get() {
        return LoanReply::Leaving;
    }
    let LoanOrder { customer, amount, rank, .. } = order;
    office.grant_manager.raise_prepaid(customer, order.stated);
    match office.grant_manager.acquire_hold(customer, *amount, *rank, ORDER_TIME).await {
        Ok(hold) if office.leaving.get() => {
            office.grant_manager.grants.borrow_mut().finish(&hold, None);
            LoanReply::Leaving
        }
        Ok(hold) if office.loans.borrow().is_new(&order.loan) => {
            office.loans.borrow_mut().open(&order.loan, hold);
            LoanReply::Held
        }
        Ok(hold) => {
            // Ended while it waited: the entry gave it up.
            office.grant_manager.grants.borrow_mut().finish(&hold, None);
            LoanReply::Short
        }
        Err(HoldFailure::Short) => LoanReply::Short,
        Err(HoldFailure::Uncovered) => LoanReply::Uncovered,
    }
}

fn give_permit(office: &RelayApi, order: &PermitOrder) -> PermitReply {
    let reply = office.permits.borrow_mut().give(order, office.change_feed.now());
    tracing::info!(event = "permit", server = %order.server, limit = order.limit, reply = ?reply);
    reply
}

fn end(office: &RelayApi, ends: Vec<LoanEnd>) {
    for end in ends {
        let hold = office.loans.borrow_mut().end(&end.loan);
        if let Some(hold) = hold {
            office.grant_manager.end_hold(&hold, end.request, end.service, end.used);
        }
    }
}

/// Lends no more and waits until the open loans have ended, for at most `bound`.
///
/// A lender that ends with open loans takes their customers' money with it: nobody can tell any more
/// what of it was used.
pub async fn drain(office: &RelayApi, bound: Duration) {
    office.leaving.set(true);
    tracing::info!(event = "stop", role = "relay", loans = office.loans.borrow().len());
    grant_manager::release_unused(&office.grant_manager).await;
    let ending = async {
        while !office.loans.borrow().is_empty() {
            smol::Timer::after(DRAIN_STEP).await;
        }
    };
    if clocks::bounded(bound, ending).await.is_none() {
        tracing::warn!(event = "loans_left", loans = office.loans.borrow().len());
    }
}
