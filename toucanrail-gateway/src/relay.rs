//! The relay program: forwards entries' connections to the store, and runs the lender.
//!
//! Relays run on VMs that still reach the store when an entry's own VM does not. They forward bytes
//! unchanged, without interpreting them, and to no other destination.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_signal::{Signal, Signals};
use event_listener::Event;
use smol::future::FutureExt;
use smol::stream::StreamExt;
use smol::{Async, LocalExecutor};
use toucanrail::endpoints::EndpointTable;
use toucanrail::permits::PermitTable;
use toucanrail_daemons::metrics::ProcessMetrics;
use toucanrail_daemons::starting::{self, ProcessClock};
use toucanrail_platform::settings::NodeSettings;
use toucanrail_platform::stores::StoreClient;
use toucanrail_wire::connections::{BufferedConnection, ConnectionWriter};
use toucanrail_wire::time_limits;

use crate::call_log;
use crate::change_feed::ChangeFeed;
use crate::grant_manager::{self, GrantManager};
use crate::lending;
use crate::listening;
use crate::origin_store::{self, OriginStore};
use crate::relay_api::{self, RelayApi};
use crate::relay_listing;
use crate::relay_registration;
use crate::report_client::ReportClient;
use crate::store_access::{self, StoreAccess};
use crate::tuning::GatewayTuning;

/// Maximum number of open connections: several for each entry of a large fleet.
const MAX_CONNECTIONS: usize = 400;
/// Maximum time in which one direction carries no bytes; longer than any watch waits.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which the consumption rate of grants is measured.
const BURN_INTERVAL: Duration = Duration::from_millis(200);
/// Taken off the grace period for the last settlement, because the platform kills the process at
/// its end.
const GRACE_MARGIN: Duration = Duration::from_millis(1_800);

/// Runs a relay until it receives a stop signal.
pub fn run(settings: &NodeSettings, tuning: GatewayTuning) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let listener = Async::<TcpListener>::bind(settings.internal)?;
    tracing::info!(event = "start", role = "relay", vm = %settings.vm, inner = %settings.internal);
    let forwarding = forward_connections(Rc::clone(&executor), listener, settings.store, || true);
    executor.spawn(forwarding).detach();
    let api = Rc::new(make_relay_api(settings, tuning, &executor)?);
    let entries = Async::<TcpListener>::bind(settings.lending)?;
    let lending = relay_api::serve_entries(Rc::clone(&executor), Rc::clone(&api), entries);
    executor.spawn(lending).detach();
    executor.spawn(grant_manager::run_syncs(Rc::clone(&api.grant_manager))).detach();
    executor.spawn(measure_burn(Rc::clone(&api))).detach();
    executor.spawn(lending::reclaim_tenures(Rc::clone(&api))).detach();
    executor.spawn(relay_api::log_origins(Rc::clone(&api))).detach();
    executor.spawn(origin_store::write_origins(Rc::clone(&api))).detach();
    executor.spawn(call_log::log_calls()).detach();
    let report_client = api.report_client.as_ref().map(Rc::clone);
    let entry = relay_registration::new_entry(settings, settings.internal, false);
    executor
        .spawn(relay_registration::maintain_entry(settings.clone(), entry, report_client))
        .detach();
    smol::block_on(executor.run(async {
        wait_for_stop().await;
        lending::drain(&api, settings.shutdown_grace.saturating_sub(GRACE_MARGIN)).await;
        origin_store::flush(&api).await;
        grant_manager::settle_all(&api.grant_manager).await;
    }));
    let loans = api.loans.borrow().len();
    tracing::info!(event = "stopped", role = "relay", loans);
    Ok(())
}

fn make_relay_api(
    settings: &NodeSettings,
    tuning: GatewayTuning,
    executor: &Rc<LocalExecutor<'static>>,
) -> io::Result<RelayApi> {
    let id = starting::new_incarnation(&settings.vm);
    let metrics = ProcessMetrics::new("relay").map_err(io::Error::other)?;
    let data_centre = Arc::clone(&settings.data_centre);
    let endpoints = EndpointTable::new(settings.store, data_centre, Arc::clone(&settings.region));
    let client = StoreClient::new(CONNECT_TIMEOUT);
    let store = Rc::new(StoreAccess::new(client, endpoints, ProcessClock::start()));
    executor.spawn(store_access::probe_endpoint(Rc::clone(&store), settings.store)).detach();
    let listing = relay_listing::list_detours(Rc::clone(&store), Arc::clone(&settings.vm));
    executor.spawn(listing).detach();
    let permits = PermitTable::new(store.now()).into();
    let change_feed = ChangeFeed::new(Rc::clone(&store), Rc::clone(executor));
    let grant_manager =
        Rc::new(GrantManager::new(&id, store, tuning, metrics, Rc::clone(executor)));
    let server = settings.backend;
    let report_client =
        server.map(|server| Rc::new(ReportClient::new(StoreClient::new(CONNECT_TIMEOUT), server)));
    // A hosted relay shares its grants with the entry around it; this one uses none itself.
    grant_manager.grants.borrow_mut().set_lends();
    Ok(RelayApi {
        grant_manager,
        loans: RefCell::default(),
        borrowers: RefCell::default(),
        tenure_watch: RefCell::default(),
        stopping: Cell::new(false),
        change_feed,
        permits,
        report_client,
        origins: RefCell::default(),
        versions: RefCell::default(),
        origin_store: OriginStore::new(&settings.vm),
        suspects: RefCell::default(),
        holds_changed: Event::new(),
        rotation: RefCell::default(),
        process: fastrand::u64(..),
    })
}

async fn measure_burn(api: Rc<RelayApi>) {
    loop {
        smol::Timer::after(BURN_INTERVAL).await;
        api.grant_manager.grants.borrow_mut().update_burn_rates(BURN_INTERVAL);
    }
}

async fn wait_for_stop() {
    match Signals::new([Signal::Term, Signal::Int, Signal::Hup]) {
        // SIGHUP is ignored: the settings that a relay uses cannot change while it runs.
        Ok(mut signals) => while matches!(signals.next().await, Some(Ok(Signal::Hup))) {},
        Err(error) => {
            tracing::error!(event = "no_signals", %error);
            std::future::pending::<()>().await;
        }
    }
}

/// Forwards connections to the store. Either end may close at any time; the entry then sees a
/// failed call.
///
/// While this process cannot reach the store itself, connections are closed at once, so that the
/// entry tries another relay.
pub async fn forward_connections<Reachable>(
    executor: Rc<LocalExecutor<'static>>,
    listener: Async<TcpListener>,
    store: SocketAddr,
    is_reachable: Reachable,
) where
    Reachable: Fn() -> bool,
{
    let serve = |socket| {
        let reachable = is_reachable();
        async move { if reachable { forward_connection(socket, store).await } else { Ok(()) } }
    };
    listening::serve_connections(&executor, listener, MAX_CONNECTIONS, serve, || ()).await;
}

async fn forward_connection(socket: Async<TcpStream>, store: SocketAddr) -> io::Result<()> {
    let caller = BufferedConnection::new(socket)?;
    let store =
        time_limits::io_timeout(CONNECT_TIMEOUT, BufferedConnection::connect(store)).await?;
    let (to_store, to_caller) = (store.writer(), caller.writer());
    // Forwarding ends with the first direction that ends: neither side sends anything after the
    // other has closed.
    let upstream = copy_bytes(caller, to_store);
    let downstream = copy_bytes(store, to_caller);
    upstream.or(downstream).await
}

async fn copy_bytes(mut from: BufferedConnection, to: ConnectionWriter) -> io::Result<()> {
    while time_limits::io_timeout(IDLE_TIMEOUT, from.fill()).await? > 0 {
        to.write_all(&from.buffer).await?;
        from.buffer.clear();
    }
    Ok(())
}
