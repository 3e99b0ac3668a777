//! The lender: it keeps grants for the entries of its data centre and lends them request by request.

use std::cell::RefCell;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use smol::{Async, LocalExecutor};
use toucanrail::loans::{LoanEnds, LoanOrder, LoanReply, LoanTable};
use toucanrail_wire::calling;
use toucanrail_wire::channels::BufferedChannel;

use crate::budgeting::{BudgetKeeper, HoldFailure};

/// Call with a [`LoanOrder`], answered with a [`LoanReply`].
pub const DRAW_PATH: &str = "/loans/draw";
/// Call with [`LoanEnds`], answered with `true`.
pub const END_PATH: &str = "/loans/end";

/// Longest time for which an order may wait; [`BudgetKeeper::take_hold`] waits for a fourth of it.
const ORDER_TIME: Duration = Duration::from_millis(1_400);
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// The lender's tables.
#[derive(Debug)]
pub struct LoanOffice {
    /// Its grants.
    pub keeper: Rc<BudgetKeeper>,
    /// Its open loans.
    pub loans: RefCell<LoanTable>,
}

/// Serves entries.
pub async fn serve_entries(
    executor: Rc<LocalExecutor<'static>>,
    office: Rc<LoanOffice>,
    listener: Async<TcpListener>,
) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            smol::Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        let office = Rc::clone(&office);
        let serving = async move {
            // An entry that went away opens another connection.
            serve_entry(&office, socket).await.ok();
        };
        executor.spawn(serving).detach();
    }
}

async fn serve_entry(office: &LoanOffice, socket: Async<TcpStream>) -> io::Result<()> {
    let mut channel = BufferedChannel::new(socket)?;
    while let Some((head, body)) = calling::read_call(&mut channel).await? {
        match head.path() {
            DRAW_PATH => {
                let order = calling::decode(&body)?;
                calling::reply(&channel, &draw(office, &order).await).await?;
            }
            END_PATH => {
                end(office, calling::decode(&body)?);
                calling::reply(&channel, &true).await?;
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
    office.keeper.note_total(&order.customer, order.stated);
    let taken = office.keeper.take_hold(&order.customer, order.amount, ORDER_TIME).await;
    match taken {
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

fn end(office: &LoanOffice, ends: LoanEnds) {
    for end in ends.ends {
        let hold = office.loans.borrow_mut().end(&end.loan);
        if let Some(hold) = hold {
            office.keeper.finish(&hold, end.request, end.service, end.used);
        }
    }
}
