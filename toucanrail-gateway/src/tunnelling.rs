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
use toucanrail::detours::DetourTable;
use toucanrail_daemons::observing::MetricBoard;
use toucanrail_daemons::starting::{self, ProcessClock};
use toucanrail_platform::settings::NodeSettings;
use toucanrail_platform::stores::StoreClient;
use toucanrail_wire::channels::{BufferedChannel, ChannelWriter};
use toucanrail_wire::clocks;

use crate::change_feed::ChangeFeed;
use crate::grant_manager::{self, GrantManager};
use crate::listening;
use crate::relay_api::{self, RelayApi};
use crate::relay_registration;
use crate::report_client::ReportClient;
use crate::store_access::{self, RELAY_LIST_INTERVAL, StoreAccess};
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
    let lending = relay_api::serve_entries(Rc::clone(&executor), Rc::clone(&office), entries);
    executor.spawn(lending).detach();
    executor.spawn(grant_manager::run_syncs(Rc::clone(&office.grant_manager))).detach();
    executor.spawn(smooth_burn(Rc::clone(&office))).detach();
    let report_client = office.report_client.as_ref().map(Rc::clone);
    let entry = relay_registration::new_entry(settings, settings.inner, false);
    executor
        .spawn(relay_registration::maintain_entry(settings.clone(), entry, report_client))
        .detach();
    smol::block_on(executor.run(async {
        wait_stop().await;
        relay_api::drain(&office, settings.grace.saturating_sub(GRACE_MARGIN)).await;
        grant_manager::settle_all(&office.grant_manager).await;
    }));
    let loans = office.loans.borrow().len();
    tracing::info!(event = "stopped", role = "relay", loans);
    Ok(())
}

fn make_office(
    settings: &NodeSettings,
    tuning: GatewayTuning,
    executor: &Rc<LocalExecutor<'static>>,
) -> io::Result<RelayApi> {
    let id = starting::new_incarnation(&settings.vm);
    let board = MetricBoard::new("relay").map_err(io::Error::other)?;
    let data_centre = Arc::clone(&settings.data_centre);
    let ways = DetourTable::new(settings.store, data_centre, Arc::clone(&settings.region));
    let client = StoreClient::new(CONNECT_BOUND);
    let store = Rc::new(StoreAccess::new(client, ways, ProcessClock::start()));
    let watching =
        store_access::maintain_endpoint(Rc::clone(&store), settings.store, RELAY_LIST_INTERVAL);
    executor.spawn(watching).detach();
    let permits = PermitTable::new(store.now()).into();
    let change_feed = ChangeFeed::new(Rc::clone(&store), Rc::clone(executor));
    let grant_manager = Rc::new(GrantManager::new(&id, store, tuning, board, Rc::clone(executor)));
    let server = settings.server;
    let report_client =
        server.map(|server| Rc::new(ReportClient::new(StoreClient::new(CONNECT_BOUND), server)));
    let (loans, leaving) = (RefCell::default(), Cell::new(false));
    Ok(RelayApi { grant_manager, loans, leaving, change_feed, permits, report_client })
}

async fn smooth_burn(office: Rc<RelayApi>) {
    loop {
        smol::Timer::after(BURN_TICK).await;
        office.grant_manager.grants.borrow_mut().smooth_burn(BURN_TICK);
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
