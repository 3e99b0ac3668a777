//! The start of a gateway: its tables, its sockets and its loops.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use event_listener::Event;
use smol::{Async, LocalExecutor};
use toucanrail::backends::BackendTable;
use toucanrail::detours::DetourTable;
use toucanrail::grants::GrantTable;
use toucanrail::matching::RouteTable;
use toucanrail_daemons::observing::MetricBoard;
use toucanrail_daemons::starting::{self, ProcessClock};
use toucanrail_platform::settings::NodeSettings;
use toucanrail_platform::stores::StoreClient;
use toucanrail_wire::keeping::ChannelPool;

use crate::accepting;
use crate::following;
use crate::inspecting;
use crate::settling;
use crate::states::{Gateway, GatewayTables};
use crate::stopping;
use crate::storing::{self, StoreAccess};
use crate::tuning::GatewayTuning;

/// Longest wait for a connection to the store.
const STORE_CONNECT: Duration = Duration::from_millis(700);

/// Runs a gateway until it is told to stop.
pub fn run(settings: NodeSettings, tuning: GatewayTuning) -> io::Result<()> {
    let gateway = Rc::new(make_gateway(settings, tuning)?);
    let front = gateway.settings.front.ok_or(io::ErrorKind::AddrNotAvailable)?;
    let callers = bind(front.callers)?;
    let readiness = bind(front.readiness)?;
    let inner = bind(gateway.settings.inner)?;
    tracing::info!(
        event = "start", id = %gateway.id, data_centre = %gateway.settings.data_centre,
        callers = %front.callers, store = %gateway.settings.store,
        version = env!("CARGO_PKG_VERSION"),
    );
    let held = Rc::clone(&gateway);
    let executor = &gateway.executor;
    executor.spawn(accepting::serve_callers(Rc::clone(&held), callers)).detach();
    executor.spawn(inspecting::serve_questions(Rc::clone(&held), readiness)).detach();
    executor.spawn(inspecting::serve_questions(Rc::clone(&held), inner)).detach();
    executor.spawn(storing::keep_ways(Rc::clone(&held))).detach();
    executor.spawn(following::follow_config(Rc::clone(&held))).detach();
    executor.spawn(following::follow_servers(Rc::clone(&held))).detach();
    executor.spawn(following::sweep(Rc::clone(&held))).detach();
    executor.spawn(settling::run_syncs(Rc::clone(&held))).detach();
    smol::block_on(executor.run(stopping::wait_end(held)));
    Ok(())
}

fn make_gateway(settings: NodeSettings, tuning: GatewayTuning) -> io::Result<Gateway> {
    let id = starting::new_incarnation(&settings.vm);
    let board = MetricBoard::new("gateway").map_err(io::Error::other)?;
    let ways = DetourTable::new(settings.store, Arc::clone(&settings.data_centre));
    let tables = GatewayTables {
        routes: RouteTable::new(),
        backends: BackendTable::new(),
        grants: GrantTable::new(Arc::clone(&id), tuning.policy),
        retries: BTreeMap::new(),
    };
    Ok(Gateway {
        store: StoreAccess::new(StoreClient::new(STORE_CONNECT), ways),
        settings,
        tuning,
        id,
        board,
        executor: LocalExecutor::new(),
        tables: RefCell::new(tables),
        channels: ChannelPool::new(),
        clock: ProcessClock::start(),
        stopping: Cell::new(None),
        closes_idle: Cell::new(false),
        gives_up_grants: Cell::new(false),
        short: RefCell::default(),
        in_flight: Cell::new(0),
        store_heard: Cell::new(None),
        store_silent: RefCell::default(),
        leaving: Event::new(),
        wanted: Event::new(),
        synced: Event::new(),
        syncing: RefCell::default(),
        synced_at: RefCell::default(),
    })
}

fn bind(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}
