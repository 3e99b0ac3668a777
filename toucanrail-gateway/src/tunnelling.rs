//! The relay: connections of entries, passed on to the store byte for byte.
//!
//! It stands on VMs that stay in touch with the store while an entry's own VM is cut off, knows
//! nothing of what passes, and leads nowhere else.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_signal::{Signal, Signals};
use smol::future::FutureExt;
use smol::stream::StreamExt;
use smol::{Async, LocalExecutor};
use toucanrail::coldstarts::PermitTable;
use toucanrail::endpoints::EndpointTable;
use toucanrail_daemons::observing::MetricBoard;
use toucanrail_daemons::starting::{self, ProcessClock};
use toucanrail_platform::settings::NodeSettings;
use toucanrail_platform::stores::StoreClient;
use toucanrail_wire::channels::{BufferedChannel, ChannelWriter};
use toucanrail_wire::clocks;

use crate::budgeting::{self, BudgetKeeper};
use crate::gauging::ServerGauge;
use crate::lending::{self, LoanOffice};
use crate::listening;
use crate::mirroring::NewsOffice;
use crate::registering;
use crate::storing::{self, RELAY_REFRESH, StoreAccess};
use crate::tuning::GatewayTuning;

/// Most connections at once: some for each entry of a large fleet.
const CONNECTION_LIMIT: usize = 400;
/// Longest time in which neither side sends: longer than any watch waits.
const IDLE_BOUND: Duration = Duration::from_secs(30);
const CONNECT_BOUND: Duration = Duration::from_millis(500);
/// How often the burn of grants is measured.
const BURN_TICK: Duration = Duration::from_millis(200);
/// Taken off the grace period for the last settlement: after it the platform kills.
const GRACE_MARGIN: Duration = Duration::from_millis(1_800);

/// Runs a relay until it is told to stop.
pub fn run(settings: &NodeSettings, tuning: GatewayTuning) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let listener = Async::<TcpListener>::bind(settings.inner)?;
    tracing::info!(event = "start", role = "relay", vm = %settings.vm, inner = %settings.inner);
    let passing = pass_connections(Rc::clone(&executor), listener, settings.store, || true);
    executor.spawn(passing).detach();
    let office = Rc::new(make_office(settings, tuning, &executor)?);
    let entries = Async::<TcpListener>::bind(settings.lending)?;
    let lending = lending::serve_entries(Rc::clone(&executor), Rc::clone(&office), entries);
    executor.spawn(lending).detach();
    executor.spawn(budgeting::run_syncs(Rc::clone(&office.keeper))).detach();
    executor.spawn(smooth_burn(Rc::clone(&office))).detach();
    let gauge = office.gauge.as_ref().map(Rc::clone);
    let entry = registering::make_entry(settings, settings.inner, false);
    executor.spawn(registering::keep_entry(settings.clone(), entry, gauge)).detach();
    smol::block_on(executor.run(async {
        wait_stop().await;
        lending::drain(&office, settings.grace.saturating_sub(GRACE_MARGIN)).await;
        budgeting::leave(&office.keeper).await;
    }));
    let loans = office.loans.borrow().len();
    tracing::info!(event = "stopped", role = "relay", loans);
    Ok(())
}

fn make_office(
    settings: &NodeSettings,
    tuning: GatewayTuning,
    executor: &Rc<LocalExecutor<'static>>,
) -> io::Result<LoanOffice> {
    let id = starting::new_incarnation(&settings.vm);
    let board = MetricBoard::new("relay").map_err(io::Error::other)?;
    let data_centre = Arc::clone(&settings.data_centre);
    let ways = EndpointTable::new(settings.store, data_centre, Arc::clone(&settings.region));
    let client = StoreClient::new(CONNECT_BOUND);
    let store = Rc::new(StoreAccess::new(client, ways, ProcessClock::start()));
    let watching = storing::keep_ways(Rc::clone(&store), settings.store, RELAY_REFRESH);
    executor.spawn(watching).detach();
    let permits = PermitTable::new(store.now()).into();
    let news = NewsOffice::new(Rc::clone(&store), Rc::clone(executor));
    let keeper = Rc::new(BudgetKeeper::new(&id, store, tuning, board, Rc::clone(executor)));
    let server = settings.server;
    let gauge =
        server.map(|server| Rc::new(ServerGauge::new(StoreClient::new(CONNECT_BOUND), server)));
    let (loans, leaving) = (RefCell::default(), Cell::new(false));
    Ok(LoanOffice { keeper, loans, leaving, news, permits, gauge })
}

async fn smooth_burn(office: Rc<LoanOffice>) {
    loop {
        smol::Timer::after(BURN_TICK).await;
        office.keeper.grants.borrow_mut().smooth_burn(BURN_TICK);
    }
}

async fn wait_stop() {
    match Signals::new([Signal::Term, Signal::Int, Signal::Hup]) {
        // The settings that a relay uses do not change while it runs.
        Ok(mut signals) => while matches!(signals.next().await, Some(Ok(Signal::Hup))) {},
        Err(error) => {
            tracing::error!(event = "no_signals", %error);
            std::future::pending::<()>().await;
        }
    }
}

/// Passes connections on; either end may close at any time, and the entry sees a failed call.
///
/// While the store is not in reach of this process itself they are closed at once: the entry tries another
/// relay.
pub async fn pass_connections<Reach>(
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    store: SocketAddr,
    reaches: Reach,
) where
    Reach: Fn() -> bool,
{
    let serve = |socket| {
        let passes = reaches();
        async move { if passes { pass_connection(socket, store).await } else { Ok(()) } }
    };
    listening::serve_each(&executor, listener, CONNECTION_LIMIT, serve, || ()).await;
}

async fn pass_connection(socket: Async<TcpStream>, store: SocketAddr) -> io::Result<()> {
    let caller = BufferedChannel::new(socket)?;
    let store = clocks::within(CONNECT_BOUND, BufferedChannel::connect(store)).await?;
    let (to_store, to_caller) = (store.writer(), caller.writer());
    // The end of either direction ends both: neither side sends a request behind its end.
    let there = pass_bytes(caller, to_store);
    let back = pass_bytes(store, to_caller);
    there.or(back).await
}

async fn pass_bytes(mut from: BufferedChannel, to: ChannelWriter) -> io::Result<()> {
    while clocks::within(IDLE_BOUND, from.fill()).await? > 0 {
        to.write_all(&from.buffer).await?;
        from.buffer.clear();
    }
    Ok(())
}
