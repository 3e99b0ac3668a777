//! Startup of a gateway: creates its state, binds its sockets and spawns its background tasks.

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
use toucanrail::endpoints::EndpointTable;
use toucanrail::evacuations::EvacuationTable;
use toucanrail::holds::HoldTable;
use toucanrail::matching::RouteTable;
use toucanrail::memory_budgets::MemoryBudget;
use toucanrail::origins::OriginTable;
use toucanrail::response_sizes::ResponseSizes;
use toucanrail_daemons::metrics::ProcessMetrics;
use toucanrail_daemons::starting::{self, ProcessClock};
use toucanrail_platform::settings::NodeSettings;
use toucanrail_platform::stores::StoreClient;
use toucanrail_wire::keepalive::KeepAlivePool;

use crate::accepting;
use crate::admin::{self, AdminScope};
use crate::call_log;
use crate::grant_manager::{self, GrantManager};
use crate::hosting;
use crate::link_admission::LinkAdmission;
use crate::link_load::{self, LinkLoad};
use crate::loan_client::{self, LoanClient};
use crate::origin_notes::{self, NoteSender};
use crate::origin_store::OriginReader;
use crate::recorded_versions::{self, VersionRecorder};
use crate::relay_checks::{self, RelayChecker};
use crate::relay_listing;
use crate::rotation;
use crate::server_cache::ServerCache;
use crate::state::{Gateway, GatewayTables};
use crate::stopping;
use crate::store_access::{self, StoreAccess};
use crate::store_watch;
use crate::suspect_reports::{self, SuspectReporter};
use crate::tuning::GatewayTuning;

/// Maximum time to connect to the store.
const STORE_CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Runs a gateway until it receives a stop signal.
pub fn run(settings: NodeSettings, tuning: GatewayTuning) -> io::Result<()> {
    let gateway = Rc::new(make_gateway(settings, tuning)?);
    let front = gateway.settings.front.ok_or(io::ErrorKind::AddrNotAvailable)?;
    let callers = bind(front.callers)?;
    let readiness = bind(front.readiness)?;
    let internal = bind(gateway.settings.internal)?;
    tracing::info!(
        event = "start", id = %gateway.id, data_centre = %gateway.settings.data_centre,
        callers = %front.callers, store = %gateway.settings.store,
        starts_fleet = gateway.settings.starts_fleet,
        version = env!("CARGO_PKG_VERSION"),
    );
    let shared = Rc::clone(&gateway);
    let executor = &gateway.executor;
    executor.spawn(accepting::serve_callers(Rc::clone(&shared), callers)).detach();
    executor
        .spawn(admin::serve_admin(Rc::clone(&shared), readiness, AdminScope::Balancer))
        .detach();
    executor.spawn(admin::serve_admin(Rc::clone(&shared), internal, AdminScope::Internal)).detach();
    let probing = store_access::probe_endpoint(Rc::clone(&shared.store), shared.settings.store);
    executor.spawn(probing).detach();
    executor.spawn(relay_listing::watch_relays(Rc::clone(&shared))).detach();
    executor.spawn(relay_checks::check_relays(Rc::clone(&shared))).detach();
    executor.spawn(store_watch::watch_config(Rc::clone(&shared))).detach();
    executor.spawn(store_watch::watch_servers(Rc::clone(&shared))).detach();
    executor.spawn(store_watch::watch_evacuations(Rc::clone(&shared))).detach();
    executor.spawn(store_watch::sweep(Rc::clone(&shared))).detach();
    executor.spawn(call_log::log_calls()).detach();
    executor.spawn(link_load::measure(Rc::clone(&shared))).detach();
    executor.spawn(rotation::send_reports(Rc::clone(&shared))).detach();
    executor.spawn(grant_manager::run_syncs(Rc::clone(&shared.grant_manager))).detach();
    executor.spawn(loan_client::send_reports(Rc::clone(&shared))).detach();
    executor.spawn(origin_notes::send_notes(Rc::clone(&shared))).detach();
    executor.spawn(recorded_versions::record_versions(Rc::clone(&shared))).detach();
    executor.spawn(origin_notes::log_notes(Rc::clone(&shared))).detach();
    executor.spawn(suspect_reports::send_reports(Rc::clone(&shared))).detach();
    for slot in 0..suspect_reports::COPIES {
        executor.spawn(suspect_reports::follow_holds(Rc::clone(&shared), slot)).detach();
    }
    executor.spawn(suspect_reports::log_messages(Rc::clone(&shared))).detach();
    executor.spawn(hosting::host_relay(Rc::clone(&shared))).detach();
    smol::block_on(executor.run(stopping::run_until_stopped(shared)));
    Ok(())
}

fn make_gateway(settings: NodeSettings, tuning: GatewayTuning) -> io::Result<Gateway> {
    let id = starting::new_incarnation(&settings.vm);
    let metrics = ProcessMetrics::new("gateway").map_err(io::Error::other)?;
    let clock = ProcessClock::start();
    let executor = Rc::new(LocalExecutor::new());
    let data_centre = Arc::clone(&settings.data_centre);
    let endpoints = EndpointTable::new(settings.store, data_centre, Arc::clone(&settings.region));
    let store =
        Rc::new(StoreAccess::new(StoreClient::new(STORE_CONNECT_TIMEOUT), endpoints, clock));
    let grant_manager =
        GrantManager::new(&id, Rc::clone(&store), tuning, metrics.clone(), Rc::clone(&executor));
    let evacuations =
        settings.evacuation_deadline.map(EvacuationTable::awaiting_listing).unwrap_or_default();
    let mut backends = BackendTable::with_evacuations(evacuations);
    if settings.starts_fleet {
        backends.mark_first_start();
    }
    let tables = GatewayTables {
        routes: RouteTable::new(),
        backends,
        retries: BTreeMap::new(),
        limits: BTreeMap::new(),
        free_slots: BTreeMap::new(),
        offloads: BTreeMap::new(),
        response_sizes: ResponseSizes::default(),
        origins: OriginTable::new(),
        holds: HoldTable::default(),
    };
    let loan_client = LoanClient::new(&id);
    let link = LinkLoad::new(settings.link_capacity);
    let link_admission = LinkAdmission::new(settings.link_capacity, tuning.link_reserve);
    let memory = Rc::new(RefCell::new(MemoryBudget::new(settings.limits)));
    Ok(Gateway {
        settings,
        id,
        store,
        grant_manager: Rc::new(grant_manager),
        loan_client,
        relay_checker: RelayChecker::default(),
        failed_boards: RefCell::default(),
        stale_boards: RefCell::default(),
        hosted_relay: RefCell::new(None),
        load_reports: ServerCache::default(),
        server_probes: ServerCache::default(),
        permit_failures: RefCell::default(),
        note_sender: NoteSender::default(),
        version_recorder: VersionRecorder::default(),
        origin_reader: OriginReader::default(),
        suspect_reporter: SuspectReporter::default(),
        memory,
        link,
        link_admission,
        remote_costs: tuning.remote_costs,
        metrics,
        executor,
        tables: RefCell::new(tables),
        connections: KeepAlivePool::new(),
        clock,
        stop_requested: Cell::new(None),
        admission_closed: Cell::new(false),
        close_idle: Cell::new(false),
        in_flight: Cell::new(0),
        caller_connections: Cell::new(0),
        close_idle_event: Event::new(),
    })
}

fn bind(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}
